/* Hosts: the list of the settings, kept up to date by membership. */
#include "router/hosts.h"

#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "router/router.h"

const char *pr_hosts_owner(const pr_router_t *router, pr_slice_t key)
{
	const char *owner = router->settings->host;
	uint64_t best = 0;

	for (unsigned int i = 0; i < router->hosts.count; i++) {
		const pr_host_t *host = &router->hosts.items[i];
		uint64_t score;

		if (!host->live)
			continue;
		score = pr_rendezvous_score(key, pr_slice_of(host->name));
		if (score > best) {
			best = score;
			owner = host->name;
		}
	}
	return owner;
}

const char *pr_hosts_region(const pr_router_t *router, const char *zone)
{
	const pr_zone_t *found =
		router->fleet
			? pr_fleet_zone(router->fleet->fleet, pr_slice_of(zone))
			: NULL;

	return found ? found->region : "";
}

static void set_host(pr_host_t *host, const char *name, const char *zone,
		     const char *address, uint16_t port)
{
	snprintf(host->name, sizeof(host->name), "%s", name);
	snprintf(host->zone, sizeof(host->zone), "%s", zone);
	snprintf(host->address, sizeof(host->address), "%s", address);
	host->port = port;
	host->live = true;
}

static int init(pr_router_t *router)
{
	const pr_settings_t *settings = router->settings;
	unsigned int count = settings->peers_count + 1;

	router->hosts.items = calloc(count, sizeof(*router->hosts.items));
	if (!router->hosts.items)
		return pr_error_set(PR_ENOMEM, "no memory for hosts");
	set_host(&router->hosts.items[0], settings->host, settings->zone,
		 settings->peer.address, settings->peer.port);
	router->hosts.items[0].self = true;
	for (unsigned int i = 0; i < settings->peers_count; i++)
		set_host(&router->hosts.items[i + 1], settings->peers[i].name,
			 settings->peers[i].zone, settings->peers[i].address,
			 settings->peers[i].port);
	router->hosts.count = count;
	router->live_hosts = count;
	return 0;
}

static void finish(pr_router_t *router)
{
	free(router->hosts.items);
}

const pr_task_ops_t pr_hosts_task = {
	.name = "hosts",
	.init = init,
	.finish = finish,
};
