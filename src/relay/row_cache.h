/**
 * Rows of one table that changed recently, which a relay keeps for the hosts of
 * its region. A host that lacks rows asks its relay before it asks the store:
 * when all hosts of a region read a long row from the store at the same time,
 * they fill the link between the regions for seconds.
 *
 * The cache holds the latest row of each key. Long values are kept and sent
 * compressed.
 *
 * After a return of the store from an older copy (see store/era.h) it holds the
 * whole table as it was read in the new era, for the hosts that still have the
 * rows of the era before.
 */
#ifndef PR_RELAY_ROW_CACHE_H
#define PR_RELAY_ROW_CACHE_H

#include "store/store.h"

/** Most rows in a cache; the oldest ones are dropped. Removed rows count too,
 * so a table in which keys come and go would fill the memory otherwise. */
#define PR_ROW_CACHE_MAX 4096

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
	/** It has every row of the table, from a full read. */
	bool whole;
} pr_row_cache_t;

void pr_row_cache_finish(pr_row_cache_t *cache);

/**
 * Add consecutive rows, with all rows of each transaction. Rows between the
 * newest of the cache and the first of them make the cache start anew.
 *
 * @param after version of the row before the first one
 * @return 0 or PR_ENOMEM; the cache is empty then
 */
int pr_row_cache_add(pr_row_cache_t *cache, pr_revision_t after,
		     const pr_store_row_t *rows, size_t count);

/**
 * Replace the content by a whole table. More than PR_ROW_CACHE_MAX rows are not
 * kept.
 *
 * @param version of the read; some of the rows may be newer
 * @return 0 or PR_ENOMEM; the cache is empty then
 */
int pr_row_cache_replace(pr_row_cache_t *cache, pr_revision_t version,
			 const pr_store_row_t *rows, size_t count);

/** A relay's answer to a host that asks for rows. Zeroed before first use. */
typedef struct pr_row_answer_t {
	/** rows.version is the version up to which the table is known with
	 *  them. Owned. */
	pr_store_rows_t rows;
	/** They are the whole table: keys that are not among them do not
	 *  exist. */
	bool whole;
} pr_row_answer_t;

void pr_row_answer_finish(pr_row_answer_t *answer);
/**
 * Encode an answer: the rows that changed after a version, or the whole table
 * when the version is of an earlier era than the cache.
 *
 * @return as pr_row_cache_pack()
 */
int pr_row_answer_pack(const pr_row_cache_t *cache, pr_revision_t after,
		       pr_str_t *out);
/**
 * Decode an answer.
 *
 * @return 0, PR_EPARSE or PR_ENOMEM; on 0 pr_row_answer_finish() must follow
 */
int pr_row_answer_read(pr_row_answer_t *out, pr_slice_t bytes);

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
