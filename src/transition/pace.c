/* Medians of the first samples, then running medians by stochastic
 * approximation, as in place/prefill.c. */
#include "transition/pace.h"

#include <string.h>

/* Fraction by which a sample moves the running median. */
#define STEP_FRACTION 0.05
/* An answer is slow when its pace is more than this multiple of the median: a
 * version that takes twice as long on unloaded upstreams must exceed it,
 * whereas the median is that of loaded ones. Load alone can cause that; the
 * rate of slow answers of the old version at the same time shows how often. */
#define SLOW_RATIO 1.5
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

void pr_pace_learn(pr_pace_t *pace, uint64_t kind, double ms)
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
	if (samples < PR_PACE_SAMPLES_MIN) {
		insert_sorted(pace->kinds[i].first, samples, (float)ms);
		pace->kinds[i].median = pace->kinds[i].first[samples / 2];
		return;
	}
	pace->kinds[i].median *= ms > pace->kinds[i].median ? 1 + STEP_FRACTION
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
