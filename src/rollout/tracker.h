/** Declarations private to src/rollout. */
#ifndef PISTACHIORACK_ROLLOUT_TRACKER_H
#define PISTACHIORACK_ROLLOUT_TRACKER_H

#include "pistachiorack/rollout.h"

/** @return the tracker of the version or NULL */
pr_rollout_tracker_t *pr_rollout_find_tracker(const pr_rollout_t *rollout,
					      pr_slice_t model,
					      pr_slice_t version);

/**
 * Subtract earlier values of the same counts. If any count is below its earlier
 * value, because the counts were cleared in between, nothing is subtracted.
 */
void pr_outcome_counts_subtract(pr_outcome_counts_t *from,
				const pr_outcome_counts_t *counts);

#endif
