/* Plain services: POST /services/<service>/<operation>. */
#include <ctype.h>

#include "pistachiorack/error.h"
#include "router/service.h"
#include "router/test_off.h"

#define IDEMPOTENCY_KEY_MAX 200

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

/* The upstream's answer is whole; a change stores it as its outcome first. */
static void succeed(pr_exchange_t *exchange)
{
	if (exchange->claimed)
		pr_claim_complete(exchange, PR_VERDICT_RAN,
				  exchange->call.status,
				  pr_str_slice(&exchange->call.body));
	else
		pr_billing_finish(exchange, answer);
}

/* True when the answer is whole and belongs to the call. */
static bool is_own_answer(const pr_upstream_call_t *call)
{
	return pr_test_off("answer-check") ||
	       !pr_answer_check(pr_slice_of(call->id),
				pr_slice_of(call->echoed), call->content_length,
				pr_str_slice(&call->body));
}

static void on_done(pr_exchange_t *exchange, pr_attempt_stage_t stage)
{
	pr_upstream_call_t *call = &exchange->call;
	pr_router_t *router = exchange->router;
	pr_dispatch_decision_t decision;

	if (stage != PR_STAGE_DONE || call->status >= SERVER_ERROR ||
	    !is_own_answer(call)) {
		pr_exchange_attempt_failed(
			exchange, call->status >= SERVER_ERROR &&
					  pr_call_states_not_run(call));
		return;
	}
	pr_balance_finished(&router->balance, &call->choice,
			    pr_router_now(router));
	pr_dispatch_complete_attempt(&exchange->dispatch, &decision,
				     call->number);
	exchange->verdict = PR_VERDICT_RAN;
	succeed(exchange);
}

/* The body of a refusal, as the caller gets it and as it is stored. */
static void refusal_text(pr_str_t *out, const char *code, pr_verdict_t verdict,
			 const char *message)
{
	pr_str_appendf(out,
		       "{\"error\":{\"code\":\"%s\",\"message\":\"%s\","
		       "\"verdict\":\"%s\"}}",
		       code, message, pr_verdict_name(verdict));
}

static void on_refused(pr_exchange_t *exchange,
		       const pr_dispatch_decision_t *decision)
{
	static const char message[] = "the upstream did not complete it";
	pr_str_t body = PR_STR_INIT;

	if (!exchange->claimed) {
		pr_exchange_refuse(exchange, decision->status, decision->code,
				   exchange->verdict, message);
		return;
	}
	snprintf(exchange->refused_code, sizeof(exchange->refused_code), "%s",
		 decision->code);
	refusal_text(&body, decision->code, exchange->verdict, message);
	pr_claim_complete(exchange, exchange->verdict, decision->status,
			  pr_str_slice(&body));
	pr_str_finish(&body);
}

/*
 * The caller's time is up. A change that was sent goes on for as long again,
 * so that a late answer still becomes the stored outcome of its key.
 */
static bool on_deadline(pr_exchange_t *exchange)
{
	if (!exchange->claimed || !exchange->call.active)
		return false;
	if (exchange->late) {
		pr_upstream_call_cancel(exchange);
		exchange->verdict = PR_VERDICT_MAY_HAVE_RUN;
		on_refused(exchange, &(pr_dispatch_decision_t){
					     .status = 504,
					     .code = "deadline_exceeded",
				     });
		return true;
	}
	exchange->late = true;
	pr_exchange_refuse(exchange, 504, "deadline_exceeded",
			   PR_VERDICT_MAY_HAVE_RUN,
			   "the answer did not come in time");
	return true;
}

static const pr_exchange_ops_t service_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.retry = pr_exchange_try,
	.refused = on_refused,
	.deadline = on_deadline,
};

/* Refusals by the claims slice: code for the caller and message. */
static void refuse_claim(pr_exchange_t *exchange,
			 const pr_once_result_t *result)
{
	static const struct {
		const char *code, *message;
	} texts[] = {
		[PR_ONCE_KEY_REUSED] = { "idempotency_key_reused",
					 "the key was used with another "
					 "body" },
		[PR_ONCE_CLAIMED] = { "in_progress",
				      "an earlier request with this key has no "
				      "known outcome" },
		[PR_ONCE_UNAVAILABLE] = { "claim_unavailable",
					  "the claim could not be written" },
		[PR_ONCE_DEADLINE] = { "deadline_exceeded",
				       "the deadline passed before dispatch" },
		[PR_ONCE_FULL] = { "host_busy", "too many claims are in work" },
	};

	pr_exchange_refuse(exchange, result->status, texts[result->code].code,
			   result->verdict, texts[result->code].message);
}

static void answer_outcome(pr_exchange_t *exchange)
{
	if (!exchange->request || exchange->answer_ended)
		return;
	exchange->answer_started = true;
	exchange->answer_ended = true;
	pr_http_answer_header(exchange->request, "x-request-id",
			      pr_slice_of(exchange->id));
	if (exchange->replayed)
		pr_http_answer_header(exchange->request, "x-idempotent-replay",
				      PR_SLICE("true"));
	pr_http_answer(exchange->request, exchange->outcome_status,
		       "application/json", pr_str_slice(&exchange->outcome));
}

void pr_service_finished(pr_exchange_t *exchange,
			 const pr_once_result_t *result)
{
	bool own = result->code == PR_ONCE_COMPLETED;

	if (result->code > PR_ONCE_STORED_WITHOUT_BODY) {
		refuse_claim(exchange, result);
		return;
	}
	if (own && result->verdict != PR_VERDICT_RAN) {
		pr_exchange_refuse(exchange, result->status,
				   exchange->refused_code, result->verdict,
				   "the upstream did not complete it");
		return;
	}
	exchange->replayed = !own;
	exchange->outcome_status = result->status;
	pr_str_append(&exchange->outcome, result->body.ptr, result->body.len);
	/* The attempt that ran the request is billed, not a repeated answer. */
	if (own)
		pr_billing_finish(exchange, answer_outcome);
	else
		answer_outcome(exchange);
}

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

void pr_service_dispatch(pr_exchange_t *exchange)
{
	pr_dispatch_options_t options = PR_DISPATCH_OPTIONS_INIT;

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
	pr_exchange_try(exchange);
}

/* Keys become part of a row's key, so their characters are restricted. */
static bool is_key(pr_slice_t key)
{
	if (!key.len || key.len > IDEMPOTENCY_KEY_MAX)
		return false;
	for (size_t i = 0; i < key.len; i++)
		if (!isalnum((unsigned char)key.ptr[i]) &&
		    !memchr("-_.:~", key.ptr[i], 5))
			return false;
	return true;
}

static void start(pr_exchange_t *exchange)
{
	pr_slice_t body = exchange->request->body;
	int rc;

	if (pr_str_append(&exchange->upstream_body, body.ptr, body.len)) {
		pr_exchange_refuse(exchange, 503, "host_busy",
				   PR_VERDICT_NOT_RUN, "out of memory");
		return;
	}
	if (exchange->operation->repeatable || pr_test_off("claims")) {
		pr_service_dispatch(exchange);
		return;
	}
	rc = pr_claim_start(exchange);
	if (rc)
		pr_exchange_refuse(exchange, 503, "claim_unavailable",
				   PR_VERDICT_NOT_RUN,
				   "the claim could not be started");
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
	    !is_key(exchange->idempotency_key)) {
		pr_exchange_refuse(
			exchange, 400, "idempotency_key_needed",
			PR_VERDICT_NOT_RUN,
			"the operation needs an Idempotency-Key of 1 "
			"to 200 letters, digits or -_.:~");
		return;
	}
	pr_slice_copy(exchange->key, sizeof(exchange->key),
		      exchange->idempotency_key);
	exchange->idempotency_key = pr_slice_of(exchange->key);
	if (!pr_admission_begin(exchange))
		start(exchange);
}
