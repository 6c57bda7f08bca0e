/*
 * Tests of src/once: messages, rows, each case of the claim table, and a
 * seeded failure walk over several hosts. The checker reads the records of the
 * fake upstream and the fake store.
 *
 * `test_once figures` prints group size against latency and commits.
 */
#include "once_walk.h"

static bool killed(const walk_t *walk, const call_t *call)
{
	return walk->world.hosts[call->host].life != call->life;
}

/* Violations by one call. */
static int check_call(const walk_t *walk, const call_t *call)
{
	int bad = 0;

	if (call->finished && call->result.verdict == PR_VERDICT_NOT_RUN)
		bad += call->ran > 0;
	bad += call->sent_at >= call->deadline;
	/* The caller's wait has a bound, whatever the store does. */
	if (!walk->world.hosts[call->host].paused_until)
		bad += call->finished_at > call->deadline +
						   walk->options.outcome_wait +
						   5 * PR_USEC_PER_MSEC;
	bad += call->started && !call->finished && !killed(walk, call);
	if (call->finished && strcmp(call->hash, "other") == 0 && !call->ran)
		bad += call->result.code == PR_ONCE_STORED;
	return bad;
}

/* Violations by one key: runs, and a row left claimed by a live host. */
static int check_key(walk_t *walk, int key)
{
	int runs = 0, bad = 0;
	char text[32], claimed[64];
	fake_row_t *row;

	snprintf(text, sizeof(text), "w/k%d", key);
	row = fake_row(&walk->world, PR_ONCE_TABLE, pr_slice_of(text));
	for (int i = 0; i < walk->calls_count; i++) {
		call_t *call = &walk->calls[i];

		if (call->key != key)
			continue;
		runs += call->ran;
		snprintf(claimed, sizeof(claimed), "\"%s\"", call->attempt);
		if (row && strstr(row->value, claimed) &&
		    strstr(row->value, "\"claimed\""))
			bad += !killed(walk, call);
		/* A stored outcome is the one of the attempt that ran. */
		if (call->finished && call->result.code == PR_ONCE_STORED)
			bad += !row || !strstr(row->value, call->body);
	}
	return bad + (runs > 1 ? runs - 1 : 0);
}

static int check(walk_t *walk)
{
	int bad = 0;

	for (int i = 0; i < walk->calls_count; i++)
		bad += check_call(walk, &walk->calls[i]);
	for (int key = 0; key < KEYS; key++)
		bad += check_key(walk, key);
	for (int i = 0; i < FAKE_HOSTS; i++)
		if (walk->once[i]) {
			bad += pr_once_pending(walk->once[i]) > 0;
			bad += pr_once_counters(walk->once[i])
				       ->outcome_conflicts > 0;
		}
	return bad;
}

/* One run; returns the steps in which the first calls were under way. */
static uint64_t walk_run(walk_t *walk)
{
	uint64_t steps;

	walk_open(walk);
	(void)start_call(walk, 0, 0, "b", false);
	fake_world_run(&walk->world, 1000);
	(void)start_call(walk, 2, 1, "b", false);
	fake_world_run(&walk->world, 300 * PR_USEC_PER_MSEC);
	steps = walk->world.steps;
	fake_world_run(&walk->world, 12 * PR_USEC_PER_SEC);
	/* After recovery each key is tried once more. */
	for (int key = 0; key < KEYS - 1; key++)
		(void)start_call(walk, 4, key, "b", true);
	fake_world_run(&walk->world, 30 * PR_USEC_PER_SEC);
	return steps;
}

static int run_faults(uint64_t seed, const fault_t faults[2],
		      const uint64_t at[2], uint64_t *steps)
{
	static walk_t walk;
	uint64_t count;
	int bad;

	walk_init(&walk, seed);
	walk.own_owner = seed % 5 == 0;
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
	assert_true(steps > 10);
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
 * Guards against a second run, a false not_run, a row left claimed and a
 * caller without an answer, with each fault at each step and with pairs.
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

/* Violations over the first steps of one seed with a mechanism off. */
static int run_with_off(int off, uint64_t at)
{
	static walk_t walk;
	int bad;

	walk_init(&walk, 3);
	walk.faults[0] = off == 3 ? FAULT_ENTRY_PAUSED : FAULT_SAME_KEY;
	walk.at[0] = at;
	walk.options.test_skip_claims = off == 0;
	walk.options.test_unconditional = off == 1;
	walk.upstream_lies = off == 2;
	walk.options.test_skip_deadline = off == 3;
	walk_run(&walk);
	bad = check(&walk);
	walk_finish(&walk);
	return bad;
}

/* Guards against checks that cannot fail: each mechanism is switched off. */
static void checks_fail_with_mechanism_off(void **state)
{
	static const char *const names[] = { "claims", "condition",
					     "honest upstream", "deadline" };

	for (int off = 0; off < 4; off++) {
		int bad = 0;

		for (uint64_t at = 1; at <= 20; at++)
			bad += run_with_off(off, at);
		print_message("%s off: %d violations in 20 runs\n", names[off],
			      bad);
		assert_true(bad > 0);
	}
}

/* Runs one call to its end in a quiet world. */
static call_t *settle_call(walk_t *walk, int host, int key, const char *hash)
{
	int number = walk->calls_count;

	assert_int_equal(start_call(walk, host, key, hash, true), 0);
	fake_world_run(&walk->world, walk->world.now + 4 * PR_USEC_PER_SEC);
	assert_true(walk->calls[number].finished);
	return &walk->calls[number];
}

/* Guards against wrong answers in the cases of the design's table. */
static void claim_table(void **state)
{
	static walk_t walk;
	call_t *call;

	walk_init(&walk, 2);
	walk_open(&walk);
	walk.always_unsent = 1;
	call = settle_call(&walk, 0, 0, "b");
	assert_int_equal(call->result.code, PR_ONCE_COMPLETED);
	assert_int_equal(call->result.verdict, PR_VERDICT_NOT_RUN);
	do {
		call = settle_call(&walk, 2, 0, "b");
	} while (!call->ran);
	assert_int_equal(call->result.verdict, PR_VERDICT_RAN);
	assert_true(call->result.row_written);
	call = settle_call(&walk, 3, 0, "b");
	assert_int_equal(call->result.code, PR_ONCE_STORED);
	assert_int_equal(call->result.status, 200);
	call = settle_call(&walk, 3, 0, "other");
	assert_int_equal(call->result.code, PR_ONCE_KEY_REUSED);
	assert_int_equal(call->result.verdict, PR_VERDICT_NOT_RUN);
	walk.world.down_until = walk.world.now + PR_USEC_PER_SEC;
	call = settle_call(&walk, 0, 1, "b");
	assert_int_equal(call->result.code, PR_ONCE_UNAVAILABLE);
	assert_non_null(strstr(
		fake_row(&walk.world, PR_ONCE_TABLE, PR_SLICE("w/k1"))->value,
		"not_run"));
	walk_finish(&walk);
}

/* Guards against a waiter that is told not_run while another may run. */
static void claimed_by_killed_host(void **state)
{
	static walk_t walk;
	call_t *call;

	walk_init(&walk, 1);
	walk_open(&walk);
	assert_int_equal(start_call(&walk, 0, 0, "b", true), 0);
	while (!walk.calls[0].sent_at)
		fake_world_run(&walk.world, walk.world.now + 500);
	kill_host(&walk, 0);
	call = settle_call(&walk, 2, 0, "b");
	assert_int_equal(call->result.code, PR_ONCE_CLAIMED);
	assert_int_equal(call->result.verdict, PR_VERDICT_MAY_HAVE_RUN);
	walk_finish(&walk);
}

/* Guards against tables without a bound and against a large stored body. */
static void tables_are_bounded(void **state)
{
	static walk_t walk;
	call_t *call;

	walk_init(&walk, 4);
	walk.options.requests_max = 2;
	walk.options.body_max = 1;
	walk_open(&walk);
	assert_int_equal(start_call(&walk, 0, 0, "b", true), 0);
	assert_int_equal(start_call(&walk, 0, 1, "b", true), 0);
	assert_int_equal(start_call(&walk, 0, 2, "b", true), PR_EFULL);
	fake_world_run(&walk.world, 4 * PR_USEC_PER_SEC);
	while (!walk.calls[0].ran)
		walk.calls[0] = *settle_call(&walk, 0, 0, "b");
	call = settle_call(&walk, 3, 0, "b");
	assert_int_equal(call->result.code, PR_ONCE_STORED_WITHOUT_BODY);
	walk_finish(&walk);
}

/* Guards against a decoder that reads outside a message of any bytes. */
static void decode_survives_garbage(void **state)
{
	pr_once_message_t in = { .kind = PR_ONCE_MESSAGE_CLAIM,
				 .request = 7,
				 .key = PR_SLICE("w/k"),
				 .attempt = PR_SLICE("a"),
				 .row = PR_SLICE("{}") };
	pr_once_message_t out;
	pr_str_t bytes = PR_STR_INIT;
	pr_rand_t rand;

	assert_int_equal(pr_rand_init(&rand, 1), 0);
	assert_int_equal(pr_once_message_encode(&bytes, &in), 0);
	assert_int_equal(pr_once_message_decode(&out, pr_str_slice(&bytes)), 0);
	assert_int_equal(out.request, 7);
	assert_true(pr_slice_equal(out.key, in.key));
	for (int i = 0; i < 200000; i++) {
		size_t len = i % 2 ? bytes.len : pr_rand_below(&rand, 64);
		char *copy = malloc(len + 1);
		uint32_t changes =
			i % 2 ? 1 + pr_rand_below(&rand, 4) : (uint32_t)len;

		memcpy(copy, bytes.ptr, len < bytes.len ? len : bytes.len);
		while (len && changes--)
			copy[pr_rand_below(&rand, (uint32_t)len)] =
				(char)pr_rand_below(&rand, 256);
		if (len)
			len -= pr_rand_below(&rand, 3) % len;
		(void)pr_once_message_decode(&out, pr_slice(copy, len));
		free(copy);
	}
	pr_str_finish(&bytes);
	pr_rand_finish(&rand);
}

/* Load of one owner for a second; prints one line of the table. */
static void figure(uint32_t rate, size_t group, pr_usec_t wait)
{
	static walk_t walk;
	static pr_usec_t started[4096];
	double sum = 0, most = 0;
	uint32_t sent = 0;

	walk_init(&walk, 1);
	walk.own_owner = true;
	walk.options.group_max = group;
	walk.options.group_wait = wait;
	walk.granted_at = started;
	walk_open(&walk);
	for (uint32_t i = 0; i < rate; i++) {
		char key[32];
		pr_once_request_options_t options = {
			.body_hash = PR_SLICE("b"),
			.deadline = PR_USEC_PER_SEC * 10
		};
		uint64_t request;

		snprintf(key, sizeof(key), "w/%u", i);
		options.key = pr_slice_of(key);
		options.attempt = pr_slice_of(key);
		fake_world_run(&walk.world, PR_USEC_PER_SEC * i / rate);
		pr_timers_advance(&walk.world.hosts[0].timers, walk.world.now);
		started[i + 1] = -walk.world.now;
		if (!pr_once_start(walk.once[0], &request, &options,
				   walk.world.now))
			sent++;
	}
	fake_world_run(&walk.world, 2 * PR_USEC_PER_SEC);
	for (uint32_t i = 1; i <= sent; i++) {
		double taken = (double)started[i] / 1000;

		sum += taken;
		most = taken > most ? taken : most;
	}
	print_message("%6u %6zu %8.0f %10lu %10.2f %10.2f\n", rate, group,
		      (double)wait / 1000, (unsigned long)walk.world.commits,
		      sum / sent, most);
	walk_finish(&walk);
}

static int figures(void)
{
	static const uint32_t rates[] = { 10, 100, 400, 2000 };

	print_message("claims/s  group  wait ms  commits/s    mean ms     "
		      "max ms\n");
	for (int i = 0; i < 4; i++) {
		figure(rates[i], 1, 0);
		figure(rates[i], 16, 2000);
		figure(rates[i], 64, 2000);
		figure(rates[i], 64, 5000);
		figure(rates[i], 64, 20000);
	}
	return 0;
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(claim_table),
		cmocka_unit_test(claimed_by_killed_host),
		cmocka_unit_test(tables_are_bounded),
		cmocka_unit_test(decode_survives_garbage),
		cmocka_unit_test(checks_fail_with_mechanism_off),
		cmocka_unit_test(failure_walk),
	};

	if (argc > 1 && !strcmp(argv[1], "figures"))
		return figures();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
