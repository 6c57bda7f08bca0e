/*
 * Virtual time for tests of slices: an event queue, hosts that can be killed
 * and paused, a table store with faults, and a message queue that may drop,
 * delay and duplicate. Everything follows from one seed.
 */
#ifndef FAKE_WORLD_H
#define FAKE_WORLD_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/rand.h"
#include "pistachiorack/store.h"
#include "pistachiorack/timer.h"

#define FAKE_HOSTS    5
#define FAKE_ROWS_MAX 4096
/* Host number of events that belong to no host. */
#define FAKE_NOBODY (-1)

typedef struct fake_world_t fake_world_t;

typedef struct fake_event_t {
	struct fake_event_t *next;
	pr_usec_t at;
	int host;
	/* Dropped when the host was killed since. */
	int life;
	void (*run)(fake_world_t *world, struct fake_event_t *event);
	int from;
	uint64_t number;
	pr_store_status_t status;
	size_t count;
	bool read;
	bool late;
	pr_store_result_t *results;
	pr_store_op_t *ops;
	/* Owned bytes: a message, or copies for the ops and results. */
	pr_str_t bytes;
	char **copies;
	size_t copies_count;
} fake_event_t;

typedef struct fake_row_t {
	char *table, *key, *value;
	uint64_t version;
	int inserts;
} fake_row_t;

typedef struct fake_host_t {
	bool dead;
	int life;
	pr_usec_t paused_until;
	pr_timers_t timers;
	char name[16];
} fake_host_t;

struct fake_world_t {
	pr_rand_t rand;
	pr_usec_t now;
	fake_event_t *events;
	fake_host_t hosts[FAKE_HOSTS];
	fake_row_t rows[FAKE_ROWS_MAX];
	size_t rows_count;
	/* Store faults. */
	pr_usec_t down_until, slow_until;
	int lose_answers;
	/* Message faults, in 1/100. */
	uint32_t drop, duplicate;
	uint64_t commits, reads, steps;
	/* Called before each step; the place where faults are injected. */
	void (*on_step)(fake_world_t *world);
	void (*on_committed)(fake_world_t *world, fake_event_t *event);
	void (*on_message)(fake_world_t *world, fake_event_t *event);
	void *test;
};

static inline void fake_world_init(fake_world_t *world, uint64_t seed)
{
	memset(world, 0, sizeof(*world));
	if (pr_rand_init(&world->rand, seed))
		abort();
	for (int i = 0; i < FAKE_HOSTS; i++) {
		pr_timers_init(&world->hosts[i].timers, 0);
		snprintf(world->hosts[i].name, 16, "h%d", i);
	}
}

static inline void fake_event_free(fake_event_t *event)
{
	for (size_t i = 0; i < event->copies_count; i++)
		free(event->copies[i]);
	pr_str_finish(&event->bytes);
	free((void *)event->copies);
	free(event->results);
	free(event->ops);
	free(event);
}

static inline void fake_world_finish(fake_world_t *world)
{
	while (world->events) {
		fake_event_t *event = world->events;

		world->events = event->next;
		fake_event_free(event);
	}
	for (size_t i = 0; i < world->rows_count; i++) {
		free(world->rows[i].table);
		free(world->rows[i].key);
		free(world->rows[i].value);
	}
	for (int i = 0; i < FAKE_HOSTS; i++)
		pr_timers_finish(&world->hosts[i].timers);
	pr_rand_finish(&world->rand);
}

static inline int fake_host_number(pr_slice_t name)
{
	return name.len == 2 ? name.ptr[1] - '0' : FAKE_NOBODY;
}

static inline pr_usec_t fake_jitter(fake_world_t *world, pr_usec_t most)
{
	return pr_rand_below(&world->rand, (uint32_t)most) + 1;
}

static inline void fake_queue(fake_world_t *world, fake_event_t *event)
{
	fake_event_t **at = &world->events;

	while (*at && (*at)->at <= event->at)
		at = &(*at)->next;
	event->next = *at;
	*at = event;
}

static inline fake_event_t *fake_event(fake_world_t *world, int host,
				       pr_usec_t delay,
				       void (*run)(fake_world_t *,
						   fake_event_t *))
{
	fake_event_t *event = calloc(1, sizeof(*event));

	if (!event)
		abort();
	event->host = host;
	event->life = host >= 0 ? world->hosts[host].life : 0;
	event->at = world->now + delay;
	event->run = run;
	return event;
}

/* Room for the operations or results of a commit. */
static inline void fake_event_room(fake_event_t *event, size_t count)
{
	event->count = count;
	event->results = calloc(count, sizeof(*event->results));
	event->ops = calloc(count, sizeof(*event->ops));
	event->copies = calloc(2 * count, sizeof(char *));
	if (!event->results || !event->ops || !event->copies)
		abort();
}

static inline char *fake_copy(fake_event_t *event, pr_slice_t text)
{
	char *copy = calloc(1, text.len + 1);

	if (!copy)
		abort();
	if (text.len)
		memcpy(copy, text.ptr, text.len);
	event->copies[event->copies_count++] = copy;
	return copy;
}

static inline fake_row_t *fake_row(fake_world_t *world, const char *table,
				   pr_slice_t key)
{
	for (size_t i = 0; i < world->rows_count; i++)
		if (!strcmp(world->rows[i].table, table) &&
		    pr_slice_equal(pr_slice_of(world->rows[i].key), key))
			return &world->rows[i];
	return NULL;
}

static inline void fake_row_write(fake_world_t *world, fake_row_t *row,
				  const pr_store_op_t *op)
{
	if (!row) {
		if (world->rows_count == FAKE_ROWS_MAX)
			abort();
		row = &world->rows[world->rows_count++];
		row->table = strdup(op->table);
		row->key = strndup(op->key.ptr, op->key.len);
	}
	free(row->value);
	row->value = strndup(op->value.ptr, op->value.len);
	row->version++;
}

static inline void fake_answer(fake_world_t *world, fake_event_t *event)
{
	world->on_committed(world, event);
}

/* The commit or read has reached the store. */
static inline void fake_arrive(fake_world_t *world, fake_event_t *event)
{
	fake_event_t *answer = fake_event(world, event->from,
					  fake_jitter(world, 900), fake_answer);
	bool lost = event->late;

	answer->life = event->life;
	answer->number = event->number;
	fake_event_room(answer, event->count);
	answer->read = event->read;
	if (world->now < world->down_until)
		answer->status = PR_STORE_REFUSED;
	for (size_t i = 0; i < event->count && !answer->status; i++) {
		const pr_store_op_t *op = &event->ops[i];
		fake_row_t *row = fake_row(world, op->table, op->key);
		pr_store_result_t *result = &answer->results[i];

		result->applied =
			!event->read &&
			(op->condition == PR_STORE_IF_ANY ||
			 (op->condition == PR_STORE_IF_ABSENT && !row) ||
			 (op->condition == PR_STORE_IF_VERSION && row &&
			  row->version == op->version));
		if (result->applied)
			fake_row_write(world, row, op);
		row = fake_row(world, op->table, op->key);
		result->version = row ? row->version : 0;
		if (row && !result->applied)
			result->value = pr_slice_of(
				fake_copy(answer, pr_slice_of(row->value)));
	}
	if (!lost && world->lose_answers) {
		world->lose_answers--;
		answer->status = PR_STORE_UNKNOWN;
		answer->at += 100 * PR_USEC_PER_MSEC;
	}
	/* The host has given up on a late commit long ago. */
	if (lost)
		fake_event_free(answer);
	else
		fake_queue(world, answer);
}

static inline void fake_store_call(fake_world_t *world, int host,
				   const pr_store_op_t *ops, size_t count,
				   uint64_t tag, bool read)
{
	bool slow = world->now < world->slow_until;
	fake_event_t *event = fake_event(world, FAKE_NOBODY,
					 slow ? 400 * PR_USEC_PER_MSEC
					      : fake_jitter(world, 900),
					 fake_arrive);

	event->from = host;
	event->life = world->hosts[host].life;
	event->number = tag;
	fake_event_room(event, count);
	event->read = read;
	event->late = slow;
	*(read ? &world->reads : &world->commits) += 1;
	for (size_t i = 0; i < count; i++) {
		event->ops[i] = ops[i];
		event->ops[i].key = pr_slice_of(fake_copy(event, ops[i].key));
		event->ops[i].value =
			pr_slice_of(fake_copy(event, ops[i].value));
	}
	if (slow) {
		fake_event_t *answer = fake_event(
			world, host, 100 * PR_USEC_PER_MSEC, fake_answer);

		answer->number = tag;
		answer->read = read;
		fake_event_room(answer, count);
		answer->status = PR_STORE_UNKNOWN;
		fake_queue(world, answer);
	}
	fake_queue(world, event);
}

static inline void fake_deliver(fake_world_t *world, fake_event_t *event)
{
	world->on_message(world, event);
}

/* Takes the bytes. */
static inline void fake_send(fake_world_t *world, int from, int to,
			     pr_str_t *bytes)
{
	uint32_t copies = 1;

	if (to < 0 || to >= FAKE_HOSTS ||
	    pr_rand_below(&world->rand, 100) < world->drop)
		copies = 0;
	else if (pr_rand_below(&world->rand, 100) < world->duplicate)
		copies = 2;
	for (uint32_t i = 0; i < copies; i++) {
		fake_event_t *event = fake_event(
			world, to, fake_jitter(world, i ? 90000 : 900),
			fake_deliver);

		event->from = from;
		pr_str_append(&event->bytes, bytes->ptr, bytes->len);
		fake_queue(world, event);
	}
	pr_str_finish(bytes);
}

/* Time of the next timer of a host that is neither dead nor paused. */
static inline int fake_next_timer(fake_world_t *world, pr_usec_t *at)
{
	int best = FAKE_NOBODY;

	*at = PR_USEC_NEVER;
	for (int i = 0; i < FAKE_HOSTS; i++) {
		fake_host_t *host = &world->hosts[i];
		pr_usec_t due = pr_timers_next(&host->timers);

		if (host->dead || due == PR_USEC_NEVER)
			continue;
		if (due < host->paused_until)
			due = host->paused_until;
		if (due < *at) {
			*at = due;
			best = i;
		}
	}
	return best;
}

static inline void fake_run_event(fake_world_t *world)
{
	fake_event_t *event = world->events;
	fake_host_t *host =
		event->host >= 0 ? &world->hosts[event->host] : NULL;

	world->events = event->next;
	if (host && world->now < host->paused_until) {
		event->at = host->paused_until;
		fake_queue(world, event);
		return;
	}
	if (!host || (!host->dead && event->life == host->life)) {
		if (host)
			pr_timers_advance(&host->timers, world->now);
		event->run(world, event);
	}
	fake_event_free(event);
}

static inline pr_usec_t fake_next(fake_world_t *world)
{
	pr_usec_t at;

	(void)fake_next_timer(world, &at);
	return world->events && world->events->at < at ? world->events->at : at;
}

/* Runs until the given time. */
static inline void fake_world_run(fake_world_t *world, pr_usec_t until)
{
	for (;;) {
		pr_usec_t timer_at, event_at;
		int host;

		if (fake_next(world) > until)
			break;
		world->steps++;
		if (world->on_step)
			world->on_step(world);
		/* A fault may have started something that comes first. */
		if (fake_next(world) > until)
			break;
		host = fake_next_timer(world, &timer_at);
		event_at = world->events ? world->events->at : PR_USEC_NEVER;
		if (event_at <= timer_at && world->events) {
			if (event_at > world->now)
				world->now = event_at;
			fake_run_event(world);
		} else if (host >= 0 && !world->hosts[host].dead) {
			if (timer_at > world->now)
				world->now = timer_at;
			if (world->now >= world->hosts[host].paused_until)
				pr_timers_advance(&world->hosts[host].timers,
						  world->now);
		}
	}
	world->now = until;
}

#endif
