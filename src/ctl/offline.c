/* Commands that work on files. */
#include <stdio.h>
#include <stdlib.h>

#include "base/yaml.h"
#include "ctl/ctl.h"
#include "pistachiorack/error.h"

void ctl_print_json(json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(value);
}

int ctl_load(pr_fleet_t **out, pr_str_t *text, const char *path)
{
	int rc = pr_file_read(text, path);

	if (rc) {
		fprintf(stderr, "%s\n", pr_error_last());
		return CTL_UNREACHABLE;
	}
	if (pr_fleet_parse(out, path, pr_str_slice(text))) {
		fprintf(stderr, "%s\n", pr_error_last());
		return CTL_FINDINGS;
	}
	return CTL_OK;
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

		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:i, s:s}", "level",
						level_name(finding), "path",
						finding->path, "line",
						(int)finding->line, "text",
						finding->text));
	}
	return json_pack("{s:b, s:o}", "valid", findings->errors == 0,
			 "findings", list);
}

int ctl_check(const ctl_options_t *options)
{
	const char *path = options->args[0];
	pr_str_t text = PR_STR_INIT;
	pr_findings_t findings = { 0 };
	pr_fleet_t *fleet = NULL;
	int rc = ctl_load(&fleet, &text, path);

	if (!rc) {
		pr_fleet_check(&findings, fleet, pr_str_slice(&text));
		rc = findings.errors ? CTL_FINDINGS : CTL_OK;
	}
	if (options->json && rc == CTL_FINDINGS && !fleet)
		ctl_print_json(json_pack("{s:b, s:s}", "valid", 0, "error",
					 pr_error_last()));
	else if (options->json && fleet)
		ctl_print_json(findings_json(&findings));
	for (unsigned int i = 0; i < findings.count && !options->json; i++)
		printf("%s:%u: %s: %s: %s\n", path, findings.items[i].line,
		       level_name(&findings.items[i]), findings.items[i].path,
		       findings.items[i].text);
	pr_findings_finish(&findings);
	pr_fleet_free(fleet);
	pr_str_finish(&text);
	return rc;
}

static void print_changes(const pr_changes_t *changes, bool json)
{
	json_t *list = json_array();

	for (unsigned int i = 0; i < changes->count; i++) {
		const pr_change_t *change = &changes->items[i];

		json_array_append_new(list, json_pack("{s:s, s:s?, s:s?}",
						      "path", change->path,
						      "before", change->before,
						      "after", change->after));
		if (!json)
			printf("%s: %s -> %s\n", change->path,
			       change->before ? change->before : "(none)",
			       change->after ? change->after : "(none)");
	}
	if (json)
		ctl_print_json(json_pack("{s:o}", "changes", list));
	else
		json_decref(list);
}

int ctl_diff(const ctl_options_t *options)
{
	pr_str_t texts[2] = { PR_STR_INIT, PR_STR_INIT };
	pr_fleet_t *fleets[2] = { NULL, NULL };
	pr_changes_t changes = { 0 };
	int rc = CTL_OK;

	for (int i = 0; i < 2 && !rc; i++)
		rc = ctl_load(&fleets[i], &texts[i], options->args[i]);
	if (!rc && pr_fleet_diff(&changes, fleets[0], fleets[1]))
		rc = CTL_UNREACHABLE;
	if (!rc) {
		print_changes(&changes, options->json);
		rc = changes.count ? CTL_FINDINGS : CTL_OK;
	}
	pr_changes_finish(&changes);
	for (int i = 0; i < 2; i++) {
		pr_fleet_free(fleets[i]);
		pr_str_finish(&texts[i]);
	}
	return rc;
}

static void print_document(const pr_fleet_t *fleet, uint64_t version,
			   const ctl_options_t *options)
{
	pr_str_t text = PR_STR_INIT;

	pr_fleet_print(fleet, &text);
	if (options->json)
		ctl_print_json(json_pack("{s:I, s:s}", "version",
					 (json_int_t)version, "text",
					 pr_str_cstr(&text)));
	else
		fputs(pr_str_cstr(&text), stdout);
	pr_str_finish(&text);
}

int ctl_show(const ctl_options_t *options)
{
	pr_str_t text = PR_STR_INIT;
	pr_fleet_t *fleet = NULL;
	pr_config_row_t row = { 0 };
	int rc = CTL_OK;

	if (options->args_count) {
		rc = ctl_load(&fleet, &text, options->args[0]);
	} else if (!options->store) {
		fprintf(stderr, "show needs a file or --store\n");
		rc = CTL_USAGE;
	} else if (ctl_read_row(options, &row, &text) != PR_CONFIG_READ_ROW ||
		   pr_fleet_parse(&fleet, "config/current", row.text)) {
		fprintf(stderr, "no configuration can be read from %s\n",
			options->store);
		rc = CTL_UNREACHABLE;
	}
	if (!rc)
		print_document(fleet, row.version, options);
	pr_fleet_free(fleet);
	pr_str_finish(&text);
	return rc;
}
