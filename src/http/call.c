/* HTTP client for single calls. */
#include "http/call.h"

#include <stdlib.h>

#include "base/list.h"
#include "pistachiorack/error.h"

/* A store's answers hold at most a megabyte of rows. */
#define ANSWER_MAX ((size_t)8 * 1024 * 1024)
#define HEAD_MAX   16384
/* Several round trips between regions. */
#define CONNECT_TIMEOUT (600 * PR_USEC_PER_MSEC)
/* An answer of which no further byte arrives for this long is given up. Lost
 * packets are sent again within this time. */
#define STALL_TIMEOUT (1500 * PR_USEC_PER_MSEC)
/* An answer that has not ended this long after its first byte is given up. */
#define ANSWER_TIMEOUT (15 * PR_USEC_PER_SEC)

typedef struct pr_call_link_t {
	pr_link_t link;
	pr_http_reader_t reader;
	pr_str_t body;
	/** NULL once the call has let the connection go. */
	pr_call_t *call;
} pr_call_link_t;

static pr_call_link_t *of(pr_link_t *link)
{
	return PR_OWNER(link, pr_call_link_t, link);
}

static void drop_link(pr_call_t *call)
{
	pr_call_link_t *link = call->link;

	if (!link)
		return;
	call->link = NULL;
	link->call = NULL;
	pr_link_close(&link->link);
}

static void finish(pr_call_t *call, int status, pr_slice_t body)
{
	pr_timers_unsubscribe(call->timers, &call->timer);
	call->busy = false;
	call->done(call, status, body);
}

static void fail(pr_call_t *call)
{
	drop_link(call);
	if (call->busy)
		finish(call, 0, pr_slice("", 0));
}

static bool on_head(pr_http_reader_t *reader)
{
	return true;
}

static bool on_body(pr_http_reader_t *reader, pr_slice_t bytes)
{
	pr_call_link_t *link = reader->owner;

	return link->body.len + bytes.len <= ANSWER_MAX &&
	       !pr_str_append(&link->body, bytes.ptr, bytes.len);
}

static void on_message(pr_http_reader_t *reader)
{
}

static const pr_http_reader_ops_t reader_ops = { on_head, on_body, on_message };

static void keep_field(pr_call_t *call, const pr_http_reader_t *reader)
{
	pr_slice_t value = call->field_name
				   ? pr_http_find(reader, call->field_name)
				   : pr_slice(NULL, 0);

	pr_str_clear(&call->field);
	call->has_field =
		value.ptr && !pr_str_append(&call->field, value.ptr, value.len);
}

static void answered(pr_call_link_t *link)
{
	pr_call_t *call = link->call;
	int status = (int)link->reader.parser.status_code;
	pr_str_t body = link->body;
	bool keep = http_should_keep_alive(&link->reader.parser);

	memset(&link->body, 0, sizeof(link->body));
	keep_field(call, &link->reader);
	pr_http_reader_next(&link->reader);
	if (!keep)
		drop_link(call);
	finish(call, status, pr_str_slice(&body));
	pr_str_finish(&body);
}

static void on_timeout(pr_timer_t *timer, pr_usec_t now)
{
	fail(timer->data);
}

/* The answer is arriving: wait for the rest of it. */
static void extend_timeout(pr_call_t *call)
{
	pr_usec_t now = call->timers->now;
	pr_usec_t until = now + STALL_TIMEOUT;

	if (!call->answer_until)
		call->answer_until = now + ANSWER_TIMEOUT;
	if (until > call->answer_until)
		until = call->answer_until;
	pr_timers_subscribe(call->timers, &call->timer,
			    until > now ? until - now : 0, 0, on_timeout);
}

static void on_read(pr_link_t *base, const char *bytes, size_t len)
{
	pr_call_link_t *link = of(base);
	size_t used;

	if (!link->call)
		return;
	if (!link->call->busy) {
		drop_link(link->call);
		return;
	}
	extend_timeout(link->call);
	used = pr_http_reader_feed(&link->reader, bytes, len);
	if (link->reader.fault || (link->reader.complete && used < len))
		fail(link->call);
	else if (link->reader.complete)
		answered(link);
}

static void on_end(pr_link_t *base, bool clean)
{
	pr_call_link_t *link = of(base);

	if (!link->call)
		return;
	if (clean && link->call->busy && pr_http_reader_end(&link->reader))
		answered(link);
	else
		fail(link->call);
}

static void on_connect(pr_link_t *base, int rc)
{
	pr_call_link_t *link = of(base);
	pr_call_t *call = link->call;

	if (!call)
		return;
	if (rc || pr_link_write(base, call->request.ptr, call->request.len)) {
		fail(call);
		return;
	}
	pr_timers_subscribe(call->timers, &call->timer, call->timeout, 0,
			    on_timeout);
}

static void on_closed(pr_link_t *base)
{
	pr_call_link_t *link = of(base);

	pr_http_reader_finish(&link->reader);
	pr_str_finish(&link->body);
	free(link);
}

static const pr_link_ops_t link_ops = {
	.on_connect = on_connect,
	.on_read = on_read,
	.on_end = on_end,
	.on_closed = on_closed,
};

void pr_call_init(pr_call_t *call, uv_loop_t *loop, pr_timers_t *timers,
		  const struct sockaddr_in *address, void *owner)
{
	memset(call, 0, sizeof(*call));
	call->loop = loop;
	call->timers = timers;
	call->address = *address;
	call->owner = owner;
	call->timer.data = call;
}

void pr_call_keep_field(pr_call_t *call, const char *name)
{
	call->field_name = name;
}

pr_slice_t pr_call_field(const pr_call_t *call)
{
	if (!call->has_field)
		return pr_slice(NULL, 0);
	return call->field.len ? pr_str_slice(&call->field) : PR_SLICE("");
}

void pr_call_set_address(pr_call_t *call, const struct sockaddr_in *address)
{
	if (call->address.sin_addr.s_addr == address->sin_addr.s_addr &&
	    call->address.sin_port == address->sin_port)
		return;
	if (!call->busy)
		drop_link(call);
	call->address = *address;
}

bool pr_call_is_receiving(const pr_call_t *call)
{
	return call->busy && call->answer_until;
}

void pr_call_finish(pr_call_t *call)
{
	pr_timers_unsubscribe(call->timers, &call->timer);
	drop_link(call);
	pr_str_finish(&call->request);
	pr_str_finish(&call->field);
}

static int open_link(pr_call_t *call)
{
	pr_call_link_t *link = calloc(1, sizeof(*link));

	if (!link)
		return PR_ENOMEM;
	pr_http_reader_init(&link->reader, false, HEAD_MAX, &reader_ops, link);
	link->call = call;
	if (pr_link_init(&link->link, call->loop, &link_ops)) {
		free(link);
		return PR_EIO;
	}
	call->link = link;
	return pr_link_connect(&link->link, &call->address);
}

void pr_call_abort(pr_call_t *call)
{
	if (call->busy)
		fail(call);
}

void pr_call_start(pr_call_t *call, pr_slice_t request, pr_usec_t timeout,
		   pr_call_done_fn done)
{
	int rc;

	call->busy = true;
	call->done = done;
	pr_str_clear(&call->request);
	call->timeout = timeout;
	call->answer_until = 0;
	pr_timers_subscribe(call->timers, &call->timer,
			    call->link ? timeout : CONNECT_TIMEOUT, 0,
			    on_timeout);
	rc = pr_str_append(&call->request, request.ptr, request.len);
	if (!rc)
		rc = call->link ? pr_link_write(&call->link->link, request.ptr,
						request.len)
				: open_link(call);
	/* The owner hears of it from the timer, not from inside this call. */
	if (rc) {
		drop_link(call);
		pr_timers_subscribe(call->timers, &call->timer, 0, 0,
				    on_timeout);
	}
}
