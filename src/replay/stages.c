/* Fixed stages: 1, 5, 25, 50 per cent, twenty minutes each. */
#include "replay/stages.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "rollout/tracker.h"

#define STAGE_S 1200
/* Four looks at 2.8 sigma: about 1% false alarms in all. */
#define ALARM_Z 2.8

static const uint32_t shares[] = { 100, 500, 2500, 5000 };
#define STAGES (sizeof(shares) / sizeof(shares[0]))

static double z_score(const pr_rollout_tracker_t *track,
		      const pr_rollout_tracker_t *reference)
{
	pr_outcome_counts_t since = reference->counts;
	double n = (double)track->counts.trials[PR_SIGNAL_RATING];
	double k = (double)track->counts.bad[PR_SIGNAL_RATING];
	double m, j, p;

	/* The same reference as our test has: since the roll-out began. */
	pr_outcome_counts_subtract(&since, &track->reference_start.counts);
	m = (double)since.trials[PR_SIGNAL_RATING];
	j = (double)since.bad[PR_SIGNAL_RATING];
	p = (k + j + 0.5) / (n + m + 1);
	if (n < 1 || m < 1)
		return 0;
	return (k / n - j / m) / sqrt(p * (1 - p) * (1 / n + 1 / m));
}

static bool stage_ends(rp_stage_t *stage, const pr_rollout_tracker_t *track,
		       const pr_rollout_tracker_t *reference, long second,
		       pr_rollout_change_t *change)
{
	if (!stage->since_s)
		stage->since_s = (double)second;
	if ((double)second < stage->since_s + STAGE_S)
		return false;
	change->to_state = PR_VERSION_ROLLING;
	change->action = PR_ROLLOUT_ADVANCE;
	stage->since_s = (double)second;
	stage->stage++;
	if (z_score(track, reference) > ALARM_Z) {
		change->action = PR_ROLLOUT_WITHDRAW;
		change->to_state = PR_VERSION_WITHDRAWN;
	} else if (stage->stage == STAGES) {
		change->action = PR_ROLLOUT_PROVE;
		change->to_state = PR_VERSION_PROVEN;
	} else {
		change->to_share = shares[stage->stage];
	}
	return true;
}

unsigned int rp_stages_conclude(rp_stages_t *stages, const rp_trace_t *trace,
				const pr_rollout_t *rollout,
				const pr_fleet_t *fleet, long second,
				pr_rollout_change_t *changes, unsigned int max)
{
	unsigned int count = 0;

	for (size_t i = 0; i < trace->versions_count && count < max; i++) {
		const rp_version_t *v = &trace->versions[i];
		const pr_version_t *entry = pr_model_version(
			pr_fleet_model(fleet, pr_slice_of(v->model)),
			pr_slice_of(v->name));
		const pr_rollout_tracker_t *track = pr_rollout_find_tracker(
			rollout, pr_slice_of(v->model), pr_slice_of(v->name));
		const pr_rollout_tracker_t *reference =
			pr_rollout_find_tracker(rollout, pr_slice_of(v->model),
						pr_slice_of(v->replaces));

		if (entry->state != PR_VERSION_ROLLING || !track || !reference)
			continue;
		memset(&changes[count], 0, sizeof(changes[count]));
		snprintf(changes[count].model, PR_ROLLOUT_NAME_MAX, "%s",
			 v->model);
		snprintf(changes[count].version, PR_ROLLOUT_NAME_MAX, "%s",
			 v->name);
		changes[count].from_state = entry->state;
		changes[count].from_share = entry->share;
		count += stage_ends(&stages->stages[i], track, reference,
				    second, &changes[count]);
	}
	return count;
}
