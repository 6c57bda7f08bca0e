/*
 * Tests of src/quarantine: requests of one kind crash one upstream after the
 * other, and no host sees more than a few of the crashes. Guards against a part
 * that goes on crashing upstreams at some hosts, before or after its release.
 */
#include "quarantine_fleet.h"

/*
 * A host in turn gets a request with the part every 600 ms. Later than
 * CONTACT after the fifth crash at most three requests may reach an upstream.
 */
static void check_crashing_part(int hosts)
{
	static const uint64_t parts[] = { COMMON, RARE, DEADLY };
	static const uint64_t rare[] = { COMMON, RARE };
	fleet_t fleet;
	int64_t fifth_at = 0;
	int crashes = 0, late = 0, quarantining = 0;

	start_fleet(&fleet, hosts);
	answer(&fleet, hosts - 1, rare, 2);
	for (int i = 0; i < 100; i++) {
		answer_sound(&fleet);
		if (i % 3 == 0) {
			int reached = crash(&fleet, (i * 31) % hosts, parts, 3);

			crashes += reached;
			if (!fifth_at && crashes >= 5)
				fifth_at = fleet.now;
			if (fifth_at && fleet.now > fifth_at + CONTACT)
				late += reached;
		}
		run_period(&fleet);
		/* Before the first release. */
		if (i == 40)
			quarantining = count_quarantining(&fleet, DEADLY);
	}
	assert_true(fifth_at > 0);
	assert_in_range(late, 0, 3);
	assert_int_equal(quarantining, hosts);
	assert_int_equal(count_quarantining(&fleet, COMMON), 0);
	assert_int_equal(count_quarantining(&fleet, RARE), 0);
	/* A host that is no relay writes to the relay of its zone only. */
	assert_in_range(fleet.datagrams_max, 0, 1);
	finish_fleet(&fleet);
}

static void test_crashing_part_9_hosts(void **state)
{
	check_crashing_part(9);
}

static void test_crashing_part_84_hosts(void **state)
{
	check_crashing_part(84);
}

static void test_crashing_part_295_hosts(void **state)
{
	check_crashing_part(295);
}

/* The fleet has 20 answers/s, whatever the number of hosts, so that one of
 * many hosts has few by itself. Guards against a verdict that waits until a
 * host has seen enough answers to other requests. */
static void check_few_answers(int hosts)
{
	static const uint64_t parts[] = { COMMON, DEADLY };
	static const uint64_t other[] = { OTHER };
	fleet_t fleet;
	int64_t fifth_at = 0;
	int crashes = 0, late = 0;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < 100; i++) {
		for (int j = 0; j < 4; j++)
			answer(&fleet, (i * 4 + j) * 7 % hosts, other, 1);
		if (i % 3 == 0) {
			int reached = crash(&fleet, (i * 31) % hosts, parts, 2);

			crashes += reached;
			if (!fifth_at && crashes >= 5)
				fifth_at = fleet.now;
			if (fifth_at && fleet.now > fifth_at + CONTACT)
				late += reached;
		}
		run_period(&fleet);
	}
	assert_in_range(late, 0, 3);
	finish_fleet(&fleet);
}

static void test_few_answers_9_hosts(void **state)
{
	check_few_answers(9);
}

static void test_few_answers_84_hosts(void **state)
{
	check_few_answers(84);
}

static void test_few_answers_295_hosts(void **state)
{
	check_few_answers(295);
}

/* A host that starts later knows nothing; the others tell it. */
static void test_host_starts_later(void **state)
{
	fleet_t fleet;

	start_fleet(&fleet, 9);
	quarantine_deadly(&fleet);
	memset(&fleet.hosts[8], 0, sizeof(fleet.hosts[8]));
	memset(&fleet.hosts[0], 0, sizeof(fleet.hosts[0]));
	for (int i = 0; i < 20; i++)
		run_period(&fleet);
	assert_int_equal(count_quarantining(&fleet, DEADLY), 9);
	finish_fleet(&fleet);
}

/* A host starts when the quarantine has ended, but no request with the part was
 * answered yet. Guards against repeats of the next one at this host. */
static void check_start_after_release(int hosts)
{
	static const uint64_t parts[] = { COMMON, DEADLY };
	fleet_t fleet;
	pr_quarantine_prompt_t prompt;

	start_fleet(&fleet, hosts);
	quarantine_deadly(&fleet);
	fleet.now += 60000 + hosts * 1000;
	memset(&fleet.hosts[hosts - 1], 0, sizeof(fleet.hosts[0]));
	for (int i = 0; i < 20; i++) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	prompt = prompt_of(&fleet, parts, 2);
	assert_true(pr_quarantine_admits(&fleet.hosts[hosts - 1], &prompt,
					 false, fleet.now, NULL));
	assert_false(pr_quarantine_admits(&fleet.hosts[hosts - 1], &prompt,
					  true, fleet.now, NULL));
	finish_fleet(&fleet);
}

static void test_start_after_release_9_hosts(void **state)
{
	check_start_after_release(9);
}

static void test_start_after_release_84_hosts(void **state)
{
	check_start_after_release(84);
}

static void test_start_after_release_295_hosts(void **state)
{
	check_start_after_release(295);
}

/* All hosts start again at once: the saved list has the parts, and an answer
 * removes a part from it. */
static void test_saved_list(void **state)
{
	static const uint64_t parts[] = { DEADLY };
	pr_suspect_t saved[2];
	fleet_t fleet;

	start_fleet(&fleet, 9);
	assert_true(pr_quarantine_is_saved(&fleet.hosts[3], fleet.now, 2));
	quarantine_deadly(&fleet);
	assert_false(pr_quarantine_is_saved(&fleet.hosts[3], fleet.now, 2));
	assert_int_equal(
		pr_quarantine_list(&fleet.hosts[3], fleet.now, saved, 2), 1);
	for (int i = 0; i < 9; i++) {
		memset(&fleet.hosts[i], 0, sizeof(fleet.hosts[i]));
		pr_quarantine_load(&fleet.hosts[i], saved, 1);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), 9);
	assert_true(pr_quarantine_is_saved(&fleet.hosts[3], fleet.now, 2));
	fleet.now += PERIOD;
	answer(&fleet, 3, parts, 1);
	assert_false(pr_quarantine_is_saved(&fleet.hosts[3], fleet.now, 2));
	assert_int_equal(
		pr_quarantine_list(&fleet.hosts[3], fleet.now, saved, 2), 0);
	pr_quarantine_load(&fleet.hosts[3], saved, 0);
	assert_true(pr_quarantine_is_saved(&fleet.hosts[3], fleet.now, 2));
	finish_fleet(&fleet);
}

/* More parts are in quarantine than the list holds: the newest are kept. */
static void test_saved_list_full(void **state)
{
	pr_quarantine_t *quarantine = calloc(1, sizeof(*quarantine));
	pr_suspect_t suspect = { .service = SERVICE, .quarantines = 1 };
	pr_suspect_t saved[2];

	assert_non_null(quarantine);
	for (int i = 0; i < 4; i++) {
		suspect.part = (uint64_t)i;
		suspect.crash_ms = START + i % 3;
		suspect.quarantined_ms = START + i % 3;
		pr_quarantine_merge(quarantine, &suspect, false);
	}
	assert_int_equal(pr_quarantine_list(quarantine, START + 10, saved, 2),
			 2);
	assert_int_equal(saved[0].part, 2);
	assert_int_equal(saved[1].part, 1);
	assert_false(pr_quarantine_is_saved(quarantine, START + 10, 2));
	pr_quarantine_load(quarantine, saved, 2);
	assert_true(pr_quarantine_is_saved(quarantine, START + 10, 2));
	free(quarantine);
}

/* The quarantine ends on one host first. A crash there puts the part back
 * everywhere, for a longer time; an answer releases it everywhere. */
static void test_release(void **state)
{
	static const uint64_t parts[] = { DEADLY };
	fleet_t fleet;
	int64_t began;

	start_fleet(&fleet, 9);
	quarantine_deadly(&fleet);
	began = fleet.now;
	while (count_quarantining(&fleet, DEADLY) == 9 &&
	       fleet.now < began + 120000) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), 8);
	assert_true(crash(&fleet, 0, parts, 1) > 0);
	for (int i = 0; i < 5; i++)
		run_period(&fleet);
	assert_int_equal(count_quarantining(&fleet, DEADLY), 9);
	began = fleet.now;
	while (count_quarantining(&fleet, DEADLY) == 9) {
		answer_sound(&fleet);
		run_period(&fleet);
	}
	assert_true(fleet.now > began + 45000);
	answer(&fleet, 0, parts, 1);
	for (int i = 0; i < 5; i++)
		run_period(&fleet);
	assert_int_equal(count_quarantining(&fleet, DEADLY), 0);
	finish_fleet(&fleet);
}

/* A flood of distinct parts displaces no part that is in quarantine. */
static void test_flood(void **state)
{
	fleet_t fleet;

	start_fleet(&fleet, 9);
	quarantine_deadly(&fleet);
	for (uint64_t i = 0; i < UINT64_C(10) * PR_QUARANTINE_MAX; i++) {
		uint64_t part = 0x10000 + i;

		crash(&fleet, (int)(i % 9), &part, 1);
		if (i % 400 == 0) {
			answer_sound(&fleet);
			run_period(&fleet);
		}
	}
	assert_true(fleet.hosts[0].count <= PR_QUARANTINE_MAX);
	assert_int_equal(count_quarantining(&fleet, DEADLY), 9);
	finish_fleet(&fleet);
}

/* Datagrams arrive twice and in any order; an old one restores nothing. */
static void test_merge_order(void **state)
{
	static pr_quarantine_t a, b;
	pr_suspect_t crashed, answered;

	memset(&crashed, 0, sizeof(crashed));
	crashed.part = DEADLY;
	crashed.service = SERVICE;
	crashed.requests = 7;
	crashed.crashes_count = 1;
	crashed.crashes[0].upstream = 31;
	crashed.crashes[0].at_ms = 2000;
	crashed.since_ms = 1000;
	crashed.crash_ms = 2000;
	answered = crashed;
	answered.requests = answered.crashes_count = 0;
	answered.cleared_ms = 3000;
	pr_quarantine_merge(&a, &crashed, false);
	pr_quarantine_merge(&a, &answered, false);
	pr_quarantine_merge(&a, &crashed, false);
	pr_quarantine_merge(&b, &answered, false);
	pr_quarantine_merge(&b, &crashed, false);
	assert_int_equal(a.entries[0].suspect.cleared_ms, 3000);
	assert_int_equal(a.entries[0].suspect.requests, 0);
	assert_int_equal(a.entries[0].suspect.crashes_count, 0);
	assert_int_equal(b.entries[0].suspect.cleared_ms, 3000);
	assert_int_equal(b.entries[0].suspect.requests, 0);
	assert_int_equal(b.entries[0].suspect.crashes_count, 0);
}

/* After the release the first host probes with one request: further ones, and
 * its repeats, wait for the outcome. Later than CONTACT after the fifth crash
 * three requests in all may reach upstreams. */
static void test_release_sends_one_request(void **state)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	fleet_t fleet;
	int64_t end;
	int reached = 0;

	start_fleet(&fleet, 9);
	quarantine_deadly(&fleet);
	end = fleet.now + 300000;
	while (fleet.now < end) {
		answer_sound(&fleet);
		for (int host = 0; host < 9; host++)
			reached += crash(&fleet, host, deadly, 2);
		run_period(&fleet);
	}
	assert_in_range(reached, 0, 3);
	finish_fleet(&fleet);
}

/* Requests with the part come at all hosts for ten minutes. Guards against
 * releases that let more than three of them through, later than CONTACT after
 * the fifth crash. */
static void check_ten_minutes(int hosts, bool relays_last)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	fleet_t fleet;
	int64_t end;
	int reached = 0;

	start_fleet(&fleet, hosts);
	for (int i = 0; i < hosts && relays_last; i++)
		fleet.hosts[i].rank = (uint32_t)(hosts - 1 - i);
	quarantine_deadly(&fleet);
	end = fleet.now + 600000;
	while (fleet.now < end) {
		answer_sound(&fleet);
		for (int host = 0; host < hosts; host += 3)
			reached += crash(&fleet, host, deadly, 2);
		run_period(&fleet);
	}
	assert_in_range(reached, 1, 3);
	finish_fleet(&fleet);
}

static void test_ten_minutes_9_hosts(void **state)
{
	check_ten_minutes(9, false);
}

static void test_ten_minutes_84_hosts(void **state)
{
	check_ten_minutes(84, false);
}

static void test_ten_minutes_295_hosts(void **state)
{
	check_ten_minutes(295, false);
}

/* The hosts that release the part first are no relays, and leave verdicts to
 * these. */
static void test_ten_minutes_relays_last_9_hosts(void **state)
{
	check_ten_minutes(9, true);
}

static void test_ten_minutes_relays_last_84_hosts(void **state)
{
	check_ten_minutes(84, true);
}

static void test_ten_minutes_relays_last_295_hosts(void **state)
{
	check_ten_minutes(295, true);
}

/* The requests come only at hosts that are late in the order of release.
 * Guards against a release of many hosts at the same time, each of which sends
 * a request before it learns of the others'. */
static void check_release_of_last_hosts(int hosts)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	fleet_t fleet;
	int64_t end;
	int reached = 0;

	start_fleet(&fleet, hosts);
	quarantine_deadly(&fleet);
	end = fleet.now + 300000;
	while (fleet.now < end) {
		answer_sound(&fleet);
		for (int host = hosts / 2; host < hosts; host++)
			reached += crash(&fleet, host, deadly, 2);
		run_period(&fleet);
	}
	assert_in_range(reached, 1, 3);
	finish_fleet(&fleet);
}

static void test_release_of_last_hosts_9_hosts(void **state)
{
	check_release_of_last_hosts(9);
}

static void test_release_of_last_hosts_84_hosts(void **state)
{
	check_release_of_last_hosts(84);
}

static void test_release_of_last_hosts_295_hosts(void **state)
{
	check_release_of_last_hosts(295);
}

/* A part that goes on to crash upstreams, under requests from before its
 * verdict, is news in each period. Guards against the verdict on another part
 * that waits behind it. */
static void check_second_verdict(int hosts)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	pr_suspect_t other = { .part = OTHER + 1,
			       .service = SERVICE,
			       .quarantines = 1 };
	fleet_t fleet;

	start_fleet(&fleet, hosts);
	quarantine_deadly(&fleet);
	other.quarantined_ms = other.crash_ms = fleet.now;
	for (int i = 0; i < ZONES; i++)
		pr_quarantine_merge(&fleet.hosts[i], &other, true);
	for (int i = 0; i < 5; i++) {
		for (int j = 0; j < ZONES; j++) {
			pr_quarantine_prompt_t prompt =
				prompt_of(&fleet, deadly, 2);

			pr_quarantine_record_crash(
				&fleet.hosts[j], &prompt,
				(uint32_t)++fleet.upstreams * 77, fleet.now);
		}
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, OTHER + 1), hosts);
	finish_fleet(&fleet);
}

static void test_second_verdict_9_hosts(void **state)
{
	check_second_verdict(9);
}

static void test_second_verdict_84_hosts(void **state)
{
	check_second_verdict(84);
}

static void test_second_verdict_295_hosts(void **state)
{
	check_second_verdict(295);
}

/* Guards against a request after a quarantine that is moved to another model
 * before its outcome is known. */
static void test_outcome_is_awaited(void **state)
{
	static const uint64_t parts[] = { COMMON, DEADLY };
	static const uint64_t other[] = { COMMON };
	fleet_t fleet;
	pr_quarantine_prompt_t prompt, sound;

	start_fleet(&fleet, 1);
	prompt = prompt_of(&fleet, parts, 2);
	sound = prompt_of(&fleet, other, 1);
	assert_false(pr_quarantine_is_awaited(fleet.hosts, &prompt));
	quarantine_deadly(&fleet);
	fleet.now += 70000;
	assert_true(pr_quarantine_admits(fleet.hosts, &prompt, false, fleet.now,
					 NULL));
	assert_true(pr_quarantine_is_awaited(fleet.hosts, &prompt));
	assert_false(pr_quarantine_is_awaited(fleet.hosts, &sound));
	pr_quarantine_record_answer(fleet.hosts, &prompt, fleet.now);
	assert_false(pr_quarantine_is_awaited(fleet.hosts, &prompt));
	finish_fleet(&fleet);
}

/* A suspect that a quarantined part explains is no news in each period. */
static void test_explained_suspect_is_quiet(void **state)
{
	static const uint64_t deadly[] = { COMMON, RARE, DEADLY };
	fleet_t fleet;
	pr_suspect_t out[PR_SUSPECTS_IN_DATAGRAM];
	pr_suspect_t late = { .part = RARE, .service = SERVICE, .requests = 7 };
	size_t sent = 0;

	start_fleet(&fleet, 1);
	for (int i = 0; i < 12; i++) {
		answer_sound(&fleet);
		if (i % 3 == 0)
			crash(&fleet, 0, deadly, 3);
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), 1);
	/* Another host's report, observed before it knew of the verdict. */
	late.since_ms = fleet.now;
	late.crash_ms = fleet.now + 100;
	late.crashes_count = 1;
	late.crashes[0].upstream = 77;
	late.crashes[0].at_ms = late.crash_ms;
	pr_quarantine_merge(&fleet.hosts[0], &late, true);
	for (int i = 0; i < 100; i++) {
		run_period(&fleet);
		if (i > 10)
			sent += pr_quarantine_take_changes(
				&fleet.hosts[0], PR_AUDIENCE_RELAYS, out,
				PR_SUSPECTS_IN_DATAGRAM);
	}
	assert_in_range(sent, 0, 15);
	finish_fleet(&fleet);
}

/* Crashes at hosts of all zones that are no relays. Guards against a relay that
 * keeps the reports of its zone to itself. */
static void test_reports_of_all_zones(void **state)
{
	static const uint64_t deadly[] = { COMMON, DEADLY };
	fleet_t fleet;

	start_fleet(&fleet, 4 * ZONES);
	for (int i = 0; i < 30; i++) {
		answer_sound(&fleet);
		/* One crash in each zone: no zone has enough by itself. */
		if (i < ZONES) {
			pr_quarantine_prompt_t prompt =
				prompt_of(&fleet, deadly, 2);

			pr_quarantine_record_crash(
				&fleet.hosts[ZONES + i], &prompt,
				(uint32_t)++fleet.upstreams * 77, fleet.now);
		}
		run_period(&fleet);
	}
	assert_int_equal(count_quarantining(&fleet, DEADLY), fleet.count);
	finish_fleet(&fleet);
}

/*
 * Each crash breaks off twenty sound requests, so most of what hosts tell each
 * other is about parts of these. Guards against control traffic of more than
 * 3 KB/s in a storm at a host that is no relay, and against a verdict that
 * waits behind it.
 */
static void check_storm_traffic(int hosts)
{
	fleet_t fleet;
	uint64_t parts[] = { COMMON, DEADLY };
	int64_t began;

	start_fleet(&fleet, hosts);
	began = fleet.now;
	for (int i = 0; i < 60; i++) {
		answer_sound(&fleet);
		if (i % 2 == 0) {
			uint32_t upstream = (uint32_t)++fleet.upstreams * 77;

			crash(&fleet, i * 31 % hosts, parts, 2);
			for (uint64_t j = 0; j < 20; j++) {
				uint64_t sound[] = { COMMON + j % 5,
						     0x1000 + j * 53 % 400 +
							     (uint64_t)i };
				pr_quarantine_prompt_t prompt =
					prompt_of(&fleet, sound, 2);

				pr_quarantine_record_crash(
					&fleet.hosts[(int)j * 17 % hosts],
					&prompt, upstream, fleet.now);
			}
		}
		run_period(&fleet);
		if (i == 20)
			assert_int_equal(count_quarantining(&fleet, DEADLY),
					 hosts);
	}
	/* A zone has two relays, each of which tells the host everything. */
	assert_in_range(2 * fleet.bytes * 1000 / (uint64_t)(fleet.now - began),
			0, 3000);
	finish_fleet(&fleet);
}

static void test_storm_traffic_9_hosts(void **state)
{
	check_storm_traffic(9);
}

static void test_storm_traffic_84_hosts(void **state)
{
	check_storm_traffic(84);
}

static void test_storm_traffic_295_hosts(void **state)
{
	check_storm_traffic(295);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_crashing_part_9_hosts),
		cmocka_unit_test(test_crashing_part_84_hosts),
		cmocka_unit_test(test_crashing_part_295_hosts),
		cmocka_unit_test(test_few_answers_9_hosts),
		cmocka_unit_test(test_few_answers_84_hosts),
		cmocka_unit_test(test_few_answers_295_hosts),
		cmocka_unit_test(test_host_starts_later),
		cmocka_unit_test(test_start_after_release_9_hosts),
		cmocka_unit_test(test_start_after_release_84_hosts),
		cmocka_unit_test(test_start_after_release_295_hosts),
		cmocka_unit_test(test_saved_list),
		cmocka_unit_test(test_saved_list_full),
		cmocka_unit_test(test_release),
		cmocka_unit_test(test_flood),
		cmocka_unit_test(test_merge_order),
		cmocka_unit_test(test_release_sends_one_request),
		cmocka_unit_test(test_ten_minutes_9_hosts),
		cmocka_unit_test(test_ten_minutes_84_hosts),
		cmocka_unit_test(test_ten_minutes_295_hosts),
		cmocka_unit_test(test_ten_minutes_relays_last_9_hosts),
		cmocka_unit_test(test_ten_minutes_relays_last_84_hosts),
		cmocka_unit_test(test_ten_minutes_relays_last_295_hosts),
		cmocka_unit_test(test_release_of_last_hosts_9_hosts),
		cmocka_unit_test(test_release_of_last_hosts_84_hosts),
		cmocka_unit_test(test_release_of_last_hosts_295_hosts),
		cmocka_unit_test(test_second_verdict_9_hosts),
		cmocka_unit_test(test_second_verdict_84_hosts),
		cmocka_unit_test(test_second_verdict_295_hosts),
		cmocka_unit_test(test_outcome_is_awaited),
		cmocka_unit_test(test_explained_suspect_is_quiet),
		cmocka_unit_test(test_storm_traffic_9_hosts),
		cmocka_unit_test(test_storm_traffic_84_hosts),
		cmocka_unit_test(test_storm_traffic_295_hosts),
		cmocka_unit_test(test_reports_of_all_zones),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
