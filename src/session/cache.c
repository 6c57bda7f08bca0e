/*
 * Session cache of an owner host: a chained hash table over a fixed array of
 * entries, with an LRU list for eviction and expiry. The key of a session is a
 * 128-bit hash of its workspace and name. Model and version names are interned
 * in a short list, so that an entry takes 48 bytes.
 */
#include "pistachiorack/session.h"

#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/policy.h"

#define NO_ENTRY UINT32_MAX

int pr_session_cache_init(pr_session_cache_t *cache, uint32_t max,
			  pr_usec_t ttl)
{
	*cache = (pr_session_cache_t){ .max = max,
				       .ttl = ttl,
				       .newest = NO_ENTRY,
				       .oldest = NO_ENTRY,
				       .free = NO_ENTRY };
	if (!max || max == NO_ENTRY || ttl <= 0)
		return pr_error_set(PR_EINVALID,
				    "session cache: capacity %u or time to "
				    "live %lld us is out of range",
				    max, (long long)ttl);
	cache->entries = calloc(max, sizeof(*cache->entries));
	cache->buckets = malloc(max * sizeof(*cache->buckets));
	if (!cache->entries || !cache->buckets) {
		pr_session_cache_finish(cache);
		return pr_error_set(PR_ENOMEM,
				    "no memory for the session cache");
	}
	memset(cache->buckets, 0xff, max * sizeof(*cache->buckets));
	return 0;
}

void pr_session_cache_finish(pr_session_cache_t *cache)
{
	free(cache->entries);
	free(cache->buckets);
	for (uint16_t i = 0; i < cache->names_count; i++)
		free(cache->names[i]);
	*cache = (pr_session_cache_t){ .entries = NULL };
}

size_t pr_session_cache_bytes(const pr_session_cache_t *cache)
{
	return sizeof(*cache) +
	       cache->max * (sizeof(*cache->entries) + sizeof(*cache->buckets));
}

static void hash_key(uint64_t key[2], pr_slice_t workspace, pr_slice_t id)
{
	for (uint64_t i = 0; i < 2; i++)
		key[i] = pr_hash64(id.ptr, id.len,
				   pr_hash64(workspace.ptr, workspace.len, i));
}

static uint32_t find_entry(const pr_session_cache_t *cache,
			   const uint64_t key[2])
{
	uint32_t i = cache->buckets[key[0] % cache->max];

	while (i != NO_ENTRY && (cache->entries[i].key[0] != key[0] ||
				 cache->entries[i].key[1] != key[1]))
		i = cache->entries[i].next_in_bucket;
	return i;
}

static void unlink_lru(pr_session_cache_t *cache, uint32_t i)
{
	pr_session_entry_t *entry = &cache->entries[i];

	if (entry->newer != NO_ENTRY)
		cache->entries[entry->newer].older = entry->older;
	else
		cache->newest = entry->older;
	if (entry->older != NO_ENTRY)
		cache->entries[entry->older].newer = entry->newer;
	else
		cache->oldest = entry->newer;
}

static void link_newest(pr_session_cache_t *cache, uint32_t i)
{
	pr_session_entry_t *entry = &cache->entries[i];

	entry->newer = NO_ENTRY;
	entry->older = cache->newest;
	if (cache->newest != NO_ENTRY)
		cache->entries[cache->newest].newer = i;
	else
		cache->oldest = i;
	cache->newest = i;
}

static void remove_entry(pr_session_cache_t *cache, uint32_t i)
{
	pr_session_entry_t *entry = &cache->entries[i];
	uint32_t *link = &cache->buckets[entry->key[0] % cache->max];

	while (*link != i)
		link = &cache->entries[*link].next_in_bucket;
	*link = entry->next_in_bucket;
	unlink_lru(cache, i);
	entry->next_in_bucket = cache->free;
	cache->free = i;
}

static void expire_entries(pr_session_cache_t *cache, pr_usec_t now)
{
	while (cache->oldest != NO_ENTRY &&
	       cache->entries[cache->oldest].last_used + cache->ttl <= now) {
		remove_entry(cache, cache->oldest);
		cache->expired++;
	}
}

static uint32_t alloc_entry(pr_session_cache_t *cache)
{
	uint32_t i;

	if (cache->free == NO_ENTRY && cache->count < cache->max)
		return cache->count++;
	if (cache->free == NO_ENTRY) {
		remove_entry(cache, cache->oldest);
		cache->evicted++;
	}
	i = cache->free;
	cache->free = cache->entries[i].next_in_bucket;
	return i;
}

/*
 * Finds the index of a name that no cached session uses, since a host that runs
 * for long sees more versions than the list can hold.
 *
 * @return PR_SESSION_NAMES_MAX when each name is in use
 */
static uint16_t find_unused_name(const pr_session_cache_t *cache)
{
	bool used[PR_SESSION_NAMES_MAX] = { false };
	uint16_t index = 0;

	for (uint32_t i = cache->newest; i != NO_ENTRY;
	     i = cache->entries[i].older) {
		used[cache->entries[i].model] = true;
		used[cache->entries[i].version] = true;
	}
	while (index < cache->names_count && used[index])
		index++;
	return index;
}

/* Sets index to the place of a name in the list, adding the name if needed. */
static int intern_name(pr_session_cache_t *cache, const char *name,
		       uint16_t *index)
{
	char *copy;

	for (*index = 0; *index < cache->names_count; (*index)++)
		if (!strcmp(cache->names[*index], name))
			return 0;
	if (cache->names_count == PR_SESSION_NAMES_MAX)
		*index = find_unused_name(cache);
	if (*index == PR_SESSION_NAMES_MAX)
		return pr_error_set(
			PR_EFULL,
			"more than %d distinct model and version names in use",
			PR_SESSION_NAMES_MAX);
	copy = strdup(name);
	if (!copy)
		return pr_error_set(PR_ENOMEM,
				    "no memory for a model or version name");
	if (*index < cache->names_count)
		free(cache->names[*index]);
	else
		cache->names_count++;
	cache->names[*index] = copy;
	return 0;
}

int pr_session_cache_put(pr_session_cache_t *cache, const pr_session_t *session,
			 pr_usec_t now)
{
	pr_session_entry_t *entry;
	uint64_t key[2];
	uint16_t model, version;
	uint32_t i;
	int err = intern_name(cache, session->model, &model);

	if (!err)
		err = intern_name(cache, session->version, &version);
	/* When the list is full, adding the version name may have replaced
	 * the model name just added, since no entry refers to it yet. */
	if (!err && strcmp(cache->names[model], session->model) != 0)
		err = pr_error_set(
			PR_EFULL,
			"more than %d distinct model and version names in use",
			PR_SESSION_NAMES_MAX);
	if (err)
		return err;
	expire_entries(cache, now);
	hash_key(key, pr_slice_of(session->workspace),
		 pr_slice_of(session->session));
	i = find_entry(cache, key);
	if (i == NO_ENTRY) {
		i = alloc_entry(cache);
		entry = &cache->entries[i];
		*entry = (pr_session_entry_t){ .key = { key[0], key[1] },
					       .issued = session->issued };
		entry->next_in_bucket = cache->buckets[key[0] % cache->max];
		cache->buckets[key[0] % cache->max] = i;
	} else {
		unlink_lru(cache, i);
		entry = &cache->entries[i];
	}
	link_newest(cache, i);
	entry->last_used = now;
	if (session->issued >= entry->issued) {
		entry->issued = session->issued;
		entry->model = model;
		entry->version = version;
	}
	return 0;
}

int pr_session_cache_get(pr_session_cache_t *cache, pr_session_t *session,
			 pr_slice_t workspace, pr_slice_t id, pr_usec_t now)
{
	pr_session_entry_t *entry;
	uint64_t key[2];
	uint32_t i;

	expire_entries(cache, now);
	hash_key(key, workspace, id);
	i = find_entry(cache, key);
	if (i == NO_ENTRY)
		return PR_ENOTFOUND;
	unlink_lru(cache, i);
	link_newest(cache, i);
	entry = &cache->entries[i];
	entry->last_used = now;
	return pr_session_set(
		session, workspace, id, pr_slice_of(cache->names[entry->model]),
		pr_slice_of(cache->names[entry->version]), entry->issued);
}

pr_session_decision_t pr_session_decide(const pr_fleet_t *fleet,
					const pr_session_t *token,
					const pr_session_t *cached)
{
	const pr_session_t *newer = token;

	if (!token || (cached && cached->issued > token->issued))
		newer = cached;
	if (!newer)
		return (pr_session_decision_t){ PR_SESSION_START, NULL };
	if (pr_policy_permitted(fleet, pr_slice_of(newer->workspace),
				pr_slice_of(newer->model),
				pr_slice_of(newer->version), PR_BASIS_SESSION,
				true))
		return (pr_session_decision_t){ PR_SESSION_MOVE, newer };
	return (pr_session_decision_t){ PR_SESSION_KEEP, newer };
}
