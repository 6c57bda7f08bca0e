/** Functions that place.c and caches.c share. */
#ifndef PR_PLACE_INTERNAL_H
#define PR_PLACE_INTERNAL_H

#include "place/place.h"

/* Upstreams that are compared because this host's own requests left a prefix
 * there. A prefix of many prompts is on most upstreams; comparing all of them
 * by the same load reports would send every host to the least loaded one. */
#define PR_PLACE_OWN_COMPARED 3

/** What is known of the upstreams that cache prefixes of the prompt, found in
 * one pass over the upstreams. */
typedef struct pr_place_caches_t {
	/** Ranks of the upstreams of this host's region. Those of other regions
	 *  may hold prefixes as well, but are left to the requests of their own
	 *  region. */
	pr_ranks_t ranks;
	/** Index of the seed of the longest shared prefix, if there are seeds.
	 */
	size_t longest;
	/** Upstreams that hold most of the prompt by this host's own requests.
	 */
	struct {
		const pr_upstream_t *upstream;
		double tokens;
	} own[PR_PLACE_OWN_COMPARED];
} pr_place_caches_t;

/* place.c */
/** Whether the service, version and region of the upstream are the request's.
 */
bool pr_place_is_permitted(const pr_zone_map_t *map,
			   const pr_place_query_t *query,
			   const pr_upstream_t *upstream);
bool pr_place_was_tried(const pr_place_query_t *query,
			const pr_upstream_t *upstream);
/** Ejected after failures, or paused as it asked. */
bool pr_place_is_suspended(const pr_upstream_t *upstream, pr_usec_t now);
/** Whether the upstream runs the version that the query prefers; true without a
 *  transition, and after it for requests that began on the old version. */
bool pr_place_is_preferred_version(const pr_place_query_t *query,
				   const pr_upstream_t *upstream);
/** @return region of an upstream whose zone is known */
const char *pr_place_region_of(const pr_zone_map_t *map,
			       const pr_upstream_t *upstream);

/* caches.c */
void pr_place_find_caches(const pr_registry_t *registry,
			  const pr_zone_map_t *map,
			  const pr_place_query_t *query,
			  pr_place_caches_t *caches);
/** @return rank of the upstream for the longest shared prefix, or PR_RANKS */
size_t pr_place_rank_of(const pr_place_caches_t *caches,
			const pr_upstream_t *upstream);
/** Whether the upstream may hold a prefix, so that it is compared whether it is
 *  in the random sample or not. */
bool pr_place_may_cache(const pr_place_query_t *query,
			const pr_place_caches_t *caches,
			const pr_upstream_t *upstream);
/** @return expected held tokens at the upstream, for a query with a table */
double pr_place_held_tokens(const pr_place_query_t *query,
			    const pr_place_caches_t *caches,
			    const pr_upstream_t *upstream);

#endif
