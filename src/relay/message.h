/**
 * Encoding and decoding of the datagrams between hosts: flat msgpack maps with
 * the sender's name. src/edge/peers.c acts on the decoded messages.
 */
#ifndef PR_RELAY_MESSAGE_H
#define PR_RELAY_MESSAGE_H

#include "base/msgmap.h"
#include "limits/stated_rate.h"
#include "quarantine/quarantine.h"
#include "relay/aggregate.h"
#include "relay/extent.h"
#include "store/store.h"
#include "transition/sessions.h"

/** Largest datagram in bytes; with its headers it fits an Ethernet frame. */
#define PR_DATAGRAM_MAX 1400
/** Most sessions in one datagram. */
#define PR_SESSIONS_IN_DATAGRAM 80
/** Most rows in one datagram. */
#define PR_ROWS_IN_DATAGRAM 4

/** State of the store's feeds as a relay knows it. */
typedef struct pr_feed_state_t {
	/** Time since the store confirmed the relay's rows, ms. */
	uint32_t age_ms;
	/** The relay reads the feeds itself. */
	bool reads_store;
	/** The relay is current with the store and passes rows on. */
	bool current;
	pr_announced_t tables[PR_TABLES_COUNT];
	/** The store's clock, milliseconds. */
	int64_t clock_ms;
	/** Time until entries that expired during an outage are back, ms. */
	uint32_t unsettled_ms;
} pr_feed_state_t;

/**
 * Encode a report on upstreams, or a relay's digest.
 *
 * @param feeds state of the relay's feeds in a digest; NULL in a report
 * @return 0 or an error of the packer
 */
int pr_message_pack_counts(pr_str_t *out, const char *host,
			   pr_count_kind_t kind,
			   const pr_upstream_counts_t *counts,
			   const pr_feed_state_t *feeds);
/**
 * @param has_feeds set to true for a digest of a relay
 * @return 0, or PR_EPARSE for another kind of message
 */
int pr_message_read_counts(const pr_msgmap_t *map, pr_count_kind_t *kind,
			   pr_upstream_counts_t *counts, pr_feed_state_t *feeds,
			   bool *has_feeds);

/**
 * Encode the counts of a transition, without those of its load test.
 *
 * @param order tag of the row of the order
 * @param all true for a relay's counts of all hosts
 */
int pr_message_pack_tallies(pr_str_t *out, const char *host,
			    const char *service, uint64_t order,
			    const pr_tallies_t *tallies, bool all);
int pr_message_read_tallies(const pr_msgmap_t *map, pr_slice_t *service,
			    uint64_t *order, pr_tallies_t *tallies, bool *all);
/** Encode the counts of a transition's load test. They are sent apart, because
 *  hosts of earlier releases read no map with more fields than the other counts
 *  have. */
int pr_message_pack_load_test(pr_str_t *out, const char *host,
			      const char *service, uint64_t order,
			      const pr_load_test_tally_t *tally, bool all);
/** @return 0, or PR_EPARSE for another kind of message */
int pr_message_read_load_test(const pr_msgmap_t *map, pr_slice_t *service,
			      uint64_t *order, pr_load_test_tally_t *tally,
			      bool *all);

/** Encode sessions: time of their last use, and whether they moved to the new
 * version. */
int pr_message_pack_sessions(pr_str_t *out, const char *host,
			     const pr_recent_session_t *seen, size_t count);
/** @return number of sessions in out, at most max; 0 for another kind of
 *	   message */
size_t pr_message_read_sessions(const pr_msgmap_t *map,
				pr_recent_session_t *out, size_t max);

/** Most suspects in one datagram. */
#define PR_SUSPECTS_IN_DATAGRAM 16

/**
 * Encode what this host knows of prompt parts that crash upstreams.
 *
 * @return number of suspects that were packed, counted from the first one, as
 *	   many as fit in a datagram; 0 without memory
 */
size_t pr_message_pack_suspects(pr_str_t *out, const char *host,
				const pr_suspect_t *suspects, size_t count);
/** @return number of suspects in out, at most max; 0 for another kind of
 *	   message */
size_t pr_message_read_suspects(const pr_msgmap_t *map, pr_suspect_t *out,
				size_t max);

/** Most stated rates in one datagram. */
#define PR_RATES_IN_DATAGRAM 64

/** Rate that an upstream stated. */
typedef struct pr_upstream_rate_t {
	/** Hash that identifies the upstream's incarnation. */
	uint32_t tag;
	pr_rate_statement_t statement;
} pr_upstream_rate_t;

/** Encode the rates that upstreams stated; those beyond PR_RATES_IN_DATAGRAM
 *  are left out. */
int pr_message_pack_rates(pr_str_t *out, const char *host,
			  const pr_upstream_rate_t *rates, size_t count);
/** @return number of rates in out, at most max; 0 for another kind of message
 */
size_t pr_message_read_rates(const pr_msgmap_t *map, pr_upstream_rate_t *out,
			     size_t max);

/** Consecutive rows of a table, without a gap after a known version, and with
 * all rows of each transaction. */
typedef struct pr_message_rows_t {
	pr_store_table_t table;
	/** Newest row that the receiver must have. */
	pr_revision_t after;
	pr_store_row_t rows[PR_ROWS_IN_DATAGRAM];
	/** 0 when the next transaction is too long for a datagram; the receiver
	 * reads it from the sender. */
	size_t count;
} pr_message_rows_t;

/** @return number of rows that were packed, counted from the first one */
size_t pr_message_pack_rows(pr_str_t *out, const char *host,
			    pr_store_table_t table, pr_revision_t after,
			    const pr_store_row_t *rows, size_t count);
/** @return 0 or PR_EPARSE; on 0 pr_message_rows_finish() must follow */
int pr_message_read_rows(const pr_msgmap_t *map, pr_message_rows_t *out);
void pr_message_rows_finish(pr_message_rows_t *rows);

#endif
