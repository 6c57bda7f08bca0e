/** What the parts of peering share: peers.c, peer_reports.c, peer_sessions.c.
 */
#ifndef PR_EDGE_PEER_PARTS_H
#define PR_EDGE_PEER_PARTS_H

#include "edge/edge.h"
#include "relay/message.h"

/* A session that two hosts use within this time, at the moment when it moves,
 * can be on both versions. */
#define SESSIONS_PERIOD (40 * PR_USEC_PER_MSEC)

typedef enum pr_distance_t {
	PR_DISTANCE_REGION,
	PR_DISTANCE_OTHER_REGION,
} pr_distance_t;

/* peers.c */
bool pr_peers_in_zone(const pr_edge_t *edge, const pr_host_t *host);
bool pr_peers_in_region(const pr_edge_t *edge, const char *zone);
/** @return this host, or NULL before its row is known */
pr_host_t *pr_peers_self(pr_edge_t *edge);
/** To the hosts that report to this relay. */
void pr_peers_send_followers(pr_edge_t *edge, const pr_str_t *bytes);
/** To the relays of the other zones, in this region or in others. */
void pr_peers_send_relays(pr_edge_t *edge, pr_distance_t distance,
			  const pr_str_t *bytes);
void pr_peers_send_zone_relays(pr_edge_t *edge, const pr_str_t *bytes);
pr_feed_state_t pr_peers_feed_state(pr_edge_t *edge);
void pr_peers_receive_feed_state(pr_edge_t *edge, pr_host_t *relay,
				 const pr_feed_state_t *state);

/* peer_reports.c */
void pr_peers_report_counts(pr_edge_t *edge, pr_count_kind_t kind);
void pr_peers_send_digest(pr_edge_t *edge, pr_count_kind_t kind);
void pr_peers_send_distant_digest(pr_edge_t *edge);
void pr_peers_receive_counts(pr_edge_t *edge, pr_host_t *host,
			     pr_count_kind_t kind, const pr_counts_t *counts,
			     const pr_feed_state_t *state, bool from_relay);
void pr_peers_send_tallies(pr_edge_t *edge, size_t index);
void pr_peers_receive_tallies(pr_edge_t *edge, pr_host_t *host,
			      const pr_msgmap_t *map);

/* peer_sessions.c */
void pr_peers_receive_sessions(pr_edge_t *edge, const pr_host_t *host,
			       const pr_msgmap_t *map);
/** Expiry of the timer of sessions. */
void pr_peers_on_sessions_timer(pr_timer_t *timer, pr_usec_t now);

#endif
