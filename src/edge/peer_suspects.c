/* Prompt parts that crash upstreams: what this host knows of them goes to the
 * other hosts. */
#include "base/event_log.h"
#include "edge/edge.h"
#include "edge/peer_parts.h"

/* Subject whose ranks are the order in which hosts release a part. */
#define RELEASE_ORDER 0

/* Times of another host that are later than this host's by more are ignored,
 * milliseconds. */
#define CLOCK_LEAD_MAX_MS 2000
/* Report periods between two refreshes of quarantined parts. */
#define REFRESH_PERIODS 10

void pr_peers_receive_suspects(pr_edge_t *edge, const pr_host_t *host,
			       const pr_msgmap_t *map)
{
	pr_suspect_t suspects[PR_SUSPECTS_IN_DATAGRAM];
	size_t count = pr_message_read_suspects(map, suspects,
						PR_SUSPECTS_IN_DATAGRAM);
	int64_t latest = pr_edge_store_now(edge) + CLOCK_LEAD_MAX_MS;

	for (size_t i = 0; i < count; i++) {
		/* The sender's estimate of the store's clock may be wrong. */
		if (suspects[i].crash_ms > latest ||
		    suspects[i].quarantined_ms > latest)
			continue;
		pr_quarantine_merge(&edge->quarantine, &suspects[i],
				    edge->peering.is_relay &&
					    pr_peers_in_zone(edge, host));
	}
}

static void log_changes(pr_edge_t *edge, int64_t now)
{
	const pr_suspect_t *suspect;
	bool in_force;

	while ((suspect = pr_quarantine_next_change(&edge->quarantine, now,
						    &in_force)))
		pr_event_state(
			in_force ? "part_quarantined" : "part_released",
			"part=%llx content=%d requests=%d upstreams=%d "
			"suspected_ms=%lld "
			"answer_age_ms=%lld cleared_age_ms=%lld times=%u",
			(unsigned long long)suspect->part,
			pr_suspect_is_content(suspect),
			__builtin_popcountll(suspect->requests),
			(int)suspect->crashes_count,
			(long long)(now - suspect->since_ms),
			suspect->answer_ms
				? (long long)(now - suspect->answer_ms)
				: -1LL,
			suspect->cleared_ms
				? (long long)(now - suspect->cleared_ms)
				: -1LL,
			suspect->quarantines);
}

static void send_changes(pr_edge_t *edge, pr_audience_t audience)
{
	pr_suspect_t suspects[PR_SUSPECTS_IN_DATAGRAM];
	size_t count = pr_quarantine_take_changes(
		&edge->quarantine, audience, suspects, PR_SUSPECTS_IN_DATAGRAM);
	size_t at = 0, packed;

	do {
		pr_str_t bytes = PR_STR_INIT;

		packed = pr_message_pack_suspects(&bytes, edge->settings->host,
						  &suspects[at], count - at);
		if (packed)
			pr_peers_send_audience(edge, audience, &bytes);
		pr_str_finish(&bytes);
		at += packed;
	} while (packed && at < count);
}

static bool has_responsive_relay(pr_edge_t *edge)
{
	const pr_peering_t *peering = &edge->peering;

	for (size_t i = 0; i < peering->relays_count; i++) {
		if (pr_roster_is_responsive(peering->relays[i],
					    pr_edge_now(edge)))
			return true;
	}
	return false;
}

void pr_peers_update_suspects(pr_edge_t *edge)
{
	int64_t now = pr_edge_store_now(edge);

	/* The times of suspects are by the store's clock. */
	if (!edge->store_clock.is_known || !edge->quarantine.count)
		return;
	edge->quarantine.rank =
		pr_roster_rank(&edge->peering.roster, RELEASE_ORDER);
	edge->quarantine.defers =
		!edge->peering.is_relay && has_responsive_relay(edge);
	pr_quarantine_judge(&edge->quarantine, now);
	log_changes(edge, now);
	if (!(edge->peering.report_periods % REFRESH_PERIODS))
		pr_quarantine_refresh(&edge->quarantine, now);
	for (int i = 0; i < PR_AUDIENCES_COUNT; i++)
		send_changes(edge, (pr_audience_t)i);
}
