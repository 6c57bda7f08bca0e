/*
 * Tests of src/store/clock. Guards against an estimate that falls behind by the
 * time in which a host was frozen or a response was under way.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "quarantine/quarantine.h"
#include "store/clock.h"

#define LEAD INT64_C(1000000)

/* The response took 300 ms, later ones less. */
static void test_first_response(void **state)
{
	pr_store_clock_t clock = { 0 };

	assert_false(clock.is_known);
	pr_store_clock_note(&clock, LEAD + 100, 0, 400);
	assert_true(clock.is_known);
	assert_int_equal(clock.offset_ms, LEAD - 300);
	pr_store_clock_note(&clock, LEAD + 1100, 1000, 1102);
	assert_int_equal(clock.offset_ms, LEAD - 2);
}

/* The store waits for a change before it responds. */
static void test_long_poll(void **state)
{
	pr_store_clock_t clock = { .is_known = true, .offset_ms = LEAD - 2 };

	pr_store_clock_note(&clock, LEAD + 5000, 0, 5030);
	assert_int_equal(clock.offset_ms, LEAD - 2);
}

/* The store's clock runs more slowly than the host's. */
static void test_drift(void **state)
{
	pr_store_clock_t clock = { .is_known = true, .offset_ms = LEAD };

	pr_store_clock_note(&clock, LEAD - 50, 0, 10);
	assert_int_equal(clock.offset_ms, LEAD - 50);
}

/* A host that was frozen for 4 s reads a response of before, and records a
 * crash. Guards against a time of the crash from before the upstream's last
 * answer to another host, which would refute it. */
static void test_frozen_host(void **state)
{
	static pr_quarantine_t quarantine;
	static const uint64_t part = 7;
	const pr_quarantine_prompt_t prompt = {
		.service = 1, .parts = &part, .parts_count = 1, .request = 3
	};
	pr_store_clock_t clock = { .is_known = true, .offset_ms = LEAD };

	pr_quarantine_record_alive(&quarantine, 77, LEAD + 11500);
	pr_store_clock_note(&clock, LEAD + 10100, 10000, 14100);
	pr_quarantine_record_crash(&quarantine, &prompt, 77,
				   clock.offset_ms + 14100);
	pr_quarantine_judge(&quarantine, clock.offset_ms + 14200);
	assert_true(
		pr_crash_is_real(&quarantine.entries[0].suspect.crashes[0]));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_response),
		cmocka_unit_test(test_long_poll),
		cmocka_unit_test(test_drift),
		cmocka_unit_test(test_frozen_host),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
