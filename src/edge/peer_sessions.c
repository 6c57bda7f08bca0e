/* Which sessions are active, told to the hosts while a transition runs. */
#include "base/event_log.h"
#include "edge/caller.h"
#include "edge/edge.h"
#include "edge/peer_parts.h"

/* Periods between two reports of sessions that stay where they are: the hosts
 * must know them only when they have been unused for seconds. */
#define STAYING_PERIODS 5
/* Sessions of requests in work are told again after this time, milliseconds. */
#define RUNNING_NOTE_MS 2000

static void pass_session(pr_peering_t *peering, const pr_recent_session_t *seen,
			 bool local)
{
	if (peering->passing_count == PR_PASSING_MAX) {
		peering->passing_dropped++;
		return;
	}
	peering->passing[peering->passing_count].seen = *seen;
	peering->passing[peering->passing_count++].local = local;
}

/* A relay passes on what it did not know. */
void pr_peers_take_sessions(pr_edge_t *edge, const pr_host_t *host,
			    const pr_msgmap_t *map)
{
	pr_recent_session_t seen[PR_SESSIONS_IN_DATAGRAM];
	size_t count =
		pr_message_read_sessions(map, seen, PR_SESSIONS_IN_DATAGRAM);

	for (size_t i = 0; i < count; i++) {
		if (pr_sessions_merge(&edge->sessions, seen[i].hash,
				      seen[i].seen_ms, seen[i].moved) &&
		    edge->peering.is_relay)
			pass_session(&edge->peering, &seen[i],
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

/* Sessions that stay on their version, the old one or the new one. */
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
		.after_ms = peering->sessions_told_ms > active
				    ? peering->sessions_told_ms
				    : active,
	};

	if (filter.moved) {
		/* Those below the share move on every host. */
		filter.share_from = pr_transition_share(transition, now);
		filter.share_below = 1;
	} else if (!pr_transition_pins_sessions(transition, now)) {
		return 0;
	}
	return pr_sessions_list(&edge->sessions, &filter, out, max);
}

/* Own sessions go to the relays; a relay passes on its own at once. */
static void tell_own_sessions(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;
	int64_t now = pr_edge_store_now(edge);
	pr_recent_session_t seen[PR_SESSIONS_IN_DATAGRAM];

	for (size_t i = 0; i < edge->transitions_count; i++) {
		const pr_transition_t *transition = edge->transitions[i];
		size_t count;

		if (!pr_transition_keeps_moved_sessions(transition, now) &&
		    peering->ticks % STAYING_PERIODS)
			continue;
		count = own_sessions(edge, transition, seen,
				     PR_SESSIONS_IN_DATAGRAM);
		send_sessions(edge, seen, count, pr_peers_send_own_relays);
		for (size_t j = 0; j < count && peering->is_relay; j++)
			pass_session(peering, &seen[j], true);
		/* Told twice, since datagrams may be lost. */
		peering->sessions_told_ms =
			now - 10 -
			(pr_transition_keeps_moved_sessions(transition, now)
				 ? 1
				 : STAYING_PERIODS) *
				SESSIONS_PERIOD / PR_USEC_PER_MSEC;
	}
}

static void pass_sessions(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;
	pr_recent_session_t all[PR_PASSING_MAX] = { 0 };
	pr_recent_session_t local[PR_PASSING_MAX] = { 0 };
	size_t local_count = 0;
	bool urgent = !(peering->ticks % STAYING_PERIODS);

	for (size_t i = 0; i < peering->passing_count && !urgent; i++)
		urgent = peering->passing[i].seen.moved;
	if (!urgent || !peering->passing_count)
		return;
	for (size_t i = 0; i < peering->passing_count; i++) {
		all[i] = peering->passing[i].seen;
		if (peering->passing[i].local)
			local[local_count++] = peering->passing[i].seen;
	}
	send_sessions(edge, all, peering->passing_count,
		      pr_peers_send_followers);
	send_sessions(edge, local, local_count, send_to_all_other_relays);
	peering->passing_count = 0;
	if (!peering->passing_dropped)
		return;
	pr_event_state("sessions_not_passed", "count=%llu",
		       (unsigned long long)peering->passing_dropped);
	peering->passing_dropped = 0;
}

/* A session is active as long as a request of it is in work. */
static void note_running(pr_edge_t *edge)
{
	int64_t now = pr_edge_store_now(edge);

	if (now - edge->peering.sessions_noted_ms < RUNNING_NOTE_MS)
		return;
	edge->peering.sessions_noted_ms = now;
	for (pr_list_t *at = edge->callers.next; at != &edge->callers;
	     at = at->next) {
		pr_caller_t *caller = PR_OWNER(at, pr_caller_t, node);

		if (caller->exchange.active)
			pr_exchange_note_session(&caller->exchange);
	}
}

void pr_peers_tell_sessions(pr_timer_t *timer, pr_usec_t now)
{
	pr_edge_t *edge = timer->data;

	edge->peering.ticks++;
	note_running(edge);
	tell_own_sessions(edge);
	pass_sessions(edge);
}
