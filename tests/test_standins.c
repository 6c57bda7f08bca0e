/* Tests of standins/common: deterministic text, fault switch, record. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "../standins/common/faults.h"
#include "../standins/common/record.h"
#include "../standins/common/text.h"
#include "pistachiorack/error.h"

static uint64_t seed_of(const char *version, const char *content)
{
	pr_str_t prompt = PR_STR_INIT;
	json_t *messages =
		json_pack("[{s:s,s:s}]", "role", "user", "content", content);
	uint64_t seed;

	assert_int_equal(standin_text_prompt(&prompt, messages), 0);
	seed = standin_text_seed(pr_slice_of(version), pr_str_slice(&prompt));
	pr_str_finish(&prompt);
	json_decref(messages);
	return seed;
}

/* Guards against an answer that a checker accepts for another prompt, another
 * version or after a gap, and against a resumed text that does not continue. */
static void text_belongs_to_its_prompt(void **state)
{
	uint64_t seed = seed_of("small@v1", "hello");
	pr_str_t text = PR_STR_INIT;

	assert_int_equal(standin_text_append(&text, seed, 0, 7), 0);
	assert_int_equal(standin_text_append(&text, seed, 7, 20), 0);
	assert_true(standin_text_check(pr_str_slice(&text), seed, 20));
	assert_false(standin_text_check(pr_str_slice(&text), seed, 21));
	assert_false(standin_text_check(pr_str_slice(&text),
					seed_of("small@v2", "hello"), 20));
	assert_false(standin_text_check(pr_str_slice(&text),
					seed_of("small@v1", "hallo"), 20));
	text.ptr[50] = 'x';
	assert_false(standin_text_check(pr_str_slice(&text), seed, 20));
	pr_str_finish(&text);
}

/* Guards against a changed text function: recorded traces hold its output. */
static void text_is_pinned(void **state)
{
	pr_str_t text = PR_STR_INIT;

	standin_text_append(&text, seed_of("small@v1", "hello"), 0, 3);
	assert_string_equal(text.ptr, "wa07f5035 w705033a0 wa6dd099d ");
	pr_str_finish(&text);
}

/* Guards against a counted fault that hits more or fewer requests than asked,
 * and against one that hits paths outside `only`. */
static void faults_are_counted(void **state)
{
	standin_faults_t faults = { 0 };
	json_t *fields = json_pack("{s:i,s:i,s:s}", "lose_answers", 2, "refuse",
				   1, "only", "/v1/table");
	pr_slice_t path = PR_SLICE("/v1/table/commit");

	assert_int_equal(standin_faults_apply(&faults, fields), 0);
	assert_int_equal(standin_faults_entry(&faults, PR_SLICE("/v1/hosts")),
			 STANDIN_ENTRY_RUN);
	assert_int_equal(standin_faults_fate(&faults, PR_SLICE("/v1/hosts")),
			 STANDIN_FATE_WHOLE);
	assert_int_equal(standin_faults_entry(&faults, path),
			 STANDIN_ENTRY_REFUSE);
	assert_int_equal(standin_faults_entry(&faults, path),
			 STANDIN_ENTRY_RUN);
	assert_int_equal(standin_faults_fate(&faults, path), STANDIN_FATE_LOST);
	assert_int_equal(standin_faults_fate(&faults, path), STANDIN_FATE_LOST);
	assert_int_equal(standin_faults_fate(&faults, path),
			 STANDIN_FATE_WHOLE);
	json_decref(fields);
}

/* Guards against a control request that is applied in part. */
static void bad_control_changes_nothing(void **state)
{
	standin_faults_t faults = { .slow_ms = 5 };
	json_t *fields = json_pack("{s:b,s:i,s:s}", "clear", 1, "slow_ms", 9,
				   "outage", "yes");

	assert_int_equal(standin_faults_apply(&faults, fields), PR_EINVALID);
	assert_int_equal(faults.slow_ms, 5);
	json_decref(fields);
}

/* Guards against a record that grows without bound or hides what it dropped. */
static void record_is_bounded(void **state)
{
	standin_record_t record;
	json_t *out;
	json_t *entries;

	assert_int_equal(standin_record_init(&record, 4), 0);
	for (int i = 1; i <= 10; i++)
		standin_record_add(&record, json_pack("{s:i}", "i", i));
	out = standin_record_json(&record, 0, 100);
	entries = json_object_get(out, "entries");
	assert_int_equal(json_integer_value(json_object_get(out, "dropped")),
			 6);
	assert_int_equal(json_array_size(entries), 4);
	assert_int_equal(json_integer_value(json_object_get(
				 json_array_get(entries, 0), "i")),
			 7);
	json_decref(out);
	out = standin_record_json(&record, 9, 100);
	assert_int_equal(json_array_size(json_object_get(out, "entries")), 1);
	json_decref(out);
	out = standin_record_json(&record, 0, 2);
	entries = json_object_get(out, "entries");
	assert_int_equal(json_array_size(entries), 2);
	assert_int_equal(json_integer_value(json_object_get(
				 json_array_get(entries, 1), "seq")),
			 8);
	json_decref(out);
	standin_record_finish(&record);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(text_belongs_to_its_prompt),
		cmocka_unit_test(text_is_pinned),
		cmocka_unit_test(faults_are_counted),
		cmocka_unit_test(bad_control_changes_nothing),
		cmocka_unit_test(record_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
