/* Tests of src/transition/order.c: which orders are known already, also after
 * the store has returned from an older copy. */
#include "transition_return.h"

static const pr_rollout_order_t before = { "model", "v1", DURATION_MS };
static const pr_rollout_order_t later = { "model", "v3", DURATION_MS };

/* A done transition whose order was lost, and the order before it was read. */
static void hold(pr_transition_t *transition)
{
	begin(transition, PR_ROLLOUT_DONE);
	assert_int_equal(pr_transition_receive_order(transition, &before,
						     in_era(2, 80), RETURN),
			 PR_ORDER_ROW_HELD);
	assert_true(pr_transition_is_new(transition, "v2"));
	assert_int_equal(transition->state, PR_ROLLOUT_DONE);
}

/* Guards against a roll-out that is begun anew because its order's row was read
 * again after a return, or written again under another number. */
static void test_known_order_keeps_its_state(void **state)
{
	static const uint64_t numbers[] = { 90, 100, 130 };
	pr_transition_t transition;

	for (size_t i = 0; i < 3; i++) {
		begin(&transition, PR_ROLLOUT_DONE);
		assert_int_equal(pr_transition_receive_order(
					 &transition, &ordered,
					 in_era(2, numbers[i]), RETURN),
				 PR_ORDER_ROW_KNOWN);
		assert_int_equal(transition.state, PR_ROLLOUT_DONE);
		assert_true(pr_revision_equal(transition.order_row,
					      in_era(2, numbers[i])));
	}
}

/* Guards against requests to a version that this host has found bad. */
static void test_known_order_keeps_verdict_of_host(void **state)
{
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_RUNNING);
	transition.judged_bad = true;
	pr_transition_receive_order(&transition, &ordered, in_era(2, 130),
				    RETURN);
	assert_true(transition.judged_bad);
	assert_false(pr_transition_allows(&transition, "v2"));
}

static void test_order_with_higher_number_is_new(void **state)
{
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_DONE);
	assert_int_equal(pr_transition_receive_order(&transition, &later,
						     in_era(2, 101), RETURN),
			 PR_ORDER_ROW_NEW);
	assert_true(pr_transition_is_new(&transition, "v3"));
	/* The operator writes it again, though the copy had it. */
	assert_int_equal(pr_transition_receive_order(&transition, &later,
						     in_era(2, 120),
						     RETURN + PR_USEC_PER_SEC),
			 PR_ORDER_ROW_KNOWN);
}

/* An order that differs in its duration alone is another order. */
static void test_other_duration_is_another_order(void **state)
{
	pr_rollout_order_t slower = ordered;
	pr_transition_t transition;

	slower.duration_ms = 2 * DURATION_MS;
	begin(&transition, PR_ROLLOUT_DONE);
	assert_int_equal(pr_transition_receive_order(&transition, &slower,
						     in_era(2, 80), RETURN),
			 PR_ORDER_ROW_HELD);
	assert_int_equal(pr_transition_receive_order(&transition, &slower,
						     in_era(2, 101), RETURN),
			 PR_ORDER_ROW_NEW);
}

/* Guards against a roll-out back to the version of an order that the copy had
 * before the known one. */
static void test_order_of_older_copy_is_held_back(void **state)
{
	pr_transition_t transition;

	hold(&transition);
	assert_false(
		pass(&transition, RETURN, RETURN + 2 * PR_USEC_PER_SEC, true));
	assert_int_equal(pr_transition_receive_order(
				 &transition, &ordered, in_era(2, 95),
				 RETURN + 2 * PR_USEC_PER_SEC),
			 PR_ORDER_ROW_KNOWN);
	assert_false(pass(&transition, RETURN + 2 * PR_USEC_PER_SEC,
			  RETURN + 3 * PR_TRANSITION_HOLD, true));
	assert_int_equal(transition.state, PR_ROLLOUT_DONE);
}

static void test_held_order_is_taken_after_the_hold(void **state)
{
	pr_usec_t end = RETURN + PR_TRANSITION_HOLD;
	pr_transition_t transition;

	hold(&transition);
	assert_false(pass(&transition, RETURN, end - 1, true));
	assert_true(pr_transition_check_held(&transition, end, true));
	assert_true(pr_transition_is_new(&transition, "v1"));
	assert_true(pr_revision_equal(transition.order_row, in_era(2, 80)));
	assert_int_equal(transition.state, PR_ROLLOUT_RUNNING);
	assert_false(pass(&transition, end, 2 * end, true));
}

/* Guards against a hold that never ends because the row is read repeatedly. */
static void test_held_row_is_held_once(void **state)
{
	pr_usec_t end = RETURN + PR_TRANSITION_HOLD;
	pr_transition_t transition;

	hold(&transition);
	pass(&transition, RETURN, end - 1, true);
	assert_int_equal(pr_transition_receive_order(&transition, &before,
						     in_era(2, 80), end - 1),
			 PR_ORDER_ROW_OLD);
	assert_true(pr_transition_check_held(&transition, end, true));
}

/* Another row of the order takes the place of the held one; so does the row of
 * a further era. */
static void test_next_row_is_held_anew(void **state)
{
	pr_usec_t end = RETURN + PR_TRANSITION_HOLD;
	pr_transition_t transition;

	hold(&transition);
	pass(&transition, RETURN, end - 1, true);
	assert_int_equal(pr_transition_receive_order(&transition, &later,
						     in_era(2, 85), end - 1),
			 PR_ORDER_ROW_HELD);
	assert_false(pass(&transition, end, 2 * end - RETURN - 2, true));
	assert_int_equal(pr_transition_receive_order(&transition, &before,
						     in_era(3, 80),
						     2 * end - RETURN - 2),
			 PR_ORDER_ROW_HELD);
	assert_true(pass(&transition, 2 * end - RETURN - 2, 4 * end, true));
	assert_true(pr_transition_is_new(&transition, "v1"));
}

/* Guards against an older order that begins on a host that was frozen or cut
 * off while the operator wrote the known order again. */
static void test_hold_counts_time_in_touch_only(void **state)
{
	pr_usec_t thawed = RETURN + 3 * PR_TRANSITION_HOLD;
	pr_transition_t transition;

	hold(&transition);
	pass(&transition, RETURN, RETURN + PR_USEC_PER_SEC, true);
	assert_false(pr_transition_check_held(&transition, thawed, true));
	hold(&transition);
	pass(&transition, RETURN, thawed, false);
	assert_false(pass(&transition, thawed,
			  thawed + PR_TRANSITION_HOLD - PR_USEC_PER_SEC, true));
	assert_true(
		pass(&transition, thawed, thawed + PR_TRANSITION_HOLD, true));
}

static void test_removed_order_is_no_longer_held(void **state)
{
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_DONE);
	assert_false(pr_transition_drop_held(&transition));
	hold(&transition);
	assert_true(pr_transition_drop_held(&transition));
	assert_false(pass(&transition, RETURN, RETURN + 3 * PR_TRANSITION_HOLD,
			  true));
	assert_int_equal(transition.state, PR_ROLLOUT_DONE);
}

/* Guards against requests to a bad version: the order that was replaced after
 * its withdrawal is in the copy, its withdrawal is not. */
static void test_held_order_does_not_permit_a_bad_version(void **state)
{
	pr_rollout_order_t back = { "model", "v1", 0 };
	pr_usec_t taken = RETURN + PR_TRANSITION_HOLD;
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_WITHDRAWN);
	pr_transition_receive_order(&transition, &back, in_era(1, 120), 2);
	pr_transition_receive_order(&transition, &ordered, in_era(2, 100),
				    RETURN);
	assert_true(pass(&transition, RETURN, taken, true));
	assert_true(pr_transition_is_new(&transition, "v2"));
	assert_false(pr_transition_allows(&transition, "v2"));
	/* The operator may order it on purpose, later than it writes the order
	 * again. */
	assert_int_equal(pr_transition_receive_order(&transition, &ordered,
						     in_era(2, 130), taken),
			 PR_ORDER_ROW_KNOWN);
	assert_true(transition.judged_bad);
	pass(&transition, taken, taken + PR_TRANSITION_HOLD, true);
	assert_int_equal(pr_transition_receive_order(
				 &transition, &ordered, in_era(2, 140),
				 taken + PR_TRANSITION_HOLD),
			 PR_ORDER_ROW_NEW);
	assert_false(transition.judged_bad);
}

/* An order is written again to roll out the version once more. After a return,
 * it may be written again because it was lost. */
static void test_same_order_within_an_era_is_new(void **state)
{
	pr_usec_t now = RETURN + PR_USEC_PER_SEC;
	pr_transition_t transition;

	begin(&transition, PR_ROLLOUT_DONE);
	assert_int_equal(pr_transition_receive_order(&transition, &ordered,
						     in_era(1, 100), RETURN),
			 PR_ORDER_ROW_OLD);
	assert_int_equal(pr_transition_receive_order(&transition, &ordered,
						     in_era(1, 120), RETURN),
			 PR_ORDER_ROW_NEW);
	begin(&transition, PR_ROLLOUT_DONE);
	pr_transition_receive_order(&transition, &ordered, in_era(2, 100),
				    RETURN);
	pass(&transition, RETURN, now, true);
	assert_int_equal(pr_transition_receive_order(&transition, &ordered,
						     in_era(2, 120), now),
			 PR_ORDER_ROW_KNOWN);
	assert_int_equal(transition.state, PR_ROLLOUT_DONE);
	assert_int_equal(pr_transition_receive_order(&transition, &later,
						     in_era(2, 121), now),
			 PR_ORDER_ROW_NEW);
	begin(&transition, PR_ROLLOUT_DONE);
	pr_transition_receive_order(&transition, &ordered, in_era(2, 100),
				    RETURN);
	pass(&transition, RETURN, RETURN + PR_TRANSITION_HOLD, true);
	assert_int_equal(pr_transition_receive_order(
				 &transition, &ordered, in_era(2, 120),
				 RETURN + PR_TRANSITION_HOLD),
			 PR_ORDER_ROW_NEW);
}

/* Guards against a roll-out that is begun anew on a host that was frozen or cut
 * off while the operator wrote the order again. */
static void test_rewriting_is_known_after_time_out_of_touch(void **state)
{
	pr_usec_t thawed = RETURN + 3 * PR_TRANSITION_HOLD;
	pr_transition_t transition;

	for (int cut = 0; cut < 2; cut++) {
		begin(&transition, PR_ROLLOUT_DONE);
		pr_transition_receive_order(&transition, &ordered,
					    in_era(2, 90), RETURN);
		pass(&transition, RETURN, RETURN + PR_USEC_PER_SEC, true);
		if (cut)
			pass(&transition, RETURN + PR_USEC_PER_SEC, thawed,
			     false);
		assert_int_equal(
			pr_transition_receive_order(&transition, &ordered,
						    in_era(2, 120), thawed),
			PR_ORDER_ROW_KNOWN);
		assert_int_equal(transition.state, PR_ROLLOUT_DONE);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_known_order_keeps_its_state),
		cmocka_unit_test(test_known_order_keeps_verdict_of_host),
		cmocka_unit_test(test_order_with_higher_number_is_new),
		cmocka_unit_test(test_other_duration_is_another_order),
		cmocka_unit_test(test_order_of_older_copy_is_held_back),
		cmocka_unit_test(test_held_order_is_taken_after_the_hold),
		cmocka_unit_test(test_held_row_is_held_once),
		cmocka_unit_test(test_next_row_is_held_anew),
		cmocka_unit_test(test_hold_counts_time_in_touch_only),
		cmocka_unit_test(test_removed_order_is_no_longer_held),
		cmocka_unit_test(test_held_order_does_not_permit_a_bad_version),
		cmocka_unit_test(test_same_order_within_an_era_is_new),
		cmocka_unit_test(
			test_rewriting_is_known_after_time_out_of_touch),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
