/* Tests of the platform stand-in's table, budget, ratings and host list. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "../standins/common/budget.h"
#include "../standins/common/host_list.h"
#include "../standins/common/score.h"
#include "../standins/common/table.h"
#include "pistachiorack/error.h"

static bool apply(tables_t *tables, const char *text, json_int_t *version)
{
	json_t *op = json_loads(text, 0, NULL);
	json_t *result;
	bool applied;

	assert_int_equal(tables_apply(tables, op, &result), 0);
	applied = json_is_true(json_object_get(result, "applied"));
	*version = json_integer_value(json_object_get(result, "version"));
	json_decref(result);
	json_decref(op);
	return applied;
}

/* Guards against a conditional write that two writers win, and against a
 * version that starts again after a deletion, so that an old writer wins. */
static void conditions_hold(void **state)
{
	tables_t *tables = calloc(1, sizeof(*tables));
	json_int_t version;

	tables->rows_max = 100;
	assert_true(apply(tables,
			  "{\"table\":\"t\",\"key\":\"k\",\"if\":\"absent\","
			  "\"value\":1}",
			  &version));
	assert_false(apply(tables,
			   "{\"table\":\"t\",\"key\":\"k\",\"if\":\"absent\","
			   "\"value\":2}",
			   &version));
	assert_true(apply(tables,
			  "{\"table\":\"t\",\"key\":\"k\",\"if\":\"version\","
			  "\"version\":1,\"value\":null}",
			  &version));
	assert_int_equal(version, 2);
	assert_true(apply(tables,
			  "{\"table\":\"t\",\"key\":\"k\",\"if\":\"absent\","
			  "\"value\":3}",
			  &version));
	assert_int_equal(version, 3);
	assert_false(apply(tables,
			   "{\"table\":\"t\",\"key\":\"k\",\"if\":\"version\","
			   "\"version\":1,\"value\":4}",
			   &version));
	assert_int_equal(tables_find(tables, "t", "k")->version, 3);
	tables_finish(tables);
	free(tables);
}

/* Guards against a list that is unsorted, leaves the prefix, or repeats the
 * row that a page ended with. */
static void lists_are_sorted_pages(void **state)
{
	static const char *const keys[] = { "b/2", "a/1", "b/1", "c/1", "b/3" };
	tables_t *tables = calloc(1, sizeof(*tables));
	json_int_t version;
	json_t *list;
	char text[128];

	tables->rows_max = 100;
	for (int i = 0; i < 5; i++) {
		snprintf(text, sizeof(text),
			 "{\"table\":\"t\",\"key\":\"%s\",\"value\":%d}",
			 keys[i], i);
		assert_true(apply(tables, text, &version));
	}
	list = tables_list(tables, "t", "b/", "", 2);
	assert_int_equal(json_array_size(list), 2);
	assert_string_equal(json_string_value(json_object_get(
				    json_array_get(list, 1), "key")),
			    "b/2");
	json_decref(list);
	list = tables_list(tables, "t", "b/", "b/2", 10);
	assert_int_equal(json_array_size(list), 1);
	json_decref(list);
	tables_finish(tables);
	free(tables);
}

/* Guards against an operation of the wrong shape that is applied, and against
 * a table without bound. */
static void bad_operations_are_refused(void **state)
{
	static const char no_version[] = "{\"table\":\"t\",\"key\":\"k\","
					 "\"if\":\"version\",\"value\":1}";
	const char *const bad[] = {
		"{\"table\":\"t\",\"key\":\"k\"}",
		"{\"table\":\"t\",\"key\":\"\",\"value\":1}",
		"{\"table\":\"t/u\",\"key\":\"k\",\"value\":1}",
		"{\"table\":\"t\",\"key\":\"k\",\"if\":\"maybe\",\"value\":1}",
		no_version,
	};
	tables_t *tables = calloc(1, sizeof(*tables));
	json_t *result;
	json_t *op;

	tables->rows_max = 0;
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		op = json_loads(bad[i], 0, NULL);
		assert_non_null(op);
		assert_int_equal(tables_apply(tables, op, &result),
				 PR_EINVALID);
		json_decref(op);
	}
	op = json_loads("{\"table\":\"t\",\"key\":\"k\",\"value\":1}", 0, NULL);
	assert_int_equal(tables_apply(tables, op, &result), PR_EFULL);
	json_decref(op);
	tables_finish(tables);
	free(tables);
}

/* Guards against a budget that lets more through than its rate. */
static void budget_keeps_its_rate(void **state)
{
	budget_t budget;
	int passed = 0;

	budget_init(&budget, 100, 0);
	for (pr_usec_t now = 0; now < 10 * PR_USEC_PER_SEC; now += 1000)
		passed += budget_take(&budget, 1, now);
	assert_in_range(passed, 1090, 1101);
	assert_true(budget.refused > 0);
}

/* Guards against scores that do not follow the quality, or that differ when
 * asked for again. */
static void scores_follow_quality(void **state)
{
	json_t *quality =
		json_pack("{s:f,s:f}", "small@v1", 0.8, "tag/small@v1", 0.2);
	double sum = 0;

	for (int i = 0; i < 4000; i++) {
		char request[32];
		json_t *asked;
		double score;

		snprintf(request, sizeof(request), "r%d", i);
		asked = json_pack("{s:s,s:s,s:s,s:s}", "request", request,
				  "class", i % 2 ? "tag" : "route", "model",
				  "small", "version", "v1");
		score = score_draw(quality, 0.5, 7, asked);
		assert_true(score == score_draw(quality, 0.5, 7, asked));
		sum += i % 2 ? score : 1 - score;
		json_decref(asked);
	}
	assert_in_range((int)sum, 700, 900);
	json_decref(quality);
}

/* Guards against a host list that keeps hosts that are gone. */
static void hosts_merge_by_name(void **state)
{
	json_t *list = json_array();
	json_t *change = json_loads("[{\"host\":\"a\",\"zone\":\"z\"},"
				    "{\"host\":\"b\",\"state\":\"leaving\"}]",
				    0, NULL);

	host_list_merge(list, "host", change);
	host_list_merge(list, "host", change);
	assert_int_equal(json_array_size(list), 2);
	json_decref(change);
	change = json_loads("[{\"host\":\"a\",\"state\":\"gone\"}]", 0, NULL);
	host_list_merge(list, "host", change);
	assert_int_equal(json_array_size(list), 1);
	assert_string_equal(json_string_value(json_object_get(
				    json_array_get(list, 0), "state")),
			    "leaving");
	json_decref(change);
	json_decref(list);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(conditions_hold),
		cmocka_unit_test(lists_are_sorted_pages),
		cmocka_unit_test(bad_operations_are_refused),
		cmocka_unit_test(budget_keeps_its_rate),
		cmocka_unit_test(scores_follow_quality),
		cmocka_unit_test(hosts_merge_by_name),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
