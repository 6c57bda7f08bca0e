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

/* What the registry knows of an id. */
typedef struct known_t {
	pr_upstream_t *listed;
	/* One that was removed. */
	pr_upstream_t *removed;
	/* Latest revisions of its rows and of its removals. */
	pr_revision_t row, removal;
} known_t;

static void note_revisions(known_t *known, const pr_upstream_t *upstream)
{
	known->row = pr_revision_later(known->row, upstream->row);
	known->removal = pr_revision_later(known->removal, upstream->removal);
}

static known_t find_known(const pr_registry_t *registry, const char *id)
{
	known_t known = { .listed = pr_registry_find(registry, id) };

	if (known.listed)
		note_revisions(&known, known.listed);
	for (size_t i = 0; i < PR_REGISTRY_REMOVED_MAX; i++) {
		pr_upstream_t *upstream = registry->removed[i];

		if (!upstream || strcmp(upstream->entry.id, id) != 0)
			continue;
		known.removed = upstream;
		note_revisions(&known, upstream);
	}
	return known;
}

typedef enum row_kind_t {
	/* Not later than what is known. */
	ROW_OUTDATED,
	ROW_IN_ERA,
	/* The first of a newer era than any that is known for the id. */
	ROW_OF_NEW_ERA,
} row_kind_t;

static row_kind_t kind_of_row(const known_t *known, pr_revision_t row)
{
	pr_revision_t last = pr_revision_later(known->row, known->removal);

	if (row.era != last.era)
		return row.era > last.era ? ROW_OF_NEW_ERA : ROW_OUTDATED;
	if (row.era > known->row.era &&
	    !pr_revision_is_after(row, known->removal))
		return ROW_OUTDATED;
	if (known->listed && !pr_revision_is_after(row, known->listed->row))
		return ROW_OUTDATED;
	return ROW_IN_ERA;
}

static bool is_newer_than_removed(const pr_registry_t *registry,
				  const pr_upstream_entry_t *entry)
{
	for (size_t i = 0; i < PR_REGISTRY_REMOVED_MAX; i++) {
		const pr_upstream_t *upstream = registry->removed[i];

		if (upstream && !strcmp(upstream->entry.id, entry->id) &&
		    !is_newer(entry, &upstream->entry))
			return false;
	}
	return true;
}

/*
 * Take the instance of the entry back from the removed ones, without what other
 * hosts reported about it. An entry without a start time names no instance; it
 * is taken for that of a removed one only if it comes with a copy of the store
 * and is not newer.
 */
static pr_upstream_t *take_removed(pr_registry_t *registry,
				   const pr_upstream_entry_t *entry,
				   bool is_from_copy)
{
	for (size_t i = 0; i < PR_REGISTRY_REMOVED_MAX; i++) {
		pr_upstream_t *upstream = registry->removed[i];

		if (!upstream || upstream->entry.born != entry->born ||
		    strcmp(upstream->entry.id, entry->id) != 0)
			continue;
		if (!entry->born &&
		    (!is_from_copy || is_newer(entry, &upstream->entry)))
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
	pr_upstream_t *upstream = calloc(1, sizeof(*upstream));

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

/*
 * A row of a newer era shows the listed upstream without anything new. The row
 * is in the store again, so a removal that is due later doesn't hold, but the
 * upstream gets no requests from then on for as long as it may have to write
 * its entry again.
 */
static void keep_listed(pr_upstream_t *upstream, pr_revision_t row,
			pr_usec_t now)
{
	upstream->row = row;
	if (upstream->remove_at)
		upstream->withheld_from = upstream->remove_at;
	if (upstream->remove_at || upstream->withheld_until > now)
		upstream->withheld_until = now + PR_UPSTREAM_RENEWAL_TIME;
	upstream->remove_at = 0;
}

/* Start of a cold time after the entry was applied. */
static void update_cold(const pr_registry_t *registry, pr_upstream_t *upstream,
			bool is_start, uint32_t cold_default_ms, pr_usec_t now)
{
	pr_usec_t stated =
		(pr_usec_t)upstream->entry.cold_ms * PR_USEC_PER_MSEC;

	if (stated)
		upstream->cold_until = now + stated + COLD_MARGIN;
	else if (is_start && registry->initial_read_done)
		upstream->cold_until =
			now + cold_default_ms * PR_USEC_PER_MSEC + COLD_MARGIN;
}

pr_upstream_t *pr_registry_apply(pr_registry_t *registry,
				 const pr_upstream_entry_t *entry,
				 pr_revision_t row, uint32_t cold_default_ms,
				 pr_usec_t now)
{
	known_t known = find_known(registry, entry->id);
	row_kind_t kind = kind_of_row(&known, row);
	bool is_from_copy = kind == ROW_OF_NEW_ERA;
	bool is_start = false, is_withheld = false, has_news = true;
	pr_upstream_t *upstream = known.listed;
	pr_usec_t paused_until = 0;

	if (kind == ROW_OUTDATED)
		return NULL;
	if (upstream && is_from_copy && !is_newer(entry, &upstream->entry)) {
		keep_listed(upstream, row, now);
		return NULL;
	}
	if (upstream && upstream->entry.born != entry->born) {
		/* A restarted instance keeps no state of the one before, but it
		 * may have asked for a pause before its entry came. */
		paused_until = upstream->paused_until;
		unlist(registry, upstream);
		upstream = NULL;
	}
	if (!upstream) {
		is_withheld =
			is_from_copy && !is_newer_than_removed(registry, entry);
		upstream = take_removed(registry, entry, is_from_copy);
		/* What is known from an earlier era has not just started. */
		is_start = !upstream || upstream->row.era == row.era;
		has_news = !upstream || !is_from_copy ||
			   is_newer(entry, &upstream->entry);
		if (!upstream)
			upstream = add(registry, entry);
	}
	if (!upstream)
		return NULL;
	upstream->row = row;
	upstream->remove_at = 0;
	upstream->withheld_from = is_withheld ? now : 0;
	upstream->withheld_until =
		is_withheld ? now + PR_UPSTREAM_RENEWAL_TIME : 0;
	if (paused_until > upstream->paused_until)
		upstream->paused_until = paused_until;
	if (has_news) {
		upstream->entry = *entry;
		update_cold(registry, upstream, is_start, cold_default_ms, now);
	}
	return upstream;
}

void pr_registry_remove(pr_registry_t *registry, const char *id,
			pr_revision_t row, pr_usec_t remove_at, pr_usec_t now)
{
	known_t known = find_known(registry, id);
	pr_upstream_t *upstream = known.listed;

	if (row.era < pr_revision_later(known.row, known.removal).era ||
	    (upstream && pr_revision_is_after(upstream->row, row)))
		return;
	if (!upstream) {
		/* Rows that were written before are outdated. */
		if (known.removed)
			known.removed->removal =
				pr_revision_later(known.removed->removal, row);
		return;
	}
	upstream->removal = pr_revision_later(upstream->removal, row);
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

bool pr_upstream_is_withheld(const pr_upstream_t *upstream, pr_usec_t now)
{
	return now >= upstream->withheld_from && now < upstream->withheld_until;
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
