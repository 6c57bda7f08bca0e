/*
 * Grant task: connects the grant slice with its messages, the view of hosts
 * and a timer. What is demanded and where amounts go is in grant_demand.c.
 *
 * There are two instances of the slice. Limits of workspaces are many and do
 * no harm when they are divided by the demand of some seconds ago, so their
 * leases live longer and cost a sixth of the messages.
 */
#include "router/grant_task.h"

#include <math.h>
#include <stdlib.h>

#include "base/list.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "router/router.h"

#define TICK_EVERY    (100 * PR_USEC_PER_MSEC)
#define SLOW_LIFETIME (10 * PR_USEC_PER_SEC)
#define SLOW_RENEW    (4 * PR_USEC_PER_SEC)
#define SLOW_EARLY    (500 * PR_USEC_PER_MSEC)
/* A share of a resource that is gone is forgotten after this time. */
#define SHARE_IDLE (30 * PR_USEC_PER_SEC)
/* Rates are measured over at least this time. */
#define RATE_PERIOD (500 * PR_USEC_PER_MSEC)
/* A larger weight makes the noise of 15 requests/s look like growth, and each
 * growth by a quarter costs a message. */
#define RATE_WEIGHT     0.25

#define SHARES_EXPECTED 256

#define FAST_MESSAGE    "lease"
#define SLOW_MESSAGE    "lease_limits"

static const char *const prefixes[PR_LEASE_KINDS] = {
	[PR_LEASE_COLD] = "cold",           [PR_LEASE_EXPOSURE] = "exposure",
	[PR_LEASE_REQUESTS] = "requests",   [PR_LEASE_TOKENS] = "tokens",
	[PR_LEASE_IN_FLIGHT] = "in_flight",
};

static uint64_t key_of(const char *resource)
{
	return pr_hash64(resource, strlen(resource), 0);
}

static pr_lease_share_t *find_share(const pr_leases_t *leases,
				    const char *resource)
{
	pr_index_node_t *node = pr_index_find(&leases->index, key_of(resource));

	for (; node; node = pr_index_same(node)) {
		pr_lease_share_t *share =
			PR_OWNER(node, pr_lease_share_t, node);

		if (!strcmp(share->resource, resource))
			return share;
	}
	return NULL;
}

pr_lease_share_t *pr_leases_share(pr_leases_t *leases, pr_lease_kind_t kind,
				  const char *name, pr_usec_t now)
{
	char resource[PR_GRANT_NAME_SIZE];
	pr_lease_share_t *share;
	int length = snprintf(resource, sizeof(resource), "%s/%s",
			      prefixes[kind], name);

	if (length < 0 || (size_t)length >= sizeof(resource))
		return NULL;
	share = find_share(leases, resource);
	if (share)
		return share;
	share = calloc(1, sizeof(*share));
	if (!share)
		return NULL;
	share->kind = kind;
	share->grants = kind <= PR_LEASE_EXPOSURE ? leases->fast : leases->slow;
	share->grant = pr_grants_get(share->grants, pr_slice_of(resource));
	if (!share->grant) {
		free(share);
		return NULL;
	}
	memcpy(share->resource, resource, sizeof(resource));
	share->measured = share->updated = now;
	share->next = leases->shares;
	leases->shares = share;
	pr_index_add(&leases->index, &share->node, key_of(resource));
	return share;
}

double pr_lease_rate(pr_lease_share_t *share, uint64_t counter, pr_usec_t now)
{
	pr_usec_t period = now - share->measured;
	double rate;

	/* A counter that begins anew belongs to a workspace that was removed
	 * and added again. */
	if (!share->counting || counter < share->counted)
		share->counted = counter;
	share->counting = true;
	if (period < RATE_PERIOD)
		return share->rate;
	rate = (double)(counter - share->counted) * PR_USEC_PER_SEC /
	       (double)period;
	share->rate += RATE_WEIGHT * (rate - share->rate);
	if (share->rate < 1.0 / PR_LEASE_SCALE)
		share->rate = 0;
	share->counted = counter;
	share->measured = now;
	return share->rate;
}

void pr_lease_demand(pr_lease_share_t *share, double wanted, uint32_t in_use,
		     pr_usec_t now)
{
	uint32_t demand[PR_GRANT_CLASSES] = { 0 };

	/* Asking for more than the whole limit would only skew the division. */
	wanted = fmin(wanted, share->most);
	demand[0] = (uint32_t)fmin(ceil(wanted), UINT32_MAX);
	share->updated = now;
	pr_grant_set_demand(share->grants, share->grant, demand, in_use, now);
}

bool pr_lease_holds(const pr_lease_share_t *share, pr_usec_t now)
{
	return now < pr_grant_expires_at(share->grant);
}

/* A resource that was not updated is gone: the upstream is warm, the version
 * proven, or the limit was removed. */
static void drop_unused(pr_leases_t *leases, pr_usec_t now)
{
	static const uint32_t none[PR_GRANT_CLASSES];
	pr_lease_share_t **link = &leases->shares;

	while (*link) {
		pr_lease_share_t *share = *link;

		if (share->updated != now)
			pr_grant_set_demand(share->grants, share->grant, none,
					    0, now);
		if (now - share->updated < SHARE_IDLE) {
			link = &share->next;
			continue;
		}
		*link = share->next;
		pr_index_remove(&leases->index, &share->node);
		pr_grant_release(share->grants, share->grant, now);
		free(share);
	}
}

static void set_view(pr_router_t *router, bool always)
{
	pr_leases_t *leases = router->leases;
	unsigned int listed = router->member
				      ? pr_member_listed_count(router->member)
				      : router->hosts.count;
	pr_usec_t now = pr_router_now(router);

	if (!always && leases->live == router->live_hosts &&
	    leases->listed == listed)
		return;
	leases->live = router->live_hosts;
	leases->listed = listed;
	pr_grants_set_view(leases->fast, leases->live, listed, now);
	pr_grants_set_view(leases->slow, leases->live, listed, now);
}

static void on_tick(pr_timer_t *timer, pr_usec_t now)
{
	pr_router_t *router = timer->data;

	if (!router->fleet)
		return;
	set_view(router, false);
	pr_grant_demand_update(router, now);
	pr_grants_tick(router->leases->fast, now);
	pr_grants_tick(router->leases->slow, now);
	drop_unused(router->leases, now);
}

static pr_slice_t find_owner(void *data, pr_slice_t resource)
{
	return pr_slice_of(pr_hosts_owner(data, resource));
}

static uint32_t find_limit(void *data, pr_slice_t resource)
{
	pr_router_t *router = data;

	return router->fleet ? pr_grant_demand_limit(router, resource) : 0;
}

static void send_message(pr_router_t *router, pr_slice_t host, const char *type,
			 pr_slice_t message)
{
	char name[PR_GRANT_NAME_SIZE];

	if (!pr_slice_copy(name, sizeof(name), host))
		pr_peers_send(router->peers, name, type, message);
}

/* The resource's name stands in the message as it is. */
static void count_bytes(pr_router_t *router, pr_slice_t message)
{
	for (unsigned int i = 0; i < PR_LEASE_KINDS; i++) {
		char text[16];
		int len = snprintf(text, sizeof(text), "%s/", prefixes[i]);

		if (memmem(message.ptr, message.len, text, (size_t)len)) {
			router->leases->bytes[i] += message.len;
			return;
		}
	}
}

static void send_fast(void *data, pr_slice_t host, pr_slice_t message)
{
	count_bytes(data, message);
	send_message(data, host, FAST_MESSAGE, message);
}

static void send_slow(void *data, pr_slice_t host, pr_slice_t message)
{
	count_bytes(data, message);
	send_message(data, host, SLOW_MESSAGE, message);
}

static const pr_grant_ops_t fast_ops = {
	.owner = find_owner,
	.limit = find_limit,
	.send = send_fast,
};

static const pr_grant_ops_t slow_ops = {
	.owner = find_owner,
	.limit = find_limit,
	.send = send_slow,
};

static int init(pr_router_t *router)
{
	pr_grant_options_t options = PR_GRANT_OPTIONS_INIT;
	pr_usec_t now = pr_router_now(router);
	pr_leases_t *leases = calloc(1, sizeof(*leases));
	int rc;

	if (!leases)
		return pr_error_set(PR_ENOMEM, "no memory for leases");
	router->leases = leases;
	leases->router = router;
	options.host = pr_slice_of(router->settings->host);
	rc = pr_index_init(&leases->index, SHARES_EXPECTED);
	if (!rc)
		rc = pr_grants_open(&leases->fast, &options, &fast_ops, router,
				    now);
	options.lifetime = SLOW_LIFETIME;
	options.renew_interval = SLOW_RENEW;
	options.renew_interval_min = SLOW_EARLY;
	if (!rc)
		rc = pr_grants_open(&leases->slow, &options, &slow_ops, router,
				    now);
	if (rc)
		return rc;
	set_view(router, true);
	leases->tick.data = router;
	pr_timers_subscribe(&router->timers, &leases->tick, TICK_EVERY,
			    TICK_EVERY, on_tick);
	return 0;
}

static void view_changed(pr_router_t *router)
{
	set_view(router, true);
}

static bool on_message(pr_router_t *router, pr_slice_t from, pr_slice_t type,
		       pr_slice_t payload)
{
	pr_grants_t *grants;

	if (pr_slice_equal(type, PR_SLICE(FAST_MESSAGE)))
		grants = router->leases->fast;
	else if (pr_slice_equal(type, PR_SLICE(SLOW_MESSAGE)))
		grants = router->leases->slow;
	else
		return false;
	pr_grants_receive(grants, from, payload, pr_router_now(router));
	return true;
}

static void print_side(pr_str_t *out, const char *side,
		       const pr_grants_t *grants)
{
	const pr_grant_stats_t *stats = pr_grants_stats(grants);

	pr_str_appendf(out,
		       "pr_lease_requests_total{side=\"%s\"} %llu\n"
		       "pr_lease_granted_total{side=\"%s\"} %llu\n"
		       "pr_lease_waits_total{side=\"%s\"} %llu\n"
		       "pr_lease_not_owner_total{side=\"%s\"} %llu\n",
		       side, (unsigned long long)stats->requests_sent, side,
		       (unsigned long long)stats->requests_granted, side,
		       (unsigned long long)stats->waits, side,
		       (unsigned long long)stats->not_owner);
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	const pr_leases_t *leases = router->leases;

	print_side(out, "fast", leases->fast);
	print_side(out, "slow", leases->slow);
	pr_str_appendf(out, "pr_lease_shares %u\n",
		       (unsigned int)leases->index.count);
	for (unsigned int i = 0; i < PR_LEASE_KINDS; i++)
		pr_str_appendf(out, "pr_lease_bytes_total{kind=\"%s\"} %llu\n",
			       prefixes[i],
			       (unsigned long long)leases->bytes[i]);
}

static void finish(pr_router_t *router)
{
	pr_leases_t *leases = router->leases;
	pr_lease_share_t *share, *next;

	if (!leases)
		return;
	pr_timers_unsubscribe(&router->timers, &leases->tick);
	for (share = leases->shares; share; share = next) {
		next = share->next;
		free(share);
	}
	pr_index_finish(&leases->index);
	pr_grants_close(leases->fast);
	pr_grants_close(leases->slow);
	free(leases);
	router->leases = NULL;
}

const pr_task_ops_t pr_grant_task = {
	.name = "grants",
	.init = init,
	.view_changed = view_changed,
	.message = on_message,
	.metrics = print_metrics,
	.finish = finish,
};
