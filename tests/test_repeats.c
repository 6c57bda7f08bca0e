/* Tests of src/limits: the sum of all hosts keeps to the bound. */
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

/* Every request fails everywhere: no window of the length may hold more
 * repeats than the ratio of its requests and the slack. */
static void test_sum_over_hosts_stays_below_the_bound(void **state)
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
		uint32_t asked = 0, sent = 0, before = 0;

		for (int slot = first; slot < first + 100; slot++) {
			asked += requests[slot];
			sent += repeats[slot];
			before += requests[slot - 100];
		}
		if (before > asked)
			asked = before;
		assert_true(sent <= RATIO * asked + SLACK);
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
		cmocka_unit_test(test_sum_over_hosts_stays_below_the_bound),
		cmocka_unit_test(test_old_repeats_leave_the_window),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
