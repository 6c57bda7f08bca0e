/**
 * Datagrams between hosts. A host reports to the relays of its zone. Relays
 * exchange the sums of these reports and send digests to the hosts: load on
 * upstreams, responses of both versions of a transition, sessions that must
 * stay on their version, and rows of the store.
 */
#ifndef PR_EDGE_PEERING_H
#define PR_EDGE_PEERING_H

#include <uv.h>

#include "relay/aggregate.h"
#include "relay/reader.h"
#include "relay/roster.h"
#include "relay/row_cache.h"
#include "store/store.h"

struct pr_edge_t;

typedef struct pr_peering_t {
	struct pr_edge_t *edge;
	uv_udp_t udp;
	/** Hosts that are known from the shared table. */
	pr_roster_t roster;
	pr_timer_t report_timer, sessions_timer;
	/** Relays of this zone, chosen anew in each report period. */
	pr_host_t *relays[PR_RELAYS_MAX];
	size_t relays_count;
	/** This host is one of them, or another host reports to it as one. */
	bool is_relay;
	/** Whether this host reads the store's feeds itself. */
	pr_reader_t reader;
	/** Recent rows of each table while this host is a relay. */
	pr_row_cache_t row_caches[PR_TABLES_COUNT];
	/** Counts that this host last reported to the relays. */
	pr_tallies_t reported[PR_AGGREGATE_TRANSITIONS_MAX];
	/** Counts of all hosts as a relay last sent them. */
	struct {
		/** Tag of the row of the order. */
		uint64_t order;
		pr_tallies_t all;
		pr_usec_t received_at;
	} totals[PR_AGGREGATE_TRANSITIONS_MAX];
	/** Time at which the sessions of active requests were last noted,
	 * milliseconds of the store's clock. */
	int64_t sessions_noted_ms;
	/** Number of expiries of the two timers. */
	uint32_t report_periods, session_periods;
} pr_peering_t;

int pr_peering_start(struct pr_edge_t *edge);
void pr_peering_finish(struct pr_edge_t *edge);
/** Apply a host's row of the shared table. */
void pr_peering_apply_host_row(struct pr_edge_t *edge, const char *name,
			       pr_slice_t row, bool removed);
/** Format the row of this host: its address, zone and capacity. */
int pr_peering_write_host_row(const struct pr_edge_t *edge, pr_str_t *value);
/** @return true while this host reads the store's feeds by itself */
bool pr_peering_reads_store(const struct pr_edge_t *edge);
/** @return true when this host has read its own row of the shared table */
bool pr_peering_is_listed(const struct pr_edge_t *edge);
/** Note that the store just confirmed that this host has all orders. */
void pr_peering_confirm(struct pr_edge_t *edge);
/**
 * Keep a table that was read as a whole in a new era of the store, if this host
 * is a relay, for the hosts that get their rows from it.
 *
 * @param version of the read
 */
void pr_peering_keep_table(struct pr_edge_t *edge, pr_store_table_t table,
			   pr_revision_t version, const pr_store_rows_t *rows);
/**
 * Forward rows, if this host is the relay that has to, to the hosts that get
 * their rows from it.
 *
 * @param after version of the last row before them
 */
void pr_peering_forward_rows(struct pr_edge_t *edge, pr_store_table_t table,
			     pr_revision_t after, const pr_store_row_t *rows,
			     size_t count);

#endif
