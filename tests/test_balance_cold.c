/* Tests of src/balance: cold upstreams, their shares, grants and ramps. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "pistachiorack/balance.h"
#include "pistachiorack/error.h"

#include "fleet_fixture.h"

#define SEC    PR_USEC_PER_SEC
#define MS     PR_USEC_PER_MSEC
#define HOSTS  8
#define QUERY0 ((pr_balance_query_t){ .target = PR_SLICE("m0@1") })

static void open_balance(pr_balance_t *balance, const pr_fleet_t *fleet,
			 const pr_balance_options_t *base, const char *host,
			 const char *zone)
{
	pr_balance_options_t options = *base;

	options.host = host;
	options.zone = zone;
	assert_int_equal(pr_balance_init(balance, &options), 0);
	assert_int_equal(pr_balance_configure(balance, fleet, 0), 0);
}

static const pr_balance_options_t defaults = PR_BALANCE_OPTIONS_INIT;

typedef struct cold_run_t {
	bool ramp;
	/** Largest delay with which a host learns of a membership change. */
	pr_usec_t spread;
	pr_usec_t settle_time;
	pr_usec_t request_time;
	/** Hosts receive load reports. */
	bool reports;
	/** Results: most requests in flight, largest sum of the ceilings of
	 * all hosts, and time above the limit. */
	uint32_t most;
	uint32_t ceilings;
	pr_usec_t above;
	/** Time between membership changes; 0 for 7 s. */
	pr_usec_t period;
} cold_run_t;

#define COLD_LIMIT 5

/* Ends the requests that have run for request_time and sends as many new ones
 * as the balancer allows. */
static void fill_up(pr_balance_t *balance, pr_balance_choice_t *choices,
		    const cold_run_t *run, pr_rand_t *rand, pr_usec_t now)
{
	pr_balance_query_t query = QUERY0;
	bool full = false;

	for (unsigned int i = 0; i < 64; i++)
		if (choices[i].open &&
		    now - choices[i].sent >= run->request_time)
			pr_balance_finished(balance, &choices[i], now);
	for (unsigned int i = 0; i < 64 && !full; i++) {
		if (choices[i].open)
			continue;
		full = pr_balance_choose(balance, &choices[i], &query, rand,
					 now) != 0;
		if (!full)
			pr_balance_sent(balance, &choices[i], now);
	}
}

typedef struct cold_world_t {
	pr_balance_t balances[HOSTS];
	pr_balance_choice_t choices[HOSTS][64];
	/** Bit h: host h is live, in truth and in the view of each host. */
	unsigned int live;
	unsigned int views[HOSTS];
	pr_usec_t learn_at[HOSTS];
	/** Requests in flight on the upstream in the last steps of 20 ms. */
	uint32_t sums[64];
} cold_world_t;

static void learn_view(cold_world_t *world, unsigned int h, pr_usec_t now)
{
	static const char *const all[HOSTS] = { "h0", "h1", "h2", "h3",
						"h4", "h5", "h6", "h7" };
	const char *names[HOSTS];
	unsigned int count = 0;

	if (now < world->learn_at[h] || world->views[h] == world->live)
		return;
	for (unsigned int i = 0; i < HOSTS; i++)
		if (world->live & (1u << i))
			names[count++] = all[i];
	pr_balance_set_hosts(&world->balances[h], names, count, now);
	world->views[h] = world->live;
}

static void step_cold(cold_world_t *world, cold_run_t *run, pr_rand_t *rand,
		      pr_usec_t now)
{
	uint32_t sum = 0, ceilings = 0;
	pr_usec_t step = now / (20 * MS);

	if (now % (run->period ? run->period : 7 * SEC) == 0) {
		world->live ^= 1u << pr_rand_below(rand, HOSTS);
		for (unsigned int h = 0; h < HOSTS; h++)
			if (now >= world->learn_at[h])
				world->learn_at[h] =
					now + (pr_usec_t)((double)run->spread *
							  pr_rand_unit(rand));
	}
	for (unsigned int h = 0; h < HOSTS; h++) {
		pr_balance_t *balance = &world->balances[h];
		pr_balance_status_t status;

		learn_view(world, h, now);
		if (run->reports && now % (500 * MS) == 0)
			pr_balance_load_report(balance, "u0",
					       world->sums[(step - 15) % 64],
					       now - 300 * MS);
		fill_up(balance, world->choices[h], run, rand, now);
		pr_balance_status(balance, &status, balance->upstreams[0], now);
		sum += status.in_flight;
		if (status.ceiling != UINT32_MAX)
			ceilings += status.ceiling;
	}
	world->sums[step % 64] = sum;
	run->most = sum > run->most ? sum : run->most;
	run->ceilings = ceilings > run->ceilings ? ceilings : run->ceilings;
	run->above += sum > COLD_LIMIT ? 20 * MS : 0;
}

/* Hosts join and leave during the hold time of one cold upstream, while all of
 * them send as many requests to it as their balancers allow. */
static void run_cold(cold_run_t *run, uint64_t seed)
{
	pr_fleet_t *fleet = fixture_fleet(1, 1, 1, 0);
	cold_world_t *world = calloc(1, sizeof(*world));
	pr_balance_options_t options = defaults;
	pr_rand_t rand;

	pr_rand_init(&rand, seed);
	world->live = 255;
	fleet->upstreams[0].cold_slots = COLD_LIMIT;
	fleet->upstreams[0].slots = 40;
	options.ramp = run->ramp;
	options.settle_time = run->settle_time;
	options.ramp_hold = 100 * SEC;
	for (unsigned int h = 0; h < HOSTS; h++) {
		char host[8];

		snprintf(host, sizeof(host), "h%u", h);
		open_balance(&world->balances[h], fleet, &options, host, "z0");
		learn_view(world, h, 0);
		pr_balance_set_cold(&world->balances[h], "u0", SEC);
	}
	for (pr_usec_t now = SEC; now < 60 * SEC; now += 20 * MS)
		step_cold(world, run, &rand, now);
	for (unsigned int h = 0; h < HOSTS; h++)
		pr_balance_finish(&world->balances[h]);
	free(world);
	pr_rand_finish(&rand);
	fixture_free(fleet);
}

/* Guards against hosts that together overload a cold upstream while they learn
 * of membership changes at different times. The shares never add up to more
 * than cold_slots. The requests in flight can exceed it only by those that run
 * longer than the settling time. */
static void cold_shares_stay_within_limit(void **state)
{
	cold_run_t on = { true, 2 * SEC, 3 * SEC, 500 * MS, false, 0, 0, 0, 0 };
	cold_run_t slow = {
		true, 2 * SEC, 3 * SEC, 12 * SEC, false, 0, 0, 0, 0
	};
	cold_run_t reported = { true, 2 * SEC, 3 * SEC, 12 * SEC, true,
				0,    0,       0,       0 };
	cold_run_t unsettled = {
		true, 2 * SEC, 0, 500 * MS, false, 0, 0, 0, 0
	};
	cold_run_t rapid = { .ramp = true,
			     .spread = 2 * SEC,
			     .settle_time = 3 * SEC,
			     .request_time = 500 * MS,
			     .period = SEC };
	cold_run_t off = {
		false, 2 * SEC, 3 * SEC, 500 * MS, false, 0, 0, 0, 0
	};

	for (uint64_t seed = 101; seed <= 110; seed++) {
		run_cold(&on, seed);
		run_cold(&slow, seed);
		run_cold(&reported, seed);
		run_cold(&unsettled, seed);
	}
	run_cold(&off, 101);
	for (uint64_t seed = 101; seed <= 110; seed++)
		run_cold(&rapid, seed);
	print_message("most in flight on a cold upstream with %u slots: %u; "
		      "12 s requests %u (above for %.1f s of 590), with load "
		      "reports %u (%.1f s); without settling %u (%.1f s); "
		      "without ramp %u\n",
		      COLD_LIMIT, on.most, slow.most, (double)slow.above / SEC,
		      reported.most, (double)reported.above / SEC,
		      unsettled.most, (double)unsettled.above / SEC, off.most);
	print_message("with a membership change each second %u (%.1f s)\n",
		      rapid.most, (double)rapid.above / SEC);
	/* Changes are faster than their propagation: the hosts never agree on
	 * a view. */
	assert_true(rapid.most <= COLD_LIMIT + 2);
	assert_true(reported.above < slow.above / 4);
	assert_int_equal(on.ceilings, COLD_LIMIT);
	assert_int_equal(on.most, COLD_LIMIT);
	assert_int_equal(slow.ceilings, COLD_LIMIT);
	assert_true(slow.most <= 2 * COLD_LIMIT);
	assert_true(unsettled.most > COLD_LIMIT);
	assert_true(off.most > 100);
}

/* Guards against a grant that is ignored, that is used after its expiry, or
 * that lets a host send requests when the granted amount is 0. */
static void grant_replaces_share(void **state)
{
	pr_fleet_t *fleet = fixture_fleet(1, 1, 1, 0);
	const char *hosts[] = { "h0" };
	pr_balance_query_t query = QUERY0;
	pr_balance_choice_t choice;
	pr_balance_status_t status;
	pr_balance_t balance;
	pr_rand_t rand;

	pr_rand_init(&rand, 1);
	open_balance(&balance, fleet, &defaults, "h0", "z0");
	pr_balance_set_hosts(&balance, hosts, 1, 0);
	pr_balance_set_cold(&balance, "u0", 4 * SEC);
	pr_balance_set_grant(&balance, "u0", 1, 6 * SEC);
	pr_balance_status(&balance, &status, balance.upstreams[0], 5 * SEC);
	assert_int_equal(status.ceiling, 1);
	pr_balance_status(&balance, &status, balance.upstreams[0], 6 * SEC);
	assert_int_equal(status.ceiling, 2);
	pr_balance_set_grant(&balance, "u0", 0, 8 * SEC);
	pr_balance_status(&balance, &status, balance.upstreams[0], 7 * SEC);
	assert_int_equal(status.ceiling, 0);
	assert_int_equal(
		pr_balance_choose(&balance, &choice, &query, &rand, 7 * SEC),
		PR_EFULL);
	pr_rand_finish(&rand);
	pr_balance_finish(&balance);
	fixture_free(fleet);
}

/* Guards against default shares that come on top of the amounts that the owner
 * of the limit has granted to other hosts. */
static void no_share_without_grant(void **state)
{
	pr_balance_options_t options = defaults;
	pr_fleet_t *fleet = fixture_fleet(1, 1, 1, 0);
	const char *hosts[] = { "h0" };
	pr_balance_query_t query = QUERY0;
	pr_balance_choice_t choice;
	pr_balance_status_t status;
	pr_balance_t balance;
	pr_rand_t rand;

	options.use_default_share = false;
	pr_rand_init(&rand, 1);
	open_balance(&balance, fleet, &options, "h0", "z0");
	pr_balance_set_hosts(&balance, hosts, 1, 0);
	pr_balance_set_cold(&balance, "u0", 4 * SEC);
	assert_int_equal(
		pr_balance_choose(&balance, &choice, &query, &rand, 5 * SEC),
		PR_EFULL);
	pr_balance_status(&balance, &status, balance.upstreams[0], 5 * SEC);
	assert_int_equal(status.ceiling, 0);
	assert_int_equal(status.ceiling_skips, 1);
	assert_int_equal(status.ramp_start, 4 * SEC);
	pr_balance_set_grant(&balance, "u0", 1, 6 * SEC);
	pr_balance_status(&balance, &status, balance.upstreams[0], 5 * SEC);
	assert_int_equal(status.ceiling, 1);
	pr_balance_status(&balance, &status, balance.upstreams[0], 6 * SEC);
	assert_int_equal(status.ceiling, 0);
	pr_rand_finish(&rand);
	pr_balance_finish(&balance);
	fixture_free(fleet);
}

/* @return most requests in flight in a zone within 2 s of its return */
static uint32_t load_after_return(bool ramp, bool *warm_later)
{
	pr_fleet_t *fleet = fixture_fleet(2, 12, 1, 0);
	pr_balance_options_t options = defaults;
	static pr_balance_choice_t choices[2000];
	pr_balance_query_t query = QUERY0;
	const char *hosts[] = { "h0" };
	pr_balance_status_t status;
	uint32_t most = 0;
	pr_balance_t balance;
	pr_rand_t rand;

	/* Both zones are in one region: z0 takes the load of both while z1 is
	 * out of service. */
	free(fleet->zones[1].region);
	fleet->zones[1].region = strdup("r0");
	pr_rand_init(&rand, 7);
	options.ramp = ramp;
	open_balance(&balance, fleet, &options, "h0", "z0");
	pr_balance_set_hosts(&balance, hosts, 1, 0);
	pr_balance_set_zone(&balance, "z1", true, 10 * SEC);
	pr_balance_set_zone(&balance, "z1", false, 20 * SEC);
	memset(choices, 0, sizeof(choices));
	for (int i = 0; i < 100; i++) {
		pr_usec_t now = 20 * SEC + (pr_usec_t)i * 20 * MS;
		uint32_t sum = 0;

		if (!pr_balance_choose(&balance, &choices[i], &query, &rand,
				       now))
			pr_balance_sent(&balance, &choices[i], now);
		for (unsigned int u = 1; u < 12; u += 2) {
			pr_balance_status(&balance, &status,
					  balance.upstreams[u], now);
			sum += status.in_flight;
		}
		most = sum > most ? sum : most;
	}
	pr_balance_status(&balance, &status, balance.upstreams[1], 60 * SEC);
	*warm_later = !status.cold;
	pr_balance_finish(&balance);
	pr_rand_finish(&rand);
	fixture_free(fleet);
	return most;
}

/* Guards against a zone that is overloaded when it returns: its cold engines
 * cannot take the full load at once. */
static void returning_zone_is_ramped(void **state)
{
	bool warm_on, warm_off;
	uint32_t on = load_after_return(true, &warm_on);
	uint32_t off = load_after_return(false, &warm_off);

	print_message("most in flight in a zone after its return, 12 cold "
		      "slots: %u with the ramp, %u without\n",
		      on, off);
	assert_true(on <= 12 && on > 0);
	assert_true(off > 40);
	assert_true(warm_on);
}

/* Guards against cold starts that go unnoticed because no event announced them:
 * very slow first tokens begin a ramp, and failures in a ramp restart it. */
static void cold_start_is_detected(void **state)
{
	pr_fleet_t *fleet = fixture_fleet(1, 1, 1, 0);
	pr_balance_query_t query = QUERY0;
	pr_balance_choice_t choice;
	pr_balance_status_t status;
	pr_balance_t balance;
	pr_usec_t now = 0;
	pr_rand_t rand;

	pr_rand_init(&rand, 1);
	open_balance(&balance, fleet, &defaults, "h0", "z0");
	for (int i = 0; i < 60; i++) {
		pr_usec_t took = i < 50 ? 100 * MS : 5 * SEC;

		pr_balance_choose(&balance, &choice, &query, &rand, now);
		pr_balance_sent(&balance, &choice, now);
		now += took;
		pr_balance_first_token(&balance, &choice, now);
		pr_balance_finished(&balance, &choice, now);
		pr_balance_status(&balance, &status, choice.upstream, now);
		if (i == 49)
			assert_false(status.cold);
		if (status.cold)
			break;
	}
	assert_true(status.cold);
	assert_int_equal(status.ceiling, 2);
	now += 15 * SEC;
	pr_balance_status(&balance, &status, choice.upstream, now);
	assert_true(status.ceiling > 4);
	pr_balance_choose(&balance, &choice, &query, &rand, now);
	pr_balance_sent(&balance, &choice, now);
	pr_balance_failed(&balance, &choice, PR_STAGE_BODY, now);
	pr_balance_status(&balance, &status, choice.upstream, now);
	assert_int_equal(status.ceiling, 2);
	pr_balance_finish(&balance);
	pr_rand_finish(&rand);
	fixture_free(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cold_shares_stay_within_limit),
		cmocka_unit_test(grant_replaces_share),
		cmocka_unit_test(no_share_without_grant),
		cmocka_unit_test(returning_zone_is_ramped),
		cmocka_unit_test(cold_start_is_detected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
