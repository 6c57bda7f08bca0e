/* Tests of src/place/prefill: prompts count by the time that they take. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "place/prefill.h"

/* A large model reads ten times slower; a queue counted in tokens sent it the
 * same number of prompts as a small one. */
static void test_models_are_told_apart(void **state)
{
	pr_prefill_rates_t reading = { 0 };

	for (int i = 0; i < 200; i++) {
		pr_prefill_learn(&reading, "small", 6000, 30);
		pr_prefill_learn(&reading, "large", 6000, 300);
	}
	assert_true(pr_prefill_ms(&reading, "large", 6000) >
		    5 * pr_prefill_ms(&reading, "small", 6000));
}

/* srv_slow: a few slow upstreams must not pass for the usual. */
static void test_outliers_move_it_little(void **state)
{
	pr_prefill_rates_t reading = { 0 };

	for (int i = 0; i < 400; i++)
		pr_prefill_learn(&reading, "m", 1000, i % 8 ? 20 : 2000);
	assert_true(pr_prefill_ms(&reading, "m", 1000) < 40);
}

static void test_short_prompts_are_left_out(void **state)
{
	pr_prefill_rates_t reading = { 0 };
	double before = pr_prefill_ms(&reading, "m", 1000);

	pr_prefill_learn(&reading, "m", 10, 500);
	assert_true(pr_prefill_ms(&reading, "m", 1000) == before);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_models_are_told_apart),
		cmocka_unit_test(test_outliers_move_it_little),
		cmocka_unit_test(test_short_prompts_are_left_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
