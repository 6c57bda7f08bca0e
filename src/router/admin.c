/* Metrics, health and operators' requests. */
#include "router/exchange.h"

static void answer_metrics(pr_router_t *router, pr_http_request_t *request)
{
	pr_str_t text = PR_STR_INIT;

	pr_metrics_print(&router->metrics, &text);
	pr_str_appendf(&text, "pr_requests_in_work %u\n",
		       router->exchange_count);
	pr_str_appendf(&text, "pr_config_version %llu\n",
		       router->fleet
			       ? (unsigned long long)router->fleet->version
			       : 0ULL);
	pr_http_answer(request, 200, "text/plain; version=0.0.4",
		       pr_str_slice(&text));
	pr_str_finish(&text);
}

void pr_admin_on_request(pr_http_request_t *request, void *data)
{
	pr_router_t *router = data;

	if (pr_slice_equal(request->path, PR_SLICE("/metrics")))
		answer_metrics(router, request);
	else if (pr_slice_equal(request->path, PR_SLICE("/healthz")))
		pr_http_answer(request, 200, "text/plain", PR_SLICE("ok\n"));
	else if (pr_slice_equal(request->path, PR_SLICE("/readyz")))
		pr_http_answer(request, pr_router_ready(router) ? 200 : 503,
			       "text/plain",
			       pr_router_ready(router)
				       ? PR_SLICE("ready\n")
				       : PR_SLICE("not ready\n"));
	else
		pr_refuse(request, 404, "unknown_path", PR_VERDICT_NOT_RUN,
			  "no such path");
}
