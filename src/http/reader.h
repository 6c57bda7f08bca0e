/**
 * Reads HTTP/1.1 messages from a byte stream with Debian's http_parser and
 * refuses what its lenient mode lets pass: bare line feeds, folded fields,
 * white space in field names, length and chunked together, two lengths, a
 * status other than three digits from 100 to 599.
 */
#ifndef PR_HTTP_READER_H
#define PR_HTTP_READER_H

#include <http_parser.h>

#include "base/number.h"
#include "pistachiorack/str.h"

/** Most fields of one message. */
#define PR_HTTP_FIELDS_MAX 64
/** Bytes of a response up to the one behind its status, "HTTP/1.1 200 ". */
#define PR_HTTP_STATUS_BYTES 13

/** Position of a field in the head; offsets survive growth of the buffer. */
typedef struct pr_http_span_t {
	uint32_t name, name_len;
	uint32_t value, value_len;
} pr_http_span_t;

typedef enum pr_http_fault_t {
	PR_HTTP_OK,
	/** Not HTTP/1.1, or ambiguous. */
	PR_HTTP_MALFORMED,
	PR_HTTP_HEAD_TOO_LARGE,
} pr_http_fault_t;

typedef struct pr_http_reader_t pr_http_reader_t;

typedef struct pr_http_reader_ops_t {
	/** The head is complete. @return false to stop reading */
	bool (*on_head)(pr_http_reader_t *reader);
	bool (*on_body)(pr_http_reader_t *reader, pr_slice_t bytes);
	/** The message is complete; the reader pauses behind it. */
	void (*on_message)(pr_http_reader_t *reader);
} pr_http_reader_ops_t;

struct pr_http_reader_t {
	http_parser parser;
	const pr_http_reader_ops_t *ops;
	void *owner;
	/** Target, field names and values of the current head. */
	pr_str_t text;
	uint32_t target_len;
	pr_http_span_t fields[PR_HTTP_FIELDS_MAX];
	size_t fields_count;
	size_t head_bytes;
	size_t head_max;
	pr_http_fault_t fault;
	bool in_head;
	bool in_value;
	bool started;
	bool complete;
	bool is_request;
	/** The next head's response has no body (answer to HEAD). */
	bool no_body;
	char previous;
	/** Begin of the current head of a response. */
	char status_line[PR_HTTP_STATUS_BYTES];
	size_t status_line_len;
	/** Bytes of the empty line behind a head that were seen. */
	size_t end_matched;
};

/** @param head_max longest head in bytes */
void pr_http_reader_init(pr_http_reader_t *reader, bool is_request,
			 size_t head_max, const pr_http_reader_ops_t *ops,
			 void *owner);
void pr_http_reader_finish(pr_http_reader_t *reader);
/** Free the memory of the head of a message that is not read further. */
void pr_http_reader_release(pr_http_reader_t *reader);
/** Ready for the next message on the same connection. */
void pr_http_reader_next(pr_http_reader_t *reader);
/**
 * Read bytes until the message is complete, the owner stops or a fault.
 *
 * @return bytes consumed; reader->fault tells of a fault
 */
size_t pr_http_reader_feed(pr_http_reader_t *reader, const char *bytes,
			   size_t len);
/**
 * The peer ended the connection cleanly.
 *
 * @return true when that completes a message without a length
 */
bool pr_http_reader_end(pr_http_reader_t *reader);

pr_slice_t pr_http_target(const pr_http_reader_t *reader);
pr_slice_t pr_http_field_name(const pr_http_reader_t *reader, size_t i);
pr_slice_t pr_http_field_value(const pr_http_reader_t *reader, size_t i);
/** First field of the name, compared without case; ptr NULL when absent. */
pr_slice_t pr_http_find(const pr_http_reader_t *reader, const char *name);
bool pr_slice_equal_nocase(pr_slice_t a, pr_slice_t b);

#endif
