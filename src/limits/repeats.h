/**
 * Repeat budget of a service. A repeat is a further send of a request to an
 * upstream: a retry, a resume or an escalation. The repeats within a sliding
 * window stay below a fraction of the requests in that window. Each host limits
 * its repeats by the requests that it received itself, so the sum over all
 * hosts stays within the limit without coordination.
 */
#ifndef PR_LIMITS_REPEATS_H
#define PR_LIMITS_REPEATS_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/timer.h"

/** Number of slots that a window is divided into. */
#define PR_REPEAT_BUDGET_SLOTS 40

typedef struct pr_repeat_budget_t {
	/** Counts by slot; ring buffers indexed by slot number. */
	uint32_t requests[PR_REPEAT_BUDGET_SLOTS];
	uint32_t repeats[PR_REPEAT_BUDGET_SLOTS];
	/** Length of a slot in microseconds. */
	pr_usec_t slot_len;
	/** Number of the latest slot, counted from time 0. */
	int64_t current_slot;
} pr_repeat_budget_t;

/**
 * Initialise an empty budget.
 *
 * @param window length of the sliding window in microseconds
 */
void pr_repeat_budget_init(pr_repeat_budget_t *budget, pr_usec_t window);
/** Count a request of a caller. @param now current time in microseconds */
void pr_repeat_budget_add_request(pr_repeat_budget_t *budget, pr_usec_t now);
/**
 * Take a repeat from the budget.
 *
 * @param ratio repeats allowed per request in the window
 * @param slack repeats allowed per window in addition to the ratio
 * @param now current time in microseconds
 * @return true when the repeat is allowed, and is then counted; false when the
 *	   budget is used up
 */
bool pr_repeat_budget_take(pr_repeat_budget_t *budget, double ratio,
			   uint32_t slack, pr_usec_t now);

#endif
