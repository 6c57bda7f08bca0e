/* Tests of src/place/prefill: the learned time to prefill a prompt. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "place/prefill.h"

/* Guards against queues that are counted in tokens: a large model, whose
 * prefill is ten times slower, got the same number of prompts as a small one.
 */
static void test_each_model_has_its_own_rate(void **state)
{
	pr_prefill_rates_t reading = { 0 };

	for (int i = 0; i < 200; i++) {
		pr_prefill_learn(&reading, "small", 6000, 30);
		pr_prefill_learn(&reading, "large", 6000, 300);
	}
	assert_true(pr_prefill_ms(&reading, "large", 6000) >
		    5 * pr_prefill_ms(&reading, "small", 6000));
}

/* Guards against a few slow upstreams (event kind srv_slow) that raise the
 * estimate for all. */
static void test_outliers_move_the_rate_little(void **state)
{
	pr_prefill_rates_t reading = { 0 };

	for (int i = 0; i < 400; i++)
		pr_prefill_learn(&reading, "m", 1000, i % 8 ? 20 : 2000);
	assert_true(pr_prefill_ms(&reading, "m", 1000) < 40);
}

static void test_short_prompts_are_ignored(void **state)
{
	pr_prefill_rates_t reading = { 0 };
	double before = pr_prefill_ms(&reading, "m", 1000);

	pr_prefill_learn(&reading, "m", 10, 500);
	assert_true(pr_prefill_ms(&reading, "m", 1000) == before);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_model_has_its_own_rate),
		cmocka_unit_test(test_outliers_move_the_rate_little),
		cmocka_unit_test(test_short_prompts_are_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
