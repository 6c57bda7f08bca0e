/**
 * Parts of the platform stand-in: table, objects, ratings, weights, hosts.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "../common/standin.h"
#include "pistachiorack/rand.h"

/** Operations in one commit. */
#define PLATFORM_OPS_MAX 64

/** A token bucket that holds at most one second's worth. */
typedef struct budget_t {
	double per_s;
	double tokens;
	pr_usec_t filled;
	/** Use in the running second and the largest of any second. */
	uint32_t second_use;
	uint32_t peak_use;
	pr_usec_t second;
	uint64_t refused;
} budget_t;

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

typedef struct object_t {
	char *name;
	char *bytes;
	size_t len;
} object_t;

typedef struct objects_t {
	object_t *objects;
	size_t count;
	size_t bytes;
} objects_t;

typedef struct ratings_t {
	standin_record_t ring;
	/** Quality by "model@version" or "class/model@version". */
	json_t *quality;
	double quality_default;
	uint32_t delay_ms;
	bool off;
	size_t pending;
} ratings_t;

typedef struct hosts_t {
	/** Visible lists. */
	json_t *hosts;
	json_t *upstreams;
	uint32_t lag_ms;
	size_t pending;
} hosts_t;

typedef struct platform_t {
	standin_t standin;
	budget_t writes;
	budget_t reads;
	budget_t weights;
	/** Every row of a commit counts as a write, not the commit. */
	bool count_rows;
	tables_t tables;
	objects_t objects;
	ratings_t ratings;
	hosts_t hosts;
} platform_t;

void budget_init(budget_t *budget, double per_s, pr_usec_t now);
/** @return false when less than amount is left */
bool budget_take(budget_t *budget, double amount, pr_usec_t now);
/** @return {"per_s","peak","refused"} */
json_t *budget_json(const budget_t *budget);

/**
 * Decide one operation of a commit and apply it.
 *
 * @param result new object for the answer
 * @return 0, PR_EINVALID (shape of the operation) or PR_EFULL
 */
int tables_apply(tables_t *tables, const json_t *op, json_t **result);
/** @return the row, deleted ones included, or NULL */
const row_t *tables_find(const tables_t *tables, const char *table,
			 const char *key);
/** @return array of {"key","version","value"} in key order */
json_t *tables_list(const tables_t *tables, const char *table,
		    const char *prefix, const char *after, size_t limit);

/** @return 0, or PR_EFULL */
int objects_put(objects_t *objects, const char *name, pr_slice_t bytes);
const object_t *objects_get(const objects_t *objects, const char *name);

int ratings_init(ratings_t *ratings);
/** Score of a request: 1 with the probability of the quality, else 0. */
double ratings_score(const ratings_t *ratings, uint64_t seed,
		     const json_t *asked);
void ratings_handle(standin_exchange_t *exchange, platform_t *platform);
void ratings_control(ratings_t *ratings, const json_t *fields);

int hosts_init(hosts_t *hosts);
/**
 * Change the lists by name after the lag; state "gone" removes an entry.
 *
 * @param fields object with "hosts" and "upstreams" arrays
 */
void hosts_change(platform_t *platform, const json_t *fields);
/** Apply a change to one list at once. */
void hosts_merge(json_t *list, const char *name_field, const json_t *changes);

#endif
