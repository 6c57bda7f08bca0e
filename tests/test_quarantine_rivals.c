/*
 * Tests of src/quarantine/verdict: which of several suspected parts is
 * quarantined. Guards against a verdict on a sound part while the evidence
 * against the part that crashed the upstreams is still on its way.
 */
#include <time.h>

#include "quarantine_fleet.h"

/* Two requests crash five upstreams, and three sound requests with a new part
 * wait on four of these. The host of the last sound one knows the last crash of
 * its own request before that of the other host's. Guards against a quarantine
 * of the sound part in this time, which then explains the crashes of the other
 * part. */
static void check_crash_known_late(int hosts)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	static const uint64_t sound[] = { COMMON + 1, RARE };
	static const int sound_request[] = { 0, 0, -1, 1, 2 };
	pr_quarantine_prompt_t crashing[2], waiting[3];
	fleet_t fleet;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < 2; i++)
		crashing[i] = prompt_of(&fleet, deadly, 2);
	for (int i = 0; i < 3; i++)
		waiting[i] = prompt_of(&fleet, sound, 2);
	for (int i = 0; i < 35; i++) {
		answer_sound(&fleet);
		if (i >= 5 && i < 20 && i % 3 == 0) {
			int crash = i / 3 - 2;
			uint32_t upstream = (uint32_t)++fleet.upstreams * 77;

			if (sound_request[crash] >= 0)
				pr_quarantine_record_crash(
					&fleet.hosts[0],
					&waiting[sound_request[crash]],
					upstream, fleet.now);
			pr_quarantine_record_crash(&fleet.hosts[hosts - 1],
						   &crashing[crash % 2],
						   upstream, fleet.now);
		}
		run_period(&fleet);
		assert_int_equal(count_quarantining(&fleet, RARE), 0);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), hosts);
	finish_fleet(&fleet);
}

static void test_crash_known_late_9_hosts(void **state)
{
	check_crash_known_late(9);
}

static void test_crash_known_late_84_hosts(void **state)
{
	check_crash_known_late(84);
}

static void test_crash_known_late_295_hosts(void **state)
{
	check_crash_known_late(295);
}

/* A part that crashed many upstreams waits for its verdict, since its first
 * crash is recent. Guards against a quarantine of a part with fewer, but older
 * crashes, most of which the first one explains. */
static void test_likelier_part_with_later_first_crash(void **state)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	static const uint64_t sound[] = { COMMON + 1, RARE };
	pr_quarantine_prompt_t first, second;
	fleet_t fleet;

	start_fleet(&fleet, 9);
	for (int i = 0; i < 5; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	first = prompt_of(&fleet, sound, 2);
	second = prompt_of(&fleet, sound, 2);
	for (int i = 0; i < 30; i++) {
		uint32_t upstream = (uint32_t)++fleet.upstreams * 77;

		answer_sound(&fleet);
		/* Two crashes have another cause, three are the part's. */
		if (i < 10 && strchr("01679", '0' + i))
			pr_quarantine_record_crash(&fleet.hosts[1],
						   i < 8 ? &first : &second,
						   upstream, fleet.now);
		for (int j = 0; j < 2 && i >= 5 && i < 12; j++) {
			pr_quarantine_prompt_t prompt =
				prompt_of(&fleet, deadly, 2);

			pr_quarantine_record_crash(&fleet.hosts[i % 9], &prompt,
						   upstream, fleet.now);
			upstream = (uint32_t)++fleet.upstreams * 77;
		}
		run_period(&fleet);
		assert_int_equal(count_quarantining(&fleet, RARE), 0);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), 9);
	finish_fleet(&fleet);
}

/* Two requests with a subject and a crashing part crash four upstreams, and a
 * sound request with the subject waits on one of them. Guards against a
 * quarantine of the subject, which has the evidence with one crash fewer. */
static void test_subject_with_more_requests(void **state)
{
	static const uint64_t deadly[] = { COMMON, RARE, DEADLY };
	static const uint64_t sound[] = { COMMON, RARE };
	pr_quarantine_prompt_t crashing[2], waiting;
	fleet_t fleet;

	start_fleet(&fleet, 9);
	for (int i = 0; i < 5; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	for (int i = 0; i < 2; i++)
		crashing[i] = prompt_of(&fleet, deadly, 3);
	waiting = prompt_of(&fleet, sound, 2);
	for (int i = 0; i < 40; i++) {
		uint32_t upstream = (uint32_t)++fleet.upstreams * 77;

		answer_sound(&fleet);
		if (i < 12 && i % 3 == 0)
			pr_quarantine_record_crash(&fleet.hosts[4],
						   &crashing[i % 2], upstream,
						   fleet.now);
		if (i == 6)
			pr_quarantine_record_crash(&fleet.hosts[7], &waiting,
						   upstream, fleet.now);
		if (i == 20)
			crash(&fleet, 5, deadly, 3);
		run_period(&fleet);
		assert_int_equal(count_quarantining(&fleet, RARE), 0);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), 9);
	finish_fleet(&fleet);
}

/* A host has the evidence against a part in the moment in which another host
 * gets an answer on it. Guards against a verdict that outlasts this answer. */
static void check_answer_known_late(int hosts)
{
	static const uint64_t rare[] = { COMMON, RARE };
	fleet_t fleet;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < 30; i++) {
		answer_sound(&fleet);
		for (int j = 0; j < 2 && i < 6 && i % 2 == 0; j++)
			crash(&fleet, i, rare, 2);
		/* The period of the verdict; the first host decides first. */
		if (i == 8)
			answer(&fleet, hosts - 1, rare, 2);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, RARE), 0);
	finish_fleet(&fleet);
}

static void test_answer_known_late_9_hosts(void **state)
{
	check_answer_known_late(9);
}

static void test_answer_known_late_84_hosts(void **state)
{
	check_answer_known_late(84);
}

static void test_answer_known_late_295_hosts(void **state)
{
	check_answer_known_late(295);
}

/* Requests with two subjects and a crashing part crash so many upstreams that
 * those of 1.5 s are more than are kept of the part, but not of one of the
 * subjects. Guards against a quarantine of the subjects, since the evidence
 * against the part seems to be new all the time. */
static void check_storm(int hosts)
{
	static const uint64_t often[] = { COMMON, RARE, DEADLY };
	static const uint64_t seldom[] = { COMMON, RARE + 1, DEADLY };
	fleet_t fleet;
	int64_t first_at = 0;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < 40; i++) {
		answer_sound(&fleet);
		for (int j = 0; j < 4 && i >= 5; j++) {
			if (!first_at)
				first_at = fleet.now;
			crash(&fleet, (i * 4 + j) * 7 % hosts,
			      j ? often : seldom, 3);
		}
		run_period(&fleet);
		assert_int_equal(count_quarantining(&fleet, RARE), 0);
		assert_int_equal(count_quarantining(&fleet, RARE + 1), 0);
		if (first_at && fleet.now >= first_at + CONTACT)
			assert_int_equal(count_quarantining(&fleet, DEADLY),
					 hosts);
	}
	finish_fleet(&fleet);
}

static void test_storm_9_hosts(void **state)
{
	check_storm(9);
}

static void test_storm_84_hosts(void **state)
{
	check_storm(84);
}

static void test_storm_295_hosts(void **state)
{
	check_storm(295);
}

/* All upstreams crash within 0.2 s, in which another request is still answered,
 * and are back after 5 s. Guards against a quarantine of the part that all
 * requests share, once other requests are answered again. */
static void check_outage_beside_answer(int hosts)
{
	static const uint64_t common[] = { COMMON }, other[] = { OTHER };
	fleet_t fleet;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < 10; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	for (int i = 0; i < 20; i++) {
		crash(&fleet, i % hosts, common, 1);
		if (i == 10)
			answer(&fleet, 0, other, 1);
		fleet.now += 10;
	}
	for (int i = 0; i < 35; i++) {
		for (int host = 0; host < hosts && i >= 25; host++)
			answer(&fleet, host, other, 1);
		run_period(&fleet);
		assert_int_equal(count_quarantining(&fleet, COMMON), 0);
	}
	finish_fleet(&fleet);
}

static void test_outage_beside_answer_9_hosts(void **state)
{
	check_outage_beside_answer(9);
}

static void test_outage_beside_answer_84_hosts(void **state)
{
	check_outage_beside_answer(84);
}

static void test_outage_beside_answer_295_hosts(void **state)
{
	check_outage_beside_answer(295);
}

/* Three sound requests of one host that is no relay wait on upstreams which the
 * requests of other hosts crash. The relay's news of these are lost. Guards
 * against a verdict by the evidence that this host has by itself. */
static void check_host_without_news(int hosts)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	static const uint64_t sound[] = { COMMON + 1, RARE };
	fleet_t fleet;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < 30; i++) {
		pr_quarantine_t *last = &fleet.hosts[hosts - 1];
		pr_quarantine_prompt_t crashing = prompt_of(&fleet, deadly, 2);
		pr_quarantine_prompt_t waiting = prompt_of(&fleet, sound, 2);
		uint32_t upstream = (uint32_t)++fleet.upstreams * 77;

		answer_sound(&fleet);
		if (i >= 5 && i < 20 && i % 3 == 0) {
			pr_quarantine_record_crash(&fleet.hosts[1], &crashing,
						   upstream, fleet.now);
			pr_quarantine_record_crash(last, &waiting, upstream,
						   fleet.now);
		}
		fleet.count = hosts - 1;
		run_period(&fleet);
		fleet.count = hosts;
		pr_quarantine_judge(last, fleet.now);
		assert_int_equal(count_quarantining(&fleet, RARE), 0);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), hosts - 1);
	finish_fleet(&fleet);
}

static void test_host_without_news_9_hosts(void **state)
{
	check_host_without_news(9);
}

static void test_host_without_news_84_hosts(void **state)
{
	check_host_without_news(84);
}

static void test_host_without_news_295_hosts(void **state)
{
	check_host_without_news(295);
}

/* A part crashes many upstreams, also under requests from before its verdict,
 * and another part a few other ones in the same time. Guards against crashes of
 * the second part that the first one is said to explain, since not all of its
 * own are kept. */
static void check_few_crashes_beside_storm(int hosts)
{
	static const uint64_t storm[] = { COMMON, DEADLY };
	static const uint64_t few[] = { COMMON + 1, DEADLY + 1 };
	fleet_t fleet;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < 50; i++) {
		answer_sound(&fleet);
		for (int j = 0; j < 3 && i >= 5; j++) {
			pr_quarantine_prompt_t prompt =
				prompt_of(&fleet, storm, 2);

			pr_quarantine_record_crash(
				&fleet.hosts[(i + j) % hosts], &prompt,
				(uint32_t)++fleet.upstreams * 77, fleet.now);
		}
		/* The fifth crash is in period 15. */
		if (i >= 7 && i % 4 == 3)
			crash(&fleet, i % hosts, few, 2);
		run_period(&fleet);
		if (i >= 15 + CONTACT / PERIOD)
			assert_int_equal(count_quarantining(&fleet, DEADLY + 1),
					 hosts);
	}
	finish_fleet(&fleet);
}

static void test_few_crashes_beside_storm_9_hosts(void **state)
{
	check_few_crashes_beside_storm(9);
}

static void test_few_crashes_beside_storm_84_hosts(void **state)
{
	check_few_crashes_beside_storm(84);
}

static void test_few_crashes_beside_storm_295_hosts(void **state)
{
	check_few_crashes_beside_storm(295);
}

/* @return what another host reports of a part that two requests have */
static pr_suspect_t report_of(fleet_t *fleet, uint64_t part, uint32_t position,
			      const pr_quarantine_prompt_t *requests,
			      size_t count)
{
	pr_quarantine_t *other = calloc(1, sizeof(*other));
	pr_suspect_t report;

	assert_non_null(other);
	for (size_t i = 0; i < count; i++) {
		pr_quarantine_prompt_t prompt = requests[i];

		prompt.parts = &part;
		prompt.parts_count = 1;
		pr_quarantine_record_crash(other, &prompt, 6000 + (uint32_t)i,
					   fleet->now);
	}
	report = other->entries[0].suspect;
	report.position = position;
	free(other);
	return report;
}

/* Another host's reports on a subject and on the crashing part of its requests
 * arrive apart: the first one on the subject, the last one on the part. Guards
 * against a verdict on the subject, as if the part occurred in further
 * requests. */
static void test_reports_on_subject_missing(void **state)
{
	static const uint64_t deadly[] = { COMMON, RARE, DEADLY };
	pr_quarantine_prompt_t prompts[2];
	pr_suspect_t report;
	fleet_t fleet;

	start_fleet(&fleet, 1);
	for (int i = 0; i < 2; i++)
		prompts[i] = prompt_of(&fleet, deadly, 3);
	report = report_of(&fleet, RARE, 1, prompts, 1);
	pr_quarantine_merge(fleet.hosts, &report, true);
	for (int i = 0; i < 30; i++) {
		answer_sound(&fleet);
		if (i >= 5 && i < 12)
			crash(&fleet, 0, deadly, 3);
		if (i == 8) {
			report = report_of(&fleet, DEADLY, 2, prompts, 2);
			pr_quarantine_merge(fleet.hosts, &report, true);
		}
		run_period(&fleet);
		assert_int_equal(count_quarantining(&fleet, RARE), 0);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), 1);
	finish_fleet(&fleet);
}

/* A quarantined part is answered in a storm, in which many parts are cleared.
 * Guards against hosts that keep the quarantine, since the news of its end wait
 * behind those of other parts. */
static void check_end_in_storm(int hosts)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	fleet_t fleet;

	start_fleet(&fleet, hosts);
	quarantine_deadly(&fleet);
	for (int i = 0; i < 15; i++) {
		for (uint64_t j = 0; j < UINT64_C(20) * ZONES; j++) {
			const uint64_t parts[] = {
				COMMON, OTHER, 0x1000 + j + (uint64_t)i * 1000
			};
			int host = (int)j % hosts;

			crash(&fleet, host, parts, 3);
			fleet.now++;
			answer(&fleet, host, parts, 3);
		}
		fleet.now = (fleet.now + PERIOD - 1) / PERIOD * PERIOD;
		if (i == 8)
			answer(&fleet, 0, deadly, 2);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), 0);
	finish_fleet(&fleet);
}

static void test_end_in_storm_9_hosts(void **state)
{
	check_end_in_storm(9);
}

static void test_end_in_storm_84_hosts(void **state)
{
	check_end_in_storm(84);
}

static void test_end_in_storm_295_hosts(void **state)
{
	check_end_in_storm(295);
}

/* An attacker's sixteen requests, each sent three times, have all the parts
 * that are kept, and crash upstreams. Guards against a judgement that blocks
 * the host for seconds, in which others take it for dead. */
static void test_time_of_judgement(void **state)
{
	pr_quarantine_t *quarantine = calloc(1, sizeof(*quarantine));
	uint64_t parts[32], other = OTHER, part = 0x1000;
	fleet_t fleet = { .now = START };
	clock_t began;
	int in_force = 0;

	assert_non_null(quarantine);
	for (uint32_t group = 0; group < PR_QUARANTINE_MAX / 32; group++) {
		for (int i = 0; i < 32; i++)
			parts[i] = part++;
		for (uint32_t i = 0; i < 16; i++) {
			pr_quarantine_prompt_t prompt =
				prompt_of(&fleet, parts, 32);

			pr_quarantine_record_crash(quarantine, &prompt,
						   (uint32_t)++fleet.upstreams *
							   77,
						   START + i * 50);
		}
	}
	for (int i = 0; i < 10; i++) {
		pr_quarantine_prompt_t prompt = prompt_of(&fleet, &other, 1);

		pr_quarantine_record_answer(quarantine, &prompt, START + 100);
	}
	began = clock();
	pr_quarantine_judge(quarantine, START + 3000);
	assert_in_range((clock() - began) * 1000 / CLOCKS_PER_SEC, 0, 1000);
	for (size_t i = 0; i < quarantine->count; i++)
		in_force += pr_suspect_is_quarantined(
			&quarantine->entries[i].suspect);
	assert_int_equal(in_force, PR_QUARANTINE_MAX / 32);
	free(quarantine);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_crash_known_late_9_hosts),
		cmocka_unit_test(test_crash_known_late_84_hosts),
		cmocka_unit_test(test_crash_known_late_295_hosts),
		cmocka_unit_test(test_likelier_part_with_later_first_crash),
		cmocka_unit_test(test_subject_with_more_requests),
		cmocka_unit_test(test_answer_known_late_9_hosts),
		cmocka_unit_test(test_answer_known_late_84_hosts),
		cmocka_unit_test(test_answer_known_late_295_hosts),
		cmocka_unit_test(test_storm_9_hosts),
		cmocka_unit_test(test_storm_84_hosts),
		cmocka_unit_test(test_storm_295_hosts),
		cmocka_unit_test(test_outage_beside_answer_9_hosts),
		cmocka_unit_test(test_outage_beside_answer_84_hosts),
		cmocka_unit_test(test_outage_beside_answer_295_hosts),
		cmocka_unit_test(test_host_without_news_9_hosts),
		cmocka_unit_test(test_host_without_news_84_hosts),
		cmocka_unit_test(test_host_without_news_295_hosts),
		cmocka_unit_test(test_few_crashes_beside_storm_9_hosts),
		cmocka_unit_test(test_few_crashes_beside_storm_84_hosts),
		cmocka_unit_test(test_few_crashes_beside_storm_295_hosts),
		cmocka_unit_test(test_reports_on_subject_missing),
		cmocka_unit_test(test_end_in_storm_9_hosts),
		cmocka_unit_test(test_end_in_storm_84_hosts),
		cmocka_unit_test(test_end_in_storm_295_hosts),
		cmocka_unit_test(test_time_of_judgement),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
