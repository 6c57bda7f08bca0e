/* Request rates that upstreams state: what this host hears of them goes to the
 * other hosts. */
#include "base/event_log.h"
#include "edge/edge.h"
#include "edge/peer_parts.h"

static pr_upstream_t *find_by_tag(const pr_registry_t *registry, uint32_t tag)
{
	for (pr_list_t *at = registry->upstreams.next;
	     at != &registry->upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);

		if (upstream->tag == tag)
			return upstream;
	}
	return NULL;
}

void pr_peers_receive_rates(pr_edge_t *edge, const pr_host_t *host,
			    const pr_msgmap_t *map)
{
	pr_upstream_rate_t rates[PR_RATES_IN_DATAGRAM];
	size_t count = pr_message_read_rates(map, rates, PR_RATES_IN_DATAGRAM);
	bool forwards = edge->peering.is_relay && pr_peers_in_zone(edge, host);

	/* Statements are compared by the store's clock. */
	if (!edge->store_clock.is_known)
		return;
	for (size_t i = 0; i < count; i++) {
		pr_upstream_t *upstream =
			find_by_tag(&edge->registry, rates[i].tag);

		if (upstream &&
		    pr_stated_rate_merge(&upstream->rate, &rates[i].statement,
					 forwards, pr_edge_store_now(edge),
					 pr_edge_now(edge)))
			pr_event("upstream_rate_reported",
				 "id=%s per_s=%.3f host=%s", upstream->entry.id,
				 rates[i].statement.per_s, host->name);
	}
}

static void send_rates(pr_edge_t *edge, pr_audience_t audience,
		       const pr_upstream_rate_t *rates, size_t count)
{
	pr_str_t bytes = PR_STR_INIT;

	if (count &&
	    !pr_message_pack_rates(&bytes, edge->settings->host, rates, count))
		pr_peers_send_audience(edge, audience, &bytes);
	pr_str_finish(&bytes);
}

static void send_due_rates(pr_edge_t *edge, pr_audience_t audience)
{
	pr_upstream_rate_t rates[PR_RATES_IN_DATAGRAM];
	size_t count = 0;

	for (pr_list_t *at = edge->registry.upstreams.next;
	     at != &edge->registry.upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);

		if (!pr_stated_rate_take_due(&upstream->rate, audience,
					     pr_edge_store_now(edge),
					     pr_edge_now(edge)))
			continue;
		rates[count++] =
			(pr_upstream_rate_t){ upstream->tag,
					      upstream->rate.statement };
		if (count == PR_RATES_IN_DATAGRAM) {
			send_rates(edge, audience, rates, count);
			count = 0;
		}
	}
	send_rates(edge, audience, rates, count);
}

void pr_peers_update_rates(pr_edge_t *edge)
{
	if (!edge->store_clock.is_known)
		return;
	for (int i = 0; i < PR_AUDIENCES_COUNT; i++)
		send_due_rates(edge, (pr_audience_t)i);
}
