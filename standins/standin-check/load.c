/* Reads the records, and small helpers on them. */
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "pistachiorack/error.h"

#define LINE_MAX_BYTES 16384
#define NAME_BYTES     512
#define HEX            16
/* Printed violations; the rest is only counted. */
#define PRINT_MAX 20

void check_open(check_t *check)
{
	*check = (check_t){
		.calls = json_array(),
		.by_request = json_object(),
		.by_key = json_object(),
		.runs_by_key = json_object(),
		.runs = json_array(),
		.bills = json_object(),
		.killed = json_object(),
		.counts = json_object(),
	};
}

void check_close(check_t *check)
{
	json_t *all[] = { check->calls,       check->by_request, check->by_key,
			  check->runs_by_key, check->runs,       check->bills,
			  check->killed,      check->counts };

	for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++)
		json_decref(all[i]);
}

const char *check_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

int64_t check_number(const json_t *object, const char *name)
{
	return (int64_t)json_number_value(json_object_get(object, name));
}

bool check_finished(const json_t *call)
{
	return json_is_true(json_object_get(call, "complete")) &&
	       check_number(call, "status") == 200;
}

void check_violation(check_t *check, const char *format, ...)
{
	va_list args;

	if (check->violations++ >= PRINT_MAX)
		return;
	printf("VIOLATION ");
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
}

void check_count(check_t *check, const char *name, uint64_t amount)
{
	json_int_t old =
		json_integer_value(json_object_get(check->counts, name));

	json_object_set_new(check->counts, name,
			    json_integer(old + (json_int_t)amount));
}

void check_print_summary(const check_t *check)
{
	const char *name;
	json_t *value;

	printf("calls %zu, runs %zu, violations %llu",
	       json_array_size(check->calls), json_array_size(check->runs),
	       (unsigned long long)check->violations);
	json_object_foreach(check->counts, name, value)
		printf(", %s %lld", name, (long long)json_integer_value(value));
	printf("\n");
}

void check_request_of(char *out, size_t size, const char *attempt)
{
	const char *dot = strrchr(attempt, '.');
	size_t len = dot ? (size_t)(dot - attempt) : strlen(attempt);

	if (len >= size)
		len = size - 1;
	memcpy(out, attempt, len);
	out[len] = '\0';
}

bool check_bill_key(char *out, size_t size, const char *request)
{
	const char *number = strrchr(request, '-');
	const char *boot = number;
	unsigned long long value;
	char *end;

	while (boot && boot > request && boot[-1] != '-')
		boot--;
	if (!boot || boot == request)
		return false;
	value = strtoull(boot, &end, HEX) & INT64_MAX;
	if (end != number)
		return false;
	snprintf(out, size, "%.*s%llu%s", (int)(boot - request), request, value,
		 number);
	return true;
}

static void append_to(json_t *lists, const char *workspace, const char *key,
		      json_t *entry)
{
	char name[NAME_BYTES];
	json_t *list;

	snprintf(name, sizeof(name), "%s/%s", workspace, key);
	list = json_object_get(lists, name);
	if (!list) {
		list = json_array();
		json_object_set_new(lists, name, list);
	}
	json_array_append(list, entry);
}

static void add_call(check_t *check, json_t *call)
{
	const char *request = check_text(call, "request_id");

	json_array_append_new(check->calls, call);
	if (request[0])
		json_object_set(check->by_request, request, call);
	append_to(check->by_key, check_text(call, "workspace"),
		  check_text(call, "key"), call);
}

int check_load_calls(check_t *check, const char *path)
{
	FILE *file = fopen(path, "r");
	char line[LINE_MAX_BYTES];
	json_t *call;
	int rc = 0;

	if (!file)
		return pr_error_set(PR_EIO, "%s: %s", path, strerror(errno));
	while (!rc && fgets(line, sizeof(line), file)) {
		call = json_loads(line, 0, NULL);
		if (call)
			add_call(check, call);
		else
			rc = pr_error_set(PR_EPARSE, "%s: not JSON", path);
	}
	fclose(file);
	return rc;
}

static void add_bill(check_t *check, const char *host, json_int_t boot,
		     const json_t *bill)
{
	char name[NAME_BYTES];
	json_int_t count;

	snprintf(name, sizeof(name), "%s-%lld-%lld", host, (long long)boot,
		 (long long)json_integer_value(json_array_get(bill, 0)));
	count = json_integer_value(json_object_get(check->bills, name));
	json_object_set_new(check->bills, name, json_integer(count + 1));
}

static void add_bill_rows(check_t *check, const json_t *rows)
{
	json_t *row, *bill, *value;
	size_t i, j;

	json_array_foreach(rows, i, row)
	{
		value = json_object_get(row, "value");
		json_array_foreach(json_object_get(value, "bills"), j, bill)
			add_bill(check, check_text(value, "host"),
				 json_integer_value(
					 json_object_get(value, "boot")),
				 bill);
	}
}

static void add_run(check_t *check, const json_t *record, json_t *entry)
{
	bool chat = strcmp(check_text(entry, "kind"), "run") == 0;

	if (!chat && !check_text(entry, "operation")[0])
		return;
	json_object_set(entry, "upstream", json_object_get(record, "name"));
	json_object_set(entry, "zone", json_object_get(record, "zone"));
	json_object_set_new(entry, "arrived_ms",
			    json_integer(check_number(entry, "at_ms") -
					 check_number(entry, "total_ms")));
	json_array_append(check->runs, entry);
	if (!chat)
		append_to(check->runs_by_key, check_text(entry, "workspace"),
			  check_text(entry, "key"), entry);
}

int check_load_record(check_t *check, const char *path)
{
	json_error_t error;
	json_t *record = json_load_file(path, 0, &error);
	json_t *counts = json_object_get(record, "counts");
	json_t *entry;
	size_t i;

	if (!record)
		return pr_error_set(PR_EPARSE, "%s: %s", path, error.text);
	if (check_number(record, "dropped")) {
		json_decref(record);
		return pr_error_set(PR_EINVALID, "%s has lost entries", path);
	}
	json_array_foreach(json_object_get(record, "entries"), i, entry)
		add_run(check, record, entry);
	check->turned_away += (uint64_t)(check_number(counts, "outage") +
					 check_number(counts, "refused") +
					 check_number(counts, "broken_before"));
	check->fell += (uint64_t)check_number(counts, "fell_over");
	add_bill_rows(check, json_object_get(record, "rows"));
	json_decref(record);
	return 0;
}
