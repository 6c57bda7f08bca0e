/*
 * Tests of src/store/missed.c: the changes that a full read shows after a lost
 * history, as they go to other hosts. Guards against changes that these skip.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pistachiorack/error.h"
#include "store/missed.h"
#include "revision.h"

static void add(pr_store_rows_t *missed, const char *key, uint64_t version)
{
	pr_store_row_t row = { .key = strdup(key), .version = rev(version) };

	assert_int_equal(pr_missed_move(missed, &row), 0);
	assert_null(row.key);
}

static const pr_store_row_t *find(const pr_store_rows_t *missed,
				  const char *key)
{
	for (size_t i = 0; i < missed->count; i++) {
		if (!strcmp(missed->rows[i].key, key))
			return &missed->rows[i];
	}
	return NULL;
}

/* Hosts apply rows in order and skip those whose version they have. */
static void test_versions_increase(void **state)
{
	pr_store_rows_t missed = { 0 };

	add(&missed, "changed-late", 19);
	add(&missed, "changed", 14);
	assert_int_equal(pr_missed_add_removed(&missed, "gone-1"), 0);
	assert_int_equal(pr_missed_add_removed(&missed, "gone-2"), 0);
	assert_int_equal(pr_missed_add_removed(&missed, "gone-3"), 0);
	assert_int_equal(pr_missed_order(&missed, rev(10), rev(20)), 0);
	assert_int_equal(missed.count, 5);
	for (size_t i = 0; i < missed.count; i++) {
		assert_true(missed.rows[i].version.number > 10);
		assert_true(missed.rows[i].version.number <= 20);
		assert_true(!i ||
			    pr_revision_is_after(missed.rows[i].version,
						 missed.rows[i - 1].version));
	}
	assert_true(find(&missed, "gone-2")->removed);
	assert_int_equal(find(&missed, "changed")->version.number, 14);
	pr_store_rows_finish(&missed);
}

/* A row of a later page is newer than the read: the feed returns it. */
static void test_rows_behind_the_read_are_left_out(void **state)
{
	pr_store_rows_t missed = { 0 };

	add(&missed, "later", 25);
	add(&missed, "changed", 20);
	assert_int_equal(pr_missed_add_removed(&missed, "gone"), 0);
	assert_int_equal(pr_missed_order(&missed, rev(10), rev(20)), 0);
	assert_int_equal(missed.count, 2);
	assert_null(find(&missed, "later"));
	assert_int_equal(find(&missed, "gone")->version.number, 19);
	pr_store_rows_finish(&missed);
}

/* One transaction may have removed all of them. */
static void test_more_removed_than_versions(void **state)
{
	pr_store_rows_t missed = { 0 };

	add(&missed, "changed", 11);
	for (int i = 0; i < 2; i++)
		assert_int_equal(pr_missed_add_removed(&missed, "gone"), 0);
	assert_int_equal(pr_missed_order(&missed, rev(10), rev(12)), PR_EFULL);
	pr_store_rows_finish(&missed);
	assert_int_equal(pr_missed_order(&missed, rev(10), rev(12)), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_versions_increase),
		cmocka_unit_test(test_rows_behind_the_read_are_left_out),
		cmocka_unit_test(test_more_removed_than_versions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
