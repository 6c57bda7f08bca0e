/* Evidence against one prompt part. */
#include "quarantine/suspect.h"

/* Age of the last answer on a part at its first crash, milliseconds, up to
 * which the part counts as answered before. */
#define ANSWERED_MS INT64_C(30000)
/* Numbers of crashes that differ by less than this part count as equal: reports
 * of other hosts arrive one after the other. */
#define LAG_PART 4
/* Crashes that are kept however many follow; without them, the evidence of a
 * storm would always be new. */
#define FIRST_MAX (PR_SUSPECT_CRASHES_MAX / 2)
/* Time in which bytes that an upstream sent before it crashed still arrive at
 * other hosts, whose clocks differ a little, milliseconds. */
#define ON_THE_WAY_MS 500
/* Time in which an upstream that crashed cannot have started again,
 * milliseconds. */
#define RESTART_MS 2000

static int64_t later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

bool pr_suspect_is_suspected(const pr_suspect_t *suspect)
{
	return suspect->crash_ms > suspect->cleared_ms;
}

bool pr_suspect_is_quarantined(const pr_suspect_t *suspect)
{
	return suspect->quarantined_ms >
	       (suspect->cleared_ms ? suspect->cleared_ms + PR_REPORT_MS : 0);
}

bool pr_crash_is_real(const pr_crash_t *crash)
{
	return crash->answer_ms <= crash->at_ms + ON_THE_WAY_MS;
}

void pr_crash_note_alive(pr_crash_t *crash, int64_t alive_ms)
{
	if (alive_ms <= crash->at_ms + RESTART_MS)
		crash->answer_ms = later(crash->answer_ms, alive_ms);
}

/* @return index of the upstream's crash, or crashes_count */
static uint32_t find_crash(const pr_suspect_t *suspect, uint32_t upstream)
{
	uint32_t i = 0;

	while (i < suspect->crashes_count &&
	       suspect->crashes[i].upstream != upstream)
		i++;
	return i;
}

/* @return number of kept crashes that are older */
static uint32_t rank_crash(const pr_suspect_t *suspect, const pr_crash_t *crash)
{
	uint32_t rank = 0;

	for (uint32_t i = 0; i < suspect->crashes_count; i++) {
		const pr_crash_t *other = &suspect->crashes[i];

		rank += other->at_ms < crash->at_ms ||
			(other->at_ms == crash->at_ms &&
			 other->upstream < crash->upstream);
	}
	return rank;
}

/* @return the crash of a suspect that has more */
static pr_crash_t *find_rank(pr_suspect_t *suspect, uint32_t rank)
{
	uint32_t i = 0;

	while (rank_crash(suspect, &suspect->crashes[i]) != rank)
		i++;
	return &suspect->crashes[i];
}

bool pr_suspect_has_crash(const pr_suspect_t *suspect, uint32_t upstream)
{
	return find_crash(suspect, upstream) < suspect->crashes_count;
}

/* @return bit of the upstream in the set of those that were dropped */
static unsigned dropped_bit(uint32_t upstream)
{
	return (unsigned)((upstream * UINT64_C(0x9e3779b97f4a7c15)) >> 32) %
	       (64 * PR_SUSPECT_DROPPED_WORDS);
}

bool pr_suspect_explains(const pr_suspect_t *suspect, const pr_crash_t *crash)
{
	unsigned bit = dropped_bit(crash->upstream);

	return pr_suspect_has_crash(suspect, crash->upstream) ||
	       suspect->dropped[bit / 64] >> (bit % 64) & 1;
}

static void note_dropped(pr_suspect_t *suspect, const pr_crash_t *crash)
{
	unsigned bit = dropped_bit(crash->upstream);

	suspect->dropped[bit / 64] |= UINT64_C(1) << (bit % 64);
}

/* Keep the first crashes and the newest ones of a suspect that has no room for
 * another. */
static bool replace_crash(pr_suspect_t *suspect, const pr_crash_t *crash)
{
	uint32_t rank = rank_crash(suspect, crash);
	pr_crash_t *dropped;

	if (rank == FIRST_MAX) {
		note_dropped(suspect, crash);
		return false;
	}
	dropped = find_rank(suspect,
			    rank < FIRST_MAX ? FIRST_MAX - 1 : FIRST_MAX);
	note_dropped(suspect, dropped);
	*dropped = *crash;
	return true;
}

bool pr_suspect_add_crash(pr_suspect_t *suspect, const pr_crash_t *crash)
{
	uint32_t i = find_crash(suspect, crash->upstream);
	pr_crash_t *known = &suspect->crashes[i];
	bool was_crash;

	if (i == PR_SUSPECT_CRASHES_MAX)
		return replace_crash(suspect, crash);
	if (i == suspect->crashes_count) {
		suspect->crashes_count++;
		*known = *crash;
		return true;
	}
	was_crash = pr_crash_is_real(known);
	known->at_ms = later(known->at_ms, crash->at_ms);
	known->answer_ms = later(known->answer_ms, crash->answer_ms);
	return pr_crash_is_real(known) != was_crash;
}

bool pr_suspect_is_content(const pr_suspect_t *suspect)
{
	return suspect->position == PR_SUSPECT_CONTENT;
}

bool pr_suspect_was_answered(const pr_suspect_t *suspect)
{
	return suspect->answer_ms &&
	       suspect->since_ms - suspect->answer_ms < ANSWERED_MS;
}

/* The part that crashed the upstreams crashed all of them. Of two parts that
 * occur together, the later one occurs in fewer requests. */
bool pr_suspect_is_likelier(const pr_suspect_t *a, unsigned a_crashes,
			    const pr_suspect_t *b, unsigned b_crashes)
{
	if (pr_suspect_was_answered(a) != pr_suspect_was_answered(b))
		return pr_suspect_was_answered(b);
	if (a_crashes > b_crashes + b_crashes / LAG_PART + 1 ||
	    b_crashes > a_crashes + a_crashes / LAG_PART + 1)
		return a_crashes > b_crashes;
	if (!a->answer_ms != !b->answer_ms)
		return !a->answer_ms;
	if (a->position != b->position)
		return a->position > b->position;
	return a->part > b->part;
}
