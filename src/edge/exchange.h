/**
 * One request from its head to its final answer: routing, attempts, resumes.
 */
#ifndef PR_EDGE_EXCHANGE_H
#define PR_EDGE_EXCHANGE_H

#include "edge/edge.h"
#include "events/events.h"
#include "platform/adapter.h"

struct pr_caller_t;

typedef struct pr_exchange_t {
	pr_edge_t *edge;
	struct pr_caller_t *caller;
	pr_routing_t *routing;
	const pr_route_t *route;
	const pr_workspace_t *workspace;
	const char *service;
	char id[96];
	/** Callers' and upstreams' time ends here. */
	pr_usec_t began, deadline;
	/** The caller's own deadline, without the route's time-out. */
	pr_usec_t caller_deadline;
	pr_prompt_t prompt;
	uint64_t hash;
	/** Hash of the session; 0 without one. */
	uint64_t session_hash;
	bool idempotent;
	bool stream;
	/** The router names the model. */
	bool picks_model;
	size_t model;
	/** Model's opinion of the latest answer, 0 to 100. */
	uint32_t confidence;
	/** The next send was taken from the budget of repeats already. */
	bool repeat_charged;
	pr_version_choice_t version;
	/** It loads an upstream on trial. */
	bool is_load_test;

	pr_outbound_t *outbound;
	pr_upstream_t *upstream;
	/** Part of the upstream's time to read that is this request's. */
	double reading_ms;
	pr_usec_t attempt_began, progress_at;
	pr_pace_stream_t pace;
	const pr_upstream_t *tried[PR_PLACE_TRIED_MAX];
	size_t tried_count;
	/** Upstreams that may have run it. */
	uint32_t runs;
	uint32_t sends;
	/** Begin of the wait for an upstream; 0 when not waiting. */
	pr_usec_t wait_began;
	const char *last_fault;
	/** Code of the router's own final answer. */
	const char *code;

	pr_events_t events;
	/** Answer of the current attempt, until it is passed on. */
	int status;
	bool event_stream;
	pr_str_t head, body;
	/** The caller has the head of an answer. */
	bool head_sent;
	pr_usec_t first_byte_at;
	pr_timer_t timer;
	bool active;
} pr_exchange_t;

/** Begin with the caller's whole request. */
void pr_exchange_start(pr_exchange_t *exchange, pr_edge_t *edge,
		       struct pr_caller_t *caller);
/** The session of a request in work is active. */
void pr_exchange_note_session(pr_exchange_t *exchange);
/** The caller has left. */
void pr_exchange_abandon(pr_exchange_t *exchange);
/** The caller's buffers are empty again. */
void pr_exchange_drained(pr_exchange_t *exchange);
/** The process ends: answer what cannot finish. */
void pr_exchange_abort(pr_exchange_t *exchange);

#endif
