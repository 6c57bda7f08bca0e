/* Tests of src/transition/pace.c: pace of streams and the normal pace. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "transition/pace.h"

static void test_slow_is_several_times_the_median(void **state)
{
	static pr_pace_t pace;

	memset(&pace, 0, sizeof(pace));
	/* No answer is slow while the normal pace is unknown. */
	assert_false(pr_pace_is_slow(&pace, 5, 1000));
	assert_false(pr_pace_is_known(&pace, 5));
	for (int i = 0; i < 100; i++)
		pr_pace_learn(&pace, 5, 30 + i % 20);
	assert_true(pr_pace_is_known(&pace, 5));
	assert_false(pr_pace_is_slow(&pace, 5, 50));
	assert_true(pr_pace_is_slow(&pace, 5, 160));
	assert_false(pr_pace_is_slow(&pace, 6, 160));
	for (uint64_t kind = 10; kind < 1000; kind++)
		pr_pace_learn(&pace, kind, 30);
	assert_int_equal(pace.count, PR_PACE_KINDS_MAX);
}

/* Guards against a resumed stream without further events that counts as slow:
 * the events of the earlier attempt were counted from time 0. */
static void test_pace_of_a_stream_excludes_earlier_attempts(void **state)
{
	const pr_usec_t now = 100 * PR_USEC_PER_SEC;
	pr_pace_stream_t stream = { 0 };
	double ms = 0;

	assert_false(pr_pace_measure_stream(&stream, 1, false, now, &ms));
	assert_false(pr_pace_measure_stream(&stream, 6, false,
					    now + PR_USEC_PER_SEC, &ms));
	assert_true(pr_pace_measure_stream(&stream, 11, false,
					   now + 2 * PR_USEC_PER_SEC, &ms));
	assert_true(ms == 200);
	/* Each attempt is measured once. */
	assert_false(pr_pace_measure_stream(&stream, 30, true,
					    now + 9 * PR_USEC_PER_SEC, &ms));
	stream = (pr_pace_stream_t){ 0 };
	assert_false(pr_pace_measure_stream(&stream, 30, true, now, &ms));
}

/* Guards against a normal pace so far above that of most answers, since a few
 * of them wait for the prompts of other requests, that a version several times
 * slower appears normal (day "hasty": a third of the answers of the old version
 * were slow). */
static void test_pace_of_a_stream_excludes_pauses(void **state)
{
	static const int pauses[] = {
		24, 24, 180, 24, 24, 600, 24, 160, 24, 24
	};
	pr_usec_t now = 100 * PR_USEC_PER_SEC;
	pr_pace_stream_t stream = { 0 };
	double ms = 0;
	bool measured = pr_pace_measure_stream(&stream, 1, false, now, &ms);

	for (uint64_t i = 0; i < 10; i++) {
		assert_false(measured);
		now += pauses[i] * PR_USEC_PER_MSEC;
		measured =
			pr_pace_measure_stream(&stream, i + 2, false, now, &ms);
	}
	assert_true(measured);
	assert_true(ms > 23 && ms < 25);
	/* A stream of three events is measured at its end. */
	stream = (pr_pace_stream_t){ 0 };
	for (uint64_t i = 0; i < 3; i++)
		assert_false(pr_pace_measure_stream(
			&stream, i + 1, false, now + i * 100 * PR_USEC_PER_MSEC,
			&ms));
	assert_true(pr_pace_measure_stream(&stream, 3, true,
					   now + 9 * PR_USEC_PER_SEC, &ms));
	assert_true(ms > 99 && ms < 101);
}

/*
 * Guards against a normal pace that starts from an unusually slow answer and is
 * still too high when it is used first, and against hosts of a large fleet that
 * know no normal pace when an order begins: on 295 hosts, each saw one or two
 * answers of the service in a second.
 */
static void test_normal_pace_is_known_after_few_answers(void **state)
{
	static const double paces[] = { 240, 25, 24, 180, 26, 24, 25, 60 };
	static pr_pace_t pace;

	memset(&pace, 0, sizeof(pace));
	for (size_t i = 0; i < sizeof(paces) / sizeof(paces[0]); i++) {
		assert_false(pr_pace_is_known(&pace, 5));
		pr_pace_learn(&pace, 5, paces[i]);
	}
	assert_true(pr_pace_is_known(&pace, 5));
	assert_true(pr_pace_is_slow(&pace, 5, 60));
	assert_false(pr_pace_is_slow(&pace, 5, 30));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_is_several_times_the_median),
		cmocka_unit_test(
			test_pace_of_a_stream_excludes_earlier_attempts),
		cmocka_unit_test(test_pace_of_a_stream_excludes_pauses),
		cmocka_unit_test(test_normal_pace_is_known_after_few_answers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
