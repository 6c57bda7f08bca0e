/* Tests of src/http/reader: one reading of a message, or none. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "http/reader.h"

typedef struct fixture_t {
	pr_http_reader_t reader;
	pr_str_t body;
	int messages;
} fixture_t;

static bool on_head(pr_http_reader_t *reader)
{
	return true;
}

static bool on_body(pr_http_reader_t *reader, pr_slice_t bytes)
{
	fixture_t *f = reader->owner;

	return !pr_str_append(&f->body, bytes.ptr, bytes.len);
}

static void on_message(pr_http_reader_t *reader)
{
	fixture_t *f = reader->owner;

	f->messages++;
}

static const pr_http_reader_ops_t ops = { on_head, on_body, on_message };

static void start(fixture_t *f, bool is_request)
{
	memset(f, 0, sizeof(*f));
	pr_http_reader_init(&f->reader, is_request, 1024, &ops, f);
}

static void stop(fixture_t *f)
{
	pr_http_reader_finish(&f->reader);
	pr_str_finish(&f->body);
}

static pr_http_fault_t fault_of(const char *text)
{
	pr_http_fault_t fault;
	fixture_t f;

	start(&f, true);
	pr_http_reader_feed(&f.reader, text, strlen(text));
	fault = f.reader.fault;
	stop(&f);
	return fault;
}

/* Guards against a head behind an interim one that is not checked: it was only
 * when it came apart from it. */
static void test_head_behind_interim_is_checked(void **state)
{
	static const char *const bad[] = {
		"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\nContent-Length: 0\n\n",
		"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\nA: b\r\n c\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\n\r\n"
		"HTTP/1.1 200 X\nContent-Length: 0\n\n",
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		fixture_t f;

		start(&f, false);
		pr_http_reader_feed(&f.reader, bad[i], strlen(bad[i]));
		assert_int_equal(f.reader.fault, PR_HTTP_MALFORMED);
		assert_int_equal(f.messages, 0);
		stop(&f);
	}
}

/* Readings that differ between hops let a request hide inside another one. */
static void test_ambiguous_framing_is_refused(void **state)
{
	static const char *const bad[] = {
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
		"Content-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\n"
		"Transfer-Encoding: xchunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\n"
		"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n folded\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc",
		"GET / HTTP/1.1\nHost: a\n\n",
		"GET / HTTP/1.1\r\nHost: a\nA: b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nA: b\rc\r\n\r\n",
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(fault_of(bad[i]), PR_HTTP_MALFORMED);
}

static void test_large_head_is_refused(void **state)
{
	char text[2048];

	memset(text, 'a', sizeof(text));
	memcpy(text, "GET / HTTP/1.1\r\nA: ", 19);
	text[sizeof(text) - 1] = '\0';
	assert_int_equal(fault_of(text), PR_HTTP_HEAD_TOO_LARGE);
}

/* Bytes behind a request are the next one, whatever they look like. */
static void test_reader_stops_behind_a_message(void **state)
{
	static const char text[] =
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
		"GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
	fixture_t f;
	size_t used;

	start(&f, true);
	used = pr_http_reader_feed(&f.reader, text, sizeof(text) - 1);
	assert_int_equal(f.messages, 1);
	assert_string_equal(pr_str_cstr(&f.body), "hi");
	assert_true(pr_slice_equal(pr_http_target(&f.reader), PR_SLICE("/a")));
	pr_http_reader_next(&f.reader);
	used += pr_http_reader_feed(&f.reader, text + used,
				    sizeof(text) - 1 - used);
	assert_int_equal(used, sizeof(text) - 1);
	assert_int_equal(f.messages, 2);
	assert_true(pr_slice_equal(pr_http_target(&f.reader), PR_SLICE("/b")));
	stop(&f);
}

static void test_bytes_may_come_one_by_one(void **state)
{
	static const char text[] =
		"POST /a HTTP/1.1\r\nHost: x\r\nName: \tv \r\n"
		"Transfer-Encoding: chunked\r\n\r\n"
		"2\r\nhi\r\n0\r\n\r\n";
	fixture_t f;

	start(&f, true);
	for (size_t i = 0; i < sizeof(text) - 1; i++)
		assert_int_equal(pr_http_reader_feed(&f.reader, text + i, 1),
				 1);
	assert_int_equal(f.messages, 1);
	assert_string_equal(pr_str_cstr(&f.body), "hi");
	assert_true(
		pr_slice_equal(pr_http_find(&f.reader, "name"), PR_SLICE("v")));
	stop(&f);
}

/* An answer without a length ends with its connection; one with a length that
 * ends early is not complete. */
static void test_end_of_connection(void **state)
{
	static const char open[] = "HTTP/1.1 200 OK\r\n\r\nabc";
	static const char cut[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";
	fixture_t f;

	start(&f, false);
	pr_http_reader_feed(&f.reader, open, sizeof(open) - 1);
	assert_int_equal(f.messages, 0);
	assert_true(pr_http_reader_end(&f.reader));
	stop(&f);
	start(&f, false);
	pr_http_reader_feed(&f.reader, cut, sizeof(cut) - 1);
	assert_false(pr_http_reader_end(&f.reader));
	stop(&f);
}

/* Fault of a response with the status, behind an interim one when there is
 * one, fed in parts of the length. */
static pr_http_fault_t fault_of_status(const char *interim, const char *status,
				       size_t part)
{
	pr_http_fault_t fault;
	char text[160];
	size_t len = (size_t)snprintf(text, sizeof(text),
				      "%sHTTP/1.1 %s\r\n"
				      "Content-Length: 0\r\n\r\n",
				      interim, status);
	fixture_t f;

	start(&f, false);
	for (size_t at = 0; at < len && !f.reader.fault; at += part)
		pr_http_reader_feed(&f.reader, text + at,
				    at + part < len ? part : len - at);
	fault = f.reader.fault;
	assert_int_equal(f.messages, fault ? 0 : 1);
	stop(&f);
	return fault;
}

/* Guards against an answer with a number that is no status, which reached
 * callers or counted as another status. */
static void test_status_has_three_digits(void **state)
{
	static const char *const bad[] = {
		"000 X",  "0 X",    "007 X", "20 X",   "2 X",
		"099 X",  "600 X",  "999 X", "0200 X", "2000 X",
		" 200 X", "+200 X", "-20 X", "2e2 X",  "0x200",
		"200X",   "X",      "",      "20\r",
	};
	static const char *const good[] = { "200 OK", "204 ", "200", "503 X",
					    "599 4 X" };
	static const char *const interims[] = {
		"", "HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 102 X\r\n\r\n"
	};
	static const size_t parts[] = { 1, 10, 11, 1000 };

	for (size_t i = 0; i < sizeof(interims) / sizeof(interims[0]); i++) {
		for (size_t p = 0; p < sizeof(parts) / sizeof(parts[0]); p++) {
			for (size_t b = 0; b < sizeof(bad) / sizeof(bad[0]);
			     b++)
				assert_int_equal(fault_of_status(interims[i],
								 bad[b],
								 parts[p]),
						 PR_HTTP_MALFORMED);
			for (size_t g = 0; g < sizeof(good) / sizeof(good[0]);
			     g++)
				assert_int_equal(fault_of_status(interims[i],
								 good[g],
								 parts[p]),
						 PR_HTTP_OK);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ambiguous_framing_is_refused),
		cmocka_unit_test(test_head_behind_interim_is_checked),
		cmocka_unit_test(test_large_head_is_refused),
		cmocka_unit_test(test_reader_stops_behind_a_message),
		cmocka_unit_test(test_bytes_may_come_one_by_one),
		cmocka_unit_test(test_end_of_connection),
		cmocka_unit_test(test_status_has_three_digits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
