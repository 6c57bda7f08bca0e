/**
 * Admission control: authenticates callers by their key, enforces the rate and
 * concurrency limits of workspaces, and sheds load when the host is overloaded.
 *
 * Rates are limited by token buckets. Each host enforces its share of the
 * fleet-wide limit. Under overload, batch requests and workspaces above their
 * fair share are refused first.
 */
#ifndef PISTACHIORACK_ADMIT_H
#define PISTACHIORACK_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/config.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/timer.h"

typedef enum pr_admit_priority_t {
	PR_ADMIT_INTERACTIVE,
	PR_ADMIT_BATCH,
	PR_ADMIT_PRIORITIES,
} pr_admit_priority_t;

typedef enum pr_admit_limit_t {
	PR_ADMIT_REQUESTS,
	PR_ADMIT_TOKENS,
	PR_ADMIT_IN_FLIGHT,
	PR_ADMIT_LIMITS,
} pr_admit_limit_t;

typedef struct pr_admit_options_t {
	unsigned int version;
	/**
	 * Under overload, refuse batch requests and workspaces above their fair
	 * share first. When false, all requests are refused at the same load;
	 * for comparison runs only.
	 */
	bool fair_shedding;
	/**
	 * Adapt the concurrency limit to first-token times. When false, it
	 * keeps its initial value; for comparison runs only.
	 */
	bool adaptive_concurrency;
	/**
	 * Limit of the requests in flight on this host: initial value, lower
	 * bound and upper bound.
	 */
	double concurrency;
	double concurrency_min;
	double concurrency_max;
	/** Capacity of a token bucket, as the time in which it refills. */
	pr_usec_t burst;
} pr_admit_options_t;

#define PR_ADMIT_OPTIONS_VERSION 1
#define PR_ADMIT_OPTIONS_INIT                                                  \
	{                                                                      \
		.version = PR_ADMIT_OPTIONS_VERSION, .fair_shedding = true,    \
		.adaptive_concurrency = true, .concurrency = 64,               \
		.concurrency_min = 4, .concurrency_max = 10000,                \
		.burst = PR_USEC_PER_SEC,                                      \
	}

/**
 * Token bucket of one workspace and limit on this host. PR_ADMIT_IN_FLIGHT
 * only uses the limit and the share.
 */
typedef struct pr_admit_bucket_t {
	/** Fleet-wide limit, per second for rates; 0 means unlimited. */
	double limit;
	double tokens;
	/**
	 * Part of the limit that the owner of the grants granted to this host,
	 * valid until granted_until.
	 */
	double granted_share;
	pr_usec_t granted_until;
	pr_usec_t refilled_at;
} pr_admit_bucket_t;

typedef struct pr_admit_workspace_t {
	char *name;
	uint32_t weight;
	pr_admit_bucket_t buckets[PR_ADMIT_LIMITS];
	uint32_t in_flight[PR_ADMIT_PRIORITIES];
	/**
	 * Exponential moving average of the requests in flight, and the time of
	 * its last update.
	 */
	double in_flight_mean;
	pr_usec_t in_flight_mean_at;
	/**
	 * Time of the last request, admitted or not. Fair shares are computed
	 * among the workspaces with a recent request or one in flight.
	 */
	pr_usec_t last_request_at;
	uint64_t admitted;
	uint64_t refused;
	/** Sum of the expected tokens of all requests, admitted or not. */
	uint64_t tokens_requested;
} pr_admit_workspace_t;

typedef struct pr_admit_key_t {
	uint8_t hash[PR_SHA256_SIZE];
	unsigned int workspace;
} pr_admit_key_t;

typedef struct pr_admit_t {
	pr_admit_options_t options;
	pr_admit_workspace_t *workspaces;
	unsigned int workspaces_count;
	pr_admit_key_t *keys;
	unsigned int keys_count;
	unsigned int hosts;
	/** Current limit of the requests in flight on this host. */
	double concurrency;
	uint32_t in_flight;
	/** Objective for the time to the first token. */
	pr_usec_t first_token_objective;
	/** Time at which the concurrency limit was last lowered. */
	pr_usec_t lowered_at;
	/**
	 * Exponential moving average of the duration of requests in
	 * microseconds, used for Retry-After.
	 */
	double service_time;
	/**
	 * Sum of the weights of active workspaces, recomputed at the first
	 * request at or after active_weight_until.
	 */
	double active_weight;
	pr_usec_t active_weight_until;
} pr_admit_t;

typedef struct pr_admit_decision_t {
	bool admitted;
	/** 429 or 503 when refused. */
	int status;
	/** Stable code, for example "rate_limited". */
	const char *code;
	/** Seconds for Retry-After, at least 1. */
	unsigned int retry_after;
	/**
	 * Limit that refused the request, with its values; empty when the
	 * request was admitted.
	 */
	char reason[128];
} pr_admit_decision_t;

/** @return 0, or PR_EINVALID when an option or the version is invalid */
int pr_admit_init(pr_admit_t *admit, const pr_admit_options_t *options);
void pr_admit_finish(pr_admit_t *admit);
/**
 * Apply a configuration. Workspaces that remain keep their counters and
 * buckets. Indexes of workspaces may change: callers that keep a workspace
 * across this call must look it up again by pr_admit_find().
 *
 * @return 0, PR_EINVALID when a key is not a SHA-256 in lower-case hex, or
 *	   PR_ENOMEM; on an error the state is unchanged
 */
int pr_admit_configure(pr_admit_t *admit, const pr_fleet_t *fleet,
		       pr_usec_t now);
/**
 * Set the number of live hosts. Without a valid grant, this host's share of a
 * limit is limit / hosts.
 */
void pr_admit_set_hosts(pr_admit_t *admit, unsigned int hosts);
/**
 * Set the share of a workspace's limit that is granted to this host. After its
 * expiry the host uses limit / hosts.
 *
 * @param share in the unit of the limit
 * @param until time at which the grant expires
 * @return 0, or PR_ENOTFOUND when the workspace is unknown
 */
int pr_admit_set_share(pr_admit_t *admit, pr_slice_t workspace,
		       pr_admit_limit_t limit, double share, pr_usec_t until);

/**
 * Find the workspace that the bearer key of an Authorization header belongs to.
 * The hash is compared with every key, each in constant time, so that response
 * times do not reveal how close a guessed key was.
 *
 * @return index of the workspace, or PR_EDENIED when the header has no bearer
 *	   key or the key is unknown
 */
int pr_admit_authenticate(const pr_admit_t *admit, pr_slice_t authorization);
/** @return index of the workspace of this name, or PR_ENOTFOUND */
int pr_admit_find(const pr_admit_t *admit, pr_slice_t workspace);

/**
 * Decide whether a request is admitted. An admitted request is charged to the
 * limits and counts as in flight until pr_admit_end().
 *
 * @param workspace index of the workspace
 * @param tokens expected tokens of prompt and answer; pr_admit_end() replaces
 *		 them by the actual count
 */
void pr_admit_decide(pr_admit_t *admit, pr_admit_decision_t *decision,
		     unsigned int workspace, pr_admit_priority_t priority,
		     uint32_t tokens, pr_usec_t now);

/** Result of an admitted request. */
typedef struct pr_admit_end_t {
	pr_admit_priority_t priority;
	/** Expected tokens that were passed to pr_admit_decide(). */
	uint32_t tokens_expected;
	/** Actual tokens of prompt and answer. */
	uint32_t tokens;
	/** Time from arrival to the first token; -1 when there was none. */
	pr_usec_t first_token;
	pr_usec_t duration;
	/**
	 * The request failed because no upstream had capacity or because its
	 * deadline passed.
	 */
	bool overloaded;
} pr_admit_end_t;

/**
 * Record the end of an admitted request: release its place in flight, correct
 * the token bucket by the actual tokens and adapt the concurrency limit.
 */
void pr_admit_end(pr_admit_t *admit, unsigned int workspace,
		  const pr_admit_end_t *end, pr_usec_t now);

#endif
