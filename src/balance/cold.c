/*
 * Ramps of cold upstreams. The level, the limit of requests in flight from the
 * whole fleet, is cold_slots for the hold time and then rises linearly to all
 * slots. Each host has a share of the level; the shares add up to it. Hosts
 * compute the shares without messages: for each upstream they rank the hosts by
 * hash (rendezvous hashing), and the first (level mod hosts) hosts get one
 * request more.
 */
#include "balance/internal.h"

#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

void pr_balance_begin_ramp(pr_balance_t *balance,
			   pr_balance_upstream_t *upstream, pr_usec_t now)
{
	if (!balance->options.ramp)
		return;
	upstream->cold = true;
	upstream->ramp_start = now;
	upstream->slow = 0;
	upstream->excess = 0;
	/* A restart empties the prefix cache. */
	free(upstream->prefix);
	upstream->prefix = NULL;
	balance->counters.ramps++;
}

int pr_balance_set_hosts(pr_balance_t *balance, const char *const *hosts,
			 unsigned int count, pr_usec_t now)
{
	uint64_t *hashes = calloc(count + 1, sizeof(*hashes));

	if (!balance->views) {
		balance->views =
			calloc(PR_BALANCE_VIEWS_MAX, sizeof(*balance->views));
		/* An empty view for the time before the first one, in which the
		 * host has no share. */
		if (balance->views) {
			balance->views[0].id = ++balance->next_view;
			balance->views[0].replaced = PR_USEC_NEVER;
		}
	}
	if (!hashes || !balance->views) {
		free(hashes);
		return pr_error_set(PR_ENOMEM, "no memory for a host view");
	}
	for (unsigned int i = 0; i < count; i++)
		hashes[i] = pr_hash64(hosts[i], strlen(hosts[i]), 0);
	if (balance->views[1].id &&
	    now - balance->views[1].replaced <
		    balance->options.settle_time / (PR_BALANCE_VIEWS_MAX - 2)) {
		/* Overwrite the current view: in a burst of changes, adding
		 * views would push older ones out of the list before their
		 * settling time has passed. */
		free(balance->views[0].hosts);
	} else {
		free(balance->views[PR_BALANCE_VIEWS_MAX - 1].hosts);
		memmove(&balance->views[1], &balance->views[0],
			(PR_BALANCE_VIEWS_MAX - 1) * sizeof(*balance->views));
		balance->views[1].replaced = now;
	}
	balance->views[0] = (pr_balance_view_t){
		.id = ++balance->next_view,
		.replaced = PR_USEC_NEVER,
		.hosts = hashes,
		.count = count,
	};
	return 0;
}

/* Returns the rank of this host in a view. It is cached, because computing it
 * takes a hash per host. */
static const pr_balance_rank_t *find_rank(const pr_balance_t *balance,
					  pr_balance_upstream_t *upstream,
					  const pr_balance_view_t *view)
{
	pr_balance_rank_t *rank =
		&upstream->ranks[view->id % PR_BALANCE_VIEWS_MAX];
	uint64_t own = pr_hash64(balance->host, strlen(balance->host), 0);
	uint64_t score = pr_hash64(&own, sizeof(own), upstream->hash);
	bool member = false;

	if (rank->view == view->id)
		return rank;
	*rank = (pr_balance_rank_t){ .view = view->id };
	for (unsigned int i = 0; i < view->count; i++) {
		if (view->hosts[i] == own)
			member = true;
		else if (pr_hash64(&view->hosts[i], sizeof(uint64_t),
				   upstream->hash) > score)
			rank->rank++;
	}
	rank->hosts = member ? view->count : 0;
	return rank;
}

/* Returns this host's share of the level; 0 if it is not in the view. */
static uint32_t share_of(const pr_balance_rank_t *rank, uint32_t level)
{
	if (!rank->hosts)
		return 0;
	return level / rank->hosts + (rank->rank < level % rank->hosts);
}

/* Returns the smallest share over all views that were valid within the settling
 * time. Hosts learn of a membership change at different times; until all have,
 * no host uses a share that another host may still be using. */
static uint32_t default_share(const pr_balance_t *balance,
			      pr_balance_upstream_t *upstream, uint32_t level,
			      pr_usec_t now)
{
	uint32_t smallest = UINT32_MAX;

	if (!balance->views)
		return level;
	for (unsigned int i = 0; i < PR_BALANCE_VIEWS_MAX; i++) {
		const pr_balance_view_t *view = &balance->views[i];
		uint32_t share;

		if (!view->id ||
		    (i > 0 &&
		     view->replaced + balance->options.settle_time <= now))
			break;
		share = share_of(find_rank(balance, upstream, view), level);
		if (share < smallest)
			smallest = share;
	}
	return smallest;
}

uint32_t pr_balance_level(const pr_balance_t *balance,
			  const pr_balance_upstream_t *upstream, pr_usec_t now)
{
	pr_usec_t age = now - upstream->ramp_start - balance->options.ramp_hold;
	uint32_t rise = 0;

	if (!upstream->cold)
		return upstream->slots;
	if (age > 0 && upstream->slots > upstream->cold_slots)
		rise = (uint32_t)((double)(upstream->slots -
					   upstream->cold_slots) *
				  (double)age /
				  (double)balance->options.ramp_time);
	return upstream->cold_slots + rise;
}

uint32_t pr_balance_ceiling(pr_balance_t *balance,
			    pr_balance_upstream_t *upstream, pr_usec_t now)
{
	pr_usec_t age = now - upstream->ramp_start;

	if (!upstream->cold)
		return UINT32_MAX;
	if (age >= balance->options.ramp_hold + balance->options.ramp_time) {
		upstream->cold = false;
		return UINT32_MAX;
	}
	if (now < upstream->granted_until)
		return upstream->granted;
	if (!balance->options.use_default_share)
		return 0;
	return default_share(balance, upstream,
			     pr_balance_level(balance, upstream, now), now);
}

int pr_balance_set_grant(pr_balance_t *balance, const char *name,
			 uint32_t amount, pr_usec_t until)
{
	pr_balance_upstream_t *upstream = pr_balance_find(balance, name);

	if (!upstream)
		return pr_error_set(PR_ENOTFOUND, "no upstream %s", name);
	upstream->granted = amount;
	upstream->granted_until = until;
	return 0;
}

int pr_balance_set_cold(pr_balance_t *balance, const char *name, pr_usec_t now)
{
	pr_balance_upstream_t *upstream = pr_balance_find(balance, name);

	if (!upstream)
		return pr_error_set(PR_ENOTFOUND, "no upstream %s", name);
	pr_balance_begin_ramp(balance, upstream, now);
	/* The failures were those of the previous process. */
	upstream->errors = 0;
	upstream->ejected_until = 0;
	return 0;
}

int pr_balance_set_leaving(pr_balance_t *balance, const char *name,
			   bool leaving, pr_usec_t now)
{
	pr_balance_upstream_t *upstream = pr_balance_find(balance, name);

	if (!upstream)
		return pr_error_set(PR_ENOTFOUND, "no upstream %s", name);
	if (upstream->event_leaving && !leaving)
		pr_balance_begin_ramp(balance, upstream, now);
	upstream->event_leaving = leaving;
	return 0;
}

int pr_balance_set_zone(pr_balance_t *balance, const char *name, bool out,
			pr_usec_t now)
{
	for (unsigned int i = 0; i < balance->zones_count; i++) {
		pr_balance_zone_t *zone = &balance->zones[i];

		if (strcmp(zone->name, name) != 0)
			continue;
		for (unsigned int j = 0; j < balance->upstreams_count; j++)
			if (zone->event_out && !out &&
			    balance->upstreams[j]->zone_index == i)
				pr_balance_begin_ramp(
					balance, balance->upstreams[j], now);
		zone->event_out = out;
		return 0;
	}
	return pr_error_set(PR_ENOTFOUND, "no zone %s", name);
}
