/*
 * Connections of callers. Reading continues while a request is active, so that
 * a closed connection is noticed at once. Bytes of later requests are kept
 * until the current one ends.
 */
#include "edge/caller.h"

#include <poll.h>
#include <stdlib.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "edge/overload.h"
#include "pistachiorack/error.h"

/* Limits that apply where the routing document states none. */
#define HEADER_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT   (4 * 1024 * 1024)
#define HEADER_MS_DEFAULT    5000
#define IDLE_MS_DEFAULT      30000
/* Reading pauses when more bytes of later requests than this are pending. */
#define PENDING_BYTES_MAX 65536
/* Memory that each buffer of a connection keeps between two requests, bytes. */
#define BUFFER_BYTES_KEPT 2048
/* Framing of a chunked body (sizes, extensions, trailers) that is read: a base,
 * and so many bytes for each byte of the body. A chunk of one byte without an
 * extension has five bytes of framing. */
#define FRAMING_BYTES_BASE 65536
#define FRAMING_PER_BYTE   16
/* Retry-After of a request that was refused for lack of memory: the base plus a
 * spread by connection, seconds. */
#define OVERLOAD_RETRY_BASE_S   0.5
#define OVERLOAD_RETRY_SPREAD_S 1.0
/* Time for a caller to read the last response before the connection is closed:
 * the kernel resets a connection that is closed with unread bytes, and the
 * caller may lose the response. */
#define LINGER_TIME (1 * PR_USEC_PER_SEC)
/* Time without a request after which a stop closes a connection. A caller that
 * has just connected is about to send one, and would get no answer. */
#define STOP_IDLE_TIME (500 * PR_USEC_PER_MSEC)

static void parse_pending(pr_caller_t *caller);

static pr_caller_t *caller_of(pr_link_t *link)
{
	return PR_OWNER(link, pr_caller_t, link);
}

static uint32_t value_or_default(uint32_t value, uint32_t fallback)
{
	return value ? value : fallback;
}

static pr_caller_limits_t limits_of(const pr_edge_t *edge)
{
	pr_caller_limits_t limits = { 0 };

	if (edge->routing)
		limits = edge->routing->limits;
	limits.header_bytes =
		value_or_default(limits.header_bytes, HEADER_BYTES_DEFAULT);
	limits.body_bytes =
		value_or_default(limits.body_bytes, BODY_BYTES_DEFAULT);
	limits.header_ms =
		value_or_default(limits.header_ms, HEADER_MS_DEFAULT);
	limits.idle_ms = value_or_default(limits.idle_ms, IDLE_MS_DEFAULT);
	return limits;
}

static const char *reason_phrase(int status)
{
	return http_status_str((enum http_status)status);
}

static void close_caller(pr_caller_t *caller, bool reset)
{
	pr_timers_unsubscribe(&caller->edge->timers, &caller->timer);
	if (caller->exchange.active)
		pr_exchange_abandon(&caller->exchange);
	if (!caller->link.closing)
		caller->edge->callers_count--;
	pr_overload_end_wait(caller);
	pr_memory_release(&caller->edge->memory, &caller->account);
	pr_list_remove(&caller->node);
	if (reset)
		pr_link_reset(&caller->link);
	else
		pr_link_close(&caller->link);
}

static void on_timer(pr_timer_t *timer, pr_usec_t now);

/* Start the timer of a connection without an active exchange. It limits the
 * time for the complete head, the pause between reads (in a body or between
 * requests) and the lingering close. */
static void set_timer(pr_caller_t *caller)
{
	pr_caller_limits_t limits = limits_of(caller->edge);
	pr_usec_t now = pr_edge_now(caller->edge);
	pr_usec_t due = caller->idle_since +
			(pr_usec_t)limits.idle_ms * PR_USEC_PER_MSEC;

	if (caller->lingering) {
		due = now + LINGER_TIME;
	} else if (caller->head_began && caller->reader.in_head) {
		pr_usec_t head = caller->head_began +
				 (pr_usec_t)limits.header_ms * PR_USEC_PER_MSEC;

		if (head < due)
			due = head;
	}
	pr_timers_subscribe(&caller->edge->timers, &caller->timer,
			    due > now ? due - now : 0, 0, on_timer);
}

/* Callers that are refused at the same time return at different ones. */
static double overload_retry_s(const pr_caller_t *caller)
{
	uint64_t hash = XXH64(&caller, sizeof(caller), caller->edge->host_hash);

	return OVERLOAD_RETRY_BASE_S +
	       OVERLOAD_RETRY_SPREAD_S * (double)(hash % 1000) / 1000.0;
}

/* Free what the connection holds of a request that is over, and of what follows
 * it if that is not read any more. The parser may be using the input; it is
 * freed when the parser returns. */
static void release_request(pr_caller_t *caller)
{
	pr_overload_end_wait(caller);
	pr_str_trim(&caller->body, BUFFER_BYTES_KEPT);
	if (caller->parsing || !caller->lingering)
		return;
	pr_str_finish(&caller->pending);
	pr_http_reader_release(&caller->reader);
}

void pr_caller_refuse(pr_caller_t *caller, int status, const char *code)
{
	char body[128];
	char fields[96];
	int len =
		snprintf(body, sizeof(body),
			 "{\"error\":\"%s\",\"verdict\":\"not_run\"}\n", code);
	int fields_len = snprintf(fields, sizeof(fields),
				  "Content-Type: application/json\r\n");

	if (status == 503)
		fields_len += snprintf(fields + fields_len,
				       sizeof(fields) - (size_t)fields_len,
				       "Retry-After: %.2f\r\n",
				       overload_retry_s(caller));
	pr_event("refused", "status=%d code=%s reason=connection bytes=%zu",
		 status, code, caller->body.len);
	pr_metric_add(status == 503 ? caller->edge->counters.refused
				    : caller->edge->counters.malformed,
		      1);
	caller->close_after_response = true;
	pr_caller_send_head(caller, status,
			    pr_slice(fields, (size_t)fields_len), len);
	pr_caller_send_body(caller, pr_slice(body, (size_t)len));
	pr_caller_end_response(caller);
}

/* Whether no request is under way on the connection. Timers expire before
 * sockets are read, so a request may have arrived that has not been read. */
bool pr_caller_is_idle(pr_caller_t *caller)
{
	return !caller->exchange.active && !caller->lingering &&
	       !caller->head_began && !pr_link_has_input(&caller->link);
}

/* Whether the caller is still reading the last response. One that reads nothing
 * for the idle time-out is not. */
static bool is_reading_response(pr_caller_t *caller, pr_usec_t now)
{
	size_t queued = pr_link_queued(&caller->link);

	if (queued && queued != caller->queued)
		caller->idle_since = now;
	caller->queued = queued;
	return queued && now - caller->idle_since <
				 (pr_usec_t)limits_of(caller->edge).idle_ms *
					 PR_USEC_PER_MSEC;
}

static void on_timer(pr_timer_t *timer, pr_usec_t now)
{
	pr_caller_t *caller = timer->data;

	if (caller->exchange.active)
		return;
	if (!caller->head_began && is_reading_response(caller, now)) {
		set_timer(caller);
		return;
	}
	if (caller->lingering || pr_caller_is_idle(caller))
		close_caller(caller, false);
	else if (caller->head_began)
		pr_caller_refuse(caller, 408, "request_timeout");
}

static void send_continue(pr_caller_t *caller)
{
	pr_slice_t expect = pr_http_find(&caller->reader, "Expect");

	if (expect.ptr &&
	    pr_slice_equal_nocase(expect, PR_SLICE("100-continue")))
		pr_link_write(&caller->link, "HTTP/1.1 100 Continue\r\n\r\n",
			      25);
}

static bool on_head(pr_http_reader_t *reader)
{
	pr_caller_t *caller = reader->owner;
	pr_caller_limits_t limits = limits_of(caller->edge);

	pr_str_clear(&caller->body);
	caller->body_wire = 0;
	if (reader->parser.method == HTTP_CONNECT)
		return false;
	/* An offer to upgrade the protocol is ignored. */
	reader->parser.upgrade = 0;
	if (reader->parser.flags & F_CONTENTLENGTH &&
	    reader->parser.content_length > limits.body_bytes) {
		pr_caller_refuse(caller, 413, "body_too_large");
		return false;
	}
	send_continue(caller);
	return true;
}

static bool on_body(pr_http_reader_t *reader, pr_slice_t bytes)
{
	pr_caller_t *caller = reader->owner;

	if (caller->body.len + bytes.len > limits_of(caller->edge).body_bytes) {
		pr_caller_refuse(caller, 413, "body_too_large");
		return false;
	}
	return !pr_str_append(&caller->body, bytes.ptr, bytes.len);
}

static void on_message(pr_http_reader_t *reader)
{
	pr_caller_t *caller = reader->owner;

	pr_timers_unsubscribe(&caller->edge->timers, &caller->timer);
	if (!http_should_keep_alive(&reader->parser))
		caller->close_after_response = true;
	pr_exchange_start(&caller->exchange, caller->edge, caller);
}

static const pr_http_reader_ops_t reader_ops = { on_head, on_body, on_message };

static void refuse_malformed(pr_caller_t *caller)
{
	if (caller->lingering || caller->link.closing)
		return;
	if (caller->reader.fault == PR_HTTP_HEAD_TOO_LARGE)
		pr_caller_refuse(caller, 431, "head_too_large");
	else
		pr_caller_refuse(caller, 400, "malformed_request");
}

/*
 * Make room in the body for the pending bytes. A body whose length is known
 * gets no more than that.
 *
 * @return false when there is no memory for it now
 */
static bool reserve_body(pr_caller_t *caller)
{
	const http_parser *parser = &caller->reader.parser;
	size_t from = caller->body.cap;
	size_t needed = caller->body.len + caller->pending.len + 1;
	size_t to = from + from / 2;

	if (caller->reader.in_head || needed <= from)
		return true;
	if (parser->flags & F_CONTENTLENGTH) {
		uint64_t whole = caller->body.len + parser->content_length + 1;

		to = 2 * from < whole ? 2 * from : (size_t)whole;
		if (needed > whole)
			needed = (size_t)whole;
	}
	if (to < needed)
		to = needed;
	return pr_overload_make_room(caller, PR_MEMORY_REQUESTS, from, to) &&
	       !pr_str_reserve(&caller->body, to);
}

/* Whether a body is being read whose framing is out of proportion to its
 * length.
 */
static bool has_excessive_framing(const pr_caller_t *caller)
{
	return !caller->exchange.active && !caller->lingering &&
	       !caller->link.closing && !caller->reader.in_head &&
	       caller->body_wire >
		       FRAMING_BYTES_BASE + (uint64_t)caller->body.len *
						    (FRAMING_PER_BYTE + 1);
}

/* Parse the pending bytes until a request is complete, the bytes are used up or
 * the body has to wait for memory. */
static void parse_pending(pr_caller_t *caller)
{
	if (caller->parsing)
		return;
	caller->parsing = true;
	while (caller->pending.len && !caller->exchange.active &&
	       !caller->link.closing && !caller->lingering) {
		bool in_body;
		size_t used;

		if (!caller->head_began)
			caller->head_began = pr_edge_now(caller->edge);
		caller->reader.head_max = limits_of(caller->edge).header_bytes;
		if (!reserve_body(caller)) {
			pr_overload_wait(caller);
			break;
		}
		in_body = !caller->reader.in_head;
		used = pr_http_reader_feed(&caller->reader, caller->pending.ptr,
					   caller->pending.len);
		memmove(caller->pending.ptr, caller->pending.ptr + used,
			caller->pending.len - used);
		caller->pending.len -= used;
		if (in_body)
			caller->body_wire += used;
		if (caller->reader.fault) {
			refuse_malformed(caller);
			break;
		}
		if (has_excessive_framing(caller)) {
			pr_caller_refuse(caller, 400, "chunk_framing");
			break;
		}
	}
	caller->parsing = false;
	if (!caller->pending.len)
		pr_str_trim(&caller->pending, BUFFER_BYTES_KEPT);
	if (caller->lingering)
		release_request(caller);
	pr_overload_account(caller);
	if (!caller->exchange.active && !caller->link.closing)
		set_timer(caller);
}

/* Append input to the pending bytes. Without memory for it the request is
 * refused; behind a request that is under way, the connection is closed. */
static bool keep_input(pr_caller_t *caller, const char *bytes, size_t len)
{
	size_t to = pr_str_capacity_after(&caller->pending, len);

	if (pr_overload_make_room(caller, PR_MEMORY_REQUESTS,
				  caller->pending.cap, to) &&
	    !pr_str_append(&caller->pending, bytes, len))
		return true;
	if (caller->exchange.active)
		close_caller(caller, true);
	else
		pr_caller_refuse(caller, 503, "overloaded");
	return false;
}

static void on_read(pr_link_t *link, const char *bytes, size_t len)
{
	pr_caller_t *caller = caller_of(link);

	pr_edge_now(caller->edge);
	if (caller->lingering)
		return;
	caller->idle_since = pr_edge_now(caller->edge);
	caller->progress_until = pr_memory_progress(caller->progress_until, len,
						    caller->idle_since);
	if (!keep_input(caller, bytes, len))
		return;
	parse_pending(caller);
	if (caller->exchange.active && caller->pending.len > PENDING_BYTES_MAX)
		pr_link_pause(link);
}

static void on_end(pr_link_t *link, bool clean)
{
	pr_caller_t *caller = caller_of(link);

	if (!link->closing)
		close_caller(caller, false);
}

static void on_drained(pr_link_t *link)
{
	pr_caller_t *caller = caller_of(link);

	pr_overload_account(caller);
	if (caller->exchange.active) {
		pr_exchange_drained(&caller->exchange);
		return;
	}
	caller->idle_since = pr_edge_now(caller->edge);
	set_timer(caller);
}

static void on_closed(pr_link_t *link)
{
	pr_caller_t *caller = caller_of(link);

	pr_http_reader_finish(&caller->reader);
	pr_str_finish(&caller->body);
	pr_str_finish(&caller->pending);
	free(caller);
}

static void on_connect(pr_link_t *link, int rc)
{
}

static const pr_link_ops_t link_ops = {
	.on_connect = on_connect,
	.on_read = on_read,
	.on_end = on_end,
	.on_drained = on_drained,
	.on_closed = on_closed,
};

static void on_connection(uv_stream_t *listener, int status)
{
	pr_edge_t *edge = listener->data;
	pr_caller_t *caller;

	if (status) {
		pr_event("accept_failed", "error=%s", uv_strerror(status));
		return;
	}
	caller = calloc(1, sizeof(*caller));
	if (!caller || pr_link_init(&caller->link, edge->loop, &link_ops)) {
		pr_event("accept_failed", "error=no_memory");
		free(caller);
		return;
	}
	caller->edge = edge;
	caller->timer.data = caller;
	caller->idle_since = pr_edge_now(edge);
	pr_list_init(&caller->node);
	pr_list_append(&edge->callers, &caller->node);
	pr_http_reader_init(&caller->reader, true, HEADER_BYTES_DEFAULT,
			    &reader_ops, caller);
	pr_list_init(&caller->wait_node);
	edge->callers_count++;
	if (pr_link_accept(&caller->link, listener) ||
	    !pr_overload_admit_connection(caller)) {
		close_caller(caller, true);
		return;
	}
	pr_overload_account(caller);
	set_timer(caller);
}

int pr_callers_listen(pr_edge_t *edge)
{
	int rc;

	pr_list_init(&edge->callers);
	uv_tcp_init(edge->loop, &edge->caller_listener);
	edge->caller_listener.data = edge;
	rc = uv_tcp_bind(
		&edge->caller_listener,
		(const struct sockaddr *)&edge->settings->addresses.listen, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)&edge->caller_listener, 1024,
			       on_connection);
	return rc ? pr_error_set(PR_EIO, "cannot listen for callers: %s",
				 uv_strerror(rc))
		  : 0;
}

bool pr_callers_stop_listening(pr_edge_t *edge)
{
	uv_handle_t *listener = (uv_handle_t *)&edge->caller_listener;
	struct pollfd queue = { .events = POLLIN };

	if (uv_is_closing(listener))
		return true;
	/* The kernel resets connections that were not accepted. */
	if (!uv_fileno(listener, &queue.fd) && poll(&queue, 1, 0) > 0)
		return false;
	uv_close(listener, NULL);
	return true;
}

void pr_caller_send_head(pr_caller_t *caller, int status, pr_slice_t fields,
			 int64_t length)
{
	pr_str_t head = PR_STR_INIT;
	int rc;

	if (caller->edge->stopping)
		caller->close_after_response = true;
	caller->chunked = length < 0;
	/* HTTP/1.0 has no chunks: the end of the connection ends the body. */
	if (caller->chunked && !caller->reader.parser.http_minor) {
		caller->chunked = false;
		caller->close_after_response = true;
	}
	rc = pr_str_appendf(&head, "HTTP/1.1 %d %s\r\n", status,
			    reason_phrase(status));
	if (!rc)
		rc = pr_str_append(&head, fields.ptr, fields.len);
	if (!rc && length >= 0)
		rc = pr_str_appendf(&head, "Content-Length: %lld\r\n",
				    (long long)length);
	if (!rc && caller->chunked)
		rc = pr_str_appendf(&head, "Transfer-Encoding: chunked\r\n");
	if (!rc)
		rc = pr_str_appendf(&head, "%s\r\n",
				    caller->close_after_response
					    ? "Connection: close\r\n"
					    : "");
	if (!rc)
		rc = pr_link_write(&caller->link, head.ptr, head.len);
	pr_str_finish(&head);
	if (rc)
		pr_event("caller_write_failed", "error=%s", pr_error_last());
}

void pr_caller_send_body(pr_caller_t *caller, pr_slice_t bytes)
{
	pr_str_t chunk = PR_STR_INIT;

	if (!bytes.len || caller->reader.parser.method == HTTP_HEAD)
		return;
	if (!caller->chunked) {
		pr_link_write(&caller->link, bytes.ptr, bytes.len);
		return;
	}
	if (!pr_str_appendf(&chunk, "%zx\r\n", bytes.len) &&
	    !pr_str_append(&chunk, bytes.ptr, bytes.len) &&
	    !pr_str_append(&chunk, "\r\n", 2))
		pr_link_write(&caller->link, chunk.ptr, chunk.len);
	pr_str_finish(&chunk);
}

void pr_caller_send_owned(pr_caller_t *caller, pr_str_t *body)
{
	if (body->len && !caller->chunked &&
	    caller->reader.parser.method != HTTP_HEAD)
		pr_link_write_owned(&caller->link, body);
	else
		pr_caller_send_body(caller, pr_str_slice(body));
	pr_str_finish(body);
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
	free(request);
}

/* Shut down the sending side first, so that the caller can read the response.
 */
static void start_lingering_close(pr_caller_t *caller)
{
	uv_shutdown_t *request = calloc(1, sizeof(*request));

	caller->lingering = true;
	pr_link_resume(&caller->link);
	if (!request ||
	    uv_shutdown(request, (uv_stream_t *)&caller->link.tcp, on_shutdown))
		free(request);
	set_timer(caller);
}

void pr_caller_end_response(pr_caller_t *caller)
{
	if (caller->chunked && caller->reader.parser.method != HTTP_HEAD)
		pr_link_write(&caller->link, "0\r\n\r\n", 5);
	caller->chunked = false;
	caller->idle_since = pr_edge_now(caller->edge);
	caller->head_began = 0;
	if (caller->close_after_response || caller->edge->stopping)
		start_lingering_close(caller);
	release_request(caller);
	pr_overload_account(caller);
	if (caller->lingering)
		return;
	pr_http_reader_next(&caller->reader);
	pr_link_resume(&caller->link);
	parse_pending(caller);
}

void pr_caller_close(pr_caller_t *caller)
{
	close_caller(caller, false);
}

void pr_caller_read_on(pr_caller_t *caller)
{
	pr_link_resume(&caller->link);
	parse_pending(caller);
}

void pr_caller_reset(pr_caller_t *caller)
{
	close_caller(caller, true);
}

size_t pr_caller_unsent(const pr_caller_t *caller)
{
	return caller->link.unsent;
}

void pr_callers_close_idle(pr_edge_t *edge)
{
	pr_usec_t now = pr_edge_now(edge);
	pr_list_t *at = edge->callers.next;

	while (at != &edge->callers) {
		pr_caller_t *caller = PR_OWNER(at, pr_caller_t, node);

		at = at->next;
		if (pr_caller_is_idle(caller) &&
		    now - caller->idle_since >= STOP_IDLE_TIME)
			start_lingering_close(caller);
	}
}

void pr_callers_abort_exchanges(pr_edge_t *edge)
{
	pr_list_t *at = edge->callers.next;

	while (at != &edge->callers) {
		pr_caller_t *caller = PR_OWNER(at, pr_caller_t, node);

		at = at->next;
		if (caller->exchange.active)
			pr_exchange_abort(&caller->exchange);
	}
}
