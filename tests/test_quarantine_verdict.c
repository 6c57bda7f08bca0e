/*
 * Tests of src/quarantine/verdict: which part crashed the upstreams. Guards
 * against a quarantine of sound parts: of the same requests, of requests that
 * waited on the same upstreams, on upstreams that only reset connections, and
 * of everything during an outage.
 */
#include "quarantine_fleet.h"

/* All upstreams crash by themselves: the requests on them have parts in common,
 * but none of these is the cause. */
static void test_outage(void **state)
{
	static const uint64_t common[] = { COMMON };
	fleet_t fleet;

	start_fleet(&fleet, 9);
	for (int i = 0; i < 30; i++) {
		for (int host = 0; host < 9; host++)
			crash(&fleet, host, common, 1);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, COMMON), 0);
	/* Other requests are answered first after the outage. */
	for (int i = 0; i < 10; i++) {
		static const uint64_t other[] = { OTHER };

		for (int host = 0; host < 9; host++)
			answer(&fleet, host, other, 1);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, COMMON), 0);
	finish_fleet(&fleet);
}

/* Two requests crash all upstreams of a service before another one is answered.
 * Guards against further crashes, more than three requests, once the upstreams
 * are back. */
static void check_all_upstreams_crash(int hosts)
{
	static const uint64_t parts[] = { COMMON, DEADLY };
	fleet_t fleet;
	int reached = 0;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < 10; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	for (int i = 0; i < 3; i++)
		crash(&fleet, i * 2, parts, 2);
	for (int i = 0; i < 30; i++)
		run_period(&fleet);
	for (int i = 0; i < 100; i++) {
		answer_sound(&fleet);
		reached += crash(&fleet, (i * 7) % hosts, parts, 2);
		run_period(&fleet);
	}
	assert_true(reached >= 1 && reached <= 3);
	assert_int_equal(count_quarantining(&fleet, DEADLY), hosts);
	assert_int_equal(count_quarantining(&fleet, COMMON), 0);
	finish_fleet(&fleet);
}

static void test_all_upstreams_crash_9_hosts(void **state)
{
	check_all_upstreams_crash(9);
}

static void test_all_upstreams_crash_84_hosts(void **state)
{
	check_all_upstreams_crash(84);
}

static void test_all_upstreams_crash_295_hosts(void **state)
{
	check_all_upstreams_crash(295);
}

/* A service that was up goes down, and breaks off requests with a part that was
 * never answered. Guards against a quarantine of the part for longer than until
 * one request with it is sent and answered. */
static void test_outage_of_running_service(void **state)
{
	static const uint64_t parts[] = { COMMON, RARE };
	fleet_t fleet;
	int reached = 0;

	start_fleet(&fleet, 9);
	for (int i = 0; i < 10; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	for (int i = 0; i < 40; i++) {
		crash(&fleet, i % 9, parts, 2);
		run_period(&fleet);
	}
	for (int i = 0; i < 60; i++) {
		pr_quarantine_prompt_t prompt = prompt_of(&fleet, parts, 2);
		int host = i % 9;

		answer_sound(&fleet);
		if (pr_quarantine_admits(&fleet.hosts[host], &prompt, false,
					 fleet.now, NULL)) {
			answer(&fleet, host, parts, 2);
			reached++;
		}
		run_period(&fleet);
	}
	assert_true(reached);
	assert_int_equal(count_quarantining(&fleet, RARE), 0);
	assert_int_equal(count_quarantining(&fleet, COMMON), 0);
	finish_fleet(&fleet);
}

/* Requests with a sound part wait on upstreams that others crash: some are
 * broken off, and some are answered. */
static void test_broken_off_beside(void **state)
{
	static const uint64_t common[] = { COMMON };
	fleet_t fleet;

	start_fleet(&fleet, 84);
	for (int i = 0; i < 50; i++) {
		answer_sound(&fleet);
		for (int j = 0; j < 10; j++)
			crash(&fleet, (i * 10 + j) % 84, common, 1);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, COMMON), 0);
	finish_fleet(&fleet);
}

/* A crash under a quarantined part says nothing about the other parts. */
static void test_explained_crash(void **state)
{
	static const uint64_t parts[] = { RARE, DEADLY };
	fleet_t fleet;

	start_fleet(&fleet, 9);
	quarantine_deadly(&fleet);
	for (uint32_t i = 0; i < 20; i++) {
		pr_quarantine_prompt_t prompt = prompt_of(&fleet, parts, 2);

		answer_sound(&fleet);
		pr_quarantine_record_crash(&fleet.hosts[2], &prompt,
					   1000 + i * 77, fleet.now);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, RARE), 0);
	assert_int_equal(count_quarantining(&fleet, DEADLY), 9);
	finish_fleet(&fleet);
}

/* Two parts crash upstreams at the same time. */
static void test_two_parts(void **state)
{
	static const uint64_t first[] = { COMMON, DEADLY };
	static const uint64_t second[] = { OTHER, DEADLY + 1 };
	fleet_t fleet;

	start_fleet(&fleet, 84);
	for (int i = 0; i < 40; i++) {
		answer_sound(&fleet);
		if (i % 3 == 0)
			crash(&fleet, (i * 31) % 84, first, 2);
		if (i % 4 == 0)
			crash(&fleet, (i * 17) % 84, second, 2);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), 84);
	assert_int_equal(count_quarantining(&fleet, DEADLY + 1), 84);
	assert_int_equal(count_quarantining(&fleet, COMMON), 0);
	assert_int_equal(count_quarantining(&fleet, OTHER), 0);
	finish_fleet(&fleet);
}

/* Two sound requests of a new subject wait on upstreams which other requests
 * crash, and are repeated. Guards against a quarantine of their part. */
static void test_repeats_beside_crashing_part(void **state)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	static const uint64_t sound[] = { COMMON, RARE };
	fleet_t fleet;
	pr_quarantine_prompt_t first, second;

	start_fleet(&fleet, 9);
	for (int i = 0; i < 5; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	first = prompt_of(&fleet, sound, 2);
	second = prompt_of(&fleet, sound, 2);
	for (int i = 0; i < 20; i++) {
		answer_sound(&fleet);
		if (i < 6) {
			/* The upstream is crashed by a request with the part,
			 * and breaks off one of the sound ones. */
			pr_quarantine_prompt_t prompt =
				prompt_of(&fleet, deadly, 2);
			uint32_t upstream = (uint32_t)++fleet.upstreams * 77;

			pr_quarantine_record_crash(&fleet.hosts[i % 9], &prompt,
						   upstream, fleet.now);
			pr_quarantine_record_crash(&fleet.hosts[i < 3 ? 1 : 2],
						   i < 3 ? &first : &second,
						   upstream, fleet.now);
		}
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), 9);
	assert_int_equal(count_quarantining(&fleet, RARE), 0);
	finish_fleet(&fleet);
}

/* A sound request with the subject of the crashing requests, too, is broken off
 * beside one of them. Guards against a quarantine of the subject instead of the
 * crashing part. */
static void test_subject_of_crashing_requests(void **state)
{
	static const uint64_t deadly[] = { COMMON, RARE, DEADLY };
	static const uint64_t sound[] = { COMMON, RARE };
	fleet_t fleet;

	start_fleet(&fleet, 9);
	for (int i = 0; i < 5; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	for (int i = 0; i < 20; i++) {
		answer_sound(&fleet);
		if (i < 6) {
			pr_quarantine_prompt_t prompt =
				prompt_of(&fleet, deadly, 3);
			pr_quarantine_prompt_t beside =
				prompt_of(&fleet, sound, 2);
			uint32_t upstream = (uint32_t)++fleet.upstreams * 77;

			pr_quarantine_record_crash(&fleet.hosts[i % 9], &prompt,
						   upstream, fleet.now);
			if (i == 3)
				pr_quarantine_record_crash(&fleet.hosts[7],
							   &beside, upstream,
							   fleet.now);
		}
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), 9);
	assert_int_equal(count_quarantining(&fleet, RARE), 0);
	finish_fleet(&fleet);
}

static void exchange(pr_quarantine_t *from, pr_quarantine_t *to)
{
	pr_suspect_t out[PR_SUSPECTS_IN_DATAGRAM];
	size_t count = pr_quarantine_take_changes(from, PR_AUDIENCE_RELAYS, out,
						  PR_SUSPECTS_IN_DATAGRAM);

	for (size_t i = 0; i < count; i++)
		pr_quarantine_merge(to, &out[i], true);
}

/* A host records a crash just after another host's verdict, of which it does
 * not know yet. Guards against evidence that the verdict cleared, and that this
 * crash restores. */
static void test_crash_after_verdict(void **state)
{
	static const uint64_t parts[] = { COMMON, RARE, DEADLY };
	static const uint64_t other[] = { OTHER };
	static pr_quarantine_t a, b;
	fleet_t fleet = { .now = START };
	pr_quarantine_prompt_t deadly, rare = prompt_of(&fleet, &parts[1], 1);
	pr_quarantine_prompt_t sound = prompt_of(&fleet, other, 1);

	memset(&a, 0, sizeof(a));
	memset(&b, 0, sizeof(b));
	for (uint32_t i = 0; i < 10; i++, fleet.now += PERIOD) {
		if (i % 2 == 0) {
			deadly = prompt_of(&fleet, parts, 3);
			pr_quarantine_record_crash(&a, &deadly, i * 77,
						   fleet.now);
		}
		pr_quarantine_record_answer(&a, &sound, fleet.now);
		pr_quarantine_record_answer(&b, &sound, fleet.now);
		exchange(&a, &b);
		exchange(&b, &a);
	}
	/* The periods of the hosts differ. */
	pr_quarantine_judge(&a, fleet.now);
	deadly = prompt_of(&fleet, parts, 3);
	assert_false(pr_quarantine_admits(&a, &deadly, false, fleet.now, NULL));
	assert_true(pr_quarantine_admits(&b, &deadly, false, fleet.now, NULL));
	pr_quarantine_record_crash(&b, &deadly, 9 * 77, fleet.now + 30);
	fleet.now += 50;
	for (int i = 0; i < 20; i++, fleet.now += PERIOD) {
		pr_quarantine_record_answer(&a, &sound, fleet.now);
		pr_quarantine_record_answer(&b, &sound, fleet.now);
		exchange(&a, &b);
		exchange(&b, &a);
		pr_quarantine_judge(&a, fleet.now);
		pr_quarantine_judge(&b, fleet.now);
	}
	assert_false(pr_quarantine_admits(&b, &deadly, false, fleet.now, NULL));
	assert_true(pr_quarantine_admits(&a, &rare, false, fleet.now, NULL));
	assert_true(pr_quarantine_admits(&b, &rare, false, fleet.now, NULL));
}

/* Upstreams that reset one connection in three go on to serve: two requests of
 * a new subject meet five of them. */
static void test_resetting_upstreams(void **state)
{
	static const uint64_t sound[] = { COMMON, RARE };
	fleet_t fleet;

	start_fleet(&fleet, 9);
	for (int i = 0; i < 10; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	for (int j = 0; j < 2; j++) {
		pr_quarantine_prompt_t prompt = prompt_of(&fleet, sound, 2);

		for (int k = 0; k < 3; k++) {
			pr_quarantine_record_crash(&fleet.hosts[j], &prompt,
						   (uint32_t)(k + 3 * j) * 77,
						   fleet.now);
			answer_sound(&fleet);
			run_period(&fleet);
			answer_sound(&fleet);
			run_period(&fleet);
			fleet.now += 500;
			/* Another host gets an answer of the upstream. */
			pr_quarantine_record_alive(&fleet.hosts[5],
						   (uint32_t)(k + 3 * j) * 77,
						   fleet.now);
		}
	}
	for (int i = 0; i < 10; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, RARE), 0);
	finish_fleet(&fleet);
}

/* The store is away, so upstreams that crashed start again under the same
 * entry, and answer other requests. Guards against crashes that these answers
 * refute, so that no verdict is reached. */
static void check_same_entry(int hosts)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	pr_quarantine_prompt_t crashing[2];
	fleet_t fleet;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < 2; i++)
		crashing[i] = prompt_of(&fleet, deadly, 2);
	for (int i = 0; i < 60; i++) {
		answer_sound(&fleet);
		if (i < 12 && i % 3 == 0)
			pr_quarantine_record_crash(
				&fleet.hosts[i % hosts], &crashing[i % 2],
				(uint32_t)++fleet.upstreams * 77, fleet.now);
		for (uint32_t j = 1; j < 5 && i >= 30; j++)
			pr_quarantine_record_alive(&fleet.hosts[i % hosts],
						   j * 77, fleet.now);
		if (i == 40)
			crash(&fleet, 3, deadly, 2);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), hosts);
	finish_fleet(&fleet);
}

static void test_same_entry_9_hosts(void **state)
{
	check_same_entry(9);
}

static void test_same_entry_84_hosts(void **state)
{
	check_same_entry(84);
}

static void test_same_entry_295_hosts(void **state)
{
	check_same_entry(295);
}

/* A part that one host answered long before is broken off beside crashes.
 * Guards against a verdict after the short wait. */
static void test_answered_part_waits_longer(void **state)
{
	static const uint64_t rare[] = { COMMON, RARE };
	fleet_t fleet;

	start_fleet(&fleet, 9);
	answer(&fleet, 8, rare, 2);
	for (int i = 0; i < 20; i++) {
		answer_sound(&fleet);
		if (i < 5)
			crash(&fleet, i, rare, 2);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, RARE), 0);
	finish_fleet(&fleet);
}

/* One request, repeated, proves nothing. */
static void test_one_request(void **state)
{
	static const uint64_t rare[] = { COMMON, RARE };
	fleet_t fleet;
	pr_quarantine_prompt_t prompt;

	start_fleet(&fleet, 9);
	prompt = prompt_of(&fleet, rare, 2);
	for (int i = 0; i < 40; i++) {
		answer_sound(&fleet);
		if (i < 8)
			pr_quarantine_record_crash(&fleet.hosts[1], &prompt,
						   (uint32_t)i * 77, fleet.now);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, RARE), 0);
	finish_fleet(&fleet);
}

/* Nor does one upstream that crashes by itself. */
static void test_one_upstream(void **state)
{
	static const uint64_t rare[] = { COMMON, RARE };
	fleet_t fleet;

	start_fleet(&fleet, 9);
	for (int i = 0; i < 40; i++) {
		answer_sound(&fleet);
		if (i < 8) {
			pr_quarantine_prompt_t prompt =
				prompt_of(&fleet, rare, 2);

			pr_quarantine_record_crash(&fleet.hosts[i], &prompt, 77,
						   fleet.now);
		}
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, RARE), 0);
	finish_fleet(&fleet);
}

/* A part that crashes the upstreams of one service is served by another. */
static void test_other_service(void **state)
{
	static const uint64_t deadly[] = { DEADLY };
	fleet_t fleet;
	pr_quarantine_prompt_t prompt;

	start_fleet(&fleet, 9);
	quarantine_deadly(&fleet);
	prompt = prompt_of(&fleet, deadly, 1);
	prompt.service = SERVICE + 1;
	assert_true(pr_quarantine_admits(&fleet.hosts[0], &prompt, false,
					 fleet.now, NULL));
	pr_quarantine_record_answer(&fleet.hosts[0], &prompt, fleet.now);
	assert_int_equal(count_quarantining(&fleet, DEADLY), 9);
	finish_fleet(&fleet);
}

/* Two of the upstreams have the same bit in the set. Guards against a verdict
 * that waits for another crash. */
static void test_upstreams_with_same_bit(void **state)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	uint32_t upstreams[5] = { 77 };
	fleet_t fleet;

	/* Any two of the five share a bit of a 64-bit set by this hash. */
	for (uint32_t i = 1, tag = 78; i < 5; tag++) {
		if ((tag * UINT64_C(0x9e3779b97f4a7c15)) >> 58 ==
		    (77 * UINT64_C(0x9e3779b97f4a7c15)) >> 58)
			upstreams[i++] = tag;
	}
	start_fleet(&fleet, 9);
	for (int i = 0; i < 5; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	for (int i = 0; i < 25; i++) {
		answer_sound(&fleet);
		if (i < 5) {
			pr_quarantine_prompt_t prompt =
				prompt_of(&fleet, deadly, 2);

			pr_quarantine_record_crash(&fleet.hosts[i], &prompt,
						   upstreams[i], fleet.now);
		}
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), 9);
	finish_fleet(&fleet);
}

/* A part that crashes upstreams and that was served long before (an upstream
 * was upgraded, or a caller pasted it elsewhere). The fifth crash is 0.8 s
 * after the first one. Guards against a verdict later than CONTACT after the
 * fifth crash.
 */
static void test_answered_part_begins_to_crash(void **state)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	fleet_t fleet;
	int64_t fifth_at = 0;
	int crashes = 0, late = 0;

	start_fleet(&fleet, 9);
	answer(&fleet, 3, deadly, 2);
	fleet.now += 60000;
	for (int i = 0; i < 100; i++) {
		int reached;

		answer_sound(&fleet);
		reached = crash(&fleet, (i * 4) % 9, deadly, 2);
		crashes += reached;
		if (!fifth_at && crashes >= 5)
			fifth_at = fleet.now;
		if (fifth_at && fleet.now > fifth_at + CONTACT)
			late += reached;
		run_period(&fleet);
	}
	assert_in_range(late, 0, 3);
	finish_fleet(&fleet);
}

/* A part crashes more upstreams in two seconds than are kept of it. Guards
 * against a quarantine of the subject of these requests, of which older crashes
 * are known. */
static void test_more_crashes_than_are_kept(void **state)
{
	static const uint64_t deadly[] = { COMMON, RARE, DEADLY };
	static const uint64_t sound[] = { COMMON, RARE };
	fleet_t fleet;

	start_fleet(&fleet, 84);
	for (int i = 0; i < 5; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	for (int i = 0; i < 30; i++) {
		answer_sound(&fleet);
		for (int j = 0; j < 4 && i < 10; j++) {
			pr_quarantine_prompt_t prompt =
				prompt_of(&fleet, deadly, 3);
			pr_quarantine_prompt_t beside =
				prompt_of(&fleet, sound, 2);
			uint32_t upstream = (uint32_t)++fleet.upstreams * 77;

			pr_quarantine_record_crash(&fleet.hosts[i * 4 + j],
						   &prompt, upstream,
						   fleet.now + j);
			if (i < 2)
				pr_quarantine_record_crash(&fleet.hosts[60 + j],
							   &beside, upstream,
							   fleet.now + j);
		}
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), 84);
	assert_int_equal(count_quarantining(&fleet, RARE), 0);
	finish_fleet(&fleet);
}

/* Two parts crash more upstreams than are kept, the second one earlier. Guards
 * against a quarantine that the other part's later crashes end. */
static void test_two_parts_in_a_storm(void **state)
{
	static const uint64_t first[] = { COMMON, DEADLY };
	static const uint64_t second[] = { OTHER, DEADLY + 1 };
	fleet_t fleet;

	start_fleet(&fleet, 84);
	for (int i = 0; i < 40; i++) {
		answer_sound(&fleet);
		for (int j = 0; j < 3; j++) {
			if (i < 8)
				crash(&fleet, (i * 3 + j) % 84, second, 2);
			if (i >= 4 && i < 16)
				crash(&fleet, (i * 5 + j) % 84, first, 2);
		}
		run_period(&fleet);
		if (i >= 25) {
			assert_int_equal(count_quarantining(&fleet, DEADLY),
					 84);
			assert_int_equal(count_quarantining(&fleet, DEADLY + 1),
					 84);
		}
	}
	finish_fleet(&fleet);
}

/* Two parts crash upstreams, and requests with the subject of the second wait
 * on those of the first, too. Guards against a quarantine of the subject in
 * place of the second part. */
static void test_subject_beside_another_part(void **state)
{
	static const uint64_t first[] = { OTHER, DEADLY + 1 };
	static const uint64_t second[] = { COMMON, RARE, DEADLY };
	static const uint64_t sound[] = { COMMON, RARE };
	fleet_t fleet;

	start_fleet(&fleet, 9);
	for (int i = 0; i < 5; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	for (int i = 0; i < 30; i++) {
		pr_quarantine_prompt_t prompt = prompt_of(&fleet, first, 2);
		pr_quarantine_prompt_t beside = prompt_of(&fleet, sound, 2);
		uint32_t upstream = (uint32_t)++fleet.upstreams * 77;

		answer_sound(&fleet);
		if (i < 12) {
			pr_quarantine_record_crash(&fleet.hosts[i % 9], &prompt,
						   upstream, fleet.now);
			if (i % 2)
				pr_quarantine_record_crash(
					&fleet.hosts[(i + 4) % 9], &beside,
					upstream, fleet.now);
		}
		if (i >= 6 && i < 14)
			crash(&fleet, (i * 2) % 9, second, 3);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY + 1), 9);
	assert_int_equal(count_quarantining(&fleet, DEADLY), 9);
	assert_int_equal(count_quarantining(&fleet, RARE), 0);
	finish_fleet(&fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_outage),
		cmocka_unit_test(test_all_upstreams_crash_9_hosts),
		cmocka_unit_test(test_all_upstreams_crash_84_hosts),
		cmocka_unit_test(test_all_upstreams_crash_295_hosts),
		cmocka_unit_test(test_outage_of_running_service),
		cmocka_unit_test(test_broken_off_beside),
		cmocka_unit_test(test_explained_crash),
		cmocka_unit_test(test_two_parts),
		cmocka_unit_test(test_repeats_beside_crashing_part),
		cmocka_unit_test(test_subject_of_crashing_requests),
		cmocka_unit_test(test_crash_after_verdict),
		cmocka_unit_test(test_resetting_upstreams),
		cmocka_unit_test(test_same_entry_9_hosts),
		cmocka_unit_test(test_same_entry_84_hosts),
		cmocka_unit_test(test_same_entry_295_hosts),
		cmocka_unit_test(test_answered_part_waits_longer),
		cmocka_unit_test(test_one_request),
		cmocka_unit_test(test_one_upstream),
		cmocka_unit_test(test_other_service),
		cmocka_unit_test(test_upstreams_with_same_bit),
		cmocka_unit_test(test_answered_part_begins_to_crash),
		cmocka_unit_test(test_more_crashes_than_are_kept),
		cmocka_unit_test(test_two_parts_in_a_storm),
		cmocka_unit_test(test_subject_beside_another_part),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
