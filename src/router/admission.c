/* Admission: workspace keys, limits and the retry budgets of workspaces. */
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/log.h"
#include "router/exchange.h"
#include "router/test_off.h"

/* Retries that a workspace has before its first requests have paid for any:
 * without them the first request that meets a dead upstream would fail. */
#define RETRY_RESERVE 10
/* Size of the table of budgets; more workspaces only make it slower. */
#define WORKSPACES_EXPECTED 256

/** Retry budget of one workspace; kept over changes of the configuration. */
typedef struct pr_budget_entry_t {
	pr_index_node_t node;
	char *workspace;
	pr_retry_budget_t budget;
} pr_budget_entry_t;

const pr_workspace_t *pr_admission_workspace(pr_router_t *router,
					     const pr_http_request_t *request)
{
	pr_slice_t header = pr_http_request_header(request, "authorization");
	int index;

	if (!header.ptr)
		return NULL;
	index = pr_admit_authenticate(&router->admit, header);
	if (index < 0)
		return NULL;
	return pr_fleet_workspace(
		router->fleet->fleet,
		pr_slice_of(router->admit.workspaces[index].name));
}

/* Indexes change with the configuration, so they are looked up by name. */
static int index_of(const pr_exchange_t *exchange)
{
	return pr_admit_find(&exchange->router->admit,
			     pr_slice_of(exchange->workspace_name));
}

int pr_admission_begin(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	pr_admit_decision_t decision;
	int index = index_of(exchange);

	if (index < 0) {
		pr_exchange_refuse(exchange, 401, "bad_key", PR_VERDICT_NOT_RUN,
				   "the workspace was removed");
		return PR_EDENIED;
	}
	pr_admit_decide(&router->admit, &decision, (unsigned int)index,
			exchange->priority, exchange->tokens_expected,
			pr_router_now(router));
	if (decision.admitted) {
		exchange->admitted = true;
		return 0;
	}
	exchange->retry_after = decision.retry_after;
	pr_exchange_refuse(exchange, decision.status, decision.code,
			   PR_VERDICT_NOT_RUN, decision.reason);
	return PR_EDENIED;
}

void pr_admission_end(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	pr_usec_t now = pr_router_now(router);
	int index = index_of(exchange);
	pr_admit_end_t end = {
		.priority = exchange->priority,
		.tokens_expected = exchange->tokens_expected,
		.tokens = (uint32_t)(exchange->charge.tokens_in +
				     exchange->charge.tokens_out),
		.first_token = exchange->first_byte ? exchange->first_byte -
							      exchange->arrived
						    : -1,
		.duration = now - exchange->arrived,
		.overloaded = !strcmp(exchange->failure, "no_capacity") ||
			      !strcmp(exchange->failure, "deadline_exceeded"),
	};

	if (!exchange->admitted || index < 0)
		return;
	exchange->admitted = false;
	pr_admit_end(&router->admit, (unsigned int)index, &end, now);
}

static pr_budget_entry_t *find_budget(const pr_router_t *router,
				      const char *workspace)
{
	uint64_t key = pr_hash64(workspace, strlen(workspace), 0);
	pr_index_node_t *node = pr_index_find(&router->budgets, key);

	for (; node; node = pr_index_same(node)) {
		pr_budget_entry_t *entry =
			PR_OWNER(node, pr_budget_entry_t, node);

		if (!strcmp(entry->workspace, workspace))
			return entry;
	}
	return NULL;
}

pr_retry_budget_t *pr_admission_budget(pr_exchange_t *exchange)
{
	pr_budget_entry_t *entry =
		find_budget(exchange->router, exchange->workspace_name);

	return entry ? &entry->budget : NULL;
}

static void add_budget(pr_router_t *router, const char *workspace)
{
	pr_budget_entry_t *entry;

	if (find_budget(router, workspace))
		return;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return;
	entry->workspace = strdup(workspace);
	pr_retry_budget_init(&entry->budget);
	entry->budget.tokens = RETRY_RESERVE;
	entry->budget.enabled = !pr_test_off("retry-budget");
	pr_index_add(&router->budgets, &entry->node,
		     pr_hash64(workspace, strlen(workspace), 0));
}

static int init(pr_router_t *router)
{
	pr_admit_options_t options = PR_ADMIT_OPTIONS_INIT;

	if (pr_index_init(&router->budgets, WORKSPACES_EXPECTED))
		return PR_ENOMEM;
	return pr_admit_init(&router->admit, &options);
}

static void fleet_changed(pr_router_t *router)
{
	const pr_fleet_t *fleet = router->fleet->fleet;

	if (pr_admit_configure(&router->admit, fleet, pr_router_now(router)))
		pr_log(PR_LOG_ERR, "limits are unchanged: %s", pr_error_last());
	for (unsigned int i = 0; i < fleet->workspaces_count; i++)
		add_budget(router, fleet->workspaces[i].name);
}

static void view_changed(pr_router_t *router)
{
	pr_admit_set_hosts(&router->admit, router->live_hosts);
}

static void finish(pr_router_t *router)
{
	pr_index_node_t *node;

	while ((node = pr_index_any(&router->budgets))) {
		pr_budget_entry_t *entry =
			PR_OWNER(node, pr_budget_entry_t, node);

		pr_index_remove(&router->budgets, node);
		free(entry->workspace);
		free(entry);
	}
	pr_index_finish(&router->budgets);
	pr_admit_finish(&router->admit);
}

const pr_task_ops_t pr_admission_task = {
	.name = "admission",
	.init = init,
	.fleet_changed = fleet_changed,
	.view_changed = view_changed,
	.finish = finish,
};
