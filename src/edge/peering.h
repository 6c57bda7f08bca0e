/**
 * What hosts tell each other by datagrams. A host reports to the relays of its
 * zone; relays exchange sums and send back what the fleet knows: load on
 * upstreams, answers of both versions of a transition, sessions that must stay
 * on their version, and the store's rows.
 */
#ifndef PR_EDGE_PEERING_H
#define PR_EDGE_PEERING_H

#include <uv.h>

#include "relay/gather.h"
#include "relay/reader.h"
#include "relay/roster.h"
#include "store/store.h"
#include "transition/sessions.h"

struct pr_edge_t;

/** Sessions that wait to be passed on; more are dropped and counted. */
#define PR_SESSION_QUEUE_MAX 1024

typedef struct pr_peering_t {
	struct pr_edge_t *edge;
	uv_udp_t udp;
	pr_roster_t roster;
	pr_timer_t report_timer, sessions_timer;
	/** Relays of this zone, as of the last period. */
	pr_host_t *relays[PR_RELAYS_MAX];
	size_t relays_count;
	/** This host is one of them, or another host takes it for one. */
	bool is_relay;
	pr_reader_t reader;
	/** This host's counts as the relays know them. */
	pr_tallies_t reported[PR_GATHER_TRANSITIONS_MAX];
	/** Counts of all hosts as a relay told them last. */
	struct {
		pr_tallies_t all;
		pr_usec_t received_at;
	} totals[PR_GATHER_TRANSITIONS_MAX];
	/** Sessions that this relay has to pass on. */
	struct {
		pr_session_seen_t seen;
		/** Reported by a host of this zone. */
		bool local;
	} session_queue[PR_SESSION_QUEUE_MAX];
	size_t session_queue_count;
	uint64_t session_queue_dropped;
	/** Store's clock up to which this host's sessions are told, ms. */
	int64_t sessions_reported_ms;
	/** Sessions of requests in work were noted last, the same clock. */
	int64_t sessions_noted_ms;
	/** Expiries of either timer. */
	uint32_t report_periods, session_periods;
} pr_peering_t;

int pr_peering_start(struct pr_edge_t *edge);
void pr_peering_finish(struct pr_edge_t *edge);
/** A row of the store names a host. */
void pr_peering_apply_host_row(struct pr_edge_t *edge, const char *name,
			       pr_slice_t row, bool removed);
/** Row that tells other hosts where this one is. */
int pr_peering_write_host_row(const struct pr_edge_t *edge, pr_str_t *value);
/** @return true while this host reads the store's feeds by itself */
bool pr_peering_reads_store(const struct pr_edge_t *edge);
/** The store answered that this host has all orders. */
void pr_peering_confirm(struct pr_edge_t *edge);
/** Rows came to a relay; it passes them on to those that it feeds. */
void pr_peering_forward_rows(struct pr_edge_t *edge, pr_store_table_t table,
			     uint64_t after, const pr_store_row_t *rows,
			     size_t count);

#endif
