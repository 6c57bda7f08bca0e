/* Tests of src/transition/row.c: the row of a transition that all hosts read,
 * also those of another release. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/msgmap.h"
#include "transition/transition.h"

static void test_row_round_trip(void **state)
{
	pr_transition_row_t row = { 41,      PR_ROLLOUT_WITHDRAWN,
				    1234567, "v2",
				    1240000, 1250000 };
	pr_transition_row_t read;
	pr_str_t bytes = PR_STR_INIT;

	assert_int_equal(pr_transition_row_pack(&bytes, &row), 0);
	assert_int_equal(pr_transition_row_unpack(&read, pr_str_slice(&bytes)),
			 0);
	assert_int_equal(read.order, 41);
	assert_int_equal(read.state, PR_ROLLOUT_WITHDRAWN);
	assert_int_equal(read.began_ms, 1234567);
	assert_int_equal(read.verified_ms, 1240000);
	assert_int_equal(read.load_verified_ms, 1250000);
	assert_int_not_equal(
		pr_transition_row_unpack(&read, PR_SLICE("not a row")), 0);
	pr_str_finish(&bytes);
}

/* A row of a release without verification lacks that field. */
static void test_row_of_earlier_release_is_not_verified(void **state)
{
	pr_transition_row_t read;
	pr_str_t bytes = PR_STR_INIT;
	msgpack_packer packer;

	pr_msgmap_packer(&packer, &bytes);
	assert_int_equal(msgpack_pack_map(&packer, 3), 0);
	pr_msgmap_pack_number(&packer, "order", 41);
	pr_msgmap_pack_number(&packer, "state", PR_ROLLOUT_RUNNING);
	pr_msgmap_pack_number(&packer, "began", 1234567);
	assert_int_equal(pr_transition_row_unpack(&read, pr_str_slice(&bytes)),
			 0);
	assert_int_equal(read.began_ms, 1234567);
	assert_int_equal(read.verified_ms, 0);
	assert_int_equal(read.load_verified_ms, 0);
	pr_str_finish(&bytes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_row_round_trip),
		cmocka_unit_test(test_row_of_earlier_release_is_not_verified),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
