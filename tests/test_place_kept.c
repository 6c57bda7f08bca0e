/* Tests of the choice of an upstream by held prompt prefixes, and that it does
 * not change without them. */
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

#define UPSTREAMS 60
#define WINDOW    (10 * PR_USEC_PER_SEC)
#define NOW       (100 * PR_USEC_PER_SEC)
#define MODEL     UINT64_C(5)

typedef struct fixture_t {
	pr_registry_t registry;
	pr_zone_t zones[3];
	pr_zone_map_t map;
	pr_upstream_t *upstreams[UPSTREAMS];
	pr_place_query_t query;
	pr_kept_t table;
	pr_kept_prefixes_t prefixes;
	pr_place_kept_t kept;
} fixture_t;

/* A prompt of three shared parts and one of its own. */
static void set_prompt(fixture_t *f, uint64_t hash)
{
	memset(&f->prefixes, 0, sizeof(f->prefixes));
	for (uint32_t i = 1; i <= 4; i++)
		pr_kept_add_prefix(&f->prefixes, hash * 16 + i, i * 1000);
}

/* Twenty upstreams in each of the two zones of this host's region, twenty in
 * another region. Engines have 12 slots. */
static fixture_t *set_up(void)
{
	static const char *const zones[] = { "near", "next", "far" };
	fixture_t *f = calloc(1, sizeof(*f));

	assert_non_null(f);
	pr_registry_init(&f->registry);
	f->zones[0] = (pr_zone_t){ "near", "home", false };
	f->zones[1] = (pr_zone_t){ "next", "home", false };
	f->zones[2] = (pr_zone_t){ "far", "abroad", false };
	f->map = (pr_zone_map_t){ f->zones, 3, "near", "home" };
	for (int i = 0; i < UPSTREAMS; i++) {
		pr_upstream_entry_t entry = { .slots = 12 };

		snprintf(entry.id, sizeof(entry.id), "u%d", i);
		snprintf(entry.service, sizeof(entry.service), "model");
		snprintf(entry.zone, sizeof(entry.zone), "%s", zones[i % 3]);
		snprintf(entry.version, sizeof(entry.version), "v1");
		f->upstreams[i] = pr_registry_apply(
			&f->registry, &entry, rev((uint64_t)i + 1), 0, NOW);
	}
	assert_int_equal(pr_kept_init(&f->table, WINDOW), 0);
	set_prompt(f, 77);
	f->kept = (pr_place_kept_t){
		.table = &f->table,
		.prompt = { .prefixes = &f->prefixes,
			    .model = MODEL,
			    .service = "model",
			    .tokens = 4000,
			    .hosts = 60 },
		.prefill_ms_per_token = 0.02,
	};
	f->query = (pr_place_query_t){ .service = "model",
				       .kept = &f->kept,
				       .prefill_ms = 80,
				       .connections_max = 40,
				       .hosts = 60,
				       .sample_seed = 1,
				       .now = NOW };
	return f;
}

static void tear_down(fixture_t *f)
{
	pr_kept_finish(&f->table);
	pr_registry_finish(&f->registry);
	free(f);
}

static pr_upstream_t *choose(fixture_t *f)
{
	pr_upstream_t *chosen;

	assert_int_equal(pr_place_choose(&f->registry, &f->map, &f->query,
					 &chosen, NULL),
			 PR_PLACE_FOUND);
	return chosen;
}

/* First ranks for the longest shared prefix among the upstreams of a version.
 */
static void find_ranks(fixture_t *f, const char *version,
		       pr_upstream_t *out[PR_RANKS])
{
	pr_ranks_t ranks;

	pr_ranks_init(&ranks);
	pr_kept_add_seeds(&f->kept.prompt, &ranks);
	for (int i = 0; i < UPSTREAMS; i++) {
		if (strcmp(f->upstreams[i]->entry.zone, "far") != 0 &&
		    !strcmp(f->upstreams[i]->entry.version, version))
			pr_ranks_add(&ranks, f->upstreams[i]);
	}
	for (int i = 0; i < UPSTREAMS; i++) {
		size_t rank = pr_ranks_of(&ranks, ranks.seeds_count - 1,
					  f->upstreams[i]);

		if (rank < PR_RANKS)
			out[rank] = f->upstreams[i];
	}
}

/* The host has seen the prompt several times; it sent it to one upstream. */
static void send_often(fixture_t *f, pr_upstream_t *upstream)
{
	for (int i = 0; i < 5; i++) {
		pr_kept_record_sent(&f->table, &f->kept.prompt, upstream,
				    f->query.now);
		pr_kept_record_read(&f->table, &f->kept.prompt, upstream,
				    f->query.now);
	}
}

/* Guards against copies of a prefix that are made at random while the first
 * rank is busy (load: a hot prefix): the other hosts do not find them. */
static void test_hot_prefix_goes_to_the_second_rank(void **state)
{
	fixture_t *f = set_up();
	pr_upstream_t *ranks[PR_RANKS];
	int second = 0;

	/* The last part is new, as usual, and this host's own request went to
	 * the first rank. */
	find_ranks(f, "v1", ranks);
	send_often(f, ranks[0]);
	f->prefixes.items[3].hash++;
	for (uint64_t seed = 1; seed <= 100; seed++) {
		f->query.sample_seed = seed;
		assert_ptr_equal(choose(f), ranks[0]);
		assert_false(f->kept.off_first_rank);
		assert_true(f->kept.tokens > 2500 && f->kept.tokens < 3000);
	}
	/* Waiting there takes longer than to prefill the prompt again. */
	ranks[0]->pending_prefill_ms = 150;
	ranks[0]->peers_in_flight = 6;
	for (uint64_t seed = 1; seed <= 100; seed++) {
		f->query.sample_seed = seed;
		second += choose(f) == ranks[1];
		assert_true(f->kept.off_first_rank);
		assert_true(f->kept.tokens > 0);
	}
	assert_true(second >= 90);
	/* A prefill that would be longer than the wait is avoided. */
	f->kept.prefill_ms_per_token = 0.2;
	ranks[1]->pending_prefill_ms = 1500;
	assert_ptr_equal(choose(f), ranks[0]);
	tear_down(f);
}

/* Guards against upstreams that get more than their part of prompts which no
 * upstream holds (load: many cold prefixes). */
static void test_cold_prefixes_spread(void **state)
{
	fixture_t *f = set_up();
	int counts[UPSTREAMS] = { 0 };
	int most = 0, used = 0;

	for (uint64_t i = 0; i < 4000; i++) {
		pr_upstream_t *chosen;

		set_prompt(f, 1000 + i);
		f->query.sample_seed = i + 1;
		f->query.now += 20 * PR_USEC_PER_MSEC;
		chosen = choose(f);
		assert_string_not_equal(chosen->entry.zone, "far");
		pr_kept_record_sent(&f->table, &f->kept.prompt, chosen,
				    f->query.now);
		for (int u = 0; u < UPSTREAMS; u++)
			counts[u] += f->upstreams[u] == chosen;
	}
	for (int u = 0; u < UPSTREAMS; u++) {
		used += counts[u] > 0;
		most = counts[u] > most ? counts[u] : most;
	}
	assert_int_equal(used, 40);
	/* 100 each on average. */
	assert_true(most < 200);
	tear_down(f);
}

/* Guards against a second prefill of a prompt that two hosts see for the first
 * time: they agree without messages, also from different zones. */
static void test_hosts_agree_on_a_new_prompt(void **state)
{
	fixture_t *f = set_up(), *other = set_up();

	other->map.zone = "next";
	for (uint64_t i = 0; i < 100; i++) {
		pr_upstream_t *chosen;

		set_prompt(f, 1000 + i);
		set_prompt(other, 1000 + i);
		f->query.sample_seed = i + 1;
		other->query.sample_seed = i + 1000;
		chosen = choose(f);
		assert_string_equal(choose(other)->entry.id, chosen->entry.id);
		assert_false(f->kept.off_first_rank);
	}
	tear_down(f);
	tear_down(other);
}

/* Guards against a prompt that is read again although this host knows where it
 * left it: an upstream that is neither sampled nor of the first ranks (load:
 * the ranks were busy when the session began). Once the instance has restarted,
 * the prompt goes back to the ranks. */
static void test_own_request_leads_to_its_upstream(void **state)
{
	fixture_t *f = set_up();
	pr_upstream_t *ranks[PR_RANKS];
	pr_upstream_t *holder;

	find_ranks(f, "v1", ranks);
	holder = f->upstreams[0];
	for (int i = 1;
	     holder == ranks[0] || holder == ranks[1] || holder == ranks[2] ||
	     !strcmp(holder->entry.zone, "far");
	     i++)
		holder = f->upstreams[i];
	send_often(f, holder);
	for (uint64_t seed = 1; seed <= 100; seed++) {
		f->query.sample_seed = seed;
		assert_ptr_equal(choose(f), holder);
		assert_true(f->kept.off_first_rank);
	}
	holder->tag ^= 1;
	assert_ptr_equal(choose(f), ranks[0]);
	holder->tag ^= 1;
	/* It has read much since. */
	holder->prompt_tokens += 400000;
	assert_ptr_equal(choose(f), ranks[0]);
	holder->prompt_tokens -= 400000;
	holder->ejected_until = NOW + 1;
	assert_ptr_not_equal(choose(f), holder);
	tear_down(f);
}

/* Guards against a prefix of all prompts that leads every host to the upstream
 * with the least load by reports of the same age: a host compares few of the
 * upstreams that it sent the prefix to. */
static void test_few_upstreams_with_a_common_prefix_are_compared(void **state)
{
	fixture_t *f = set_up();
	pr_upstream_t *idle = NULL;
	int to_idle = 0;

	for (int i = 0; i < UPSTREAMS; i++) {
		pr_kept_prefixes_t prefixes = { 0 };
		pr_kept_prompt_t prompt = f->kept.prompt;

		if (!strcmp(f->upstreams[i]->entry.zone, "far"))
			continue;
		prompt.prefixes = &prefixes;
		pr_kept_add_prefix(&prefixes, f->prefixes.items[0].hash, 1000);
		pr_kept_add_prefix(&prefixes, (uint64_t)i, 2000);
		pr_kept_record_sent(&f->table, &prompt, f->upstreams[i], NOW);
		pr_kept_record_read(&f->table, &prompt, f->upstreams[i], NOW);
		f->upstreams[i]->peers_in_flight = 6;
		if (!idle)
			idle = f->upstreams[i];
	}
	assert_non_null(idle);
	idle->peers_in_flight = 0;
	for (uint64_t i = 1; i <= 200; i++) {
		set_prompt(f, 5000 + i);
		f->prefixes.items[0].hash = 77 * 16 + 1;
		f->query.sample_seed = i;
		to_idle += choose(f) == idle;
	}
	/* It is of three ranks, of about five sampled or of three own ones of
	 * forty; the own ones are the same each time. */
	assert_true(to_idle < 100);
	tear_down(f);
}

/* Guards against requests of a new version that go to where the old weights
 * hold the prompt, and against a new version without ranks (load: a roll-out
 * under way). */
static void test_version_in_roll_out_has_its_own_ranks(void **state)
{
	pr_rollout_order_t order = { "model", "v2", 24000 };
	pr_transition_row_t row = { 1, PR_ROLLOUT_RUNNING, 1000, "", 0, 0 };
	static pr_transition_t transition;
	fixture_t *f = set_up();
	pr_upstream_t *old[PR_RANKS], *new[PR_RANKS];

	pr_transition_init(&transition, &order, rev(1));
	pr_transition_apply(&transition, &row, rev(2));
	for (int i = 0; i < UPSTREAMS; i += 2)
		snprintf(f->upstreams[i]->entry.version,
			 sizeof(f->upstreams[i]->entry.version), "v2");
	find_ranks(f, "v1", old);
	find_ranks(f, "v2", new);
	send_often(f, old[0]);
	f->query.transition = &transition;
	f->query.version = PR_VERSION_OLD;
	assert_ptr_equal(choose(f), old[0]);
	assert_true(f->kept.tokens > 2500);
	f->query.version = PR_VERSION_NEW;
	assert_ptr_equal(choose(f), new[0]);
	assert_false(f->kept.off_first_rank);
	/* Nothing that the old weights read counts for the new ones. */
	assert_true(pr_kept_own_tokens(&f->table, &f->kept.prompt, new[0],
				       f->query.now) <= 0);
	assert_true(f->kept.tokens < 3000);
	tear_down(f);
}

static uint64_t next_random(uint64_t *seed)
{
	*seed = *seed * 6364136223846793005u + 1442695040888963407u;
	return *seed >> 33;
}

/* Digest of the choices of test_choices_without_the_table(), as measured at
 * commit eac8cb1, before there was a table. */
#define DIGEST_WITHOUT_TABLE UINT64_C(1118839664487676467)

/* Guards against a deployment without the setting whose choices change: 20,000
 * choices under random loads, versions, regions and pauses are the same as
 * before. */
static void test_choices_without_the_table(void **state)
{
	pr_rollout_order_t order = { "model", "v2", 24000 };
	pr_transition_row_t row = { 1, PR_ROLLOUT_RUNNING, 1000, "", 0, 0 };
	char *home[] = { "home" };
	pr_names_t regions = { home, 1 };
	static pr_transition_t transition;
	fixture_t *f = set_up();
	uint64_t digest = 0, seed = 1;

	f->query.kept = NULL;
	pr_transition_init(&transition, &order, rev(1));
	pr_transition_apply(&transition, &row, rev(2));
	for (int i = 0; i < 20000; i++) {
		pr_upstream_t *changed =
			f->upstreams[next_random(&seed) % UPSTREAMS];
		pr_upstream_t *chosen;
		pr_place_verdict_t verdict;
		double wait_ms = 0;

		changed->in_flight = (uint32_t)(next_random(&seed) % 16);
		changed->peers_in_flight = (uint32_t)(next_random(&seed) % 8);
		changed->pending_prefill_ms =
			(double)(next_random(&seed) % 300);
		changed->paused_until = next_random(&seed) % 8 ? 0 : NOW + 1;
		changed->entry.draining = next_random(&seed) % 16 == 0;
		snprintf(changed->entry.version, sizeof(changed->entry.version),
			 "v%d", 1 + (int)(next_random(&seed) % 3));
		f->query.prefix_hash = next_random(&seed) % 50;
		f->query.prefix_prefill_ms = (double)(next_random(&seed) % 400);
		f->query.prefill_ms = (double)(next_random(&seed) % 900);
		f->query.gap_ms = next_random(&seed) % 2 ? 1200 : 0;
		f->query.pause_weight = 1;
		f->query.hosts = next_random(&seed) % 2 ? 60 : 8;
		f->query.sample_seed = next_random(&seed);
		f->query.transition =
			next_random(&seed) % 2 ? &transition : NULL;
		f->query.version = next_random(&seed) % 2 ? PR_VERSION_NEW
							  : PR_VERSION_OLD;
		f->query.load_test = next_random(&seed) % 4 == 0;
		f->query.route_regions =
			next_random(&seed) % 4 ? NULL : &regions;
		f->query.tried[0] =
			f->upstreams[next_random(&seed) % UPSTREAMS];
		f->query.tried_count = next_random(&seed) % 2;
		verdict = pr_place_choose(&f->registry, &f->map, &f->query,
					  &chosen, &wait_ms);
		digest = digest * 31 + (uint64_t)verdict +
			 (chosen ? chosen->row.number * 16 : 0) +
			 (uint64_t)wait_ms;
	}
	assert_true(digest == DIGEST_WITHOUT_TABLE);
	tear_down(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hot_prefix_goes_to_the_second_rank),
		cmocka_unit_test(test_cold_prefixes_spread),
		cmocka_unit_test(test_hosts_agree_on_a_new_prompt),
		cmocka_unit_test(test_own_request_leads_to_its_upstream),
		cmocka_unit_test(
			test_few_upstreams_with_a_common_prefix_are_compared),
		cmocka_unit_test(test_version_in_roll_out_has_its_own_ranks),
		cmocka_unit_test(test_choices_without_the_table),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
