/*
 * Owner side of the grants: records the holders of each owned resource and
 * divides its limit among them, in proportion to demand.
 */
#include <stdlib.h>

#include "grant/grant.h"
#include "pistachiorack/hash.h"

static bool is_owner(const pr_grants_t *grants, pr_slice_t resource)
{
	return pr_slice_equal(grants->ops->owner(grants->data, resource),
			      pr_slice_of(grants->host));
}

/* Removes the holders whose lease expired at or before a time. */
static void remove_holders(pr_owned_resource_t *owned, pr_usec_t expired_by)
{
	pr_holder_t **link = &owned->holders;

	while (*link) {
		pr_holder_t *holder = *link;

		if (holder->expires_at > expired_by) {
			link = &holder->next;
			continue;
		}
		*link = holder->next;
		free(holder);
		owned->holders_count--;
	}
}

void pr_owner_clear(pr_grants_t *grants)
{
	pr_owned_resource_t *owned, *next;

	for (owned = grants->owned; owned; owned = next) {
		next = owned->next;
		remove_holders(owned, PR_USEC_NEVER);
		free(owned);
	}
	grants->owned = NULL;
}

void pr_owner_expire(pr_grants_t *grants, pr_usec_t now)
{
	pr_owned_resource_t **link = &grants->owned;

	while (*link) {
		pr_owned_resource_t *owned = *link;

		if (is_owner(grants, pr_slice_of(owned->resource))) {
			remove_holders(owned,
				       now - grants->options.holder_timeout);
			link = &owned->next;
			continue;
		}
		*link = owned->next;
		remove_holders(owned, PR_USEC_NEVER);
		free(owned);
		grants->owned_count--;
	}
}

void pr_owner_delay_grants(pr_grants_t *grants, pr_usec_t now)
{
	grants->view_changed_at = now;
	for (pr_owned_resource_t *owned = grants->owned; owned;
	     owned = owned->next)
		owned->grants_start = now + grants->options.lifetime;
}

static pr_owned_resource_t *find_or_add_resource(pr_grants_t *grants,
						 const char *resource)
{
	pr_owned_resource_t *owned = grants->owned;

	while (owned && strcmp(owned->resource, resource) != 0)
		owned = owned->next;
	if (owned || grants->owned_count >= grants->options.resources_max)
		return owned;
	owned = calloc(1, sizeof(*owned));
	if (!owned)
		return NULL;
	memcpy(owned->resource, resource, sizeof(owned->resource));
	/*
	 * This host may have become the owner at the last change of its view.
	 * The leases of a previous owner expire one lifetime after that.
	 */
	owned->grants_start = grants->view_changed_at;
	if (grants->options.new_owner_waits)
		owned->grants_start += grants->options.lifetime;
	owned->next = grants->owned;
	grants->owned = owned;
	grants->owned_count++;
	return owned;
}

static pr_holder_t *find_or_add_holder(pr_grants_t *grants,
				       pr_owned_resource_t *owned,
				       const char *host)
{
	pr_holder_t *holder = owned->holders;

	while (holder && strcmp(holder->host, host) != 0)
		holder = holder->next;
	if (holder || owned->holders_count >= grants->options.holders_max)
		return holder;
	holder = calloc(1, sizeof(*holder));
	if (!holder)
		return NULL;
	memcpy(holder->host, host, strlen(host) + 1);
	holder->next = owned->holders;
	owned->holders = holder;
	owned->holders_count++;
	return holder;
}

/*
 * Amount that a holder may be spending. A holder that stops sending requests
 * loses its lease, but it may be unreachable and spend its fallback amount.
 */
static uint32_t reserved_amount(const pr_holder_t *holder, uint32_t fallback,
				pr_usec_t now)
{
	uint32_t spendable =
		holder->held > holder->granted ? holder->held : holder->granted;

	if (now < holder->expires_at)
		return spendable;
	return pr_grant_total_demand(holder->demand, holder->in_use) ? fallback
								     : 0;
}

/* Limit of a resource, scaled by live hosts / listed hosts. */
static uint64_t effective_limit(const pr_grants_t *grants, pr_slice_t resource)
{
	uint64_t limit = grants->ops->limit(grants->data, resource);

	if (!grants->options.scale_by_view ||
	    grants->scaling_live >= grants->listed)
		return limit;
	return limit * grants->scaling_live / grants->listed;
}

/*
 * Amount that a holder should get. The limit is divided class by class; the
 * first class that exceeds the remainder is divided in proportion to demand,
 * rounded up. Of a remainder after all classes, each holder gets up to a
 * quarter of its demand in addition, so that growth between two renewals is
 * served. Rounding up allows limits below the number of holders to be used;
 * the caller reduces the result to the unreserved part of the limit. The amount
 * in use is the minimum, as the holder cannot return it now.
 */
static uint64_t target_amount(const pr_owned_resource_t *owned,
			      const pr_holder_t *requester, uint64_t limit,
			      pr_usec_t now)
{
	uint64_t class_demand[PR_GRANT_CLASSES] = { 0 };
	uint64_t target = 0, remainder = limit, total_demand = 0, own;
	const pr_holder_t *holder;

	for (holder = owned->holders; holder; holder = holder->next)
		for (int i = 0;
		     i < PR_GRANT_CLASSES && now < holder->expires_at; i++)
			class_demand[i] += holder->demand[i];
	for (int i = 0; i < PR_GRANT_CLASSES; i++) {
		own = requester->demand[i];
		total_demand += class_demand[i];
		if (class_demand[i] <= remainder) {
			target += own;
			remainder -= class_demand[i];
		} else {
			target += (remainder * own + class_demand[i] - 1) /
				  class_demand[i];
			remainder = 0;
		}
	}
	own = pr_grant_total_demand(requester->demand, 0);
	if (remainder && total_demand) {
		uint64_t spare = remainder * own / total_demand;

		target += spare < own / 4 ? spare : own / 4;
	}
	return target > requester->in_use ? target : requester->in_use;
}

/*
 * Target amount of the requester, reduced to the part of the limit that is not
 * reserved for other holders.
 */
static uint32_t amount_to_grant(pr_grants_t *grants, pr_owned_resource_t *owned,
				pr_holder_t *requester, pr_usec_t now)
{
	pr_slice_t resource = pr_slice_of(owned->resource);
	uint32_t fallback = pr_grants_fallback(grants, resource);
	uint64_t limit = effective_limit(grants, resource);
	uint64_t reserved = 0, target, spare;
	const pr_holder_t *holder;

	for (holder = owned->holders; holder; holder = holder->next)
		if (holder != requester)
			reserved += reserved_amount(holder, fallback, now);
	target = target_amount(owned, requester, limit, now);
	spare = limit > reserved ? limit - reserved : 0;
	return (uint32_t)(target < spare ? target : spare);
}

void pr_owner_handle_request(pr_grants_t *grants, pr_slice_t from,
			     const pr_lease_message_t *message, pr_usec_t now)
{
	pr_lease_message_t result = { .type = PR_LEASE_RESULT,
				      .sent = message->sent,
				      .lifetime = grants->options.lifetime,
				      .status = PR_LEASE_NOT_OWNER };
	char host[PR_GRANT_NAME_SIZE];
	pr_owned_resource_t *owned = NULL;
	pr_holder_t *holder = NULL;

	memcpy(result.resource, message->resource, sizeof(result.resource));
	if (pr_slice_copy(host, sizeof(host), from))
		return;
	if (is_owner(grants, pr_slice_of(message->resource)))
		owned = find_or_add_resource(grants, message->resource);
	if (owned)
		holder = find_or_add_holder(grants, owned, host);
	if (!holder) {
		grants->stats.not_owner++;
		pr_grants_send(grants, from, &result);
		return;
	}
	/*
	 * Drop a request that arrives after a later one of the same holder,
	 * as long as the lease of the later one is valid.
	 */
	if (message->sent < holder->sent && now < holder->expires_at)
		return;
	holder->sent = message->sent;
	holder->held = message->held;
	holder->in_use = message->in_use;
	memcpy(holder->demand, message->demand, sizeof(holder->demand));
	holder->granted = 0;
	holder->expires_at = now + grants->options.lifetime;
	if (now < owned->grants_start) {
		result.status = PR_LEASE_WAIT;
		grants->stats.waits++;
	} else {
		result.status = PR_LEASE_GRANTED;
		holder->granted = amount_to_grant(grants, owned, holder, now);
		result.amount = holder->granted;
		grants->stats.requests_granted++;
	}
	pr_grants_send(grants, from, &result);
}
