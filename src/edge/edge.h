/**
 * The entry daemon pistachiorack-edge: the state of a process and the functions
 * that its source files share.
 */
#ifndef PR_EDGE_EDGE_H
#define PR_EDGE_EDGE_H

#include <uv.h>

#include "base/list.h"
#include "cascade/pauses.h"
#include "edge/outbound.h"
#include "relay/extent.h"
#include "relay/lag.h"
#include "relay/message.h"
#include "edge/peering.h"
#include "edge/settings.h"
#include "routing/routing.h"
#include "http/call.h"
#include "limits/memory.h"
#include "limits/repeats.h"
#include "pistachiorack/metrics.h"
#include "place/kept.h"
#include "place/place.h"
#include "place/prefill.h"
#include "quarantine/quarantine.h"
#include "store/clock.h"
#include "store/era.h"
#include "store/missed.h"
#include "store/store.h"
#include "transition/pace.h"
#include "transition/sessions.h"
#include "transition/transition.h"
#include "upstream/upstream.h"

/** Most services that can be in transition at the same time. */
#define PR_TRANSITIONS_MAX PR_AGGREGATE_TRANSITIONS_MAX
/** Most services that have a repeat budget; further ones have no limit. */
#define PR_SERVICES_MAX 64

/** Time-out of a write to the store. */
#define PR_STORE_WRITE_TIMEOUT (2 * PR_USEC_PER_SEC)
/** Time between two writes, in which the feed returns the result of the first.
 */
#define PR_STORE_WRITE_PAUSE (700 * PR_USEC_PER_MSEC)

typedef struct pr_edge_t pr_edge_t;

/** State of reading one table of the store; see watch.c. */
typedef struct pr_watch_t {
	pr_edge_t *edge;
	pr_store_table_t table;
	pr_call_t call;
	pr_timer_t timer;
	/** Time at which the current call was started. */
	pr_usec_t called_at;
	pr_extent_t extent;
	/** Version of the first page of the current full read. */
	pr_revision_t read_version;
	/** State of a relay that lacks changes which this host does not know
	 *  either. The next call, or the current one, reads them. */
	pr_announced_t gap;
	bool gap_wanted, reading_gap;
	/** The store no longer has the changes after this version. */
	pr_revision_t gap_refused;
	/** The current feed call was aborted, because another host has newer
	 *  rows; the next call asks for them without waiting. */
	bool restarting;
	/** This host makes no feed calls; see can_pause() in watch.c. */
	bool paused;
	/** End of the grace period after an outage of the store. Until then a
	 *  removed row may be an entry that lapsed only because the outage
	 *  kept its owner from renewing it, so removals take effect then. */
	pr_usec_t outage_grace_until;
	/** The store's version when the orders' feed responded last, and the
	 *  time of that response. */
	pr_revision_t expected;
	pr_usec_t expected_at;
	/** How long other hosts have had rows that this host lacks. */
	pr_lag_t lag;
	/** A full read succeeded, and the feed has not lost its history since
	 *  then. Without it the table is read as a whole; so it is when the
	 *  extent is of an earlier era than the store. */
	bool synced;
	/** A full read has succeeded since the start. */
	bool was_synced;
	/** What this host knew before the current full read, and the changes
	 *  since then that the read has shown, to forward them: the whole table
	 *  when it is read in a new era. */
	pr_revision_t known_before;
	pr_store_rows_t missed;
	/** Keys of the rows that the current full read has returned. */
	pr_names_t seen_keys;
	/** First key of the next page of a full read; NULL for the first. */
	char *page_key;
	/** Call that reads missing rows from a relay. */
	pr_call_t relay_call;
	/** Failed calls since the last success, and the time of the first. */
	uint32_t failures;
	pr_usec_t failed_since;
} pr_watch_t;

typedef struct pr_edge_metrics_t {
	pr_metric_t *requests, *answered, *refused, *failed, *callers_gone,
		*repeats, *escalations, *resumes, *not_found, *unauthorized,
		*malformed, *datagrams, *datagram_bytes, *quarantined,
		*memory_waits, *memory_shed, *connections_shed, *held_tokens,
		*prompt_tokens, *off_first_rank, *rows_reread;
	/** Gauges, set when the metrics are read. */
	pr_metric_t *memory_limit, *memory_peak,
		*memory_held[PR_MEMORY_USES_COUNT], *callers_open, *store_era;
	pr_histogram_t *first_byte, *total;
} pr_edge_metrics_t;

struct pr_edge_t {
	uv_loop_t *loop;
	pr_timers_t timers;
	/** Writes the log and sets the wake timer before the loop polls. */
	uv_prepare_t prepare;
	/** Runs the due timers after the loop has polled. */
	uv_check_t check;
	/** Due timers wait for one more poll. */
	bool timers_postponed;
	/** Ends a poll when the next timer is due. */
	uv_timer_t wake_timer;
	pr_edge_settings_t *settings;
	const char *settings_path;
	/** Hash of this host's name. */
	uint64_t host_hash;
	/** Newest valid routing document; NULL before the first. */
	pr_routing_t *routing;
	pr_zone_map_t map;
	/** For each zone, the time at which its evacuation ends because the
	 *  store returned from a copy without it; 0 for never. */
	pr_usec_t *evacuation_ends;
	pr_registry_t registry;
	pr_outbound_pool_t pool;
	/** Prefill time of upstreams, learned by model. */
	pr_prefill_rates_t reading;
	/** Prompt prefixes that upstreams still hold. */
	pr_kept_t kept;
	/** Share of streams that pause for too long. */
	pr_pauses_t pauses;
	/** Usual pace of responses, learned by service and kind of response. */
	pr_pace_t pace;
	/** Prompt parts that crash upstreams. */
	pr_quarantine_t quarantine;
	/** Version of the row with the quarantined parts; number 0 for none. */
	pr_revision_t quarantine_row;
	/** Time since which the row has not been up to date, by the store's
	 *  clock; 0 when it is. */
	int64_t quarantine_unsaved_ms;
	pr_transition_t *transitions[PR_TRANSITIONS_MAX];
	size_t transitions_count;
	/** Conclusion of this host about each transition, and how long it has
	 *  been the same. */
	pr_conclusion_wait_t conclusions[PR_TRANSITIONS_MAX];
	/** Recently active sessions of this host and of others, with the
	 *  version that they use. */
	pr_sessions_t sessions;
	/** Shared rows of transitions. They are kept, since a row can arrive
	 *  before the order that it belongs to. */
	struct {
		char service[PR_UPSTREAM_NAME_SIZE];
		pr_transition_row_t row;
		pr_revision_t version;
	} transition_rows[PR_TRANSITIONS_MAX];
	size_t transition_rows_count;
	/** Earliest time of the next write to the shared table. */
	pr_usec_t next_write_at;
	/** Repeat budgets by service. */
	struct {
		char name[PR_UPSTREAM_NAME_SIZE];
		pr_repeat_budget_t budget;
	} services[PR_SERVICES_MAX];
	size_t services_count;
	pr_watch_t watches[PR_TABLES_COUNT];
	/** Call that writes to the shared table; one at a time. */
	pr_call_t writer;
	/** By this host's monotonic clock. */
	pr_store_clock_t store_clock;
	pr_era_t store_era;
	/** What the last answer of the store stated of its era, for the log. */
	pr_era_verdict_t era_verdict;
	pr_peering_t peering;
	uv_tcp_t caller_listener, ready_listener, metrics_listener,
		peer_listener;
	pr_list_t callers;
	/** Open connections of callers, and their maximum. */
	size_t callers_count, callers_max;
	/** Bytes that the process holds for callers. */
	pr_memory_t memory;
	/** Callers whose request waits for memory, in the order of their
	 *  arrival, and the timer that looks after them. */
	pr_list_t memory_waiters;
	pr_timer_t memory_timer;
	/** Callers have been waiting for memory. */
	bool memory_short;
	/** No connection could be closed for memory; the search is repeated at
	 *  this time. */
	pr_usec_t shed_after;
	/** Active exchanges. */
	size_t exchanges_count;
	pr_timer_t housekeeping_timer, stop_timer;
	pr_metrics_t metrics;
	pr_edge_metrics_t counters;
	pr_usec_t started_at;
	bool stopping;
	pr_usec_t stop_began;
	/** The shared table has the current row of this host, and the time from
	 *  which it may be written again. */
	bool registered;
	pr_usec_t register_at;
};

/** @return monotonic time, microseconds; it also advances the timers' clock */
pr_usec_t pr_edge_now(pr_edge_t *edge);
/** @return estimated time of the store's clock, milliseconds */
int64_t pr_edge_store_now(pr_edge_t *edge);
/** @return time at which a stopping host aborts the remaining requests */
pr_usec_t pr_edge_abort_time(const pr_edge_t *edge);
/** @return true when the routing document and a read of each table are there */
bool pr_edge_is_ready(const pr_edge_t *edge);
/** @return the transition of a service, or NULL */
pr_transition_t *pr_edge_transition(pr_edge_t *edge, const char *service);
/** @return the repeat budget of a service, created on first use, or NULL when
 *	   PR_SERVICES_MAX services have one already */
pr_repeat_budget_t *pr_edge_repeat_budget(pr_edge_t *edge, const char *service);
/** @return number of hosts that share the upstreams, this one included */
uint32_t pr_edge_hosts_count(const pr_edge_t *edge);

/**
 * Close all idle connections to upstreams.
 *
 * @return true when one was closed
 */
bool pr_edge_close_idle_upstreams(pr_edge_t *edge);

/* watch.c */
/** Start reading all tables. @return 0 */
int pr_watches_start(pr_edge_t *edge);
void pr_watches_finish(pr_edge_t *edge);
/**
 * Note the era that the answer of a call to the store states. When it rises,
 * the calls under way are ended, and the tables are read as a whole.
 *
 * @param status 0 when there was no answer
 * @return false when it is not known to which era the answer belongs
 */
bool pr_edge_note_era(pr_edge_t *edge, const pr_call_t *call, int status);
/** Note that another host has read rows of this era, likewise. */
void pr_edge_raise_era(pr_edge_t *edge, uint64_t era);
/** @return true when the table was read completely in the era of the store, and
 *	   the feed has not lost its history since then */
bool pr_watch_is_synced(const pr_watch_t *watch);
/** @return true when that holds for every table */
bool pr_watches_synced(const pr_edge_t *edge);
/** @return rest of the grace period after an outage, milliseconds */
uint32_t pr_watches_outage_grace_ms(pr_edge_t *edge);
/** Extend the grace period to the rest that a relay reported, milliseconds. */
void pr_watches_extend_outage_grace(pr_edge_t *edge, uint32_t remaining_ms);
/** Resume paused feeds that no relay reads for this host any more. */
void pr_watches_resume_paused(pr_edge_t *edge);
/**
 * Compare a table with the state that a relay reported, and request the missing
 * rows when this host has lacked some for too long.
 *
 * @param relay relay of this region that can send the rows; NULL to read them
 *	  from the store
 */
void pr_watch_compare_peer(pr_edge_t *edge, pr_store_table_t table,
			   const pr_host_t *relay,
			   const pr_announced_t *announced);
/** Apply rows that a relay forwarded, and forward them if this host is a relay
 *  too. Rows that do not follow this host's rows are read from the relay. */
void pr_watch_receive_rows(pr_edge_t *edge, const pr_host_t *relay,
			   const pr_message_rows_t *rows);

/* store_rows.c */
/**
 * Apply a row of the store.
 *
 * @param lapse_at time at which the removal of an upstream takes effect
 */
void pr_edge_apply_row(pr_edge_t *edge, pr_store_table_t table,
		       const pr_store_row_t *row, pr_usec_t lapse_at);
/**
 * Note that a table was read as a whole in a new era of the store: what the
 * host knows and the table lacks has to be written again, or was taken back.
 *
 * @param keys keys of the table
 */
void pr_edge_settle_table(pr_edge_t *edge, pr_store_table_t table,
			  const pr_names_t *keys, uint64_t era);
/** End the evacuations that were not written again after a return of the store.
 */
void pr_edge_end_lost_evacuations(pr_edge_t *edge);
/** @return true when this host may write to the shared table now: one write at
 *a time, and only once the table was read in the present era */
bool pr_edge_can_write(pr_edge_t *edge);
/** Register this host and write the conclusions about transitions. */
void pr_edge_update_shared_rows(pr_edge_t *edge);

/* caller.c */
/** Listen for callers. @return 0 or PR_EIO */
int pr_callers_listen(pr_edge_t *edge);
/**
 * Refuse new connections, unless some wait to be accepted.
 *
 * @return whether new connections are refused
 */
bool pr_callers_stop_listening(pr_edge_t *edge);
/** Close connections that have been without a request for some time. */
void pr_callers_close_idle(pr_edge_t *edge);
/** Set the gauges of memory and connections. */
void pr_overload_set_gauges(pr_edge_t *edge);
/** End all requests with an error response or a connection reset. */
void pr_callers_abort_exchanges(pr_edge_t *edge);

/* admin.c */
/** Listen for readiness checks, reads of the metrics, and hosts that read rows.
 * @return 0 or PR_EIO
 */
int pr_admin_listen(pr_edge_t *edge);

#endif
