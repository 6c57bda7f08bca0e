/**
 * Grants: fleet-wide limits that an owner host leases to holders in slices.
 *
 * A limit is a level: requests per second, requests in flight, or any other
 * amount whose sum over all hosts is bounded. Every host runs both sides. The
 * owner of a resource comes from the host's view of the fleet; the holder asks
 * it for the amount that its demand needs and renews before the lease ends.
 *
 * Bound. Let n be the hosts that the platform lists and L the limit. Once all
 * views have agreed for two lifetimes, the sum of the amounts that holders may
 * spend is at most L. While views disagree, the sum is at most
 * L * (m + u / n), where m is the number of hosts that take themselves for the
 * owner and u the number of hosts that no owner counts and that spend their
 * local floor L / n. With one partition into two sides that is below 2 L. The
 * excess ends two lifetimes after the views agree again. It rests on five
 * rules: a holder counts its lease from the moment it asked and ends it 1%
 * early, against clock drift; a new owner, or one that was paused, waits one
 * lifetime; an owner grants only L * live / n and raises that fraction one
 * lifetime after its view grew; an owner counts what a holder says it holds
 * until a later request replaces it; a holder that gets no answer raises its
 * spending to the floor only one lifetime after its first such request.
 *
 * Idea sources: leases after Gray and Cheriton (1989), leased slices of a
 * distributed rate limit after Raghavan et al. (2007).
 */
#ifndef PISTACHIORACK_GRANT_H
#define PISTACHIORACK_GRANT_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"
#include "pistachiorack/timer.h"

/** Classes of demand, most important first; see pr_grant_set_demand(). */
#define PR_GRANT_CLASSES 3
/** Longest resource or host name in bytes, with the terminator. */
#define PR_GRANT_NAME_SIZE 96

typedef struct pr_grants_t pr_grants_t;
typedef struct pr_grant_t pr_grant_t;

/** Effects and look-ups that the owner of a pr_grants_t supplies. */
typedef struct pr_grant_ops_t {
	/** Owner of a resource by the present view; empty when there is none */
	pr_slice_t (*owner)(void *data, pr_slice_t resource);
	/** Limit of a resource by the present configuration. */
	uint32_t (*limit)(void *data, pr_slice_t resource);
	/** Send an encoded message to a host; it may be lost. */
	void (*send)(void *data, pr_slice_t host, pr_slice_t message);
} pr_grant_ops_t;

typedef struct pr_grant_options_t {
	unsigned int version;
	/** Name of this host; copied. */
	pr_slice_t host;
	pr_usec_t lifetime;
	/** Time between two requests for a lease. */
	pr_usec_t renew_interval;
	/** Least time between two requests when the demand grows. */
	pr_usec_t renew_interval_min;
	/** Time for which an owner reserves the floor of a silent holder. */
	pr_usec_t holder_timeout;
	/** Resources owned, and holders of each, that are remembered. */
	unsigned int resources_max;
	unsigned int holders_max;
	/** Both are true; tests turn them off to show what they prevent. */
	bool new_owner_waits;
	bool scale_by_view;
} pr_grant_options_t;

#define PR_GRANT_OPTIONS_VERSION 1
#define PR_GRANT_OPTIONS_INIT                                                  \
	{                                                                      \
		.version = PR_GRANT_OPTIONS_VERSION,                           \
		.lifetime = 2 * PR_USEC_PER_SEC,                               \
		.renew_interval = 650 * PR_USEC_PER_MSEC,                      \
		.renew_interval_min = 100 * PR_USEC_PER_MSEC,                  \
		.holder_timeout = 30 * PR_USEC_PER_SEC, .resources_max = 4096, \
		.holders_max = 1024, .new_owner_waits = true,                  \
		.scale_by_view = true,                                         \
	}

/** Counters, all of this host. */
typedef struct pr_grant_stats_t {
	uint64_t requests_sent;
	uint64_t requests_granted;
	/** Requests for a resource that another host owns. */
	uint64_t not_owner;
	/** Requests answered with "wait". */
	uint64_t waits;
	/** Answers that were dropped as old or late. */
	uint64_t stale_results;
	uint64_t malformed;
	/** Pauses of this host longer than a lifetime. */
	uint64_t pauses;
} pr_grant_stats_t;

/**
 * @param out both sides of one host; free with pr_grants_close()
 * @return 0, PR_EINVALID (options) or PR_ENOMEM
 */
int pr_grants_open(pr_grants_t **out, const pr_grant_options_t *options,
		   const pr_grant_ops_t *ops, void *data, pr_usec_t now);
void pr_grants_close(pr_grants_t *grants);

/**
 * Tell a change of the view; call at each change, and once at the start.
 *
 * @param live hosts that this host takes for live, itself included
 * @param listed hosts that the platform lists
 */
void pr_grants_set_view(pr_grants_t *grants, unsigned int live,
			unsigned int listed, pr_usec_t now);
/** Send due requests and forget what has ended; call every 100 ms. */
void pr_grants_tick(pr_grants_t *grants, pr_usec_t now);
/**
 * Handle a lease or lease_result message.
 *
 * @return 0 or PR_EPARSE; a malformed message is counted and has no effect
 */
int pr_grants_receive(pr_grants_t *grants, pr_slice_t from, pr_slice_t message,
		      pr_usec_t now);
const pr_grant_stats_t *pr_grants_stats(const pr_grants_t *grants);

/**
 * Find or create this host's share of a resource.
 *
 * @return the share, valid until pr_grant_release() or pr_grants_close(); NULL
 *	   without memory or when the name is too long
 */
pr_grant_t *pr_grants_get(pr_grants_t *grants, pr_slice_t resource);
/** Return the amount to the owner and forget the share. */
void pr_grant_release(pr_grants_t *grants, pr_grant_t *grant, pr_usec_t now);
/**
 * State the demand. Within a class the owner divides in proportion to the
 * demand of the holders; a class is served before the next one.
 *
 * @param in_use amount that cannot be returned now, such as requests in flight
 */
void pr_grant_set_demand(pr_grants_t *grants, pr_grant_t *grant,
			 const uint32_t demand[PR_GRANT_CLASSES],
			 uint32_t in_use, pr_usec_t now);
/**
 * @return the amount that this host may spend at this moment: its lease, or
 *	   limit / listed hosts while the owner cannot be reached, or 0
 */
uint32_t pr_grant_amount(const pr_grants_t *grants, const pr_grant_t *grant,
			 pr_usec_t now);
/** @return end of the lease, in the past when there is none */
pr_usec_t pr_grant_expires_at(const pr_grant_t *grant);
/** @return true when the amount is the local floor, not a lease */
bool pr_grant_is_fallback(const pr_grants_t *grants, const pr_grant_t *grant,
			  pr_usec_t now);

#endif
