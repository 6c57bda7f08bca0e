/* pistachiorackctl: the operators' tool. */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "ctl/ctl.h"

typedef struct command_t {
	const char *name;
	const char *arguments;
	const char *text;
	int args_min, args_max;
	int (*run)(const ctl_options_t *options);
} command_t;

static const command_t commands[] = {
	{ "check", "[FILE]",
	  "Check a fleet configuration or an operator's document, from a file, "
	  "--store or\n      --platform; a file is compared with --against, "
	  "--store or --platform.",
	  0, 1, ctl_check },
	{ "diff", "BEFORE AFTER", "List the values that differ.", 2, 2,
	  ctl_diff },
	{ "show", "[FILE]",
	  "Print a configuration with every field, from a file or --store.", 0,
	  1, ctl_show },
	{ "apply", "FILE",
	  "Write a configuration and wait until each --host confirms it.", 1, 1,
	  ctl_apply },
	{ "hosts", "", "Print the hosts that each --host sees.", 0, 0,
	  ctl_hosts },
	{ "upstreams", "", "Print the upstreams that each --host sees.", 0, 0,
	  ctl_upstreams },
	{ "zone", "out|in NAME",
	  "Take a zone out of service (with --reason) or bring it back.", 2, 2,
	  ctl_zone },
	{ "version", "withdraw|halt|rollout MODEL VERSION",
	  "Change the state of a version; rollout needs --share.", 3, 3,
	  ctl_version },
	{ "explain", "REQUEST", "Print what decided a request.", 1, 1,
	  ctl_explain },
};

#define COMMANDS_COUNT (sizeof(commands) / sizeof(*commands))

/* The options; every command accepts all of them. */
typedef struct table_t {
	struct arg_lit *help, *json, *strict;
	struct arg_str *store, *platform, *against, *settings, *hosts, *reason;
	struct arg_int *base, *share, *timeout, *admin_port;
	struct arg_str *args;
	struct arg_end *end;
} table_t;

static table_t make_table(void)
{
	return (table_t){
		.help = arg_lit0("h", "help", "print this help"),
		.json = arg_lit0(NULL, "json", "print JSON"),
		.store = arg_str0(NULL, "store", "ADDRESS:PORT",
				  "table service of the platform"),
		.strict = arg_lit0(NULL, "strict",
				   "check: exit with 1 on warnings too"),
		.platform = arg_str0(NULL, "platform", "ADDRESS:PORT",
				     "check: store with the operator's "
				     "document in force"),
		.against = arg_str0(NULL, "against", "FILE",
				    "check: document to compare with"),
		.settings = arg_str0(NULL, "settings", "FILE",
				     "check: settings of a host, for repeat "
				     "budget and regions"),
		.hosts = arg_strn(NULL, "host", "ADDRESS:PORT", 0, 1024,
				  "router host; may be repeated; apply, zone "
				  "and version take the platform's list "
				  "without it"),
		.reason = arg_str0(NULL, "reason", "TEXT",
				   "why the change is made"),
		.base = arg_int0(NULL, "base", "VERSION",
				 "apply only on top of this version"),
		.share = arg_int0(NULL, "share", "N",
				  "share of new sessions, 1/10,000"),
		.timeout = arg_int0(NULL, "timeout", "SECONDS",
				    "longest wait, 15 by default"),
		.admin_port = arg_int0(NULL, "admin-port", "PORT",
				       "port of listed hosts, 8080 by default"),
		.args = arg_strn(NULL, NULL, "ARGUMENT", 0, CTL_ARGS_MAX, NULL),
		.end = arg_end(8),
	};
}

static void print_usage(FILE *out)
{
	fprintf(out, "usage: pistachiorackctl COMMAND [OPTION...]\n\n");
	for (size_t i = 0; i < COMMANDS_COUNT; i++)
		fprintf(out, "  %s %s\n      %s\n", commands[i].name,
			commands[i].arguments, commands[i].text);
	fprintf(out,
		"\nThe operator key is taken from the environment variable "
		"PISTACHIORACK_OPERATOR_KEY.\nExit codes: 0 done; 1 the "
		"document has errors, or differs (diff);\n2 usage; 3 not "
		"reachable; 4 conflict; 5 written, not confirmed by all\n"
		"hosts; 6 outcome of the write not known.\n");
}

static void print_help(const command_t *command, void **table)
{
	printf("usage: pistachiorackctl %s %s [OPTION...]\n%s\n\n",
	       command->name, command->arguments, command->text);
	arg_print_glossary(stdout, table, "  %-28s %s\n");
	printf("\n`pistachiorackctl --help` lists the exit codes.\n");
}

static int run_command(const command_t *command, const table_t *table)
{
	ctl_options_t options = {
		.json = table->json->count > 0,
		.store = table->store->count ? table->store->sval[0] : NULL,
		.platform = table->platform->count ? table->platform->sval[0]
						   : NULL,
		.against =
			table->against->count ? table->against->sval[0] : NULL,
		.settings = table->settings->count ? table->settings->sval[0]
						   : NULL,
		.strict = table->strict->count > 0,
		.hosts = table->hosts->sval,
		.hosts_count = table->hosts->count,
		.reason = table->reason->count ? table->reason->sval[0] : "",
		.base = table->base->count ? table->base->ival[0] : 0,
		.share = table->share->count ? table->share->ival[0] : 0,
		.timeout_s =
			table->timeout->count ? table->timeout->ival[0] : 15,
		.admin_port = table->admin_port->count
				      ? table->admin_port->ival[0]
				      : 8080,
		.args_count = table->args->count,
	};

	for (int i = 0; i < options.args_count; i++)
		options.args[i] = table->args->sval[i];
	if (options.args_count < command->args_min ||
	    options.args_count > command->args_max || options.base < 0 ||
	    options.timeout_s < 1) {
		fprintf(stderr, "usage: pistachiorackctl %s %s [OPTION...]\n",
			command->name, command->arguments);
		return CTL_USAGE;
	}
	return command->run(&options);
}

static int parse_and_run(const command_t *command, int argc, char **argv)
{
	table_t table = make_table();
	void **entries = (void **)&table;
	int count = (int)(sizeof(table) / sizeof(void *));
	int rc = CTL_USAGE, errors;

	if (arg_nullcheck(entries) != 0) {
		fprintf(stderr, "out of memory\n");
		return CTL_UNREACHABLE;
	}
	errors = arg_parse(argc, argv, entries);
	if (table.help->count) {
		print_help(command, entries);
		rc = CTL_OK;
	} else if (errors) {
		arg_print_errors(stderr, table.end, command->name);
	} else {
		rc = run_command(command, &table);
	}
	arg_freetable(entries, count);
	return rc;
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		print_usage(stderr);
		return CTL_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
		print_usage(stdout);
		return CTL_OK;
	}
	for (size_t i = 0; i < COMMANDS_COUNT; i++)
		if (!strcmp(argv[1], commands[i].name))
			return parse_and_run(&commands[i], argc - 1, argv + 1);
	fprintf(stderr, "unknown command %s\n", argv[1]);
	print_usage(stderr);
	return CTL_USAGE;
}
