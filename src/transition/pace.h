/**
 * Normal pace of answers, by kind, to detect a version whose answers are
 * several times slower. The pace is the mean time between the events of a
 * stream, or the total time of an answer that is not a stream; milliseconds.
 */
#ifndef PR_TRANSITION_PACE_H
#define PR_TRANSITION_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/timer.h"

/** Number of kinds of answers whose pace is learned; answers of further kinds
 *  never count as slow. */
#define PR_PACE_KINDS_MAX 64

/** Learned pace by kind of answer. Must be zeroed before first use. */
typedef struct pr_pace_t {
	struct {
		/** Hash of service and kind of call. */
		uint64_t kind;
		/** Running median, milliseconds. */
		double median;
		uint32_t samples;
	} kinds[PR_PACE_KINDS_MAX];
	uint32_t count;
} pr_pace_t;

/** Measures the pace of one attempt's stream; zeroed when the attempt begins.
 */
typedef struct pr_pace_stream_t {
	/** Time at which the first events were passed on; 0 before. */
	pr_usec_t began;
	/** Number of events passed on by then, with those of earlier attempts.
	 */
	uint64_t first_events;
	/** The pace was returned already. */
	bool measured;
} pr_pace_stream_t;

/**
 * Update the measurement after events were passed on or the stream ended.
 *
 * @param events number of events passed on to the caller so far, including
 *		 those of earlier attempts
 * @param ended the stream ended
 * @param ms mean time between events, milliseconds; set when true is returned
 * @return true once for each attempt, when enough events were passed on
 */
bool pr_pace_measure_stream(pr_pace_stream_t *stream, uint64_t events,
			    bool ended, pr_usec_t now, double *ms);

/**
 * Update the normal pace by an answer of a version that is known to be good.
 *
 * @param kind hash of service and kind of call, whose answers have a like pace
 * @param ms pace of the answer, milliseconds
 */
void pr_pace_learn(pr_pace_t *pace, uint64_t kind, double ms);
/** @return true when the pace is several times slower than normal; false also
 *	   while the normal pace is unknown */
bool pr_pace_is_slow(const pr_pace_t *pace, uint64_t kind, double ms);

#endif
