/**
 * Bills: each finished request leaves exactly one bill row.
 *
 * The entry host collects bills in batches, has each batch held by two other
 * hosts and keeps it until a writer confirms its row `bills/<host>/<boot>/
 * <sequence>`. The first holder (collector) writes; when it stays silent, the
 * second holder and then the entry host write. A row is inserted only if it is
 * absent, and a batch never changes, so writing twice is harmless. Every host
 * is entry host and holder at once.
 *
 * The slice has no socket and no clock. Callbacks must not call back into the
 * slice before they return.
 */
#ifndef PISTACHIORACK_BILL_H
#define PISTACHIORACK_BILL_H

#include "pistachiorack/store.h"
#include "pistachiorack/timer.h"

#define PR_BILL_TABLE "bills"
/** Longest batch id, with the final zero byte. */
#define PR_BILL_ID_SIZE 128
/** Most ids in one bill_stored message. */
#define PR_BILL_IDS_MAX PR_STORE_OPS_MAX

typedef struct pr_bill_book_t pr_bill_book_t;

typedef struct pr_bill_t {
	/** Sequence number of the request on this host in this boot. */
	uint64_t request;
	pr_slice_t workspace;
	pr_slice_t model;
	pr_slice_t version;
	uint64_t tokens_in;
	uint64_t tokens_out;
	/** Millionths of a currency unit. */
	uint64_t price;
} pr_bill_t;

/** A live host that may hold batches; strings are copied. */
typedef struct pr_bill_peer_t {
	const char *host;
	const char *zone;
	const char *region;
} pr_bill_peer_t;

typedef enum pr_bill_message_kind_t {
	/** Entry to holder: keep this batch. */
	PR_BILL_MESSAGE_HOLD = 1,
	/** Holder to entry: kept, or refused when memory is short. */
	PR_BILL_MESSAGE_HELD,
	/**
	 * Collector to entry and second holder: still holds everything, but the
	 * store does not accept writes; nobody need write in its place.
	 */
	PR_BILL_MESSAGE_WAITING,
	/** Writer to the others: these rows exist. */
	PR_BILL_MESSAGE_STORED,
} pr_bill_message_kind_t;

/** Message between hosts; slices of a decoded one point into its bytes. */
typedef struct pr_bill_message_t {
	pr_bill_message_kind_t kind;
	/** Batch id; in STORED several, each followed by a line feed. */
	pr_slice_t batch;
	/** HOLD: the receiver is to write the batch. */
	bool collect;
	/** HELD: false when the holder has no room. */
	bool accepted;
	/** HOLD: the other holder, or empty. */
	pr_slice_t other;
	/** HOLD: bills in the batch. */
	uint64_t count;
	/** HOLD: row value, JSON text. */
	pr_slice_t value;
} pr_bill_message_t;

/** Append the message. @return 0 or PR_ENOMEM */
int pr_bill_message_encode(pr_str_t *out, const pr_bill_message_t *message);
/** @return 0 or PR_EPARSE; any bytes are allowed */
int pr_bill_message_decode(pr_bill_message_t *out, pr_slice_t bytes);

typedef struct pr_bill_ops_t {
	/** One commit; exactly one pr_bill_committed() must follow. */
	void (*commit)(void *data, const pr_store_op_t *ops, size_t count,
		       uint64_t tag);
	void (*send)(void *data, pr_slice_t host,
		     const pr_bill_message_t *message);
	/**
	 * The answer may end.
	 *
	 * @param acknowledged false when no holder answered in time; the bill
	 *		       is then on this host only
	 */
	void (*held)(void *data, uint64_t request, bool acknowledged);
} pr_bill_ops_t;

typedef struct pr_bill_options_t {
	unsigned int version;
	const pr_bill_ops_t *ops;
	void *data;
	pr_timers_t *timers;
	/** This host; copied. */
	const char *host, *zone, *region;
	/** Differs at each start of the host. */
	uint64_t boot;
	/** Holders of a batch, 0..2; 0 and 1 are for tests. */
	unsigned int holders;
	/** Groups of entry hosts with one collector, fleet-wide. */
	unsigned int shards;
	/** Most bills in one batch; longest wait for others to join it. */
	size_t batch_max;
	pr_usec_t batch_wait;
	/** Silence of a holder after which another is asked. */
	pr_usec_t ack_wait;
	/** Bound on the wait of an answer for a holder. */
	pr_usec_t held_wait;
	/** A collector writes a commit that is not full after this time. */
	pr_usec_t collect_wait;
	/** Silence after which the second holder, the entry host write. */
	pr_usec_t second_wait, entry_wait;
	/** Shortest distance of two commits of this host (write budget). */
	pr_usec_t commit_gap;
	/** The same for commits in place of a silent collector. */
	pr_usec_t fallback_gap;
	/** Longest distance of two tries while the store is down. */
	pr_usec_t retry_max;
	/** Memory for own and for held batches, bytes. */
	size_t own_max, held_max;
	/** Fault for tests: rows are inserted without a condition, new keys. */
	bool test_fresh_keys;
} pr_bill_options_t;

#define PR_BILL_OPTIONS_VERSION 1
#define PR_BILL_OPTIONS_INIT                                                   \
	{                                                                      \
		.version = PR_BILL_OPTIONS_VERSION, .holders = 2,              \
		.shards = 16, .batch_max = 64,                                 \
		.batch_wait = 2 * PR_USEC_PER_MSEC,                            \
		.ack_wait = 20 * PR_USEC_PER_MSEC,                             \
		.held_wait = 50 * PR_USEC_PER_MSEC,                            \
		.collect_wait = PR_USEC_PER_SEC,                               \
		.second_wait = 5 * PR_USEC_PER_SEC,                            \
		.entry_wait = 10 * PR_USEC_PER_SEC,                            \
		.commit_gap = 125 * PR_USEC_PER_MSEC,                          \
		.fallback_gap = PR_USEC_PER_SEC,                               \
		.retry_max = 4 * PR_USEC_PER_SEC, .own_max = 16 << 20,         \
		.held_max = 24 << 20,                                          \
	}

typedef struct pr_bill_counters_t {
	uint64_t bills;
	uint64_t commits;
	uint64_t rows_written;
	/** Rows that existed: another holder was first. */
	uint64_t rows_existed;
	/** Answers that ended without an acknowledged bill. */
	uint64_t unacknowledged;
	/** Batches that another holder was asked for. */
	uint64_t other_holder;
	uint64_t refused_full;
} pr_bill_counters_t;

/** What is left to be written. */
typedef struct pr_bill_pending_t {
	/** Own batches, and those of them that no holder acknowledged. */
	size_t own, unheld;
	/** Batches of other hosts. */
	size_t held;
	size_t own_bytes, held_bytes;
} pr_bill_pending_t;

/** @return 0, PR_EINVALID or PR_ENOMEM; free with pr_bill_close() */
int pr_bill_open(pr_bill_book_t **out, const pr_bill_options_t *options);
/** Free everything, written or not; NULL is allowed. */
void pr_bill_close(pr_bill_book_t *book);

/**
 * Set the live peers. Own batches whose holder is gone get another.
 *
 * @return 0 or PR_ENOMEM
 */
int pr_bill_set_peers(pr_bill_book_t *book, const pr_bill_peer_t *peers,
		      size_t count, pr_usec_t now);
/** @return false when the memory for own batches is used up */
bool pr_bill_has_room(const pr_bill_book_t *book);
/**
 * Add the bill of a request whose answer is about to end.
 *
 * @return 0, and held() follows; PR_EFULL, PR_EINVALID or PR_ENOMEM
 */
int pr_bill_add(pr_bill_book_t *book, const pr_bill_t *bill, pr_usec_t now);
/** Answer to ops->commit(); results are read when status is ANSWERED. */
void pr_bill_committed(pr_bill_book_t *book, uint64_t tag,
		       pr_store_status_t status,
		       const pr_store_result_t *results, size_t count,
		       pr_usec_t now);
/** A message from a peer. */
void pr_bill_receive(pr_bill_book_t *book, pr_slice_t from,
		     const pr_bill_message_t *message, pr_usec_t now);
/** Graceful stop: everything that is here is written without waiting. */
void pr_bill_stop(pr_bill_book_t *book, pr_usec_t now);
pr_bill_pending_t pr_bill_pending(const pr_bill_book_t *book);
const pr_bill_counters_t *pr_bill_counters(const pr_bill_book_t *book);

#endif
