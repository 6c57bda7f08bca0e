/*
 * Tests of src/bill: messages, choice of holders, memory, pace, and a seeded
 * failure walk over several hosts. The checker reads the rows of the fake
 * store.
 *
 * `test_bill figures` prints requests/s against commits/s and latency.
 */
#include <malloc.h>

#include "bill_walk.h"

static void inject(walk_t *walk, fault_t fault)
{
	fake_world_t *world = &walk->world;
	pr_usec_t now = world->now;

	if (fault == FAULT_ENTRY_KILLED) {
		kill_host(walk, 0);
	} else if (fault == FAULT_ENTRY_RESTARTED) {
		kill_host(walk, 0);
		open_host(walk, 0);
		set_views(world, NULL);
		(void)add_bill(walk, 0);
	} else if (fault == FAULT_COLLECTOR_KILLED) {
		kill_host(walk, walk->holders[0]);
	} else if (fault == FAULT_SECOND_KILLED) {
		kill_host(walk, walk->holders[1]);
	} else if (fault == FAULT_COLLECTOR_PAUSED) {
		world->hosts[walk->holders[0]].paused_until =
			now + 15 * PR_USEC_PER_SEC;
	} else if (fault == FAULT_ENTRY_PAUSED) {
		world->hosts[0].paused_until = now + 15 * PR_USEC_PER_SEC;
	} else if (fault == FAULT_ANSWER_LOST) {
		world->lose_answers++;
	} else if (fault == FAULT_STORE_DOWN) {
		world->down_until = now + 20 * PR_USEC_PER_SEC;
	} else if (fault == FAULT_STORE_SLOW) {
		world->slow_until = now + 4 * PR_USEC_PER_SEC;
	} else if (fault == FAULT_QUEUE) {
		world->drop = 30;
		world->duplicate = 40;
	} else if (fault == FAULT_ENTRY_STOPPED && walk->books[0]) {
		pr_timers_advance(&world->hosts[0].timers, now);
		if (walk->books[0])
			pr_bill_stop(walk->books[0], now);
	}
}

static void on_step(fake_world_t *world)
{
	walk_t *walk = walk_of(world);

	for (int i = 0; i < 2; i++)
		if (walk->faults[i] && walk->at[i] == world->steps)
			inject(walk, walk->faults[i]);
}

static int check(const walk_t *walk)
{
	int bad = 0;

	for (int i = 0; i < walk->items_count; i++) {
		const item_t *item = &walk->items[i];
		bool alive = walk->world.hosts[item->host].life == item->life;
		int rows = count_rows(walk, item);

		bad += rows > 1;
		bad += alive && !item->finished;
		/* Batch wait, bounded wait for a holder, one tick. */
		if (!walk->world.hosts[item->host].paused_until)
			bad += item->ended >
			       item->added + 65 * PR_USEC_PER_MSEC;
		if (item->finished && !rows)
			bad += !loss_excused(walk, item);
	}
	for (int i = 0; i < FAKE_HOSTS; i++)
		if (walk->books[i]) {
			pr_bill_pending_t pending =
				pr_bill_pending(walk->books[i]);

			bad += pending.own + pending.held > 0;
			bad += pending.own_bytes + pending.held_bytes > 0;
		}
	return bad;
}

/* One run; returns the steps up to the confirmation of the first rows. */
static uint64_t walk_run(walk_t *walk)
{
	uint64_t steps;

	walk->world.on_step = on_step;
	walk_open(walk);
	for (int i = 0; i < 6; i++) {
		(void)add_bill(walk, i % 3 == 2 ? 2 : 0);
		fake_world_run(&walk->world, walk->world.now + 1500);
	}
	fake_world_run(&walk->world, 1300 * PR_USEC_PER_MSEC);
	steps = walk->world.steps;
	fake_world_run(&walk->world, 30 * PR_USEC_PER_SEC);
	walk->world.drop = 0;
	fake_world_run(&walk->world, 120 * PR_USEC_PER_SEC);
	return steps;
}

static int run_faults(uint64_t seed, const fault_t faults[2],
		      const uint64_t at[2], uint64_t *steps)
{
	static walk_t walk;
	uint64_t count;
	int bad;

	walk_init(&walk, seed);
	for (int i = 0; i < 2; i++) {
		walk.faults[i] = faults[i];
		walk.at[i] = at[i];
	}
	count = walk_run(&walk);
	if (steps)
		*steps = count;
	bad = check(&walk);
	if (bad)
		print_message("seed %lu faults %d@%lu %d@%lu: %d violations\n",
			      (unsigned long)seed, faults[0],
			      (unsigned long)at[0], faults[1],
			      (unsigned long)at[1], bad);
	walk_finish(&walk);
	return bad;
}

static void walk_seed(uint64_t seed, long *runs)
{
	fault_t faults[2] = { FAULT_NONE, FAULT_NONE };
	uint64_t at[2] = { 0, 0 };
	uint64_t steps;
	pr_rand_t rand;

	assert_int_equal(run_faults(seed, faults, at, &steps), 0);
	assert_true(steps > 20);
	for (at[0] = 1; at[0] <= steps; at[0]++)
		for (int fault = 1; fault < FAULTS; fault++, (*runs)++) {
			faults[0] = (fault_t)fault;
			assert_int_equal(run_faults(seed, faults, at, NULL), 0);
		}
	assert_int_equal(pr_rand_init(&rand, seed), 0);
	for (int first = 1; first < FAULTS; first++)
		for (int second = 1; second < FAULTS; second++, (*runs)++) {
			faults[0] = (fault_t)first;
			faults[1] = (fault_t)second;
			for (int i = 0; i < 2; i++)
				at[i] = 1 + pr_rand_below(&rand, steps);
			assert_int_equal(run_faults(seed, faults, at, NULL), 0);
		}
	pr_rand_finish(&rand);
}

/*
 * Guards against a lost bill, a doubled bill, an answer that never ends and
 * batches that are never dropped, with each fault at each step and with pairs.
 */
static void failure_walk(void **state)
{
	long runs = 0;

	for (uint64_t seed = 1; seed <= 20; seed++)
		walk_seed(seed, &runs);
	for (uint64_t seed = 101; seed <= 120; seed++)
		walk_seed(seed, &runs);
	print_message("failure walk: %ld runs, seeds 1..20 and 101..120\n",
		      runs);
}

static int run_with_off(int off, uint64_t at)
{
	static walk_t walk;
	int bad;

	walk_init(&walk, 3);
	walk.faults[0] = FAULT_ENTRY_KILLED;
	walk.at[0] = at;
	if (off == 0) {
		walk.options.holders = 0;
	} else if (off == 1) {
		walk.options.test_fresh_keys = true;
		walk.faults[0] = FAULT_COLLECTOR_PAUSED;
	} else {
		walk.options.second_wait = 3600 * PR_USEC_PER_SEC;
		walk.faults[1] = FAULT_COLLECTOR_KILLED;
		walk.at[1] = at + 1;
	}
	walk_run(&walk);
	bad = check(&walk);
	walk_finish(&walk);
	return bad;
}

/* Guards against checks that cannot fail: each mechanism is switched off. */
static void checks_fail_with_mechanism_off(void **state)
{
	static const char *const names[] = { "holders", "condition",
					     "fallback" };

	for (int off = 0; off < 3; off++) {
		int bad = 0;

		for (uint64_t at = 1; at <= 40; at++)
			bad += run_with_off(off, at);
		print_message("%s off: %d violations in 40 runs\n", names[off],
			      bad);
		assert_true(bad > 0);
	}
}

/* Guards against two holders in one zone, or in the entry host's zone. */
static void holders_are_in_other_zones(void **state)
{
	static walk_t walk;

	walk_init(&walk, 1);
	walk_open(&walk);
	assert_int_equal(add_bill(&walk, 0), 0);
	fake_world_run(&walk.world, 10 * PR_USEC_PER_MSEC);
	/* z1 and z2 are the other zones of the region. */
	assert_int_equal(walk.holders[0] + walk.holders[1], 2 + 3);
	assert_true(walk.items[0].acknowledged);
	walk_finish(&walk);
}

/* Guards against memory without a bound, and states the size of a bill. */
static void memory_is_bounded(void **state)
{
	enum {
		BILLS = 26000
	};
	static walk_t walk;
	size_t before, heap;
	pr_bill_pending_t pending;
	int added = 0;

	walk_init(&walk, 1);
	walk.quiet = true;
	open_host(&walk, 0);
	before = mallinfo2().uordblks;
	/* One bill a batch is the worst case, that of a host at 7 bills/s. */
	while (added < BILLS && !add_bill(&walk, 0)) {
		added++;
		fake_world_run(&walk.world, walk.world.now + 3000);
		walk.world.down_until = PR_USEC_NEVER;
	}
	assert_int_equal(added, BILLS);
	heap = mallinfo2().uordblks - before;
	pending = pr_bill_pending(walk.books[0]);
	print_message("%d bills, one a batch: %zu bytes a bill counted, "
		      "%zu on the heap\n",
		      added, pending.own_bytes / BILLS, heap / BILLS);
	assert_true(pending.own_bytes / BILLS < 400);
	while (!add_bill(&walk, 0))
		fake_world_run(&walk.world, walk.world.now + 3000);
	assert_true(pr_bill_pending(walk.books[0]).own_bytes <=
		    walk.options.own_max);
	walk_finish(&walk);
}

/* Guards against a flush after an outage that exceeds the write budget. */
static void flush_is_paced(void **state)
{
	static walk_t walk;
	uint64_t most = 0, before;

	walk_init(&walk, 1);
	walk.quiet = true;
	walk_open(&walk);
	walk.world.down_until = 30 * PR_USEC_PER_SEC;
	for (int i = 0; i < 3000; i++) {
		assert_int_equal(add_bill(&walk, i % 2), 0);
		fake_world_run(&walk.world, walk.world.now + 3000);
	}
	fake_world_run(&walk.world, walk.world.down_until);
	for (int i = 0; i < 60; i++) {
		before = walk.world.commits;
		fake_world_run(&walk.world, walk.world.now + PR_USEC_PER_SEC);
		if (walk.world.commits - before > most)
			most = walk.world.commits - before;
	}
	print_message("flush of 3000 batches: at most %lu commits/s\n",
		      (unsigned long)most);
	/* Two entry hosts have at most two collectors of 8 commits/s. */
	assert_in_range(most, 1, 16);
	assert_int_equal(pr_bill_pending(walk.books[0]).own, 0);
	assert_int_equal(walk.world.rows_count, 3000);
	walk_finish(&walk);
}

/* Guards against a full holder that keeps an answer waiting or loses it. */
static void full_holder_is_replaced(void **state)
{
	static walk_t walk;
	uint64_t asked;

	walk_init(&walk, 1);
	walk_open(&walk);
	pr_bill_close(walk.books[2]);
	walk.options.held_max = 0;
	walk.boots[2]--;
	open_host(&walk, 2);
	set_views(&walk.world, NULL);
	assert_int_equal(add_bill(&walk, 0), 0);
	fake_world_run(&walk.world, 200 * PR_USEC_PER_MSEC);
	assert_int_equal(add_bill(&walk, 0), 0);
	/* A host that refused is not asked again at once. */
	asked = pr_bill_counters(walk.books[0])->other_holder;
	fake_world_run(&walk.world, 400 * PR_USEC_PER_MSEC);
	assert_int_equal(pr_bill_counters(walk.books[0])->other_holder, asked);
	assert_true(walk.items[0].acknowledged);
	assert_int_equal(pr_bill_pending(walk.books[0]).unheld, 0);
	assert_true(walk.holders[0] != 2 && walk.holders[1] != 2);
	assert_true(walk.holders[0] != walk.holders[1]);
	walk_finish(&walk);
}

/* Guards against a stop that leaves bills behind while the store works. */
static void stop_writes_everything(void **state)
{
	static walk_t walk;
	pr_bill_pending_t pending;

	walk_init(&walk, 1);
	walk_open(&walk);
	for (int i = 0; i < 20; i++)
		assert_int_equal(add_bill(&walk, i % 2 ? 0 : 2), 0);
	fake_world_run(&walk.world, 20 * PR_USEC_PER_MSEC);
	pr_bill_stop(walk.books[0], walk.world.now);
	pr_bill_stop(walk.books[2], walk.world.now);
	fake_world_run(&walk.world, 500 * PR_USEC_PER_MSEC);
	for (int host = 0; host <= 2; host += 2) {
		pending = pr_bill_pending(walk.books[host]);
		assert_int_equal(pending.own + pending.held, 0);
	}
	walk_finish(&walk);
}

/* Guards against a stop after an outage that waits for the next try of the
 * outage, which is seconds away. */
static void stop_tries_the_store_at_once(void **state)
{
	static walk_t walk;
	pr_bill_pending_t pending;

	walk_init(&walk, 1);
	open_host(&walk, 0);
	walk.world.down_until = 40 * PR_USEC_PER_SEC;
	assert_int_equal(add_bill(&walk, 0), 0);
	fake_world_run(&walk.world, 39900 * PR_USEC_PER_MSEC);
	pr_bill_stop(walk.books[0], walk.world.now);
	fake_world_run(&walk.world, walk.world.now + PR_USEC_PER_SEC / 2);
	pending = pr_bill_pending(walk.books[0]);
	assert_int_equal(pending.own + pending.held, 0);
	walk_finish(&walk);
}

/* Guards against a stop in an outage that waits for a host that has just died:
 * it offered what it held to this host alone until the others were told. */
static void stop_hands_over_past_dead_host(void **state)
{
	static walk_t walk;
	pr_bill_pending_t pending;

	walk_init(&walk, 1);
	walk_open(&walk);
	walk.world.down_until = PR_USEC_NEVER;
	for (int i = 0; i < 20; i++)
		assert_int_equal(add_bill(&walk, 0), 0);
	fake_world_run(&walk.world, 4 * PR_USEC_PER_SEC);
	pending = pr_bill_pending(walk.books[walk.holders[0]]);
	assert_true(pending.held > 0);
	/* The first host that the collector asks to take over. */
	kill_host(&walk, 1);
	pr_bill_stop(walk.books[walk.holders[0]], walk.world.now);
	fake_world_run(&walk.world, walk.world.now + PR_USEC_PER_SEC);
	pending = pr_bill_pending(walk.books[walk.holders[0]]);
	assert_int_equal(pending.own + pending.held, 0);
	walk_finish(&walk);
}

/* Guards against a stop in an outage that waits for its deadline: the stopping
 * host went on to take batches of other hosts. */
static void stopping_host_takes_no_batch(void **state)
{
	static walk_t walk;

	walk_init(&walk, 1);
	walk_open(&walk);
	walk.world.down_until = PR_USEC_NEVER;
	pr_bill_stop(walk.books[2], walk.world.now);
	assert_int_equal(add_bill(&walk, 0), 0);
	fake_world_run(&walk.world, 100 * PR_USEC_PER_MSEC);
	assert_true(walk.items[0].acknowledged);
	assert_int_equal(pr_bill_pending(walk.books[2]).held, 0);
	assert_true(walk.holders[0] != 2 && walk.holders[1] != 2);
	walk_finish(&walk);
}

/* Guards against a stop in an outage that waits for its deadline: the entry
 * host did not answer when it was offered its own batch, which another stopping
 * host had handed over, and no one else was left. */
static void stop_hands_over_to_entry_host(void **state)
{
	static walk_t walk;
	pr_bill_pending_t pending;

	walk_init(&walk, 1);
	walk_open(&walk);
	walk.world.down_until = PR_USEC_NEVER;
	for (int i = 0; i < 20; i++)
		assert_int_equal(add_bill(&walk, 0), 0);
	kill_host(&walk, 4);
	fake_world_run(&walk.world, 4 * PR_USEC_PER_SEC);
	/* The collector stops, and then the host that took over from it. */
	for (int host = 2; host; host--) {
		pr_bill_stop(walk.books[host], walk.world.now);
		fake_world_run(&walk.world, walk.world.now + PR_USEC_PER_SEC);
		pending = pr_bill_pending(walk.books[host]);
		assert_int_equal(pending.own + pending.held, 0);
		kill_host(&walk, host);
		fake_world_run(&walk.world,
			       walk.world.now + 4 * PR_USEC_PER_SEC);
	}
	walk.world.down_until = walk.world.now;
	fake_world_run(&walk.world, walk.world.now + 60 * PR_USEC_PER_SEC);
	for (int i = 0; i < walk.items_count; i++)
		assert_int_equal(count_rows(&walk, &walk.items[i]), 1);
	walk_finish(&walk);
}

/* Guards against a decoder that reads outside a message of any bytes. */
static void decode_survives_garbage(void **state)
{
	pr_bill_message_t in = { .kind = PR_BILL_MESSAGE_HOLD,
				 .batch = PR_SLICE("h0/1/0"),
				 .other = PR_SLICE("h3"),
				 .count = 1,
				 .collect = true,
				 .value = PR_SLICE("{\"bills\":[]}") };
	pr_bill_message_t out;
	pr_str_t bytes = PR_STR_INIT;
	static walk_t walk;

	walk_init(&walk, 1);
	open_host(&walk, 0);
	assert_int_equal(pr_bill_message_encode(&bytes, &in), 0);
	assert_int_equal(pr_bill_message_decode(&out, pr_str_slice(&bytes)), 0);
	assert_true(out.collect && pr_slice_equal(out.value, in.value));
	for (int i = 0; i < 200000; i++) {
		size_t len =
			i % 2 ? bytes.len : pr_rand_below(&walk.world.rand, 64);
		char *copy = malloc(len + 1);
		int changes = i % 2 ? 2 : (int)len;

		memcpy(copy, bytes.ptr, len < bytes.len ? len : bytes.len);
		while (len && changes-- > 0)
			copy[pr_rand_below(&walk.world.rand, (uint32_t)len)] =
				(char)pr_rand_below(&walk.world.rand, 256);
		walk.quiet = true;
		if (!pr_bill_message_decode(&out, pr_slice(copy, len)) &&
		    i < 20000)
			pr_bill_receive(walk.books[0], PR_SLICE("h9"), &out, 0);
		free(copy);
	}
	pr_str_finish(&bytes);
	walk_finish(&walk);
}

/* Load of one entry host for two seconds; prints one line of the table. */
static void figure(uint32_t rate, pr_usec_t batch_wait)
{
	static walk_t walk;
	uint64_t commits;
	size_t rows;

	walk_init(&walk, 1);
	walk.options.batch_wait = batch_wait;
	walk_open(&walk);
	for (uint32_t i = 0; i < 2 * rate; i++) {
		fake_world_run(&walk.world, PR_USEC_PER_SEC * i / rate);
		walk.items_count = 0;
		walk.notes_count = 0;
		(void)add_bill(&walk, 0);
	}
	fake_world_run(&walk.world, 2 * PR_USEC_PER_SEC);
	commits = walk.world.commits;
	fake_world_run(&walk.world, 10 * PR_USEC_PER_SEC);
	rows = walk.world.rows_count;
	print_message("%10u %8.0f %10.1f %10.1f\n", rate,
		      (double)batch_wait / 1000, (double)rows / 2,
		      (double)commits / 2);
	walk_finish(&walk);
}

static int figures(void)
{
	static const uint32_t rates[] = { 7, 175, 400, 1000 };

	print_message("requests/s  wait ms  batches/s  commits/s\n");
	for (int i = 0; i < 4; i++) {
		figure(rates[i], 0);
		figure(rates[i], 2000);
		figure(rates[i], 10000);
	}
	return 0;
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(holders_are_in_other_zones),
		cmocka_unit_test(memory_is_bounded),
		cmocka_unit_test(flush_is_paced),
		cmocka_unit_test(full_holder_is_replaced),
		cmocka_unit_test(stop_writes_everything),
		cmocka_unit_test(stop_tries_the_store_at_once),
		cmocka_unit_test(stop_hands_over_past_dead_host),
		cmocka_unit_test(stopping_host_takes_no_batch),
		cmocka_unit_test(stop_hands_over_to_entry_host),
		cmocka_unit_test(decode_survives_garbage),
		cmocka_unit_test(checks_fail_with_mechanism_off),
		cmocka_unit_test(failure_walk),
	};

	if (argc > 1 && !strcmp(argv[1], "figures"))
		return figures();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
