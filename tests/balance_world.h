/*
 * Discrete-event simulation of engines, zones and hosts, to compare the
 * policies of src/balance on the same trace. An engine has slots, a queue, a
 * prefix cache with LRU eviction, and a cold start during which too many
 * requests crash it. Load reports are delayed and have gaps; cache events are
 * delayed and some are lost.
 */
#ifndef TESTS_BALANCE_WORLD_H
#define TESTS_BALANCE_WORLD_H

#include "pistachiorack/balance.h"
#include "pistachiorack/hash.h"

#include "fleet_fixture.h"

#define SEC           PR_USEC_PER_SEC
#define MS            PR_USEC_PER_MSEC

#define WORLD_HOSTS   8
#define WORLD_BLOCKS  8
#define CACHE_BLOCKS  100
#define SESSIONS      150
#define REQUESTS_MAX  6000
#define ATTEMPTS_MAX  3
#define COLD_TIME     (20 * SEC)
#define DOWN_TIME     (4 * SEC)
#define REPORT_PERIOD (500 * MS)
#define REPORT_LAG    (300 * MS)
#define CACHE_LAG     (200 * MS)
#define WARM_UP       (5 * SEC)
#define TOKEN_TIME    (25 * MS)
/* Bytes on the network: a prompt block, a stream event with one token. */
#define BLOCK_BYTES 2048
#define TOKEN_BYTES 200

typedef struct world_options_t {
	/** 18 engines of 3 models (A) or 12 of 2 (B), in 3 zones. */
	unsigned int engines, models;
	pr_usec_t zone_latency, region_latency;
	pr_usec_t length;
	/** Offered load as a share of all slots. */
	double load;
	/** Zone 1 is out of service from 20 s to 30 s; engines restart. */
	bool faults;
	/** Delay of a hedged second attempt; 0 for none. */
	pr_usec_t hedge_after;
} world_options_t;

typedef struct world_result_t {
	double p50, p99;
	/** Share of prompt blocks found in the engine's cache. */
	double cache_hits;
	double link_bytes;
	double attempts_each;
	unsigned int crashes, failed, requests, attempts;
} world_result_t;

enum {
	EV_ARRIVE,
	EV_REACH_ENGINE,
	EV_ENGINE_FIRST_TOKEN,
	EV_ENGINE_END,
	EV_HOST_FIRST_TOKEN,
	EV_HOST_END,
	EV_HOST_FAILURE,
	EV_MEASURE_LOAD,
	EV_LOAD_REPORT,
	EV_CACHE,
	EV_ENGINE_UP,
	EV_START_ANNOUNCED,
	EV_CRASH,
	EV_ZONE,
	EV_HEDGE,
};

typedef struct event_t {
	pr_usec_t time;
	uint64_t sequence, value;
	unsigned int kind, id;
} event_t;

/* States of an attempt. */
enum {
	TRAVELLING,
	QUEUED,
	RUNNING,
	ENDED
};

/* An attempt of a request on an engine. */
typedef struct attempt_t {
	unsigned int request, engine, epoch;
	int state;
	pr_balance_choice_t choice;
} attempt_t;

/* A request of the trace. */
typedef struct job_t {
	pr_usec_t arrival, first;
	unsigned int host, session, tokens, attempts;
	bool batch, failed;
	const pr_balance_upstream_t *tried[ATTEMPTS_MAX];
} job_t;

typedef struct engine_t {
	unsigned int zone, epoch, running, queued;
	bool down;
	pr_usec_t up_at, no_reports_until;
	uint64_t cache[CACHE_BLOCKS];
	pr_usec_t used[CACHE_BLOCKS];
	/** Attempts that are queued or running, in order of arrival. */
	unsigned int attempts[1024];
	unsigned int count;
} engine_t;

typedef struct world_t {
	world_options_t options;
	pr_fleet_t *fleet;
	pr_balance_t balances[WORLD_HOSTS];
	engine_t engines[24];
	job_t jobs[REQUESTS_MAX];
	unsigned int jobs_count;
	attempt_t attempts[REQUESTS_MAX * ATTEMPTS_MAX];
	unsigned int attempts_count;
	event_t *heap;
	size_t heap_count, heap_cap;
	uint64_t sequence;
	pr_rand_t rand, world_rand;
	pr_usec_t now;
	uint64_t blocks, hits;
	world_result_t result;
} world_t;

static bool is_before(const event_t *a, const event_t *b)
{
	return a->time != b->time ? a->time < b->time
				  : a->sequence < b->sequence;
}

static void schedule(world_t *world, pr_usec_t time, unsigned int kind,
		     unsigned int id, uint64_t value)
{
	event_t event = { time, world->sequence++, value, kind, id };
	size_t at = world->heap_count++;

	if (world->heap_count > world->heap_cap) {
		world->heap_cap = 2 * world->heap_cap + 1024;
		world->heap =
			realloc(world->heap, world->heap_cap * sizeof(event_t));
	}
	while (at > 0 && is_before(&event, &world->heap[(at - 1) / 2])) {
		world->heap[at] = world->heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	world->heap[at] = event;
}

static event_t next_event(world_t *world)
{
	event_t first = world->heap[0];
	event_t last = world->heap[--world->heap_count];
	size_t at = 0;

	for (;;) {
		size_t child = 2 * at + 1;

		if (child >= world->heap_count)
			break;
		if (child + 1 < world->heap_count &&
		    is_before(&world->heap[child + 1], &world->heap[child]))
			child++;
		if (!is_before(&world->heap[child], &last))
			break;
		world->heap[at] = world->heap[child];
		at = child;
	}
	world->heap[at] = last;
	return first;
}

/* The first three blocks are the system prompt of the workspace, the others
 * belong to the session. */
static uint64_t block_hash(unsigned int session, unsigned int block)
{
	uint64_t parts[2] = { block < 3 ? session % 10 : 1000 + session,
			      block };

	return pr_hash64(parts, sizeof(parts), 1) | 1;
}

/* Returns true if the host and the engine are in different regions. */
static bool crosses(const attempt_t *attempt, const world_t *world)
{
	return (world->jobs[attempt->request].host % 3 == 2) !=
	       (world->engines[attempt->engine].zone == 2);
}

static pr_usec_t latency(const world_t *world, const attempt_t *attempt)
{
	unsigned int zone = world->engines[attempt->engine].zone;

	if (world->jobs[attempt->request].host % 3 == zone)
		return 100;
	return crosses(attempt, world) ? world->options.region_latency
				       : world->options.zone_latency;
}

static void send_attempt(world_t *world, unsigned int request)
{
	job_t *job = &world->jobs[request];
	pr_balance_t *balance = &world->balances[job->host];
	pr_balance_query_t query = {
		.blocks_count = WORLD_BLOCKS,
		.priority =
			job->batch ? PR_BALANCE_BATCH : PR_BALANCE_INTERACTIVE,
		.cross_region = true,
		.tried_count = job->attempts,
	};
	attempt_t *attempt = &world->attempts[world->attempts_count];
	char model[16];

	snprintf(model, sizeof(model), "m%u@1",
		 job->session % world->options.models);
	query.target = pr_slice_of(model);
	for (unsigned int i = 0; i < WORLD_BLOCKS; i++)
		query.blocks[i] = block_hash(job->session, i);
	memcpy(query.tried, job->tried, sizeof(job->tried));
	if (pr_balance_choose(balance, &attempt->choice, &query, &world->rand,
			      world->now)) {
		job->failed = true;
		return;
	}
	attempt->request = request;
	attempt->engine = (unsigned int)atoi(
		pr_balance_name(attempt->choice.upstream) + 1);
	attempt->state = TRAVELLING;
	job->tried[job->attempts++] = attempt->choice.upstream;
	world->result.attempts++;
	pr_balance_sent(balance, &attempt->choice, world->now);
	if (crosses(attempt, world))
		world->result.link_bytes += WORLD_BLOCKS * BLOCK_BYTES;
	schedule(world, world->now + latency(world, attempt), EV_REACH_ENGINE,
		 world->attempts_count++, 0);
	if (world->options.hedge_after && job->attempts == 1)
		schedule(world, world->now + world->options.hedge_after,
			 EV_HEDGE, request, 0);
}

static void remove_attempt(engine_t *engine, unsigned int id)
{
	for (unsigned int i = 0; i < engine->count; i++) {
		if (engine->attempts[i] != id)
			continue;
		memmove(&engine->attempts[i], &engine->attempts[i + 1],
			(engine->count - i - 1) * sizeof(unsigned int));
		engine->count--;
		return;
	}
}

/* Looks a block up in the cache and stores it if it is missing; hosts receive
 * the cache events with a delay. Returns true on a hit. */
static bool touch_block(world_t *world, unsigned int e, uint64_t hash)
{
	engine_t *engine = &world->engines[e];
	unsigned int oldest = 0;

	for (unsigned int i = 0; i < CACHE_BLOCKS; i++) {
		if (engine->cache[i] == hash) {
			engine->used[i] = world->now;
			return true;
		}
		if (engine->used[i] < engine->used[oldest])
			oldest = i;
	}
	if (engine->cache[oldest])
		schedule(world, world->now + CACHE_LAG, EV_CACHE, e,
			 engine->cache[oldest] & ~1ull);
	schedule(world, world->now + CACHE_LAG, EV_CACHE, e, hash);
	engine->cache[oldest] = hash;
	engine->used[oldest] = world->now;
	return false;
}

static void start_attempt(world_t *world, unsigned int id)
{
	attempt_t *attempt = &world->attempts[id];
	engine_t *engine = &world->engines[attempt->engine];
	const job_t *job = &world->jobs[attempt->request];
	double slow = 1 + 0.3 * engine->running / 8.0;
	unsigned int missed = 0;
	pr_usec_t first;

	if (world->now - engine->up_at < COLD_TIME && engine->epoch)
		slow *= 2;
	for (unsigned int i = 0; i < WORLD_BLOCKS; i++)
		missed += !touch_block(world, attempt->engine,
				       block_hash(job->session, i));
	world->blocks += WORLD_BLOCKS;
	world->hits += WORLD_BLOCKS - missed;
	attempt->state = RUNNING;
	engine->running++;
	first = world->now + (pr_usec_t)((20 + 50.0 * missed) * slow * MS);
	schedule(world, first, EV_ENGINE_FIRST_TOKEN, id, 0);
	schedule(world,
		 first + (pr_usec_t)((double)job->tokens * TOKEN_TIME * slow),
		 EV_ENGINE_END, id, 0);
}

/* Starts queued attempts in free slots: interactive ones first, then in order
 * of arrival. */
static void run_queue(world_t *world, unsigned int e)
{
	engine_t *engine = &world->engines[e];

	while (engine->running < 8 && engine->queued) {
		unsigned int best = UINT32_MAX;

		for (unsigned int i = 0; i < engine->count; i++) {
			const attempt_t *attempt =
				&world->attempts[engine->attempts[i]];

			if (attempt->state != QUEUED)
				continue;
			if (best == UINT32_MAX ||
			    !world->jobs[attempt->request].batch)
				best = engine->attempts[i];
			if (!world->jobs[attempt->request].batch)
				break;
		}
		engine->queued--;
		start_attempt(world, best);
	}
}

/* Crashes the engine: its attempts fail, and it restarts cold. */
static void crash_engine(world_t *world, unsigned int e)
{
	engine_t *engine = &world->engines[e];

	for (unsigned int i = 0; i < engine->count; i++) {
		attempt_t *attempt = &world->attempts[engine->attempts[i]];

		attempt->state = ENDED;
		schedule(world, world->now + latency(world, attempt),
			 EV_HOST_FAILURE, engine->attempts[i], PR_STAGE_SENT);
	}
	engine->count = engine->running = engine->queued = 0;
	memset(engine->cache, 0, sizeof(engine->cache));
	engine->down = true;
	engine->epoch++;
	schedule(world, world->now + DOWN_TIME, EV_ENGINE_UP, e, 0);
}

static void reach_engine(world_t *world, unsigned int id)
{
	attempt_t *attempt = &world->attempts[id];
	engine_t *engine = &world->engines[attempt->engine];
	pr_usec_t age = world->now - engine->up_at;

	if (attempt->state == ENDED)
		return;
	if (engine->down || engine->count >= 1024) {
		attempt->state = ENDED;
		schedule(world, world->now + latency(world, attempt),
			 EV_HOST_FAILURE, id, PR_STAGE_CONNECTING);
		return;
	}
	attempt->state = QUEUED;
	engine->queued++;
	engine->attempts[engine->count++] = id;
	if (engine->epoch && age < COLD_TIME &&
	    engine->count > 2 + 6 * (double)age / COLD_TIME) {
		world->result.crashes++;
		crash_engine(world, attempt->engine);
		return;
	}
	run_queue(world, attempt->engine);
}

/* Removes an attempt that ended or was cancelled from its engine. */
static void release_attempt(world_t *world, unsigned int id)
{
	attempt_t *attempt = &world->attempts[id];
	engine_t *engine = &world->engines[attempt->engine];

	if (attempt->state == QUEUED)
		engine->queued--;
	else if (attempt->state == RUNNING)
		engine->running--;
	if (attempt->state == QUEUED || attempt->state == RUNNING)
		remove_attempt(engine, id);
	attempt->state = ENDED;
	run_queue(world, attempt->engine);
}

static void receive_first_token(world_t *world, unsigned int id)
{
	attempt_t *attempt = &world->attempts[id];
	job_t *job = &world->jobs[attempt->request];
	pr_balance_t *balance = &world->balances[job->host];

	if (!attempt->choice.open)
		return;
	pr_balance_first_token(balance, &attempt->choice, world->now);
	if (!job->first)
		job->first = world->now;
	/* Cancel the other attempt of a hedged request. */
	for (unsigned int i = 0; job->attempts > 1 && i < world->attempts_count;
	     i++)
		if (world->attempts[i].request == attempt->request && i != id &&
		    world->attempts[i].choice.open) {
			pr_balance_cancelled(balance,
					     &world->attempts[i].choice,
					     world->now);
			release_attempt(world, i);
		}
}

static void receive_failure(world_t *world, unsigned int id,
			    pr_attempt_stage_t stage)
{
	attempt_t *attempt = &world->attempts[id];
	job_t *job = &world->jobs[attempt->request];

	if (!attempt->choice.open)
		return;
	pr_balance_failed(&world->balances[job->host], &attempt->choice, stage,
			  world->now);
	if (job->first || job->attempts >= ATTEMPTS_MAX)
		job->failed = true;
	else
		send_attempt(world, attempt->request);
}

static void measure_loads(world_t *world)
{
	for (unsigned int e = 0; e < world->options.engines; e++) {
		engine_t *engine = &world->engines[e];

		if (pr_rand_unit(&world->world_rand) < 0.01)
			engine->no_reports_until = world->now + 8 * SEC;
		if (!engine->down && world->now >= engine->no_reports_until &&
		    pr_rand_unit(&world->world_rand) > 0.1)
			schedule(world, world->now + REPORT_LAG, EV_LOAD_REPORT,
				 e, engine->count);
	}
	schedule(world, world->now + REPORT_PERIOD, EV_MEASURE_LOAD, 0, 0);
}

/* Delivers an event about an engine or a zone to all hosts. */
static void notify_hosts(world_t *world, const event_t *event)
{
	bool lost = event->kind == EV_CACHE &&
		    pr_rand_unit(&world->world_rand) < 0.05;

	for (unsigned int h = 0; h < WORLD_HOSTS; h++) {
		pr_balance_t *balance = &world->balances[h];
		char name[8];

		snprintf(name, sizeof(name), "u%u", event->id);
		if (event->kind == EV_LOAD_REPORT)
			pr_balance_load_report(balance, name,
					       (uint32_t)event->value,
					       world->now - REPORT_LAG);
		else if (event->kind == EV_START_ANNOUNCED)
			pr_balance_set_cold(balance, name, world->now);
		else if (event->kind == EV_ZONE)
			pr_balance_set_zone(balance, "z1", event->value,
					    world->now);
		else if (lost)
			pr_balance_cache_gap(balance, name);
		else
			pr_balance_cache_event(balance, name, event->value | 1,
					       event->value & 1);
	}
}

static void end_attempt(world_t *world, unsigned int id)
{
	attempt_t *attempt = &world->attempts[id];

	if (attempt->state != RUNNING)
		return;
	if (crosses(attempt, world))
		world->result.link_bytes +=
			world->jobs[attempt->request].tokens * TOKEN_BYTES;
	release_attempt(world, id);
	schedule(world, world->now + latency(world, attempt), EV_HOST_END, id,
		 0);
}

static void handle(world_t *world, const event_t *event)
{
	attempt_t *attempt = &world->attempts[event->id];

	switch (event->kind) {
	case EV_ARRIVE:
		send_attempt(world, event->id);
		break;
	case EV_REACH_ENGINE:
		reach_engine(world, event->id);
		break;
	case EV_ENGINE_FIRST_TOKEN:
		if (attempt->state == RUNNING)
			schedule(world, world->now + latency(world, attempt),
				 EV_HOST_FIRST_TOKEN, event->id, 0);
		break;
	case EV_ENGINE_END:
		end_attempt(world, event->id);
		break;
	case EV_HOST_FIRST_TOKEN:
		receive_first_token(world, event->id);
		break;
	case EV_HOST_END:
		pr_balance_finished(
			&world->balances[world->jobs[attempt->request].host],
			&attempt->choice, world->now);
		break;
	case EV_HOST_FAILURE:
		receive_failure(world, event->id,
				(pr_attempt_stage_t)event->value);
		break;
	case EV_MEASURE_LOAD:
		measure_loads(world);
		break;
	case EV_ENGINE_UP:
		world->engines[event->id].down = false;
		world->engines[event->id].up_at = world->now;
		/* The host list announces 70% of the starts, 1 s late. */
		if (pr_rand_unit(&world->world_rand) < 0.7)
			schedule(world, world->now + SEC, EV_START_ANNOUNCED,
				 event->id, 0);
		break;
	case EV_CRASH:
		if (!world->engines[event->id].down)
			crash_engine(world, event->id);
		break;
	case EV_HEDGE:
		if (!world->jobs[event->id].first &&
		    world->jobs[event->id].attempts == 1)
			send_attempt(world, event->id);
		break;
	default:
		notify_hosts(world, event);
	}
}

/* The trace depends only on the seed, so that all policies get the same one. */
static void make_trace(world_t *world, uint64_t seed)
{
	const world_options_t *options = &world->options;
	/* An attempt occupies one of the 8 slots of an engine for 2.6 s on
	 * average: first token and 80 tokens, under load. */
	double rate = options->load * options->engines * 8 / 2.6;
	double now = 0;
	pr_rand_t rand;

	pr_rand_init(&rand, seed);
	while (world->jobs_count < REQUESTS_MAX) {
		job_t *job = &world->jobs[world->jobs_count];

		now += pr_rand_exponential(&rand, (double)SEC / rate);
		if (now >= (double)options->length)
			break;
		job->arrival = (pr_usec_t)now;
		job->host = pr_rand_below(&rand, WORLD_HOSTS);
		/* The product makes low numbers frequent, so that some
		 * workspaces and sessions are large. */
		job->session = (unsigned int)(pr_rand_unit(&rand) *
					      pr_rand_unit(&rand) * SESSIONS);
		job->tokens = 20 + (unsigned int)pr_rand_exponential(&rand, 60);
		job->batch = pr_rand_unit(&rand) < 0.2;
		schedule(world, job->arrival, EV_ARRIVE, world->jobs_count++,
			 0);
	}
	schedule(world, 1, EV_MEASURE_LOAD, 0, 0);
	for (unsigned int i = 0; options->faults && i < 4; i++)
		schedule(world, (8 + 7 * (pr_usec_t)i) * SEC, EV_CRASH,
			 pr_rand_below(&rand, options->engines), 0);
	if (options->faults) {
		schedule(world, 20 * SEC, EV_ZONE, 0, 1);
		schedule(world, 30 * SEC, EV_ZONE, 0, 0);
	}
	pr_rand_finish(&rand);
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Computes the results; a request without a first token counts as 10 s. */
static void compute_result(world_t *world)
{
	static double times[REQUESTS_MAX];
	world_result_t *result = &world->result;

	for (unsigned int i = 0; i < world->jobs_count; i++) {
		const job_t *job = &world->jobs[i];

		if (job->arrival < WARM_UP)
			continue;
		times[result->requests++] =
			job->first ? (double)(job->first - job->arrival) / MS
				   : 10000;
		result->failed += job->failed || !job->first;
	}
	qsort(times, result->requests, sizeof(double), by_value);
	result->p50 = times[result->requests / 2];
	result->p99 = times[result->requests * 99 / 100];
	result->attempts_each = (double)result->attempts / world->jobs_count;
	result->cache_hits = (double)world->hits / (double)world->blocks;
}

static world_result_t run_world(const world_options_t *options,
				const pr_balance_options_t *policy,
				uint64_t seed)
{
	world_t *world = calloc(1, sizeof(*world));
	const char *names[] = {
		"h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7"
	};
	world_result_t result;

	world->options = *options;
	world->fleet = fixture_fleet(3, options->engines, options->models, 0);
	pr_rand_init(&world->rand, seed + 1000);
	pr_rand_init(&world->world_rand, seed + 2000);
	for (unsigned int e = 0; e < options->engines; e++)
		world->engines[e].zone = e % 3;
	for (unsigned int h = 0; h < WORLD_HOSTS; h++) {
		pr_balance_options_t own = *policy;

		own.host = names[h];
		own.zone = world->fleet->zones[h % 3].name;
		pr_balance_init(&world->balances[h], &own);
		pr_balance_configure(&world->balances[h], world->fleet, 0);
		pr_balance_set_hosts(&world->balances[h], names, WORLD_HOSTS,
				     0);
	}
	make_trace(world, seed);
	while (world->heap_count) {
		event_t event = next_event(world);

		world->now = event.time;
		if (event.time > options->length + 20 * SEC)
			break;
		handle(world, &event);
	}
	compute_result(world);
	result = world->result;
	for (unsigned int h = 0; h < WORLD_HOSTS; h++)
		pr_balance_finish(&world->balances[h]);
	pr_rand_finish(&world->rand);
	pr_rand_finish(&world->world_rand);
	fixture_free(world->fleet);
	free(world->heap);
	free(world);
	return result;
}

#endif
