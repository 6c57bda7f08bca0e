/* Versions, cold start, orders, load report, KV export and import. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "../common/text.h"
#include "engine.h"
#include "pistachiorack/error.h"

#define FIRST_MS   20
#define BETWEEN_MS 2
#define QUALITY    0.9

typedef struct load_t {
	pr_timer_t timer;
	engine_t *engine;
	char name[ENGINE_NAME_BYTES];
} load_t;

static version_t *find_version(engine_t *engine, const char *name)
{
	for (size_t i = 0; i < engine->versions_count; i++)
		if (strcmp(engine->versions[i].name, name) == 0)
			return &engine->versions[i];
	return NULL;
}

version_t *engine_version(engine_t *engine, const char *name)
{
	version_t *exact = find_version(engine, name);
	size_t len = strlen(name);

	if (exact)
		return exact->loaded ? exact : NULL;
	for (size_t i = 0; i < engine->versions_count; i++) {
		version_t *version = &engine->versions[i];

		if (version->loaded && strncmp(version->name, name, len) == 0 &&
		    version->name[len] == '@')
			return version;
	}
	return NULL;
}

static void set_number(uint32_t *out, const json_t *fields, const char *name)
{
	const json_t *value = json_object_get(fields, name);

	if (json_is_integer(value) && json_integer_value(value) >= 0)
		*out = (uint32_t)json_integer_value(value);
}

static void set_real(double *out, const json_t *fields, const char *name)
{
	const json_t *value = json_object_get(fields, name);

	if (json_is_number(value))
		*out = json_number_value(value);
}

int engine_version_set(engine_t *engine, const char *name, const json_t *fields)
{
	version_t *version = find_version(engine, name);

	if (!strchr(name, '@'))
		return pr_error_set(PR_EINVALID, "%s is not MODEL@VERSION",
				    name);
	if (!version) {
		if (engine->versions_count == ENGINE_VERSIONS_MAX)
			return pr_error_set(PR_EFULL, "too many versions");
		version = &engine->versions[engine->versions_count];
		*version = (version_t){
			.loaded = true,
			.quality = QUALITY,
			.first_ms = FIRST_MS,
			.between_ms = BETWEEN_MS,
		};
		if (pr_slice_copy(version->name, sizeof(version->name),
				  pr_slice_of(name)))
			return pr_error_set(PR_EINVALID, "name is too long");
		engine->versions_count++;
	}
	set_real(&version->quality, fields, "quality");
	set_real(&version->errors, fields, "errors");
	set_number(&version->first_ms, fields, "first_ms");
	set_number(&version->between_ms, fields, "between_ms");
	return 0;
}

void engine_chill(engine_t *engine)
{
	pr_usec_t now = standin_now(&engine->standin);

	engine->cold_until = now + engine->cold_ms * PR_USEC_PER_MSEC;
	cache_clear(&engine->cache, now);
}

bool engine_is_cold(engine_t *engine)
{
	return standin_now(&engine->standin) < engine->cold_until;
}

bool engine_is_fallen(engine_t *engine)
{
	return standin_now(&engine->standin) < engine->fallen_until;
}

void engine_memo_add(engine_t *engine, const char *attempt, const char *version,
		     pr_slice_t prompt, uint32_t count)
{
	memo_t *memo = &engine->memos[engine->memos_next++ % ENGINE_MEMOS];

	pr_slice_copy(memo->attempt, sizeof(memo->attempt),
		      pr_slice_of(attempt));
	pr_slice_copy(memo->version, sizeof(memo->version),
		      pr_slice_of(version));
	pr_str_clear(&memo->prompt);
	pr_str_append(&memo->prompt, prompt.ptr, prompt.len);
	memo->count = count;
}

const memo_t *engine_memo(const engine_t *engine, const char *attempt)
{
	for (size_t i = 0; i < ENGINE_MEMOS; i++)
		if (strcmp(engine->memos[i].attempt, attempt) == 0)
			return &engine->memos[i];
	return NULL;
}

static void kv_import(engine_t *engine, standin_exchange_t *exchange,
		      const char *attempt)
{
	const char *version = standin_field(exchange, "version", NULL);
	const char *prompt = standin_field(exchange, "prompt", NULL);
	json_int_t count =
		json_integer_value(json_object_get(exchange->json, "count"));

	if (!version || !prompt || count < 1 || count > STANDIN_TOKENS_MAX) {
		standin_answer_error(exchange, 400, "bad_request", "not_run");
		return;
	}
	engine_memo_add(engine, attempt, version, pr_slice_of(prompt),
			(uint32_t)count);
	cache_touch(&engine->cache, pr_slice_of(version), pr_slice_of(prompt),
		    standin_now(&engine->standin));
	standin_record_count(&engine->standin.record, "kv_imported");
	standin_answer(exchange, 200, json_pack("{s:b}", "ok", 1));
}

void engine_kv(engine_t *engine, standin_exchange_t *exchange)
{
	char attempt[ENGINE_NAME_BYTES];
	pr_slice_t path = exchange->http->path;
	size_t skip = strlen("/v1/kv/");
	const memo_t *memo;

	if (path.len == skip ||
	    pr_slice_copy(attempt, sizeof(attempt),
			  pr_slice(path.ptr + skip, path.len - skip))) {
		standin_answer_error(exchange, 400, "bad_request", "not_run");
		return;
	}
	if (pr_slice_equal(exchange->http->method, PR_SLICE("PUT"))) {
		kv_import(engine, exchange, attempt);
		return;
	}
	memo = engine_memo(engine, attempt);
	if (!memo) {
		standin_answer_error(exchange, 404, "unknown_attempt",
				     "not_run");
		return;
	}
	standin_record_count(&engine->standin.record, "kv_exported");
	standin_answer(exchange, 200,
		       json_pack("{s:s,s:s,s:s,s:i}", "attempt", attempt,
				 "version", memo->version, "prompt",
				 pr_str_cstr(&memo->prompt), "count",
				 (int)memo->count));
}

static void on_loaded(pr_timer_t *timer, pr_usec_t now)
{
	load_t *load = timer->data;
	version_t *version;

	engine_version_set(load->engine, load->name, NULL);
	version = find_version(load->engine, load->name);
	if (version)
		version->loaded = true;
	free(load);
}

static void begin_load(engine_t *engine, const char *name)
{
	load_t *load = calloc(1, sizeof(*load));

	if (!load)
		return;
	load->engine = engine;
	load->timer.data = load;
	snprintf(load->name, sizeof(load->name), "%s", name);
	standin_after(&engine->standin, &load->timer,
		      engine->load_ms * PR_USEC_PER_MSEC, 0, on_loaded);
}

/* @return 0, or PR_EINVALID for an order that is not known */
static int apply_order(engine_t *engine, standin_exchange_t *exchange,
		       const char *order)
{
	char name[ENGINE_NAME_BYTES];
	version_t *version;

	if (strcmp(order, "role") == 0)
		return pr_slice_copy(
			engine->role, sizeof(engine->role),
			pr_slice_of(standin_field(exchange, "role", "serve")));
	if (snprintf(name, sizeof(name), "%s@%s",
		     standin_field(exchange, "model", ""),
		     standin_field(exchange, "version", "")) >=
	    (int)sizeof(name))
		return PR_EINVALID;
	if (strcmp(order, "load") == 0) {
		begin_load(engine, name);
		return 0;
	}
	version = find_version(engine, name);
	if (strcmp(order, "unload") != 0 || !version)
		return PR_EINVALID;
	version->loaded = false;
	return 0;
}

void engine_order(engine_t *engine, standin_exchange_t *exchange)
{
	const char *order = standin_field(exchange, "order", "");
	int64_t fence =
		json_integer_value(json_object_get(exchange->json, "fence"));
	bool stale = fence < engine->fence;
	bool refused = stale && engine->fencing;
	int rc = 0;

	if (!stale)
		engine->fence = fence;
	if (!refused)
		rc = apply_order(engine, exchange, order);
	standin_record_add(&engine->standin.record,
			   json_pack("{s:s,s:s,s:s,s:s,s:I,s:b,s:b}", "kind",
				     "order", "order", order, "model",
				     standin_field(exchange, "model", ""),
				     "version",
				     standin_field(exchange, "version", ""),
				     "fence", (json_int_t)fence, "stale", stale,
				     "applied", !refused && !rc));
	if (refused)
		standin_answer_error(exchange, 409, "stale_fence", "not_run");
	else if (rc)
		standin_answer_error(exchange, 400, "bad_request", "not_run");
	else
		standin_answer(exchange, 200, json_pack("{s:b}", "ok", 1));
}

static void on_sample(pr_timer_t *timer, pr_usec_t now)
{
	engine_t *engine = timer->data;

	engine->samples[engine->samples_next++ % ENGINE_SAMPLES] = (sample_t){
		.at = now,
		.running = engine->active.count,
		.queued = engine->queued.count,
	};
}

void engine_load_start(engine_t *engine)
{
	engine->sampler.data = engine;
	standin_after(&engine->standin, &engine->sampler, 0,
		      ENGINE_SAMPLE_MS * PR_USEC_PER_MSEC, on_sample);
}

/* The newest sample that is at least as old as the lag. */
static sample_t lagging_sample(engine_t *engine)
{
	pr_usec_t now = standin_now(&engine->standin);
	sample_t best = { .at = now };

	if (!engine->load_lag_ms) {
		best.running = engine->active.count;
		best.queued = engine->queued.count;
		return best;
	}
	for (uint64_t back = 1; back <= ENGINE_SAMPLES; back++) {
		const sample_t *sample;

		if (back > engine->samples_next)
			break;
		sample = &engine->samples[(engine->samples_next - back) %
					  ENGINE_SAMPLES];
		best = *sample;
		if (sample->at + engine->load_lag_ms * PR_USEC_PER_MSEC <= now)
			break;
	}
	return best;
}

void engine_load(engine_t *engine, standin_exchange_t *exchange)
{
	sample_t sample = lagging_sample(engine);
	json_t *versions = json_array();
	pr_usec_t now = standin_now(&engine->standin);

	for (size_t i = 0; i < engine->versions_count; i++)
		if (engine->versions[i].loaded)
			json_array_append_new(
				versions,
				json_string(engine->versions[i].name));
	standin_answer(exchange, 200,
		       json_pack("{s:i,s:i,s:i,s:I,s:s,s:o}", "running",
				 (int)sample.running, "queued",
				 (int)sample.queued, "slots",
				 (int)engine->slots, "age_ms",
				 (json_int_t)((now - sample.at) / 1000), "role",
				 engine->role, "versions", versions));
}
