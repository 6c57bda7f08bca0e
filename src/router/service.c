/* Plain services: POST /services/<service>/<operation>. */
#include "pistachiorack/error.h"
#include "router/exchange.h"

static void on_head(pr_exchange_t *exchange)
{
}

static void on_body(pr_exchange_t *exchange, pr_slice_t bytes)
{
	pr_upstream_call_t *call = &exchange->call;

	if (call->body.len + bytes.len <=
	    exchange->router->settings->limits.answer_bytes)
		pr_str_append(&call->body, bytes.ptr, bytes.len);
}

static void answer(pr_exchange_t *exchange)
{
	if (!exchange->request || exchange->answer_ended)
		return;
	exchange->answer_started = true;
	exchange->answer_ended = true;
	pr_http_answer_header(exchange->request, "x-request-id",
			      pr_slice_of(exchange->id));
	pr_http_answer(exchange->request, exchange->call.status,
		       "application/json", pr_str_slice(&exchange->call.body));
}

static void on_done(pr_exchange_t *exchange, pr_attempt_stage_t stage)
{
	pr_upstream_call_t *call = &exchange->call;
	pr_router_t *router = exchange->router;
	pr_dispatch_decision_t decision;

	if (stage != PR_STAGE_DONE || call->status >= 500 ||
	    pr_answer_check(pr_slice_of(call->id), pr_slice_of(call->echoed),
			    call->content_length, pr_str_slice(&call->body))) {
		pr_exchange_attempt_failed(
			exchange,
			call->status >= 500 && pr_call_states_not_run(call));
		return;
	}
	pr_balance_finished(&router->balance, &call->choice,
			    pr_router_now(router));
	pr_dispatch_done(&exchange->dispatch, &decision, call->number);
	exchange->verdict = PR_VERDICT_RAN;
	answer(exchange);
}

static const pr_exchange_ops_t service_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.retry = pr_exchange_try,
};

static int find_operation(pr_exchange_t *exchange, pr_slice_t path)
{
	const char *slash = memchr(path.ptr, '/', path.len);
	size_t name_len;

	if (!slash)
		return PR_ENOTFOUND;
	name_len = (size_t)(slash - path.ptr);
	exchange->service = pr_fleet_service(exchange->fleet->fleet,
					     pr_slice(path.ptr, name_len));
	if (!exchange->service)
		return PR_ENOTFOUND;
	exchange->operation = pr_service_operation(
		exchange->service,
		pr_slice(slash + 1, path.len - name_len - 1));
	return exchange->operation ? 0 : PR_ENOTFOUND;
}

static void start(pr_exchange_t *exchange)
{
	pr_dispatch_options_t options = PR_DISPATCH_OPTIONS_INIT;
	pr_slice_t body = exchange->request->body;

	options.idempotent = exchange->operation->repeatable;
	options.deadline =
		exchange->arrived + (pr_usec_t)exchange->router->settings
						    ->limits.answer_timeout_ms *
					    PR_USEC_PER_MSEC;
	pr_dispatch_init(&exchange->dispatch, &options,
			 pr_admission_budget(exchange));
	snprintf(exchange->what, sizeof(exchange->what), "%s",
		 exchange->service->name);
	snprintf(exchange->upstream_path, sizeof(exchange->upstream_path),
		 "/%s", exchange->operation->name);
	if (pr_str_append(&exchange->upstream_body, body.ptr, body.len))
		pr_exchange_refuse(exchange, 503, "host_busy",
				   PR_VERDICT_NOT_RUN, "out of memory");
	else
		pr_exchange_try(exchange);
}

void pr_service_begin(pr_exchange_t *exchange, pr_slice_t path)
{
	exchange->ops = &service_ops;
	if (find_operation(exchange, path)) {
		pr_exchange_refuse(exchange, 404, "unknown_operation",
				   PR_VERDICT_NOT_RUN,
				   "no such service or operation");
		return;
	}
	exchange->idempotency_key =
		pr_http_request_header(exchange->request, "idempotency-key");
	if (!exchange->operation->repeatable &&
	    !exchange->idempotency_key.len) {
		pr_exchange_refuse(exchange, 400, "idempotency_key_needed",
				   PR_VERDICT_NOT_RUN,
				   "the operation needs an Idempotency-Key");
		return;
	}
	if (!pr_admission_begin(exchange))
		start(exchange);
}
