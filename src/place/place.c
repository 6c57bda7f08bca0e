/*
 * Choice of an upstream. Every host ranks the upstreams of a region for a
 * cached prefix by rendezvous hashing, so hosts agree without messages which
 * one holds it; the expected work in front of it decides whether going
 * elsewhere and reading the prefix again is faster (bounded loads: Mirrokni et
 * al., 2016).
 */
#include "place/place.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

/* Expected delay by distance, milliseconds. */
#define COST_SAME_ZONE   0.0
#define COST_SAME_REGION 4.0
/* A round trip between regions, and the price of its bytes. */
#define COST_OTHER_REGION 150.0
/* Delay at full slots, milliseconds; grows with the square of the load. */
#define COST_FULL 400.0
/* Going to an upstream that failed last time. */
#define COST_SUSPECT 300.0
/* Going to one that fails all requests: the time of the attempt, and that of
 * the next one. */
#define COST_FAILING 1500.0
/* Rate of failures that few answers and faults of the network may show. */
#define FAILURE_RATE_USUAL 0.2
/* A cold upstream is used when others are this much slower. */
#define COST_COLD 1500.0
/* Beyond this load an upstream queues requests. */
#define LOAD_QUEUEING 1.0
#define COST_QUEUEING 3000.0
/* Load up to which a version on trial is tested. Hosts have unequal traffic,
 * and those with little leave a part of their share unused. */
#define TRIAL_LOAD 1.2
typedef enum distance_t {
	DISTANCE_ZONE,
	DISTANCE_REGION,
	DISTANCE_ELSEWHERE,
	DISTANCES,
} distance_t;

/* Up to this number of hosts each knows most of the load at first hand. */
#define HOSTS_COMPARING_ALL 16
/* Upstreams that are compared on average, by distance. */
static const double drawn_of_class[DISTANCES] = {
	[DISTANCE_ZONE] = 3,
	[DISTANCE_REGION] = 2,
	[DISTANCE_ELSEWHERE] = 1,
};
/* Upstreams that are loaded for the test: two, so that a fault of one alone
 * does not look like one of the version. */
#define TRIAL_UPSTREAMS 2
/* Load at which an upstream would refuse. */
#define LOAD_MAX 2.0

const pr_zone_t *pr_zone_find(const pr_zone_map_t *map, const char *name)
{
	for (size_t i = 0; i < map->count; i++) {
		if (!strcmp(map->zones[i].name, name))
			return &map->zones[i];
	}
	return NULL;
}

double pr_place_load(const pr_upstream_t *upstream)
{
	double requests = upstream->in_flight + upstream->peers_in_flight;

	return requests / (upstream->entry.slots ? upstream->entry.slots : 1);
}

static bool was_tried(const pr_place_query_t *query,
		      const pr_upstream_t *upstream)
{
	for (size_t i = 0; i < query->tried_count; i++) {
		if (query->tried[i] == upstream)
			return true;
	}
	return false;
}

static bool is_permitted(const pr_zone_map_t *map,
			 const pr_place_query_t *query,
			 const pr_upstream_t *upstream)
{
	const pr_zone_t *zone = pr_zone_find(map, upstream->entry.zone);

	if (strcmp(upstream->entry.service, query->service) != 0 ||
	    upstream->entry.draining || !zone || zone->evacuated)
		return false;
	if (query->route_regions &&
	    !pr_names_allow(query->route_regions, zone->region))
		return false;
	if (query->workspace_regions &&
	    !pr_names_allow(query->workspace_regions, zone->region))
		return false;
	return !query->transition ||
	       pr_transition_allows(query->transition, upstream->entry.version);
}

static double distance(const pr_zone_map_t *map, const pr_upstream_t *upstream)
{
	const pr_zone_t *zone = pr_zone_find(map, upstream->entry.zone);

	if (!strcmp(upstream->entry.zone, map->zone))
		return COST_SAME_ZONE;
	return !strcmp(zone->region, map->region) ? COST_SAME_REGION
						  : COST_OTHER_REGION;
}

/* An upstream that fails at once has little work in hand, and would get the
 * more requests the more it fails. */
static double failure_cost(const pr_upstream_t *upstream, pr_usec_t now)
{
	double rate = pr_outcomes_failure_rate(&upstream->outcomes,
					       &upstream->peers_outcomes, now);

	if (rate <= FAILURE_RATE_USUAL)
		return 0;
	return COST_FAILING * (rate - FAILURE_RATE_USUAL) /
	       (1 - FAILURE_RATE_USUAL);
}

static double cost(const pr_zone_map_t *map, const pr_place_query_t *query,
		   const pr_upstream_t *upstream, bool holds_prefix)
{
	double load = pr_place_load(upstream);
	double total = distance(map, upstream) + COST_FULL * load * load +
		       upstream->pending_prefill_ms +
		       upstream->peers_prefill_ms;

	if (load > LOAD_QUEUEING)
		total += COST_QUEUEING * (load - LOAD_QUEUEING);
	if (!holds_prefix)
		total += query->prefix_prefill_ms;
	if (upstream->failures)
		total += COST_SUSPECT;
	total += failure_cost(upstream, query->now);
	if (upstream->cold_until > query->now)
		total += COST_COLD;
	return total;
}

static uint64_t rank(const pr_place_query_t *query,
		     const pr_upstream_t *upstream)
{
	return XXH64(upstream->entry.id, strlen(upstream->entry.id),
		     query->prefix_hash);
}

static const char *region_of(const pr_zone_map_t *map,
			     const pr_upstream_t *upstream)
{
	return pr_zone_find(map, upstream->entry.zone)->region;
}

/*
 * The upstream of this host's region that keeps the prefix, by rendezvous
 * hashing. One abroad may keep it too, but its own region's callers fill it.
 */
static bool holds_prefix(const pr_registry_t *registry,
			 const pr_zone_map_t *map,
			 const pr_place_query_t *query,
			 const pr_upstream_t *upstream)
{
	uint64_t own = rank(query, upstream);
	const char *region = region_of(map, upstream);

	if (strcmp(region, map->region) != 0)
		return false;
	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next) {
		const pr_upstream_t *other = PR_OWNER(at, pr_upstream_t, node);

		if (other == upstream ||
		    strcmp(other->entry.version, upstream->entry.version) !=
			    0 ||
		    !is_permitted(map, query, other) ||
		    strcmp(region_of(map, other), region) != 0)
			continue;
		if (rank(query, other) > own)
			return false;
	}
	return true;
}

static bool is_full(const pr_place_query_t *query,
		    const pr_upstream_t *upstream)
{
	return pr_place_load(upstream) >= LOAD_MAX ||
	       (pr_list_empty((pr_list_t *)(uintptr_t)&upstream->idle) &&
		upstream->connections >= query->connections_max);
}

/* Only upstreams of the version that the session uses, where any is left. */
static bool is_version(const pr_place_query_t *query,
		       const pr_upstream_t *upstream)
{
	bool fresh;

	if (!query->transition)
		return true;
	fresh = pr_transition_is_new(query->transition,
				     upstream->entry.version);
	return fresh == (query->version == PR_VERSION_NEW);
}

/* Upstreams of each distance class that a request may use. */
typedef struct classes_t {
	double counts[DISTANCES];
} classes_t;

static distance_t distance_class(const pr_zone_map_t *map,
				 const pr_upstream_t *upstream)
{
	if (!strcmp(upstream->entry.zone, map->zone))
		return DISTANCE_ZONE;
	return !strcmp(region_of(map, upstream), map->region)
		       ? DISTANCE_REGION
		       : DISTANCE_ELSEWHERE;
}

/*
 * Many hosts read the same reports, which are some 100 ms old: if each took the
 * upstream with the least work, all of their requests would meet there. A
 * random few are compared instead (power of d choices: Mitzenmacher, 2000).
 */
static bool is_drawn(const pr_zone_map_t *map, const pr_place_query_t *query,
		     const classes_t *classes, const pr_upstream_t *upstream)
{
	distance_t class = distance_class(map, upstream);
	uint64_t draw;

	if (!classes || classes->counts[class] <= drawn_of_class[class])
		return true;
	draw = XXH64(upstream->entry.id, strlen(upstream->entry.id),
		     query->sample_seed);
	return pr_sessions_in_share(draw, drawn_of_class[class] /
						  classes->counts[class]);
}

static pr_place_verdict_t choose_among(const pr_registry_t *registry,
				       const pr_zone_map_t *map,
				       const pr_place_query_t *query,
				       const classes_t *classes,
				       bool any_version, pr_upstream_t **out)
{
	pr_place_verdict_t verdict = PR_PLACE_NONE;
	double least = INFINITY;

	*out = NULL;
	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);
		bool cold = upstream->cold_until > query->now;
		double expected;
		bool holds;

		if (!is_permitted(map, query, upstream) ||
		    (!any_version && !is_version(query, upstream)) ||
		    was_tried(query, upstream))
			continue;
		if (upstream->ejected_until > query->now ||
		    is_full(query, upstream)) {
			if (verdict == PR_PLACE_NONE)
				verdict = PR_PLACE_BUSY;
			continue;
		}
		if (cold &&
		    !pr_upstream_has_cold_permit(upstream, query->now)) {
			verdict = PR_PLACE_COLD;
			continue;
		}
		holds = query->prefix_hash &&
			holds_prefix(registry, map, query, upstream);
		if (!holds && !is_drawn(map, query, classes, upstream))
			continue;
		expected = cost(map, query, upstream,
				!query->prefix_hash || holds);
		if (expected >= least)
			continue;
		least = expected;
		*out = upstream;
	}
	return *out ? PR_PLACE_FOUND : verdict;
}

static pr_place_verdict_t choose(const pr_registry_t *registry,
				 const pr_zone_map_t *map,
				 const pr_place_query_t *query,
				 bool any_version, pr_upstream_t **out)
{
	classes_t classes = { 0 };

	if (!query->sample_seed || query->hosts <= HOSTS_COMPARING_ALL)
		return choose_among(registry, map, query, NULL, any_version,
				    out);
	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next) {
		const pr_upstream_t *upstream =
			PR_OWNER(at, pr_upstream_t, node);

		if (is_permitted(map, query, upstream) &&
		    (any_version || is_version(query, upstream)))
			classes.counts[distance_class(map, upstream)]++;
	}
	if (choose_among(registry, map, query, &classes, any_version, out) ==
	    PR_PLACE_FOUND)
		return PR_PLACE_FOUND;
	/* None of the few can be used now. */
	return choose_among(registry, map, query, NULL, any_version, out);
}

/* Not to be used now: failing, full, tried, or without a permit while cold. */
static bool is_resting(const pr_place_query_t *query,
		       const pr_upstream_t *upstream)
{
	return upstream->ejected_until > query->now ||
	       is_full(query, upstream) || was_tried(query, upstream) ||
	       upstream->cold_until > query->now;
}

/*
 * This host's part of the requests that load an upstream on trial. Where there
 * are more hosts than requests, each takes part in one with that probability.
 */
static bool has_trial_room(const pr_place_query_t *query,
			   const pr_upstream_t *upstream)
{
	double room = TRIAL_LOAD * upstream->entry.slots /
		      (query->hosts ? query->hosts : 1);
	uint64_t draw;

	if (room >= 1)
		return upstream->in_flight + 1 <= room;
	draw = XXH64(upstream->entry.id, strlen(upstream->entry.id),
		     query->host_hash);
	return !upstream->in_flight && pr_sessions_in_share(draw, room);
}

static uint64_t trial_rank(const pr_place_query_t *query,
			   const pr_upstream_t *upstream)
{
	return XXH64(upstream->entry.id, strlen(upstream->entry.id),
		     query->transition->order_row);
}

/*
 * While a new version is on trial, two upstreams get requests up to a high
 * load, since a version may be bad under load only and its share spread over
 * all upstreams would load none. All hosts take the same ones, the second when
 * the first is full, by rendezvous hashing.
 */
static pr_upstream_t *choose_on_trial(const pr_registry_t *registry,
				      const pr_zone_map_t *map,
				      const pr_place_query_t *query)
{
	pr_upstream_t *best[TRIAL_UPSTREAMS] = { NULL };

	if (!query->transition || query->version != PR_VERSION_NEW)
		return NULL;
	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);

		if (!is_permitted(map, query, upstream) ||
		    !is_version(query, upstream) || is_resting(query, upstream))
			continue;
		for (size_t i = 0; i < TRIAL_UPSTREAMS && upstream; i++) {
			pr_upstream_t *other = best[i];

			if (other && trial_rank(query, upstream) <=
					     trial_rank(query, other))
				continue;
			best[i] = upstream;
			upstream = other;
		}
	}
	for (size_t i = 0; i < TRIAL_UPSTREAMS; i++) {
		if (best[i] && has_trial_room(query, best[i]))
			return best[i];
	}
	return NULL;
}

bool pr_place_has_load_test_room(const pr_registry_t *registry,
				 const pr_zone_map_t *map,
				 const pr_place_query_t *query)
{
	return choose_on_trial(registry, map, query);
}

pr_place_verdict_t pr_place_choose(const pr_registry_t *registry,
				   const pr_zone_map_t *map,
				   const pr_place_query_t *query,
				   pr_upstream_t **out, double *wait_ms)
{
	pr_place_verdict_t verdict = PR_PLACE_FOUND;

	*out = query->load_test ? choose_on_trial(registry, map, query) : NULL;
	if (!*out)
		verdict = choose(registry, map, query, false, out);

	/* Old upstreams serve what the new version has no room for. */
	if (verdict != PR_PLACE_FOUND && query->transition &&
	    query->version == PR_VERSION_NEW)
		verdict = choose(registry, map, query, true, out);
	if (*out && wait_ms)
		*wait_ms = cost(map, query, *out, true);
	return verdict;
}

uint32_t pr_place_count_usable(const pr_registry_t *registry,
			       const pr_zone_map_t *map, const char *service,
			       const char *version, pr_usec_t now)
{
	pr_place_query_t query = { .service = service, .now = now };
	uint32_t usable = 0;

	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next) {
		const pr_upstream_t *upstream =
			PR_OWNER(at, pr_upstream_t, node);

		if (is_permitted(map, &query, upstream) &&
		    !strcmp(upstream->entry.version, version) &&
		    upstream->ejected_until <= now)
			usable++;
	}
	return usable;
}
