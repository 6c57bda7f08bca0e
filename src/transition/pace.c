/* Running medians by stochastic approximation, as in place/prefill.c. */
#include "transition/pace.h"

/* Part by which a sample moves the estimate. */
#define STEP 0.05
/* Samples before the median is used. */
#define SAMPLES_MIN 20
/* An answer is slow when it takes this many times the median. The old version's
 * answers beside it tell how often load alone does that. */
#define SLOW_RATIO 1.8

/* Events after the first one that tell the pace of a stream, and the fewest
 * that do at its end. */
#define EVENTS     10
#define EVENTS_MIN 3

bool pr_pace_measure_stream(pr_pace_stream_t *stream, uint64_t events,
			    bool ended, pr_usec_t now, double *ms)
{
	uint64_t after;

	if (!stream->began && !ended) {
		stream->began = now;
		stream->from = events;
	}
	after = events - stream->from;
	if (!stream->began || stream->judged ||
	    after < (ended ? EVENTS_MIN : EVENTS))
		return false;
	stream->judged = true;
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
	pace->kinds[i].median *=
		ms > pace->kinds[i].median ? 1 + STEP : 1 - STEP;
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
