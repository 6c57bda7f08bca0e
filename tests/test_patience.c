/* Tests of src/dispatch/patience.c: the wait of an attempt for its first event,
 * on calm, overloaded and partly failed fleets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "dispatch/patience.h"
#include "pistachiorack/rand.h"

/* Expected time to the first event on a calm fleet, milliseconds. */
#define CALM_MS 200.0
/* Parts of the objective after which an attempt without progress of a stream
 * and of a plain call fails without the adaptive wait. */
#define STREAM_PART 1.25
#define PLAIN_PART  0.6
/* A sound upstream may be silent for this long. */
#define PAUSE_MS 1000.0

static pr_patience_attempt_t stream_of(double objective, double left)
{
	return (pr_patience_attempt_t){
		.objective_ms = objective,
		.left_ms = left,
		.expected_ms = CALM_MS,
		.next_ms = CALM_MS,
		.limit_ms = objective * STREAM_PART,
	};
}

/* Learns first events that arrive after 0.6 to 1.4 times the expected time. */
static void learn_calm(pr_patience_t *patience, pr_rand_t *rand, int count)
{
	for (int i = 0; i < count; i++)
		pr_patience_learn(patience, CALM_MS,
				  CALM_MS * (0.6 + 0.8 * pr_rand_unit(rand)));
}

static pr_patience_t calm_service(void)
{
	pr_patience_t patience = { 0 };
	pr_rand_t rand;

	assert_int_equal(pr_rand_init(&rand, 11), 0);
	learn_calm(&patience, &rand, 500);
	pr_rand_finish(&rand);
	return patience;
}

/* Failure: an upstream is stuck on a calm fleet. Guards against waiting for it
 * until the next attempt misses the objective. */
static void test_stuck_upstream_is_given_up_within_objective(void **state)
{
	const double objectives[] = { 2000, 4000, 8000 };
	pr_patience_t patience = calm_service();

	for (size_t i = 0; i < 3; i++) {
		pr_patience_attempt_t attempt =
			stream_of(objectives[i], 2.5 * objectives[i]);
		double wait = pr_patience_wait_ms(&patience, &attempt);

		assert_true(wait >= CALM_MS + PAUSE_MS);
		assert_true(wait + 1.5 * CALM_MS <= objectives[i]);
	}
}

/* Failure: as above, with a deadline soon after the objective. Guards against
 * moving a stream when the rest of its events no longer fits. */
static void test_stuck_upstream_leaves_time_for_the_stream(void **state)
{
	pr_patience_t patience = calm_service();
	pr_patience_attempt_t attempt = stream_of(4000, 5000);
	double wait;

	attempt.tokens = 100;
	for (int i = 0; i < 200; i++)
		pr_patience_learn_rest(&patience, 100, 2000 + i % 10);
	wait = pr_patience_wait_ms(&patience, &attempt);
	assert_true(wait >= CALM_MS + PAUSE_MS);
	assert_true(wait + 1.5 * CALM_MS + 2000 <= 5000);
	/* An upstream that would not finish in time is not given up sooner than
	 * a sound one usually responds. */
	attempt.tokens = 1000;
	assert_true(pr_patience_wait_ms(&patience, &attempt) >=
		    CALM_MS + PAUSE_MS);
}

/* Load: a burst makes the first events of a whole service late. Guards against
 * moving the queued work, which would add to the load. */
static void test_burst_moves_nothing_once_learned(void **state)
{
	const double objectives[] = { 2000, 4000, 8000 };

	for (size_t i = 0; i < 3; i++) {
		pr_patience_t patience = calm_service();
		pr_patience_attempt_t attempt =
			stream_of(objectives[i], 4 * objectives[i]);
		double last = pr_patience_wait_ms(&patience, &attempt);
		int events = 0;

		while (last < attempt.limit_ms && events < 100) {
			double wait;

			pr_patience_learn(&patience, CALM_MS,
					  objectives[i] * STREAM_PART);
			wait = pr_patience_wait_ms(&patience, &attempt);
			/* A late event never shortens the wait of others. */
			assert_true(wait >= last);
			last = wait;
			events++;
		}
		assert_true(events <= 20);
		for (int event = 0; event < 100; event++) {
			pr_patience_learn(&patience, CALM_MS,
					  objectives[i] * STREAM_PART);
			assert_true(pr_patience_wait_ms(&patience, &attempt) >=
				    attempt.limit_ms);
		}
	}
}

/* Load: a burst so sudden that every attempt is replaced before its first
 * event. Guards against learning only from early events, which would replace
 * attempts for as long as the burst lasts. */
static void test_burst_is_learned_from_replaced_attempts(void **state)
{
	pr_patience_t patience = calm_service();
	pr_patience_attempt_t attempt = stream_of(2000, 8000);
	int replaced = 0;

	for (;;) {
		double wait = pr_patience_wait_ms(&patience, &attempt);

		if (wait >= attempt.limit_ms)
			break;
		assert_true(
			pr_patience_learn_silence(&patience, CALM_MS, wait));
		replaced++;
		assert_true(replaced <= 20);
	}
	assert_true(replaced > 0);
}

/* Load: the service is calm again after a burst. Guards against a wait that
 * stays long. */
static void test_wait_returns_after_a_burst(void **state)
{
	pr_patience_t patience = calm_service();
	pr_patience_attempt_t attempt = stream_of(2000, 8000);
	double calm = pr_patience_wait_ms(&patience, &attempt);
	pr_rand_t rand;

	assert_int_equal(pr_rand_init(&rand, 12), 0);
	for (int i = 0; i < 50; i++)
		pr_patience_learn(&patience, CALM_MS, 5000);
	assert_true(pr_patience_wait_ms(&patience, &attempt) >=
		    attempt.limit_ms);
	learn_calm(&patience, &rand, 800);
	assert_true(pr_patience_wait_ms(&patience, &attempt) <= calm);
	pr_rand_finish(&rand);
}

/* Failure: three upstreams are stuck, and the silence of each is learned from
 * once. Guards against a fault of few upstreams that lengthens the wait to the
 * fixed limit. */
static void test_few_stuck_upstreams_keep_the_wait_short(void **state)
{
	pr_patience_t patience = calm_service();
	pr_patience_attempt_t attempt = stream_of(2000, 5000);
	pr_rand_t rand;

	assert_int_equal(pr_rand_init(&rand, 13), 0);
	for (int i = 0; i < 3; i++) {
		double wait = pr_patience_wait_ms(&patience, &attempt);

		assert_true(wait <= 0.8 * attempt.limit_ms);
		pr_patience_learn_silence(&patience, CALM_MS, wait);
		learn_calm(&patience, &rand, 10);
	}
	assert_true(pr_patience_wait_ms(&patience, &attempt) <=
		    0.8 * attempt.limit_ms);
	pr_rand_finish(&rand);
}

/* Failure: a caller leaves early. Guards against counting its short wait as an
 * early first event. */
static void test_short_silence_is_not_learned_from(void **state)
{
	pr_patience_t patience = calm_service();
	pr_patience_t before = patience;
	pr_patience_t unknown = { 0 };

	assert_false(pr_patience_learn_silence(&patience, CALM_MS, 20));
	assert_memory_equal(&patience, &before, sizeof(patience));
	assert_false(pr_patience_learn_silence(&unknown, CALM_MS, 20));
	assert_int_equal(unknown.samples, 0);
}

/* Failure: a sound upstream pauses for 1 s. Guards against giving up an attempt
 * that continues, unless the fixed limit comes first; at every load that the
 * expected time states. */
static void test_pause_of_a_sound_upstream_is_waited_out(void **state)
{
	pr_patience_t patience = calm_service();
	double factor = pr_patience_factor(&patience);
	pr_rand_t rand;

	assert_int_equal(pr_rand_init(&rand, 14), 0);
	assert_true(factor >= 1.5);
	for (int i = 0; i < 10000; i++) {
		pr_patience_attempt_t attempt =
			stream_of(2000 + 6000 * pr_rand_unit(&rand),
				  500 + 20000 * pr_rand_unit(&rand));
		double arrival;

		attempt.expected_ms = 3000 * pr_rand_unit(&rand);
		attempt.next_ms = attempt.expected_ms;
		attempt.used_ms = 4000 * pr_rand_unit(&rand);
		arrival = attempt.expected_ms * 1.4 + PAUSE_MS;
		assert_true(pr_patience_wait_ms(&patience, &attempt) >=
			    (arrival < attempt.limit_ms ? arrival
							: attempt.limit_ms));
	}
	pr_rand_finish(&rand);
}

/* Load: an upstream queues, and the expected time says so. Guards against
 * giving up an attempt whose wait was known when it was sent. */
static void test_queueing_upstream_is_not_given_up_early(void **state)
{
	pr_patience_t patience = calm_service();
	pr_patience_attempt_t attempt = stream_of(2000, 8000);

	attempt.expected_ms = 1000;
	attempt.next_ms = 1000;
	assert_true(pr_patience_wait_ms(&patience, &attempt) >=
		    attempt.limit_ms);
	attempt = stream_of(4000, 16000);
	attempt.expected_ms = 1800;
	attempt.next_ms = 1800;
	assert_true(pr_patience_wait_ms(&patience, &attempt) >= 2 * 1800);
}

/* Failure: the upstream is stuck and the deadline is before the objective.
 * Guards against a replacement that comes too late for the deadline, and
 * against one that cannot meet it and only costs a repeat. */
static void test_short_deadline(void **state)
{
	pr_patience_t patience = calm_service();
	pr_patience_attempt_t attempt = stream_of(4000, 2500);

	assert_true(pr_patience_wait_ms(&patience, &attempt) + 1.5 * CALM_MS <=
		    2500);
	attempt.left_ms = 1200;
	assert_true(pr_patience_wait_ms(&patience, &attempt) >=
		    attempt.left_ms);
	attempt.left_ms = -5;
	assert_true(pr_patience_wait_ms(&patience, &attempt) >=
		    attempt.limit_ms);
}

/* Failure: the second upstream is stuck too, and the objective is missed
 * already. Guards against giving up sound upstreams at once, and against
 * missing the deadline as well. */
static void test_missed_objective_leaves_the_deadline(void **state)
{
	pr_patience_t patience = calm_service();
	pr_patience_attempt_t attempt = stream_of(2000, 2400);
	double wait;

	attempt.used_ms = 2600;
	wait = pr_patience_wait_ms(&patience, &attempt);
	assert_true(wait >= CALM_MS + PAUSE_MS);
	assert_true(wait + 1.5 * CALM_MS <= attempt.left_ms);
	/* With a late deadline there is no reason to hurry. */
	attempt.left_ms = 20000;
	assert_true(pr_patience_wait_ms(&patience, &attempt) >=
		    attempt.limit_ms);
}

/* Failure: the host was replaced and has learned nothing. Guards against
 * replacing attempts by a guess. */
static void test_unknown_service_has_the_fixed_limit(void **state)
{
	pr_patience_t patience = { 0 };
	pr_patience_attempt_t attempt = stream_of(2000, 5000);
	int samples = 0;

	assert_true(pr_patience_wait_ms(NULL, &attempt) >= attempt.limit_ms);
	while (pr_patience_factor(&patience) <= 0) {
		assert_true(pr_patience_wait_ms(&patience, &attempt) >=
			    attempt.limit_ms);
		pr_patience_learn(&patience, CALM_MS, CALM_MS);
		samples++;
		assert_true(samples <= 100);
	}
	assert_true(samples >= 10);
	assert_true(pr_patience_wait_ms(&patience, &attempt) <
		    attempt.limit_ms);
}

/* Guards against a wait beyond the fixed limit, for any figures. */
static void test_never_later_than_the_fixed_limit(void **state)
{
	pr_rand_t rand;

	assert_int_equal(pr_rand_init(&rand, 15), 0);
	for (int i = 0; i < 100000; i++) {
		pr_patience_t patience = {
			.factor = 500 * pr_rand_unit(&rand),
			.samples = (uint32_t)(40 * pr_rand_unit(&rand)),
			.token_ms = 100 * pr_rand_unit(&rand),
		};
		pr_patience_attempt_t attempt = {
			.objective_ms = 10000 * pr_rand_unit(&rand),
			.used_ms = 10000 * pr_rand_unit(&rand),
			.left_ms = 40000 * pr_rand_unit(&rand) - 1000,
			.expected_ms = 10000 * pr_rand_unit(&rand),
			.next_ms = 10000 * pr_rand_unit(&rand),
			.tokens = 2000 * pr_rand_unit(&rand),
			.limit_ms = 12000 * pr_rand_unit(&rand),
		};
		double wait = pr_patience_wait_ms(&patience, &attempt);
		double raised;

		assert_true(wait <= attempt.limit_ms);
		assert_true(wait >= 0);
		patience.factor *= 1 + pr_rand_unit(&rand);
		raised = pr_patience_wait_ms(&patience, &attempt);
		assert_true(raised >= wait);
	}
	pr_rand_finish(&rand);
}

/* Failure: a plain call whose upstream does not respond. Its fixed limit is
 * below the pause of a sound upstream, and has to stay. Guards also against a
 * factor without limit when the expected time is 0. */
static void test_plain_calls_keep_the_fixed_limit(void **state)
{
	const double objectives[] = { 250, 300, 400 };
	pr_patience_t patience = { 0 };

	for (int i = 0; i < 200; i++)
		pr_patience_learn(&patience, 0, 30 + i % 40);
	assert_true(pr_patience_factor(&patience) < 3);
	for (size_t i = 0; i < 3; i++) {
		pr_patience_attempt_t attempt = {
			.objective_ms = objectives[i],
			.left_ms = 1000,
			.limit_ms = objectives[i] * PLAIN_PART,
		};
		double wait = pr_patience_wait_ms(&patience, &attempt);

		assert_true(wait >= attempt.limit_ms);
		assert_true(wait <= attempt.limit_ms);
	}
}

/* Load: steady, with times of a wide spread. Guards against a factor that is
 * too low, by which more than a few per cent of sound attempts would depend on
 * the time for a pause, and against one that drifts away. */
static void test_factor_is_a_high_quantile(void **state)
{
	pr_patience_t patience = { 0 };
	int above = 0;
	pr_rand_t rand;

	assert_int_equal(pr_rand_init(&rand, 16), 0);
	for (int i = 0; i < 22000; i++) {
		/* 2% of the samples are above 3.9 times the expected time. */
		double sample = pr_rand_exponential(&rand, CALM_MS);

		if (i >= 2000 &&
		    sample > CALM_MS * pr_patience_factor(&patience))
			above++;
		pr_patience_learn(&patience, CALM_MS, sample);
	}
	assert_in_range(above, 20000 * 1 / 100, 20000 * 4 / 100);
	pr_rand_finish(&rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_stuck_upstream_is_given_up_within_objective),
		cmocka_unit_test(
			test_stuck_upstream_leaves_time_for_the_stream),
		cmocka_unit_test(test_burst_moves_nothing_once_learned),
		cmocka_unit_test(test_burst_is_learned_from_replaced_attempts),
		cmocka_unit_test(test_wait_returns_after_a_burst),
		cmocka_unit_test(test_few_stuck_upstreams_keep_the_wait_short),
		cmocka_unit_test(test_short_silence_is_not_learned_from),
		cmocka_unit_test(test_pause_of_a_sound_upstream_is_waited_out),
		cmocka_unit_test(test_queueing_upstream_is_not_given_up_early),
		cmocka_unit_test(test_short_deadline),
		cmocka_unit_test(test_missed_objective_leaves_the_deadline),
		cmocka_unit_test(test_unknown_service_has_the_fixed_limit),
		cmocka_unit_test(test_never_later_than_the_fixed_limit),
		cmocka_unit_test(test_plain_calls_keep_the_fixed_limit),
		cmocka_unit_test(test_factor_is_a_high_quantile),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
