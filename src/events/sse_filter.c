/* Splitter for server-sent events that keeps their bytes as they are. */
#include "events/sse_filter.h"

#include <ctype.h>

#include "pistachiorack/error.h"

void pr_sse_filter_init(pr_sse_filter_t *events)
{
	memset(events, 0, sizeof(*events));
}

void pr_sse_filter_finish(pr_sse_filter_t *events)
{
	pr_str_finish(&events->partial);
}

void pr_sse_filter_restart(pr_sse_filter_t *events)
{
	pr_str_clear(&events->partial);
	events->scanned = 0;
}

/* Number of the id line; false when there is none. */
static bool find_id(const char *event, size_t len, uint64_t *id)
{
	size_t at = 0;

	while (at + 3 < len) {
		const char *line = event + at;
		const char *end = memchr(line, '\n', len - at);
		size_t line_len = end ? (size_t)(end - line) : len - at;

		if (line_len > 3 && !memcmp(line, "id:", 3)) {
			size_t i = 3;

			while (i < line_len && line[i] == ' ')
				i++;
			if (i == line_len || !isdigit((unsigned char)line[i]))
				return false;
			*id = 0;
			while (i < line_len && isdigit((unsigned char)line[i]))
				*id = *id * 10 + (uint64_t)(line[i++] - '0');
			return true;
		}
		at += line_len + 1;
	}
	return false;
}

/* End of the first event in the buffer, 0 when it is not complete. */
static size_t find_end(pr_sse_filter_t *events)
{
	const char *bytes = events->partial.ptr;
	size_t len = events->partial.len;

	for (size_t i = events->scanned; i + 1 < len; i++) {
		if (bytes[i] != '\n')
			continue;
		if (bytes[i + 1] == '\n')
			return i + 2;
		if (bytes[i + 1] == '\r' && i + 2 < len && bytes[i + 2] == '\n')
			return i + 3;
	}
	events->scanned = len > 2 ? len - 2 : 0;
	return 0;
}

static int pass_event(pr_sse_filter_t *events, const char *bytes, size_t len,
		      pr_str_t *out)
{
	uint64_t id;

	if (find_id(bytes, len, &id)) {
		if (events->has_id && id <= events->last_id)
			return 0;
		if (events->has_id && id != events->last_id + 1)
			return pr_error_set(
				PR_EPARSE, "event %llu follows event %llu",
				(unsigned long long)id,
				(unsigned long long)events->last_id);
		events->has_id = true;
		events->last_id = id;
		events->numbered++;
	}
	events->passed++;
	return pr_str_append(out, bytes, len);
}

int pr_sse_filter_feed(pr_sse_filter_t *events, pr_slice_t bytes, pr_str_t *out)
{
	int rc = pr_str_append(&events->partial, bytes.ptr, bytes.len);
	size_t used = 0;
	size_t end;

	while (!rc && (end = find_end(events)) > 0) {
		rc = pass_event(events, events->partial.ptr, end, out);
		used = end;
		memmove(events->partial.ptr, events->partial.ptr + used,
			events->partial.len - used);
		events->partial.len -= used;
		events->scanned = 0;
	}
	if (!rc && events->partial.len > PR_SSE_FILTER_EVENT_MAX)
		rc = pr_error_set(PR_EPARSE,
				  "an event is longer than %zu bytes",
				  PR_SSE_FILTER_EVENT_MAX);
	return rc;
}

bool pr_sse_filter_complete(const pr_sse_filter_t *events)
{
	return !events->partial.len;
}
