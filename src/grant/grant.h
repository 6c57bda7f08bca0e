/*
 * State shared by the two sides of a pr_grants_t. The lists are short (a host
 * owns a few of the fleet's limits, and each request sums all leases of its
 * resource anyway), so they are searched from the front.
 */
#ifndef PR_GRANT_GRANT_H
#define PR_GRANT_GRANT_H

#include "grant/message.h"
#include "pistachiorack/grant.h"

/* Holder side: this host's share of one resource. */
struct pr_grant_t {
	pr_grant_t *next;
	char resource[PR_GRANT_NAME_SIZE];
	/* The lease; it ends at until. */
	uint32_t amount;
	pr_usec_t until;
	/* The last request; only its answer is accepted. */
	pr_usec_t sent;
	/* Demand that it stated. */
	uint64_t asked;
	/* Since when the owner has not granted or refused; 0 when it has. */
	pr_usec_t unanswered_since;
	uint32_t demand[PR_GRANT_CLASSES];
	uint32_t in_use;
};

/* Owner side: what one holder has. */
typedef struct pr_lease_t {
	struct pr_lease_t *next;
	char host[PR_GRANT_NAME_SIZE];
	pr_usec_t sent;
	uint32_t held;
	uint32_t granted;
	/* Both end here; a request extends them. */
	pr_usec_t until;
	uint32_t demand[PR_GRANT_CLASSES];
	uint32_t in_use;
} pr_lease_t;

typedef struct pr_owned_t {
	struct pr_owned_t *next;
	char resource[PR_GRANT_NAME_SIZE];
	/* Grants begin here. */
	pr_usec_t ready;
	pr_lease_t *leases;
	unsigned int leases_count;
} pr_owned_t;

struct pr_grants_t {
	pr_grant_options_t options;
	char host[PR_GRANT_NAME_SIZE];
	const pr_grant_ops_t *ops;
	void *data;
	pr_grant_t *shares;
	pr_owned_t *owned;
	unsigned int owned_count;
	unsigned int live, listed;
	/* The live count that limits are scaled by, and its coming rise. */
	unsigned int live_used;
	pr_usec_t raise_at;
	pr_usec_t view_changed;
	pr_usec_t last_seen;
	pr_grant_stats_t stats;
};

/* Sum of the classes of demand, and at least what is in use. */
static inline uint64_t pr_grant_wanted(const uint32_t *demand, uint32_t in_use)
{
	uint64_t sum = 0;

	for (int i = 0; i < PR_GRANT_CLASSES; i++)
		sum += demand[i];
	return sum > in_use ? sum : in_use;
}

/* A host's equal part of a limit. */
uint32_t pr_grants_floor(const pr_grants_t *grants, pr_slice_t resource);
void pr_grants_send(pr_grants_t *grants, pr_slice_t host,
		    const pr_lease_message_t *message);
/* Owner side. */
void pr_owner_request(pr_grants_t *grants, pr_slice_t from,
		      const pr_lease_message_t *message, pr_usec_t now);
void pr_owner_recheck(pr_grants_t *grants, pr_usec_t now);
void pr_owner_pause(pr_grants_t *grants, pr_usec_t now);
void pr_owner_forget_all(pr_grants_t *grants);

#endif
