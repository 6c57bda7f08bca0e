/* Model requests: choice of the version, attempts, answer. */
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "router/exchange.h"

/* A request that the upstream provably did not run, or that is idempotent,
 * goes to at most this many upstreams. */
#define ATTEMPTS_MAX 3

static void start_attempt(pr_exchange_t *exchange);

static const pr_version_t *choose_version(const pr_model_t *model)
{
	for (unsigned int i = 0; i < model->versions_count; i++)
		if (model->versions[i].state == PR_VERSION_PROVEN)
			return &model->versions[i];
	return NULL;
}

static void add_answer_headers(pr_exchange_t *exchange)
{
	pr_http_answer_header(exchange->request, "x-request-id",
			      pr_slice_of(exchange->id));
	pr_http_answer_header(exchange->request, "x-model-version",
			      pr_slice_of(exchange->model_version));
}

static void on_head(pr_exchange_t *exchange)
{
	if (exchange->attempt.status != 200 || !exchange->stream ||
	    !exchange->attempt.id_matches || !exchange->request)
		return;
	pr_histogram_record(
		exchange->router->counters.first_token_us,
		(double)(pr_router_now(exchange->router) - exchange->arrived));
	add_answer_headers(exchange);
	exchange->answer_started = true;
	pr_http_stream_start(exchange->request, 200, "text/event-stream");
}

static void on_body(pr_exchange_t *exchange, pr_slice_t bytes)
{
	const pr_limit_settings_t *limits = &exchange->router->settings->limits;

	if (exchange->answer_started && exchange->request) {
		pr_http_stream_write(exchange->request, bytes);
		if (pr_http_stream_pending(exchange->request) >
		    limits->buffer_bytes)
			pr_http_call_pause(&exchange->attempt.call, true);
		return;
	}
	if (exchange->attempt.body.len + bytes.len <= limits->answer_bytes)
		pr_str_append(&exchange->attempt.body, bytes.ptr, bytes.len);
}

static void retry_or_refuse(pr_exchange_t *exchange, const char *code,
			    const char *message)
{
	if (exchange->attempts < ATTEMPTS_MAX) {
		pr_metric_add(exchange->router->counters.retries, 1);
		start_attempt(exchange);
		return;
	}
	pr_exchange_refuse(exchange, 502, code, exchange->verdict, message);
}

static void end_stream(pr_exchange_t *exchange, pr_attempt_stage_t stage)
{
	bool complete = stage == PR_STAGE_DONE;

	if (!complete)
		pr_exchange_broken(exchange, "upstream_broke_stream");
	exchange->answer_ended = true;
	if (exchange->request)
		pr_http_stream_end(exchange->request, complete);
}

static void on_done(pr_exchange_t *exchange, pr_attempt_stage_t stage,
		    const char *error)
{
	if (!exchange->request)
		return;
	if (exchange->answer_started) {
		end_stream(exchange, stage);
		return;
	}
	if (stage != PR_STAGE_DONE) {
		retry_or_refuse(exchange, "upstream_failed",
				"the upstream broke the connection");
		return;
	}
	if (exchange->attempt.status != 200 || !exchange->attempt.id_matches) {
		if (!exchange->attempt.refused)
			exchange->verdict = pr_verdict_join(
				exchange->verdict, PR_VERDICT_MAY_HAVE_RUN);
		retry_or_refuse(exchange, "upstream_error",
				"the upstream answered with an error");
		return;
	}
	add_answer_headers(exchange);
	exchange->answer_started = true;
	exchange->answer_ended = true;
	pr_http_answer(exchange->request, 200, "application/json",
		       pr_str_slice(&exchange->attempt.body));
}

static const pr_exchange_ops_t chat_ops = { on_head, on_body, on_done };

static void start_attempt(pr_exchange_t *exchange)
{
	int rc =
		pr_attempt_start(exchange, pr_slice_of(exchange->model_version),
				 "POST", PR_SLICE("/v1/chat/completions"),
				 pr_str_slice(&exchange->upstream_body));

	if (rc)
		pr_exchange_refuse(exchange, 503, "no_capacity",
				   exchange->verdict,
				   "no upstream can take the request");
}

static int rewrite_body(pr_exchange_t *exchange, json_t *root)
{
	char *text;
	int rc = PR_ENOMEM;

	if (json_object_set_new(root, "model",
				json_string(exchange->model_version)))
		return rc;
	text = json_dumps(root, JSON_COMPACT);
	if (text)
		rc = pr_str_append(&exchange->upstream_body, text,
				   strlen(text));
	free(text);
	return rc;
}

/* Fills model, version and body. @return 0 or an error that was answered */
static int select_version(pr_exchange_t *exchange, json_t *root)
{
	const pr_fleet_t *fleet = exchange->fleet->fleet;
	const char *name = json_string_value(json_object_get(root, "model"));

	if (!name || !json_is_array(json_object_get(root, "messages"))) {
		pr_exchange_refuse(exchange, 400, "bad_request",
				   PR_VERDICT_NOT_RUN,
				   "the body needs model and messages");
		return PR_EINVALID;
	}
	if (!pr_fleet_model_allowed(fleet,
				    pr_slice_of(exchange->workspace->name),
				    pr_slice_of(name))) {
		pr_exchange_refuse(exchange, 403, "model_not_allowed",
				   PR_VERDICT_NOT_RUN,
				   "the workspace may not use this model");
		return PR_EDENIED;
	}
	exchange->model = pr_fleet_model(fleet, pr_slice_of(name));
	exchange->version = choose_version(exchange->model);
	if (!exchange->version) {
		pr_exchange_refuse(exchange, 503, "no_version",
				   PR_VERDICT_NOT_RUN,
				   "no version of the model is in service");
		return PR_EUNAVAILABLE;
	}
	snprintf(exchange->model_version, sizeof(exchange->model_version),
		 "%s@%s", exchange->model->name, exchange->version->name);
	exchange->stream = json_is_true(json_object_get(root, "stream"));
	return rewrite_body(exchange, root);
}

void pr_chat_begin(pr_exchange_t *exchange)
{
	pr_slice_t body = exchange->request->body;
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);

	exchange->ops = &chat_ops;
	exchange->repeatable = true;
	if (!json_is_object(root))
		pr_exchange_refuse(exchange, 400, "bad_json",
				   PR_VERDICT_NOT_RUN,
				   "the body is not a JSON object");
	else if (!select_version(exchange, root))
		start_attempt(exchange);
	json_decref(root);
}
