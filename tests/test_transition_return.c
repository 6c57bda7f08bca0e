/* Tests of src/transition/merge.c, and of conclusions after the store has
 * returned from an older copy. */
#include "transition_return.h"

static pr_transition_row_t any_row(uint32_t *random)
{
	static const char names[][3] = { "", "v0", "v1" };
	pr_transition_row_t row = { .order = 100 };

	*random = *random * 1664525 + 1013904223;
	row.state = (pr_rollout_state_t)((*random >> 8) % 3);
	row.began_ms = (*random >> 10) % 3;
	row.verified_ms = (*random >> 13) % 3;
	row.load_verified_ms = (*random >> 16) % 3;
	memcpy(row.withdrawn, names[(*random >> 19) % 3], 3);
	return row;
}

static void assert_same_row(const pr_transition_row_t *a,
			    const pr_transition_row_t *b)
{
	assert_int_equal(a->order, b->order);
	assert_int_equal(a->state, b->state);
	assert_int_equal(a->began_ms, b->began_ms);
	assert_int_equal(a->verified_ms, b->verified_ms);
	assert_int_equal(a->load_verified_ms, b->load_verified_ms);
	assert_string_equal(a->withdrawn, b->withdrawn);
}

static pr_transition_row_t merged(const pr_transition_row_t *a,
				  const pr_transition_row_t *b)
{
	pr_transition_row_t row = *a;

	pr_transition_row_merge(&row, b);
	return row;
}

/* Guards against hosts that overwrite each other's rows without end. */
static void test_merge_does_not_depend_on_the_sequence(void **state)
{
	uint32_t random = 7;

	for (int i = 0; i < 20000; i++) {
		pr_transition_row_t a = any_row(&random);
		pr_transition_row_t b = any_row(&random);
		pr_transition_row_t c = any_row(&random);
		pr_transition_row_t ab = merged(&a, &b), ba = merged(&b, &a);
		pr_transition_row_t bc = merged(&b, &c);
		pr_transition_row_t left = merged(&ab, &c);
		pr_transition_row_t right = merged(&a, &bc);
		pr_transition_row_t twice = merged(&ab, &a);

		assert_same_row(&ab, &ba);
		assert_same_row(&left, &right);
		assert_same_row(&ab, &twice);
	}
}

static void test_merge_keeps_what_is_final_and_earliest(void **state)
{
	pr_transition_row_t a = { 100, PR_ROLLOUT_DONE, 500, "", 700, 0 };
	pr_transition_row_t b = {
		100, PR_ROLLOUT_WITHDRAWN, 400, "v1", 800, 900
	};
	pr_transition_row_t running = row_of(100, PR_ROLLOUT_RUNNING);
	pr_transition_row_t row = merged(&a, &b);

	assert_int_equal(row.state, PR_ROLLOUT_WITHDRAWN);
	assert_int_equal(row.began_ms, 400);
	assert_int_equal(row.verified_ms, 700);
	assert_int_equal(row.load_verified_ms, 900);
	assert_string_equal(row.withdrawn, "v1");
	row = merged(&a, &running);
	assert_int_equal(row.state, PR_ROLLOUT_DONE);
}

/* Guards against a transition that stops because its order is missing. */
static void test_missing_order_changes_nothing(void **state)
{
	pr_transition_row_t row = row_of(60, PR_ROLLOUT_DONE);
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_RUNNING);
	assert_int_equal(pr_transition_apply(&transition, &row, in_era(2, 70)),
			 PR_STATE_ROW_OTHER);
	pass(&transition, RETURN, RETURN + 2 * PR_TRANSITION_HOLD, true);
	assert_int_equal(transition.state, PR_ROLLOUT_RUNNING);
	assert_int_equal(transition.began_ms, BEGAN_MS);
	assert_true(pr_transition_allows(&transition, "v2"));
	/* A row with the order's old number would mean nothing. */
	transition.judged_bad = true;
	assert_int_equal(
		pr_transition_conclude(&transition, BEGAN_MS + 5000, 0, 1),
		PR_CONCLUDE_NOTHING);
	pr_transition_receive_order(&transition, &ordered, in_era(2, 90),
				    RETURN);
	assert_int_equal(
		pr_transition_conclude(&transition, BEGAN_MS + 5000, 0, 1),
		PR_CONCLUDE_WITHDRAW);
}

/* Guards against the copy's row: it says that a finished transition runs. */
static void test_row_of_copy_is_merged_and_restored(void **state)
{
	pr_transition_row_t copy = row_of(100, PR_ROLLOUT_RUNNING);
	pr_transition_row_t restored;
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_DONE);
	pr_transition_receive_order(&transition, &ordered, in_era(2, 100),
				    RETURN);
	assert_int_equal(
		pr_transition_conclude(&transition, BEGAN_MS + 30000, 0, 1),
		PR_CONCLUDE_NOTHING);
	assert_int_equal(
		pr_transition_apply(&transition, &copy, in_era(2, 105)),
		PR_STATE_ROW_MERGED);
	assert_int_equal(transition.state, PR_ROLLOUT_DONE);
	assert_int_equal(
		pr_transition_conclude(&transition, BEGAN_MS + 30000, 0, 1),
		PR_CONCLUDE_RESTORE);
	restored = pr_transition_conclusion_row(
		&transition, PR_CONCLUDE_RESTORE, BEGAN_MS + 30000);
	assert_int_equal(restored.state, PR_ROLLOUT_DONE);
	assert_int_equal(restored.order, 100);
	assert_int_equal(restored.began_ms, BEGAN_MS);
	assert_true(pr_revision_equal(transition.state_row, in_era(2, 105)));
	pr_transition_apply(&transition, &restored, in_era(2, 140));
	assert_false(transition.unsaved);
	assert_int_equal(
		pr_transition_conclude(&transition, BEGAN_MS + 30000, 0, 1),
		PR_CONCLUDE_NOTHING);
}

/* Guards against a row that is read before its order, which decides whether the
 * row belongs to it. */
static void test_row_before_its_order_is_applied_again(void **state)
{
	pr_transition_row_t copy = row_of(100, PR_ROLLOUT_WITHDRAWN);
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_RUNNING);
	assert_int_equal(pr_transition_apply(&transition, &copy, in_era(2, 70)),
			 PR_STATE_ROW_OTHER);
	assert_int_equal(transition.state, PR_ROLLOUT_RUNNING);
	pr_transition_receive_order(&transition, &ordered, in_era(2, 100),
				    RETURN);
	assert_int_equal(pr_transition_apply(&transition, &copy, in_era(2, 70)),
			 PR_STATE_ROW_MERGED);
	assert_int_equal(transition.state, PR_ROLLOUT_WITHDRAWN);
	assert_false(transition.unsaved);
}

/* Guards against a row of the copy that names the number that the order had
 * before it was written again. */
static void test_row_of_renumbered_order_is_restored(void **state)
{
	pr_transition_row_t copy = row_of(100, PR_ROLLOUT_DONE);
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_DONE);
	pr_transition_receive_order(&transition, &ordered, in_era(2, 100),
				    RETURN);
	pr_transition_apply(&transition, &copy, in_era(2, 110));
	assert_false(transition.unsaved);
	pr_transition_receive_order(&transition, &ordered, in_era(2, 130),
				    RETURN + PR_USEC_PER_SEC);
	assert_true(transition.unsaved);
	pr_transition_apply(&transition, &copy, in_era(2, 110));
	assert_int_equal(
		pr_transition_conclude(&transition, BEGAN_MS + 30000, 0, 1),
		PR_CONCLUDE_RESTORE);
	assert_int_equal(pr_transition_conclusion_row(&transition,
						      PR_CONCLUDE_RESTORE, 1)
				 .order,
			 130);
}

/* Guards against a final state that stays lost because a host that had not read
 * a newer order wrote the row. */
static void test_row_of_older_order_is_restored(void **state)
{
	pr_transition_row_t older = row_of(90, PR_ROLLOUT_DONE);
	pr_transition_row_t newer = row_of(130, PR_ROLLOUT_RUNNING);
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_WITHDRAWN);
	assert_int_equal(
		pr_transition_apply(&transition, &newer, in_era(1, 131)),
		PR_STATE_ROW_OTHER);
	assert_int_equal(transition.state, PR_ROLLOUT_WITHDRAWN);
	assert_false(transition.unsaved);
	pr_transition_apply(&transition, &older, in_era(1, 140));
	assert_int_equal(transition.state, PR_ROLLOUT_WITHDRAWN);
	assert_true(transition.unsaved);
}

/* Guards against a finished transition that runs again by a row of a host that
 * has just started. */
static void test_final_state_of_an_order_stays(void **state)
{
	pr_transition_row_t started = row_of(100, PR_ROLLOUT_RUNNING);
	pr_transition_t transition;

	started.began_ms = BEGAN_MS + 30000;
	begin(&transition, PR_ROLLOUT_DONE);
	pr_transition_apply(&transition, &started, in_era(1, 120));
	assert_int_equal(transition.state, PR_ROLLOUT_DONE);
	assert_int_equal(transition.began_ms, BEGAN_MS);
	assert_true(transition.unsaved);
}

/* While the store's row has all that the host knows, a later row replaces it:
 * another host may restore an earlier start. */
static void test_saved_row_is_taken_over(void **state)
{
	pr_transition_row_t row = row_of(100, PR_ROLLOUT_RUNNING);
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_RUNNING);
	row.began_ms = BEGAN_MS + 10;
	row.verified_ms = BEGAN_MS + 20;
	assert_int_equal(pr_transition_apply(&transition, &row, in_era(1, 120)),
			 PR_STATE_ROW_TAKEN);
	assert_int_equal(transition.began_ms, BEGAN_MS + 10);
	assert_int_equal(transition.verified_ms, BEGAN_MS + 20);
	assert_int_equal(pr_transition_apply(&transition, &row, in_era(1, 119)),
			 PR_STATE_ROW_OLD);
}

/* Guards against a final state that nobody writes again because its row is
 * gone. */
static void test_missing_row_is_written_again(void **state)
{
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_DONE);
	assert_false(pr_transition_apply_missing(&transition, 1));
	assert_int_equal(transition.state_row.number, 110);
	assert_true(pr_transition_apply_missing(&transition, 2));
	assert_true(pr_revision_equal(transition.state_row, in_era(2, 0)));
	assert_true(transition.unsaved);
	assert_int_equal(
		pr_transition_conclude(&transition, BEGAN_MS + 30000, 0, 1),
		PR_CONCLUDE_NOTHING);
	pr_transition_receive_order(&transition, &ordered, in_era(2, 90),
				    RETURN);
	assert_int_equal(
		pr_transition_conclude(&transition, BEGAN_MS + 30000, 0, 1),
		PR_CONCLUDE_RESTORE);
	assert_false(pr_transition_apply_missing(&transition, 1));
}

/* A transition that has not begun has nothing to restore. */
static void test_order_without_state_begins(void **state)
{
	pr_transition_t transition = { 0 };

	pr_transition_receive_order(&transition, &ordered, in_era(1, 100), 1);
	pr_transition_apply_missing(&transition, 2);
	pr_transition_receive_order(&transition, &ordered, in_era(2, 90),
				    RETURN);
	assert_false(transition.unsaved);
	assert_int_equal(pr_transition_conclude(&transition, BEGAN_MS, 0, 1),
			 PR_CONCLUDE_START);
}

/* Guards against a conditional write with a number of another era, which the
 * store may have given out again. */
static void test_nothing_is_written_before_the_row_is_read(void **state)
{
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_RUNNING);
	transition.judged_bad = true;
	pr_transition_receive_order(&transition, &ordered, in_era(2, 100),
				    RETURN);
	assert_int_equal(
		pr_transition_conclude(&transition, BEGAN_MS + 5000, 0, 1),
		PR_CONCLUDE_NOTHING);
	pr_transition_apply_missing(&transition, 2);
	assert_int_equal(
		pr_transition_conclude(&transition, BEGAN_MS + 5000, 0, 1),
		PR_CONCLUDE_WITHDRAW);
	assert_int_equal(pr_transition_conclusion_row(&transition,
						      PR_CONCLUDE_WITHDRAW, 1)
				 .state,
			 PR_ROLLOUT_WITHDRAWN);
}

/* Evaluate as often as hosts do.
 *
 * @return time until there is a conclusion, milliseconds */
static int64_t time_to_conclude(pr_transition_t *transition, int64_t from,
				pr_conclusion_t expected)
{
	for (int64_t now = from; now < from + 60000; now += 100) {
		pr_conclusion_t conclusion =
			pr_transition_conclude(transition, now, 0, 1);

		if (conclusion == PR_CONCLUDE_NOTHING)
			continue;
		assert_int_equal(conclusion, expected);
		return now - from;
	}
	fail();
	return 0;
}

/* Guards against a host that has just started, returned or thawed and concludes
 * by the time of the copy's row alone, while others know that the order is
 * done. */
static void test_time_concludes_nothing_right_after_a_return(void **state)
{
	pr_transition_row_t verified = row_of(100, PR_ROLLOUT_RUNNING);
	int64_t now = BEGAN_MS + 2 * DURATION_MS;
	pr_transition_t transition = { 0 };

	pr_transition_receive_order(&transition, &ordered, in_era(2, 100), 1);
	pr_transition_apply(&transition, &verified, in_era(2, 105));
	assert_int_equal(
		time_to_conclude(&transition, now, PR_CONCLUDE_WITHDRAW), 6000);
	now += 6000;
	assert_int_equal(
		time_to_conclude(&transition, now, PR_CONCLUDE_WITHDRAW), 0);
	now += 4000;
	assert_int_equal(
		time_to_conclude(&transition, now, PR_CONCLUDE_WITHDRAW), 6000);
	now += 6000;
	verified.verified_ms = verified.load_verified_ms = BEGAN_MS + 10000;
	pr_transition_apply(&transition, &verified, in_era(2, 106));
	assert_int_equal(time_to_conclude(&transition, now, PR_CONCLUDE_DONE),
			 0);
	pr_transition_receive_order(&transition, &ordered, in_era(3, 100), 1);
	pr_transition_apply(&transition, &verified, in_era(3, 106));
	assert_int_equal(time_to_conclude(&transition, now, PR_CONCLUDE_DONE),
			 6000);
}

/* Guards against a withdrawal that waits although responses are bad. */
static void test_bad_responses_conclude_at_once(void **state)
{
	pr_transition_row_t row = row_of(100, PR_ROLLOUT_RUNNING);
	pr_transition_t transition = { 0 };

	pr_transition_receive_order(&transition, &ordered, in_era(2, 100), 1);
	pr_transition_apply(&transition, &row, in_era(2, 105));
	transition.judged_bad = true;
	assert_int_equal(time_to_conclude(&transition, BEGAN_MS + 5000,
					  PR_CONCLUDE_WITHDRAW),
			 0);
}

/* Guards against all hosts writing at once: their conclusions are older than
 * their delays when the store is back, or when the row changes. */
static void test_write_waits_anew(void **state)
{
	pr_conclusion_wait_t wait = { 0 };
	pr_transition_t transition;
	int64_t now = BEGAN_MS;

	begin(&transition, PR_ROLLOUT_DONE);
	assert_false(pr_transition_is_write_due(
		&wait, &transition, PR_CONCLUDE_NOTHING, true, now, 0));
	assert_false(pr_transition_is_write_due(
		&wait, &transition, PR_CONCLUDE_DONE, true, now, 500));
	assert_true(pr_transition_is_write_due(
		&wait, &transition, PR_CONCLUDE_DONE, true, now + 500, 500));
	assert_false(pr_transition_is_write_due(
		&wait, &transition, PR_CONCLUDE_DONE, false, now + 600, 500));
	assert_false(pr_transition_is_write_due(
		&wait, &transition, PR_CONCLUDE_DONE, true, now + 1000, 500));
	assert_true(pr_transition_is_write_due(
		&wait, &transition, PR_CONCLUDE_DONE, true, now + 1100, 500));
	transition.state_row.number++;
	assert_false(pr_transition_is_write_due(
		&wait, &transition, PR_CONCLUDE_DONE, true, now + 1200, 500));
	assert_true(pr_transition_is_write_due(
		&wait, &transition, PR_CONCLUDE_DONE, true, now + 1700, 500));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_merge_does_not_depend_on_the_sequence),
		cmocka_unit_test(test_merge_keeps_what_is_final_and_earliest),
		cmocka_unit_test(test_missing_order_changes_nothing),
		cmocka_unit_test(test_row_of_copy_is_merged_and_restored),
		cmocka_unit_test(test_row_before_its_order_is_applied_again),
		cmocka_unit_test(test_row_of_renumbered_order_is_restored),
		cmocka_unit_test(test_row_of_older_order_is_restored),
		cmocka_unit_test(test_final_state_of_an_order_stays),
		cmocka_unit_test(test_saved_row_is_taken_over),
		cmocka_unit_test(test_missing_row_is_written_again),
		cmocka_unit_test(test_order_without_state_begins),
		cmocka_unit_test(
			test_nothing_is_written_before_the_row_is_read),
		cmocka_unit_test(
			test_time_concludes_nothing_right_after_a_return),
		cmocka_unit_test(test_bad_responses_conclude_at_once),
		cmocka_unit_test(test_write_waits_anew),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
