/* Tests of src/report: burn windows, alerts and their merge over hosts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "pistachiorack/report.h"

#define ALLOWED 0.05
#define MINUTE  (60 * PR_USEC_PER_SEC)

/* Guards against an alert that comes late or stays after the cause is gone. */
static void alert_starts_and_ends(void **state)
{
	pr_usec_t now = 6000 * MINUTE;
	pr_burn_t burn;

	assert_int_equal(pr_burn_init(&burn, 4), 0);
	for (int i = 0; i < 3600; i++, now += PR_USEC_PER_SEC)
		pr_burn_record(&burn, now, "w1", PR_OBJECTIVE_AVAILABLE, NULL);
	assert_int_equal(pr_burn_alert(&burn.series[0], now, ALLOWED),
			 PR_ALERT_NONE);
	for (int i = 0; i < 3600; i++, now += PR_USEC_PER_SEC)
		pr_burn_record(&burn, now, "w1", PR_OBJECTIVE_AVAILABLE,
			       "zone=prai");
	assert_int_equal(pr_burn_alert(&burn.series[0], now, ALLOWED),
			 PR_ALERT_PAGE);
	assert_string_equal(burn.series[0].causes[0].name, "zone=prai");
	for (int i = 0; i < 400; i++, now += PR_USEC_PER_SEC)
		pr_burn_record(&burn, now, "w1", PR_OBJECTIVE_AVAILABLE, NULL);
	assert_int_not_equal(pr_burn_alert(&burn.series[0], now, ALLOWED),
			     PR_ALERT_PAGE);
	pr_burn_finish(&burn);
}

/* Guards against old events that stay in a window after an idle time. */
static void idle_time_clears_slots(void **state)
{
	pr_usec_t now = 1000 * MINUTE;
	pr_burn_t burn;

	assert_int_equal(pr_burn_init(&burn, 4), 0);
	pr_burn_record(&burn, now, "w1", PR_OBJECTIVE_FIRST_TOKEN, "limit=x");
	assert_true(pr_burn_rate(&burn.series[0], 0, now, ALLOWED) > 19);
	now += 6 * MINUTE;
	assert_true(pr_burn_rate(&burn.series[0], 0, now, ALLOWED) == 0);
	assert_true(pr_burn_rate(&burn.series[0], 1, now, ALLOWED) > 19);
	pr_burn_finish(&burn);
}

/* Guards against a merge that loses or doubles events of a host. */
static void merge_adds_hosts(void **state)
{
	pr_usec_t first = 500 * MINUTE, second = 9000 * MINUTE;
	pr_burn_t a, b, sum;
	pr_str_t text = PR_STR_INIT;

	pr_burn_init(&a, 4);
	pr_burn_init(&b, 4);
	pr_burn_init(&sum, 4);
	for (int i = 0; i < 90; i++)
		pr_burn_record(&a, first, "w1", PR_OBJECTIVE_AVAILABLE, NULL);
	for (int i = 0; i < 10; i++)
		pr_burn_record(&b, second, "w1", PR_OBJECTIVE_AVAILABLE, "x");
	pr_burn_print(&a, first, &text);
	assert_int_equal(pr_burn_merge(&sum, MINUTE * 800, pr_str_slice(&text)),
			 0);
	pr_str_clear(&text);
	pr_burn_print(&b, second, &text);
	assert_int_equal(pr_burn_merge(&sum, MINUTE * 800, pr_str_slice(&text)),
			 0);
	assert_int_equal(sum.count, 1);
	assert_true(pr_burn_rate(&sum.series[0], 0, MINUTE * 800, 0.1) > 0.99);
	assert_true(pr_burn_rate(&sum.series[0], 0, MINUTE * 800, 0.1) < 1.01);
	assert_int_equal(sum.series[0].causes[0].bad, 10);
	pr_str_finish(&text);
	pr_burn_finish(&a);
	pr_burn_finish(&b);
	pr_burn_finish(&sum);
}

/* Guards against a long whole answer that counts as a late first token, and
 * against a stream whose tokens come too slowly but whose first was in time. */
static void late_answers_are_told_from_long_ones(void **state)
{
	pr_answer_times_t whole = { .first = 4000 * PR_USEC_PER_MSEC,
				    .last = 4000 * PR_USEC_PER_MSEC,
				    .tokens = 101 };
	pr_answer_times_t stream = { .stream = true,
				     .first = 900 * PR_USEC_PER_MSEC,
				     .last = 4400 * PR_USEC_PER_MSEC,
				     .tokens = 101 };

	assert_false(pr_answer_first_late(&whole, 990, 35));
	whole.tokens = 51;
	assert_true(pr_answer_first_late(&whole, 990, 35));
	assert_false(pr_answer_between_late(&whole, 35));
	assert_false(pr_answer_first_late(&stream, 990, 35));
	assert_false(pr_answer_between_late(&stream, 35));
	stream.last += 1;
	assert_true(pr_answer_between_late(&stream, 35));
	stream.first = 991 * PR_USEC_PER_MSEC;
	assert_true(pr_answer_first_late(&stream, 990, 35));
	stream.tokens = 1;
	assert_false(pr_answer_between_late(&stream, 35));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(alert_starts_and_ends),
		cmocka_unit_test(idle_time_clears_slots),
		cmocka_unit_test(merge_adds_hosts),
		cmocka_unit_test(late_answers_are_told_from_long_ones),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
