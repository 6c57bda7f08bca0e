/*
 * Which upstreams cache a prefix of the prompt: the first ranks by rendezvous
 * hashing, and those to which this host sent it.
 */
#include <string.h>

#include "place/internal.h"

static bool is_in_own_region(const pr_zone_map_t *map,
			     const pr_upstream_t *upstream)
{
	return !strcmp(pr_place_region_of(map, upstream), map->region);
}

/* Rank the upstreams that a request may use, each among those of its version.
 * Suspended and tried ones keep their rank, so that the ranks of all hosts stay
 * the same. */
static void rank_upstreams(const pr_registry_t *registry,
			   const pr_zone_map_t *map,
			   const pr_place_query_t *query, pr_ranks_t *ranks)
{
	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams && ranks->seeds_count; at = at->next) {
		const pr_upstream_t *upstream =
			PR_OWNER(at, pr_upstream_t, node);

		if (pr_place_is_permitted(map, query, upstream) &&
		    is_in_own_region(map, upstream))
			pr_ranks_add(ranks, upstream);
	}
}

static uint32_t count_of_service(const pr_registry_t *registry,
				 const char *service)
{
	uint32_t count = 0;

	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next)
		count += !strcmp(
			PR_OWNER(at, pr_upstream_t, node)->entry.service,
			service);
	return count;
}

static void note_own(pr_place_caches_t *caches, const pr_upstream_t *upstream,
		     double tokens)
{
	for (size_t i = 0; i < PR_PLACE_OWN_COMPARED && tokens > 0; i++) {
		const pr_upstream_t *other = caches->own[i].upstream;
		double tokens_of_other = caches->own[i].tokens;

		if (tokens <= tokens_of_other)
			continue;
		caches->own[i].upstream = upstream;
		caches->own[i].tokens = tokens;
		upstream = other;
		tokens = tokens_of_other;
	}
}

static void find_own(const pr_registry_t *registry, const pr_zone_map_t *map,
		     const pr_place_query_t *query, pr_place_caches_t *caches)
{
	const pr_place_kept_t *kept = query->kept;

	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next) {
		const pr_upstream_t *upstream =
			PR_OWNER(at, pr_upstream_t, node);
		double tokens = pr_kept_own_tokens(kept->table, &kept->prompt,
						   upstream, query->now);

		if (tokens > 0 && pr_place_is_permitted(map, query, upstream) &&
		    pr_place_is_preferred_version(query, upstream) &&
		    !pr_place_was_tried(query, upstream) &&
		    !pr_place_is_suspended(upstream, query->now))
			note_own(caches, upstream, tokens);
	}
}

void pr_place_find_caches(const pr_registry_t *registry,
			  const pr_zone_map_t *map,
			  const pr_place_query_t *query,
			  pr_place_caches_t *caches)
{
	pr_ranks_init(&caches->ranks);
	memset(caches->own, 0, sizeof(caches->own));
	if (query->kept)
		pr_kept_add_seeds(&query->kept->prompt, &caches->ranks);
	else if (query->prefix_hash)
		pr_ranks_add_seed(&caches->ranks, query->prefix_hash);
	caches->longest =
		caches->ranks.seeds_count ? caches->ranks.seeds_count - 1 : 0;
	rank_upstreams(registry, map, query, &caches->ranks);
	if (!query->kept)
		return;
	query->kept->prompt.upstreams =
		count_of_service(registry, query->service);
	find_own(registry, map, query, caches);
}

/* @return rank of the upstream for the longest shared prefix, or PR_RANKS */
size_t pr_place_rank_of(const pr_place_caches_t *caches,
			const pr_upstream_t *upstream)
{
	return caches->ranks.seeds_count
		       ? pr_ranks_of(&caches->ranks, caches->longest, upstream)
		       : PR_RANKS;
}

/* Whether the upstream may hold a prefix, so that it is compared whether it is
 * in the random sample or not. */
bool pr_place_may_cache(const pr_place_query_t *query,
			const pr_place_caches_t *caches,
			const pr_upstream_t *upstream)
{
	size_t rank = pr_place_rank_of(caches, upstream);

	if (!query->kept)
		return rank == 0;
	for (size_t i = 0; i < PR_PLACE_OWN_COMPARED; i++) {
		if (caches->own[i].upstream == upstream)
			return true;
	}
	return rank < PR_RANKS;
}

double pr_place_held_tokens(const pr_place_query_t *query,
			    const pr_place_caches_t *caches,
			    const pr_upstream_t *upstream)
{
	return pr_kept_tokens(query->kept->table, &query->kept->prompt,
			      &caches->ranks, upstream, query->now);
}
