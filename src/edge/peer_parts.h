/** Functions that peers.c, peer_reports.c and peer_sessions.c share. */
#ifndef PR_EDGE_PEER_PARTS_H
#define PR_EDGE_PEER_PARTS_H

#include "edge/edge.h"
#include "relay/audience.h"
#include "relay/message.h"

/* Period of the reports of sessions. A session that moves to the new version
 * and is used by two hosts within this time can be on both versions. */
#define SESSIONS_PERIOD (40 * PR_USEC_PER_MSEC)

/** Which other relays get a datagram. */
typedef enum pr_distance_t {
	PR_DISTANCE_REGION,
	PR_DISTANCE_OTHER_REGION,
} pr_distance_t;

/* peers.c */
/** @return true when a host is in the zone of this host */
bool pr_peers_in_zone(const pr_edge_t *edge, const pr_host_t *host);
/** @return true when a zone is in the region of this host */
bool pr_peers_in_region(const pr_edge_t *edge, const char *zone);
/** Send a datagram to an audience. */
void pr_peers_send_audience(pr_edge_t *edge, pr_audience_t audience,
			    const pr_str_t *bytes);
/** @return this host, or NULL before its row is known */
pr_host_t *pr_peers_self(const pr_edge_t *edge);
/** Send a datagram to the hosts that report to this relay. */
void pr_peers_send_followers(pr_edge_t *edge, const pr_str_t *bytes);
/** Send it to the relays of other zones, either of this region or of others. */
void pr_peers_send_relays(pr_edge_t *edge, pr_distance_t distance,
			  const pr_str_t *bytes);
/** Send it to the other relays of this zone. */
void pr_peers_send_zone_relays(pr_edge_t *edge, const pr_str_t *bytes);
/** @return the state of this host's tables, for a digest to relays at a
 * distance
 */
pr_feed_state_t pr_peers_feed_state(pr_edge_t *edge, pr_distance_t distance);
/** Handle the state of a relay's tables from its digest. */
void pr_peers_receive_feed_state(pr_edge_t *edge, pr_host_t *relay,
				 const pr_feed_state_t *state);

/* peer_reports.c */
/** Report this host's counts of upstreams to the relays of its zone. */
void pr_peers_report_counts(pr_edge_t *edge, pr_count_kind_t kind);
/** Send the sums of a relay to the relays of its region and to its hosts. */
void pr_peers_send_digest(pr_edge_t *edge, pr_count_kind_t kind);
/** Send the state of a relay's tables to the relays of other regions. */
void pr_peers_send_distant_digest(pr_edge_t *edge);
/** Handle counts of upstreams: a host's report or a relay's sums. */
void pr_peers_receive_counts(pr_edge_t *edge, pr_host_t *host,
			     pr_count_kind_t kind,
			     const pr_upstream_counts_t *counts,
			     const pr_feed_state_t *state, bool from_relay);
/** Report this host's tallies of a transition; a relay also sends its sums. */
void pr_peers_send_tallies(pr_edge_t *edge, size_t index);
/** Handle tallies of a transition: a report, or sums of a zone or of all hosts.
 */
void pr_peers_receive_tallies(pr_edge_t *edge, pr_host_t *host,
			      const pr_msgmap_t *map);

/* peer_suspects.c */
/** Merge what another host knows of prompt parts that crash upstreams. */
void pr_peers_receive_suspects(pr_edge_t *edge, const pr_host_t *host,
			       const pr_msgmap_t *map);
/** Judge the suspected parts, and send what changed to other hosts. */
void pr_peers_update_suspects(pr_edge_t *edge);

/* peer_sessions.c */
/** Note the sessions that another host reports; a relay forwards new ones. */
void pr_peers_receive_sessions(pr_edge_t *edge, const pr_host_t *host,
			       const pr_msgmap_t *map);
/** Timer callback: report and forward sessions. */
void pr_peers_on_sessions_timer(pr_timer_t *timer, pr_usec_t now);

/** Send the rates that upstreams stated and that are due. */
void pr_peers_update_rates(pr_edge_t *edge);
/** Handle rates that another host heard of. */
void pr_peers_receive_rates(pr_edge_t *edge, const pr_host_t *host,
			    const pr_msgmap_t *map);

#endif
