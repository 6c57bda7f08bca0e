/*
 * Holder side of the grants, and the functions shared by holder and owner side:
 * membership view, pause detection, sending and receiving.
 */
#include "grant/grant.h"

#include <stdlib.h>

#include "pistachiorack/error.h"

/*
 * A holder ends its lease lifetime / DRIFT_DIVISOR early (1%), because the
 * clocks of holder and owner may run at different rates.
 */
#define DRIFT_DIVISOR 100

int pr_grants_open(pr_grants_t **out, const pr_grant_options_t *options,
		   const pr_grant_ops_t *ops, void *data, pr_usec_t now)
{
	pr_grants_t *grants;

	*out = NULL;
	if (options->version != PR_GRANT_OPTIONS_VERSION ||
	    !options->host.len || options->lifetime <= 0 ||
	    options->renew_interval <= 0 ||
	    options->renew_interval * 2 > options->lifetime)
		return pr_error_set(
			PR_EINVALID,
			"grant options are not valid: unknown version, empty "
			"host, renew_interval not positive, or lifetime below "
			"twice renew_interval");
	grants = calloc(1, sizeof(*grants));
	if (!grants)
		return PR_ENOMEM;
	grants->options = *options;
	if (pr_slice_copy(grants->host, sizeof(grants->host), options->host)) {
		free(grants);
		return pr_error_set(PR_EINVALID,
				    "host name has %zu bytes, more than %d",
				    options->host.len, PR_GRANT_NAME_SIZE - 1);
	}
	grants->ops = ops;
	grants->data = data;
	grants->live = grants->scaling_live = grants->listed = 1;
	grants->scaling_raise_at = PR_USEC_NEVER;
	grants->view_changed_at = grants->last_run = now;
	*out = grants;
	return 0;
}

void pr_grants_close(pr_grants_t *grants)
{
	pr_grant_t *grant, *next;

	if (!grants)
		return;
	for (grant = grants->grant_list; grant; grant = next) {
		next = grant->next;
		free(grant);
	}
	pr_owner_clear(grants);
	free(grants);
}

const pr_grant_stats_t *pr_grants_stats(const pr_grants_t *grants)
{
	return &grants->stats;
}

/*
 * Detects a pause of this process: longer than a lifetime since the last call.
 * Other hosts may have taken over its resources meanwhile, so this host then
 * waits like a new owner. Also applies a pending growth of the number of live
 * hosts when it is due.
 */
static void update_clock(pr_grants_t *grants, pr_usec_t now)
{
	if (now - grants->last_run > grants->options.lifetime &&
	    grants->options.new_owner_waits) {
		grants->stats.pauses++;
		pr_owner_delay_grants(grants, now);
	}
	grants->last_run = now;
	if (now >= grants->scaling_raise_at) {
		grants->scaling_live = grants->live;
		grants->scaling_raise_at = PR_USEC_NEVER;
	}
}

/*
 * A lower number of live hosts applies at once. A higher number applies one
 * lifetime later, because leases granted by the owner on the other side of a
 * healed partition are still valid.
 */
void pr_grants_set_view(pr_grants_t *grants, unsigned int live,
			unsigned int listed, pr_usec_t now)
{
	update_clock(grants, now);
	grants->live = live ? live : 1;
	grants->listed = listed ? listed : 1;
	grants->view_changed_at = now;
	if (grants->live <= grants->scaling_live) {
		grants->scaling_live = grants->live;
		grants->scaling_raise_at = PR_USEC_NEVER;
	} else {
		grants->scaling_raise_at = now;
		if (grants->options.new_owner_waits)
			grants->scaling_raise_at += grants->options.lifetime;
	}
	pr_owner_expire(grants, now);
}

uint32_t pr_grants_fallback(const pr_grants_t *grants, pr_slice_t resource)
{
	return grants->ops->limit(grants->data, resource) / grants->listed;
}

static pr_grant_t *find_grant(pr_grants_t *grants, const char *resource)
{
	pr_grant_t *grant = grants->grant_list;

	while (grant && strcmp(grant->resource, resource) != 0)
		grant = grant->next;
	return grant;
}

static void handle_result(pr_grants_t *grants,
			  const pr_lease_message_t *message, pr_usec_t now)
{
	pr_grant_t *grant = find_grant(grants, message->resource);
	pr_usec_t expires_at;

	if (!grant || message->sent != grant->sent) {
		grants->stats.stale_results++;
		return;
	}
	if (message->status != PR_LEASE_GRANTED)
		return;
	expires_at = grant->sent + message->lifetime -
		     message->lifetime / DRIFT_DIVISOR;
	if (now >= expires_at) {
		grants->stats.stale_results++;
		return;
	}
	grant->amount = message->amount;
	grant->expires_at = expires_at;
	grant->ungranted_since = 0;
}

static void dispatch(pr_grants_t *grants, pr_slice_t from,
		     const pr_lease_message_t *message, pr_usec_t now)
{
	if (message->type == PR_LEASE_REQUEST)
		pr_owner_handle_request(grants, from, message, now);
	else
		handle_result(grants, message, now);
}

void pr_grants_send(pr_grants_t *grants, pr_slice_t host,
		    const pr_lease_message_t *message)
{
	msgpack_sbuffer buffer;

	if (pr_slice_equal(host, pr_slice_of(grants->host))) {
		dispatch(grants, host, message, grants->last_run);
		return;
	}
	msgpack_sbuffer_init(&buffer);
	pr_lease_encode(&buffer, message);
	grants->ops->send(grants->data, host,
			  pr_slice(buffer.data, buffer.size));
	msgpack_sbuffer_destroy(&buffer);
}

pr_grant_t *pr_grants_get(pr_grants_t *grants, pr_slice_t resource)
{
	char name[PR_GRANT_NAME_SIZE];
	pr_grant_t *grant;

	if (!resource.len || pr_slice_copy(name, sizeof(name), resource))
		return NULL;
	grant = find_grant(grants, name);
	if (grant)
		return grant;
	grant = calloc(1, sizeof(*grant));
	if (!grant)
		return NULL;
	memcpy(grant->resource, name, sizeof(name));
	grant->sent = -1;
	grant->next = grants->grant_list;
	grants->grant_list = grant;
	return grant;
}

pr_usec_t pr_grant_expires_at(const pr_grant_t *grant)
{
	return grant->expires_at;
}

bool pr_grant_is_fallback(const pr_grants_t *grants, const pr_grant_t *grant,
			  pr_usec_t now)
{
	return now >= grant->expires_at && grant->ungranted_since;
}

/*
 * The full fallback amount may be spent only once all leases of an owner that
 * stopped granting have expired. Until then, the amount is the lower of the
 * fallback amount and the amount of the last lease, so that the sum over all
 * hosts does not rise.
 */
uint32_t pr_grant_amount(const pr_grants_t *grants, const pr_grant_t *grant,
			 pr_usec_t now)
{
	uint32_t fallback;

	if (now < grant->expires_at)
		return grant->amount;
	if (!pr_grant_is_fallback(grants, grant, now))
		return 0;
	fallback = pr_grants_fallback(grants, pr_slice_of(grant->resource));
	if (now - grant->ungranted_since >= grants->options.lifetime)
		return fallback;
	return grant->amount < fallback ? grant->amount : fallback;
}

static void send_request(pr_grants_t *grants, pr_grant_t *grant, pr_usec_t now)
{
	pr_slice_t resource = pr_slice_of(grant->resource);
	pr_slice_t owner = grants->ops->owner(grants->data, resource);
	uint64_t total = pr_grant_total_demand(grant->demand, grant->in_use);
	pr_lease_message_t message = { .type = PR_LEASE_REQUEST,
				       .in_use = grant->in_use };
	uint32_t fallback = pr_grants_fallback(grants, resource);

	/*
	 * An amount above 125% of the demand is reduced to that; the rest
	 * returns to the owner with this request.
	 */
	if (grant->amount > total + total / 4)
		grant->amount = (uint32_t)(total + total / 4);
	grant->sent = now > grant->sent ? now : grant->sent + 1;
	grant->requested_demand = total;
	message.sent = grant->sent;
	message.held = pr_grant_amount(grants, grant, now);
	/*
	 * While an earlier request is not granted, this host may start to spend
	 * its fallback amount before the result of this request arrives, so the
	 * owner has to count at least that amount.
	 */
	if (grant->ungranted_since && message.held < fallback)
		message.held = fallback;
	if (!grant->ungranted_since && total)
		grant->ungranted_since = now ? now : 1;
	memcpy(message.resource, grant->resource, sizeof(message.resource));
	memcpy(message.demand, grant->demand, sizeof(message.demand));
	grants->stats.requests_sent++;
	if (owner.len)
		pr_grants_send(grants, owner, &message);
}

void pr_grant_release(pr_grants_t *grants, pr_grant_t *grant, pr_usec_t now)
{
	pr_grant_t **link = &grants->grant_list;

	update_clock(grants, now);
	memset(grant->demand, 0, sizeof(grant->demand));
	grant->in_use = 0;
	send_request(grants, grant, now);
	while (*link && *link != grant)
		link = &(*link)->next;
	if (*link)
		*link = grant->next;
	free(grant);
}

void pr_grant_set_demand(pr_grants_t *grants, pr_grant_t *grant,
			 const uint32_t demand[PR_GRANT_CLASSES],
			 uint32_t in_use, pr_usec_t now)
{
	uint64_t total = pr_grant_total_demand(demand, in_use);
	bool demand_grew =
		total > grant->requested_demand + grant->requested_demand / 4;

	update_clock(grants, now);
	memcpy(grant->demand, demand, sizeof(grant->demand));
	grant->in_use = in_use;
	if (demand_grew && total > pr_grant_amount(grants, grant, now) &&
	    (grant->sent < 0 ||
	     now - grant->sent >= grants->options.renew_interval_min))
		send_request(grants, grant, now);
}

void pr_grants_tick(pr_grants_t *grants, pr_usec_t now)
{
	pr_grant_t *grant;

	update_clock(grants, now);
	for (grant = grants->grant_list; grant; grant = grant->next) {
		uint64_t total =
			pr_grant_total_demand(grant->demand, grant->in_use);
		bool leased = now < grant->expires_at && grant->amount;

		if (!total && !leased) {
			grant->ungranted_since = 0;
			continue;
		}
		if (grant->sent < 0 ||
		    now - grant->sent >= grants->options.renew_interval)
			send_request(grants, grant, now);
	}
	pr_owner_expire(grants, now);
}

int pr_grants_receive(pr_grants_t *grants, pr_slice_t from, pr_slice_t bytes,
		      pr_usec_t now)
{
	pr_lease_message_t message;

	update_clock(grants, now);
	if (pr_lease_decode(&message, bytes)) {
		grants->stats.malformed++;
		return PR_EPARSE;
	}
	dispatch(grants, from, &message, now);
	return 0;
}
