/*
 * Parser of server-sent events as defined by the HTML standard: a line ends in
 * LF, CR or CRLF, an empty line ends an event, and several data lines of an
 * event are joined by LF.
 */
#include "pistachiorack/dispatch.h"

#include "pistachiorack/error.h"

void pr_sse_parser_init(pr_sse_parser_t *sse, size_t max,
			void (*on_event)(void *user,
					 const pr_sse_event_t *event),
			void *user)
{
	memset(sse, 0, sizeof(*sse));
	sse->max = max;
	sse->on_event = on_event;
	sse->user = user;
}

void pr_sse_parser_finish(pr_sse_parser_t *sse)
{
	pr_str_finish(&sse->line);
	pr_str_finish(&sse->data);
	pr_str_finish(&sse->type);
}

static void dispatch_event(pr_sse_parser_t *sse)
{
	pr_sse_event_t event = {
		.type = sse->type.len ? pr_str_slice(&sse->type)
				      : PR_SLICE("message"),
		.data = pr_str_slice(&sse->data),
	};

	if (sse->has_data)
		sse->on_event(sse->user, &event);
	pr_str_clear(&sse->data);
	pr_str_clear(&sse->type);
	sse->has_data = false;
}

static int process_line(pr_sse_parser_t *sse)
{
	pr_slice_t name = pr_str_slice(&sse->line);
	pr_slice_t value = { "", 0 };
	const char *colon;
	int rc = 0;

	if (!name.len) {
		dispatch_event(sse);
		return 0;
	}
	colon = memchr(name.ptr, ':', name.len);
	if (colon) {
		value = pr_slice(colon + 1,
				 name.len - (size_t)(colon + 1 - name.ptr));
		name.len = (size_t)(colon - name.ptr);
		if (value.len && value.ptr[0] == ' ')
			value = pr_slice(value.ptr + 1, value.len - 1);
	}
	if (pr_slice_equal(name, PR_SLICE("data"))) {
		if (sse->data.len + value.len + 1 > sse->max)
			return pr_error_set(PR_EFULL,
					    "server-sent event is too long");
		if (sse->has_data)
			rc = pr_str_append(&sse->data, "\n", 1);
		if (!rc)
			rc = pr_str_append(&sse->data, value.ptr, value.len);
		sse->has_data = true;
	} else if (pr_slice_equal(name, PR_SLICE("event"))) {
		pr_str_clear(&sse->type);
		rc = pr_str_append(&sse->type, value.ptr, value.len);
	}
	pr_str_clear(&sse->line);
	return rc;
}

static size_t line_length(const char *bytes, size_t len)
{
	size_t i = 0;

	while (i < len && bytes[i] != '\n' && bytes[i] != '\r')
		i++;
	return i;
}

int pr_sse_parser_feed(pr_sse_parser_t *sse, pr_slice_t bytes)
{
	int rc = 0;

	while (bytes.len && !rc && !sse->failed) {
		size_t part;

		if (sse->skip_line_feed && bytes.ptr[0] == '\n') {
			sse->skip_line_feed = false;
			bytes = pr_slice(bytes.ptr + 1, bytes.len - 1);
			continue;
		}
		sse->skip_line_feed = false;
		part = line_length(bytes.ptr, bytes.len);
		if (sse->line.len + part > sse->max)
			rc = pr_error_set(
				PR_EFULL,
				"line of the event stream is too long");
		else if (part)
			rc = pr_str_append(&sse->line, bytes.ptr, part);
		if (!rc && part < bytes.len) {
			sse->skip_line_feed = bytes.ptr[part] == '\r';
			rc = process_line(sse);
			part++;
		}
		bytes = pr_slice(bytes.ptr + part, bytes.len - part);
	}
	if (rc)
		sse->failed = true;
	return sse->failed && !rc
		       ? pr_error_set(PR_EFULL, "event stream was rejected "
						"after an earlier error")
		       : rc;
}
