/**
 * How many streams pause between two events for longer than their route allows.
 *
 * Upstreams read prompts in chunks between the tokens of their streams. Whether
 * a long prompt makes the streams beside it late depends on the size of the
 * chunks, which upstreams do not state, so it is learned from the streams.
 */
#ifndef PR_CASCADE_PAUSES_H
#define PR_CASCADE_PAUSES_H

#include <stdbool.h>

/** Zeroed before first use. */
typedef struct pr_pauses_t {
	/** Moving average of the share of paused streams, 0 to 1. */
	double share;
} pr_pauses_t;

/**
 * Record a stream that ended.
 *
 * @param paused true when the time between two of its events from one upstream
 *	  exceeded the gap that its route allows
 */
void pr_pauses_add(pr_pauses_t *pauses, bool paused);
/** @return weight of avoiding pauses, from 0 while streams do not pause to 1
 */
double pr_pauses_weight(const pr_pauses_t *pauses);

#endif
