/**
 * Choice of the upstream for one request: the least expected time to the first
 * byte, from distance, work in hand and what the upstream has cached.
 */
#ifndef PR_PLACE_PLACE_H
#define PR_PLACE_PLACE_H

#include "routing/routing.h"
#include "transition/transition.h"
#include "upstream/upstream.h"

/** Most upstreams that one request is sent to, whatever the route allows. */
#define PR_PLACE_TRIED_MAX 16

/** Zones and their regions; regions are compared by name. */
typedef struct pr_zone_t {
	char name[PR_UPSTREAM_NAME_SIZE];
	char region[PR_UPSTREAM_NAME_SIZE];
	/** Operators took it out. */
	bool evacuated;
} pr_zone_t;

typedef struct pr_zone_map_t {
	pr_zone_t *zones;
	size_t count;
	/** Where this host stands. */
	const char *zone, *region;
} pr_zone_map_t;

const pr_zone_t *pr_zone_find(const pr_zone_map_t *map, const char *name);

typedef struct pr_place_query_t {
	const char *service;
	/** Either may be NULL. */
	const pr_names_t *route_regions, *workspace_regions;
	/** NULL when the service is not in transition. */
	const pr_transition_t *transition;
	pr_version_choice_t version;
	/** The request loads an upstream of the new version for a test. */
	bool load_test;
	/** Hash of this host's name. */
	uint64_t host_hash;
	/** Hash of what upstreams may have cached; 0 for none. */
	uint64_t prefix_hash;
	/** Time to read again what may be cached, milliseconds. */
	double prefix_prefill_ms;
	const pr_upstream_t *tried[PR_PLACE_TRIED_MAX];
	size_t tried_count;
	/** Connections that this host may open to one upstream. */
	uint32_t connections_max;
	/** Hosts that share the upstreams. */
	uint32_t hosts;
	/** Random number of the attempt; 0 compares all upstreams. */
	uint64_t sample_seed;
	pr_usec_t now;
} pr_place_query_t;

typedef enum pr_place_verdict_t {
	PR_PLACE_FOUND,
	/** No upstream is listed that the request may use. */
	PR_PLACE_NONE,
	/** All that are left are cold and out of permits. */
	PR_PLACE_COLD,
	/** All that are left are full or failing. */
	PR_PLACE_BUSY,
} pr_place_verdict_t;

/** Requests of this host and of those that report theirs, relative to slots. */
double pr_place_load(const pr_upstream_t *upstream);

/** @param wait_ms expected delay before the upstream reads; may be NULL */
pr_place_verdict_t pr_place_choose(const pr_registry_t *registry,
				   const pr_zone_map_t *map,
				   const pr_place_query_t *query,
				   pr_upstream_t **out, double *wait_ms);
/** @return true when an upstream on trial has room for a request of this host
 */
bool pr_place_has_load_test_room(const pr_registry_t *registry,
				 const pr_zone_map_t *map,
				 const pr_place_query_t *query);
/** @return upstreams of a service and version that could be used now */
uint32_t pr_place_count_usable(const pr_registry_t *registry,
			       const pr_zone_map_t *map, const char *service,
			       const char *version, pr_usec_t now);

#endif
