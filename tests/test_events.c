/* Tests of src/events: each event is passed on once and in order, also when the
 * stream breaks off and is resumed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "events/sse_filter.h"

typedef struct fixture_t {
	pr_sse_filter_t filter;
	pr_str_t out;
} fixture_t;

static int feed(fixture_t *f, const char *text)
{
	return pr_sse_filter_feed(&f->filter, pr_slice_of(text), &f->out);
}

static void start(fixture_t *f)
{
	memset(f, 0, sizeof(*f));
	pr_sse_filter_init(&f->filter);
}

static void stop(fixture_t *f)
{
	pr_sse_filter_finish(&f->filter);
	pr_str_finish(&f->out);
}

static void assert_last_id(const fixture_t *f, const char *id)
{
	assert_true(f->filter.has_id);
	assert_true(pr_slice_equal(pr_event_id_text(&f->filter.last_id),
				   pr_slice_of(id)));
}

static void test_bytes_pass_unchanged(void **state)
{
	static const char text[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
	fixture_t f;

	start(&f);
	for (size_t i = 0; i < sizeof(text) - 1; i++) {
		char byte[2] = { text[i], '\0' };

		assert_int_equal(feed(&f, byte), 0);
	}
	assert_string_equal(pr_str_cstr(&f.out), text);
	assert_true(pr_sse_filter_complete(&f.filter));
	stop(&f);
}

/* Guards against passing on part of an event when an upstream crashes in the
 * middle of it. */
static void test_partial_event_is_dropped_on_resume(void **state)
{
	fixture_t f;

	start(&f);
	assert_int_equal(feed(&f, "id: 1\ndata: a\n\nid: 2\nda"), 0);
	assert_false(pr_sse_filter_complete(&f.filter));
	assert_last_id(&f, "1");
	pr_sse_filter_restart(&f.filter);
	assert_int_equal(feed(&f, "id: 2\ndata: b\n\n"), 0);
	assert_string_equal(pr_str_cstr(&f.out),
			    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	stop(&f);
}

/* Guards against events that reach the caller twice when the next attempt sends
 * the stream from its beginning. */
static void test_events_already_passed_are_dropped(void **state)
{
	fixture_t f;

	start(&f);
	assert_int_equal(feed(&f, "id: 1\n\nid: 2\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_equal(feed(&f, "id: 1\n\nid: 2\n\nid: 3\n\n"), 0);
	assert_string_equal(pr_str_cstr(&f.out), "id: 1\n\nid: 2\n\nid: 3\n\n");
	stop(&f);
}

/* LOST: streams of sound upstreams that number events by tokens were broken off
 * after the first event. */
static void test_ids_may_increase_in_any_step(void **state)
{
	static const char text[] = "id: 6\n\nid: 12\n\nid: 18\n\nid: 20\n\n"
				   "id: 31\n\n";
	fixture_t f;

	start(&f);
	assert_int_equal(feed(&f, text), 0);
	assert_string_equal(pr_str_cstr(&f.out), text);
	/* Resumed behind the last event, and with steps that vary. */
	pr_sse_filter_restart(&f.filter);
	assert_int_equal(feed(&f, "id: 50\n\n"), 0);
	assert_last_id(&f, "50");
	stop(&f);
}

/* Feed the parts of a stream that broke off between them. @return result for
 * the second part */
static int feed_resumed(const char *first, const char *second)
{
	fixture_t f;
	int rc;

	start(&f);
	assert_int_equal(feed(&f, first), 0);
	pr_sse_filter_restart(&f.filter);
	rc = feed(&f, second);
	assert_int_equal(strlen(pr_str_cstr(&f.out)) > strlen(first), !rc);
	stop(&f);
	return rc;
}

/* ORDER: the run of the next upstream begins beyond the last event, or has
 * other ids, so that a piece is missing or two runs are joined. */
static void test_gap_between_runs_is_an_error(void **state)
{
	static const char by_tokens[] = "id: 6\n\nid: 12\n\n";

	assert_int_not_equal(feed_resumed("id: 1\n\nid: 2\n\n", "id: 4\n\n"),
			     0);
	assert_int_equal(feed_resumed("id: 1\n\nid: 2\n\n", "id: 3\n\n"), 0);
	assert_int_not_equal(feed_resumed(by_tokens, "id: 24\n\n"), 0);
	assert_int_equal(feed_resumed(by_tokens, "id: 18\n\n"), 0);
	/* The last event of a stream may be shorter. */
	assert_int_equal(feed_resumed(by_tokens, "id: 14\n\n"), 0);
	assert_int_equal(
		feed_resumed(by_tokens, "id: 6\n\nid: 12\n\nid: 18\n\n"), 0);
	assert_int_not_equal(
		feed_resumed(by_tokens, "id: 5\n\nid: 10\n\nid: 15\n\n"), 0);
}

/* Guards against a stream whose second part is an error of the next upstream,
 * or the output of another run: without an id, an event continues nothing. */
static void test_resumed_stream_begins_with_an_id(void **state)
{
	fixture_t f;

	start(&f);
	assert_int_equal(feed(&f, "id: 1\ndata: a\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_not_equal(feed(&f, "event: error\ndata: busy\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_not_equal(feed(&f, "data\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_equal(feed(&f, ": comment\n\nid: 2\n\ndata: b\n\n"), 0);
	assert_string_equal(pr_str_cstr(&f.out),
			    "id: 1\ndata: a\n\nid: 2\n\ndata: b\n\n");
	stop(&f);
}

/* Events without an id between those that a resumed stream repeats are repeats
 * as well. */
static void test_repeated_events_without_id_are_dropped(void **state)
{
	fixture_t f;

	start(&f);
	assert_int_equal(feed(&f, "id: 1\n\ndata: a\n\nid: 2\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_equal(feed(&f, "id: 1\n\ndata: a\n\nid: 2\n\nid: 3\n\n"), 0);
	assert_string_equal(pr_str_cstr(&f.out),
			    "id: 1\n\ndata: a\n\nid: 2\n\nid: 3\n\n");
	stop(&f);
}

/* A stream without ids cannot be resumed, but passes unchanged, as does the
 * first attempt of a caller that resumes one. */
static void test_first_attempt_may_lack_ids(void **state)
{
	fixture_t f;

	start(&f);
	pr_sse_filter_resume_after(&f.filter, PR_SLICE("4"));
	assert_int_equal(feed(&f, "data: a\n\nid: 5\n\n"), 0);
	assert_string_equal(pr_str_cstr(&f.out), "data: a\n\nid: 5\n\n");
	stop(&f);
}

/* The events before an invalid one are valid. */
static void test_events_before_an_error_are_passed(void **state)
{
	pr_str_t text = PR_STR_INIT;
	fixture_t f;

	start(&f);
	assert_int_equal(feed(&f, "id: 1\n\nid: 2\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_equal(pr_str_appendf(&text, "id: 3\n\ndata: %0*d",
					(int)PR_SSE_FILTER_EVENT_MAX, 0),
			 0);
	assert_int_not_equal(feed(&f, pr_str_cstr(&text)), 0);
	pr_str_finish(&text);
	assert_string_equal(pr_str_cstr(&f.out), "id: 1\n\nid: 2\n\nid: 3\n\n");
	assert_last_id(&f, "3");
	stop(&f);
}

/* Starts the stream of a caller that resumes one behind the event last. */
static void start_behind(fixture_t *f, const char *last)
{
	start(f);
	pr_sse_filter_resume_after(&f->filter, pr_slice_of(last));
}

/* What the caller gets of the parts of a stream that broke off between them;
 * result of the last part in rc. */
static const char *pass_parts(fixture_t *f, const char *first,
			      const char *second, int *rc)
{
	assert_int_equal(feed(f, first), 0);
	pr_sse_filter_restart(&f->filter);
	*rc = feed(f, second);
	return pr_str_cstr(&f->out);
}

static void expect_joined(const char *first, const char *second,
			  const char *whole)
{
	fixture_t f;
	int rc;

	start(&f);
	assert_string_equal(pass_parts(&f, first, second, &rc), whole);
	assert_int_equal(rc, 0);
	stop(&f);
}

static void expect_refused(const char *first, const char *second)
{
	fixture_t f;
	int rc;

	start(&f);
	assert_string_equal(pass_parts(&f, first, second, &rc), first);
	assert_int_not_equal(rc, 0);
	stop(&f);
}

static void expect_behind(const char *last, const char *text, int fails,
			  const char *out)
{
	fixture_t f;

	start_behind(&f, last);
	assert_int_equal(feed(&f, text) != 0, fails);
	assert_string_equal(pr_str_cstr(&f.out), out);
	stop(&f);
}

/* Guards against a piece that a caller gets twice when the stream breaks off
 * more than once, and against a limit that only the first resume has. */
static void test_stream_breaks_off_repeatedly(void **state)
{
	fixture_t f;

	start(&f);
	assert_int_equal(feed(&f, "id: 6\n\nid: 12\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_equal(feed(&f, "id: 6\n\nid: 1"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_equal(feed(&f, "id: 18\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_not_equal(feed(&f, "id: 30\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_equal(feed(&f, "id: 12\n\nid: 18\n\nid: 24\n\n"), 0);
	assert_string_equal(pr_str_cstr(&f.out),
			    "id: 6\n\nid: 12\n\nid: 18\n\nid: 24\n\n");
	stop(&f);
}

/* Guards against joining the output of two runs: the second one numbers its
 * events differently, or stops repeating before the last event. */
static void test_different_runs_are_not_joined(void **state)
{
	expect_refused("id: 6\n\nid: 12\n\n", "id: 4\n\nid: 8\n\nid: 16\n\n");
	expect_refused("id: 3\n\nid: 4\n\nid: 9\n\n", "id: 4\n\nid: 10\n\n");
	expect_refused("id: 7\n\n", "id: 1\n\nid: 8\n\n");
	/* A run may have a wide step behind the event that proves it. */
	expect_joined("id: 1\n\nid: 2\n\n", "id: 2\n\nid: 7\n\n",
		      "id: 1\n\nid: 2\n\nid: 7\n\n");
}

/* Guards against a missing piece when a stream numbered from 0 is resumed: the
 * first id counted as a step of 0, and the regular step was never known. */
static void test_gap_in_stream_numbered_from_zero(void **state)
{
	expect_refused("id: 0\n\nid: 1\n\nid: 2\n\n", "id: 4\n\n");
	expect_joined("id: 0\n\nid: 1\n\nid: 2\n\n",
		      "id: 0\n\nid: 1\n\nid: "
		      "2\n\nid: 3\n\n",
		      "id: 0\n\nid: 1\n\nid: 2\n\nid: 3\n\n");
}

/* A caller resumes at another host, which knows no step yet: any increasing id
 * is accepted, and the step learned there limits the next resume. */
static void test_caller_resumes_with_any_step(void **state)
{
	fixture_t f;

	expect_behind("12", "id: 18\n\nid: 24\n\n", 0, "id: 18\n\nid: 24\n\n");
	expect_behind("12", "id: 50\n\n", 0, "id: 50\n\n");
	expect_behind("12", "id: 6\n\nid: 12\n\nid: 18\n\n", 0, "id: 18\n\n");
	start_behind(&f, "12");
	assert_int_equal(feed(&f, "id: 50\n\nid: 56\n\nid: 62\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_not_equal(feed(&f, "id: 74\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_equal(feed(&f, "id: 68\n\n"), 0);
	stop(&f);
}

/* Guards against joining two runs at a hand-over between hosts: the run that
 * the next host gets has not the event that the caller has. */
static void test_caller_resumes_and_run_differs(void **state)
{
	fixture_t f;

	expect_behind("12", "id: 5\n\nid: 10\n\nid: 15\n\n", 1, "");
	start_behind(&f, "12");
	assert_int_equal(feed(&f, "id: 5\n\nid: 10\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_not_equal(feed(&f, "id: 10\n\nid: 15\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_equal(feed(&f, "id: 12\n\nid: 18\n\n"), 0);
	assert_string_equal(pr_str_cstr(&f.out), "id: 18\n\n");
	stop(&f);
}

/* Guards against events without an id that a caller gets twice at a hand-over
 * between hosts, when the upstream repeats the stream from its beginning. */
static void test_caller_resumes_and_events_without_id_repeat(void **state)
{
	expect_behind("2", "id: 1\n\ndata: a\n\nid: 2\n\nid: 3\n\n", 0,
		      "id: 3\n\n");
}

/* Guards against an event without an id that was dropped as a repeat although
 * the run before broke off ahead of it. */
static void test_new_event_without_id_is_not_dropped(void **state)
{
	expect_joined("id: 1\n\n", "id: 1\n\ndata: a\n\nid: 2\n\n",
		      "id: 1\n\ndata: a\n\nid: 2\n\n");
	expect_joined("id: 1\n\ndata: a\n\n", "id: 1\n\ndata: a\n\ndata: b\n\n",
		      "id: 1\n\ndata: a\n\ndata: b\n\n");
	/* Nothing shows whose events these are. */
	expect_refused("id: 2\n\n", "id: 1\n\ndata: a\n\nid: 3\n\n");
	expect_joined("id: 1\n\ndata: a\n\n",
		      "id: 1\n\n: c\n\ndata: a\n\nid: 2\n\n",
		      "id: 1\n\ndata: a\n\nid: 2\n\n");
}

/* Guards against a piece that is missing or comes twice, or a stream that is
 * broken off, because an id wrapped at 64 bits. */
static void test_ids_beyond_64_bits(void **state)
{
	static const char first[] = "id: 18446744073709551615\n\n"
				    "id: 18446744073709551616\n\n"
				    "id: 18446744073709551617\n\n";
	static const char longer[] =
		"id: 99999999999999999999999999999999999999\n\n"
		"id: 100000000000000000000000000000000000000\n\n";
	static const char whole[] = "id: 18446744073709551615\n\n"
				    "id: 18446744073709551616\n\n"
				    "id: 18446744073709551617\n\n"
				    "id: 18446744073709551618\n\n";

	expect_joined(first, "id: 18446744073709551618\n\n", whole);
	expect_joined(first, whole, whole);
	expect_refused(longer,
		       "id: 1\n\n"
		       "id: 100000000000000000000000000000000000001\n\n");
	expect_refused(first, "id: 1\n\nid: 18446744073709551618\n\n");
	/* 2^64 + 5 is not the event 5. */
	expect_refused("id: 4\n\nid: 8\n\n", "id: 18446744073709551625\n\n");
}

/* Guards against a resume limit that is wrong where an id has more digits than
 * the one before. */
static void test_step_beyond_64_bits(void **state)
{
	static const char two[] = "id: 10000000000000000000\n\n"
				  "id: 20000000000000000000\n\n";

	expect_joined(two, "id: 30000000000000000000\n\n",
		      "id: 10000000000000000000\n\n"
		      "id: 20000000000000000000\n\n"
		      "id: 30000000000000000000\n\n");
	expect_refused(two, "id: 30000000000000000001\n\n");
	expect_refused(two, "id: 100000000000000000000\n\n");
}

/* Guards against a piece that a caller gets twice because the id that it states
 * was too long to be read. */
static void test_caller_resumes_beyond_64_bits(void **state)
{
	expect_behind("1000000000000000000",
		      "id: 999999999999999999\n\nid: 1000000000000000000\n\n"
		      "id: 1000000000000000001\n\n",
		      0, "id: 1000000000000000001\n\n");
	expect_behind("18446744073709551616",
		      "id: 18446744073709551615\n\n"
		      "id: 18446744073709551616\n\n"
		      "id: 18446744073709551617\n\n",
		      0, "id: 18446744073709551617\n\n");
}

/* An id beyond the longest one is none: its event passes, but proves nothing
 * where a stream is resumed. */
static void test_longest_id(void **state)
{
	pr_str_t text = PR_STR_INIT;
	fixture_t f;

	assert_int_equal(pr_str_appendf(&text, "id: 1%0100d\ndata: a\n\n", 0),
			 0);
	start(&f);
	assert_int_equal(feed(&f, pr_str_cstr(&text)), 0);
	assert_string_equal(pr_str_cstr(&f.out), pr_str_cstr(&text));
	assert_int_equal(feed(&f, "id: 7\n\n"), 0);
	pr_sse_filter_restart(&f.filter);
	assert_int_not_equal(feed(&f, pr_str_cstr(&text)), 0);
	pr_str_finish(&text);
	stop(&f);
}

/* An id that repeats or falls inside a run belongs to an event that the caller
 * has; it is dropped, and what follows with a larger id passes. */
static void test_ids_that_repeat_or_fall_are_dropped(void **state)
{
	fixture_t f;

	start(&f);
	assert_int_equal(feed(&f, "id: 6\n\nid: 6\n\nid: 12\n\nid: 6\n\n"
				  "id: 11\n\nid: 0\n\nid: 13\n\n"),
			 0);
	assert_string_equal(pr_str_cstr(&f.out),
			    "id: 6\n\nid: 12\n\nid: 13\n\n");
	stop(&f);
	expect_behind("12", "id: 12\n\nid: 12\n\nid: 13\n\n", 0, "id: 13\n\n");
}

/* Guards against a repeat that is not recognized because its id is written in
 * another way. */
static void test_leading_zeros_do_not_count(void **state)
{
	expect_joined("id: 09\n\n", "id: 9\n\nid:   010\n\n",
		      "id: 09\n\nid:   010\n\n");
	expect_joined("id: 1\n\n",
		      "id: 0000000000000000000000000000000000000000000001\n\n"
		      "id: 2\n\n",
		      "id: 1\n\nid: 2\n\n");
	expect_behind("0000000000000000000000000000000000000000000012",
		      "id: 012\n\nid: 013\n\n", 0, "id: 013\n\n");
}

/* Text that is not a number is no id: its event passes in the first run, and
 * continues nothing where a stream is resumed. */
static void test_signed_ids_are_not_numbers(void **state)
{
	fixture_t f;

	start(&f);
	assert_int_equal(feed(&f, "id: -1\ndata: a\n\nid: +2\ndata: b\n\n"), 0);
	assert_string_equal(pr_str_cstr(&f.out),
			    "id: -1\ndata: a\n\nid: +2\ndata: b\n\n");
	assert_false(f.filter.has_id);
	stop(&f);
	expect_refused("id: 1\n\n", "id: +2\ndata: b\n\n");
	expect_refused("id: 1\n\n", "id: -2\ndata: b\n\n");
	expect_behind("-1", "id: 1\n\nid: 2\n\n", 0, "id: 1\n\nid: 2\n\n");
}

/* Guards against events that were dropped as repeats because only the digits at
 * the beginning of their ids were compared. */
static void test_digits_before_text_are_no_id(void **state)
{
	static const char text[] = "id: 1-0\ndata: a\n\nid: 1-1\ndata: b\n\n"
				   "id: 1.5\ndata: c\n\n";
	fixture_t f;

	start(&f);
	assert_int_equal(feed(&f, text), 0);
	assert_string_equal(pr_str_cstr(&f.out), text);
	stop(&f);
	expect_joined("id: 1 \r\n\r\n", "id: 1\n\nid: 2\t\n\n",
		      "id: 1 \r\n\r\nid: 2\t\n\n");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bytes_pass_unchanged),
		cmocka_unit_test(test_partial_event_is_dropped_on_resume),
		cmocka_unit_test(test_events_already_passed_are_dropped),
		cmocka_unit_test(test_ids_may_increase_in_any_step),
		cmocka_unit_test(test_gap_between_runs_is_an_error),
		cmocka_unit_test(test_resumed_stream_begins_with_an_id),
		cmocka_unit_test(test_repeated_events_without_id_are_dropped),
		cmocka_unit_test(test_first_attempt_may_lack_ids),
		cmocka_unit_test(test_events_before_an_error_are_passed),
		cmocka_unit_test(test_stream_breaks_off_repeatedly),
		cmocka_unit_test(test_different_runs_are_not_joined),
		cmocka_unit_test(test_gap_in_stream_numbered_from_zero),
		cmocka_unit_test(test_caller_resumes_with_any_step),
		cmocka_unit_test(test_caller_resumes_and_run_differs),
		cmocka_unit_test(
			test_caller_resumes_and_events_without_id_repeat),
		cmocka_unit_test(test_new_event_without_id_is_not_dropped),
		cmocka_unit_test(test_ids_beyond_64_bits),
		cmocka_unit_test(test_step_beyond_64_bits),
		cmocka_unit_test(test_caller_resumes_beyond_64_bits),
		cmocka_unit_test(test_longest_id),
		cmocka_unit_test(test_ids_that_repeat_or_fall_are_dropped),
		cmocka_unit_test(test_leading_zeros_do_not_count),
		cmocka_unit_test(test_signed_ids_are_not_numbers),
		cmocka_unit_test(test_digits_before_text_are_no_id),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
