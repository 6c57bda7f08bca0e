/* Upstream addresses and their connection pools. */
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/log.h"
#include "router/router.h"

/* Idle connections kept to one upstream. */
#define CONNECTIONS_MAX 256
/* Size of the tables; more upstreams only make them slower. */
#define UPSTREAMS_EXPECTED 1024

static uint64_t key_of(const char *name)
{
	return pr_hash64(name, strlen(name), 0);
}

pr_upstream_link_t *pr_upstreams_find(pr_router_t *router, const char *name)
{
	pr_index_node_t *node = pr_index_find(&router->upstreams, key_of(name));

	for (; node; node = pr_index_same(node)) {
		pr_upstream_link_t *link =
			PR_OWNER(node, pr_upstream_link_t, node);

		if (!strcmp(link->name, name))
			return link;
	}
	return NULL;
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
	pr_index_add(&router->upstreams, &link->node, key_of(link->name));
	return 0;
}

/*
 * A link whose upstream moved to another address is kept until the process
 * ends, since calls may still use its pool.
 */
static void retire_link(pr_router_t *router, pr_upstream_link_t *link)
{
	pr_index_remove(&router->upstreams, &link->node);
	pr_index_add(&router->retired, &link->node, key_of(link->name));
}

static void update_links(pr_router_t *router)
{
	const pr_fleet_t *fleet = router->fleet->fleet;

	for (unsigned int i = 0; i < fleet->upstreams_count; i++) {
		const pr_upstream_t *upstream = &fleet->upstreams[i];
		pr_upstream_link_t *link =
			pr_upstreams_find(router, upstream->name);

		if (link && (strcmp(link->address, upstream->address) != 0 ||
			     link->port != upstream->port)) {
			retire_link(router, link);
			link = NULL;
		}
		if (!link && add_link(router, upstream))
			pr_log(PR_LOG_ERR, "upstream %s: %s", upstream->name,
			       pr_error_last());
	}
}

static void free_links(pr_index_t *links)
{
	pr_index_node_t *node;

	while ((node = pr_index_any(links))) {
		pr_upstream_link_t *link =
			PR_OWNER(node, pr_upstream_link_t, node);

		pr_index_remove(links, node);
		pr_http_target_close(link->target);
		free(link->name);
		free(link->address);
		free(link);
	}
	pr_index_finish(links);
}

static int init_links(pr_router_t *router)
{
	int rc = pr_index_init(&router->upstreams, UPSTREAMS_EXPECTED);

	return rc ? rc : pr_index_init(&router->retired, UPSTREAMS_EXPECTED);
}

static void finish_links(pr_router_t *router)
{
	free_links(&router->upstreams);
	free_links(&router->retired);
}

const pr_task_ops_t pr_upstreams_task = {
	.name = "upstreams",
	.init = init_links,
	.fleet_changed = update_links,
	.finish = finish_links,
};
