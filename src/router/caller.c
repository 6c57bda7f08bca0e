/* Callers' requests: authentication and paths. */
#include <stdlib.h>

#include "router/exchange.h"

static void list_models(pr_exchange_t *exchange)
{
	const pr_fleet_t *fleet = exchange->fleet->fleet;
	pr_slice_t workspace = pr_slice_of(exchange->workspace->name);
	json_t *list = json_array();
	json_t *root;
	char *text;

	for (unsigned int i = 0; i < fleet->models_count; i++) {
		const char *name = fleet->models[i].name;

		if (pr_fleet_model_allowed(fleet, workspace, pr_slice_of(name)))
			json_array_append_new(
				list, json_pack("{s:s, s:s}", "id", name,
						"object", "model"));
	}
	root = json_pack("{s:s, s:o}", "object", "list", "data", list);
	text = json_dumps(root, JSON_COMPACT);
	exchange->answer_started = true;
	exchange->answer_ended = true;
	pr_http_answer(exchange->request, 200, "application/json",
		       pr_slice_of(text));
	free(text);
	json_decref(root);
}

static void route(pr_exchange_t *exchange)
{
	pr_http_request_t *request = exchange->request;
	pr_slice_t services = PR_SLICE("/services/");
	bool post = pr_slice_equal(request->method, PR_SLICE("POST"));

	if (post &&
	    pr_slice_equal(request->path, PR_SLICE("/v1/chat/completions")))
		pr_chat_begin(exchange);
	else if (!post && pr_slice_equal(request->path, PR_SLICE("/v1/models")))
		list_models(exchange);
	else if (post && pr_slice_starts_with(request->path, services))
		pr_service_begin(exchange,
				 pr_slice(request->path.ptr + services.len,
					  request->path.len - services.len));
	else
		pr_exchange_refuse(exchange, 404, "unknown_path",
				   PR_VERDICT_NOT_RUN, "no such path");
}

void pr_caller_on_request(pr_http_request_t *request, void *data)
{
	pr_router_t *router = data;
	const pr_workspace_t *workspace;
	pr_exchange_t *exchange;

	if (!router->fleet) {
		pr_refuse(request, 503, "not_ready", PR_VERDICT_NOT_RUN,
			  "this host has no configuration yet");
		return;
	}
	workspace = pr_admission_workspace(router, request);
	if (!workspace) {
		pr_refuse(request, 401, "bad_key", PR_VERDICT_NOT_RUN,
			  "the key is not known");
		return;
	}
	exchange = pr_exchange_open(router, request);
	if (!exchange)
		return;
	exchange->workspace = workspace;
	snprintf(exchange->workspace_name, sizeof(exchange->workspace_name),
		 "%s", workspace->name);
	route(exchange);
}
