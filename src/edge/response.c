/*
 * Responses of upstreams: forwards them to the caller, escalates a request to a
 * larger model, and decides which responses are failed attempts.
 */
#include <string.h>
#include <strings.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "cascade/cascade.h"
#include "edge/caller.h"
#include "edge/exchange_parts.h"
#include "edge/overload.h"

/* Reading from the upstream pauses while more bytes than this wait for a slow
 * caller. */
#define CALLER_UNSENT_MAX ((size_t)256 * 1024)
/* The same while memory is short. */
#define CALLER_UNSENT_SHORT ((size_t)16 * 1024)
/* Confidence of a response that states none. */
#define CONFIDENCE_NONE 100
/* Largest response body that is buffered until it is complete. */
#define RESPONSE_BYTES_MAX ((size_t)8 * 1024 * 1024)
/* Load of an upstream, as a part of its slots, above which the load alone may
 * make responses slow. */
#define PACE_LOAD_MAX 0.3

static bool is_streaming_type(const pr_http_reader_t *reader)
{
	pr_slice_t type = pr_http_find(reader, "Content-Type");

	return type.len >= 17 &&
	       !strncasecmp(type.ptr, "text/event-stream", 17);
}

/*
 * Escalate a request to a larger model if the smaller one states low confidence
 * and none of its response was sent to the caller.
 *
 * @return true when the attempt was replaced by one on the larger model
 */
static bool escalate(pr_exchange_t *x)
{
	pr_cascade_input_t input = {
		.models = x->route->models.count,
		.model = x->model,
		.confidence = x->confidence,
		.target_ms = pr_exchange_target_ms(x),
		.elapsed_ms = (double)pr_exchange_age_ms(x),
		.gap_ms = x->route->gap_ms,
		.pause_weight = pr_pauses_weight(&x->edge->pauses),
	};
	pr_quarantine_prompt_t prompt = pr_exchange_suspect_prompt(x);
	size_t current = x->model;
	pr_upstream_t *upstream;

	/* The attempt would end before the upstream answers or crashes, and the
	 * next one be refused as a repeat. */
	if (pr_quarantine_is_awaited(&x->edge->quarantine, &prompt))
		return false;
	if (!x->picks_model || x->head_sent ||
	    current + 1 >= x->route->models.count ||
	    x->runs + 1 >= x->route->max_upstreams)
		return false;
	x->model = x->route->models.count - 1;
	if (pr_exchange_choose_upstream(x, &upstream, &input.wait_ms) !=
	    PR_PLACE_FOUND)
		input.wait_ms = input.target_ms;
	input.prefill_ms = pr_prefill_ms(
		&x->edge->reading, pr_exchange_model_name(x), x->prompt.tokens);
	x->model = current;
	if (pr_cascade_next_model(&input) == current ||
	    !pr_exchange_take_repeat(x))
		return false;
	x->model = pr_cascade_next_model(&input);
	pr_event("escalated",
		 "request=%s model=%s confidence=%u next=%s wait_ms=%.0f "
		 "reading_ms=%.0f ms=%lld",
		 x->id, x->route->models.items[current], input.confidence,
		 pr_exchange_model_name(x), input.wait_ms, input.prefill_ms,
		 pr_exchange_age_ms(x));
	pr_metric_add(x->edge->counters.escalations, 1);
	pr_exchange_count_response(x, false);
	pr_exchange_count_loaded(x, false);
	x->runs++;
	x->repeat_charged = true;
	x->replacing = true;
	/* The prefill of the larger model takes too long for the load test. */
	x->is_load_test = false;
	pr_exchange_cancel_attempt(x);
	pr_exchange_dispatch(x);
	return true;
}

/* Whether the upstream states that it did not run the request. */
static bool is_not_run(const pr_http_reader_t *reader)
{
	return reader->parser.status_code == 421 ||
	       pr_http_find(reader, pr_adapter_field_name(PR_FIELD_NOT_RUN))
		       .ptr;
}

/* Whether callers read the status as a promise that the request did not run.
 * With 421 it is proven, see is_not_run(). */
static bool is_promise(int status)
{
	return status == 408 || status == 429 || status == 503;
}

static void save_head(pr_exchange_t *x, const pr_http_reader_t *reader)
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
	uint64_t cold = pr_exchange_field_number(reader, PR_FIELD_COLD_MS, 0);

	if (cold && x->upstream)
		pr_upstream_mark_cold(x->upstream,
				      pr_exchange_now(x) +
					      (pr_usec_t)cold *
						      PR_USEC_PER_MSEC);
}

/* Whether the version of an answer is known to be good. */
static bool is_proven(const pr_transition_t *transition, const char *version)
{
	return !transition || transition->state == PR_ROLLOUT_DONE ||
	       !pr_transition_is_new(transition, version);
}

/*
 * Compare the pace of a response with the usual pace, and update the latter.
 * Responses of cold upstreams are left out, since they are slow. The total time
 * of a response that is not a stream also depends on its length and on the
 * distance of the upstream, so that only streams are compared at equal load.
 *
 * @param ms pace as defined in transition/pace.h
 */
static void record_pace(pr_exchange_t *x, double ms)
{
	pr_transition_t *transition = pr_edge_transition(x->edge, x->service);
	uint64_t kind = XXH64(x->service, strlen(x->service), x->event_stream);
	bool running = transition && transition->began_ms &&
		       transition->state == PR_ROLLOUT_RUNNING;
	bool known = pr_pace_is_known(&x->edge->pace, kind);
	double load = x->upstream ? pr_place_load(x->upstream) : 0;
	pr_pace_sample_t sample = { (float)ms, (float)load };
	pr_pace_rank_t rank = { 0 };

	if (!x->upstream || x->upstream->cold_until > x->attempt_began)
		return;
	if (running && x->event_stream)
		rank = pr_pace_rank(&x->edge->pace, kind, &sample);
	else if (running)
		rank.slow = pr_pace_is_slow(&x->edge->pace, kind, ms);
	if (running)
		pr_event("pace",
			 "request=%s upstream=%s version=%s pace_ms=%.1f "
			 "known=%d slow=%d ranked=%d slower=%d load=%.2f "
			 "tested=%d",
			 x->id, x->upstream->entry.id,
			 x->upstream->entry.version, ms, known, rank.slow,
			 rank.ranked, rank.slower, load, x->is_load_test);
	if (running && known)
		pr_transition_record_pace(
			transition, x->upstream->entry.version, rank.slow,
			x->is_load_test || load > PACE_LOAD_MAX,
			x->upstream->tag, pr_edge_store_now(x->edge));
	if (rank.ranked)
		pr_transition_record_rank(
			transition, x->upstream->entry.version, rank.slower,
			x->upstream->tag, pr_edge_store_now(x->edge));
	if (is_proven(transition, x->upstream->entry.version))
		pr_pace_learn(&x->edge->pace, kind, &sample);
}

static void record_stream_pace(pr_exchange_t *x, bool ended)
{
	double ms;

	if (pr_pace_measure_stream(&x->pace, x->events.passed, ended,
				   pr_exchange_now(x), &ms))
		record_pace(x, ms);
}

/* The upstream has not crashed: it sends something. */
static void record_alive(pr_exchange_t *x)
{
	if (x->upstream && x->edge->store_clock.is_known)
		pr_quarantine_record_alive(&x->edge->quarantine,
					   x->upstream->tag,
					   pr_edge_store_now(x->edge));
}

void pr_exchange_record_unfinished_pace(pr_exchange_t *x)
{
	if (x->upstream && x->event_stream)
		record_stream_pace(x, true);
}

static bool on_head(void *owner, const pr_http_reader_t *reader)
{
	pr_exchange_t *x = owner;
	bool has_seal =
		pr_http_find(reader, pr_adapter_field_name(PR_FIELD_SEAL)).ptr;

	x->status = (int)reader->parser.status_code;
	x->event_stream = false;
	x->unframed = !(reader->parser.flags & (F_CHUNKED | F_CONTENTLENGTH));
	x->progress_at = pr_exchange_now(x);
	x->body_length = reader->parser.flags & F_CONTENTLENGTH
				 ? reader->parser.content_length
				 : 0;
	pr_str_clear(&x->body);
	note_cold(x, reader);
	record_alive(x);
	x->not_run = is_not_run(reader);
	if (x->not_run)
		return true;
	if ((x->status / 100 == 2 && !has_seal) ||
	    pr_http_find(reader, "Content-Encoding").ptr) {
		pr_exchange_attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN,
					   "foreign_answer");
		return false;
	}
	pr_prefill_learn(&x->edge->reading, pr_exchange_model_name(x),
			 x->unheld_tokens,
			 (double)(pr_exchange_now(x) - x->attempt_began) /
				 PR_USEC_PER_MSEC);
	pr_exchange_clear_prefill_wait(x);
	x->event_stream =
		x->stream && x->status == 200 && is_streaming_type(reader);
	if (x->head_sent && !x->event_stream) {
		pr_exchange_attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN,
					   "not_resumed");
		return false;
	}
	x->confidence = (uint32_t)pr_exchange_field_number(
		reader, PR_FIELD_CONFIDENCE, CONFIDENCE_NONE);
	if (x->event_stream && escalate(x))
		return false;
	if (!x->head_sent)
		save_head(x, reader);
	pr_exchange_set_timer(x);
	return true;
}

static void record_first_byte(pr_exchange_t *x)
{
	if (x->first_byte_at)
		return;
	x->first_byte_at = pr_exchange_now(x);
	pr_histogram_record(x->edge->counters.first_byte,
			    (double)(x->first_byte_at - x->began));
}

/* The upstream answers the request: no part of its prompt crashes it. */
static void record_answer(pr_exchange_t *x)
{
	pr_quarantine_prompt_t prompt = pr_exchange_suspect_prompt(x);

	pr_quarantine_record_answer(&x->edge->quarantine, &prompt,
				    pr_edge_store_now(x->edge));
}

/* Note the time of an event, and the pause before it. */
static void record_progress(pr_exchange_t *x)
{
	pr_usec_t now = pr_exchange_now(x);

	pr_exchange_count_loaded(x, false);
	if (!x->events_of_attempt)
		pr_exchange_note_prompt_read(x);
	if (x->events_of_attempt++ && now - x->progress_at > x->longest_pause)
		x->longest_pause = now - x->progress_at;
	x->progress_at = now;
	record_alive(x);
	if (x->events_of_attempt == PR_ANSWER_BEGUN)
		record_answer(x);
}

/* Whether the caller has so much of the stream to read that more of it has to
 * wait at the upstream. */
static bool is_caller_behind(const pr_exchange_t *x)
{
	size_t most = pr_memory_is_short(&x->edge->memory) ? CALLER_UNSENT_SHORT
							   : CALLER_UNSENT_MAX;

	return pr_caller_unsent(x->caller) > most;
}

static bool forward_events(pr_exchange_t *x, pr_slice_t bytes)
{
	pr_str_t out = PR_STR_INIT;
	uint64_t numbered = x->events.numbered;
	int rc = pr_sse_filter_feed(&x->events, bytes, &out);

	/* The events before an invalid one count as passed on. */
	if (out.len) {
		record_stream_pace(x, false);
		/* Comments and incomplete events do not count as progress. */
		if (x->events.numbered > numbered || !x->events.has_id)
			record_progress(x);
		record_first_byte(x);
		x->replacing = false;
		if (!x->head_sent)
			pr_caller_send_head(x->caller, x->status,
					    pr_str_slice(&x->head), -1);
		x->head_sent = true;
		pr_caller_send_body(x->caller, pr_str_slice(&out));
		pr_overload_account(x->caller);
		if (is_caller_behind(x)) {
			x->reading_paused = true;
			pr_outbound_pause(x->outbound);
		}
		pr_exchange_set_timer(x);
	}
	pr_str_finish(&out);
	if (rc) {
		pr_exchange_attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN,
					   "invalid_events");
		return false;
	}
	return true;
}

/* Append a part of a body that is buffered. A body whose length is known gets
 * no more memory than that. @return false when there is no memory for it */
static bool buffer_body(pr_exchange_t *x, pr_slice_t bytes)
{
	size_t from = x->body.cap;
	size_t needed = x->body.len + bytes.len + 1;
	size_t to = x->body_length ? 2 * from : from + from / 2;

	if (x->body.len + bytes.len > RESPONSE_BYTES_MAX)
		return false;
	if (x->body_length && to > x->body_length + 1)
		to = (size_t)x->body_length + 1;
	if (to < needed)
		to = needed;
	if (needed > from) {
		if (!pr_overload_make_room(x->caller, PR_MEMORY_RESPONSES, from,
					   to) ||
		    pr_str_reserve(&x->body, to))
			return false;
		pr_overload_account(x->caller);
	}
	return !pr_str_append(&x->body, bytes.ptr, bytes.len);
}

static bool on_body(void *owner, pr_slice_t bytes)
{
	pr_exchange_t *x = owner;

	if (x->not_run)
		return true;
	if (x->event_stream)
		return forward_events(x, bytes);
	x->progress_at = pr_exchange_now(x);
	if (buffer_body(x, bytes))
		return true;
	pr_exchange_attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN,
				   "answer_too_large");
	return false;
}

/* Count a complete response and send to the caller what it does not have yet.
 */
static void forward_response(pr_exchange_t *x)
{
	pr_caller_t *caller = x->caller;
	bool good = x->status / 100 == 2;
	pr_str_t body = x->body;

	memset(&x->body, 0, sizeof(x->body));
	record_first_byte(x);
	pr_exchange_count_response(x, x->status >= 500);
	pr_exchange_count_loaded(x, x->status >= 500);
	if (x->event_stream && x->route->gap_ms)
		pr_pauses_add(&x->edge->pauses,
			      x->longest_pause > (pr_usec_t)x->route->gap_ms *
							 PR_USEC_PER_MSEC);
	if (x->event_stream)
		record_stream_pace(x, true);
	else if (good)
		record_pace(x, (double)(pr_exchange_now(x) - x->attempt_began) /
				       PR_USEC_PER_MSEC);
	if (good && !x->event_stream)
		pr_exchange_note_prompt_read(x);
	if (good && x->events_of_attempt < PR_ANSWER_BEGUN)
		record_answer(x);
	pr_upstream_record_success(x->upstream);
	pr_outcomes_add(&x->upstream->outcomes, x->status >= 500,
			pr_exchange_now(x));
	x->runs++;
	pr_exchange_log_end(x, good ? "answered" : "passed_failure", x->status);
	pr_metric_add(good ? x->edge->counters.answered
			   : x->edge->counters.failed,
		      1);
	if (!x->head_sent)
		pr_caller_send_head(caller, x->status, pr_str_slice(&x->head),
				    x->event_stream ? -1 : (int64_t)body.len);
	pr_exchange_finish(x);
	pr_caller_send_owned(caller, &body);
	pr_caller_end_response(caller);
}

/* Whether a stream ended inside an event, or before its first one. A caller
 * that has all events gets none, but then the end of the stream must be marked
 * by more than that of the connection. */
static bool has_broken_off(const pr_exchange_t *x)
{
	if (x->caller->reader.parser.method == HTTP_HEAD)
		return false;
	return !pr_sse_filter_complete(&x->events) ||
	       (!x->events.passed && (!x->events.has_id || x->unframed));
}

static void on_done(void *owner)
{
	pr_exchange_t *x = owner;

	x->outbound = NULL;
	if (x->not_run) {
		pr_exchange_attempt_failed(x, PR_VERDICT_NOT_RUN,
					   "refused_by_upstream");
		return;
	}
	if (x->event_stream && has_broken_off(x)) {
		pr_exchange_attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN,
					   PR_FAULT_CUT_EVENT);
		return;
	}
	if (x->status >= 500 && x->idempotent &&
	    x->runs + 1 < x->route->max_upstreams) {
		pr_exchange_attempt_failed(x, PR_VERDICT_RAN, "upstream_error");
		return;
	}
	if (!x->idempotent && is_promise(x->status)) {
		pr_exchange_attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN,
					   "unproven_refusal");
		return;
	}
	forward_response(x);
}

static void on_failed(void *owner, pr_attempt_stage_t stage)
{
	pr_exchange_t *x = owner;
	pr_verdict_t verdict = pr_verdict_of_failure(stage, false);
	/* A request that was held back shows no failure of the upstream. */
	bool held_back = verdict == PR_VERDICT_NOT_RUN && x->upstream &&
			 pr_upstream_is_paused(x->upstream, pr_exchange_now(x));

	x->outbound = NULL;
	if (x->upstream && !held_back)
		pr_upstream_record_failure(x->upstream, pr_exchange_now(x));
	if (verdict == PR_VERDICT_NOT_RUN)
		x->sends--;
	pr_exchange_attempt_failed(x, verdict,
				   held_back ? "upstream_paused"
				   : verdict == PR_VERDICT_NOT_RUN
					   ? "unreachable"
					   : PR_FAULT_BROKEN);
}

const pr_outbound_ops_t pr_exchange_outbound_ops = { on_head, on_body, on_done,
						     on_failed };
