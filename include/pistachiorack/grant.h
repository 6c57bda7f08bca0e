/**
 * Grants: fleet-wide limits that an owner host leases out in parts.
 *
 * A limit bounds the sum of an amount over all hosts, such as requests per
 * second or requests in flight. One host owns each resource, according to the
 * membership view (the hosts that a host considers live). Every host can be
 * the owner of some resources and a holder of others. A holder requests the
 * amount that its demand needs from the owner and renews its lease before the
 * lease expires.
 *
 * Bound. Let n be the number of hosts that the platform lists and L the limit.
 * Once all views have agreed for two lease lifetimes, the sum of the amounts
 * that holders may spend is at most L. While views disagree, the sum is at
 * most L * (m + u / n), where m is the number of hosts that consider
 * themselves the owner and u the number of hosts that no owner accounts for
 * and that spend their fallback amount L / n. With one partition into two
 * sides, the sum is below 2 L. The excess ends two lifetimes after the views
 * agree again. The bound rests on five rules:
 *
 * - A holder counts its lease from the time of its request and ends it 1%
 *   early, to allow for clock drift.
 * - A new owner, or an owner whose process was paused, waits one lifetime
 *   before it grants.
 * - An owner grants at most L * live / n in total, where live is the number of
 *   live hosts in its view. When that number grows, the owner applies the new
 *   number one lifetime later.
 * - An owner counts the amount that a holder reports to hold until a later
 *   request of this holder replaces it.
 * - A holder whose requests are not granted raises its spending to the
 *   fallback amount only one lifetime after the first of these requests.
 *
 * References: leases after Gray and Cheriton (1989); distributed rate limiting
 * by leased parts of a limit after Raghavan et al. (2007).
 */
#ifndef PISTACHIORACK_GRANT_H
#define PISTACHIORACK_GRANT_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"
#include "pistachiorack/timer.h"

/** Number of priority classes of demand; see pr_grant_set_demand(). */
#define PR_GRANT_CLASSES 3
/** Size of a resource or host name in bytes, including the terminator. */
#define PR_GRANT_NAME_SIZE 96

/** Owner and holder state of one host, for all resources. */
typedef struct pr_grants_t pr_grants_t;
/** Holder state of one host for one resource. */
typedef struct pr_grant_t pr_grant_t;

/** Callbacks that the user of a pr_grants_t supplies. */
typedef struct pr_grant_ops_t {
	/**
	 * Name of the host that owns a resource in the current membership
	 * view; empty when there is none.
	 */
	pr_slice_t (*owner)(void *data, pr_slice_t resource);
	/** Limit of a resource in the current configuration. */
	uint32_t (*limit)(void *data, pr_slice_t resource);
	/** Send an encoded message to a host; delivery is not guaranteed. */
	void (*send)(void *data, pr_slice_t host, pr_slice_t message);
} pr_grant_ops_t;

typedef struct pr_grant_options_t {
	/** PR_GRANT_OPTIONS_VERSION. */
	unsigned int version;
	/** Name of this host; copied. */
	pr_slice_t host;
	/** Lifetime of a lease; at least twice renew_interval. */
	pr_usec_t lifetime;
	/** Time between two requests for the same resource. */
	pr_usec_t renew_interval;
	/**
	 * Minimum time between two requests for the same resource when its
	 * demand grows.
	 */
	pr_usec_t renew_interval_min;
	/**
	 * Time after the end of its lease for which an owner reserves the
	 * fallback amount of a holder that sends no requests.
	 */
	pr_usec_t holder_timeout;
	/** Maximum number of resources that this host keeps as their owner. */
	unsigned int resources_max;
	/** Maximum number of holders of each owned resource. */
	unsigned int holders_max;
	/**
	 * A new owner, or one whose process was paused, waits one lifetime
	 * before it grants, and a growth of the number of live hosts is applied
	 * one lifetime later. Always true outside tests; tests disable it to
	 * show the excess that it prevents.
	 */
	bool new_owner_waits;
	/**
	 * Scale limits by live hosts / listed hosts. Always true outside
	 * tests, like new_owner_waits.
	 */
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

/** Counters of this host since pr_grants_open(). */
typedef struct pr_grant_stats_t {
	/**
	 * As a holder: requests for a lease, including requests that were due
	 * while no host owned the resource.
	 */
	uint64_t requests_sent;
	/** As an owner: requests answered with an amount, which may be 0. */
	uint64_t requests_granted;
	/**
	 * Requests answered with "not owner": another host owns the resource,
	 * or this host cannot keep one more resource or holder.
	 */
	uint64_t not_owner;
	/** As an owner: requests answered with "wait". */
	uint64_t waits;
	/**
	 * As a holder: results dropped because they belong to no grant or not
	 * to its last request, or because the lease has already expired.
	 */
	uint64_t stale_results;
	/** Received messages that could not be decoded. */
	uint64_t malformed;
	/** Pauses of this process longer than a lifetime. */
	uint64_t pauses;
} pr_grant_stats_t;

/**
 * Create the owner and holder state of this host.
 *
 * @param out the new state; free with pr_grants_close()
 * @param ops callbacks; must stay valid until pr_grants_close()
 * @param data passed to the callbacks
 * @return 0, PR_EINVALID (options are not valid) or PR_ENOMEM
 */
int pr_grants_open(pr_grants_t **out, const pr_grant_options_t *options,
		   const pr_grant_ops_t *ops, void *data, pr_usec_t now);
/** Free the state with all its grants; NULL is allowed. */
void pr_grants_close(pr_grants_t *grants);

/**
 * Update the membership view. Call at each change, and once at the start.
 *
 * @param live number of hosts that this host considers live, including itself
 * @param listed number of hosts that the platform lists
 */
void pr_grants_set_view(pr_grants_t *grants, unsigned int live,
			unsigned int listed, pr_usec_t now);
/**
 * Send due requests and remove expired holders and resources of which this
 * host is no longer the owner. Call every 100 ms.
 */
void pr_grants_tick(pr_grants_t *grants, pr_usec_t now);
/**
 * Handle a lease or lease_result message.
 *
 * @param from name of the host that sent the message
 * @param message the encoded message; may come from an untrusted sender
 * @return 0, or PR_EPARSE for a malformed message, which is counted and has no
 *	   other effect
 */
int pr_grants_receive(pr_grants_t *grants, pr_slice_t from, pr_slice_t message,
		      pr_usec_t now);
const pr_grant_stats_t *pr_grants_stats(const pr_grants_t *grants);

/**
 * Find or create this host's grant for a resource.
 *
 * @return the grant, valid until pr_grant_release() or pr_grants_close(); NULL
 *	   when memory is exhausted or the name is empty or too long
 */
pr_grant_t *pr_grants_get(pr_grants_t *grants, pr_slice_t resource);
/** Send a last request that returns the amount to the owner; free the grant. */
void pr_grant_release(pr_grants_t *grants, pr_grant_t *grant, pr_usec_t now);
/**
 * Set the demand of this host for a resource. The owner serves a class before
 * the next one; within a class, it divides the limit in proportion to the
 * demand of the holders. Sends a request early if the demand has grown.
 *
 * @param demand demand by class, most important class first
 * @param in_use amount that cannot be returned now, such as requests in flight
 */
void pr_grant_set_demand(pr_grants_t *grants, pr_grant_t *grant,
			 const uint32_t demand[PR_GRANT_CLASSES],
			 uint32_t in_use, pr_usec_t now);
/**
 * @return the amount that this host may spend now: that of its lease; without
 *	   a lease, at most the fallback amount (limit / listed hosts) while the
 *	   owner does not grant its requests, else 0
 */
uint32_t pr_grant_amount(const pr_grants_t *grants, const pr_grant_t *grant,
			 pr_usec_t now);
/** @return time at which the lease expires; in the past without a lease */
pr_usec_t pr_grant_expires_at(const pr_grant_t *grant);
/**
 * @return true when this host has no valid lease, its requests are not granted,
 *	   and it therefore spends at most the fallback amount
 */
bool pr_grant_is_fallback(const pr_grants_t *grants, const pr_grant_t *grant,
			  pr_usec_t now);

#endif
