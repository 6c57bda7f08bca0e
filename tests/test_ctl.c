/*
 * Tests of pistachiorackctl as a process, against a stand-in of the table row
 * and of a router host that this program runs. The working
 * directory must be the build folder, as ctest sets it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>
#include <jansson.h>
#include <unistd.h>

#include "pistachiorack/http.h"

/* ADDRESS:PORT of the stand-in; the port differs between parallel runs. */
static char where[32];

static const char document[] =
	"format: 1\n"
	"defaults: {quality_target: 0.9, first_token_ms: 9,\n"
	"  between_tokens_ms: 3, objective: 0.95}\n"
	"models:\n"
	"- name: small\n"
	"  versions: [{name: v1, price_in: 1, price_out: 1}]\n"
	"zones: [{name: prai, region: r}, {name: ipoh, region: r}]\n"
	"upstreams:\n"
	"- {name: e1, address: 127.0.0.1, port: 1, zone: prai,\n"
	"   serves: [small@v1]}\n";

static struct {
	uv_loop_t loop;
	pr_http_server_t *server;
	/* The row and what the tests set. */
	json_t *value;
	int version;
	int lose_commits;
	bool stale, wrong_key;
} standin;

static void answer_json(pr_http_request_t *request, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	pr_http_answer(request, status, "application/json", pr_slice_of(text));
	free(text);
	json_decref(body);
}

static void commit(pr_http_request_t *request)
{
	json_t *root =
		json_loadb(request->body.ptr, request->body.len, 0, NULL);
	json_t *op = json_array_get(json_object_get(root, "ops"), 0);
	const char *condition = json_string_value(json_object_get(op, "if"));
	bool applies =
		!strcmp(condition, "absent")
			? !standin.version
			: json_integer_value(json_object_get(op, "version")) ==
				  standin.version;
	json_t *result;

	if (applies) {
		json_decref(standin.value);
		standin.value = json_incref(json_object_get(op, "value"));
		standin.version++;
	}
	json_decref(root);
	if (standin.lose_commits && standin.lose_commits--) {
		pr_http_answer(request, 503, NULL, PR_SLICE("lost"));
		return;
	}
	result = applies ? json_pack("{s:b, s:i}", "applied", 1, "version",
				     standin.version)
			 : json_pack("{s:b, s:i, s:O}", "applied", 0, "version",
				     standin.version, "value", standin.value);
	answer_json(request, 200, json_pack("{s:[o]}", "results", result));
}

static void on_request(pr_http_request_t *request, void *data)
{
	pr_slice_t key = pr_http_request_header(request, "authorization");

	standin.wrong_key |= !pr_slice_equal(key, PR_SLICE("Bearer op-key"));
	if (pr_slice_equal(request->path, PR_SLICE("/v1/table/commit")))
		commit(request);
	else if (pr_slice_equal(request->path, PR_SLICE("/admin/config")))
		answer_json(request, 200,
			    json_pack("{s:i, s:b, s:s}", "version",
				      standin.version, "fresh", !standin.stale,
				      "host", "h1"));
	else if (pr_slice_equal(request->path, PR_SLICE("/admin/explain")))
		answer_json(request, 200, json_pack("{s:s}", "rule", "price"));
	else if (pr_slice_equal(request->path, PR_SLICE("/v1/hosts")))
		answer_json(request, 200,
			    json_pack("{s:[{s:s,s:s},{s:s,s:s}]}", "hosts",
				      "address", where, "state", "live",
				      "address", "127.0.0.1", "state", "live"));
	else if (!standin.version)
		pr_http_answer(request, 404, NULL, PR_SLICE(""));
	else
		answer_json(request, 200,
			    json_pack("{s:i, s:O}", "version", standin.version,
				      "value", standin.value));
}

static void write_file(const char *path, const char *text)
{
	FILE *file = fopen(path, "w");

	assert_non_null(file);
	fputs(text, file);
	fclose(file);
}

static int start(void **state)
{
	pr_http_server_options_t options = PR_HTTP_SERVER_OPTIONS_INIT;

	options.address = "127.0.0.1";
	options.port = (uint16_t)(20000 + getpid() % 10000);
	snprintf(where, sizeof(where), "127.0.0.1:%u", options.port);
	options.on_request = on_request;
	setenv("PISTACHIORACK_OPERATOR_KEY", "op-key", 1);
	write_file("test_ctl_good.yaml", document);
	uv_loop_init(&standin.loop);
	return pr_http_server_open(&standin.server, &standin.loop, &options);
}

static int stop(void **state)
{
	pr_http_server_close(standin.server);
	json_decref(standin.value);
	standin.value = NULL;
	return 0;
}

/* One run of the program, on a thread of libuv's pool. */
typedef struct job_t {
	uv_work_t work;
	char command[512];
	char *out;
	size_t size;
	int exit_code;
	bool done;
} job_t;

static void run_job(uv_work_t *work)
{
	job_t *job = work->data;
	FILE *pipe = popen(job->command, "r");
	size_t len;

	if (!pipe)
		return;
	len = fread(job->out, 1, job->size - 1, pipe);
	job->out[len] = '\0';
	job->exit_code = WEXITSTATUS(pclose(pipe));
}

static void job_done(uv_work_t *work, int status)
{
	((job_t *)work->data)->done = true;
}

/* Runs the program while the stand-in answers on this thread.
 * @return its exit code; the output is in out */
static int ctl(char *out, size_t size, const char *arguments)
{
	job_t job = { .out = out, .size = size, .exit_code = -1 };

	snprintf(job.command, sizeof(job.command),
		 "timeout 30 ./pistachiorackctl %s 2>&1", arguments);
	job.work.data = &job;
	assert_int_equal(
		uv_queue_work(&standin.loop, &job.work, run_job, job_done), 0);
	while (!job.done)
		uv_run(&standin.loop, UV_RUN_ONCE);
	return job.exit_code;
}

/* As ctl(), with the stand-in as store and as the only host. */
static int online(char *out, size_t size, const char *arguments)
{
	char all[256];

	snprintf(all, sizeof(all), "%s --store %s --host %s", arguments, where,
		 where);
	return ctl(out, size, all);
}

/* Guards against exit codes and messages that scripts cannot rely on. */
static void offline_commands_tell_faults(void **state)
{
	char out[8192], bad[2048];

	snprintf(bad, sizeof(bad), "%s", document);
	memcpy(strstr(bad, "zone: prai"), "zone: oops", 10);
	write_file("test_ctl_bad.yaml", bad);
	assert_int_equal(ctl(out, sizeof(out), "check test_ctl_good.yaml"), 0);
	assert_int_equal(ctl(out, sizeof(out), "check test_ctl_bad.yaml"), 1);
	assert_non_null(strstr(out, "test_ctl_bad.yaml:9: error: "
				    "upstreams[0].zone: zone 'oops'"));
	assert_int_equal(
		ctl(out, sizeof(out), "check --json test_ctl_bad.yaml"), 1);
	assert_non_null(strstr(out, "\"line\": 9"));
	assert_int_equal(ctl(out, sizeof(out),
			     "diff test_ctl_good.yaml test_ctl_bad.yaml"),
			 1);
	assert_string_equal(out, "upstreams/e1/zone: prai -> oops\n");
	assert_int_equal(ctl(out, sizeof(out), "show test_ctl_good.yaml"), 0);
	assert_non_null(strstr(out, "exposure_per_s: 0"));
	assert_int_equal(ctl(out, sizeof(out), "check none.yaml"), 3);
	assert_int_equal(ctl(out, sizeof(out), "check"), 2);
	assert_int_equal(ctl(out, sizeof(out), "zone --help"), 0);
	assert_non_null(strstr(out, "--reason"));
}

/* Guards against a change that is lost, written twice or reported wrongly. */
static void changes_are_applied_once(void **state)
{
	char out[8192], listed[128];

	standin.lose_commits = 1;
	assert_int_equal(online(out, sizeof(out), "apply test_ctl_good.yaml"),
			 0);
	assert_string_equal(out, "confirmed: version 1\n");
	assert_int_equal(standin.version, 1);
	assert_int_equal(
		online(out, sizeof(out), "apply test_ctl_good.yaml --base 7"),
		4);
	snprintf(listed, sizeof(listed),
		 "zone in ipoh --timeout 1 --admin-port 1 --store %s", where);
	assert_int_equal(ctl(out, sizeof(out), listed), 5);
	assert_string_equal(out, "not_confirmed: version 2\n"
				 "not confirmed by 127.0.0.1:1\n");
	assert_int_equal(online(out, sizeof(out), "zone out ipoh"), 2);
	assert_int_equal(
		online(out, sizeof(out), "zone out ipoh --reason 'power work'"),
		0);
	assert_int_equal(standin.version, 3);
	assert_string_equal(
		json_string_value(json_object_get(standin.value, "reason")),
		"power work");
	assert_int_equal(online(out, sizeof(out), "show"), 0);
	assert_non_null(strstr(out, "state: out"));
	assert_int_equal(online(out, sizeof(out), "version withdraw small v1"),
			 0);
	assert_int_equal(online(out, sizeof(out), "explain r1"), 0);
	assert_non_null(strstr(out, "price"));
	standin.stale = true;
	assert_int_equal(online(out, sizeof(out), "zone in ipoh --timeout 1"),
			 5);
	assert_non_null(strstr(out, "not confirmed by 127.0.0.1:"));
	assert_int_equal(ctl(out, sizeof(out), "show --store 127.0.0.1:1"), 3);
	assert_false(standin.wrong_key);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(offline_commands_tell_faults),
		cmocka_unit_test(changes_are_applied_once),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
