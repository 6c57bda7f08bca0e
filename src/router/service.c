/* Plain services: POST /services/<service>/<operation>. */
#include "pistachiorack/error.h"
#include "router/exchange.h"

static void on_head(pr_exchange_t *exchange)
{
}

static void on_body(pr_exchange_t *exchange, pr_slice_t bytes)
{
	pr_attempt_t *attempt = &exchange->attempt;

	if (attempt->body.len + bytes.len <=
	    exchange->router->settings->limits.answer_bytes)
		pr_str_append(&attempt->body, bytes.ptr, bytes.len);
}

static void on_done(pr_exchange_t *exchange, pr_attempt_stage_t stage,
		    const char *error)
{
	if (!exchange->request)
		return;
	if (stage != PR_STAGE_DONE || !exchange->attempt.id_matches) {
		pr_exchange_refuse(exchange, 502, "upstream_failed",
				   exchange->verdict,
				   "the upstream broke the connection");
		return;
	}
	exchange->answer_started = true;
	exchange->answer_ended = true;
	pr_http_answer_header(exchange->request, "x-request-id",
			      pr_slice_of(exchange->id));
	pr_http_answer(exchange->request, exchange->attempt.status,
		       "application/json",
		       pr_str_slice(&exchange->attempt.body));
}

static const pr_exchange_ops_t service_ops = { on_head, on_body, on_done };

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

void pr_service_begin(pr_exchange_t *exchange, pr_slice_t path)
{
	exchange->ops = &service_ops;
	if (find_operation(exchange, path)) {
		pr_exchange_refuse(exchange, 404, "unknown_operation",
				   PR_VERDICT_NOT_RUN,
				   "no such service or operation");
		return;
	}
	exchange->repeatable = exchange->operation->repeatable;
	exchange->idempotency_key =
		pr_http_request_header(exchange->request, "idempotency-key");
	if (!exchange->repeatable && !exchange->idempotency_key.len) {
		pr_exchange_refuse(exchange, 400, "idempotency_key_needed",
				   PR_VERDICT_NOT_RUN,
				   "the operation needs an Idempotency-Key");
		return;
	}
	snprintf(exchange->upstream_path, sizeof(exchange->upstream_path),
		 "/%s", exchange->operation->name);
	if (pr_attempt_start(exchange, pr_slice_of(exchange->service->name),
			     "POST", pr_slice_of(exchange->upstream_path),
			     exchange->request->body))
		pr_exchange_refuse(exchange, 503, "no_capacity",
				   exchange->verdict,
				   "no upstream can take the request");
}
