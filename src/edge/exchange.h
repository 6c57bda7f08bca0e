/**
 * Exchange: one request of a caller, from its head to the final response. It
 * covers routing, attempts on upstreams and resumed streams.
 */
#ifndef PR_EDGE_EXCHANGE_H
#define PR_EDGE_EXCHANGE_H

#include "edge/edge.h"
#include "events/sse_filter.h"
#include "platform/adapter.h"

struct pr_caller_t;

typedef struct pr_exchange_t {
	pr_edge_t *edge;
	struct pr_caller_t *caller;
	pr_routing_t *routing;
	const pr_route_t *route;
	const pr_workspace_t *workspace;
	const char *service;
	/** Request id that the caller stated; empty without one. */
	char id[96];
	/** Arrival, and the earlier of the caller's deadline and the route's
	 *  time-out. */
	pr_usec_t began, deadline;
	/** Deadline that the caller stated, or the default one. */
	pr_usec_t caller_deadline;
	pr_prompt_t prompt;
	/** Hash of the request id. */
	uint64_t hash;
	/** Hash of what the request asks for; the same when it is sent again.
	 */
	uint64_t content_hash;
	/** Hash of the session; 0 without one. */
	uint64_t session_hash;
	/** The request may be sent again even when an upstream may have run
	 *  it. */
	bool idempotent;
	/** The route is for streams of events. */
	bool stream;
	/** The caller leaves the choice of the model to the router. */
	bool picks_model;
	/** Index of the chosen model in the route's list. */
	size_t model;
	/** Confidence that the model states for its response, 0 to 100. */
	uint32_t confidence;
	/** The next attempt is already charged to the repeat budget. */
	bool repeat_charged;
	/** The router itself ended an attempt that had not failed, and no later
	 *  one has sent an event yet. The request waits for a replacement until
	 *  its deadline. */
	bool replacing;
	pr_version_choice_t version;
	/** Row of the order for which it was chosen; zeroed without one. */
	pr_revision_t order_row;
	/** The request is part of the load test of the new version. */
	bool is_load_test;
	/** The current attempt is counted as one of the load test. */
	bool counted_in_test;
	/** The current attempt of the load test was sent at a high load, and
	 * its outcome is not counted yet. */
	bool awaits_loaded_outcome;

	/** Connection of the current attempt; NULL without an attempt. */
	pr_outbound_t *outbound;
	pr_upstream_t *upstream;
	/** Expected prefill time of the prompt, milliseconds, as added to the
	 *  upstream's pending_prefill_ms; 0 once the prefill is over. */
	double prefill_ms;
	/** Prompt tokens that the upstream of the current attempt is expected
	 *  to prefill: those that it does not hold. */
	uint32_t unheld_tokens;
	/** Result of the last choice of an upstream: the prompt tokens that it
	 *  is expected to hold, and whether it is not the first rank for the
	 *  longest shared prefix. */
	double held_tokens;
	bool off_first_rank;
	/** Start of the current attempt, and its last progress: the head, an
	 *  event, or a part of the body of the response. */
	pr_usec_t attempt_began, progress_at;
	/** The attempt makes no progress, but could not be replaced; this is
	 *  checked again at this time. */
	pr_usec_t stalled_until;
	/** Reading from the upstream waits for the caller to read. */
	bool reading_paused;
	/** Longest time between two events of one attempt. */
	pr_usec_t longest_pause;
	/** Events of the current attempt. */
	uint64_t events_of_attempt;
	pr_pace_stream_t pace;
	/** Upstreams on which an attempt failed; they are not chosen again
	 *  until the list is cleared. */
	const pr_upstream_t *tried[PR_PLACE_TRIED_MAX];
	size_t tried_count;
	/** Attempts that ran or may have run the request. */
	uint32_t runs;
	/** Attempts, without those that could not reach their upstream. */
	uint32_t sends;
	/** Start of the wait for a usable upstream; 0 when not waiting. */
	pr_usec_t wait_began;
	/** Earliest time at which the request could be served, for a refusal; 0
	 *  when unknown. */
	pr_usec_t retry_at;
	/** Fault of the last failed attempt, for the log; NULL without one. */
	const char *last_fault;
	/** Error code of a final response that the router made itself. */
	const char *code;

	pr_sse_filter_t events;
	/** Response of the current attempt: its status, then its header fields
	 *  and body until they are forwarded. */
	int status;
	/** The upstream states that it did not run the request. */
	bool not_run;
	bool event_stream;
	/** The response has neither a length nor chunks: it ends with its
	 *  connection. */
	bool unframed;
	pr_str_t head, body;
	/** Length of the body that the response states; 0 without one. */
	uint64_t body_length;
	/** The head of a response was sent to the caller. */
	bool head_sent;
	/** Time of the first byte sent to the caller; 0 before it. */
	pr_usec_t first_byte_at;
	pr_timer_t timer;
	/** The caller waits for the response. When false, the structure can be
	 *  used for the next request. */
	bool active;
} pr_exchange_t;

/** Start the exchange of a request that was read completely. */
void pr_exchange_start(pr_exchange_t *exchange, pr_edge_t *edge,
		       struct pr_caller_t *caller);
/** Note that the session of an active request is in use. */
void pr_exchange_note_session(pr_exchange_t *exchange);
/** End the exchange after the caller closed its connection. */
void pr_exchange_abandon(pr_exchange_t *exchange);
/** Resume reading the response once all bytes to the caller are sent. */
void pr_exchange_drained(pr_exchange_t *exchange);
/** End the exchange because the process stops. */
void pr_exchange_abort(pr_exchange_t *exchange);

#endif
