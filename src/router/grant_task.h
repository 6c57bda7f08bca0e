/*
 * Leases of fleet-wide limits: resources, this host's shares of them, and the
 * two instances of the grant slice that they are leased by.
 *
 *   cold/<upstream>            requests in flight while the upstream is cold
 *   exposure/<model>@<version> requests/s, in thousandths
 *   requests/<workspace>       requests/s, in thousandths
 *   tokens/<workspace>         tokens/s
 *   in_flight/<workspace>      requests in flight
 */
#ifndef PR_ROUTER_GRANT_TASK_H
#define PR_ROUTER_GRANT_TASK_H

#include "base/index.h"

#include "pistachiorack/grant.h"
#include "pistachiorack/timer.h"

struct pr_router_t;

typedef enum pr_lease_kind_t {
	PR_LEASE_COLD,
	PR_LEASE_EXPOSURE,
	PR_LEASE_REQUESTS,
	PR_LEASE_TOKENS,
	PR_LEASE_IN_FLIGHT,
	PR_LEASE_KINDS,
} pr_lease_kind_t;

/** Amounts per second smaller than one are leased in thousandths. */
#define PR_LEASE_SCALE 1000

/** This host's share of one resource. */
typedef struct pr_lease_share_t {
	pr_index_node_t node;
	struct pr_lease_share_t *next;
	char resource[PR_GRANT_NAME_SIZE];
	pr_lease_kind_t kind;
	pr_grants_t *grants;
	pr_grant_t *grant;
	/** Counter at the last measurement, and the rate since, per second. */
	uint64_t counted;
	pr_usec_t measured;
	double rate;
	bool counting;
	/** Limit of the resource, as far as this host knows it. */
	double most;
	/** Last time that its demand was stated. */
	pr_usec_t updated;
} pr_lease_share_t;

typedef struct pr_leases_t {
	struct pr_router_t *router;
	/** Lifetime of 2 s: what harms an upstream or exposes callers. */
	pr_grants_t *fast;
	/** Lifetime of 10 s: limits of workspaces, of which there are many. */
	pr_grants_t *slow;
	/** By resource, and in a list. */
	pr_index_t index;
	pr_lease_share_t *shares;
	pr_timer_t tick;
	unsigned int live, listed;
	uint64_t bytes[PR_LEASE_KINDS];
} pr_leases_t;

/**
 * @param name upstream, "model@version" or workspace
 * @return the share, made when there is none; NULL without memory
 */
pr_lease_share_t *pr_leases_share(pr_leases_t *leases, pr_lease_kind_t kind,
				  const char *name, pr_usec_t now);
/**
 * Measure a counter.
 *
 * @return its smoothed rate per second
 */
double pr_lease_rate(pr_lease_share_t *share, uint64_t counter, pr_usec_t now);
/** State demand of one share. */
void pr_lease_demand(pr_lease_share_t *share, double wanted, uint32_t in_use,
		     pr_usec_t now);
/** @return true when the share has a lease or must keep to its floor */
bool pr_lease_holds(const pr_lease_share_t *share, pr_usec_t now);

/** State the demand of all resources and apply the amounts. */
void pr_grant_demand_update(struct pr_router_t *router, pr_usec_t now);
/** @return the limit of a resource by configuration and state */
uint32_t pr_grant_demand_limit(struct pr_router_t *router, pr_slice_t resource);

#endif
