/* Reports which sessions are active to the other hosts while a transition runs.
 */
#include "base/event_log.h"
#include "edge/caller.h"
#include "edge/edge.h"
#include "edge/peer_parts.h"

/* Periods between two reports of sessions that are pinned to their version.
 * Other hosts need to know such a session only once it has been unused for
 * seconds, so these reports are not urgent. */
#define PINNED_PERIODS 5
/* The sessions of active requests are noted again after this time,
 * milliseconds. */
#define ACTIVE_NOTE_MS 2000

static void queue_session(pr_peering_t *peering,
			  const pr_recent_session_t *seen, bool local)
{
	if (peering->session_queue_count == PR_SESSION_QUEUE_MAX) {
		peering->session_queue_dropped++;
		return;
	}
	peering->session_queue[peering->session_queue_count].seen = *seen;
	peering->session_queue[peering->session_queue_count++].local = local;
}

/* A relay forwards the sessions that it did not know. */
void pr_peers_receive_sessions(pr_edge_t *edge, const pr_host_t *host,
			       const pr_msgmap_t *map)
{
	pr_recent_session_t seen[PR_SESSIONS_IN_DATAGRAM];
	size_t count =
		pr_message_read_sessions(map, seen, PR_SESSIONS_IN_DATAGRAM);

	for (size_t i = 0; i < count; i++) {
		if (pr_sessions_merge(&edge->sessions, seen[i].hash,
				      seen[i].seen_ms, seen[i].moved) &&
		    edge->peering.is_relay)
			queue_session(&edge->peering, &seen[i],
				      pr_peers_in_zone(edge, host));
	}
}

typedef void (*send_fn)(pr_edge_t *edge, const pr_str_t *bytes);

static void send_sessions(pr_edge_t *edge, const pr_recent_session_t *seen,
			  size_t count, send_fn send)
{
	while (count) {
		size_t part = count < PR_SESSIONS_IN_DATAGRAM
				      ? count
				      : PR_SESSIONS_IN_DATAGRAM;
		pr_str_t bytes = PR_STR_INIT;

		if (!pr_message_pack_sessions(&bytes, edge->settings->host,
					      seen, part))
			send(edge, &bytes);
		pr_str_finish(&bytes);
		seen += part;
		count -= part;
	}
}

static void send_to_all_other_relays(pr_edge_t *edge, const pr_str_t *bytes)
{
	pr_peers_send_relays(edge, PR_DISTANCE_REGION, bytes);
	pr_peers_send_relays(edge, PR_DISTANCE_OTHER_REGION, bytes);
}

/* List this host's sessions that must stay on their version, the old or the new
 * one, and have to be reported. */
static size_t own_sessions(pr_edge_t *edge, const pr_transition_t *transition,
			   pr_recent_session_t *out, size_t max)
{
	pr_peering_t *peering = &edge->peering;
	int64_t now = pr_edge_store_now(edge);
	int64_t active =
		now - (int64_t)(edge->settings->bounds.session_s * 1000);
	pr_sessions_filter_t filter = {
		.moved = pr_transition_keeps_moved_sessions(transition, now),
		.share_below = PR_TRANSITION_PINNED_SHARE_MAX,
		.after_ms = peering->sessions_reported_ms > active
				    ? peering->sessions_reported_ms
				    : active,
	};

	if (filter.moved) {
		/* Every host moves the sessions below the share anyway. */
		filter.share_from = pr_transition_share(transition, now);
		filter.share_below = 1;
	} else if (!pr_transition_pins_sessions(transition, now)) {
		return 0;
	}
	return pr_sessions_list(&edge->sessions, &filter, out, max);
}

/* Report this host's sessions to the relays of its zone; a relay also queues
 * its own ones to forward them at once. */
static void report_own_sessions(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;
	int64_t now = pr_edge_store_now(edge);
	pr_recent_session_t seen[PR_SESSIONS_IN_DATAGRAM];

	for (size_t i = 0; i < edge->transitions_count; i++) {
		const pr_transition_t *transition = edge->transitions[i];
		size_t count;

		if (!pr_transition_keeps_moved_sessions(transition, now) &&
		    peering->session_periods % PINNED_PERIODS)
			continue;
		count = own_sessions(edge, transition, seen,
				     PR_SESSIONS_IN_DATAGRAM);
		send_sessions(edge, seen, count, pr_peers_send_zone_relays);
		for (size_t j = 0; j < count && peering->is_relay; j++)
			queue_session(peering, &seen[j], true);
		/* The next report repeats the sessions of this one, since
		 * datagrams may be lost: it starts a period and 10 ms back. */
		peering->sessions_reported_ms =
			now - 10 -
			(pr_transition_keeps_moved_sessions(transition, now)
				 ? 1
				 : PINNED_PERIODS) *
				SESSIONS_PERIOD / PR_USEC_PER_MSEC;
	}
}

static void send_queued_sessions(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;
	pr_recent_session_t all[PR_SESSION_QUEUE_MAX] = { 0 };
	pr_recent_session_t local[PR_SESSION_QUEUE_MAX] = { 0 };
	size_t local_count = 0;
	bool urgent = !(peering->session_periods % PINNED_PERIODS);

	for (size_t i = 0; i < peering->session_queue_count && !urgent; i++)
		urgent = peering->session_queue[i].seen.moved;
	if (!urgent || !peering->session_queue_count)
		return;
	for (size_t i = 0; i < peering->session_queue_count; i++) {
		all[i] = peering->session_queue[i].seen;
		if (peering->session_queue[i].local)
			local[local_count++] = peering->session_queue[i].seen;
	}
	send_sessions(edge, all, peering->session_queue_count,
		      pr_peers_send_followers);
	send_sessions(edge, local, local_count, send_to_all_other_relays);
	peering->session_queue_count = 0;
	if (!peering->session_queue_dropped)
		return;
	pr_event_state("sessions_not_passed", "count=%llu",
		       (unsigned long long)peering->session_queue_dropped);
	peering->session_queue_dropped = 0;
}

/* A session stays active as long as one of its requests is. */
static void note_active_sessions(pr_edge_t *edge)
{
	int64_t now = pr_edge_store_now(edge);

	if (now - edge->peering.sessions_noted_ms < ACTIVE_NOTE_MS)
		return;
	edge->peering.sessions_noted_ms = now;
	for (pr_list_t *at = edge->callers.next; at != &edge->callers;
	     at = at->next) {
		pr_caller_t *caller = PR_OWNER(at, pr_caller_t, node);

		if (caller->exchange.active)
			pr_exchange_note_session(&caller->exchange);
	}
}

void pr_peers_on_sessions_timer(pr_timer_t *timer, pr_usec_t now)
{
	pr_edge_t *edge = timer->data;

	edge->peering.session_periods++;
	note_active_sessions(edge);
	report_own_sessions(edge);
	send_queued_sessions(edge);
}
