/*
 * Tests of src/quarantine with long prompts: as many parts as the header of a
 * request holds. Guards against a part that goes on crashing upstreams because
 * of its place in the prompt, and against sound parts that are quarantined in
 * its stead.
 */
#include "quarantine_fleet.h"

#define SHARED_PARTS 2000
/* Parts that the prompts may have, by their number. */
#define SHARED(n) (0x5c1e0000 + (uint64_t)(n))

/* Shared parts drawn in ascending order, so that no two prompts are alike. */
static void draw_parts(uint64_t *parts, size_t count, uint32_t seed)
{
	size_t drawn = 0;

	for (uint32_t i = 0; drawn < count; i++) {
		uint32_t left = (uint32_t)(count * 3 / 2) - i;

		seed = seed * 1664525 + 1013904223;
		if ((uint64_t)(seed >> 8) * left <
		    ((uint64_t)(count - drawn) << 24))
			parts[drawn++] = SHARED(i);
	}
}

/*
 * Sound requests with long prompts come to all hosts, and every 600 ms one with
 * the crashing part at the end of them or in the middle.
 */
static void check_long_prompts(int hosts, size_t count, size_t place)
{
	static uint64_t parts[SHARED_PARTS];
	fleet_t fleet;
	int64_t fifth_at = 0;
	int crashes = 0, late = 0, quarantining;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < 60; i++) {
		for (int host = 0; host < hosts; host++) {
			draw_parts(parts, count,
				   (uint32_t)(i * hosts + host) * 7919 + 1);
			answer(&fleet, host, parts, count);
		}
		if (i >= 20 && i % 3 == 0) {
			int reached;

			draw_parts(parts, count, (uint32_t)i);
			parts[place] = DEADLY;
			reached = crash(&fleet, (i * 31) % hosts, parts, count);
			crashes += reached;
			if (!fifth_at && crashes >= 5)
				fifth_at = fleet.now;
			if (fifth_at && fleet.now > fifth_at + CONTACT)
				late += reached;
		}
		run_period(&fleet);
	}
	quarantining = count_quarantining(&fleet, DEADLY);
	assert_true(fifth_at > 0);
	assert_in_range(late, 0, 3);
	assert_int_equal(quarantining, hosts);
	for (int i = 0; i < 30; i++)
		assert_int_equal(count_quarantining(&fleet, SHARED(i)), 0);
	finish_fleet(&fleet);
}

static void test_long_prompts_9_hosts(void **state)
{
	check_long_prompts(9, 39, 38);
	check_long_prompts(9, 39, 20);
	check_long_prompts(9, 1200, 1199);
	check_long_prompts(9, 1200, 0);
}

static void test_long_prompts_84_hosts(void **state)
{
	check_long_prompts(84, 39, 38);
}

static void test_long_prompts_295_hosts(void **state)
{
	check_long_prompts(295, 39, 38);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_long_prompts_9_hosts),
		cmocka_unit_test(test_long_prompts_84_hosts),
		cmocka_unit_test(test_long_prompts_295_hosts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
