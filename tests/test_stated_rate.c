/* Tests of src/limits/stated_rate.c: the request rate that an upstream states
 * holds for all hosts together. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/number.h"
#include "limits/stated_rate.h"
#include "relay/message.h"
#include "relay/roster.h"

#define HOSTS_MAX 295
#define STEP      (50 * PR_USEC_PER_MSEC)
#define SECOND    PR_USEC_PER_SEC
#define RUN_S     60
/* Steps of the time in which the rule counts requests: 4 s. */
#define WINDOW (4 * SECOND / STEP)

/* A fleet that sends to one upstream as much as it may. */
typedef struct fleet_t {
	uint32_t hosts;
	pr_stated_rate_t rates[HOSTS_MAX];
	bool is_assigned[HOSTS_MAX];
	/* Until this time no report reaches the host. */
	pr_usec_t cut_until[HOSTS_MAX];
	uint32_t sent[RUN_S * SECOND / STEP];
	uint32_t wanted;
	unsigned seed;
} fleet_t;

static fleet_t fleet;

/* Each host decides by itself which hosts share the rate. */
static void assign(fleet_t *f, uint32_t host)
{
	static const char *const zones[] = { "a" };
	struct sockaddr_in address = { .sin_family = AF_INET };
	uint32_t sharing;
	pr_roster_t roster;
	char self[32], name[32];

	snprintf(self, sizeof(self), "host-%u", host);
	pr_roster_init(&roster, self);
	for (uint32_t i = 0; i < f->hosts; i++) {
		snprintf(name, sizeof(name), "host-%u", i);
		pr_roster_upsert(&roster, pr_slice_of(name), PR_SLICE("a"), 50,
				 &address);
	}
	f->is_assigned[host] = pr_roster_is_assigned(&roster, zones, 1, 77,
						     f->wanted, &sharing);
	assert_int_equal(sharing, f->wanted < f->hosts ? f->wanted : f->hosts);
	pr_roster_finish(&roster);
}

static void start(fleet_t *f, uint32_t hosts, double per_s)
{
	memset(f, 0, sizeof(*f));
	f->hosts = hosts;
	f->wanted = pr_stated_rate_hosts_wanted(per_s);
	f->seed = 5;
	for (uint32_t i = 0; i < hosts; i++)
		assign(f, i);
}

/* Requests that a host sends and the statements in their responses. */
static void send_requests(fleet_t *f, uint32_t host, double per_s,
			  pr_usec_t now)
{
	pr_stated_rate_t *rate = &f->rates[host];

	rate->is_assigned = f->is_assigned[host];
	rate->sharing = f->wanted < f->hosts ? f->wanted : f->hosts;
	rate->hosts = f->hosts;
	rate->phase = (host * 61 % f->hosts) / (double)f->hosts;
	while (pr_stated_rate_is_limited(rate) &&
	       pr_stated_rate_take(rate, now)) {
		f->sent[now / STEP]++;
		pr_stated_rate_hear(rate, per_s, now);
	}
}

/* One host in ten reports in each step, to all that are reachable. */
static void report(fleet_t *f, pr_usec_t now)
{
	int64_t now_ms = now / PR_USEC_PER_MSEC + 1000;

	for (uint32_t i = 0; i < f->hosts; i++) {
		if (f->cut_until[i] > now || rand_r(&f->seed) % 10 ||
		    !pr_stated_rate_take_due(&f->rates[i], PR_AUDIENCE_RELAYS,
					     now_ms, now))
			continue;
		for (uint32_t j = 0; j < f->hosts; j++) {
			if (f->cut_until[j] <= now)
				pr_stated_rate_merge(&f->rates[j],
						     &f->rates[i].statement,
						     false, now_ms, now);
		}
	}
}

/* Most requests in 4 s from a time on. */
static uint32_t most_in_window(const fleet_t *f, pr_usec_t from, pr_usec_t to)
{
	uint32_t most = 0;

	for (pr_usec_t at = from / STEP; at + WINDOW <= to / STEP; at++) {
		uint32_t sum = 0;

		for (pr_usec_t i = at; i < at + WINDOW; i++)
			sum += f->sent[i];
		most = sum > most ? sum : most;
	}
	return most;
}

static uint32_t allowed(double per_s)
{
	return (uint32_t)(1.5 * 4 * per_s + 5);
}

static const uint32_t fleets[] = { 9, 84, 295 };
static const double limits[] = { 0.4, 1, 2.2, 5.5, 40 };

#define FLEETS (sizeof(fleets) / sizeof(fleets[0]))
#define LIMITS (sizeof(limits) / sizeof(limits[0]))

/* Guards against hosts that each send the whole rate, or a share below one
 * request (rule LIMIT): all of them were told, and have requests waiting. */
static void test_rate_holds_for_all_hosts_together(void **state)
{
	for (size_t i = 0; i < FLEETS * LIMITS; i++) {
		double per_s = limits[i % LIMITS];
		uint32_t total = 0;

		start(&fleet, fleets[i / LIMITS], per_s);
		for (uint32_t j = 0; j < fleet.hosts; j++)
			pr_stated_rate_hear(&fleet.rates[j], per_s, 0);
		for (pr_usec_t now = 0; now < RUN_S * SECOND; now += STEP) {
			for (uint32_t j = 0; j < fleet.hosts; j++)
				send_requests(&fleet, j, per_s, now);
			report(&fleet, now);
			total += fleet.sent[now / STEP];
		}
		assert_true(most_in_window(&fleet, 0, RUN_S * SECOND) <=
			    allowed(per_s));
		/* The rate is used. */
		assert_true(total >= 0.8 * per_s * RUN_S);
	}
}

/* Guards against a rate that is exceeded when hosts do not reach each other, or
 * have been restarted and hear of the rate late. */
static void test_rate_holds_without_reports(void **state)
{
	for (size_t i = 0; i < FLEETS * LIMITS; i++) {
		double per_s = limits[i % LIMITS];

		start(&fleet, fleets[i / LIMITS], per_s);
		for (uint32_t j = 0; j < fleet.hosts; j++) {
			fleet.cut_until[j] = (j % 2 ? 30 : RUN_S) * SECOND;
			pr_stated_rate_hear(&fleet.rates[j], per_s, 0);
		}
		for (pr_usec_t now = 0; now < RUN_S * SECOND; now += STEP) {
			/* Restarted hosts hear of it by their first response.
			 */
			if (now == 10 * SECOND) {
				for (uint32_t j = 0; j < fleet.hosts; j += 3) {
					memset(&fleet.rates[j], 0,
					       sizeof(fleet.rates[j]));
					pr_stated_rate_hear(&fleet.rates[j],
							    per_s, now);
				}
			}
			for (uint32_t j = 0; j < fleet.hosts; j++)
				send_requests(&fleet, j, per_s, now);
			report(&fleet, now);
		}
		assert_true(most_in_window(&fleet, 0, RUN_S * SECOND) <=
			    allowed(per_s));
	}
}

/* Guards against hosts that go on at a rate that the upstream no longer
 * states. */
static void test_changed_rate_is_known_to_all(void **state)
{
	for (size_t i = 0; i < FLEETS; i++) {
		start(&fleet, fleets[i], 6);
		for (uint32_t j = 0; j < fleet.hosts; j++)
			pr_stated_rate_hear(&fleet.rates[j], 6, 0);
		for (pr_usec_t now = 0; now < 40 * SECOND; now += STEP) {
			double per_s = now < 20 * SECOND ? 6 : 1.5;

			fleet.wanted = pr_stated_rate_hosts_wanted(
				now < 21 * SECOND ? 6 : 1.5);
			if (now == 21 * SECOND) {
				for (uint32_t j = 0; j < fleet.hosts; j++)
					assign(&fleet, j);
			}
			for (uint32_t j = 0; j < fleet.hosts; j++)
				send_requests(&fleet, j, per_s, now);
			report(&fleet, now);
		}
		for (uint32_t j = 0; j < fleet.hosts; j++)
			assert_true(fleet.rates[j].statement.per_s == 1.5);
		assert_true(most_in_window(&fleet, 22 * SECOND, 40 * SECOND) <=
			    allowed(1.5));
	}
}

/* Guards against upstreams that stay nearly unused after the end of a limit,
 * because most hosts send them nothing and so do not hear of it. */
static void test_end_of_the_limit_is_known_to_all(void **state)
{
	for (size_t i = 0; i < FLEETS; i++) {
		uint32_t limited = 0;

		start(&fleet, fleets[i], 2);
		for (uint32_t j = 0; j < fleet.hosts; j++)
			pr_stated_rate_hear(&fleet.rates[j], 2, 0);
		for (pr_usec_t now = 0; now < 25 * SECOND; now += STEP) {
			for (uint32_t j = 0; j < fleet.hosts; j++)
				send_requests(&fleet, j,
					      now < 20 * SECOND ? 2 : 0, now);
			report(&fleet, now);
		}
		for (uint32_t j = 0; j < fleet.hosts; j++)
			limited += pr_stated_rate_is_limited(&fleet.rates[j]);
		assert_int_equal(limited, 0);
	}
}

/* Without any report, a host tests after a while whether the limit has ended.
 */
static void test_lost_end_of_the_limit_is_found(void **state)
{
	uint32_t limited = 0;

	start(&fleet, 9, 2);
	for (uint32_t j = 0; j < fleet.hosts; j++) {
		pr_stated_rate_hear(&fleet.rates[j], 2, 0);
		fleet.cut_until[j] = RUN_S * SECOND;
	}
	for (pr_usec_t now = 0; now < RUN_S * SECOND; now += STEP) {
		for (uint32_t j = 0; j < fleet.hosts; j++)
			send_requests(&fleet, j, 0, now);
	}
	for (uint32_t j = 0; j < fleet.hosts; j++)
		limited += pr_stated_rate_is_limited(&fleet.rates[j]);
	assert_int_equal(limited, 0);
}

/* Guards against statements that circulate between relays. */
static void test_statement_is_forwarded_once(void **state)
{
	pr_stated_rate_t relays[2] = { 0 };
	pr_rate_statement_t statement = { 2, 5000 };

	assert_true(pr_stated_rate_merge(&relays[0], &statement, true, 5010,
					 SECOND));
	assert_true(pr_stated_rate_take_due(&relays[0], PR_AUDIENCE_RELAYS,
					    5020, SECOND));
	assert_true(pr_stated_rate_merge(&relays[1], &relays[0].statement, true,
					 5040, SECOND));
	assert_true(pr_stated_rate_take_due(&relays[1], PR_AUDIENCE_RELAYS,
					    5050, SECOND));
	pr_stated_rate_merge(&relays[0], &relays[1].statement, true, 5060,
			     SECOND);
	assert_false(pr_stated_rate_take_due(&relays[0], PR_AUDIENCE_RELAYS,
					     5070, SECOND));
	/* An older statement does not replace a newer one. */
	statement = (pr_rate_statement_t){ 9, 4000 };
	assert_false(pr_stated_rate_merge(&relays[0], &statement, true, 5080,
					  SECOND));
	assert_true(relays[0].statement.per_s == 2);
	/* Nor does one of a wrong clock. */
	statement = (pr_rate_statement_t){ 9, 99000 };
	assert_false(pr_stated_rate_merge(&relays[0], &statement, true, 5080,
					  SECOND));
	/* Unchanged limits are refreshed now and then. */
	statement = (pr_rate_statement_t){ 2, 7500 };
	assert_false(pr_stated_rate_merge(&relays[0], &statement, true, 7510,
					  3 * SECOND));
	assert_true(pr_stated_rate_take_due(&relays[0], PR_AUDIENCE_RELAYS,
					    7520, 3 * SECOND));
}

static void test_rates_in_a_datagram(void **state)
{
	pr_upstream_rate_t sent[PR_RATES_IN_DATAGRAM], read[80];
	pr_str_t bytes = PR_STR_INIT;
	pr_msgmap_t map;

	for (uint32_t i = 0; i < PR_RATES_IN_DATAGRAM; i++)
		sent[i] = (pr_upstream_rate_t){ i + 1, { i * 0.25, 1000 + i } };
	assert_int_equal(pr_message_pack_rates(&bytes, "host", sent,
					       PR_RATES_IN_DATAGRAM),
			 0);
	assert_true(bytes.len <= PR_DATAGRAM_MAX);
	assert_int_equal(pr_msgmap_init(&map, pr_str_slice(&bytes)), 0);
	assert_int_equal(pr_message_read_rates(&map, read, 80),
			 PR_RATES_IN_DATAGRAM);
	for (uint32_t i = 0; i < PR_RATES_IN_DATAGRAM; i++) {
		assert_int_equal(read[i].tag, i + 1);
		assert_true(read[i].statement.per_s == i * 0.25);
		assert_int_equal(read[i].statement.stated_ms, 1000 + i);
	}
	pr_msgmap_finish(&map);
	pr_str_finish(&bytes);
}

/* Guards against a division by a rate of nearly 0. */
static void test_lowest_rate(void **state)
{
	pr_stated_rate_t rate = { .is_assigned = true, .sharing = 8 };

	pr_stated_rate_hear(&rate, PR_STATED_RATE_MIN, SECOND);
	assert_true(pr_stated_rate_take(&rate, SECOND));
	assert_true(pr_stated_rate_take(&rate, SECOND));
	assert_false(pr_stated_rate_take(&rate, SECOND));
	assert_true(pr_stated_rate_next(&rate, SECOND) <= 3600 * SECOND);
}

static void test_decimal_numbers(void **state)
{
	static const char *const bad[] = { "",      ".",   "-1", "1e3",
					   "1.2.3", "nan", " 2" };
	double value = 7;

	assert_true(pr_slice_decimal(PR_SLICE("3.25"), &value));
	assert_true(value == 3.25);
	assert_true(pr_slice_decimal(PR_SLICE("12"), &value));
	assert_true(value == 12);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_false(pr_slice_decimal(pr_slice_of(bad[i]), &value));
	assert_true(value == 12);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rate_holds_for_all_hosts_together),
		cmocka_unit_test(test_rate_holds_without_reports),
		cmocka_unit_test(test_changed_rate_is_known_to_all),
		cmocka_unit_test(test_end_of_the_limit_is_known_to_all),
		cmocka_unit_test(test_lost_end_of_the_limit_is_found),
		cmocka_unit_test(test_statement_is_forwarded_once),
		cmocka_unit_test(test_rates_in_a_datagram),
		cmocka_unit_test(test_lowest_rate),
		cmocka_unit_test(test_decimal_numbers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
