/* Blocking HTTP calls on a libuv loop of their own. */
#include <stdio.h>
#include <stdlib.h>

#include "ctl/ctl.h"
#include "pistachiorack/http.h"

/* Time without progress after which a call is given up, milliseconds. */
#define IO_TIMEOUT_MS 2000

typedef struct call_t {
	pr_http_call_t call;
	pr_str_t *answer;
	int status;
	bool done;
	pr_attempt_stage_t stage;
} call_t;

static void on_head(pr_http_call_t *call, int status,
		    const pr_http_header_t *headers, size_t count)
{
	((call_t *)call->data)->status = status;
}

static void on_body(pr_http_call_t *call, pr_slice_t bytes)
{
	pr_str_append(((call_t *)call->data)->answer, bytes.ptr, bytes.len);
}

static void on_done(pr_http_call_t *call, pr_attempt_stage_t stage,
		    const char *error)
{
	call_t *own = call->data;

	own->done = true;
	own->stage = stage;
}

static const pr_http_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.released = NULL,
};

static void run_call(call_t *own, uv_loop_t *loop, pr_http_client_t *client,
		     pr_http_target_t *target, const char *path,
		     const pr_str_t *body)
{
	const char *key = getenv("PISTACHIORACK_OPERATOR_KEY");
	pr_str_t bearer = PR_STR_INIT;
	pr_http_header_t headers[2];
	size_t count = 0;

	pr_str_appendf(&bearer, "Bearer %s", key ? key : "");
	if (key)
		headers[count++] =
			(pr_http_header_t){ PR_SLICE("authorization"),
					    pr_str_slice(&bearer) };
	if (body)
		headers[count++] =
			(pr_http_header_t){ PR_SLICE("content-type"),
					    PR_SLICE("application/json") };
	own->call.ops = &call_ops;
	own->call.data = own;
	if (!pr_http_call_start(&own->call, client, target,
				body ? "POST" : "GET", pr_slice_of(path),
				headers, count,
				body ? pr_str_slice(body) : pr_slice("", 0)))
		while (!own->done)
			uv_run(loop, UV_RUN_ONCE);
	pr_str_finish(&bearer);
}

int ctl_call(pr_str_t *answer, const char *where, const char *path,
	     const pr_str_t *body)
{
	const char *colon = strrchr(where, ':');
	pr_http_client_t *client = NULL;
	pr_http_target_t *target = NULL;
	call_t own = { .answer = answer };
	char address[64] = "";
	uv_loop_t loop;

	if (!colon || pr_slice_copy(address, sizeof(address),
				    pr_slice(where, (size_t)(colon - where)))) {
		fprintf(stderr, "%s is not ADDRESS:PORT\n", where);
		return 0;
	}
	if (uv_loop_init(&loop))
		return 0;
	if (!pr_http_client_open(&client, &loop, IO_TIMEOUT_MS) &&
	    !pr_http_target_open(&target, client, address,
				 (uint16_t)strtoul(colon + 1, NULL, 10), 1)) {
		run_call(&own, &loop, client, target, path, body);
		pr_http_target_close(target);
	}
	if (client)
		pr_http_client_close(client);
	/* Lets h2o close its sockets and timers; the loop is left then. */
	for (int i = 0; i < 16; i++)
		uv_run(&loop, UV_RUN_NOWAIT);
	uv_loop_close(&loop);
	return own.done && own.stage == PR_STAGE_DONE ? own.status : 0;
}
