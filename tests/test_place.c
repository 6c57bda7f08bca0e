/* Tests of src/place: choice of an upstream under various loads and faults. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "place/place.h"
#include "revision.h"

#define UPSTREAMS 6
#define NOW       (100 * PR_USEC_PER_SEC)

typedef struct fixture_t {
	pr_registry_t registry;
	pr_zone_t zones[2];
	pr_zone_map_t map;
	pr_upstream_t *upstreams[UPSTREAMS];
	pr_place_query_t query;
} fixture_t;

/* Three upstreams in this host's zone, three in another region. */
static void set_up(fixture_t *f)
{
	memset(f, 0, sizeof(*f));
	pr_registry_init(&f->registry);
	f->zones[0] = (pr_zone_t){ "near", "home", false };
	f->zones[1] = (pr_zone_t){ "far", "abroad", false };
	f->map = (pr_zone_map_t){ f->zones, 2, "near", "home" };
	for (int i = 0; i < UPSTREAMS; i++) {
		pr_upstream_entry_t entry = { .slots = 64 };

		snprintf(entry.id, sizeof(entry.id), "u%d", i);
		snprintf(entry.service, sizeof(entry.service), "model");
		snprintf(entry.zone, sizeof(entry.zone), "%s",
			 i < 3 ? "near" : "far");
		snprintf(entry.version, sizeof(entry.version), "v1");
		f->upstreams[i] = pr_registry_apply(
			&f->registry, &entry, rev((uint64_t)i + 1), 0, NOW);
	}
	f->query = (pr_place_query_t){ .service = "model",
				       .connections_max = 40,
				       .hosts = 8,
				       .now = NOW };
}

static pr_upstream_t *choose(fixture_t *f, pr_place_verdict_t wanted)
{
	pr_upstream_t *chosen;

	assert_int_equal(pr_place_choose(&f->registry, &f->map, &f->query,
					 &chosen, NULL),
			 wanted);
	return chosen;
}

static void test_same_prefix_goes_to_one_upstream(void **state)
{
	fixture_t f;
	pr_upstream_t *first;

	set_up(&f);
	f.query.prefix_hash = 77;
	f.query.prefix_prefill_ms = 300;
	first = choose(&f, PR_PLACE_FOUND);
	for (int i = 0; i < 20; i++)
		assert_ptr_equal(choose(&f, PR_PLACE_FOUND), first);
	pr_registry_finish(&f.registry);
}

/* Guards against a hot prefix (event kind hot_key) that overloads the upstream
 * that caches it, although another one could prefill the prefix sooner. */
static void test_hot_prefix_spills_to_neighbours(void **state)
{
	fixture_t f;
	pr_upstream_t *holder;

	set_up(&f);
	f.query.prefix_hash = 77;
	f.query.prefix_prefill_ms = 300;
	holder = choose(&f, PR_PLACE_FOUND);
	holder->in_flight = 40;
	holder->pending_prefill_ms = 900;
	assert_ptr_not_equal(choose(&f, PR_PLACE_FOUND), holder);
	assert_string_equal(choose(&f, PR_PLACE_FOUND)->entry.zone, "near");
	pr_registry_finish(&f.registry);
}

/* Guards against long prompts that follow each other on the upstream that
 * caches their prefix (the pattern: several long drafts at the same time):
 * their prefills together pause all of its streams, while another upstream has
 * fewer streams to pause. */
static void test_long_prefill_avoids_running_streams(void **state)
{
	fixture_t f;
	pr_upstream_t *holder;

	set_up(&f);
	f.query.prefix_hash = 77;
	f.query.prefix_prefill_ms = 250;
	f.query.gap_ms = 1200;
	f.query.pause_weight = 1;
	f.query.prefill_ms = 500;
	holder = choose(&f, PR_PLACE_FOUND);
	holder->in_flight = 8;
	assert_ptr_equal(choose(&f, PR_PLACE_FOUND), holder);
	/* A prompt that would pause the streams for most of the gap. */
	f.query.prefill_ms = 1000;
	assert_ptr_not_equal(choose(&f, PR_PLACE_FOUND), holder);
	/* Without streams there is nothing to pause. */
	holder->in_flight = 0;
	assert_ptr_equal(choose(&f, PR_PLACE_FOUND), holder);
	/* A short prompt goes to its prefix, whatever runs there. */
	holder->in_flight = 8;
	f.query.prefill_ms = 50;
	assert_ptr_equal(choose(&f, PR_PLACE_FOUND), holder);
	pr_registry_finish(&f.registry);
}

/* All zones of a region use the same cached copy of a prefix, since the
 * distance between them is short. */
static void test_prefix_is_cached_once_in_a_region(void **state)
{
	fixture_t f;
	pr_upstream_t *from_near;

	set_up(&f);
	snprintf(f.zones[1].region, sizeof(f.zones[1].region), "home");
	f.query.prefix_prefill_ms = 300;
	for (uint64_t hash = 1; hash < 30; hash++) {
		f.query.prefix_hash = hash;
		f.map.zone = "near";
		from_near = choose(&f, PR_PLACE_FOUND);
		f.map.zone = "far";
		assert_ptr_equal(choose(&f, PR_PLACE_FOUND), from_near);
	}
	pr_registry_finish(&f.registry);
}

/* Other hosts of the zone send to the same upstreams, so their load counts. */
static void test_load_of_peers_counts(void **state)
{
	fixture_t f;

	set_up(&f);
	f.upstreams[0]->peers_in_flight = 60;
	f.upstreams[1]->peers_in_flight = 60;
	assert_ptr_equal(choose(&f, PR_PLACE_FOUND), f.upstreams[2]);
	pr_registry_finish(&f.registry);
}

/* Requests of a region without available upstreams go to the other region,
 * unless the workspace forbids that. */
static void test_region_is_left_only_when_needed_and_allowed(void **state)
{
	char *home[] = { "home" };
	pr_names_t allowed = { home, 1 };
	fixture_t f;

	set_up(&f);
	for (int i = 0; i < 3; i++)
		f.upstreams[i]->entry.draining = true;
	assert_string_equal(choose(&f, PR_PLACE_FOUND)->entry.zone, "far");
	f.query.workspace_regions = &allowed;
	choose(&f, PR_PLACE_NONE);
	pr_registry_finish(&f.registry);
}

static void test_evacuated_zone_gets_no_requests(void **state)
{
	fixture_t f;

	set_up(&f);
	f.zones[0].evacuated = true;
	assert_string_equal(choose(&f, PR_PLACE_FOUND)->entry.zone, "far");
	f.zones[1].evacuated = true;
	choose(&f, PR_PLACE_NONE);
	pr_registry_finish(&f.registry);
}

static void test_verdict_states_why_none_is_available(void **state)
{
	fixture_t f;

	set_up(&f);
	for (int i = 0; i < UPSTREAMS; i++) {
		f.upstreams[i]->cold_until = NOW + PR_USEC_PER_SEC;
		f.upstreams[i]->cold_next_at = NOW + PR_USEC_PER_SEC;
	}
	choose(&f, PR_PLACE_COLD);
	for (int i = 0; i < UPSTREAMS; i++) {
		f.upstreams[i]->cold_until = 0;
		f.upstreams[i]->in_flight = 1000;
	}
	choose(&f, PR_PLACE_BUSY);
	f.query.service = "other";
	choose(&f, PR_PLACE_NONE);
	pr_registry_finish(&f.registry);
}

static void test_connections_are_bounded(void **state)
{
	fixture_t f;

	set_up(&f);
	f.query.connections_max = 2;
	for (int i = 0; i < UPSTREAMS; i++)
		f.upstreams[i]->connections = 2;
	choose(&f, PR_PLACE_BUSY);
	pr_registry_finish(&f.registry);
}

/* The version of the session is used, and the old version when the new one has
 * no capacity. */
static void test_version_of_the_session_is_preferred(void **state)
{
	pr_rollout_order_t order = { "model", "v2", 24000 };
	pr_transition_row_t row = { 1, PR_ROLLOUT_RUNNING, 1000, "", 0, 0 };
	static pr_transition_t transition;
	fixture_t f;

	set_up(&f);
	pr_transition_init(&transition, &order, rev(1));
	pr_transition_apply(&transition, &row, rev(2));
	snprintf(f.upstreams[1]->entry.version,
		 sizeof(f.upstreams[1]->entry.version), "v2");
	f.query.transition = &transition;
	f.query.version = PR_VERSION_NEW;
	assert_ptr_equal(choose(&f, PR_PLACE_FOUND), f.upstreams[1]);
	f.query.version = PR_VERSION_OLD;
	assert_ptr_not_equal(choose(&f, PR_PLACE_FOUND), f.upstreams[1]);
	f.query.version = PR_VERSION_NEW;
	f.upstreams[1]->entry.draining = true;
	assert_non_null(choose(&f, PR_PLACE_FOUND));
	pr_registry_finish(&f.registry);
}

/* Guards against streams that are reset at the end of a roll-out (LOST): the
 * old upstreams stop at once, and a stream of theirs has to go on at a new one.
 */
static void test_new_version_takes_over_when_done(void **state)
{
	pr_rollout_order_t order = { "model", "v2", 20000 };
	pr_transition_row_t row = { 1, PR_ROLLOUT_RUNNING, 1000, "", 0, 0 };
	static pr_transition_t transition;
	fixture_t f;

	set_up(&f);
	pr_transition_init(&transition, &order, rev(1));
	pr_transition_apply(&transition, &row, rev(2));
	snprintf(f.upstreams[1]->entry.version,
		 sizeof(f.upstreams[1]->entry.version), "v2");
	f.query.transition = &transition;
	f.query.version = PR_VERSION_OLD;
	assert_ptr_not_equal(choose(&f, PR_PLACE_FOUND), f.upstreams[1]);
	row.state = PR_ROLLOUT_DONE;
	pr_transition_apply(&transition, &row, rev(3));
	assert_ptr_equal(choose(&f, PR_PLACE_FOUND), f.upstreams[1]);
	pr_registry_finish(&f.registry);
}

static pr_transition_t *start_load_test(fixture_t *f, int new_upstreams)
{
	pr_rollout_order_t order = { "model", "v2", 24000 };
	pr_transition_row_t row = { 1, PR_ROLLOUT_RUNNING, 1000, "", 0, 0 };
	static pr_transition_t transition;

	pr_transition_init(&transition, &order, rev(1));
	pr_transition_apply(&transition, &row, rev(2));
	for (int i = 0; i < new_upstreams; i++)
		snprintf(f->upstreams[i]->entry.version,
			 sizeof(f->upstreams[i]->entry.version), "v2");
	f->query.transition = &transition;
	f->query.version = PR_VERSION_NEW;
	f->query.load_test = true;
	return &transition;
}

/* Guards against a version that is bad under load only (event kind rollout_bad
 * under_load) and is accepted, because its share of the traffic, spread over
 * all of its upstreams, loads none of them. */
static void test_load_test_fills_one_upstream_after_the_other(void **state)
{
	pr_upstream_t *first, *second;
	fixture_t f;

	set_up(&f);
	start_load_test(&f, 4);
	first = choose(&f, PR_PLACE_FOUND);
	/* The shares of all hosts together load it highly, and not far beyond
	 * its slots. */
	while (choose(&f, PR_PLACE_FOUND) == first)
		first->in_flight++;
	assert_true(first->in_flight * f.query.hosts > 64 / 2);
	assert_true(first->in_flight * f.query.hosts <= 64 + f.query.hosts);
	second = choose(&f, PR_PLACE_FOUND);
	assert_string_equal(second->entry.version, "v2");
	/* Other hosts, also in other zones, choose the same upstream. */
	first->in_flight = 0;
	f.map.zone = "far";
	f.map.region = "abroad";
	assert_ptr_equal(choose(&f, PR_PLACE_FOUND), first);
	f.query.version = PR_VERSION_OLD;
	assert_string_equal(choose(&f, PR_PLACE_FOUND)->entry.version, "v1");
	pr_registry_finish(&f.registry);
}

/* Guards against a load test that proceeds to ever more upstreams and so
 * exceeds the number of requests that a bad version may get (rule EXPOSURE). */
static void test_load_test_uses_at_most_two_upstreams(void **state)
{
	uint32_t tested = 0;
	fixture_t f;

	set_up(&f);
	start_load_test(&f, 6);
	while (pr_place_has_load_test_room(&f.registry, &f.map, &f.query)) {
		choose(&f, PR_PLACE_FOUND)->in_flight++;
		tested++;
	}
	assert_true(tested * f.query.hosts <= 2 * (64 + f.query.hosts));
	pr_registry_finish(&f.registry);
}

/* With more hosts than slots, as on large sites, one request of each host would
 * overload the upstream under test. */
static void test_load_test_of_many_hosts(void **state)
{
	const uint32_t hosts = 390;
	uint32_t part = 0;
	fixture_t f;

	set_up(&f);
	start_load_test(&f, 1);
	f.query.hosts = hosts;
	for (uint64_t host = 1; host <= hosts; host++) {
		f.query.host_hash = host * UINT64_C(0x9e3779b97f4a7c15);
		part += pr_place_has_load_test_room(&f.registry, &f.map,
						    &f.query);
	}
	assert_true(part > 64 / 2 && part < 64 * 2);
	pr_registry_finish(&f.registry);
}

/* Guards against a load test of an upstream whose stated rate keeps it from a
 * high load. */
static void test_load_test_avoids_limited_upstreams(void **state)
{
	pr_upstream_t *first;
	fixture_t f;

	set_up(&f);
	start_load_test(&f, 4);
	first = choose(&f, PR_PLACE_FOUND);
	pr_stated_rate_hear(&first->rate, 2, f.query.now);
	first->rate.is_assigned = true;
	first->rate.sharing = 1;
	assert_true(pr_place_has_load_test_room(&f.registry, &f.map, &f.query));
	assert_ptr_not_equal(choose(&f, PR_PLACE_FOUND), first);
	for (int i = 0; i < 4; i++)
		pr_stated_rate_hear(&f.upstreams[i]->rate, 2, f.query.now);
	assert_false(
		pr_place_has_load_test_room(&f.registry, &f.map, &f.query));
	pr_registry_finish(&f.registry);
}

/* Guards against requests beyond the rate that an upstream states (rule LIMIT):
 * they go elsewhere, or are refused with the time of the next one. */
static void test_stated_rate_limits_the_choice(void **state)
{
	pr_place_return_t next;
	fixture_t f;

	set_up(&f);
	for (int i = 0; i < 6; i++) {
		pr_stated_rate_t *rate = &f.upstreams[i]->rate;

		pr_stated_rate_hear(rate, 2, f.query.now);
		rate->is_assigned = i < 2;
		rate->sharing = 2;
	}
	for (int i = 0; i < 4; i++) {
		pr_upstream_t *upstream = choose(&f, PR_PLACE_FOUND);

		assert_true(upstream->rate.is_assigned);
		assert_true(pr_stated_rate_take(&upstream->rate, f.query.now));
	}
	assert_null(choose(&f, PR_PLACE_BUSY));
	next = pr_place_next_return(&f.registry, &f.map, &f.query);
	assert_true(next.any > f.query.now &&
		    next.any <= f.query.now + PR_USEC_PER_SEC);
	f.query.now = next.any;
	assert_non_null(choose(&f, PR_PLACE_FOUND));
	/* Without a stated rate, all are used. */
	pr_stated_rate_hear(&f.upstreams[3]->rate, 0, f.query.now);
	f.upstreams[0]->ejected_until = f.upstreams[1]->ejected_until =
		f.query.now + 1;
	assert_ptr_equal(choose(&f, PR_PLACE_FOUND), f.upstreams[3]);
	pr_registry_finish(&f.registry);
}

/* Guards against a load test that makes an upstream read prompts for seconds:
 * its requests wait, and few of them run. */
static void test_load_test_waits_for_prefills(void **state)
{
	static const uint32_t fleets[] = { 9, 84, 295 };

	for (size_t i = 0; i < sizeof(fleets) / sizeof(fleets[0]); i++) {
		uint32_t taken = 0;
		fixture_t f;

		set_up(&f);
		start_load_test(&f, 1);
		f.query.hosts = fleets[i];
		f.query.prefill_ms = 400;
		for (uint64_t host = 1; host <= fleets[i]; host++) {
			f.query.sample_seed = host;
			f.query.host_hash = host * UINT64_C(0x9e3779b97f4a7c15);
			taken += pr_place_has_load_test_room(&f.registry,
							     &f.map, &f.query);
		}
		assert_true(taken >= 1 && taken <= 8);
		f.query.prefill_ms = 1;
		f.query.sample_seed = 1;
		f.upstreams[0]->peers_prefill_ms = 1000;
		assert_false(pr_place_has_load_test_room(&f.registry, &f.map,
							 &f.query));
		pr_registry_finish(&f.registry);
	}
}

/*
 * Guards against an upstream that attracts requests because it fails each one
 * at once and so has fewer in flight than the others. 20 requests per second go
 * to six upstreams that need 0.5 s for each.
 */
static void test_failing_upstream_does_not_attract_requests(void **state)
{
	fixture_t f;
	int to_failing = 0;

	set_up(&f);
	f.upstreams[0]->peers_in_flight = 0;
	for (int i = 1; i < UPSTREAMS; i++)
		f.upstreams[i]->in_flight = 10;
	for (int i = 0; i < 100; i++) {
		pr_upstream_t *chosen = choose(&f, PR_PLACE_FOUND);

		pr_outcomes_add(&chosen->outcomes, chosen == f.upstreams[0],
				f.query.now);
		to_failing += chosen == f.upstreams[0];
		f.query.now += 50 * PR_USEC_PER_MSEC;
	}
	assert_true(to_failing <= 5);
	/* It recovers and is used again. */
	f.query.now += 40 * PR_USEC_PER_SEC;
	assert_ptr_equal(choose(&f, PR_PLACE_FOUND), f.upstreams[0]);
	pr_registry_finish(&f.registry);
}

/* A failure rate that healthy upstreams have as well does not move requests to
 * other upstreams. */
static void test_normal_failure_rate_costs_nothing(void **state)
{
	fixture_t f;

	set_up(&f);
	f.upstreams[1]->in_flight = f.upstreams[2]->in_flight = 1;
	for (int i = 0; i < 100; i++)
		pr_outcomes_add(&f.upstreams[0]->outcomes, i % 10 == 0,
				f.query.now);
	assert_ptr_equal(choose(&f, PR_PLACE_FOUND), f.upstreams[0]);
	pr_registry_finish(&f.registry);
}

/* Failures that other hosts report count as well, since each host sees only a
 * small part of the answers. */
static void test_failures_of_other_hosts_count(void **state)
{
	fixture_t f;

	set_up(&f);
	f.upstreams[1]->in_flight = f.upstreams[2]->in_flight = 5;
	f.upstreams[0]->peers_outcomes =
		(pr_outcomes_t){ .answered = 30, .failed = 28, .at = NOW };
	assert_ptr_not_equal(choose(&f, PR_PLACE_FOUND), f.upstreams[0]);
	pr_registry_finish(&f.registry);
}

#define SIMULATED_UPSTREAMS 60
/* Step of the simulation. */
#define STEP_MS 5
/* Time between two load reports, including their way over a relay. */
#define REPORT_MS 300
/* Time that an upstream needs for a request. */
#define WORK_MS 200.0
/* Objective for the wait of a request. */
#define TARGET_MS 2000.0
/* Length of the simulation. */
#define SIMULATED_MS 20000
/* Requests in each step. */
#define PER_STEP 1

/* @return share of the requests that wait longer than the objective */
static double simulate_late_share(bool use_sample)
{
	pr_registry_t registry;
	pr_zone_t zones[1] = { { "near", "home", false } };
	pr_zone_map_t map = { zones, 1, "near", "home" };
	pr_upstream_t *upstreams[SIMULATED_UPSTREAMS];
	double backlog[SIMULATED_UPSTREAMS] = { 0 };
	uint64_t seed = 1;
	int requests = 0, late = 0;

	pr_registry_init(&registry);
	for (int i = 0; i < SIMULATED_UPSTREAMS; i++) {
		pr_upstream_entry_t entry = { .slots = 24 };

		snprintf(entry.id, sizeof(entry.id), "u%d", i);
		snprintf(entry.service, sizeof(entry.service), "model");
		snprintf(entry.zone, sizeof(entry.zone), "near");
		snprintf(entry.version, sizeof(entry.version), "v1");
		upstreams[i] = pr_registry_apply(&registry, &entry,
						 rev((uint64_t)i + 1), 0, NOW);
	}
	for (int ms = 0; ms < SIMULATED_MS; ms += STEP_MS) {
		for (int i = 0; i < SIMULATED_UPSTREAMS; i++) {
			if (ms % REPORT_MS == 0)
				upstreams[i]->peers_prefill_ms = backlog[i];
			backlog[i] = fmax(backlog[i] - STEP_MS, 0);
		}
		for (int n = 0; n < PER_STEP; n++) {
			pr_place_query_t query = {
				.service = "model",
				.connections_max = 40,
				.hosts = 300,
				.sample_seed = use_sample ? seed : 0,
				.now = NOW + (pr_usec_t)ms * PR_USEC_PER_MSEC,
			};
			pr_upstream_t *chosen;

			seed = seed * 6364136223846793005u +
			       1442695040888963407u;
			assert_int_equal(pr_place_choose(&registry, &map,
							 &query, &chosen, NULL),
					 PR_PLACE_FOUND);
			for (int i = 0; i < SIMULATED_UPSTREAMS; i++) {
				if (upstreams[i] != chosen)
					continue;
				late += backlog[i] > TARGET_MS;
				backlog[i] += WORK_MS;
			}
			requests++;
		}
	}
	pr_registry_finish(&registry);
	return (double)late / requests;
}

/*
 * Guards against hosts that all choose the same upstream, because each takes
 * the least loaded one by the same load reports. 300 hosts with reports that
 * are up to 300 ms old send 200 requests per second to 60 upstreams, which need
 * 200 ms for each: two thirds of their capacity.
 */
static void test_hosts_with_same_reports_spread_requests(void **state)
{
	/* One in a hundred requests may wait longer than the objective. */
	assert_true(simulate_late_share(true) < 0.01);
	assert_true(simulate_late_share(false) > 0.01);
}

/* Guards against requests, repeats and load tests that reach an upstream after
 * it stated in a response that it is shutting down. */
static void test_upstream_that_leaves_gets_no_requests(void **state)
{
	fixture_t f;

	set_up(&f);
	for (int i = 0; i < UPSTREAMS; i++) {
		assert_int_equal(pr_place_count_usable(&f.registry, &f.map,
						       "model", "v1", NOW),
				 UPSTREAMS - i);
		pr_upstream_mark_leaving(choose(&f, PR_PLACE_FOUND));
	}
	choose(&f, PR_PLACE_NONE);
	pr_registry_finish(&f.registry);

	set_up(&f);
	start_load_test(&f, 2);
	pr_upstream_mark_leaving(choose(&f, PR_PLACE_FOUND));
	assert_true(pr_place_has_load_test_room(&f.registry, &f.map, &f.query));
	pr_upstream_mark_leaving(choose(&f, PR_PLACE_FOUND));
	assert_false(
		pr_place_has_load_test_room(&f.registry, &f.map, &f.query));
	assert_string_equal(choose(&f, PR_PLACE_FOUND)->entry.version, "v1");
	pr_registry_finish(&f.registry);
}

/* Guards against requests, repeats and load tests that reach an upstream while
 * it asks for none. */
static void test_paused_upstream_gets_no_requests(void **state)
{
	fixture_t f;

	set_up(&f);
	for (int i = 0; i < UPSTREAMS; i++) {
		assert_int_equal(pr_place_count_usable(&f.registry, &f.map,
						       "model", "v1", NOW),
				 UPSTREAMS - i);
		pr_upstream_pause(choose(&f, PR_PLACE_FOUND), PR_USEC_PER_SEC,
				  NOW);
	}
	choose(&f, PR_PLACE_BUSY);
	f.query.now = NOW + PR_USEC_PER_SEC;
	choose(&f, PR_PLACE_FOUND);
	pr_registry_finish(&f.registry);

	set_up(&f);
	start_load_test(&f, 1);
	pr_upstream_pause(choose(&f, PR_PLACE_FOUND), PR_USEC_PER_SEC, NOW);
	assert_false(
		pr_place_has_load_test_room(&f.registry, &f.map, &f.query));
	assert_string_equal(choose(&f, PR_PLACE_FOUND)->entry.version, "v1");
	pr_registry_finish(&f.registry);
}

/* A refusal states when the first upstream that the request may use takes
 * requests again, and only while all of them are paused. */
static void test_next_return_of_paused_upstreams(void **state)
{
	char *home[] = { "home" };
	pr_names_t regions = { .items = home, .count = 1 };
	fixture_t f;

	set_up(&f);
	f.query.route_regions = &regions;
	for (int i = 0; i < 3; i++) {
		assert_int_equal(
			pr_place_next_return(&f.registry, &f.map, &f.query).any,
			0);
		pr_upstream_pause(f.upstreams[i], (4 - i) * PR_USEC_PER_SEC,
				  NOW);
	}
	assert_int_equal(
		pr_place_next_return(&f.registry, &f.map, &f.query).any,
		NOW + 2 * PR_USEC_PER_SEC);
	/* Those that it was sent to are left to the caller's next attempt. */
	f.query.tried[f.query.tried_count++] = f.upstreams[2];
	assert_int_equal(
		pr_place_next_return(&f.registry, &f.map, &f.query).any,
		NOW + 2 * PR_USEC_PER_SEC);
	assert_int_equal(
		pr_place_next_return(&f.registry, &f.map, &f.query).untried,
		NOW + 3 * PR_USEC_PER_SEC);
	f.query.service = "other";
	assert_int_equal(
		pr_place_next_return(&f.registry, &f.map, &f.query).any, 0);
	pr_registry_finish(&f.registry);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hosts_with_same_reports_spread_requests),
		cmocka_unit_test(
			test_failing_upstream_does_not_attract_requests),
		cmocka_unit_test(test_normal_failure_rate_costs_nothing),
		cmocka_unit_test(test_failures_of_other_hosts_count),
		cmocka_unit_test(test_same_prefix_goes_to_one_upstream),
		cmocka_unit_test(test_hot_prefix_spills_to_neighbours),
		cmocka_unit_test(test_long_prefill_avoids_running_streams),
		cmocka_unit_test(test_prefix_is_cached_once_in_a_region),
		cmocka_unit_test(test_load_of_peers_counts),
		cmocka_unit_test(
			test_region_is_left_only_when_needed_and_allowed),
		cmocka_unit_test(test_evacuated_zone_gets_no_requests),
		cmocka_unit_test(test_verdict_states_why_none_is_available),
		cmocka_unit_test(test_connections_are_bounded),
		cmocka_unit_test(test_version_of_the_session_is_preferred),
		cmocka_unit_test(test_new_version_takes_over_when_done),
		cmocka_unit_test(
			test_load_test_fills_one_upstream_after_the_other),
		cmocka_unit_test(test_load_test_uses_at_most_two_upstreams),
		cmocka_unit_test(test_load_test_of_many_hosts),
		cmocka_unit_test(test_load_test_waits_for_prefills),
		cmocka_unit_test(test_load_test_avoids_limited_upstreams),
		cmocka_unit_test(test_stated_rate_limits_the_choice),
		cmocka_unit_test(test_upstream_that_leaves_gets_no_requests),
		cmocka_unit_test(test_paused_upstream_gets_no_requests),
		cmocka_unit_test(test_next_return_of_paused_upstreams),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
