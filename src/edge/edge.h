/**
 * The entry daemon: its parts and the state that they share.
 */
#ifndef PR_EDGE_EDGE_H
#define PR_EDGE_EDGE_H

#include <uv.h>

#include "base/list.h"
#include "edge/outbound.h"
#include "relay/lag.h"
#include "relay/message.h"
#include "edge/peering.h"
#include "edge/settings.h"
#include "routing/routing.h"
#include "http/call.h"
#include "limits/repeats.h"
#include "pistachiorack/metrics.h"
#include "place/place.h"
#include "place/reading.h"
#include "store/store.h"
#include "transition/pace.h"
#include "transition/sessions.h"
#include "transition/transition.h"
#include "upstream/upstream.h"

/** Services in transition at once. */
#define PR_TRANSITIONS_MAX PR_GATHER_TRANSITIONS_MAX
/** Services with a budget of repeats. */
#define PR_SERVICES_MAX 64

typedef struct pr_edge_t pr_edge_t;

/** Reading of one table. */
typedef struct pr_watch_t {
	pr_edge_t *edge;
	pr_store_table_t table;
	pr_call_t call;
	pr_timer_t timer;
	/** Version that the feed continues from. */
	uint64_t version;
	/** Newest row that was applied. */
	uint64_t newest;
	/** The call under way was given up, since another host is ahead. */
	bool restarting;
	/** A relay reads the feed for this host. */
	bool paused;
	/** A removal before this time may be one that an outage caused. */
	pr_usec_t outage_grace_until;
	/** Rows that other hosts have and this one lacks. */
	pr_lag_t lag;
	/** Whole reads are needed until one succeeded. */
	bool synced;
	/** Keys seen by the whole read under way. */
	pr_names_t seen_keys;
	char *page_key;
	/** A long row that a relay passes on. */
	pr_parts_t parts;
	uint32_t failures;
	pr_usec_t failed_since;
} pr_watch_t;

typedef struct pr_edge_metrics_t {
	pr_metric_t *requests, *answered, *refused, *failed, *callers_gone,
		*repeats, *escalations, *resumes, *not_found, *unauthorized,
		*malformed, *datagrams, *datagram_bytes;
	pr_histogram_t *first_byte, *total;
} pr_edge_metrics_t;

struct pr_edge_t {
	uv_loop_t *loop;
	pr_timers_t timers;
	uv_prepare_t prepare;
	uv_timer_t wake_timer;
	pr_edge_settings_t *settings;
	const char *settings_path;
	/** Hash of this host's name. */
	uint64_t host_hash;
	pr_routing_t *routing;
	pr_map_t map;
	pr_registry_t registry;
	pr_outbound_pool_t pool;
	pr_reading_t reading;
	pr_pace_t pace;
	pr_transition_t *transitions[PR_TRANSITIONS_MAX];
	size_t transitions_count;
	/** What this host would write of each transition, and since when by the
	 * store's clock. */
	struct {
		pr_conclusion_t conclusion;
		int64_t since_ms;
	} conclusions[PR_TRANSITIONS_MAX];
	/** Sessions that used a version other than a transition's new one. */
	pr_sessions_t sessions;
	/** Shared rows of transitions, which may come before their orders. */
	struct {
		char service[PR_UPSTREAM_NAME_SIZE];
		pr_transition_row_t row;
		uint64_t version;
	} transition_rows[PR_TRANSITIONS_MAX];
	size_t transition_rows_count;
	/** Earliest time of the next write of shared state. */
	pr_usec_t next_write_at;
	struct {
		char name[PR_UPSTREAM_NAME_SIZE];
		pr_repeats_t budget;
	} services[PR_SERVICES_MAX];
	size_t services_count;
	pr_watch_t watches[PR_TABLES_COUNT];
	pr_call_t writer;
	/** Store's clock minus this host's steady clock, milliseconds. */
	int64_t store_clock_offset_ms;
	bool has_store_clock;
	pr_peering_t peering;
	uv_tcp_t caller_listener, ready, metrics_listener;
	pr_list_t callers;
	size_t exchanges_count;
	pr_timer_t housekeeping_timer, stop_timer;
	pr_metrics_t metrics;
	pr_edge_metrics_t counters;
	pr_usec_t started_at;
	bool stopping;
	pr_usec_t stop_began;
	/** This host's row was written. */
	bool registered;
};

/** Time of the current turn, microseconds. */
pr_usec_t pr_edge_now(pr_edge_t *edge);
/** The store's clock, milliseconds. */
int64_t pr_edge_store_now(pr_edge_t *edge);
/** @return true when requests can be served */
bool pr_edge_is_ready(const pr_edge_t *edge);
pr_transition_t *pr_edge_transition(pr_edge_t *edge, const char *service);
pr_repeats_t *pr_edge_repeat_budget(pr_edge_t *edge, const char *service);
/** Hosts that share the upstreams, this one included. */
uint32_t pr_edge_hosts_count(const pr_edge_t *edge);

/* watch.c */
int pr_watches_start(pr_edge_t *edge);
void pr_watches_finish(pr_edge_t *edge);
/** Every table was read as a whole. */
bool pr_watches_synced(const pr_edge_t *edge);
/** Time until entries that lapsed in an outage are back, milliseconds. */
uint32_t pr_watches_outage_grace_ms(pr_edge_t *edge);
/** A relay says how long that is. */
void pr_watches_extend_outage_grace(pr_edge_t *edge, uint32_t unsettled_ms);
/** Read the feeds where no relay does it for this host. */
void pr_watches_resume_paused(pr_edge_t *edge);
/**
 * What a relay has of a table.
 *
 * @param newest its newest row
 * @param version of the store up to which it has all rows
 */
void pr_watch_compare_peer(pr_edge_t *edge, pr_store_table_t table,
			   uint64_t newest, uint64_t version);
/** A relay passes rows on. */
void pr_watch_receive_rows(pr_edge_t *edge, const pr_message_rows_t *rows);
void pr_watch_receive_part(pr_edge_t *edge, const pr_message_part_t *part);

/* store_rows.c: rows to state. */
void pr_edge_apply_row(pr_edge_t *edge, pr_store_table_t table,
		       const pr_store_row_t *row, pr_usec_t lapse_at);
/** Judge transitions and write what has to be shared. */
void pr_edge_update_shared_rows(pr_edge_t *edge);

/* caller.c */
int pr_callers_listen(pr_edge_t *edge);
/** Close connections that have nothing to do. */
void pr_callers_close_idle(pr_edge_t *edge);
void pr_callers_abort_exchanges(pr_edge_t *edge);

/* admin.c */
int pr_admin_listen(pr_edge_t *edge);

#endif
