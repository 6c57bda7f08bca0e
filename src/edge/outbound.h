/**
 * Connections to upstreams. Each carries one request at a time and is reused
 * for the next one where that is safe.
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
	/** The head of the response. @return false after the owner cancelled
	 *  the request */
	bool (*on_head)(void *owner, const pr_http_reader_t *reader);
	/** Bytes of the body. @return false after the owner cancelled it */
	bool (*on_body)(void *owner, pr_slice_t bytes);
	/** The response is complete; the owner must not use the connection any
	 *  more. */
	void (*on_done)(void *owner);
	/**
	 * The connection failed; the owner must not use it any more.
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
	/** Open connections, and their maximum; 0 for none. */
	size_t count, max;
} pr_outbound_pool_t;

typedef struct pr_outbound_request_t {
	/** HTTP request, without the part of its body that is in `body`; it is
	 *  copied. */
	pr_slice_t bytes;
	/** Rest of the body. It is not copied: it must stay as long as the
	 *  request is under way. */
	pr_slice_t body;
	/** Request id; a response that states another one is skipped. Without
	 *  an id, the request gets a new connection. */
	pr_slice_t id;
	/** The method is HEAD, so that the response has no body. */
	bool is_head;
	/** Use a new connection or one that was idle for a short time only. The
	 *  upstream may just be closing an idle connection, and a request that
	 *  may not be repeated would be lost with it. */
	bool needs_fresh;
} pr_outbound_request_t;

/**
 * Send a request on an idle connection or on a new one. The events follow
 * later, never from inside this call.
 *
 * @return 0, PR_EIO, PR_ENOMEM, or PR_EFULL when it needs a new connection
 *	   and the pool has its maximum
 */
int pr_outbound_start(pr_outbound_t **out, pr_outbound_pool_t *pool,
		      pr_upstream_t *upstream,
		      const pr_outbound_request_t *request,
		      const pr_outbound_ops_t *ops, void *owner);
/** Cancel the request: the connection is closed and no event follows. */
void pr_outbound_cancel(pr_outbound_t *outbound);
/** @return how far the request has come */
pr_attempt_stage_t pr_outbound_stage(const pr_outbound_t *outbound);
/** Stop reading the response, for back pressure. */
void pr_outbound_pause(pr_outbound_t *outbound);
void pr_outbound_resume(pr_outbound_t *outbound);
/** Close the idle connections that the upstream is about to close, or all. */
void pr_outbound_close_idle(pr_upstream_t *upstream, pr_usec_t now, bool all);

#endif
