/* Keeps the choice of upstreams in line with configuration and hosts. */
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "router/router.h"

/* Until membership says otherwise, all hosts of the settings are alive. */
static void use_settings_hosts(pr_router_t *router)
{
	const pr_settings_t *settings = router->settings;
	const char **hosts = calloc(settings->peers_count + 1, sizeof(*hosts));

	if (!hosts)
		return;
	hosts[0] = settings->host;
	for (unsigned int i = 0; i < settings->peers_count; i++)
		hosts[i + 1] = settings->peers[i].name;
	pr_balance_set_hosts(&router->balance, hosts, settings->peers_count + 1,
			     pr_router_now(router));
	free(hosts);
}

static int init(pr_router_t *router)
{
	pr_balance_options_t options = PR_BALANCE_OPTIONS_INIT;
	int rc;

	options.host = router->settings->host;
	options.zone = router->settings->zone;
	rc = pr_balance_init(&router->balance, &options);
	router->live_hosts = router->settings->peers_count + 1;
	if (!rc)
		use_settings_hosts(router);
	return rc;
}

static void fleet_changed(pr_router_t *router)
{
	if (pr_balance_load(&router->balance, router->fleet->fleet,
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
		       "pr_link_bytes_total %llu\n",
		       (unsigned long long)counters->choices,
		       (unsigned long long)counters->choices_remote,
		       (unsigned long long)counters->ejections,
		       (unsigned long long)counters->ramps,
		       (unsigned long long)counters->link_bytes);
}

static void finish(pr_router_t *router)
{
	pr_balance_finish(&router->balance);
}

const pr_task_ops_t pr_balance_task = {
	.name = "balance",
	.init = init,
	.fleet_changed = fleet_changed,
	.metrics = print_metrics,
	.finish = finish,
};
