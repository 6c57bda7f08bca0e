/*
 * Tests of src/quarantine: requests of one kind crash one upstream after the
 * other, and no host sees more than a few of the crashes. A fleet is simulated
 * without a network: hosts tell the relays of their zone what changed, relays
 * tell each other and their hosts. Guards against a part that goes on crashing
 * upstreams, and against a quarantine of sound parts of the same requests, of
 * requests that waited on the same upstreams, and of everything during an
 * outage.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "quarantine/quarantine.h"
#include "relay/message.h"

#define SERVICE 7
/* Parts: that of all requests of a kind, that of a few, that of the requests
 * that crash, and that of an unrelated kind. */
#define COMMON  0xc0
#define RARE    0x4a
#define DEADLY  0xdead
#define OTHER   0x07
#define HOSTS   295
#define ZONES   6
#define PERIOD  200
#define REFRESH 2000
#define CONTACT 4000
#define START   1000000

typedef struct fleet_t {
	pr_quarantine_t *hosts;
	int count;
	int64_t now;
	uint64_t requests, upstreams;
	uint32_t datagrams_max;
} fleet_t;

static void start_fleet(fleet_t *fleet, int count)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->hosts = calloc((size_t)count, sizeof(fleet->hosts[0]));
	assert_non_null(fleet->hosts);
	fleet->count = count;
	fleet->now = START;
	for (int i = 0; i < count; i++)
		fleet->hosts[i].rank = (uint32_t)i;
}

static void finish_fleet(fleet_t *fleet)
{
	free(fleet->hosts);
}

/* The first host of each zone is its relay. */
static bool is_relay(int host)
{
	return host < ZONES;
}

static uint32_t send_changes(fleet_t *fleet, int from, pr_audience_t audience)
{
	pr_suspect_t suspects[PR_SUSPECTS_IN_DATAGRAM];
	size_t count =
		pr_quarantine_take_changes(&fleet->hosts[from], audience,
					   suspects, PR_SUSPECTS_IN_DATAGRAM);
	uint32_t sent = 0;

	for (int to = 0; to < fleet->count && count; to++) {
		bool same_zone = to % ZONES == from % ZONES;
		bool gets =
			audience == PR_AUDIENCE_RELAYS
				? is_relay(to) && (same_zone || is_relay(from))
				: is_relay(from) && same_zone;

		if (to == from || !gets)
			continue;
		sent++;
		for (size_t i = 0; i < count; i++)
			pr_quarantine_merge(&fleet->hosts[to], &suspects[i],
					    is_relay(to) && same_zone);
	}
	return sent;
}

static void run_period(fleet_t *fleet)
{
	fleet->now += PERIOD;
	for (int i = 0; i < fleet->count; i++) {
		uint32_t sent;

		pr_quarantine_judge(&fleet->hosts[i], fleet->now);
		if (fleet->now % REFRESH == 0)
			pr_quarantine_refresh(&fleet->hosts[i], fleet->now);
		sent = send_changes(fleet, i, PR_AUDIENCE_RELAYS) +
		       send_changes(fleet, i, PR_AUDIENCE_FOLLOWERS);
		if (!is_relay(i) && sent > fleet->datagrams_max)
			fleet->datagrams_max = sent;
	}
}

static pr_quarantine_prompt_t prompt_of(fleet_t *fleet, const uint64_t *parts,
					size_t count)
{
	return (pr_quarantine_prompt_t){
		.service = SERVICE,
		.parts = parts,
		.parts_count = count,
		.request = ++fleet->requests * UINT64_C(0x9e3779b97f4a7c15),
	};
}

/* An upstream crashes under the request and its repeat. @return attempts that
 * reached an upstream */
static int crash(fleet_t *fleet, int host, const uint64_t *parts, size_t count)
{
	pr_quarantine_t *quarantine = &fleet->hosts[host];
	pr_quarantine_prompt_t prompt = prompt_of(fleet, parts, count);
	int reached = 0;

	while (reached < 2 &&
	       !pr_quarantine_has(quarantine, &prompt, fleet->now, NULL)) {
		reached++;
		pr_quarantine_record_crash(quarantine, &prompt,
					   (uint32_t)++fleet->upstreams * 77,
					   fleet->now);
	}
	return reached;
}

static void answer(fleet_t *fleet, int host, const uint64_t *parts,
		   size_t count)
{
	pr_quarantine_prompt_t prompt = prompt_of(fleet, parts, count);

	pr_quarantine_record_answer(&fleet->hosts[host], &prompt, fleet->now);
}

static int count_quarantining(fleet_t *fleet, uint64_t part)
{
	pr_quarantine_prompt_t prompt = prompt_of(fleet, &part, 1);
	int count = 0;

	for (int i = 0; i < fleet->count; i++)
		count += pr_quarantine_has(&fleet->hosts[i], &prompt,
					   fleet->now, NULL);
	return count;
}

/* Sound requests of the fleet in one period: each zone has some, so that all
 * hosts know the common parts. */
static void answer_sound(fleet_t *fleet)
{
	static const uint64_t common[] = { COMMON }, other[] = { OTHER };

	for (int i = 0; i < fleet->count; i++) {
		answer(fleet, i, other, 1);
		if ((i + fleet->now / PERIOD) % 5 == 0)
			answer(fleet, i, common, 1);
	}
}

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
	int crashes = 0, late = 0;

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
	}
	assert_true(fifth_at > 0);
	assert_in_range(late, 0, 3);
	assert_int_equal(count_quarantining(&fleet, DEADLY), hosts);
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

static void quarantine_deadly(fleet_t *fleet)
{
	static const uint64_t parts[] = { COMMON, DEADLY };

	for (int i = 0; i < 20; i++) {
		answer_sound(fleet);
		if (i % 3 == 0)
			crash(fleet, i % fleet->count, parts, 2);
		run_period(fleet);
	}
	assert_int_equal(count_quarantining(fleet, DEADLY), fleet->count);
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
	pr_suspect_t suspect = { .service = SERVICE }, saved[2];

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
	       fleet.now < began + 60000) {
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

/* A flood of distinct parts displaces no part that is in quarantine. */
static void test_flood(void **state)
{
	fleet_t fleet;

	start_fleet(&fleet, 9);
	quarantine_deadly(&fleet);
	for (uint64_t i = 0; i < UINT64_C(10) * PR_QUARANTINE_MAX; i++) {
		uint64_t part = 0x10000 + i;

		crash(&fleet, (int)(i % 9), &part, 1);
		if (i % 100 == 0) {
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
	pr_suspect_t crashed = {
		.part = DEADLY,
		.service = SERVICE,
		.requests = 7,
		.upstreams = 31,
		.since_ms = 1000,
		.crash_ms = 2000,
	};
	pr_suspect_t answered = crashed;

	answered.requests = answered.upstreams = 0;
	answered.cleared_ms = 3000;
	pr_quarantine_merge(&a, &crashed, false);
	pr_quarantine_merge(&a, &answered, false);
	pr_quarantine_merge(&a, &crashed, false);
	pr_quarantine_merge(&b, &answered, false);
	pr_quarantine_merge(&b, &crashed, false);
	assert_int_equal(a.entries[0].suspect.cleared_ms, 3000);
	assert_int_equal(a.entries[0].suspect.requests, 0);
	assert_memory_equal(&a.entries[0].suspect, &b.entries[0].suspect,
			    sizeof(crashed));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_crashing_part_9_hosts),
		cmocka_unit_test(test_crashing_part_84_hosts),
		cmocka_unit_test(test_crashing_part_295_hosts),
		cmocka_unit_test(test_outage),
		cmocka_unit_test(test_broken_off_beside),
		cmocka_unit_test(test_host_starts_later),
		cmocka_unit_test(test_saved_list),
		cmocka_unit_test(test_saved_list_full),
		cmocka_unit_test(test_release),
		cmocka_unit_test(test_explained_crash),
		cmocka_unit_test(test_two_parts),
		cmocka_unit_test(test_flood),
		cmocka_unit_test(test_merge_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
