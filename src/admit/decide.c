/*
 * The decision: limits of the workspace first, then the value of the request
 * against the load. The concurrency limit follows first-token times: it falls
 * by a tenth when they miss the objective and rises by a request per limit of
 * good answers (additive increase, multiplicative decrease, as in TCP).
 */
#include "pistachiorack/admit.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Fill of the concurrency limit from which on a request is shed. Work of
 * workspaces under their share may pass the limit by a twentieth; work of a
 * workspace with twice its share stops at FILL_UNDER - FILL_RANGE. In
 * between it is graded. */
#define FILL_UNDER 1.05
#define FILL_RANGE 0.65
#define FILL_BATCH 0.4

/* Time constant of the mean number of requests in flight that is held against a
 * workspace's share. A share is often little more than one request, so that the
 * number at a moment is above it whenever two requests meet. */
#define OPEN_TIME (2.0 * PR_USEC_PER_SEC)

/* A workspace that sent nothing for this long leaves its share to others. */
#define ACTIVE_TIME PR_USEC_PER_SEC

/* The sum of active weights is renewed after this time. */
#define ACTIVE_RENEW (50 * PR_USEC_PER_MSEC)

static double share_of(const pr_admit_t *admit, const pr_admit_bucket_t *bucket,
		       pr_usec_t now)
{
	if (now < bucket->granted_until)
		return bucket->granted;
	return bucket->limit / admit->hosts;
}

static void fill(const pr_admit_t *admit, pr_admit_bucket_t *bucket,
		 pr_usec_t now)
{
	double rate = share_of(admit, bucket, now);
	double most = rate * (double)admit->options.burst / PR_USEC_PER_SEC;

	/* A share under one request per burst still passes one at a time. */
	if (most < 1)
		most = 1;
	if (now > bucket->filled)
		bucket->tokens +=
			rate * (double)(now - bucket->filled) / PR_USEC_PER_SEC;
	bucket->filled = now;
	if (bucket->tokens > most)
		bucket->tokens = most;
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
	const pr_admit_bucket_t *in_flight =
		&workspace->buckets[PR_ADMIT_IN_FLIGHT];
	uint32_t open = workspace->in_flight[PR_ADMIT_INTERACTIVE] +
			workspace->in_flight[PR_ADMIT_BATCH];

	for (unsigned int i = 0; i < PR_ADMIT_IN_FLIGHT; i++) {
		pr_admit_bucket_t *bucket = &workspace->buckets[i];
		double rate, needed;

		if (bucket->limit <= 0)
			continue;
		fill(admit, bucket, now);
		/* Tokens may be overdrawn by one request, whose size is only
		 * known at its end; the next one waits until it is repaid. */
		needed = i == PR_ADMIT_REQUESTS ? 1 - 1e-6 : 1e-6;
		if (bucket->tokens >= needed)
			continue;
		rate = share_of(admit, bucket, now);
		refuse(decision, 429, "rate_limited",
		       rate > 0 ? (needed - bucket->tokens) / rate : 60);
		snprintf(decision->reason, sizeof(decision->reason),
			 "workspace %.32s: %s %.0f, %.2f on this host",
			 workspace->name, names[i], bucket->limit, rate);
		return false;
	}
	/* Rounding up lets each host serve one, at most hosts - 1 over. */
	if (in_flight->limit > 0 &&
	    open >= ceil(share_of(admit, in_flight, now))) {
		refuse(decision, 429, "too_many_in_flight", 1);
		snprintf(decision->reason, sizeof(decision->reason),
			 "workspace %.32s: in_flight %.0f, %u open here",
			 workspace->name, in_flight->limit, open);
		return false;
	}
	return true;
}

static void renew_active(pr_admit_t *admit, pr_usec_t now)
{
	if (now < admit->active_until)
		return;
	admit->active_until = now + ACTIVE_RENEW;
	admit->active_weight = 0;
	for (unsigned int i = 0; i < admit->workspaces_count; i++) {
		const pr_admit_workspace_t *workspace = &admit->workspaces[i];

		if (now - workspace->seen < ACTIVE_TIME ||
		    workspace->in_flight[PR_ADMIT_INTERACTIVE] ||
		    workspace->in_flight[PR_ADMIT_BATCH])
			admit->active_weight += workspace->weight;
	}
}

/* Before the number changes: what it was until now. */
static void update_open(pr_admit_workspace_t *workspace, pr_usec_t now)
{
	double open = workspace->in_flight[PR_ADMIT_INTERACTIVE] +
		      workspace->in_flight[PR_ADMIT_BATCH];
	double passed = (double)(now - workspace->open_at);

	if (passed <= 0)
		return;
	workspace->open_mean +=
		(open - workspace->open_mean) * (1 - exp(-passed / OPEN_TIME));
	workspace->open_at = now;
}

/* @return false when the load leaves no room for a request of this value */
static bool check_load(pr_admit_t *admit, pr_admit_decision_t *decision,
		       pr_admit_workspace_t *workspace,
		       pr_admit_priority_t priority, pr_usec_t now)
{
	double fair, over, level = FILL_UNDER;

	renew_active(admit, now);
	fair = admit->concurrency * workspace->weight /
	       fmax(admit->active_weight, workspace->weight);
	update_open(workspace, now);
	over = fmin(fmax((workspace->open_mean - fair) / fair, 0), 1);
	level -= FILL_RANGE * over;
	if (priority == PR_ADMIT_BATCH)
		level -= FILL_BATCH;
	if (!admit->options.fairness)
		level = 1;
	if (admit->in_flight < level * admit->concurrency)
		return true;
	refuse(decision, 503, "overloaded",
	       admit->service / (double)PR_USEC_PER_SEC);
	snprintf(decision->reason, sizeof(decision->reason),
		 "overload: %u open of %.0f, %s, workspace %.32s %.1f of %.1f",
		 admit->in_flight, admit->concurrency,
		 priority == PR_ADMIT_BATCH ? "batch" : "interactive",
		 workspace->name, workspace->open_mean, fair);
	return false;
}

void pr_admit_decide(pr_admit_t *admit, pr_admit_decision_t *decision,
		     unsigned int index, pr_admit_priority_t priority,
		     uint32_t tokens, pr_usec_t now)
{
	pr_admit_workspace_t *workspace = &admit->workspaces[index];

	*decision = (pr_admit_decision_t){ .admitted = true };
	workspace->seen = now;
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

static void control(pr_admit_t *admit, const pr_admit_end_t *end, pr_usec_t now)
{
	/* Act before the objective is missed. Batch work waits behind
	 * interactive work, which says little about the load. */
	pr_usec_t most = end->priority == PR_ADMIT_BATCH ? admit->objective
							 : admit->objective / 2;
	bool late = end->overloaded || end->first_token > most;

	if (!admit->options.control || (end->first_token < 0 && !late))
		return;
	if (late) {
		/* Answers that were admitted before the last step do not show
		 * its effect yet. */
		if (now - end->duration < admit->lowered)
			return;
		admit->concurrency *= 0.9;
		admit->lowered = now;
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
	update_open(workspace, now);
	workspace->in_flight[end->priority]--;
	admit->in_flight--;
	workspace->buckets[PR_ADMIT_TOKENS].tokens +=
		(double)end->tokens_expected - end->tokens;
	admit->service += 0.05 * ((double)end->duration - admit->service);
	control(admit, end, now);
}
