/*
 * Medians of the first samples, then running medians by stochastic
 * approximation, as in place/prefill.c. The comparison at equal load is a rank
 * among the nearest samples, so that it depends neither on how pace grows with
 * load nor on how it varies between upstreams.
 */
#include "transition/pace.h"

#include <math.h>
#include <string.h>

/* Fraction by which a sample moves the running median. */
#define STEP_FRACTION 0.05
/* An answer is slow when its pace is more than this multiple of the median: a
 * version that takes twice as long on unloaded upstreams must exceed it,
 * whereas the median is that of loaded ones. Load alone can cause that; the
 * rate of slow answers of the old version at the same time shows how often. */
#define SLOW_RATIO 1.5
/* At a similar load, a pace is clearly slower than another when it is more than
 * this multiple of it: below it, versions count as equally fast. */
#define CLEAR_RATIO 1.05
/* Number of the nearest samples that an answer exceeds which is slower than
 * most. */
#define SLOWER_THAN (3 * PR_PACE_SAMPLES_MIN / 4)
/* Minimum number of intervals when a stream ends early. */
#define INTERVALS_MIN 2

static void insert_sorted(float *sorted, uint32_t count, float value)
{
	uint32_t at = count;

	while (at && sorted[at - 1] > value)
		at--;
	memmove(&sorted[at + 1], &sorted[at], (count - at) * sizeof(sorted[0]));
	sorted[at] = value;
}

static float lower_quartile(const pr_pace_stream_t *stream)
{
	float sorted[PR_PACE_INTERVALS];

	for (uint32_t i = 0; i < stream->count; i++)
		insert_sorted(sorted, i, stream->intervals[i]);
	return sorted[stream->count / 4];
}

/* Add the intervals before each of the events that were passed on together. */
static void add_intervals(pr_pace_stream_t *stream, uint64_t events,
			  pr_usec_t now)
{
	uint64_t fresh = events - stream->last_events;
	float each =
		(float)(now - stream->last) / PR_USEC_PER_MSEC / (float)fresh;

	while (fresh-- && stream->count < PR_PACE_INTERVALS)
		stream->intervals[stream->count++] = each;
}

bool pr_pace_measure_stream(pr_pace_stream_t *stream, uint64_t events,
			    bool ended, pr_usec_t now, double *ms)
{
	if (stream->measured)
		return false;
	if (stream->last && events > stream->last_events)
		add_intervals(stream, events, now);
	if (!ended) {
		stream->last = now;
		stream->last_events = events;
	}
	if (stream->count < (ended ? INTERVALS_MIN : PR_PACE_INTERVALS))
		return false;
	stream->measured = true;
	*ms = lower_quartile(stream);
	return true;
}

static int64_t find_kind(const pr_pace_t *pace, uint64_t kind)
{
	for (uint32_t i = 0; i < pace->count; i++) {
		if (pace->kinds[i].kind == kind)
			return i;
	}
	return -1;
}

void pr_pace_learn(pr_pace_t *pace, uint64_t kind,
		   const pr_pace_sample_t *sample)
{
	int64_t i = find_kind(pace, kind);
	uint32_t samples;

	if (i < 0) {
		if (pace->count == PR_PACE_KINDS_MAX)
			return;
		i = pace->count++;
		pace->kinds[i].kind = kind;
	}
	samples = pace->kinds[i].samples++;
	pace->kinds[i].recent[samples % PR_PACE_SAMPLES] = *sample;
	if (samples < PR_PACE_SAMPLES_MIN) {
		insert_sorted(pace->kinds[i].first, samples, sample->ms);
		pace->kinds[i].median = pace->kinds[i].first[samples / 2];
		return;
	}
	pace->kinds[i].median *= sample->ms > pace->kinds[i].median
					 ? 1 + STEP_FRACTION
					 : 1 - STEP_FRACTION;
}

bool pr_pace_is_known(const pr_pace_t *pace, uint64_t kind)
{
	int64_t i = find_kind(pace, kind);

	return i >= 0 && pace->kinds[i].samples >= PR_PACE_SAMPLES_MIN;
}

bool pr_pace_is_slow(const pr_pace_t *pace, uint64_t kind, double ms)
{
	return pr_pace_is_known(pace, kind) &&
	       ms > SLOW_RATIO * pace->kinds[find_kind(pace, kind)].median;
}

static bool is_load_above_all(const pr_pace_sample_t *recent, uint32_t count,
			      float load)
{
	for (uint32_t i = 0; i < count; i++) {
		if (recent[i].load >= load)
			return false;
	}
	return true;
}

/* Collect the paces of the samples whose load is the most similar, in ascending
 * order. */
static void sort_nearest(float nearest[PR_PACE_SAMPLES_MIN],
			 const pr_pace_sample_t *recent, uint32_t count,
			 float load)
{
	bool used[PR_PACE_SAMPLES] = { false };

	for (uint32_t n = 0; n < PR_PACE_SAMPLES_MIN; n++) {
		uint32_t best = count;

		for (uint32_t i = 0; i < count; i++) {
			if (!used[i] &&
			    (best == count ||
			     fabsf(recent[i].load - load) <
				     fabsf(recent[best].load - load)))
				best = i;
		}
		used[best] = true;
		insert_sorted(nearest, n, recent[best].ms);
	}
}

pr_pace_rank_t pr_pace_rank(const pr_pace_t *pace, uint64_t kind,
			    const pr_pace_sample_t *sample)
{
	pr_pace_rank_t rank = {
		.slow = pr_pace_is_slow(pace, kind, sample->ms),
	};
	float nearest[PR_PACE_SAMPLES_MIN];
	const pr_pace_sample_t *recent;
	uint32_t count;
	int64_t i = find_kind(pace, kind);

	if (!pr_pace_is_known(pace, kind))
		return rank;
	recent = pace->kinds[i].recent;
	count = pace->kinds[i].samples < PR_PACE_SAMPLES
			? pace->kinds[i].samples
			: PR_PACE_SAMPLES;
	if (is_load_above_all(recent, count, sample->load))
		return rank;
	sort_nearest(nearest, recent, count, sample->load);
	rank.ranked = true;
	rank.slower = sample->ms > CLEAR_RATIO * nearest[SLOWER_THAN - 1];
	if (sample->ms > CLEAR_RATIO * nearest[PR_PACE_SAMPLES_MIN - 1])
		rank.slow = true;
	return rank;
}
