/*
 * Quarantine of prompt parts. The bit sets of requests and upstreams merge by
 * union, the times by their maximum, so that hosts need no agreement on who
 * reported what.
 */
#include "quarantine/quarantine.h"

#include <string.h>

/* Requests that must have crashed on a part, and upstreams. One request that
 * was sent again after each crash proves nothing about its other parts, nor
 * does one upstream that crashes by itself. With more upstreams, fewer requests
 * are enough. */
#define REQUESTS_MIN       3
#define UPSTREAMS_MIN      4
#define REQUESTS_MIN_FEW   2
#define UPSTREAMS_MIN_MANY 5
/* Both, for a part on which an answer is known from before: requests that wait
 * on an upstream are broken off too when another request crashes it. */
#define CRASHES_MIN_ANSWERED 6
/* Time from the first crash, and from the first answer to another request after
 * it, until the verdict, milliseconds: answers on the part at other hosts are
 * known by then. The second one is for a part on which an answer is known from
 * before. */
#define SETTLE_MS          1500
#define SETTLE_ANSWERED_MS 5000
/* Answers to other requests of the service until the verdict. Without any, the
 * service is down rather than the part at fault. */
#define OTHER_ANSWERS_MIN 5
/* Time in which the evidence against a part lasts without a further crash,
 * milliseconds. */
#define SUSPICION_MS INT64_C(600000)
/* Length of the first quarantine of a part, milliseconds; each one is twice as
 * long as the one before, up to the maximum. */
#define QUARANTINE_MS     INT64_C(30000)
#define QUARANTINE_MAX_MS INT64_C(3600000)
/* Time between the releases of a part on two hosts, milliseconds: the others
 * learn the outcome of the first host's request before they send one. */
#define RELEASE_STEP_MS 10000
/* Datagrams may be lost, so a change is sent this often. */
#define SENDS 3

/* Quarantined parts that are sent again at a time. */
#define REFRESH_MAX 8

static unsigned count_bits(uint64_t bits)
{
	return (unsigned)__builtin_popcountll(bits);
}

/* Multiplicative hash; its upper bits depend on all bits of the key. */
static uint64_t spread(uint64_t key)
{
	return key * UINT64_C(0x9e3779b97f4a7c15);
}

static uint64_t bit_of(uint64_t key)
{
	return UINT64_C(1) << (spread(key) >> 58);
}

static bool is_suspected(const pr_suspect_t *suspect)
{
	return suspect->crash_ms > suspect->cleared_ms;
}

static bool is_quarantined(const pr_suspect_t *suspect)
{
	return suspect->quarantined_ms > suspect->cleared_ms;
}

/* End of the quarantine on this host. */
static int64_t release_ms(const pr_quarantine_t *quarantine,
			  const pr_suspect_t *suspect)
{
	int64_t length = QUARANTINE_MS;

	for (uint32_t i = 1;
	     i < suspect->quarantines && length < QUARANTINE_MAX_MS; i++)
		length *= 2;
	if (length > QUARANTINE_MAX_MS)
		length = QUARANTINE_MAX_MS;
	return suspect->quarantined_ms + length +
	       (int64_t)quarantine->rank * RELEASE_STEP_MS;
}

static bool is_in_force(const pr_quarantine_t *quarantine,
			const pr_suspect_t *suspect, int64_t now_ms)
{
	return is_quarantined(suspect) &&
	       now_ms < release_ms(quarantine, suspect);
}

/* Whether a is more likely than b to be the part that crashed the upstreams. Of
 * two parts that occur together, the later one occurs in fewer requests. */
static bool is_likelier(const pr_suspect_t *a, const pr_suspect_t *b)
{
	if (!a->answer_ms != !b->answer_ms)
		return !a->answer_ms;
	if (count_bits(a->requests) != count_bits(b->requests))
		return count_bits(a->requests) > count_bits(b->requests);
	if (a->position != b->position)
		return a->position > b->position;
	return a->part > b->part;
}

static void mark_changed(pr_quarantine_entry_t *entry, bool tell_relays)
{
	entry->sends_left[PR_AUDIENCE_FOLLOWERS] = SENDS;
	if (tell_relays)
		entry->sends_left[PR_AUDIENCE_RELAYS] = SENDS;
}

/* Time of the last news on a suspect. */
static int64_t changed_ms(const pr_suspect_t *suspect)
{
	return suspect->crash_ms > suspect->cleared_ms ? suspect->crash_ms
						       : suspect->cleared_ms;
}

/*
 * Whether to drop a rather than b. A part that was cleared has to stay for a
 * while: without it, a late report of another host would restore the evidence.
 */
static bool is_less_important(const pr_quarantine_entry_t *a,
			      const pr_quarantine_entry_t *b)
{
	if (is_quarantined(&a->suspect) != is_quarantined(&b->suspect))
		return is_quarantined(&b->suspect);
	return changed_ms(&a->suspect) < changed_ms(&b->suspect);
}

static pr_quarantine_entry_t *find(pr_quarantine_t *quarantine,
				   uint32_t service, uint64_t part)
{
	for (size_t i = 0; i < quarantine->count; i++) {
		pr_quarantine_entry_t *entry = &quarantine->entries[i];

		if (entry->suspect.part == part &&
		    entry->suspect.service == service)
			return entry;
	}
	return NULL;
}

static size_t answered_slot(uint64_t part)
{
	return (size_t)(spread(part) >> 32) % PR_QUARANTINE_ANSWERED_MAX;
}

static int64_t last_answer_ms(const pr_quarantine_t *quarantine, uint64_t part)
{
	size_t slot = answered_slot(part);

	return quarantine->answered[slot].part == part
		       ? quarantine->answered[slot].ms
		       : 0;
}

static pr_quarantine_entry_t *add(pr_quarantine_t *quarantine, uint32_t service,
				  uint64_t part)
{
	pr_quarantine_entry_t *entry;

	if (quarantine->count < PR_QUARANTINE_MAX) {
		entry = &quarantine->entries[quarantine->count++];
	} else {
		entry = &quarantine->entries[0];
		for (size_t i = 1; i < quarantine->count; i++) {
			if (is_less_important(&quarantine->entries[i], entry))
				entry = &quarantine->entries[i];
		}
	}
	memset(entry, 0, sizeof(*entry));
	entry->suspect.part = part;
	entry->suspect.service = service;
	entry->suspect.answer_ms = last_answer_ms(quarantine, part);
	return entry;
}

static void drop_evidence(pr_quarantine_entry_t *entry)
{
	entry->suspect.requests = 0;
	entry->suspect.upstreams = 0;
	entry->other_answers = 0;
}

static void clear(pr_quarantine_entry_t *entry, int64_t at_ms)
{
	/* The other hosts have to know when suspicion ends. A later answer is
	 * no news: they see answers themselves. */
	if (is_suspected(&entry->suspect) || is_quarantined(&entry->suspect))
		mark_changed(entry, true);
	if (at_ms > entry->suspect.cleared_ms)
		entry->suspect.cleared_ms = at_ms;
	if (!is_suspected(&entry->suspect))
		drop_evidence(entry);
}

static bool has_part(const pr_quarantine_prompt_t *prompt, uint64_t part)
{
	for (size_t i = 0; i < prompt->parts_count; i++) {
		if (prompt->parts[i] == part)
			return true;
	}
	return false;
}

bool pr_quarantine_has(const pr_quarantine_t *quarantine,
		       const pr_quarantine_prompt_t *prompt, int64_t now_ms,
		       int64_t *until_ms)
{
	for (size_t i = 0; i < quarantine->count; i++) {
		const pr_suspect_t *suspect = &quarantine->entries[i].suspect;

		if (!is_in_force(quarantine, suspect, now_ms) ||
		    suspect->service != prompt->service ||
		    !has_part(prompt, suspect->part))
			continue;
		if (until_ms)
			*until_ms = release_ms(quarantine, suspect);
		return true;
	}
	return false;
}

/* Whether there is no evidence against a part that a further crash adds to.
 * That against a part which was quarantined stays, so that one crash puts it
 * back. */
static bool is_stale(const pr_suspect_t *suspect, int64_t now_ms)
{
	return !is_suspected(suspect) ||
	       (!is_quarantined(suspect) &&
		now_ms - suspect->crash_ms > SUSPICION_MS);
}

void pr_quarantine_record_crash(pr_quarantine_t *quarantine,
				const pr_quarantine_prompt_t *prompt,
				uint32_t upstream, int64_t now_ms)
{
	/* The quarantined part explains the crash. */
	if (pr_quarantine_has(quarantine, prompt, now_ms, NULL))
		return;
	for (size_t i = 0; i < prompt->parts_count; i++) {
		pr_quarantine_entry_t *entry =
			find(quarantine, prompt->service, prompt->parts[i]);
		pr_suspect_t *suspect;

		if (!entry)
			entry = add(quarantine, prompt->service,
				    prompt->parts[i]);
		suspect = &entry->suspect;
		if (is_stale(suspect, now_ms)) {
			drop_evidence(entry);
			suspect->since_ms = now_ms;
			suspect->answer_ms =
				last_answer_ms(quarantine, suspect->part);
		}
		suspect->position = (uint32_t)i;
		suspect->requests |= bit_of(prompt->request);
		suspect->upstreams |= bit_of(upstream);
		suspect->crash_ms = now_ms;
		mark_changed(entry, true);
	}
}

void pr_quarantine_record_answer(pr_quarantine_t *quarantine,
				 const pr_quarantine_prompt_t *prompt,
				 int64_t now_ms)
{
	for (size_t i = 0; i < prompt->parts_count; i++) {
		size_t slot = answered_slot(prompt->parts[i]);

		quarantine->answered[slot].part = prompt->parts[i];
		quarantine->answered[slot].ms = now_ms;
	}
	for (size_t i = 0; i < quarantine->count; i++) {
		pr_quarantine_entry_t *entry = &quarantine->entries[i];

		if (entry->suspect.service != prompt->service)
			continue;
		if (has_part(prompt, entry->suspect.part)) {
			if (!entry->suspect.answer_ms)
				mark_changed(entry, true);
			entry->suspect.answer_ms = now_ms;
			clear(entry, now_ms);
			continue;
		}
		if (!entry->other_answers++)
			entry->other_since_ms = now_ms;
	}
}

/*
 * Whether a quarantined part explains the crashes of the requests with another
 * part. A verdict on the other part is reversed only when both fell at the same
 * time and on the same requests: the bit sets may also have bits in common by
 * chance.
 */
static bool explains(const pr_suspect_t *quarantined, const pr_suspect_t *other)
{
	uint64_t rest = other->requests & ~quarantined->requests;
	int64_t between_ms =
		quarantined->quarantined_ms - other->quarantined_ms;

	if (!is_likelier(quarantined, other) || !other->requests)
		return false;
	if (is_quarantined(other))
		return !rest && between_ms < SETTLE_MS &&
		       between_ms > -SETTLE_MS;
	return is_suspected(other) && count_bits(rest) < REQUESTS_MIN &&
	       2 * count_bits(rest) < count_bits(other->requests);
}

/* Clear the parts whose crashes a quarantined part explains. The time is that
 * of the verdict, so that all hosts clear the same evidence. */
static void clear_explained(pr_quarantine_t *quarantine,
			    const pr_suspect_t *quarantined)
{
	for (size_t i = 0; i < quarantine->count; i++) {
		pr_quarantine_entry_t *entry = &quarantine->entries[i];
		pr_suspect_t *other = &entry->suspect;

		if (other == quarantined ||
		    other->service != quarantined->service ||
		    !explains(quarantined, other))
			continue;
		clear(entry, other->quarantined_ms > quarantined->quarantined_ms
				     ? other->quarantined_ms
				     : quarantined->quarantined_ms);
	}
}

static int64_t later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Merge the evidence against a part, both that of this host and of another. */
static void merge_evidence(pr_quarantine_entry_t *entry,
			   const pr_suspect_t *suspect)
{
	pr_suspect_t *own = &entry->suspect;

	if (!is_suspected(own))
		drop_evidence(entry);
	if (suspect->crash_ms > own->cleared_ms) {
		if (!own->requests || suspect->since_ms < own->since_ms)
			own->since_ms = suspect->since_ms;
		own->requests |= suspect->requests;
		own->upstreams |= suspect->upstreams;
		own->position = suspect->position;
	}
	/* The other host's evidence may be from before this host's answer. */
	own->since_ms = later(own->since_ms, own->cleared_ms);
	own->crash_ms = later(own->crash_ms, suspect->crash_ms);
}

void pr_quarantine_merge(pr_quarantine_t *quarantine,
			 const pr_suspect_t *suspect, bool tell_relays)
{
	pr_quarantine_entry_t *entry =
		find(quarantine, suspect->service, suspect->part);
	pr_suspect_t *own, before;

	if (!entry)
		entry = add(quarantine, suspect->service, suspect->part);
	own = &entry->suspect;
	before = *own;
	own->cleared_ms = later(own->cleared_ms, suspect->cleared_ms);
	own->answer_ms = later(own->answer_ms, suspect->answer_ms);
	own->quarantined_ms =
		later(own->quarantined_ms, suspect->quarantined_ms);
	if (suspect->quarantines > own->quarantines)
		own->quarantines = suspect->quarantines;
	merge_evidence(entry, suspect);
	if (own->requests != before.requests ||
	    own->upstreams != before.upstreams ||
	    own->quarantined_ms != before.quarantined_ms ||
	    !own->answer_ms != !before.answer_ms ||
	    is_quarantined(own) != is_quarantined(&before))
		mark_changed(entry, tell_relays);
	/* This host knows that answers on the part began. */
	if (own->answer_ms && !suspect->answer_ms)
		mark_changed(entry, true);
}

static bool has_enough_crashes(const pr_suspect_t *suspect)
{
	unsigned requests = count_bits(suspect->requests);
	unsigned upstreams = count_bits(suspect->upstreams);

	if (suspect->answer_ms)
		return requests >= CRASHES_MIN_ANSWERED &&
		       upstreams >= CRASHES_MIN_ANSWERED;
	return (requests >= REQUESTS_MIN && upstreams >= UPSTREAMS_MIN) ||
	       (requests >= REQUESTS_MIN_FEW &&
		upstreams >= UPSTREAMS_MIN_MANY);
}

static bool is_guilty(const pr_quarantine_entry_t *entry, int64_t now_ms)
{
	const pr_suspect_t *suspect = &entry->suspect;
	int64_t settle_ms = suspect->answer_ms ? SETTLE_ANSWERED_MS : SETTLE_MS;

	return is_suspected(suspect) &&
	       suspect->crash_ms > suspect->quarantined_ms &&
	       has_enough_crashes(suspect) &&
	       now_ms - suspect->since_ms >= settle_ms &&
	       entry->other_answers >= OTHER_ANSWERS_MIN &&
	       now_ms - entry->other_since_ms >= settle_ms &&
	       suspect->crash_ms > entry->other_since_ms;
}

/* @return the part with the most evidence, if that suffices; otherwise NULL */
static pr_quarantine_entry_t *find_guilty(pr_quarantine_t *quarantine,
					  int64_t now_ms)
{
	pr_quarantine_entry_t *guilty = NULL;

	for (size_t i = 0; i < quarantine->count; i++) {
		pr_quarantine_entry_t *entry = &quarantine->entries[i];

		/* A request that was under way when the quarantine began must
		 * not extend it. */
		if (is_guilty(entry, now_ms) &&
		    !is_in_force(quarantine, &entry->suspect, now_ms) &&
		    (!guilty || is_likelier(&entry->suspect, &guilty->suspect)))
			guilty = entry;
	}
	return guilty;
}

void pr_quarantine_judge(pr_quarantine_t *quarantine, int64_t now_ms)
{
	pr_quarantine_entry_t *guilty;

	for (size_t i = 0; i < quarantine->count; i++) {
		if (is_quarantined(&quarantine->entries[i].suspect))
			clear_explained(quarantine,
					&quarantine->entries[i].suspect);
	}
	while ((guilty = find_guilty(quarantine, now_ms))) {
		guilty->suspect.quarantined_ms = now_ms;
		guilty->suspect.quarantines++;
		mark_changed(guilty, true);
		clear_explained(quarantine, &guilty->suspect);
	}
}

const pr_suspect_t *pr_quarantine_next_change(pr_quarantine_t *quarantine,
					      int64_t now_ms, bool *in_force)
{
	for (size_t i = 0; i < quarantine->count; i++) {
		pr_quarantine_entry_t *entry = &quarantine->entries[i];

		*in_force = is_in_force(quarantine, &entry->suspect, now_ms);
		if (*in_force == entry->was_in_force)
			continue;
		entry->was_in_force = *in_force;
		return &entry->suspect;
	}
	return NULL;
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
		if (!is_in_force(quarantine, &entry->suspect, now_ms))
			continue;
		refreshed++;
		for (int j = 0; j < PR_AUDIENCES_COUNT; j++) {
			if (!entry->sends_left[j])
				entry->sends_left[j] = 1;
		}
	}
}

/* Whether to send a rather than b to an audience. A clearance that comes late
 * leads to a false verdict, evidence that comes late only delays one. */
static bool is_sent_before(const pr_quarantine_entry_t *a,
			   const pr_quarantine_entry_t *b,
			   pr_audience_t audience)
{
	const pr_suspect_t *x = &a->suspect, *y = &b->suspect;

	if (a->sends_left[audience] != b->sends_left[audience])
		return a->sends_left[audience] > b->sends_left[audience];
	if (is_quarantined(x) != is_quarantined(y))
		return is_quarantined(x);
	if (is_suspected(x) != is_suspected(y))
		return is_suspected(y);
	return is_likelier(x, y);
}

size_t pr_quarantine_take_changes(pr_quarantine_t *quarantine,
				  pr_audience_t audience, pr_suspect_t *out,
				  size_t max)
{
	bool taken[PR_QUARANTINE_MAX] = { false };
	size_t count = 0;

	while (count < max) {
		pr_quarantine_entry_t *first = NULL;

		for (size_t i = 0; i < quarantine->count; i++) {
			pr_quarantine_entry_t *entry = &quarantine->entries[i];

			if (entry->sends_left[audience] && !taken[i] &&
			    (!first || is_sent_before(entry, first, audience)))
				first = entry;
		}
		if (!first)
			break;
		first->sends_left[audience]--;
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
		const pr_suspect_t *suspect = &quarantine->entries[i].suspect;
		size_t at = count < max ? count : max;

		if (!is_in_force(quarantine, suspect, now_ms))
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
		find(quarantine, suspects[i].service, suspects[i].part)
			->saved_ms = suspects[i].quarantined_ms;
	}
}

bool pr_quarantine_is_saved(const pr_quarantine_t *quarantine, int64_t now_ms,
			    size_t max)
{
	size_t in_force = 0, missing = 0;

	for (size_t i = 0; i < quarantine->count; i++) {
		const pr_quarantine_entry_t *entry = &quarantine->entries[i];

		if (entry->saved_ms && !is_quarantined(&entry->suspect))
			return false;
		if (!is_in_force(quarantine, &entry->suspect, now_ms))
			continue;
		in_force++;
		missing += entry->saved_ms < entry->suspect.quarantined_ms;
	}
	/* More than max never fit. */
	return !missing || (in_force > max && missing <= in_force - max);
}
