/*
 * Tests of src/relay: selection of relays and of the hosts that read the store,
 * and the control traffic per host. A fleet is simulated without a network: in
 * each period every host reports to its relays and every relay sends digests.
 * Guards against control traffic per host that grows with the fleet, and
 * against hosts that keep using a relay that is gone or cut off from the store.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "relay/aggregate.h"
#include "relay/lag.h"
#include "relay/reader.h"
#include "relay/roster.h"
#include "revision.h"

#define ZONES      6
#define HOSTS      480
#define PERIOD     (200 * PR_USEC_PER_MSEC)
#define SECONDS(n) ((int)((n)*PR_USEC_PER_SEC / PERIOD))
/* Periods between two calls to the store: the reading relay calls it every
 * 600 ms. */
#define PERIODS_PER_CALL 3

static const char *const zone_names[ZONES] = { "a", "b", "c", "d", "e", "f" };

typedef struct sim_host_t {
	char name[16];
	int zone;
	pr_roster_t roster;
	pr_reader_t reader;
	bool alive, has_store, is_relay;
	/** Exchanges messages with hosts of its zone only. */
	bool cut_off;
	uint32_t sent, received;
	pr_host_t *relays[PR_RELAYS_MAX];
	size_t relays_count;
} sim_host_t;

typedef struct fleet_t {
	sim_host_t members[HOSTS];
	int count;
	int period;
	pr_usec_t now;
	uint32_t calls;
	/** The first zone is a region, and the other zones are one. */
	bool single_zone_region;
} fleet_t;

static int region_of(const fleet_t *fleet, int zone)
{
	return fleet->single_zone_region ? zone > 0 : zone % 2;
}

static void start_fleet(fleet_t *fleet, int count)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	/* Three hosts in a zone at least. */
	int zones = count < 3 * ZONES ? count / 3 : ZONES;

	memset(fleet, 0, sizeof(*fleet));
	fleet->count = count;
	fleet->now = 100 * PR_USEC_PER_SEC;
	for (int i = 0; i < count; i++) {
		sim_host_t *member = &fleet->members[i];

		snprintf(member->name, sizeof(member->name), "host-%d", i);
		member->zone = i % zones;
		member->alive = member->has_store = true;
		member->reader.confirmed_at = fleet->now;
		assert_int_equal(pr_roster_init(&member->roster, member->name),
				 0);
	}
	for (int i = 0; i < count; i++) {
		for (int j = 0; j < count; j++) {
			const sim_host_t *other = &fleet->members[j];

			assert_non_null(pr_roster_upsert(
				&fleet->members[i].roster,
				pr_slice_of(other->name),
				pr_slice_of(zone_names[other->zone]),
				j < 3 * ZONES ? 50 : 12, &address));
		}
	}
}

static void finish_fleet(fleet_t *fleet)
{
	for (int i = 0; i < fleet->count; i++)
		pr_roster_finish(&fleet->members[i].roster);
}

static sim_host_t *member_of(fleet_t *fleet, const pr_host_t *host)
{
	return &fleet->members[atoi(host->name + strlen("host-"))];
}

static bool is_current(const fleet_t *fleet, const sim_host_t *member)
{
	return pr_reader_is_current(&member->reader, fleet->now);
}

/* Deliver a digest of a relay to a host. */
static void deliver_digest(fleet_t *fleet, const sim_host_t *relay,
			   sim_host_t *to)
{
	pr_host_t *host = pr_roster_find(&to->roster, pr_slice_of(relay->name));

	if (!to->alive ||
	    ((relay->cut_off || to->cut_off) && relay->zone != to->zone))
		return;
	to->received++;
	pr_roster_note_digest(host, is_current(fleet, relay),
			      relay->reader.reading ? relay->reader.confirmed_at
						    : 0,
			      fleet->now);
	if (region_of(fleet, relay->zone) == region_of(fleet, to->zone))
		pr_reader_confirm(&to->reader, relay->reader.confirmed_at);
}

static void select_relays(fleet_t *fleet, sim_host_t *member)
{
	member->relays_count = pr_roster_select_relays(
		&member->roster, zone_names[member->zone],
		is_current(fleet, member), fleet->now, member->relays);
	member->is_relay = false;
	for (size_t i = 0; i < member->relays_count; i++)
		member->is_relay |=
			pr_roster_is_self(&member->roster, member->relays[i]);
	for (size_t i = 0; i < member->roster.count; i++)
		member->is_relay |= pr_roster_is_follower(
			member->roster.hosts[i], fleet->now);
}

static void send_reports(fleet_t *fleet, sim_host_t *member)
{
	for (size_t i = 0; i < member->relays_count; i++) {
		sim_host_t *relay = member_of(fleet, member->relays[i]);

		if (relay == member)
			continue;
		member->sent++;
		relay->received += relay->alive;
		pr_roster_note_report(pr_roster_find(&relay->roster,
						     pr_slice_of(member->name)),
				      fleet->now);
	}
}

static void send_digests(fleet_t *fleet, sim_host_t *relay)
{
	for (size_t i = 0; i < relay->roster.count; i++) {
		const pr_host_t *host = relay->roster.hosts[i];

		if (!pr_roster_is_follower(host, fleet->now))
			continue;
		relay->sent++;
		deliver_digest(fleet, relay, member_of(fleet, host));
	}
	for (int zone = 0; zone < ZONES; zone++) {
		pr_host_t *others[PR_RELAYS_MAX];
		size_t count;

		if (zone == relay->zone)
			continue;
		count = pr_roster_select_relays(&relay->roster,
						zone_names[zone], true,
						fleet->now, others);
		for (size_t i = 0; i < count; i++) {
			relay->sent++;
			deliver_digest(fleet, relay,
				       member_of(fleet, others[i]));
		}
	}
}

static void read_store(fleet_t *fleet, sim_host_t *member)
{
	pr_reader_view_t view = {
		.is_relay = member->is_relay,
		.jitter = (double)(member - fleet->members) / fleet->count,
	};
	bool later = false;

	for (size_t i = 0; i < member->roster.count; i++) {
		const pr_host_t *host = member->roster.hosts[i];
		int zone = host->zone[0] - 'a';

		later |= pr_roster_is_self(&member->roster, host);
		if (!pr_roster_is_responsive(host, fleet->now) ||
		    region_of(fleet, zone) != region_of(fleet, member->zone))
			continue;
		view.zone_has_current_relay |=
			host->current && zone == member->zone;
		view.preferred_relays += !later;
		if (!later && host->store_read_at > view.preferred_read_at)
			view.preferred_read_at = host->store_read_at;
	}
	if (!pr_reader_update(&member->reader, &view, fleet->now))
		return;
	if (fleet->period % PERIODS_PER_CALL && is_current(fleet, member))
		return;
	fleet->calls++;
	if (member->has_store)
		pr_reader_confirm(&member->reader, fleet->now);
}

static void run_periods(fleet_t *fleet, int periods)
{
	for (; periods; periods--) {
		fleet->now += PERIOD;
		fleet->period++;
		for (int i = 0; i < fleet->count; i++) {
			sim_host_t *member = &fleet->members[i];

			if (!member->alive)
				continue;
			select_relays(fleet, member);
			read_store(fleet, member);
			send_reports(fleet, member);
			if (member->is_relay)
				send_digests(fleet, member);
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

/* @return longest time since the store confirmed the rows of a live host */
static pr_usec_t longest_unconfirmed(const fleet_t *fleet)
{
	pr_usec_t oldest_at = fleet->now;

	for (int i = 0; i < fleet->count; i++) {
		const sim_host_t *member = &fleet->members[i];

		if (member->alive && member->has_store &&
		    member->reader.confirmed_at < oldest_at)
			oldest_at = member->reader.confirmed_at;
	}
	return fleet->now - oldest_at;
}

/* There are two relays per zone, chosen among the hosts with more CPU capacity,
 * and one reader per region. A host that is no relay exchanges as many messages
 * in a fleet of 480 as in one of 30. */
static void test_host_cost_is_independent_of_fleet_size(void **state)
{
	static const int sizes[] = { 30, 120, HOSTS };
	static fleet_t fleet;

	for (size_t s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
		uint32_t most = 0;

		start_fleet(&fleet, sizes[s]);
		run_periods(&fleet, SECONDS(10));
		for (int zone = 0; zone < ZONES; zone++)
			assert_int_equal(relays_of(&fleet, zone),
					 PR_RELAYS_WANTED);
		assert_int_equal(readers_of(&fleet), 2);
		for (int i = 0; i < fleet.count; i++)
			fleet.members[i].sent = fleet.members[i].received = 0;
		fleet.calls = 0;
		run_periods(&fleet, SECONDS(10));
		for (int i = 0; i < fleet.count; i++) {
			const sim_host_t *member = &fleet.members[i];

			assert_true(!member->is_relay || i < 3 * ZONES);
			if (!member->is_relay &&
			    member->sent + member->received > most)
				most = member->sent + member->received;
		}
		/* Two reports and two digests per period. */
		assert_int_equal(most, 4 * SECONDS(10));
		assert_true(fleet.calls <=
			    2 * (SECONDS(10) / PERIODS_PER_CALL + 1));
		finish_fleet(&fleet);
	}
}

/* All hosts with the most CPU capacity, the relays among them, fail at once. */
static void test_lost_relays_are_replaced(void **state)
{
	static fleet_t fleet;

	start_fleet(&fleet, 300);
	run_periods(&fleet, SECONDS(5));
	for (int i = 0; i < 3 * ZONES; i++)
		fleet.members[i].alive = false;
	/* Changes have to be in force within bounds of 3 s or more. */
	for (int i = 0; i < SECONDS(6); i++) {
		run_periods(&fleet, 1);
		assert_true(longest_unconfirmed(&fleet) <=
			    3500 * PR_USEC_PER_MSEC);
	}
	for (int zone = 0; zone < ZONES; zone++)
		assert_true(relays_of(&fleet, zone) >= PR_RELAYS_WANTED);
	assert_true(readers_of(&fleet) <= 4);
	finish_fleet(&fleet);
}

/* Cut off the relays of the first zone from all but their hosts, and some
 * periods later from these as well.
 *
 * @return longest time since the store confirmed the rows of a host that is
 * left
 */
static pr_usec_t cut_off_relays(fleet_t *fleet, int silent_at)
{
	pr_usec_t longest = 0;

	for (int i = 0; i < fleet->count; i++) {
		sim_host_t *member = &fleet->members[i];

		member->cut_off = member->zone == 0 && member->is_relay;
		member->has_store = !member->cut_off;
	}
	for (int period = 0; period < SECONDS(6); period++) {
		for (int i = 0; period == silent_at && i < fleet->count; i++)
			fleet->members[i].alive = !fleet->members[i].cut_off;
		run_periods(fleet, 1);
		if (longest_unconfirmed(fleet) > longest)
			longest = longest_unconfirmed(fleet);
	}
	return longest;
}

/* DRAIN in a region of one zone: its relays lost the store and became silent a
 * little later, and the host that was left waited for them for almost as long
 * as a change may take. */
static void test_hosts_of_silent_relays_read_the_store(void **state)
{
	static const int sizes[] = { 9, 84, 295, HOSTS };
	static fleet_t fleet;

	for (size_t s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
		for (int silent_at = 0; silent_at < SECONDS(2); silent_at++) {
			start_fleet(&fleet, sizes[s]);
			fleet.single_zone_region = true;
			run_periods(&fleet, SECONDS(5));
			fleet.calls = 0;
			assert_true(cut_off_relays(&fleet, silent_at) <=
				    2500 * PR_USEC_PER_MSEC);
			/* The hosts of the zone may call the store once or
			 * twice, those of other zones do not. */
			assert_true(fleet.calls <=
				    20 + 2 * (uint32_t)sizes[s] / ZONES);
			finish_fleet(&fleet);
		}
	}
}

/* The reading relays lose the store but still reach their hosts. */
static void test_relay_without_the_store_is_replaced(void **state)
{
	static fleet_t fleet;

	start_fleet(&fleet, 300);
	run_periods(&fleet, SECONDS(5));
	for (int i = 0; i < fleet.count; i++) {
		if (fleet.members[i].reader.reading)
			fleet.members[i].has_store = false;
	}
	for (int i = 0; i < SECONDS(10); i++) {
		run_periods(&fleet, 1);
		assert_true(longest_unconfirmed(&fleet) <= 3 * PR_USEC_PER_SEC);
	}
	finish_fleet(&fleet);
}

/* During an outage of the store only relays call it: calls of every host would
 * be refused and still cost. */
static void test_few_hosts_call_the_store_in_an_outage(void **state)
{
	static fleet_t fleet;

	start_fleet(&fleet, HOSTS);
	run_periods(&fleet, SECONDS(5));
	for (int i = 0; i < fleet.count; i++)
		fleet.members[i].has_store = false;
	fleet.calls = 0;
	run_periods(&fleet, SECONDS(2));
	/* At most one call per period by each relay, none by other hosts. */
	assert_true(fleet.calls <= 2 * ZONES * SECONDS(2));
	for (int i = 0; i < fleet.count; i++)
		fleet.members[i].has_store = true;
	run_periods(&fleet, SECONDS(10));
	assert_int_equal(readers_of(&fleet), 2);
	finish_fleet(&fleet);
}

/* A relay that failed and returned is used again. */
static void test_returned_relay_is_tried_again(void **state)
{
	static fleet_t fleet;

	start_fleet(&fleet, 60);
	run_periods(&fleet, SECONDS(3));
	fleet.members[0].alive = false;
	run_periods(&fleet, SECONDS(4));
	fleet.members[0].alive = true;
	run_periods(&fleet, SECONDS(12));
	for (int zone = 0; zone < ZONES; zone++)
		assert_int_equal(relays_of(&fleet, zone), PR_RELAYS_WANTED);
	finish_fleet(&fleet);
}

static void add_report(pr_roster_t *roster, const char *name,
		       const pr_upstream_count_t *load, uint32_t total,
		       pr_usec_t now)
{
	pr_host_t *host = pr_roster_find(roster, pr_slice_of(name));
	pr_host_report_t *report_of = pr_host_report_get(host);

	report_of->upstreams[PR_COUNT_LOAD].counts.items[0] = *load;
	report_of->upstreams[PR_COUNT_LOAD].counts.count = 1;
	report_of->upstreams[PR_COUNT_LOAD].at = now;
	report_of->transitions[0].order = 7;
	report_of->transitions[0].tallies.new.total = total;
	report_of->transitions[0].tallies.old.ranked = total;
	report_of->transitions[0].tallies.old.slower = total / 2;
}

/* The hosts of this zone and the totals of another zone's relays are each
 * counted once. */
static void test_aggregation_counts_each_host_once(void **state)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	static const struct {
		const char *name, *zone;
	} hosts[] = {
		{ "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" }
	};
	pr_usec_t now = PR_USEC_PER_SEC;
	pr_upstream_counts_t loads = { .count = 0 };
	pr_tallies_t sum = { 0 },
		     own = { .new.total = 4, .old.ranked = 4, .old.slower = 2 };
	pr_roster_t roster;

	pr_roster_init(&roster, "a1");
	for (size_t i = 0; i < 4; i++)
		pr_roster_upsert(&roster, pr_slice_of(hosts[i].name),
				 pr_slice_of(hosts[i].zone), 50, &address);
	add_report(&roster, "a1", &(pr_upstream_count_t){ 1, { { 2, 3 } } }, 4,
		   now);
	add_report(&roster, "a2", &(pr_upstream_count_t){ 1, { { 5, 6 } } }, 10,
		   now);
	/* Two relays of zone b report totals of the same hosts. */
	add_report(&roster, "b1", &(pr_upstream_count_t){ 1, { { 100, 0 } } },
		   100, now);
	add_report(&roster, "b2", &(pr_upstream_count_t){ 1, { { 100, 0 } } },
		   90, now);
	pr_roster_note_digest(pr_roster_find(&roster, PR_SLICE("b1")), true,
			      now, now);
	pr_roster_note_digest(pr_roster_find(&roster, PR_SLICE("b2")), true,
			      now, now);

	pr_aggregate_zone_counts(&loads, &roster, "a", PR_COUNT_LOAD, now);
	pr_aggregate_other_zone_counts(&loads, &roster, "b", PR_COUNT_LOAD,
				       now);
	assert_int_equal(loads.count, 1);
	assert_int_equal(loads.items[0].in_flight, 107);
	assert_int_equal(loads.items[0].waiting, 9);
	pr_aggregate_zone_tallies(&sum, &roster, "a", 0, 7);
	pr_aggregate_other_zone_tallies(&sum, &roster, "b", 0, 7);
	assert_int_equal(sum.new.total, 114);
	assert_int_equal(pr_aggregate_subtract(&sum, &own).new.total, 110);
	assert_int_equal(sum.old.ranked, 114);
	assert_int_equal(pr_aggregate_subtract(&sum, &own).old.ranked, 110);
	assert_int_equal(pr_aggregate_subtract(&sum, &own).old.slower, 55);
	/* Counts of another order are ignored. */
	memset(&sum, 0, sizeof(sum));
	pr_aggregate_zone_tallies(&sum, &roster, "a", 0, 8);
	assert_int_equal(sum.new.total, 0);
	/* Reports of load expire; those of transitions do not. */
	loads.count = 0;
	pr_aggregate_zone_counts(&loads, &roster, "a", PR_COUNT_LOAD,
				 now + 5 * PR_USEC_PER_SEC);
	assert_int_equal(loads.count, 0);
	pr_roster_finish(&roster);
}

/* With more upstreams than a datagram holds, the busiest ones are reported. */
static void test_least_loaded_upstreams_are_left_out(void **state)
{
	pr_upstream_counts_t loads = { .count = 0 };
	uint32_t least = UINT16_MAX;

	for (uint32_t i = 0; i < 2 * PR_UPSTREAM_COUNTS_MAX; i++)
		pr_upstream_counts_add(
			&loads, &(pr_upstream_count_t){
					i, { { (uint16_t)(i + 1), 0 } } });
	assert_int_equal(loads.count, PR_UPSTREAM_COUNTS_MAX);
	for (size_t i = 0; i < loads.count; i++)
		least = loads.items[i].in_flight < least
				? loads.items[i].in_flight
				: least;
	assert_int_equal(least, PR_UPSTREAM_COUNTS_MAX + 1);
}

/*
 * Guards against a host that misses a row without noticing (reproduces
 * trouble-1 of the large site, rule CONFIG, at small scale): two relays send
 * digests alternately, and one of them lacks the row as well. Comparing with
 * the latest digest alone would clear the lag each time.
 */
static void test_lagging_relay_does_not_hide_newer_rows(void **state)
{
	pr_lag_t lag = { 0 };
	pr_usec_t longest = 0;

	for (int i = 0; i < SECONDS(1); i++) {
		pr_usec_t behind = pr_lag_update(&lag, rev(i % 2 ? 10 : 11),
						 rev(10), 1 + i * PERIOD);

		longest = behind > longest ? behind : longest;
	}
	assert_true(longest >= 600 * PR_USEC_PER_MSEC);
	assert_int_equal(pr_lag_update(&lag, rev(10), rev(11), PR_USEC_PER_SEC),
			 0);
	assert_int_equal(
		pr_lag_update(&lag, rev(12), rev(11), 2 * PR_USEC_PER_SEC), 0);
}

/* The request rate of a cold upstream is assigned to a few hosts of its region,
 * whatever the size of the fleet. Divided among all hosts, it would allow each
 * host one request in 40 s. */
static void test_cold_rate_is_assigned_to_few_hosts(void **state)
{
	static const int sizes[] = { 30, HOSTS };
	static const char *const zones[] = { "a", "c", "e" };
	static fleet_t fleet;

	for (size_t s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
		start_fleet(&fleet, sizes[s]);
		for (uint64_t subject = 1; subject <= 20; subject++) {
			uint32_t parts = 0, count = 0;

			for (int i = 0; i < fleet.count; i++)
				parts += pr_roster_is_assigned(
					&fleet.members[i].roster, zones, 3,
					subject, 8, &count);
			assert_int_equal(count, 8);
			assert_int_equal(parts, 8);
		}
		finish_fleet(&fleet);
	}
	/* With fewer hosts than wanted, all of them are assigned. */
	start_fleet(&fleet, 12);
	for (int i = 0; i < fleet.count; i++) {
		uint32_t count;
		bool part = pr_roster_is_assigned(&fleet.members[i].roster,
						  zones, 3, 1, 8, &count);

		assert_int_equal(count, 6);
		assert_int_equal(part, fleet.members[i].zone % 2 == 0);
	}
	finish_fleet(&fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_host_cost_is_independent_of_fleet_size),
		cmocka_unit_test(test_lost_relays_are_replaced),
		cmocka_unit_test(test_hosts_of_silent_relays_read_the_store),
		cmocka_unit_test(test_relay_without_the_store_is_replaced),
		cmocka_unit_test(test_few_hosts_call_the_store_in_an_outage),
		cmocka_unit_test(test_returned_relay_is_tried_again),
		cmocka_unit_test(test_lagging_relay_does_not_hide_newer_rows),
		cmocka_unit_test(test_cold_rate_is_assigned_to_few_hosts),
		cmocka_unit_test(test_aggregation_counts_each_host_once),
		cmocka_unit_test(test_least_loaded_upstreams_are_left_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
