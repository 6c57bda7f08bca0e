/* Running medians by stochastic approximation, as in place/prefill.c. */
#include "transition/pace.h"

/* Fraction by which a sample moves the estimate. */
#define STEP_FRACTION 0.05
/* Number of samples before the median is used. */
#define SAMPLES_MIN 20
/* An answer is slow when its pace is more than this multiple of the median.
 * Load alone can cause that; the rate of slow answers of the old version at the
 * same time shows how often. */
#define SLOW_RATIO 1.8

/* Number of events after the first ones from which the pace of a stream
 * is measured, and the minimum when the stream ends earlier. */
#define EVENTS_NEEDED 10
#define EVENTS_MIN    3

bool pr_pace_measure_stream(pr_pace_stream_t *stream, uint64_t events,
			    bool ended, pr_usec_t now, double *ms)
{
	uint64_t after;

	if (!stream->began && !ended) {
		stream->began = now;
		stream->first_events = events;
	}
	after = events - stream->first_events;
	if (!stream->began || stream->measured ||
	    after < (ended ? EVENTS_MIN : EVENTS_NEEDED))
		return false;
	stream->measured = true;
	*ms = (double)(now - stream->began) / PR_USEC_PER_MSEC / (double)after;
	return true;
}

void pr_pace_learn(pr_pace_t *pace, uint64_t kind, double ms)
{
	uint32_t i = 0;

	while (i < pace->count && pace->kinds[i].kind != kind)
		i++;
	if (i == PR_PACE_KINDS_MAX)
		return;
	if (i == pace->count) {
		pace->count++;
		pace->kinds[i].kind = kind;
		pace->kinds[i].median = ms;
	}
	pace->kinds[i].samples++;
	pace->kinds[i].median *= ms > pace->kinds[i].median ? 1 + STEP_FRACTION
							    : 1 - STEP_FRACTION;
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
