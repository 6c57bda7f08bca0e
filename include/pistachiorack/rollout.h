/**
 * Roll-outs of model versions. A roll-out assigns a growing share of the
 * sessions to a new version (the draw), limits the requests sent to it (the
 * exposure budget), pools the outcomes from all hosts (the evidence) and
 * applies a sequential test to decide on the next step.
 *
 * This module never changes the state of a version. It requests a configuration
 * change; the state follows when a configuration that contains the change is
 * confirmed. Until then it requests no further step.
 *
 * Test of a version in roll-out: a Beta-mixture likelihood ratio against the
 * bad rate of the replaced version, truncated to worse rates. It is a test
 * martingale; by Ville's inequality it exceeds 1/alpha with a probability of at
 * most alpha, however often it is evaluated. Sources: Robbins, 1970; Johari,
 * Pekelis, Walsh, "Always valid inference", 2015; Waudby-Smith and Ramdas,
 * "Estimating means of bounded random variables by betting", 2020. Proven
 * versions are monitored by CUSUM (Page, 1954; Lorden, 1971).
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

/** What an outcome tells about a version. */
typedef enum pr_rollout_signal_t {
	/** Rating of an answer: good or bad. */
	PR_SIGNAL_RATING,
	/** The attempt failed and may have run. */
	PR_SIGNAL_ERROR,
	/** The first token came later than the objective. */
	PR_SIGNAL_SLOW,
	/** The upstream stated that it did not run the attempt. */
	PR_SIGNAL_REFUSAL,
	/** Number of signals. */
	PR_SIGNALS,
} pr_rollout_signal_t;

/** Number of outcomes (trials) and of bad ones by signal. Messages can be added
 * in any order. */
typedef struct pr_outcome_counts_t {
	uint64_t trials[PR_SIGNALS];
	uint64_t bad[PR_SIGNALS];
} pr_outcome_counts_t;

void pr_outcome_counts_add(pr_outcome_counts_t *to,
			   const pr_outcome_counts_t *counts);

typedef struct pr_rollout_options_t {
	unsigned int version;
	/** Probability that a version as good as the replaced one is withdrawn
	 * during its roll-out. */
	double alpha;
	/** Increase of the bad rate that does not count as worse. */
	double tolerance;
	/** Increase of the bad rate that must be unlikely before a step. */
	double step_margin;
	/** Outcomes of the replaced version that a decision requires. */
	uint64_t reference_min;
	/** Mean number of ratings between false alarms on a proven version. */
	double monitor_run_length;
	/** Share of the sessions at each step, in 1/10,000; the last one is
	 * PR_SHARE_FULL. */
	uint32_t shares[PR_ROLLOUT_STEPS];
	/** Evidence (likelihood ratio) against an increase by step_margin that
	 * allows the next step. */
	double step_odds[PR_ROLLOUT_STEPS];
	/**
	 * Minimum duration of each step, so that a fault that develops slowly
	 * or occurs only with the workload of another time of day shows while
	 * the share is small.
	 */
	pr_usec_t step_time_min[PR_ROLLOUT_STEPS];
	/** Time after which an unconfirmed change is requested again. */
	pr_usec_t retry_time;
	/** Mechanisms; tests disable them to show what each one prevents. */
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

/** CUSUM monitor of a proven version: its baseline, and for each alternative
 * bad rate the cumulative sum of log likelihood ratios. */
typedef struct pr_cusum_t {
	uint64_t baseline_trials, baseline_bad;
	double score[PR_ROLLOUT_ALTERNATIVES];
} pr_cusum_t;

typedef struct pr_workspace_tracker_t {
	char workspace[PR_ROLLOUT_NAME_MAX];
	pr_outcome_counts_t counts;
	pr_cusum_t cusum;
} pr_workspace_tracker_t;

/**
 * Counts of the replaced version at the start of a roll-out. Earlier outcomes
 * belong to another mix of requests and are excluded from the comparison.
 */
typedef struct pr_rollout_snapshot_t {
	pr_outcome_counts_t counts;
	/** By workspace, in the order of the replaced version's tracker. */
	pr_outcome_counts_t workspaces[PR_ROLLOUT_WORKSPACES_MAX];
} pr_rollout_snapshot_t;

/** State of a version: counts, monitor, exposure budget and last request. */
typedef struct pr_rollout_tracker_t {
	char model[PR_ROLLOUT_NAME_MAX];
	char version[PR_ROLLOUT_NAME_MAX];
	pr_outcome_counts_t counts;
	pr_cusum_t cusum;
	/** Index of the workspace whose monitor raised the alarm; -1 for the
	 * monitor of all workspaces. */
	int alarm_workspace;
	bool alarm;
	pr_workspace_tracker_t workspaces[PR_ROLLOUT_WORKSPACES_MAX];
	unsigned int workspaces_count;
	pr_rollout_snapshot_t reference_start;
	/** Exposure budget: a token bucket. tokens is the number of requests at
	 * the cost of the first step that may still be sent. */
	double tokens, granted_per_s;
	pr_usec_t tokens_at, granted_until;
	/** Requests sent to the version while it was not proven. */
	uint64_t exposed;
	/** State and share in the last configuration. */
	pr_version_state_t state;
	uint32_t share;
	/** Time of the last change of the state or share. */
	pr_usec_t step_at;
	/** Time and id of the last requested change. */
	pr_usec_t requested_at;
	char requested[PR_ROLLOUT_CHANGE_ID_MAX];
} pr_rollout_tracker_t;

typedef struct pr_rollout_t {
	pr_rollout_options_t options;
	pr_rollout_tracker_t *trackers;
	unsigned int trackers_count;
	uint64_t config_version;
	/** Draws that the budget refused; counts of versions without a tracker
	 * that were dropped. */
	uint64_t over_budget, dropped;
} pr_rollout_t;

/** @return 0, PR_EINVALID (options) or PR_ENOMEM */
int pr_rollout_init(pr_rollout_t *rollout, const pr_rollout_options_t *options);
void pr_rollout_finish(pr_rollout_t *rollout);
/** @return size of the state in bytes, which is constant */
size_t pr_rollout_bytes(const pr_rollout_t *rollout);

/**
 * Apply a confirmed configuration. An older one than before is ignored.
 * Evidence of a version that is no longer in the configuration is discarded; so
 * is that of a withdrawn version whose state changes.
 */
void pr_rollout_configure(pr_rollout_t *rollout, const pr_fleet_t *fleet,
			  uint64_t config_version, pr_usec_t now);

/** @return true if the session is assigned to the version in roll-out. The
 * result depends only on the arguments, and assigned sessions stay assigned
 * when the share rises. */
bool pr_rollout_assigned(const pr_model_t *model, const pr_version_t *version,
			 pr_slice_t workspace, pr_slice_t session);

/**
 * Set the rate that the owner of resource "exposure/<model>@<version>" has
 * granted to this host. Without a valid grant the default share applies.
 *
 * @param per_s requests per second, at the cost of the first step
 * @param until time of expiry
 */
void pr_rollout_set_grant(pr_rollout_t *rollout, pr_slice_t model,
			  pr_slice_t version, double per_s, pr_usec_t until,
			  pr_usec_t now);
/**
 * Draw whether a request uses the version in roll-out: its session must be
 * assigned to the version, and the exposure budget must cover the request. The
 * cost of a request is the first step's share / current share, so that more
 * requests are allowed at each step.
 *
 * @param hosts number of live hosts, for the default share of the budget:
 *		exposure_per_s / hosts
 * @return true if the request uses the version; the budget is then charged
 */
bool pr_rollout_draw(pr_rollout_t *rollout, const pr_fleet_t *fleet,
		     const pr_model_t *model, const pr_version_t *version,
		     pr_slice_t workspace, pr_slice_t session,
		     unsigned int hosts, pr_usec_t now);
/** Charge the budget for a request of a session that already uses the version;
 * such a request is never refused. */
void pr_rollout_charge(pr_rollout_t *rollout, const pr_model_t *model,
		       const pr_version_t *version);

/** Add outcome counts of a version in a workspace. */
void pr_rollout_add_counts(pr_rollout_t *rollout, pr_slice_t model,
			   pr_slice_t version, pr_slice_t workspace,
			   const pr_outcome_counts_t *counts);

typedef enum pr_rollout_action_t {
	/** Raise the share to that of the next step. */
	PR_ROLLOUT_ADVANCE,
	/** Mark the version as proven. */
	PR_ROLLOUT_PROVE,
	PR_ROLLOUT_WITHDRAW,
	/** The version is worse, but no other proven version could replace it:
	 * an operator must decide. */
	PR_ROLLOUT_WARN,
} pr_rollout_action_t;

/** A requested change; valid only while the version has the state and share
 * that the change starts from. */
typedef struct pr_rollout_change_t {
	pr_rollout_action_t action;
	char model[PR_ROLLOUT_NAME_MAX];
	char version[PR_ROLLOUT_NAME_MAX];
	/** Workspace whose outcomes led to the change; "" for all together. */
	char workspace[PR_ROLLOUT_NAME_MAX];
	pr_rollout_signal_t signal;
	/** Natural logarithm of the evidence, for the report. */
	double log_evidence;
	pr_version_state_t from_state, to_state;
	uint32_t from_share, to_share;
	/** Id; the same on all hosts that request the same change. */
	char change_id[PR_ROLLOUT_CHANGE_ID_MAX];
} pr_rollout_change_t;

/**
 * Evaluate the evidence and request changes.
 *
 * @param config_version version of `fleet`; there are no changes unless it is
 *			 the version that was last applied
 * @param confirmed false while the configuration cannot be confirmed; there are
 *		    no changes then
 * @return number of changes written, at most max
 */
unsigned int pr_rollout_evaluate(pr_rollout_t *rollout, const pr_fleet_t *fleet,
				 uint64_t config_version, bool confirmed,
				 pr_rollout_change_t *changes, unsigned int max,
				 pr_usec_t now);
/**
 * Check a change against the configuration that a compare-and-set would
 * replace.
 *
 * @return 0, or PR_ECONFLICT if the version was changed meanwhile or is now the
 *	   last proven one; the caller then drops the change
 */
int pr_rollout_change_check(const pr_rollout_change_t *change,
			    const pr_fleet_t *fleet);

/* Messages `evidence` between hosts */

#define PR_EVIDENCE_ITEMS_MAX 64
#define PR_EVIDENCE_HOSTS_MAX 512

typedef struct pr_evidence_item_t {
	char model[PR_ROLLOUT_NAME_MAX];
	char version[PR_ROLLOUT_NAME_MAX];
	char workspace[PR_ROLLOUT_NAME_MAX];
	pr_outcome_counts_t counts;
} pr_evidence_item_t;

/** Outcome counts since the last message. Messages are numbered from 1 for each
 * boot of a host. */
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

/** Sender: at most one message is in flight; it is sent again until it is
 * acknowledged. */
typedef struct pr_evidence_outbox_t {
	pr_evidence_t pending, sent;
	bool in_flight;
	/** Counts dropped because the pending message was full. */
	uint64_t dropped;
} pr_evidence_outbox_t;

void pr_evidence_outbox_init(pr_evidence_outbox_t *outbox, pr_slice_t host,
			     uint64_t boot);
void pr_evidence_outbox_add(pr_evidence_outbox_t *outbox, pr_slice_t model,
			    pr_slice_t version, pr_slice_t workspace,
			    const pr_outcome_counts_t *counts);
/** @return the message in flight or a new one; NULL if there are no counts */
const pr_evidence_t *pr_evidence_outbox_next(pr_evidence_outbox_t *outbox);
void pr_evidence_outbox_acked(pr_evidence_outbox_t *outbox, uint64_t seq);

/** Receiver: last message number of a host, for its last two boots. */
typedef struct pr_evidence_seen_t {
	uint64_t host;
	uint64_t boot[2], seq[2];
} pr_evidence_seen_t;

typedef struct pr_evidence_inbox_t {
	pr_evidence_seen_t seen[PR_EVIDENCE_HOSTS_MAX];
	/** Entries in use, and the entry that is replaced next. */
	unsigned int count, next;
	uint64_t duplicates;
} pr_evidence_inbox_t;

/**
 * Add the counts of a message unless it is a duplicate. The caller acknowledges
 * the number of the message in both cases.
 *
 * @return true unless the message is a duplicate
 */
bool pr_evidence_receive(pr_evidence_inbox_t *inbox, pr_rollout_t *rollout,
			 const pr_evidence_t *evidence);

#endif
