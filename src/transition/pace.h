/**
 * Normal pace of answers, by kind, to detect a version whose answers are
 * several times slower. The pace is the lower quartile of the times between the
 * events of a stream, or the total time of an answer that is not a stream;
 * milliseconds. The quartile leaves out pauses in which the upstream reads the
 * prompts of other requests; a version that is slow generates all events
 * slowly.
 */
#ifndef PR_TRANSITION_PACE_H
#define PR_TRANSITION_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/timer.h"

/** Number of kinds of answers whose pace is learned; answers of further kinds
 *  are not evaluated. */
#define PR_PACE_KINDS_MAX 256
/** Number of answers from which the normal pace of a kind is known. A host of a
 *  large fleet may see one answer of a service in a second. */
#define PR_PACE_SAMPLES_MIN 8
/** Number of recent answers of a kind that are kept to compare others with. */
#define PR_PACE_SAMPLES 64
/** Number of intervals from which the pace of a stream is measured. */
#define PR_PACE_INTERVALS 10

/** Pace of an answer, and the load of its upstream at that time. */
typedef struct pr_pace_sample_t {
	/** Milliseconds. */
	float ms;
	/** Requests at the upstream, as a part of its slots. */
	float load;
} pr_pace_sample_t;

/** Learned pace by kind of answer. Must be zeroed before first use. */
typedef struct pr_pace_t {
	struct {
		/** Hash of service and kind of call. */
		uint64_t kind;
		/** Running median, milliseconds. */
		double median;
		uint32_t samples;
		/** The first samples in ascending order, milliseconds. */
		float first[PR_PACE_SAMPLES_MIN];
		/** The last answers; the oldest is overwritten. */
		pr_pace_sample_t recent[PR_PACE_SAMPLES];
	} kinds[PR_PACE_KINDS_MAX];
	uint32_t count;
} pr_pace_t;

/** Measures the pace of one attempt's stream; zeroed when the attempt begins.
 */
typedef struct pr_pace_stream_t {
	/** Time at which events were last passed on; 0 before the first. */
	pr_usec_t last;
	/** Number of events passed on by then, with those of earlier attempts.
	 */
	uint64_t last_events;
	/** Times between events, milliseconds. */
	float intervals[PR_PACE_INTERVALS];
	uint32_t count;
	/** The pace was returned already. */
	bool measured;
} pr_pace_stream_t;

/**
 * Update the measurement after events were passed on or the stream ended.
 *
 * @param events number of events passed on to the caller so far, including
 *		 those of earlier attempts
 * @param ended the stream ended
 * @param ms pace, milliseconds; set when true is returned
 * @return true once for each attempt, when enough events were passed on
 */
bool pr_pace_measure_stream(pr_pace_stream_t *stream, uint64_t events,
			    bool ended, pr_usec_t now, double *ms);

/**
 * Update the normal pace by an answer of a version that is known to be good.
 *
 * @param kind hash of service and kind of call, whose answers have a like pace
 */
void pr_pace_learn(pr_pace_t *pace, uint64_t kind,
		   const pr_pace_sample_t *sample);
/** @return true when enough answers were measured to know the normal pace */
bool pr_pace_is_known(const pr_pace_t *pace, uint64_t kind);
/** @return true when the pace is clearly slower than normal; false also while
 *	   the normal pace is unknown */
bool pr_pace_is_slow(const pr_pace_t *pace, uint64_t kind, double ms);
/** Result of a comparison with answers at a similar load. */
typedef struct pr_pace_rank_t {
	/** Clearly slower than each of them, or slow by pr_pace_is_slow(). */
	bool slow;
	/** There were answers at a similar load. */
	bool ranked;
	/** Clearly slower than three quarters of them. */
	bool slower;
} pr_pace_rank_t;

/**
 * Compare an answer with the PR_PACE_SAMPLES_MIN answers whose load was the
 * most similar. One of an equally fast version is slow by chance with a
 * probability of at most 1 in 9, and slower than most with one of at most 3
 * in 9. One at a higher load than all others has none to be compared with.
 */
pr_pace_rank_t pr_pace_rank(const pr_pace_t *pace, uint64_t kind,
			    const pr_pace_sample_t *sample);

#endif
