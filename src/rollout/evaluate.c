/* Changes that follow from the sequential test and from the CUSUM monitors. */
#include "pistachiorack/rollout.h"

#include <gsl/gsl_sf_gamma.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "rollout/tracker.h"

/* Division of alpha among the tests: half goes to the counts of all workspaces
 * together, the other half is divided equally among the single workspaces. Of
 * each part, ratings get half and each of the other signals a sixth. */
#define POOLED_ALPHA_SHARE 0.5
#define RATING_ALPHA_SHARE 0.5
#define OTHER_ALPHA_SHARE  (0.5 / (PR_SIGNALS - 1))

/* Standard errors by which the rate of the replaced version is raised in the
 * test, since it is an estimate. */
#define REFERENCE_Z 1.0

/* Estimated bad rate with its standard error. */
typedef struct rate_t {
	double mean, error;
	uint64_t trials;
} rate_t;

static rate_t estimate_rate(const pr_outcome_counts_t *counts,
			    pr_rollout_signal_t signal)
{
	double n = (double)counts->trials[signal];
	double p = ((double)counts->bad[signal] + 0.5) / (n + 1);

	return (rate_t){ p, sqrt(p * (1 - p) / (n + 1)),
			 counts->trials[signal] };
}

/* Returns the bad rate of the replaced version. If the version replaces none,
 * the rate is that of the quality target for ratings, and 5% otherwise. */
static rate_t reference_rate(const pr_outcome_counts_t *reference,
			     const pr_fleet_t *fleet,
			     pr_rollout_signal_t signal)
{
	double target = fleet->defaults.quality_target;

	if (reference)
		return estimate_rate(reference, signal);
	if (signal == PR_SIGNAL_RATING && target > 0)
		return (rate_t){ 1 - target, 0, UINT64_MAX };
	return (rate_t){ 0.05, 0, UINT64_MAX };
}

/* Tests each signal. Returns true if one is worse than the reference. */
static bool test_counts(const pr_rollout_t *rollout,
			const pr_outcome_counts_t *counts,
			const pr_outcome_counts_t *reference,
			const pr_fleet_t *fleet, double alpha,
			pr_rollout_change_t *change)
{
	for (int s = 0; s < PR_SIGNALS; s++) {
		rate_t rate = reference_rate(reference, fleet,
					     (pr_rollout_signal_t)s);
		double alpha_share = s == PR_SIGNAL_RATING ? RATING_ALPHA_SHARE
							   : OTHER_ALPHA_SHARE;
		double evidence;

		if (rate.trials < rollout->options.reference_min)
			continue;
		evidence = pr_sequential_evidence_above(
			counts->trials[s], counts->bad[s],
			rate.mean + REFERENCE_Z * rate.error +
				rollout->options.tolerance);
		if (evidence < -log(alpha * alpha_share))
			continue;
		change->signal = (pr_rollout_signal_t)s;
		change->log_evidence = evidence;
		return true;
	}
	return false;
}

static const pr_workspace_tracker_t *find_workspace(
	const pr_rollout_tracker_t *tracker, const char *workspace)
{
	for (unsigned int i = 0; tracker && i < tracker->workspaces_count; i++)
		if (!strcmp(tracker->workspaces[i].workspace, workspace))
			return &tracker->workspaces[i];
	return NULL;
}

/* Returns the counts of the replaced version since the roll-out began. */
static pr_outcome_counts_t since_start(const pr_rollout_tracker_t *tracker,
				       const pr_rollout_tracker_t *reference)
{
	pr_outcome_counts_t counts = reference->counts;

	pr_outcome_counts_subtract(&counts, &tracker->reference_start.counts);
	return counts;
}

/* Returns true if the version is worse than the replaced one, for all
 * workspaces together or for one of them. */
static bool is_worse(const pr_rollout_t *rollout,
		     const pr_rollout_tracker_t *tracker,
		     const pr_rollout_tracker_t *reference,
		     const pr_fleet_t *fleet, pr_rollout_change_t *change)
{
	double alpha = rollout->options.alpha;
	pr_outcome_counts_t counts;

	if (!rollout->options.test_enabled)
		return false;
	if (reference)
		counts = since_start(tracker, reference);
	if (test_counts(rollout, &tracker->counts, reference ? &counts : NULL,
			fleet, alpha * POOLED_ALPHA_SHARE, change))
		return true;
	for (unsigned int i = 0; i < tracker->workspaces_count; i++) {
		const pr_workspace_tracker_t *entry = &tracker->workspaces[i];
		const pr_workspace_tracker_t *same =
			find_workspace(reference, entry->workspace);

		if (reference && !same)
			continue;
		if (same) {
			counts = same->counts;
			pr_outcome_counts_subtract(
				&counts,
				&tracker->reference_start
					 .workspaces[same -
						     reference->workspaces]);
		}
		if (!test_counts(rollout, &entry->counts, same ? &counts : NULL,
				 fleet,
				 alpha * (1 - POOLED_ALPHA_SHARE) /
					 PR_ROLLOUT_WORKSPACES_MAX,
				 change))
			continue;
		memcpy(change->workspace, entry->workspace,
		       sizeof(change->workspace));
		return true;
	}
	return false;
}

static unsigned int step_index(const pr_rollout_t *rollout, uint32_t share)
{
	unsigned int step = 0;

	while (step + 1 < PR_ROLLOUT_STEPS &&
	       rollout->options.shares[step] < share)
		step++;
	return step;
}

/* Returns true if the evidence allows the next step: an increase of the bad
 * rate of ratings by step_margin is unlikely, and no other bad rate has
 * increased by more than step_margin. */
static bool may_advance(const pr_rollout_t *rollout,
			const pr_rollout_tracker_t *tracker,
			const pr_rollout_tracker_t *reference,
			const pr_fleet_t *fleet, unsigned int step,
			pr_rollout_change_t *change)
{
	pr_outcome_counts_t since = { 0 };
	const pr_outcome_counts_t *counts = reference ? &since : NULL;
	rate_t rate;

	if (reference)
		since = since_start(tracker, reference);
	rate = reference_rate(counts, fleet, PR_SIGNAL_RATING);
	if (rate.trials < rollout->options.reference_min)
		return false;
	change->signal = PR_SIGNAL_RATING;
	change->log_evidence = pr_sequential_evidence_below(
		tracker->counts.trials[PR_SIGNAL_RATING],
		tracker->counts.bad[PR_SIGNAL_RATING],
		rate.mean - rate.error + rollout->options.step_margin);
	if (change->log_evidence < log(rollout->options.step_odds[step]))
		return false;
	for (int s = 1; s < PR_SIGNALS; s++) {
		rate_t own =
			estimate_rate(&tracker->counts, (pr_rollout_signal_t)s);

		rate = reference_rate(counts, fleet, (pr_rollout_signal_t)s);
		if (own.mean - own.error >
		    rate.mean + rollout->options.step_margin)
			return false;
	}
	return true;
}

/* Sets the action, the new state and share and the id of a change. */
static void set_action(pr_rollout_change_t *change, pr_rollout_action_t action,
		       pr_version_state_t state, uint32_t share)
{
	static const char *const states[] = { "proven", "rolling", "halted",
					      "withdrawn" };

	change->action = action;
	change->to_state = state;
	change->to_share = share;
	snprintf(change->change_id, sizeof(change->change_id),
		 "rollout/%s@%s/%s-%u/%s-%u%s", change->model, change->version,
		 states[change->from_state], change->from_share, states[state],
		 share, action == PR_ROLLOUT_WARN ? "/warning" : "");
}

static bool evaluate_rolling(const pr_rollout_t *rollout,
			     const pr_fleet_t *fleet, const pr_model_t *model,
			     const pr_version_t *version,
			     const pr_rollout_tracker_t *tracker,
			     pr_rollout_change_t *change, pr_usec_t now)
{
	const pr_rollout_tracker_t *reference = NULL;
	unsigned int step = step_index(rollout, version->share);

	if (version->replaces)
		reference = pr_rollout_find_tracker(
			rollout, pr_slice_of(model->name),
			pr_slice_of(version->replaces));
	if (version->replaces && !reference)
		return false;
	if (is_worse(rollout, tracker, reference, fleet, change)) {
		set_action(change, PR_ROLLOUT_WITHDRAW, PR_VERSION_WITHDRAWN,
			   0);
		return true;
	}
	/* A halted version may be withdrawn, but only an operator resumes its
	 * roll-out. */
	if (version->state != PR_VERSION_ROLLING ||
	    now < tracker->step_at + rollout->options.step_time_min[step] ||
	    !may_advance(rollout, tracker, reference, fleet, step, change))
		return false;
	if (step + 1 == PR_ROLLOUT_STEPS ||
	    rollout->options.shares[step + 1] >= PR_SHARE_FULL)
		set_action(change, PR_ROLLOUT_PROVE, PR_VERSION_PROVEN, 0);
	else
		set_action(change, PR_ROLLOUT_ADVANCE, PR_VERSION_ROLLING,
			   rollout->options.shares[step + 1]);
	return true;
}

static bool has_alarm(const pr_rollout_t *rollout, const char *model,
		      const char *version)
{
	const pr_rollout_tracker_t *tracker = pr_rollout_find_tracker(
		rollout, pr_slice_of(model), pr_slice_of(version));

	return tracker && tracker->alarm;
}

/* Returns the number of other proven versions of the model. With a rollout,
 * versions whose monitor has raised an alarm are not counted. */
static unsigned int count_other_proven(const pr_model_t *model,
				       const pr_version_t *version,
				       const pr_rollout_t *rollout)
{
	unsigned int others = 0;

	for (unsigned int i = 0; i < model->versions_count; i++) {
		const pr_version_t *other = &model->versions[i];

		others += other != version &&
			  other->state == PR_VERSION_PROVEN &&
			  !(rollout &&
			    has_alarm(rollout, model->name, other->name));
	}
	return others;
}

static bool evaluate_proven(const pr_rollout_t *rollout,
			    const pr_model_t *model,
			    const pr_version_t *version,
			    const pr_rollout_tracker_t *tracker,
			    pr_rollout_change_t *change)
{
	unsigned int others = count_other_proven(model, version, rollout);

	if (!tracker->alarm || !rollout->options.test_enabled)
		return false;
	change->signal = PR_SIGNAL_RATING;
	change->log_evidence = log(rollout->options.monitor_run_length);
	if (tracker->alarm_workspace >= 0)
		memcpy(change->workspace,
		       tracker->workspaces[tracker->alarm_workspace].workspace,
		       sizeof(change->workspace));
	if (others)
		set_action(change, PR_ROLLOUT_WITHDRAW, PR_VERSION_WITHDRAWN,
			   0);
	else
		set_action(change, PR_ROLLOUT_WARN, version->state,
			   version->share);
	return true;
}

/* Returns true if a change is requested. */
static bool evaluate_version(pr_rollout_t *rollout, const pr_fleet_t *fleet,
			     const pr_model_t *model,
			     const pr_version_t *version,
			     pr_rollout_change_t *change, pr_usec_t now)
{
	pr_rollout_tracker_t *tracker = pr_rollout_find_tracker(
		rollout, pr_slice_of(model->name), pr_slice_of(version->name));
	bool found;

	if (!tracker || version->state == PR_VERSION_WITHDRAWN)
		return false;
	memset(change, 0, sizeof(*change));
	memcpy(change->model, tracker->model, sizeof(change->model));
	memcpy(change->version, tracker->version, sizeof(change->version));
	change->from_state = version->state;
	change->from_share = version->share;
	if (version->state == PR_VERSION_PROVEN)
		found = evaluate_proven(rollout, model, version, tracker,
					change);
	else
		found = evaluate_rolling(rollout, fleet, model, version,
					 tracker, change, now);
	if (!found)
		return false;
	if (!strcmp(tracker->requested, change->change_id) &&
	    now < tracker->requested_at + rollout->options.retry_time)
		return false;
	memcpy(tracker->requested, change->change_id,
	       sizeof(tracker->requested));
	tracker->requested_at = now;
	return true;
}

unsigned int pr_rollout_evaluate(pr_rollout_t *rollout, const pr_fleet_t *fleet,
				 uint64_t config_version, bool confirmed,
				 pr_rollout_change_t *changes, unsigned int max,
				 pr_usec_t now)
{
	unsigned int count = 0;

	if (!confirmed || config_version != rollout->config_version)
		return 0;
	for (unsigned int m = 0; m < fleet->models_count; m++)
		for (unsigned int v = 0; v < fleet->models[m].versions_count;
		     v++)
			if (count < max &&
			    evaluate_version(rollout, fleet, &fleet->models[m],
					     &fleet->models[m].versions[v],
					     &changes[count], now))
				count++;
	return count;
}

int pr_rollout_change_check(const pr_rollout_change_t *change,
			    const pr_fleet_t *fleet)
{
	const pr_model_t *model =
		pr_fleet_model(fleet, pr_slice_of(change->model));
	const pr_version_t *version =
		model ? pr_model_version(model, pr_slice_of(change->version))
		      : NULL;

	if (version && version->state == change->from_state &&
	    version->share == change->from_share &&
	    /* The last proven version of a model must not be withdrawn. */
	    !(version->state == PR_VERSION_PROVEN &&
	      change->to_state == PR_VERSION_WITHDRAWN &&
	      !count_other_proven(model, version, NULL)))
		return 0;
	return pr_error_set(PR_ECONFLICT,
			    "%s: the version was changed meanwhile or is the "
			    "last proven one",
			    change->change_id);
}
