/** Parts of the roll-out slice that its files share. */
#ifndef PISTACHIORACK_ROLLOUT_TRACKER_H
#define PISTACHIORACK_ROLLOUT_TRACKER_H

#include "pistachiorack/rollout.h"

/** @return the version's track or NULL */
pr_rollout_tracker_t *pr_rollout_find_tracker(const pr_rollout_t *rollout,
					      pr_slice_t model,
					      pr_slice_t version);

/**
 * Subtract an earlier state of the same counts. Nothing changes when they are
 * below it, as they are after they started afresh.
 */
void pr_outcome_counts_subtract(pr_outcome_counts_t *from,
				const pr_outcome_counts_t *counts);

#endif
