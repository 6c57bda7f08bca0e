/* Attempts of an exchange: choice of the upstream, retries, give-up. */
#include "pistachiorack/error.h"
#include "router/exchange.h"

static void note_tried(pr_exchange_t *exchange)
{
	pr_balance_query_t *query = &exchange->query;

	if (query->tried_count < PR_BALANCE_TRIED_MAX)
		query->tried[query->tried_count++] =
			exchange->call.choice.upstream;
}

static int choose_upstream(pr_exchange_t *exchange, bool cross_region)
{
	pr_router_t *router = exchange->router;

	exchange->query.cross_region = cross_region;
	return pr_balance_choose(&router->balance, &exchange->call.choice,
				 &exchange->query, &router->rand,
				 pr_router_now(router));
}

/*
 * Work stays in the region. Interactive model requests may leave it when their
 * expected first-token time breaks the objective, which the choice itself
 * compares. Batch work and services have no such objective: they leave only
 * when this region has nothing that can take them now. Waiting for upstreams at
 * their cold ceiling failed them, since dead upstreams count as cold, too.
 */
static int choose(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	int rc;

	exchange->query.target = pr_slice_of(exchange->what);
	exchange->query.priority = exchange->priority == PR_ADMIT_BATCH
					   ? PR_BALANCE_BATCH
					   : PR_BALANCE_INTERACTIVE;
	if ((!exchange->service && exchange->priority != PR_ADMIT_BATCH) ||
	    !pr_balance_in_region(&router->balance, exchange->query.target)) {
		rc = choose_upstream(exchange, true);
	} else {
		rc = choose_upstream(exchange, false);
		if (rc == PR_EUNAVAILABLE || rc == PR_EFULL)
			rc = choose_upstream(exchange, true);
	}
	if (!rc)
		note_tried(exchange);
	return rc;
}

/* No upstream could be called: attempt -1 for the state machine. */
static void fail_without_call(pr_exchange_t *exchange, int number)
{
	pr_router_t *router = exchange->router;
	pr_dispatch_decision_t decision;

	pr_dispatch_fail_attempt(&exchange->dispatch, &decision, number, true,
				 &router->rand, pr_router_now(router));
	pr_exchange_act(exchange, &decision);
}

void pr_exchange_try(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	int number;

	if (!exchange->request && !exchange->operation)
		return;
	if (choose(exchange)) {
		fail_without_call(exchange, -1);
		return;
	}
	number = pr_dispatch_start_attempt(&exchange->dispatch,
					   pr_router_now(router));
	if (number < 0) {
		fail_without_call(exchange, -1);
		return;
	}
	exchange->call.number = number;
	pr_dispatch_set_stage(&exchange->dispatch, number, PR_STAGE_CONNECTING);
	if (pr_upstream_call_start(exchange))
		fail_without_call(exchange, number);
}

static void on_retry(pr_timer_t *timer, pr_usec_t now)
{
	pr_exchange_t *exchange = timer->data;

	exchange->retry_waiting = false;
	exchange->holds++;
	exchange->ops->retry(exchange);
	exchange->holds--;
	pr_exchange_release(exchange);
}

static void retry_at(pr_exchange_t *exchange, pr_usec_t at)
{
	pr_router_t *router = exchange->router;
	pr_usec_t now = pr_router_now(router);

	pr_metric_add(router->counters.retries, 1);
	exchange->retry_waiting = true;
	exchange->retry_timer.data = exchange;
	pr_timers_subscribe(&router->timers, &exchange->retry_timer,
			    at > now ? at - now : 0, 0, on_retry);
}

static void break_answer(pr_exchange_t *exchange,
			 const pr_dispatch_decision_t *decision)
{
	pr_str_t event = PR_STR_INIT;

	if (!exchange->request || exchange->answer_ended)
		return;
	exchange->answer_ended = true;
	pr_exchange_broken(exchange, "stream_broken");
	if (!pr_stream_error_event(&event, "stream_broken",
				   "the answer could not be completed",
				   decision->verdict))
		pr_http_stream_write(exchange->request, pr_str_slice(&event));
	pr_str_finish(&event);
	pr_http_stream_end(exchange->request, false);
}

void pr_exchange_act(pr_exchange_t *exchange,
		     const pr_dispatch_decision_t *decision)
{
	exchange->verdict =
		pr_verdict_join(exchange->verdict, decision->verdict);
	switch (decision->action) {
	case PR_DISPATCH_TRY:
		exchange->chat.resume = false;
		retry_at(exchange, decision->at);
		break;
	case PR_DISPATCH_RESUME:
		exchange->chat.resume = true;
		retry_at(exchange, decision->at);
		break;
	case PR_DISPATCH_REFUSE:
		if (exchange->ops->refused) {
			exchange->ops->refused(exchange, decision);
			break;
		}
		pr_exchange_refuse(exchange, decision->status, decision->code,
				   exchange->verdict,
				   "no upstream could complete the request");
		break;
	case PR_DISPATCH_BREAK:
		break_answer(exchange, decision);
		break;
	default:
		break;
	}
}

void pr_exchange_attempt_failed(pr_exchange_t *exchange, bool refused)
{
	pr_router_t *router = exchange->router;
	pr_usec_t now = pr_router_now(router);
	pr_dispatch_decision_t decision;
	int number = exchange->call.number;

	if (refused &&
	    (exchange->call.status == 503 || exchange->call.status == 429))
		pr_balance_refused(&router->balance, &exchange->call.choice,
				   now);
	else
		pr_balance_failed(&router->balance, &exchange->call.choice,
				  exchange->dispatch.attempts[number].stage,
				  now);
	pr_dispatch_fail_attempt(&exchange->dispatch, &decision, number,
				 refused, &router->rand, now);
	pr_exchange_act(exchange, &decision);
}
