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
	/** What the connection holds of the process's memory. */
	pr_memory_account_t account;
	/** Time since which the caller has not read all that was sent to it; 0
	 *  when it has. */
	pr_usec_t unread_since;
	/** Time until which the caller counts as making progress with its
	 *  request. */
	pr_usec_t progress_until;
	/** Bytes of the current request behind its head, with their framing. */
	uint64_t body_wire;
	/** Node of the callers that wait for memory, and the begin of the wait;
	 *  0 when not waiting. */
	pr_list_t wait_node;
	pr_usec_t wait_began;
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
/** Send a whole body, whose memory is freed once the caller has it. */
void pr_caller_send_owned(pr_caller_t *caller, pr_str_t *body);
/**
 * Send an error response for a request that has no exchange, then close the
 * connection. The memory of the request is freed.
 */
void pr_caller_refuse(pr_caller_t *caller, int status, const char *code);
/** Close an idle connection, or one whose request is given up. */
void pr_caller_close(pr_caller_t *caller);
/** @return true when no request is under way on the connection */
bool pr_caller_is_idle(pr_caller_t *caller);
/** Read on after a wait for memory. */
void pr_caller_read_on(pr_caller_t *caller);
/** End a complete response; the next request is read, or the connection closed.
 */
void pr_caller_end_response(pr_caller_t *caller);
/** Reset the connection, so that the caller cannot take an incomplete response
 *  for a complete one. */
void pr_caller_reset(pr_caller_t *caller);
/** @return bytes accepted for the caller and not yet sent to it */
size_t pr_caller_unsent(const pr_caller_t *caller);

#endif
