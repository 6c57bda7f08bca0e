/* Answers of a stand-in, with the faults that concern answers. */
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "pistachiorack/log.h"
#include "standin.h"

#define CRASH_STATUS 3

static void end_for_program(standin_exchange_t *exchange)
{
	exchange->dead = true;
	exchange->gone = NULL;
}

void standin_break(standin_exchange_t *exchange)
{
	end_for_program(exchange);
	exchange->lost = true;
	pr_http_request_break(exchange->http);
}

static void echo_attempt(standin_exchange_t *exchange)
{
	char attempt[256];

	standin_header(exchange, "x-attempt-id", attempt, sizeof(attempt));
	if (!attempt[0])
		return;
	if (exchange->fate == STANDIN_FATE_CROSSED)
		pr_http_answer_header(exchange->http, "x-attempt-id",
				      PR_SLICE("crossed-answer"));
	else
		pr_http_answer_header(exchange->http, "x-attempt-id",
				      pr_slice_of(attempt));
}

static void send_half(standin_exchange_t *exchange)
{
	pr_http_stream_start(exchange->http, exchange->status,
			     exchange->content_type);
	pr_http_stream_write(
		exchange->http,
		pr_slice(exchange->answer.ptr, exchange->answer.len / 2));
	pr_http_stream_end(exchange->http, false);
}

static void send_answer(standin_exchange_t *exchange)
{
	standin_record_t *record = &exchange->standin->record;

	end_for_program(exchange);
	switch (exchange->fate) {
	case STANDIN_FATE_CRASH:
		_exit(CRASH_STATUS);
	case STANDIN_FATE_LOST:
		standin_record_count(record, "answers_lost");
		standin_break(exchange);
		return;
	case STANDIN_FATE_NONE:
		standin_record_count(record, "answers_withheld");
		return;
	case STANDIN_FATE_GARBAGE:
		standin_record_count(record, "answers_garbage");
		echo_attempt(exchange);
		pr_http_answer(exchange->http, exchange->status,
			       exchange->content_type,
			       PR_SLICE("\x01{]not json"));
		return;
	case STANDIN_FATE_HALF:
		standin_record_count(record, "answers_half");
		echo_attempt(exchange);
		send_half(exchange);
		return;
	case STANDIN_FATE_CUT:
		standin_record_count(record, "answers_cut");
		exchange->answer.len /= 2;
		break;
	case STANDIN_FATE_CROSSED:
		standin_record_count(record, "answers_crossed");
		break;
	case STANDIN_FATE_WHOLE:
		break;
	}
	echo_attempt(exchange);
	pr_http_answer(exchange->http, exchange->status, exchange->content_type,
		       pr_str_slice(&exchange->answer));
}

static void on_delay_end(pr_timer_t *timer, pr_usec_t now)
{
	send_answer(timer->data);
}

void standin_answer_bytes(standin_exchange_t *exchange, int status,
			  const char *content_type, pr_slice_t bytes)
{
	standin_t *standin = exchange->standin;

	if (exchange->answered)
		return;
	end_for_program(exchange);
	exchange->answered = true;
	exchange->status = status;
	exchange->content_type = content_type;
	pr_str_append(&exchange->answer, bytes.ptr, bytes.len);
	if (standin->faults.delay_answer_ms &&
	    standin_faults_match(&standin->faults, exchange->http->path)) {
		standin_after(standin, &exchange->timer,
			      standin->faults.delay_answer_ms *
				      PR_USEC_PER_MSEC,
			      0, on_delay_end);
		return;
	}
	send_answer(exchange);
}

void standin_answer(standin_exchange_t *exchange, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	standin_answer_bytes(exchange, status, "application/json",
			     pr_slice_of(text ? text : "{}"));
	free(text);
	json_decref(json);
}

void standin_answer_error(standin_exchange_t *exchange, int status,
			  const char *code, const char *verdict)
{
	standin_answer(exchange, status,
		       json_pack("{s:{s:s,s:s,s:s}}", "error", "code", code,
				 "message", code, "verdict", verdict));
}

void standin_stream_start(standin_exchange_t *exchange, int status,
			  const char *content_type)
{
	exchange->answered = true;
	echo_attempt(exchange);
	pr_http_stream_start(exchange->http, status, content_type);
}

void standin_stream_write(standin_exchange_t *exchange, pr_slice_t bytes)
{
	pr_http_stream_write(exchange->http, bytes);
}

void standin_stream_end(standin_exchange_t *exchange, bool complete)
{
	end_for_program(exchange);
	pr_http_stream_end(exchange->http, complete);
}

void standin_header(standin_exchange_t *exchange, const char *name,
		    char *buffer, size_t size)
{
	pr_slice_copy(buffer, size,
		      pr_http_request_header(exchange->http, name));
}

bool standin_is(const standin_exchange_t *exchange, const char *method,
		const char *path)
{
	return pr_slice_equal(exchange->http->method, pr_slice_of(method)) &&
	       pr_slice_equal(exchange->http->path, pr_slice_of(path));
}

void standin_query(const standin_exchange_t *exchange, const char *name,
		   char *buffer, size_t size)
{
	pr_slice_t query = exchange->http->query;
	size_t name_len = strlen(name);

	buffer[0] = '\0';
	while (query.len) {
		const char *end = memchr(query.ptr, '&', query.len);
		size_t len = end ? (size_t)(end - query.ptr) : query.len;

		if (len > name_len && query.ptr[name_len] == '=' &&
		    memcmp(query.ptr, name, name_len) == 0) {
			pr_slice_copy(buffer, size,
				      pr_slice(query.ptr + name_len + 1,
					       len - name_len - 1));
			return;
		}
		if (!end)
			return;
		query = pr_slice(end + 1, query.len - len - 1);
	}
}

int64_t standin_query_int(const standin_exchange_t *exchange, const char *name,
			  int64_t fallback)
{
	char text[32];

	standin_query(exchange, name, text, sizeof(text));
	return text[0] ? strtoll(text, NULL, 10) : fallback;
}

const char *standin_field(const standin_exchange_t *exchange, const char *name,
			  const char *fallback)
{
	const char *value =
		json_string_value(json_object_get(exchange->json, name));

	return value ? value : fallback;
}
