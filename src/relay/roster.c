/* Table of hosts by name and by zone, and the selection of relays. */
#include "relay/roster.h"

#include <stdlib.h>
#include <string.h>

#include "pistachiorack/hash.h"

#define SLOTS ((size_t)PR_ROSTER_MAX * 2)
/* Age of its last digest up to which a relay is responsive. A relay sends five
 * digests in this time, some of which may be lost. */
#define DIGEST_AGE_MAX PR_USEC_PER_SEC
/* Time between two trials of a relay that sends no digests. */
#define TRIAL_INTERVAL (5 * PR_USEC_PER_SEC)
/* Age of its last report up to which a host is a follower. A host reports five
 * times a second; a longer silence means that it uses another relay or is
 * gone. */
#define REPORT_AGE_MAX (2 * PR_USEC_PER_SEC)

int pr_roster_init(pr_roster_t *roster, const char *self)
{
	memset(roster, 0, sizeof(*roster));
	roster->self = self;
	roster->slots = calloc(SLOTS, sizeof(pr_host_t *));
	return roster->slots ? 0 : -1;
}

void pr_roster_finish(pr_roster_t *roster)
{
	for (size_t i = 0; i < roster->count; i++) {
		free(roster->hosts[i]->report);
		free(roster->hosts[i]);
	}
	free((void *)roster->hosts);
	free((void *)roster->slots);
	memset(roster, 0, sizeof(*roster));
}

static size_t slot_of(const pr_roster_t *roster, pr_slice_t name)
{
	size_t slot = pr_hash64(name.ptr, name.len, 0) & (SLOTS - 1);

	while (roster->slots[slot] &&
	       !pr_slice_equal(name, pr_slice_of(roster->slots[slot]->name)))
		slot = (slot + 1) & (SLOTS - 1);
	return slot;
}

pr_host_t *pr_roster_find(const pr_roster_t *roster, pr_slice_t name)
{
	return roster->slots[slot_of(roster, name)];
}

bool pr_roster_is_self(const pr_roster_t *roster, const pr_host_t *host)
{
	return !strcmp(host->name, roster->self);
}

/* Hosts with more CPU capacity come first, since a relay does more work. */
static int compare(const pr_host_t *a, const pr_host_t *b)
{
	int zones = strcmp(a->zone, b->zone);

	if (zones)
		return zones;
	if (a->capacity != b->capacity)
		return a->capacity > b->capacity ? -1 : 1;
	return a->hash < b->hash ? -1 : a->hash > b->hash;
}

/* Restore the sort order after a change of a host's zone or capacity. */
static void reposition(pr_roster_t *roster, pr_host_t *host)
{
	size_t at = 0;

	while (roster->hosts[at] != host)
		at++;
	for (; at && compare(roster->hosts[at - 1], host) > 0; at--)
		roster->hosts[at] = roster->hosts[at - 1];
	for (;
	     at + 1 < roster->count && compare(host, roster->hosts[at + 1]) > 0;
	     at++)
		roster->hosts[at] = roster->hosts[at + 1];
	roster->hosts[at] = host;
}

static pr_host_t *add_host(pr_roster_t *roster, pr_slice_t name)
{
	pr_host_t **grown;
	pr_host_t *host;

	if (roster->count == PR_ROSTER_MAX)
		return NULL;
	grown = (pr_host_t **)realloc((void *)roster->hosts,
				      (roster->count + 1) *
					      sizeof(pr_host_t *));
	if (!grown)
		return NULL;
	roster->hosts = grown;
	host = calloc(1, sizeof(*host));
	if (!host)
		return NULL;
	if (pr_slice_copy(host->name, sizeof(host->name), name)) {
		free(host);
		return NULL;
	}
	host->hash = pr_hash64(name.ptr, name.len, 1);
	roster->hosts[roster->count++] = host;
	roster->slots[slot_of(roster, name)] = host;
	return host;
}

pr_host_t *pr_roster_upsert(pr_roster_t *roster, pr_slice_t name,
			    pr_slice_t zone, uint32_t capacity,
			    const struct sockaddr_in *address)
{
	pr_host_t *host = pr_roster_find(roster, name);

	if (!host)
		host = add_host(roster, name);
	if (!host)
		return NULL;
	pr_slice_copy(host->zone, sizeof(host->zone), zone);
	host->capacity = capacity;
	host->address = *address;
	reposition(roster, host);
	return host;
}

void pr_roster_note_digest(pr_host_t *relay, bool current,
			   pr_usec_t store_read_at, pr_usec_t now)
{
	relay->digest_at = now;
	relay->current = current;
	relay->store_read_at = store_read_at;
	relay->trial_at = 0;
}

void pr_roster_note_report(pr_host_t *host, pr_usec_t now)
{
	host->reported_at = now;
}

bool pr_roster_is_follower(const pr_host_t *host, pr_usec_t now)
{
	return host->reported_at && now - host->reported_at < REPORT_AGE_MAX;
}

bool pr_roster_is_responsive(const pr_host_t *relay, pr_usec_t now)
{
	return relay->digest_at && now - relay->digest_at < DIGEST_AGE_MAX;
}

/*
 * A host without a recent digest is used on trial for DIGEST_AGE_MAX, the time
 * in which a relay would answer, and again after TRIAL_INTERVAL.
 */
static bool is_on_trial(pr_host_t *host, pr_usec_t now)
{
	if (!host->trial_at || now - host->trial_at >= TRIAL_INTERVAL)
		host->trial_at = now;
	return now - host->trial_at < DIGEST_AGE_MAX;
}

size_t pr_roster_select_relays(pr_roster_t *roster, const char *zone,
			       bool current, pr_usec_t now,
			       pr_host_t *out[PR_RELAYS_MAX])
{
	size_t count = 0;
	size_t current_count = 0;

	for (size_t i = 0;
	     i < roster->count && current_count < PR_RELAYS_WANTED &&
	     count < PR_RELAYS_MAX;
	     i++) {
		pr_host_t *host = roster->hosts[i];
		bool self = pr_roster_is_self(roster, host);

		if (strcmp(host->zone, zone) != 0)
			continue;
		if (self || pr_roster_is_responsive(host, now)) {
			out[count++] = host;
			current_count += self ? current : host->current;
		} else if (is_on_trial(host, now)) {
			out[count++] = host;
		}
	}
	return count;
}

static bool is_listed(const char *const *zones, size_t count, const char *zone)
{
	for (size_t i = 0; i < count; i++) {
		if (!strcmp(zones[i], zone))
			return true;
	}
	return false;
}

bool pr_roster_is_assigned(const pr_roster_t *roster, const char *const *zones,
			   size_t zones_count, uint64_t subject,
			   uint32_t wanted, uint32_t *count)
{
	uint64_t own = pr_hash64(roster->self, strlen(roster->self), subject);
	uint32_t before = 0, total = 0;
	bool listed = false;

	for (size_t i = 0; i < roster->count; i++) {
		const pr_host_t *host = roster->hosts[i];

		if (!is_listed(zones, zones_count, host->zone))
			continue;
		total++;
		if (pr_roster_is_self(roster, host))
			listed = true;
		else if (pr_hash64(host->name, strlen(host->name), subject) <
			 own)
			before++;
	}
	*count = total < wanted ? total : wanted;
	return listed && before < wanted;
}

uint32_t pr_roster_rank(const pr_roster_t *roster, uint64_t subject)
{
	uint64_t own = pr_hash64(roster->self, strlen(roster->self), subject);
	uint32_t before = 0;

	for (size_t i = 0; i < roster->count; i++) {
		const char *name = roster->hosts[i]->name;

		if (pr_hash64(name, strlen(name), subject) < own)
			before++;
	}
	return before;
}
