/*
 * Answers of models. A streamed answer is passed on event by event; its last
 * events are held until the bill is safe. A whole answer is held, so that a
 * dearer model may answer instead when it is not sufficient.
 */
#include "pistachiorack/error.h"
#include "router/chat.h"
#include "router/test_off.h"

static void start_stream(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	pr_usec_t now = pr_router_now(router);

	if (exchange->answer_started)
		return;
	exchange->first_byte = now;
	exchange->answer_started = true;
	pr_balance_first_token(&router->balance, &exchange->call.choice, now);
	pr_histogram_record(router->counters.first_token_us,
			    (double)(now - exchange->arrived));
	pr_versions_answer_headers(exchange);
	pr_http_stream_start(exchange->request, 200, "text/event-stream");
}

/* Gives the caller what is whole, but for the end of the stream. */
static void pass_events_on(pr_exchange_t *exchange)
{
	pr_chat_t *chat = &exchange->chat;

	if (!exchange->request || chat->events.done || !chat->events.out.len)
		return;
	start_stream(exchange);
	chat->last_event = pr_router_now(exchange->router);
	pr_http_stream_write(exchange->request,
			     pr_str_slice(&chat->events.out));
	pr_str_clear(&chat->events.out);
	pr_dispatch_set_delivered(&exchange->dispatch, chat->events.tokens);
	if (exchange->request &&
	    pr_http_stream_pending(exchange->request) >
		    exchange->router->settings->limits.buffer_bytes) {
		chat->caller_slow = true;
		pr_http_call_pause(&exchange->call.http, true);
	}
}

static void on_head(pr_exchange_t *exchange)
{
	pr_chat_t *chat = &exchange->chat;

	if (exchange->call.status != 200 || !chat->stream)
		return;
	pr_stream_begin_attempt(&chat->events, pr_slice_of(exchange->call.id));
	pr_stream_check_head(&chat->events, pr_slice_of(exchange->call.echoed));
}

static void note_first_token(pr_exchange_t *exchange)
{
	pr_upstream_call_t *call = &exchange->call;

	if (call->had_token || call->status != 200)
		return;
	call->had_token = true;
	pr_versions_first_token(exchange, pr_router_now(exchange->router) -
						  call->sent_at);
}

static void on_body(pr_exchange_t *exchange, pr_slice_t bytes)
{
	const pr_limit_settings_t *limits = &exchange->router->settings->limits;
	pr_chat_t *chat = &exchange->chat;

	/* A whole answer comes after all its tokens: its time depends on its
	 * length and is no measure of the first token. */
	if (chat->stream)
		note_first_token(exchange);
	if (exchange->call.status == 200 && chat->stream) {
		/* A fault of the stream is found again when the call ends. */
		if (!chat->events.invalid && !chat->events.upstream_error)
			pr_stream_feed(&chat->events, bytes);
		pass_events_on(exchange);
		return;
	}
	/* The text of a refusal is no first token; it would count as a fast
	 * answer of an upstream that fails. */
	if (!exchange->call.body.len && exchange->call.status == 200)
		pr_balance_first_token(&exchange->router->balance,
				       &exchange->call.choice,
				       pr_router_now(exchange->router));
	if (exchange->call.body.len + bytes.len <= limits->answer_bytes)
		pr_str_append(&exchange->call.body, bytes.ptr, bytes.len);
}

static void end_stream(pr_exchange_t *exchange)
{
	if (!exchange->request || exchange->answer_ended)
		return;
	start_stream(exchange);
	exchange->answer_ended = true;
	pr_http_stream_write(exchange->request,
			     pr_str_slice(&exchange->chat.events.out));
	pr_http_stream_end(exchange->request, true);
}

static void end_whole(pr_exchange_t *exchange)
{
	if (!exchange->request || exchange->answer_ended)
		return;
	pr_versions_answer_headers(exchange);
	exchange->chat.last_event = pr_router_now(exchange->router);
	exchange->answer_started = true;
	exchange->answer_ended = true;
	pr_http_answer(exchange->request, 200, "application/json",
		       pr_str_slice(&exchange->call.body));
}

/* Reads usage and confidence of a whole answer. */
static void read_answer(pr_exchange_t *exchange)
{
	pr_slice_t body = pr_str_slice(&exchange->call.body);
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	json_t *usage = json_object_get(root, "usage");
	json_t *confidence = json_object_get(root, "confidence");

	exchange->chat.confidence =
		json_is_number(confidence) ? json_number_value(confidence) : -1;
	pr_exchange_charge(exchange,
			   (uint64_t)json_integer_value(
				   json_object_get(usage, "prompt_tokens")),
			   (uint64_t)json_integer_value(json_object_get(
				   usage, "completion_tokens")));
	json_decref(root);
}

static bool escalates(const pr_exchange_t *exchange)
{
	const pr_chat_t *chat = &exchange->chat;

	return !chat->stream && chat->step + 1 < chat->plan.steps_count &&
	       !pr_policy_is_sufficient(pr_chat_step(exchange),
					chat->confidence);
}

static void answer_is_whole(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	pr_chat_t *chat = &exchange->chat;
	pr_dispatch_decision_t decision;
	bool escalate;

	pr_balance_finished(&router->balance, &exchange->call.choice,
			    pr_router_now(router));
	pr_dispatch_complete_attempt(&exchange->dispatch, &decision,
				     exchange->call.number);
	exchange->verdict = PR_VERDICT_RAN;
	if (chat->stream)
		pr_exchange_charge(exchange, chat->events.prompt_tokens,
				   chat->events.completion_tokens);
	else
		read_answer(exchange);
	escalate = escalates(exchange);
	pr_versions_answered(exchange, !escalate);
	if (escalate)
		pr_chat_start_step(exchange, chat->step + 1);
	else
		pr_billing_finish(exchange,
				  chat->stream ? end_stream : end_whole);
}

/* The upstream refuses the request itself. It is not the upstream's fault: a
 * caller that repeats such a request must not get every upstream ejected. */
static bool is_bad_request(const pr_exchange_t *exchange,
			   pr_attempt_stage_t stage)
{
	int status = exchange->call.status;

	return stage == PR_STAGE_DONE && !exchange->answer_started &&
	       (status == 400 || status == 413 || status == 422);
}

static void refuse_bad_request(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	pr_dispatch_decision_t decision;

	pr_balance_cancelled(&router->balance, &exchange->call.choice,
			     pr_router_now(router));
	pr_dispatch_complete_attempt(&exchange->dispatch, &decision,
				     exchange->call.number);
	if (!pr_call_states_not_run(&exchange->call))
		exchange->verdict = pr_verdict_join(exchange->verdict,
						    PR_VERDICT_MAY_HAVE_RUN);
	pr_exchange_refuse(exchange, exchange->call.status, "bad_request",
			   exchange->verdict,
			   "the upstream does not accept the request");
}

static void on_done(pr_exchange_t *exchange, pr_attempt_stage_t stage)
{
	pr_upstream_call_t *call = &exchange->call;
	bool whole = call->status == 200;

	if (exchange->chat.stream)
		whole = whole && pr_stream_complete(&exchange->chat.events);
	else if (whole && stage == PR_STAGE_DONE)
		whole = pr_test_off("answer-check") ||
			!pr_answer_check(pr_slice_of(call->id),
					 pr_slice_of(call->echoed),
					 call->content_length,
					 pr_str_slice(&call->body));
	else
		whole = false;
	if (whole) {
		answer_is_whole(exchange);
		return;
	}
	if (is_bad_request(exchange, stage)) {
		refuse_bad_request(exchange);
		return;
	}
	pr_versions_failed(exchange);
	pr_exchange_attempt_failed(
		exchange, stage == PR_STAGE_DONE && call->status != 200 &&
				  pr_call_states_not_run(call));
}

const pr_exchange_ops_t pr_chat_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.retry = pr_chat_attempt,
};
