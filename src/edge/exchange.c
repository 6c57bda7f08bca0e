/*
 * Exchange of one request: finds its route and workspace, reads its header
 * fields, sends the error responses of the router, and provides the functions
 * that attempt.c and response.c use.
 */
#include "edge/exchange.h"

#include <stdlib.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "cascade/cascade.h"
#include "edge/caller.h"
#include "edge/exchange_parts.h"

/* Deadline of a request that states none. */
#define DEADLINE_DEFAULT (30 * PR_USEC_PER_SEC)
/* Latency objective of a route that states none. */
#define TARGET_DEFAULT_MS 1000
/* Retry-After of a refused request, in seconds: the base plus a uniformly
 * distributed spread, but at most this part of the time until its deadline. */
#define RETRY_BASE_S   0.3
#define RETRY_SPREAD_S 1.0
#define RETRY_MAX_PART 0.25
/* Most prompt tokens per expected output token of a request that may take part
 * in a load test, and of one that the load test sends to the largest model
 * without trying a smaller one. The second limit is lower, since the prefill of
 * that model is an order of magnitude slower. */
#define PROMPT_PER_OUTPUT_TOKEN         30
#define PROMPT_PER_OUTPUT_TOKEN_LARGEST 12
/* Time from the start of this host in which requests wait until it has read its
 * tables. The reads are three concurrent calls; the time is enough for several
 * round trips between regions, or to recover from one lost packet. */
#define READY_WAIT_MAX (500 * PR_USEC_PER_MSEC)
/* Time between two checks whether the tables are read. */
#define READY_POLL (5 * PR_USEC_PER_MSEC)
/* A stopping host accepts a stream, or any other request, only if at least this
 * time is left until the process ends. */
#define STOP_STREAM_MIN (5 * PR_USEC_PER_SEC)
#define STOP_CALL_MIN   (2 * PR_USEC_PER_SEC)
/* Later than this after the begin of a stop the balancer has other hosts for a
 * caller, so that only streams are accepted whose deadline comes before the
 * remaining ones are aborted. */
#define STOP_BALANCED (3 * PR_USEC_PER_SEC)

pr_usec_t pr_exchange_now(pr_exchange_t *x)
{
	return pr_edge_now(x->edge);
}

long long pr_exchange_age_ms(pr_exchange_t *x)
{
	return (pr_exchange_now(x) - x->began) / PR_USEC_PER_MSEC;
}

const char *pr_exchange_model_name(const pr_exchange_t *x)
{
	return x->picks_model ? x->route->models.items[x->model] : "-";
}

uint32_t pr_exchange_target_ms(const pr_exchange_t *x)
{
	return x->route && x->route->target_ms ? x->route->target_ms
					       : TARGET_DEFAULT_MS;
}

void pr_exchange_clear_prefill_wait(pr_exchange_t *x)
{
	if (x->upstream)
		x->upstream->pending_prefill_ms -= x->prefill_ms;
	x->prefill_ms = 0;
}

/* The transition for whose load test the current attempt was sent. */
static pr_transition_t *load_test_of(pr_exchange_t *x)
{
	pr_transition_t *transition = pr_edge_transition(x->edge, x->service);

	return transition && pr_revision_equal(transition->order_row,
					       x->order_row)
		       ? transition
		       : NULL;
}

void pr_exchange_count_loaded(pr_exchange_t *x, bool bad)
{
	pr_transition_t *transition;

	if (!x->awaits_loaded_outcome)
		return;
	x->awaits_loaded_outcome = false;
	transition = load_test_of(x);
	if (transition)
		pr_transition_record_loaded(transition, bad);
}

static void end_load_test_attempt(pr_exchange_t *x)
{
	pr_transition_t *transition;

	if (!x->counted_in_test)
		return;
	x->counted_in_test = false;
	x->awaits_loaded_outcome = false;
	transition = load_test_of(x);
	if (transition)
		pr_transition_record_test_end(transition);
}

/* End the current attempt, whose connection is closed or no longer owned. */
static void release_attempt(pr_exchange_t *x)
{
	x->outbound = NULL;
	end_load_test_attempt(x);
	if (!x->upstream)
		return;
	pr_exchange_clear_prefill_wait(x);
	x->upstream->in_flight--;
	pr_upstream_unref(x->upstream);
	x->upstream = NULL;
}

void pr_exchange_count_response(pr_exchange_t *x, bool bad)
{
	pr_transition_t *transition;

	if (!x->upstream)
		return;
	transition = pr_edge_transition(x->edge, x->service);
	if (transition && transition->began_ms)
		pr_transition_record(transition, x->upstream->entry.version,
				     bad, x->upstream->tag);
}

void pr_exchange_cancel_attempt(pr_exchange_t *x)
{
	pr_exchange_record_unfinished_pace(x);
	if (x->outbound)
		pr_outbound_cancel(x->outbound);
	release_attempt(x);
}

void pr_exchange_note_session(pr_exchange_t *x)
{
	const pr_transition_t *transition =
		x->service ? pr_edge_transition(x->edge, x->service) : NULL;
	int64_t now = pr_edge_store_now(x->edge);

	/* For a later order, the new version of an earlier one is the old
	 * version. */
	if (x->version == PR_VERSION_NEW && transition &&
	    pr_revision_equal(transition->order_row, x->order_row))
		pr_sessions_record_moved(&x->edge->sessions, x->session_hash,
					 now);
	else
		pr_sessions_record(&x->edge->sessions, x->session_hash, now);
}

void pr_exchange_finish(pr_exchange_t *x)
{
	/* A session stays active for some time after its request has ended. */
	pr_exchange_note_session(x);
	pr_exchange_cancel_attempt(x);
	pr_timers_unsubscribe(&x->edge->timers, &x->timer);
	pr_sse_filter_finish(&x->events);
	pr_str_finish(&x->head);
	pr_str_finish(&x->body);
	pr_prompt_finish(&x->prompt);
	pr_routing_unref(x->routing);
	x->routing = NULL;
	x->active = false;
	x->edge->exchanges_count--;
}

void pr_exchange_log_end(pr_exchange_t *x, const char *outcome, int status)
{
	pr_event(outcome,
		 "request=%s route=%s workspace=%s status=%d ms=%lld "
		 "first_ms=%lld sends=%u runs=%u events=%llu fault=%s "
		 "code=%s model=%s confidence=%u routing=%llu",
		 x->id, x->route ? x->route->name : "-",
		 x->workspace ? x->workspace->name : "-", status,
		 pr_exchange_age_ms(x),
		 x->first_byte_at ? (long long)((x->first_byte_at - x->began) /
						PR_USEC_PER_MSEC)
				  : -1,
		 x->sends, x->runs, (unsigned long long)x->events.passed,
		 x->last_fault ? x->last_fault : "-", x->code ? x->code : "-",
		 x->route ? pr_exchange_model_name(x) : "-", x->confidence,
		 x->routing ? (unsigned long long)x->routing->version : 0ULL);
	pr_histogram_record(x->edge->counters.total,
			    (double)(pr_exchange_now(x) - x->began));
}

/* Seconds after which a refused caller should try again: until the request can
 * be served, if that is known; otherwise spread over callers and limited by the
 * time until the deadline. */
static double retry_after_s(pr_exchange_t *x)
{
	pr_usec_t now = pr_exchange_now(x);
	double left = (double)(x->caller_deadline - now) / PR_USEC_PER_SEC;
	double spread = RETRY_SPREAD_S * (double)(x->hash % 1000) / 1000.0;
	double pause = RETRY_BASE_S + spread;

	if (x->retry_at > now)
		return (double)(x->retry_at - now) / PR_USEC_PER_SEC + spread;
	if (pause > left * RETRY_MAX_PART)
		pause = left * RETRY_MAX_PART;
	return pause > 0.05 ? pause : 0.05;
}

pr_quarantine_prompt_t pr_exchange_suspect_prompt(const pr_exchange_t *x)
{
	return (pr_quarantine_prompt_t){
		.service = (uint32_t)XXH64(x->service, strlen(x->service), 0),
		.parts = x->prompt.parts,
		.parts_count = x->prompt.parts_count,
		.content = x->content_hash,
		.request = x->hash,
	};
}

void pr_exchange_respond(pr_exchange_t *x, int status, const char *code)
{
	bool not_run = !x->runs;
	pr_caller_t *caller = x->caller;
	char fields[160];
	char body[160];
	int fields_len, body_len;

	fields_len = snprintf(fields, sizeof(fields),
			      "Content-Type: application/json\r\n");
	if (status == 503)
		fields_len +=
			snprintf(fields + fields_len,
				 sizeof(fields) - (size_t)fields_len,
				 "Retry-After: %.2f\r\n", retry_after_s(x));
	body_len = snprintf(body, sizeof(body),
			    "{\"error\":\"%s\",\"verdict\":\"%s\"}\n", code,
			    not_run ? "not_run" : "may_have_run");
	x->code = code;
	pr_exchange_log_end(x, status == 503 ? "refused" : "failed", status);
	pr_metric_add(status == 503 ? x->edge->counters.refused
				    : x->edge->counters.failed,
		      1);
	pr_exchange_finish(x);
	pr_caller_send_head(caller, status,
			    pr_slice(fields, (size_t)fields_len), body_len);
	pr_caller_send_body(caller, pr_slice(body, (size_t)body_len));
	pr_caller_end_response(caller);
}

void pr_exchange_give_up(pr_exchange_t *x, const char *code)
{
	pr_caller_t *caller = x->caller;

	if (!x->head_sent) {
		pr_exchange_respond(x, x->runs ? 502 : 503, code);
		return;
	}
	x->code = code;
	pr_exchange_log_end(x, "broken", 0);
	pr_metric_add(x->edge->counters.failed, 1);
	pr_exchange_finish(x);
	pr_caller_reset(caller);
}

uint64_t pr_exchange_field_number(const pr_http_reader_t *reader,
				  pr_field_t field, uint64_t fallback)
{
	pr_slice_t text = pr_http_find(reader, pr_adapter_field_name(field));
	uint64_t value;

	return pr_slice_number(text, &value) ? value : fallback;
}

/* A request that cannot end within the grace time of a stop is refused. */
static bool can_finish_before_stop(pr_exchange_t *x)
{
	pr_usec_t now = pr_exchange_now(x);
	pr_usec_t left = x->edge->stop_began +
			 (pr_usec_t)(x->edge->settings->bounds.grace_s *
				     PR_USEC_PER_SEC) -
			 now;

	if (!x->edge->stopping)
		return true;
	/* A call that is aborted gets an answer, unlike a stream. */
	if (!x->stream)
		return left >= STOP_CALL_MIN;
	return left >= STOP_STREAM_MIN &&
	       (now - x->edge->stop_began <= STOP_BALANCED ||
		x->deadline <= pr_edge_abort_time(x->edge));
}

/* Find the route and the workspace. @return false when the request was refused
 */
static bool match_route(pr_exchange_t *x)
{
	pr_http_reader_t *reader = &x->caller->reader;
	pr_slice_t host = pr_http_find(reader, "Host");
	pr_slice_t path = pr_http_target(reader);
	pr_slice_t key =
		pr_http_find(reader, pr_adapter_field_name(PR_FIELD_KEY));
	const char *separator;

	separator = host.len ? memchr(host.ptr, ':', host.len) : NULL;
	if (separator)
		host.len = (size_t)(separator - host.ptr);
	separator = path.len ? memchr(path.ptr, '?', path.len) : NULL;
	if (separator)
		path.len = (size_t)(separator - path.ptr);
	x->routing = pr_routing_ref(x->edge->routing);
	x->route = pr_routing_match(x->routing, host, path);
	if (!x->route) {
		pr_metric_add(x->edge->counters.not_found, 1);
		pr_exchange_respond(x, 404, "no_route");
		return false;
	}
	if (!x->route->anonymous && x->routing->workspaces_count) {
		x->workspace =
			key.ptr ? pr_routing_workspace(x->routing, key) : NULL;
		if (!x->workspace) {
			pr_metric_add(x->edge->counters.unauthorized, 1);
			pr_exchange_respond(x, 401, "unknown_key");
			return false;
		}
	}
	return true;
}

/* Hash of what the request asks for, without what differs when the caller sends
 * it again: its id, its deadline and the last event of a stream. */
static uint64_t hash_content(const pr_exchange_t *x)
{
	const pr_http_reader_t *reader = &x->caller->reader;
	pr_slice_t target = pr_http_target(reader);
	uint64_t hash = XXH64(target.ptr, target.len, reader->parser.method);

	hash = XXH64(x->caller->body.ptr, x->caller->body.len, hash);
	if (x->prompt.parts_count)
		hash = XXH64(x->prompt.parts,
			     x->prompt.parts_count * sizeof(x->prompt.parts[0]),
			     hash);
	return XXH64(&x->prompt.own_part, sizeof(x->prompt.own_part), hash);
}

static void read_request(pr_exchange_t *x)
{
	pr_http_reader_t *reader = &x->caller->reader;
	pr_slice_t model =
		pr_http_find(reader, pr_adapter_field_name(PR_FIELD_MODEL));
	pr_slice_t session =
		pr_http_find(reader, pr_adapter_field_name(PR_FIELD_SESSION));
	uint64_t budget = pr_exchange_field_number(
		reader, PR_FIELD_BUDGET, DEADLINE_DEFAULT / PR_USEC_PER_MSEC);
	pr_usec_t timeout = (pr_usec_t)x->route->timeout_ms * PR_USEC_PER_MSEC;

	x->caller_deadline = x->began + (pr_usec_t)budget * PR_USEC_PER_MSEC;
	x->deadline = x->caller_deadline;
	if (timeout && x->began + timeout < x->deadline)
		x->deadline = x->began + timeout;
	if (pr_adapter_prompt(
		    &x->prompt,
		    pr_http_find(reader,
				 pr_adapter_field_name(PR_FIELD_TOKENS)),
		    pr_http_find(reader,
				 pr_adapter_field_name(PR_FIELD_LENGTH_HINT)),
		    pr_http_find(reader,
				 pr_adapter_field_name(PR_FIELD_PARTS))))
		pr_event("prompt_parts_unread", "id=%s error=\"out of memory\"",
			 x->id);
	x->content_hash = hash_content(x);
	if (session.len)
		x->session_hash = XXH64(session.ptr, session.len, 0);
	x->stream = x->route->kind == PR_CALL_STREAM;
	x->idempotent = x->route->kind == PR_CALL_REPEATABLE ||
			(x->stream && x->route->resumable);
	x->picks_model = x->route->models.count &&
			 pr_slice_equal(model, PR_SLICE(PR_MODEL_ANY));
	if (x->picks_model)
		x->model = pr_cascade_first_model(x->route->models.count);
	/* A caller that resumes a stream states the last event that it
	 * received. */
	if (x->stream)
		pr_sse_filter_resume_after(
			&x->events,
			pr_http_find(reader, pr_adapter_field_name(
						     PR_FIELD_LAST_EVENT)));
}

/* Whether a request generates many tokens in proportion to its prompt. Such a
 * request occupies a slot without delaying others. A plain call has no prompt
 * and always qualifies. */
static bool is_output_heavy(const pr_exchange_t *x, uint32_t prompt_per_token)
{
	return (uint64_t)x->prompt.output_expected * prompt_per_token >=
	       x->prompt.tokens;
}

static void choose_version(pr_exchange_t *x)
{
	pr_transition_t *transition = pr_edge_transition(x->edge, x->service);
	int64_t now = pr_edge_store_now(x->edge);
	pr_transition_request_t request = { x->session_hash, x->hash, false };
	size_t model = x->model;

	if (!transition || !transition->began_ms) {
		pr_sessions_record(&x->edge->sessions, x->session_hash, now);
		return;
	}
	/* A response of the largest model is never escalated, so it occupies
	 * its slot for longer. */
	if (x->picks_model &&
	    is_output_heavy(x, PROMPT_PER_OUTPUT_TOKEN_LARGEST))
		x->model = x->route->models.count - 1;
	request.load_test = pr_transition_is_load_testing(transition, now) &&
			    is_output_heavy(x, PROMPT_PER_OUTPUT_TOKEN) &&
			    pr_exchange_has_load_test_room(x);
	x->order_row = transition->order_row;
	x->version = pr_transition_choose(
		transition, &x->edge->sessions, &request, now,
		(uint32_t)(x->edge->settings->bounds.session_s * 1000));
	x->is_load_test = request.load_test && x->version == PR_VERSION_NEW;
	if (!x->is_load_test)
		x->model = model;
}

/* Route the request and start the first attempt. */
static void route_request(pr_exchange_t *x)
{
	pr_repeat_budget_t *budget;

	if (!match_route(x))
		return;
	read_request(x);
	if (!can_finish_before_stop(x)) {
		pr_exchange_respond(x, 503, "stopping");
		return;
	}
	x->service = pr_route_pick_service(x->route, x->hash);
	if (!x->service) {
		pr_exchange_respond(x, 503, "no_service");
		return;
	}
	budget = pr_edge_repeat_budget(x->edge, x->service);
	if (budget)
		pr_repeat_budget_add_request(budget, pr_exchange_now(x));
	choose_version(x);
	pr_exchange_dispatch(x);
}

/* Route the request once this host has read its tables, or refuse it if it has
 * not done so READY_WAIT_MAX after its start. */
static void await_ready(pr_exchange_t *x);

static void on_ready_poll(pr_timer_t *timer, pr_usec_t now)
{
	await_ready(timer->data);
}

static void await_ready(pr_exchange_t *x)
{
	if (pr_edge_is_ready(x->edge))
		route_request(x);
	else if (pr_exchange_now(x) - x->edge->started_at < READY_WAIT_MAX)
		pr_timers_subscribe(&x->edge->timers, &x->timer, READY_POLL, 0,
				    on_ready_poll);
	else
		pr_exchange_respond(x, 503, "not_ready");
}

void pr_exchange_start(pr_exchange_t *x, pr_edge_t *edge, pr_caller_t *caller)
{
	pr_slice_t id = pr_http_find(
		&caller->reader, pr_adapter_field_name(PR_FIELD_REQUEST_ID));

	memset(x, 0, sizeof(*x));
	x->edge = edge;
	x->caller = caller;
	x->active = true;
	x->timer.data = x;
	x->began = caller->head_began ? caller->head_began : pr_edge_now(edge);
	x->caller_deadline = x->began + PR_USEC_PER_SEC;
	edge->exchanges_count++;
	pr_sse_filter_init(&x->events);
	if (id.ptr)
		pr_slice_copy(x->id, sizeof(x->id), id);
	x->hash = XXH64(x->id, strlen(x->id), 0);
	pr_metric_add(edge->counters.requests, 1);
	await_ready(x);
}

void pr_exchange_abandon(pr_exchange_t *x)
{
	pr_exchange_log_end(x, "caller_gone", 0);
	pr_metric_add(x->edge->counters.callers_gone, 1);
	pr_exchange_finish(x);
}

void pr_exchange_drained(pr_exchange_t *x)
{
	if (!x->outbound || !x->reading_paused)
		return;
	x->reading_paused = false;
	x->progress_at = pr_exchange_now(x);
	pr_outbound_resume(x->outbound);
	pr_exchange_set_timer(x);
}

void pr_exchange_abort(pr_exchange_t *x)
{
	x->last_fault = "stopping";
	if (x->outbound && pr_outbound_stage(x->outbound) >= PR_STAGE_SENT)
		x->runs++;
	pr_exchange_give_up(x, "stopping");
}
