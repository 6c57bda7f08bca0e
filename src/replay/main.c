/*
 * pistachiorack-replay: runs traces through the decision core.
 *
 *   pistachiorack-replay generate --deployment A|B --seed N [--requests N]
 *   pistachiorack-replay run --trace FILE [--outcomes FILE]
 *   pistachiorack-replay run --deployment A|B --seeds N-M [--outcomes FILE]
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "replay/replay.h"

#define REQUESTS_DEFAULT 200000
#define HOURS_DEFAULT    12.0

static int run_trace(const rp_trace_t *trace, rp_summary_t *summary)
{
	static rp_result_t results[RP_MODES];

	for (int m = 0; m < RP_MODES; m++) {
		int err = 0;

		if (m == RP_OURS || m == RP_STAGES)
			err = rp_run_fleet(trace, (rp_mode_t)m, trace->seed,
					   &results[m]);
		else
			rp_run_baseline(trace, (rp_mode_t)m, &results[m]);
		if (err)
			return err;
	}
	rp_summary_add(summary, results);
	return 0;
}

static int run(const char *file, const char *deployment, const char *seeds,
	       size_t count, double hours, rp_summary_t *summary)
{
	unsigned long first = 1, last = 0;
	rp_trace_t trace;
	int err;

	if (file) {
		err = rp_trace_read(&trace, file);
		if (err)
			return err;
		err = run_trace(&trace, summary);
		rp_trace_free(&trace);
		return err;
	}
	if (sscanf(seeds, "%lu-%lu", &first, &last) < 2)
		last = first = strtoul(seeds, NULL, 10);
	for (unsigned long seed = first; seed <= last; seed++) {
		err = rp_trace_generate(&trace, deployment, seed, count, hours);
		if (!err)
			err = run_trace(&trace, summary);
		rp_trace_free(&trace);
		if (err)
			return err;
	}
	return 0;
}

static int generate(const char *deployment, const char *seed, size_t count,
		    double hours)
{
	rp_trace_t trace;
	int err = rp_trace_generate(&trace, deployment, strtoul(seed, NULL, 10),
				    count, hours);

	if (!err)
		rp_trace_write(&trace, stdout);
	rp_trace_free(&trace);
	return err;
}

int main(int argc, char **argv)
{
	struct arg_str *command = arg_str1(NULL, NULL, "generate|run", NULL);
	struct arg_str *deployment =
		arg_str0(NULL, "deployment", "A|B", "default A");
	struct arg_str *seeds =
		arg_str0(NULL, "seed,seeds", "N[-M]", "default 1");
	struct arg_file *file =
		arg_file0(NULL, "trace", "FILE", "read a trace");
	struct arg_file *outcomes =
		arg_file0(NULL, "outcomes", "FILE", "stated outcomes");
	struct arg_int *count =
		arg_int0(NULL, "requests", "N", "requests per trace");
	struct arg_dbl *hours =
		arg_dbl0(NULL, "hours", "H", "virtual hours per trace");
	struct arg_end *end = arg_end(8);
	void *table[] = { command,  deployment, seeds, file,
			  outcomes, count,      hours, end };
	static rp_summary_t summary;
	int err = 0, status = 2;

	deployment->sval[0] = "A";
	seeds->sval[0] = "1";
	count->ival[0] = REQUESTS_DEFAULT;
	hours->dval[0] = HOURS_DEFAULT;
	if (arg_parse(argc, argv, table) || count->ival[0] <= 0 ||
	    hours->dval[0] <= 0) {
		arg_print_errors(stderr, end, "pistachiorack-replay");
		fprintf(stderr, "usage: pistachiorack-replay");
		arg_print_syntax(stderr, table, "\n");
		goto cleanup;
	}
	if (!strcmp(command->sval[0], "generate"))
		err = generate(deployment->sval[0], seeds->sval[0],
			       (size_t)count->ival[0], hours->dval[0]);
	else
		err = run(file->count ? file->filename[0] : NULL,
			  deployment->sval[0], seeds->sval[0],
			  (size_t)count->ival[0], hours->dval[0], &summary);
	status = err ? 2 : 0;
	if (!err && summary.traces) {
		rp_summary_print(&summary);
		if (outcomes->count) {
			err = rp_outcomes_check(outcomes->filename[0],
						&summary);
			status = err < 0 ? 2 : err > 0;
		}
	}
	if (err < 0)
		fprintf(stderr, "pistachiorack-replay: %s\n", pr_error_last());
cleanup:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
