/**
 * Budget of repeated sends of one service: retries, resumes and escalations
 * together stay below a part of the requests of a sliding window. Each host
 * keeps to its own requests, so the sum over the hosts keeps to the bound.
 */
#ifndef PR_LIMITS_REPEATS_H
#define PR_LIMITS_REPEATS_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/timer.h"

#define PR_REPEAT_BUDGET_SLOTS 40

typedef struct pr_repeat_budget_t {
	uint32_t requests[PR_REPEAT_BUDGET_SLOTS];
	uint32_t repeats[PR_REPEAT_BUDGET_SLOTS];
	pr_usec_t slot;
	int64_t current;
} pr_repeat_budget_t;

/** @param window length of the window in microseconds */
void pr_repeat_budget_init(pr_repeat_budget_t *budget, pr_usec_t window);
void pr_repeat_budget_add_request(pr_repeat_budget_t *budget, pr_usec_t now);
/**
 * Take a repeat from the budget.
 *
 * @param ratio repeats for each request
 * @param slack repeats in a window beyond the ratio
 * @return false when the budget is used up
 */
bool pr_repeat_budget_take(pr_repeat_budget_t *budget, double ratio,
			   uint32_t slack, pr_usec_t now);

#endif
