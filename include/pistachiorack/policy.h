/**
 * Model routing policy: decides which model versions may answer a request and
 * plans in which order they are tried.
 *
 * A cascade tries a cheap version first. If the confidence of its answer is too
 * low, the request is escalated to the reference: the permitted version with
 * the highest price. The idea follows FrugalGPT (Chen, Zaharia, Zou, 2023) and
 * RouteLLM (Ong et al., 2024); in place of a trained router model, the plan
 * uses Beta posteriors of the quality of rated answers.
 */
#ifndef PISTACHIORACK_POLICY_H
#define PISTACHIORACK_POLICY_H

#include "pistachiorack/config.h"
#include "pistachiorack/rand.h"
#include "pistachiorack/timer.h"

#define PR_POLICY_STEPS_MAX      4
#define PR_POLICY_CANDIDATES_MAX 32
/** Bytes; a longer class name is truncated in the class under which escalated
 * answers are rated. */
#define PR_POLICY_CLASS_MAX 64
/** Model name in a request that stands for any permitted model. */
#define PR_POLICY_AUTO "auto"

/** Why a request may use a version. */
typedef enum pr_policy_basis_t {
	/** By the configuration alone: only proven versions are permitted. */
	PR_BASIS_NEW,
	/** The draw of a roll-out assigned the session to the version. */
	PR_BASIS_DRAW,
	/** The session already uses the version. */
	PR_BASIS_SESSION,
} pr_policy_basis_t;

typedef enum pr_policy_permission_t {
	PR_PERMITTED = 0,
	/** The workspace is unknown. */
	PR_FORBIDDEN_WORKSPACE,
	/** Neither the defaults nor an exception allow the model. */
	PR_FORBIDDEN_MODEL,
	/** The configuration has no such version. */
	PR_FORBIDDEN_UNKNOWN,
	PR_FORBIDDEN_WITHDRAWN,
	/** The version is rolling or halted, and the basis does not suffice. */
	PR_FORBIDDEN_UNPROVEN,
	/** Assigned by a draw while the configuration is not confirmed. */
	PR_FORBIDDEN_UNCONFIRMED,
} pr_policy_permission_t;

/**
 * Check whether a workspace may use a version. The caller checks before every
 * attempt, hedge, resume and escalation, each time against the configuration
 * that is in force then.
 *
 * @param confirmed false while the host cannot confirm its configuration
 * @return PR_PERMITTED or the reason for the refusal
 */
pr_policy_permission_t pr_policy_permitted(const pr_fleet_t *fleet,
					   pr_slice_t workspace,
					   pr_slice_t model, pr_slice_t version,
					   pr_policy_basis_t basis,
					   bool confirmed);
/** @return name for records and messages, for example "version_withdrawn" */
const char *pr_policy_permission_name(pr_policy_permission_t permission);

typedef struct pr_policy_options_t {
	unsigned int version;
	/** Entries of the table of posteriors; a power of two, at least 8. */
	uint32_t posteriors_max;
	/** Answers whose confidence is stored until their rating arrives. */
	uint32_t pending_max;
	/** Share of requests that sample another version, so that estimates
	 * stay current. */
	double explore_share;
	/** The share while some cheaper version may meet the target. */
	double explore_promising_share;
	/** Share of all requests, drawn uniformly, whose answers are rated. */
	double rate_share;
	/** Quality that is required of a plan, as a share of the quality of the
	 * reference, 0..1. */
	double relative_target;
	/** Standard deviations between an estimate and its lower bound. */
	double bound_z;
	/** Cost of a delay of an interactive answer, price units per second. */
	double delay_price;
	/** Greatest weight of the ratings of all workspaces in the estimate for
	 * one workspace, in ratings. */
	double prior_ratings_max;
	/** Greatest number of ratings in an estimate; the weight of older ones
	 * decays. */
	double ratings_max;
	/** Half-life of the weight of ratings; without new ones the estimate
	 * becomes less certain. */
	pr_usec_t half_life;
} pr_policy_options_t;

#define PR_POLICY_OPTIONS_VERSION 1
#define PR_POLICY_OPTIONS_INIT                                                 \
	{                                                                      \
		.version = PR_POLICY_OPTIONS_VERSION, .posteriors_max = 8192,  \
		.pending_max = 4096, .explore_share = 0.03,                    \
		.explore_promising_share = 0.08, .rate_share = 0.2,            \
		.relative_target = 0.975, .bound_z = 0.3, .delay_price = 10,   \
		.prior_ratings_max = 300, .ratings_max = 4000,                 \
		.half_life = 86400 * PR_USEC_PER_SEC,                          \
	}

/** Number of equal intervals of the engine's confidence value, 0..1. */
#define PR_POLICY_LEVELS 8

/** Decayed rating counts of one (workspace, class, model, version); without
 * workspace for all of them together. */
typedef struct pr_posterior_t {
	/** 0 for a free entry. */
	uint64_t key;
	pr_usec_t updated;
	float good, bad;
	/** Counts of the latest ratings, to detect a change of quality. */
	float recent_good, recent_bad;
} pr_posterior_t;

/** Rating counts by confidence level of one (class, model, version). */
typedef struct pr_calibration_t {
	uint64_t key;
	float good[PR_POLICY_LEVELS];
	float bad[PR_POLICY_LEVELS];
} pr_calibration_t;

/** Entries of the direct-mapped table of calibrations. */
#define PR_POLICY_CALIBRATIONS_MAX 512

/** An answer that awaits its rating. */
typedef struct pr_policy_pending_t {
	uint64_t request;
	float confidence;
	/** The caller received the answer, and its request was drawn uniformly
	 * for rating. */
	bool uniform;
} pr_policy_pending_t;

typedef struct pr_policy_t {
	pr_policy_options_t options;
	pr_posterior_t *posteriors;
	pr_calibration_t *calibrations;
	pr_policy_pending_t *pending;
	/** Ratings of uniformly drawn answers, for the quality report. */
	double uniform_good, uniform_bad;
	/** Detected changes of quality, evicted posteriors, ratings. */
	uint64_t changes, evicted, ratings;
} pr_policy_t;

/** @return 0, PR_EINVALID (options) or PR_ENOMEM */
int pr_policy_init(pr_policy_t *policy, const pr_policy_options_t *options);
void pr_policy_finish(pr_policy_t *policy);
/** @return size of the state in bytes, which is constant */
size_t pr_policy_bytes(const pr_policy_t *policy);

typedef struct pr_policy_query_t {
	const pr_fleet_t *fleet;
	pr_slice_t workspace;
	pr_slice_t request_class;
	/** A model of the configuration or PR_POLICY_AUTO. */
	pr_slice_t model;
	/** Model and version of the session; empty without one. */
	pr_slice_t session_model;
	pr_slice_t session_version;
	/** The request opens a session and therefore may not be escalated. */
	bool opens_session;
	bool stream;
	bool interactive;
	/** The configuration is confirmed, see pr_policy_permitted(). */
	bool confirmed;
	/** Expected tokens, for the price. */
	uint32_t tokens_in, tokens_out;
	/** Expected duration of an answer in seconds; 0 if unknown. */
	double answer_s;
	/**
	 * Draw of a roll-out, or NULL: returns true if the request uses the
	 * version in roll-out in place of the one that it replaces. Called for
	 * the first step of a plan, at most once per version in roll-out.
	 */
	bool (*draw)(void *data, const pr_model_t *model,
		     const pr_version_t *version);
	void *draw_data;
} pr_policy_query_t;

typedef struct pr_plan_step_t {
	/** Model and version, owned by the configuration of the query. */
	const pr_model_t *model;
	const pr_version_t *version;
	pr_policy_basis_t basis;
	/** Expected price, millionths of a currency unit. */
	double price;
	/** Estimated probability that the answer is good, and lower bound. */
	double quality;
	double quality_low;
	/** Lowest confidence at which the answer is accepted; 0: always. */
	double accept_confidence;
} pr_plan_step_t;

/** Rule that determined the plan. */
typedef enum pr_policy_rule_t {
	/** The session stays on its version. */
	PR_RULE_SESSION,
	/** One cheaper version whose lower bound meets the target. */
	PR_RULE_SINGLE,
	/** A cheap version first, escalation on low confidence. */
	PR_RULE_CASCADE,
	/** No cheaper plan meets the target. */
	PR_RULE_REFERENCE,
	/** Sampling of a version that is not the estimated best. */
	PR_RULE_EXPLORE,
} pr_policy_rule_t;

/** A plan with the reasons for it, for `explain`. */
typedef struct pr_plan_t {
	pr_plan_step_t steps[PR_POLICY_STEPS_MAX];
	unsigned int steps_count;
	pr_policy_rule_t rule;
	/** Required quality. */
	double target;
	/** Expected price and quality of the whole plan. */
	double price;
	double quality;
	/** Request ratings of the answers. */
	bool rate;
	/** The request was drawn uniformly for rating. */
	bool uniform;
	/** Number of permitted versions, and the reason of the last refusal. */
	unsigned int candidates;
	pr_policy_permission_t refused;
} pr_plan_t;

/**
 * Plan the steps for a request.
 *
 * @return 0, or PR_EDENIED if no version is permitted (plan->refused says why)
 */
int pr_policy_plan(pr_policy_t *policy, pr_plan_t *plan,
		   const pr_policy_query_t *query, pr_rand_t *rand,
		   pr_usec_t now);
/**
 * @param confidence confidence of the answer; negative if the engine sent none
 * @return true if the answer of the step is accepted
 */
bool pr_policy_is_sufficient(const pr_plan_step_t *step, double confidence);

/** Suffix of the class under which escalated answers are rated. */
#define PR_POLICY_ESCALATED "+escalated"

/**
 * Store the confidence of an answer until its rating arrives. If plan->rate is
 * set, the caller requests a rating of the answer of every step, each with an
 * id of its own: if only accepted answers were rated, the quality of the cheap
 * version would be overestimated. An escalated answer is rated under the class
 * with PR_POLICY_ESCALATED appended, since escalated requests are harder.
 *
 * @param answer hash of the id of the rating request, not 0
 * @param confidence confidence of the answer; negative if the engine sent none
 * @param final the caller received this answer
 */
void pr_policy_add_pending(pr_policy_t *policy, const pr_plan_t *plan,
			   uint64_t answer, double confidence, bool final);

/**
 * Return whether the rating of a step's answer counts in the test of a
 * roll-out. Only first answers count, since escalated requests are harder. Of
 * proven versions only uniformly drawn answers count: sampled requests
 * (PR_RULE_EXPLORE) are all rated and would be over-represented in the ratings
 * of the replaced version.
 */
bool pr_policy_is_evidence(const pr_plan_t *plan, unsigned int step);

typedef struct pr_rating_t {
	/** Hash of the id of the rating request. */
	uint64_t request;
	pr_slice_t workspace;
	pr_slice_t request_class;
	pr_slice_t model;
	pr_slice_t version;
	bool good;
} pr_rating_t;

/**
 * Learn from a rating. Ratings may be late or missing. The caller must pass
 * each one only once: duplicates are not detected here.
 */
void pr_policy_add_rating(pr_policy_t *policy, const pr_rating_t *rating,
			  pr_usec_t now);

/** Estimate the quality of a version for a workspace and class, as plans do. */
void pr_policy_estimate(const pr_policy_t *policy, pr_slice_t workspace,
			pr_slice_t request_class, pr_slice_t model,
			pr_slice_t version, pr_usec_t now, double *quality,
			double *quality_low);

/** Quality of the answers that callers received, with exact 95% bounds. */
typedef struct pr_quality_report_t {
	double ratings;
	double quality, low, high;
} pr_quality_report_t;

/** Report the quality of uniformly drawn answers; bounds by Clopper and
 * Pearson, 1934. */
void pr_policy_report(const pr_policy_t *policy, pr_quality_report_t *report);
/** Append the plan and its reasons as one line of JSON. @return 0 or PR_ENOMEM
 */
int pr_plan_explain(const pr_plan_t *plan, pr_str_t *out);

#endif
