/**
 * Roll-outs: draw, exposure budget, pooled evidence, sequential test, steps.
 *
 * The slice never changes a version's state. It states the configuration
 * change that it wants; the state follows when a configuration that contains
 * the change is confirmed. Without confirmation there is no further step.
 *
 * Test of a version in roll-out: a Beta-mixture likelihood ratio against the
 * rate of the replaced version, truncated to worse rates, which is a test
 * martingale; by Ville's inequality it exceeds 1/alpha with probability of at
 * most alpha, however often it is looked at. Sources: Robbins, 1970; Johari,
 * Pekelis, Walsh, "Always valid inference", 2015; Waudby-Smith and Ramdas,
 * "Estimating means of bounded random variables by betting", 2020. Proven
 * versions are watched by CUSUM (Page, 1954; Lorden, 1971).
 */
#ifndef PISTACHIORACK_ROLLOUT_H
#define PISTACHIORACK_ROLLOUT_H

#include "pistachiorack/config.h"
#include "pistachiorack/sequential.h"
#include "pistachiorack/timer.h"

#define PR_ROLLOUT_NAME_MAX       64
#define PR_ROLLOUT_TRACKERS_MAX   64
#define PR_ROLLOUT_WORKSPACES_MAX 16
#define PR_ROLLOUT_STEPS          4
#define PR_ROLLOUT_ALTERNATIVES   3
#define PR_ROLLOUT_CHANGE_ID_MAX  224

typedef enum pr_rollout_signal_t {
	PR_SIGNAL_RATING,
	PR_SIGNAL_ERROR,
	PR_SIGNAL_SLOW,
	PR_SIGNAL_REFUSAL,
	PR_SIGNALS,
} pr_rollout_signal_t;

/** Trials and bad outcomes by signal; additions commute. */
typedef struct pr_outcome_counts_t {
	uint64_t trials[PR_SIGNALS];
	uint64_t bad[PR_SIGNALS];
} pr_outcome_counts_t;

void pr_outcome_counts_add(pr_outcome_counts_t *to,
			   const pr_outcome_counts_t *counts);

typedef struct pr_rollout_options_t {
	unsigned int version;
	/** False alarms per roll-out of a version as good as the replaced. */
	double alpha;
	/** Worsening of a bad rate that is tolerated. */
	double tolerance;
	/** Worsening that must be excluded before a step. */
	double step_margin;
	/** Ratings of the replaced version before any conclusion. */
	uint64_t reference_min;
	/** Mean number of outcomes between false alarms on proven versions. */
	double monitor_run_length;
	/** Shares of the steps, 1/10,000; the last is PR_SHARE_FULL. */
	uint32_t shares[PR_ROLLOUT_STEPS];
	/** Odds against `step_margin` that allow the next step. */
	double step_odds[PR_ROLLOUT_STEPS];
	/**
	 * Least time at each step. A fault that comes with time, or with
	 * another part of the day's work, shows while the share is small.
	 */
	pr_usec_t step_time_min[PR_ROLLOUT_STEPS];
	/** Time before a change that was not confirmed is stated again. */
	pr_usec_t retry_time;
	/** For tests that show what each mechanism prevents. */
	bool test_enabled, budget_enabled;
} pr_rollout_options_t;

#define PR_ROLLOUT_OPTIONS_VERSION 1
#define PR_ROLLOUT_OPTIONS_INIT                                                \
	{                                                                      \
		.version = PR_ROLLOUT_OPTIONS_VERSION, .alpha = 0.01,          \
		.tolerance = 0.0, .step_margin = 0.04, .reference_min = 100,   \
		.monitor_run_length = 1e6,                                     \
		.shares = { 100, 500, 2500, 10000 },                           \
		.step_odds = { 2, 5, 10, 25 },                                 \
		.step_time_min = { 1800 * PR_USEC_PER_SEC,                     \
				   1800 * PR_USEC_PER_SEC,                     \
				   3600 * PR_USEC_PER_SEC, 0 },                \
		.retry_time = 5 * PR_USEC_PER_SEC, .test_enabled = true,       \
		.budget_enabled = true,                                        \
	}

/** Watch on a proven version: baseline and CUSUM of log likelihood ratios. */
typedef struct pr_cusum_t {
	uint64_t base_trials, base_bad;
	double score[PR_ROLLOUT_ALTERNATIVES];
} pr_cusum_t;

typedef struct pr_workspace_tracker_t {
	char workspace[PR_ROLLOUT_NAME_MAX];
	pr_outcome_counts_t counts;
	pr_cusum_t cusum;
} pr_workspace_tracker_t;

/**
 * Counts of the replaced version when a roll-out began. Earlier outcomes come
 * from another mix of work and take no part in the comparison.
 */
typedef struct pr_rollout_snapshot_t {
	pr_outcome_counts_t counts;
	/** In the order of the replaced version's workspaces. */
	pr_outcome_counts_t workspaces[PR_ROLLOUT_WORKSPACES_MAX];
} pr_rollout_snapshot_t;

typedef struct pr_rollout_tracker_t {
	char model[PR_ROLLOUT_NAME_MAX];
	char version[PR_ROLLOUT_NAME_MAX];
	pr_outcome_counts_t counts;
	pr_cusum_t cusum;
	/** Index of the workspace whose watch gave the alarm, or -1. */
	int alarm_workspace;
	bool alarm;
	pr_workspace_tracker_t workspaces[PR_ROLLOUT_WORKSPACES_MAX];
	unsigned int workspaces_count;
	pr_rollout_snapshot_t reference_start;
	/** Exposure budget: requests that may still be sent. */
	double tokens, granted_per_s;
	pr_usec_t tokens_at, granted_until;
	/** Requests sent to the version while it was not proven. */
	uint64_t exposed;
	/** State last seen; new evidence counts start at a new roll-out. */
	pr_version_state_t state;
	uint32_t share;
	/** When the share was last changed. */
	pr_usec_t step_at;
	pr_usec_t requested_at;
	char requested[PR_ROLLOUT_CHANGE_ID_MAX];
} pr_rollout_tracker_t;

typedef struct pr_rollout_t {
	pr_rollout_options_t options;
	pr_rollout_tracker_t *trackers;
	unsigned int trackers_count;
	uint64_t config_version;
	/** Draws refused by the budget; evidence dropped for lack of room. */
	uint64_t over_budget, dropped;
} pr_rollout_t;

/** @return 0, PR_EINVALID or PR_ENOMEM */
int pr_rollout_init(pr_rollout_t *rollout, const pr_rollout_options_t *options);
void pr_rollout_finish(pr_rollout_t *rollout);
size_t pr_rollout_bytes(const pr_rollout_t *rollout);

/**
 * Take a confirmed configuration. An older one is ignored. Evidence of a
 * version that is not in the configuration any more is forgotten; a version
 * that enters roll-out starts without evidence.
 */
void pr_rollout_configure(pr_rollout_t *rollout, const pr_fleet_t *fleet,
			  uint64_t config_version, pr_usec_t now);

/** @return true when the session falls under the share; no state involved */
bool pr_rollout_assigned(const pr_model_t *model, const pr_version_t *version,
			 pr_slice_t workspace, pr_slice_t session);

/**
 * Set the exposure that the owner of resource "exposure/<model>@<version>"
 * granted to this host. Without a grant the default share applies.
 */
void pr_rollout_set_grant(pr_rollout_t *rollout, pr_slice_t model,
			  pr_slice_t version, double per_s, pr_usec_t until,
			  pr_usec_t now);
/**
 * Ask for the version in roll-out: the session must fall under the share and
 * the budget must have a request left, which is then taken. A draw costs
 * first share / share, so that the budget grows with each step.
 *
 * @param hosts live hosts, for the default share exposure_per_s / hosts
 */
bool pr_rollout_draw(pr_rollout_t *rollout, const pr_fleet_t *fleet,
		     const pr_model_t *model, const pr_version_t *version,
		     pr_slice_t workspace, pr_slice_t session,
		     unsigned int hosts, pr_usec_t now);
/** Charge a request of a running session, which is not refused. */
void pr_rollout_charge(pr_rollout_t *rollout, const pr_model_t *model,
		       const pr_version_t *version);

/** Add counts of a version in a workspace. */
void pr_rollout_add_counts(pr_rollout_t *rollout, pr_slice_t model,
			   pr_slice_t version, pr_slice_t workspace,
			   const pr_outcome_counts_t *counts);

typedef enum pr_rollout_action_t {
	PR_ROLLOUT_ADVANCE,
	PR_ROLLOUT_PROVE,
	PR_ROLLOUT_WITHDRAW,
	/** Bad, but nothing could take over: an operator must decide. */
	PR_ROLLOUT_WARN,
} pr_rollout_action_t;

/** A wanted change. It holds only while the version is in the from-state. */
typedef struct pr_rollout_change_t {
	pr_rollout_action_t action;
	char model[PR_ROLLOUT_NAME_MAX];
	char version[PR_ROLLOUT_NAME_MAX];
	/** Workspace that gave the alarm, "" for all together. */
	char workspace[PR_ROLLOUT_NAME_MAX];
	pr_rollout_signal_t signal;
	/** Natural logarithm of the evidence, for the report. */
	double log_evidence;
	pr_version_state_t from_state, to_state;
	uint32_t from_share, to_share;
	/** Same on every host that concludes the same step. */
	char change_id[PR_ROLLOUT_CHANGE_ID_MAX];
} pr_rollout_change_t;

/**
 * Evaluate the evidence.
 *
 * @param config_version version of `fleet`; an older one than was configured
 *			 gives no step
 * @param confirmed false while the configuration cannot be confirmed; gives
 *		    no step
 * @return number of changes written, at most max
 */
unsigned int pr_rollout_evaluate(pr_rollout_t *rollout, const pr_fleet_t *fleet,
				 uint64_t config_version, bool confirmed,
				 pr_rollout_change_t *changes, unsigned int max,
				 pr_usec_t now);
/**
 * Check a change against the configuration that the compare-and-set found.
 *
 * @return 0, or PR_ECONFLICT when another change overtook it; drop it then
 */
int pr_rollout_change_check(const pr_rollout_change_t *change,
			    const pr_fleet_t *fleet);

/* Message `evidence` */

#define PR_EVIDENCE_ITEMS_MAX 64
#define PR_EVIDENCE_HOSTS_MAX 512

typedef struct pr_evidence_item_t {
	char model[PR_ROLLOUT_NAME_MAX];
	char version[PR_ROLLOUT_NAME_MAX];
	char workspace[PR_ROLLOUT_NAME_MAX];
	pr_outcome_counts_t counts;
} pr_evidence_item_t;

/** Counts since the last message; numbered per host and boot, from 1. */
typedef struct pr_evidence_t {
	char host[PR_ROLLOUT_NAME_MAX];
	uint64_t boot, seq;
	pr_evidence_item_t items[PR_EVIDENCE_ITEMS_MAX];
	unsigned int items_count;
} pr_evidence_t;

/** @return 0 or PR_ENOMEM */
int pr_evidence_encode(pr_str_t *out, const pr_evidence_t *evidence);
/** @return 0 or PR_EPARSE */
int pr_evidence_decode(pr_evidence_t *evidence, pr_slice_t message);

/** Sender: one message in flight, sent again until it is acknowledged. */
typedef struct pr_evidence_outbox_t {
	pr_evidence_t pending, sent;
	bool in_flight;
	uint64_t dropped;
} pr_evidence_outbox_t;

void pr_evidence_outbox_init(pr_evidence_outbox_t *outbox, pr_slice_t host,
			     uint64_t boot);
void pr_evidence_outbox_add(pr_evidence_outbox_t *outbox, pr_slice_t model,
			    pr_slice_t version, pr_slice_t workspace,
			    const pr_outcome_counts_t *counts);
/** @return the message to send now, or NULL when there is nothing to send */
const pr_evidence_t *pr_evidence_outbox_next(pr_evidence_outbox_t *outbox);
void pr_evidence_outbox_acked(pr_evidence_outbox_t *outbox, uint64_t seq);

/** Receiver: last number taken per host, for its last two boots. */
typedef struct pr_evidence_seen_t {
	uint64_t host;
	uint64_t boot[2], seq[2];
} pr_evidence_seen_t;

typedef struct pr_evidence_inbox_t {
	pr_evidence_seen_t seen[PR_EVIDENCE_HOSTS_MAX];
	unsigned int count, next;
	uint64_t duplicates;
} pr_evidence_inbox_t;

/**
 * Add a message's counts once. Both fresh and doubled messages are to be
 * acknowledged with their number.
 *
 * @return true when it was fresh
 */
bool pr_evidence_receive(pr_evidence_inbox_t *inbox, pr_rollout_t *rollout,
			 const pr_evidence_t *evidence);

#endif
