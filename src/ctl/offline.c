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
