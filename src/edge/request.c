/*
 * Formats the request for an upstream. The method, the target, the body and the
 * caller's own header fields are forwarded unchanged; fields of the router and
 * of the connection are replaced or left out.
 */
#include "edge/request.h"

#include "edge/caller.h"
#include "pistachiorack/error.h"

/* Least urgent priority that an upstream accepts; 0 is the most urgent. */
#define PRIORITY_LEAST_URGENT 9
/* Bodies up to this size, in bytes, are copied behind the head, which saves a
 * system call. */
#define COPIED_BODY_MAX 16384

/* Whether the Connection field lists a header field, which then applies only to
 * the caller's connection and is not forwarded. */
static bool is_connection_option(const pr_http_reader_t *reader,
				 pr_slice_t name)
{
	pr_slice_t list = pr_http_find(reader, "Connection");

	while (list.len) {
		const char *comma = memchr(list.ptr, ',', list.len);
		size_t len = comma ? (size_t)(comma - list.ptr) : list.len;
		pr_slice_t option = pr_slice(list.ptr, len);

		while (option.len && option.ptr[0] == ' ')
			option = pr_slice(option.ptr + 1, option.len - 1);
		while (option.len && option.ptr[option.len - 1] == ' ')
			option.len--;
		if (pr_slice_equal_nocase(option, name))
			return true;
		list = comma ? pr_slice(comma + 1, list.len - len - 1)
			     : pr_slice("", 0);
	}
	return false;
}

static bool is_forwarded(const pr_exchange_t *x, pr_slice_t name)
{
	switch (pr_adapter_field(name)) {
	case PR_FIELD_OTHER:
		return pr_slice_equal_nocase(name, PR_SLICE("Host")) ||
		       !is_connection_option(&x->caller->reader, name);
	case PR_FIELD_MODEL:
		return !x->picks_model;
	case PR_FIELD_LAST_EVENT:
		/* A resumed stream gets the id of the last event sent to the
		 * caller instead. */
		return !x->events.passed;
	case PR_FIELD_REQUEST_ID:
	case PR_FIELD_SESSION:
	case PR_FIELD_TOKENS:
	case PR_FIELD_LENGTH_HINT:
	case PR_FIELD_PARTS:
		return true;
	default:
		return false;
	}
}

static int append_field(pr_str_t *out, const char *name, const char *value)
{
	return pr_str_appendf(out, "%s: %s\r\n", name, value);
}

static int append_number(pr_str_t *out, pr_field_t field, uint64_t value)
{
	return pr_str_appendf(out, "%s: %llu\r\n", pr_adapter_field_name(field),
			      (unsigned long long)value);
}

static uint32_t priority_of(const pr_exchange_t *x)
{
	uint32_t priority = x->route->priority;

	if (x->workspace && x->workspace->priority != PR_PRIORITY_UNSET)
		priority = x->workspace->priority;
	return priority < PRIORITY_LEAST_URGENT ? priority
						: PRIORITY_LEAST_URGENT;
}

/* Append the header fields that the router sets. */
static int append_router_fields(pr_str_t *out, const pr_exchange_t *x,
				const pr_upstream_t *upstream)
{
	pr_usec_t left = x->deadline - pr_edge_now(x->edge);
	int rc = append_number(out, PR_FIELD_BUDGET,
			       (uint64_t)(left / PR_USEC_PER_MSEC));

	if (!rc)
		rc = append_field(out,
				  pr_adapter_field_name(PR_FIELD_EXPECT_ID),
				  upstream->entry.id);
	if (!rc && x->workspace)
		rc = append_field(out,
				  pr_adapter_field_name(PR_FIELD_WORKSPACE),
				  x->workspace->name);
	if (!rc && x->stream)
		rc = append_number(out, PR_FIELD_PRIORITY, priority_of(x));
	if (!rc && x->picks_model)
		rc = append_field(out, pr_adapter_field_name(PR_FIELD_MODEL),
				  x->route->models.items[x->model]);
	if (!rc && x->events.passed) {
		pr_slice_t last = pr_event_id_text(&x->events.last_id);

		rc = pr_str_appendf(out, "%s: %.*s\r\n",
				    pr_adapter_field_name(PR_FIELD_LAST_EVENT),
				    (int)last.len, last.ptr);
	}
	return rc;
}

int pr_request_write(pr_str_t *out, pr_slice_t *body, const pr_exchange_t *x,
		     const pr_upstream_t *upstream)
{
	const pr_caller_t *caller = x->caller;
	const pr_http_reader_t *reader = &caller->reader;
	const char *method =
		http_method_str((enum http_method)reader->parser.method);
	pr_slice_t target = pr_http_target(reader);
	int rc = pr_str_appendf(out, "%s %.*s HTTP/1.1\r\n", method,
				(int)target.len, target.ptr);

	for (size_t i = 0; i < reader->fields_count && !rc; i++) {
		pr_slice_t name = pr_http_field_name(reader, i);
		pr_slice_t value = pr_http_field_value(reader, i);

		if (is_forwarded(x, name))
			rc = pr_str_appendf(out, "%.*s: %.*s\r\n",
					    (int)name.len, name.ptr,
					    (int)value.len, value.ptr);
	}
	if (!rc)
		rc = append_router_fields(out, x, upstream);
	if (!rc && (caller->body.len ||
		    reader->parser.flags & (F_CONTENTLENGTH | F_CHUNKED)))
		rc = pr_str_appendf(out, "Content-Length: %zu\r\n",
				    caller->body.len);
	if (!rc)
		rc = pr_str_append(out, "\r\n", 2);
	*body = pr_str_slice(&caller->body);
	if (!rc && body->len && body->len <= COPIED_BODY_MAX) {
		rc = pr_str_append(out, body->ptr, body->len);
		body->len = 0;
	}
	return rc;
}
