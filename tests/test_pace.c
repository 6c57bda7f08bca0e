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
	for (int i = 0; i < 100; i++)
		pr_pace_learn(&pace, 5, 30 + i % 20);
	assert_false(pr_pace_is_slow(&pace, 5, 50));
	assert_true(pr_pace_is_slow(&pace, 5, 160));
	assert_false(pr_pace_is_slow(&pace, 6, 160));
	for (uint64_t kind = 10; kind < 200; kind++)
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
					   now + PR_USEC_PER_SEC, &ms));
	assert_true(ms == 100);
	/* Each attempt is measured once. */
	assert_false(pr_pace_measure_stream(&stream, 30, true,
					    now + 9 * PR_USEC_PER_SEC, &ms));
	stream = (pr_pace_stream_t){ 0 };
	assert_false(pr_pace_measure_stream(&stream, 30, true, now, &ms));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_is_several_times_the_median),
		cmocka_unit_test(
			test_pace_of_a_stream_excludes_earlier_attempts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
