/* One attempt on one upstream. */
#include "pistachiorack/error.h"
#include "router/exchange.h"

#define HEADERS_MAX 10

static bool was_tried(const pr_exchange_t *exchange, const char *name)
{
	for (unsigned int i = 0; i < exchange->tried_count; i++)
		if (!strcmp(exchange->tried[i], name))
			return true;
	return false;
}

static bool same_zone(const pr_exchange_t *exchange,
		      const pr_upstream_t *upstream)
{
	return !strcmp(upstream->zone, exchange->router->settings->zone);
}

/* Fewest requests in flight; the host's own zone goes first. */
static pr_upstream_link_t *choose(pr_exchange_t *exchange, pr_slice_t what)
{
	const pr_fleet_t *fleet = exchange->router->fleet->fleet;
	pr_upstream_link_t *best = NULL;
	bool best_near = false;

	for (unsigned int i = 0; i < fleet->upstreams_count; i++) {
		const pr_upstream_t *upstream = &fleet->upstreams[i];
		pr_upstream_link_t *link;
		bool near = same_zone(exchange, upstream);

		if (!pr_fleet_upstream_usable(fleet, upstream) ||
		    !pr_upstream_serves(upstream, what) ||
		    was_tried(exchange, upstream->name))
			continue;
		link = pr_upstreams_find(exchange->router, upstream->name);
		if (!link || (best && best_near && !near))
			continue;
		if (best && near == best_near &&
		    link->in_flight >= best->in_flight)
			continue;
		best = link;
		best_near = near;
	}
	return best;
}

static void end_attempt(pr_exchange_t *exchange)
{
	exchange->attempt.active = false;
	exchange->attempt.link->in_flight--;
}

static void on_head(pr_http_call_t *call, int status,
		    const pr_http_header_t *headers, size_t count)
{
	pr_exchange_t *exchange = call->data;
	pr_attempt_t *attempt = &exchange->attempt;

	attempt->status = status;
	for (size_t i = 0; i < count; i++) {
		if (pr_slice_equal(headers[i].name, PR_SLICE("x-verdict")))
			attempt->refused = pr_slice_equal(headers[i].value,
							  PR_SLICE("not_run"));
		if (pr_slice_equal(headers[i].name, PR_SLICE("x-attempt-id")))
			attempt->id_matches = pr_slice_equal(
				headers[i].value, pr_slice_of(attempt->id));
	}
	exchange->ops->head(exchange);
}

static void on_body(pr_http_call_t *call, pr_slice_t bytes)
{
	pr_exchange_t *exchange = call->data;

	exchange->ops->body(exchange, bytes);
}

static void on_done(pr_http_call_t *call, pr_attempt_stage_t stage,
		    const char *error)
{
	pr_exchange_t *exchange = call->data;

	end_attempt(exchange);
	exchange->holds++;
	if (stage != PR_STAGE_DONE)
		exchange->verdict = pr_verdict_join(
			exchange->verdict,
			pr_verdict_of_failure(stage,
					      exchange->attempt.refused));
	exchange->ops->done(exchange, stage, error);
	exchange->holds--;
	pr_exchange_release(exchange);
}

static void on_released(pr_http_call_t *call)
{
	pr_exchange_t *exchange = call->data;

	end_attempt(exchange);
	pr_exchange_release(exchange);
}

static const pr_http_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.released = on_released,
};

static size_t fill_headers(pr_exchange_t *exchange, pr_http_header_t *headers)
{
	size_t count = 0;

	headers[count++] = (pr_http_header_t){ PR_SLICE("content-type"),
					       PR_SLICE("application/json") };
	headers[count++] =
		(pr_http_header_t){ PR_SLICE("x-attempt-id"),
				    pr_slice_of(exchange->attempt.id) };
	headers[count++] =
		(pr_http_header_t){ PR_SLICE("x-workspace"),
				    pr_slice_of(exchange->workspace->name) };
	if (exchange->idempotency_key.len)
		headers[count++] =
			(pr_http_header_t){ PR_SLICE("idempotency-key"),
					    exchange->idempotency_key };
	return count;
}

int pr_attempt_start(pr_exchange_t *exchange, pr_slice_t what,
		     const char *method, pr_slice_t path, pr_slice_t body)
{
	pr_attempt_t *attempt = &exchange->attempt;
	pr_http_header_t headers[HEADERS_MAX];
	size_t count;
	int rc;

	attempt->link = choose(exchange, what);
	if (!attempt->link || exchange->tried_count >= PR_TRIED_MAX)
		return pr_error_set(PR_EUNAVAILABLE, "no usable upstream");
	exchange->tried[exchange->tried_count++] = attempt->link->name;
	snprintf(attempt->id, sizeof(attempt->id), "%.96s.%u", exchange->id,
		 ++exchange->attempts);
	attempt->refused = false;
	attempt->id_matches = false;
	attempt->status = 0;
	pr_str_clear(&attempt->body);
	count = fill_headers(exchange, headers);
	attempt->call.ops = &call_ops;
	attempt->call.data = exchange;
	attempt->active = true;
	attempt->link->in_flight++;
	pr_metric_add(exchange->router->counters.attempts, 1);
	rc = pr_http_call_start(&attempt->call, exchange->router->client,
				attempt->link->target, method, path, headers,
				count, body);
	if (rc)
		end_attempt(exchange);
	return rc;
}

void pr_attempt_cancel(pr_exchange_t *exchange)
{
	if (!exchange->attempt.active)
		return;
	if (pr_http_call_cancel(&exchange->attempt.call))
		end_attempt(exchange);
}
