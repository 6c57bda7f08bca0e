/* check and diff, for fleet configurations and the platform's documents. */
#include <stdio.h>
#include <stdlib.h>

#include "base/yaml.h"
#include "ctl/ctl.h"
#include "ctl/routing.h"
#include "pistachiorack/error.h"

/* A document of either format. */
typedef struct document_t {
	/** File or store, for messages. */
	const char *name;
	pr_str_t text;
	/** It is the operator's document of the platform. */
	bool is_routing;
	/** NULL for a routing document, and while it cannot be parsed. */
	pr_fleet_t *fleet;
} document_t;

static void document_finish(document_t *document)
{
	pr_fleet_free(document->fleet);
	pr_str_finish(&document->text);
}

/*
 * The platform's documents are JSON objects. YAML has JSON-like forms too, so
 * what can be parsed as a fleet configuration is one.
 */
static int parse(document_t *document)
{
	pr_slice_t text = pr_str_slice(&document->text);
	size_t at = 0;
	int rc;

	while (at < text.len && strchr(" \t\r\n", text.ptr[at]) && text.ptr[at])
		at++;
	rc = pr_fleet_parse(&document->fleet, document->name, text);
	if (!rc)
		return CTL_OK;
	if (at < text.len && (text.ptr[at] == '{' || text.ptr[at] == '[')) {
		document->is_routing = true;
		return CTL_OK;
	}
	fprintf(stderr, "%s\n", pr_error_last());
	return CTL_FINDINGS;
}

static int load_file(document_t *document, const char *path)
{
	document->name = path;
	if (pr_file_read(&document->text, path)) {
		fprintf(stderr, "%s\n", pr_error_last());
		return CTL_UNREACHABLE;
	}
	return parse(document);
}

static int load_store(document_t *document, const ctl_options_t *options)
{
	pr_config_row_t row = { 0 };
	pr_str_t buffer = PR_STR_INIT;
	int rc = CTL_OK;

	document->name = options->store;
	if (ctl_read_row(options, &row, &buffer) != PR_CONFIG_READ_ROW ||
	    pr_str_append(&document->text, row.text.ptr, row.text.len)) {
		fprintf(stderr, "no configuration can be read from %s\n",
			options->store);
		rc = CTL_UNREACHABLE;
	}
	pr_str_finish(&buffer);
	return rc ? rc : parse(document);
}

static int load_platform(document_t *document, const ctl_options_t *options)
{
	pr_str_t path = PR_STR_INIT, answer = PR_STR_INIT;
	int rc = CTL_UNREACHABLE;

	document->name = options->platform;
	document->is_routing = true;
	if (!ctl_routing_in_force_path(&path) &&
	    ctl_call(&answer, options->platform, pr_str_cstr(&path), NULL) ==
		    200 &&
	    !ctl_routing_in_force(&document->text, pr_str_slice(&answer)))
		rc = CTL_OK;
	else
		fprintf(stderr, "no document can be read from %s\n",
			options->platform);
	pr_str_finish(&path);
	pr_str_finish(&answer);
	return rc;
}

/* The document in force, from --store or --platform. */
static int load_in_force(document_t *document, const ctl_options_t *options)
{
	return options->platform ? load_platform(document, options)
				 : load_store(document, options);
}

static const char *level_name(const pr_finding_t *finding)
{
	return finding->level == PR_FINDING_ERROR ? "error" : "warning";
}

static json_t *findings_json(const pr_findings_t *findings)
{
	json_t *list = json_array();

	for (unsigned int i = 0; i < findings->count; i++) {
		const pr_finding_t *finding = &findings->items[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:i, s:s, s:s}", "level",
				  level_name(finding), "path", finding->path,
				  "line", (int)finding->line, "text",
				  finding->text, "effect", finding->effect));
	}
	return list;
}

static json_t *changes_json(const pr_changes_t *changes)
{
	json_t *list = json_array();

	for (unsigned int i = 0; i < changes->count; i++) {
		const pr_change_t *change = &changes->items[i];

		json_array_append_new(
			list, json_pack("{s:s, s:s?, s:s?, s:s?}", "path",
					change->path, "before", change->before,
					"after", change->after, "effect",
					change->effect));
	}
	return list;
}

static void print_findings(const char *name, const pr_findings_t *findings)
{
	for (unsigned int i = 0; i < findings->count; i++) {
		const pr_finding_t *finding = &findings->items[i];

		printf("%s:", name);
		if (finding->line)
			printf("%u:", finding->line);
		printf(" %s: %s%s%s", level_name(finding), finding->path,
		       *finding->path ? ": " : "", finding->text);
		if (*finding->effect)
			printf(" (%s)", finding->effect);
		putchar('\n');
	}
}

/* Values of a document are not to be trusted on a terminal. */
static void print_text(const char *text)
{
	char *copy = strdup(text);

	if (copy) {
		pr_text_make_printable(copy);
		fputs(copy, stdout);
	}
	free(copy);
}

static void print_changes(const char *prefix, const pr_changes_t *changes,
			  bool effects)
{
	for (unsigned int i = 0; i < changes->count; i++) {
		const pr_change_t *change = &changes->items[i];

		fputs(prefix, stdout);
		print_text(change->path);
		fputs(": ", stdout);
		print_text(change->before ? change->before : "(none)");
		fputs(" -> ", stdout);
		print_text(change->after ? change->after : "(none)");
		if (effects && change->effect) {
			fputs(" (", stdout);
			print_text(change->effect);
			putchar(')');
		}
		putchar('\n');
	}
}

static void print_unreadable(void)
{
	char text[512];

	snprintf(text, sizeof(text), "%s", pr_error_last());
	pr_text_make_printable(text);
	ctl_print_json(json_pack("{s:b, s:s}", "valid", 0, "error", text));
}

/* @return a ctl_exit_t */
static int compare(pr_changes_t *changes, pr_findings_t *findings,
		   const document_t *before, const document_t *after)
{
	int rc;

	if (before->is_routing != after->is_routing) {
		fprintf(stderr, "%s and %s are not of the same format\n",
			before->name, after->name);
		return CTL_USAGE;
	}
	if (before->is_routing) {
		rc = ctl_routing_compare(changes, findings,
					 pr_str_slice(&before->text),
					 pr_str_slice(&after->text));
	} else {
		rc = pr_fleet_diff(changes, before->fleet, after->fleet);
		if (!rc)
			rc = pr_fleet_effects(changes);
	}
	if (!rc)
		return CTL_OK;
	fprintf(stderr, "%s\n",
		rc == PR_EPARSE ? pr_error_last() : pr_error_name(rc));
	return rc == PR_EPARSE ? CTL_FINDINGS : CTL_UNREACHABLE;
}

static int review(pr_findings_t *out, const document_t *document,
		  const ctl_options_t *options)
{
	pr_slice_t text = pr_str_slice(&document->text);
	ctl_deployment_t *deployment = NULL;
	int rc;

	if (options->settings &&
	    ctl_deployment_load(&deployment, options->settings)) {
		fprintf(stderr, "%s\n", pr_error_last());
		return CTL_UNREACHABLE;
	}
	if (document->is_routing) {
		rc = ctl_routing_check(out, text, deployment);
	} else {
		rc = pr_fleet_check(out, document->fleet, text);
		if (rc != PR_ENOMEM)
			rc = pr_fleet_review(out, document->fleet);
		pr_findings_locate(out, text);
	}
	ctl_deployment_free(deployment);
	if (rc != PR_ENOMEM)
		return CTL_OK;
	fprintf(stderr, "%s\n", pr_error_name(rc));
	return CTL_UNREACHABLE;
}

typedef struct result_t {
	pr_findings_t findings;
	pr_changes_t changes;
	bool compared;
} result_t;

static void print_result(const ctl_options_t *options,
			 const document_t *document, const result_t *result)
{
	json_t *root;

	if (!options->json) {
		print_findings(document->name, &result->findings);
		print_changes("change: ", &result->changes, true);
		return;
	}
	root = json_pack("{s:b, s:o}", "valid", result->findings.errors == 0,
			 "findings", findings_json(&result->findings));
	if (result->compared)
		json_object_set_new(root, "changes",
				    changes_json(&result->changes));
	ctl_print_json(root);
}

/* Loads the document, and the other one when one is asked for.
 * @return a ctl_exit_t */
static int load_documents(document_t *document, document_t *other,
			  const ctl_options_t *options, bool *is_compared)
{
	bool has_file = options->args_count > 0;
	bool has_store = options->store || options->platform;
	int rc;

	if (!has_file && !has_store) {
		fprintf(stderr, "check needs a file, --store or --platform\n");
		return CTL_USAGE;
	}
	if ((options->store && options->platform) ||
	    (has_file && has_store && options->against)) {
		fprintf(stderr, "--against, --store and --platform exclude "
				"each other\n");
		return CTL_USAGE;
	}
	rc = has_file ? load_file(document, options->args[0])
		      : load_in_force(document, options);
	if (rc)
		return rc;
	*is_compared = options->against || (has_file && has_store);
	if (options->against)
		rc = load_file(other, options->against);
	else if (*is_compared)
		rc = load_in_force(other, options);
	return rc;
}

int ctl_check(const ctl_options_t *options)
{
	document_t document = { .text = PR_STR_INIT };
	document_t other = { .text = PR_STR_INIT };
	result_t result = { 0 };
	int rc = load_documents(&document, &other, options, &result.compared);

	if (rc == CTL_FINDINGS && options->json)
		print_unreadable();
	if (!rc)
		rc = review(&result.findings, &document, options);
	/* What cannot be read has been reported, and has no differences. */
	if (!rc && result.compared &&
	    (document.fleet ||
	     ctl_routing_is_readable(pr_str_slice(&document.text))))
		rc = compare(&result.changes, &result.findings, &other,
			     &document);
	if (!rc) {
		print_result(options, &document, &result);
		if (result.findings.errors ||
		    (options->strict && result.findings.count))
			rc = CTL_FINDINGS;
	}
	pr_findings_finish(&result.findings);
	pr_changes_finish(&result.changes);
	document_finish(&document);
	document_finish(&other);
	return rc;
}

int ctl_diff(const ctl_options_t *options)
{
	document_t documents[2] = { { .text = PR_STR_INIT },
				    { .text = PR_STR_INIT } };
	pr_changes_t changes = { 0 };
	pr_findings_t findings = { 0 };
	int rc = CTL_OK;

	for (int i = 0; i < 2 && !rc; i++)
		rc = load_file(&documents[i], options->args[i]);
	if (!rc)
		rc = compare(&changes, &findings, &documents[0], &documents[1]);
	if (!rc) {
		if (options->json)
			ctl_print_json(json_pack("{s:o}", "changes",
						 changes_json(&changes)));
		else
			print_changes("", &changes, false);
		rc = changes.count ? CTL_FINDINGS : CTL_OK;
	}
	pr_changes_finish(&changes);
	pr_findings_finish(&findings);
	for (int i = 0; i < 2; i++)
		document_finish(&documents[i]);
	return rc;
}
