/* Running medians by stochastic approximation, as in place/prefill.c. */
#include "transition/pace.h"

#include <string.h>

/* Fraction by which a sample moves the estimate, and what is added to it for
 * the first samples, divided by their number: the first one may be far off. */
#define STEP_FRACTION       0.05
#define STEP_FRACTION_FIRST 0.4
/* Number of samples before the median is used. */
#define SAMPLES_MIN 20
/* An answer is slow when its pace is more than this multiple of the median: a
 * version that takes twice as long on unloaded upstreams must exceed it,
 * whereas the median is that of loaded ones. Load alone can cause that; the
 * rate of slow answers of the old version at the same time shows how often. */
#define SLOW_RATIO 1.5
/* Minimum number of intervals when a stream ends early. */
#define INTERVALS_MIN 2

static float lower_quartile(const pr_pace_stream_t *stream)
{
	float sorted[PR_PACE_INTERVALS];

	for (uint32_t i = 0; i < stream->count; i++) {
		uint32_t at = i;

		while (at && sorted[at - 1] > stream->intervals[i])
			at--;
		memmove(&sorted[at + 1], &sorted[at],
			(i - at) * sizeof(sorted[0]));
		sorted[at] = stream->intervals[i];
	}
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

void pr_pace_learn(pr_pace_t *pace, uint64_t kind, double ms)
{
	double step;
	uint32_t i = 0;

	while (i < pace->count && pace->kinds[i].kind != kind)
		i++;
	if (i == PR_PACE_KINDS_MAX)
		return;
	if (i == pace->count) {
		pace->count++;
		pace->kinds[i].kind = kind;
		pace->kinds[i].median = ms;
		pace->kinds[i].samples = 1;
		return;
	}
	step = STEP_FRACTION + STEP_FRACTION_FIRST / ++pace->kinds[i].samples;
	pace->kinds[i].median *=
		ms > pace->kinds[i].median ? 1 + step : 1 - step;
}

bool pr_pace_is_known(const pr_pace_t *pace, uint64_t kind)
{
	for (uint32_t i = 0; i < pace->count; i++) {
		if (pace->kinds[i].kind == kind)
			return pace->kinds[i].samples >= SAMPLES_MIN;
	}
	return false;
}

bool pr_pace_is_slow(const pr_pace_t *pace, uint64_t kind, double ms)
{
	for (uint32_t i = 0; i < pace->count; i++) {
		if (pace->kinds[i].kind == kind)
			return pace->kinds[i].samples >= SAMPLES_MIN &&
			       ms > SLOW_RATIO * pace->kinds[i].median;
	}
	return false;
}
