/* The owner's side: who holds what, and how the limit is divided. */
#include <stdlib.h>

#include "grant/grant.h"
#include "pistachiorack/hash.h"

static bool is_owner(const pr_grants_t *grants, pr_slice_t resource)
{
	return pr_slice_equal(grants->ops->owner(grants->data, resource),
			      pr_slice_of(grants->host));
}

/* Removes leases that ended before a time. */
static void forget_leases(pr_owned_t *owned, pr_usec_t ended)
{
	pr_lease_t **link = &owned->leases;

	while (*link) {
		pr_lease_t *lease = *link;

		if (lease->until > ended) {
			link = &lease->next;
			continue;
		}
		*link = lease->next;
		free(lease);
		owned->leases_count--;
	}
}

void pr_owner_forget_all(pr_grants_t *grants)
{
	pr_owned_t *owned, *next;

	for (owned = grants->owned; owned; owned = next) {
		next = owned->next;
		forget_leases(owned, PR_USEC_NEVER);
		free(owned);
	}
	grants->owned = NULL;
}

/* Forgets resources that went to another host, and holders that are gone. */
void pr_owner_recheck(pr_grants_t *grants, pr_usec_t now)
{
	pr_owned_t **link = &grants->owned;

	while (*link) {
		pr_owned_t *owned = *link;

		if (is_owner(grants, pr_slice_of(owned->resource))) {
			forget_leases(owned,
				      now - grants->options.holder_timeout);
			link = &owned->next;
			continue;
		}
		*link = owned->next;
		forget_leases(owned, PR_USEC_NEVER);
		free(owned);
		grants->owned_count--;
	}
}

void pr_owner_pause(pr_grants_t *grants, pr_usec_t now)
{
	grants->view_changed = now;
	for (pr_owned_t *owned = grants->owned; owned; owned = owned->next)
		owned->ready = now + grants->options.lifetime;
}

static pr_owned_t *find_owned(pr_grants_t *grants, const char *resource)
{
	pr_owned_t *owned = grants->owned;

	while (owned && strcmp(owned->resource, resource) != 0)
		owned = owned->next;
	if (owned || grants->owned_count >= grants->options.resources_max)
		return owned;
	owned = calloc(1, sizeof(*owned));
	if (!owned)
		return NULL;
	memcpy(owned->resource, resource, sizeof(owned->resource));
	/*
	 * This host may own the resource only since its view changed last; an
	 * earlier owner's leases end one lifetime after that.
	 */
	owned->ready = grants->view_changed;
	if (grants->options.new_owner_waits)
		owned->ready += grants->options.lifetime;
	owned->next = grants->owned;
	grants->owned = owned;
	grants->owned_count++;
	return owned;
}

static pr_lease_t *find_lease(pr_grants_t *grants, pr_owned_t *owned,
			      const char *host)
{
	pr_lease_t *lease = owned->leases;

	while (lease && strcmp(lease->host, host) != 0)
		lease = lease->next;
	if (lease || owned->leases_count >= grants->options.holders_max)
		return lease;
	lease = calloc(1, sizeof(*lease));
	if (!lease)
		return NULL;
	memcpy(lease->host, host, strlen(host) + 1);
	lease->next = owned->leases;
	owned->leases = lease;
	owned->leases_count++;
	return lease;
}

/*
 * What a holder may be spending. Once it falls silent its lease ends, but it
 * may be out of reach and spend its floor.
 */
static uint32_t counted(const pr_lease_t *lease, uint32_t floor, pr_usec_t now)
{
	uint32_t most =
		lease->held > lease->granted ? lease->held : lease->granted;

	if (now < lease->until)
		return most;
	return pr_grant_wanted(lease->demand, lease->in_use) ? floor : 0;
}

static uint64_t effective_limit(const pr_grants_t *grants, pr_slice_t resource)
{
	uint64_t limit = grants->ops->limit(grants->data, resource);

	if (!grants->options.scale_by_view ||
	    grants->live_used >= grants->listed)
		return limit;
	return limit * grants->live_used / grants->listed;
}

/*
 * The amount that a holder should have: class by class in proportion to
 * demand, rounded up, then a quarter of the demand from what is left over, so
 * that growth between two renewals is served. Rounding up lets limits below
 * the number of holders be used; the caller cuts at what is free.
 */
static uint64_t divide(const pr_owned_t *owned, const pr_lease_t *mine,
		       uint64_t limit, pr_usec_t now)
{
	uint64_t sums[PR_GRANT_CLASSES] = { 0 }, target = 0, left = limit;
	uint64_t all = 0, own;
	const pr_lease_t *lease;

	for (lease = owned->leases; lease; lease = lease->next)
		for (int i = 0; i < PR_GRANT_CLASSES && now < lease->until; i++)
			sums[i] += lease->demand[i];
	for (int i = 0; i < PR_GRANT_CLASSES; i++) {
		own = mine->demand[i];
		all += sums[i];
		if (sums[i] <= left) {
			target += own;
			left -= sums[i];
		} else {
			target += (left * own + sums[i] - 1) / sums[i];
			left = 0;
		}
	}
	own = pr_grant_wanted(mine->demand, 0);
	if (left && all) {
		uint64_t spare = left * own / all;

		target += spare < own / 4 ? spare : own / 4;
	}
	return target > mine->in_use ? target : mine->in_use;
}

static uint32_t grant_amount(pr_grants_t *grants, pr_owned_t *owned,
			     pr_lease_t *mine, pr_usec_t now)
{
	pr_slice_t resource = pr_slice_of(owned->resource);
	uint32_t floor = pr_grants_floor(grants, resource);
	uint64_t limit = effective_limit(grants, resource);
	uint64_t others = 0, target, spare;
	const pr_lease_t *lease;

	for (lease = owned->leases; lease; lease = lease->next)
		if (lease != mine)
			others += counted(lease, floor, now);
	target = divide(owned, mine, limit, now);
	spare = limit > others ? limit - others : 0;
	return (uint32_t)(target < spare ? target : spare);
}

void pr_owner_request(pr_grants_t *grants, pr_slice_t from,
		      const pr_lease_message_t *message, pr_usec_t now)
{
	pr_lease_message_t answer = { .kind = PR_LEASE_RESULT,
				      .sent = message->sent,
				      .lifetime = grants->options.lifetime,
				      .status = PR_LEASE_NOT_OWNER };
	char host[PR_GRANT_NAME_SIZE];
	pr_owned_t *owned = NULL;
	pr_lease_t *lease = NULL;

	memcpy(answer.resource, message->resource, sizeof(answer.resource));
	if (pr_slice_copy(host, sizeof(host), from))
		return;
	if (is_owner(grants, pr_slice_of(message->resource)))
		owned = find_owned(grants, message->resource);
	if (owned)
		lease = find_lease(grants, owned, host);
	if (!lease) {
		grants->stats.not_owner++;
		pr_grants_send(grants, from, &answer);
		return;
	}
	/* A message that was overtaken by a later one of the same holder. */
	if (message->sent < lease->sent && now < lease->until)
		return;
	lease->sent = message->sent;
	lease->held = message->held;
	lease->in_use = message->in_use;
	memcpy(lease->demand, message->demand, sizeof(lease->demand));
	lease->granted = 0;
	lease->until = now + grants->options.lifetime;
	if (now < owned->ready) {
		answer.status = PR_LEASE_WAIT;
		grants->stats.waits++;
	} else {
		answer.status = PR_LEASE_GRANTED;
		lease->granted = grant_amount(grants, owned, lease, now);
		answer.amount = lease->granted;
		grants->stats.requests_granted++;
	}
	pr_grants_send(grants, from, &answer);
}
