/*
 * Tests of src/net: the server's and the client's view of one exchange, on one
 * loop over loopback. Each guards against an outcome that the client takes for
 * another one, since verdicts are derived from it.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <cmocka.h>

#include "pistachiorack/http.h"

#define PORT       9199
#define TIMEOUT_MS 5000

typedef struct fixture_t {
	uv_loop_t *loop;
	uv_timer_t guard;
	uv_timer_t watch;
	pr_http_server_t *server;
	pr_http_client_t *client;
	pr_http_target_t *target;
	pr_http_call_t call;
	pr_http_request_t *held;
	int status;
	pr_str_t body;
	pr_attempt_stage_t stage;
	bool failed;
	bool finished;
	/* Server side. */
	bool ended;
	bool complete;
	bool gone_seen;
	size_t extra_count;
} fixture_t;

static fixture_t fixture;
/* Depends on the process, so that runs of several worktrees do not meet. */
static char address[32];
/* One loop a test; pr_http_server_close() lets the loop not run again, so it
 * cannot be closed either. */
static uv_loop_t loops[16];
static unsigned int loops_used;

static void on_end(pr_http_request_t *request, bool complete)
{
	fixture.ended = true;
	fixture.complete = complete;
	if (fixture.held == request)
		fixture.held = NULL;
}

static void on_request(pr_http_request_t *request, void *data)
{
	request->on_end = on_end;
	if (pr_slice_equal(request->path, PR_SLICE("/whole"))) {
		pr_http_answer_header(request, "x-test", PR_SLICE("value"));
		pr_http_answer(request, 200, "text/plain", request->body);
	} else if (pr_slice_equal(request->path, PR_SLICE("/break"))) {
		pr_http_request_break(request);
	} else if (pr_slice_equal(request->path, PR_SLICE("/half"))) {
		pr_http_stream_start(request, 200, "text/plain");
		pr_http_stream_write(request, PR_SLICE("half"));
		pr_http_stream_end(request, false);
	} else if (pr_slice_equal(request->path, PR_SLICE("/stream"))) {
		pr_http_stream_start(request, 200, "text/plain");
		pr_http_stream_write(request, PR_SLICE("one"));
		pr_http_stream_write(request, PR_SLICE("two"));
		pr_http_stream_end(request, true);
	} else if (pr_slice_equal(request->path, PR_SLICE("/half-break"))) {
		pr_http_stream_start(request, 200, "text/plain");
		pr_http_stream_write(request, PR_SLICE("half"));
		pr_http_request_break(request);
	} else if (pr_slice_equal(request->path, PR_SLICE("/empty"))) {
		pr_http_answer(request, 304, NULL, pr_slice("", 0));
	} else if (pr_slice_starts_with(request->path, PR_SLICE("/status/"))) {
		pr_http_answer(request, atoi(request->path.ptr + 8),
			       "text/plain", request->body);
	} else if (pr_slice_equal(request->path, PR_SLICE("/none"))) {
		pr_http_answer(request, 404, NULL, pr_slice("", 0));
	} else {
		fixture.held = request;
	}
}

static void on_head(pr_http_call_t *call, int status,
		    const pr_http_header_t *headers, size_t count)
{
	fixture.status = status;
	for (size_t i = 0; i < count; i++)
		fixture.extra_count +=
			pr_slice_equal(headers[i].name, PR_SLICE("x-test"));
}

static void on_body(pr_http_call_t *call, pr_slice_t bytes)
{
	pr_str_append(&fixture.body, bytes.ptr, bytes.len);
}

static void on_done(pr_http_call_t *call, pr_attempt_stage_t stage,
		    const char *error)
{
	assert_false(fixture.finished);
	fixture.finished = true;
	fixture.stage = stage;
	fixture.failed = error != NULL;
	if (!fixture.held)
		uv_stop(fixture.loop);
}

static const pr_http_call_ops_t ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static void on_guard(uv_timer_t *timer)
{
	uv_stop(fixture.loop);
}

static void on_watch(uv_timer_t *timer)
{
	if (!fixture.held) {
		if (fixture.gone_seen)
			uv_stop(fixture.loop);
		return;
	}
	if (fixture.call.client) {
		pr_http_call_cancel(&fixture.call);
		return;
	}
	if (pr_http_request_caller_gone(fixture.held)) {
		fixture.gone_seen = true;
		pr_http_request_break(fixture.held);
	}
}

static int set_up(void **state)
{
	pr_http_server_options_t options = PR_HTTP_SERVER_OPTIONS_INIT;

	signal(SIGPIPE, SIG_IGN);
	snprintf(address, sizeof(address), "127.11.%d.200",
		 1 + (int)getpid() % 250);
	fixture = (fixture_t){ 0 };
	options.address = address;
	options.port = PORT;
	options.on_request = on_request;
	assert_true(loops_used < sizeof(loops) / sizeof(loops[0]));
	fixture.loop = &loops[loops_used++];
	uv_loop_init(fixture.loop);
	uv_timer_init(fixture.loop, &fixture.guard);
	uv_timer_init(fixture.loop, &fixture.watch);
	uv_timer_start(&fixture.guard, on_guard, TIMEOUT_MS, 0);
	assert_int_equal(
		pr_http_server_open(&fixture.server, fixture.loop, &options),
		0);
	assert_int_equal(
		pr_http_client_open(&fixture.client, fixture.loop, TIMEOUT_MS),
		0);
	return pr_http_target_open(&fixture.target, fixture.client, address,
				   PORT, 16);
}

/* Guards against a server that cannot be closed right after a drain. */
static int tear_down(void **state)
{
	pr_http_target_close(fixture.target);
	pr_http_server_drain(fixture.server);
	uv_timer_stop(&fixture.watch);
	uv_timer_start(&fixture.guard, on_guard, 20, 0);
	uv_run(fixture.loop, UV_RUN_DEFAULT);
	pr_http_client_close(fixture.client);
	pr_http_server_close(fixture.server);
	pr_str_finish(&fixture.body);
	return 0;
}

static void run(const char *path, const char *body)
{
	fixture.call = (pr_http_call_t){ .ops = &ops };
	assert_int_equal(pr_http_call_start(&fixture.call, fixture.client,
					    fixture.target, "POST",
					    pr_slice_of(path), NULL, 0,
					    pr_slice_of(body)),
			 0);
	uv_run(fixture.loop, UV_RUN_DEFAULT);
}

/* Guards against a lost body or header. */
static void whole_answer_is_done(void **state)
{
	run("/whole", "hello");
	assert_int_equal(fixture.status, 200);
	assert_int_equal(fixture.stage, PR_STAGE_DONE);
	assert_string_equal(pr_str_cstr(&fixture.body), "hello");
	assert_int_equal(fixture.extra_count, 1);
}

/* Guards against a whole stream that the client takes for a broken one, on a
 * new, a kept-alive and a closing connection. */
static void whole_stream_is_done(void **state)
{
	for (int i = 0; i < 3; i++) {
		if (i == 2)
			pr_http_server_drain(fixture.server);
		fixture.finished = false;
		pr_str_clear(&fixture.body);
		run("/stream", "x");
		assert_int_equal(fixture.stage, PR_STAGE_DONE);
		assert_string_equal(pr_str_cstr(&fixture.body), "onetwo");
		fixture.status = 0;
	}
}

/* Guards against a client that waits for the body of an answer that has none.
 */
static void empty_answer_is_done(void **state)
{
	run("/empty", "x");
	assert_int_equal(fixture.status, 304);
	assert_int_equal(fixture.stage, PR_STAGE_DONE);
}

/* Guards against a whole answer of length 0 that is taken for a broken one: a
 * store read of a row that does not exist then never ended. */
static void answer_of_length_zero_is_done(void **state)
{
	run("/none", "x");
	assert_int_equal(fixture.status, 404);
	assert_int_equal(fixture.stage, PR_STAGE_DONE);
	assert_false(fixture.failed);
}

/* Guards against a status line before a break: the client must not see an
 * answer, and the verdict must be that the request may have run. */
static void break_sends_nothing(void **state)
{
	run("/break", "x");
	assert_true(fixture.finished);
	assert_int_equal(fixture.status, 0);
	assert_int_equal(fixture.stage, PR_STAGE_SENT);
	assert_true(fixture.failed);
}

/* Guards against an answer with a number that is no status and reaches callers:
 * h2o reads any three digits. */
static void answer_without_status_fails(void **state)
{
	static const char *const paths[] = { "/status/600", "/status/999" };

	for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		fixture.finished = false;
		run(paths[i], "x");
		assert_true(fixture.finished && fixture.failed);
		assert_int_equal(fixture.status, 0);
		assert_int_equal(fixture.stage, PR_STAGE_SENT);
	}
}

/* Guards against a broken stream that the client takes for a whole answer. */
static void half_answer_is_not_done(void **state)
{
	run("/half", "x");
	assert_true(fixture.finished);
	assert_int_not_equal(fixture.stage, PR_STAGE_DONE);
	fixture.finished = false;
	run("/half-break", "x");
	assert_true(fixture.finished);
	assert_int_not_equal(fixture.stage, PR_STAGE_DONE);
}

/* Guards against work that goes on for a caller that left, and against an
 * on_end that calls such an answer complete. */
static void gone_caller_is_seen(void **state)
{
	uv_timer_start(&fixture.watch, on_watch, 50, 20);
	run("/hold", "x");
	assert_true(fixture.gone_seen);
	assert_true(fixture.ended);
	assert_false(fixture.complete);
	assert_false(fixture.finished);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(whole_answer_is_done, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(whole_stream_is_done, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(empty_answer_is_done, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(answer_of_length_zero_is_done,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(break_sends_nothing, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(answer_without_status_fails,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(half_answer_is_not_done, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(gone_caller_is_seen, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
