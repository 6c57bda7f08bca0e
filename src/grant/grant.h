/*
 * State shared by the holder side (grant.c) and the owner side (owner.c) of a
 * pr_grants_t. The lists are searched linearly: a host owns only a few of the
 * fleet's limits, and each request iterates over all holders of its resource
 * anyway to sum their amounts.
 */
#ifndef PR_GRANT_GRANT_H
#define PR_GRANT_GRANT_H

#include "grant/message.h"
#include "pistachiorack/grant.h"

/* Holder side: lease and demand of this host for one resource. */
struct pr_grant_t {
	pr_grant_t *next;
	char resource[PR_GRANT_NAME_SIZE];
	/* Amount of the current or last lease, and when the lease expires. */
	uint32_t amount;
	pr_usec_t expires_at;
	/*
	 * Time of the last request, -1 before the first. Identifies the
	 * request: a result with another time is dropped.
	 */
	pr_usec_t sent;
	/* Total demand in the last request. */
	uint64_t requested_demand;
	/*
	 * Time of the first request since the owner last granted one; 0 when
	 * the last request was granted or there is no demand.
	 */
	pr_usec_t ungranted_since;
	uint32_t demand[PR_GRANT_CLASSES];
	uint32_t in_use;
};

/* Owner side: lease and demand of one holder of a resource. */
typedef struct pr_holder_t {
	struct pr_holder_t *next;
	char host[PR_GRANT_NAME_SIZE];
	/* Time of the holder's last request, by the clock of the holder. */
	pr_usec_t sent;
	/* Amount that the holder may spend according to its last request. */
	uint32_t held;
	/* Amount granted by this host in answer to the last request. */
	uint32_t granted;
	/* When held and granted expire; each request extends this time. */
	pr_usec_t expires_at;
	uint32_t demand[PR_GRANT_CLASSES];
	uint32_t in_use;
} pr_holder_t;

/* Owner side: a resource that this host owns. */
typedef struct pr_owned_resource_t {
	struct pr_owned_resource_t *next;
	char resource[PR_GRANT_NAME_SIZE];
	/* Requests before this time are answered with PR_LEASE_WAIT. */
	pr_usec_t grants_start;
	pr_holder_t *holders;
	unsigned int holders_count;
} pr_owned_resource_t;

struct pr_grants_t {
	pr_grant_options_t options;
	char host[PR_GRANT_NAME_SIZE];
	const pr_grant_ops_t *ops;
	void *data;
	pr_grant_t *grant_list;
	pr_owned_resource_t *owned;
	unsigned int owned_count;
	/* Numbers of hosts in the membership view; see pr_grants_set_view(). */
	unsigned int live, listed;
	/*
	 * Number of live hosts by which limits are scaled, and the time at
	 * which it is raised to live (PR_USEC_NEVER when they are equal).
	 */
	unsigned int scaling_live;
	pr_usec_t scaling_raise_at;
	/* Last change of the view, or last pause of this process. */
	pr_usec_t view_changed_at;
	/* Last call of update_clock(); detects pauses of this process. */
	pr_usec_t last_run;
	pr_grant_stats_t stats;
};

/* Sum of the demand of all classes, but at least the amount in use. */
static inline uint64_t pr_grant_total_demand(const uint32_t *demand,
					     uint32_t in_use)
{
	uint64_t sum = 0;

	for (int i = 0; i < PR_GRANT_CLASSES; i++)
		sum += demand[i];
	return sum > in_use ? sum : in_use;
}

/* Limit of a resource divided by the number of listed hosts, rounded down. */
uint32_t pr_grants_fallback(const pr_grants_t *grants, pr_slice_t resource);
/* Encodes and sends a message; handles it at once if the host is this one. */
void pr_grants_send(pr_grants_t *grants, pr_slice_t host,
		    const pr_lease_message_t *message);

/* Updates the record of the requesting holder and sends a result. */
void pr_owner_handle_request(pr_grants_t *grants, pr_slice_t from,
			     const pr_lease_message_t *message, pr_usec_t now);
/*
 * Removes resources that this host no longer owns, and holders whose lease
 * expired more than the holder timeout ago.
 */
void pr_owner_expire(pr_grants_t *grants, pr_usec_t now);
/* Delays all grants of this host by one lifetime from now. */
void pr_owner_delay_grants(pr_grants_t *grants, pr_usec_t now);
/* Frees all owned resources and their holders. */
void pr_owner_clear(pr_grants_t *grants);

#endif
