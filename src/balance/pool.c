/* Pools of the upstreams that serve the same target, and this host's subset of
 * each pool. Subsets are chosen by rendezvous hashing. */
#include "balance/internal.h"

#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

typedef struct ranked_t {
	pr_balance_upstream_t *upstream;
	uint64_t score;
	/** Position in the order by score within its zone. */
	unsigned int zone_position;
} ranked_t;

void pr_balance_free_pools(pr_balance_pool_t *pools, unsigned int count)
{
	for (unsigned int i = 0; i < count; i++) {
		free(pools[i].target);
		free(pools[i].members);
	}
	free(pools);
}

static pr_balance_pool_t *find_pool(pr_balance_pool_t *pools,
				    unsigned int count, uint64_t hash)
{
	for (unsigned int i = 0; i < count; i++)
		if (pools[i].hash == hash)
			return &pools[i];
	return NULL;
}

/* Adds the upstream to the pool of the target; creates the pool if needed. */
static int add_member(pr_balance_pool_t **pools, unsigned int *count,
		      const char *target, pr_balance_upstream_t *upstream)
{
	uint64_t hash = pr_hash64(target, strlen(target), 0);
	pr_balance_pool_t *pool = find_pool(*pools, *count, hash);
	pr_balance_upstream_t **members;

	if (!pool) {
		pr_balance_pool_t *grown =
			realloc(*pools, (*count + 1) * sizeof(*grown));

		if (!grown)
			return PR_ENOMEM;
		*pools = grown;
		pool = &grown[*count];
		*pool = (pr_balance_pool_t){
			.target = strdup(target),
			.hash = hash,
		};
		if (!pool->target)
			return PR_ENOMEM;
		(*count)++;
	}
	/* The capacity is the next power of two; grow when it is full. */
	if (!(pool->count & (pool->count - 1))) {
		members = realloc(pool->members,
				  (pool->count ? 2 * pool->count : 1) *
					  sizeof(pr_balance_upstream_t *));
		if (!members)
			return PR_ENOMEM;
		pool->members = members;
	}
	pool->members[pool->count++] = upstream;
	pool->region_count += !upstream->remote;
	return 0;
}

static int by_score(const void *a, const void *b)
{
	const ranked_t *x = a, *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return strcmp(x->upstream->name, y->upstream->name);
}

/* Orders the best upstream of each zone before the second best of each zone and
 * so on, so that a subset contains several zones and is not empty when a zone
 * goes out of service. */
static int by_zone_position(const void *a, const void *b)
{
	const ranked_t *x = a, *y = b;

	if (x->upstream->remote != y->upstream->remote)
		return x->upstream->remote ? 1 : -1;
	if (x->zone_position != y->zone_position)
		return x->zone_position < y->zone_position ? -1 : 1;
	return by_score(a, b);
}

static unsigned int smaller(unsigned int a, unsigned int b)
{
	return a < b ? a : b;
}

/* Orders the members of the pool: local subset, remote subset, others. */
static int choose_subset(const pr_balance_t *balance, pr_balance_pool_t *pool,
			 unsigned int zones_count)
{
	ranked_t *ranked = calloc(pool->count, sizeof(*ranked));
	unsigned int *zone_counts =
		calloc(zones_count + 1, sizeof(*zone_counts));
	uint64_t seed =
		pr_hash64(balance->host, strlen(balance->host), pool->hash);
	unsigned int remote = pool->count - pool->region_count;
	unsigned int out = 0;

	if (!ranked || !zone_counts) {
		free(ranked);
		free(zone_counts);
		return PR_ENOMEM;
	}
	for (unsigned int i = 0; i < pool->count; i++) {
		ranked[i].upstream = pool->members[i];
		ranked[i].score = pr_hash64(&pool->members[i]->hash,
					    sizeof(uint64_t), seed);
	}
	qsort(ranked, pool->count, sizeof(*ranked), by_score);
	for (unsigned int i = 0; i < pool->count; i++)
		ranked[i].zone_position =
			zone_counts[ranked[i].upstream->zone_index]++;
	qsort(ranked, pool->count, sizeof(*ranked), by_zone_position);
	pool->local =
		smaller(pool->region_count, balance->options.subset_local);
	pool->subset =
		pool->local + smaller(remote, balance->options.subset_remote);
	for (unsigned int i = 0; i < pool->local; i++)
		pool->members[out++] = ranked[i].upstream;
	for (unsigned int i = 0; i < pool->subset - pool->local; i++)
		pool->members[out++] = ranked[pool->region_count + i].upstream;
	for (unsigned int i = 0; i < pool->subset; i++)
		pool->members[i]->connected = true;
	for (unsigned int i = pool->local; i < pool->region_count; i++)
		pool->members[out++] = ranked[i].upstream;
	for (unsigned int i = pool->region_count + pool->subset - pool->local;
	     i < pool->count; i++)
		pool->members[out++] = ranked[i].upstream;
	free(ranked);
	free(zone_counts);
	return 0;
}

int pr_balance_build_pools(pr_balance_t *balance, const pr_fleet_t *fleet,
			   pr_balance_pool_t **pools, unsigned int *count)
{
	int rc = 0;

	*pools = NULL;
	*count = 0;
	for (unsigned int i = 0; i < fleet->upstreams_count && !rc; i++) {
		const pr_upstream_t *config = &fleet->upstreams[i];

		balance->upstreams[i]->connected = false;
		for (unsigned int j = 0; j < config->serves_count && !rc; j++)
			rc = add_member(pools, count, config->serves[j],
					balance->upstreams[i]);
	}
	for (unsigned int i = 0; i < *count && !rc; i++)
		rc = choose_subset(balance, &(*pools)[i], fleet->zones_count);
	if (rc) {
		pr_balance_free_pools(*pools, *count);
		*pools = NULL;
		*count = 0;
		return pr_error_set(PR_ENOMEM, "no memory for upstream pools");
	}
	return 0;
}
