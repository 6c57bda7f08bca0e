/**
 * First ranks of upstreams by rendezvous hashing, for several seeds at once.
 * Hosts with the same upstreams agree on them without messages.
 */
#ifndef PR_PLACE_RANK_H
#define PR_PLACE_RANK_H

#include <stddef.h>
#include <stdint.h>

#include "upstream/upstream.h"

/** Ranks that are kept for a seed and a version. */
#define PR_RANKS          3
#define PR_RANK_SEEDS_MAX 16
/** Versions that are ranked, each for itself; upstreams of further ones have no
 *  rank. Above the number of versions of a deployment, which is 25. */
#define PR_RANK_VERSIONS_MAX 32

typedef struct pr_ranked_t {
	uint64_t hash;
	/** NULL for a rank that no upstream has. */
	const pr_upstream_t *upstream;
} pr_ranked_t;

typedef struct pr_ranks_t {
	uint64_t seeds[PR_RANK_SEEDS_MAX];
	size_t seeds_count;
	const char *versions[PR_RANK_VERSIONS_MAX];
	size_t versions_count;
	pr_ranked_t first[PR_RANK_VERSIONS_MAX][PR_RANK_SEEDS_MAX][PR_RANKS];
} pr_ranks_t;

/** Start without upstreams and seeds. */
void pr_ranks_init(pr_ranks_t *ranks);
/** Add a seed; before the first upstream. Those above the most are ignored. */
void pr_ranks_add_seed(pr_ranks_t *ranks, uint64_t seed);
/** Rank an upstream among those of its version. */
void pr_ranks_add(pr_ranks_t *ranks, const pr_upstream_t *upstream);
/** @return rank from 0 on for the seed at the index, or PR_RANKS for none */
size_t pr_ranks_of(const pr_ranks_t *ranks, size_t seed,
		   const pr_upstream_t *upstream);

#endif
