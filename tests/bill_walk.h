/*
 * Hosts with the bills slice in a fake world: three zones in two regions, each
 * killed host leaves the views of the others after 3 s.
 */
#ifndef BILL_WALK_H
#define BILL_WALK_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "fake_world.h"
#include "pistachiorack/bill.h"
#include "pistachiorack/error.h"

#define ITEMS_MAX  256
#define NOTES_MAX  4096
#define VIEW_DELAY (3 * PR_USEC_PER_SEC)

typedef enum fault_t {
	FAULT_NONE,
	FAULT_ENTRY_KILLED,
	FAULT_ENTRY_RESTARTED,
	FAULT_COLLECTOR_KILLED,
	FAULT_SECOND_KILLED,
	FAULT_COLLECTOR_PAUSED,
	FAULT_ENTRY_PAUSED,
	FAULT_ANSWER_LOST,
	FAULT_STORE_DOWN,
	FAULT_STORE_SLOW,
	FAULT_QUEUE,
	FAULT_ENTRY_STOPPED,
	FAULTS,
} fault_t;

static const char *const zones[FAKE_HOSTS] = { "z0", "z0", "z1", "z2", "z3" };
static const char *const regions[FAKE_HOSTS] = { "r0", "r0", "r0", "r0", "r1" };

/* A request whose bill was handed over. */
typedef struct item_t {
	int host, life;
	uint64_t boot, request;
	pr_usec_t added, ended;
	bool finished, acknowledged;
	/* Set when a holder is asked. */
	char batch[48];
} item_t;

/* A hold that was asked for or acknowledged. */
typedef struct note_t {
	int entry, holder, life;
	char batch[48];
	bool acknowledged;
} note_t;

typedef struct walk_t {
	fake_world_t world;
	pr_bill_options_t options;
	pr_bill_book_t *books[FAKE_HOSTS];
	uint64_t boots[FAKE_HOSTS], sequences[FAKE_HOSTS];
	struct context_t {
		struct walk_t *walk;
		int host;
	} contexts[FAKE_HOSTS];
	item_t items[ITEMS_MAX];
	int items_count;
	note_t notes[NOTES_MAX];
	int notes_count;
	/* Holders of host 0 as last asked. */
	int holders[2];
	fault_t faults[2];
	uint64_t at[2];
	double held_sum;
	uint64_t held_count;
	bool quiet;
} walk_t;

static walk_t *walk_of(fake_world_t *world)
{
	return world->test;
}

static void do_commit(void *data, const pr_store_op_t *ops, size_t count,
		      uint64_t tag)
{
	struct context_t *context = data;

	fake_store_call(&context->walk->world, context->host, ops, count, tag,
			false);
}

static void add_note(walk_t *walk, int entry, int holder, pr_slice_t batch,
		     bool acknowledged)
{
	note_t *note = &walk->notes[walk->notes_count];

	if (walk->quiet)
		return;
	assert_true(walk->notes_count < NOTES_MAX);
	walk->notes_count++;
	note->entry = entry;
	note->holder = holder;
	note->life = walk->world.hosts[holder].life;
	note->acknowledged = acknowledged;
	assert_int_equal(pr_slice_copy(note->batch, sizeof(note->batch), batch),
			 0);
}

static void item_marker(char marker[48], const item_t *item)
{
	snprintf(marker, 48, "\"w%d-%lu-%lu\"", item->host,
		 (unsigned long)item->boot, (unsigned long)item->request);
}

/* Records which batch holds which bill. */
static void mark_items(walk_t *walk, const pr_bill_message_t *message)
{
	char marker[48];

	for (int i = 0; i < walk->items_count; i++) {
		item_t *item = &walk->items[i];

		item_marker(marker, item);
		if (!item->batch[0] &&
		    memmem(message->value.ptr, message->value.len, marker,
			   strlen(marker)))
			(void)pr_slice_copy(item->batch, sizeof(item->batch),
					    message->batch);
	}
}

static void do_send(void *data, pr_slice_t host,
		    const pr_bill_message_t *message)
{
	struct context_t *context = data;
	walk_t *walk = context->walk;
	int to = fake_host_number(host);
	pr_str_t bytes = PR_STR_INIT;

	if (message->kind == PR_BILL_MESSAGE_HOLD) {
		if (context->host == 0)
			walk->holders[!message->collect] = to;
		add_note(walk, context->host, to, message->batch, false);
		mark_items(walk, message);
	}
	if (message->kind == PR_BILL_MESSAGE_HELD && message->accepted)
		add_note(walk, to, context->host, message->batch, true);
	assert_int_equal(pr_bill_message_encode(&bytes, message), 0);
	fake_send(&walk->world, context->host, to, &bytes);
}

static void do_held(void *data, uint64_t request, bool acknowledged)
{
	struct context_t *context = data;
	walk_t *walk = context->walk;

	for (int i = 0; i < walk->items_count; i++) {
		item_t *item = &walk->items[i];

		if (item->host != context->host || item->request != request ||
		    item->boot != walk->boots[context->host])
			continue;
		assert_false(item->finished);
		item->finished = true;
		item->ended = walk->world.now;
		item->acknowledged = acknowledged;
		walk->held_count++;
		walk->held_sum += (double)(walk->world.now - item->added);
	}
}

static const pr_bill_ops_t ops = {
	.commit = do_commit,
	.send = do_send,
	.held = do_held,
};

static void on_committed(fake_world_t *world, fake_event_t *event)
{
	pr_bill_committed(walk_of(world)->books[event->host], event->number,
			  event->status, event->results, event->count,
			  world->now);
}

static void on_message(fake_world_t *world, fake_event_t *event)
{
	pr_bill_message_t message;

	assert_int_equal(
		pr_bill_message_decode(&message, pr_str_slice(&event->bytes)),
		0);
	pr_bill_receive(walk_of(world)->books[event->host],
			pr_slice_of(world->hosts[event->from].name), &message,
			world->now);
}

static void set_views(fake_world_t *world, fake_event_t *event)
{
	walk_t *walk = walk_of(world);
	pr_bill_peer_t peers[FAKE_HOSTS];
	size_t count = 0;

	for (int i = 0; i < FAKE_HOSTS; i++)
		if (!world->hosts[i].dead)
			peers[count++] =
				(pr_bill_peer_t){ world->hosts[i].name,
						  zones[i], regions[i] };
	for (int i = 0; i < FAKE_HOSTS; i++)
		if (walk->books[i])
			assert_int_equal(pr_bill_set_peers(walk->books[i],
							   peers, count,
							   world->now),
					 0);
}

static void open_host(walk_t *walk, int host)
{
	walk->options.ops = &ops;
	walk->options.data = &walk->contexts[host];
	walk->options.timers = &walk->world.hosts[host].timers;
	walk->options.host = walk->world.hosts[host].name;
	walk->options.zone = zones[host];
	walk->options.region = regions[host];
	walk->options.boot = ++walk->boots[host];
	walk->sequences[host] = 0;
	walk->world.hosts[host].dead = false;
	assert_int_equal(pr_bill_open(&walk->books[host], &walk->options), 0);
}

static void kill_host(walk_t *walk, int host)
{
	fake_host_t *fake = &walk->world.hosts[host];

	if (fake->dead)
		return;
	pr_bill_close(walk->books[host]);
	walk->books[host] = NULL;
	fake->dead = true;
	fake->life++;
	fake_queue(&walk->world, fake_event(&walk->world, FAKE_NOBODY,
					    VIEW_DELAY, set_views));
}

static void walk_init(walk_t *walk, uint64_t seed)
{
	memset(walk, 0, sizeof(*walk));
	fake_world_init(&walk->world, seed);
	walk->options = (pr_bill_options_t)PR_BILL_OPTIONS_INIT;
	walk->holders[0] = 2;
	walk->holders[1] = 3;
	walk->world.test = walk;
	walk->world.on_committed = on_committed;
	walk->world.on_message = on_message;
	for (int i = 0; i < FAKE_HOSTS; i++)
		walk->contexts[i] = (struct context_t){ walk, i };
}

static void walk_open(walk_t *walk)
{
	for (int i = 0; i < FAKE_HOSTS; i++)
		open_host(walk, i);
	set_views(&walk->world, NULL);
}

static void walk_finish(walk_t *walk)
{
	for (int i = 0; i < FAKE_HOSTS; i++)
		pr_bill_close(walk->books[i]);
	fake_world_finish(&walk->world);
}

static int add_bill(walk_t *walk, int host)
{
	char workspace[48];
	uint64_t request = walk->sequences[host]++;
	pr_bill_t bill = {
		.request = request,
		.model = PR_SLICE("route-small"),
		.version = PR_SLICE("2026-11"),
		.tokens_in = 812,
		.tokens_out = 96,
		.price = 1410,
	};

	if (!walk->books[host])
		return PR_EUNAVAILABLE;
	pr_timers_advance(&walk->world.hosts[host].timers, walk->world.now);
	snprintf(workspace, sizeof(workspace), "w%d-%lu-%lu", host,
		 (unsigned long)walk->boots[host], (unsigned long)request);
	bill.workspace = pr_slice_of(workspace);
	if (!walk->quiet) {
		assert_true(walk->items_count < ITEMS_MAX);
		walk->items[walk->items_count++] =
			(item_t){ .host = host,
				  .life = walk->world.hosts[host].life,
				  .boot = walk->boots[host],
				  .request = request,
				  .added = walk->world.now };
	}
	return pr_bill_add(walk->books[host], &bill, walk->world.now);
}

static int count_rows(const walk_t *walk, const item_t *item)
{
	char marker[48];
	int rows = 0;

	item_marker(marker, item);
	for (size_t i = 0; i < walk->world.rows_count; i++) {
		const char *at = walk->world.rows[i].value;

		while ((at = strstr(at, marker)) != NULL) {
			rows++;
			at++;
		}
	}
	return rows;
}

/* True when the entry host and all holders that acknowledged it died. */
static bool loss_excused(const walk_t *walk, const item_t *item)
{
	int asked = 0;

	if (walk->world.hosts[item->host].life == item->life)
		return false;
	for (int i = 0; i < walk->notes_count; i++) {
		const note_t *note = &walk->notes[i];

		if (strcmp(note->batch, item->batch) != 0)
			continue;
		asked++;
		if (note->acknowledged &&
		    walk->world.hosts[note->holder].life == note->life)
			return false;
	}
	/* A bill that no holder was asked to keep is never excused. */
	return asked > 0;
}

#endif
