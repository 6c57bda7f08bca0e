/* Tests of src/cascade: which model's answer a caller gets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "cascade/cascade.h"

static size_t next(size_t models, size_t model, uint32_t confidence)
{
	pr_cascade_input_t input = { .models = models,
				     .model = model,
				     .confidence = confidence,
				     .target_ms = 2000,
				     .wait_ms = 200 };

	return pr_cascade_next_model(&input);
}

/* A model in the middle doubted itself as often as the small one, and the
 * third run that followed was refused by the budget of repeats. */
static void test_doubt_goes_to_the_largest_at_once(void **state)
{
	assert_int_equal(pr_cascade_first_model(3), 0);
	assert_int_equal(next(3, 0, 10), 2);
	assert_int_equal(next(2, 0, 10), 1);
}

static void test_confident_answer_is_kept(void **state)
{
	assert_int_equal(next(3, 0, 90), 0);
	assert_int_equal(next(3, 2, 0), 2);
	assert_int_equal(next(1, 0, 0), 0);
}

/* burst, cold_return: a third of the upstreams is gone while traffic rises. The
 * largest model's answers would be late, and make all others late. */
static void test_long_wait_keeps_probable_answers(void **state)
{
	pr_cascade_input_t input = { .models = 3,
				     .confidence = 40,
				     .target_ms = 2000,
				     .elapsed_ms = 600 };

	input.wait_ms = 100;
	assert_int_equal(pr_cascade_next_model(&input), 2);
	input.wait_ms = 1300;
	assert_int_equal(pr_cascade_next_model(&input), 0);
	/* A small model that all but knows that it failed is not kept. */
	input.confidence = 2;
	assert_int_equal(pr_cascade_next_model(&input), 2);
}

/* burst on the grown sites: twice as many answers are doubted as the largest
 * model can give. Its queue grew to the whole objective before doubt was borne,
 * so that every answer in it was late; a quarter of the objective stays for the
 * wait elsewhere. */
static void test_queue_of_the_largest_model_stays_short(void **state)
{
	const double reading_ms = 100, arrival_ms = 20, target_ms = 2000;
	double backlog_ms = 0, longest_ms = 0;

	for (uint32_t i = 0; i < 1000; i++) {
		pr_cascade_input_t input = { .models = 3,
					     .confidence = i * 37 % 101,
					     .target_ms = target_ms,
					     .wait_ms = backlog_ms };

		if (pr_cascade_next_model(&input))
			backlog_ms += reading_ms;
		backlog_ms =
			backlog_ms > arrival_ms ? backlog_ms - arrival_ms : 0;
		if (backlog_ms > longest_ms)
			longest_ms = backlog_ms;
	}
	assert_true(longest_ms <= target_ms * 3 / 4);
}

/* quiet-1: the largest prompts, which are worth most, take the largest model a
 * third of the objective to read. Nobody waits, so doubt is not borne. */
static void test_long_prompt_without_a_queue_is_escalated(void **state)
{
	pr_cascade_input_t input = { .models = 3,
				     .confidence = 45,
				     .target_ms = 4000,
				     .elapsed_ms = 300,
				     .reading_ms = 1500 };

	assert_int_equal(pr_cascade_next_model(&input), 2);
	input.wait_ms = 1600;
	assert_int_equal(pr_cascade_next_model(&input), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_doubt_goes_to_the_largest_at_once),
		cmocka_unit_test(test_confident_answer_is_kept),
		cmocka_unit_test(test_long_wait_keeps_probable_answers),
		cmocka_unit_test(test_queue_of_the_largest_model_stays_short),
		cmocka_unit_test(test_long_prompt_without_a_queue_is_escalated),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
