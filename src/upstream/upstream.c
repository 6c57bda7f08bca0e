/* Registry of upstreams, with ejection after failures and permits for cold
 * ones. */
#include "upstream/upstream.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Duration of an ejection, microseconds; doubled with each further failure up
 * to the maximum. */
#define EJECT_BASE (300 * PR_USEC_PER_MSEC)
#define EJECT_MAX  (2 * PR_USEC_PER_SEC)
/* Consecutive failures that eject an upstream. */
#define EJECT_AFTER 2
/* Connections that break within this time of each other, microseconds, belong
 * to one crash. */
#define CRASH_TIME (5 * PR_USEC_PER_SEC)
/* Added to the cold time, microseconds, since discovery lags behind the
 * upstream. */
#define COLD_MARGIN (500 * PR_USEC_PER_MSEC)
/* Fraction of a cold upstream's rate that is divided among the hosts. */
#define COLD_SHARE 0.8

void pr_registry_init(pr_registry_t *registry)
{
	memset(registry, 0, sizeof(*registry));
	pr_list_init(&registry->upstreams);
}

pr_upstream_t *pr_upstream_ref(pr_upstream_t *upstream)
{
	upstream->refs++;
	return upstream;
}

void pr_upstream_unref(pr_upstream_t *upstream)
{
	if (!--upstream->refs)
		free(upstream);
}

/* Keep an upstream in place of the one that was removed longest ago. */
static void keep_removed(pr_registry_t *registry, pr_upstream_t *upstream)
{
	size_t i = registry->removed_next++ % PR_REGISTRY_REMOVED_MAX;

	if (registry->removed[i])
		pr_upstream_unref(registry->removed[i]);
	registry->removed[i] = upstream;
}

static void unlist(pr_registry_t *registry, pr_upstream_t *upstream)
{
	upstream->listed = false;
	pr_list_remove(&upstream->node);
	keep_removed(registry, upstream);
}

void pr_registry_finish(pr_registry_t *registry)
{
	pr_list_t *at = registry->upstreams.next;

	while (at != &registry->upstreams) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);

		at = at->next;
		unlist(registry, upstream);
	}
	for (size_t i = 0; i < PR_REGISTRY_REMOVED_MAX; i++) {
		if (registry->removed[i])
			pr_upstream_unref(registry->removed[i]);
		registry->removed[i] = NULL;
	}
}

pr_upstream_t *pr_registry_find(const pr_registry_t *registry, const char *id)
{
	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);

		if (!strcmp(upstream->entry.id, id))
			return upstream;
	}
	return NULL;
}

/* Take the instance of the entry back from the removed ones, without what other
 * hosts reported about it. An entry without a start time names no instance. */
static pr_upstream_t *take_removed(pr_registry_t *registry,
				   const pr_upstream_entry_t *entry)
{
	for (size_t i = 0; i < PR_REGISTRY_REMOVED_MAX; i++) {
		pr_upstream_t *upstream = registry->removed[i];

		if (!upstream || !entry->born ||
		    upstream->entry.born != entry->born ||
		    strcmp(upstream->entry.id, entry->id) != 0)
			continue;
		registry->removed[i] = NULL;
		upstream->listed = true;
		upstream->peers_in_flight = 0;
		upstream->peers_prefill_ms = 0;
		memset(&upstream->peers_outcomes, 0,
		       sizeof(upstream->peers_outcomes));
		pr_list_append(&registry->upstreams, &upstream->node);
		return upstream;
	}
	return NULL;
}

static pr_upstream_t *add(pr_registry_t *registry,
			  const pr_upstream_entry_t *entry)
{
	pr_upstream_t *upstream = take_removed(registry, entry);

	if (upstream)
		return upstream;
	upstream = calloc(1, sizeof(*upstream));
	if (!upstream)
		return NULL;
	upstream->refs = 1;
	upstream->listed = true;
	upstream->tag = (uint32_t)XXH64(entry->id, strlen(entry->id),
					(uint64_t)entry->born);
	pr_list_init(&upstream->idle);
	pr_list_append(&registry->upstreams, &upstream->node);
	return upstream;
}

static bool is_same_content(const pr_upstream_entry_t *a,
			    const pr_upstream_entry_t *b)
{
	return !strcmp(a->service, b->service) && !strcmp(a->zone, b->zone) &&
	       !strcmp(a->version, b->version) &&
	       a->address.sin_addr.s_addr == b->address.sin_addr.s_addr &&
	       a->address.sin_port == b->address.sin_port &&
	       a->slots == b->slots && a->memory_tokens == b->memory_tokens &&
	       a->draining == b->draining && a->cold_ms == b->cold_ms;
}

/*
 * Whether the entry holds a later report than the known one, by what the
 * upstream states. Entries that state nothing to compare are taken as later
 * when they differ, but no instance takes requests again after it was draining.
 */
static bool is_newer(const pr_upstream_entry_t *entry,
		     const pr_upstream_entry_t *known)
{
	if (entry->born != known->born)
		return entry->born > known->born;
	if (entry->sequence != known->sequence)
		return entry->sequence > known->sequence;
	if (entry->sequence || (known->draining && !entry->draining))
		return false;
	return !is_same_content(entry, known);
}

pr_upstream_t *pr_registry_apply(pr_registry_t *registry,
				 const pr_upstream_entry_t *entry,
				 pr_revision_t row, uint32_t cold_default_ms,
				 pr_usec_t now)
{
	pr_upstream_t *upstream = pr_registry_find(registry, entry->id);
	bool is_new = !upstream;
	pr_usec_t cold = (pr_usec_t)entry->cold_ms * PR_USEC_PER_MSEC;
	pr_usec_t paused_until = 0;

	if (upstream && !pr_revision_is_after(row, upstream->row))
		return NULL;
	if (upstream && row.era > upstream->row.era &&
	    !is_newer(entry, &upstream->entry)) {
		upstream->row = row;
		return NULL;
	}
	if (upstream && upstream->entry.born != entry->born) {
		/* A restarted instance keeps no state of the one before, but it
		 * may have asked for a pause before its entry came. */
		paused_until = upstream->paused_until;
		unlist(registry, upstream);
		is_new = true;
	}
	if (is_new)
		upstream = add(registry, entry);
	if (!upstream)
		return NULL;
	upstream->entry = *entry;
	upstream->row = row;
	upstream->remove_at = 0;
	if (paused_until > upstream->paused_until)
		upstream->paused_until = paused_until;
	if (cold)
		upstream->cold_until = now + cold + COLD_MARGIN;
	else if (is_new && registry->initial_read_done)
		upstream->cold_until =
			now + cold_default_ms * PR_USEC_PER_MSEC + COLD_MARGIN;
	return upstream;
}

void pr_registry_remove(pr_registry_t *registry, const char *id,
			pr_revision_t row, pr_usec_t remove_at, pr_usec_t now)
{
	pr_upstream_t *upstream = pr_registry_find(registry, id);

	if (!upstream || pr_revision_is_after(upstream->row, row))
		return;
	if (remove_at <= now)
		unlist(registry, upstream);
	else if (!upstream->remove_at)
		upstream->remove_at = remove_at;
}

void pr_registry_expire(pr_registry_t *registry, pr_usec_t now)
{
	pr_list_t *at = registry->upstreams.next;

	while (at != &registry->upstreams) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);

		at = at->next;
		if (upstream->remove_at && upstream->remove_at <= now)
			unlist(registry, upstream);
	}
}

void pr_upstream_record_failure(pr_upstream_t *upstream, pr_usec_t now)
{
	uint32_t doublings;
	pr_usec_t pause;

	upstream->failures++;
	if (upstream->failures < EJECT_AFTER)
		return;
	doublings = upstream->failures - EJECT_AFTER;
	pause = EJECT_BASE << (doublings < 4 ? doublings : 4);
	upstream->ejected_until = now + (pause < EJECT_MAX ? pause : EJECT_MAX);
}

void pr_upstream_record_success(pr_upstream_t *upstream)
{
	upstream->failures = 0;
	upstream->ejected_until = 0;
}

bool pr_upstream_record_disconnect(pr_upstream_t *upstream, pr_usec_t now)
{
	bool is_new = now >= upstream->crash_until;

	upstream->crash_until = now + CRASH_TIME;
	return is_new;
}

bool pr_upstream_mark_leaving(pr_upstream_t *upstream)
{
	bool is_first = !upstream->leaving;

	upstream->leaving = true;
	return is_first;
}

bool pr_upstream_is_leaving(const pr_upstream_t *upstream)
{
	return upstream->entry.draining || upstream->leaving;
}

bool pr_upstream_pause(pr_upstream_t *upstream, pr_usec_t duration,
		       pr_usec_t now)
{
	bool is_first = !pr_upstream_is_paused(upstream, now);
	pr_usec_t until = now + (duration < PR_UPSTREAM_PAUSE_MAX
					 ? duration
					 : PR_UPSTREAM_PAUSE_MAX);

	if (until > upstream->paused_until)
		upstream->paused_until = until;
	return is_first;
}

bool pr_upstream_is_paused(const pr_upstream_t *upstream, pr_usec_t now)
{
	return upstream->paused_until > now;
}

void pr_upstream_mark_cold(pr_upstream_t *upstream, pr_usec_t until)
{
	if (until > upstream->cold_until)
		upstream->cold_until = until;
}

bool pr_upstream_has_cold_permit(const pr_upstream_t *upstream, pr_usec_t now)
{
	return !upstream->cold_excludes_self && now >= upstream->cold_next_at;
}

bool pr_upstream_take_cold_permit(pr_upstream_t *upstream, double rate,
				  uint32_t hosts, pr_usec_t now)
{
	double share;

	if (rate <= 0)
		return true;
	if (!pr_upstream_has_cold_permit(upstream, now))
		return false;
	share = rate * COLD_SHARE / (hosts ? hosts : 1);
	upstream->cold_next_at = now + (pr_usec_t)(PR_USEC_PER_SEC / share);
	return true;
}
