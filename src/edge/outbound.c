/*
 * Connections to upstreams. An upstream may send a second response to an
 * earlier request late, where the response to the current one is expected.
 * A response that states the id of another request is skipped, one that states
 * no id is accepted only as the response to the first request of a connection,
 * and a connection never carries the same request twice.
 */
#include "edge/outbound.h"

#include <stdlib.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "pistachiorack/error.h"
#include "platform/adapter.h"

#define HEAD_BYTES_MAX 32768
/* Idle time-out of a connection whose upstream states none. */
#define IDLE_DEFAULT (4 * PR_USEC_PER_SEC)
/* An idle connection is closed this long before the stated time-out. */
#define IDLE_MARGIN (700 * PR_USEC_PER_MSEC)
/* Longest idle time of a connection that may carry a request that needs a fresh
 * one. */
#define IDLE_MAX_FRESH (1500 * PR_USEC_PER_MSEC)
/* Most recent requests of a connection whose ids are kept. */
#define CARRIED_MAX 16

struct pr_outbound_t {
	pr_link_t link;
	pr_http_reader_t reader;
	/** Node of the upstream's list of idle connections. */
	pr_list_t node;
	pr_outbound_pool_t *pool;
	pr_upstream_t *upstream;
	const pr_outbound_ops_t *ops;
	/** Owner of the current request; NULL while idle or closing. */
	void *owner;
	/** Bytes of the request until they are sent, and the request id. */
	pr_str_t request;
	pr_slice_t body;
	char id[96];
	/** Hashes of the ids of recent requests, the current one included: a
	 *  ring, and the number of all requests so far. */
	uint64_t carried[CARRIED_MAX];
	uint64_t carried_count;
	/** The current response states its request. */
	bool states_id;
	pr_timer_t timer;
	pr_attempt_stage_t stage;
	/** The current response states the id of another request. */
	bool mismatched;
	bool is_head;
	pr_usec_t idle_since, idle_max;
};

static pr_outbound_t *outbound_of(pr_link_t *link)
{
	return PR_OWNER(link, pr_outbound_t, link);
}

/* The clock of the timers stands still while the loop polls. */
static pr_usec_t current_time(const pr_outbound_t *outbound)
{
	pr_usec_t now = (pr_usec_t)(uv_hrtime() / 1000);
	pr_usec_t timers_now = outbound->pool->timers->now;

	return now > timers_now ? now : timers_now;
}

static void close_outbound(pr_outbound_t *outbound)
{
	if (!outbound->link.closing)
		outbound->pool->count--;
	pr_list_remove(&outbound->node);
	pr_timers_unsubscribe(outbound->pool->timers, &outbound->timer);
	outbound->owner = NULL;
	pr_link_close(&outbound->link);
}

static void fail_connection(pr_outbound_t *outbound)
{
	void *owner = outbound->owner;

	close_outbound(outbound);
	if (owner)
		outbound->ops->on_failed(owner, outbound->stage);
}

static void note_stated_rate(pr_upstream_t *upstream,
			     const pr_http_reader_t *reader, pr_usec_t now)
{
	double per_s;

	/* An unreadable limit counts as none. */
	if (!pr_slice_decimal(
		    pr_http_find(reader,
				 pr_adapter_field_name(PR_FIELD_STATED_RATE)),
		    &per_s))
		per_s = 0;
	else if (per_s < PR_STATED_RATE_MIN)
		per_s = PR_STATED_RATE_MIN;
	if (pr_stated_rate_hear(&upstream->rate, per_s, now))
		pr_event("upstream_rate", "id=%s service=%s per_s=%.3f",
			 upstream->entry.id, upstream->entry.service, per_s);
}

/* Note what the response states about the upstream, whichever request it
 * belongs to. */
static void note_upstream(pr_outbound_t *outbound,
			  const pr_http_reader_t *reader)
{
	pr_upstream_t *upstream = outbound->upstream;
	pr_usec_t now = current_time(outbound);
	pr_usec_t pause;
	uint64_t leaving;

	note_stated_rate(upstream, reader, now);
	if (pr_slice_number(pr_http_find(reader, pr_adapter_field_name(
							 PR_FIELD_LEAVING)),
			    &leaving) &&
	    leaving && pr_upstream_mark_leaving(upstream)) {
		pr_event_state("upstream_leaving", "id=%s service=%s status=%d",
			       upstream->entry.id, upstream->entry.service,
			       (int)reader->parser.status_code);
		pr_outbound_close_idle(upstream, now, true);
	}
	if (reader->parser.status_code == 503 &&
	    pr_slice_seconds(
		    pr_http_find(reader,
				 pr_adapter_field_name(PR_FIELD_RETRY_AFTER)),
		    &pause) &&
	    pr_upstream_pause(upstream, pause, now))
		pr_event("upstream_paused", "id=%s service=%s ms=%lld",
			 upstream->entry.id, upstream->entry.service,
			 (long long)(pause / PR_USEC_PER_MSEC));
}

static bool on_head(pr_http_reader_t *reader)
{
	pr_outbound_t *outbound = reader->owner;
	pr_slice_t id = pr_http_find(
		reader, pr_adapter_field_name(PR_FIELD_REQUEST_ID));

	if (!outbound->owner)
		return false;
	note_upstream(outbound, reader);
	if (!id.ptr && outbound->carried_count > 1) {
		pr_event("response_without_id",
			 "request=%s upstream=%s status=%d", outbound->id,
			 outbound->upstream->entry.id,
			 (int)reader->parser.status_code);
		fail_connection(outbound);
		return false;
	}
	outbound->mismatched =
		id.ptr && !pr_slice_equal(id, pr_slice_of(outbound->id));
	if (outbound->mismatched) {
		/* Connections that carried HEAD are not reused, so the skipped
		 * response has a body whatever the current method is. */
		reader->no_body = false;
		return true;
	}
	outbound->states_id = id.ptr;
	outbound->stage = PR_STAGE_HEAD;
	return outbound->ops->on_head(outbound->owner, reader);
}

static bool on_body(pr_http_reader_t *reader, pr_slice_t bytes)
{
	pr_outbound_t *outbound = reader->owner;

	if (!outbound->owner)
		return false;
	if (outbound->mismatched)
		return true;
	outbound->stage = PR_STAGE_BODY;
	return outbound->ops->on_body(outbound->owner, bytes);
}

static void on_message(pr_http_reader_t *reader)
{
}

static const pr_http_reader_ops_t reader_ops = { on_head, on_body, on_message };

/* Time-out of the Keep-Alive field, less the margin, or the default. */
static pr_usec_t idle_timeout(const pr_http_reader_t *reader)
{
	pr_slice_t value = pr_http_find(reader, "Keep-Alive");
	pr_usec_t seconds = 0;
	size_t at = 0;

	while (at + 8 <= value.len &&
	       memcmp(value.ptr + at, "timeout=", 8) != 0)
		at++;
	if (at + 8 > value.len)
		return IDLE_DEFAULT;
	for (at += 8;
	     at < value.len && value.ptr[at] >= '0' && value.ptr[at] <= '9';
	     at++)
		seconds = seconds * 10 + (value.ptr[at] - '0');
	return seconds * PR_USEC_PER_SEC - IDLE_MARGIN;
}

/* The response is complete: keep the connection idle if nothing is left to be
 * read or written on it, and later responses can be told apart. */
static void finish_response(pr_outbound_t *outbound, bool at_boundary)
{
	void *owner = outbound->owner;
	bool keep = at_boundary && !outbound->link.unsent &&
		    outbound->states_id && !outbound->is_head &&
		    !pr_upstream_is_leaving(outbound->upstream) &&
		    http_should_keep_alive(&outbound->reader.parser);

	outbound->idle_max = idle_timeout(&outbound->reader);
	if (!keep || outbound->idle_max <= 0) {
		close_outbound(outbound);
	} else {
		outbound->owner = NULL;
		outbound->idle_since = outbound->pool->timers->now;
		/* The most recently used connection comes first and is reused
		 * first, so that the others can time out. */
		pr_list_append(outbound->upstream->idle.next, &outbound->node);
		pr_http_reader_next(&outbound->reader);
		/* The owner may have paused it with the last bytes. */
		pr_link_resume(&outbound->link);
	}
	outbound->ops->on_done(owner);
}

/* The attempt fails like one whose connection broke; only this line tells that
 * the upstream sent bytes that are no response. */
static void log_malformed(const pr_outbound_t *outbound)
{
	pr_event("response_malformed", "request=%s upstream=%s reason=%s",
		 outbound->id, outbound->upstream->entry.id,
		 outbound->reader.fault == PR_HTTP_HEAD_TOO_LARGE
			 ? "head_too_large"
			 : "not_http");
}

static void on_read(pr_link_t *link, const char *bytes, size_t len)
{
	pr_outbound_t *outbound = outbound_of(link);
	size_t used = 0;

	if (!outbound->owner) {
		close_outbound(outbound);
		return;
	}
	/* Bytes that arrive before the request is sent belong to another one.
	 */
	if (outbound->stage < PR_STAGE_SENT) {
		fail_connection(outbound);
		return;
	}
	while (used < len && !link->closing) {
		used += pr_http_reader_feed(&outbound->reader, bytes + used,
					    len - used);
		if (!outbound->owner)
			return;
		if (outbound->reader.fault) {
			log_malformed(outbound);
			fail_connection(outbound);
			return;
		}
		if (!outbound->reader.complete)
			continue;
		if (!outbound->mismatched) {
			finish_response(outbound, used == len);
			return;
		}
		pr_http_reader_next(&outbound->reader);
		outbound->reader.no_body = outbound->is_head;
		outbound->mismatched = false;
	}
}

static void on_end(pr_link_t *link, bool clean)
{
	pr_outbound_t *outbound = outbound_of(link);

	if (link->closing)
		return;
	if (outbound->owner && clean && !outbound->mismatched &&
	    pr_http_reader_end(&outbound->reader))
		finish_response(outbound, false);
	else
		fail_connection(outbound);
}

static void send_request(pr_outbound_t *outbound)
{
	/* It may have asked for no requests since it was chosen. */
	if (pr_upstream_is_paused(outbound->upstream, current_time(outbound))) {
		fail_connection(outbound);
		return;
	}
	outbound->stage = PR_STAGE_SENT;
	if (pr_link_write_owned(&outbound->link, &outbound->request) ||
	    (outbound->body.len &&
	     pr_link_write_borrowed(&outbound->link, outbound->body.ptr,
				    outbound->body.len)))
		fail_connection(outbound);
}

static void on_connect(pr_link_t *link, int rc)
{
	pr_outbound_t *outbound = outbound_of(link);

	pr_timers_unsubscribe(outbound->pool->timers, &outbound->timer);
	if (rc)
		fail_connection(outbound);
	else
		send_request(outbound);
}

static void on_closed(pr_link_t *link)
{
	pr_outbound_t *outbound = outbound_of(link);

	outbound->upstream->connections--;
	pr_upstream_unref(outbound->upstream);
	pr_http_reader_finish(&outbound->reader);
	pr_str_finish(&outbound->request);
	free(outbound);
}

static const pr_link_ops_t link_ops = {
	.on_connect = on_connect,
	.on_read = on_read,
	.on_end = on_end,
	.on_closed = on_closed,
};

static void on_timer(pr_timer_t *timer, pr_usec_t now)
{
	pr_outbound_t *outbound = timer->data;

	/* Either the connection was not established in time, or a reused one
	 * has to send its request. */
	if (outbound->stage == PR_STAGE_CONNECTING)
		fail_connection(outbound);
	else
		send_request(outbound);
}

static int open_connection(pr_outbound_t **out, pr_outbound_pool_t *pool,
			   pr_upstream_t *upstream)
{
	pr_outbound_t *outbound;

	if (pool->max && pool->count >= pool->max)
		return pr_error_set(PR_EFULL,
				    "%zu connections to upstreams are open",
				    pool->count);
	outbound = calloc(1, sizeof(*outbound));
	if (!outbound)
		return pr_error_set(
			PR_ENOMEM,
			"out of memory for a connection to an upstream");
	pr_list_init(&outbound->node);
	outbound->pool = pool;
	outbound->timer.data = outbound;
	if (pr_link_init(&outbound->link, pool->loop, &link_ops)) {
		free(outbound);
		return PR_EIO;
	}
	outbound->upstream = pr_upstream_ref(upstream);
	upstream->connections++;
	pool->count++;
	pool->opened++;
	pr_http_reader_init(&outbound->reader, false, HEAD_BYTES_MAX,
			    &reader_ops, outbound);
	if (pr_link_connect(&outbound->link, &upstream->entry.address)) {
		close_outbound(outbound);
		return PR_EIO;
	}
	outbound->stage = PR_STAGE_CONNECTING;
	*out = outbound;
	return 0;
}

static bool has_carried(const pr_outbound_t *outbound, uint64_t id_hash)
{
	for (size_t i = 0; i < CARRIED_MAX && i < outbound->carried_count;
	     i++) {
		if (outbound->carried[i] == id_hash)
			return true;
	}
	return false;
}

/* Take an idle connection that can carry the request, or NULL. Without an id,
 * the response cannot be told from that to an earlier request. */
static pr_outbound_t *take_idle(pr_outbound_pool_t *pool,
				pr_upstream_t *upstream,
				const pr_outbound_request_t *request,
				uint64_t id_hash)
{
	pr_list_t *at = upstream->idle.next;

	while (at != &upstream->idle && request->id.len) {
		pr_outbound_t *outbound = PR_OWNER(at, pr_outbound_t, node);
		pr_usec_t idle = pool->timers->now - outbound->idle_since;

		at = at->next;
		if (request->needs_fresh && idle >= IDLE_MAX_FRESH)
			return NULL;
		if (idle >= outbound->idle_max ||
		    pr_link_has_input(&outbound->link)) {
			close_outbound(outbound);
		} else if (!has_carried(outbound, id_hash)) {
			pr_list_remove(&outbound->node);
			return outbound;
		}
	}
	return NULL;
}

int pr_outbound_start(pr_outbound_t **out, pr_outbound_pool_t *pool,
		      pr_upstream_t *upstream,
		      const pr_outbound_request_t *request,
		      const pr_outbound_ops_t *ops, void *owner)
{
	uint64_t id_hash = XXH64(request->id.ptr, request->id.len, 0);
	pr_outbound_t *outbound = take_idle(pool, upstream, request, id_hash);
	int rc = 0;

	if (!outbound)
		rc = open_connection(&outbound, pool, upstream);
	if (rc || !outbound)
		return rc;
	outbound->ops = ops;
	outbound->owner = owner;
	outbound->mismatched = false;
	outbound->is_head = request->is_head;
	outbound->reader.no_body = request->is_head;
	pr_slice_copy(outbound->id, sizeof(outbound->id), request->id);
	outbound->carried[outbound->carried_count++ % CARRIED_MAX] = id_hash;
	outbound->body = request->body;
	pr_str_clear(&outbound->request);
	rc = pr_str_append(&outbound->request, request->bytes.ptr,
			   request->bytes.len);
	if (rc) {
		close_outbound(outbound);
		return rc;
	}
	if (outbound->link.connected)
		outbound->stage = PR_STAGE_CHOSEN;
	pr_timers_subscribe(pool->timers, &outbound->timer,
			    outbound->link.connected ? 0
						     : pool->connect_timeout,
			    0, on_timer);
	*out = outbound;
	return 0;
}

void pr_outbound_cancel(pr_outbound_t *outbound)
{
	close_outbound(outbound);
}

pr_attempt_stage_t pr_outbound_stage(const pr_outbound_t *outbound)
{
	return outbound->stage;
}

void pr_outbound_pause(pr_outbound_t *outbound)
{
	pr_link_pause(&outbound->link);
}

void pr_outbound_resume(pr_outbound_t *outbound)
{
	pr_link_resume(&outbound->link);
}

void pr_outbound_close_idle(pr_upstream_t *upstream, pr_usec_t now, bool all)
{
	pr_list_t *at = upstream->idle.next;

	while (at != &upstream->idle) {
		pr_outbound_t *outbound = PR_OWNER(at, pr_outbound_t, node);

		at = at->next;
		if (all || now - outbound->idle_since >= outbound->idle_max)
			close_outbound(outbound);
	}
}
