/* One call to one upstream: headers, events, accounting with the balance. */
#include <jansson.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "router/exchange.h"

#define HEADERS_MAX  8
#define DECIMAL      10
#define NUMBER_BYTES 24

static void note_header(pr_upstream_call_t *call,
			const pr_http_header_t *header)
{
	char number[NUMBER_BYTES];

	if (pr_slice_equal(header->name, PR_SLICE("x-verdict")))
		call->refused =
			pr_slice_equal(header->value, PR_SLICE("not_run"));
	else if (pr_slice_equal(header->name, PR_SLICE("x-attempt-id")))
		pr_slice_copy(call->echoed, sizeof(call->echoed),
			      header->value);
	else if (pr_slice_equal(header->name, PR_SLICE("content-length")) &&
		 !pr_slice_copy(number, sizeof(number), header->value))
		call->content_length = strtoll(number, NULL, DECIMAL);
}

static void on_head(pr_http_call_t *http, int status,
		    const pr_http_header_t *headers, size_t count)
{
	pr_exchange_t *exchange = http->data;

	exchange->call.status = status;
	for (size_t i = 0; i < count; i++)
		note_header(&exchange->call, &headers[i]);
	pr_dispatch_set_stage(&exchange->dispatch, exchange->call.number,
			      PR_STAGE_HEAD);
	exchange->ops->head(exchange);
}

static void on_body(pr_http_call_t *http, pr_slice_t bytes)
{
	pr_exchange_t *exchange = http->data;
	pr_router_t *router = exchange->router;

	pr_balance_add_response_bytes(&router->balance, &exchange->call.choice,
				      bytes.len);
	pr_dispatch_set_stage(&exchange->dispatch, exchange->call.number,
			      PR_STAGE_BODY);
	exchange->ops->body(exchange, bytes);
}

static void on_done(pr_http_call_t *http, pr_attempt_stage_t stage,
		    const char *error)
{
	pr_exchange_t *exchange = http->data;

	exchange->call.active = false;
	exchange->holds++;
	if (stage != PR_STAGE_DONE)
		pr_dispatch_set_stage(&exchange->dispatch,
				      exchange->call.number, stage);
	pr_explain_tried(exchange,
			 stage == PR_STAGE_DONE ? "answered" : "broken");
	exchange->ops->done(exchange, stage);
	exchange->holds--;
	pr_exchange_release(exchange);
}

static void on_released(pr_http_call_t *http)
{
	pr_exchange_t *exchange = http->data;

	exchange->call.active = false;
	pr_exchange_release(exchange);
}

static const pr_http_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.released = on_released,
};

static size_t fill_headers(const pr_exchange_t *exchange,
			   pr_http_header_t *headers)
{
	bool batch = exchange->priority == PR_ADMIT_BATCH;
	size_t count = 0;

	headers[count++] = (pr_http_header_t){ PR_SLICE("content-type"),
					       PR_SLICE("application/json") };
	headers[count++] = (pr_http_header_t){ PR_SLICE("x-attempt-id"),
					       pr_slice_of(exchange->call.id) };
	headers[count++] =
		(pr_http_header_t){ PR_SLICE("x-workspace"),
				    pr_slice_of(exchange->workspace_name) };
	headers[count++] =
		(pr_http_header_t){ PR_SLICE("x-priority"),
				    batch ? PR_SLICE("batch")
					  : PR_SLICE("interactive") };
	if (exchange->idempotency_key.len)
		headers[count++] =
			(pr_http_header_t){ PR_SLICE("idempotency-key"),
					    exchange->idempotency_key };
	return count;
}

int pr_upstream_call_start(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	pr_upstream_call_t *call = &exchange->call;
	pr_http_header_t headers[HEADERS_MAX];
	size_t count;
	int rc;

	call->link = pr_upstreams_find(router,
				       pr_balance_name(call->choice.upstream));
	if (!call->link)
		return pr_error_set(PR_EUNAVAILABLE, "no link to the upstream");
	snprintf(call->id, sizeof(call->id), "%.96s.%u", exchange->id,
		 ++exchange->calls);
	call->refused = false;
	call->status = 0;
	call->echoed[0] = '\0';
	call->content_length = -1;
	pr_str_clear(&call->body);
	count = fill_headers(exchange, headers);
	call->http.ops = &call_ops;
	call->http.data = exchange;
	call->active = true;
	pr_metric_add(router->counters.attempts, 1);
	call->sent_at = pr_router_now(router);
	call->had_token = false;
	pr_balance_sent(&router->balance, &call->choice, pr_router_now(router));
	rc = pr_http_call_start(&call->http, router->client, call->link->target,
				"POST", pr_slice_of(exchange->upstream_path),
				headers, count,
				pr_str_slice(&exchange->upstream_body));
	if (!rc)
		pr_balance_add_request_bytes(&router->balance, &call->choice,
					     exchange->upstream_body.len);
	if (rc) {
		call->active = false;
		pr_balance_cancelled(&router->balance, &call->choice,
				     pr_router_now(router));
	}
	return rc;
}

void pr_upstream_call_cancel(pr_exchange_t *exchange)
{
	pr_upstream_call_t *call = &exchange->call;

	if (!call->active)
		return;
	pr_explain_tried(exchange, "cancelled");
	pr_balance_cancelled(&exchange->router->balance, &call->choice,
			     pr_router_now(exchange->router));
	if (pr_http_call_cancel(&call->http))
		call->active = false;
}

bool pr_call_states_not_run(const pr_upstream_call_t *call)
{
	json_t *root =
		json_loadb(pr_str_cstr(&call->body), call->body.len, 0, NULL);
	const char *verdict = json_string_value(
		json_object_get(json_object_get(root, "error"), "verdict"));
	bool not_run =
		call->refused || (verdict && !strcmp(verdict, "not_run"));

	json_decref(root);
	return not_run;
}
