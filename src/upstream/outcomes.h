/**
 * Answers of an upstream in the last seconds, and how many of them failed. Each
 * answer fades with time, so that an upstream that has recovered is used again.
 */
#ifndef PR_UPSTREAM_OUTCOMES_H
#define PR_UPSTREAM_OUTCOMES_H

#include <stdbool.h>

#include "pistachiorack/timer.h"

/** Zeroed before first use. */
typedef struct pr_outcomes_t {
	double answered;
	/** Failures among them. */
	double failed;
	/** Time that the counts stand for. */
	pr_usec_t at;
} pr_outcomes_t;

void pr_outcomes_add(pr_outcomes_t *outcomes, bool failed, pr_usec_t now);
/** Bring the counts to a later time. */
void pr_outcomes_decay(pr_outcomes_t *outcomes, pr_usec_t now);
/** @return part of the answers that failed, of this host and of others */
double pr_outcomes_failure_rate(const pr_outcomes_t *own,
				const pr_outcomes_t *others, pr_usec_t now);

#endif
