/* Tests of src/limits: the repeat budget of one host and of all hosts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "limits/repeats.h"

#define WINDOW (10 * PR_USEC_PER_SEC)
#define RATIO  0.9
#define SLACK  56
#define HOSTS  8

/* Guards against more repeats over all hosts than the limit when each request
 * fails on each upstream. No window may contain more repeats than the ratio
 * times the requests of that window or of the one before it, plus the slack. */
static void test_sum_over_hosts_stays_within_the_limit(void **state)
{
	static pr_repeat_budget_t hosts[HOSTS];
	static uint32_t requests[600], repeats[600];
	int slots = 600;

	for (int i = 0; i < HOSTS; i++)
		pr_repeat_budget_init(&hosts[i], WINDOW);
	for (int slot = 0; slot < slots; slot++) {
		pr_usec_t now = 1 + (pr_usec_t)slot * 100 * PR_USEC_PER_MSEC;
		int load = slot % 150 < 20 ? 40 : 5;

		for (int i = 0; i < load; i++) {
			pr_repeat_budget_t *host = &hosts[i % HOSTS];

			pr_repeat_budget_add_request(host, now);
			requests[slot]++;
			for (int j = 0; j < 3; j++)
				repeats[slot] += pr_repeat_budget_take(
					host, RATIO * 0.85,
					(uint32_t)(0.85 * SLACK / HOSTS), now);
		}
	}
	for (int first = 100; first + 100 <= slots; first++) {
		uint32_t requested = 0, repeated = 0, before = 0;

		for (int slot = first; slot < first + 100; slot++) {
			requested += requests[slot];
			repeated += repeats[slot];
			before += requests[slot - 100];
		}
		if (before > requested)
			requested = before;
		assert_true(repeated <= RATIO * requested + SLACK);
	}
}

static void test_old_repeats_leave_the_window(void **state)
{
	pr_repeat_budget_t budget;

	pr_repeat_budget_init(&budget, WINDOW);
	for (int i = 0; i < 5; i++)
		assert_true(pr_repeat_budget_take(&budget, 0.5, 5, 1));
	assert_false(pr_repeat_budget_take(&budget, 0.5, 5, 1));
	assert_false(pr_repeat_budget_take(&budget, 0.5, 5, WINDOW / 2));
	assert_true(pr_repeat_budget_take(&budget, 0.5, 5, 2 * WINDOW));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sum_over_hosts_stays_within_the_limit),
		cmocka_unit_test(test_old_repeats_leave_the_window),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
