/**
 * Choice of the upstream for a request: the one with the lowest expected time
 * to the first byte, computed from its distance, its load, its recent failures
 * and whether its cache holds the prefix of the prompt.
 */
#ifndef PR_PLACE_PLACE_H
#define PR_PLACE_PLACE_H

#include "place/kept.h"
#include "routing/routing.h"
#include "transition/transition.h"
#include "upstream/upstream.h"

/** Maximum number of upstreams that one request is sent to; a route may allow
 *  fewer. */
#define PR_PLACE_TRIED_MAX 16

/** An availability zone and its region; regions are compared by name. */
typedef struct pr_zone_t {
	char name[PR_UPSTREAM_NAME_SIZE];
	char region[PR_UPSTREAM_NAME_SIZE];
	/** Operators evacuated the zone: its upstreams get no requests. */
	bool evacuated;
} pr_zone_t;

/** All zones, and the location of this host. */
typedef struct pr_zone_map_t {
	pr_zone_t *zones;
	size_t count;
	/** Zone and region of this host. */
	const char *zone, *region;
} pr_zone_map_t;

/** @return the zone with the name, or NULL */
const pr_zone_t *pr_zone_find(const pr_zone_map_t *map, const char *name);

/** Choice by the prompt prefixes that upstreams still hold. */
typedef struct pr_place_kept_t {
	const pr_kept_t *table;
	/** The number of upstreams is set by the choice. */
	pr_kept_prompt_t prompt;
	/** Time to prefill a token, milliseconds. */
	double prefill_ms_per_token;
	/** Set when an upstream is found: the expected held tokens of the
	 *  prompt there. */
	double tokens;
	/** Set when an upstream is found: it is not the first rank for the
	 *  longest shared prefix. */
	bool off_first_rank;
} pr_place_kept_t;

/** A request for which an upstream is chosen. */
typedef struct pr_place_query_t {
	const char *service;
	/** Regions that the route and the workspace allow; NULL for all. */
	const pr_names_t *route_regions, *workspace_regions;
	/** Version transition of the service; NULL when there is none. */
	const pr_transition_t *transition;
	/** Preferred version; ignored without a transition. */
	pr_version_choice_t version;
	/** The request is part of the load test of the new version. */
	bool load_test;
	/** Hash of this host's name, which selects the hosts that take part in
	 *  a load test. */
	uint64_t host_hash;
	/** Hash of the prompt prefix that an upstream may have cached; 0 when
	 *  there is none. */
	uint64_t prefix_hash;
	/** Time that an upstream without the cached prefix needs to prefill it,
	 *  milliseconds. */
	double prefix_prefill_ms;
	/** Time to prefill the whole prompt, milliseconds. */
	double prefill_ms;
	/** Held prefixes, which are used in the place of prefix_hash and its
	 *  prefill time; NULL to choose without them. */
	pr_place_kept_t *kept;
	/** Longest time between two events of a stream that the route allows,
	 *  milliseconds; 0 for none. */
	double gap_ms;
	/** Weight of avoiding pauses of other streams, 0 to 1. */
	double pause_weight;
	/** Upstreams of earlier attempts, which are not chosen again. */
	const pr_upstream_t *tried[PR_PLACE_TRIED_MAX];
	size_t tried_count;
	/** Maximum number of connections from this host to one upstream. */
	uint32_t connections_max;
	/** Number of hosts that send to the same upstreams. */
	uint32_t hosts;
	/** Random number of the attempt, which selects the sample of upstreams
	 *  to compare; 0 to compare all. */
	uint64_t sample_seed;
	pr_usec_t now;
} pr_place_query_t;

typedef enum pr_place_verdict_t {
	PR_PLACE_FOUND,
	/** Discovery lists no upstream that the request may use, or all of them
	 *  were tried already. */
	PR_PLACE_NONE,
	/** No upstream is available, and at least one that the request may use
	 *  is cold and has no permit left for this host now. */
	PR_PLACE_COLD,
	/** Every untried upstream that the request may use is full, ejected or
	 *  paused. */
	PR_PLACE_BUSY,
} pr_place_verdict_t;

/** @return requests in flight, from this host and as reported by its peers,
 *	   divided by the slots of the upstream */
double pr_place_load(const pr_upstream_t *upstream);

/**
 * Choose the upstream for a request.
 *
 * @param out the upstream, or NULL when none is available
 * @param wait_ms expected delay before the upstream begins with the prompt,
 *	  milliseconds, set when an upstream is found; may be NULL
 * @return PR_PLACE_FOUND, or why no upstream is available
 */
pr_place_verdict_t pr_place_choose(const pr_registry_t *registry,
				   const pr_zone_map_t *map,
				   const pr_place_query_t *query,
				   pr_upstream_t **out, double *wait_ms);
/** @return true when an upstream that is used for the load test of the new
 *	   version can take one more request from this host */
bool pr_place_has_load_test_room(const pr_registry_t *registry,
				 const pr_zone_map_t *map,
				 const pr_place_query_t *query);
/** Earliest ends of the pauses of the upstreams that a request may use; 0 when
 *  one of them is not paused, or there is none. */
typedef struct pr_place_return_t {
	/** Of all upstreams. */
	pr_usec_t any;
	/** Of those that the request was not sent to, or of all when it was
	 *  sent to each. */
	pr_usec_t untried;
} pr_place_return_t;

/** @return when upstreams that asked for no requests take them again */
pr_place_return_t pr_place_next_return(const pr_registry_t *registry,
				       const pr_zone_map_t *map,
				       const pr_place_query_t *query);
/** @return number of upstreams of the service and version that are neither
 *	   leaving, withheld, ejected, paused nor in an evacuated zone */
uint32_t pr_place_count_usable(const pr_registry_t *registry,
			       const pr_zone_map_t *map, const char *service,
			       const char *version, pr_usec_t now);

#endif
