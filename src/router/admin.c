/* Metrics, health and operators' requests. */
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
