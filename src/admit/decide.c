/*
 * Admission decisions. A request is checked against the limits of its
 * workspace first, then against the load of the host.
 *
 * The load is the number of requests in flight relative to a concurrency limit.
 * The limit is adapted to first-token times by additive increase and
 * multiplicative decrease, as in TCP: a late answer, or a failure for lack of
 * capacity, lowers it by a tenth; as many timely answers as the limit's value
 * raise it by one request.
 */
#include "pistachiorack/admit.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Load, as a fraction of the concurrency limit, at which a request is shed.
 * Workspaces up to their fair share may exceed the concurrency limit by a
 * twentieth. Workspaces with twice their fair share or more are refused from
 * LOAD_LIMIT_MAX - LOAD_LIMIT_RANGE on; the threshold falls linearly in
 * between. Batch requests are shed LOAD_LIMIT_BATCH earlier. */
#define LOAD_LIMIT_MAX   1.05
#define LOAD_LIMIT_RANGE 0.65
#define LOAD_LIMIT_BATCH 0.4

/* Time constant, in microseconds, of the moving average of a workspace's
 * requests in flight, which is compared with its fair share. The current number
 * is unsuitable: a fair share is often little more than one request, so any two
 * concurrent requests would exceed it. */
#define IN_FLIGHT_MEAN_TIME (2.0 * PR_USEC_PER_SEC)

/* A workspace without requests for this time, and with none in flight, is
 * inactive: fair shares are computed without it. */
#define ACTIVE_TIME PR_USEC_PER_SEC

/* Interval between updates of the sum of active weights. */
#define ACTIVE_WEIGHT_PERIOD (50 * PR_USEC_PER_MSEC)

static double share_on_host(const pr_admit_t *admit,
			    const pr_admit_bucket_t *bucket, pr_usec_t now)
{
	if (now < bucket->granted_until)
		return bucket->granted_share;
	return bucket->limit / admit->hosts;
}

static void refill_bucket(const pr_admit_t *admit, pr_admit_bucket_t *bucket,
			  pr_usec_t now)
{
	double rate = share_on_host(admit, bucket, now);
	double capacity = rate * (double)admit->options.burst / PR_USEC_PER_SEC;

	/* A share below one request per burst time must still be able to save
	 * up for one request. */
	if (capacity < 1)
		capacity = 1;
	if (now > bucket->refilled_at)
		bucket->tokens += rate * (double)(now - bucket->refilled_at) /
				  PR_USEC_PER_SEC;
	bucket->refilled_at = now;
	if (bucket->tokens > capacity)
		bucket->tokens = capacity;
}

static void refuse(pr_admit_decision_t *decision, int status, const char *code,
		   double wait)
{
	decision->admitted = false;
	decision->status = status;
	decision->code = code;
	decision->retry_after = 1;
	if (wait > 1)
		decision->retry_after =
			wait < 60 ? (unsigned int)ceil(wait) : 60;
}

/* @return false when a limit of the workspace does not allow the request */
static bool check_limits(pr_admit_t *admit, pr_admit_decision_t *decision,
			 pr_admit_workspace_t *workspace, pr_usec_t now)
{
	static const char *const names[] = { "requests_per_s", "tokens_per_s" };
	const pr_admit_bucket_t *in_flight_bucket =
		&workspace->buckets[PR_ADMIT_IN_FLIGHT];
	uint32_t in_flight_count = workspace->in_flight[PR_ADMIT_INTERACTIVE] +
				   workspace->in_flight[PR_ADMIT_BATCH];

	for (unsigned int i = 0; i < PR_ADMIT_IN_FLIGHT; i++) {
		pr_admit_bucket_t *bucket = &workspace->buckets[i];
		double rate, needed;

		if (bucket->limit <= 0)
			continue;
		refill_bucket(admit, bucket, now);
		/* The tokens of a request are only known at its end, so one
		 * request may overdraw the token bucket. The next request is
		 * refused until the balance is positive again. */
		needed = i == PR_ADMIT_REQUESTS ? 1 - 1e-6 : 1e-6;
		if (bucket->tokens >= needed)
			continue;
		rate = share_on_host(admit, bucket, now);
		refuse(decision, 429, "rate_limited",
		       rate > 0 ? (needed - bucket->tokens) / rate : 60);
		snprintf(decision->reason, sizeof(decision->reason),
			 "workspace %.32s: %s %.0f, %.2f on this host",
			 workspace->name, names[i], bucket->limit, rate);
		return false;
	}
	/* The share is rounded up, so that each host may serve one request. The
	 * fleet may exceed the limit by hosts - 1 requests at most. */
	if (in_flight_bucket->limit > 0 &&
	    in_flight_count >=
		    ceil(share_on_host(admit, in_flight_bucket, now))) {
		refuse(decision, 429, "too_many_in_flight", 1);
		snprintf(decision->reason, sizeof(decision->reason),
			 "workspace %.32s: in_flight %.0f, %u open here",
			 workspace->name, in_flight_bucket->limit,
			 in_flight_count);
		return false;
	}
	return true;
}

static void update_active_weight(pr_admit_t *admit, pr_usec_t now)
{
	if (now < admit->active_weight_until)
		return;
	admit->active_weight_until = now + ACTIVE_WEIGHT_PERIOD;
	admit->active_weight = 0;
	for (unsigned int i = 0; i < admit->workspaces_count; i++) {
		const pr_admit_workspace_t *workspace = &admit->workspaces[i];

		if (now - workspace->last_request_at < ACTIVE_TIME ||
		    workspace->in_flight[PR_ADMIT_INTERACTIVE] ||
		    workspace->in_flight[PR_ADMIT_BATCH])
			admit->active_weight += workspace->weight;
	}
}

/* Updates the moving average with the number of requests in flight since the
 * last update. To be called before that number changes. */
static void update_in_flight_mean(pr_admit_workspace_t *workspace,
				  pr_usec_t now)
{
	double in_flight = workspace->in_flight[PR_ADMIT_INTERACTIVE] +
			   workspace->in_flight[PR_ADMIT_BATCH];
	double elapsed = (double)(now - workspace->in_flight_mean_at);

	if (elapsed <= 0)
		return;
	workspace->in_flight_mean += (in_flight - workspace->in_flight_mean) *
				     (1 - exp(-elapsed / IN_FLIGHT_MEAN_TIME));
	workspace->in_flight_mean_at = now;
}

/* @return false when the host's load is too high for a request of this
 * priority and workspace */
static bool check_load(pr_admit_t *admit, pr_admit_decision_t *decision,
		       pr_admit_workspace_t *workspace,
		       pr_admit_priority_t priority, pr_usec_t now)
{
	double fair_share, excess, load_limit = LOAD_LIMIT_MAX;

	update_active_weight(admit, now);
	fair_share = admit->concurrency * workspace->weight /
		     fmax(admit->active_weight, workspace->weight);
	update_in_flight_mean(workspace, now);
	excess = fmin(
		fmax((workspace->in_flight_mean - fair_share) / fair_share, 0),
		1);
	load_limit -= LOAD_LIMIT_RANGE * excess;
	if (priority == PR_ADMIT_BATCH)
		load_limit -= LOAD_LIMIT_BATCH;
	if (!admit->options.fair_shedding)
		load_limit = 1;
	if (admit->in_flight < load_limit * admit->concurrency)
		return true;
	refuse(decision, 503, "overloaded",
	       admit->service_time / (double)PR_USEC_PER_SEC);
	snprintf(decision->reason, sizeof(decision->reason),
		 "overload: %u open of %.0f, %s, workspace %.32s %.1f of %.1f",
		 admit->in_flight, admit->concurrency,
		 priority == PR_ADMIT_BATCH ? "batch" : "interactive",
		 workspace->name, workspace->in_flight_mean, fair_share);
	return false;
}

void pr_admit_decide(pr_admit_t *admit, pr_admit_decision_t *decision,
		     unsigned int index, pr_admit_priority_t priority,
		     uint32_t tokens, pr_usec_t now)
{
	pr_admit_workspace_t *workspace = &admit->workspaces[index];

	*decision = (pr_admit_decision_t){ .admitted = true };
	workspace->last_request_at = now;
	workspace->tokens_requested += tokens;
	if (!check_limits(admit, decision, workspace, now) ||
	    !check_load(admit, decision, workspace, priority, now)) {
		workspace->refused++;
		return;
	}
	workspace->admitted++;
	workspace->buckets[PR_ADMIT_REQUESTS].tokens -= 1;
	workspace->buckets[PR_ADMIT_TOKENS].tokens -= tokens;
	workspace->in_flight[priority]++;
	admit->in_flight++;
}

static void adapt_concurrency(pr_admit_t *admit, const pr_admit_end_t *end,
			      pr_usec_t now)
{
	/* Half of the objective is the threshold for interactive requests, so
	 * that the limit falls before the objective is missed. Batch requests
	 * are queued behind interactive ones, so a long wait of theirs says
	 * little about the load; they get the whole objective. */
	pr_usec_t threshold = end->priority == PR_ADMIT_BATCH
				      ? admit->first_token_objective
				      : admit->first_token_objective / 2;
	bool late = end->overloaded || end->first_token > threshold;

	if (!admit->options.adaptive_concurrency ||
	    (end->first_token < 0 && !late))
		return;
	if (late) {
		/* Requests that were admitted before the last decrease do not
		 * show its effect yet. */
		if (now - end->duration < admit->lowered_at)
			return;
		admit->concurrency *= 0.9;
		admit->lowered_at = now;
	} else if (admit->in_flight > admit->concurrency / 2) {
		admit->concurrency += 1 / admit->concurrency;
	}
	admit->concurrency =
		fmin(fmax(admit->concurrency, admit->options.concurrency_min),
		     admit->options.concurrency_max);
}

void pr_admit_end(pr_admit_t *admit, unsigned int index,
		  const pr_admit_end_t *end, pr_usec_t now)
{
	pr_admit_workspace_t *workspace = &admit->workspaces[index];

	if (!workspace->in_flight[end->priority])
		return;
	update_in_flight_mean(workspace, now);
	workspace->in_flight[end->priority]--;
	admit->in_flight--;
	workspace->buckets[PR_ADMIT_TOKENS].tokens +=
		(double)end->tokens_expected - end->tokens;
	admit->service_time +=
		0.05 * ((double)end->duration - admit->service_time);
	adapt_concurrency(admit, end, now);
}
