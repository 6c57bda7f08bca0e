/* Platform client: one connection pool, a bounded number of calls. */
#include "pistachiorack/platform.h"

#include <stdlib.h>

#include "pistachiorack/error.h"

#define CALLS_MAX       1024
#define CONNECTIONS_MAX 64
#define ANSWER_MAX      (16 << 20)
#define STATUS_REFUSED  429
#define STATUS_DOWN     503

typedef struct platform_call_t {
	pr_http_call_t http;
	struct platform_call_t *prev, *next;
	pr_platform_t *platform;
	pr_timer_t timeout;
	pr_str_t body;
	int status;
	/** pr_http_call_start() has not returned yet. */
	bool starting;
	/** The call ended while it was starting. */
	bool ended;
	pr_platform_outcome_t outcome;
	pr_platform_cb callback;
	/** Frees the data of a call that never ends; may be NULL. */
	void (*drop)(void *data);
	void *data;
} platform_call_t;

struct pr_platform_t {
	pr_http_client_t *client;
	pr_http_target_t *target;
	pr_timers_t *timers;
	platform_call_t *calls;
	unsigned int count;
};

static void free_call(platform_call_t *call)
{
	pr_platform_t *platform = call->platform;

	pr_timers_unsubscribe(platform->timers, &call->timeout);
	if (call->prev)
		call->prev->next = call->next;
	else
		platform->calls = call->next;
	if (call->next)
		call->next->prev = call->prev;
	platform->count--;
	pr_str_finish(&call->body);
	free(call);
}

static void end_call(platform_call_t *call, pr_platform_outcome_t outcome)
{
	call->callback(call->data, outcome, call->status,
		       pr_str_slice(&call->body));
	free_call(call);
}

static void on_head(pr_http_call_t *http, int status,
		    const pr_http_header_t *headers, size_t count)
{
	platform_call_t *call = http->data;

	call->status = status;
}

static void on_body(pr_http_call_t *http, pr_slice_t bytes)
{
	platform_call_t *call = http->data;

	if (call->body.len + bytes.len <= ANSWER_MAX)
		pr_str_append(&call->body, bytes.ptr, bytes.len);
}

static void on_done(pr_http_call_t *http, pr_attempt_stage_t stage,
		    const char *error)
{
	platform_call_t *call = http->data;
	pr_platform_outcome_t outcome = PR_PLATFORM_ANSWERED;

	if (stage != PR_STAGE_DONE) {
		call->status = 0;
		outcome = pr_verdict_of_failure(stage, false) ==
					  PR_VERDICT_NOT_RUN
				  ? PR_PLATFORM_NOT_APPLIED
				  : PR_PLATFORM_UNKNOWN;
	} else if (call->status == STATUS_REFUSED ||
		   call->status == STATUS_DOWN) {
		outcome = PR_PLATFORM_NOT_APPLIED;
	}
	if (call->starting) {
		call->ended = true;
		call->outcome = outcome;
		return;
	}
	end_call(call, outcome);
}

static const pr_http_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.released = NULL,
};

static void on_timeout(pr_timer_t *timer, pr_usec_t now)
{
	platform_call_t *call = timer->data;
	bool sent = call->http.stage > PR_STAGE_CONNECTING;

	if (call->ended) {
		end_call(call, call->outcome);
		return;
	}
	pr_http_call_cancel(&call->http);
	call->status = 0;
	end_call(call, sent ? PR_PLATFORM_UNKNOWN : PR_PLATFORM_NOT_APPLIED);
}

int pr_platform_open(pr_platform_t **out, pr_http_client_t *client,
		     pr_timers_t *timers, const char *address, uint16_t port)
{
	pr_platform_t *platform = calloc(1, sizeof(*platform));
	int rc;

	*out = NULL;
	if (!platform)
		return pr_error_set(PR_ENOMEM, "no memory for a client");
	platform->client = client;
	platform->timers = timers;
	rc = pr_http_target_open(&platform->target, client, address, port,
				 CONNECTIONS_MAX);
	if (rc) {
		free(platform);
		return rc;
	}
	*out = platform;
	return 0;
}

void pr_platform_close(pr_platform_t *platform)
{
	platform_call_t *call = platform->calls;

	while (call) {
		platform_call_t *next = call->next;

		pr_http_call_cancel(&call->http);
		if (call->drop)
			call->drop(call->data);
		free_call(call);
		call = next;
	}
	pr_http_target_close(platform->target);
	free(platform);
}

static void link_call(pr_platform_t *platform, platform_call_t *call)
{
	call->next = platform->calls;
	if (call->next)
		call->next->prev = call;
	platform->calls = call;
	platform->count++;
}

int pr_platform_call(pr_platform_t *platform, const char *method,
		     pr_slice_t path, pr_slice_t body, pr_usec_t timeout,
		     pr_platform_cb callback, void *data)
{
	return pr_platform_call_owned(platform, method, path, body, timeout,
				      callback, NULL, data);
}

int pr_platform_call_owned(pr_platform_t *platform, const char *method,
			   pr_slice_t path, pr_slice_t body, pr_usec_t timeout,
			   pr_platform_cb callback, void (*drop)(void *data),
			   void *data)
{
	pr_http_header_t type = { PR_SLICE("content-type"),
				  PR_SLICE("application/json") };
	platform_call_t *call;
	int rc;

	if (platform->count >= CALLS_MAX)
		return pr_error_set(PR_EFULL, "too many platform calls");
	call = calloc(1, sizeof(*call));
	if (!call)
		return pr_error_set(PR_ENOMEM, "no memory for a call");
	call->platform = platform;
	call->callback = callback;
	call->drop = drop;
	call->data = data;
	call->http.ops = &call_ops;
	call->http.data = call;
	call->timeout.data = call;
	link_call(platform, call);
	pr_timers_subscribe(platform->timers, &call->timeout, timeout, 0,
			    on_timeout);
	call->starting = true;
	rc = pr_http_call_start(&call->http, platform->client, platform->target,
				method, path, &type, body.len ? 1 : 0, body);
	call->starting = false;
	if (rc)
		free_call(call);
	else if (call->ended)
		pr_timers_subscribe(platform->timers, &call->timeout, 0, 0,
				    on_timeout);
	return rc;
}

pr_timers_t *pr_platform_timers(pr_platform_t *platform)
{
	return platform->timers;
}
