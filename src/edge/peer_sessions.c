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
/* Most sessions that a host sends to an audience in a period; the rest follows
 * in the next one. */
#define SESSIONS_IN_PERIOD ((size_t)8 * PR_SESSIONS_IN_DATAGRAM)
/* The sessions of active requests are noted again after this time,
 * milliseconds. */
#define ACTIVE_NOTE_MS 2000

void pr_peers_receive_sessions(pr_edge_t *edge, const pr_host_t *host,
			       const pr_msgmap_t *map)
{
	pr_recent_session_t seen[PR_SESSIONS_IN_DATAGRAM];
	size_t count =
		pr_message_read_sessions(map, seen, PR_SESSIONS_IN_DATAGRAM);
	bool to_relays = edge->peering.is_relay && pr_peers_in_zone(edge, host);

	for (size_t i = 0; i < count; i++)
		pr_sessions_merge(&edge->sessions, &seen[i], to_relays);
}

static void send_due_sessions(pr_edge_t *edge, pr_audience_t audience,
			      const pr_sessions_scope_t *scope)
{
	pr_recent_session_t due[SESSIONS_IN_PERIOD];
	size_t count = pr_sessions_take_due(&edge->sessions, audience, scope,
					    due, SESSIONS_IN_PERIOD);

	for (size_t at = 0; at < count; at += PR_SESSIONS_IN_DATAGRAM) {
		size_t rest = count - at;
		pr_str_t bytes = PR_STR_INIT;

		if (!pr_message_pack_sessions(
			    &bytes, edge->settings->host, &due[at],
			    rest < PR_SESSIONS_IN_DATAGRAM
				    ? rest
				    : PR_SESSIONS_IN_DATAGRAM))
			pr_peers_send_audience(edge, audience, &bytes);
		pr_str_finish(&bytes);
	}
	if (count == SESSIONS_IN_PERIOD)
		pr_event_state("sessions_delayed", "audience=%d", audience);
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
	pr_sessions_scope_t scope;

	edge->peering.session_periods++;
	note_active_sessions(edge);
	pr_sessions_scope_init(
		&scope, pr_edge_store_now(edge),
		(uint32_t)(edge->settings->bounds.session_s * 1000));
	for (size_t i = 0; i < edge->transitions_count; i++)
		pr_transition_extend_scope(edge->transitions[i], &scope);
	/* Sessions that moved are urgent: the next request may be sent to
	 * another host at once. */
	if (scope.moved_beyond >= 1 &&
	    edge->peering.session_periods % PINNED_PERIODS)
		return;
	send_due_sessions(edge, PR_AUDIENCE_RELAYS, &scope);
	if (edge->peering.is_relay)
		send_due_sessions(edge, PR_AUDIENCE_FOLLOWERS, &scope);
}
