/* Checks of upstream answers: streamed answers event by event, other answers as
 * a whole. */
#include "pistachiorack/dispatch.h"

#include <jansson.h>

#include "pistachiorack/error.h"

/* Maximum size of an event in bytes. The largest events of an engine carry one
 * token and the usage, well under a kilobyte. */
#define EVENT_MAX ((size_t)256 * 1024)

/* @return number of tokens in an event: 1 when it has content, otherwise 0 */
static uint64_t count_tokens(const json_t *root)
{
	const json_t *choices = json_object_get(root, "choices");
	const json_t *choice = json_array_get(choices, 0);
	const json_t *delta = json_object_get(choice, "delta");
	const json_t *content = json_object_get(delta, "content");

	return json_string_length(content) > 0;
}

static void record_usage(pr_stream_t *stream, const json_t *root)
{
	const json_t *usage = json_object_get(root, "usage");
	json_int_t in =
		json_integer_value(json_object_get(usage, "prompt_tokens"));
	json_int_t out =
		json_integer_value(json_object_get(usage, "completion_tokens"));

	if (in > 0)
		stream->prompt_tokens = (uint64_t)in;
	if (out > 0)
		stream->completion_tokens = (uint64_t)out;
}

/* @return true when the event has the id of another attempt */
static bool names_other_attempt(const pr_stream_t *stream, const json_t *root)
{
	const char *id = json_string_value(json_object_get(root, "attempt"));

	return id && strcmp(id, stream->attempt_id) != 0;
}

/* Appends an event to the output for the caller. */
static void forward_event(pr_stream_t *stream, pr_slice_t data)
{
	while (data.ptr) {
		const char *end = memchr(data.ptr, '\n', data.len);
		size_t len = end ? (size_t)(end - data.ptr) : data.len;

		if (pr_str_append(&stream->out, "data: ", 6) ||
		    pr_str_append(&stream->out, data.ptr, len) ||
		    pr_str_append(&stream->out, "\n", 1))
			stream->invalid = true;
		data = end ? pr_slice(end + 1, data.len - len - 1)
			   : pr_slice(NULL, 0);
	}
	if (pr_str_append(&stream->out, "\n", 1))
		stream->invalid = true;
}

static void on_event(void *user, const pr_sse_event_t *event)
{
	pr_stream_t *stream = user;
	json_t *root;

	if (stream->done || stream->upstream_error || stream->invalid)
		return;
	if (pr_slice_equal(event->data, PR_SLICE("[DONE]"))) {
		stream->done = true;
		forward_event(stream, event->data);
		return;
	}
	root = json_loadb(event->data.ptr, event->data.len, 0, NULL);
	if (pr_slice_equal(event->type, PR_SLICE("error")) ||
	    json_object_get(root, "error"))
		stream->upstream_error = true;
	else if (!json_is_object(root) || names_other_attempt(stream, root))
		stream->invalid = true;
	if (!stream->upstream_error && !stream->invalid) {
		stream->tokens += count_tokens(root);
		record_usage(stream, root);
		forward_event(stream, event->data);
	}
	json_decref(root);
}

void pr_stream_init(pr_stream_t *stream)
{
	memset(stream, 0, sizeof(*stream));
	pr_sse_parser_init(&stream->sse, EVENT_MAX, on_event, stream);
}

void pr_stream_finish(pr_stream_t *stream)
{
	pr_sse_parser_finish(&stream->sse);
	pr_str_finish(&stream->out);
}

int pr_stream_begin_attempt(pr_stream_t *stream, pr_slice_t attempt_id)
{
	pr_sse_parser_finish(&stream->sse);
	pr_sse_parser_init(&stream->sse, EVENT_MAX, on_event, stream);
	stream->upstream_error = false;
	stream->invalid = false;
	return pr_slice_copy(stream->attempt_id, sizeof(stream->attempt_id),
			     attempt_id);
}

int pr_stream_check_head(pr_stream_t *stream, pr_slice_t echoed_id)
{
	if (pr_slice_equal(echoed_id, pr_slice_of(stream->attempt_id)))
		return 0;
	stream->invalid = true;
	return pr_error_set(
		PR_ECONFLICT, "answer has the id of another attempt: %.*s",
		(int)echoed_id.len, echoed_id.ptr ? echoed_id.ptr : "");
}

int pr_stream_feed(pr_stream_t *stream, pr_slice_t bytes)
{
	int rc = pr_sse_parser_feed(&stream->sse, bytes);

	if (stream->upstream_error)
		return pr_error_set(PR_EIO, "upstream sent an error event");
	if (stream->invalid)
		return pr_error_set(
			PR_EPARSE,
			"event is not a JSON object of this attempt");
	return stream->done ? 0 : rc;
}

bool pr_stream_complete(const pr_stream_t *stream)
{
	return stream->done && !stream->invalid && !stream->upstream_error;
}

int pr_stream_error_event(pr_str_t *out, const char *code, const char *message,
			  pr_verdict_t verdict)
{
	return pr_str_appendf(out,
			      "event: error\ndata: {\"error\":{\"code\":\"%s\","
			      "\"message\":\"%s\",\"verdict\":\"%s\"}}\n\n",
			      code, message, pr_verdict_name(verdict));
}

int pr_answer_check(pr_slice_t attempt_id, pr_slice_t echoed_id,
		    int64_t content_length, pr_slice_t body)
{
	json_t *root;
	bool valid;

	if (!pr_slice_equal(attempt_id, echoed_id))
		return pr_error_set(PR_ECONFLICT,
				    "answer has the id of another attempt");
	if (content_length >= 0 && (uint64_t)content_length != body.len)
		return pr_error_set(
			PR_EIO, "answer has %zu bytes, Content-Length is %lld",
			body.len, (long long)content_length);
	root = json_loadb(body.ptr ? body.ptr : "", body.len, 0, NULL);
	valid = json_is_object(root);
	json_decref(root);
	if (!valid)
		return pr_error_set(PR_EPARSE,
				    "answer is not one complete JSON object");
	return 0;
}
