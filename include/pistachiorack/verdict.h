/**
 * Verdict: whether a request may have run on an upstream.
 */
#ifndef PISTACHIORACK_VERDICT_H
#define PISTACHIORACK_VERDICT_H

#include <stdbool.h>

typedef enum pr_verdict_t {
	/** Nothing was sent, or the upstream stated that it did not start. */
	PR_VERDICT_NOT_RUN = 0,
	/** Some bytes may have reached an upstream; the outcome is unknown. */
	PR_VERDICT_MAY_HAVE_RUN = 1,
	/** The whole answer was received. */
	PR_VERDICT_RAN = 2,
} pr_verdict_t;

/** How far an attempt had come when it failed. */
typedef enum pr_attempt_stage_t {
	PR_STAGE_CHOSEN,
	PR_STAGE_CONNECTING,
	PR_STAGE_SENT,
	PR_STAGE_HEAD,
	PR_STAGE_BODY,
	PR_STAGE_DONE,
} pr_attempt_stage_t;

/**
 * Verdict of an attempt that failed at a stage.
 *
 * An error before the connection stands proves that nothing was sent. Once
 * the request has been written every error may hide a run, a reused
 * connection that the peer closed included.
 *
 * @param stage last stage that was reached
 * @param refused true when the upstream answered that it did not start
 */
pr_verdict_t pr_verdict_of_failure(pr_attempt_stage_t stage, bool refused);

/** The verdicts of two attempts of one request, taken together. */
pr_verdict_t pr_verdict_join(pr_verdict_t a, pr_verdict_t b);

/** @return "not_run", "may_have_run" or "ran" */
const char *pr_verdict_name(pr_verdict_t verdict);

#endif
