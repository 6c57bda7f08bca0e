/**
 * Policy: which model versions may answer a request, and in which order they
 * are tried.
 *
 * A cascade tries a cheap version first and escalates to the reference (the
 * dearest permitted version) when the answer does not look good enough. The
 * idea follows FrugalGPT (Chen, Zaharia, Zou, 2023) and RouteLLM (Ong et al.,
 * 2024); the choice here uses Beta posteriors of rated answers, not a trained
 * router model.
 */
#ifndef PISTACHIORACK_POLICY_H
#define PISTACHIORACK_POLICY_H

#include "pistachiorack/config.h"
#include "pistachiorack/rand.h"
#include "pistachiorack/timer.h"

#define PR_POLICY_STEPS_MAX      4
#define PR_POLICY_CANDIDATES_MAX 32
/** Longer class names are cut for the rating of escalated answers. */
#define PR_POLICY_CLASS_MAX 64
/** Name of the virtual model that stands for any permitted model. */
#define PR_POLICY_AUTO "auto"

/** What entitles a request to a version. */
typedef enum pr_policy_basis_t {
	/** Nothing but the configuration: only proven versions. */
	PR_BASIS_NEW,
	/** The roll-out's draw gave the version to this session. */
	PR_BASIS_DRAW,
	/** The session runs on the version already. */
	PR_BASIS_SESSION,
} pr_policy_basis_t;

typedef enum pr_policy_permission_t {
	PR_PERMITTED = 0,
	/** The workspace is unknown. */
	PR_FORBIDDEN_WORKSPACE,
	/** Neither defaults nor an exception allow the model. */
	PR_FORBIDDEN_MODEL,
	/** The configuration has no such version. */
	PR_FORBIDDEN_UNKNOWN,
	PR_FORBIDDEN_WITHDRAWN,
	/** Rolling or halted, and neither session nor draw entitles to it. */
	PR_FORBIDDEN_UNPROVEN,
	/** A draw of a roll-out while the configuration is not confirmed. */
	PR_FORBIDDEN_UNCONFIRMED,
} pr_policy_permission_t;

/**
 * The check that is made before every attempt, hedge, resume and escalation,
 * each time against the configuration that is in force at that moment.
 *
 * @param confirmed false while the host cannot confirm its configuration
 * @return PR_PERMITTED or the reason against
 */
pr_policy_permission_t pr_policy_permitted(const pr_fleet_t *fleet,
					   pr_slice_t workspace,
					   pr_slice_t model, pr_slice_t version,
					   pr_policy_basis_t basis,
					   bool confirmed);
/** @return a stable name, for example "version_withdrawn" */
const char *pr_policy_permission_name(pr_policy_permission_t permission);

typedef struct pr_policy_options_t {
	unsigned int version;
	/** Entries of the table of posteriors; a power of two. */
	uint32_t posteriors_max;
	/** Requests whose confidence is remembered until the rating comes. */
	uint32_t pending_max;
	/** Share of requests that try another version to keep learning. */
	double explore_share;
	/** The same while a cheaper version may meet the target. */
	double explore_promising_share;
	/** Share of the other answers for which a rating is asked. */
	double rate_share;
	/** Share of the reference's quality that must be kept, 0..1. */
	double relative_target;
	/** Standard deviations between estimate and lower bound. */
	double bound_z;
	/** Cost of a second of delay of an interactive answer, price units. */
	double delay_price;
	/** Ratings that the fleet-wide estimate is worth to a workspace. */
	double prior_ratings_max;
	/** Most ratings that an estimate remembers; older ones fade. */
	double ratings_max;
	/** Half-life of ratings, so that an idle estimate widens. */
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

/** Levels of the engine's confidence value, 0..1 cut into equal parts. */
#define PR_POLICY_LEVELS 8

/** Decayed rating counts of one (workspace, class, version). */
typedef struct pr_posterior_t {
	/** 0 for a free entry. */
	uint64_t key;
	pr_usec_t updated;
	float good, bad;
	/** Short window, against which a change of quality is noticed. */
	float recent_good, recent_bad;
} pr_posterior_t;

/** Ratings by confidence level of one (class, version). */
typedef struct pr_calibration_t {
	uint64_t key;
	float good[PR_POLICY_LEVELS];
	float bad[PR_POLICY_LEVELS];
} pr_calibration_t;

#define PR_POLICY_CALIBRATIONS_MAX 512

typedef struct pr_policy_pending_t {
	uint64_t request;
	float confidence;
	/** The caller received it, and the uniform draw asked for it. */
	bool uniform;
} pr_policy_pending_t;

typedef struct pr_policy_t {
	pr_policy_options_t options;
	pr_posterior_t *posteriors;
	pr_calibration_t *calibrations;
	pr_policy_pending_t *pending;
	/** Ratings of uniformly drawn answers, for the report. */
	double uniform_good, uniform_bad;
	uint64_t changes, evicted, ratings;
} pr_policy_t;

/** @return 0, PR_EINVALID (options) or PR_ENOMEM */
int pr_policy_init(pr_policy_t *policy, const pr_policy_options_t *options);
void pr_policy_finish(pr_policy_t *policy);
/** @return bytes of memory that the state takes; it never grows */
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
	/** The request opens a session, so it may not escalate. */
	bool opens_session;
	bool stream;
	bool interactive;
	bool confirmed;
	/** Expected tokens, for the price. */
	uint32_t tokens_in, tokens_out;
	/** Expected seconds of one answer; 0 when unknown. */
	double answer_s;
	/**
	 * Asks the roll-out for its version in place of the one it replaces;
	 * NULL when there is none. Called at most once per step.
	 */
	bool (*draw)(void *data, const pr_model_t *model,
		     const pr_version_t *version);
	void *draw_data;
} pr_policy_query_t;

typedef struct pr_plan_step_t {
	/** Owned by the configuration of the query. */
	const pr_model_t *model;
	const pr_version_t *version;
	pr_policy_basis_t basis;
	/** Expected price, millionths of a currency unit. */
	double price;
	/** Estimate of P(answer is good) and its lower bound. */
	double quality;
	double quality_low;
	/** Lowest confidence with which the answer is sufficient; 0: always. */
	double accept_confidence;
} pr_plan_step_t;

typedef enum pr_policy_rule_t {
	PR_RULE_SESSION,
	/** One version whose lower bound meets the target. */
	PR_RULE_SINGLE,
	/** Cheap first, escalation on low confidence. */
	PR_RULE_CASCADE,
	/** No cheaper way meets the target. */
	PR_RULE_REFERENCE,
	/** Sampling of a version that is not the estimated best. */
	PR_RULE_EXPLORE,
} pr_policy_rule_t;

/** The decision with its reason record for `explain`. */
typedef struct pr_plan_t {
	pr_plan_step_t steps[PR_POLICY_STEPS_MAX];
	unsigned int steps_count;
	pr_policy_rule_t rule;
	/** Quality that was required of the plan. */
	double target;
	/** Expected price and quality of the whole plan. */
	double price;
	double quality;
	/** Ask the rating service about the answer. */
	bool rate;
	/** The rating was asked by the uniform draw. */
	bool uniform;
	/** Versions that were permitted, and the last reason against one. */
	unsigned int candidates;
	pr_policy_permission_t refused;
} pr_plan_t;

/**
 * Choose the steps for a request.
 *
 * @return 0, PR_EDENIED when nothing is permitted (plan->refused says why)
 */
int pr_policy_plan(pr_policy_t *policy, pr_plan_t *plan,
		   const pr_policy_query_t *query, pr_rand_t *rand,
		   pr_usec_t now);
/**
 * @param confidence value of the answer, negative when the engine gave none
 * @return true when the answer of the step is sufficient
 */
bool pr_policy_is_sufficient(const pr_plan_step_t *step, double confidence);
/** Suffix of the class under which escalated answers are rated. */
#define PR_POLICY_ESCALATED "+escalated"

/**
 * Remember what is needed when the rating of an answer arrives. When
 * plan->rate is set, a rating is asked for the answer of every step, each
 * under an id of its own: were only accepted answers rated, the cheap version
 * would look better than it is. An escalated answer is rated under the class
 * with PR_POLICY_ESCALATED appended, since escalated requests are harder.
 *
 * @param answer hash of the id under which the rating was asked, not 0
 * @param final the caller received this answer
 */
void pr_policy_add_pending(pr_policy_t *policy, const pr_plan_t *plan,
			   uint64_t answer, double confidence, bool final);

/**
 * Whether the rating of a step's answer may count in the test of a roll-out.
 * First answers only, since escalated requests are harder. Of proven versions
 * only uniformly drawn answers count: sampled requests (PR_RULE_EXPLORE) are
 * all rated, and would be over-represented on the replaced version's side.
 */
bool pr_policy_is_evidence(const pr_plan_t *plan, unsigned int step);

typedef struct pr_rating_t {
	uint64_t request;
	pr_slice_t workspace;
	pr_slice_t request_class;
	pr_slice_t model;
	pr_slice_t version;
	bool good;
} pr_rating_t;

/**
 * Take a rating in. Ratings may be late or missing; each is given once, the
 * feed's sequence number is the caller's concern.
 */
void pr_policy_add_rating(pr_policy_t *policy, const pr_rating_t *rating,
			  pr_usec_t now);

/** Estimate for a (workspace, class, version), as the plan uses it. */
void pr_policy_estimate(const pr_policy_t *policy, pr_slice_t workspace,
			pr_slice_t request_class, pr_slice_t model,
			pr_slice_t version, pr_usec_t now, double *quality,
			double *quality_low);

/** Quality reached by served answers with exact 95% bounds. */
typedef struct pr_quality_report_t {
	double ratings;
	double quality, low, high;
} pr_quality_report_t;

/** Bounds after Clopper and Pearson, 1934, over uniformly drawn answers. */
void pr_policy_report(const pr_policy_t *policy, pr_quality_report_t *report);
/** Append the reason record as one line of JSON. @return 0 or PR_ENOMEM */
int pr_plan_explain(const pr_plan_t *plan, pr_str_t *out);

#endif
