/* Tests of src/config: the document's schema and look-ups. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "pistachiorack/config.h"
#include "pistachiorack/error.h"

static const char good[] =
	"format: 1\n"
	"defaults: {models: [small], quality_target: 0.9, first_token_ms: "
	"990,\n"
	"  between_tokens_ms: 35, objective: 0.95}\n"
	"models:\n"
	"- name: small\n"
	"  versions: [{name: v1, price_in: 10, price_out: 20},\n"
	"    {name: v2, state: rolling, share: 100, replaces: v1}]\n"
	"- name: large\n"
	"  versions: [{name: v1}]\n"
	"zones: [{name: prai, region: semenanjung},\n"
	"  {name: kuching, region: borneo, state: out}]\n"
	"upstreams:\n"
	"- {name: e1, address: 127.0.1.1, port: 9000, zone: prai,\n"
	"   serves: [small@v1]}\n"
	"- {name: e2, address: 127.0.1.2, port: 9000, zone: kuching,\n"
	"   serves: [small@v1]}\n"
	"workspaces: [{name: w1}, {name: w2}]\n"
	"exceptions:\n"
	"- {workspace: w2, reason: summaries need it, models: [large]}\n";

/* Guards against a model that a workspace may not use, and against work for
 * a zone that was taken out. */
static void lookups_follow_defaults_and_exceptions(void **state)
{
	pr_fleet_t *fleet;

	assert_int_equal(
		pr_fleet_parse(&fleet, "fleet.yaml", pr_slice_of(good)), 0);
	assert_true(pr_fleet_model_allowed(fleet, PR_SLICE("w1"),
					   PR_SLICE("small")));
	assert_false(pr_fleet_model_allowed(fleet, PR_SLICE("w1"),
					    PR_SLICE("large")));
	assert_false(pr_fleet_model_allowed(fleet, PR_SLICE("w2"),
					    PR_SLICE("small")));
	assert_true(pr_fleet_upstream_usable(fleet, &fleet->upstreams[0]));
	assert_false(pr_fleet_upstream_usable(fleet, &fleet->upstreams[1]));
	pr_fleet_free(fleet);
}

/* Guards against a document that is accepted with a misspelt field, and
 * against an error that does not name the place. */
static void bad_documents_are_refused_with_place(void **state)
{
	static const char unknown[] = "format: 1\ndefualts: {}\n";
	pr_fleet_t *fleet;

	assert_int_equal(
		pr_fleet_parse(&fleet, "fleet.yaml", pr_slice_of(unknown)),
		PR_EPARSE);
	assert_non_null(strstr(pr_error_last(), "fleet.yaml"));
	assert_non_null(strstr(pr_error_last(), "defualts"));
	assert_non_null(strstr(pr_error_last(), "line"));
}

/* Guards against a crash on a file that is empty while it is being rewritten.
 */
static void empty_documents_are_refused(void **state)
{
	static const char *const texts[] = { "", "\n", "# comment\n", "---\n" };
	pr_fleet_t *fleet;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		assert_int_equal(pr_fleet_parse(&fleet, "fleet.yaml",
						pr_slice_of(texts[i])),
				 PR_EPARSE);
		assert_null(fleet);
	}
	assert_int_equal(
		pr_fleet_parse(&fleet, "fleet.yaml", pr_slice(NULL, 0)),
		PR_EPARSE);
	assert_non_null(strstr(pr_error_last(), "fleet.yaml: "));
}

static const char faulty[] =
	"format: 2\n"
	"defaults: {models: [small, huge], quality_target: 1.5,\n"
	"  first_token_ms: 990, between_tokens_ms: 35, objective: 0.95}\n"
	"models:\n"
	"- name: small\n"
	"  versions:\n"
	"  - {name: v1, price_in: 1, price_out: 1}\n"
	"  - {name: v2, state: rolling, share: 6000, replaces: v9,\n"
	"     price_in: 1, price_out: 1}\n"
	"  - {name: v3, state: rolling, share: 6000, replaces: v1,\n"
	"     price_in: 1, price_out: 1}\n"
	"  - {name: v1, state: withdrawn, share: 10001}\n"
	"zones: [{name: prai, region: r}, {name: prai, region: r}]\n"
	"upstreams:\n"
	"- {name: e1, address: a, port: 1, zone: ipoh,\n"
	"   serves: [small@v1, small@v2, small@v7]}\n"
	"- {name: e2, address: a, port: 1, zone: prai,\n"
	"   slots: 4, cold_slots: 5}\n"
	"workspaces:\n"
	"- {name: w1, keys: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]}\n"
	"- {name: w2, keys: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]}\n"
	"exceptions:\n"
	"- {workspace: w9, reason: ' ', quality_target: 2}\n";

static const struct {
	const char *path;
	unsigned int line;
} expected[] = {
	{ "format", 1 },
	{ "defaults.quality_target", 2 },
	{ "defaults.models[1]", 2 },
	{ "models[0].versions[3].name", 12 },
	{ "models[0].versions[1].replaces", 8 },
	{ "models[0].versions[2]", 10 },
	{ "models[0].versions[3].share", 12 },
	{ "models[0].versions", 7 },
	{ "zones[1].name", 13 },
	{ "upstreams[0].zone", 15 },
	{ "upstreams[0].serves[2]", 16 },
	{ "upstreams[1].cold_slots", 18 },
	{ "upstreams[1].address", 17 },
	{ "workspaces[1].keys[0]", 21 },
	{ "exceptions[0].workspace", 23 },
	{ "exceptions[0].reason", 23 },
	{ "exceptions[0].quality_target", 23 },
};

/* Guards against a check that stops at the first fault, misses one, or names
 * the wrong place. */
static void check_finds_every_fault(void **state)
{
	pr_findings_t findings = { 0 };
	pr_fleet_t *fleet;

	assert_int_equal(pr_fleet_parse(&fleet, "f", pr_slice_of(faulty)), 0);
	assert_int_equal(pr_fleet_check(&findings, fleet, pr_slice_of(faulty)),
			 PR_EINVALID);
	for (size_t i = 0; i < sizeof(expected) / sizeof(*expected); i++) {
		bool found = false;

		for (unsigned int j = 0; j < findings.count; j++)
			found |= !strcmp(findings.items[j].path,
					 expected[i].path) &&
				 findings.items[j].line == expected[i].line;
		if (!found)
			fail_msg("no finding at %s, line %u", expected[i].path,
				 expected[i].line);
	}
	assert_int_equal(findings.errors, sizeof(expected) / sizeof(*expected));
	pr_findings_finish(&findings);
	pr_fleet_free(fleet);
}

static pr_fleet_t *edited(const char *from, const char *to)
{
	char text[2048];
	const char *at = strstr(good, from);
	pr_fleet_t *fleet;

	assert_non_null(at);
	snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - good), good, to,
		 at + strlen(from));
	assert_int_equal(pr_fleet_parse(&fleet, "f", pr_slice_of(text)), 0);
	return fleet;
}

/* Guards against a difference that is missed or reported for mere layout, and
 * against a clash that two operators are not told. */
static void diff_names_changes_and_clashes(void **state)
{
	pr_changes_t mine = { 0 }, theirs = { 0 }, clash = { 0 };
	pr_fleet_t *base = edited("format: 1", "format:   1");
	pr_fleet_t *a = edited("share: 100", "share: 500");
	pr_fleet_t *b = edited("share: 100", "share: 900");
	pr_fleet_t *c = edited(", state: out", "");

	assert_int_equal(pr_fleet_diff(&mine, base, a), 0);
	assert_int_equal(mine.count, 1);
	assert_string_equal(mine.items[0].path,
			    "models/small/versions/v2/share");
	assert_string_equal(mine.items[0].before, "100");
	assert_string_equal(mine.items[0].after, "500");
	assert_int_equal(pr_fleet_diff(&theirs, base, b), 0);
	assert_int_equal(pr_changes_clash(&clash, &mine, &theirs), 0);
	assert_int_equal(clash.count, 1);
	pr_changes_finish(&clash);
	pr_changes_finish(&theirs);
	assert_int_equal(pr_fleet_diff(&theirs, base, c), 0);
	assert_string_equal(theirs.items[0].path, "zones/kuching/state");
	assert_int_equal(pr_changes_clash(&clash, &mine, &theirs), 0);
	assert_int_equal(clash.count, 0);
	pr_changes_finish(&theirs);
	pr_changes_finish(&mine);
	pr_fleet_free(base);
	pr_fleet_free(a);
	pr_fleet_free(b);
	pr_fleet_free(c);
}

/* Guards against numbers that nobody would write in the printed document. */
static void numbers_are_printed_short(void **state)
{
	pr_fleet_t *fleet;
	pr_str_t text = PR_STR_INIT;

	assert_int_equal(
		pr_fleet_parse(&fleet, "fleet.yaml", pr_slice_of(good)), 0);
	assert_int_equal(pr_fleet_print(fleet, &text), 0);
	assert_non_null(strstr(text.ptr, "quality_target: 0.9\n"));
	pr_str_finish(&text);
	pr_fleet_free(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(numbers_are_printed_short),
		cmocka_unit_test(lookups_follow_defaults_and_exceptions),
		cmocka_unit_test(bad_documents_are_refused_with_place),
		cmocka_unit_test(empty_documents_are_refused),
		cmocka_unit_test(check_finds_every_fault),
		cmocka_unit_test(diff_names_changes_and_clashes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
