/* What this host needs of each fleet-wide limit, and where amounts go. */
#include <math.h>

#include "router/grant_task.h"
#include "router/router.h"

/* An amount is applied for this long and renewed at each tick of 100 ms; a
 * process that pauses does not wake up with an amount that ended meanwhile. */
#define APPLY_TIME (300 * PR_USEC_PER_MSEC)
/* Demand above what was used, so that a rise between two renewals is served. */
#define HEADROOM 1.25
/* Choices per second that pass an upstream over and count as demand for it;
 * the smoothed rate of a single one falls below this in a second. */
#define PASSED_OVER_MIN 0.5

static pr_usec_t apply_until(const pr_lease_share_t *share, pr_usec_t now)
{
	pr_usec_t end = pr_grant_expires_at(share->grant);

	return now < end && end < now + APPLY_TIME ? end : now + APPLY_TIME;
}

/* Requests in flight, and as many again (at least one) while choices pass the
 * upstream over. The need itself is not known: work that went elsewhere does
 * not tell how long it would have taken here. */
static void update_cold(pr_router_t *router, pr_balance_upstream_t *upstream,
			pr_usec_t now)
{
	pr_balance_status_t status;
	pr_lease_share_t *share;
	double wanted;
	uint32_t amount;

	pr_balance_status(&router->balance, &status, upstream, now);
	if (!status.cold)
		return;
	share = pr_leases_share(router->leases, PR_LEASE_COLD, status.name,
				now);
	if (!share)
		return;
	wanted = status.in_flight;
	if (pr_lease_rate(share, status.ceiling_skips, now) > PASSED_OVER_MIN ||
	    status.ceiling_skips != share->counted)
		wanted += fmax(wanted, 1);
	else if (status.in_flight)
		wanted += 1;
	share->most = status.level;
	pr_lease_demand(share, wanted, status.in_flight, now);
	amount = pr_grant_amount(share->grants, share->grant, now);
	pr_balance_set_grant(&router->balance, status.name, amount,
			     apply_until(share, now));
}

static void update_exposure(pr_router_t *router,
			    const pr_rollout_tracker_t *track, pr_usec_t now)
{
	char name[2 * PR_ROLLOUT_NAME_MAX + 2];
	pr_lease_share_t *share;
	double rate;

	if (track->state != PR_VERSION_ROLLING)
		return;
	snprintf(name, sizeof(name), "%s@%s", track->model, track->version);
	share = pr_leases_share(router->leases, PR_LEASE_EXPOSURE, name, now);
	if (!share)
		return;
	share->most =
		pr_grant_demand_limit(router, pr_slice_of(share->resource));
	rate = pr_lease_rate(share, track->exposed, now) * HEADROOM;
	pr_lease_demand(share, rate * PR_LEASE_SCALE, 0, now);
	if (pr_lease_holds(share, now))
		pr_rollout_set_grant(&router->rollout,
				     pr_slice_of(track->model),
				     pr_slice_of(track->version),
				     (double)pr_grant_amount(
					     share->grants, share->grant, now) /
					     PR_LEASE_SCALE,
				     apply_until(share, now), now);
}

static const struct {
	pr_admit_limit_t limit;
	double scale;
} workspace_kinds[PR_LEASE_KINDS] = {
	[PR_LEASE_REQUESTS] = { PR_ADMIT_REQUESTS, PR_LEASE_SCALE },
	[PR_LEASE_TOKENS] = { PR_ADMIT_TOKENS, 1 },
	[PR_LEASE_IN_FLIGHT] = { PR_ADMIT_IN_FLIGHT, 1 },
};

static double workspace_wanted(const pr_admit_workspace_t *workspace,
			       pr_lease_share_t *share, uint32_t open,
			       pr_usec_t now)
{
	double refused;

	switch (share->kind) {
	case PR_LEASE_REQUESTS:
		return HEADROOM *
		       pr_lease_rate(share,
				     workspace->admitted + workspace->refused,
				     now);
	case PR_LEASE_TOKENS:
		return HEADROOM *
		       pr_lease_rate(share, workspace->tokens_requested, now);
	default:
		refused = pr_lease_rate(share, workspace->refused, now);
		return open + (open || refused > 0) +
		       (refused > 0 ? open / 4 : 0);
	}
}

static void update_workspace(pr_router_t *router,
			     const pr_admit_workspace_t *workspace,
			     pr_lease_kind_t kind, pr_usec_t now)
{
	const pr_admit_limit_t limit = workspace_kinds[kind].limit;
	uint32_t open = workspace->in_flight[PR_ADMIT_INTERACTIVE] +
			workspace->in_flight[PR_ADMIT_BATCH];
	pr_lease_share_t *share;
	double wanted;

	if (workspace->buckets[limit].limit <= 0)
		return;
	share = pr_leases_share(router->leases, kind, workspace->name, now);
	if (!share)
		return;
	share->most =
		workspace->buckets[limit].limit * workspace_kinds[kind].scale;
	wanted = workspace_wanted(workspace, share, open, now);
	pr_lease_demand(share, wanted * workspace_kinds[kind].scale,
			kind == PR_LEASE_IN_FLIGHT ? open : 0, now);
	/* Without a lease the slice's default applies: an equal part. */
	if (pr_lease_holds(share, now))
		pr_admit_set_share(&router->admit, pr_slice_of(workspace->name),
				   limit,
				   (double)pr_grant_amount(share->grants,
							   share->grant, now) /
					   workspace_kinds[kind].scale,
				   apply_until(share, now));
}

void pr_grant_demand_update(pr_router_t *router, pr_usec_t now)
{
	for (unsigned int i = 0; i < router->balance.upstreams_count; i++)
		update_cold(router, router->balance.upstreams[i], now);
	for (unsigned int i = 0; i < router->rollout.trackers_count; i++)
		update_exposure(router, &router->rollout.trackers[i], now);
	for (unsigned int i = 0; i < router->admit.workspaces_count; i++)
		for (unsigned int kind = PR_LEASE_REQUESTS;
		     kind < PR_LEASE_KINDS; kind++)
			update_workspace(router, &router->admit.workspaces[i],
					 (pr_lease_kind_t)kind, now);
}

static bool strip(pr_slice_t *name, pr_slice_t resource, pr_slice_t prefix)
{
	if (!pr_slice_starts_with(resource, prefix))
		return false;
	*name = pr_slice(resource.ptr + prefix.len, resource.len - prefix.len);
	return true;
}

static uint32_t cold_limit(pr_router_t *router, pr_slice_t name)
{
	char text[PR_GRANT_NAME_SIZE];
	pr_balance_upstream_t *upstream;
	pr_balance_status_t status;

	if (pr_slice_copy(text, sizeof(text), name))
		return 0;
	upstream = pr_balance_find(&router->balance, text);
	if (!upstream)
		return 0;
	pr_balance_status(&router->balance, &status, upstream,
			  router->timers.now);
	return status.level;
}

static uint32_t workspace_limit(const pr_router_t *router, pr_slice_t name,
				pr_lease_kind_t kind)
{
	int index = pr_admit_find(&router->admit, name);
	double limit;

	if (index < 0)
		return 0;
	limit = router->admit.workspaces[index]
			.buckets[workspace_kinds[kind].limit]
			.limit *
		workspace_kinds[kind].scale;
	return (uint32_t)fmin(limit, UINT32_MAX);
}

uint32_t pr_grant_demand_limit(pr_router_t *router, pr_slice_t resource)
{
	pr_slice_t name;

	if (strip(&name, resource, PR_SLICE("cold/")))
		return cold_limit(router, name);
	if (strip(&name, resource, PR_SLICE("exposure/")))
		return router->fleet->fleet->defaults.exposure_per_s *
		       PR_LEASE_SCALE;
	if (strip(&name, resource, PR_SLICE("requests/")))
		return workspace_limit(router, name, PR_LEASE_REQUESTS);
	if (strip(&name, resource, PR_SLICE("tokens/")))
		return workspace_limit(router, name, PR_LEASE_TOKENS);
	if (strip(&name, resource, PR_SLICE("in_flight/")))
		return workspace_limit(router, name, PR_LEASE_IN_FLIGHT);
	return 0;
}
