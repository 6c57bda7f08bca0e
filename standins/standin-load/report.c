/* One line per attempt, and the summary. */
#include <stdlib.h>
#include <string.h>

#include "load.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

#define TIMES_FIRST 1024

int load_times_add(load_times_t *times, double value)
{
	if (times->count == times->cap) {
		size_t cap = times->cap ? times->cap * 2 : TIMES_FIRST;
		double *values = realloc(times->values, cap * sizeof(*values));

		if (!values)
			return pr_error_set(PR_ENOMEM, "no memory for times");
		times->values = values;
		times->cap = cap;
	}
	times->values[times->count++] = value;
	return 0;
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

double load_quantile(load_times_t *times, double q)
{
	size_t rank;

	if (!times->count)
		return 0;
	qsort(times->values, times->count, sizeof(double), compare);
	rank = (size_t)(q * (double)times->count);
	if (rank >= times->count)
		rank = times->count - 1;
	return times->values[rank];
}

static double ms(pr_usec_t usec)
{
	return (double)usec / (double)PR_USEC_PER_MSEC;
}

static void count_error(load_stats_t *stats, const char *code)
{
	json_int_t old =
		json_integer_value(json_object_get(stats->errors, code));

	json_object_set_new(stats->errors, code, json_integer(old + 1));
}

/* The version of a session must not change without x-session-moved. */
static void watch_session(load_request_t *request)
{
	load_session_t *session = request->session;

	if (!session || !request->version[0])
		return;
	if (session->version[0] && !request->moved[0] &&
	    strcmp(session->version, request->version) != 0)
		session->changes++;
	memcpy(session->version, request->version, sizeof(session->version));
}

static void write_line(const load_request_t *request, bool whole,
		       load_check_t check, double first, double total)
{
	static const char *const checks[] = { "none", "ok", "wrong" };
	load_t *load = request->load;
	char answer[24];
	json_t *line = json_pack("{s:s,s:i,s:s,s:s,s:s,s:i,s:s,s:s}", "key",
				 request->key, "attempt", (int)request->attempt,
				 "class", load_classes[request->class_id].name,
				 "workspace", request->workspace->name, "entry",
				 load->entries[request->entry].name, "status",
				 request->status, "verdict", request->verdict,
				 "code", request->code);

	snprintf(answer, sizeof(answer), "%016llx",
		 (unsigned long long)pr_hash64(pr_str_cstr(&request->input),
					       request->input.len, 0));
	json_object_set_new(line, "version", json_string(request->version));
	json_object_set_new(line, "request_id",
			    json_string(request->request_id));
	json_object_set_new(line, "moved", json_string(request->moved));
	json_object_set_new(line, "answer", json_string(answer));
	json_object_set_new(
		line, "session",
		json_integer(request->session
				     ? request->session - load->sessions
				     : -1));
	json_object_set_new(line, "stream", json_boolean(request->stream));
	json_object_set_new(line, "at_ms", json_integer(request->wall_ms));
	json_object_set_new(line, "first_ms", json_real(first));
	json_object_set_new(line, "total_ms", json_real(total));
	json_object_set_new(line, "bytes",
			    json_integer((json_int_t)request->bytes));
	json_object_set_new(line, "complete", json_boolean(whole));
	json_object_set_new(line, "check", json_string(checks[check]));
	json_dumpf(line, load->out, JSON_COMPACT | JSON_REAL_PRECISION(6));
	fputc('\n', load->out);
	json_decref(line);
}

void load_report_attempt(load_request_t *request, bool whole, const char *error)
{
	load_t *load = request->load;
	load_stats_t *stats = &load->stats[request->class_id];
	pr_usec_t now = load_now(load);
	bool good = whole && request->status == 200;
	load_check_t check = good ? load_check(request) : LOAD_CHECK_NONE;
	double total = ms(now - request->started);
	double first =
		request->first ? ms(request->first - request->started) : 0;

	if (good)
		snprintf(request->verdict, sizeof(request->verdict), "ran");
	else if (!request->code[0])
		snprintf(request->code, sizeof(request->code), "%s",
			 error ? error : "http_status");
	stats->attempts++;
	if (good && check == LOAD_CHECK_OK) {
		stats->ok++;
		load_times_add(&stats->total, total);
		if (request->first)
			load_times_add(&stats->first, first);
	} else if (check == LOAD_CHECK_WRONG) {
		stats->wrong++;
		count_error(stats, "wrong_answer");
	} else {
		count_error(stats, request->code);
	}
	if (good)
		watch_session(request);
	if (load->out)
		write_line(request, whole, check, first, total);
}

static json_t *times_json(load_times_t *times)
{
	return json_pack("{s:f,s:f,s:f}", "p50", load_quantile(times, 0.50),
			 "p95", load_quantile(times, 0.95), "p99",
			 load_quantile(times, 0.99));
}

static json_t *class_json(load_stats_t *stats)
{
	return json_pack("{s:I,s:I,s:I,s:I,s:O,s:o,s:o}", "requests",
			 (json_int_t)stats->requests, "attempts",
			 (json_int_t)stats->attempts, "ok",
			 (json_int_t)stats->ok, "wrong",
			 (json_int_t)stats->wrong, "errors", stats->errors,
			 "first_ms", times_json(&stats->first), "total_ms",
			 times_json(&stats->total));
}

void load_report_summary(load_t *load)
{
	json_t *classes = json_object();
	uint64_t changes = 0;
	json_t *out;

	for (int i = 0; i < LOAD_CLASSES; i++)
		if (load->stats[i].requests)
			json_object_set_new(classes, load_classes[i].name,
					    class_json(&load->stats[i]));
	for (uint32_t i = 0; i < load->options.sessions; i++)
		changes += load->sessions[i].changes;
	out = json_pack("{s:I,s:f,s:I,s:I,s:I,s:o}", "seed",
			(json_int_t)load->options.seed, "seconds",
			ms(load_now(load) - load->began) / 1000.0, "requests",
			(json_int_t)load->sent, "skipped",
			(json_int_t)load->skipped, "session_changes",
			(json_int_t)changes, "classes", classes);
	json_dumpf(out, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	fputc('\n', stdout);
	fflush(stdout);
	json_decref(out);
}
