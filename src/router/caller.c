/* Callers' requests: authentication and paths. */
#include <stdlib.h>

#include "pistachiorack/hash.h"
#include "router/exchange.h"

/*
 * All keys are compared, each in constant time, so that the time taken tells
 * nothing about which key came close.
 */
static const pr_workspace_t *authenticate(const pr_fleet_t *fleet,
					  const pr_http_request_t *request)
{
	pr_slice_t header = pr_http_request_header(request, "authorization");
	pr_slice_t prefix = PR_SLICE("Bearer ");
	const pr_workspace_t *found = NULL;
	char digest[PR_SHA256_HEX_SIZE];

	if (!header.ptr || !pr_slice_starts_with(header, prefix))
		return NULL;
	pr_sha256_hex(digest, pr_slice(header.ptr + prefix.len,
				       header.len - prefix.len));
	for (unsigned int i = 0; i < fleet->workspaces_count; i++) {
		const pr_workspace_t *workspace = &fleet->workspaces[i];

		for (unsigned int k = 0; k < workspace->keys_count; k++)
			if (pr_equal_constant_time(digest, workspace->keys[k],
						   PR_SHA256_HEX_SIZE - 1))
				found = workspace;
	}
	return found;
}

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
	workspace = authenticate(router->fleet->fleet, request);
	if (!workspace) {
		pr_refuse(request, 401, "bad_key", PR_VERDICT_NOT_RUN,
			  "the key is not known");
		return;
	}
	exchange = pr_exchange_open(router, request);
	if (!exchange)
		return;
	exchange->workspace = workspace;
	route(exchange);
}
