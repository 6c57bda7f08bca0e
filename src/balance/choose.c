/* Choice of an upstream: the lowest expected first-token time among a few
 * candidates. */
#include "balance/internal.h"

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

/* Most upstreams collected in one scan; a subset is far smaller. */
#define SCAN_MAX 64

/* Share of the slots that batch requests may fill before they are expected to
 * queue. */
#define BATCH_SLOTS 0.8

/* Time without responses after which the excess over the expected first-token
 * time counts half. */
#define EXCESS_HALF_LIFE (2 * PR_USEC_PER_SEC)

/* Increase of the first-token time at full load, as a share of it: an engine
 * with a larger batch is slower even while it has free slots. */
#define LOAD_SLOPE 0.3

/* One choice in this many takes a random upstream, so that one that was slow
 * earlier is measured again. */
#define EXPLORE_INTERVAL 64

/* Usable upstreams found in a part of a pool. */
typedef struct scan_t {
	pr_balance_upstream_t *usable[SCAN_MAX];
	unsigned int count;
	/** Upstreams were skipped only because of their cold ceiling. */
	bool full;
} scan_t;

static bool has_report(const pr_balance_t *balance,
		       const pr_balance_upstream_t *upstream, pr_usec_t now)
{
	return upstream->reported_at >= 0 &&
	       now - upstream->reported_at <= balance->options.report_max_age;
}

/* Estimated number of hosts that send to the upstream, including this one. */
static double sharing_hosts(const pr_balance_t *balance,
			    const pr_balance_pool_t *pool,
			    const pr_balance_upstream_t *upstream)
{
	unsigned int hosts = balance->views ? balance->views[0].count : 1;
	unsigned int region =
		pool->region_count ? pool->region_count : pool->count;
	double sharing = (double)hosts * pool->local / region;

	return sharing > 1 ? sharing : 1;
}

/* Estimated requests on the upstream: the moving average of the load reports,
 * corrected by the deviation of this host's requests in flight from their
 * average, times the number of hosts. The latest report alone is too old: all
 * hosts would act on it and choose the same upstream (herd effect). */
static double load_of(const pr_balance_t *balance,
		      const pr_balance_pool_t *pool,
		      const pr_balance_upstream_t *upstream, pr_usec_t now)
{
	double own = upstream->in_flight;
	double sharing = sharing_hosts(balance, pool, upstream);
	double load;

	if (!has_report(balance, upstream, now))
		return own * sharing;
	load = upstream->mean_load + sharing * (own - upstream->mean_own);
	return load > own ? load : own;
}

static double expected_time(const pr_balance_t *balance,
			    const pr_balance_pool_t *pool,
			    const pr_balance_upstream_t *upstream,
			    const pr_balance_query_t *query, unsigned int *hits,
			    bool *unqueued, pr_usec_t now)
{
	double load = load_of(balance, pool, upstream, now);
	double slots = upstream->slots;
	double time, queued, age;

	*hits = balance->options.affinity
			? pr_balance_prefix_hits(upstream, query->blocks,
						 query->blocks_count)
			: 0;
	if (query->priority == PR_BALANCE_BATCH)
		slots *= BATCH_SLOTS;
	if (upstream->cold && upstream->cold_slots > 0 &&
	    slots > upstream->cold_slots)
		slots = upstream->cold_slots;
	time = upstream->first_token;
	if (query->blocks_count)
		time *= 1 - balance->options.prefix_saving *
				    upstream->prefix_trust * *hits /
				    query->blocks_count;
	time += LOAD_SLOPE * upstream->first_token * load / slots;
	queued = load + 1 - slots;
	*unqueued = queued <= 0;
	if (queued > 0)
		time += upstream->duration * queued / slots;
	age = (double)(now - upstream->excess_at) / EXCESS_HALF_LIFE;
	time += upstream->excess / (1 + age);
	if (upstream->remote)
		time += (double)balance->options.region_rtt;
	else if (upstream->other_zone)
		time += (double)balance->options.zone_rtt;
	return time;
}

static bool was_tried(const pr_balance_query_t *query,
		      const pr_balance_upstream_t *upstream)
{
	for (unsigned int i = 0; i < query->tried_count; i++)
		if (query->tried[i] == upstream)
			return true;
	return false;
}

/* Returns true if the load report shows that a cold upstream is at its
 * fleet-wide level. The ceiling of this host does not cover hosts that missed
 * the start, or whose requests outlast a change of shares. */
static bool is_cold_full(const pr_balance_t *balance,
			 const pr_balance_upstream_t *upstream, pr_usec_t now)
{
	double load = upstream->reported;

	if (!upstream->cold || !has_report(balance, upstream, now) ||
	    upstream->reported_at <= upstream->ramp_start)
		return false;
	load += (double)upstream->in_flight -
		pr_balance_in_flight_at(upstream, upstream->reported_at);
	return load >= pr_balance_level(balance, upstream, now);
}

/* Collects the usable upstreams among members [from, to) of the pool. */
static void scan(pr_balance_t *balance, scan_t *found,
		 const pr_balance_pool_t *pool, unsigned int from,
		 unsigned int to, const pr_balance_query_t *query,
		 bool include_tried, pr_usec_t now)
{
	found->count = 0;
	for (unsigned int i = from; i < to && found->count < SCAN_MAX; i++) {
		pr_balance_upstream_t *upstream = pool->members[i];

		if (!pr_balance_usable(balance, upstream, now) ||
		    (!include_tried && was_tried(query, upstream)))
			continue;
		if (upstream->in_flight >=
			    pr_balance_ceiling(balance, upstream, now) ||
		    is_cold_full(balance, upstream, now)) {
			found->full = true;
			upstream->ceiling_skips++;
			continue;
		}
		found->usable[found->count++] = upstream;
	}
}

/* Returns the index of the candidate with the longest cached prefix of the
 * prompt. Ties are broken by rendezvous hashing of the first block, so that all
 * hosts choose the same upstream for a new prefix. */
static unsigned int prefix_candidate(const scan_t *found,
				     const pr_balance_query_t *query)
{
	unsigned int best = 0, best_hits = 0;
	uint64_t best_score = 0;

	for (unsigned int i = 0; i < found->count; i++) {
		unsigned int hits = pr_balance_prefix_hits(
			found->usable[i], query->blocks, query->blocks_count);
		uint64_t score = pr_hash64(&query->blocks[0], sizeof(uint64_t),
					   found->usable[i]->hash);

		if (hits > best_hits ||
		    (hits == best_hits && score > best_score)) {
			best = i;
			best_hits = hits;
			best_score = score;
		}
	}
	return best;
}

/* Takes the upstream as the choice if its expected time is lower by more than
 * the penalty. */
static void consider(pr_balance_t *balance, pr_balance_choice_t *choice,
		     const pr_balance_pool_t *pool,
		     pr_balance_upstream_t *upstream,
		     const pr_balance_query_t *query, pr_usec_t penalty,
		     pr_usec_t now)
{
	unsigned int hits;
	bool unqueued;
	double time = expected_time(balance, pool, upstream, query, &hits,
				    &unqueued, now);

	if (choice->upstream && time + (double)penalty >= choice->expected)
		return;
	choice->upstream = upstream;
	choice->expected = (pr_usec_t)time;
	choice->blocks_hit = hits;
	choice->unqueued = unqueued;
	choice->remote = upstream->remote;
}

/* The policies for comparison runs. */
static void choose_simple(pr_balance_t *balance, pr_balance_choice_t *choice,
			  const scan_t *found, pr_rand_t *rand)
{
	unsigned int a = pr_rand_below(rand, found->count);
	unsigned int b = pr_rand_below(rand, found->count);

	if (balance->options.policy == PR_BALANCE_ROUND_ROBIN)
		a = balance->round++ % found->count;
	else if (balance->options.policy == PR_BALANCE_TWO_RANDOM)
		a = found->usable[b]->in_flight < found->usable[a]->in_flight
			    ? b
			    : a;
	else
		for (b = 0; b < found->count; b++)
			if (found->usable[b]->in_flight <
			    found->usable[a]->in_flight)
				a = b;
	choice->upstream = found->usable[a];
	choice->remote = found->usable[a]->remote;
	choice->expected = (pr_usec_t)found->usable[a]->first_token;
}

/* Compares a few random candidates and the one with the longest cached prefix.
 * A choice made before is kept unless a candidate is better. */
static void sample(pr_balance_t *balance, pr_balance_choice_t *choice,
		   const pr_balance_pool_t *pool, scan_t *found,
		   const pr_balance_query_t *query, pr_rand_t *rand,
		   pr_usec_t penalty, pr_usec_t now)
{
	if (!choice->upstream && pr_rand_below(rand, EXPLORE_INTERVAL) == 0) {
		consider(balance, choice, pool,
			 found->usable[pr_rand_below(rand, found->count)],
			 query, penalty, now);
		return;
	}
	if (balance->options.affinity && query->blocks_count)
		consider(balance, choice, pool,
			 found->usable[prefix_candidate(found, query)], query,
			 penalty, now);
	for (unsigned int i = 0;
	     i < balance->options.candidates && i < found->count; i++) {
		unsigned int j = i + pr_rand_below(rand, found->count - i);
		pr_balance_upstream_t *picked = found->usable[j];

		found->usable[j] = found->usable[i];
		found->usable[i] = picked;
		consider(balance, choice, pool, picked, query, penalty, now);
	}
}

static const pr_balance_pool_t *find_pool(const pr_balance_t *balance,
					  pr_slice_t target)
{
	uint64_t hash = pr_hash64(target.ptr, target.len, 0);

	for (unsigned int i = 0; i < balance->pools_count; i++)
		if (balance->pools[i].hash == hash)
			return &balance->pools[i];
	return NULL;
}

bool pr_balance_in_region(const pr_balance_t *balance, pr_slice_t target)
{
	const pr_balance_pool_t *pool = find_pool(balance, target);

	return pool && pool->region_count > 0;
}

/* Scans the local subset, then the other upstreams of this region, then the
 * remote subset and the rest, until one has usable upstreams. Upstreams that
 * the request has already tried are included only if none is left. */
static void scan_nearest_first(pr_balance_t *balance, scan_t *found,
			       const pr_balance_pool_t *pool,
			       const pr_balance_query_t *query, pr_usec_t now)
{
	unsigned int rest = pool->subset + pool->region_count - pool->local;

	for (int tried = 0; tried < 2; tried++) {
		scan(balance, found, pool, 0, pool->local, query, tried, now);
		if (!found->count)
			scan(balance, found, pool, pool->subset, rest, query,
			     tried, now);
		if (!found->count && query->cross_region)
			scan(balance, found, pool, pool->local, pool->subset,
			     query, tried, now);
		if (!found->count && query->cross_region)
			scan(balance, found, pool, rest, pool->count, query,
			     tried, now);
		if (found->count || !query->tried_count)
			return;
	}
}

int pr_balance_choose(pr_balance_t *balance, pr_balance_choice_t *choice,
		      const pr_balance_query_t *query, pr_rand_t *rand,
		      pr_usec_t now)
{
	const pr_balance_pool_t *pool = find_pool(balance, query->target);
	scan_t found = { .count = 0 };

	memset(choice, 0, sizeof(*choice));
	if (!pool)
		return pr_error_set(PR_ENOTFOUND, "no upstream serves %.*s",
				    (int)query->target.len, query->target.ptr);
	scan_nearest_first(balance, &found, pool, query, now);
	if (!found.count)
		return pr_error_set(found.full ? PR_EFULL : PR_EUNAVAILABLE,
				    "no usable upstream for %s", pool->target);
	if (balance->options.policy != PR_BALANCE_EXPECTED_TIME) {
		choose_simple(balance, choice, &found, rand);
	} else {
		sample(balance, choice, pool, &found, query, rand, 0, now);
		/* If the objective cannot be met in this region, compare with
		 * upstreams across the inter-region link. */
		if (query->cross_region && !choice->remote &&
		    choice->expected > balance->objective) {
			scan(balance, &found, pool, pool->local, pool->subset,
			     query, false, now);
			if (found.count)
				sample(balance, choice, pool, &found, query,
				       rand, balance->options.link_penalty,
				       now);
		}
	}
	choice->blocks_count = query->blocks_count;
	memcpy(choice->blocks, query->blocks, sizeof(choice->blocks));
	balance->counters.choices++;
	balance->counters.choices_remote += choice->remote;
	return 0;
}
