/**
 * Parts of the engine stand-in: versions, runs, prefix cache, orders, load.
 */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "../common/cache.h"
#include "../common/standin.h"
#include "pistachiorack/rand.h"

#define ENGINE_VERSIONS_MAX 64
#define ENGINE_NAME_BYTES   128
#define ENGINE_SAMPLES      512
#define ENGINE_SAMPLE_MS    25
/** Runs that resume and KV export know; bounds the memory for prompts. */
#define ENGINE_MEMOS 4000

/** A model version that the engine can serve. */
typedef struct version_t {
	/** "model@version". */
	char name[ENGINE_NAME_BYTES];
	bool loaded;
	/** Share of good answers; for the record only. */
	double quality;
	/** Share of runs that fail with 500 after their work. */
	double errors;
	uint32_t first_ms;
	uint32_t between_ms;
} version_t;

typedef struct engine_t engine_t;

/** One request that waits for a slot or is worked on. */
typedef struct run_t {
	struct run_t *prev, *next;
	engine_t *engine;
	/** NULL once the caller has left. */
	standin_exchange_t *exchange;
	const version_t *version;
	char attempt[ENGINE_NAME_BYTES];
	/** Attempt that is resumed, or "". */
	char resumed[ENGINE_NAME_BYTES];
	char workspace[ENGINE_NAME_BYTES];
	pr_str_t prompt;
	uint64_t seed;
	/** Tokens of the whole answer, and the first one of this run. */
	uint32_t count;
	uint32_t from;
	/** Next token to produce. */
	uint32_t next_token;
	double hit;
	bool stream;
	bool interactive;
	bool active;
	bool cold;
	pr_usec_t arrived;
	pr_usec_t first_due;
	pr_usec_t between;
	pr_timer_t timer;
} run_t;

typedef struct run_list_t {
	run_t *first, *last;
	uint32_t count;
} run_list_t;

/** What is kept of a run for resume and KV export. */
typedef struct memo_t {
	char attempt[ENGINE_NAME_BYTES];
	char version[ENGINE_NAME_BYTES];
	pr_str_t prompt;
	uint32_t count;
} memo_t;

typedef struct sample_t {
	pr_usec_t at;
	uint32_t running;
	uint32_t queued;
} sample_t;

struct engine_t {
	standin_t standin;
	pr_rand_t rand;
	version_t versions[ENGINE_VERSIONS_MAX];
	size_t versions_count;
	uint32_t slots;
	uint32_t queue_max;
	run_list_t active;
	run_list_t queued;
	/* Cold start. */
	uint32_t cold_slots;
	uint32_t cold_ms;
	uint32_t cold_factor;
	/** Most runs and queued requests at once while cold. */
	uint32_t cold_most;
	uint32_t fall_ms;
	bool fall_breaks;
	/** Set while all runs are broken; no queued run may start then. */
	bool falling;
	pr_usec_t cold_until;
	pr_usec_t fallen_until;
	/* Orders. */
	bool fencing;
	int64_t fence;
	uint32_t load_ms;
	char role[32];
	/* Load report. */
	uint32_t load_lag_ms;
	sample_t samples[ENGINE_SAMPLES];
	uint64_t samples_next;
	pr_timer_t sampler;
	memo_t *memos;
	uint64_t memos_next;
	cache_t cache;
};

/** @return the version by "model@version", or the first loaded of a model */
version_t *engine_version(engine_t *engine, const char *name);
/** Set fields of a version from JSON; adds the version when it is new. */
int engine_version_set(engine_t *engine, const char *name,
		       const json_t *fields);

/** Take a chat request or, with `resumed`, a resume request. */
void engine_chat(engine_t *engine, standin_exchange_t *exchange, bool resume);
/** @return true when a run with this attempt id was waiting or worked on */
bool engine_cancel(engine_t *engine, const char *attempt);
/** Break all work, as an engine does that falls over. */
void engine_fall(engine_t *engine);
/** Make the engine cold from now on. */
void engine_chill(engine_t *engine);
bool engine_is_cold(engine_t *engine);
bool engine_is_fallen(engine_t *engine);

void engine_memo_add(engine_t *engine, const char *attempt, const char *version,
		     pr_slice_t prompt, uint32_t count);
const memo_t *engine_memo(const engine_t *engine, const char *attempt);
void engine_kv(engine_t *engine, standin_exchange_t *exchange);
void engine_order(engine_t *engine, standin_exchange_t *exchange);
void engine_load(engine_t *engine, standin_exchange_t *exchange);
void engine_load_start(engine_t *engine);

#endif
