/*
 * A world of engines, zones and hosts in virtual time, for comparing policies
 * of src/balance on one trace. Engines have slots, queues, a prefix cache that
 * forgets the oldest blocks, and a cold start in which too much work brings
 * them down. Load reports lag and have gaps; cache events are late and some
 * are lost.
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
/* Bytes over the wire: a prompt block, an event with one token. */
#define BLOCK_BYTES 2048
#define TOKEN_BYTES 200

typedef struct world_options_t {
	/** 18 engines of 3 models (A) or 12 of 2 (B), in 3 zones. */
	unsigned int engines, models;
	pr_usec_t zone_latency, region_latency;
	pr_usec_t length;
	/** Offered load as a part of all slots. */
	double load;
	/** Zone 1 is out from 20 s to 30 s; engines restart. */
	bool faults;
	/** 0, or the delay of a second attempt. */
	pr_usec_t hedge_after;
} world_options_t;

typedef struct world_result_t {
	double p50, p99;
	/** Share of prompt blocks found in a cache. */
	double cache_hits;
	double link_bytes;
	double attempts_each;
	unsigned int falls, failed, requests, attempts;
} world_result_t;

enum {
	E_ARRIVE,
	E_REACH,
	E_FIRST,
	E_END,
	E_GOT_FIRST,
	E_GOT_END,
	E_GOT_FAIL,
	E_REPORT,
	E_SEEN,
	E_CACHE,
	E_UP,
	E_TOLD,
	E_CRASH,
	E_ZONE,
	E_HEDGE,
};

typedef struct event_t {
	pr_usec_t time;
	uint64_t sequence, value;
	unsigned int kind, id;
} event_t;

enum {
	TRAVELLING,
	QUEUED,
	RUNNING,
	GONE
};

typedef struct try_t {
	unsigned int request, engine, epoch;
	int place;
	pr_balance_choice_t choice;
} try_t;

typedef struct job_t {
	pr_usec_t arrival, first;
	unsigned int host, session, tokens, tries;
	bool batch, failed;
	const pr_balance_upstream_t *tried[ATTEMPTS_MAX];
} job_t;

typedef struct engine_t {
	unsigned int zone, epoch, running, queued;
	bool down;
	pr_usec_t up_at, silent_until;
	uint64_t cache[CACHE_BLOCKS];
	pr_usec_t used[CACHE_BLOCKS];
	/** Tries that are queued or running, in order of arrival. */
	unsigned int tries[1024];
	unsigned int count;
} engine_t;

typedef struct world_t {
	world_options_t options;
	pr_fleet_t *fleet;
	pr_balance_t balances[WORLD_HOSTS];
	engine_t engines[24];
	job_t jobs[REQUESTS_MAX];
	unsigned int jobs_count;
	try_t tries[REQUESTS_MAX * ATTEMPTS_MAX];
	unsigned int tries_count;
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

/* Three blocks are the workspace's system prompt, the rest the session's. */
static uint64_t block_hash(unsigned int session, unsigned int block)
{
	uint64_t parts[2] = { block < 3 ? session % 10 : 1000 + session,
			      block };

	return pr_hash64(parts, sizeof(parts), 1) | 1;
}

static bool crosses(const try_t *try, const world_t *world)
{
	return (world->jobs[try->request].host % 3 == 2) !=
	       (world->engines[try->engine].zone == 2);
}

static pr_usec_t latency(const world_t *world, const try_t *try)
{
	unsigned int zone = world->engines[try->engine].zone;

	if (world->jobs[try->request].host % 3 == zone)
		return 100;
	return crosses(try, world) ? world->options.region_latency
				   : world->options.zone_latency;
}

static void send_try(world_t *world, unsigned int request)
{
	job_t *job = &world->jobs[request];
	pr_balance_t *balance = &world->balances[job->host];
	pr_balance_query_t query = {
		.blocks_count = WORLD_BLOCKS,
		.priority =
			job->batch ? PR_BALANCE_BATCH : PR_BALANCE_INTERACTIVE,
		.cross_region = true,
		.tried_count = job->tries,
	};
	try_t *try = &world->tries[world->tries_count];
	char model[16];

	snprintf(model, sizeof(model), "m%u@1",
		 job->session % world->options.models);
	query.target = pr_slice_of(model);
	for (unsigned int i = 0; i < WORLD_BLOCKS; i++)
		query.blocks[i] = block_hash(job->session, i);
	memcpy(query.tried, job->tried, sizeof(job->tried));
	if (pr_balance_choose(balance, &try->choice, &query, &world->rand,
			      world->now)) {
		job->failed = true;
		return;
	}
	try->request = request;
	try->engine =
		(unsigned int)atoi(pr_balance_name(try->choice.upstream) + 1);
	try->place = TRAVELLING;
	job->tried[job->tries++] = try->choice.upstream;
	world->result.attempts++;
	pr_balance_sent(balance, &try->choice, world->now);
	if (crosses(try, world))
		world->result.link_bytes += WORLD_BLOCKS * BLOCK_BYTES;
	schedule(world, world->now + latency(world, try), E_REACH,
		 world->tries_count++, 0);
	if (world->options.hedge_after && job->tries == 1)
		schedule(world, world->now + world->options.hedge_after,
			 E_HEDGE, request, 0);
}

static void forget_try(engine_t *engine, unsigned int id)
{
	for (unsigned int i = 0; i < engine->count; i++) {
		if (engine->tries[i] != id)
			continue;
		memmove(&engine->tries[i], &engine->tries[i + 1],
			(engine->count - i - 1) * sizeof(unsigned int));
		engine->count--;
		return;
	}
}

/* Look a block up and store it; the events go to the hosts, late. */
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
		schedule(world, world->now + CACHE_LAG, E_CACHE, e,
			 engine->cache[oldest] & ~1ull);
	schedule(world, world->now + CACHE_LAG, E_CACHE, e, hash);
	engine->cache[oldest] = hash;
	engine->used[oldest] = world->now;
	return false;
}

static void run_try(world_t *world, unsigned int id)
{
	try_t *try = &world->tries[id];
	engine_t *engine = &world->engines[try->engine];
	const job_t *job = &world->jobs[try->request];
	double slow = 1 + 0.3 * engine->running / 8.0;
	unsigned int missed = 0;
	pr_usec_t first;

	if (world->now - engine->up_at < COLD_TIME && engine->epoch)
		slow *= 2;
	for (unsigned int i = 0; i < WORLD_BLOCKS; i++)
		missed += !touch_block(world, try->engine,
				       block_hash(job->session, i));
	world->blocks += WORLD_BLOCKS;
	world->hits += WORLD_BLOCKS - missed;
	try->place = RUNNING;
	engine->running++;
	first = world->now + (pr_usec_t)((20 + 50.0 * missed) * slow * MS);
	schedule(world, first, E_FIRST, id, 0);
	schedule(world,
		 first + (pr_usec_t)((double)job->tokens * TOKEN_TIME * slow),
		 E_END, id, 0);
}

/* Interactive work first, then by arrival. */
static void run_queue(world_t *world, unsigned int e)
{
	engine_t *engine = &world->engines[e];

	while (engine->running < 8 && engine->queued) {
		unsigned int best = UINT32_MAX;

		for (unsigned int i = 0; i < engine->count; i++) {
			const try_t *try = &world->tries[engine->tries[i]];

			if (try->place != QUEUED)
				continue;
			if (best == UINT32_MAX ||
			    !world->jobs[try->request].batch)
				best = engine->tries[i];
			if (!world->jobs[try->request].batch)
				break;
		}
		engine->queued--;
		run_try(world, best);
	}
}

/* The engine falls: everything on it fails, it starts again cold. */
static void fall(world_t *world, unsigned int e)
{
	engine_t *engine = &world->engines[e];

	for (unsigned int i = 0; i < engine->count; i++) {
		try_t *try = &world->tries[engine->tries[i]];

		try->place = GONE;
		schedule(world, world->now + latency(world, try), E_GOT_FAIL,
			 engine->tries[i], PR_STAGE_SENT);
	}
	engine->count = engine->running = engine->queued = 0;
	memset(engine->cache, 0, sizeof(engine->cache));
	engine->down = true;
	engine->epoch++;
	schedule(world, world->now + DOWN_TIME, E_UP, e, 0);
}

static void reach(world_t *world, unsigned int id)
{
	try_t *try = &world->tries[id];
	engine_t *engine = &world->engines[try->engine];
	pr_usec_t age = world->now - engine->up_at;

	if (try->place == GONE)
		return;
	if (engine->down || engine->count >= 1024) {
		try->place = GONE;
		schedule(world, world->now + latency(world, try), E_GOT_FAIL,
			 id, PR_STAGE_CONNECTING);
		return;
	}
	try->place = QUEUED;
	engine->queued++;
	engine->tries[engine->count++] = id;
	if (engine->epoch && age < COLD_TIME &&
	    engine->count > 2 + 6 * (double)age / COLD_TIME) {
		world->result.falls++;
		fall(world, try->engine);
		return;
	}
	run_queue(world, try->engine);
}

/* Take a try off its engine, because it ended or was cancelled. */
static void leave_engine(world_t *world, unsigned int id)
{
	try_t *try = &world->tries[id];
	engine_t *engine = &world->engines[try->engine];

	if (try->place == QUEUED)
		engine->queued--;
	else if (try->place == RUNNING)
		engine->running--;
	if (try->place == QUEUED || try->place == RUNNING)
		forget_try(engine, id);
	try->place = GONE;
	run_queue(world, try->engine);
}

static void got_first(world_t *world, unsigned int id)
{
	try_t *try = &world->tries[id];
	job_t *job = &world->jobs[try->request];
	pr_balance_t *balance = &world->balances[job->host];

	if (!try->choice.open)
		return;
	pr_balance_first_token(balance, &try->choice, world->now);
	if (!job->first)
		job->first = world->now;
	/* The slower of two hedged attempts is cancelled. */
	for (unsigned int i = 0; job->tries > 1 && i < world->tries_count; i++)
		if (world->tries[i].request == try->request && i != id &&
		    world->tries[i].choice.open) {
			pr_balance_cancelled(balance, &world->tries[i].choice,
					     world->now);
			leave_engine(world, i);
		}
}

static void got_fail(world_t *world, unsigned int id, pr_attempt_stage_t stage)
{
	try_t *try = &world->tries[id];
	job_t *job = &world->jobs[try->request];

	if (!try->choice.open)
		return;
	pr_balance_failed(&world->balances[job->host], &try->choice, stage,
			  world->now);
	if (job->first || job->tries >= ATTEMPTS_MAX)
		job->failed = true;
	else
		send_try(world, try->request);
}

static void report(world_t *world)
{
	for (unsigned int e = 0; e < world->options.engines; e++) {
		engine_t *engine = &world->engines[e];

		if (pr_rand_unit(&world->world_rand) < 0.01)
			engine->silent_until = world->now + 8 * SEC;
		if (!engine->down && world->now >= engine->silent_until &&
		    pr_rand_unit(&world->world_rand) > 0.1)
			schedule(world, world->now + REPORT_LAG, E_SEEN, e,
				 engine->count);
	}
	schedule(world, world->now + REPORT_PERIOD, E_REPORT, 0, 0);
}

/* What all hosts hear about an engine or a zone. */
static void tell_hosts(world_t *world, const event_t *event)
{
	bool lost = event->kind == E_CACHE &&
		    pr_rand_unit(&world->world_rand) < 0.05;

	for (unsigned int h = 0; h < WORLD_HOSTS; h++) {
		pr_balance_t *balance = &world->balances[h];
		char name[8];

		snprintf(name, sizeof(name), "u%u", event->id);
		if (event->kind == E_SEEN)
			pr_balance_load_report(balance, name,
					       (uint32_t)event->value,
					       world->now - REPORT_LAG);
		else if (event->kind == E_TOLD)
			pr_balance_set_cold(balance, name, world->now);
		else if (event->kind == E_ZONE)
			pr_balance_set_zone(balance, "z1", event->value,
					    world->now);
		else if (lost)
			pr_balance_cache_gap(balance, name);
		else
			pr_balance_cache_event(balance, name, event->value | 1,
					       event->value & 1);
	}
}

static void end_try(world_t *world, unsigned int id)
{
	try_t *try = &world->tries[id];

	if (try->place != RUNNING)
		return;
	if (crosses(try, world))
		world->result.link_bytes +=
			world->jobs[try->request].tokens * TOKEN_BYTES;
	leave_engine(world, id);
	schedule(world, world->now + latency(world, try), E_GOT_END, id, 0);
}

static void handle(world_t *world, const event_t *event)
{
	try_t *try = &world->tries[event->id];

	switch (event->kind) {
	case E_ARRIVE:
		send_try(world, event->id);
		break;
	case E_REACH:
		reach(world, event->id);
		break;
	case E_FIRST:
		if (try->place == RUNNING)
			schedule(world, world->now + latency(world, try),
				 E_GOT_FIRST, event->id, 0);
		break;
	case E_END:
		end_try(world, event->id);
		break;
	case E_GOT_FIRST:
		got_first(world, event->id);
		break;
	case E_GOT_END:
		pr_balance_finished(
			&world->balances[world->jobs[try->request].host],
			&try->choice, world->now);
		break;
	case E_GOT_FAIL:
		got_fail(world, event->id, (pr_attempt_stage_t)event->value);
		break;
	case E_REPORT:
		report(world);
		break;
	case E_UP:
		world->engines[event->id].down = false;
		world->engines[event->id].up_at = world->now;
		/* The host list tells of seven starts in ten, a second late. */
		if (pr_rand_unit(&world->world_rand) < 0.7)
			schedule(world, world->now + SEC, E_TOLD, event->id, 0);
		break;
	case E_CRASH:
		if (!world->engines[event->id].down)
			fall(world, event->id);
		break;
	case E_HEDGE:
		if (!world->jobs[event->id].first &&
		    world->jobs[event->id].tries == 1)
			send_try(world, event->id);
		break;
	default:
		tell_hosts(world, event);
	}
}

/* The trace depends on the seed only, so all policies get the same one. */
static void make_trace(world_t *world, uint64_t seed)
{
	const world_options_t *options = &world->options;
	/* Mean time in a slot: first token and 80 tokens, under load. */
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
		/* Squared, so that some workspaces and sessions are large. */
		job->session = (unsigned int)(pr_rand_unit(&rand) *
					      pr_rand_unit(&rand) * SESSIONS);
		job->tokens = 20 + (unsigned int)pr_rand_exponential(&rand, 60);
		job->batch = pr_rand_unit(&rand) < 0.2;
		schedule(world, job->arrival, E_ARRIVE, world->jobs_count++, 0);
	}
	schedule(world, 1, E_REPORT, 0, 0);
	for (unsigned int i = 0; options->faults && i < 4; i++)
		schedule(world, (8 + 7 * (pr_usec_t)i) * SEC, E_CRASH,
			 pr_rand_below(&rand, options->engines), 0);
	if (options->faults) {
		schedule(world, 20 * SEC, E_ZONE, 0, 1);
		schedule(world, 30 * SEC, E_ZONE, 0, 0);
	}
	pr_rand_finish(&rand);
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* A request without a first token counts as 10 s. */
static void sum_up(world_t *world)
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
	sum_up(world);
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
