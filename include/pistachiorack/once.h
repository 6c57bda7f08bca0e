/**
 * Requests that may not be repeated run at most once.
 *
 * A request runs only after its attempt owns row `claims/<key>`. The
 * conditional write of that row is the only authority: claims are never taken
 * over, so no lease and no fencing number is involved. Every host is entry
 * host for its own requests and owner (writer of grouped commits) for keys of
 * other hosts; pr_once_t does both.
 *
 * The slice has no socket and no clock. Effects leave through pr_once_ops_t;
 * time enters as `now` and through the timer service. Callbacks must not call
 * back into the slice before they return, but for pr_once_dispatch() inside
 * granted() and pr_once_start() inside finished().
 */
#ifndef PISTACHIORACK_ONCE_H
#define PISTACHIORACK_ONCE_H

#include "pistachiorack/store.h"
#include "pistachiorack/timer.h"
#include "pistachiorack/verdict.h"

#define PR_ONCE_TABLE "claims"
/** Longest key (`<workspace>/<idempotency key>`), bytes. */
#define PR_ONCE_KEY_MAX 400
/** Longest attempt id, body hash and host name, with the final zero byte. */
#define PR_ONCE_NAME_SIZE 96

typedef struct pr_once_t pr_once_t;

typedef enum pr_once_code_t {
	/** The attempt ended; status and body are those of its answer. */
	PR_ONCE_COMPLETED,
	/** An earlier attempt's stored outcome. */
	PR_ONCE_STORED,
	/** As PR_ONCE_STORED, but the body was too large to be kept. */
	PR_ONCE_STORED_WITHOUT_BODY,
	/** The key was used with another body: 422, not run. */
	PR_ONCE_KEY_REUSED,
	/** Another attempt holds the key until the deadline: 409. */
	PR_ONCE_CLAIMED,
	/** No claim could be written: 503, not run. */
	PR_ONCE_UNAVAILABLE,
	/** The deadline passed before dispatch: 504, not run. */
	PR_ONCE_DEADLINE,
	/** A table or queue is full: 503, not run. */
	PR_ONCE_FULL,
} pr_once_code_t;

typedef struct pr_once_result_t {
	pr_once_code_t code;
	pr_verdict_t verdict;
	/** HTTP status for the caller. */
	int status;
	/** Body for the caller; empty for refusals. */
	pr_slice_t body;
	/** False when the row did not confirm the outcome in time. */
	bool row_written;
} pr_once_result_t;

typedef enum pr_once_message_kind_t {
	/** Entry to owner: write this claim. */
	PR_ONCE_MESSAGE_CLAIM = 1,
	/** Owner to entry: result of either write. */
	PR_ONCE_MESSAGE_RESULT,
	/** Entry to owner: write this outcome. */
	PR_ONCE_MESSAGE_DONE,
} pr_once_message_kind_t;

/** Message between hosts; slices of a decoded one point into its bytes. */
typedef struct pr_once_message_t {
	pr_once_message_kind_t kind;
	/** Request number at the entry host. */
	uint64_t request;
	/** Sequence number of the write within the request. */
	uint64_t write;
	pr_slice_t key;
	pr_slice_t attempt;
	/** Condition of the write, 0 for absent; version in a result. */
	uint64_t version;
	/** Result only. */
	pr_store_status_t status;
	bool applied;
	/** Row to write, or the row that prevented the write. */
	pr_slice_t row;
} pr_once_message_t;

/** Append the message. @return 0 or PR_ENOMEM */
int pr_once_message_encode(pr_str_t *out, const pr_once_message_t *message);
/** @return 0 or PR_EPARSE; any bytes are allowed */
int pr_once_message_decode(pr_once_message_t *out, pr_slice_t bytes);

/** Effects. `tag` comes back with the answer. */
typedef struct pr_once_ops_t {
	/** One commit; exactly one pr_once_committed() must follow. */
	void (*commit)(void *data, const pr_store_op_t *ops, size_t count,
		       uint64_t tag);
	/** One read; exactly one pr_once_read() must follow. */
	void (*read_row)(void *data, const char *table, pr_slice_t key,
			 uint64_t tag);
	void (*send)(void *data, pr_slice_t host,
		     const pr_once_message_t *message);
	/**
	 * The claim is held. Call pr_once_dispatch() immediately before the
	 * first byte is sent upstream, then pr_once_complete().
	 */
	void (*granted)(void *data, uint64_t request);
	/** Called once for each request that was started. */
	void (*finished)(void *data, uint64_t request,
			 const pr_once_result_t *result);
} pr_once_ops_t;

typedef struct pr_once_options_t {
	unsigned int version;
	const pr_once_ops_t *ops;
	void *data;
	pr_timers_t *timers;
	/** Name of this host; copied. */
	const char *host;
	/** Requests, those with a row still to be settled included. */
	size_t requests_max;
	/** Writes that wait in the group queue or are in a commit. */
	size_t writes_max;
	/** Operations in one commit, at most PR_STORE_OPS_MAX. */
	size_t group_max;
	/** Longest wait of a write for others to join its commit. */
	pr_usec_t group_wait;
	/** Silence of the owner after which the entry host writes itself. */
	pr_usec_t owner_wait;
	/** Bound on the whole claim phase. */
	pr_usec_t claim_wait;
	/** Bound on the wait for the outcome write. */
	pr_usec_t outcome_wait;
	/** First and longest delay between two reads of a row. */
	pr_usec_t read_wait, read_wait_max;
	/** Pace of the background list, one commit each, and its bound. */
	pr_usec_t settle_wait, settle_wait_max;
	/** Largest body kept in a row; memory for unsettled bodies. */
	size_t body_max, bodies_max;
	/**
	 * Faults for tests; must be false elsewhere. With these the checks of
	 * the failure tests have to report violations.
	 */
	bool test_skip_claims;
	bool test_unconditional;
	bool test_skip_deadline;
} pr_once_options_t;

#define PR_ONCE_OPTIONS_VERSION 1
#define PR_ONCE_OPTIONS_INIT                                                   \
	{                                                                      \
		.version = PR_ONCE_OPTIONS_VERSION, .requests_max = 4096,      \
		.writes_max = 4096, .group_max = PR_STORE_OPS_MAX,             \
		.group_wait = 5 * PR_USEC_PER_MSEC,                            \
		.owner_wait = 50 * PR_USEC_PER_MSEC,                           \
		.claim_wait = 2 * PR_USEC_PER_SEC,                             \
		.outcome_wait = 200 * PR_USEC_PER_MSEC,                        \
		.read_wait = 20 * PR_USEC_PER_MSEC,                            \
		.read_wait_max = 500 * PR_USEC_PER_MSEC,                       \
		.settle_wait = 100 * PR_USEC_PER_MSEC,                         \
		.settle_wait_max = 5 * PR_USEC_PER_SEC, .body_max = 64 << 10,  \
		.bodies_max = 8 << 20,                                         \
	}

typedef struct pr_once_counters_t {
	uint64_t commits;
	uint64_t writes;
	uint64_t reads;
	/** Writes that the entry host did because the owner was silent. */
	uint64_t owner_silent;
	uint64_t refused_full;
	/** Outcomes that found a foreign row; never expected. */
	uint64_t outcome_conflicts;
} pr_once_counters_t;

/** A request as the shell hands it over; slices are copied. */
typedef struct pr_once_request_options_t {
	/** `<workspace>/<idempotency key>`. */
	pr_slice_t key;
	/** Unique for each try, also across restarts of a host. */
	pr_slice_t attempt;
	pr_slice_t body_hash;
	/** Owner of the key; this host's own name or empty: write here. */
	pr_slice_t owner;
	pr_usec_t deadline;
} pr_once_request_options_t;

/** @return 0, PR_EINVALID or PR_ENOMEM; free with pr_once_close() */
int pr_once_open(pr_once_t **out, const pr_once_options_t *options);
/** Free everything; NULL is allowed. Unfinished requests get no callback. */
void pr_once_close(pr_once_t *once);

/**
 * Start the claim of a request.
 *
 * @param out number for the callbacks
 * @return 0; PR_EFULL, PR_EINVALID, PR_ETIMEDOUT or PR_ENOMEM: not run,
 *	   nothing was sent
 */
int pr_once_start(pr_once_t *once, uint64_t *out,
		  const pr_once_request_options_t *options, pr_usec_t now);
/**
 * Last check before the first byte goes to the upstream.
 *
 * @return 0: send now; PR_ETIMEDOUT: must not be sent, finished() follows;
 *	   PR_EINVALID: the request has no claim or was dispatched before
 */
int pr_once_dispatch(pr_once_t *once, uint64_t request, pr_usec_t now);
/**
 * The attempt ended, or was given up after granted().
 *
 * @param verdict PR_VERDICT_NOT_RUN frees the key for a retry; otherwise
 *		  status and body become the stored outcome
 * @return 0 or PR_EINVALID; finished() follows within outcome_wait
 */
int pr_once_complete(pr_once_t *once, uint64_t request, pr_verdict_t verdict,
		     int status, pr_slice_t body, pr_usec_t now);

/** Answer to ops->commit(); results are read when status is ANSWERED. */
void pr_once_committed(pr_once_t *once, uint64_t tag, pr_store_status_t status,
		       const pr_store_result_t *results, size_t count,
		       pr_usec_t now);
/** Answer to ops->read_row(). */
void pr_once_read(pr_once_t *once, uint64_t tag, pr_store_status_t status,
		  const pr_store_result_t *result, pr_usec_t now);
/** A message from a peer. */
void pr_once_receive(pr_once_t *once, pr_slice_t from,
		     const pr_once_message_t *message, pr_usec_t now);

/** @return requests without finished() and rows that are still to be set */
size_t pr_once_pending(const pr_once_t *once);
const pr_once_counters_t *pr_once_counters(const pr_once_t *once);

#endif
