/*
 * Hosts with the claims slice, a caller that retries once and an upstream that
 * records its runs, in a fake world.
 */
#ifndef ONCE_WALK_H
#define ONCE_WALK_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "fake_world.h"
#include "pistachiorack/error.h"
#include "pistachiorack/once.h"

#define CALLS_MAX 64
#define KEYS      3
#define DEADLINE  (3 * PR_USEC_PER_SEC)

typedef enum fault_t {
	FAULT_NONE,
	FAULT_ENTRY_KILLED,
	FAULT_OWNER_KILLED,
	FAULT_OWNER_PAUSED,
	FAULT_ENTRY_PAUSED,
	FAULT_ANSWER_LOST,
	FAULT_STORE_DOWN,
	FAULT_STORE_SLOW,
	FAULT_SAME_KEY,
	FAULT_OTHER_BODY,
	FAULT_QUEUE,
	FAULTS,
} fault_t;

typedef struct call_t {
	int host, life, key;
	uint64_t request;
	char attempt[32];
	pr_usec_t deadline, sent_at, finished_at;
	int ran;
	bool started, finished, retry;
	const char *hash;
	pr_once_result_t result;
	char body[32];
} call_t;

typedef struct walk_t {
	fake_world_t world;
	pr_once_options_t options;
	pr_once_t *once[FAKE_HOSTS];
	struct context_t {
		struct walk_t *walk;
		int host;
	} contexts[FAKE_HOSTS];
	call_t calls[CALLS_MAX];
	int calls_count;
	fault_t faults[2];
	uint64_t at[2];
	/* Upstream that reports a run as not run: a fault of the fake. */
	bool upstream_lies;
	bool own_owner;
	int always_unsent;
	/* For figures: latency of each request; nothing is dispatched. */
	pr_usec_t *granted_at;
} walk_t;

static walk_t *walk_of(fake_world_t *world)
{
	return world->test;
}

static call_t *call_of(walk_t *walk, int host, uint64_t request)
{
	for (int i = 0; i < walk->calls_count; i++) {
		call_t *call = &walk->calls[i];

		if (call->host == host && call->request == request &&
		    call->life == walk->world.hosts[host].life)
			return call;
	}
	return NULL;
}

static int start_call(walk_t *walk, int host, int key, const char *hash,
		      bool retry)
{
	call_t *call = &walk->calls[walk->calls_count];
	char text[16];
	pr_once_request_options_t options = { .body_hash = pr_slice_of(hash) };
	int err;

	if (walk->calls_count == CALLS_MAX || walk->world.hosts[host].dead)
		return PR_EFULL;
	pr_timers_advance(&walk->world.hosts[host].timers, walk->world.now);
	memset(call, 0, sizeof(*call));
	call->host = host;
	call->life = walk->world.hosts[host].life;
	call->key = key;
	call->hash = hash;
	call->retry = retry;
	call->deadline = walk->world.now + DEADLINE;
	snprintf(call->attempt, sizeof(call->attempt), "a%d",
		 walk->calls_count);
	snprintf(text, sizeof(text), "w/k%d", key);
	options.key = pr_slice_of(text);
	options.attempt = pr_slice_of(call->attempt);
	options.owner = walk->own_owner ? PR_SLICE("") : PR_SLICE("h1");
	options.deadline = call->deadline;
	err = pr_once_start(walk->once[host], &call->request, &options,
			    walk->world.now);
	call->started = !err;
	walk->calls_count++;
	return err;
}

static void do_commit(void *data, const pr_store_op_t *ops, size_t count,
		      uint64_t tag)
{
	struct context_t *context = data;

	fake_store_call(&context->walk->world, context->host, ops, count, tag,
			false);
}

static void do_read(void *data, const char *table, pr_slice_t key, uint64_t tag)
{
	struct context_t *context = data;
	pr_store_op_t op = { .table = table, .key = key };

	fake_store_call(&context->walk->world, context->host, &op, 1, tag,
			true);
}

static void do_send(void *data, pr_slice_t host,
		    const pr_once_message_t *message)
{
	struct context_t *context = data;
	pr_str_t bytes = PR_STR_INIT;

	assert_int_equal(pr_once_message_encode(&bytes, message), 0);
	fake_send(&context->walk->world, context->host, fake_host_number(host),
		  &bytes);
}

static void upstream_answered(fake_world_t *world, fake_event_t *event)
{
	walk_t *walk = walk_of(world);
	call_t *call = &walk->calls[event->number];
	pr_verdict_t verdict = call->ran && !walk->upstream_lies
				       ? PR_VERDICT_RAN
				       : PR_VERDICT_NOT_RUN;

	assert_int_equal(
		pr_once_complete(walk->once[call->host], call->request, verdict,
				 200, pr_slice_of(call->attempt), world->now),
		0);
}

static void upstream_run(fake_world_t *world, fake_event_t *event)
{
	call_t *call = &walk_of(world)->calls[event->number];
	fake_event_t *answer =
		fake_event(world, call->host, 2000, upstream_answered);

	answer->life = event->life;
	answer->number = event->number;
	call->ran++;
	fake_queue(world, answer);
}

/* The connection to the upstream stands. */
static void upstream_connected(fake_world_t *world, fake_event_t *event)
{
	walk_t *walk = walk_of(world);
	call_t *call = &walk->calls[event->number];
	bool unsent =
		walk->always_unsent > 0 || pr_rand_below(&world->rand, 10) == 0;
	fake_event_t *next;

	if (pr_once_dispatch(walk->once[call->host], call->request, world->now))
		return;
	call->sent_at = world->now;
	if (unsent) {
		walk->always_unsent--;
		next = fake_event(world, call->host, 1000, upstream_answered);
	} else {
		next = fake_event(world, FAKE_NOBODY, 1000, upstream_run);
		next->life = call->life;
	}
	next->number = event->number;
	fake_queue(world, next);
}

static void do_granted(void *data, uint64_t request)
{
	struct context_t *context = data;
	walk_t *walk = context->walk;
	call_t *call = call_of(walk, context->host, request);
	fake_event_t *event;

	if (walk->granted_at) {
		walk->granted_at[request] += walk->world.now;
		return;
	}
	assert_non_null(call);
	event = fake_event(&walk->world, context->host, 500,
			   upstream_connected);
	event->number = (uint64_t)(call - walk->calls);
	fake_queue(&walk->world, event);
}

/* The caller retries once through another host. */
static void retry_now(fake_world_t *world, fake_event_t *event)
{
	walk_t *walk = walk_of(world);
	call_t *call = &walk->calls[event->number];

	(void)start_call(walk, (call->host + 2) % FAKE_HOSTS, call->key,
			 call->hash, true);
}

static void do_finished(void *data, uint64_t request,
			const pr_once_result_t *result)
{
	struct context_t *context = data;
	fake_world_t *world = &context->walk->world;
	call_t *call = call_of(context->walk, context->host, request);

	assert_non_null(call);
	assert_false(call->finished);
	call->finished = true;
	call->finished_at = world->now;
	call->result = *result;
	assert_int_equal(
		pr_slice_copy(call->body, sizeof(call->body), result->body), 0);
	if (!call->retry) {
		fake_event_t *event =
			fake_event(world, FAKE_NOBODY, 1000, retry_now);

		event->number = (uint64_t)(call - context->walk->calls);
		fake_queue(world, event);
	}
}

static const pr_once_ops_t ops = {
	.commit = do_commit,
	.read_row = do_read,
	.send = do_send,
	.granted = do_granted,
	.finished = do_finished,
};

static void on_committed(fake_world_t *world, fake_event_t *event)
{
	pr_once_t *once = walk_of(world)->once[event->host];

	if (event->read)
		pr_once_read(once, event->number, event->status, event->results,
			     world->now);
	else
		pr_once_committed(once, event->number, event->status,
				  event->results, event->count, world->now);
}

static void on_message(fake_world_t *world, fake_event_t *event)
{
	pr_once_message_t message;

	assert_int_equal(
		pr_once_message_decode(&message, pr_str_slice(&event->bytes)),
		0);
	pr_once_receive(walk_of(world)->once[event->host],
			pr_slice_of(world->hosts[event->from].name), &message,
			world->now);
}

static void open_host(walk_t *walk, int host)
{
	walk->options.ops = &ops;
	walk->options.data = &walk->contexts[host];
	walk->options.timers = &walk->world.hosts[host].timers;
	walk->options.host = walk->world.hosts[host].name;
	assert_int_equal(pr_once_open(&walk->once[host], &walk->options), 0);
}

static void kill_host(walk_t *walk, int host)
{
	fake_host_t *fake = &walk->world.hosts[host];

	if (fake->dead)
		return;
	pr_once_close(walk->once[host]);
	walk->once[host] = NULL;
	fake->dead = true;
	fake->life++;
}

static void inject(walk_t *walk, fault_t fault)
{
	fake_world_t *world = &walk->world;
	pr_usec_t now = world->now;

	if (fault == FAULT_ENTRY_KILLED)
		kill_host(walk, 0);
	else if (fault == FAULT_OWNER_KILLED)
		kill_host(walk, 1);
	else if (fault == FAULT_OWNER_PAUSED)
		world->hosts[1].paused_until = now + 5 * PR_USEC_PER_SEC;
	else if (fault == FAULT_ENTRY_PAUSED)
		world->hosts[0].paused_until = now + 5 * PR_USEC_PER_SEC;
	else if (fault == FAULT_ANSWER_LOST)
		world->lose_answers++;
	else if (fault == FAULT_STORE_DOWN)
		world->down_until = now + 1500 * PR_USEC_PER_MSEC;
	else if (fault == FAULT_STORE_SLOW)
		world->slow_until = now + 600 * PR_USEC_PER_MSEC;
	else if (fault == FAULT_SAME_KEY)
		(void)start_call(walk, 2, 0, "b", false);
	else if (fault == FAULT_OTHER_BODY)
		(void)start_call(walk, 3, 0, "other", true);
	else if (fault == FAULT_QUEUE) {
		world->drop = 30;
		world->duplicate = 40;
	}
}

static void on_step(fake_world_t *world)
{
	walk_t *walk = walk_of(world);

	for (int i = 0; i < 2; i++)
		if (walk->faults[i] && walk->at[i] == world->steps)
			inject(walk, walk->faults[i]);
}

static void walk_init(walk_t *walk, uint64_t seed)
{
	memset(walk, 0, sizeof(*walk));
	fake_world_init(&walk->world, seed);
	walk->options = (pr_once_options_t)PR_ONCE_OPTIONS_INIT;
	walk->world.test = walk;
	walk->world.on_step = on_step;
	walk->world.on_committed = on_committed;
	walk->world.on_message = on_message;
	for (int i = 0; i < FAKE_HOSTS; i++)
		walk->contexts[i] = (struct context_t){ walk, i };
}

static void walk_open(walk_t *walk)
{
	for (int i = 0; i < FAKE_HOSTS; i++)
		open_host(walk, i);
}

static void walk_finish(walk_t *walk)
{
	for (int i = 0; i < FAKE_HOSTS; i++)
		pr_once_close(walk->once[i]);
	fake_world_finish(&walk->world);
}

#endif
