/* Checks of calls against runs. */
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "pistachiorack/error.h"
#include "pistachiorack/str.h"

#define NAME_BYTES 512
#define DECIMAL    10

static bool said(const json_t *call, const char *verdict)
{
	return strcmp(check_text(call, "verdict"), verdict) == 0;
}

/* True when an attempt that was not told not_run began before the run. */
static bool is_explained(const json_t *calls, int64_t at_ms)
{
	json_t *call;
	size_t i;

	json_array_foreach(calls, i, call) if (!said(call, "not_run") &&
					       check_number(call, "at_ms") <=
						       at_ms) return true;
	return false;
}

static void check_same_answer(check_t *check, const char *key,
			      const json_t *calls)
{
	const char *first = NULL;
	json_t *call;
	size_t i;

	json_array_foreach(calls, i, call)
	{
		const char *answer = check_text(call, "answer");

		if (!check_finished(call))
			continue;
		check_count(check, "changes_answered", 1);
		if (first && strcmp(first, answer) != 0)
			check_violation(check, "%s got two different answers",
					key);
		first = answer;
	}
}

void check_once(check_t *check)
{
	const char *key;
	json_t *runs, *run, *calls;
	size_t i;

	json_object_foreach(check->runs_by_key, key, runs)
	{
		calls = json_object_get(check->by_key, key);
		if (json_array_size(runs) > 1)
			check_violation(check, "%s ran %zu times", key,
					json_array_size(runs));
		json_array_foreach(
			runs, i,
			run) if (!is_explained(calls,
					       check_number(run, "at_ms")))
			check_violation(check,
					"%s ran, although every caller "
					"was told not_run",
					key);
	}
	json_object_foreach(check->by_key, key, calls)
	{
		bool change =
			!check_text(json_array_get(calls, 0), "version")[0];

		if (!change || !json_object_get(check->runs_by_key, key))
			continue;
		check_count(check, "keys_run", 1);
		if (json_array_size(calls) > 1)
			check_count(check, "keys_retried", 1);
		check_same_answer(check, key, calls);
	}
}

void check_not_run(check_t *check)
{
	char request[NAME_BYTES];
	json_t *run, *call;
	size_t i;

	json_array_foreach(check->runs, i, run)
	{
		check_request_of(request, sizeof(request),
				 check_text(run, "attempt"));
		call = json_object_get(check->by_request, request);
		/* An engine records a request that it queued and never began.
		 */
		if (json_is_false(json_object_get(run, "started")))
			continue;
		if (call && said(call, "not_run"))
			check_violation(check,
					"%s ran at %s, its caller was told "
					"not_run (%s)",
					request, check_text(run, "upstream"),
					check_text(call, "code"));
	}
	json_array_foreach(check->calls, i, call) if (said(call, "not_run"))
		check_count(check, "told_not_run", 1);
}

void check_answers(check_t *check)
{
	json_t *call;
	size_t i;

	json_array_foreach(
		check->calls, i,
		call) if (strcmp(check_text(call, "check"), "wrong") == 0)
		check_violation(check, "%s (%s) got a wrong answer",
				check_text(call, "key"),
				check_text(call, "request_id"));
}

void check_whole(check_t *check)
{
	json_t *call;
	size_t i;

	json_array_foreach(check->calls, i, call)
	{
		int64_t status = check_number(call, "status");

		if (check_finished(call))
			continue;
		/* Nothing was sent: the caller goes to another host. */
		if (!status && said(call, "not_run")) {
			check_count(check, "not_connected", 1);
			continue;
		}
		/* A load balancer sends nothing before /readyz; the load
		 * program does not ask. */
		if (strcmp(check_text(call, "code"), "not_ready") == 0 &&
		    said(call, "not_run")) {
			check_count(check, "not_ready", 1);
			continue;
		}
		check_violation(check, "%s at %s: status %lld, %s, %s",
				check_text(call, "key"),
				check_text(call, "entry"), (long long)status,
				check_text(call, "code"),
				check_text(call, "verdict"));
	}
}

/* The call began after the one before it had ended. */
static void check_session_call(check_t *check, const json_t *before,
			       const json_t *call)
{
	const char *old = check_text(before, "version");
	const char *new = check_text(call, "version");
	bool same = strcmp(old, new) == 0;
	bool moved = check_text(call, "moved")[0];

	if (!moved && !same)
		check_violation(check,
				"session %lld changed from %s to %s without "
				"x-session-moved",
				(long long)check_number(call, "session"), old,
				new);
	if (moved && same)
		check_violation(check, "session %lld was moved to %s twice",
				(long long)check_number(call, "session"), new);
}

/*
 * Calls are in the order of their ends. A call that overlaps the move may still
 * answer from the old version, so only calls that began after the last one
 * ended are compared.
 */
void check_sessions(check_t *check)
{
	json_t *last = json_object();
	char name[NAME_BYTES];
	json_t *call, *before;
	size_t i;

	json_array_foreach(check->calls, i, call)
	{
		const char *moved = check_text(call, "moved");

		if (check_number(call, "session") < 0 || !check_finished(call))
			continue;
		snprintf(name, sizeof(name), "%lld",
			 (long long)check_number(call, "session"));
		before = json_object_get(last, name);
		if (moved[0])
			check_count(check, "sessions_moved", 1);
		if (before && check_number(call, "at_ms") >
				      check_number(before, "at_ms") +
					      check_number(before, "total_ms"))
			check_session_call(check, before, call);
		json_object_set(last, name, call);
	}
	json_decref(last);
}

static long version_number(const json_t *call)
{
	const char *at = strstr(check_text(call, "version"), "@v");

	return at && check_finished(call) ? strtol(at + 2, NULL, DECIMAL) : -1;
}

void check_monotonic(check_t *check)
{
	size_t i, j;
	json_t *later, *earlier;

	json_array_foreach(check->calls, i, later)
	{
		long number = version_number(later);

		for (j = 0; number >= 0 && j < i; j++) {
			earlier = json_array_get(check->calls, j);
			if (version_number(earlier) <= number ||
			    strcmp(check_text(earlier, "entry"),
				   check_text(later, "entry")) != 0 ||
			    check_number(later, "at_ms") <=
				    check_number(earlier, "at_ms") +
					    check_number(earlier, "total_ms"))
				continue;
			check_violation(check, "%s went back from %s to %s",
					check_text(later, "entry"),
					check_text(earlier, "version"),
					check_text(later, "version"));
			break;
		}
	}
}

void check_least(check_t *check, size_t least)
{
	size_t whole = 0;
	json_t *call;
	size_t i;

	json_array_foreach(check->calls, i, call) whole += check_finished(call);
	check_count(check, "whole_answers", whole);
	if (whole < least)
		check_violation(check, "%zu whole answers, needed %zu", whole,
				least);
}

/* Splits off the text up to the next colon. */
static int take_part(char *out, size_t size, const char **text)
{
	size_t len = strcspn(*text, ":");

	if (pr_slice_copy(out, size, pr_slice(*text, len)))
		return PR_EINVALID;
	*text += len + ((*text)[len] == ':');
	return 0;
}

int check_forbidden(check_t *check, const char *rule)
{
	char workspace[NAME_BYTES], version[NAME_BYTES];
	const char *rest = rule;
	int64_t from;
	json_t *run;
	size_t i;

	if (take_part(workspace, sizeof(workspace), &rest) ||
	    take_part(version, sizeof(version), &rest) || !rest[0])
		return pr_error_set(PR_EINVALID, "--forbid %s", rule);
	from = strtoll(rest, NULL, DECIMAL);
	json_array_foreach(check->runs, i, run)
	{
		int64_t arrived = check_number(run, "arrived_ms");

		if (strcmp(check_text(run, "version"), version) != 0 ||
		    (workspace[0] != '*' &&
		     strcmp(check_text(run, "workspace"), workspace) != 0))
			continue;
		check_count(check, "runs_before", arrived < from);
		if (arrived > from + check->grace_ms)
			check_violation(check,
					"%s of %s ran on %s %lld ms after it "
					"was forbidden",
					check_text(run, "attempt"),
					check_text(run, "workspace"), version,
					(long long)(arrived - from));
	}
	return 0;
}

int check_closed(check_t *check, const char *rule)
{
	char name[NAME_BYTES], number[NAME_BYTES];
	const char *rest = rule;
	int64_t from, to;
	json_t *run;
	size_t i;

	if (take_part(name, sizeof(name), &rest) ||
	    take_part(number, sizeof(number), &rest) || !rest[0])
		return pr_error_set(PR_EINVALID, "--closed %s", rule);
	from = strtoll(number, NULL, DECIMAL);
	to = strtoll(rest, NULL, DECIMAL);
	json_array_foreach(check->runs, i, run)
	{
		int64_t arrived = check_number(run, "arrived_ms");

		if (strcmp(check_text(run, "upstream"), name) != 0 &&
		    strcmp(check_text(run, "zone"), name) != 0)
			continue;
		check_count(check, "runs_before", arrived < from);
		check_count(check, "runs_after", arrived > to);
		if (arrived > from + check->grace_ms && arrived < to)
			check_violation(check,
					"%s ran at %s %lld ms after %s was "
					"closed",
					check_text(run, "attempt"),
					check_text(run, "upstream"),
					(long long)(arrived - from), name);
	}
	return 0;
}

int check_attempts(check_t *check, const char *rule)
{
	char *end;
	double ratio = strtod(rule, &end);
	double reserve = *end == ':' ? strtod(end + 1, NULL) : -1;
	size_t requests = 0, attempts = check->turned_away;
	json_t *entry;
	size_t i;

	if (reserve < 0)
		return pr_error_set(PR_EINVALID, "--attempts %s", rule);
	json_array_foreach(check->calls, i, entry) requests +=
		check_number(entry, "status") != 0;
	json_array_foreach(check->runs, i, entry) attempts +=
		strcmp(check_text(entry, "kind"), "run") == 0;
	check_count(check, "requests", requests);
	check_count(check, "upstream_attempts", attempts);
	if ((double)attempts > ratio * (double)requests + reserve)
		check_violation(check,
				"%zu attempts for %zu requests, above %g x + "
				"%g",
				attempts, requests, ratio, reserve);
	return 0;
}
