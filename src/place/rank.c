/* First ranks by rendezvous hashing, found in one pass over the upstreams. */
#include "place/rank.h"

#include <string.h>

#include <xxhash.h>

void pr_ranks_init(pr_ranks_t *ranks)
{
	ranks->seeds_count = 0;
	ranks->versions_count = 0;
}

void pr_ranks_add_seed(pr_ranks_t *ranks, uint64_t seed)
{
	if (ranks->seeds_count < PR_RANK_SEEDS_MAX)
		ranks->seeds[ranks->seeds_count++] = seed;
}

/* @return index of the version, or PR_RANK_VERSIONS_MAX when it has no room */
static size_t find_or_add_version(pr_ranks_t *ranks, const char *version)
{
	size_t i = 0;

	while (i < ranks->versions_count &&
	       strcmp(ranks->versions[i], version) != 0)
		i++;
	if (i < ranks->versions_count || i == PR_RANK_VERSIONS_MAX)
		return i;
	ranks->versions[ranks->versions_count++] = version;
	for (size_t seed = 0; seed < ranks->seeds_count; seed++) {
		for (size_t rank = 0; rank < PR_RANKS; rank++)
			ranks->first[i][seed][rank] = (pr_ranked_t){ 0 };
	}
	return i;
}

static void insert(pr_ranked_t *first, pr_ranked_t added)
{
	for (size_t rank = 0; rank < PR_RANKS && added.upstream; rank++) {
		pr_ranked_t other = first[rank];

		if (other.upstream && added.hash <= other.hash)
			continue;
		first[rank] = added;
		added = other;
	}
}

void pr_ranks_add(pr_ranks_t *ranks, const pr_upstream_t *upstream)
{
	size_t version = find_or_add_version(ranks, upstream->entry.version);
	size_t len = strlen(upstream->entry.id);

	if (version == PR_RANK_VERSIONS_MAX)
		return;
	for (size_t seed = 0; seed < ranks->seeds_count; seed++)
		insert(ranks->first[version][seed],
		       (pr_ranked_t){ XXH64(upstream->entry.id, len,
					    ranks->seeds[seed]),
				      upstream });
}

size_t pr_ranks_of(const pr_ranks_t *ranks, size_t seed,
		   const pr_upstream_t *upstream)
{
	for (size_t version = 0; version < ranks->versions_count; version++) {
		for (size_t rank = 0; rank < PR_RANKS; rank++) {
			if (ranks->first[version][seed][rank].upstream ==
			    upstream)
				return rank;
		}
	}
	return PR_RANKS;
}
