/* Tests of src/policy: permission, planning, learning, bounds, explanation. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <cmocka.h>

#include "pistachiorack/error.h"
#include "pistachiorack/policy.h"

#include "fleet_text.h"

static const char two_models[] =
	"models:\n"
	"- {name: small, versions: [{name: s1, price_in: 1, price_out: 1},\n"
	"   {name: s2, state: rolling, share: 100, replaces: s1}]}\n"
	"- {name: large, versions: [{name: l1, price_in: 10, price_out: 10},\n"
	"   {name: l0, state: withdrawn, price_in: 99},\n"
	"   {name: l2, state: halted}]}\n";

static pr_policy_query_t make_query(const pr_fleet_t *fleet)
{
	return (pr_policy_query_t){ .fleet = fleet,
				    .workspace = PR_SLICE("w1"),
				    .request_class = PR_SLICE("tag"),
				    .model = PR_SLICE(PR_POLICY_AUTO),
				    .confirmed = true,
				    .tokens_in = 500,
				    .tokens_out = 500 };
}

/* Adds ratings with the bad ones spread evenly among the good ones. */
static void rate_many(pr_policy_t *policy, const char *workspace,
		      const char *model, const char *version, int good, int bad)
{
	pr_rating_t rating = { .workspace = pr_slice_of(workspace),
			       .request_class = PR_SLICE("tag"),
			       .model = pr_slice_of(model),
			       .version = pr_slice_of(version) };

	for (int i = 0; i < good + bad; i++) {
		rating.good = (long)i * bad / (good + bad) ==
			      (long)(i + 1) * bad / (good + bad);
		pr_policy_add_rating(policy, &rating, 0);
	}
}

/* Guards against requests to a version that is withdrawn, not allowed or not
 * yet proven, for each basis. */
static void permission_follows_state_and_basis(void **state)
{
	static const struct {
		const char *workspace, *model, *version;
		pr_policy_permission_t by_basis[3];
	} cases[] = {
		{ "w1", "small", "s1", { 0, 0, 0 } },
		{ "w1", "small", "s2", { PR_FORBIDDEN_UNPROVEN, 0, 0 } },
		{ "w1",
		  "large",
		  "l2",
		  { PR_FORBIDDEN_UNPROVEN, PR_FORBIDDEN_UNPROVEN, 0 } },
		{ "w1",
		  "large",
		  "l0",
		  { PR_FORBIDDEN_WITHDRAWN, PR_FORBIDDEN_WITHDRAWN,
		    PR_FORBIDDEN_WITHDRAWN } },
		{ "w3",
		  "small",
		  "s1",
		  { PR_FORBIDDEN_MODEL, PR_FORBIDDEN_MODEL,
		    PR_FORBIDDEN_MODEL } },
		{ "w9",
		  "small",
		  "s1",
		  { PR_FORBIDDEN_WORKSPACE, PR_FORBIDDEN_WORKSPACE,
		    PR_FORBIDDEN_WORKSPACE } },
		{ "w1",
		  "small",
		  "s9",
		  { PR_FORBIDDEN_UNKNOWN, PR_FORBIDDEN_UNKNOWN,
		    PR_FORBIDDEN_UNKNOWN } },
	};
	pr_fleet_t *fleet = fleet_of(two_models);

	assert_non_null(fleet);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		for (int basis = 0; basis < 3; basis++)
			assert_int_equal(
				pr_policy_permitted(
					fleet, pr_slice_of(cases[i].workspace),
					pr_slice_of(cases[i].model),
					pr_slice_of(cases[i].version),
					(pr_policy_basis_t)basis, true),
				cases[i].by_basis[basis]);
	assert_int_equal(pr_policy_permitted(fleet, PR_SLICE("w1"),
					     PR_SLICE("small"), PR_SLICE("s2"),
					     PR_BASIS_DRAW, false),
			 PR_FORBIDDEN_UNCONFIRMED);
	pr_fleet_free(fleet);
}

/* Guards against sampled or escalated requests in the reference of a roll-out.
 * They are harder than the average, so that a worse version would pass. */
static void evidence_of_proven_versions_is_uniform(void **state)
{
	pr_fleet_t *fleet = fleet_of(two_models);
	const pr_model_t *small = pr_fleet_model(fleet, PR_SLICE("small"));
	pr_plan_t plan = { .steps_count = 2, .rule = PR_RULE_EXPLORE };

	plan.steps[0].version = pr_model_version(small, PR_SLICE("s1"));
	plan.steps[1].version = plan.steps[0].version;
	plan.rate = true;
	assert_false(pr_policy_is_evidence(&plan, 0));
	plan.uniform = true;
	assert_true(pr_policy_is_evidence(&plan, 0));
	assert_false(pr_policy_is_evidence(&plan, 1));
	plan.uniform = false;
	plan.steps[0].version = pr_model_version(small, PR_SLICE("s2"));
	assert_true(pr_policy_is_evidence(&plan, 0));
	plan.rate = false;
	assert_false(pr_policy_is_evidence(&plan, 0));
	pr_fleet_free(fleet);
}

/* Guards against the choice of a cheap version without ratings, of an expensive
 * one although ratings show that the cheap one suffices, and against a change
 * of quality that goes unnoticed. */
static void plan_follows_ratings(void **state)
{
	pr_policy_options_t options = PR_POLICY_OPTIONS_INIT;
	pr_fleet_t *fleet = fleet_of(two_models);
	pr_policy_query_t query = make_query(fleet);
	pr_policy_t policy;
	pr_rand_t rand;
	pr_plan_t plan;
	int ratings = 0;

	options.explore_share = options.explore_promising_share = 0;
	assert_int_equal(pr_policy_init(&policy, &options), 0);
	pr_rand_init(&rand, 1);
	assert_int_equal(pr_policy_plan(&policy, &plan, &query, &rand, 0), 0);
	assert_int_equal(plan.rule, PR_RULE_REFERENCE);
	rate_many(&policy, "w1", "large", "l1", 190, 10);
	rate_many(&policy, "w1", "small", "s1", 485, 15);
	assert_int_equal(pr_policy_plan(&policy, &plan, &query, &rand, 0), 0);
	assert_int_equal(plan.rule, PR_RULE_SINGLE);
	assert_string_equal(plan.steps[0].version->name, "s1");
	while (ratings < 200) {
		rate_many(&policy, "w1", "small", "s1", ratings % 2, 1);
		ratings++;
		pr_policy_plan(&policy, &plan, &query, &rand, 0);
		if (plan.rule == PR_RULE_REFERENCE)
			break;
	}
	assert_true(ratings < 40);
	pr_rand_finish(&rand);
	pr_policy_finish(&policy);
	pr_fleet_free(fleet);
}

/* Guards against a cascade that accepts answers of low confidence, that ignores
 * the delay of an escalation, or that is planned for a stream, which cannot be
 * escalated. */
static void cascade_uses_confidence(void **state)
{
	pr_policy_options_t options = PR_POLICY_OPTIONS_INIT;
	pr_fleet_t *fleet = fleet_of(two_models);
	pr_policy_query_t query = make_query(fleet);
	pr_rating_t rating = { .workspace = PR_SLICE("w1"),
			       .request_class = PR_SLICE("tag"),
			       .model = PR_SLICE("small"),
			       .version = PR_SLICE("s1") };
	pr_policy_t policy;
	pr_rand_t rand;
	pr_plan_t plan = { .rate = true };
	pr_str_t text = PR_STR_INIT;

	options.explore_share = options.explore_promising_share = 0;
	assert_int_equal(pr_policy_init(&policy, &options), 0);
	pr_rand_init(&rand, 1);
	rate_many(&policy, "w1", "large", "l1", 390, 10);
	for (uint64_t i = 1; i <= 800; i++) {
		rating.request = i;
		rating.good = i % 4 != 0;
		pr_policy_add_pending(&policy, &plan, i,
				      rating.good ? 0.9 : 0.2, true);
		pr_policy_add_rating(&policy, &rating, 0);
	}
	assert_int_equal(pr_policy_plan(&policy, &plan, &query, &rand, 0), 0);
	assert_int_equal(plan.rule, PR_RULE_CASCADE);
	assert_int_equal(plan.steps_count, 2);
	assert_true(pr_policy_is_sufficient(&plan.steps[0], 0.9));
	assert_false(pr_policy_is_sufficient(&plan.steps[0], 0.2));
	assert_false(pr_policy_is_sufficient(&plan.steps[0], -1));
	assert_true(pr_policy_is_sufficient(&plan.steps[1], -1));
	assert_int_equal(pr_plan_explain(&plan, &text), 0);
	assert_non_null(strstr(text.ptr, "\"rule\":\"cascade\""));
	/* The cost of the delay exceeds what the cascade saves. */
	query.interactive = true;
	query.answer_s = 1000;
	assert_int_equal(pr_policy_plan(&policy, &plan, &query, &rand, 0), 0);
	assert_int_equal(plan.rule, PR_RULE_REFERENCE);
	query.interactive = false;
	query.stream = true;
	assert_int_equal(pr_policy_plan(&policy, &plan, &query, &rand, 0), 0);
	assert_int_equal(plan.steps_count, 1);
	assert_string_equal(plan.steps[0].version->name, "l1");
	pr_str_finish(&text);
	pr_rand_finish(&rand);
	pr_policy_finish(&policy);
	pr_fleet_free(fleet);
}

/* Guards against an estimate that ignores the ratings of other workspaces, or
 * that the own ratings of a workspace cannot outweigh, and against a report
 * without bounds. */
static void own_ratings_outweigh_shared_ones(void **state)
{
	pr_policy_options_t options = PR_POLICY_OPTIONS_INIT;
	pr_quality_report_t report;
	pr_policy_t policy;
	double shared, own, low;

	assert_int_equal(pr_policy_init(&policy, &options), 0);
	rate_many(&policy, "w2", "small", "s1", 300, 0);
	pr_policy_estimate(&policy, PR_SLICE("w1"), PR_SLICE("tag"),
			   PR_SLICE("small"), PR_SLICE("s1"), 0, &shared, &low);
	assert_true(shared > 0.9);
	rate_many(&policy, "w1", "small", "s1", 0, 60);
	pr_policy_estimate(&policy, PR_SLICE("w1"), PR_SLICE("tag"),
			   PR_SLICE("small"), PR_SLICE("s1"), 0, &own, &low);
	assert_true(own < 0.4 && low < own);
	pr_policy_report(&policy, &report);
	assert_true(report.ratings == 0 && report.low == 0 && report.high == 1);
	policy.uniform_good = 95;
	policy.uniform_bad = 5;
	pr_policy_report(&policy, &report);
	assert_true(report.low > 0.88 && report.low < 0.90);
	assert_true(report.high > 0.97 && report.high < 0.99);
	pr_policy_finish(&policy);
}

static pr_fleet_t *random_fleet(pr_rand_t *rand)
{
	static const char *const states[] = { "proven", "rolling", "halted",
					      "withdrawn" };
	static const char *const models[] = { "small", "large" };
	pr_str_t text = PR_STR_INIT;
	pr_fleet_t *fleet;

	pr_str_appendf(&text, "models:\n");
	for (int m = 0; m < 2; m++) {
		unsigned int count = 1 + pr_rand_below(rand, 12);

		pr_str_appendf(&text, "- name: %s\n  versions:\n", models[m]);
		for (unsigned int i = 0; i < count; i++)
			pr_str_appendf(&text,
				       "  - {name: v%u, state: %s, share: 5000,"
				       " replaces: v%u, price_in: %u}\n",
				       i, states[pr_rand_below(rand, 4)],
				       pr_rand_below(rand, count),
				       pr_rand_below(rand, 100));
	}
	fleet = fleet_of(pr_str_cstr(&text));
	pr_str_finish(&text);
	return fleet;
}

static bool draw_half(void *data, const pr_model_t *model,
		      const pr_version_t *version)
{
	return pr_rand_below(data, 2) == 0;
}

/* Plans with the configuration `fleet` and, if `check` is set, checks each step
 * with `current`. Returns the number of remaining steps whose version is
 * withdrawn or absent in `current`. */
static int count_withdrawn(pr_policy_t *policy, const pr_fleet_t *fleet,
			   const pr_fleet_t *current, pr_rand_t *rand,
			   bool check)
{
	static const char *const workspaces[] = { "w1", "w2", "w3" };
	pr_policy_query_t query = make_query(fleet);
	pr_plan_t plan;
	char name[16];
	int seen = 0;

	query.workspace = pr_slice_of(workspaces[pr_rand_below(rand, 3)]);
	query.stream = pr_rand_below(rand, 2);
	query.draw = draw_half;
	query.draw_data = rand;
	if (pr_rand_below(rand, 3) == 0) {
		snprintf(name, sizeof(name), "v%u", pr_rand_below(rand, 13));
		query.session_model = PR_SLICE("large");
		query.session_version = pr_slice_of(name);
	}
	if (pr_policy_plan(policy, &plan, &query, rand, 0))
		return 0;
	for (unsigned int i = 0; i < plan.steps_count; i++) {
		pr_slice_t model = pr_slice_of(plan.steps[i].model->name);
		pr_slice_t version = pr_slice_of(plan.steps[i].version->name);
		const pr_model_t *now = pr_fleet_model(current, model);
		const pr_version_t *entry = pr_model_version(now, version);

		/* Each step is permitted by the configuration of the plan. */
		assert_int_equal(pr_policy_permitted(fleet, query.workspace,
						     model, version,
						     plan.steps[i].basis, true),
				 PR_PERMITTED);
		if (check &&
		    pr_policy_permitted(current, query.workspace, model,
					version, plan.steps[i].basis, true))
			continue;
		seen += !entry || entry->state == PR_VERSION_WITHDRAWN;
	}
	return seen;
}

/* Guards against the use of a withdrawn version: by new requests, sessions and
 * draws, and by an attempt after a change of the configuration. Without the
 * check before the attempt, the same runs reach withdrawn versions. */
static void withdrawn_is_never_used(void **state)
{
	pr_policy_options_t options = PR_POLICY_OPTIONS_INIT;
	int with_check = 0, without_check = 0;
	pr_policy_t policy;
	pr_rand_t rand;

	options.explore_share = 0.3;
	assert_int_equal(pr_policy_init(&policy, &options), 0);
	pr_rand_init(&rand, 42);
	for (int i = 0; i < 150; i++) {
		pr_fleet_t *fleet = random_fleet(&rand);
		pr_fleet_t *current = random_fleet(&rand);

		assert_non_null(fleet);
		assert_non_null(current);
		for (int j = 0; j < 20; j++) {
			assert_int_equal(count_withdrawn(&policy, fleet, fleet,
							 &rand, false),
					 0);
			with_check += count_withdrawn(&policy, fleet, current,
						      &rand, true);
			without_check += count_withdrawn(&policy, fleet,
							 current, &rand, false);
		}
		pr_fleet_free(fleet);
		pr_fleet_free(current);
	}
	assert_int_equal(with_check, 0);
	assert_true(without_check > 0);
	pr_rand_finish(&rand);
	pr_policy_finish(&policy);
}

/* Guards against state that grows with the number of workspaces, classes and
 * versions; prints its size and the CPU time of a plan with 25 versions. */
static void state_is_bounded(void **state)
{
	pr_policy_options_t options = PR_POLICY_OPTIONS_INIT;
	pr_str_t text = PR_STR_INIT;
	pr_fleet_t *fleet;
	pr_policy_t policy;
	pr_rand_t rand;
	pr_plan_t plan;
	clock_t start;

	pr_str_appendf(&text, "models:\n- name: small\n  versions:\n");
	for (int i = 0; i < 25; i++)
		pr_str_appendf(&text, "  - {name: v%d, price_in: %d}\n", i, i);
	fleet = fleet_of(pr_str_cstr(&text));
	assert_non_null(fleet);
	assert_int_equal(pr_policy_init(&policy, &options), 0);
	pr_rand_init(&rand, 7);
	for (int i = 0; i < 30000; i++) {
		char workspace[16], version[16];

		snprintf(workspace, sizeof(workspace), "w%d", i % 3000);
		snprintf(version, sizeof(version), "v%d", i % 25);
		rate_many(&policy, workspace, "small", version, 1, 0);
	}
	assert_true(policy.evicted > 0);
	start = clock();
	for (int i = 0; i < 20000; i++) {
		pr_policy_query_t query = make_query(fleet);

		pr_policy_plan(&policy, &plan, &query, &rand, 0);
	}
	printf("plan with 25 versions: %.2f us CPU; state: %zu bytes\n",
	       (double)(clock() - start) / CLOCKS_PER_SEC * 1e6 / 20000,
	       pr_policy_bytes(&policy));
	pr_str_finish(&text);
	pr_rand_finish(&rand);
	pr_policy_finish(&policy);
	pr_fleet_free(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(permission_follows_state_and_basis),
		cmocka_unit_test(evidence_of_proven_versions_is_uniform),
		cmocka_unit_test(plan_follows_ratings),
		cmocka_unit_test(cascade_uses_confidence),
		cmocka_unit_test(own_ratings_outweigh_shared_ones),
		cmocka_unit_test(withdrawn_is_never_used),
		cmocka_unit_test(state_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
