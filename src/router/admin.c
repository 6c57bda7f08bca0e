/* Metrics, health and operators' requests. */
#include <stdlib.h>

#include "pistachiorack/hash.h"
#include "router/exchange.h"

static void answer_metrics(pr_router_t *router, pr_http_request_t *request)
{
	pr_str_t text = PR_STR_INIT;

	pr_metrics_print(&router->metrics, &text);
	pr_str_appendf(&text, "pr_requests_in_work %u\n",
		       router->exchange_count);
	pr_tasks_metrics(router, &text);
	pr_http_answer(request, 200, "text/plain; version=0.0.4",
		       pr_str_slice(&text));
	pr_str_finish(&text);
}

static bool is_operator(const pr_router_t *router,
			const pr_http_request_t *request)
{
	pr_slice_t header = pr_http_request_header(request, "authorization");
	pr_slice_t prefix = PR_SLICE("Bearer ");
	char digest[PR_SHA256_HEX_SIZE];

	if (!header.ptr || !pr_slice_starts_with(header, prefix))
		return false;
	pr_sha256_hex(digest, pr_slice(header.ptr + prefix.len,
				       header.len - prefix.len));
	return pr_equal_constant_time(digest, router->settings->operator_key,
				      PR_SHA256_HEX_SIZE - 1);
}

static void answer_health(pr_router_t *router, pr_http_request_t *request)
{
	pr_http_answer(request, 200, "text/plain", PR_SLICE("ok\n"));
}

static void answer_ready(pr_router_t *router, pr_http_request_t *request)
{
	bool ready = pr_router_ready(router);

	pr_http_answer(request, ready ? 200 : 503, "text/plain",
		       ready ? PR_SLICE("ready\n") : PR_SLICE("not ready\n"));
}

static void answer_burn(pr_router_t *router, pr_http_request_t *request)
{
	pr_str_t text = PR_STR_INIT;

	pr_burn_print(&router->burn, pr_router_now(router), &text);
	pr_http_answer(request, 200, "application/json", pr_str_slice(&text));
	pr_str_finish(&text);
}

static void answer_config(pr_router_t *router, pr_http_request_t *request)
{
	pr_str_t text = PR_STR_INIT;

	pr_str_appendf(
		&text, "{\"host\":\"%s\",\"version\":%llu,\"fresh\":%s}",
		router->settings->host,
		(unsigned long long)pr_config_holder_version(&router->config),
		router->confirmed ? "true" : "false");
	pr_http_answer(request, 200, "application/json", pr_str_slice(&text));
	pr_str_finish(&text);
}

static void answer_json(pr_http_request_t *request, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	pr_http_answer(request, text ? 200 : 503, "application/json",
		       pr_slice_of(text ? text : "{}"));
	free(text);
	json_decref(root);
}

static void answer_hosts(pr_router_t *router, pr_http_request_t *request)
{
	json_t *list = json_array();
	unsigned int count = pr_member_count(router->member);

	for (unsigned int i = 0; i < count; i++) {
		const pr_member_host_t *host = pr_member_at(router->member, i);

		json_array_append_new(
			list, json_pack("{s:s, s:s, s:s}", "host", host->name,
					"zone", host->zone, "state",
					pr_member_state_name(host->state)));
	}
	answer_json(request, json_pack("{s:o}", "hosts", list));
}

static json_t *describe_upstream(pr_router_t *router, const char *name,
				 pr_usec_t now)
{
	pr_balance_upstream_t *found = pr_balance_find(&router->balance, name);
	pr_balance_status_t status;
	bool ejected;

	if (!found)
		return NULL;
	pr_balance_status(&router->balance, &status, found, now);
	ejected = status.ejected_until > now;
	return json_pack("{s:s, s:s, s:s, s:I, s:b, s:b}", "upstream",
			 status.name, "zone", status.zone, "state",
			 status.usable ? "in" : "out", "in_flight",
			 (json_int_t)status.in_flight, "cold", status.cold,
			 "ejected", ejected);
}

static void answer_upstreams(pr_router_t *router, pr_http_request_t *request)
{
	pr_usec_t now = pr_router_now(router);
	json_t *list = json_array();
	const pr_fleet_t *fleet = router->fleet ? router->fleet->fleet : NULL;

	for (unsigned int i = 0; fleet && i < fleet->upstreams_count; i++) {
		json_t *entry = describe_upstream(
			router, fleet->upstreams[i].name, now);

		if (entry)
			json_array_append_new(list, entry);
	}
	answer_json(request, json_pack("{s:o}", "upstreams", list));
}

static void answer_explain(pr_router_t *router, pr_http_request_t *request)
{
	pr_slice_t prefix = PR_SLICE("request=");
	pr_slice_t query = request->query;
	const char *text = NULL;

	if (query.len && query.ptr[0] == '?')
		query = pr_slice(query.ptr + 1, query.len - 1);
	if (pr_slice_starts_with(query, prefix))
		text = pr_explain_find(router,
				       pr_slice(query.ptr + prefix.len,
						query.len - prefix.len));
	if (text)
		pr_http_answer(request, 200, "application/json",
			       pr_slice_of(text));
	else
		pr_refuse(request, 404, "unknown_request", PR_VERDICT_NOT_RUN,
			  "this host has no record of the request");
}

/* Paths below /admin/ need the operators' key. */
static const struct {
	const char *path;
	bool operator_only;
	void (*answer)(pr_router_t *router, pr_http_request_t *request);
} paths[] = {
	{ "/metrics", false, answer_metrics },
	{ "/healthz", false, answer_health },
	{ "/readyz", false, answer_ready },
	{ "/admin/burn", true, answer_burn },
	{ "/admin/config", true, answer_config },
	{ "/admin/hosts", true, answer_hosts },
	{ "/admin/upstreams", true, answer_upstreams },
	{ "/admin/explain", true, answer_explain },
};

void pr_admin_on_request(pr_http_request_t *request, void *data)
{
	pr_router_t *router = data;

	for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		if (!pr_slice_equal(request->path, pr_slice_of(paths[i].path)))
			continue;
		if (paths[i].operator_only && !is_operator(router, request))
			pr_refuse(request, 401, "bad_key", PR_VERDICT_NOT_RUN,
				  "the operators' key is needed");
		else
			paths[i].answer(router, request);
		return;
	}
	pr_refuse(request, 404, "unknown_path", PR_VERDICT_NOT_RUN,
		  "no such path");
}
