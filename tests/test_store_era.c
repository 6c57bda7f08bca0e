/*
 * Tests of src/store/era. Guards against a host that misses the return of the
 * store from an older copy, or takes an odd statement for one.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "store/era.h"

static void test_rises(void **state)
{
	pr_era_t era = { 0 };

	assert_int_equal(pr_era_note(&era, PR_SLICE("3")), PR_ERA_FIRST);
	assert_int_equal(pr_era_note(&era, PR_SLICE("3")), PR_ERA_SAME);
	assert_int_equal(pr_era_note(&era, PR_SLICE("4")), PR_ERA_RISEN);
	assert_int_equal(pr_era_note(&era, PR_SLICE("4")), PR_ERA_SAME);
	/* This host saw nothing of two returns in between. */
	assert_int_equal(pr_era_note(&era, PR_SLICE("7")), PR_ERA_UNCONFIRMED);
	assert_int_equal(era.current, 4);
	assert_int_equal(pr_era_note(&era, PR_SLICE("7")), PR_ERA_RISEN);
	assert_int_equal(era.current, 7);
}

/* CONFIG: after one wrong answer the next return was no rise. */
static void test_one_answer_far_ahead(void **state)
{
	pr_era_t era = { 0 };

	pr_era_note(&era, PR_SLICE("9"));
	assert_int_equal(pr_era_note(&era, PR_SLICE("1000000")),
			 PR_ERA_UNCONFIRMED);
	assert_int_equal(pr_era_note(&era, PR_SLICE("9")), PR_ERA_SAME);
	assert_int_equal(pr_era_note(&era, PR_SLICE("1000000")),
			 PR_ERA_UNCONFIRMED);
	assert_int_equal(pr_era_note(&era, PR_SLICE("2000000")),
			 PR_ERA_UNCONFIRMED);
	assert_int_equal(pr_era_note(&era, PR_SLICE("10")), PR_ERA_RISEN);
	assert_int_equal(era.current, 10);
}

/* A store of an earlier release states no era. */
static void test_never_stated(void **state)
{
	pr_era_t era = { 0 };

	assert_int_equal(pr_era_note(&era, pr_slice(NULL, 0)), PR_ERA_SAME);
	assert_int_equal(pr_era_note(&era, pr_slice(NULL, 0)), PR_ERA_SAME);
	assert_int_equal(era.current, 0);
	assert_false(era.is_stated);
}

static void test_starts_at_zero(void **state)
{
	pr_era_t era = { 0 };

	assert_int_equal(pr_era_note(&era, PR_SLICE("0")), PR_ERA_FIRST);
	assert_int_equal(pr_era_note(&era, PR_SLICE("0")), PR_ERA_SAME);
	assert_int_equal(pr_era_note(&era, PR_SLICE("1")), PR_ERA_RISEN);
}

static void test_odd_statements_change_nothing(void **state)
{
	static const struct {
		const char *text;
		pr_era_verdict_t verdict;
	} odd[] = {
		{ NULL, PR_ERA_MISSING },
		{ "", PR_ERA_UNREADABLE },
		{ "four", PR_ERA_UNREADABLE },
		{ "-4", PR_ERA_UNREADABLE },
		{ "4.5", PR_ERA_UNREADABLE },
		{ "0x9", PR_ERA_UNREADABLE },
		{ "99999999999999999999999", PR_ERA_UNREADABLE },
		{ "2", PR_ERA_FALLEN },
		{ "0", PR_ERA_FALLEN },
	};
	pr_era_t era = { 0 };

	pr_era_note(&era, PR_SLICE("3"));
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		pr_slice_t text = odd[i].text ? pr_slice_of(odd[i].text)
					      : pr_slice(NULL, 0);

		assert_int_equal(pr_era_note(&era, text), odd[i].verdict);
		assert_int_equal(era.current, 3);
		assert_int_equal(pr_era_note(&era, PR_SLICE("3")), PR_ERA_SAME);
	}
	assert_int_equal(pr_era_note(&era, PR_SLICE("4")), PR_ERA_RISEN);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rises),
		cmocka_unit_test(test_one_answer_far_ahead),
		cmocka_unit_test(test_never_stated),
		cmocka_unit_test(test_starts_at_zero),
		cmocka_unit_test(test_odd_statements_change_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
