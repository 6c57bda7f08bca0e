/*
 * Reason records of finished requests, for operators' questions about one
 * request id. The ring is bounded: 2,048 records of about 1 KB, 2 MB in all.
 * A record holds neither keys nor text of prompts and answers.
 */
#include <jansson.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "router/exchange.h"

#define RECORDS_MAX 2048
#define TEXT_BYTES  1024

typedef struct record_t {
	uint64_t number;
	char text[TEXT_BYTES];
} record_t;

typedef struct pr_explain_t {
	record_t records[RECORDS_MAX];
	uint64_t dropped;
} pr_explain_t;

void pr_explain_tried(pr_exchange_t *exchange, const char *outcome)
{
	pr_explain_attempts_t *tried = &exchange->tried;
	pr_explain_attempt_t *attempt;

	if (tried->count++ >= PR_EXPLAIN_ATTEMPTS)
		return;
	attempt = &tried->items[tried->count - 1];
	snprintf(attempt->upstream, sizeof(attempt->upstream), "%s",
		 exchange->call.link ? exchange->call.link->name : "");
	attempt->outcome = outcome;
	attempt->status = exchange->call.status;
}

static json_t *attempts(const pr_exchange_t *exchange)
{
	const pr_explain_attempts_t *tried = &exchange->tried;
	json_t *list = json_array();

	for (unsigned int i = 0; i < tried->count && i < PR_EXPLAIN_ATTEMPTS;
	     i++)
		json_array_append_new(
			list, json_pack("{s:s, s:s, s:i}", "upstream",
					tried->items[i].upstream, "outcome",
					tried->items[i].outcome, "status",
					tried->items[i].status));
	return list;
}

/* Why nothing was permitted. A plan that has steps also names the last reason
 * against a candidate; that is not a refusal of the request. */
static const char *refusal_of(const pr_plan_t *plan)
{
	if (plan->steps_count || plan->refused == PR_PERMITTED)
		return "";
	return pr_policy_permission_name(plan->refused);
}

static json_t *plan_of(const pr_exchange_t *exchange)
{
	pr_str_t text = PR_STR_INIT;
	json_t *plan = NULL;

	if (!exchange->service && !pr_plan_explain(&exchange->chat.plan, &text))
		plan = json_loadb(text.ptr, text.len, 0, NULL);
	pr_str_finish(&text);
	return plan ? plan : json_null();
}

static json_t *describe(pr_exchange_t *exchange)
{
	pr_usec_t now = pr_router_now(exchange->router);
	pr_usec_t first = exchange->first_byte
				  ? exchange->first_byte - exchange->arrived
				  : -1;
	const pr_plan_t *plan = &exchange->chat.plan;

	return json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:o, s:I, s:I, s:I, "
		"s:I, s:I, s:o}",
		"request", exchange->id, "workspace", exchange->workspace_name,
		"what", exchange->what, "limit", exchange->failure, "claim",
		exchange->refused_code, "refused", refusal_of(plan), "verdict",
		pr_verdict_name(exchange->verdict), "attempts",
		(int)exchange->calls, "upstreams", attempts(exchange),
		"first_token_us", (json_int_t)first, "total_us",
		(json_int_t)(now - exchange->arrived), "tokens_in",
		(json_int_t)exchange->charge.tokens_in, "tokens_out",
		(json_int_t)exchange->charge.tokens_out, "cost",
		(json_int_t)exchange->charge.price, "plan", plan_of(exchange));
}

void pr_explain_record(pr_exchange_t *exchange)
{
	pr_explain_t *explain = exchange->router->explain;
	record_t *record = &explain->records[exchange->number % RECORDS_MAX];
	json_t *root = describe(exchange);
	size_t len;

	if (json_object_size(json_object_get(root, "plan")) == 0)
		json_object_del(root, "plan");
	len = root ? json_dumpb(root, record->text, TEXT_BYTES, JSON_COMPACT)
		   : 0;
	/* A plan of many steps is left out when the record is too long. */
	if (len > TEXT_BYTES) {
		json_object_del(root, "plan");
		len = json_dumpb(root, record->text, TEXT_BYTES, JSON_COMPACT);
	}
	json_decref(root);
	record->number = 0;
	if (!len || len >= TEXT_BYTES) {
		explain->dropped++;
		return;
	}
	record->text[len] = '\0';
	record->number = exchange->number;
}

const char *pr_explain_find(const pr_router_t *router, pr_slice_t request)
{
	const char *end = request.ptr + request.len;
	char expected[PR_ID_BYTES];
	const record_t *record;
	uint64_t number = 0;
	uint64_t scale = 1;

	while (end > request.ptr && end[-1] >= '0' && end[-1] <= '9') {
		number += scale * (uint64_t)(*--end - '0');
		scale *= 10;
	}
	record = &router->explain->records[number % RECORDS_MAX];
	snprintf(expected, sizeof(expected), "%s-%s-%llu",
		 router->settings->host, router->boot,
		 (unsigned long long)number);
	if (!number || record->number != number ||
	    !pr_slice_equal(request, pr_slice_of(expected)))
		return NULL;
	return record->text;
}

static int init(pr_router_t *router)
{
	router->explain = calloc(1, sizeof(*router->explain));
	if (!router->explain)
		return pr_error_set(PR_ENOMEM, "no memory for reason records");
	return 0;
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	pr_str_appendf(out, "pr_explain_dropped_total %llu\n",
		       (unsigned long long)router->explain->dropped);
}

static void finish(pr_router_t *router)
{
	free(router->explain);
	router->explain = NULL;
}

const pr_task_ops_t pr_explain_task = {
	.name = "explain",
	.init = init,
	.metrics = print_metrics,
	.finish = finish,
};
