/**
 * Counts of an upstream's recent answers and failures, with exponential decay,
 * so that an upstream that has recovered is used again.
 */
#ifndef PR_UPSTREAM_OUTCOMES_H
#define PR_UPSTREAM_OUTCOMES_H

#include <stdbool.h>

#include "pistachiorack/timer.h"

/** Must be zeroed before first use. */
typedef struct pr_outcomes_t {
	/** Decayed number of answers, good and failed. */
	double answered;
	/** Decayed number of failed answers. */
	double failed;
	/** Time to which the counts have decayed. */
	pr_usec_t at;
} pr_outcomes_t;

/** Count an answer. */
void pr_outcomes_add(pr_outcomes_t *outcomes, bool failed, pr_usec_t now);
/** Decay the counts to a later time. */
void pr_outcomes_decay(pr_outcomes_t *outcomes, pr_usec_t now);
/** @return estimated share (0 to 1) of recent answers, to this host and to the
 *	   others, that failed */
double pr_outcomes_failure_rate(const pr_outcomes_t *own,
				const pr_outcomes_t *others, pr_usec_t now);

#endif
