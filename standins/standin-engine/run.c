/*
 * Runs: a request waits in the queue (interactive before batch), takes a slot,
 * and produces its tokens at the version's speed. One SSE chunk is one token.
 */
#include <stdlib.h>
#include <unistd.h>

#include "../common/text.h"
#include "engine.h"
#include "pistachiorack/error.h"

#define CRASH_STATUS 3
/* A full prefix hit saves this share of the time to the first token. */
#define HIT_SAVING    0.8
#define BYTES_A_TOKEN 4
#define COLD_BETWEEN  2

static void start_next(engine_t *engine);

static void list_remove(run_list_t *list, run_t *run)
{
	if (run->prev)
		run->prev->next = run->next;
	else
		list->first = run->next;
	if (run->next)
		run->next->prev = run->prev;
	else
		list->last = run->prev;
	run->prev = run->next = NULL;
	list->count--;
}

/* Inserts after `place`, or at the front when place is NULL. */
static void list_insert(run_list_t *list, run_t *run, run_t *place)
{
	run->prev = place;
	run->next = place ? place->next : list->first;
	if (run->next)
		run->next->prev = run;
	else
		list->last = run;
	if (place)
		place->next = run;
	else
		list->first = run;
	list->count++;
}

static json_int_t prompt_tokens(const run_t *run)
{
	return (json_int_t)(run->prompt.len + BYTES_A_TOKEN - 1) /
	       BYTES_A_TOKEN;
}

static json_t *usage(const run_t *run)
{
	json_int_t done = run->next_token - run->from;

	return json_pack("{s:I,s:I,s:I}", "prompt_tokens", prompt_tokens(run),
			 "completion_tokens", done, "total_tokens",
			 prompt_tokens(run) + done);
}

static void record_run(run_t *run, const char *outcome)
{
	engine_t *engine = run->engine;
	pr_usec_t now = standin_now(&engine->standin);
	json_t *entry = json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:s,s:s}", "kind", "run", "attempt",
		run->attempt, "resumed", run->resumed, "workspace",
		run->workspace, "version", run->version->name, "priority",
		run->interactive ? "interactive" : "batch", "outcome", outcome);

	json_object_set_new(entry, "prompt_tokens",
			    json_integer(prompt_tokens(run)));
	json_object_set_new(entry, "from", json_integer(run->from));
	json_object_set_new(entry, "tokens",
			    json_integer(run->next_token - run->from));
	json_object_set_new(entry, "total_ms",
			    json_integer((now - run->arrived) / 1000));
	json_object_set_new(entry, "started", json_boolean(run->active));
	json_object_set_new(entry, "cold", json_boolean(run->cold));
	json_object_set_new(entry, "hit", json_real(run->hit));
	json_object_set_new(entry, "stream", json_boolean(run->stream));
	json_object_set_new(entry, "quality", json_real(run->version->quality));
	standin_record_count(&engine->standin.record, outcome);
	standin_record_add(&engine->standin.record, entry);
}

/* Ends a run; the exchange must have been answered or be gone. */
static void end_run(run_t *run, const char *outcome)
{
	engine_t *engine = run->engine;

	record_run(run, outcome);
	pr_timers_unsubscribe(&engine->standin.timers, &run->timer);
	list_remove(run->active ? &engine->active : &engine->queued, run);
	pr_str_finish(&run->prompt);
	free(run);
	start_next(engine);
}

static void on_gone(standin_exchange_t *exchange)
{
	end_run(exchange->user, "cancelled");
}

static json_t *chunk(const run_t *run, json_t *delta, const char *finish)
{
	return json_pack("{s:s,s:s,s:s,s:[{s:i,s:o,s:s?}]}", "id", run->attempt,
			 "object", "chat.completion.chunk", "model",
			 run->version->name, "choices", "index", 0, "delta",
			 delta, "finish_reason", finish);
}

static void send_event(run_t *run, json_t *json)
{
	pr_str_t text = PR_STR_INIT;
	char *dump = json_dumps(json, JSON_COMPACT);

	pr_str_appendf(&text, "data: %s\n\n", dump ? dump : "{}");
	standin_stream_write(run->exchange, pr_str_slice(&text));
	pr_str_finish(&text);
	free(dump);
	json_decref(json);
}

static void start_stream(run_t *run)
{
	pr_http_answer_header(run->exchange->http, "x-model-version",
			      pr_slice_of(run->version->name));
	standin_stream_start(run->exchange, 200, "text/event-stream");
}

static void finish_stream(run_t *run)
{
	json_t *last;

	if (run->exchange->fate == STANDIN_FATE_LOST) {
		standin_record_count(&run->engine->standin.record,
				     "answers_lost");
		standin_break(run->exchange);
		end_run(run, "done");
		return;
	}
	/* A resume from the last token has nothing left to send. */
	if (!run->exchange->answered)
		start_stream(run);
	send_event(run, chunk(run, json_object(), "stop"));
	last = chunk(run, json_object(), NULL);
	json_object_set_new(last, "choices", json_array());
	json_object_set_new(last, "usage", usage(run));
	send_event(run, last);
	standin_stream_write(run->exchange, PR_SLICE("data: [DONE]\n\n"));
	standin_stream_end(run->exchange, true);
	end_run(run, "done");
}

/* A crossed answer has the text of another request. */
static uint64_t text_seed(const run_t *run)
{
	return run->seed + (run->exchange->fate == STANDIN_FATE_CROSSED);
}

static void finish_whole(run_t *run)
{
	pr_str_t text = PR_STR_INIT;
	json_t *json;

	pr_str_append(&text, "", 0);
	standin_text_append(&text, text_seed(run), run->from, run->count);
	json = json_pack("{s:s,s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:o}", "id",
			 run->attempt, "object", "chat.completion", "model",
			 run->version->name, "choices", "index", 0, "message",
			 "role", "assistant", "content", pr_str_cstr(&text),
			 "finish_reason", "stop", "usage", usage(run));
	pr_str_finish(&text);
	pr_http_answer_header(run->exchange->http, "x-model-version",
			      pr_slice_of(run->version->name));
	standin_answer(run->exchange, 200, json);
	end_run(run, "done");
}

/* @return true when a fault ended or stalled the stream at half its length */
static bool fail_halfway(run_t *run)
{
	standin_record_t *record = &run->engine->standin.record;

	switch (run->exchange->fate) {
	case STANDIN_FATE_CRASH:
		_exit(CRASH_STATUS);
	case STANDIN_FATE_NONE:
		standin_record_count(record, "answers_withheld");
		return true;
	case STANDIN_FATE_GARBAGE:
		standin_record_count(record, "answers_garbage");
		standin_stream_write(run->exchange,
				     PR_SLICE("data: {]not json\n\n"));
		return false;
	case STANDIN_FATE_HALF:
	case STANDIN_FATE_CUT:
		standin_record_count(record, "answers_half");
		standin_stream_end(run->exchange,
				   run->exchange->fate == STANDIN_FATE_CUT);
		end_run(run, "broken");
		return true;
	default:
		return false;
	}
}

static void send_token(run_t *run)
{
	char token[STANDIN_TOKEN_BYTES + 1];

	if (run->exchange->fate == STANDIN_FATE_LOST)
		return;
	if (!run->exchange->answered)
		start_stream(run);
	standin_text_token(token, text_seed(run), run->next_token);
	send_event(run, chunk(run, json_pack("{s:s}", "content", token), NULL));
}

static void on_token(pr_timer_t *timer, pr_usec_t now)
{
	run_t *run = timer->data;
	engine_t *engine = run->engine;
	pr_usec_t due = run->first_due;

	while (run->next_token < run->count && due <= now) {
		if (run->stream)
			send_token(run);
		run->next_token++;
		if (run->stream &&
		    run->next_token ==
			    run->from + (run->count - run->from + 1) / 2 &&
		    fail_halfway(run))
			return;
		due = run->first_due +
		      run->between * (run->next_token - run->from);
	}
	if (run->next_token < run->count)
		standin_after(&engine->standin, &run->timer,
			      due - standin_now(&engine->standin), 0, on_token);
	else if (run->stream)
		finish_stream(run);
	else
		finish_whole(run);
}

static void on_failed(pr_timer_t *timer, pr_usec_t now)
{
	run_t *run = timer->data;

	standin_answer_error(run->exchange, 500, "engine_error",
			     "may_have_run");
	end_run(run, "failed");
}

static void start_run(run_t *run)
{
	engine_t *engine = run->engine;
	const version_t *version = run->version;
	pr_usec_t now = standin_now(&engine->standin);
	double first = version->first_ms * 1000.0;

	run->active = true;
	run->cold = engine_is_cold(engine);
	run->hit = cache_touch(&engine->cache, pr_slice_of(version->name),
			       pr_str_slice(&run->prompt), now);
	first *= 1.0 - HIT_SAVING * run->hit;
	run->between = version->between_ms * PR_USEC_PER_MSEC;
	if (run->cold) {
		first *= engine->cold_factor;
		run->between *= COLD_BETWEEN;
	}
	run->first_due = now + (pr_usec_t)first;
	run->timer.data = run;
	standin_after(&engine->standin, &run->timer, run->first_due - now, 0,
		      version->errors > 0 && pr_rand_unit(&engine->rand) <
						     version->errors
			      ? on_failed
			      : on_token);
}

static void start_next(engine_t *engine)
{
	while (!engine->falling && engine->queued.first &&
	       engine->active.count < engine->slots) {
		run_t *run = engine->queued.first;

		list_remove(&engine->queued, run);
		list_insert(&engine->active, run, engine->active.last);
		start_run(run);
	}
}

static void enqueue(run_t *run)
{
	run_list_t *queued = &run->engine->queued;
	run_t *place = queued->last;

	while (run->interactive && place && !place->interactive)
		place = place->prev;
	list_insert(queued, run, place);
	start_next(run->engine);
}

/* Fills prompt, version and count from the body or from a known run. */
static int describe(run_t *run, const json_t *body, bool resume)
{
	engine_t *engine = run->engine;
	const json_t *messages = json_object_get(body, "messages");
	const char *model = json_string_value(json_object_get(body, "model"));
	const char *attempt =
		json_string_value(json_object_get(body, "attempt"));
	const memo_t *memo = NULL;
	int rc = 0;

	if (resume && !messages) {
		memo = attempt && attempt[0] ? engine_memo(engine, attempt)
					     : NULL;
		if (!memo)
			return pr_error_set(PR_ENOTFOUND, "unknown_attempt");
		model = memo->version;
		rc = pr_str_append(&run->prompt, memo->prompt.ptr,
				   memo->prompt.len);
	} else {
		rc = standin_text_prompt(&run->prompt, messages);
	}
	if (rc)
		return pr_error_set(PR_EPARSE, "bad_request");
	run->version = model ? engine_version(engine, model) : NULL;
	if (!run->version)
		return pr_error_set(PR_ENOTFOUND, "version_not_loaded");
	run->seed = standin_text_seed(pr_slice_of(run->version->name),
				      pr_str_slice(&run->prompt));
	run->count =
		memo ? memo->count
		     : standin_text_count(run->seed,
					  json_integer_value(json_object_get(
						  body, "max_tokens")));
	if (resume) {
		json_int_t from =
			json_integer_value(json_object_get(body, "from"));

		if (from < 0 || from > run->count)
			return pr_error_set(PR_EPARSE, "bad_request");
		run->from = run->next_token = (uint32_t)from;
		pr_slice_copy(run->resumed, sizeof(run->resumed),
			      pr_slice_of(attempt ? attempt : ""));
	}
	return 0;
}

static run_t *make_run(engine_t *engine, standin_exchange_t *exchange)
{
	run_t *run = calloc(1, sizeof(*run));
	char priority[32];

	if (!run)
		return NULL;
	run->engine = engine;
	run->exchange = exchange;
	run->arrived = standin_now(&engine->standin);
	standin_header(exchange, "x-attempt-id", run->attempt,
		       sizeof(run->attempt));
	standin_header(exchange, "x-workspace", run->workspace,
		       sizeof(run->workspace));
	standin_header(exchange, "x-priority", priority, sizeof(priority));
	run->interactive = strcmp(priority, "batch") != 0;
	run->stream = json_is_true(json_object_get(exchange->json, "stream"));
	return run;
}

/* @return NULL, or the reason why a new request is not taken */
static const char *refusal(engine_t *engine)
{
	if (strcmp(engine->role, "idle") == 0)
		return "role";
	if (engine->active.count >= engine->slots &&
	    engine->queued.count >= engine->queue_max)
		return "queue_full";
	return NULL;
}

void engine_chat(engine_t *engine, standin_exchange_t *exchange, bool resume)
{
	const char *reason = refusal(engine);
	run_t *run;
	int rc;

	if (reason) {
		standin_record_count(&engine->standin.record, reason);
		standin_answer_error(exchange, 503, reason, "not_run");
		return;
	}
	run = make_run(engine, exchange);
	if (!run) {
		standin_answer_error(exchange, 503, "no_memory", "not_run");
		return;
	}
	rc = describe(run, exchange->json, resume);
	if (rc) {
		standin_record_count(&engine->standin.record, pr_error_last());
		standin_answer_error(exchange, rc == PR_ENOTFOUND ? 404 : 400,
				     pr_error_last(), "not_run");
		pr_str_finish(&run->prompt);
		free(run);
		return;
	}
	exchange->user = run;
	exchange->gone = on_gone;
	if (run->attempt[0])
		engine_memo_add(engine, run->attempt, run->version->name,
				pr_str_slice(&run->prompt), run->count);
	standin_record_count(&engine->standin.record, "accepted");
	enqueue(run);
	if (!engine_is_cold(engine))
		return;
	if (engine->active.count + engine->queued.count > engine->cold_most)
		engine->cold_most = engine->active.count + engine->queued.count;
	if (engine->active.count + engine->queued.count > engine->cold_slots)
		engine_fall(engine);
}

static void break_run(run_t *run, const char *outcome, const char *code)
{
	bool started = run->active;

	if (run->exchange->answered)
		standin_stream_end(run->exchange, false);
	else
		standin_answer_error(run->exchange, started ? 500 : 503, code,
				     started ? "may_have_run" : "not_run");
	end_run(run, outcome);
}

static run_t *find_run(const run_list_t *list, const char *attempt)
{
	for (run_t *run = list->first; run; run = run->next)
		if (strcmp(run->attempt, attempt) == 0)
			return run;
	return NULL;
}

bool engine_cancel(engine_t *engine, const char *attempt)
{
	run_t *run = find_run(&engine->active, attempt);

	if (!run)
		run = find_run(&engine->queued, attempt);
	if (!run)
		return false;
	break_run(run, "cancelled", "cancelled");
	return true;
}

static void break_all(run_list_t *list)
{
	run_t *next;

	for (run_t *run = list->first; run; run = next) {
		next = run->next;
		break_run(run, "fell", "fell_over");
	}
}

void engine_fall(engine_t *engine)
{
	standin_record_count(&engine->standin.record, "fell_over");
	engine->fallen_until = standin_now(&engine->standin) +
			       engine->fall_ms * PR_USEC_PER_MSEC;
	engine_chill(engine);
	engine->falling = true;
	break_all(&engine->queued);
	break_all(&engine->active);
	engine->falling = false;
}
