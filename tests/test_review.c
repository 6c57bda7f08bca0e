/* Tests of the checks of operators' documents. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "platform/adapter.h"
#include "review_documents.h"
#include "routing/review.h"

#define CHANGES 6000

static int review(pr_findings_t *out, pr_slice_t text,
		  const pr_review_input_t *input)
{
	pr_routing_t *routing = NULL;
	int rc;

	assert_int_equal(pr_adapter_routing_check(out, text), 0);
	rc = pr_adapter_routing(&routing, text);
	if (!rc)
		assert_int_equal(pr_routing_review(out, routing, input), 0);
	pr_routing_unref(routing);
	pr_findings_locate(out, text);
	return rc;
}

static pr_review_input_t plain_input(void)
{
	return (pr_review_input_t){ .names = pr_adapter_part_names() };
}

static void check_case(const review_case_t *wanted,
		       const pr_review_input_t *input)
{
	pr_findings_t findings = { 0 };
	pr_str_t text = PR_STR_INIT;
	const pr_finding_t *found;

	replace_once(&text, routing_document, wanted->from, wanted->to);
	assert_int_equal(review(&findings, pr_str_slice(&text), input), 0);
	found = find_finding(&findings, wanted->path, wanted->text);
	if (!found) {
		for (unsigned int i = 0; i < findings.count; i++)
			print_message("%s: %s\n", findings.items[i].path,
				      findings.items[i].text);
		fail_msg("no finding at %s for %s", wanted->path, wanted->to);
		return;
	}
	assert_int_equal(found->level, wanted->level);
	if (found->line != wanted->line)
		fail_msg("%s: line %u, expected %u", wanted->path, found->line,
			 wanted->line);
	assert_true(*found->effect);
	pr_findings_finish(&findings);
	pr_str_finish(&text);
}

/* Guards against reports about a document that is as it should be. */
static void good_document_has_no_findings(void **state)
{
	pr_names_t regions = { 0 };
	pr_review_input_t input = plain_input();
	pr_findings_t findings = { 0 };

	pr_names_add(&regions, "north");
	pr_names_add(&regions, "south");
	input.has_repeat_budget = true;
	input.repeats_ratio = 0.9;
	input.regions = &regions;
	assert_int_equal(
		review(&findings, pr_slice_of(routing_document), &input), 0);
	for (unsigned int i = 0; i < findings.count; i++)
		print_message("%s: %s\n", findings.items[i].path,
			      findings.items[i].text);
	assert_int_equal(findings.count, 0);
	pr_findings_finish(&findings);
	free(regions.items[0]);
	free(regions.items[1]);
	free((void *)regions.items);
}

#define W PR_FINDING_WARNING
#define E PR_FINDING_ERROR

/* Guards against entries that never take traffic going out unnoticed. */
static void unreachable_entries_are_found(void **state)
{
	static const review_case_t cases[] = {
		{ "/chat/", "/ledger/", E, "routes[1]", 11, "comes first" },
		{ "\"host\": \"api.example\",\n   \"prefix\": \"/chat/\"",
		  "\"host\": \"API.Example\",\n   \"prefix\": \"/ledger/\"", E,
		  "routes[1]", 11, "routes[0] 'ledger'" },
		{ "\"/chat/\"", "\"chat/\"", E, "routes[1].prefix", 12,
		  "must begin with" },
		{ "\"/chat/\"", "\"/chat/?a=b\"", E, "routes[1].prefix", 12,
		  "without a query" },
		{ "\"/chat/\"", "\"/chat\"", W, "routes[1].prefix", 12,
		  "does not end" },
		{ "api.example", "api.example:80", E, "routes[0].host", 4,
		  "has a port" },
		{ "\"service\": \"ledger\"", "\"service\": \"leger\"", E,
		  "routes[0].service", 6, "'leger' has no entry" },
		{ "\"service\": \"ledger\"", "\"service\": \"leger\"", W,
		  "services[0]", 21, "no route names service 'ledger'" },
		{ "\"service\": \"ledger\", ", "", E, "routes[0].service", 4,
		  "no service is named" },
		{ "\"model-b\", \"weight\"", "\"model-c\", \"weight\"", E,
		  "routes[1].traffic-split[1].service", 19, "'model-c'" },
		{ "\"weight\": 10", "\"weight\": 0", W,
		  "routes[1].traffic-split[1].weight", 19, "is 0" },
		{ "\"weight\": 90},\n    {\"service\": \"model-b\", "
		  "\"weight\": 10}",
		  "\"weight\": 0}", E, "routes[1].traffic-split", 17,
		  "all weights are 0" },
		{ "\"model-b\", \"weight\"", "\"model\", \"weight\"", W,
		  "routes[1].traffic-split[1].service", 19, "listed twice" },
		{ "[\"key-3\"]", "[]", W, "tenants[1].api-keys", 32,
		  "'globex' has no key" },
		{ "\"sizes\": [\"small\", \"large\"]",
		  "\"sizes\": [\"small\", \"small\"]", W, "routes[1].sizes[1]",
		  16, "'small' is listed twice" },
		{ "[\"north\"]", "[\"east\"]", W, "routes[1].allowed-regions",
		  15, "1 of 2 workspaces: 'acme'" },
	};
	pr_review_input_t input = plain_input();

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		check_case(&cases[i], &input);
}

/* Guards against values that contradict each other going out unnoticed. */
static void contradictions_are_found(void **state)
{
	static const review_case_t cases[] = {
		{ "\"name\": \"chat\"", "\"name\": \"ledger\"", E,
		  "routes[1].name", 11, "name of routes[0]" },
		{ "\"name\": \"model-b\"", "\"name\": \"model\"", E,
		  "services[2].name", 25, "name of services[1]" },
		{ "\"globex\"", "\"acme\"", E, "tenants[1].name", 32,
		  "name of tenants[0]" },
		{ "\"globex\"", "\"\"", E, "tenants[1].name", 32, "empty" },
		{ "\"key-3\"", "\"key-1\"", E, "tenants[1].api-keys[0]", 32,
		  "two workspaces" },
		{ "\"key-2\"", "\"key-1\"", W, "tenants[0].api-keys[1]", 30,
		  "listed twice" },
		{ "2500", "300", W, "routes[0].timeout-ms", 6,
		  "below the objective" },
		{ "20000", "700", W, "routes[1].timeout-ms", 13,
		  "below the longest pause" },
		{ "\"target-latency-ms\": 2000", "\"target-latency-ms\": 0", W,
		  "routes[1].target-latency-ms", 13, "is 0 or absent" },
		{ "\"gap-aim-ms\": 800", "\"gap-aim-ms\": 0", W,
		  "routes[1].gap-aim-ms", 14, "is 0 or absent" },
		{ "\"stream-resume\": false", "\"stream-resume\": true", W,
		  "routes[0].stream-resume", 9, "without streams" },
		{ "\"max-attempts\": 2,\n   \"stream-resume\": true",
		  "\"max-attempts\": 1,\n   \"stream-resume\": true", W,
		  "routes[1].max-attempts", 14, "single attempt" },
		{ "\"idle-timeout-ms\": 15000", "\"idle-timeout-ms\": 900", W,
		  "limits.idle-timeout-ms", 28, "shorter than" },
		{ "\"max-body-bytes\": 100000", "\"max-body-bytes\": 0", W,
		  "limits.max-body-bytes", 27, "is 0 or absent" },
		{ "\"max-connections\": 40", "\"max-connections\": 0", W,
		  "services[2].max-connections", 25, "is 0 or absent" },
	};
	pr_review_input_t input = plain_input();

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		check_case(&cases[i], &input);
}

/* Guards against fields that hosts read as absent, or not at all. */
static void wrong_shapes_are_found(void **state)
{
	static const review_case_t cases[] = {
		{ "2500", "\"2.5s\"", E, "routes[0].timeout-ms", 6,
		  "whole number" },
		{ "2500", "-1", E, "routes[0].timeout-ms", 6, "whole number" },
		{ "2500", "0.5", E, "routes[0].timeout-ms", 6, "whole number" },
		{ "\"unsafe\"", "\"safer\"", E, "routes[0].kind", 5,
		  "must be \"safe\"" },
		{ "\"anonymous\": false", "\"anonymous\": \"no\"", E,
		  "routes[0].anonymous", 8, "true or false" },
		{ "\"priority\": 2", "\"prioritty\": 2", W,
		  "routes[0].prioritty", 7, "unknown" },
		{ "3.5", "\"3.5\"", E, "services[0].cold-start-s", 22,
		  "number" },
		{ "[\"key-3\"]", "\"key-3\"", E, "tenants[1].api-keys", 32,
		  "list of texts" },
		{ "[\"key-3\"]", "[\"key-3\", 4]", E, "tenants[1].api-keys[1]",
		  32, "must be a text" },
		{ " \"version\": 7,\n", "", E, "version", 1, "missing" },
		{ "\"version\": 7", "\"version\": 7, \"version\": 8", E, "", 2,
		  "duplicate" },
		{ "\"limits\": {", "\"limits\": 3, \"x\": {", E, "limits", 26,
		  "must be an object" },
	};
	pr_review_input_t input = plain_input();

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		check_case(&cases[i], &input);
}

/* Guards against a syntax error without its line. */
static void syntax_errors_have_a_line(void **state)
{
	pr_review_input_t input = plain_input();
	pr_findings_t findings = { 0 };
	pr_str_t text = PR_STR_INIT;

	replace_once(&text, routing_document, "2500,", "2500");
	assert_int_not_equal(review(&findings, pr_str_slice(&text), &input), 0);
	assert_int_equal(findings.count, 1);
	assert_int_equal(findings.errors, 1);
	assert_int_equal(findings.items[0].line, 7);
	pr_findings_finish(&findings);
	assert_int_not_equal(review(&findings, PR_SLICE(""), &input), 0);
	assert_int_equal(findings.errors, 1);
	pr_findings_finish(&findings);
	assert_int_not_equal(review(&findings, PR_SLICE("[1, 2]"), &input), 0);
	assert_int_equal(findings.errors, 1);
	pr_findings_finish(&findings);
	pr_str_finish(&text);
}

/* Guards against contradictions with the settings, and against findings about
 * figures that the settings do not state. */
static void settings_are_taken_into_account(void **state)
{
	static const review_case_t attempts = { "\"max-attempts\": 2",
						"\"max-attempts\": 4",
						W,
						"routes[0].max-attempts",
						8,
						"need 3 repeats" };
	static const review_case_t region = { "[\"north\", \"south\"]",
					      "[\"north\", \"west\"]",
					      W,
					      "tenants[0].allowed-regions[1]",
					      31,
					      "region 'west'" };
	static const review_case_t nowhere = { "[\"north\"]",
					       "[\"west\"]",
					       E,
					       "routes[1].allowed-regions",
					       15,
					       "no allowed region exists" };
	pr_review_input_t input = plain_input();
	pr_findings_t findings = { 0 };
	pr_str_t text = PR_STR_INIT;
	pr_names_t regions = { 0 };

	replace_once(&text, routing_document, attempts.from, attempts.to);
	assert_int_equal(review(&findings, pr_str_slice(&text), &input), 0);
	assert_int_equal(findings.count, 0);
	pr_names_add(&regions, "north");
	pr_names_add(&regions, "south");
	input.has_repeat_budget = true;
	input.repeats_ratio = 0.9;
	input.regions = &regions;
	check_case(&attempts, &input);
	check_case(&region, &input);
	check_case(&nowhere, &input);
	free(regions.items[0]);
	free(regions.items[1]);
	free((void *)regions.items);
	pr_str_finish(&text);
}

/* Guards against routes that are open, or closed, to everybody by mistake. */
static void missing_keys_are_found(void **state)
{
	static const struct {
		const char *document;
		pr_finding_level_t level;
		const char *text;
	} cases[] = {
		{ "{\"routes\": [{\"host\": \"h\", \"prefix\": \"/\"}]}", W,
		  "is empty" },
		{ "{\"routes\": [{\"host\": \"h\", \"prefix\": \"/\"}],"
		  "\"tenants\": [{\"name\": \"a\"}]}",
		  E, "no workspace has a key" },
	};
	pr_review_input_t input = plain_input();

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		pr_findings_t findings = { 0 };
		const pr_finding_t *found;

		review(&findings, pr_slice_of(cases[i].document), &input);
		found = find_finding(&findings, "tenants", cases[i].text);
		assert_non_null(found);
		assert_int_equal(found->level, cases[i].level);
		pr_findings_finish(&findings);
	}
}

static int compare(pr_changes_t *changes, pr_findings_t *findings,
		   const char *before, pr_slice_t after)
{
	pr_review_input_t input = plain_input();
	pr_routing_t *old = NULL, *new = NULL;
	int rc = pr_adapter_routing(&old, pr_slice_of(before));

	if (!rc)
		rc = pr_adapter_routing(&new, after);
	if (!rc)
		assert_int_equal(
			pr_routing_compare(changes, findings, old, new, &input),
			0);
	pr_routing_unref(old);
	pr_routing_unref(new);
	return rc;
}

static void check_change(const char *from, const char *to, const char *path,
			 const char *before, const char *after,
			 const char *effect)
{
	pr_findings_t findings = { 0 };
	pr_changes_t changes = { 0 };
	pr_str_t text = PR_STR_INIT;
	const pr_change_t *found = NULL;

	replace_once(&text, routing_document, from, to);
	assert_int_equal(compare(&changes, &findings, routing_document,
				 pr_str_slice(&text)),
			 0);
	for (unsigned int i = 0; i < changes.count && !found; i++)
		if (!strcmp(changes.items[i].path, path))
			found = &changes.items[i];
	if (!found) {
		fail_msg("no change at %s", path);
		return;
	}
	assert_string_equal(found->before ? found->before : "(none)", before);
	assert_string_equal(found->after ? found->after : "(none)", after);
	if (!found->effect || !strstr(found->effect, effect))
		fail_msg("%s: effect %s", path, found->effect);
	/* The version is that of the document in force. */
	assert_non_null(find_finding(&findings, "version", "not above"));
	pr_findings_finish(&findings);
	pr_changes_finish(&changes);
	pr_str_finish(&text);
}

/* Guards against changes that are missed, or whose effect is told wrongly. */
static void changes_and_their_effects(void **state)
{
	check_change("2500", "3000", "routes/ledger/timeout-ms", "2500", "3000",
		     "longer");
	check_change("2500", "2000", "routes/ledger/timeout-ms", "2500", "2000",
		     "earlier");
	check_change("2500", "0", "routes/ledger/timeout-ms", "2500", "0",
		     "no limit");
	check_change("\"weight\": 10", "\"weight\": 30",
		     "routes/chat/traffic-split", "model 90%, model-b 10%",
		     "model 75%, model-b 25%", "move between services");
	check_change("\"name\": \"chat\"", "\"name\": \"talk\"", "routes/chat",
		     "api.example/chat/ to model 90%, model-b 10%", "(none)",
		     "take route 'talk'");
	check_change("\"name\": \"chat\"", "\"name\": \"talk\"", "routes/talk",
		     "(none)", "api.example/chat/ to model 90%, model-b 10%",
		     "takes requests of route 'chat'");
	check_change(
		"\"name\": \"chat\", \"host\": \"api.example\"",
		"\"name\": \"talk\", \"host\": \"b.example\"", "routes/chat",
		"api.example/chat/ to model 90%, model-b 10%", "(none)", "404");
	check_change("\"unsafe\"", "\"safe\"", "routes/ledger/kind",
		     "at most once", "repeatable", "more than once");
	check_change("[\"north\"]", "[]", "routes/chat/allowed-regions",
		     "north", "all", "regions");
	check_change("370, \"cold-start-s\": 3.5", "300, \"cold-start-s\": 4",
		     "services/ledger/max-connections", "370", "300", "fewer");
	check_change("\"cold-start-s\": 3.5", "\"cold-start-s\": 4",
		     "services/ledger/cold-start-s", "3.5", "4", "longer");
	check_change("\"name\": \"model-b\"", "\"name\": \"model-c\"",
		     "services/model-b", "model-b", "(none)",
		     "routes still name it");
	check_change("\"name\": \"model-b\"", "\"name\": \"model-c\"",
		     "services/model-c", "(none)", "model-c", "no route");
	check_change("\"key-3\"", "\"key-4\"", "tenants/globex/api-keys", "1",
		     "1", "1 keys are refused with 401, 1 are accepted anew");
	check_change("\"key-2\"],", "\"key-3\"],", "tenants/acme/api-keys", "2",
		     "2", "1 come from another");
	check_change("\"name\": \"globex\"", "\"name\": \"initech\"",
		     "tenants/globex", "globex", "(none)", "no request");
	check_change("15000", "20000", "limits/idle-timeout-ms", "15000",
		     "20000", "stay open");
}

/* Guards against a document that differs from itself, also when it is wrong,
 * and against a complaint about a version that may follow. */
static void equal_documents_do_not_differ(void **state)
{
	pr_findings_t findings = { 0 };
	pr_changes_t changes = { 0 };
	pr_str_t text = PR_STR_INIT;

	replace_once(&text, routing_document, "\"name\": \"chat\"",
		     "\"name\": \"ledger\"");
	assert_int_equal(compare(&changes, &findings, pr_str_cstr(&text),
				 pr_str_slice(&text)),
			 0);
	assert_int_equal(changes.count, 0);
	assert_int_equal(findings.count, 0);
	pr_str_finish(&text);
	replace_once(&text, routing_document, "\"version\": 7,",
		     "\"version\": 8,");
	assert_int_equal(compare(&changes, &findings, routing_document,
				 pr_str_slice(&text)),
			 0);
	assert_int_equal(changes.count, 0);
	pr_str_finish(&text);
	pr_findings_finish(&findings);
	pr_changes_finish(&changes);
}

/* Guards against names that would control a terminal or break the JSON. */
static void texts_are_printable(void **state)
{
	pr_findings_t findings = { 0 };
	pr_str_t name = PR_STR_INIT;

	for (int i = 0; i < 300; i++)
		pr_str_append(&name, "\xc3\xa9", 2);
	pr_findings_add(&findings, E, "p\x1b[1m", NULL, "a\n%s",
			pr_str_cstr(&name));
	assert_string_equal(findings.items[0].path, "p?[1m");
	assert_memory_equal(findings.items[0].text, "a?\xc3\xa9", 4);
	/* 255 bytes: the cut is within a character when its begin is odd. */
	assert_int_equal(findings.items[0].text[254], '?');
	pr_findings_finish(&findings);
	pr_str_finish(&name);
}

/* Guards against a crash on any document, however it is broken. */
static void changed_documents_never_crash(void **state)
{
	unsigned int readable = 0, found = 0;
	uint64_t seed = change_seed();
	pr_rand_t rand;

	print_message("seed %llu, %d changes\n", (unsigned long long)seed,
		      CHANGES);
	assert_int_equal(pr_rand_init(&rand, seed), 0);
	for (int i = 0; i < CHANGES; i++) {
		pr_review_input_t input = plain_input();
		pr_findings_t findings = { 0 };
		pr_changes_t changes = { 0 };
		pr_str_t text = PR_STR_INIT;
		int rc;

		change_document(&text, routing_document, &rand);
		rc = review(&findings, pr_str_slice(&text), &input);
		readable += !rc;
		found += findings.count > 0;
		/* What cannot be read is always reported. */
		assert_true(!rc || findings.errors);
		compare(&changes, &findings, routing_document,
			pr_str_slice(&text));
		pr_findings_finish(&findings);
		pr_changes_finish(&changes);
		pr_str_finish(&text);
	}
	pr_rand_finish(&rand);
	print_message("%u readable, %u with findings\n", readable, found);
	/* Else the changes would reach the parser only. */
	assert_true(readable > CHANGES / 20);
	assert_true(found > CHANGES / 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(good_document_has_no_findings),
		cmocka_unit_test(unreachable_entries_are_found),
		cmocka_unit_test(contradictions_are_found),
		cmocka_unit_test(wrong_shapes_are_found),
		cmocka_unit_test(syntax_errors_have_a_line),
		cmocka_unit_test(settings_are_taken_into_account),
		cmocka_unit_test(missing_keys_are_found),
		cmocka_unit_test(changes_and_their_effects),
		cmocka_unit_test(equal_documents_do_not_differ),
		cmocka_unit_test(texts_are_printable),
		cmocka_unit_test(changed_documents_never_crash),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
