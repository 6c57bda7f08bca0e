/* Life of one request. */
#include "router/exchange.h"

#include <stdlib.h>

#include "pistachiorack/error.h"
#include "router/test_off.h"

#define NUMBER_BYTES          16
#define RETRY_AFTER_DEFAULT_S 1u

/* The one place that states Retry-After: a shortage whose length is not known
 * may be over after a second. */
static void refuse(pr_http_request_t *request, int status, const char *code,
		   pr_verdict_t verdict, const char *message,
		   unsigned int retry_after)
{
	char seconds[NUMBER_BYTES];
	json_t *root = json_pack("{s:{s:s, s:s, s:s}}", "error", "code", code,
				 "message", message, "verdict",
				 pr_verdict_name(verdict));
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	if (status == 429 || status == 503) {
		snprintf(seconds, sizeof(seconds), "%u",
			 retry_after ? retry_after : RETRY_AFTER_DEFAULT_S);
		pr_http_answer_header(request, "retry-after",
				      pr_slice_of(seconds));
	}
	pr_http_answer(request, status, "application/json",
		       pr_slice_of(text ? text : "{}"));
	free(text);
	json_decref(root);
}

void pr_refuse(pr_http_request_t *request, int status, const char *code,
	       pr_verdict_t verdict, const char *message)
{
	refuse(request, status, code, verdict, message, 0);
}

void pr_exchange_refuse(pr_exchange_t *exchange, int status, const char *code,
			pr_verdict_t verdict, const char *message)
{
	if (!exchange->request || exchange->answer_started)
		return;
	exchange->answer_started = true;
	exchange->answer_ended = true;
	pr_metric_add(exchange->router->counters.refused, 1);
	snprintf(exchange->failure, sizeof(exchange->failure), "%s", code);
	exchange->counts_against_budget = status >= SERVER_ERROR;
	pr_http_answer_header(exchange->request, "x-request-id",
			      pr_slice_of(exchange->id));
	refuse(exchange->request, status, code, verdict, message,
	       exchange->retry_after);
}

void pr_exchange_broken(pr_exchange_t *exchange, const char *code)
{
	snprintf(exchange->failure, sizeof(exchange->failure), "%s", code);
	exchange->counts_against_budget = true;
	pr_metric_add(exchange->router->counters.broken_streams, 1);
}

static void on_end(pr_http_request_t *request, bool complete)
{
	pr_exchange_t *exchange = request->user;

	exchange->request = NULL;
	/* A change goes on without its caller: its outcome must be known. */
	if (!complete && !exchange->operation) {
		exchange->caller_left = true;
		if (!pr_test_off("cancel"))
			pr_upstream_call_cancel(exchange);
	}
	pr_exchange_release(exchange);
}

static void on_drain(pr_http_request_t *request)
{
	pr_exchange_t *exchange = request->user;

	if (exchange->call.active)
		pr_http_call_pause(&exchange->call.http, false);
}

static void subscribe_deadline(pr_exchange_t *exchange);

static void on_deadline(pr_timer_t *timer, pr_usec_t now)
{
	pr_exchange_t *exchange = timer->data;
	bool sent = exchange->call.active &&
		    exchange->call.http.stage > PR_STAGE_CONNECTING;

	exchange->holds++;
	if (exchange->ops->deadline && exchange->ops->deadline(exchange)) {
		if (exchange->call.active)
			subscribe_deadline(exchange);
		exchange->holds--;
		pr_exchange_release(exchange);
		return;
	}
	pr_upstream_call_cancel(exchange);
	if (sent)
		exchange->verdict = pr_verdict_join(exchange->verdict,
						    PR_VERDICT_MAY_HAVE_RUN);
	if (exchange->answer_started && !exchange->answer_ended) {
		exchange->answer_ended = true;
		pr_exchange_broken(exchange, "deadline_exceeded");
		if (exchange->request)
			pr_http_stream_end(exchange->request, false);
	} else {
		pr_exchange_refuse(exchange, 504, "deadline_exceeded",
				   exchange->verdict,
				   "the answer did not come in time");
	}
	exchange->holds--;
	pr_exchange_release(exchange);
}

static void subscribe_deadline(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;

	pr_timers_subscribe(
		&router->timers, &exchange->deadline,
		(pr_usec_t)router->settings->limits.answer_timeout_ms *
			PR_USEC_PER_MSEC,
		0, on_deadline);
}

pr_exchange_t *pr_exchange_open(pr_router_t *router, pr_http_request_t *request)
{
	pr_exchange_t *exchange;

	if (router->exchange_count >= router->settings->limits.requests) {
		pr_refuse(request, 503, "host_busy", PR_VERDICT_NOT_RUN,
			  "too many requests are in work on this host");
		return NULL;
	}
	exchange = calloc(1, sizeof(*exchange));
	if (!exchange) {
		pr_refuse(request, 503, "host_busy", PR_VERDICT_NOT_RUN,
			  "out of memory");
		return NULL;
	}
	exchange->router = router;
	exchange->request = request;
	exchange->arrived = pr_router_now(router);
	exchange->fleet = pr_config_ref(router->fleet);
	exchange->deadline.data = exchange;
	exchange->number = ++router->next_request;
	snprintf(exchange->id, sizeof(exchange->id), "%s-%s-%llu",
		 router->settings->host, router->boot,
		 (unsigned long long)exchange->number);
	exchange->next = router->exchanges;
	if (exchange->next)
		exchange->next->prev = exchange;
	router->exchanges = exchange;
	router->exchange_count++;
	request->user = exchange;
	request->on_end = on_end;
	request->on_drain = on_drain;
	subscribe_deadline(exchange);
	pr_metric_add(router->counters.requests, 1);
	return exchange;
}

void pr_exchange_release(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;

	if (exchange->request || exchange->call.active || exchange->holds)
		return;
	pr_timers_unsubscribe(&router->timers, &exchange->retry_timer);
	pr_billing_abandoned(exchange);
	pr_admission_end(exchange);
	pr_objectives_record(exchange);
	pr_explain_record(exchange);
	pr_histogram_record(
		router->counters.total_us,
		(double)(pr_router_now(router) - exchange->arrived));
	pr_timers_unsubscribe(&router->timers, &exchange->deadline);
	if (exchange->prev)
		exchange->prev->next = exchange->next;
	else
		router->exchanges = exchange->next;
	if (exchange->next)
		exchange->next->prev = exchange->prev;
	router->exchange_count--;
	pr_config_unref(exchange->fleet);
	pr_str_finish(&exchange->upstream_body);
	pr_str_finish(&exchange->outcome);
	pr_str_finish(&exchange->call.body);
	if (exchange->chat.events_open)
		pr_stream_finish(&exchange->chat.events);
	json_decref(exchange->chat.body);
	free(exchange);
}

/*
 * h2o does not read from a connection while its handler waits, so a caller
 * that has left shows only when the socket is polled. A request that may not
 * be repeated goes on: its outcome is still worth recording.
 */
static void cancel_exchange(pr_exchange_t *exchange)
{
	exchange->holds++;
	pr_metric_add(exchange->router->counters.caller_gone, 1);
	exchange->caller_left = true;
	pr_upstream_call_cancel(exchange);
	if (exchange->answer_started && !exchange->answer_ended)
		pr_http_stream_end(exchange->request, false);
	else
		pr_exchange_refuse(exchange, 499, "caller_gone",
				   exchange->verdict, "the caller has left");
	exchange->answer_ended = true;
	exchange->holds--;
	pr_exchange_release(exchange);
}

void pr_exchange_check_callers(pr_router_t *router)
{
	pr_exchange_t *exchange = router->exchanges;

	while (exchange) {
		pr_exchange_t *next = exchange->next;

		if (exchange->request && exchange->call.active &&
		    !exchange->service && !pr_test_off("cancel") &&
		    pr_http_request_caller_gone(exchange->request))
			cancel_exchange(exchange);
		exchange = next;
	}
}
