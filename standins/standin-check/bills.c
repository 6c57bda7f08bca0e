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

/* The bill of a chat answer, or of a change that this call ran itself. */
static void check_finished_call(check_t *check, const char *request,
				json_int_t bills, bool ran)
{
	if (bills == 1)
		check_count(check, "billed_once", 1);
	else if (bills > 1)
		check_violation(check, "%s was billed %lld times", request,
				(long long)bills);
	else if (ran)
		check_violation(check, "%s was answered, but not billed",
				request);
	else
		check_count(check, "repeated_answers", 1);
}

static void check_open_call(check_t *check, const char *request,
			    json_int_t bills, const json_t *call)
{
	if (!bills)
		return;
	if (bills > 1)
		check_violation(check, "%s was billed %lld times", request,
				(long long)bills);
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

/* Requests that ran a change, by request id. */
static json_t *index_runs(const check_t *check)
{
	json_t *index = json_object();
	char request[NAME_BYTES];
	json_t *run;
	size_t i;

	json_array_foreach(check->runs, i, run)
	{
		check_request_of(request, sizeof(request),
				 check_text(run, "attempt"));
		json_object_set(index, request, run);
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
	json_t *left = json_deep_copy(check->bills);
	const char *request;
	char key[NAME_BYTES];
	json_t *call;

	json_object_foreach(check->by_request, request, call)
	{
		json_int_t bills;

		if (!check_bill_key(key, sizeof(key), request))
			continue;
		bills = json_integer_value(json_object_get(check->bills, key));
		json_object_del(left, key);
		if (check_finished(call))
			check_finished_call(
				check, request, bills,
				is_chat(call) ||
					json_object_get(runs, request));
		else
			check_open_call(check, request, bills, call);
	}
	json_object_foreach(left, request,
			    call) if (json_integer_value(call) > 1)
		check_violation(check, "%s was billed %lld times", request,
				(long long)json_integer_value(call));
	check_count(check, "bills_of_unseen", json_object_size(left));
	if (json_object_size(left) > count_unmatched(check))
		check_violation(check, "%zu bills without a caller",
				json_object_size(left));
	json_decref(runs);
	json_decref(left);
}
