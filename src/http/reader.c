/* HTTP/1.1 message reader over http_parser with strict framing. */
#include "http/reader.h"

#include <strings.h>

/* Memory for the head that a connection keeps between two messages, bytes. */
#define TEXT_BYTES_KEPT 2048

static pr_http_reader_t *reader_of(http_parser *parser)
{
	return parser->data;
}

static int on_begin(http_parser *parser)
{
	pr_http_reader_t *reader = reader_of(parser);

	reader->started = true;
	reader->in_head = true;
	reader->in_value = false;
	reader->complete = false;
	reader->fields_count = 0;
	reader->target_len = 0;
	pr_str_clear(&reader->text);
	return 0;
}

static int on_target(http_parser *parser, const char *at, size_t len)
{
	pr_http_reader_t *reader = reader_of(parser);

	reader->target_len += (uint32_t)len;
	return pr_str_append(&reader->text, at, len);
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	pr_http_reader_t *reader = reader_of(parser);
	pr_http_span_t *span;

	/* Trailers are not fields of the head; the parser limits their size. */
	if (!reader->in_head)
		return 0;
	if (reader->in_value || !reader->fields_count) {
		if (reader->fields_count == PR_HTTP_FIELDS_MAX) {
			reader->fault = PR_HTTP_HEAD_TOO_LARGE;
			return 1;
		}
		span = &reader->fields[reader->fields_count++];
		memset(span, 0, sizeof(*span));
		span->name = (uint32_t)reader->text.len;
		reader->in_value = false;
	}
	span = &reader->fields[reader->fields_count - 1];
	span->name_len += (uint32_t)len;
	return pr_str_append(&reader->text, at, len);
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	pr_http_reader_t *reader = reader_of(parser);
	pr_http_span_t *span;

	if (!reader->in_head)
		return 0;
	span = &reader->fields[reader->fields_count - 1];
	if (!reader->in_value) {
		span->value = (uint32_t)reader->text.len;
		reader->in_value = true;
	}
	span->value_len += (uint32_t)len;
	return pr_str_append(&reader->text, at, len);
}

/* Two lengths, or a length beside chunks, are read differently by others. */
static bool has_clear_framing(const pr_http_reader_t *reader)
{
	size_t lengths = 0, encodings = 0;

	for (size_t i = 0; i < reader->fields_count; i++) {
		pr_slice_t name = pr_http_field_name(reader, i);
		pr_slice_t value = pr_http_field_value(reader, i);
		uint64_t number;

		if (!name.len || memchr(name.ptr, ' ', name.len) ||
		    memchr(name.ptr, '\t', name.len))
			return false;
		if (pr_slice_equal_nocase(name, PR_SLICE("content-length"))) {
			lengths++;
			if (!pr_slice_number(value, &number))
				return false;
		} else if (pr_slice_equal_nocase(
				   name, PR_SLICE("transfer-encoding"))) {
			encodings++;
			if (!pr_slice_equal_nocase(value, PR_SLICE("chunked")))
				return false;
		}
	}
	return lengths + encodings <= 1;
}

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

/* The parser takes any number for a status: 0 is one, and 0200 passes as 200.
 */
static bool has_valid_status(const pr_http_reader_t *reader)
{
	const char *code = reader->status_line + PR_HTTP_STATUS_BYTES - 4;

	return reader->is_request ||
	       (reader->status_line_len == PR_HTTP_STATUS_BYTES &&
		code[-1] == ' ' && code[0] >= '1' && code[0] <= '5' &&
		is_digit(code[1]) && is_digit(code[2]) &&
		(code[3] == ' ' || code[3] == '\r'));
}

static bool is_interim(const pr_http_reader_t *reader)
{
	return !reader->is_request && reader->parser.status_code / 100 == 1;
}

static int on_head(http_parser *parser)
{
	pr_http_reader_t *reader = reader_of(parser);
	bool valid = has_valid_status(reader);

	/* Another head follows an interim one. */
	reader->in_head = is_interim(reader);
	reader->status_line_len = 0;
	if (!valid || !has_clear_framing(reader) || parser->http_major != 1) {
		reader->fault = PR_HTTP_MALFORMED;
		return -1;
	}
	if (reader->in_head)
		return 0;
	if (!reader->ops->on_head(reader))
		return -1;
	return reader->no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	pr_http_reader_t *reader = reader_of(parser);

	return reader->ops->on_body(reader, pr_slice(at, len)) ? 0 : 1;
}

static int on_message(http_parser *parser)
{
	pr_http_reader_t *reader = reader_of(parser);

	if (is_interim(reader))
		return 0;
	reader->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_message,
};

void pr_http_reader_init(pr_http_reader_t *reader, bool is_request,
			 size_t head_max, const pr_http_reader_ops_t *ops,
			 void *owner)
{
	memset(reader, 0, sizeof(*reader));
	reader->ops = ops;
	reader->owner = owner;
	reader->is_request = is_request;
	reader->head_max = head_max;
	pr_http_reader_next(reader);
}

void pr_http_reader_finish(pr_http_reader_t *reader)
{
	pr_str_finish(&reader->text);
}

void pr_http_reader_release(pr_http_reader_t *reader)
{
	reader->fields_count = 0;
	reader->target_len = 0;
	pr_str_finish(&reader->text);
}

void pr_http_reader_next(pr_http_reader_t *reader)
{
	http_parser_init(&reader->parser,
			 reader->is_request ? HTTP_REQUEST : HTTP_RESPONSE);
	reader->parser.data = reader;
	reader->fields_count = 0;
	reader->target_len = 0;
	reader->head_bytes = 0;
	reader->fault = PR_HTTP_OK;
	reader->in_head = true;
	reader->started = false;
	reader->complete = false;
	reader->no_body = false;
	reader->previous = '\n';
	reader->status_line_len = 0;
	reader->end_matched = 0;
	pr_str_trim(&reader->text, TEXT_BYTES_KEPT);
}

/* Keep the begin of a head; empty lines before it do not count. */
static void save_status_line(pr_http_reader_t *reader, char c)
{
	if (!reader->is_request &&
	    reader->status_line_len < PR_HTTP_STATUS_BYTES &&
	    (reader->status_line_len || (c != '\r' && c != '\n')))
		reader->status_line[reader->status_line_len++] = c;
}

/* A head's lines end in CR LF and no line begins with white space. */
static bool check_head(pr_http_reader_t *reader, const char *bytes, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		char c = bytes[i];

		if ((c == '\n' && reader->previous != '\r') ||
		    (reader->previous == '\r' && c != '\n') || !c ||
		    (reader->previous == '\n' && reader->head_bytes + i > 0 &&
		     (c == ' ' || c == '\t')))
			return false;
		save_status_line(reader, c);
		reader->previous = c;
	}
	return true;
}

/* Length of the part of the bytes that belongs to the head. */
static size_t head_part(pr_http_reader_t *reader, const char *bytes, size_t len)
{
	static const char end[] = "\r\n\r\n";

	for (size_t i = 0; i < len; i++) {
		if (bytes[i] == end[reader->end_matched])
			reader->end_matched++;
		else
			reader->end_matched = bytes[i] == '\r' ? 1 : 0;
		if (reader->end_matched == sizeof(end) - 1) {
			reader->end_matched = 0;
			return i + 1;
		}
	}
	return len;
}

size_t pr_http_reader_feed(pr_http_reader_t *reader, const char *bytes,
			   size_t len)
{
	size_t used = 0;

	/* One byte range at a time, so that a head can be checked alone. */
	while (used < len && !reader->complete && reader->fault == PR_HTTP_OK) {
		size_t part = len - used;
		size_t done;

		if (reader->in_head) {
			part = head_part(reader, bytes + used, part);
			if (!check_head(reader, bytes + used, part)) {
				reader->fault = PR_HTTP_MALFORMED;
				break;
			}
			reader->head_bytes += part;
			if (reader->head_bytes > reader->head_max) {
				reader->fault = PR_HTTP_HEAD_TOO_LARGE;
				break;
			}
		}
		done = http_parser_execute(&reader->parser, &parser_settings,
					   bytes + used, part);
		used += done;
		if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_PAUSED) {
			http_parser_pause(&reader->parser, 0);
			/* A pause in on_message_complete leaves its byte. */
			break;
		}
		if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK) {
			if (reader->fault == PR_HTTP_OK)
				reader->fault = PR_HTTP_MALFORMED;
			break;
		}
	}
	if (reader->complete)
		reader->ops->on_message(reader);
	return used;
}

bool pr_http_reader_end(pr_http_reader_t *reader)
{
	if (reader->complete || reader->in_head || reader->fault)
		return false;
	http_parser_execute(&reader->parser, &parser_settings, "", 0);
	return reader->complete;
}

pr_slice_t pr_http_target(const pr_http_reader_t *reader)
{
	return pr_slice(pr_str_slice(&reader->text).ptr, reader->target_len);
}

pr_slice_t pr_http_field_name(const pr_http_reader_t *reader, size_t i)
{
	const pr_http_span_t *span = &reader->fields[i];

	return pr_slice(pr_str_slice(&reader->text).ptr + span->name,
			span->name_len);
}

pr_slice_t pr_http_field_value(const pr_http_reader_t *reader, size_t i)
{
	const pr_http_span_t *span = &reader->fields[i];
	pr_slice_t value = pr_slice(
		pr_str_slice(&reader->text).ptr + span->value, span->value_len);

	while (value.len && (value.ptr[value.len - 1] == ' ' ||
			     value.ptr[value.len - 1] == '\t'))
		value.len--;
	return value;
}

pr_slice_t pr_http_find(const pr_http_reader_t *reader, const char *name)
{
	pr_slice_t wanted = pr_slice_of(name);

	for (size_t i = 0; i < reader->fields_count; i++) {
		if (pr_slice_equal_nocase(pr_http_field_name(reader, i),
					  wanted))
			return pr_http_field_value(reader, i);
	}
	return pr_slice(NULL, 0);
}

bool pr_slice_equal_nocase(pr_slice_t a, pr_slice_t b)
{
	return a.len == b.len && !strncasecmp(a.ptr, b.ptr, a.len);
}
