/* The holder's side, and what both sides share. */
#include "grant/grant.h"

#include <stdlib.h>

#include "pistachiorack/error.h"

/* A lease is ended this part early, for clocks that run at other rates. */
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
		return pr_error_set(PR_EINVALID, "grant options are not valid");
	grants = calloc(1, sizeof(*grants));
	if (!grants)
		return PR_ENOMEM;
	grants->options = *options;
	if (pr_slice_copy(grants->host, sizeof(grants->host), options->host)) {
		free(grants);
		return pr_error_set(PR_EINVALID, "host name is too long");
	}
	grants->ops = ops;
	grants->data = data;
	grants->live = grants->live_used = grants->listed = 1;
	grants->raise_at = PR_USEC_NEVER;
	grants->view_changed = grants->last_seen = now;
	*out = grants;
	return 0;
}

void pr_grants_close(pr_grants_t *grants)
{
	pr_grant_t *grant, *next;

	if (!grants)
		return;
	for (grant = grants->shares; grant; grant = next) {
		next = grant->next;
		free(grant);
	}
	pr_owner_forget_all(grants);
	free(grants);
}

const pr_grant_stats_t *pr_grants_stats(const pr_grants_t *grants)
{
	return &grants->stats;
}

/*
 * Notices a pause of this process. Others may have taken over what it owned,
 * so it counts as a new owner. Applies a rise of the live count when due.
 */
static void observe(pr_grants_t *grants, pr_usec_t now)
{
	if (now - grants->last_seen > grants->options.lifetime &&
	    grants->options.new_owner_waits) {
		grants->stats.pauses++;
		pr_owner_pause(grants, now);
	}
	grants->last_seen = now;
	if (now >= grants->raise_at) {
		grants->live_used = grants->live;
		grants->raise_at = PR_USEC_NEVER;
	}
}

/*
 * A fall of the live count counts at once. A rise waits one lifetime, because
 * leases from the owner on the other side of a healed partition still run.
 */
void pr_grants_set_view(pr_grants_t *grants, unsigned int live,
			unsigned int listed, pr_usec_t now)
{
	observe(grants, now);
	grants->live = live ? live : 1;
	grants->listed = listed ? listed : 1;
	grants->view_changed = now;
	if (grants->live <= grants->live_used) {
		grants->live_used = grants->live;
		grants->raise_at = PR_USEC_NEVER;
	} else {
		grants->raise_at = now;
		if (grants->options.new_owner_waits)
			grants->raise_at += grants->options.lifetime;
	}
	pr_owner_recheck(grants, now);
}

uint32_t pr_grants_floor(const pr_grants_t *grants, pr_slice_t resource)
{
	return grants->ops->limit(grants->data, resource) / grants->listed;
}

static pr_grant_t *find_share(pr_grants_t *grants, const char *resource)
{
	pr_grant_t *grant = grants->shares;

	while (grant && strcmp(grant->resource, resource) != 0)
		grant = grant->next;
	return grant;
}

static void accept_result(pr_grants_t *grants,
			  const pr_lease_message_t *message, pr_usec_t now)
{
	pr_grant_t *grant = find_share(grants, message->resource);
	pr_usec_t until;

	if (!grant || message->sent != grant->sent) {
		grants->stats.stale_results++;
		return;
	}
	if (message->status != PR_LEASE_GRANTED)
		return;
	until = grant->sent + message->lifetime -
		message->lifetime / DRIFT_DIVISOR;
	if (now >= until) {
		grants->stats.stale_results++;
		return;
	}
	grant->amount = message->amount;
	grant->until = until;
	grant->unanswered_since = 0;
}

static void handle(pr_grants_t *grants, pr_slice_t from,
		   const pr_lease_message_t *message, pr_usec_t now)
{
	if (message->kind == PR_LEASE_REQUEST)
		pr_owner_request(grants, from, message, now);
	else
		accept_result(grants, message, now);
}

void pr_grants_send(pr_grants_t *grants, pr_slice_t host,
		    const pr_lease_message_t *message)
{
	msgpack_sbuffer buffer;

	if (pr_slice_equal(host, pr_slice_of(grants->host))) {
		handle(grants, host, message, grants->last_seen);
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
	grant = find_share(grants, name);
	if (grant)
		return grant;
	grant = calloc(1, sizeof(*grant));
	if (!grant)
		return NULL;
	memcpy(grant->resource, name, sizeof(name));
	grant->sent = -1;
	grant->next = grants->shares;
	grants->shares = grant;
	return grant;
}

pr_usec_t pr_grant_expires_at(const pr_grant_t *grant)
{
	return grant->until;
}

bool pr_grant_is_fallback(const pr_grants_t *grants, const pr_grant_t *grant,
			  pr_usec_t now)
{
	return now >= grant->until && grant->unanswered_since;
}

/*
 * The whole floor may be spent only once every lease of an owner that stopped
 * answering has ended. Until then a host keeps to the lower of its floor and
 * its last lease, so that the sum does not rise.
 */
uint32_t pr_grant_amount(const pr_grants_t *grants, const pr_grant_t *grant,
			 pr_usec_t now)
{
	uint32_t floor;

	if (now < grant->until)
		return grant->amount;
	if (!pr_grant_is_fallback(grants, grant, now))
		return 0;
	floor = pr_grants_floor(grants, pr_slice_of(grant->resource));
	if (now - grant->unanswered_since >= grants->options.lifetime)
		return floor;
	return grant->amount < floor ? grant->amount : floor;
}

static void request(pr_grants_t *grants, pr_grant_t *grant, pr_usec_t now)
{
	pr_slice_t resource = pr_slice_of(grant->resource);
	pr_slice_t owner = grants->ops->owner(grants->data, resource);
	uint64_t wanted = pr_grant_wanted(grant->demand, grant->in_use);
	pr_lease_message_t message = { .kind = PR_LEASE_REQUEST,
				       .in_use = grant->in_use };
	uint32_t floor = pr_grants_floor(grants, resource);

	/* What demand does not need is returned with this request. */
	if (grant->amount > wanted + wanted / 4)
		grant->amount = (uint32_t)(wanted + wanted / 4);
	grant->sent = now > grant->sent ? now : grant->sent + 1;
	grant->asked = wanted;
	message.sent = grant->sent;
	message.held = pr_grant_amount(grants, grant, now);
	/*
	 * With an earlier request unanswered this host may come to its floor
	 * before the answer arrives, so the owner has to count that.
	 */
	if (grant->unanswered_since && message.held < floor)
		message.held = floor;
	if (!grant->unanswered_since && wanted)
		grant->unanswered_since = now ? now : 1;
	memcpy(message.resource, grant->resource, sizeof(message.resource));
	memcpy(message.demand, grant->demand, sizeof(message.demand));
	grants->stats.requests_sent++;
	if (owner.len)
		pr_grants_send(grants, owner, &message);
}

void pr_grant_release(pr_grants_t *grants, pr_grant_t *grant, pr_usec_t now)
{
	pr_grant_t **link = &grants->shares;

	observe(grants, now);
	memset(grant->demand, 0, sizeof(grant->demand));
	grant->in_use = 0;
	request(grants, grant, now);
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
	uint64_t wanted = pr_grant_wanted(demand, in_use);
	bool grew = wanted > grant->asked + grant->asked / 4;

	observe(grants, now);
	memcpy(grant->demand, demand, sizeof(grant->demand));
	grant->in_use = in_use;
	if (grew && wanted > pr_grant_amount(grants, grant, now) &&
	    (grant->sent < 0 ||
	     now - grant->sent >= grants->options.renew_interval_min))
		request(grants, grant, now);
}

void pr_grants_tick(pr_grants_t *grants, pr_usec_t now)
{
	pr_grant_t *grant;

	observe(grants, now);
	for (grant = grants->shares; grant; grant = grant->next) {
		uint64_t wanted = pr_grant_wanted(grant->demand, grant->in_use);
		bool leased = now < grant->until && grant->amount;

		if (!wanted && !leased) {
			grant->unanswered_since = 0;
			continue;
		}
		if (grant->sent < 0 ||
		    now - grant->sent >= grants->options.renew_interval)
			request(grants, grant, now);
	}
	pr_owner_recheck(grants, now);
}

int pr_grants_receive(pr_grants_t *grants, pr_slice_t from, pr_slice_t bytes,
		      pr_usec_t now)
{
	pr_lease_message_t message;

	observe(grants, now);
	if (pr_lease_decode(&message, bytes)) {
		grants->stats.malformed++;
		return PR_EPARSE;
	}
	handle(grants, from, &message, now);
	return 0;
}
