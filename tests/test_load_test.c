/* Tests of src/transition/load_test.c and of the part of a transition that
 * depends on it: a version that fails under load only is withdrawn. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "transition/transition.h"
#include "revision.h"

#define DURATION_MS 24000
#define BEGAN_MS    100000
/* Numbers of failures that are tried, from 0 on. */
#define BAD_COUNTS 9

/* Time at which a fraction of the order's duration has elapsed. */
static int64_t at(double part)
{
	return BEGAN_MS + (int64_t)(part * DURATION_MS);
}

static void verify(pr_transition_t *transition, uint64_t row_version,
		   int64_t load_verified)
{
	pr_transition_row_t row = { 7,       PR_ROLLOUT_RUNNING, BEGAN_MS, "",
				    at(0.5), load_verified };

	pr_transition_apply(transition, &row, rev(row_version));
}

/* Begin an order whose version is verified without load. */
static void begin(pr_transition_t *transition)
{
	pr_rollout_order_t order = { "model", "v2", DURATION_MS };

	pr_transition_init(transition, &order, rev(7));
	verify(transition, 8, 0);
}

/* Requests of a load test that brought an upstream to a high load. */
static pr_conclusion_t conclude_load_test(uint32_t loaded, uint32_t bad,
					  double part)
{
	pr_transition_t transition;

	begin(&transition);
	transition.peers.old = (pr_tally_t){ .total = 727, .bad = 4 };
	transition.peers.new = (pr_tally_t){ .total = 174, .bad = 6 };
	transition.peers.new.bad_upstreams = 0x3;
	transition.peers.load_test =
		(pr_load_test_tally_t){ .begun = 90, .ended = 40 };
	for (uint32_t i = 0; i < loaded; i++)
		pr_transition_record_loaded(&transition, i < bad);
	return pr_transition_conclude(&transition, at(part), 0, 4);
}

/* Guards against a version that fails under load only and is completed by the
 * clock, because its failures are few among all responses, most of which were
 * sent at a low load (rule EXPOSURE). */
static void test_version_that_fails_under_load_is_not_done(void **state)
{
	assert_int_equal(conclude_load_test(20, 6, 0.6), PR_CONCLUDE_WITHDRAW);
	/* A fault of the network or of one request is no fault of the version.
	 */
	assert_int_equal(conclude_load_test(20, 1, 0.6), PR_CONCLUDE_NOTHING);
	assert_int_equal(conclude_load_test(5, 0, 0.83), PR_CONCLUDE_NOTHING);
	assert_int_equal(conclude_load_test(5, 0, 0.85), PR_CONCLUDE_WITHDRAW);
	assert_int_equal(conclude_load_test(30, 3, 0.85), PR_CONCLUDE_WITHDRAW);
}

static void test_version_that_is_good_under_load_is_done(void **state)
{
	assert_int_equal(conclude_load_test(32, 0, 0.6),
			 PR_CONCLUDE_LOAD_VERIFIED);
	assert_int_equal(conclude_load_test(16, 0, 0.6), PR_CONCLUDE_NOTHING);
	assert_int_equal(conclude_load_test(18, 0, 0.85),
			 PR_CONCLUDE_LOAD_VERIFIED);
}

/* The traffic of a small service does not load one upstream, not even in the
 * load test. */
static void test_service_with_little_traffic_is_done(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	for (int i = 0; i < 20; i++)
		pr_transition_record_test_begin(&transition);
	for (int i = 0; i < 18; i++)
		pr_transition_record_test_end(&transition);
	assert_int_equal(pr_transition_conclude(&transition, at(0.6), 0, 4),
			 PR_CONCLUDE_NOTHING);
	assert_int_equal(pr_transition_conclude(&transition, at(0.74), 0, 4),
			 PR_CONCLUDE_LOAD_VERIFIED);
}

/* Guards against a test that ends with the exposure, or by time, and counts as
 * one that no load can be brought to (rule EXPOSURE). */
static void test_ended_test_shows_nothing(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	transition.peers.old.total = 700;
	transition.peers.new.total = 170;
	transition.peers.load_test =
		(pr_load_test_tally_t){ .begun = 40, .ended = 10, .loaded = 2 };
	assert_false(pr_transition_is_load_testing(&transition, at(0.65)));
	assert_int_equal(pr_transition_conclude(&transition, at(0.65), 0, 4),
			 PR_CONCLUDE_NOTHING);
	transition.peers.load_test.ended = 40;
	assert_int_equal(pr_transition_conclude(&transition, at(0.75), 0, 4),
			 PR_CONCLUDE_NOTHING);
	assert_int_equal(pr_transition_conclude(&transition, at(0.85), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
	/* The load that it left is no fault of the version either. */
	assert_true(pr_transition_has_test_load(&transition, at(0.75)));
}

/* Guards against a good version that is withdrawn, because the many short
 * requests of its service use up the exposure without any load. */
static void test_stopped_test_without_load_is_enough(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	transition.peers.old.total = 700;
	transition.peers.new.total = 170;
	transition.peers.load_test =
		(pr_load_test_tally_t){ .begun = 70, .ended = 64 };
	assert_int_equal(pr_transition_conclude(&transition, at(0.6), 0, 4),
			 PR_CONCLUDE_NOTHING);
	assert_int_equal(pr_transition_conclude(&transition, at(0.74), 0, 4),
			 PR_CONCLUDE_LOAD_VERIFIED);
}

/* A version that is verified late has the whole load test before it. */
static void test_late_verification_keeps_the_load_test(void **state)
{
	pr_transition_t transition;
	pr_transition_row_t row = { 7,        PR_ROLLOUT_RUNNING,
				    BEGAN_MS, "",
				    at(0.8),  0 };

	begin(&transition);
	pr_transition_apply(&transition, &row, rev(9));
	transition.peers.old.total = 700;
	transition.peers.load_test =
		(pr_load_test_tally_t){ .begun = 40, .ended = 10, .loaded = 2 };
	assert_true(pr_transition_is_load_testing(&transition, at(1.0)));
	assert_int_equal(pr_transition_conclude(&transition, at(1.1), 0, 4),
			 PR_CONCLUDE_NOTHING);
	assert_int_equal(pr_transition_conclude(&transition, at(1.14), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

/* Until the version is shown to be good under load, its share stays small, and
 * the load test goes on; a host that no verdict reaches ends it. */
static void test_late_load_verification_delays_the_schedule(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	for (int part = 55; part < 84; part++)
		assert_true(pr_transition_is_load_testing(&transition,
							  at(part / 100.0)));
	assert_true(pr_transition_share(&transition, at(0.99)) <=
		    PR_TRANSITION_PINNED_SHARE_MAX);
	assert_false(pr_transition_is_load_testing(&transition, at(0.85)));
	verify(&transition, 9, at(0.83));
	assert_true(pr_transition_share(&transition, at(0.82)) <=
		    PR_TRANSITION_PINNED_SHARE_MAX);
	assert_true(pr_transition_share(&transition, at(0.92)) == 1);
	assert_int_equal(pr_transition_conclude(&transition, at(0.96), 0, 4),
			 PR_CONCLUDE_DONE);
}

/* Guards against a load test that uses up the requests that a bad version may
 * get before it has shown anything (rule EXPOSURE). */
static void test_load_test_ends_with_the_exposure(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	transition.peers.old.total = 700;
	transition.peers.new.total = 60;
	assert_true(pr_transition_is_load_testing(&transition, at(0.7)));
	transition.peers.load_test.begun = 120;
	assert_false(pr_transition_is_load_testing(&transition, at(0.7)));
	transition.peers.load_test.ended = 90;
	assert_true(pr_transition_is_load_testing(&transition, at(0.7)));
	transition.peers.new.total = 150;
	assert_false(pr_transition_is_load_testing(&transition, at(0.7)));
}

/* All hosts reach the same verdict on a load test of which each made a few
 * requests, or none. */
static void test_hosts_of_a_fleet_agree_on_the_load_test(void **state)
{
	static const uint32_t fleets[] = { 9, 84, 295 };

	for (size_t i = 0; i < sizeof(fleets) / sizeof(fleets[0]) * BAD_COUNTS;
	     i++) {
		uint32_t hosts = fleets[i / BAD_COUNTS];
		uint32_t bad = i % BAD_COUNTS;
		pr_conclusion_t first = PR_CONCLUDE_NOTHING;

		for (uint32_t host = 0; host < hosts; host++) {
			pr_transition_t transition;
			pr_load_test_tally_t *own, *peers;
			pr_conclusion_t conclusion;

			begin(&transition);
			own = &transition.own.load_test;
			peers = &transition.peers.load_test;
			own->loaded = (32 + host) / hosts;
			own->loaded_bad = (bad + host) / hosts;
			peers->loaded = 32 - own->loaded;
			peers->loaded_bad = bad - own->loaded_bad;
			conclusion = pr_transition_conclude(&transition,
							    at(0.6), 0, 4);
			if (!host)
				first = conclusion;
			assert_int_equal(conclusion, first);
		}
		assert_int_equal(first, !bad      ? PR_CONCLUDE_LOAD_VERIFIED
					: bad < 7 ? PR_CONCLUDE_NOTHING
						  : PR_CONCLUDE_WITHDRAW);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_version_that_fails_under_load_is_not_done),
		cmocka_unit_test(test_version_that_is_good_under_load_is_done),
		cmocka_unit_test(test_service_with_little_traffic_is_done),
		cmocka_unit_test(
			test_late_load_verification_delays_the_schedule),
		cmocka_unit_test(test_ended_test_shows_nothing),
		cmocka_unit_test(test_stopped_test_without_load_is_enough),
		cmocka_unit_test(test_late_verification_keeps_the_load_test),
		cmocka_unit_test(test_load_test_ends_with_the_exposure),
		cmocka_unit_test(test_hosts_of_a_fleet_agree_on_the_load_test),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
