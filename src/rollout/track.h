/** Parts of the roll-out slice that its files share. */
#ifndef PISTACHIORACK_ROLLOUT_TRACK_H
#define PISTACHIORACK_ROLLOUT_TRACK_H

#include "pistachiorack/rollout.h"

/** @return the version's track or NULL */
pr_track_t *pr_rollout_track(const pr_rollout_t *rollout, pr_slice_t model,
			     pr_slice_t version);

#endif
