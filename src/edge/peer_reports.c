/*
 * Reports on upstreams and transitions, and the sums that relays compute of
 * them.
 */
#include <math.h>

#include "edge/edge.h"
#include "edge/peer_parts.h"

/* Counts of all hosts that are lower than the known ones are accepted only when
 * the known ones are older than this. */
#define TOTALS_AGE_MAX PR_USEC_PER_SEC

/* Upstreams */

static uint16_t to_u16(double value)
{
	return value <= 0           ? 0
	       : value < UINT16_MAX ? (uint16_t)value
				    : UINT16_MAX;
}

static bool report_load(pr_upstream_t *upstream, pr_upstream_count_t *out)
{
	out->in_flight = to_u16(upstream->in_flight);
	out->waiting =
		to_u16(upstream->pending_prefill_ms / PR_WAITING_UNIT_MS);
	upstream->reported_in_flight = out->in_flight;
	upstream->reported_prefill_ms = out->waiting * PR_WAITING_UNIT_MS;
	return out->in_flight;
}

/* Load from the other hosts: the sum less what this host last reported. */
static void receive_load(pr_upstream_t *upstream,
			 const pr_upstream_count_t *sum, pr_usec_t now)
{
	double waiting_ms = sum->waiting * PR_WAITING_UNIT_MS;

	upstream->peers_in_flight =
		sum->in_flight > upstream->reported_in_flight
			? sum->in_flight - upstream->reported_in_flight
			: 0;
	upstream->peers_prefill_ms =
		fmax(waiting_ms - upstream->reported_prefill_ms, 0);
}

static bool report_outcomes(pr_upstream_t *upstream, pr_upstream_count_t *out)
{
	out->answered = to_u16(upstream->outcomes.answered / PR_OUTCOME_UNIT);
	out->failed = to_u16(upstream->outcomes.failed / PR_OUTCOME_UNIT);
	upstream->reported_outcomes = upstream->outcomes;
	return out->answered;
}

static void receive_outcomes(pr_upstream_t *upstream,
			     const pr_upstream_count_t *sum, pr_usec_t now)
{
	const pr_outcomes_t *reported = &upstream->reported_outcomes;
	pr_outcomes_t *others = &upstream->peers_outcomes;

	others->answered =
		fmax(sum->answered * PR_OUTCOME_UNIT - reported->answered, 0);
	others->failed =
		fmax(sum->failed * PR_OUTCOME_UNIT - reported->failed, 0);
	others->at = now;
}

static const struct {
	/** Set this host's counts; returns false when there is nothing to
	 *  report. */
	bool (*report)(pr_upstream_t *upstream, pr_upstream_count_t *out);
	/** Apply the sum of all hosts. */
	void (*receive)(pr_upstream_t *upstream, const pr_upstream_count_t *sum,
			pr_usec_t now);
} count_kinds[PR_COUNT_KINDS] = {
	[PR_COUNT_LOAD] = { report_load, receive_load },
	[PR_COUNT_OUTCOMES] = { report_outcomes, receive_outcomes },
};

static void collect_counts(pr_edge_t *edge, pr_count_kind_t kind,
			   pr_upstream_counts_t *out)
{
	pr_usec_t now = pr_edge_now(edge);

	for (pr_list_t *at = edge->registry.upstreams.next;
	     at != &edge->registry.upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);
		pr_upstream_count_t count = { .tag = upstream->tag };

		pr_outcomes_decay(&upstream->outcomes, now);
		if (count_kinds[kind].report(upstream, &count))
			pr_upstream_counts_add(out, &count);
	}
}

static void apply_sum(pr_edge_t *edge, pr_count_kind_t kind,
		      const pr_upstream_counts_t *sum)
{
	pr_usec_t now = pr_edge_now(edge);

	for (pr_list_t *at = edge->registry.upstreams.next;
	     at != &edge->registry.upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);
		pr_upstream_count_t none = { .tag = upstream->tag };
		const pr_upstream_count_t *found = &none;

		for (size_t i = 0; i < sum->count; i++) {
			if (sum->items[i].tag == upstream->tag)
				found = &sum->items[i];
		}
		count_kinds[kind].receive(upstream, found, now);
	}
}

static void save_counts(pr_edge_t *edge, pr_host_t *host, pr_count_kind_t kind,
			const pr_upstream_counts_t *counts)
{
	pr_host_report_t *report = pr_host_report_get(host);

	if (!report)
		return;
	report->upstreams[kind].counts = *counts;
	report->upstreams[kind].at = pr_edge_now(edge);
}

void pr_peers_report_counts(pr_edge_t *edge, pr_count_kind_t kind)
{
	pr_upstream_counts_t counts = { .count = 0 };
	pr_str_t bytes = PR_STR_INIT;
	pr_host_t *self = pr_peers_self(edge);

	collect_counts(edge, kind, &counts);
	if (self && edge->peering.is_relay)
		save_counts(edge, self, kind, &counts);
	if (!pr_message_pack_counts(&bytes, edge->settings->host, kind, &counts,
				    NULL))
		pr_peers_send_zone_relays(edge, &bytes);
	pr_str_finish(&bytes);
}

/* The relays of the region get the sum of this zone, the hosts that report to
 * this relay get the sum of the region. */
void pr_peers_send_digest(pr_edge_t *edge, pr_count_kind_t kind)
{
	const pr_roster_t *roster = &edge->peering.roster;
	const char *host = edge->settings->host;
	pr_usec_t now = pr_edge_now(edge);
	pr_feed_state_t state = pr_peers_feed_state(edge, PR_DISTANCE_REGION);
	pr_str_t bytes = PR_STR_INIT;
	pr_upstream_counts_t counts = { .count = 0 };

	pr_aggregate_zone_counts(&counts, roster, edge->settings->zone, kind,
				 now);
	if (!pr_message_pack_counts(&bytes, host, kind, &counts, &state))
		pr_peers_send_relays(edge, PR_DISTANCE_REGION, &bytes);
	for (size_t i = 0; i < edge->map.count; i++) {
		const char *zone = edge->map.zones[i].name;

		if (strcmp(zone, edge->settings->zone) != 0 &&
		    pr_peers_in_region(edge, zone))
			pr_aggregate_other_zone_counts(&counts, roster, zone,
						       kind, now);
	}
	pr_str_clear(&bytes);
	if (!pr_message_pack_counts(&bytes, host, kind, &counts, &state))
		pr_peers_send_followers(edge, &bytes);
	pr_str_finish(&bytes);
	apply_sum(edge, kind, &counts);
}

/* Regions share the rows of the store, but no upstreams, so the digest has no
 * counts. */
void pr_peers_send_distant_digest(pr_edge_t *edge)
{
	pr_feed_state_t state =
		pr_peers_feed_state(edge, PR_DISTANCE_OTHER_REGION);
	pr_upstream_counts_t none = { .count = 0 };
	pr_str_t bytes = PR_STR_INIT;

	if (!pr_message_pack_counts(&bytes, edge->settings->host, PR_COUNT_LOAD,
				    &none, &state))
		pr_peers_send_relays(edge, PR_DISTANCE_OTHER_REGION, &bytes);
	pr_str_finish(&bytes);
}

void pr_peers_receive_counts(pr_edge_t *edge, pr_host_t *host,
			     pr_count_kind_t kind,
			     const pr_upstream_counts_t *counts,
			     const pr_feed_state_t *state, bool from_relay)
{
	if (from_relay)
		pr_peers_receive_feed_state(edge, host, state);
	if (from_relay && pr_peers_in_zone(edge, host)) {
		if (!edge->peering.is_relay)
			apply_sum(edge, kind, counts);
		return;
	}
	if (!from_relay)
		pr_roster_note_report(host, pr_edge_now(edge));
	save_counts(edge, host, kind, counts);
}

/* Counts of transitions */

static void save_tallies(pr_host_t *host, size_t index, uint64_t order,
			 const pr_tallies_t *tallies)
{
	pr_host_report_t *report = pr_host_report_get(host);

	if (!report)
		return;
	report->transitions[index].order = order;
	report->transitions[index].tallies = *tallies;
}

/* Hosts whose counts of a transition a message has; it decides who gets it. */
typedef enum counts_from_t {
	COUNTS_OF_HOST,
	COUNTS_OF_ZONE,
	COUNTS_OF_FLEET,
} counts_from_t;

static void send_to(pr_edge_t *edge, counts_from_t from, const pr_str_t *bytes)
{
	switch (from) {
	case COUNTS_OF_HOST:
		pr_peers_send_zone_relays(edge, bytes);
		break;
	case COUNTS_OF_ZONE:
		pr_peers_send_relays(edge, PR_DISTANCE_REGION, bytes);
		pr_peers_send_relays(edge, PR_DISTANCE_OTHER_REGION, bytes);
		break;
	case COUNTS_OF_FLEET:
		pr_peers_send_followers(edge, bytes);
		break;
	}
}

static void send_counts_of(pr_edge_t *edge, const pr_transition_t *transition,
			   counts_from_t from, const pr_tallies_t *tallies)
{
	const char *host = edge->settings->host;
	const char *service = transition->order.service;
	uint64_t order = pr_revision_tag(transition->order_row);
	bool all = from == COUNTS_OF_FLEET;
	pr_str_t bytes = PR_STR_INIT;

	if (!pr_message_pack_tallies(&bytes, host, service, order, tallies,
				     all))
		send_to(edge, from, &bytes);
	pr_str_clear(&bytes);
	if (tallies->load_test.begun &&
	    !pr_message_pack_load_test(&bytes, host, service, order,
				       &tallies->load_test, all))
		send_to(edge, from, &bytes);
	pr_str_finish(&bytes);
}

void pr_peers_send_tallies(pr_edge_t *edge, size_t index)
{
	pr_transition_t *transition = edge->transitions[index];
	pr_peering_t *peering = &edge->peering;
	const pr_roster_t *roster = &peering->roster;
	uint64_t order = pr_revision_tag(transition->order_row);
	pr_tallies_t sum = { 0 };
	pr_host_t *self = pr_peers_self(edge);

	peering->reported[index] = transition->own;
	send_counts_of(edge, transition, COUNTS_OF_HOST, &transition->own);
	if (!self || !peering->is_relay)
		return;
	save_tallies(self, index, order, &transition->own);
	pr_aggregate_zone_tallies(&sum, roster, edge->settings->zone, index,
				  order);
	send_counts_of(edge, transition, COUNTS_OF_ZONE, &sum);
	for (size_t i = 0; i < edge->map.count; i++) {
		const char *zone = edge->map.zones[i].name;

		if (strcmp(zone, edge->settings->zone) != 0)
			pr_aggregate_other_zone_tallies(&sum, roster, zone,
							index, order);
	}
	transition->peers = pr_aggregate_subtract(&sum, &transition->own);
	send_counts_of(edge, transition, COUNTS_OF_FLEET, &sum);
}

static uint32_t total_of(const pr_tallies_t *tallies)
{
	return tallies->new.total + tallies->old.total;
}

/* Counts of all hosts from a relay; none of another order. */
static pr_tallies_t totals_of(const pr_edge_t *edge, size_t index,
			      uint64_t order)
{
	pr_tallies_t none = { 0 };

	return edge->peering.totals[index].order == order
		       ? edge->peering.totals[index].all
		       : none;
}

/* Apply the counts of all hosts from a relay. Of two relays, the one that knows
 * of more responses is used. */
static void apply_totals(pr_edge_t *edge, size_t index, uint64_t order,
			 const pr_tallies_t *all)
{
	pr_peering_t *peering = &edge->peering;
	pr_usec_t now = pr_edge_now(edge);
	pr_tallies_t known = totals_of(edge, index, order);

	if (peering->is_relay ||
	    (total_of(all) < total_of(&known) &&
	     now - peering->totals[index].received_at < TOTALS_AGE_MAX))
		return;
	peering->totals[index].order = order;
	peering->totals[index].all = *all;
	peering->totals[index].received_at = now;
	edge->transitions[index]->peers =
		pr_aggregate_subtract(all, &peering->reported[index]);
}

/* Counts that the host reported; none of another order. */
static pr_tallies_t saved_tallies(const pr_host_t *host, size_t index,
				  uint64_t order)
{
	pr_tallies_t none = { 0 };

	if (!host->report || host->report->transitions[index].order != order)
		return none;
	return host->report->transitions[index].tallies;
}

/* Whether the transition at the index is of the order. */
static bool is_transition_of(const pr_edge_t *edge, size_t index,
			     pr_slice_t service, uint64_t order)
{
	const pr_transition_t *transition = edge->transitions[index];

	return order == pr_revision_tag(transition->order_row) &&
	       pr_slice_equal(service, pr_slice_of(transition->order.service));
}

/* Counts of a transition that came in a message. The counts of its load test
 * come in one of their own, and replace a part of what is known. */
typedef struct received_counts_t {
	pr_slice_t service;
	uint64_t order;
	/** The counts are of all hosts. */
	bool all;
	bool is_load_test;
	pr_tallies_t tallies;
} received_counts_t;

static void apply_counts(pr_edge_t *edge, pr_host_t *host, size_t index,
			 const received_counts_t *received)
{
	uint64_t order = received->order;
	pr_tallies_t known = received->all ? totals_of(edge, index, order)
					   : saved_tallies(host, index, order);
	pr_tallies_t tallies =
		received->is_load_test ? known : received->tallies;

	tallies.load_test = received->is_load_test ? received->tallies.load_test
						   : known.load_test;
	if (received->all)
		apply_totals(edge, index, order, &tallies);
	else
		save_tallies(host, index, order, &tallies);
}

void pr_peers_receive_tallies(pr_edge_t *edge, pr_host_t *host,
			      const pr_msgmap_t *map)
{
	received_counts_t received = { 0 };

	if (pr_message_read_tallies(map, &received.service, &received.order,
				    &received.tallies, &received.all)) {
		received.is_load_test = true;
		if (pr_message_read_load_test(
			    map, &received.service, &received.order,
			    &received.tallies.load_test, &received.all))
			return;
	}
	for (size_t i = 0; i < edge->transitions_count; i++) {
		if (is_transition_of(edge, i, received.service, received.order))
			apply_counts(edge, host, i, &received);
	}
}
