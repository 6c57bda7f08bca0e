/**
 * How long an attempt may wait for its first event before another upstream may
 * replace it. The usual time is learned for each service; see
 * docs/design/attempt-wait.md.
 */
#ifndef PR_DISPATCH_PATIENCE_H
#define PR_DISPATCH_PATIENCE_H

#include <stdbool.h>
#include <stdint.h>

/** What is learned about a service. Must be zeroed before first use. */
typedef struct pr_patience_t {
	/** Running high quantile of the actual time to the first event divided
	 *  by the expected one; 0 before the first sample. */
	double factor;
	/** Samples of the factor, up to the number from which it is used. */
	uint32_t samples;
	/** Running high quantile of the time from the first event to the end of
	 *  a stream, milliseconds per expected output token; 0 when unknown. */
	double token_ms;
} pr_patience_t;

/** An attempt without its first event. Times are in milliseconds. */
typedef struct pr_patience_attempt_t {
	/** Latency objective, counted from the arrival of the request. */
	double objective_ms;
	/** From the arrival of the request to the start of the attempt. */
	double used_ms;
	/** From the start of the attempt to the deadline of the request. */
	double left_ms;
	/** Time to the first event that was expected at the start. */
	double expected_ms;
	/** The same for the attempt that would replace it. */
	double next_ms;
	/** Output tokens that are still expected; 0 when not a stream. */
	double tokens;
	/** Upper bound of the result: the fixed limit of the route. */
	double limit_ms;
} pr_patience_attempt_t;

/** @return the learned factor, or 0 while there are too few samples */
double pr_patience_factor(const pr_patience_t *patience);
/**
 * Decide how long an attempt may wait. A higher factor never gives a shorter
 * wait, so that attempts are not replaced when the whole service is slow.
 *
 * @param patience what is learned about the service; NULL for nothing
 * @return milliseconds from the start of the attempt, at most limit_ms
 */
double pr_patience_wait_ms(const pr_patience_t *patience,
			   const pr_patience_attempt_t *attempt);
/** Learn from a first event. */
void pr_patience_learn(pr_patience_t *patience, double expected_ms,
		       double actual_ms);
/**
 * Learn from an attempt that ended without its first event. Without this, the
 * latest first events would never be learned from, since their attempts are
 * replaced.
 *
 * @param waited_ms time without an event; nothing is learned from a time that
 *	  is not above what is usual
 * @return whether anything was learned
 */
bool pr_patience_learn_silence(pr_patience_t *patience, double expected_ms,
			       double waited_ms);
/**
 * Learn from a stream that ended regularly.
 *
 * @param tokens expected output tokens of the request
 * @param ms time from the first event to the end
 */
void pr_patience_learn_rest(pr_patience_t *patience, double tokens, double ms);

#endif
