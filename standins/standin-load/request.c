/* Requests: what is sent, the attempts, and retries with the same key. */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "load.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

/* A caller that leaves does so within this time, milliseconds. */
#define LEAVE_MS_MAX      200
#define HEADERS_MAX       12
#define RETRY_DOUBLES_MAX 6
/* Answers beyond this are broken off, bytes. */
#define INPUT_MAX (64 << 20)

const load_class_t load_classes[LOAD_CLASSES] = {
	[LOAD_ROUTE] = { "route", 1.0, 8, 40, 120, true, true },
	[LOAD_SUMMARY] = { "summary", 0.5, 40, 160, 1200, true, false },
	[LOAD_TAG] = { "tag", 0.0, 2, 8, 200, true, false },
	[LOAD_PICKUP] = { .name = "pickup" },
	[LOAD_PAYOUT] = { .name = "payout" },
	[LOAD_TICKET] = { .name = "ticket" },
};

static void fill_words(pr_str_t *out, pr_rand_t *rand, uint32_t bytes)
{
	size_t end = out->len + bytes;

	while (out->len < end)
		pr_str_appendf(out, "%08x ", pr_rand_below(rand, UINT32_MAX));
}

static int make_chat(load_request_t *request, const load_class_t *class)
{
	load_t *load = request->load;
	const load_options_t *options = &load->options;
	json_t *json;
	char *text;

	if (options->prefixes) {
		uint32_t which = pr_rand_below(&load->rand, options->prefixes);
		size_t end = request->prompt.len + options->prefix_bytes;

		while (request->prompt.len < end)
			pr_str_appendf(&request->prompt, "prefix %u ", which);
	}
	pr_str_appendf(&request->prompt, "%s %s ", class->name, request->key);
	fill_words(&request->prompt, &load->rand, class->prompt_bytes);
	request->tokens =
		class->tokens_min +
		pr_rand_below(&load->rand,
			      class->tokens_max - class->tokens_min + 1);
	json = json_pack("{s:s,s:i,s:b,s:[{s:s,s:s}]}", "model", options->model,
			 "max_tokens", (int)request->tokens, "stream",
			 (int)request->stream, "messages", "role", "user",
			 "content", pr_str_cstr(&request->prompt));
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	if (!text)
		return PR_ENOMEM;
	pr_str_append(&request->body, text, strlen(text));
	free(text);
	return pr_str_appendf(&request->path, "/v1/chat/completions");
}

int load_request_make(load_request_t *request)
{
	load_t *load = request->load;
	const load_class_t *class = &load_classes[request->class_id];

	snprintf(request->key, sizeof(request->key), "%s-%llu-%llu",
		 class->name, (unsigned long long)load->options.seed,
		 (unsigned long long)request->number);
	if (class->chat) {
		request->stream = pr_rand_unit(&load->rand) < class->stream;
		request->leave = request->stream && pr_rand_unit(&load->rand) <
							    load->options.leave;
		return make_chat(request, class);
	}
	pr_str_appendf(&request->body, "{\"booking\":\"%s\",\"amount\":%u}",
		       request->key, pr_rand_below(&load->rand, 100000));
	if (load->options.direct)
		return pr_str_appendf(&request->path, "/%s", class->name);
	return pr_str_appendf(&request->path, "/services/%s/%s",
			      load->options.service, class->name);
}

static void reset_attempt(load_request_t *request)
{
	struct timespec wall;

	clock_gettime(CLOCK_REALTIME, &wall);
	request->wall_ms = (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
	request->started = load_now(request->load);
	request->first = 0;
	request->status = 0;
	request->bytes = 0;
	request->parsed = 0;
	request->done_seen = request->error_event = request->sse = false;
	request->version[0] = request->model[0] = request->request_id[0] =
		request->moved[0] = request->code[0] = request->verdict[0] =
			'\0';
	pr_str_clear(&request->input);
	pr_str_clear(&request->text);
}

static void free_request(load_request_t *request)
{
	load_t *load = request->load;

	pr_timers_unsubscribe(&load->timers, &request->timer);
	pr_str_finish(&request->prompt);
	pr_str_finish(&request->body);
	pr_str_finish(&request->path);
	pr_str_finish(&request->input);
	pr_str_finish(&request->text);
	free(request);
	load_request_ended(load);
}

static void on_retry(pr_timer_t *timer, pr_usec_t now)
{
	load_request_start(timer->data);
}

/* Ends an attempt: reports it, then retries or ends the request. */
static void end_attempt(load_request_t *request, bool whole, const char *error)
{
	load_t *load = request->load;
	const load_class_t *class = &load_classes[request->class_id];
	uint32_t doubles = request->attempt - 1;

	pr_timers_unsubscribe(&load->timers, &request->timer);
	load_report_attempt(request, whole, error);
	if (class->chat || (whole && request->status == 200) ||
	    request->attempt > load->options.retries) {
		free_request(request);
		return;
	}
	if (doubles > RETRY_DOUBLES_MAX)
		doubles = RETRY_DOUBLES_MAX;
	pr_timers_subscribe(&load->timers, &request->timer,
			    (pr_usec_t)load->options.retry_ms *
				    PR_USEC_PER_MSEC * (1 << doubles),
			    0, on_retry);
}

static void copy_header(const pr_http_header_t *header, const char *name,
			char *out, size_t size)
{
	if (pr_slice_equal(header->name, pr_slice_of(name)))
		pr_slice_copy(out, size, header->value);
}

static void take_session(load_request_t *request,
			 const pr_http_header_t *header)
{
	if (request->session)
		copy_header(header, "x-session-token", request->session->token,
			    sizeof(request->session->token));
}

static void on_head(pr_http_call_t *call, int status,
		    const pr_http_header_t *headers, size_t count)
{
	load_request_t *request = call->data;
	char type[64] = "";

	request->status = status;
	for (size_t i = 0; i < count; i++) {
		copy_header(&headers[i], "x-model-version", request->version,
			    sizeof(request->version));
		copy_header(&headers[i], "x-request-id", request->request_id,
			    sizeof(request->request_id));
		copy_header(&headers[i], "x-session-moved", request->moved,
			    sizeof(request->moved));
		copy_header(&headers[i], "content-type", type, sizeof(type));
		take_session(request, &headers[i]);
	}
	request->sse = strncmp(type, "text/event-stream", 17) == 0;
}

static void on_body(pr_http_call_t *call, pr_slice_t bytes)
{
	load_request_t *request = call->data;

	request->bytes += bytes.len;
	if (request->input.len + bytes.len > INPUT_MAX ||
	    pr_str_append(&request->input, bytes.ptr, bytes.len)) {
		pr_http_call_cancel(call);
		return;
	}
	if (request->sse)
		load_sse_parse(request);
}

static void on_done(pr_http_call_t *call, pr_attempt_stage_t stage,
		    const char *error)
{
	load_request_t *request = call->data;
	bool whole = stage == PR_STAGE_DONE;

	if (whole && !request->sse)
		load_json_parse(request);
	if (whole && strcmp(request->code, "bad_json") == 0)
		whole = false;
	if (whole && request->sse &&
	    (!request->done_seen || request->error_event)) {
		whole = false;
		error = request->error_event ? "error_event" : "no_done";
	}
	if (!whole && !request->verdict[0])
		snprintf(request->verdict, sizeof(request->verdict), "%s",
			 pr_verdict_name(pr_verdict_of_failure(stage, false)));
	end_attempt(request, whole, error);
}

static void on_timeout(pr_timer_t *timer, pr_usec_t now)
{
	load_request_t *request = timer->data;
	pr_attempt_stage_t stage = request->call.stage;

	pr_http_call_cancel(&request->call);
	snprintf(request->verdict, sizeof(request->verdict), "%s",
		 pr_verdict_name(pr_verdict_of_failure(stage, false)));
	end_attempt(request, false, request->leave ? "caller_left" : "timeout");
}

static const pr_http_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static void add(pr_http_header_t *headers, size_t *count, const char *name,
		const char *value)
{
	headers[(*count)++] = (pr_http_header_t){ .name = pr_slice_of(name),
						  .value = pr_slice_of(value) };
}

static size_t make_headers(load_request_t *request, pr_http_header_t *headers,
			   char *bearer, size_t bearer_size, char *session,
			   size_t session_size)
{
	const load_class_t *class = &load_classes[request->class_id];
	load_t *load = request->load;
	size_t count = 0;

	snprintf(bearer, bearer_size, "Bearer %s", request->workspace->key);
	add(headers, &count, "authorization", bearer);
	add(headers, &count, "content-type", "application/json");
	add(headers, &count, "x-request-class", class->name);
	if (load->options.direct) {
		add(headers, &count, "x-attempt-id", request->key);
		add(headers, &count, "x-workspace", request->workspace->name);
	}
	if (!class->chat) {
		add(headers, &count, "idempotency-key", request->key);
		return count;
	}
	add(headers, &count, "x-priority",
	    class->interactive ? "interactive" : "batch");
	if (request->session) {
		snprintf(session, session_size, "session-%llu-%zu",
			 (unsigned long long)load->options.seed,
			 (size_t)(request->session - load->sessions));
		add(headers, &count, "x-session-id", session);
		if (request->session->token[0] && !load->options.no_token)
			add(headers, &count, "x-session-token",
			    request->session->token);
	}
	return count;
}

void load_request_start(load_request_t *request)
{
	load_t *load = request->load;
	pr_http_header_t headers[HEADERS_MAX];
	char bearer[2 * LOAD_NAME_BYTES];
	char session[LOAD_NAME_BYTES];
	uint32_t limit_ms = load->options.timeout_ms;
	size_t count;

	reset_attempt(request);
	request->attempt++;
	request->entry =
		pr_rand_below(&load->rand, (uint32_t)load->entries_count);
	count = make_headers(request, headers, bearer, sizeof(bearer), session,
			     sizeof(session));
	if (request->leave)
		limit_ms = 1 + (uint32_t)(pr_hash64(request->key,
						    strlen(request->key), 0) %
					  LEAVE_MS_MAX);
	request->call = (pr_http_call_t){ .ops = &call_ops, .data = request };
	request->timer.data = request;
	pr_timers_subscribe(&load->timers, &request->timer,
			    limit_ms * PR_USEC_PER_MSEC, 0, on_timeout);
	if (pr_http_call_start(&request->call, load->client,
			       load->entries[request->entry].target, "POST",
			       pr_str_slice(&request->path), headers, count,
			       pr_str_slice(&request->body)))
		end_attempt(request, false, "no_memory");
}
