/*
 * Quarantine of prompt parts. The sets of requests and of crashed upstreams
 * merge by union, the times by their maximum, so that hosts need no agreement
 * on who reported what.
 */
#include "quarantine/internal.h"

#include <string.h>

/* Length of the first quarantine of a part, milliseconds, and how many times
 * longer than the one before each further one is, up to the maximum. Each
 * release of a part that still crashes upstreams costs one of them. */
#define QUARANTINE_MS     INT64_C(60000)
#define QUARANTINE_GROWTH 8
#define QUARANTINE_MAX_MS INT64_C(3600000)
/* Time between the releases of a part on two hosts, milliseconds: the others
 * learn of the first host's request before they send one. Also the last hosts
 * in the order wait, since the requests may come only there. */
#define RELEASE_STEP_MS INT64_C(1000)
/* Time for which the outcome of a request after the quarantine is awaited,
 * milliseconds. */
#define PROBE_MS INT64_C(10000)
/* Datagrams may be lost, so a change is sent this often. */
#define SENDS 3
/* Longest time between two answers of a service that is up, milliseconds, and
 * the answers after which it counts as up. */
#define SERVICE_PAUSE_MS    1500
#define SERVICE_ANSWERS_MIN 5

/* Most parts of one prompt that are suspected of a crash: an eighth of all
 * suspects. */
#define SUSPECTS_MAX (PR_QUARANTINE_MAX / 8)

/* Entries of a set among the last answers on parts. */
#define ANSWERED_WAYS 4

/* Multiplicative hash; its upper bits depend on all bits of the key. */
static uint64_t spread(uint64_t key)
{
	return key * UINT64_C(0x9e3779b97f4a7c15);
}

static uint64_t bit_of(uint64_t key)
{
	return UINT64_C(1) << (spread(key) >> 58);
}

static int64_t later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t earlier(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t release_delay_ms(const pr_quarantine_t *quarantine)
{
	return quarantine->rank * RELEASE_STEP_MS;
}

int64_t pr_quarantine_end_ms(const pr_suspect_t *suspect)
{
	int64_t length = QUARANTINE_MS;

	if (!suspect->quarantines)
		return suspect->quarantined_ms;
	for (uint32_t i = 1;
	     i < suspect->quarantines && length < QUARANTINE_MAX_MS; i++)
		length *= QUARANTINE_GROWTH;
	return suspect->quarantined_ms + earlier(length, QUARANTINE_MAX_MS);
}

int64_t pr_quarantine_release_ms(const pr_quarantine_t *quarantine,
				 const pr_suspect_t *suspect)
{
	return pr_quarantine_end_ms(suspect) + release_delay_ms(quarantine);
}

bool pr_quarantine_is_in_force(const pr_quarantine_t *quarantine,
			       const pr_quarantine_entry_t *entry,
			       int64_t now_ms)
{
	return pr_suspect_is_quarantined(&entry->suspect) &&
	       !entry->overruled &&
	       now_ms < pr_quarantine_release_ms(quarantine, &entry->suspect);
}

void pr_quarantine_mark_changed(pr_quarantine_entry_t *entry, bool tell_relays)
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
	if (pr_suspect_is_quarantined(&a->suspect) !=
	    pr_suspect_is_quarantined(&b->suspect))
		return pr_suspect_is_quarantined(&b->suspect);
	return changed_ms(&a->suspect) < changed_ms(&b->suspect);
}

pr_quarantine_entry_t *pr_quarantine_find(pr_quarantine_t *quarantine,
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

bool pr_quarantine_has_others(const pr_quarantine_entry_t *entry)
{
	return entry->other_answers >= PR_QUARANTINE_OTHERS_MIN ||
	       __builtin_popcount(entry->suspect.others) >=
		       PR_QUARANTINE_OTHERS_MIN;
}

/* Entry for the last answer on a part: its own one, or the one in its set that
 * was answered longest ago. Without a choice between several, two parts that
 * are answered all the time could displace each other and both seem new. */
static size_t answered_at(const pr_quarantine_t *quarantine, uint64_t part)
{
	size_t first = (size_t)(spread(part) >> 32) %
		       PR_QUARANTINE_ANSWERED_MAX / ANSWERED_WAYS *
		       ANSWERED_WAYS;
	size_t at = first;

	for (size_t i = first; i < first + ANSWERED_WAYS; i++) {
		if (quarantine->answered[i].part == part)
			return i;
		if (quarantine->answered[i].ms < quarantine->answered[at].ms)
			at = i;
	}
	return at;
}

static int64_t last_answer_ms(const pr_quarantine_t *quarantine, uint64_t part)
{
	size_t at = answered_at(quarantine, part);

	return quarantine->answered[at].part == part
		       ? quarantine->answered[at].ms
		       : 0;
}

static size_t alive_slot(uint32_t upstream)
{
	return (size_t)(spread(upstream) >> 32) % PR_QUARANTINE_ALIVE_MAX;
}

int64_t pr_quarantine_alive_ms(const pr_quarantine_t *quarantine,
			       uint32_t upstream)
{
	size_t slot = alive_slot(upstream);

	return quarantine->alive[slot].upstream == upstream
		       ? quarantine->alive[slot].ms
		       : 0;
}

static size_t service_slot(uint32_t service)
{
	return (size_t)(spread(service) >> 32) % PR_QUARANTINE_SERVICES_MAX;
}

static void count_service_answer(pr_quarantine_t *quarantine, uint32_t service,
				 int64_t now_ms)
{
	size_t slot = service_slot(service);

	if (quarantine->services[slot].service != service ||
	    now_ms - quarantine->services[slot].ms > SERVICE_PAUSE_MS)
		quarantine->services[slot].answers = 0;
	quarantine->services[slot].service = service;
	quarantine->services[slot].ms = now_ms;
	quarantine->services[slot].answers++;
}

static bool is_service_up(const pr_quarantine_t *quarantine, uint32_t service,
			  int64_t at_ms)
{
	size_t slot = service_slot(service);

	return quarantine->services[slot].service == service &&
	       quarantine->services[slot].answers >= SERVICE_ANSWERS_MIN &&
	       at_ms - quarantine->services[slot].ms <= SERVICE_PAUSE_MS;
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
	entry->suspect.crashes_count = 0;
	memset(entry->suspect.dropped, 0, sizeof(entry->suspect.dropped));
	entry->suspect.others = 0;
	entry->other_answers = 0;
	entry->other_since_ms = 0;
	entry->others_enough_ms = 0;
	entry->others_unsent = false;
	entry->was_service_up = false;
}

static void clear(pr_quarantine_entry_t *entry, int64_t at_ms)
{
	/* The other hosts have to know when suspicion ends. A later answer is
	 * no news: they see answers themselves. */
	if (pr_suspect_is_suspected(&entry->suspect) ||
	    pr_suspect_is_quarantined(&entry->suspect))
		pr_quarantine_mark_changed(entry, true);
	if (at_ms > entry->suspect.cleared_ms)
		entry->suspect.cleared_ms = at_ms;
	if (!pr_suspect_is_suspected(&entry->suspect))
		drop_evidence(entry);
}

static size_t count_subjects(const pr_quarantine_prompt_t *prompt)
{
	return prompt->parts_count + (prompt->content != 0);
}

/* Part of the prompt by its index; its content comes behind the parts. */
static uint64_t subject_at(const pr_quarantine_prompt_t *prompt, size_t index)
{
	return index < prompt->parts_count ? prompt->parts[index]
					   : prompt->content;
}

static bool has_part(const pr_quarantine_prompt_t *prompt, uint64_t part)
{
	if (prompt->content && prompt->content == part)
		return true;
	for (size_t i = 0; i < prompt->parts_count; i++) {
		if (prompt->parts[i] == part)
			return true;
	}
	return false;
}

/* Whether the prompt has the part of an entry, which is or was quarantined. */
static bool concerns(const pr_quarantine_entry_t *entry,
		     const pr_quarantine_prompt_t *prompt)
{
	return pr_suspect_is_quarantined(&entry->suspect) &&
	       !entry->overruled && entry->suspect.service == prompt->service &&
	       has_part(prompt, entry->suspect.part);
}

bool pr_quarantine_admits(const pr_quarantine_t *quarantine,
			  const pr_quarantine_prompt_t *prompt, bool is_repeat,
			  int64_t now_ms, int64_t *until_ms)
{
	for (size_t i = 0; i < quarantine->count; i++) {
		const pr_quarantine_entry_t *entry = &quarantine->entries[i];
		int64_t until;

		if (!concerns(entry, prompt))
			continue;
		until = later(
			pr_quarantine_release_ms(quarantine, &entry->suspect),
			entry->suspect.probe_ms + PROBE_MS +
				release_delay_ms(quarantine));
		if (now_ms >= until && !is_repeat)
			continue;
		if (until_ms)
			*until_ms = later(until, now_ms + PROBE_MS);
		return false;
	}
	return true;
}

bool pr_quarantine_is_awaited(const pr_quarantine_t *quarantine,
			      const pr_quarantine_prompt_t *prompt)
{
	for (size_t i = 0; i < quarantine->count; i++) {
		if (concerns(&quarantine->entries[i], prompt))
			return true;
	}
	return false;
}

void pr_quarantine_note_sent(pr_quarantine_t *quarantine,
			     const pr_quarantine_prompt_t *prompt,
			     int64_t now_ms)
{
	for (size_t i = 0; i < quarantine->count; i++) {
		pr_quarantine_entry_t *entry = &quarantine->entries[i];

		if (!concerns(entry, prompt))
			continue;
		entry->suspect.probe_ms = now_ms;
		pr_quarantine_mark_changed(entry, true);
	}
}

/* Whether there is no evidence against a part that a further crash adds to.
 * That against a part which was quarantined stays, so that one crash puts it
 * back. */
static bool is_stale(const pr_suspect_t *suspect, int64_t now_ms)
{
	return !pr_suspect_is_suspected(suspect) ||
	       (!pr_suspect_is_quarantined(suspect) &&
		now_ms - suspect->crash_ms > PR_SUSPICION_MS);
}

static void record_crash(const pr_quarantine_t *quarantine,
			 pr_quarantine_entry_t *entry,
			 const pr_quarantine_prompt_t *prompt,
			 const pr_crash_t *crash)
{
	pr_suspect_t *suspect = &entry->suspect;

	if (is_stale(suspect, crash->at_ms)) {
		drop_evidence(entry);
		suspect->since_ms = crash->at_ms;
		entry->was_service_up = is_service_up(
			quarantine, suspect->service, crash->at_ms);
	}
	suspect->requests |= bit_of(prompt->request);
	pr_suspect_add_crash(suspect, crash);
	suspect->crash_ms = crash->at_ms;
	pr_quarantine_mark_changed(entry, true);
}

/*
 * The parts of a prompt that are suspected: all of them, or of a long prompt
 * those that were not answered for longest. Otherwise one request would replace
 * all other suspects.
 *
 * @param out indexes of the parts
 */
static size_t pick_suspects(const pr_quarantine_t *quarantine,
			    const pr_quarantine_prompt_t *prompt,
			    size_t out[SUSPECTS_MAX])
{
	int64_t answers[SUSPECTS_MAX];
	size_t count = 0;

	for (size_t i = 0; i < count_subjects(prompt); i++) {
		int64_t answer_ms =
			last_answer_ms(quarantine, subject_at(prompt, i));
		size_t at = count;

		if (count < SUSPECTS_MAX)
			count++;
		else if (answer_ms >= answers[--at])
			continue;
		for (; at && answers[at - 1] > answer_ms; at--) {
			answers[at] = answers[at - 1];
			out[at] = out[at - 1];
		}
		answers[at] = answer_ms;
		out[at] = i;
	}
	return count;
}

void pr_quarantine_record_crash(pr_quarantine_t *quarantine,
				const pr_quarantine_prompt_t *prompt,
				uint32_t upstream, int64_t now_ms)
{
	const pr_crash_t crash = { .upstream = upstream, .at_ms = now_ms };
	size_t suspects[SUSPECTS_MAX], count;
	bool explained = false;

	/* A quarantined part explains the crash. */
	for (size_t i = 0; i < quarantine->count; i++) {
		pr_quarantine_entry_t *entry = &quarantine->entries[i];

		if (!concerns(entry, prompt))
			continue;
		/* Its requests stay those of the verdict: a part overrules
		 * another one only if all of them have both. */
		pr_suspect_add_crash(&entry->suspect, &crash);
		entry->suspect.crash_ms = now_ms;
		pr_quarantine_mark_changed(entry, true);
		explained = true;
	}
	if (explained)
		return;
	count = pick_suspects(quarantine, prompt, suspects);
	for (size_t i = 0; i < count; i++) {
		uint64_t part = subject_at(prompt, suspects[i]);
		pr_quarantine_entry_t *entry =
			pr_quarantine_find(quarantine, prompt->service, part);

		if (!entry)
			entry = add(quarantine, prompt->service, part);
		entry->suspect.position = suspects[i] < prompt->parts_count
						  ? (uint32_t)suspects[i]
						  : PR_SUSPECT_CONTENT;
		record_crash(quarantine, entry, prompt, &crash);
	}
}

void pr_quarantine_record_alive(pr_quarantine_t *quarantine, uint32_t upstream,
				int64_t now_ms)
{
	size_t slot = alive_slot(upstream);

	quarantine->alive[slot].upstream = upstream;
	quarantine->alive[slot].ms = now_ms;
}

static void note_other_answer(pr_quarantine_entry_t *entry, uint64_t request,
			      int64_t now_ms)
{
	uint32_t bit = UINT32_C(1) << (spread(request) >> 59);

	entry->other_answers++;
	if (!entry->other_since_ms)
		entry->other_since_ms = now_ms;
	if (pr_quarantine_has_others(entry)) {
		if (!entry->others_enough_ms)
			entry->others_enough_ms = now_ms;
		return;
	}
	if (entry->suspect.others & bit)
		return;
	entry->suspect.others |= bit;
	entry->others_unsent = true;
}

void pr_quarantine_record_answer(pr_quarantine_t *quarantine,
				 const pr_quarantine_prompt_t *prompt,
				 int64_t now_ms)
{
	count_service_answer(quarantine, prompt->service, now_ms);
	for (size_t i = 0; i < count_subjects(prompt); i++) {
		uint64_t part = subject_at(prompt, i);
		size_t at = answered_at(quarantine, part);

		quarantine->answered[at].part = part;
		quarantine->answered[at].ms = now_ms;
	}
	for (size_t i = 0; i < quarantine->count; i++) {
		pr_quarantine_entry_t *entry = &quarantine->entries[i];

		if (entry->suspect.service != prompt->service)
			continue;
		if (has_part(prompt, entry->suspect.part)) {
			if (!entry->suspect.answer_ms)
				pr_quarantine_mark_changed(entry, true);
			entry->suspect.answer_ms = now_ms;
			clear(entry, now_ms);
			continue;
		}
		note_other_answer(entry, prompt->request, now_ms);
	}
}

/* Merge the evidence of this host and of another. @return true when there is
 * more or less of it than before */
static bool merge_evidence(const pr_quarantine_t *quarantine,
			   pr_quarantine_entry_t *entry,
			   const pr_suspect_t *suspect)
{
	pr_suspect_t *own = &entry->suspect;
	bool entry_changed = false;

	if (!pr_suspect_is_suspected(own))
		drop_evidence(entry);
	if (suspect->crash_ms > own->cleared_ms) {
		if (!own->requests)
			entry->was_service_up =
				is_service_up(quarantine, suspect->service,
					      suspect->since_ms);
		if (!own->requests || suspect->since_ms < own->since_ms)
			own->since_ms = suspect->since_ms;
		own->requests |= suspect->requests;
		for (size_t i = 0; i < PR_SUSPECT_DROPPED_WORDS; i++)
			own->dropped[i] |= suspect->dropped[i];
		own->others |= suspect->others;
		for (uint32_t i = 0; i < suspect->crashes_count; i++)
			entry_changed |=
				pr_suspect_add_crash(own, &suspect->crashes[i]);
		own->position = suspect->position;
	}
	/* The other host's evidence may be from before this host's answer. */
	own->since_ms = later(own->since_ms, own->cleared_ms);
	own->crash_ms = later(own->crash_ms, suspect->crash_ms);
	return entry_changed;
}

void pr_quarantine_merge(pr_quarantine_t *quarantine,
			 const pr_suspect_t *suspect, bool tell_relays)
{
	pr_quarantine_entry_t *entry =
		pr_quarantine_find(quarantine, suspect->service, suspect->part);
	pr_suspect_t *own, before;
	bool changed;

	if (!entry)
		entry = add(quarantine, suspect->service, suspect->part);
	own = &entry->suspect;
	before = *own;
	own->cleared_ms = later(own->cleared_ms, suspect->cleared_ms);
	own->answer_ms = later(own->answer_ms, suspect->answer_ms);
	own->quarantined_ms =
		later(own->quarantined_ms, suspect->quarantined_ms);
	own->probe_ms = later(own->probe_ms, suspect->probe_ms);
	if (suspect->quarantines > own->quarantines)
		own->quarantines = suspect->quarantines;
	changed = merge_evidence(quarantine, entry, suspect);
	if (changed || own->requests != before.requests ||
	    own->others != before.others ||
	    own->quarantined_ms != before.quarantined_ms ||
	    own->probe_ms != before.probe_ms ||
	    !own->answer_ms != !before.answer_ms ||
	    pr_suspect_is_quarantined(own) !=
		    pr_suspect_is_quarantined(&before))
		pr_quarantine_mark_changed(entry, tell_relays);
	/* This host knows that answers on the part began. */
	if (own->answer_ms && !suspect->answer_ms)
		pr_quarantine_mark_changed(entry, true);
}
