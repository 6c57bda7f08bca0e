/* Model requests: the request's fields and the steps of its plan. */
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "router/live.h"
#include "router/chat.h"

/* Rough number of prompt bytes in a token, for expected prices. */
#define BYTES_PER_TOKEN    4
#define TOKENS_OUT_DEFAULT 256
#define PREFIX_BLOCK_BYTES 64
#define PREFIX_BYTES_MAX   ((size_t)PR_BALANCE_BLOCKS_MAX * PREFIX_BLOCK_BYTES)
#define DEFAULT_CLASS      "chat"

static void copy_header(char *out, size_t size, const pr_exchange_t *exchange,
			const char *name, const char *fallback)
{
	pr_slice_t value = pr_http_request_header(exchange->request, name);

	if (!value.len || pr_slice_copy(out, size, value))
		snprintf(out, size, "%s", fallback);
}

/* The leading part of the prompt as engines join it. */
static void join_prompt(pr_str_t *out, const json_t *messages)
{
	const json_t *message;
	size_t i;

	json_array_foreach(messages, i, message)
	{
		const char *role =
			json_string_value(json_object_get(message, "role"));
		const char *content =
			json_string_value(json_object_get(message, "content"));

		if (!role || !content || out->len >= PREFIX_BYTES_MAX)
			break;
		if (pr_str_appendf(out, "%s: ", role) ||
		    pr_str_append(out, content,
				  strnlen(content, PREFIX_BYTES_MAX)) ||
		    pr_str_append(out, "\n", 1))
			break;
	}
}

/* Hashes of the leading prompt blocks, each over all blocks before it, the
 * first over "model@version". Cache events name blocks by the same hashes. */
static void hash_prefix(pr_exchange_t *exchange)
{
	pr_balance_query_t *query = &exchange->query;
	uint64_t hash = pr_hash64(exchange->what, strlen(exchange->what), 0);
	pr_str_t text = PR_STR_INIT;

	join_prompt(&text, json_object_get(exchange->chat.body, "messages"));
	query->blocks_count = 0;
	for (size_t at = 0; at + PREFIX_BLOCK_BYTES <= text.len &&
			    query->blocks_count < PR_BALANCE_BLOCKS_MAX;
	     at += PREFIX_BLOCK_BYTES) {
		hash = pr_hash64(text.ptr + at, PREFIX_BLOCK_BYTES, hash);
		query->blocks[query->blocks_count++] = hash;
	}
	pr_str_finish(&text);
}

static void read_fields(pr_exchange_t *exchange)
{
	pr_chat_t *chat = &exchange->chat;
	json_int_t limit =
		json_integer_value(json_object_get(chat->body, "max_tokens"));
	char priority[PR_CLASS_BYTES];

	pr_slice_copy(chat->model, sizeof(chat->model),
		      pr_slice_of(json_string_value(
			      json_object_get(chat->body, "model"))));
	copy_header(chat->request_class, sizeof(chat->request_class), exchange,
		    "x-request-class", DEFAULT_CLASS);
	copy_header(priority, sizeof(priority), exchange, "x-priority",
		    "interactive");
	chat->interactive = strcmp(priority, "batch") != 0;
	exchange->priority =
		chat->interactive ? PR_ADMIT_INTERACTIVE : PR_ADMIT_BATCH;
	chat->stream = json_is_true(json_object_get(chat->body, "stream"));
	chat->tokens_in =
		(uint32_t)(exchange->request->body.len / BYTES_PER_TOKEN);
	chat->tokens_out = limit > 0 && limit < UINT32_MAX ? (uint32_t)limit
							   : TOKENS_OUT_DEFAULT;
	exchange->tokens_expected = chat->tokens_in + chat->tokens_out;
}

const pr_plan_step_t *pr_chat_step(const pr_exchange_t *exchange)
{
	return &exchange->chat.plan.steps[exchange->chat.step];
}

/* The body for the upstream names the exact version; a resume also says from
 * which token on. */
static int build_body(pr_exchange_t *exchange)
{
	pr_chat_t *chat = &exchange->chat;
	char *text;
	int rc = PR_ENOMEM;

	pr_str_clear(&exchange->upstream_body);
	hash_prefix(exchange);
	json_object_set_new(chat->body, "model", json_string(exchange->what));
	if (chat->resume)
		json_object_set_new(
			chat->body, "from",
			json_integer((json_int_t)chat->events.tokens));
	text = json_dumps(chat->body, JSON_COMPACT);
	if (text)
		rc = pr_str_append(&exchange->upstream_body, text,
				   strlen(text));
	free(text);
	snprintf(exchange->upstream_path, sizeof(exchange->upstream_path), "%s",
		 chat->resume ? "/v1/resume" : "/v1/chat/completions");
	return rc;
}

/* The configuration may have changed since the plan was made. */
static bool still_permitted(pr_exchange_t *exchange)
{
	pr_dispatch_decision_t decision = {
		.action = exchange->answer_started ? PR_DISPATCH_BREAK
						   : PR_DISPATCH_REFUSE,
		.status = 503,
		.code = "version_withdrawn",
		.verdict = exchange->verdict,
	};

	if (pr_versions_permitted(exchange))
		return true;
	if (!exchange->answer_started && !pr_versions_plan(exchange)) {
		exchange->chat.step = 0;
		snprintf(exchange->what, sizeof(exchange->what), "%s@%s",
			 pr_chat_step(exchange)->model->name,
			 pr_chat_step(exchange)->version->name);
		if (pr_versions_permitted(exchange))
			return true;
	}
	pr_exchange_act(exchange, &decision);
	return false;
}

void pr_chat_attempt(pr_exchange_t *exchange)
{
	if (!exchange->request || !still_permitted(exchange))
		return;
	if (build_body(exchange)) {
		pr_exchange_refuse(exchange, 503, "host_busy",
				   exchange->verdict, "out of memory");
		return;
	}
	pr_exchange_try(exchange);
}

void pr_chat_start_step(pr_exchange_t *exchange, unsigned int step)
{
	pr_router_t *router = exchange->router;
	pr_dispatch_options_t options = PR_DISPATCH_OPTIONS_INIT;

	exchange->chat.step = step;
	exchange->chat.resume = false;
	exchange->query.tried_count = 0;
	snprintf(exchange->what, sizeof(exchange->what), "%s@%s",
		 pr_chat_step(exchange)->model->name,
		 pr_chat_step(exchange)->version->name);
	options.idempotent = true;
	options.stream = exchange->chat.stream;
	options.deadline =
		exchange->arrived +
		(pr_usec_t)router->settings->limits.answer_timeout_ms *
			PR_USEC_PER_MSEC;
	pr_dispatch_init(&exchange->dispatch, &options,
			 pr_admission_budget(exchange));
	pr_chat_attempt(exchange);
}

static bool is_chat_body(const json_t *body)
{
	return json_is_object(body) &&
	       json_is_string(json_object_get(body, "model")) &&
	       json_is_array(json_object_get(body, "messages"));
}

static void refuse_plan(pr_exchange_t *exchange)
{
	const pr_plan_t *plan = &exchange->chat.plan;

	if (plan->refused == PR_FORBIDDEN_MODEL ||
	    plan->refused == PR_FORBIDDEN_UNKNOWN ||
	    plan->refused == PR_FORBIDDEN_WORKSPACE)
		pr_exchange_refuse(exchange, 403, "model_not_allowed",
				   PR_VERDICT_NOT_RUN,
				   "the workspace may not use this model");
	else
		pr_exchange_refuse(exchange, 503, "no_version",
				   PR_VERDICT_NOT_RUN,
				   "no version of the model is in service");
}

static void plan_and_start(pr_exchange_t *exchange)
{
	pr_chat_t *chat = &exchange->chat;

	if (pr_versions_plan(exchange)) {
		refuse_plan(exchange);
		return;
	}
	if (pr_admission_begin(exchange))
		return;
	pr_stream_init(&chat->events);
	chat->events_open = true;
	pr_chat_start_step(exchange, 0);
}

void pr_chat_begin(pr_exchange_t *exchange)
{
	pr_chat_t *chat = &exchange->chat;
	pr_slice_t body = exchange->request->body;

	exchange->ops = &pr_chat_ops;
	chat->body = json_loadb(body.ptr, body.len, 0, NULL);
	if (!is_chat_body(chat->body)) {
		pr_exchange_refuse(exchange, 400,
				   chat->body ? "bad_request" : "bad_json",
				   PR_VERDICT_NOT_RUN,
				   "the body must be a JSON object with model "
				   "and messages");
		return;
	}
	read_fields(exchange);
	pr_sessions_find(exchange, pr_versions_session_name(exchange),
			 plan_and_start);
}
