/*
 * Verdicts on prompt parts: which one crashed the upstreams, judged by the
 * evidence of all hosts.
 */
#include "quarantine/internal.h"

/* Requests that must have crashed on a part, and upstreams whose crashes no
 * quarantined part explains. One request that was sent again after each crash
 * proves nothing about its other parts, nor does one upstream that crashes by
 * itself. With more upstreams, fewer requests are enough. */
#define REQUESTS_MIN       3
#define UPSTREAMS_MIN      4
#define REQUESTS_MIN_FEW   2
#define UPSTREAMS_MIN_MANY 5
/* The same for a content: a request that was sent again after it had crashed
 * upstreams, and crashed another. */
#define REQUESTS_MIN_CONTENT  2
#define UPSTREAMS_MIN_CONTENT 4
/* Both, for a part on which an answer began not long before the first crash:
 * requests that wait on an upstream are broken off too when another request
 * crashes it. */
#define CRASHES_MIN_ANSWERED 6
/* Time from the first crash, and from the first answer to another request after
 * it, until the verdict, milliseconds: answers on the part at other hosts are
 * known by then. The second one is for a part on which an answer is known from
 * before. */
#define SETTLE_MS          1500
#define SETTLE_ANSWERED_MS 5000
/* The same for a part that may have crashed all upstreams of its service; later
 * than the verdict of hosts that see answers to other requests. */
#define SETTLE_TRIAL_MS 2500

static unsigned count_bits(uint64_t bits)
{
	return (unsigned)__builtin_popcountll(bits);
}

/* The crashes of hundreds of suspects are compared with those of the parts that
 * are or were in quarantine, which are few. */
static void list_explaining(pr_quarantine_t *quarantine)
{
	quarantine->explaining_count = 0;
	for (size_t i = 0; i < quarantine->count; i++) {
		if (pr_suspect_is_quarantined(&quarantine->entries[i].suspect))
			quarantine->explaining[quarantine->explaining_count++] =
				(uint16_t)i;
	}
}

/* Whether the part may be one of a content: they were in the same request. Not
 * all requests of the content need be known to be those of the part, since
 * hosts that start learn of both at different times. */
static bool may_contain(const pr_suspect_t *content, const pr_suspect_t *part)
{
	return pr_suspect_is_content(content) && !pr_suspect_is_content(part) &&
	       (content->requests & part->requests);
}

/* Whether a part that is in quarantine, or was, and is neither of the two
 * explains the crash. A content does not for parts: in a storm of crashes a
 * sound request may be broken off by all of those that one of its parts, or a
 * part of other requests, brings about. */
static bool is_explained(const pr_quarantine_t *quarantine,
			 const pr_suspect_t *suspect, const pr_suspect_t *other,
			 const pr_crash_t *crash)
{
	for (size_t i = 0; i < quarantine->explaining_count; i++) {
		const pr_quarantine_entry_t *entry =
			&quarantine->entries[quarantine->explaining[i]];

		if (&entry->suspect != suspect && &entry->suspect != other &&
		    entry->suspect.service == suspect->service &&
		    !entry->overruled &&
		    (!pr_suspect_is_content(&entry->suspect) ||
		     pr_suspect_is_content(suspect)) &&
		    pr_suspect_explains(&entry->suspect, crash))
			return true;
	}
	return false;
}

/* @param other quarantined part whose explanation does not count; may be
 * NULL */
static unsigned count_unexplained(const pr_quarantine_t *quarantine,
				  const pr_suspect_t *suspect,
				  const pr_suspect_t *other)
{
	unsigned count = 0;

	for (uint32_t i = 0; i < suspect->crashes_count; i++) {
		const pr_crash_t *crash = &suspect->crashes[i];

		count += pr_crash_is_real(crash) &&
			 !is_explained(quarantine, suspect, other, crash);
	}
	return count;
}

static bool is_enough(const pr_suspect_t *suspect, unsigned upstreams)
{
	unsigned requests = count_bits(suspect->requests);

	if (pr_suspect_was_answered(suspect))
		return requests >= CRASHES_MIN_ANSWERED &&
		       upstreams >= CRASHES_MIN_ANSWERED;
	if (pr_suspect_is_content(suspect))
		return requests >= REQUESTS_MIN_CONTENT &&
		       upstreams >= UPSTREAMS_MIN_CONTENT;
	return (requests >= REQUESTS_MIN && upstreams >= UPSTREAMS_MIN) ||
	       (requests >= REQUESTS_MIN_FEW &&
		upstreams >= UPSTREAMS_MIN_MANY);
}

/* Whether the evidence would suffice if the other part were quarantined. */
static bool has_enough_beside(const pr_quarantine_t *quarantine,
			      const pr_suspect_t *suspect,
			      const pr_suspect_t *other, int64_t until_ms)
{
	unsigned upstreams = 0;

	for (uint32_t i = 0; i < suspect->crashes_count; i++) {
		const pr_crash_t *crash = &suspect->crashes[i];

		upstreams += crash->at_ms <= until_ms &&
			     pr_crash_is_real(crash) &&
			     !pr_suspect_explains(other, crash) &&
			     !is_explained(quarantine, suspect, NULL, crash);
	}
	return is_enough(suspect, upstreams);
}

static void weigh_entry(const pr_quarantine_t *quarantine,
			pr_quarantine_entry_t *entry, int64_t until_ms)
{
	const pr_suspect_t *suspect = &entry->suspect;

	entry->crashes = 0;
	entry->first_ms = INT64_MAX;
	/* The crashes that were not kept are older than the newest ones. */
	if (suspect->crashes_count == PR_SUSPECT_CRASHES_MAX)
		until_ms = INT64_MAX;
	for (uint32_t i = 0; i < suspect->crashes_count; i++) {
		const pr_crash_t *crash = &suspect->crashes[i];

		if (!pr_crash_is_real(crash) ||
		    is_explained(quarantine, suspect, NULL, crash))
			continue;
		entry->crashes += crash->at_ms <= until_ms;
		if (crash->at_ms < entry->first_ms)
			entry->first_ms = crash->at_ms;
	}
}

/* A host knows the crashes of its own requests at once, but not those of the
 * requests that explain them, so the newest crashes do not count yet. */
static void weigh(pr_quarantine_t *quarantine, int64_t now_ms)
{
	list_explaining(quarantine);
	for (size_t i = 0; i < quarantine->count; i++) {
		if (pr_suspect_is_suspected(&quarantine->entries[i].suspect))
			weigh_entry(quarantine, &quarantine->entries[i],
				    now_ms - PR_REPORT_MS);
	}
}

/* Whether the evidence suffices and answers on the part at other hosts would be
 * known by now. */
static bool has_settled_evidence(const pr_quarantine_entry_t *entry,
				 int64_t settle_ms, int64_t now_ms)
{
	return now_ms - entry->suspect.since_ms >= settle_ms &&
	       entry->first_ms <= now_ms - settle_ms &&
	       is_enough(&entry->suspect, entry->crashes);
}

static bool crashed_beside_answers(const pr_quarantine_entry_t *entry)
{
	return entry->others_enough_ms &&
	       entry->suspect.crash_ms > entry->others_enough_ms;
}

static bool is_confirmed(const pr_quarantine_entry_t *entry, int64_t now_ms)
{
	const pr_suspect_t *suspect = &entry->suspect;
	int64_t settle_ms = pr_suspect_was_answered(suspect)
				    ? SETTLE_ANSWERED_MS
				    : SETTLE_MS;

	return has_settled_evidence(entry, settle_ms, now_ms) &&
	       crashed_beside_answers(entry) &&
	       now_ms - entry->other_since_ms >= settle_ms;
}

static bool is_guilty(const pr_quarantine_t *quarantine,
		      const pr_quarantine_entry_t *entry, int64_t now_ms)
{
	const pr_suspect_t *suspect = &entry->suspect;
	bool quarantined =
		pr_suspect_is_quarantined(suspect) && !entry->overruled;

	if (!pr_suspect_is_suspected(suspect))
		return false;
	/* After the quarantine one crash, on any host, is enough. */
	if (quarantined && suspect->quarantines)
		return suspect->crash_ms >= pr_quarantine_end_ms(suspect);
	/* Without other answers a crash shows nothing more than the first ones
	 * did. */
	if (quarantined && suspect->crash_ms > suspect->quarantined_ms &&
	    suspect->crash_ms >= pr_quarantine_release_ms(quarantine, suspect))
		return crashed_beside_answers(entry);
	if (quarantined)
		return is_confirmed(entry, now_ms);
	/* A request that was under way when the quarantine began must not
	 * extend it. */
	return suspect->crash_ms > suspect->quarantined_ms &&
	       is_confirmed(entry, now_ms);
}

/* Whether the part may have crashed all upstreams of a service that was up, so
 * that no other request is answered any more. An answer on it, as long as the
 * service was up, speaks for an outage. */
static bool is_on_trial(const pr_quarantine_t *quarantine,
			const pr_quarantine_entry_t *entry, int64_t now_ms)
{
	const pr_suspect_t *suspect = &entry->suspect;

	return pr_suspect_is_suspected(suspect) &&
	       !pr_suspect_is_quarantined(suspect) &&
	       !pr_suspect_was_answered(suspect) && entry->was_service_up &&
	       has_settled_evidence(entry, SETTLE_TRIAL_MS, now_ms);
}

/*
 * Whether a crashed all upstreams that b did.
 *
 * @param until_ms time after which crashes of b do not count
 */
static bool covers(const pr_suspect_t *a, const pr_suspect_t *b,
		   int64_t until_ms)
{
	for (uint32_t i = 0; i < b->crashes_count; i++) {
		if (b->crashes[i].at_ms <= until_ms &&
		    pr_crash_is_real(&b->crashes[i]) &&
		    !pr_suspect_has_crash(a, b->crashes[i].upstream))
			return false;
	}
	return b->crashes_count;
}

/* Whether some of the requests with a lack b, and all with b have a. A part
 * that comes later in the prompts only seems so, while reports are missing. */
static bool is_wider(const pr_suspect_t *a, const pr_suspect_t *b)
{
	return a->position < b->position && !(b->requests & ~a->requests) &&
	       (a->requests & ~b->requests);
}

/* Whether the other part would explain the suspect's crashes: it has the
 * evidence and only has to wait for its verdict, or it occurs in some of the
 * suspect's requests, and these crashed all of the upstreams. */
static bool may_explain(const pr_quarantine_t *quarantine,
			const pr_quarantine_entry_t *other,
			const pr_suspect_t *suspect, int64_t until_ms)
{
	/* Contents with the part begin to crash upstreams all the time. */
	if (may_contain(&other->suspect, suspect))
		return false;
	if (is_enough(&other->suspect, other->crashes))
		return !is_wider(&other->suspect, suspect) &&
		       !has_enough_beside(quarantine, suspect, &other->suspect,
					  until_ms);
	return !(other->suspect.requests & ~suspect->requests) &&
	       count_bits(other->suspect.requests) >= REQUESTS_MIN_FEW &&
	       covers(&other->suspect, suspect, until_ms);
}

static bool is_likelier(const pr_quarantine_entry_t *a,
			const pr_quarantine_entry_t *b)
{
	return pr_suspect_is_likelier(&a->suspect, a->crashes, &b->suspect,
				      b->crashes);
}

/* Whether all that is known of a part comes from one request that was sent
 * again. That proves nothing about the part. */
static bool has_one_content(const pr_quarantine_t *quarantine,
			    const pr_suspect_t *part)
{
	for (size_t i = 0; i < quarantine->count; i++) {
		const pr_suspect_t *other = &quarantine->entries[i].suspect;

		if (other->service == part->service &&
		    may_contain(other, part) &&
		    !(part->requests & ~other->requests) &&
		    covers(other, part, INT64_MAX))
			return true;
	}
	return false;
}

/* Whether the suspect has to wait until more is known of a likelier part. */
static bool has_likelier(const pr_quarantine_t *quarantine,
			 const pr_quarantine_entry_t *entry, int64_t now_ms)
{
	const pr_suspect_t *suspect = &entry->suspect;

	if (has_one_content(quarantine, suspect))
		return true;
	for (size_t i = 0; i < quarantine->count; i++) {
		const pr_quarantine_entry_t *other = &quarantine->entries[i];

		if (other != entry &&
		    other->suspect.service == suspect->service &&
		    pr_suspect_is_suspected(&other->suspect) &&
		    !pr_suspect_is_quarantined(&other->suspect) &&
		    is_likelier(other, entry) &&
		    may_explain(quarantine, other, suspect,
				now_ms - PR_REPORT_MS))
			return true;
	}
	return false;
}

typedef bool (*suffices_fn)(const pr_quarantine_t *quarantine,
			    const pr_quarantine_entry_t *entry, int64_t now_ms);

/* @return the part with the most evidence, if that suffices; otherwise NULL */
static pr_quarantine_entry_t *find_likeliest(pr_quarantine_t *quarantine,
					     suffices_fn suffices,
					     int64_t now_ms)
{
	pr_quarantine_entry_t *guilty = NULL;

	for (size_t i = 0; i < quarantine->count; i++) {
		pr_quarantine_entry_t *entry = &quarantine->entries[i];

		if (!suffices(quarantine, entry, now_ms) ||
		    (guilty && !is_likelier(entry, guilty)))
			continue;
		if (!pr_suspect_is_quarantined(&entry->suspect) &&
		    has_likelier(quarantine, entry, now_ms))
			continue;
		guilty = entry;
	}
	return guilty;
}

/* Note which upstreams that are said to have crashed sent something since. */
static void refute_crashes(const pr_quarantine_t *quarantine,
			   pr_quarantine_entry_t *entry)
{
	for (uint32_t i = 0; i < entry->suspect.crashes_count; i++) {
		pr_crash_t *crash = &entry->suspect.crashes[i];
		bool was_crash = pr_crash_is_real(crash);

		pr_crash_note_alive(
			crash,
			pr_quarantine_alive_ms(quarantine, crash->upstream));
		if (was_crash && !pr_crash_is_real(crash))
			pr_quarantine_mark_changed(entry, true);
	}
}

/*
 * Hosts may quarantine two parts of the same requests at the same time. The
 * likelier one overrules the other if all of its requests have the other part,
 * too, and the other one crashed no other upstream.
 */
static bool is_overruled(const pr_quarantine_t *quarantine,
			 const pr_suspect_t *suspect)
{
	for (size_t i = 0; i < quarantine->count; i++) {
		const pr_suspect_t *other = &quarantine->entries[i].suspect;

		if (other != suspect && other->service == suspect->service &&
		    pr_suspect_is_quarantined(other) &&
		    !(other->requests & ~suspect->requests) &&
		    covers(other, suspect, INT64_MAX) &&
		    pr_suspect_is_likelier(
			    other,
			    count_unexplained(quarantine, other, suspect),
			    suspect,
			    count_unexplained(quarantine, suspect, other)))
			return true;
	}
	return false;
}

static void begin_quarantine(pr_quarantine_t *quarantine,
			     pr_quarantine_entry_t *entry, int64_t now_ms)
{
	entry->suspect.quarantined_ms = now_ms;
	entry->overruled = false;
	pr_quarantine_mark_changed(entry, true);
	/* The part explains crashes now. */
	weigh(quarantine, now_ms);
}

/*
 * Without answers to other requests the service is down rather than the part at
 * fault. One host of many may see few of them, so it tells the others, but only
 * of parts whose verdict may wait for that.
 */
static void share_others(const pr_quarantine_t *quarantine,
			 pr_quarantine_entry_t *entry, int64_t now_ms)
{
	if (entry->suspect.others && !entry->other_since_ms)
		entry->other_since_ms = now_ms;
	if (pr_quarantine_has_others(entry) && !entry->others_enough_ms)
		entry->others_enough_ms = now_ms;
	if (!entry->others_unsent ||
	    !pr_suspect_is_suspected(&entry->suspect) ||
	    !is_enough(&entry->suspect,
		       count_unexplained(quarantine, &entry->suspect, NULL)))
		return;
	entry->others_unsent = false;
	pr_quarantine_mark_changed(entry, true);
}

void pr_quarantine_judge(pr_quarantine_t *quarantine, int64_t now_ms)
{
	pr_quarantine_entry_t *entry;

	for (size_t i = 0; i < quarantine->count; i++)
		refute_crashes(quarantine, &quarantine->entries[i]);
	list_explaining(quarantine);
	for (size_t i = 0; i < quarantine->count; i++)
		share_others(quarantine, &quarantine->entries[i], now_ms);
	for (size_t i = 0; i < quarantine->count; i++) {
		entry = &quarantine->entries[i];
		entry->overruled = pr_suspect_is_quarantined(&entry->suspect) &&
				   is_overruled(quarantine, &entry->suspect);
	}
	if (quarantine->defers)
		return;
	weigh(quarantine, now_ms);
	while ((entry = find_likeliest(quarantine, is_guilty, now_ms))) {
		begin_quarantine(quarantine, entry, now_ms);
		entry->suspect.quarantines++;
	}
	while ((entry = find_likeliest(quarantine, is_on_trial, now_ms)))
		begin_quarantine(quarantine, entry, now_ms);
}

const pr_suspect_t *pr_quarantine_next_change(pr_quarantine_t *quarantine,
					      int64_t now_ms, bool *in_force)
{
	for (size_t i = 0; i < quarantine->count; i++) {
		pr_quarantine_entry_t *entry = &quarantine->entries[i];

		*in_force =
			pr_quarantine_is_in_force(quarantine, entry, now_ms);
		if (*in_force == entry->was_in_force)
			continue;
		entry->was_in_force = *in_force;
		return &entry->suspect;
	}
	return NULL;
}
