/**
 * Datagrams between hosts: flat msgpack maps with the sender's name. Only
 * translation; what a message means for the receiver is decided in peers.c.
 */
#ifndef PR_RELAY_MESSAGE_H
#define PR_RELAY_MESSAGE_H

#include "base/msgmap.h"
#include "relay/gather.h"
#include "store/store.h"
#include "transition/sessions.h"

/** Fits a packet of an Ethernet link with its headers. */
#define PR_DATAGRAM_MAX 1400
/** Sessions in one datagram. */
#define PR_SESSIONS_IN_DATAGRAM 80
/** Rows in one datagram. */
#define PR_ROWS_IN_DATAGRAM 4

/** State of the store's feeds as a relay knows it. */
typedef struct pr_feed_state_t {
	/** Time since the store confirmed what the relay has, ms. */
	uint32_t age_ms;
	/** The relay reads the feeds itself. */
	bool reads;
	/** It feeds other hosts. */
	bool fed;
	/** Newest row of each table that it applied, and the version of the
	 *  store up to which it has all rows of the table. */
	uint64_t newest[PR_TABLES_COUNT], version[PR_TABLES_COUNT];
	/** The store's clock, milliseconds. */
	int64_t clock_ms;
	/** Time until entries that lapsed in an outage are back, ms. */
	uint32_t unsettled_ms;
} pr_feed_state_t;

/** Report on upstreams; a relay's digest has the state of its feeds. */
int pr_message_counts(pr_str_t *out, const char *host, pr_count_kind_t kind,
		      const pr_counts_t *counts, const pr_feed_state_t *feeds);
/** @return 0 or PR_EPARSE when it is another kind of message */
int pr_message_read_counts(const pr_msgmap_t *map, pr_count_kind_t *kind,
			   pr_counts_t *counts, pr_feed_state_t *feeds,
			   bool *has_feeds);

/** Counts of a transition. @param all of all hosts, from a relay */
int pr_message_tallies(pr_str_t *out, const char *host, const char *service,
		       uint64_t order_row, const pr_tallies_t *tallies,
		       bool all);
int pr_message_read_tallies(const pr_msgmap_t *map, pr_slice_t *service,
			    uint64_t *order_row, pr_tallies_t *tallies,
			    bool *all);

/** Sessions and when they were used, on the new version or on another one. */
int pr_message_sessions(pr_str_t *out, const char *host,
			const pr_recent_session_t *seen, size_t count);
/** @return number of sessions in out; 0 for another kind of message */
size_t pr_message_read_sessions(const pr_msgmap_t *map,
				pr_recent_session_t *out, size_t max);

/** Rows that follow a version of a table without a gap. */
typedef struct pr_message_rows_t {
	pr_store_table_t table;
	/** Newest row that the receiver must have. */
	uint64_t after;
	pr_store_row_t rows[PR_ROWS_IN_DATAGRAM];
	/** 0 when the row that follows is too long for a datagram. */
	size_t count;
} pr_message_rows_t;

/** Bytes of a long row in one datagram. */
#define PR_PART_SIZE 1100
/** Datagrams that one row is split into; a longer row is not passed on. */
#define PR_PARTS_MAX 32

/** A part of the value of a row that is too long for one datagram. */
typedef struct pr_message_part_t {
	pr_store_table_t table;
	/** Newest row that the receiver must have. */
	uint64_t after;
	pr_slice_t key;
	/** Version of the row. */
	uint64_t version;
	uint32_t part, parts;
	pr_slice_t bytes;
} pr_message_part_t;

int pr_message_part(pr_str_t *out, const char *host,
		    const pr_message_part_t *part);
/** @return 0 or PR_EPARSE; slices stay valid as long as the map's bytes */
int pr_message_read_part(const pr_msgmap_t *map, pr_message_part_t *out);

/** The parts of one row, as they come. Zeroed before first use. */
typedef struct pr_parts_t {
	uint64_t version;
	uint32_t parts;
	/** Bit set of the parts that came. */
	uint32_t have;
	size_t len;
	char bytes[PR_PART_SIZE * PR_PARTS_MAX];
} pr_parts_t;

/** @return true when the row is whole; its value is in bytes, of length len */
bool pr_parts_take(pr_parts_t *parts, const pr_message_part_t *part);

/** @return rows that were packed, from the first on */
size_t pr_message_rows(pr_str_t *out, const char *host, pr_store_table_t table,
		       uint64_t after, const pr_store_row_t *rows,
		       size_t count);
/** @return 0 or PR_EPARSE; on 0 pr_message_rows_finish() must follow */
int pr_message_read_rows(const pr_msgmap_t *map, pr_message_rows_t *out);
void pr_message_rows_finish(pr_message_rows_t *rows);

#endif
