/*
 * Choice of an upstream by the lowest expected delay. For each prompt prefix,
 * every host ranks the upstreams of its region by rendezvous hashing, so that
 * hosts agree without messages which upstream caches the prefix. An upstream
 * without the prefix is chosen when waiting for the one that caches it would
 * take longer than to prefill the prefix again (bounded loads: Mirrokni et al.,
 * 2016). With a table of held prefixes, the prefill at each upstream follows
 * from the tokens that it is expected to hold (docs/design/kept-prompts.md).
 */
#include "place/place.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "place/internal.h"

/* Expected delay by distance, milliseconds. */
#define COST_SAME_ZONE_MS   0.0
#define COST_SAME_REGION_MS 4.0
/* Includes the round trip between regions, and a surcharge because traffic
 * between regions costs money. */
#define COST_OTHER_REGION_MS 150.0
/* Delay at a load of 1, when all slots are used, milliseconds; it grows with
 * the square of the load. */
#define COST_FULL_MS 400.0
/* Added for an upstream whose last attempt failed, milliseconds. */
#define COST_FAILED_LAST_MS 300.0
/* Added for an upstream that fails all requests, milliseconds: the time of the
 * failed attempt and of the next one. */
#define COST_FAILING_MS 1500.0
/* Failure rate that costs nothing: small samples and network faults cause it
 * on healthy upstreams too. */
#define FAILURE_RATE_NORMAL 0.2
/* Added for a cold upstream, milliseconds: it is used when all others are
 * slower by more than this. */
#define COST_COLD_MS 1500.0
/* Beyond this load an upstream queues requests. */
#define LOAD_QUEUEING 1.0
/* Delay for each unit of load above LOAD_QUEUEING, milliseconds. */
#define COST_QUEUEING_MS 3000.0
/* Added for each running stream that the prefill would pause for the gap that
 * the route allows between events, milliseconds. Pauses up to PAUSE_FREE_PART
 * of the gap cost nothing; longer ones do, since another host's prefill may add
 * to them before its report arrives. */
#define COST_PAUSED_STREAM_MS 100.0
#define PAUSE_FREE_PART       0.5
/* Load up to which an upstream gets requests of a load test. */
#define LOAD_TEST_LOAD 1.0
/* Prompts that may wait for their prefill at an upstream of a load test,
 * milliseconds. An upstream that reads prompts runs few requests, and makes
 * them wait. */
#define LOAD_TEST_PREFILL_MS 800.0
/* The shares of all hosts in these limits add up to this multiple of them.
 * Above 1, since hosts with little traffic leave a part of their share unused;
 * a prompt takes a host's share of the prefills for a short time only. It
 * bounds what hosts send that do not know of each other's requests. */
#define LOAD_TEST_SHARES         1.2
#define LOAD_TEST_PREFILL_SHARES 2.0

typedef enum distance_t {
	DISTANCE_ZONE,
	DISTANCE_REGION,
	DISTANCE_ELSEWHERE,
	DISTANCES_COUNT,
} distance_t;

/* Up to this number of hosts, all upstreams are compared: each host has sent
 * most of the load itself and knows it without delay. */
#define COMPARE_ALL_HOSTS_MAX 16
/* Average number of upstreams that are compared, by distance. */
static const double sample_size[DISTANCES_COUNT] = {
	[DISTANCE_ZONE] = 3,
	[DISTANCE_REGION] = 2,
	[DISTANCE_ELSEWHERE] = 1,
};
/* Upstreams that a load test uses: two, so that a fault of a single upstream is
 * not mistaken for a fault of the version. */
#define LOAD_TEST_UPSTREAMS 2
/* Load from which on an upstream would refuse requests. */
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

bool pr_place_was_tried(const pr_place_query_t *query,
			const pr_upstream_t *upstream)
{
	for (size_t i = 0; i < query->tried_count; i++) {
		if (query->tried[i] == upstream)
			return true;
	}
	return false;
}

bool pr_place_is_permitted(const pr_zone_map_t *map,
			   const pr_place_query_t *query,
			   const pr_upstream_t *upstream)
{
	const pr_zone_t *zone = pr_zone_find(map, upstream->entry.zone);

	if (strcmp(upstream->entry.service, query->service) != 0 ||
	    pr_upstream_is_leaving(upstream) ||
	    pr_upstream_is_withheld(upstream, query->now) || !zone ||
	    zone->evacuated)
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

static double distance_cost_ms(const pr_zone_map_t *map,
			       const pr_upstream_t *upstream)
{
	const pr_zone_t *zone = pr_zone_find(map, upstream->entry.zone);

	if (!strcmp(upstream->entry.zone, map->zone))
		return COST_SAME_ZONE_MS;
	return !strcmp(zone->region, map->region) ? COST_SAME_REGION_MS
						  : COST_OTHER_REGION_MS;
}

/*
 * Delay to expect from recent failures, milliseconds. Without it, an upstream
 * that fails requests at once has few in flight, and so would attract the more
 * requests the more it fails.
 */
static double failure_cost_ms(const pr_upstream_t *upstream, pr_usec_t now)
{
	double rate = pr_outcomes_failure_rate(&upstream->outcomes,
					       &upstream->peers_outcomes, now);

	if (rate <= FAILURE_RATE_NORMAL)
		return 0;
	return COST_FAILING_MS * (rate - FAILURE_RATE_NORMAL) /
	       (1 - FAILURE_RATE_NORMAL);
}

/*
 * Cost of the pause that the request's prefill causes to the streams that run
 * on the upstream, together with the prefills that it has still to do. An
 * upstream reads a prompt in chunks between the tokens of its streams, so their
 * next events arrive only when most of it is read.
 */
static double pause_cost_ms(const pr_place_query_t *query,
			    const pr_upstream_t *upstream, double prefill_ms)
{
	double streams = upstream->in_flight + upstream->peers_in_flight;
	double pause_ms = upstream->pending_prefill_ms +
			  upstream->peers_prefill_ms + prefill_ms;
	double part;

	if (query->gap_ms <= 0)
		return 0;
	part = (pause_ms / query->gap_ms - PAUSE_FREE_PART) /
	       (1 - PAUSE_FREE_PART);
	return query->pause_weight * COST_PAUSED_STREAM_MS * streams *
	       fmin(fmax(part, 0), 1);
}

static double expected_delay_ms(const pr_zone_map_t *map,
				const pr_place_query_t *query,
				const pr_upstream_t *upstream,
				bool caches_prefix)
{
	double load = pr_place_load(upstream);
	double total =
		distance_cost_ms(map, upstream) + COST_FULL_MS * load * load +
		upstream->pending_prefill_ms + upstream->peers_prefill_ms;

	if (load > LOAD_QUEUEING)
		total += COST_QUEUEING_MS * (load - LOAD_QUEUEING);
	if (!caches_prefix)
		total += query->prefix_prefill_ms;
	if (upstream->failures)
		total += COST_FAILED_LAST_MS;
	total += failure_cost_ms(upstream, query->now);
	if (upstream->cold_until > query->now)
		total += COST_COLD_MS;
	return total;
}

const char *pr_place_region_of(const pr_zone_map_t *map,
			       const pr_upstream_t *upstream)
{
	return pr_zone_find(map, upstream->entry.zone)->region;
}

/* Ejected after failures, or paused as it asked. */
bool pr_place_is_suspended(const pr_upstream_t *upstream, pr_usec_t now)
{
	return upstream->ejected_until > now ||
	       pr_upstream_is_paused(upstream, now);
}

static bool is_full(const pr_place_query_t *query,
		    const pr_upstream_t *upstream)
{
	return pr_place_load(upstream) >= LOAD_MAX ||
	       (pr_list_empty((pr_list_t *)(uintptr_t)&upstream->idle) &&
		upstream->connections >= query->connections_max);
}

/* Whether the upstream runs the version that the query prefers; true without a
 * transition, and after it for requests that began on the old version. */
bool pr_place_is_preferred_version(const pr_place_query_t *query,
				   const pr_upstream_t *upstream)
{
	bool is_new;

	if (!query->transition || query->transition->state == PR_ROLLOUT_DONE)
		return true;
	is_new = pr_transition_is_new(query->transition,
				      upstream->entry.version);
	return is_new == (query->version == PR_VERSION_NEW);
}

/* Number of upstreams that a request may use, by distance. */
typedef struct distance_counts_t {
	double counts[DISTANCES_COUNT];
} distance_counts_t;

static distance_t distance_class(const pr_zone_map_t *map,
				 const pr_upstream_t *upstream)
{
	if (!strcmp(upstream->entry.zone, map->zone))
		return DISTANCE_ZONE;
	return !strcmp(pr_place_region_of(map, upstream), map->region)
		       ? DISTANCE_REGION
		       : DISTANCE_ELSEWHERE;
}

/*
 * Whether the upstream is in the random sample that this attempt compares. Many
 * hosts see the same load reports, which are some 100 ms old: if each chose the
 * least loaded of all upstreams, all would send to the same one. Comparing a
 * few random ones avoids that (power of d choices: Mitzenmacher, 2000).
 */
static bool is_sampled(const pr_zone_map_t *map, const pr_place_query_t *query,
		       const distance_counts_t *by_distance,
		       const pr_upstream_t *upstream)
{
	distance_t class = distance_class(map, upstream);
	uint64_t hash;

	if (!by_distance || by_distance->counts[class] <= sample_size[class])
		return true;
	hash = XXH64(upstream->entry.id, strlen(upstream->entry.id),
		     query->sample_seed);
	return pr_sessions_in_share(hash, sample_size[class] /
						  by_distance->counts[class]);
}

/* Expected delay of the request at the upstream, and the delay that it causes
 * to others. */
static double cost_ms(const pr_zone_map_t *map, const pr_place_query_t *query,
		      const pr_place_caches_t *caches,
		      const pr_upstream_t *upstream)
{
	double prefill_ms;

	if (!query->kept)
		return expected_delay_ms(map, query, upstream,
					 !query->prefix_hash ||
						 pr_place_may_cache(query,
								    caches,
								    upstream)) +
		       pause_cost_ms(query, upstream, query->prefill_ms);
	prefill_ms = query->kept->prefill_ms_per_token *
		     (query->kept->prompt.tokens -
		      pr_place_held_tokens(query, caches, upstream));
	return expected_delay_ms(map, query, upstream, true) + prefill_ms +
	       pause_cost_ms(query, upstream, prefill_ms);
}

/*
 * Choose the upstream with the lowest expected delay, including the delay that
 * the request causes to others.
 *
 * @param by_distance number of upstreams by distance, to compare a sample of
 *	  them; NULL to compare all
 */
static pr_place_verdict_t choose_among(const pr_registry_t *registry,
				       const pr_zone_map_t *map,
				       const pr_place_query_t *query,
				       const pr_place_caches_t *caches,
				       const distance_counts_t *by_distance,
				       bool any_version, pr_upstream_t **out)
{
	pr_place_verdict_t verdict = PR_PLACE_NONE;
	double least = INFINITY;

	*out = NULL;
	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);
		bool cold = upstream->cold_until > query->now;
		double cost;

		if (!pr_place_is_permitted(map, query, upstream) ||
		    (!any_version &&
		     !pr_place_is_preferred_version(query, upstream)) ||
		    pr_place_was_tried(query, upstream))
			continue;
		if (pr_place_is_suspended(upstream, query->now) ||
		    pr_stated_rate_next(&upstream->rate, query->now) ||
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
		if (!pr_place_may_cache(query, caches, upstream) &&
		    !is_sampled(map, query, by_distance, upstream))
			continue;
		cost = cost_ms(map, query, caches, upstream);
		if (cost >= least)
			continue;
		least = cost;
		*out = upstream;
	}
	return *out ? PR_PLACE_FOUND : verdict;
}

static pr_place_verdict_t choose(const pr_registry_t *registry,
				 const pr_zone_map_t *map,
				 const pr_place_query_t *query,
				 const pr_place_caches_t *caches,
				 bool any_version, pr_upstream_t **out)
{
	distance_counts_t by_distance = { 0 };

	if (!query->sample_seed || query->hosts <= COMPARE_ALL_HOSTS_MAX)
		return choose_among(registry, map, query, caches, NULL,
				    any_version, out);
	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next) {
		const pr_upstream_t *upstream =
			PR_OWNER(at, pr_upstream_t, node);

		if (pr_place_is_permitted(map, query, upstream) &&
		    (any_version ||
		     pr_place_is_preferred_version(query, upstream)))
			by_distance.counts[distance_class(map, upstream)]++;
	}
	if (choose_among(registry, map, query, caches, &by_distance,
			 any_version, out) == PR_PLACE_FOUND)
		return PR_PLACE_FOUND;
	/* No upstream of the sample is available: compare all. */
	return choose_among(registry, map, query, caches, NULL, any_version,
			    out);
}

/* Not available for a load test: suspended, full, tried already, cold, or with
 * a stated rate, which keeps it from a high load. */
static bool is_unavailable(const pr_place_query_t *query,
			   const pr_upstream_t *upstream)
{
	return pr_place_is_suspended(upstream, query->now) ||
	       pr_stated_rate_is_limited(&upstream->rate) ||
	       is_full(query, upstream) ||
	       pr_place_was_tried(query, upstream) ||
	       upstream->cold_until > query->now;
}

/* Whether the prompts that wait at an upstream allow one more of a load test. A
 * prompt that exceeds this host's share is taken in a part of the cases that
 * keeps to the share on average. */
static bool has_prefill_room(const pr_place_query_t *query,
			     const pr_upstream_t *upstream)
{
	double waiting = upstream->pending_prefill_ms;
	double share = LOAD_TEST_PREFILL_SHARES * LOAD_TEST_PREFILL_MS /
		       (query->hosts ? query->hosts : 1);

	if (waiting + upstream->peers_prefill_ms > LOAD_TEST_PREFILL_MS)
		return false;
	if (waiting + query->prefill_ms <= share)
		return true;
	return waiting <= 0 &&
	       pr_sessions_in_share(XXH64(&query->sample_seed,
					  sizeof(query->sample_seed), 0),
				    share / query->prefill_ms);
}

/*
 * Whether this host's share of an upstream's test load allows one more request.
 * With more hosts than requests, the share is below one request; then a part of
 * the hosts, selected by hash, sends one request each.
 */
static bool has_load_test_slot(const pr_place_query_t *query,
			       const pr_upstream_t *upstream)
{
	double room = LOAD_TEST_SHARES * LOAD_TEST_LOAD *
		      upstream->entry.slots / (query->hosts ? query->hosts : 1);
	uint64_t hash;

	if (room >= 1)
		return upstream->in_flight + 1 <= room;
	hash = XXH64(upstream->entry.id, strlen(upstream->entry.id),
		     query->host_hash);
	return !upstream->in_flight && pr_sessions_in_share(hash, room);
}

static uint64_t load_test_rank(const pr_place_query_t *query,
			       const pr_upstream_t *upstream)
{
	return XXH64(upstream->entry.id, strlen(upstream->entry.id),
		     pr_revision_tag(query->transition->order_row));
}

/*
 * Upstream of the new version for a request of the load test. A version may be
 * bad under load only, and its share of the traffic, spread over all of its
 * upstreams, would bring none of them to a high load. So two upstreams get
 * requests up to a high load. All hosts select the same two by rendezvous
 * hashing, and use the second only when the first is full, so that the first
 * reaches a high load with few requests.
 */
static pr_upstream_t *choose_for_load_test(const pr_registry_t *registry,
					   const pr_zone_map_t *map,
					   const pr_place_query_t *query)
{
	pr_upstream_t *best[LOAD_TEST_UPSTREAMS] = { NULL };

	if (!query->transition || query->version != PR_VERSION_NEW)
		return NULL;
	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);

		if (!pr_place_is_permitted(map, query, upstream) ||
		    !pr_place_is_preferred_version(query, upstream) ||
		    is_unavailable(query, upstream))
			continue;
		for (size_t i = 0; i < LOAD_TEST_UPSTREAMS && upstream; i++) {
			pr_upstream_t *other = best[i];

			if (other && load_test_rank(query, upstream) <=
					     load_test_rank(query, other))
				continue;
			best[i] = upstream;
			upstream = other;
		}
	}
	for (size_t i = 0; i < LOAD_TEST_UPSTREAMS && best[i]; i++) {
		if (pr_place_load(best[i]) >= LOAD_TEST_LOAD)
			continue;
		return has_load_test_slot(query, best[i]) &&
				       has_prefill_room(query, best[i])
			       ? best[i]
			       : NULL;
	}
	return NULL;
}

bool pr_place_has_load_test_room(const pr_registry_t *registry,
				 const pr_zone_map_t *map,
				 const pr_place_query_t *query)
{
	return choose_for_load_test(registry, map, query);
}

pr_place_verdict_t pr_place_choose(const pr_registry_t *registry,
				   const pr_zone_map_t *map,
				   const pr_place_query_t *query,
				   pr_upstream_t **out, double *wait_ms)
{
	pr_place_verdict_t verdict = PR_PLACE_FOUND;
	pr_place_caches_t caches;

	pr_place_find_caches(registry, map, query, &caches);
	*out = query->load_test ? choose_for_load_test(registry, map, query)
				: NULL;
	if (!*out)
		verdict = choose(registry, map, query, &caches, false, out);

	/* Upstreams of the old version serve the requests for which the new
	 * version has no capacity. */
	if (verdict != PR_PLACE_FOUND && query->transition &&
	    query->version == PR_VERSION_NEW)
		verdict = choose(registry, map, query, &caches, true, out);
	if (*out && wait_ms)
		*wait_ms = expected_delay_ms(map, query, *out, true);
	if (*out && query->kept) {
		query->kept->tokens =
			pr_place_held_tokens(query, &caches, *out);
		query->kept->off_first_rank =
			caches.ranks.seeds_count &&
			pr_place_rank_of(&caches, *out) != 0;
	}
	return verdict;
}

static pr_usec_t earlier(pr_usec_t a, pr_usec_t b)
{
	return a < b ? a : b;
}

pr_place_return_t pr_place_next_return(const pr_registry_t *registry,
				       const pr_zone_map_t *map,
				       const pr_place_query_t *query)
{
	bool any_version =
		query->transition && query->version == PR_VERSION_NEW;
	pr_usec_t untried = PR_USEC_NEVER, all = PR_USEC_NEVER;

	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next) {
		const pr_upstream_t *upstream =
			PR_OWNER(at, pr_upstream_t, node);
		pr_usec_t rate_next =
			pr_stated_rate_next(&upstream->rate, query->now);
		pr_usec_t until = pr_upstream_is_paused(upstream, query->now)
					  ? upstream->paused_until
					  : 0;

		if (rate_next > until)
			until = rate_next;
		if (!pr_place_is_permitted(map, query, upstream) ||
		    (!any_version &&
		     !pr_place_is_preferred_version(query, upstream)))
			continue;
		all = earlier(all, until);
		if (!pr_place_was_tried(query, upstream))
			untried = earlier(untried, until);
	}
	if (all == PR_USEC_NEVER)
		all = 0;
	return (pr_place_return_t){
		.any = all, .untried = untried == PR_USEC_NEVER ? all : untried
	};
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

		if (pr_place_is_permitted(map, &query, upstream) &&
		    !strcmp(upstream->entry.version, version) &&
		    !pr_place_is_suspended(upstream, now))
			usable++;
	}
	return usable;
}
