/**
 * Admission: who calls, whether the limits allow it, and what is shed first
 * when capacity is short.
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
	/** Sheds by value when true; otherwise by arrival. For comparison. */
	bool fairness;
	/** Adapts the concurrency limit when true. For comparison. */
	bool control;
	/** Requests in flight on this host: at the start, least and most. */
	double concurrency;
	double concurrency_min;
	double concurrency_max;
	/** Time that a bucket holds at its rate. */
	pr_usec_t burst;
} pr_admit_options_t;

#define PR_ADMIT_OPTIONS_VERSION 1
#define PR_ADMIT_OPTIONS_INIT                                                  \
	{                                                                      \
		.version = PR_ADMIT_OPTIONS_VERSION, .fairness = true,         \
		.control = true, .concurrency = 64, .concurrency_min = 4,      \
		.concurrency_max = 10000, .burst = PR_USEC_PER_SEC,            \
	}

/** One limit of one workspace on this host. */
typedef struct pr_admit_bucket_t {
	/** Fleet-wide limit; 0 means none. */
	double limit;
	double tokens;
	/** Share that the grant's owner gave, valid until granted_until. */
	double granted;
	pr_usec_t granted_until;
	pr_usec_t filled;
} pr_admit_bucket_t;

typedef struct pr_admit_workspace_t {
	char *name;
	uint32_t weight;
	pr_admit_bucket_t buckets[PR_ADMIT_LIMITS];
	uint32_t in_flight[PR_ADMIT_PRIORITIES];
	/** Mean number in flight over the last seconds, and its time. */
	double open_mean;
	pr_usec_t open_at;
	/** Last request, admitted or not; decides who shares the capacity. */
	pr_usec_t seen;
	uint64_t admitted;
	uint64_t refused;
	/** Tokens expected by requests, admitted or not. */
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
	/** Overload controller. */
	double concurrency;
	uint32_t in_flight;
	pr_usec_t objective;
	pr_usec_t lowered;
	/** Moving average of time in service, for Retry-After. */
	double service;
	/** Sum of the weights of active workspaces, renewed now and then. */
	double active_weight;
	pr_usec_t active_until;
} pr_admit_t;

typedef struct pr_admit_decision_t {
	bool admitted;
	/** 429 or 503 when refused. */
	int status;
	/** Stable code, for example "rate_limited". */
	const char *code;
	/** Seconds for Retry-After, at least 1. */
	unsigned int retry_after;
	/** For `explain`: what decided, and its numbers. */
	char reason[128];
} pr_admit_decision_t;

/** @return 0 or PR_EINVALID (options) */
int pr_admit_init(pr_admit_t *admit, const pr_admit_options_t *options);
void pr_admit_finish(pr_admit_t *admit);
/**
 * Take a configuration; workspaces that stay keep their counts. Indexes of
 * workspaces may change: map tickets by pr_admit_find().
 *
 * @return 0, PR_EINVALID (a key is no SHA-256) or PR_ENOMEM; on an error the
 *	   state is as before
 */
int pr_admit_configure(pr_admit_t *admit, const pr_fleet_t *fleet,
		       pr_usec_t now);
/** Live hosts; default shares are limit / hosts. */
void pr_admit_set_hosts(pr_admit_t *admit, unsigned int hosts);
/**
 * Share of a limit that its owner granted to this host, in the limit's unit.
 * Without a valid one the host uses limit / hosts.
 *
 * @return 0 or PR_ENOTFOUND
 */
int pr_admit_set_share(pr_admit_t *admit, pr_slice_t workspace,
		       pr_admit_limit_t limit, double share, pr_usec_t until);

/**
 * Find the workspace of an Authorization header. Every key is compared, each
 * in constant time, so the time does not tell how close a guess was.
 *
 * @return its index, or PR_EDENIED
 */
int pr_admit_authenticate(const pr_admit_t *admit, pr_slice_t authorization);
/** @return index of a workspace, or PR_ENOTFOUND */
int pr_admit_find(const pr_admit_t *admit, pr_slice_t workspace);

/**
 * Decide on a request and count it when it is admitted.
 *
 * @param tokens expected tokens, prompt and answer; corrected at the end
 */
void pr_admit_decide(pr_admit_t *admit, pr_admit_decision_t *decision,
		     unsigned int workspace, pr_admit_priority_t priority,
		     uint32_t tokens, pr_usec_t now);

/** How an admitted request ended. */
typedef struct pr_admit_end_t {
	pr_admit_priority_t priority;
	/** As given to pr_admit_decide(). */
	uint32_t tokens_expected;
	uint32_t tokens;
	/** Time to the first token; -1 when there was none. */
	pr_usec_t first_token;
	pr_usec_t duration;
	/** An upstream refused for lack of capacity, or the deadline passed. */
	bool overloaded;
} pr_admit_end_t;

void pr_admit_end(pr_admit_t *admit, unsigned int workspace,
		  const pr_admit_end_t *end, pr_usec_t now);

#endif
