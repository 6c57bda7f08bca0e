/* Upstream addresses and their connection pools. */
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "router/router.h"

/* Idle connections kept to one upstream. */
#define CONNECTIONS_MAX 256

pr_upstream_link_t *pr_upstreams_find(pr_router_t *router, const char *name)
{
	pr_upstream_link_t *link = router->upstreams;

	while (link && strcmp(link->name, name) != 0)
		link = link->next;
	return link;
}

static int add_link(pr_router_t *router, const pr_upstream_t *upstream)
{
	pr_upstream_link_t *link = calloc(1, sizeof(*link));
	int rc;

	if (!link)
		return pr_error_set(PR_ENOMEM, "no memory for an upstream");
	rc = pr_http_target_open(&link->target, router->client,
				 upstream->address, upstream->port,
				 CONNECTIONS_MAX);
	if (rc) {
		free(link);
		return rc;
	}
	link->name = strdup(upstream->name);
	link->address = strdup(upstream->address);
	link->port = upstream->port;
	link->next = router->upstreams;
	router->upstreams = link;
	return 0;
}

/*
 * A link whose upstream moved to another address stays until the process ends,
 * since calls may still use its pool; its name is cleared so that it is not
 * found any more.
 */
static void update_links(pr_router_t *router)
{
	const pr_fleet_t *fleet = router->fleet->fleet;

	for (unsigned int i = 0; i < fleet->upstreams_count; i++) {
		const pr_upstream_t *upstream = &fleet->upstreams[i];
		pr_upstream_link_t *link =
			pr_upstreams_find(router, upstream->name);

		if (link && (strcmp(link->address, upstream->address) != 0 ||
			     link->port != upstream->port)) {
			link->name[0] = '\0';
			link = NULL;
		}
		if (!link && add_link(router, upstream))
			pr_log(PR_LOG_ERR, "upstream %s: %s", upstream->name,
			       pr_error_last());
	}
}

static void finish_links(pr_router_t *router)
{
	while (router->upstreams) {
		pr_upstream_link_t *link = router->upstreams;

		router->upstreams = link->next;
		pr_http_target_close(link->target);
		free(link->name);
		free(link->address);
		free(link);
	}
}

const pr_task_ops_t pr_upstreams_task = {
	.name = "upstreams",
	.fleet_changed = update_links,
	.finish = finish_links,
};
