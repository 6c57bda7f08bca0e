/*
 * Routing document. Lookups scan all routes: a host serves tens of requests per
 * second against hundreds of routes, for which a scan is fast enough and needs
 * no index that would have to be kept consistent.
 */
#include "routing/routing.h"

#include <stdlib.h>
#include <strings.h>

#include "pistachiorack/error.h"

pr_routing_t *pr_routing_new(void)
{
	pr_routing_t *routing = calloc(1, sizeof(*routing));

	if (routing)
		routing->refs = 1;
	return routing;
}

pr_routing_t *pr_routing_ref(pr_routing_t *routing)
{
	routing->refs++;
	return routing;
}

static void names_finish(pr_names_t *names)
{
	for (size_t i = 0; i < names->count; i++)
		free(names->items[i]);
	free((void *)names->items);
}

static void route_finish(pr_route_t *route)
{
	for (size_t i = 0; i < route->splits_count; i++)
		free(route->splits[i].service);
	free(route->splits);
	free(route->name);
	free(route->host);
	free(route->prefix);
	names_finish(&route->regions);
	names_finish(&route->models);
}

void pr_routing_unref(pr_routing_t *routing)
{
	if (!routing || --routing->refs)
		return;
	for (size_t i = 0; i < routing->routes_count; i++)
		route_finish(&routing->routes[i]);
	for (size_t i = 0; i < routing->services_count; i++)
		free(routing->services[i].name);
	for (size_t i = 0; i < routing->workspaces_count; i++) {
		free(routing->workspaces[i].name);
		names_finish(&routing->workspaces[i].regions);
	}
	for (size_t i = 0; i < routing->keys_count; i++)
		free(routing->keys[i].key);
	free(routing->routes);
	free(routing->services);
	free(routing->workspaces);
	free(routing->keys);
	free(routing);
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(((const pr_key_t *)a)->key, ((const pr_key_t *)b)->key);
}

void pr_routing_sort_keys(pr_routing_t *routing)
{
	if (routing->keys_count)
		qsort(routing->keys, routing->keys_count, sizeof(pr_key_t),
		      compare_keys);
}

const pr_route_t *pr_routing_match(const pr_routing_t *routing, pr_slice_t host,
				   pr_slice_t path)
{
	const pr_route_t *best = NULL;
	size_t best_len = 0;

	for (size_t i = 0; i < routing->routes_count; i++) {
		const pr_route_t *route = &routing->routes[i];
		size_t len = strlen(route->prefix);

		if (len <= best_len || path.len < len ||
		    memcmp(path.ptr, route->prefix, len) != 0)
			continue;
		if (strlen(route->host) != host.len ||
		    strncasecmp(route->host, host.ptr, host.len) != 0)
			continue;
		best = route;
		best_len = len;
	}
	return best;
}

const pr_workspace_t *pr_routing_workspace(const pr_routing_t *routing,
					   pr_slice_t key)
{
	size_t low = 0, high = routing->keys_count;

	while (low < high) {
		size_t middle = (low + high) / 2;
		const pr_key_t *at = &routing->keys[middle];
		size_t len = strlen(at->key);
		int order =
			memcmp(at->key, key.ptr, len < key.len ? len : key.len);

		if (!order && len == key.len)
			return &routing->workspaces[at->workspace];
		if (order < 0 || (!order && len < key.len))
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

const pr_service_t *pr_routing_service(const pr_routing_t *routing,
				       const char *name)
{
	for (size_t i = 0; i < routing->services_count; i++) {
		if (!strcmp(routing->services[i].name, name))
			return &routing->services[i];
	}
	return NULL;
}

const char *pr_route_pick_service(const pr_route_t *route, uint64_t hash)
{
	uint64_t total = 0;
	uint64_t at;

	for (size_t i = 0; i < route->splits_count; i++)
		total += route->splits[i].weight;
	if (!total)
		return NULL;
	at = hash % total;
	for (size_t i = 0; i < route->splits_count; i++) {
		if (at < route->splits[i].weight)
			return route->splits[i].service;
		at -= route->splits[i].weight;
	}
	return NULL;
}

bool pr_names_allow(const pr_names_t *names, const char *name)
{
	for (size_t i = 0; i < names->count; i++) {
		if (!strcmp(names->items[i], name))
			return true;
	}
	return !names->count;
}

int pr_names_add(pr_names_t *names, const char *name)
{
	char **items = (char **)realloc((void *)names->items,
					(names->count + 1) * sizeof(char *));

	if (!items)
		return pr_error_set(PR_ENOMEM,
				    "out of memory while adding a name");
	names->items = items;
	items[names->count] = strdup(name);
	if (!items[names->count])
		return pr_error_set(PR_ENOMEM,
				    "out of memory while adding a name");
	names->count++;
	return 0;
}
