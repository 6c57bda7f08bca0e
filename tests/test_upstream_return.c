/* Tests of src/upstream across a return of the store from an older copy: rows
 * come again with revisions of a newer era, some with an older content. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "upstream/upstream.h"

#define SECOND PR_USEC_PER_SEC
/* Cold time of the service, milliseconds. */
#define COLD_MS 3000
/* Time of the return of the store. */
#define RETURN (100 * SECOND)

static pr_revision_t at(uint64_t era, uint64_t number)
{
	return (pr_revision_t){ .era = era, .number = number };
}

static pr_upstream_entry_t report(int64_t born, uint64_t sequence)
{
	pr_upstream_entry_t entry = { .slots = 64,
				      .born = born,
				      .sequence = sequence };

	snprintf(entry.id, sizeof(entry.id), "a");
	snprintf(entry.service, sizeof(entry.service), "model");
	snprintf(entry.zone, sizeof(entry.zone), "near");
	return entry;
}

static pr_upstream_entry_t draining_report(int64_t born, uint64_t sequence)
{
	pr_upstream_entry_t entry = report(born, sequence);

	entry.draining = true;
	return entry;
}

static void set_up(pr_registry_t *registry)
{
	pr_registry_init(registry);
	registry->initial_read_done = true;
}

static pr_upstream_t *apply(pr_registry_t *registry, pr_upstream_entry_t entry,
			    pr_revision_t row, pr_usec_t now)
{
	return pr_registry_apply(registry, &entry, row, COLD_MS, now);
}

/* DRAIN: an upstream that had said `draining` in the lost seconds was ready
 * again with the row of the copy, on every host. */
static void test_copy_does_not_end_draining(void **state)
{
	pr_registry_t registry;
	pr_upstream_t *upstream;

	set_up(&registry);
	apply(&registry, report(1, 5), at(0, 120), 90 * SECOND);
	upstream = apply(&registry, draining_report(1, 6), at(0, 140),
			 98 * SECOND);
	assert_null(apply(&registry, report(1, 5), at(1, 120), RETURN));
	assert_true(pr_upstream_is_leaving(upstream));
	assert_int_equal(upstream->entry.sequence, 6);
	/* Later rows are compared within the era. */
	assert_true(pr_revision_equal(upstream->row, at(1, 120)));
	assert_null(apply(&registry, report(1, 9), at(1, 119), RETURN));
	assert_ptr_equal(apply(&registry, draining_report(1, 7), at(1, 135),
			       RETURN + SECOND),
			 upstream);
	assert_int_equal(upstream->entry.sequence, 7);
	pr_registry_finish(&registry);
}

/* The same content, which was not written since the copy was made, changes
 * nothing either. */
static void test_unchanged_row_of_a_copy(void **state)
{
	pr_registry_t registry;
	pr_upstream_t *upstream;

	set_up(&registry);
	upstream = apply(&registry, report(1, 5), at(0, 120), 90 * SECOND);
	assert_null(apply(&registry, report(1, 5), at(1, 120), RETURN));
	assert_ptr_equal(pr_registry_find(&registry, "a"), upstream);
	assert_true(pr_revision_equal(upstream->row, at(1, 120)));
	pr_registry_finish(&registry);
}

/* Requests went to the address of an instance that had ended, and the one that
 * ran lost its state. It had restarted in the lost seconds. */
static void test_copy_does_not_bring_a_replaced_instance_back(void **state)
{
	pr_registry_t registry;
	pr_upstream_t *upstream;
	pr_usec_t cold_until;

	set_up(&registry);
	apply(&registry, report(1, 50), at(0, 120), 90 * SECOND);
	upstream = apply(&registry, report(2, 1), at(0, 140), 94 * SECOND);
	cold_until = upstream->cold_until;
	assert_null(apply(&registry, report(1, 50), at(1, 120), RETURN));
	assert_ptr_equal(pr_registry_find(&registry, "a"), upstream);
	assert_int_equal(upstream->entry.born, 2);
	/* It writes its entry again, and has not started a second time. */
	assert_ptr_equal(
		apply(&registry, report(2, 4), at(1, 135), RETURN + SECOND),
		upstream);
	assert_int_equal(upstream->cold_until, cold_until);
	pr_registry_finish(&registry);
}

/* A host that was cut off before an instance restarted in the lost seconds
 * learns of it when it writes its entry again. */
static void test_restart_in_the_lost_seconds_of_a_host_cut_off(void **state)
{
	pr_registry_t registry;
	pr_upstream_t *before, *after;

	set_up(&registry);
	before = pr_upstream_ref(
		apply(&registry, report(1, 50), at(0, 120), 90 * SECOND));
	assert_null(apply(&registry, report(1, 50), at(1, 120), RETURN));
	after = apply(&registry, report(2, 1), at(1, 135), RETURN + SECOND);
	assert_true(after && after->cold_until > RETURN + SECOND);
	assert_true(after != before && !before->listed);
	pr_upstream_unref(before);
	pr_registry_finish(&registry);
}

/* A cold start was counted again, so the upstream got a part of its requests
 * only. */
static void test_passed_cold_time_does_not_count_again(void **state)
{
	pr_upstream_entry_t cold = report(1, 4);
	pr_registry_t registry;
	pr_upstream_t *upstream;

	cold.cold_ms = 2500;
	set_up(&registry);
	apply(&registry, cold, at(0, 120), 90 * SECOND);
	upstream = apply(&registry, report(1, 5), at(0, 140), 96 * SECOND);
	assert_true(upstream->cold_until < RETURN);
	apply(&registry, cold, at(1, 120), RETURN);
	assert_true(upstream->cold_until < RETURN);
	pr_registry_finish(&registry);
}

static void test_copy_does_not_end_ejections_and_pauses(void **state)
{
	pr_registry_t registry;
	pr_upstream_t *upstream;
	pr_usec_t ejected_until;

	set_up(&registry);
	apply(&registry, report(1, 5), at(0, 120), 90 * SECOND);
	upstream = apply(&registry, report(2, 1), at(0, 140), 94 * SECOND);
	pr_upstream_record_failure(upstream, RETURN);
	pr_upstream_record_failure(upstream, RETURN);
	ejected_until = upstream->ejected_until;
	pr_upstream_pause(upstream, 30 * SECOND, RETURN);
	pr_upstream_mark_leaving(upstream);
	apply(&registry, report(1, 5), at(1, 120), RETURN);
	upstream = pr_registry_find(&registry, "a");
	assert_int_equal(upstream->failures, 2);
	assert_int_equal(upstream->ejected_until, ejected_until);
	assert_true(pr_upstream_is_paused(upstream, RETURN + 29 * SECOND));
	assert_true(pr_upstream_is_leaving(upstream));
	pr_registry_finish(&registry);
}

/* A host that lagged behind learns from the copy what it had not heard. */
static void test_newer_content_of_a_copy_counts(void **state)
{
	pr_registry_t registry;
	pr_upstream_t *upstream;

	set_up(&registry);
	upstream = apply(&registry, report(1, 5), at(0, 120), 90 * SECOND);
	assert_ptr_equal(
		apply(&registry, draining_report(1, 6), at(1, 118), RETURN),
		upstream);
	assert_true(pr_upstream_is_leaving(upstream));
	/* A later instance, whatever its reports count. */
	upstream = apply(&registry, report(2, 1), at(2, 110), RETURN + SECOND);
	assert_non_null(upstream);
	assert_int_equal(upstream->entry.born, 2);
	assert_false(pr_upstream_is_leaving(upstream));
	pr_registry_finish(&registry);
}

/* Entries that state neither a start nor a number of their report. */
static void test_content_without_numbers(void **state)
{
	pr_upstream_entry_t moved = report(0, 0);
	pr_registry_t registry;
	pr_upstream_t *upstream;

	moved.slots = 32;
	set_up(&registry);
	upstream = apply(&registry, report(0, 0), at(0, 120), 90 * SECOND);
	assert_null(apply(&registry, report(0, 0), at(1, 119), RETURN));
	assert_ptr_equal(apply(&registry, moved, at(2, 118), RETURN), upstream);
	assert_int_equal(upstream->entry.slots, 32);
	apply(&registry, draining_report(0, 0), at(3, 117), RETURN);
	assert_true(upstream->entry.draining);
	assert_null(apply(&registry, moved, at(4, 116), RETURN));
	assert_true(upstream->entry.draining);
	/* Within the era the row counts as usual. */
	assert_ptr_equal(apply(&registry, moved, at(4, 117), RETURN), upstream);
	assert_false(upstream->entry.draining);
	pr_registry_finish(&registry);
}

/* A stated number comes after none. */
static void test_content_with_a_number_on_one_side(void **state)
{
	pr_registry_t registry;
	pr_upstream_t *upstream;

	set_up(&registry);
	apply(&registry, report(0, 0), at(0, 120), 90 * SECOND);
	assert_non_null(apply(&registry, report(0, 2), at(1, 119), RETURN));
	assert_null(
		apply(&registry, draining_report(0, 0), at(2, 118), RETURN));
	upstream = apply(&registry, report(7, 1), at(3, 117), RETURN);
	assert_true(upstream && upstream->entry.born == 7);
	assert_null(apply(&registry, report(0, 3), at(4, 116), RETURN));
	assert_ptr_equal(pr_registry_find(&registry, "a"), upstream);
	pr_registry_finish(&registry);
}

static void test_two_returns_in_a_row(void **state)
{
	pr_registry_t registry;
	pr_upstream_t *upstream;

	set_up(&registry);
	apply(&registry, report(1, 5), at(0, 120), 90 * SECOND);
	upstream = apply(&registry, draining_report(1, 6), at(0, 140),
			 98 * SECOND);
	assert_null(apply(&registry, report(1, 5), at(1, 120), RETURN));
	/* It writes again, which the second return loses as well. */
	assert_non_null(apply(&registry, draining_report(1, 8), at(1, 135),
			      RETURN + SECOND));
	assert_null(apply(&registry, report(1, 5), at(2, 120),
			  RETURN + 2 * SECOND));
	assert_true(upstream->entry.draining);
	assert_int_equal(upstream->entry.sequence, 8);
	/* Rows of the eras before come late. */
	assert_null(apply(&registry, report(1, 99), at(1, 200),
			  RETURN + 2 * SECOND));
	assert_null(apply(&registry, report(1, 99), at(0, 300),
			  RETURN + 2 * SECOND));
	assert_true(upstream->entry.draining);
	pr_registry_finish(&registry);
}

/* A host that was frozen over two returns sees the era rise by two. */
static void test_frozen_over_two_returns(void **state)
{
	pr_registry_t registry;
	pr_upstream_t *upstream;

	set_up(&registry);
	upstream = apply(&registry, draining_report(1, 6), at(3, 140),
			 90 * SECOND);
	assert_null(apply(&registry, report(1, 5), at(5, 120), RETURN));
	assert_true(upstream->entry.draining);
	assert_non_null(
		apply(&registry, draining_report(1, 9), at(5, 121), RETURN));
	pr_registry_finish(&registry);
}

/* Within an era, stated or not, the revision alone decides. */
static void test_rows_within_an_era(void **state)
{
	for (uint64_t era = 0; era < 2; era++) {
		pr_registry_t registry;
		pr_upstream_t *upstream;

		set_up(&registry);
		apply(&registry, draining_report(2, 6), at(era, 140),
		      90 * SECOND);
		upstream = apply(&registry, report(2, 5), at(era, 141),
				 91 * SECOND);
		assert_false(upstream->entry.draining);
		upstream = apply(&registry, report(1, 5), at(era, 142),
				 92 * SECOND);
		assert_int_equal(upstream->entry.born, 1);
		pr_registry_remove(&registry, "a", at(era, 143), 93 * SECOND,
				   93 * SECOND);
		assert_non_null(apply(&registry, report(1, 5), at(era, 144),
				      94 * SECOND));
		pr_registry_finish(&registry);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_copy_does_not_end_draining),
		cmocka_unit_test(test_unchanged_row_of_a_copy),
		cmocka_unit_test(
			test_copy_does_not_bring_a_replaced_instance_back),
		cmocka_unit_test(
			test_restart_in_the_lost_seconds_of_a_host_cut_off),
		cmocka_unit_test(test_passed_cold_time_does_not_count_again),
		cmocka_unit_test(test_copy_does_not_end_ejections_and_pauses),
		cmocka_unit_test(test_newer_content_of_a_copy_counts),
		cmocka_unit_test(test_content_without_numbers),
		cmocka_unit_test(test_content_with_a_number_on_one_side),
		cmocka_unit_test(test_two_returns_in_a_row),
		cmocka_unit_test(test_frozen_over_two_returns),
		cmocka_unit_test(test_rows_within_an_era),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
