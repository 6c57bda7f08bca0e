/* What a host tells others of its suspects, and what the fleet saves of them.
 */
#include "quarantine/internal.h"

/* Most suspects that are sent to an audience at a time. This bounds what a
 * storm of crashes adds to the control traffic: a host is told by each relay of
 * its zone. */
static const size_t changes_max[PR_AUDIENCES_COUNT] = {
	[PR_AUDIENCE_RELAYS] = 4,
	[PR_AUDIENCE_FOLLOWERS] = 1,
};
/* Quarantined parts that are sent again at a time. */
#define REFRESH_MAX 8

/* After the release too, hosts that start have to know that requests with the
 * part are sent one at a time. */
static bool is_refreshed(const pr_quarantine_entry_t *entry, int64_t now_ms)
{
	return pr_suspect_is_quarantined(&entry->suspect) &&
	       !entry->overruled &&
	       now_ms - entry->suspect.crash_ms <= PR_SUSPICION_MS;
}

void pr_quarantine_refresh(pr_quarantine_t *quarantine, int64_t now_ms)
{
	size_t refreshed = 0;

	for (size_t i = 0; i < quarantine->count && refreshed < REFRESH_MAX;
	     i++) {
		pr_quarantine_entry_t *entry;

		quarantine->refresh_at =
			(quarantine->refresh_at + 1) % quarantine->count;
		entry = &quarantine->entries[quarantine->refresh_at];
		if (!is_refreshed(entry, now_ms))
			continue;
		refreshed++;
		for (int j = 0; j < PR_AUDIENCES_COUNT; j++) {
			if (!entry->sends_left[j])
				entry->sends_left[j] = 1;
		}
	}
}

/* Kinds of news beside verdicts, which come first. */
typedef enum news_t {
	NEWS_EVIDENCE,
	NEWS_CLEARANCE,
	NEWS_SINGLE_CRASH,
	NEWS_COUNT,
} news_t;

/* The order of the kinds; relays, which judge, are sent the first ones of both
 * orders in turn. Many clearances must not hold back the evidence against a
 * part that explains the crashes of others, nor the other way round: either
 * that comes late leads to a false verdict. */
static const unsigned order[2][NEWS_COUNT] = {
	{ [NEWS_CLEARANCE] = 0, [NEWS_EVIDENCE] = 1, [NEWS_SINGLE_CRASH] = 2 },
	{ [NEWS_EVIDENCE] = 0, [NEWS_CLEARANCE] = 1, [NEWS_SINGLE_CRASH] = 2 },
};

static news_t kind_of(const pr_suspect_t *suspect)
{
	if (!pr_suspect_is_suspected(suspect))
		return NEWS_CLEARANCE;
	return suspect->crashes_count > 1 && !pr_suspect_was_answered(suspect)
		       ? NEWS_EVIDENCE
		       : NEWS_SINGLE_CRASH;
}

/* Each request that a crash breaks off has a content of its own, and few of
 * them are ever sent again. News of them must not hold back those of parts. */
static bool is_minor(const pr_suspect_t *suspect)
{
	return pr_suspect_is_content(suspect) &&
	       kind_of(suspect) != NEWS_EVIDENCE;
}

/* Whether to send a rather than b to an audience. */
static bool is_sent_before(const pr_quarantine_t *quarantine,
			   const pr_quarantine_entry_t *a,
			   const pr_quarantine_entry_t *b,
			   pr_audience_t audience)
{
	const unsigned *kinds =
		order[audience == PR_AUDIENCE_RELAYS && quarantine->sends % 2];
	const pr_suspect_t *x = &a->suspect, *y = &b->suspect;

	/* The end of a quarantine is as urgent as its begin. */
	if (!x->quarantined_ms != !y->quarantined_ms)
		return x->quarantined_ms;
	/* One that changes all the time must not hold back the others. */
	if (x->quarantined_ms)
		return a->sent_at[audience] < b->sent_at[audience];
	if (is_minor(x) != is_minor(y))
		return is_minor(y);
	if (a->sends_left[audience] != b->sends_left[audience])
		return a->sends_left[audience] > b->sends_left[audience];
	if (kinds[kind_of(x)] != kinds[kind_of(y)])
		return kinds[kind_of(x)] < kinds[kind_of(y)];
	return pr_suspect_is_likelier(x, x->crashes_count, y, y->crashes_count);
}

size_t pr_quarantine_take_changes(pr_quarantine_t *quarantine,
				  pr_audience_t audience, pr_suspect_t *out,
				  size_t max)
{
	bool taken[PR_QUARANTINE_MAX] = { false };
	size_t count = 0;

	if (max > changes_max[audience])
		max = changes_max[audience];
	while (count < max) {
		pr_quarantine_entry_t *first = NULL;

		for (size_t i = 0; i < quarantine->count; i++) {
			pr_quarantine_entry_t *entry = &quarantine->entries[i];

			if (entry->sends_left[audience] && !taken[i] &&
			    (!first || is_sent_before(quarantine, entry, first,
						      audience)))
				first = entry;
		}
		if (!first)
			break;
		first->sends_left[audience]--;
		first->sent_at[audience] = ++quarantine->sends;
		taken[first - quarantine->entries] = true;
		out[count++] = first->suspect;
	}
	return count;
}

size_t pr_quarantine_list(const pr_quarantine_t *quarantine, int64_t now_ms,
			  pr_suspect_t *out, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < quarantine->count; i++) {
		const pr_quarantine_entry_t *entry = &quarantine->entries[i];
		const pr_suspect_t *suspect = &entry->suspect;
		size_t at = count < max ? count : max;

		if (!pr_quarantine_is_in_force(quarantine, entry, now_ms))
			continue;
		while (at &&
		       out[at - 1].quarantined_ms < suspect->quarantined_ms) {
			if (at < max)
				out[at] = out[at - 1];
			at--;
		}
		if (at < max)
			out[at] = *suspect;
		if (count < max)
			count++;
	}
	return count;
}

void pr_quarantine_load(pr_quarantine_t *quarantine,
			const pr_suspect_t *suspects, size_t count)
{
	for (size_t i = 0; i < quarantine->count; i++)
		quarantine->entries[i].saved_ms = 0;
	for (size_t i = 0; i < count; i++) {
		pr_quarantine_merge(quarantine, &suspects[i], false);
		pr_quarantine_find(quarantine, suspects[i].service,
				   suspects[i].part)
			->saved_ms = suspects[i].quarantined_ms;
	}
}

bool pr_quarantine_is_saved(const pr_quarantine_t *quarantine, int64_t now_ms,
			    size_t max)
{
	size_t in_force = 0, missing = 0;

	for (size_t i = 0; i < quarantine->count; i++) {
		const pr_quarantine_entry_t *entry = &quarantine->entries[i];

		if (entry->saved_ms &&
		    !pr_suspect_is_quarantined(&entry->suspect))
			return false;
		if (!pr_quarantine_is_in_force(quarantine, entry, now_ms))
			continue;
		in_force++;
		missing += entry->saved_ms < entry->suspect.quarantined_ms;
	}
	/* More than max never fit. */
	return !missing || (in_force > max && missing <= in_force - max);
}
