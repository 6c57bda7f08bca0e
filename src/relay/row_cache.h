/**
 * Rows of one table that changed recently, which a relay keeps for the hosts of
 * its region. A host that lacks rows asks its relay before it asks the store:
 * when all hosts of a region read a long row from the store at the same time,
 * they fill the link between the regions for seconds.
 *
 * The cache holds the latest row of each key. Long values are kept and sent
 * compressed.
 */
#ifndef PR_RELAY_ROW_CACHE_H
#define PR_RELAY_ROW_CACHE_H

#include "store/store.h"

/** Most rows in a cache; the oldest ones are dropped. Removed rows count too,
 * so a table in which keys come and go would fill the memory otherwise. */
#define PR_ROW_CACHE_MAX 1024

typedef struct pr_cached_row_t {
	/** The value may be compressed. */
	pr_store_row_t row;
	/** Size of the value before compression; 0 when it is not
	 *  compressed. */
	size_t inflated_size;
} pr_cached_row_t;

/** Zeroed before first use. */
typedef struct pr_row_cache_t {
	/** In ascending order of their versions. Owned. */
	pr_cached_row_t *rows;
	size_t count, capacity;
	/** The cache has all rows that changed after this version. */
	pr_revision_t complete_after;
	/** Version of the newest row that was added. */
	pr_revision_t newest;
} pr_row_cache_t;

void pr_row_cache_finish(pr_row_cache_t *cache);

/**
 * Add consecutive rows. Rows between the newest of the cache and the first of
 * them make the cache start anew.
 *
 * @param after version of the row before the first one
 * @return 0 or PR_ENOMEM; the cache is empty then
 */
int pr_row_cache_add(pr_row_cache_t *cache, pr_revision_t after,
		     const pr_store_row_t *rows, size_t count);

/**
 * Encode the rows that changed after a version.
 *
 * @return 0, PR_ENOMEM, or PR_ENOTFOUND when the cache does not have all of
 *	   them, or none
 */
int pr_row_cache_pack(const pr_row_cache_t *cache, pr_revision_t after,
		      pr_str_t *out);

/**
 * Decode the rows that pr_row_cache_pack() encoded.
 *
 * @param era of the store in which the rows were written
 * @return 0, PR_EPARSE or PR_ENOMEM; on 0 pr_store_rows_finish() must follow
 */
int pr_row_cache_read(pr_store_rows_t *out, uint64_t era, pr_slice_t bytes);

#endif
