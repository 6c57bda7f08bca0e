/*
 * standin-engine: a model engine for tests. The answer text is the function of
 * common/text.h. A request names "model@version" in `model`; a bare model name
 * means the first loaded version of it.
 *
 * Control fields beside the faults: cold (true: cold from now on; false: warm),
 * cold_ms, cold_slots, cold_factor, fall_ms, fall_breaks, fall (true: falls
 * over now), slots, queue_max, load_lag_ms, load_ms, events_lag_ms,
 * events_gap, versions {"model@version": {quality, errors, first_ms,
 * between_ms}}.
 * `POST /v1/resume` takes {"attempt","from"} for a run that this engine knows
 * (its own or an imported one), or with the fields of the chat request for any
 * run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "standin-engine/engine.h"

#define SLOTS         16
#define QUEUE_MAX     256
#define COLD_SLOTS    2
#define COLD_MS       5000
#define COLD_FACTOR   4
#define FALL_MS       2000
#define LOAD_MS       200
#define CACHE_BLOCKS  2048
#define EVENTS_LAG_MS 200
#define VERSIONS_MAX  ENGINE_VERSIONS_MAX
#define FIELD_BYTES   512

static void cancel(engine_t *engine, standin_exchange_t *exchange)
{
	const char *attempt = standin_field(exchange, "attempt", "");
	bool found = attempt[0] && engine_cancel(engine, attempt);

	standin_record_count(&engine->standin.record, "cancels");
	standin_answer(exchange, 200, json_pack("{s:b}", "cancelled", found));
}

static bool handle_fallen(engine_t *engine, standin_exchange_t *exchange)
{
	if (!engine_is_fallen(engine))
		return false;
	standin_record_count(&engine->standin.record, "while_fallen");
	if (engine->fall_breaks)
		standin_break(exchange);
	else
		standin_answer_error(exchange, 500, "fell_over",
				     "may_have_run");
	return true;
}

static void handle(standin_exchange_t *exchange, void *data)
{
	engine_t *engine = data;

	if (handle_fallen(engine, exchange))
		return;
	if (standin_is(exchange, "POST", "/v1/chat/completions"))
		engine_chat(engine, exchange, false);
	else if (standin_is(exchange, "POST", "/v1/resume"))
		engine_chat(engine, exchange, true);
	else if (standin_is(exchange, "POST", "/v1/cancel"))
		cancel(engine, exchange);
	else if (standin_is(exchange, "GET", "/v1/load"))
		engine_load(engine, exchange);
	else if (standin_is(exchange, "GET", "/v1/events"))
		standin_answer(exchange, 200,
			       cache_events(&engine->cache,
					    (uint64_t)standin_query_int(
						    exchange, "after", 0),
					    standin_now(&engine->standin)));
	else if (standin_is(exchange, "POST", "/v1/orders"))
		engine_order(engine, exchange);
	else if (pr_slice_starts_with(exchange->http->path,
				      PR_SLICE("/v1/kv/")))
		engine_kv(engine, exchange);
	else
		standin_answer_error(exchange, 404, "not_found", "not_run");
}

static void take_number(uint32_t *out, const json_t *fields, const char *name)
{
	const json_t *value = json_object_get(fields, name);

	if (json_is_integer(value) && json_integer_value(value) >= 0)
		*out = (uint32_t)json_integer_value(value);
}

static void control_cold(engine_t *engine, const json_t *fields)
{
	const json_t *cold = json_object_get(fields, "cold");
	const json_t *breaks = json_object_get(fields, "fall_breaks");

	take_number(&engine->cold_ms, fields, "cold_ms");
	take_number(&engine->cold_slots, fields, "cold_slots");
	take_number(&engine->cold_factor, fields, "cold_factor");
	take_number(&engine->fall_ms, fields, "fall_ms");
	if (json_is_boolean(breaks))
		engine->fall_breaks = json_is_true(breaks);
	if (json_is_true(cold))
		engine_chill(engine);
	if (json_is_false(cold))
		engine->cold_until = engine->fallen_until = 0;
	if (json_is_true(json_object_get(fields, "fall")))
		engine_fall(engine);
}

static void control(const json_t *fields, void *data)
{
	engine_t *engine = data;
	json_t *versions = json_object_get(fields, "versions");
	const json_t *gap = json_object_get(fields, "events_gap");
	const char *name;
	json_t *version;

	take_number(&engine->slots, fields, "slots");
	take_number(&engine->queue_max, fields, "queue_max");
	take_number(&engine->load_lag_ms, fields, "load_lag_ms");
	take_number(&engine->load_ms, fields, "load_ms");
	take_number(&engine->cache.lag_ms, fields, "events_lag_ms");
	if (json_is_number(gap))
		engine->cache.gap_share = json_number_value(gap);
	json_object_foreach(versions, name, version)
	{
		if (engine_version_set(engine, name, version))
			pr_log(PR_LOG_WARNING, "%s", pr_error_last());
	}
	control_cold(engine, fields);
}

static void record(json_t *out, const standin_exchange_t *exchange, void *data)
{
	engine_t *engine = data;

	json_object_set_new(out, "running", json_integer(engine->active.count));
	json_object_set_new(out, "queued", json_integer(engine->queued.count));
	json_object_set_new(out, "cold", json_boolean(engine_is_cold(engine)));
	json_object_set_new(out, "cold_most", json_integer(engine->cold_most));
	json_object_set_new(out, "role", json_string(engine->role));
	json_object_set_new(out, "fence", json_integer(engine->fence));
}

static void start(void *data)
{
	engine_t *engine = data;

	engine_load_start(engine);
	engine_chill(engine);
}

static const standin_ops_t ops = {
	.handle = handle,
	.control = control,
	.record = record,
	.start = start,
};

/* Reads "model@version[:quality=Q,first_ms=N,between_ms=N,errors=E]". */
static int read_version(engine_t *engine, const char *text)
{
	char copy[FIELD_BYTES];
	json_t *fields;
	char *rest, *part, *save = NULL;
	int rc;

	if (pr_slice_copy(copy, sizeof(copy), pr_slice_of(text)))
		return pr_error_set(PR_EINVALID, "--serve %s is too long",
				    text);
	fields = json_object();
	rest = strchr(copy, ':');
	if (rest)
		*rest++ = '\0';
	for (part = strtok_r(rest ? rest : copy + strlen(copy), ",", &save);
	     part; part = strtok_r(NULL, ",", &save)) {
		char *equals = strchr(part, '=');
		double value;

		if (!equals) {
			json_decref(fields);
			return pr_error_set(PR_EINVALID,
					    "--serve: %s lacks a value", part);
		}
		*equals++ = '\0';
		value = strtod(equals, NULL);
		json_object_set_new(fields, part,
				    strstr(part, "_ms")
					    ? json_integer((json_int_t)value)
					    : json_real(value));
	}
	rc = engine_version_set(engine, copy, fields);
	json_decref(fields);
	return rc;
}

static void set_defaults(engine_t *engine)
{
	engine->slots = SLOTS;
	engine->queue_max = QUEUE_MAX;
	engine->cold_slots = COLD_SLOTS;
	engine->cold_factor = COLD_FACTOR;
	engine->fall_ms = FALL_MS;
	engine->load_ms = LOAD_MS;
	snprintf(engine->role, sizeof(engine->role), "serve");
}

static int set_up(engine_t *engine, int argc, char **argv,
		  standin_options_t *options)
{
	struct arg_str *serve = arg_strn(
		NULL, "serve", "MODEL@VERSION[:FIELDS]", 1, VERSIONS_MAX,
		"quality=Q,first_ms=N,between_ms=N,errors=E");
	struct arg_int *slots = arg_int0(NULL, "slots", "N", "runs at once");
	struct arg_int *blocks =
		arg_int0(NULL, "cache-blocks", "N", "prefix cache size");
	struct arg_int *cold = arg_int0(NULL, "cold-ms", "MS",
					"cold time after start (default 5000)");
	struct arg_lit *fencing =
		arg_lit0(NULL, "fencing", "refuse orders with an old fence");
	void *extra[] = { serve, slots, blocks, cold, fencing };
	int rc;

	set_defaults(engine);
	slots->ival[0] = SLOTS;
	blocks->ival[0] = CACHE_BLOCKS;
	cold->ival[0] = COLD_MS;
	rc = standin_parse(options, argc, argv, extra, 5);
	if (rc)
		goto cleanup;
	engine->slots = (uint32_t)slots->ival[0];
	engine->cold_ms = (uint32_t)cold->ival[0];
	engine->fencing = fencing->count > 0;
	for (int i = 0; i < serve->count && !rc; i++)
		rc = read_version(engine, serve->sval[i]);
	if (!rc)
		rc = pr_rand_init(&engine->rand, options->seed);
	if (!rc)
		rc = cache_init(&engine->cache, (size_t)blocks->ival[0],
				&engine->rand);
	engine->cache.lag_ms = EVENTS_LAG_MS;
	engine->memos = calloc(ENGINE_MEMOS, sizeof(memo_t));
	if (!rc && !engine->memos)
		rc = pr_error_set(PR_ENOMEM, "no memory for memos");
cleanup:
	arg_freetable(extra, 5);
	return rc;
}

int main(int argc, char **argv)
{
	static engine_t engine;
	standin_options_t options = { 0 };
	int rc = set_up(&engine, argc, argv, &options);

	if (rc < 0)
		pr_log(PR_LOG_ERR, "%s", pr_error_last());
	if (rc)
		return rc < 0 ? EXIT_FAILURE : EXIT_SUCCESS;
	return standin_run(&engine.standin, &options, &ops, &engine);
}
