/* Trackers of versions: outcome counts, exposure budget, draw, and the CUSUM
 * monitors of proven versions. */
#include "pistachiorack/rollout.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "rollout/tracker.h"

/* Ratings from which a monitor estimates its baseline, and the increase of the
 * bad rate that it tolerates. At a bad rate of 10%, 400 ratings determine the
 * baseline with a standard error of 1.5 percentage points. */
#define CUSUM_BASELINE_RATINGS 400
#define CUSUM_TOLERANCE        0.02

/* Size of the token bucket of the exposure budget, in seconds of its rate. */
#define BURST_S 5.0

int pr_rollout_init(pr_rollout_t *rollout, const pr_rollout_options_t *options)
{
	*rollout = (pr_rollout_t){ .options = *options };
	if (options->version != PR_ROLLOUT_OPTIONS_VERSION ||
	    options->alpha <= 0 || options->alpha >= 1 || !options->shares[0])
		return pr_error_set(PR_EINVALID,
				    "roll-out options are invalid");
	rollout->trackers =
		calloc(PR_ROLLOUT_TRACKERS_MAX, sizeof(*rollout->trackers));
	if (!rollout->trackers)
		return pr_error_set(PR_ENOMEM, "no memory for roll-outs");
	return 0;
}

void pr_rollout_finish(pr_rollout_t *rollout)
{
	free(rollout->trackers);
	*rollout = (pr_rollout_t){ .trackers = NULL };
}

size_t pr_rollout_bytes(const pr_rollout_t *rollout)
{
	return sizeof(*rollout) +
	       PR_ROLLOUT_TRACKERS_MAX * sizeof(*rollout->trackers);
}

void pr_outcome_counts_add(pr_outcome_counts_t *to,
			   const pr_outcome_counts_t *counts)
{
	for (int s = 0; s < PR_SIGNALS; s++) {
		to->trials[s] += counts->trials[s];
		to->bad[s] += counts->bad[s];
	}
}

pr_rollout_tracker_t *pr_rollout_find_tracker(const pr_rollout_t *rollout,
					      pr_slice_t model,
					      pr_slice_t version)
{
	for (unsigned int i = 0; i < rollout->trackers_count; i++) {
		pr_rollout_tracker_t *tracker = &rollout->trackers[i];

		if (pr_slice_equal(pr_slice_of(tracker->version), version) &&
		    pr_slice_equal(pr_slice_of(tracker->model), model))
			return tracker;
	}
	return NULL;
}

static void clear_evidence(pr_rollout_tracker_t *tracker)
{
	memset(&tracker->counts, 0, sizeof(tracker->counts));
	memset(&tracker->cusum, 0, sizeof(tracker->cusum));
	tracker->workspaces_count = 0;
	tracker->alarm = false;
	tracker->requested[0] = '\0';
}

void pr_outcome_counts_subtract(pr_outcome_counts_t *from,
				const pr_outcome_counts_t *counts)
{
	for (int s = 0; s < PR_SIGNALS; s++) {
		/* The counts of the replaced version were cleared. */
		if (from->trials[s] < counts->trials[s] ||
		    from->bad[s] < counts->bad[s])
			return;
	}
	for (int s = 0; s < PR_SIGNALS; s++) {
		from->trials[s] -= counts->trials[s];
		from->bad[s] -= counts->bad[s];
	}
}

/* Removes the trackers of versions that are not in the configuration. */
static void remove_unlisted(pr_rollout_t *rollout, const pr_fleet_t *fleet)
{
	for (unsigned int i = 0; i < rollout->trackers_count;) {
		pr_rollout_tracker_t *tracker = &rollout->trackers[i];
		const pr_model_t *model =
			pr_fleet_model(fleet, pr_slice_of(tracker->model));

		if (model &&
		    pr_model_version(model, pr_slice_of(tracker->version)))
			i++;
		else
			*tracker = rollout->trackers[--rollout->trackers_count];
	}
}

/* Returns true if there are outcomes since the evidence was last cleared. */
static bool has_outcomes(const pr_rollout_tracker_t *tracker)
{
	for (int s = 0; s < PR_SIGNALS; s++)
		if (tracker->counts.trials[s])
			return true;
	return false;
}

/* Stores the counts of the replaced version at the start of a comparison. */
static void start_comparison(const pr_rollout_t *rollout,
			     pr_rollout_tracker_t *tracker,
			     const pr_model_t *model,
			     const pr_version_t *version)
{
	const pr_rollout_tracker_t *reference = NULL;

	memset(&tracker->reference_start, 0, sizeof(tracker->reference_start));
	if (version->replaces)
		reference = pr_rollout_find_tracker(
			rollout, pr_slice_of(model->name),
			pr_slice_of(version->replaces));
	if (!reference)
		return;
	tracker->reference_start.counts = reference->counts;
	for (unsigned int i = 0; i < reference->workspaces_count; i++)
		tracker->reference_start.workspaces[i] =
			reference->workspaces[i].counts;
}

/* Applies the state and share of a version to its tracker; creates it if there
 * is room. */
static void update_tracker(pr_rollout_t *rollout, const pr_model_t *model,
			   const pr_version_t *version, pr_usec_t now)
{
	pr_rollout_tracker_t *tracker = pr_rollout_find_tracker(
		rollout, pr_slice_of(model->name), pr_slice_of(version->name));

	if (!tracker) {
		if (rollout->trackers_count == PR_ROLLOUT_TRACKERS_MAX)
			return;
		tracker = &rollout->trackers[rollout->trackers_count];
		memset(tracker, 0, sizeof(*tracker));
		tracker->tokens_at = now;
		tracker->state = version->state;
		tracker->share = version->share;
		tracker->step_at = now;
		if (pr_slice_copy(tracker->model, sizeof(tracker->model),
				  pr_slice_of(model->name)) ||
		    pr_slice_copy(tracker->version, sizeof(tracker->version),
				  pr_slice_of(version->name)))
			return;
		rollout->trackers_count++;
		start_comparison(rollout, tracker, model, version);
		return;
	}
	if (tracker->state != version->state ||
	    tracker->share != version->share)
		tracker->step_at = now;
	tracker->share = version->share;
	if (tracker->state == version->state)
		return;
	/* The next roll-out of a withdrawn version starts without evidence. */
	if (tracker->state == PR_VERSION_WITHDRAWN)
		clear_evidence(tracker);
	tracker->state = version->state;
	/* A comparison that already has outcomes continues, for example after
	 * the roll-out was halted. */
	if (version->state == PR_VERSION_ROLLING && !has_outcomes(tracker))
		start_comparison(rollout, tracker, model, version);
}

void pr_rollout_configure(pr_rollout_t *rollout, const pr_fleet_t *fleet,
			  uint64_t config_version, pr_usec_t now)
{
	if (config_version < rollout->config_version)
		return;
	rollout->config_version = config_version;
	remove_unlisted(rollout, fleet);
	for (unsigned int m = 0; m < fleet->models_count; m++)
		for (unsigned int v = 0; v < fleet->models[m].versions_count;
		     v++)
			update_tracker(rollout, &fleet->models[m],
				       &fleet->models[m].versions[v], now);
}

bool pr_rollout_assigned(const pr_model_t *model, const pr_version_t *version,
			 pr_slice_t workspace, pr_slice_t session)
{
	uint64_t key = pr_hash64(model->name, strlen(model->name), 2);

	key = pr_hash64(version->name, strlen(version->name), key);
	key = pr_hash64(workspace.ptr, workspace.len, key);
	key = pr_hash64(session.ptr, session.len, key);
	return version->state == PR_VERSION_ROLLING &&
	       key % PR_SHARE_FULL < version->share;
}

void pr_rollout_set_grant(pr_rollout_t *rollout, pr_slice_t model,
			  pr_slice_t version, double per_s, pr_usec_t until,
			  pr_usec_t now)
{
	pr_rollout_tracker_t *tracker =
		pr_rollout_find_tracker(rollout, model, version);

	if (!tracker)
		return;
	tracker->granted_per_s = per_s;
	tracker->granted_until = until;
}

/* Returns the cost of a request in tokens of the exposure budget. */
static double draw_cost(const pr_rollout_t *rollout,
			const pr_version_t *version)
{
	double first = rollout->options.shares[0];

	return version->share > first ? first / version->share : 1;
}

bool pr_rollout_draw(pr_rollout_t *rollout, const pr_fleet_t *fleet,
		     const pr_model_t *model, const pr_version_t *version,
		     pr_slice_t workspace, pr_slice_t session,
		     unsigned int hosts, pr_usec_t now)
{
	pr_rollout_tracker_t *tracker = pr_rollout_find_tracker(
		rollout, pr_slice_of(model->name), pr_slice_of(version->name));
	double rate =
		(double)fleet->defaults.exposure_per_s / (hosts ? hosts : 1);
	double cost = draw_cost(rollout, version);

	if (!tracker ||
	    !pr_rollout_assigned(model, version, workspace, session))
		return false;
	if (now < tracker->granted_until)
		rate = tracker->granted_per_s;
	if (now > tracker->tokens_at) {
		double max = fmax(rate * BURST_S, 1);

		tracker->tokens += rate * (double)(now - tracker->tokens_at) /
				   (double)PR_USEC_PER_SEC;
		tracker->tokens = fmin(tracker->tokens, max);
		tracker->tokens_at = now;
	}
	if (rollout->options.budget_enabled && tracker->tokens < cost) {
		rollout->over_budget++;
		return false;
	}
	tracker->tokens -= cost;
	tracker->exposed++;
	return true;
}

void pr_rollout_charge(pr_rollout_t *rollout, const pr_model_t *model,
		       const pr_version_t *version)
{
	pr_rollout_tracker_t *tracker = pr_rollout_find_tracker(
		rollout, pr_slice_of(model->name), pr_slice_of(version->name));

	if (!tracker || version->state == PR_VERSION_PROVEN)
		return;
	tracker->tokens -= draw_cost(rollout, version);
	tracker->exposed++;
}

/* Returns the entry of the workspace, adding it if there is room, or NULL. */
static pr_workspace_tracker_t *find_or_add_workspace(
	pr_rollout_tracker_t *tracker, pr_slice_t workspace)
{
	pr_workspace_tracker_t *entry;

	for (unsigned int i = 0; i < tracker->workspaces_count; i++) {
		entry = &tracker->workspaces[i];
		if (pr_slice_equal(pr_slice_of(entry->workspace), workspace))
			return entry;
	}
	if (tracker->workspaces_count == PR_ROLLOUT_WORKSPACES_MAX)
		return NULL;
	entry = &tracker->workspaces[tracker->workspaces_count];
	memset(entry, 0, sizeof(*entry));
	if (pr_slice_copy(entry->workspace, sizeof(entry->workspace),
			  workspace))
		return NULL;
	tracker->workspaces_count++;
	return entry;
}

/* Adds ratings to a monitor. Each score compares the baseline with a rate that
 * is higher by a part of its distance to 1. Returns true if a score reaches the
 * threshold. */
static bool add_ratings(pr_cusum_t *cusum, const pr_outcome_counts_t *counts,
			double threshold)
{
	static const double increases[PR_ROLLOUT_ALTERNATIVES] = { 0.04, 0.12,
								   0.4 };
	double bad = (double)counts->bad[PR_SIGNAL_RATING];
	double good = (double)counts->trials[PR_SIGNAL_RATING] - bad;
	bool alarm = false;
	double p0;

	if (cusum->baseline_trials < CUSUM_BASELINE_RATINGS) {
		cusum->baseline_trials += counts->trials[PR_SIGNAL_RATING];
		cusum->baseline_bad += counts->bad[PR_SIGNAL_RATING];
		return false;
	}
	p0 = ((double)cusum->baseline_bad + 1) /
		     ((double)cusum->baseline_trials + 2) +
	     CUSUM_TOLERANCE;
	for (int i = 0; i < PR_ROLLOUT_ALTERNATIVES; i++) {
		double p1 = p0 + increases[i] * (1 - p0);

		cusum->score[i] +=
			bad * log(p1 / p0) + good * log((1 - p1) / (1 - p0));
		cusum->score[i] = fmax(cusum->score[i], 0);
		alarm |= cusum->score[i] >= threshold;
	}
	return alarm;
}

void pr_rollout_add_counts(pr_rollout_t *rollout, pr_slice_t model,
			   pr_slice_t version, pr_slice_t workspace,
			   const pr_outcome_counts_t *counts)
{
	pr_rollout_tracker_t *tracker =
		pr_rollout_find_tracker(rollout, model, version);
	double threshold = log(rollout->options.monitor_run_length);
	pr_workspace_tracker_t *entry;

	if (!tracker) {
		rollout->dropped++;
		return;
	}
	pr_outcome_counts_add(&tracker->counts, counts);
	entry = find_or_add_workspace(tracker, workspace);
	if (entry)
		pr_outcome_counts_add(&entry->counts, counts);
	if (tracker->state != PR_VERSION_PROVEN || tracker->alarm)
		return;
	tracker->alarm = add_ratings(&tracker->cusum, counts, threshold);
	tracker->alarm_workspace = -1;
	if (!tracker->alarm && entry &&
	    add_ratings(&entry->cusum, counts, threshold)) {
		tracker->alarm = true;
		tracker->alarm_workspace = (int)(entry - tracker->workspaces);
	}
}
