/*
 * standin-check: judges a run from the records of callers, upstreams and
 * platform.
 *
 * It reads the attempts of standin-load (--out), the `GET /record` answers of
 * engines, ledgers and platform (with ?table=bills for the bills) and makes the
 * checks that are asked for:
 *
 *   --once      a key runs at most once; each run belongs to an attempt that
 *               was not told `not_run`; all answers of a key are the same
 *   --not-run   no upstream saw a request whose caller was told `not_run`
 *   --answers   whole answers are the expected ones
 *   --bills     each finished request has one bill, and no refused one has any
 *   --whole     every attempt that was connected got a whole answer
 *   --sessions  a session's version changes only with x-session-moved
 *   --monotonic    no host answers from a version "v<number>" that is lower
 *               than one it answered from before
 *   --no-fall   no engine fell over from too much work in its cold start
 *   --forbid WORKSPACE:VERSION:FROM    no work on it later than --grace after
 *               FROM (wall clock, ms); WORKSPACE may be *
 *   --closed NAME:FROM:TO    no new work on this upstream or zone from --grace
 *               after FROM until TO
 *   --attempts RATIO:RESERVE    chat attempts at engines do not exceed RATIO x
 *               requests + RESERVE
 *
 * Not counted as faults, but reported: bills of callers that left, bills of
 * broken answers of hosts named by --killed (the bill is held before the last
 * byte goes out), and runs without a bill whose answer reached nobody.
 *
 * Exit code: 0, 1 on a violation or when the checks had nothing to look at, 2
 * for wrong arguments.
 */
#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "standin-check/check.h"

#define ARGS_MAX  16
#define FILES_MAX 64
#define USAGE     2
#define GRACE_MS  3000

typedef struct args_t {
	struct arg_lit *help, *once, *not_run, *answers, *bills, *whole;
	struct arg_lit *sessions, *monotonic, *no_fall;
	struct arg_str *calls, *record, *forbid, *closed, *killed, *attempts;
	struct arg_int *grace, *least;
	struct arg_end *end;
} args_t;

#define ARGS_COUNT (sizeof(args_t) / sizeof(void *))

static void make_args(args_t *args)
{
	*args = (args_t){
		.help = arg_lit0(NULL, "help", "print this text"),
		.once = arg_lit0(NULL, "once", "runs of a key"),
		.not_run = arg_lit0(NULL, "not-run", "truth of not_run"),
		.answers = arg_lit0(NULL, "answers", "content of answers"),
		.bills = arg_lit0(NULL, "bills", "bills of requests"),
		.whole = arg_lit0(NULL, "whole", "no request was cut"),
		.sessions = arg_lit0(NULL, "sessions", "versions of sessions"),
		.monotonic = arg_lit0(NULL, "monotonic", "versions of hosts"),
		.no_fall = arg_lit0(NULL, "no-fall", "engines that fell"),
		.calls = arg_strn(NULL, "calls", "FILE", 1, FILES_MAX,
				  "--out of the load program"),
		.record = arg_strn(NULL, "record", "FILE", 0, FILES_MAX,
				   "record of a stand-in"),
		.forbid = arg_strn(NULL, "forbid", "WORKSPACE:VERSION:FROM", 0,
				   CHECK_RULES_MAX, "no work on a version"),
		.closed =
			arg_strn(NULL, "closed", "NAME:FROM:TO", 0,
				 CHECK_RULES_MAX, "no work on upstream, zone"),
		.killed = arg_strn(NULL, "killed", "HOST", 0, CHECK_RULES_MAX,
				   "host that was killed"),
		.attempts = arg_str0(NULL, "attempts", "RATIO:RESERVE",
				     "bound of attempts"),
		.grace = arg_int0(NULL, "grace-ms", "MS", "time of a change"),
		.least = arg_int0(NULL, "least", "N", "whole answers needed"),
		.end = arg_end(ARGS_MAX),
	};
	args->grace->ival[0] = GRACE_MS;
	args->least->ival[0] = 1;
}

static int load_files(check_t *check, const args_t *args)
{
	int rc = 0;

	for (int i = 0; i < args->calls->count && !rc; i++)
		rc = check_load_calls(check, args->calls->sval[i]);
	for (int i = 0; i < args->record->count && !rc; i++)
		rc = check_load_record(check, args->record->sval[i]);
	for (int i = 0; i < args->killed->count; i++)
		json_object_set_new(check->killed, args->killed->sval[i],
				    json_true());
	return rc;
}

static int run_rules(check_t *check, const args_t *args)
{
	int rc = 0;

	for (int i = 0; i < args->forbid->count && !rc; i++)
		rc = check_forbidden(check, args->forbid->sval[i]);
	for (int i = 0; i < args->closed->count && !rc; i++)
		rc = check_closed(check, args->closed->sval[i]);
	if (args->attempts->count && !rc)
		rc = check_attempts(check, args->attempts->sval[0]);
	return rc;
}

static int run(check_t *check, const args_t *args)
{
	int rc;

	check_open(check);
	check->grace_ms = args->grace->ival[0];
	rc = load_files(check, args);
	if (rc)
		return rc;
	if (args->once->count)
		check_once(check);
	if (args->not_run->count)
		check_not_run(check);
	if (args->answers->count)
		check_answers(check);
	if (args->bills->count)
		check_bills(check);
	if (args->whole->count)
		check_whole(check);
	if (args->sessions->count)
		check_sessions(check);
	if (args->monotonic->count)
		check_monotonic(check);
	if (args->no_fall->count && check->fell)
		check_violation(check, "engines fell over %llu times",
				(unsigned long long)check->fell);
	rc = run_rules(check, args);
	check_least(check, (size_t)args->least->ival[0]);
	return rc;
}

int main(int argc, char **argv)
{
	static check_t check;
	args_t args;
	int rc;

	pr_log_init("standin-check");
	make_args(&args);
	if (arg_parse(argc, argv, (void **)&args) > 0 || args.help->count) {
		arg_print_errors(stderr, args.end, argv[0]);
		arg_print_glossary(stdout, (void **)&args, "  %-32s %s\n");
		rc = args.help->count ? 0 : USAGE;
		arg_freetable((void **)&args, ARGS_COUNT);
		return rc;
	}
	rc = run(&check, &args);
	if (rc)
		pr_log(PR_LOG_ERR, "%s", pr_error_last());
	else
		check_print_summary(&check);
	check_close(&check);
	arg_freetable((void **)&args, ARGS_COUNT);
	if (rc)
		return USAGE;
	return check.violations ? EXIT_FAILURE : EXIT_SUCCESS;
}
