/**
 * Usual pace of answers, by kind, so that a version whose answers take several
 * times as long can be told. The pace is the time between events of a stream,
 * and the whole time of a plain answer.
 */
#ifndef PR_TRANSITION_PACE_H
#define PR_TRANSITION_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/timer.h"

/** Kinds of answer that are learned; further ones are not judged. */
#define PR_PACE_KINDS_MAX 64

/** Zeroed before first use. */
typedef struct pr_pace_t {
	struct {
		uint64_t kind;
		/** Running median, milliseconds. */
		double median;
		uint32_t samples;
	} kinds[PR_PACE_KINDS_MAX];
	uint32_t count;
} pr_pace_t;

/** Pace of one stream from one upstream; zeroed when an attempt begins. */
typedef struct pr_pace_stream_t {
	/** Time of the first event, and the count of events passed on then. */
	pr_usec_t began;
	uint64_t from;
	bool judged;
} pr_pace_stream_t;

/**
 * Events were passed on, or the stream ended.
 *
 * @param events passed on to the caller so far, also from earlier attempts
 * @param ms time between events, when it is known
 * @return true once, when enough events tell the pace
 */
bool pr_pace_measure_stream(pr_pace_stream_t *stream, uint64_t events,
			    bool ended, pr_usec_t now, double *ms);

/**
 * Learn from an answer of a version that is known to be good.
 *
 * @param kind hash of what is alike in its pace: service and kind of call
 * @param ms time between events, or of the whole answer
 */
void pr_pace_learn(pr_pace_t *pace, uint64_t kind, double ms);
/** @return true when it is several times the usual; false when unknown */
bool pr_pace_is_slow(const pr_pace_t *pace, uint64_t kind, double ms);

#endif
