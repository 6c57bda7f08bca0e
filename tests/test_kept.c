/* Tests of src/place/kept.c and rank.c: how many leading tokens of a prompt an
 * upstream is expected to hold. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "place/kept.h"

#define WINDOW    (10 * PR_USEC_PER_SEC)
#define NOW       (100 * PR_USEC_PER_SEC)
#define UPSTREAMS 20
/* Tokens of each part. */
#define PART 400
/* Parts of the prompt, the request's own included. */
#define PARTS 4

typedef struct fixture_t {
	pr_kept_t kept;
	pr_upstream_t upstreams[UPSTREAMS];
	pr_kept_prefixes_t prefixes;
	pr_kept_prompt_t prompt;
	pr_ranks_t ranks;
} fixture_t;

static void set_prompt(fixture_t *f, uint64_t first)
{
	memset(&f->prefixes, 0, sizeof(f->prefixes));
	for (uint32_t i = 1; i <= PARTS; i++)
		pr_kept_add_prefix(&f->prefixes, first + i, i * PART);
}

static void rank(fixture_t *f)
{
	pr_ranks_init(&f->ranks);
	pr_kept_add_seeds(&f->prompt, &f->ranks);
	for (int i = 0; i < UPSTREAMS; i++)
		pr_ranks_add(&f->ranks, &f->upstreams[i]);
}

static fixture_t *set_up(pr_usec_t window)
{
	fixture_t *f = calloc(1, sizeof(*f));

	assert_non_null(f);
	assert_int_equal(pr_kept_init(&f->kept, window), 0);
	for (int i = 0; i < UPSTREAMS; i++) {
		pr_upstream_t *upstream = &f->upstreams[i];

		upstream->tag = (uint32_t)i + 1;
		snprintf(upstream->entry.id, sizeof(upstream->entry.id), "u%d",
			 i);
		snprintf(upstream->entry.version,
			 sizeof(upstream->entry.version), "v1");
	}
	set_prompt(f, 1000);
	f->prompt = (pr_kept_prompt_t){ .prefixes = &f->prefixes,
					.model = 5,
					.service = "model",
					.tokens = PARTS * PART,
					.hosts = 1,
					.upstreams = UPSTREAMS };
	rank(f);
	return f;
}

static void tear_down(fixture_t *f)
{
	pr_kept_finish(&f->kept);
	free(f);
}

static void send_and_read(fixture_t *f, int upstream, pr_usec_t now)
{
	pr_kept_record_sent(&f->kept, &f->prompt, &f->upstreams[upstream], now);
	pr_kept_record_read(&f->kept, &f->prompt, &f->upstreams[upstream], now);
}

static double own(const fixture_t *f, int upstream, pr_usec_t now)
{
	return pr_kept_own_tokens(&f->kept, &f->prompt, &f->upstreams[upstream],
				  now);
}

/* Guards against a prefill that is paid twice because the host does not know
 * where its last request left the prompt, and against one that is counted as
 * saved before the upstream has answered. */
static void test_own_requests_leave_their_prompt(void **state)
{
	fixture_t *f = set_up(WINDOW);
	double sent;

	assert_true(own(f, 3, NOW) <= 0);
	pr_kept_record_sent(&f->kept, &f->prompt, &f->upstreams[3], NOW);
	sent = own(f, 3, NOW);
	assert_true(sent > 0 && sent < PARTS * PART * 0.7);
	pr_kept_record_read(&f->kept, &f->prompt, &f->upstreams[3], NOW);
	assert_true(own(f, 3, NOW) > PARTS * PART * 0.9);
	assert_true(own(f, 3, NOW) < PARTS * PART);
	assert_true(own(f, 4, NOW) <= 0);
	/* Another request shares all parts but the last. */
	f->prefixes.items[PARTS - 1].hash++;
	assert_true(own(f, 3, NOW) > (PARTS - 1) * PART * 0.9);
	assert_true(own(f, 3, NOW) < (PARTS - 1) * PART);
	tear_down(f);
}

/* Guards against requests that follow one which an overloaded upstream refused,
 * as if it had read the prompt. */
static void test_refused_request_leaves_nothing(void **state)
{
	fixture_t *f = set_up(WINDOW);
	double held;

	pr_kept_record_sent(&f->kept, &f->prompt, &f->upstreams[3], NOW);
	pr_kept_record_not_run(&f->kept, &f->prompt, &f->upstreams[3]);
	assert_true(own(f, 3, NOW) <= 0);
	send_and_read(f, 3, NOW);
	/* What an earlier request left stays, and is no younger for it. */
	held = own(f, 3, NOW + WINDOW / 2);
	pr_kept_record_sent(&f->kept, &f->prompt, &f->upstreams[3],
			    NOW + WINDOW / 2);
	pr_kept_record_not_run(&f->kept, &f->prompt, &f->upstreams[3]);
	assert_true(own(f, 3, NOW + WINDOW / 2) > held * 0.98);
	assert_true(own(f, 3, NOW + WINDOW / 2) <= held);
	tear_down(f);
}

/* Guards against a prompt that counts as held long after the upstream evicted
 * it, under a load that is too small to show it in the tokens read. */
static void test_estimate_falls_with_age(void **state)
{
	fixture_t *f = set_up(WINDOW);
	double last;

	send_and_read(f, 3, NOW);
	last = own(f, 3, NOW);
	for (int i = 1; i < 10; i++) {
		double held = own(f, 3, NOW + i * WINDOW / 10);

		assert_true(held > 0 && held < last);
		last = held;
	}
	assert_true(own(f, 3, NOW + WINDOW) <= 0);
	/* A later use makes it young again. */
	send_and_read(f, 3, NOW + 2 * WINDOW);
	assert_true(own(f, 3, NOW + 2 * WINDOW) > PARTS * PART * 0.9);
	tear_down(f);
}

/* Send other prompts of 10,000 tokens each. */
static void churn(fixture_t *f, int upstream, int prompts)
{
	pr_kept_prefixes_t prefixes = { 0 };
	pr_kept_prompt_t prompt = f->prompt;

	pr_kept_add_prefix(&prefixes, 1, 10000);
	prompt.prefixes = &prefixes;
	prompt.tokens = 10000;
	for (int i = 0; i < prompts; i++)
		pr_kept_record_sent(&f->kept, &prompt, &f->upstreams[upstream],
				    NOW);
}

/* Guards against prompts that count as held on upstreams whose memory other
 * prompts have filled since (load: long drafts, many cold prefixes). */
static void test_estimate_falls_with_tokens_read_since(void **state)
{
	fixture_t *f = set_up(WINDOW);
	double before, after;

	send_and_read(f, 3, NOW);
	before = own(f, 3, NOW);
	churn(f, 3, 19);
	after = own(f, 3, NOW);
	assert_true(after > before * 0.45 && after < before * 0.55);
	churn(f, 3, 20);
	assert_true(own(f, 3, NOW) <= 0);
	tear_down(f);
}

/* Guards against an estimate that knows only this host's requests: 60 hosts
 * fill the memory 60 times as fast. */
static void test_other_hosts_fill_the_memory(void **state)
{
	fixture_t *f = set_up(WINDOW);
	double alone;

	send_and_read(f, 3, NOW);
	/* The upstream has got none of them. */
	churn(f, 4, 4);
	alone = own(f, 3, NOW);
	assert_true(alone > PARTS * PART * 0.94);
	f->prompt.hosts = 60;
	assert_true(own(f, 3, NOW) < alone * 0.8);
	churn(f, 4, 20);
	assert_true(own(f, 3, NOW) <= 0);
	tear_down(f);
}

/* Upstreams that state their memory are not taken for larger ones. */
static void test_stated_memory(void **state)
{
	fixture_t *f = set_up(WINDOW);

	f->upstreams[3].entry.memory_tokens = 50000;
	send_and_read(f, 3, NOW);
	send_and_read(f, 4, NOW);
	churn(f, 3, 5);
	churn(f, 4, 5);
	assert_true(own(f, 3, NOW) <= 0);
	/* 50,000 of the usual 380,000 tokens were read since. */
	assert_true(own(f, 4, NOW) > PARTS * PART * 0.8);
	tear_down(f);
}

/* Guards against requests that follow their prompt to an upstream that crashed
 * and came back empty under the same name. */
static void test_restarted_upstream_holds_nothing(void **state)
{
	fixture_t *f = set_up(WINDOW);

	send_and_read(f, 3, NOW);
	f->upstreams[3].tag = 99;
	assert_true(own(f, 3, NOW) <= 0);
	tear_down(f);
}

/* Guards against a roll-out in which the new weights count as holding what the
 * old ones read, and against confusion of two models of a route. */
static void test_parts_are_held_per_model_and_version(void **state)
{
	fixture_t *f = set_up(WINDOW);

	send_and_read(f, 3, NOW);
	snprintf(f->upstreams[3].entry.version,
		 sizeof(f->upstreams[3].entry.version), "v2");
	assert_true(own(f, 3, NOW) <= 0);
	snprintf(f->upstreams[3].entry.version,
		 sizeof(f->upstreams[3].entry.version), "v1");
	assert_true(own(f, 3, NOW) > 0);
	f->prompt.model++;
	assert_true(own(f, 3, NOW) <= 0);
	tear_down(f);
}

/* Guards against a table that grows or loops under many cold prefixes: the
 * oldest ones are forgotten, the recent ones are not. */
static void test_full_table_forgets_the_least_recently_used(void **state)
{
	const uint64_t prompts = UINT64_C(4) * PR_KEPT_ENTRIES;
	fixture_t *f = set_up(WINDOW);

	for (uint64_t i = 0; i < prompts; i++) {
		set_prompt(f, i * 100);
		pr_kept_record_sent(&f->kept, &f->prompt,
				    &f->upstreams[i % UPSTREAMS], NOW);
		if (i % 3 == 0)
			pr_kept_record_not_run(&f->kept, &f->prompt,
					       &f->upstreams[i % UPSTREAMS]);
		/* One that is used all the time. */
		set_prompt(f, UINT64_MAX / 2);
		send_and_read(f, 7, NOW);
		assert_true(f->kept.index.count <= PR_KEPT_ENTRIES);
	}
	assert_true(own(f, 7, NOW) > PARTS * PART * 0.2);
	set_prompt(f, (prompts - 1) * 100);
	assert_true(own(f, (int)((prompts - 1) % UPSTREAMS), NOW) > 0);
	set_prompt(f, 100);
	assert_true(own(f, 1, NOW) <= 0);
	assert_true(sizeof(pr_kept_t) +
			    (f->kept.index.mask + 1) *
				    sizeof(f->kept.index.buckets[0]) <=
		    PR_KEPT_BYTES_MAX);
	tear_down(f);
}

/* Without the setting, nothing is noted or expected. */
static void test_window_of_zero_keeps_nothing(void **state)
{
	fixture_t *f = set_up(0);

	send_and_read(f, 3, NOW);
	pr_kept_record_not_run(&f->kept, &f->prompt, &f->upstreams[3]);
	assert_int_equal(f->upstreams[3].prompt_tokens, 0);
	for (int i = 0; i < UPSTREAMS; i++) {
		assert_true(own(f, i, NOW) <= 0);
		assert_true(pr_kept_tokens(&f->kept, &f->prompt, &f->ranks,
					   &f->upstreams[i], NOW) <= 0);
	}
	tear_down(f);
}

/* Guards against a host that restarts and knows nothing: the ranks alone say
 * where prompts are, the first one likely and none for certain. */
static void test_ranks_say_where_an_unseen_prompt_is(void **state)
{
	const double shared = (PARTS - 1) * PART;
	fixture_t *f = set_up(WINDOW);
	double held[PR_RANKS];

	for (size_t rank = 0; rank < PR_RANKS; rank++) {
		const pr_upstream_t *upstream =
			f->ranks.first[0][PARTS - 2][rank].upstream;

		assert_int_equal(pr_ranks_of(&f->ranks, PARTS - 2, upstream),
				 rank);
		held[rank] = pr_kept_tokens(&f->kept, &f->prompt, &f->ranks,
					    upstream, NOW);
	}
	assert_true(held[0] > shared * 0.6 && held[0] < shared);
	assert_true(held[1] < held[0] * 0.6);
	assert_true(held[2] > 0 && held[2] < held[1]);
	tear_down(f);
}

/* Guards against a system prompt that draws requests to its first rank, where
 * it is by chance only, unless other requests go there by it (load: many
 * prompts with the same first part). */
static void test_shorter_prefix_counts_by_how_often_it_is_seen(void **state)
{
	fixture_t *f = set_up(WINDOW);
	const pr_upstream_t *upstream = f->ranks.first[0][0][0].upstream;
	pr_kept_prefixes_t shorter = { 0 };
	pr_kept_prompt_t prompt = f->prompt;
	double unseen, seen;

	assert_int_equal(pr_ranks_of(&f->ranks, 1, upstream), PR_RANKS);
	assert_int_equal(pr_ranks_of(&f->ranks, 2, upstream), PR_RANKS);
	unseen = pr_kept_tokens(&f->kept, &f->prompt, &f->ranks, upstream, NOW);
	assert_true(unseen > 0 && unseen < PART * 0.3);
	pr_kept_add_prefix(&shorter, f->prefixes.items[0].hash, PART);
	pr_kept_add_prefix(&shorter, 77, 2 * PART);
	prompt.prefixes = &shorter;
	for (int i = 0; i < 4; i++)
		pr_kept_record_sent(&f->kept, &prompt,
				    &f->upstreams[UPSTREAMS - 1], NOW);
	seen = pr_kept_tokens(&f->kept, &f->prompt, &f->ranks, upstream, NOW);
	assert_true(seen > unseen * 1.5 && seen < PART);
	/* What was seen long ago counts as new. */
	assert_true(pr_kept_tokens(&f->kept, &f->prompt, &f->ranks, upstream,
				   NOW + 2 * WINDOW) <= unseen);
	tear_down(f);
}

/* A prompt without shared parts has no ranks. */
static void test_prompt_of_one_part(void **state)
{
	fixture_t *f = set_up(WINDOW);

	memset(&f->prefixes, 0, sizeof(f->prefixes));
	pr_kept_add_prefix(&f->prefixes, 7, PART);
	rank(f);
	assert_int_equal(f->ranks.seeds_count, 0);
	assert_true(pr_kept_tokens(&f->kept, &f->prompt, &f->ranks,
				   &f->upstreams[0], NOW) <= 0);
	send_and_read(f, 0, NOW);
	assert_true(pr_kept_tokens(&f->kept, &f->prompt, &f->ranks,
				   &f->upstreams[0], NOW) > 0);
	tear_down(f);
}

/* Guards against prompts of very many parts, which would cost time and memory
 * for each part, and against ones with many parts in common that have no
 * considered prefix in common. */
static void test_considered_prefixes_of_long_prompts(void **state)
{
	static const uint32_t sizes[] = { 1, 2, 5, 9, 40, 97, 128, 130, 1500 };

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		uint32_t size = sizes[i];
		pr_kept_prefixes_t prefixes = { 0 };
		uint32_t last = 0;

		for (uint32_t part = 1; part <= size; part++) {
			pr_kept_add_prefix(&prefixes, part, part);
			assert_true(prefixes.count <= PR_KEPT_PREFIXES_MAX);
		}
		assert_int_equal(prefixes.depth, size);
		assert_int_equal(prefixes.items[prefixes.count - 1].tokens,
				 size);
		if (size > 1)
			assert_int_equal(
				prefixes.items[prefixes.count - 2].tokens,
				size - 1);
		for (size_t at = 0; at < prefixes.count; at++) {
			assert_true(prefixes.items[at].tokens > last);
			if (prefixes.items[at].tokens <= 128)
				assert_true(last >= 3 ||
					    prefixes.items[at].tokens ==
						    last + 1);
			if (last >= 3 && prefixes.items[at].tokens <= 128)
				assert_true(prefixes.items[at].tokens <=
					    (last * 3 + 1) / 2);
			last = prefixes.items[at].tokens;
		}
	}
}

/* Guards against hosts that disagree on the ranks because they know the
 * upstreams in another order, and against ranks across versions. */
static void test_ranks_do_not_depend_on_the_order(void **state)
{
	fixture_t *f = set_up(WINDOW);
	pr_ranks_t other;

	for (int i = 0; i < UPSTREAMS; i += 3)
		snprintf(f->upstreams[i].entry.version,
			 sizeof(f->upstreams[i].entry.version), "v2");
	rank(f);
	pr_ranks_init(&other);
	pr_kept_add_seeds(&f->prompt, &other);
	for (int i = UPSTREAMS - 1; i >= 0; i--)
		pr_ranks_add(&other, &f->upstreams[i]);
	for (size_t seed = 0; seed < other.seeds_count; seed++) {
		int first = 0;

		for (int i = 0; i < UPSTREAMS; i++) {
			size_t own_rank =
				pr_ranks_of(&f->ranks, seed, &f->upstreams[i]);

			assert_int_equal(
				own_rank,
				pr_ranks_of(&other, seed, &f->upstreams[i]));
			first += !own_rank;
		}
		assert_int_equal(first, 2);
	}
	tear_down(f);
}

/* Guards against writing beyond the ranks when a service has more versions than
 * fit: those that come later have no rank. */
static void test_versions_beyond_the_bound_have_no_rank(void **state)
{
	static pr_upstream_t upstreams[PR_RANK_VERSIONS_MAX + 2];
	fixture_t *f = set_up(WINDOW);

	pr_ranks_init(&f->ranks);
	pr_kept_add_seeds(&f->prompt, &f->ranks);
	for (size_t i = 0; i < PR_RANK_VERSIONS_MAX + 2; i++) {
		snprintf(upstreams[i].entry.version,
			 sizeof(upstreams[i].entry.version), "w%zu", i);
		pr_ranks_add(&f->ranks, &upstreams[i]);
		assert_int_equal(pr_ranks_of(&f->ranks, 0, &upstreams[i]),
				 i < PR_RANK_VERSIONS_MAX ? 0 : PR_RANKS);
	}
	tear_down(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_own_requests_leave_their_prompt),
		cmocka_unit_test(test_refused_request_leaves_nothing),
		cmocka_unit_test(test_estimate_falls_with_age),
		cmocka_unit_test(test_estimate_falls_with_tokens_read_since),
		cmocka_unit_test(test_other_hosts_fill_the_memory),
		cmocka_unit_test(test_stated_memory),
		cmocka_unit_test(test_restarted_upstream_holds_nothing),
		cmocka_unit_test(test_parts_are_held_per_model_and_version),
		cmocka_unit_test(
			test_full_table_forgets_the_least_recently_used),
		cmocka_unit_test(test_window_of_zero_keeps_nothing),
		cmocka_unit_test(test_ranks_say_where_an_unseen_prompt_is),
		cmocka_unit_test(
			test_shorter_prefix_counts_by_how_often_it_is_seen),
		cmocka_unit_test(test_prompt_of_one_part),
		cmocka_unit_test(test_considered_prefixes_of_long_prompts),
		cmocka_unit_test(test_ranks_do_not_depend_on_the_order),
		cmocka_unit_test(test_versions_beyond_the_bound_have_no_rank),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
