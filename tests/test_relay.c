/*
 * Tests of src/relay: who is a relay, who reads the store, and what that costs
 * a host as the fleet grows. A fleet of hosts is played without a network: in
 * each period every host reports to its relays and every relay answers. Guards
 * against control traffic in proportion to the number of hosts, and against
 * hosts that keep following a relay that is gone or was cut off from the store.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "relay/gather.h"
#include "relay/lag.h"
#include "relay/reader.h"
#include "relay/roster.h"

#define ZONES      6
#define HOSTS      480
#define PERIOD     (200 * PR_USEC_PER_MSEC)
#define SECONDS(n) ((int)((n)*PR_USEC_PER_SEC / PERIOD))
/* The reading relay asks the store every 600 ms. */
#define PERIODS_A_CALL 3

static const char *const zone_names[ZONES] = { "a", "b", "c", "d", "e", "f" };

typedef struct member_t {
	char name[16];
	int zone;
	pr_roster_t roster;
	pr_reader_t reader;
	bool alive, has_store, is_relay;
	uint32_t sent, received;
	pr_host_t *relays[PR_RELAYS_MAX];
	size_t relays_count;
} member_t;

typedef struct fleet_t {
	member_t members[HOSTS];
	int count;
	int period;
	pr_usec_t now;
	uint32_t calls;
} fleet_t;

static int region_of(int zone)
{
	return zone % 2;
}

static void start(fleet_t *fleet, int count)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	memset(fleet, 0, sizeof(*fleet));
	fleet->count = count;
	fleet->now = 100 * PR_USEC_PER_SEC;
	for (int i = 0; i < count; i++) {
		member_t *member = &fleet->members[i];

		snprintf(member->name, sizeof(member->name), "host-%d", i);
		member->zone = i % ZONES;
		member->alive = member->has_store = true;
		member->reader.confirmed_at = fleet->now;
		assert_int_equal(pr_roster_init(&member->roster, member->name),
				 0);
	}
	for (int i = 0; i < count; i++) {
		for (int j = 0; j < count; j++) {
			const member_t *other = &fleet->members[j];

			assert_non_null(pr_roster_apply(
				&fleet->members[i].roster,
				pr_slice_of(other->name),
				pr_slice_of(zone_names[other->zone]),
				j < 3 * ZONES ? 50 : 12, &address));
		}
	}
}

static void finish(fleet_t *fleet)
{
	for (int i = 0; i < fleet->count; i++)
		pr_roster_finish(&fleet->members[i].roster);
}

static member_t *member_of(fleet_t *fleet, const pr_host_t *host)
{
	return &fleet->members[atoi(host->name + strlen("host-"))];
}

static bool is_current(const fleet_t *fleet, const member_t *member)
{
	return pr_reader_is_current(&member->reader, fleet->now);
}

/* A digest of a relay arrives. */
static void hear(fleet_t *fleet, const member_t *relay, member_t *to)
{
	pr_host_t *host = pr_roster_find(&to->roster, pr_slice_of(relay->name));

	if (!to->alive)
		return;
	to->received++;
	pr_roster_heard(host, is_current(fleet, relay),
			relay->reader.reading ? relay->reader.confirmed_at : 0,
			fleet->now);
	if (region_of(relay->zone) == region_of(to->zone))
		pr_reader_confirm(&to->reader, relay->reader.confirmed_at);
}

static void choose(fleet_t *fleet, member_t *member)
{
	member->relays_count = pr_roster_relays(
		&member->roster, zone_names[member->zone],
		is_current(fleet, member), fleet->now, member->relays);
	member->is_relay = false;
	for (size_t i = 0; i < member->relays_count; i++)
		member->is_relay |=
			pr_roster_is_self(&member->roster, member->relays[i]);
	for (size_t i = 0; i < member->roster.count; i++)
		member->is_relay |=
			pr_roster_follows(member->roster.hosts[i], fleet->now);
}

static void report(fleet_t *fleet, member_t *member)
{
	for (size_t i = 0; i < member->relays_count; i++) {
		member_t *relay = member_of(fleet, member->relays[i]);

		if (relay == member)
			continue;
		member->sent++;
		relay->received += relay->alive;
		pr_roster_reported(pr_roster_find(&relay->roster,
						  pr_slice_of(member->name)),
				   fleet->now);
	}
}

static void answer(fleet_t *fleet, member_t *relay)
{
	for (size_t i = 0; i < relay->roster.count; i++) {
		const pr_host_t *host = relay->roster.hosts[i];

		if (!pr_roster_follows(host, fleet->now))
			continue;
		relay->sent++;
		hear(fleet, relay, member_of(fleet, host));
	}
	for (int zone = 0; zone < ZONES; zone++) {
		pr_host_t *others[PR_RELAYS_MAX];
		size_t count;

		if (zone == relay->zone)
			continue;
		count = pr_roster_relays(&relay->roster, zone_names[zone], true,
					 fleet->now, others);
		for (size_t i = 0; i < count; i++) {
			relay->sent++;
			hear(fleet, relay, member_of(fleet, others[i]));
		}
	}
}

static void read_store(fleet_t *fleet, member_t *member)
{
	pr_reader_view_t view = { .is_relay = member->is_relay };
	bool later = false;

	for (size_t i = 0; i < member->roster.count; i++) {
		const pr_host_t *host = member->roster.hosts[i];
		int zone = host->zone[0] - 'a';

		later |= pr_roster_is_self(&member->roster, host);
		if (!pr_roster_answers(host, fleet->now) ||
		    region_of(zone) != region_of(member->zone))
			continue;
		view.is_fed |= host->fed && zone == member->zone;
		view.before += !later;
		if (!later && host->read_at > view.earlier_read_at)
			view.earlier_read_at = host->read_at;
	}
	if (!pr_reader_update(&member->reader, &view, fleet->now))
		return;
	if (fleet->period % PERIODS_A_CALL && is_current(fleet, member))
		return;
	fleet->calls++;
	if (member->has_store)
		pr_reader_confirm(&member->reader, fleet->now);
}

static void play(fleet_t *fleet, int periods)
{
	for (; periods; periods--) {
		fleet->now += PERIOD;
		fleet->period++;
		for (int i = 0; i < fleet->count; i++) {
			member_t *member = &fleet->members[i];

			if (!member->alive)
				continue;
			choose(fleet, member);
			read_store(fleet, member);
			report(fleet, member);
			if (member->is_relay)
				answer(fleet, member);
		}
	}
}

static int relays_of(const fleet_t *fleet, int zone)
{
	int count = 0;

	for (int i = 0; i < fleet->count; i++)
		count += fleet->members[i].alive &&
			 fleet->members[i].zone == zone &&
			 fleet->members[i].is_relay;
	return count;
}

static int readers_of(const fleet_t *fleet)
{
	int count = 0;

	for (int i = 0; i < fleet->count; i++)
		count += fleet->members[i].alive &&
			 fleet->members[i].reader.reading;
	return count;
}

/* Longest time since the store confirmed what a live host has. */
static pr_usec_t oldest(const fleet_t *fleet)
{
	pr_usec_t oldest_at = fleet->now;

	for (int i = 0; i < fleet->count; i++) {
		const member_t *member = &fleet->members[i];

		if (member->alive && member->has_store &&
		    member->reader.confirmed_at < oldest_at)
			oldest_at = member->reader.confirmed_at;
	}
	return fleet->now - oldest_at;
}

/* Two relays a zone, which have more of a core; one reader a region; a host
 * that is no relay exchanges as many messages in a fleet of 480 as in one
 * of 30. */
static void test_cost_of_a_host_does_not_grow(void **state)
{
	static const int sizes[] = { 30, 120, HOSTS };
	static fleet_t fleet;

	for (size_t s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
		uint32_t most = 0;

		start(&fleet, sizes[s]);
		play(&fleet, SECONDS(10));
		for (int zone = 0; zone < ZONES; zone++)
			assert_int_equal(relays_of(&fleet, zone),
					 PR_RELAYS_WANTED);
		assert_int_equal(readers_of(&fleet), 2);
		for (int i = 0; i < fleet.count; i++)
			fleet.members[i].sent = fleet.members[i].received = 0;
		fleet.calls = 0;
		play(&fleet, SECONDS(10));
		for (int i = 0; i < fleet.count; i++) {
			const member_t *member = &fleet.members[i];

			assert_true(!member->is_relay || i < 3 * ZONES);
			if (!member->is_relay &&
			    member->sent + member->received > most)
				most = member->sent + member->received;
		}
		/* Two reports and two digests in a period. */
		assert_int_equal(most, 4 * SECONDS(10));
		assert_true(fleet.calls <=
			    2 * (SECONDS(10) / PERIODS_A_CALL + 1));
		finish(&fleet);
	}
}

/* The first relays of all zones lose power at once. */
static void test_lost_relays_are_replaced(void **state)
{
	static fleet_t fleet;

	start(&fleet, 300);
	play(&fleet, SECONDS(5));
	for (int i = 0; i < 3 * ZONES; i++)
		fleet.members[i].alive = false;
	/* Bounds on changes are 3 s and more. */
	for (int i = 0; i < SECONDS(6); i++) {
		play(&fleet, 1);
		assert_true(oldest(&fleet) <= 3500 * PR_USEC_PER_MSEC);
	}
	for (int zone = 0; zone < ZONES; zone++)
		assert_true(relays_of(&fleet, zone) >= PR_RELAYS_WANTED);
	assert_true(readers_of(&fleet) <= 4);
	finish(&fleet);
}

/* The reading relays reach their hosts, and no longer the store. */
static void test_relay_without_the_store_is_replaced(void **state)
{
	static fleet_t fleet;

	start(&fleet, 300);
	play(&fleet, SECONDS(5));
	for (int i = 0; i < fleet.count; i++) {
		if (fleet.members[i].reader.reading)
			fleet.members[i].has_store = false;
	}
	for (int i = 0; i < SECONDS(10); i++) {
		play(&fleet, 1);
		assert_true(oldest(&fleet) <= 3 * PR_USEC_PER_SEC);
	}
	finish(&fleet);
}

/* Every host asking a store that is down would be refused calls that cost. */
static void test_outage_is_probed_by_few(void **state)
{
	static fleet_t fleet;

	start(&fleet, HOSTS);
	play(&fleet, SECONDS(5));
	for (int i = 0; i < fleet.count; i++)
		fleet.members[i].has_store = false;
	fleet.calls = 0;
	play(&fleet, SECONDS(2));
	/* A call in each period by the relays, none by the others. */
	assert_true(fleet.calls <= 2 * ZONES * SECONDS(2));
	for (int i = 0; i < fleet.count; i++)
		fleet.members[i].has_store = true;
	play(&fleet, SECONDS(10));
	assert_int_equal(readers_of(&fleet), 2);
	finish(&fleet);
}

/* A relay that returns is followed again. */
static void test_returned_relay_is_tried_again(void **state)
{
	static fleet_t fleet;

	start(&fleet, 60);
	play(&fleet, SECONDS(3));
	fleet.members[0].alive = false;
	play(&fleet, SECONDS(4));
	fleet.members[0].alive = true;
	play(&fleet, SECONDS(12));
	for (int zone = 0; zone < ZONES; zone++)
		assert_int_equal(relays_of(&fleet, zone), PR_RELAYS_WANTED);
	finish(&fleet);
}

static void add_report(pr_roster_t *roster, const char *name,
		       const pr_count_t *load, uint32_t total, pr_usec_t now)
{
	pr_host_t *host = pr_roster_find(roster, pr_slice_of(name));
	pr_host_report_t *report_of = pr_gather_report(host);

	report_of->upstreams[PR_COUNT_LOAD].counts.items[0] = *load;
	report_of->upstreams[PR_COUNT_LOAD].counts.count = 1;
	report_of->upstreams[PR_COUNT_LOAD].at = now;
	report_of->transitions[0].order_row = 7;
	report_of->transitions[0].tallies.new.total = total;
}

/* Sums of a zone, and what other zones' relays say, each counted once. */
static void test_sums(void **state)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	static const struct {
		const char *name, *zone;
	} hosts[] = {
		{ "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" }
	};
	pr_usec_t now = PR_USEC_PER_SEC;
	pr_counts_t loads = { .count = 0 };
	pr_tallies_t sum = { 0 }, own = { .new.total = 4 };
	pr_roster_t roster;

	pr_roster_init(&roster, "a1");
	for (size_t i = 0; i < 4; i++)
		pr_roster_apply(&roster, pr_slice_of(hosts[i].name),
				pr_slice_of(hosts[i].zone), 50, &address);
	add_report(&roster, "a1", &(pr_count_t){ 1, { { 2, 3 } } }, 4, now);
	add_report(&roster, "a2", &(pr_count_t){ 1, { { 5, 6 } } }, 10, now);
	/* Two relays of zone b tell of the same hosts. */
	add_report(&roster, "b1", &(pr_count_t){ 1, { { 100, 0 } } }, 100, now);
	add_report(&roster, "b2", &(pr_count_t){ 1, { { 100, 0 } } }, 90, now);
	pr_roster_heard(pr_roster_find(&roster, PR_SLICE("b1")), true, now,
			now);
	pr_roster_heard(pr_roster_find(&roster, PR_SLICE("b2")), true, now,
			now);

	pr_gather_zone_counts(&loads, &roster, "a", PR_COUNT_LOAD, now);
	pr_gather_add_counts(&loads, &roster, "b", PR_COUNT_LOAD, now);
	assert_int_equal(loads.count, 1);
	assert_int_equal(loads.items[0].in_flight, 107);
	assert_int_equal(loads.items[0].waiting, 9);
	pr_gather_zone_tallies(&sum, &roster, "a", 0, 7);
	pr_gather_add_tallies(&sum, &roster, "b", 0, 7);
	assert_int_equal(sum.new.total, 114);
	assert_int_equal(pr_gather_others(&sum, &own).new.total, 110);
	/* Counts of another order say nothing. */
	memset(&sum, 0, sizeof(sum));
	pr_gather_zone_tallies(&sum, &roster, "a", 0, 8);
	assert_int_equal(sum.new.total, 0);
	/* Reports of load get old, counts do not. */
	loads.count = 0;
	pr_gather_zone_counts(&loads, &roster, "a", PR_COUNT_LOAD,
			      now + 5 * PR_USEC_PER_SEC);
	assert_int_equal(loads.count, 0);
	pr_roster_finish(&roster);
}

/* With more upstreams than a datagram holds, the busiest are told. */
static void test_least_work_is_left_out(void **state)
{
	pr_counts_t loads = { .count = 0 };
	uint32_t least = UINT16_MAX;

	for (uint32_t i = 0; i < 2 * PR_COUNTS_MAX; i++)
		pr_counts_add(&loads,
			      &(pr_count_t){ i, { { (uint16_t)(i + 1), 0 } } });
	assert_int_equal(loads.count, PR_COUNTS_MAX);
	for (size_t i = 0; i < loads.count; i++)
		least = loads.items[i].in_flight < least
				? loads.items[i].in_flight
				: least;
	assert_int_equal(least, PR_COUNTS_MAX + 1);
}

/*
 * Two relays answer by turns, and one of them lags as well. A host that took
 * the last one's word would never notice that it lacks a row (CONFIG, small
 * twin of trouble-1 of the large site).
 */
static void test_lagging_relay_hides_nothing(void **state)
{
	pr_lag_t lag = { 0 };
	pr_usec_t longest = 0;

	for (int i = 0; i < SECONDS(1); i++) {
		pr_usec_t behind =
			pr_lag_hear(&lag, i % 2 ? 10 : 11, 10, 1 + i * PERIOD);

		longest = behind > longest ? behind : longest;
	}
	assert_true(longest >= 600 * PR_USEC_PER_MSEC);
	assert_int_equal(pr_lag_hear(&lag, 10, 11, PR_USEC_PER_SEC), 0);
	assert_int_equal(pr_lag_hear(&lag, 12, 11, 2 * PR_USEC_PER_SEC), 0);
}

/* The rate of a cold upstream falls to a few hosts of its region, whatever the
 * size of the fleet; divided among all, a host would have one request in 40 s.
 */
static void test_cold_rate_falls_to_few_hosts(void **state)
{
	static const int sizes[] = { 30, HOSTS };
	static const char *const zones[] = { "a", "c", "e" };
	static fleet_t fleet;

	for (size_t s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
		start(&fleet, sizes[s]);
		for (uint64_t subject = 1; subject <= 20; subject++) {
			uint32_t parts = 0, count = 0;

			for (int i = 0; i < fleet.count; i++)
				parts += pr_roster_has_part(
					&fleet.members[i].roster, zones, 3,
					subject, 8, &count);
			assert_int_equal(count, 8);
			assert_int_equal(parts, 8);
		}
		finish(&fleet);
	}
	/* Fewer hosts than wanted share it among themselves. */
	start(&fleet, 12);
	for (int i = 0; i < fleet.count; i++) {
		uint32_t count;
		bool part = pr_roster_has_part(&fleet.members[i].roster, zones,
					       3, 1, 8, &count);

		assert_int_equal(count, 6);
		assert_int_equal(part, fleet.members[i].zone % 2 == 0);
	}
	finish(&fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cost_of_a_host_does_not_grow),
		cmocka_unit_test(test_lost_relays_are_replaced),
		cmocka_unit_test(test_relay_without_the_store_is_replaced),
		cmocka_unit_test(test_outage_is_probed_by_few),
		cmocka_unit_test(test_returned_relay_is_tried_again),
		cmocka_unit_test(test_lagging_relay_hides_nothing),
		cmocka_unit_test(test_cold_rate_falls_to_few_hosts),
		cmocka_unit_test(test_sums),
		cmocka_unit_test(test_least_work_is_left_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
