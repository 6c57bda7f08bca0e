/* Checks of bills against calls and runs. */
#include <string.h>

#include "check.h"

#define NAME_BYTES 512

static bool is_left(const json_t *call)
{
	const char *code = check_text(call, "code");

	return strcmp(code, "caller_left") == 0 || strcmp(code, "timeout") == 0;
}

static bool is_chat(const json_t *call)
{
	return check_text(call, "version")[0];
}

/* "host-1-<boot>-<number>" belongs to a killed host "host-1". */
static bool is_killed(const check_t *check, const char *request)
{
	const char *host;
	json_t *value;

	json_object_foreach(check->killed, host, value)
	{
		size_t len = strlen(host);

		if (strncmp(request, host, len) == 0 && request[len] == '-')
			return true;
	}
	return false;
}

/* Tokens that engines gave for a request: of whole runs, and of all. */
static void sum_tokens(const json_t *runs, int64_t *whole, int64_t *all)
{
	json_t *run;
	size_t i;

	*whole = *all = 0;
	json_array_foreach(runs, i, run)
	{
		int64_t tokens = check_number(run, "tokens");

		*all += tokens;
		if (strcmp(check_text(run, "outcome"), "done") == 0)
			*whole += tokens;
	}
}

/* The bill has the caller's workspace and version, and the tokens of the whole
 * runs, to which a resumed stream adds those of the run that broke. */
static void check_content(check_t *check, const char *request,
			  const json_t *bill, const json_t *call,
			  const json_t *runs)
{
	const char *workspace = json_string_value(json_array_get(bill, 1));
	const char *version = json_string_value(json_array_get(bill, 3));
	const char *at = strchr(check_text(call, "version"), '@');
	int64_t tokens = json_integer_value(json_array_get(bill, 5));
	int64_t whole, all;

	if (!workspace || strcmp(workspace, check_text(call, "workspace")) != 0)
		check_violation(check, "%s was billed to %s", request,
				workspace ? workspace : "nobody");
	if (!at)
		return;
	if (!version || strcmp(version, at + 1) != 0)
		check_violation(check, "%s was billed for version %s", request,
				version ? version : "none");
	sum_tokens(runs, &whole, &all);
	if (tokens < whole || tokens > all)
		check_violation(check,
				"%s was billed for %lld tokens, engines gave "
				"%lld to %lld",
				request, (long long)tokens, (long long)whole,
				(long long)all);
}

/* The bill of a chat answer, or of a change that this call ran itself. */
static void check_finished_call(check_t *check, const char *request,
				size_t bills, bool ran)
{
	if (bills == 1)
		check_count(check, "billed_once", 1);
	else if (bills > 1)
		check_violation(check, "%s was billed %zu times", request,
				bills);
	else if (ran)
		check_violation(check, "%s was answered, but not billed",
				request);
	else
		check_count(check, "repeated_answers", 1);
}

static void check_open_call(check_t *check, const char *request, size_t bills,
			    const json_t *call)
{
	if (!bills)
		return;
	if (bills > 1)
		check_violation(check, "%s was billed %zu times", request,
				bills);
	else if (is_left(call))
		check_count(check, "bills_of_left", 1);
	else if (is_killed(check, request))
		check_count(check, "bills_of_killed", 1);
	else
		check_violation(check, "%s was billed, but got %lld %s",
				request,
				(long long)check_number(call, "status"),
				check_text(call, "code"));
}

/* Arrays of runs by request id. */
static json_t *index_runs(const check_t *check)
{
	json_t *index = json_object();
	char request[NAME_BYTES];
	json_t *run, *list;
	size_t i;

	json_array_foreach(check->runs, i, run)
	{
		check_request_of(request, sizeof(request),
				 check_text(run, "attempt"));
		list = json_object_get(index, request);
		if (!list) {
			list = json_array();
			json_object_set_new(index, request, list);
		}
		json_array_append(list, run);
	}
	return index;
}

/* Callers that never saw a request id cannot be matched with a bill. */
static uint64_t count_unmatched(const check_t *check)
{
	uint64_t count = 0;
	json_t *call;
	size_t i;

	json_array_foreach(check->calls, i, call) count +=
		!check_text(call, "request_id")[0] &&
		strcmp(check_text(call, "verdict"), "not_run") != 0;
	return count;
}

void check_bills(check_t *check)
{
	json_t *runs = index_runs(check);
	json_t *left = json_copy(check->bills);
	const char *request;
	char key[NAME_BYTES];
	json_t *call, *bills, *own;

	json_object_foreach(check->by_request, request, call)
	{
		if (!check_bill_key(key, sizeof(key), request))
			continue;
		bills = json_object_get(check->bills, key);
		own = json_object_get(runs, request);
		json_object_del(left, key);
		if (!check_finished(call)) {
			check_open_call(check, request, json_array_size(bills),
					call);
			continue;
		}
		check_finished_call(check, request, json_array_size(bills),
				    is_chat(call) || own);
		if (json_array_size(bills) == 1)
			check_content(check, request, json_array_get(bills, 0),
				      call, own);
	}
	json_object_foreach(left, request,
			    bills) if (json_array_size(bills) > 1)
		check_violation(check, "%s was billed %zu times", request,
				json_array_size(bills));
	check_count(check, "bills_of_unseen", json_object_size(left));
	if (json_object_size(left) > count_unmatched(check))
		check_violation(check, "%zu bills without a caller",
				json_object_size(left));
	json_decref(runs);
	json_decref(left);
}
