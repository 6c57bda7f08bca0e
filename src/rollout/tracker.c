/* Tracks of versions: counts, budget, draw and the watch on proven ones. */
#include "pistachiorack/rollout.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "rollout/tracker.h"

/* Outcomes that set the baseline of a watch. A baseline of 400 is known to
 * 1.5 points at a bad rate of 10%; the watch adds 2 points to it. */
#define WATCH_BASE      400
#define WATCH_TOLERANCE 0.02
/* A budget that was not used is kept for this long. */
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
		pr_rollout_tracker_t *track = &rollout->trackers[i];

		if (pr_slice_equal(pr_slice_of(track->version), version) &&
		    pr_slice_equal(pr_slice_of(track->model), model))
			return track;
	}
	return NULL;
}

static void clear_evidence(pr_rollout_tracker_t *track)
{
	memset(&track->counts, 0, sizeof(track->counts));
	memset(&track->cusum, 0, sizeof(track->cusum));
	track->workspaces_count = 0;
	track->alarm = false;
	track->requested[0] = '\0';
}

void pr_outcome_counts_subtract(pr_outcome_counts_t *from,
				const pr_outcome_counts_t *counts)
{
	for (int s = 0; s < PR_SIGNALS; s++) {
		/* The replaced version's evidence was cleared meanwhile. */
		if (from->trials[s] < counts->trials[s] ||
		    from->bad[s] < counts->bad[s])
			return;
	}
	for (int s = 0; s < PR_SIGNALS; s++) {
		from->trials[s] -= counts->trials[s];
		from->bad[s] -= counts->bad[s];
	}
}

static void drop_unlisted(pr_rollout_t *rollout, const pr_fleet_t *fleet)
{
	for (unsigned int i = 0; i < rollout->trackers_count;) {
		pr_rollout_tracker_t *track = &rollout->trackers[i];
		const pr_model_t *model =
			pr_fleet_model(fleet, pr_slice_of(track->model));

		if (model &&
		    pr_model_version(model, pr_slice_of(track->version)))
			i++;
		else
			*track = rollout->trackers[--rollout->trackers_count];
	}
}

/* True when the version has answered since its evidence was cleared. */
static bool is_compared(const pr_rollout_tracker_t *track)
{
	for (int s = 0; s < PR_SIGNALS; s++)
		if (track->counts.trials[s])
			return true;
	return false;
}

static void start_comparison(const pr_rollout_t *rollout,
			     pr_rollout_tracker_t *track,
			     const pr_model_t *model,
			     const pr_version_t *version)
{
	const pr_rollout_tracker_t *reference = NULL;

	memset(&track->reference_start, 0, sizeof(track->reference_start));
	if (version->replaces)
		reference = pr_rollout_find_tracker(
			rollout, pr_slice_of(model->name),
			pr_slice_of(version->replaces));
	if (!reference)
		return;
	track->reference_start.counts = reference->counts;
	for (unsigned int i = 0; i < reference->workspaces_count; i++)
		track->reference_start.workspaces[i] =
			reference->workspaces[i].counts;
}

static void follow(pr_rollout_t *rollout, const pr_model_t *model,
		   const pr_version_t *version, pr_usec_t now)
{
	pr_rollout_tracker_t *track = pr_rollout_find_tracker(
		rollout, pr_slice_of(model->name), pr_slice_of(version->name));

	if (!track) {
		if (rollout->trackers_count == PR_ROLLOUT_TRACKERS_MAX)
			return;
		track = &rollout->trackers[rollout->trackers_count];
		memset(track, 0, sizeof(*track));
		track->tokens_at = now;
		track->state = version->state;
		track->share = version->share;
		track->step_at = now;
		if (pr_slice_copy(track->model, sizeof(track->model),
				  pr_slice_of(model->name)) ||
		    pr_slice_copy(track->version, sizeof(track->version),
				  pr_slice_of(version->name)))
			return;
		rollout->trackers_count++;
		start_comparison(rollout, track, model, version);
		return;
	}
	if (track->state != version->state || track->share != version->share)
		track->step_at = now;
	track->share = version->share;
	if (track->state == version->state)
		return;
	/* A second roll-out of a withdrawn version starts afresh. */
	if (track->state == PR_VERSION_WITHDRAWN)
		clear_evidence(track);
	track->state = version->state;
	/* While it is halted or rolling the first comparison goes on. */
	if (version->state == PR_VERSION_ROLLING && !is_compared(track))
		start_comparison(rollout, track, model, version);
}

void pr_rollout_configure(pr_rollout_t *rollout, const pr_fleet_t *fleet,
			  uint64_t config_version, pr_usec_t now)
{
	if (config_version < rollout->config_version)
		return;
	rollout->config_version = config_version;
	drop_unlisted(rollout, fleet);
	for (unsigned int m = 0; m < fleet->models_count; m++)
		for (unsigned int v = 0; v < fleet->models[m].versions_count;
		     v++)
			follow(rollout, &fleet->models[m],
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
	pr_rollout_tracker_t *track =
		pr_rollout_find_tracker(rollout, model, version);

	if (!track)
		return;
	track->granted_per_s = per_s;
	track->granted_until = until;
}

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
	pr_rollout_tracker_t *track = pr_rollout_find_tracker(
		rollout, pr_slice_of(model->name), pr_slice_of(version->name));
	double rate =
		(double)fleet->defaults.exposure_per_s / (hosts ? hosts : 1);
	double cost = draw_cost(rollout, version);

	if (!track || !pr_rollout_assigned(model, version, workspace, session))
		return false;
	if (now < track->granted_until)
		rate = track->granted_per_s;
	if (now > track->tokens_at) {
		double most = fmax(rate * BURST_S, 1);

		track->tokens += rate * (double)(now - track->tokens_at) /
				 (double)PR_USEC_PER_SEC;
		track->tokens = fmin(track->tokens, most);
		track->tokens_at = now;
	}
	if (rollout->options.budget_enabled && track->tokens < cost) {
		rollout->over_budget++;
		return false;
	}
	track->tokens -= cost;
	track->exposed++;
	return true;
}

void pr_rollout_charge(pr_rollout_t *rollout, const pr_model_t *model,
		       const pr_version_t *version)
{
	pr_rollout_tracker_t *track = pr_rollout_find_tracker(
		rollout, pr_slice_of(model->name), pr_slice_of(version->name));

	if (!track || version->state == PR_VERSION_PROVEN)
		return;
	track->tokens -= draw_cost(rollout, version);
	track->exposed++;
}

static pr_workspace_tracker_t *workspace_of(pr_rollout_tracker_t *track,
					    pr_slice_t workspace)
{
	pr_workspace_tracker_t *entry;

	for (unsigned int i = 0; i < track->workspaces_count; i++) {
		entry = &track->workspaces[i];
		if (pr_slice_equal(pr_slice_of(entry->workspace), workspace))
			return entry;
	}
	if (track->workspaces_count == PR_ROLLOUT_WORKSPACES_MAX)
		return NULL;
	entry = &track->workspaces[track->workspaces_count];
	memset(entry, 0, sizeof(*entry));
	if (pr_slice_copy(entry->workspace, sizeof(entry->workspace),
			  workspace))
		return NULL;
	track->workspaces_count++;
	return entry;
}

/* Adds rated answers to a watch. @return true when it gives the alarm */
static bool watch_add(pr_cusum_t *cusum, const pr_outcome_counts_t *counts,
		      double threshold)
{
	static const double worse[PR_ROLLOUT_ALTERNATIVES] = { 0.04, 0.12,
							       0.4 };
	double bad = (double)counts->bad[PR_SIGNAL_RATING];
	double good = (double)counts->trials[PR_SIGNAL_RATING] - bad;
	bool alarm = false;
	double p0;

	if (cusum->base_trials < WATCH_BASE) {
		cusum->base_trials += counts->trials[PR_SIGNAL_RATING];
		cusum->base_bad += counts->bad[PR_SIGNAL_RATING];
		return false;
	}
	p0 = ((double)cusum->base_bad + 1) / ((double)cusum->base_trials + 2) +
	     WATCH_TOLERANCE;
	for (int i = 0; i < PR_ROLLOUT_ALTERNATIVES; i++) {
		double q = p0 + worse[i] * (1 - p0);

		cusum->score[i] +=
			bad * log(q / p0) + good * log((1 - q) / (1 - p0));
		cusum->score[i] = fmax(cusum->score[i], 0);
		alarm |= cusum->score[i] >= threshold;
	}
	return alarm;
}

void pr_rollout_add_counts(pr_rollout_t *rollout, pr_slice_t model,
			   pr_slice_t version, pr_slice_t workspace,
			   const pr_outcome_counts_t *counts)
{
	pr_rollout_tracker_t *track =
		pr_rollout_find_tracker(rollout, model, version);
	double threshold = log(rollout->options.monitor_run_length);
	pr_workspace_tracker_t *entry;

	if (!track) {
		rollout->dropped++;
		return;
	}
	pr_outcome_counts_add(&track->counts, counts);
	entry = workspace_of(track, workspace);
	if (entry)
		pr_outcome_counts_add(&entry->counts, counts);
	if (track->state != PR_VERSION_PROVEN || track->alarm)
		return;
	track->alarm = watch_add(&track->cusum, counts, threshold);
	track->alarm_workspace = -1;
	if (!track->alarm && entry &&
	    watch_add(&entry->cusum, counts, threshold)) {
		track->alarm = true;
		track->alarm_workspace = (int)(entry - track->workspaces);
	}
}
