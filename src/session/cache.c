/*
 * Memory of a session owner: a hash table with chains over a fixed array and
 * a recency list. Sessions are known by a 128-bit hash of their names; model
 * and version names are kept once in a short list, so an entry takes 48 bytes.
 */
#include "pistachiorack/session.h"

#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/policy.h"

#define NONE UINT32_MAX

int pr_session_cache_init(pr_session_cache_t *memory, uint32_t max,
			  pr_usec_t ttl)
{
	*memory = (pr_session_cache_t){ .max = max,
					.ttl = ttl,
					.newest = NONE,
					.oldest = NONE,
					.free = NONE };
	if (!max || max == NONE || ttl <= 0)
		return pr_error_set(PR_EINVALID,
				    "session memory needs a size and a "
				    "time to live");
	memory->entries = calloc(max, sizeof(*memory->entries));
	memory->buckets = malloc(max * sizeof(*memory->buckets));
	if (!memory->entries || !memory->buckets) {
		pr_session_cache_finish(memory);
		return pr_error_set(PR_ENOMEM, "no memory for sessions");
	}
	memset(memory->buckets, 0xff, max * sizeof(*memory->buckets));
	return 0;
}

void pr_session_cache_finish(pr_session_cache_t *memory)
{
	free(memory->entries);
	free(memory->buckets);
	for (uint16_t i = 0; i < memory->names_count; i++)
		free(memory->names[i]);
	*memory = (pr_session_cache_t){ .entries = NULL };
}

size_t pr_session_cache_bytes(const pr_session_cache_t *memory)
{
	return sizeof(*memory) + memory->max * (sizeof(*memory->entries) +
						sizeof(*memory->buckets));
}

static void hash_key(uint64_t key[2], pr_slice_t workspace, pr_slice_t id)
{
	for (uint64_t i = 0; i < 2; i++)
		key[i] = pr_hash64(id.ptr, id.len,
				   pr_hash64(workspace.ptr, workspace.len, i));
}

static uint32_t find(const pr_session_cache_t *memory, const uint64_t key[2])
{
	uint32_t i = memory->buckets[key[0] % memory->max];

	while (i != NONE && (memory->entries[i].key[0] != key[0] ||
			     memory->entries[i].key[1] != key[1]))
		i = memory->entries[i].chain;
	return i;
}

static void unlink_recency(pr_session_cache_t *memory, uint32_t i)
{
	pr_session_entry_t *entry = &memory->entries[i];

	if (entry->newer != NONE)
		memory->entries[entry->newer].older = entry->older;
	else
		memory->newest = entry->older;
	if (entry->older != NONE)
		memory->entries[entry->older].newer = entry->newer;
	else
		memory->oldest = entry->newer;
}

static void link_newest(pr_session_cache_t *memory, uint32_t i)
{
	pr_session_entry_t *entry = &memory->entries[i];

	entry->newer = NONE;
	entry->older = memory->newest;
	if (memory->newest != NONE)
		memory->entries[memory->newest].newer = i;
	else
		memory->oldest = i;
	memory->newest = i;
}

static void forget(pr_session_cache_t *memory, uint32_t i)
{
	pr_session_entry_t *entry = &memory->entries[i];
	uint32_t *link = &memory->buckets[entry->key[0] % memory->max];

	while (*link != i)
		link = &memory->entries[*link].chain;
	*link = entry->chain;
	unlink_recency(memory, i);
	entry->chain = memory->free;
	memory->free = i;
}

static void expire(pr_session_cache_t *memory, pr_usec_t now)
{
	while (memory->oldest != NONE &&
	       memory->entries[memory->oldest].used + memory->ttl <= now) {
		forget(memory, memory->oldest);
		memory->expired++;
	}
}

static uint32_t take_free(pr_session_cache_t *memory)
{
	uint32_t i;

	if (memory->free == NONE && memory->count < memory->max)
		return memory->count++;
	if (memory->free == NONE) {
		forget(memory, memory->oldest);
		memory->evicted++;
	}
	i = memory->free;
	memory->free = memory->entries[i].chain;
	return i;
}

/* Finds a name that no remembered session uses; a host that lives long sees
 * more versions than the list has places. */
static uint16_t unused_name(const pr_session_cache_t *memory)
{
	bool used[PR_SESSION_NAMES_MAX] = { false };
	uint16_t index = 0;

	for (uint32_t i = memory->newest; i != NONE;
	     i = memory->entries[i].older) {
		used[memory->entries[i].model] = true;
		used[memory->entries[i].version] = true;
	}
	while (index < memory->names_count && used[index])
		index++;
	return index;
}

static int name_index(pr_session_cache_t *memory, const char *name,
		      uint16_t *index)
{
	char *copy;

	for (*index = 0; *index < memory->names_count; (*index)++)
		if (!strcmp(memory->names[*index], name))
			return 0;
	if (memory->names_count == PR_SESSION_NAMES_MAX)
		*index = unused_name(memory);
	if (*index == PR_SESSION_NAMES_MAX)
		return pr_error_set(PR_EFULL, "more than %d version names",
				    PR_SESSION_NAMES_MAX);
	copy = strdup(name);
	if (!copy)
		return pr_error_set(PR_ENOMEM, "no memory for a name");
	if (*index < memory->names_count)
		free(memory->names[*index]);
	else
		memory->names_count++;
	memory->names[*index] = copy;
	return 0;
}

int pr_session_cache_put(pr_session_cache_t *memory,
			 const pr_session_t *session, pr_usec_t now)
{
	pr_session_entry_t *entry;
	uint64_t key[2];
	uint16_t model, version;
	uint32_t i;
	int err = name_index(memory, session->model, &model);

	if (!err)
		err = name_index(memory, session->version, &version);
	/* With a full list the second look-up may have taken the first's
	 * place, since no entry refers to it yet. */
	if (!err && strcmp(memory->names[model], session->model) != 0)
		err = pr_error_set(PR_EFULL, "more than %d version names",
				   PR_SESSION_NAMES_MAX);
	if (err)
		return err;
	expire(memory, now);
	hash_key(key, pr_slice_of(session->workspace),
		 pr_slice_of(session->session));
	i = find(memory, key);
	if (i == NONE) {
		i = take_free(memory);
		entry = &memory->entries[i];
		*entry = (pr_session_entry_t){ .key = { key[0], key[1] },
					       .issued = session->issued };
		entry->chain = memory->buckets[key[0] % memory->max];
		memory->buckets[key[0] % memory->max] = i;
	} else {
		unlink_recency(memory, i);
		entry = &memory->entries[i];
	}
	link_newest(memory, i);
	entry->used = now;
	if (session->issued >= entry->issued) {
		entry->issued = session->issued;
		entry->model = model;
		entry->version = version;
	}
	return 0;
}

int pr_session_cache_get(pr_session_cache_t *memory, pr_session_t *session,
			 pr_slice_t workspace, pr_slice_t id, pr_usec_t now)
{
	pr_session_entry_t *entry;
	uint64_t key[2];
	uint32_t i;

	expire(memory, now);
	hash_key(key, workspace, id);
	i = find(memory, key);
	if (i == NONE)
		return PR_ENOTFOUND;
	unlink_recency(memory, i);
	link_newest(memory, i);
	entry = &memory->entries[i];
	entry->used = now;
	return pr_session_set(session, workspace, id,
			      pr_slice_of(memory->names[entry->model]),
			      pr_slice_of(memory->names[entry->version]),
			      entry->issued);
}

pr_session_decision_t pr_session_decide(const pr_fleet_t *fleet,
					const pr_session_t *token,
					const pr_session_t *memory)
{
	const pr_session_t *newer = token;

	if (!token || (memory && memory->issued > token->issued))
		newer = memory;
	if (!newer)
		return (pr_session_decision_t){ PR_SESSION_START, NULL };
	if (pr_policy_permitted(fleet, pr_slice_of(newer->workspace),
				pr_slice_of(newer->model),
				pr_slice_of(newer->version), PR_BASIS_SESSION,
				true))
		return (pr_session_decision_t){ PR_SESSION_MOVE, newer };
	return (pr_session_decision_t){ PR_SESSION_KEEP, newer };
}
