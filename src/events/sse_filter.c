/*
 * Filter for server-sent events. It splits the stream at blank lines, reads
 * only the id line of an event and passes the bytes of the event on unchanged.
 */
#include "events/sse_filter.h"

#include "pistachiorack/error.h"

/* Steps between ids from which on they count as regular. */
#define REGULAR_STEPS_MIN 2

void pr_sse_filter_init(pr_sse_filter_t *filter)
{
	memset(filter, 0, sizeof(*filter));
}

void pr_sse_filter_finish(pr_sse_filter_t *filter)
{
	pr_str_finish(&filter->partial);
}

void pr_sse_filter_restart(pr_sse_filter_t *filter)
{
	pr_str_clear(&filter->partial);
	filter->scanned = 0;
	filter->resuming = filter->has_id && filter->passed;
	filter->repeating = false;
	filter->repeated_unnumbered = 0;
}

void pr_sse_filter_resume_after(pr_sse_filter_t *filter, pr_slice_t last_id)
{
	filter->has_id = pr_event_id_parse(last_id, &filter->last_id);
}

static bool is_blank(char byte)
{
	return byte == ' ' || byte == '\t' || byte == '\r';
}

/* Reads the numeric id of an event; returns false when it has none. */
static bool find_id(const char *event, size_t len, pr_event_id_t *id)
{
	size_t offset = 0;

	while (offset + 3 < len) {
		const char *line = event + offset;
		const char *end = memchr(line, '\n', len - offset);
		size_t line_len = end ? (size_t)(end - line) : len - offset;

		if (line_len > 3 && !memcmp(line, "id:", 3)) {
			size_t i = 3;

			while (i < line_len && line[i] == ' ')
				i++;
			while (line_len > i && is_blank(line[line_len - 1]))
				line_len--;
			return pr_event_id_parse(
				pr_slice(line + i, line_len - i), id);
		}
		offset += line_len + 1;
	}
	return false;
}

static bool has_data(const char *event, size_t len)
{
	const char *end = event + len;

	for (const char *line = event; line && end - line >= 4;) {
		if (!memcmp(line, "data", 4))
			return true;
		line = memchr(line, '\n', (size_t)(end - line));
		if (line)
			line++;
	}
	return false;
}

/* Whether the attempt has to continue a stream, and has sent no event with an
 * id after the last one yet. The stream may be one that the caller resumes. */
static bool is_continuing(const pr_sse_filter_t *filter)
{
	return filter->resuming || (filter->has_id && !filter->numbered);
}

/* Whether the attempt repeats events that precede the last one with an id. */
static bool is_before_last(const pr_sse_filter_t *filter)
{
	return filter->repeating &&
	       pr_event_id_compare(&filter->repeated_id, &filter->last_id) < 0;
}

/*
 * Decides about an event without an id. Where a stream is resumed, nothing
 * shows that it continues the events before, since it may be the error of the
 * next upstream, unless the attempt has repeated all that was passed on.
 *
 * @param pass set when the event is to be passed on
 */
static int check_unnumbered(pr_sse_filter_t *filter, const char *bytes,
			    size_t len, bool *pass)
{
	bool data = has_data(bytes, len);
	pr_slice_t last;

	*pass = !filter->resuming;
	if (is_continuing(filter) && is_before_last(filter))
		*pass = false;
	else if (filter->resuming && filter->repeating && data)
		*pass = filter->repeated_unnumbered++ >= filter->unnumbered;
	if (*pass && data) {
		filter->unnumbered++;
		filter->resuming = false;
	}
	if (*pass || filter->repeating || !data)
		return 0;
	last = pr_event_id_text(&filter->last_id);
	return pr_error_set(PR_EPARSE,
			    "event without an id follows event id "
			    "%.*s in a resumed stream",
			    (int)last.len, last.ptr);
}

/* Whether the step to an id is wider than the one that the stream has always
 * had. */
static bool is_wide(const pr_sse_filter_t *filter, const pr_event_id_t *id)
{
	pr_event_id_t step = pr_event_id_difference(id, &filter->last_id);

	return filter->steps >= REGULAR_STEPS_MIN &&
	       !pr_event_id_is_zero(&filter->step) &&
	       pr_event_id_compare(&step, &filter->step) > 0;
}

/*
 * Decides about the first new event of a resumed stream. Ids increase in steps
 * of any width, since an event may hold several tokens, so a run has no gap
 * that could be seen. But the run of another upstream must go on where the last
 * one broke off: if it repeats events, the last one that was passed on is among
 * them, and if the steps have been the same so far, it begins with no wider
 * one.
 */
static int check_continues(const pr_sse_filter_t *filter,
			   const pr_event_id_t *id)
{
	pr_slice_t next = pr_event_id_text(id);
	pr_slice_t last = pr_event_id_text(&filter->last_id);

	if (!is_continuing(filter))
		return 0;
	if (filter->repeating ? !is_before_last(filter) : !is_wide(filter, id))
		return 0;
	return pr_error_set(PR_EPARSE,
			    "event id %.*s of a resumed stream does not "
			    "continue event id %.*s",
			    (int)next.len, next.ptr, (int)last.len, last.ptr);
}

static void note_step(pr_sse_filter_t *filter, const pr_event_id_t *id)
{
	pr_event_id_t step = pr_event_id_difference(id, &filter->last_id);

	/* The first id of a stream that is numbered from 0. */
	if (pr_event_id_is_zero(&step))
		return;
	if (!filter->steps)
		filter->step = step;
	if (pr_event_id_compare(&step, &filter->step) != 0)
		filter->step = (pr_event_id_t){ { 0 }, 0 };
	filter->steps++;
}

/*
 * Finds the end of the first event in the buffer, after its blank line.
 *
 * @return offset in bytes, 0 when the event is not complete
 */
static size_t find_end(pr_sse_filter_t *filter)
{
	const char *bytes = filter->partial.ptr;
	size_t len = filter->partial.len;

	for (size_t i = filter->scanned; i + 1 < len; i++) {
		if (bytes[i] != '\n')
			continue;
		if (bytes[i + 1] == '\n')
			return i + 2;
		if (bytes[i + 1] == '\r' && i + 2 < len && bytes[i + 2] == '\n')
			return i + 3;
	}
	filter->scanned = len > 2 ? len - 2 : 0;
	return 0;
}

/* Appends an event to out unless an earlier attempt has passed it on. */
static int pass_event(pr_sse_filter_t *filter, const char *bytes, size_t len,
		      pr_str_t *out)
{
	pr_event_id_t id = { { 0 }, 0 };
	bool pass = true;
	int rc;

	if (find_id(bytes, len, &id)) {
		if (filter->has_id &&
		    pr_event_id_compare(&id, &filter->last_id) <= 0) {
			filter->repeating = true;
			filter->repeated_id = id;
			filter->repeated_unnumbered = 0;
			return 0;
		}
		rc = check_continues(filter, &id);
		if (rc)
			return rc;
		/* The caller's own last id, of a stream that it resumes, may
		 * be from any place. */
		if (filter->numbered || !filter->has_id)
			note_step(filter, &id);
		filter->has_id = true;
		filter->last_id = id;
		filter->unnumbered = 0;
		filter->numbered++;
		filter->resuming = false;
	} else {
		rc = check_unnumbered(filter, bytes, len, &pass);
		if (rc || !pass)
			return rc;
	}
	filter->passed++;
	return pr_str_append(out, bytes, len);
}

int pr_sse_filter_feed(pr_sse_filter_t *filter, pr_slice_t bytes, pr_str_t *out)
{
	int rc = pr_str_append(&filter->partial, bytes.ptr, bytes.len);
	size_t used = 0;
	size_t end;

	while (!rc && (end = find_end(filter)) > 0) {
		rc = pass_event(filter, filter->partial.ptr, end, out);
		used = end;
		memmove(filter->partial.ptr, filter->partial.ptr + used,
			filter->partial.len - used);
		filter->partial.len -= used;
		filter->scanned = 0;
	}
	if (!rc && filter->partial.len > PR_SSE_FILTER_EVENT_MAX)
		rc = pr_error_set(PR_EPARSE,
				  "server-sent event is longer than %zu bytes",
				  PR_SSE_FILTER_EVENT_MAX);
	return rc;
}

bool pr_sse_filter_complete(const pr_sse_filter_t *filter)
{
	return !filter->partial.len;
}
