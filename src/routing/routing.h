/**
 * Routing document: routes, services and workspaces as the operator wrote them.
 *
 * A document is immutable once it is built. Requests keep a reference to the
 * one they were routed by, so that a newer version does not affect them.
 */
#ifndef PR_ROUTING_ROUTING_H
#define PR_ROUTING_ROUTING_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"

/** What may be repeated. */
typedef enum pr_call_kind_t {
	/** Idempotent: may run more than once. */
	PR_CALL_REPEATABLE,
	/** Runs at most once for each request id. */
	PR_CALL_ONCE,
	/** Server-sent events; repeatable only where the route is resumable. */
	PR_CALL_STREAM,
} pr_call_kind_t;

/** Owned list of names. */
typedef struct pr_names_t {
	char **items;
	size_t count;
} pr_names_t;

/** Part of a route's traffic that goes to a service. */
typedef struct pr_split_t {
	char *service;
	uint32_t weight;
} pr_split_t;

typedef struct pr_route_t {
	char *name;
	char *host;
	/** Begins and ends with a slash. */
	char *prefix;
	pr_call_kind_t kind;
	/** Longest time for a final answer, milliseconds; 0 for none. */
	uint32_t timeout_ms;
	/** Latency objective, milliseconds. */
	uint32_t target_ms;
	/** Longest pause between events that is on time, milliseconds. */
	uint32_t gap_ms;
	/** 0 is the most urgent. */
	uint32_t priority;
	/** Most upstreams that one request may run on. */
	uint32_t max_upstreams;
	/** No key is needed. */
	bool anonymous;
	/** Requests state their prompt's parts; cached parts matter. */
	bool affinity;
	bool resumable;
	pr_split_t *splits;
	size_t splits_count;
	/** Regions that may run its requests; empty for all. */
	pr_names_t regions;
	/** Models that may answer, smallest first; empty when not chosen. */
	pr_names_t models;
} pr_route_t;

typedef struct pr_service_t {
	char *name;
	/** Connections that one upstream accepts from all hosts together. */
	uint32_t max_connections;
	/** Length of a cold start, milliseconds. */
	uint32_t cold_ms;
	/** Requests a second that a cold upstream bears; 0 when unlimited. */
	double cold_per_s;
} pr_service_t;

typedef struct pr_workspace_t {
	char *name;
	/** Goes before the route's; PR_PRIORITY_UNSET when not stated. */
	uint32_t priority;
	pr_names_t regions;
} pr_workspace_t;

#define PR_PRIORITY_UNSET UINT32_MAX

typedef struct pr_key_t {
	char *key;
	size_t workspace;
} pr_key_t;

/** Bounds on what a caller may send. */
typedef struct pr_caller_limits_t {
	uint32_t header_bytes;
	uint32_t body_bytes;
	/** Time for a head to arrive whole, milliseconds. */
	uint32_t header_ms;
	/** Longest silence of a connection, milliseconds. */
	uint32_t idle_ms;
} pr_caller_limits_t;

typedef struct pr_routing_t {
	uint32_t refs;
	uint64_t version;
	pr_route_t *routes;
	size_t routes_count;
	pr_service_t *services;
	size_t services_count;
	pr_workspace_t *workspaces;
	size_t workspaces_count;
	/** Sorted by key. */
	pr_key_t *keys;
	size_t keys_count;
	pr_caller_limits_t limits;
} pr_routing_t;

/** @return an empty document with one reference, or NULL without memory */
pr_routing_t *pr_routing_new(void);
pr_routing_t *pr_routing_ref(pr_routing_t *routing);
/** Drop a reference; NULL is allowed. */
void pr_routing_unref(pr_routing_t *routing);
/** Call once after the keys were added. */
void pr_routing_sort_keys(pr_routing_t *routing);

/**
 * Route of a request: of the routes of the host, the one with the longest
 * prefix of the path.
 *
 * @param host without port, compared without case
 * @return NULL when no route matches
 */
const pr_route_t *pr_routing_match(const pr_routing_t *routing, pr_slice_t host,
				   pr_slice_t path);
/** @return the workspace that holds the key, or NULL */
const pr_workspace_t *pr_routing_workspace(const pr_routing_t *routing,
					   pr_slice_t key);
const pr_service_t *pr_routing_service(const pr_routing_t *routing,
				       const char *name);
/** Service of a route for a request, by its weights. */
const char *pr_route_pick_service(const pr_route_t *route, uint64_t hash);
/** An empty list allows every name. */
bool pr_names_allow(const pr_names_t *names, const char *name);
/** @return 0 or PR_ENOMEM */
int pr_names_add(pr_names_t *names, const char *name);

#endif
