/**
 * Table service of the platform stand-in: rows with versions in memory.
 */
#ifndef STANDIN_TABLE_H
#define STANDIN_TABLE_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

typedef struct row_t {
	char *key;
	uint64_t version;
	/** NULL for a deleted row; its version goes on counting. */
	json_t *value;
} row_t;

/** Rows sorted by key. */
typedef struct table_t {
	char *name;
	row_t *rows;
	size_t count;
	size_t cap;
} table_t;

#define TABLES_MAX 64

typedef struct tables_t {
	table_t tables[TABLES_MAX];
	size_t count;
	size_t rows;
	size_t rows_max;
} tables_t;

/**
 * Decide one operation of a commit and apply it.
 *
 * @param result new object for the answer
 * @return 0, PR_EINVALID (shape of the operation) or PR_EFULL
 */
int tables_apply(tables_t *tables, const json_t *op, json_t **result);
void tables_finish(tables_t *tables);
/** @return the row, deleted ones included, or NULL */
const row_t *tables_find(const tables_t *tables, const char *table,
			 const char *key);
/** @return array of {"key","version","value"} in key order */
json_t *tables_list(const tables_t *tables, const char *table,
		    const char *prefix, const char *after, size_t limit);

#endif
