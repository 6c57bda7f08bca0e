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

#define CRASHING_CONTENT 0xdeadc0deull
#define SUBJECT          0x5ab
#define SOUND_CONTENTS   400

/* Requests that broke off with the crashing one, on the same upstream. */
static void break_off_beside(fleet_t *fleet, int period, uint32_t upstream)
{
	for (uint64_t i = 0; i < 3; i++) {
		int host = (int)(((uint64_t)period * 17 + i * 5) %
				 (uint64_t)fleet->count);
		const uint64_t parts[] = { COMMON, 0x900 + i };
		pr_quarantine_prompt_t prompt = prompt_of(fleet, parts, 2);

		/* Its caller sends it again, and it is broken off again. */
		prompt.content =
			1 + ((uint64_t)period / 3 * 3 + i) % SOUND_CONTENTS;
		pr_quarantine_record_crash(&fleet->hosts[host], &prompt,
					   upstream, fleet->now);
	}
}

/*
 * BUDGET: the same request is sent by many callers, to one host after the
 * other, and crashes three upstreams each time. None of its parts is to blame.
 */
static void check_crashing_content(int hosts, int pause)
{
	static const uint64_t parts[] = { COMMON, SUBJECT };
	fleet_t fleet;
	int64_t third_at = 0;
	int crashes = 0, late = 0, wrong = 0;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < 150; i++) {
		answer_sound(&fleet);
		if (i >= 10 && i % pause == 0) {
			pr_quarantine_prompt_t prompt =
				prompt_of(&fleet, parts, 2);
			int reached;

			prompt.content = CRASHING_CONTENT;
			reached = crash_attempts(&fleet, (i * 31) % hosts,
						 &prompt, 3);
			crashes += reached;
			if (!third_at && crashes >= 3)
				third_at = fleet.now;
			if (fleet.now > third_at + CONTACT)
				late += reached;
			if (reached)
				break_off_beside(&fleet, i,
						 (uint32_t)fleet.upstreams *
							 77);
		}
		run_period(&fleet);
	}
	assert_in_range(late, 0, 3);
	assert_int_equal(count_quarantining(&fleet, CRASHING_CONTENT), hosts);
	for (uint64_t i = 1; i < SOUND_CONTENTS; i++)
		wrong += count_quarantining(&fleet, i);
	assert_int_equal(wrong, 0);
	assert_int_equal(count_quarantining(&fleet, SUBJECT), 0);
	assert_int_equal(count_quarantining(&fleet, COMMON), 0);
	finish_fleet(&fleet);
}

static void test_crashing_content_9_hosts(void **state)
{
	check_crashing_content(9, 1);
	check_crashing_content(9, 3);
	check_crashing_content(9, 30);
}

static void test_crashing_content_84_hosts(void **state)
{
	check_crashing_content(84, 1);
	check_crashing_content(84, 3);
	check_crashing_content(84, 30);
}

static void test_crashing_content_295_hosts(void **state)
{
	check_crashing_content(295, 1);
	check_crashing_content(295, 3);
	check_crashing_content(295, 30);
}

/* A part that crashes upstreams in requests of which each is sent again: the
 * first of them must not take the blame from the part. */
static void check_part_in_repeated_contents(int hosts)
{
	static const uint64_t parts[] = { COMMON, DEADLY };
	fleet_t fleet;
	int64_t fifth_at = 0;
	int crashes = 0, late = 0;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < 100; i++) {
		answer_sound(&fleet);
		if (i % 5 == 0) {
			pr_quarantine_prompt_t prompt =
				prompt_of(&fleet, parts, 2);
			int reached;

			/* The caller sends it again after a second. */
			prompt.content = 0x70000 + (uint64_t)(i / 10);
			reached = crash_attempts(&fleet, (i * 31) % hosts,
						 &prompt, 3);
			crashes += reached;
			if (!fifth_at && crashes >= 5)
				fifth_at = fleet.now;
			if (fifth_at && fleet.now > fifth_at + CONTACT)
				late += reached;
		}
		run_period(&fleet);
	}
	assert_in_range(late, 0, 3);
	assert_int_equal(count_quarantining(&fleet, DEADLY), hosts);
	finish_fleet(&fleet);
}

static void test_part_in_repeated_contents(void **state)
{
	check_part_in_repeated_contents(9);
	check_part_in_repeated_contents(84);
	check_part_in_repeated_contents(295);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_long_prompts_9_hosts),
		cmocka_unit_test(test_long_prompts_84_hosts),
		cmocka_unit_test(test_long_prompts_295_hosts),
		cmocka_unit_test(test_crashing_content_9_hosts),
		cmocka_unit_test(test_crashing_content_84_hosts),
		cmocka_unit_test(test_crashing_content_295_hosts),
		cmocka_unit_test(test_part_in_repeated_contents),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
