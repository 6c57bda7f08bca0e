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

#include <b64/cencode.h>
#include <cmocka.h>
#include <jansson.h>
#include <unistd.h>

#include "pistachiorack/http.h"
#include "review_documents.h"

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

/* Rows of the operator's table on the platform: the document in force. */
static void answer_rows(pr_http_request_t *request)
{
	static char value[sizeof(routing_document) * 2];
	base64_encodestate state;
	int len;

	base64_init_encodestate(&state);
	len = base64_encode_block(routing_document,
				  (int)strlen(routing_document), value, &state);
	len += base64_encode_blockend(value + len, &state);
	value[len] = '\0';
	answer_json(request, 200,
		    json_pack("{s:[{s:s,s:i,s:s}],s:i}", "rows", "key",
			      "config", "ver", 4, "value", value, "ver", 5));
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
	else if (pr_slice_equal(request->path, PR_SLICE("/rows-get")))
		answer_rows(request);
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

static void write_changed(const char *path, const char *text, const char *from,
			  const char *to)
{
	pr_str_t changed = PR_STR_INIT;

	replace_once(&changed, text, from, to);
	write_file(path, pr_str_cstr(&changed));
	pr_str_finish(&changed);
}

/* Guards against a document of the platform that is taken for another format,
 * and against exit codes that scripts cannot rely on. */
static void platform_documents_are_checked(void **state)
{
	char out[8192];

	write_file("test_ctl_op.json", routing_document);
	write_changed("test_ctl_op_shadow.json", routing_document, "/chat/",
		      "/ledger/");
	write_changed("test_ctl_op_warn.json", routing_document, "2500", "300");
	write_changed("test_ctl_op_broken.json", routing_document, "2500,",
		      "2500");
	assert_int_equal(ctl(out, sizeof(out), "check test_ctl_op.json"), 0);
	assert_string_equal(out, "");
	assert_int_equal(ctl(out, sizeof(out), "check test_ctl_op_shadow.json"),
			 1);
	assert_string_equal(out, "test_ctl_op_shadow.json:11: error: "
				 "routes[1]: routes[0] 'ledger' has the same "
				 "host and prefix and comes first (the route "
				 "never matches a request)\n");
	assert_int_equal(
		ctl(out, sizeof(out), "check --json test_ctl_op_shadow.json"),
		1);
	assert_non_null(strstr(out, "\"effect\": \"the route never"));
	assert_int_equal(ctl(out, sizeof(out), "check test_ctl_op_warn.json"),
			 0);
	assert_non_null(strstr(out, ":6: warning: routes[0].timeout-ms:"));
	assert_int_equal(
		ctl(out, sizeof(out), "check --strict test_ctl_op_warn.json"),
		1);
	assert_int_equal(
		ctl(out, sizeof(out), "check --strict test_ctl_op.json"), 0);
	assert_int_equal(ctl(out, sizeof(out), "check test_ctl_op_broken.json"),
			 1);
	assert_non_null(strstr(out, "test_ctl_op_broken.json:7: error: "));
	assert_int_equal(
		ctl(out, sizeof(out), "check --json test_ctl_op_broken.json"),
		1);
	assert_non_null(strstr(out, "\"valid\": false"));
	write_file("test_ctl_empty.json", "");
	assert_int_equal(ctl(out, sizeof(out), "check test_ctl_empty.json"), 1);
}

/* Guards against comparisons that miss a change or compare the wrong way. */
static void documents_are_compared(void **state)
{
	char out[8192], command[256];

	write_file("test_ctl_op.json", routing_document);
	write_changed("test_ctl_op_new.json", routing_document,
		      "\"version\": 7,", "\"version\": 8,");
	assert_int_equal(ctl(out, sizeof(out),
			     "check test_ctl_op_new.json --against "
			     "test_ctl_op.json"),
			 0);
	assert_string_equal(out, "");
	write_changed("test_ctl_op_new.json", routing_document, "2500", "3000");
	assert_int_equal(ctl(out, sizeof(out),
			     "check test_ctl_op_new.json --against "
			     "test_ctl_op.json"),
			 1);
	assert_non_null(strstr(out, ":2: error: version: 7 is not above"));
	assert_non_null(strstr(out, "change: routes/ledger/timeout-ms: 2500 -> "
				    "3000 (requests may take longer"));
	snprintf(command, sizeof(command),
		 "check test_ctl_op_new.json --json --platform %s", where);
	assert_int_equal(ctl(out, sizeof(out), command), 1);
	assert_non_null(strstr(out, "\"before\": \"2500\""));
	snprintf(command, sizeof(command), "check --platform %s", where);
	assert_int_equal(ctl(out, sizeof(out), command), 0);
	assert_int_equal(ctl(out, sizeof(out), "check --platform 127.0.0.1:1"),
			 3);
	assert_int_equal(ctl(out, sizeof(out),
			     "diff test_ctl_op.json test_ctl_op_new.json"),
			 1);
	assert_string_equal(out, "routes/ledger/timeout-ms: 2500 -> 3000\n");
	assert_int_equal(ctl(out, sizeof(out),
			     "diff test_ctl_op.json test_ctl_good.yaml"),
			 2);
	assert_int_equal(ctl(out, sizeof(out),
			     "check test_ctl_good.yaml --against none.yaml"),
			 3);
	write_changed("test_ctl_moved.yaml", document, "port: 1", "port: 2");
	assert_int_equal(ctl(out, sizeof(out),
			     "check test_ctl_moved.yaml --against "
			     "test_ctl_good.yaml"),
			 0);
	assert_non_null(strstr(out, "change: upstreams/e1/port: 1 -> 2 "
				    "(requests go to the new port)"));
	assert_non_null(strstr(out, "warning: zones[1]: no upstream is in "
				    "zone 'ipoh'"));
}

/* Guards against a repeat budget and regions that are read otherwise than by
 * hosts. */
static void settings_are_read(void **state)
{
	char out[8192];

	write_changed("test_ctl_op_repeats.json", routing_document,
		      "\"max-attempts\": 2", "\"max-attempts\": 4");
	write_file("test_ctl_host.yaml",
		   "host: h1\nzone: z1\nregion: north\n"
		   "zones: [{name: z1, region: north}]\n"
		   "listen: 127.0.0.1:1\nready: 127.0.0.1:2\n"
		   "metrics: 127.0.0.1:3\npeer: 127.0.0.1:4\n"
		   "store: 127.0.0.1:5\nbounds: {repeats_ratio: 0.9}\n");
	assert_int_equal(ctl(out, sizeof(out),
			     "check test_ctl_op_repeats.json --settings "
			     "test_ctl_host.yaml"),
			 0);
	assert_non_null(strstr(out, "4 attempts need 3 repeats; the settings "
				    "allow 0.9 per request"));
	assert_non_null(strstr(out, "no zone of the settings is in region "
				    "'south'"));
	assert_int_equal(ctl(out, sizeof(out),
			     "check test_ctl_op_repeats.json --settings "
			     "none.yaml"),
			 3);
}

/* Guards against a crash of the program on any file; the checks themselves see
 * many more changes in test_review and test_fleet_review. */
static void changed_files_never_crash(void **state)
{
	static const char *const documents[] = { routing_document,
						 fleet_document };
	static char out[1 << 16];
	uint64_t seed = change_seed();
	pr_rand_t rand;

	print_message("seed %llu\n", (unsigned long long)seed);
	assert_int_equal(pr_rand_init(&rand, seed), 0);
	for (int i = 0; i < 200; i++) {
		pr_str_t text = PR_STR_INIT;
		FILE *file = fopen("test_ctl_changed", "w");
		int rc;

		assert_non_null(file);
		change_document(&text, documents[i % 2], &rand);
		if (text.len)
			fwrite(text.ptr, 1, text.len, file);
		fclose(file);
		rc = ctl(out, sizeof(out),
			 i % 4 < 2 ? "check test_ctl_changed"
				   : "check --json test_ctl_changed");
		if (rc != 0 && rc != 1)
			fail_msg("exit code %d: %s\n%s", rc, out,
				 pr_str_cstr(&text));
		/* An error is never silent. */
		assert_true(!rc || *out);
		pr_str_finish(&text);
	}
	pr_rand_finish(&rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(offline_commands_tell_faults),
		cmocka_unit_test(changes_are_applied_once),
		cmocka_unit_test(platform_documents_are_checked),
		cmocka_unit_test(documents_are_compared),
		cmocka_unit_test(settings_are_read),
		cmocka_unit_test(changed_files_never_crash),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
