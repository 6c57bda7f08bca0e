/*
 * State machine of one request: starts attempts, and decides on retries,
 * resumes, hedges and the final verdict.
 */
#include "pistachiorack/dispatch.h"

#include <string.h>

#include "pistachiorack/error.h"

void pr_retry_budget_init(pr_retry_budget_t *budget)
{
	*budget = (pr_retry_budget_t){
		.deposit = 0.1,
		.max = 10,
		.enabled = true,
	};
}

void pr_retry_budget_deposit(pr_retry_budget_t *budget)
{
	budget->tokens += budget->deposit;
	if (budget->tokens > budget->max)
		budget->tokens = budget->max;
}

bool pr_retry_budget_take(pr_retry_budget_t *budget)
{
	if (!budget->enabled)
		return true;
	/* Tolerance for rounding: the sum of ten deposits of 0.1 is slightly
	 * below 1. */
	if (budget->tokens < 1 - 1e-9)
		return false;
	budget->tokens -= 1;
	return true;
}

void pr_dispatch_init(pr_dispatch_t *dispatch,
		      const pr_dispatch_options_t *options,
		      pr_retry_budget_t *budget)
{
	memset(dispatch, 0, sizeof(*dispatch));
	dispatch->options = *options;
	if (dispatch->options.attempts_max > PR_DISPATCH_ATTEMPTS_MAX)
		dispatch->options.attempts_max = PR_DISPATCH_ATTEMPTS_MAX;
	dispatch->budget = budget;
	pr_retry_budget_deposit(budget);
}

int pr_dispatch_start_attempt(pr_dispatch_t *dispatch, pr_usec_t now)
{
	pr_attempt_t *attempt;

	if (dispatch->ended)
		return pr_error_set(
			PR_EINVALID,
			"cannot start an attempt: the request has ended");
	if (now >= dispatch->options.deadline)
		return pr_error_set(
			PR_ETIMEDOUT,
			"cannot start an attempt: the deadline has passed");
	if (dispatch->attempts_count >= dispatch->options.attempts_max)
		return pr_error_set(PR_EFULL,
				    "cannot start an attempt: the maximum "
				    "number of attempts is reached");
	attempt = &dispatch->attempts[dispatch->attempts_count];
	*attempt = (pr_attempt_t){ .open = true, .started = now };
	return (int)dispatch->attempts_count++;
}

static pr_attempt_t *get_attempt(pr_dispatch_t *dispatch, int number)
{
	if (number < 0 || (unsigned int)number >= dispatch->attempts_count)
		return NULL;
	return &dispatch->attempts[number];
}

void pr_dispatch_set_stage(pr_dispatch_t *dispatch, int number,
			   pr_attempt_stage_t stage)
{
	pr_attempt_t *attempt = get_attempt(dispatch, number);

	if (attempt && attempt->open && stage > attempt->stage)
		attempt->stage = stage;
}

void pr_dispatch_set_delivered(pr_dispatch_t *dispatch, uint64_t tokens)
{
	if (tokens > dispatch->delivered_tokens)
		dispatch->delivered_tokens = tokens;
}

/* Combines the verdicts of all attempts. An open attempt counts as if it failed
 * at its current stage. */
static pr_verdict_t combined_verdict(const pr_dispatch_t *dispatch)
{
	pr_verdict_t verdict = PR_VERDICT_NOT_RUN;

	for (unsigned int i = 0; i < dispatch->attempts_count; i++) {
		const pr_attempt_t *attempt = &dispatch->attempts[i];
		pr_verdict_t attempt_verdict =
			attempt->open
				? pr_verdict_of_failure(attempt->stage, false)
				: attempt->verdict;

		verdict = pr_verdict_join(verdict, attempt_verdict);
	}
	return verdict;
}

static uint32_t open_attempts(const pr_dispatch_t *dispatch)
{
	uint32_t mask = 0;

	for (unsigned int i = 0; i < dispatch->attempts_count; i++)
		if (dispatch->attempts[i].open)
			mask |= 1u << i;
	return mask;
}

/* @return exponential retry delay with full jitter, which spreads the retries
 * of requests that failed at the same time on the same upstream */
static pr_usec_t backoff(const pr_dispatch_t *dispatch, pr_rand_t *rand)
{
	unsigned int tries =
		dispatch->attempts_count + dispatch->failed_selections;
	pr_usec_t mean = dispatch->options.backoff;

	while (tries-- > 1 && mean < dispatch->options.backoff_max)
		mean *= 2;
	if (mean > dispatch->options.backoff_max)
		mean = dispatch->options.backoff_max;
	return (pr_usec_t)((double)mean * 2 * pr_rand_unit(rand));
}

static void give_up(pr_dispatch_t *dispatch, pr_dispatch_decision_t *decision,
		    int status, const char *code)
{
	dispatch->ended = true;
	decision->action = dispatch->delivered_tokens ? PR_DISPATCH_BREAK
						      : PR_DISPATCH_REFUSE;
	decision->status = status;
	decision->code = code;
	decision->verdict = combined_verdict(dispatch);
	decision->cancel = open_attempts(dispatch);
	/* PR_VERDICT_RAN would promise an answer, but the request failed and
	 * its caller does not have one. */
	if (decision->verdict == PR_VERDICT_RAN)
		decision->verdict = PR_VERDICT_MAY_HAVE_RUN;
}

static bool may_repeat(const pr_dispatch_t *dispatch)
{
	return dispatch->options.idempotent ||
	       combined_verdict(dispatch) == PR_VERDICT_NOT_RUN;
}

void pr_dispatch_fail_attempt(pr_dispatch_t *dispatch,
			      pr_dispatch_decision_t *decision, int number,
			      bool refused, pr_rand_t *rand, pr_usec_t now)
{
	pr_attempt_t *attempt = get_attempt(dispatch, number);

	memset(decision, 0, sizeof(*decision));
	if (attempt && !attempt->open)
		return;
	if (attempt) {
		attempt->open = false;
		/* An upstream that has sent part of the body has started the
		 * request, so a refusal is ignored from then on. */
		attempt->verdict = pr_verdict_of_failure(
			attempt->stage,
			refused && attempt->stage <= PR_STAGE_HEAD);
		if (attempt->verdict == PR_VERDICT_RAN)
			attempt->verdict = PR_VERDICT_MAY_HAVE_RUN;
	} else {
		dispatch->failed_selections++;
	}
	if (dispatch->ended || open_attempts(dispatch))
		return;
	decision->verdict = combined_verdict(dispatch);
	decision->position = dispatch->delivered_tokens;
	decision->at = now + backoff(dispatch, rand);
	if (!dispatch->attempts_count &&
	    dispatch->failed_selections >= dispatch->options.attempts_max)
		give_up(dispatch, decision, 503, "no_capacity");
	else if (!may_repeat(dispatch))
		give_up(dispatch, decision, 502, "upstream_failed");
	else if (decision->at >= dispatch->options.deadline)
		give_up(dispatch, decision, 504, "deadline_exceeded");
	else if (dispatch->attempts_count + dispatch->failed_selections >=
		 dispatch->options.attempts_max)
		give_up(dispatch, decision, 502, "upstream_failed");
	else if (attempt && !pr_retry_budget_take(dispatch->budget))
		give_up(dispatch, decision, 503, "retry_budget_exhausted");
	else
		decision->action = dispatch->delivered_tokens
					   ? PR_DISPATCH_RESUME
					   : PR_DISPATCH_TRY;
}

void pr_dispatch_complete_attempt(pr_dispatch_t *dispatch,
				  pr_dispatch_decision_t *decision, int number)
{
	pr_attempt_t *attempt = get_attempt(dispatch, number);

	memset(decision, 0, sizeof(*decision));
	if (!attempt || !attempt->open)
		return;
	attempt->open = false;
	attempt->stage = PR_STAGE_DONE;
	attempt->verdict = PR_VERDICT_RAN;
	if (dispatch->ended)
		return;
	dispatch->ended = true;
	decision->action = PR_DISPATCH_ANSWER;
	decision->verdict = PR_VERDICT_RAN;
	decision->cancel = open_attempts(dispatch);
}

void pr_dispatch_abandon(pr_dispatch_t *dispatch,
			 pr_dispatch_decision_t *decision, bool timed_out)
{
	memset(decision, 0, sizeof(*decision));
	if (dispatch->ended)
		return;
	give_up(dispatch, decision, timed_out ? 504 : 499,
		timed_out ? "deadline_exceeded" : "caller_left");
	if (!timed_out)
		decision->action = PR_DISPATCH_NONE;
}

pr_usec_t pr_dispatch_hedge_at(const pr_dispatch_t *dispatch)
{
	if (!dispatch->options.hedge_after || dispatch->hedged ||
	    dispatch->ended || !dispatch->options.idempotent ||
	    dispatch->delivered_tokens || dispatch->attempts_count != 1 ||
	    !dispatch->attempts[0].open)
		return PR_USEC_NEVER;
	return dispatch->attempts[0].started + dispatch->options.hedge_after;
}

bool pr_dispatch_claim_hedge(pr_dispatch_t *dispatch, pr_usec_t now)
{
	if (now < pr_dispatch_hedge_at(dispatch) ||
	    now >= dispatch->options.deadline)
		return false;
	dispatch->hedged = true;
	return pr_retry_budget_take(dispatch->budget);
}
