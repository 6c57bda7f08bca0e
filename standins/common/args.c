/* Command line of the stand-ins. */
#include <stdio.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "standin.h"

#define SHARED_COUNT   9
#define EXTRA_MAX      32
#define ERRORS_MAX     10
#define RECORD_DEFAULT 100000
#define RECORD_MAX     2000000

typedef struct shared_t {
	struct arg_lit *help;
	struct arg_str *address, *name, *zone, *control;
	struct arg_int *port, *record, *seed, *lifetime;
} shared_t;

static void take(standin_options_t *out, const shared_t *shared)
{
	out->address = shared->address->sval[0];
	out->port = (uint16_t)shared->port->ival[0];
	out->name = shared->name->sval[0];
	out->zone = shared->zone->sval[0];
	out->control = shared->control->count ? shared->control->sval[0] : NULL;
	out->record_max = (size_t)shared->record->ival[0];
	out->seed = (uint64_t)shared->seed->ival[0];
	out->lifetime_s = (uint32_t)shared->lifetime->ival[0];
}

static int check(const shared_t *shared)
{
	if (strncmp(shared->address->sval[0], "127.", 4) != 0)
		return pr_error_set(PR_EINVALID,
				    "--address %s is not a loopback address",
				    shared->address->sval[0]);
	if (shared->port->ival[0] < 1 || shared->port->ival[0] > UINT16_MAX)
		return pr_error_set(PR_EINVALID, "--port %d is not 1 to 65535",
				    shared->port->ival[0]);
	if (shared->record->ival[0] < 1 || shared->record->ival[0] > RECORD_MAX)
		return pr_error_set(PR_EINVALID, "--record %d is not 1 to %d",
				    shared->record->ival[0], RECORD_MAX);
	return 0;
}

static void defaults(shared_t *shared)
{
	shared->address->sval[0] = "127.0.0.1";
	shared->port->ival[0] = 9000;
	shared->name->sval[0] = "standin";
	shared->zone->sval[0] = "zone";
	shared->record->ival[0] = RECORD_DEFAULT;
	shared->seed->ival[0] = 1;
	shared->lifetime->ival[0] = 0;
}

/* @return 0, 1 when the help text was printed, or PR_EINVALID */
static int parse_table(standin_options_t *out, int argc, char **argv,
		       void **table, shared_t *shared, struct arg_end *end)
{
	if (arg_nullcheck(table))
		return pr_error_set(PR_ENOMEM, "no memory for arguments");
	defaults(shared);
	if (arg_parse(argc, argv, table) > 0 && !shared->help->count) {
		arg_print_errors(stderr, end, argv[0]);
		return pr_error_set(PR_EINVALID, "bad arguments, see --help");
	}
	if (shared->help->count) {
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		return 1;
	}
	take(out, shared);
	return check(shared);
}

int standin_parse(standin_options_t *out, int argc, char **argv, void **extra,
		  size_t extra_count)
{
	void *table[SHARED_COUNT + EXTRA_MAX + 1];
	shared_t shared = {
		.help = arg_lit0(NULL, "help", "print this text"),
		.address = arg_str0(NULL, "address", "IP", "loopback address"),
		.name = arg_str0(NULL, "name", "NAME", "name in the record"),
		.zone = arg_str0(NULL, "zone", "ZONE", "availability zone"),
		.control = arg_str0(NULL, "control", "JSON",
				    "applied like POST /control at the start"),
		.port = arg_int0(NULL, "port", "N", "TCP port"),
		.record = arg_int0(NULL, "record", "N", "entries kept"),
		.seed = arg_int0(NULL, "seed", "N", "of random choices"),
		.lifetime = arg_int0(NULL, "lifetime", "S",
				     "end after this many seconds"),
	};
	struct arg_end *end = arg_end(ERRORS_MAX);
	size_t n = 0;
	int rc;

	table[n++] = shared.help;
	table[n++] = shared.address;
	table[n++] = shared.port;
	table[n++] = shared.name;
	table[n++] = shared.zone;
	table[n++] = shared.control;
	table[n++] = shared.record;
	table[n++] = shared.seed;
	table[n++] = shared.lifetime;
	for (size_t i = 0; i < extra_count && i < EXTRA_MAX; i++)
		table[n++] = extra[i];
	table[n] = end;
	rc = parse_table(out, argc, argv, table, &shared, end);
	/* String values point into argv, so they outlive the entries. */
	arg_freetable(table, SHARED_COUNT);
	free(end);
	return rc;
}
