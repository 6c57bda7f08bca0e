/**
 * Connections to upstreams: each carries one request at a time and is kept for
 * the next one where that is safe.
 */
#ifndef PR_EDGE_OUTBOUND_H
#define PR_EDGE_OUTBOUND_H

#include "http/link.h"
#include "http/reader.h"
#include "pistachiorack/timer.h"
#include "pistachiorack/verdict.h"
#include "upstream/upstream.h"

typedef struct pr_outbound_t pr_outbound_t;

/** Events of the request that a connection carries. */
typedef struct pr_outbound_ops_t {
	/** The answer's head. @return false to stop; the owner cancelled */
	bool (*on_head)(void *owner, const pr_http_reader_t *reader);
	bool (*on_body)(void *owner, pr_slice_t bytes);
	/** The answer is complete; the connection is no longer the owner's. */
	void (*on_done)(void *owner);
	/**
	 * The connection failed; it is no longer the owner's.
	 *
	 * @param stage how far the request had come
	 */
	void (*on_failed)(void *owner, pr_attempt_stage_t stage);
} pr_outbound_ops_t;

typedef struct pr_outbound_pool_t {
	uv_loop_t *loop;
	pr_timers_t *timers;
	/** Longest time for a connection to be established. */
	pr_usec_t connect_timeout;
	/** Connections opened since the start. */
	uint64_t opened;
} pr_outbound_pool_t;

typedef struct pr_outbound_request_t {
	/** Whole HTTP request; copied. */
	pr_slice_t bytes;
	/** Request id that the answer must echo. */
	pr_slice_t id;
	bool is_head;
	/** A kept connection may have been closed by the upstream unnoticed,
	 *  so that a request that may not be repeated wants a fresh one. */
	bool needs_fresh;
} pr_outbound_request_t;

/** @return 0 or PR_EIO; on 0 events follow, never from inside this call */
int pr_outbound_start(pr_outbound_t **out, pr_outbound_pool_t *pool,
		      pr_upstream_t *upstream,
		      const pr_outbound_request_t *request,
		      const pr_outbound_ops_t *ops, void *owner);
/** Let a request go: the connection is closed and no event follows. */
void pr_outbound_cancel(pr_outbound_t *outbound);
/** @return how far its request has come */
pr_attempt_stage_t pr_outbound_stage(const pr_outbound_t *outbound);
void pr_outbound_pause(pr_outbound_t *outbound);
void pr_outbound_resume(pr_outbound_t *outbound);
/** Close idle connections that their upstream is about to close, or all. */
void pr_outbound_close_idle(pr_upstream_t *upstream, pr_usec_t now, bool all);

#endif
