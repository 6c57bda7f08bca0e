/* Keeps the choice of upstreams in line with configuration and hosts. */
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "router/router.h"
#include "router/test_off.h"

static void view_changed(pr_router_t *router)
{
	const pr_host_list_t *hosts = &router->hosts;
	const char **live = calloc(hosts->count + 1, sizeof(*live));
	unsigned int count = 0;

	if (!live)
		return;
	for (unsigned int i = 0; i < hosts->count; i++)
		if (hosts->items[i].live)
			live[count++] = hosts->items[i].name;
	pr_balance_set_hosts(&router->balance, live, count,
			     pr_router_now(router));
	free(live);
}

static int init(pr_router_t *router)
{
	pr_balance_options_t options = PR_BALANCE_OPTIONS_INIT;
	int rc;

	options.ramp = !pr_test_off("ramp");
	options.host = router->settings->host;
	options.zone = router->settings->zone;
	options.use_default_share = false;
	options.ramp = !pr_test_off("ramp");
	rc = pr_balance_init(&router->balance, &options);
	if (!rc)
		view_changed(router);
	return rc;
}

static void fleet_changed(pr_router_t *router)
{
	if (pr_balance_configure(&router->balance, router->fleet->fleet,
				 pr_router_now(router)))
		pr_log(PR_LOG_ERR, "upstreams are unchanged: %s",
		       pr_error_last());
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	const pr_balance_counters_t *counters = &router->balance.counters;

	pr_str_appendf(out,
		       "pr_choices_total %llu\npr_choices_remote_total %llu\n"
		       "pr_ejections_total %llu\npr_ramps_total %llu\n"
		       "pr_link_bytes_total{direction=\"in\"} %llu\n"
		       "pr_link_bytes_total{direction=\"out\"} %llu\n"
		       "pr_cache_matches_total %llu\n",
		       (unsigned long long)counters->choices,
		       (unsigned long long)counters->choices_remote,
		       (unsigned long long)counters->ejections,
		       (unsigned long long)counters->ramps,
		       (unsigned long long)counters->link_bytes,
		       (unsigned long long)counters->link_bytes_out,
		       (unsigned long long)counters->cache_matches);
}

static void finish(pr_router_t *router)
{
	pr_balance_finish(&router->balance);
}

const pr_task_ops_t pr_balance_task = {
	.name = "balance",
	.init = init,
	.fleet_changed = fleet_changed,
	.view_changed = view_changed,
	.metrics = print_metrics,
	.finish = finish,
};
