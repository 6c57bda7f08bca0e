/*
 * One request. An attempt sends it to one upstream; its outcome is not run, may
 * have run, or ran. What may be repeated is sent again after any failure, the
 * rest only on proof that it did not run. A stream goes on behind the last
 * whole event that the caller got.
 */
#include "edge/exchange.h"

#include <stdlib.h>
#include <strings.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "cascade/cascade.h"
#include "edge/caller.h"
#include "edge/request.h"
#include "pistachiorack/error.h"

/* A caller that reads slowly holds its upstream back beyond this. */
#define CALLER_BUFFER_MAX ((size_t)256 * 1024)
/* Longest answer that is held until it is complete. */
#define ANSWER_MAX ((size_t)8 * 1024 * 1024)
/* A request without a stated deadline waits this long. */
#define DEADLINE_DEFAULT (30 * PR_USEC_PER_SEC)
/* Time below which an attempt has no chance. */
#define ATTEMPT_MIN (20 * PR_USEC_PER_MSEC)
/* Pause between two looks for an upstream. */
#define PARK_POLL (25 * PR_USEC_PER_MSEC)
/* A request waits for an upstream for this part of its objective. */
#define PARK_SHARE 8
/* Objective of routes that state none. */
#define TARGET_DEFAULT_MS 1000
/* An idempotent request without an answer is sent elsewhere after this part
 * of its objective, in per cent: the rest is needed for the second attempt. */
#define ANSWER_SHARE_PERCENT 60
/* A stream without its first event is sent elsewhere after this part of its
 * objective, in per cent. */
#define FIRST_EVENT_PERCENT 125
/* A pause this many per cent of the one that is on time ends an attempt. */
#define GAP_PERCENT    150
#define GAP_DEFAULT_MS 2000
/* Time that a stream and any other request needs before a stop. */
#define STREAM_TIME (5 * PR_USEC_PER_SEC)
#define CALL_TIME   (2 * PR_USEC_PER_SEC)
/* The other hosts' repeats are not seen here, so each keeps a reserve. */
#define REPEATS_SHARE 0.85

static void dispatch(pr_exchange_t *x);
static void arm(pr_exchange_t *x);

static pr_usec_t now_of(pr_exchange_t *x)
{
	return pr_edge_now(x->edge);
}

static long long since_start(pr_exchange_t *x)
{
	return (now_of(x) - x->began) / PR_USEC_PER_MSEC;
}

static uint32_t target_ms(const pr_exchange_t *x)
{
	return x->route && x->route->target_ms ? x->route->target_ms
					       : TARGET_DEFAULT_MS;
}

static void stop_waiting(pr_exchange_t *x)
{
	if (x->waiting && x->upstream)
		x->upstream->waiting_tokens -= x->prompt.tokens;
	x->waiting = false;
}

/* The attempt is over; the connection is dealt with. */
static void release(pr_exchange_t *x)
{
	x->outbound = NULL;
	if (!x->upstream)
		return;
	stop_waiting(x);
	x->upstream->in_flight--;
	pr_upstream_unref(x->upstream);
	x->upstream = NULL;
}

static void record(pr_exchange_t *x, bool bad)
{
	pr_transition_t *transition;

	if (!x->upstream)
		return;
	transition = pr_edge_transition(x->edge, x->service);
	if (transition && transition->began_ms)
		pr_transition_record(transition, x->upstream->entry.version,
				     bad, x->upstream->tag);
}

static void cancel(pr_exchange_t *x)
{
	if (x->outbound)
		pr_outbound_cancel(x->outbound);
	release(x);
}

static void finish(pr_exchange_t *x)
{
	cancel(x);
	pr_timers_unsubscribe(&x->edge->timers, &x->timer);
	pr_events_finish(&x->events);
	pr_str_finish(&x->head);
	pr_str_finish(&x->body);
	pr_routing_unref(x->routing);
	x->routing = NULL;
	x->active = false;
	x->edge->exchanges--;
}

static void log_end(pr_exchange_t *x, const char *outcome, int status)
{
	pr_event(outcome,
		 "request=%s route=%s workspace=%s status=%d ms=%lld "
		 "first_ms=%lld sends=%u runs=%u events=%llu fault=%s "
		 "routing=%llu",
		 x->id, x->route ? x->route->name : "-",
		 x->workspace ? x->workspace->name : "-", status,
		 since_start(x),
		 x->first_byte_at ? (long long)((x->first_byte_at - x->began) /
						PR_USEC_PER_MSEC)
				  : -1,
		 x->sends, x->runs, (unsigned long long)x->events.passed,
		 x->last_fault ? x->last_fault : "-",
		 x->routing ? (unsigned long long)x->routing->version : 0ULL);
	pr_histogram_record(x->edge->counters.total,
			    (double)(now_of(x) - x->began));
}

/* Pause that a refused caller is asked for: spread, and within what it has. */
static double retry_after(pr_exchange_t *x)
{
	double left = (double)(x->budget_end - now_of(x)) / PR_USEC_PER_SEC;
	double pause = 0.3 + (double)(x->hash % 1000) / 1000.0;

	if (pause > left / 4)
		pause = left / 4;
	return pause > 0.05 ? pause : 0.05;
}

/* An answer of the router's own; the request gets no other. */
static void answer(pr_exchange_t *x, int status, const char *code)
{
	bool not_run = !x->runs;
	pr_caller_t *caller = x->caller;
	char fields[160];
	char body[160];
	int fields_len, body_len;

	fields_len = snprintf(fields, sizeof(fields),
			      "Content-Type: application/json\r\n");
	if (status == 503)
		fields_len += snprintf(fields + fields_len,
				       sizeof(fields) - (size_t)fields_len,
				       "Retry-After: %.2f\r\n", retry_after(x));
	body_len = snprintf(body, sizeof(body),
			    "{\"error\":\"%s\",\"verdict\":\"%s\"}\n", code,
			    not_run ? "not_run" : "may_have_run");
	log_end(x, status == 503 ? "refused" : "failed", status);
	pr_metric_add(status == 503 ? x->edge->counters.refused
				    : x->edge->counters.failed,
		      1);
	finish(x);
	pr_caller_head(caller, status, pr_slice(fields, (size_t)fields_len),
		       body_len);
	pr_caller_body(caller, pr_slice(body, (size_t)body_len));
	pr_caller_end(caller);
}

/* No attempt is left. A refusal is given only when nothing can have run. */
static void give_up(pr_exchange_t *x, const char *code)
{
	pr_caller_t *caller = x->caller;

	if (!x->head_sent) {
		answer(x, x->runs ? 502 : 503, code);
		return;
	}
	log_end(x, "broken", 0);
	pr_metric_add(x->edge->counters.failed, 1);
	finish(x);
	pr_caller_break(caller);
}

static bool may_repeat(pr_exchange_t *x)
{
	pr_repeats_t *budget = pr_edge_repeats(x->edge, x->service);
	const pr_bound_settings_t *bounds = &x->edge->settings->bounds;
	uint32_t hosts = pr_edge_hosts(x->edge);

	if (x->runs >= x->route->max_upstreams && x->runs)
		return false;
	return !budget ||
	       pr_repeats_take(budget, REPEATS_SHARE * bounds->repeats_ratio,
			       (uint32_t)(REPEATS_SHARE *
					  bounds->repeats_slack / hosts),
			       now_of(x));
}

/* An attempt came to nothing. */
static void attempt_failed(pr_exchange_t *x, pr_verdict_t verdict,
			   const char *fault)
{
	bool ran = verdict != PR_VERDICT_NOT_RUN;

	x->last_fault = fault;
	pr_event("attempt_failed",
		 "request=%s upstream=%s version=%s fault=%s verdict=%s "
		 "ms=%lld failures=%u",
		 x->id, x->upstream ? x->upstream->entry.id : "-",
		 x->upstream ? x->upstream->entry.version : "-", fault,
		 pr_verdict_name(verdict), since_start(x),
		 x->upstream ? x->upstream->failures : 0);
	if (ran) {
		record(x, true);
		x->runs++;
	}
	if (x->upstream && x->tried_count < PR_PLACE_TRIED_MAX)
		x->tried[x->tried_count++] = x->upstream;
	cancel(x);
	pr_events_restart(&x->events);
	pr_str_clear(&x->body);
	if (!x->head_sent)
		pr_str_clear(&x->head);
	if (ran && (!x->idempotent || (x->head_sent && !x->events.has_id))) {
		give_up(x, "upstream_failed");
		return;
	}
	dispatch(x);
}

static bool is_streaming_type(const pr_http_reader_t *reader)
{
	pr_slice_t type = pr_http_find(reader, "Content-Type");

	return type.len >= 17 &&
	       !strncasecmp(type.ptr, "text/event-stream", 17);
}

static uint64_t number_field(const pr_http_reader_t *reader, pr_field_t field,
			     uint64_t fallback)
{
	pr_slice_t text = pr_http_find(reader, pr_adapter_field_name(field));
	uint64_t value;

	return pr_slice_number(text, &value) ? value : fallback;
}

/*
 * The answer of a small model that doubts itself is dropped for a larger one
 * while the caller has nothing of it.
 */
static bool escalate(pr_exchange_t *x, const pr_http_reader_t *reader)
{
	pr_cascade_input_t input = {
		.models = x->route->models.count,
		.model = x->model,
		.confidence = (uint32_t)number_field(reader,
						     PR_FIELD_CONFIDENCE, 100),
	};
	size_t next = pr_cascade_next(&input);

	if (!x->picks_model || x->head_sent || next == x->model ||
	    x->runs + 1 >= x->route->max_upstreams || !may_repeat(x))
		return false;
	pr_event("escalated",
		 "request=%s model=%s confidence=%u next=%s ms=%lld", x->id,
		 x->route->models.items[x->model], input.confidence,
		 x->route->models.items[next], since_start(x));
	pr_metric_add(x->edge->counters.escalations, 1);
	record(x, false);
	x->runs++;
	x->model = next;
	x->repeat_paid = true;
	cancel(x);
	dispatch(x);
	return true;
}

/* The upstream states that it did not run the request. */
static bool is_refusal(const pr_http_reader_t *reader)
{
	return reader->parser.status_code == 421 ||
	       pr_http_find(reader, pr_adapter_field_name(PR_FIELD_NOT_RUN))
		       .ptr;
}

static void keep_head(pr_exchange_t *x, const pr_http_reader_t *reader)
{
	pr_str_clear(&x->head);
	for (size_t i = 0; i < reader->fields_count; i++) {
		pr_slice_t name = pr_http_field_name(reader, i);
		pr_slice_t value = pr_http_field_value(reader, i);

		if (pr_adapter_field(name) == PR_FIELD_HOP)
			continue;
		pr_str_append(&x->head, name.ptr, name.len);
		pr_str_append(&x->head, ": ", 2);
		pr_str_append(&x->head, value.ptr, value.len);
		pr_str_append(&x->head, "\r\n", 2);
	}
}

static void note_cold(pr_exchange_t *x, const pr_http_reader_t *reader)
{
	uint64_t cold = number_field(reader, PR_FIELD_COLD_MS, 0);

	if (cold && x->upstream)
		pr_upstream_chill(x->upstream,
				  now_of(x) +
					  (pr_usec_t)cold * PR_USEC_PER_MSEC);
}

static bool on_head(void *owner, const pr_http_reader_t *reader)
{
	pr_exchange_t *x = owner;

	x->status = (int)reader->parser.status_code;
	x->sealed = pr_http_find(reader, pr_adapter_field_name(PR_FIELD_SEAL))
			    .ptr != NULL;
	x->event_stream = false;
	x->progress_at = now_of(x);
	pr_str_clear(&x->body);
	note_cold(x, reader);
	if (is_refusal(reader)) {
		x->status = 0;
		return true;
	}
	if ((x->status / 100 == 2 && !x->sealed) ||
	    pr_http_find(reader, "Content-Encoding").ptr) {
		attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN, "foreign_answer");
		return false;
	}
	stop_waiting(x);
	x->event_stream =
		x->stream && x->status == 200 && is_streaming_type(reader);
	if (x->head_sent && !x->event_stream) {
		attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN, "not_resumed");
		return false;
	}
	if (x->event_stream && escalate(x, reader))
		return false;
	if (!x->head_sent)
		keep_head(x, reader);
	arm(x);
	return true;
}

static void first_byte(pr_exchange_t *x)
{
	if (x->first_byte_at)
		return;
	x->first_byte_at = now_of(x);
	pr_histogram_record(x->edge->counters.first_byte,
			    (double)(x->first_byte_at - x->began));
}

static bool pass_events(pr_exchange_t *x, pr_slice_t bytes)
{
	pr_str_t out = PR_STR_INIT;
	int rc = pr_events_feed(&x->events, bytes, &out);

	if (!rc && out.len) {
		x->progress_at = now_of(x);
		first_byte(x);
		if (!x->head_sent)
			pr_caller_head(x->caller, x->status,
				       pr_str_slice(&x->head), -1);
		x->head_sent = true;
		pr_caller_body(x->caller, pr_str_slice(&out));
		if (pr_caller_unsent(x->caller) > CALLER_BUFFER_MAX)
			pr_outbound_pause(x->outbound);
		arm(x);
	}
	pr_str_finish(&out);
	if (rc) {
		attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN, "invalid_events");
		return false;
	}
	return true;
}

static bool on_body(void *owner, pr_slice_t bytes)
{
	pr_exchange_t *x = owner;

	x->progress_at = now_of(x);
	if (!x->status)
		return true;
	if (x->event_stream)
		return pass_events(x, bytes);
	if (x->body.len + bytes.len <= ANSWER_MAX &&
	    !pr_str_append(&x->body, bytes.ptr, bytes.len))
		return true;
	attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN, "answer_too_large");
	return false;
}

/* Pass the whole answer on. */
static void pass_answer(pr_exchange_t *x)
{
	pr_caller_t *caller = x->caller;
	bool good = x->status / 100 == 2;
	pr_str_t body = x->body;

	memset(&x->body, 0, sizeof(x->body));
	first_byte(x);
	record(x, x->status >= 500);
	pr_upstream_succeeded(x->upstream);
	x->runs++;
	log_end(x, good ? "answered" : "passed_failure", x->status);
	pr_metric_add(good ? x->edge->counters.answered
			   : x->edge->counters.failed,
		      1);
	if (!x->head_sent)
		pr_caller_head(caller, x->status, pr_str_slice(&x->head),
			       x->event_stream ? -1 : (int64_t)body.len);
	finish(x);
	pr_caller_body(caller, pr_str_slice(&body));
	pr_str_finish(&body);
	pr_caller_end(caller);
}

static void on_done(void *owner)
{
	pr_exchange_t *x = owner;

	x->outbound = NULL;
	if (!x->status) {
		attempt_failed(x, PR_VERDICT_NOT_RUN, "refused_by_upstream");
		return;
	}
	if (x->event_stream && !pr_events_complete(&x->events)) {
		attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN, "cut_event");
		return;
	}
	if (x->status >= 500 && x->idempotent &&
	    x->runs + 1 < x->route->max_upstreams) {
		attempt_failed(x, PR_VERDICT_RAN, "upstream_error");
		return;
	}
	pass_answer(x);
}

static void on_failed(void *owner, pr_attempt_stage_t stage)
{
	pr_exchange_t *x = owner;
	pr_verdict_t verdict = pr_verdict_of_failure(stage, false);

	x->outbound = NULL;
	if (x->upstream)
		pr_upstream_failed(x->upstream, now_of(x));
	if (verdict == PR_VERDICT_NOT_RUN)
		x->sends--;
	attempt_failed(x, verdict,
		       verdict == PR_VERDICT_NOT_RUN ? "unreachable"
						     : "connection_broken");
}

static const pr_outbound_ops_t outbound_ops = { on_head, on_body, on_done,
						on_failed };

/* The attempt made no progress for too long. */
static pr_usec_t progress_limit(const pr_exchange_t *x)
{
	pr_usec_t target = (pr_usec_t)target_ms(x) * PR_USEC_PER_MSEC;
	pr_usec_t gap = (pr_usec_t)(x->route->gap_ms ? x->route->gap_ms
						     : GAP_DEFAULT_MS) *
			PR_USEC_PER_MSEC;

	if (!x->outbound || !x->idempotent ||
	    x->runs + 1 >= x->route->max_upstreams)
		return PR_USEC_NEVER;
	if (x->stream && x->events.passed && x->progress_at > x->attempt_began)
		return x->progress_at + gap * GAP_PERCENT / 100;
	if (x->stream)
		return x->attempt_began + target * FIRST_EVENT_PERCENT / 100;
	return x->attempt_began + target * ANSWER_SHARE_PERCENT / 100;
}

static void on_timer(pr_timer_t *timer, pr_usec_t now)
{
	pr_exchange_t *x = timer->data;

	if (now >= x->deadline) {
		x->last_fault = "deadline";
		if (x->head_sent)
			give_up(x, "deadline");
		else if (x->outbound &&
			 pr_outbound_stage(x->outbound) >= PR_STAGE_SENT)
			answer(x, 504, "deadline");
		else
			answer(x, x->runs ? 504 : 503, "deadline");
		return;
	}
	if (!x->outbound) {
		dispatch(x);
		return;
	}
	if (now >= progress_limit(x)) {
		if (x->upstream)
			pr_upstream_failed(x->upstream, now);
		attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN, "no_progress");
		return;
	}
	arm(x);
}

static void arm(pr_exchange_t *x)
{
	pr_usec_t now = now_of(x);
	pr_usec_t due = x->deadline;
	pr_usec_t limit = progress_limit(x);

	if (limit < due)
		due = limit;
	if (!x->outbound && now + PARK_POLL < due)
		due = now + PARK_POLL;
	pr_timers_subscribe(&x->edge->timers, &x->timer,
			    due > now ? due - now : 0, 0, on_timer);
}

static void make_query(pr_exchange_t *x, pr_place_query_t *query)
{
	const pr_service_t *service =
		pr_routing_service(x->edge->routing, x->service);
	uint32_t hosts = pr_edge_hosts(x->edge);

	memset(query, 0, sizeof(*query));
	query->service = x->service;
	query->route_regions = &x->route->regions;
	query->workspace_regions = x->workspace ? &x->workspace->regions : NULL;
	query->transition = pr_edge_transition(x->edge, x->service);
	query->version = x->version;
	if (x->route->affinity && x->prompt.shared_hash) {
		query->cached_hash = x->prompt.shared_hash + x->model;
		query->cached_tokens = x->prompt.shared_tokens;
	}
	query->tokens = x->prompt.tokens;
	query->tried_count = x->tried_count;
	memcpy((void *)query->tried, (void *)x->tried, sizeof(x->tried));
	query->connections_max =
		service && service->max_connections
			? service->max_connections * 9 / 10 / hosts
			: UINT32_MAX;
	if (!query->connections_max)
		query->connections_max = 1;
	query->hosts = hosts;
	query->now = now_of(x);
}

static int send_attempt(pr_exchange_t *x, pr_upstream_t *upstream)
{
	pr_outbound_request_t request = {
		.id = pr_slice_of(x->id),
		.is_head = x->caller->reader.parser.method == HTTP_HEAD,
		.needs_fresh = !x->idempotent,
	};
	pr_str_t bytes = PR_STR_INIT;
	int rc = pr_request_write(&bytes, x, upstream);

	request.bytes = pr_str_slice(&bytes);
	if (!rc)
		rc = pr_outbound_start(&x->outbound, &x->edge->pool, upstream,
				       &request, &outbound_ops, x);
	pr_str_finish(&bytes);
	if (rc)
		return rc;
	x->upstream = pr_upstream_ref(upstream);
	upstream->in_flight++;
	upstream->waiting_tokens += x->prompt.tokens;
	x->waiting = true;
	x->attempt_began = now_of(x);
	x->progress_at = x->attempt_began;
	x->status = 0;
	x->sends++;
	pr_event("dispatch",
		 "request=%s upstream=%s row=%llu version=%s load=%.2f "
		 "failures=%u model=%s transition=%s session=%llx ms=%lld",
		 x->id, upstream->entry.id, (unsigned long long)upstream->row,
		 upstream->entry.version,
		 pr_place_load(upstream, pr_edge_hosts(x->edge)),
		 upstream->failures,
		 x->picks_model ? x->route->models.items[x->model] : "-",
		 x->version == PR_VERSION_NEW ? "new" : "old",
		 (unsigned long long)x->session, since_start(x));
	return 0;
}

/* Wait a little for an upstream, then refuse. */
static void park(pr_exchange_t *x, pr_place_verdict_t verdict)
{
	pr_usec_t now = now_of(x);
	pr_usec_t wait =
		(pr_usec_t)target_ms(x) * PR_USEC_PER_MSEC / PARK_SHARE;

	if (!x->parked_at)
		x->parked_at = now;
	if (now - x->parked_at < wait) {
		arm(x);
		return;
	}
	/* One that failed earlier may have recovered. */
	if (x->tried_count && x->idempotent && x->runs && x->head_sent) {
		x->tried_count = 0;
		x->parked_at = now;
		arm(x);
		return;
	}
	give_up(x, verdict == PR_PLACE_COLD   ? "upstreams_cold"
		   : verdict == PR_PLACE_BUSY ? "upstreams_busy"
					      : "no_upstream");
}

static void dispatch(pr_exchange_t *x)
{
	pr_place_query_t query;
	pr_upstream_t *upstream;
	pr_place_verdict_t verdict;
	const pr_service_t *service;

	if (x->deadline - now_of(x) < ATTEMPT_MIN) {
		give_up(x, "deadline");
		return;
	}
	make_query(x, &query);
	verdict = pr_place_choose(&x->edge->registry, &x->edge->map, &query,
				  &upstream);
	if (verdict != PR_PLACE_FOUND) {
		park(x, verdict);
		return;
	}
	if (x->sends && !x->repeat_paid && !may_repeat(x)) {
		give_up(x, x->last_fault ? x->last_fault : "no_repeat");
		return;
	}
	service = pr_routing_service(x->edge->routing, x->service);
	if (upstream->cold_until > now_of(x) &&
	    !pr_upstream_cold_permit(upstream,
				     service ? service->cold_per_s : 0,
				     query.hosts, now_of(x))) {
		park(x, PR_PLACE_COLD);
		return;
	}
	x->parked_at = 0;
	x->repeat_paid = false;
	if (send_attempt(x, upstream)) {
		if (x->tried_count < PR_PLACE_TRIED_MAX)
			x->tried[x->tried_count++] = upstream;
		park(x, PR_PLACE_BUSY);
		return;
	}
	arm(x);
}

/* A request that cannot end within the grace time is not begun. */
static bool ends_in_time(pr_exchange_t *x)
{
	pr_usec_t left = x->edge->stop_began +
			 (pr_usec_t)(x->edge->settings->bounds.grace_s *
				     PR_USEC_PER_SEC) -
			 now_of(x);

	return !x->edge->stopping ||
	       left >= (x->route->kind == PR_CALL_STREAM ? STREAM_TIME
							 : CALL_TIME);
}

/* Route and workspace. @return false when the request was answered */
static bool admit(pr_exchange_t *x)
{
	pr_http_reader_t *reader = &x->caller->reader;
	pr_slice_t host = pr_http_find(reader, "Host");
	pr_slice_t path = pr_http_target(reader);
	pr_slice_t key =
		pr_http_find(reader, pr_adapter_field_name(PR_FIELD_KEY));
	const char *mark;

	if (!pr_edge_is_ready(x->edge)) {
		answer(x, 503, "not_ready");
		return false;
	}
	mark = host.len ? memchr(host.ptr, ':', host.len) : NULL;
	if (mark)
		host.len = (size_t)(mark - host.ptr);
	mark = path.len ? memchr(path.ptr, '?', path.len) : NULL;
	if (mark)
		path.len = (size_t)(mark - path.ptr);
	x->routing = pr_routing_ref(x->edge->routing);
	x->route = pr_routing_match(x->routing, host, path);
	if (!x->route) {
		pr_metric_add(x->edge->counters.not_found, 1);
		answer(x, 404, "no_route");
		return false;
	}
	if (!x->route->anonymous && x->routing->workspaces_count) {
		x->workspace =
			key.ptr ? pr_routing_workspace(x->routing, key) : NULL;
		if (!x->workspace) {
			pr_metric_add(x->edge->counters.unauthorized, 1);
			answer(x, 401, "unknown_key");
			return false;
		}
	}
	if (!ends_in_time(x)) {
		answer(x, 503, "stopping");
		return false;
	}
	return true;
}

static void read_request(pr_exchange_t *x)
{
	pr_http_reader_t *reader = &x->caller->reader;
	pr_slice_t model =
		pr_http_find(reader, pr_adapter_field_name(PR_FIELD_MODEL));
	pr_slice_t session =
		pr_http_find(reader, pr_adapter_field_name(PR_FIELD_SESSION));
	uint64_t budget = number_field(reader, PR_FIELD_BUDGET,
				       DEADLINE_DEFAULT / PR_USEC_PER_MSEC);
	pr_usec_t timeout = (pr_usec_t)x->route->timeout_ms * PR_USEC_PER_MSEC;

	x->budget_end = x->began + (pr_usec_t)budget * PR_USEC_PER_MSEC;
	x->deadline = x->budget_end;
	if (timeout && x->began + timeout < x->deadline)
		x->deadline = x->began + timeout;
	pr_adapter_prompt(
		&x->prompt,
		pr_http_find(reader, pr_adapter_field_name(PR_FIELD_TOKENS)),
		pr_http_find(reader, pr_adapter_field_name(PR_FIELD_PARTS)));
	if (session.len)
		x->session = XXH64(session.ptr, session.len, 0);
	x->stream = x->route->kind == PR_CALL_STREAM;
	x->idempotent = x->route->kind == PR_CALL_REPEATABLE ||
			(x->stream && x->route->resumable);
	x->picks_model = x->route->models.count &&
			 pr_slice_equal(model, PR_SLICE(PR_MODEL_ANY));
	if (x->picks_model)
		x->model = pr_cascade_first(x->route->models.count);
	if (x->stream) {
		uint64_t last;

		/* A caller that resumes names the last event that it has. */
		if (pr_slice_number(
			    pr_http_find(reader, pr_adapter_field_name(
							 PR_FIELD_LAST_EVENT)),
			    &last)) {
			x->events.has_id = true;
			x->events.last_id = last;
		}
	}
}

void pr_exchange_start(pr_exchange_t *x, pr_edge_t *edge, pr_caller_t *caller)
{
	pr_slice_t id = pr_http_find(
		&caller->reader, pr_adapter_field_name(PR_FIELD_REQUEST_ID));
	pr_transition_t *transition;
	pr_repeats_t *budget;

	memset(x, 0, sizeof(*x));
	x->edge = edge;
	x->caller = caller;
	x->active = true;
	x->timer.data = x;
	x->began = caller->head_began ? caller->head_began : pr_edge_now(edge);
	x->budget_end = x->began + PR_USEC_PER_SEC;
	edge->exchanges++;
	pr_events_init(&x->events);
	if (id.ptr)
		pr_slice_copy(x->id, sizeof(x->id), id);
	x->hash = XXH64(x->id, strlen(x->id), 0);
	pr_metric_add(edge->counters.requests, 1);
	if (!admit(x))
		return;
	read_request(x);
	x->service = pr_route_service(x->route, x->hash);
	if (!x->service) {
		answer(x, 503, "no_service");
		return;
	}
	budget = pr_edge_repeats(edge, x->service);
	if (budget)
		pr_repeats_request(budget, now_of(x));
	transition = pr_edge_transition(edge, x->service);
	if (!transition || !transition->began_ms)
		pr_sessions_note(&edge->sessions, x->session,
				 pr_edge_store_now(edge));
	if (transition)
		x->version = pr_transition_choose(
			transition, &edge->sessions, x->session, x->hash,
			pr_edge_store_now(edge),
			(uint32_t)(edge->settings->bounds.session_s * 1000));
	dispatch(x);
}

void pr_exchange_abandon(pr_exchange_t *x)
{
	log_end(x, "caller_gone", 0);
	pr_metric_add(x->edge->counters.gone, 1);
	finish(x);
}

void pr_exchange_drained(pr_exchange_t *x)
{
	if (x->outbound)
		pr_outbound_resume(x->outbound);
}

void pr_exchange_cut(pr_exchange_t *x)
{
	x->last_fault = "stopping";
	if (x->outbound && pr_outbound_stage(x->outbound) >= PR_STAGE_SENT)
		x->runs++;
	give_up(x, "stopping");
}
