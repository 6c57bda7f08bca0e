/** Baseline: roll-out in fixed stages with one z-test at the end of each. */
#ifndef PISTACHIORACK_REPLAY_STAGES_H
#define PISTACHIORACK_REPLAY_STAGES_H

#include "replay/replay.h"

typedef struct rp_stages_t {
	rp_stage_t stages[RP_VERSIONS];
} rp_stages_t;

/** @return number of changes written */
unsigned int rp_stages_conclude(rp_stages_t *stages, const rp_trace_t *trace,
				const pr_rollout_t *rollout,
				const pr_fleet_t *fleet, long second,
				pr_rollout_change_t *changes, unsigned int max);

#endif
