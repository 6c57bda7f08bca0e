/**
 * Connection of a caller. It reads requests one after the other and writes
 * their responses.
 */
#ifndef PR_EDGE_CALLER_H
#define PR_EDGE_CALLER_H

#include "edge/exchange.h"
#include "http/link.h"
#include "http/reader.h"

typedef struct pr_caller_t {
	pr_link_t link;
	pr_http_reader_t reader;
	pr_list_t node;
	pr_edge_t *edge;
	/** Body of the current request. */
	pr_str_t body;
	/** Bytes received after the current request. */
	pr_str_t pending;
	pr_exchange_t exchange;
	pr_timer_t timer;
	/** Arrival of the first byte of the current head; 0 when idle. */
	pr_usec_t head_began;
	pr_usec_t idle_since;
	/** Bytes of the last response that were not sent when the timer
	 *  expired. */
	size_t queued;
	/** The body of the current response is sent in chunks. */
	bool chunked;
	/** Close the connection after the current response. */
	bool close_after_response;
	/** Pending bytes are being parsed; guards against recursion. */
	bool parsing;
	/** Shut down for writing; what the caller still sends is ignored. */
	bool lingering;
} pr_caller_t;

/**
 * Send the head of a response.
 *
 * @param fields header fields, each ended by CR LF
 * @param length body length, or a negative number for a chunked body
 */
void pr_caller_send_head(pr_caller_t *caller, int status, pr_slice_t fields,
			 int64_t length);
/** Send bytes of the body; nothing is sent in response to HEAD. */
void pr_caller_send_body(pr_caller_t *caller, pr_slice_t bytes);
/** End a complete response; the next request is read, or the connection closed.
 */
void pr_caller_end_response(pr_caller_t *caller);
/** Reset the connection, so that the caller cannot take an incomplete response
 *  for a complete one. */
void pr_caller_reset(pr_caller_t *caller);
/** @return bytes accepted for the caller and not yet sent to it */
size_t pr_caller_unsent(const pr_caller_t *caller);

#endif
