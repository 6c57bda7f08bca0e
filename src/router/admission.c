/* Admission: workspace keys, limits and the retry budgets of workspaces. */
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "router/exchange.h"
#include "router/test_off.h"

/* Retries that a workspace has before its first requests have paid for any:
 * without them the first request that meets a dead upstream would fail. */
#define RETRY_RESERVE 10

/** Retry budget of one workspace; kept over changes of the configuration. */
typedef struct pr_budget_entry_t {
	UT_hash_handle hh;
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
	char retry_after[16];
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
	snprintf(retry_after, sizeof(retry_after), "%u", decision.retry_after);
	pr_http_answer_header(exchange->request, "retry-after",
			      pr_slice_of(retry_after));
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

pr_retry_budget_t *pr_admission_budget(pr_exchange_t *exchange)
{
	pr_budget_entry_t *entry;

	HASH_FIND_STR(exchange->router->budgets, exchange->workspace_name,
		      entry);
	return entry ? &entry->budget : NULL;
}

static void add_budget(pr_router_t *router, const char *workspace)
{
	pr_budget_entry_t *entry;

	HASH_FIND_STR(router->budgets, workspace, entry);
	if (entry)
		return;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return;
	entry->workspace = strdup(workspace);
	pr_retry_budget_init(&entry->budget);
	entry->budget.tokens = RETRY_RESERVE;
	entry->budget.enabled = !pr_test_off("retry-budget");
	HASH_ADD_KEYPTR(hh, router->budgets, entry->workspace,
			strlen(entry->workspace), entry);
}

static int init(pr_router_t *router)
{
	pr_admit_options_t options = PR_ADMIT_OPTIONS_INIT;

	return pr_admit_init(&router->admit, &options);
}

static void fleet_changed(pr_router_t *router)
{
	const pr_fleet_t *fleet = router->fleet->fleet;

	if (pr_admit_load(&router->admit, fleet, pr_router_now(router)))
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
	pr_budget_entry_t *entry, *next;

	HASH_ITER(hh, router->budgets, entry, next)
	{
		HASH_DEL(router->budgets, entry);
		free(entry->workspace);
		free(entry);
	}
	pr_admit_finish(&router->admit);
}

const pr_task_ops_t pr_admission_task = {
	.name = "admission",
	.init = init,
	.fleet_changed = fleet_changed,
	.view_changed = view_changed,
	.finish = finish,
};
