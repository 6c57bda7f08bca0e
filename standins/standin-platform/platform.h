/**
 * Parts of the platform stand-in: table, objects, ratings, weights, hosts.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "../common/budget.h"
#include "../common/host_list.h"
#include "../common/score.h"
#include "../common/standin.h"
#include "../common/table.h"

/** Operations in one commit. */
#define PLATFORM_OPS_MAX 64

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

/** @return 0, or PR_EFULL */
int objects_put(objects_t *objects, const char *name, pr_slice_t bytes);
const object_t *objects_get(const objects_t *objects, const char *name);

int ratings_init(ratings_t *ratings);
void ratings_handle(standin_exchange_t *exchange, platform_t *platform);
void ratings_control(ratings_t *ratings, const json_t *fields);

int hosts_init(hosts_t *hosts);
/**
 * Change the lists by name after the lag; state "gone" removes an entry.
 *
 * @param fields object with "hosts" and "upstreams" arrays
 */
void hosts_change(platform_t *platform, const json_t *fields);
#endif
