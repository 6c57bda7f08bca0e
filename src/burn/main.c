/* pistachiorack-report: arguments, collection, output. */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/yaml.h"
#include "burn/burn_program.h"
#include "pistachiorack/error.h"
#include "pistachiorack/http.h"

#define SOURCES_MAX       512
#define SERIES_MAX        4096
#define FETCH_TIMEOUT_MS  3000
#define ANSWER_MAX        (16 << 20)
#define DEFAULT_OBJECTIVE 0.95
#define EXIT_ALERT        1
#define EXIT_USAGE        2
#define EXIT_SOURCE       3

typedef struct fetch_t {
	pr_http_call_t call;
	pr_str_t body;
	int status;
	bool failed;
} fetch_t;

static void on_head(pr_http_call_t *call, int status,
		    const pr_http_header_t *headers, size_t count)
{
	((fetch_t *)call->data)->status = status;
}

static void on_body(pr_http_call_t *call, pr_slice_t bytes)
{
	fetch_t *fetch = call->data;

	if (fetch->body.len + bytes.len <= ANSWER_MAX)
		pr_str_append(&fetch->body, bytes.ptr, bytes.len);
}

static void on_done(pr_http_call_t *call, pr_attempt_stage_t stage,
		    const char *error)
{
	fetch_t *fetch = call->data;

	fetch->failed = stage != PR_STAGE_DONE || fetch->status != 200;
	uv_stop(uv_default_loop());
}

static const pr_http_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.released = NULL,
};

/* One host after the other: the report is read by people, not on a clock. */
static int fetch_host(pr_http_client_t *client, const char *endpoint,
		      const char *key, pr_str_t *out)
{
	fetch_t fetch = { .call = { .ops = &call_ops } };
	const char *colon = strrchr(endpoint, ':');
	pr_http_target_t *target = NULL;
	pr_http_header_t header;
	pr_str_t bearer = PR_STR_INIT;
	char address[64];
	int rc;

	if (!colon ||
	    pr_slice_copy(address, sizeof(address),
			  pr_slice(endpoint, (size_t)(colon - endpoint))))
		return pr_error_set(PR_EINVALID, "%s is not ADDRESS:PORT",
				    endpoint);
	rc = pr_http_target_open(&target, client, address,
				 (uint16_t)atoi(colon + 1), 1);
	if (rc)
		return rc;
	pr_str_appendf(&bearer, "Bearer %s", key);
	header = (pr_http_header_t){ PR_SLICE("authorization"),
				     pr_str_slice(&bearer) };
	fetch.call.data = &fetch;
	rc = pr_http_call_start(&fetch.call, client, target, "GET",
				PR_SLICE("/admin/burn"), &header, 1,
				pr_slice("", 0));
	if (!rc)
		uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	if (!rc && fetch.failed)
		rc = pr_error_set(PR_EIO, "%s: no report (status %d)", endpoint,
				  fetch.status);
	pr_str_finish(&bearer);
	*out = fetch.body;
	pr_http_target_close(target);
	return rc;
}

static int add_source(pr_burn_t *burn, pr_usec_t now, pr_http_client_t *client,
		      const char *source, const char *key, bool is_file)
{
	pr_str_t text = PR_STR_INIT;
	int rc = is_file ? pr_file_read(&text, source)
			 : fetch_host(client, source, key, &text);

	if (!rc)
		rc = pr_burn_merge(burn, now, pr_str_slice(&text));
	if (rc)
		fprintf(stderr, "pistachiorack-report: %s\n", pr_error_last());
	pr_str_finish(&text);
	return rc;
}

static int print_report(const pr_burn_t *burn, pr_usec_t now, const char *name,
			double objective)
{
	const pr_burn_format_t *format = pr_burn_format_find(name);
	pr_str_t out = PR_STR_INIT;
	int alert = 0;

	if (!format) {
		fprintf(stderr, "format %s: allowed are text, json, html\n",
			name);
		return EXIT_USAGE;
	}
	if (!format->print(&out, burn, now, objective))
		fwrite(out.ptr, 1, out.len, stdout);
	pr_str_finish(&out);
	for (unsigned int i = 0; i < burn->count; i++)
		if (pr_burn_alert(&burn->series[i], now, 1 - objective) ==
		    PR_ALERT_PAGE)
			alert = EXIT_ALERT;
	return alert;
}

typedef struct arguments_t {
	struct arg_lit *help;
	struct arg_str *hosts;
	struct arg_file *files;
	struct arg_str *format;
	struct arg_dbl *objective;
	struct arg_end *end;
} arguments_t;

static int run(const arguments_t *args)
{
	pr_usec_t now = (pr_usec_t)time(NULL) * PR_USEC_PER_SEC;
	const char *key = getenv("PISTACHIORACK_OPERATOR_KEY");
	double objective = args->objective->count ? args->objective->dval[0]
						  : DEFAULT_OBJECTIVE;
	pr_http_client_t *client;
	pr_burn_t burn;
	int failed = 0;
	int status;

	if (objective <= 0 || objective >= 1) {
		fprintf(stderr, "objective: allowed is above 0, below 1\n");
		return EXIT_USAGE;
	}
	if (pr_http_client_open(&client, uv_default_loop(), FETCH_TIMEOUT_MS) ||
	    pr_burn_init(&burn, SERIES_MAX))
		return EXIT_SOURCE;
	for (int i = 0; i < args->hosts->count; i++)
		failed |= add_source(&burn, now, client, args->hosts->sval[i],
				     key ? key : "", false);
	for (int i = 0; i < args->files->count; i++)
		failed |= add_source(&burn, now, client,
				     args->files->filename[i], "", true);
	status = print_report(&burn, now,
			      args->format->count ? args->format->sval[0]
						  : "text",
			      objective);
	pr_burn_finish(&burn);
	return failed ? EXIT_SOURCE : status;
}

int main(int argc, char **argv)
{
	arguments_t args = {
		.help = arg_lit0("h", "help", "print this text"),
		.hosts = arg_strn(NULL, "host", "ADDRESS:PORT", 0, SOURCES_MAX,
				  "admin address of a router host"),
		.files = arg_filen(NULL, NULL, "FILE", 0, SOURCES_MAX,
				   "saved output of /admin/burn"),
		.format = arg_str0(NULL, "format", "text|json|html", "output"),
		.objective = arg_dbl0(NULL, "objective", "SHARE",
				      "share of good events, default 0.95"),
		.end = arg_end(8),
	};
	void *table[] = { args.help,   args.hosts,     args.files,
			  args.format, args.objective, args.end };
	int errors = arg_parse(argc, argv, table);
	int status = EXIT_USAGE;

	if (args.help->count) {
		printf("usage: pistachiorack-report [--host ADDRESS:PORT]... "
		       "[FILE]...\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		printf("The operators' key is read from the environment "
		       "variable PISTACHIORACK_OPERATOR_KEY.\n"
		       "exit: 0 good, 1 a page alert, 2 usage, 3 a source "
		       "failed\n");
		status = 0;
	} else if (errors) {
		arg_print_errors(stderr, args.end, "pistachiorack-report");
	} else {
		status = run(&args);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
