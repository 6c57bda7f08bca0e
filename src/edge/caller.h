/**
 * Connection of a caller: reads requests one after the other and writes their
 * answers.
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
	/** Bytes behind the current request. */
	pr_str_t pending;
	pr_exchange_t exchange;
	pr_timer_t timer;
	/** Arrival of the first byte of the current head; 0 when idle. */
	pr_usec_t head_began;
	pr_usec_t idle_since;
	bool chunked;
	/** Close behind the current answer. */
	bool close_after_response;
	/** Reading pending bytes; guards against recursion. */
	bool parsing;
	bool lingering;
} pr_caller_t;

/**
 * Send the head of an answer.
 *
 * @param fields header fields, each ended by CR LF
 * @param length body length, or a negative number for an answer in chunks
 */
void pr_caller_send_head(pr_caller_t *caller, int status, pr_slice_t fields,
			 int64_t length);
void pr_caller_send_body(pr_caller_t *caller, pr_slice_t bytes);
/** The answer is complete; the next request may follow. */
void pr_caller_end_response(pr_caller_t *caller);
/** The answer cannot be completed: break the connection, without an end. */
void pr_caller_reset(pr_caller_t *caller);
/** Bytes that the caller has not taken. */
size_t pr_caller_unsent(const pr_caller_t *caller);

#endif
