/*
 * Limits on the time that an attempt may spend without progress. The limit of
 * an attempt without its first event is a fixed part of the route's latency
 * objective, or, with the setting attempts.adaptive_wait, an earlier time that
 * follows from what is usual for the service.
 */
#include "base/event_log.h"
#include "edge/exchange_parts.h"

/* An idempotent request of whose response nothing has arrived for this part of
 * its latency objective, in per cent, is sent to another upstream. The rest is
 * needed for the second attempt. */
#define RESPONSE_PERCENT 60
/* A stream without its first event is sent to another upstream after this part
 * of its latency objective, in per cent. */
#define FIRST_EVENT_PERCENT 125
/* An attempt ends when the time without an event exceeds this part of the gap
 * that the route allows between events, in per cent. */
#define EVENT_GAP_PERCENT    150
#define EVENT_GAP_DEFAULT_MS 2000

static pr_usec_t later(pr_usec_t a, pr_usec_t b)
{
	return a > b ? a : b;
}

static double to_ms(pr_usec_t time)
{
	return (double)time / PR_USEC_PER_MSEC;
}

/* Whether the wait for the current attempt's first event is adaptive. The load
 * of a load test makes first events late on purpose. */
static bool is_adaptive(const pr_exchange_t *x)
{
	return x->edge->settings->attempts.adaptive_wait && !x->is_load_test;
}

/* Whether the attempt has no event of a stream, or no head of another response.
 */
static bool awaits_first_event(const pr_exchange_t *x)
{
	return x->stream ? !x->events_of_attempt
			 : x->progress_at == x->attempt_began;
}

/* Output tokens of a stream that are still expected. */
static uint64_t tokens_left(const pr_exchange_t *x)
{
	uint64_t expected = x->prompt.output_expected;

	if (!x->stream)
		return 0;
	return expected > x->events.passed ? expected - x->events.passed : 1;
}

/* @param fixed limit without the adaptive wait; never exceeded */
static pr_usec_t first_event_limit(const pr_exchange_t *x, pr_usec_t fixed)
{
	pr_patience_attempt_t attempt = {
		.objective_ms = pr_exchange_target_ms(x),
		.used_ms = to_ms(x->attempt_began - x->began),
		.left_ms = to_ms(x->deadline - x->attempt_began),
		.expected_ms = x->expected_ms,
		/* The fleet is not searched for the next upstream: the current
		 * one was the best, and others are about as busy. */
		.next_ms = x->expected_ms,
		.tokens = (double)tokens_left(x),
		.limit_ms = to_ms(fixed - x->attempt_began),
	};
	double wait_ms;

	if (!is_adaptive(x) || !awaits_first_event(x))
		return fixed;
	wait_ms = pr_patience_wait_ms(pr_edge_patience(x->edge, x->service),
				      &attempt);
	if (wait_ms >= attempt.limit_ms)
		return fixed;
	return x->attempt_began + (pr_usec_t)(wait_ms * PR_USEC_PER_MSEC);
}

/* Limit by the fixed parts of the objective and the gap between events. */
static pr_usec_t fixed_limit(const pr_exchange_t *x)
{
	pr_usec_t target =
		(pr_usec_t)pr_exchange_target_ms(x) * PR_USEC_PER_MSEC;
	pr_usec_t gap = (pr_usec_t)(x->route->gap_ms ? x->route->gap_ms
						     : EVENT_GAP_DEFAULT_MS) *
			PR_USEC_PER_MSEC;

	if (x->stream && x->events.passed && x->progress_at > x->attempt_began)
		return x->progress_at + gap * EVENT_GAP_PERCENT / 100;
	if (x->stream)
		return x->attempt_began + target * FIRST_EVENT_PERCENT / 100;
	return x->progress_at + target * RESPONSE_PERCENT / 100;
}

pr_usec_t pr_exchange_progress_deadline(const pr_exchange_t *x)
{
	if (!x->outbound || x->reading_paused || !pr_exchange_can_repeat(x) ||
	    x->runs + 1 >= x->route->max_upstreams)
		return PR_USEC_NEVER;
	return later(first_event_limit(x, fixed_limit(x)), x->stalled_until);
}

void pr_exchange_learn_first_event(pr_exchange_t *x)
{
	pr_patience_t *patience;

	if (x->upstream)
		x->upstream->silent = false;
	if (!is_adaptive(x))
		return;
	patience = pr_edge_patience(x->edge, x->service);
	if (patience)
		pr_patience_learn(patience, x->expected_ms,
				  to_ms(pr_exchange_now(x) - x->attempt_began));
}

/*
 * An upstream that is stuck leaves many requests without an event, which say
 * nothing about the rest of the service: only one attempt is learned from until
 * a first event arrives from it. When the whole service is slow, attempts on
 * different upstreams are silent and the usual time rises.
 */
void pr_exchange_learn_silence(pr_exchange_t *x)
{
	pr_patience_t *patience;

	if (!x->outbound || !x->upstream || x->upstream->silent ||
	    !is_adaptive(x) || !awaits_first_event(x))
		return;
	patience = pr_edge_patience(x->edge, x->service);
	if (patience)
		x->upstream->silent = pr_patience_learn_silence(
			patience, x->expected_ms,
			to_ms(pr_exchange_now(x) - x->attempt_began));
}

void pr_exchange_learn_end(pr_exchange_t *x)
{
	pr_patience_t *patience;

	/* A resumed stream ran only in part in this attempt. */
	if (!is_adaptive(x) || !x->event_stream || !x->events_of_attempt ||
	    x->runs)
		return;
	patience = pr_edge_patience(x->edge, x->service);
	if (patience)
		pr_patience_learn_rest(
			patience, x->prompt.output_expected,
			to_ms(pr_exchange_now(x) - x->first_event_at));
}

void pr_exchange_record_replaced(pr_exchange_t *x)
{
	pr_usec_t now = pr_exchange_now(x);
	pr_usec_t fixed = fixed_limit(x);
	const pr_patience_t *patience;

	pr_metric_add(x->edge->counters.replaced, 1);
	if (now < fixed)
		pr_metric_add(x->edge->counters.replaced_early, 1);
	if (!is_adaptive(x) || !awaits_first_event(x))
		return;
	patience = pr_edge_patience(x->edge, x->service);
	pr_event("attempt_replaced",
		 "request=%s upstream=%s waited_ms=%.0f fixed_ms=%.0f "
		 "expected_ms=%.0f factor=%.2f ms=%lld",
		 x->id, x->upstream ? x->upstream->entry.id : "-",
		 to_ms(now - x->attempt_began), to_ms(fixed - x->attempt_began),
		 x->expected_ms, patience ? pr_patience_factor(patience) : 0,
		 pr_exchange_age_ms(x));
	pr_exchange_learn_silence(x);
}
