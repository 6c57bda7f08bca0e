/**
 * Routing document: routes, services and workspaces as configured by the
 * operator.
 *
 * A document is immutable once it is built. Each request keeps a reference to
 * the document by which it was routed, so that a newer version does not affect
 * it.
 */
#ifndef PR_ROUTING_ROUTING_H
#define PR_ROUTING_ROUTING_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"

/** Whether a request may run more than once. */
typedef enum pr_call_kind_t {
	/** Idempotent: may run more than once. */
	PR_CALL_REPEATABLE,
	/** Must run at most once for each request id. */
	PR_CALL_ONCE,
	/** Stream of server-sent events; may be repeated only when the route is
	 *  resumable. */
	PR_CALL_STREAM,
} pr_call_kind_t;

/** Owned list of names. */
typedef struct pr_names_t {
	char **items;
	size_t count;
} pr_names_t;

/** Weight of a service in a route's traffic split. */
typedef struct pr_split_t {
	char *service;
	uint32_t weight;
} pr_split_t;

/** Requests of one host name and path prefix, and how they are served. */
typedef struct pr_route_t {
	char *name;
	/** Host name of the requests. */
	char *host;
	/** Prefix of the path. Begins and ends with a slash. */
	char *prefix;
	pr_call_kind_t kind;
	/** Timeout of the complete response, milliseconds; 0 for none. */
	uint32_t timeout_ms;
	/** Latency objective, milliseconds. */
	uint32_t target_ms;
	/** Longest time between events of a stream that still counts as on
	 *  time, milliseconds. */
	uint32_t gap_ms;
	/** 0 is the most urgent. */
	uint32_t priority;
	/** Maximum number of upstreams that one request may be sent to. */
	uint32_t max_upstreams;
	/** Requests need no API key. */
	bool anonymous;
	/** Requests state the hashes of their prompt's parts, by which
	 * upstreams with a cached prefix are preferred. */
	bool affinity;
	/** Broken streams may be resumed on another upstream. */
	bool resumable;
	pr_split_t *splits;
	size_t splits_count;
	/** Regions whose upstreams may serve the requests; empty for all. */
	pr_names_t regions;
	/** Models from which the router picks one, smallest first; empty when
	 * it does not pick. */
	pr_names_t models;
} pr_route_t;

typedef struct pr_service_t {
	char *name;
	/** Maximum number of connections from all hosts to one upstream. */
	uint32_t max_connections;
	/** Duration of a cold start of an upstream, milliseconds. */
	uint32_t cold_ms;
	/** Requests per second that a cold upstream can take; 0 for unlimited.
	 */
	double cold_per_s;
} pr_service_t;

typedef struct pr_workspace_t {
	char *name;
	/** Overrides the route's priority; PR_PRIORITY_UNSET when not stated.
	 */
	uint32_t priority;
	/** Regions whose upstreams may serve its requests; empty for all. */
	pr_names_t regions;
} pr_workspace_t;

#define PR_PRIORITY_UNSET UINT32_MAX

/** API key of a workspace. */
typedef struct pr_key_t {
	char *key;
	/** Index in the document's workspaces. */
	uint32_t workspace;
	/** Index in the workspace's list of keys. */
	uint32_t place;
} pr_key_t;

/** Limits for callers' requests and connections. */
typedef struct pr_caller_limits_t {
	uint32_t header_bytes;
	uint32_t body_bytes;
	/** Timeout for the complete head of a request, milliseconds. */
	uint32_t header_ms;
	/** Timeout of an idle connection, milliseconds. */
	uint32_t idle_ms;
} pr_caller_limits_t;

typedef struct pr_routing_t {
	uint32_t refs;
	/** Version number that the document states. */
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

/** @return an empty document with one reference, or NULL when out of memory */
pr_routing_t *pr_routing_new(void);
pr_routing_t *pr_routing_ref(pr_routing_t *routing);
/** Drop a reference; NULL is allowed. */
void pr_routing_unref(pr_routing_t *routing);
/** Sort the keys for pr_routing_workspace(); call once after all were added. */
void pr_routing_sort_keys(pr_routing_t *routing);

/**
 * Find the route of a request: among the routes of the host name, the one with
 * the longest prefix of the path.
 *
 * @param host host name of the request without port, compared without case
 * @return NULL when no route matches
 */
const pr_route_t *pr_routing_match(const pr_routing_t *routing, pr_slice_t host,
				   pr_slice_t path);
/** @return the workspace that holds the key, or NULL */
const pr_workspace_t *pr_routing_workspace(const pr_routing_t *routing,
					   pr_slice_t key);
/** @return the service with the name, or NULL */
const pr_service_t *pr_routing_service(const pr_routing_t *routing,
				       const char *name);
/**
 * Pick the service for a request by the weights of the route.
 *
 * @param hash hash of the request
 * @return NULL when the route has no weights
 */
const char *pr_route_pick_service(const pr_route_t *route, uint64_t hash);
/** @return true when the list is empty or contains the name */
bool pr_names_allow(const pr_names_t *names, const char *name);
/** Append a copy of a name. @return 0 or PR_ENOMEM */
int pr_names_add(pr_names_t *names, const char *name);

#endif
