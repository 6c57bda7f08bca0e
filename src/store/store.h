/**
 * Rows of the platform's store as the slices see them.
 */
#ifndef PR_STORE_STORE_H
#define PR_STORE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"
#include "store/revision.h"

typedef enum pr_store_table_t {
	/** What the operator writes. */
	PR_TABLE_ORDERS,
	/** Discovery entries of the upstreams. */
	PR_TABLE_UPSTREAMS,
	/** Written by the hosts: status for the operator, and shared state. */
	PR_TABLE_SHARED,
	PR_TABLES_COUNT,
} pr_store_table_t;

/** One row; owned by its list. */
typedef struct pr_store_row_t {
	char *key;
	pr_str_t value;
	/** Transaction that wrote or removed it. */
	pr_revision_t version;
	bool removed;
} pr_store_row_t;

typedef struct pr_store_rows_t {
	pr_store_row_t *rows;
	size_t count;
	/** Rows that were left out, because their key cannot be read. */
	size_t unreadable;
	/** Newest transaction of the store. */
	pr_revision_t version;
	/** The store's steady clock, milliseconds. */
	int64_t now_ms;
	bool more;
} pr_store_rows_t;

void pr_store_rows_finish(pr_store_rows_t *rows);

/** One row of an atomic write. */
typedef struct pr_store_write_t {
	pr_store_table_t table;
	const char *key;
	/** ptr NULL leaves the row as it is and only states the condition. */
	pr_slice_t value;
	bool conditional;
	/** Version that the row must have; number 0: must not exist. The store
	 *  compares the number alone, so it must be of the store's era. */
	pr_revision_t expected;
} pr_store_write_t;

#endif
