/* Tests of the review of fleet configurations. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "pistachiorack/config.h"
#include "review_documents.h"

#define CHANGES 6000

static int review(pr_findings_t *out, pr_slice_t text)
{
	pr_fleet_t *fleet = NULL;
	int rc = pr_fleet_parse(&fleet, "test", text);

	if (!rc) {
		pr_fleet_check(out, fleet, text);
		assert_int_equal(pr_fleet_review(out, fleet), 0);
		pr_findings_locate(out, text);
	}
	pr_fleet_free(fleet);
	return rc;
}

/* Guards against reports about a document that is as it should be. */
static void good_document_has_no_findings(void **state)
{
	pr_findings_t findings = { 0 };

	assert_int_equal(review(&findings, pr_slice_of(fleet_document)), 0);
	for (unsigned int i = 0; i < findings.count; i++)
		print_message("%s: %s\n", findings.items[i].path,
			      findings.items[i].text);
	assert_int_equal(findings.count, 0);
	pr_findings_finish(&findings);
}

/* Guards against entries without traffic, and against hosts that refuse a
 * document because of them: all are warnings. */
static void unreachable_entries_are_warnings(void **state)
{
	static const review_case_t cases[] = {
		{ "share: 500", "share: 0", 0, "models[0].versions[1]", 13,
		  "share of 0" },
		{ "{name: v1, price_in: 1, price_out: 1}\n  -",
		  "{name: v1, state: halted, price_in: 1, price_out: 1}\n  -",
		  0, "models[0].versions[1]", 13, "which is not proven" },
		{ "versions: [{name: v1,",
		  "versions: [{name: v1, state: halted,", 0, "models[1]", 15,
		  "no version of 'large'" },
		{ "reason: trial, models: [large]",
		  "reason: trial, models: [small]", 0, "models[1]", 15,
		  "allowed neither" },
		{ "models: [small]", "models: [small, small]", 0,
		  "defaults.models[1]", 3, "listed twice" },
		{ "reason: trial, models: [large]", "reason: trial", 0,
		  "exceptions[0]", 33, "changes nothing" },
		{ "{name: ipoh, region: r}",
		  "{name: ipoh, region: r, state: out}", 0,
		  "models[1].versions[0]", 16, "all upstreams of 'large@v1'" },
		{ "{name: ipoh, region: r}",
		  "{name: ipoh, region: r}, {name: muar, region: r}", 0,
		  "zones[2]", 17, "'muar'" },
		{ "serves: [billing]", "serves: []", 0, "upstreams[2].serves",
		  24, "serves nothing" },
		{ "serves: [billing]", "serves: []", 0, "services[0]", 31,
		  "serves 'billing'" },
		{ "serves: [large@v1]", "serves: [large@v1, large@v1]", 0,
		  "upstreams[1].serves[1]", 22, "listed twice" },
		{ "- name: shed\n  keys", "- name: shed\n- name: hut\n  keys",
		  0, "workspaces[1].keys", 28, "'shed' has no key" },
		{ "in_flight: 10", "in_flight: 50", 0,
		  "defaults.limits.in_flight", 8, "above the slots" },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const review_case_t *wanted = &cases[i];
		pr_findings_t findings = { 0 };
		pr_str_t text = PR_STR_INIT;
		const pr_finding_t *found;

		replace_once(&text, fleet_document, wanted->from, wanted->to);
		assert_int_equal(review(&findings, pr_str_slice(&text)), 0);
		found = find_finding(&findings, wanted->path, wanted->text);
		if (!found) {
			for (unsigned int j = 0; j < findings.count; j++)
				print_message("%s: %s\n",
					      findings.items[j].path,
					      findings.items[j].text);
			fail_msg("no finding at %s for %s", wanted->path,
				 wanted->to);
			return;
		}
		assert_int_equal(found->level, PR_FINDING_WARNING);
		if (found->line != wanted->line)
			fail_msg("%s: line %u, expected %u", wanted->path,
				 found->line, wanted->line);
		pr_findings_finish(&findings);
		pr_str_finish(&text);
	}
}

static void check_effect(const char *from, const char *to, const char *path,
			 const char *effect)
{
	pr_fleet_t *before = NULL, *after = NULL;
	pr_changes_t changes = { 0 };
	pr_str_t text = PR_STR_INIT;

	replace_once(&text, fleet_document, from, to);
	assert_int_equal(
		pr_fleet_parse(&before, "before", pr_slice_of(fleet_document)),
		0);
	assert_int_equal(pr_fleet_parse(&after, "after", pr_str_slice(&text)),
			 0);
	assert_int_equal(pr_fleet_diff(&changes, before, after), 0);
	assert_int_equal(pr_fleet_effects(&changes), 0);
	assert_int_equal(changes.count, 1);
	assert_string_equal(changes.items[0].path, path);
	if (!strstr(changes.items[0].effect, effect))
		fail_msg("%s: %s", path, changes.items[0].effect);
	pr_changes_finish(&changes);
	pr_fleet_free(before);
	pr_fleet_free(after);
	pr_str_finish(&text);
}

/* Guards against changes whose effect is told wrongly. */
static void changes_have_their_effect(void **state)
{
	check_effect("state: rolling", "state: withdrawn",
		     "models/small/versions/v2/state", "move once");
	check_effect("share: 500", "share: 900",
		     "models/small/versions/v2/share", "new sessions");
	check_effect("port: 2", "port: 9", "upstreams/e2/port", "new port");
	check_effect("models: [large]", "models: [small]",
		     "exceptions/yard/models", "may use");
	check_effect("reason: trial", "reason: contract",
		     "exceptions/yard/reason", "none");
	check_effect("{name: ipoh, region: r}",
		     "{name: ipoh, region: r, state: out}", "zones/ipoh/state",
		     "no new work");
	check_effect("in_flight: 10", "in_flight: 11",
		     "defaults/limits/in_flight", "refused");
}

/* Guards against a crash on any document, however it is broken. */
static void changed_documents_never_crash(void **state)
{
	unsigned int readable = 0, found = 0;
	uint64_t seed = change_seed();
	pr_fleet_t *before = NULL;
	pr_rand_t rand;

	print_message("seed %llu, %d changes\n", (unsigned long long)seed,
		      CHANGES);
	assert_int_equal(
		pr_fleet_parse(&before, "before", pr_slice_of(fleet_document)),
		0);
	assert_int_equal(pr_rand_init(&rand, seed), 0);
	for (int i = 0; i < CHANGES; i++) {
		pr_findings_t findings = { 0 };
		pr_changes_t changes = { 0 };
		pr_fleet_t *after = NULL;
		pr_str_t text = PR_STR_INIT;

		change_document(&text, fleet_document, &rand);
		readable += !review(&findings, pr_str_slice(&text));
		found += findings.count > 0;
		if (!pr_fleet_parse(&after, "after", pr_str_slice(&text)) &&
		    !pr_fleet_diff(&changes, before, after))
			assert_int_equal(pr_fleet_effects(&changes), 0);
		pr_fleet_free(after);
		pr_findings_finish(&findings);
		pr_changes_finish(&changes);
		pr_str_finish(&text);
	}
	pr_rand_finish(&rand);
	pr_fleet_free(before);
	print_message("%u readable, %u with findings\n", readable, found);
	/* Else the changes would reach the parser only. */
	assert_true(readable > CHANGES / 20);
	assert_true(found > CHANGES / 50);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(good_document_has_no_findings),
		cmocka_unit_test(unreachable_entries_are_warnings),
		cmocka_unit_test(changes_have_their_effect),
		cmocka_unit_test(changed_documents_never_crash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
