/* Tests of src/config: the document's schema and look-ups. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(lookups_follow_defaults_and_exceptions),
		cmocka_unit_test(bad_documents_are_refused_with_place),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
