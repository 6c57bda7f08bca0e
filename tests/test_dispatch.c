/* Tests of src/dispatch: verdicts, retries, budgets, streams, answer checks. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "pistachiorack/dispatch.h"
#include "pistachiorack/error.h"

#define MS PR_USEC_PER_MSEC

/* Point at which an attempt on a simulated upstream fails. */
typedef struct failure_point_t {
	const char *name;
	pr_attempt_stage_t stage;
	/** The upstream states that it did not start the request. */
	bool refused;
	/** Minimum and maximum number of times that the request really ran. */
	int runs_min, runs_max;
} failure_point_t;

static const failure_point_t failure_points[] = {
	{ "nothing chosen", PR_STAGE_CHOSEN, false, 0, 0 },
	{ "connect refused", PR_STAGE_CONNECTING, false, 0, 0 },
	{ "connect timed out", PR_STAGE_CONNECTING, false, 0, 0 },
	{ "closed while sending", PR_STAGE_SENT, false, 0, 1 },
	{ "closed before the head", PR_STAGE_SENT, false, 0, 1 },
	{ "answered that it did not start", PR_STAGE_HEAD, true, 0, 0 },
	{ "status 500", PR_STAGE_HEAD, false, 0, 1 },
	{ "closed in the body", PR_STAGE_BODY, false, 1, 1 },
	{ "not started, but in the body", PR_STAGE_BODY, true, 0, 1 },
	{ "whole answer that fails its check", PR_STAGE_DONE, false, 1, 1 },
};

/* Guards against a not_run verdict for a request that ran, and against a
 * second run of a request that may not be repeated, at each point where an
 * attempt can fail. */
static void verdict_matches_upstream(void **state)
{
	size_t count = sizeof(failure_points) / sizeof(failure_points[0]);
	pr_rand_t rand;

	pr_rand_init(&rand, 1);
	for (size_t i = 0; i < 2 * count; i++) {
		const failure_point_t *point = &failure_points[i / 2];
		pr_dispatch_options_t options = PR_DISPATCH_OPTIONS_INIT;
		pr_retry_budget_t budget;
		pr_dispatch_t dispatch;
		pr_dispatch_decision_t decision;

		options.idempotent = i % 2;
		pr_retry_budget_init(&budget);
		budget.tokens = 5;
		pr_dispatch_init(&dispatch, &options, &budget);
		assert_int_equal(pr_dispatch_start_attempt(&dispatch, 0), 0);
		for (int stage = 0; stage <= (int)point->stage; stage++)
			pr_dispatch_set_stage(&dispatch, 0,
					      (pr_attempt_stage_t)stage);
		pr_dispatch_fail_attempt(&dispatch, &decision, 0,
					 point->refused, &rand, 0);
		if (decision.verdict == PR_VERDICT_NOT_RUN)
			assert_int_equal(point->runs_max, 0);
		if (point->runs_max == 0)
			assert_int_equal(decision.verdict, PR_VERDICT_NOT_RUN);
		assert_int_not_equal(decision.verdict, PR_VERDICT_RAN);
		if (point->runs_max > 0 && !options.idempotent)
			assert_int_equal(decision.action, PR_DISPATCH_REFUSE);
		else
			assert_int_equal(decision.action, PR_DISPATCH_TRY);
		/* The same failure reported twice changes nothing. */
		pr_dispatch_fail_attempt(&dispatch, &decision, 0, true, &rand,
					 0);
		assert_int_equal(decision.action, PR_DISPATCH_NONE);
	}
	pr_rand_finish(&rand);
}

/* Guards against a verdict that ignores an earlier attempt: the first attempt
 * may have run, the second one was refused before it started. */
static void verdict_joins_attempts(void **state)
{
	pr_dispatch_options_t options = PR_DISPATCH_OPTIONS_INIT;
	pr_retry_budget_t budget;
	pr_dispatch_t dispatch;
	pr_dispatch_decision_t decision;
	pr_rand_t rand;

	pr_rand_init(&rand, 2);
	pr_retry_budget_init(&budget);
	budget.tokens = 1;
	options.idempotent = true;
	pr_dispatch_init(&dispatch, &options, &budget);
	pr_dispatch_start_attempt(&dispatch, 0);
	pr_dispatch_set_stage(&dispatch, 0, PR_STAGE_SENT);
	pr_dispatch_fail_attempt(&dispatch, &decision, 0, false, &rand, 0);
	assert_int_equal(decision.action, PR_DISPATCH_TRY);
	pr_dispatch_start_attempt(&dispatch, decision.at);
	pr_dispatch_fail_attempt(&dispatch, &decision, 1, true, &rand,
				 decision.at);
	assert_int_equal(decision.action, PR_DISPATCH_REFUSE);
	assert_int_equal(decision.verdict, PR_VERDICT_MAY_HAVE_RUN);
	assert_string_equal(decision.code, "retry_budget_exhausted");
	pr_rand_finish(&rand);
}

/* @return attempts per request when each attempt fails with probability 1/2 */
static double attempts_per_request(bool budget_enabled)
{
	pr_retry_budget_t budget;
	pr_rand_t rand;
	unsigned int attempts = 0;

	pr_rand_init(&rand, 101);
	pr_retry_budget_init(&budget);
	budget.enabled = budget_enabled;
	for (int i = 0; i < 20000; i++) {
		pr_dispatch_options_t options = PR_DISPATCH_OPTIONS_INIT;
		pr_dispatch_t dispatch;
		pr_dispatch_decision_t decision = { .action = PR_DISPATCH_TRY };

		options.idempotent = true;
		pr_dispatch_init(&dispatch, &options, &budget);
		while (decision.action == PR_DISPATCH_TRY) {
			int number = pr_dispatch_start_attempt(&dispatch, 0);

			attempts++;
			pr_dispatch_set_stage(&dispatch, number, PR_STAGE_SENT);
			if (pr_rand_unit(&rand) < 0.5)
				pr_dispatch_fail_attempt(&dispatch, &decision,
							 number, false, &rand,
							 0);
			else
				pr_dispatch_complete_attempt(&dispatch,
							     &decision, number);
		}
	}
	pr_rand_finish(&rand);
	return attempts / 20000.0;
}

/* Guards against retries that multiply the load while half of the upstreams
 * fail. */
static void budget_bounds_attempts(void **state)
{
	double with_budget = attempts_per_request(true);
	double without_budget = attempts_per_request(false);

	print_message("attempts per request, half failing: %.3f with the "
		      "budget, %.3f without\n",
		      with_budget, without_budget);
	assert_true(with_budget <= 1.1);
	assert_true(with_budget > 1.05);
	assert_true(without_budget > 1.4);
}

/* Guards against an attempt at or after the deadline, and against a retry delay
 * that ends after it: the request fails at once. */
static void deadline_ends_attempts(void **state)
{
	pr_dispatch_options_t options = PR_DISPATCH_OPTIONS_INIT;
	pr_retry_budget_t budget;
	pr_dispatch_t dispatch;
	pr_dispatch_decision_t decision;
	pr_rand_t rand;

	pr_rand_init(&rand, 3);
	pr_retry_budget_init(&budget);
	budget.tokens = 5;
	options.deadline = 100 * MS;
	pr_dispatch_init(&dispatch, &options, &budget);
	pr_dispatch_start_attempt(&dispatch, 0);
	pr_dispatch_fail_attempt(&dispatch, &decision, 0, true, &rand,
				 100 * MS);
	assert_int_equal(decision.action, PR_DISPATCH_REFUSE);
	assert_int_equal(decision.status, 504);
	assert_int_equal(decision.verdict, PR_VERDICT_NOT_RUN);
	assert_int_equal(pr_dispatch_start_attempt(&dispatch, 100 * MS),
			 PR_EINVALID);
	pr_dispatch_init(&dispatch, &options, &budget);
	assert_int_equal(pr_dispatch_start_attempt(&dispatch, 100 * MS),
			 PR_ETIMEDOUT);
	pr_rand_finish(&rand);
}

/* Guards against unbounded waiting, a withdrawal from the retry budget and a
 * wrong error code when no upstream can be chosen. */
static void failed_selections_end_as_no_capacity(void **state)
{
	pr_dispatch_options_t options = PR_DISPATCH_OPTIONS_INIT;
	pr_retry_budget_t budget;
	pr_dispatch_t dispatch;
	pr_dispatch_decision_t decision = { .action = PR_DISPATCH_TRY };
	pr_usec_t now = 0;
	pr_rand_t rand;
	int choices = 0;

	pr_rand_init(&rand, 5);
	pr_retry_budget_init(&budget);
	pr_dispatch_init(&dispatch, &options, &budget);
	while (decision.action == PR_DISPATCH_TRY) {
		pr_dispatch_fail_attempt(&dispatch, &decision, -1, false, &rand,
					 now);
		now = decision.at;
		choices++;
	}
	assert_int_equal(choices, options.attempts_max);
	assert_int_equal(decision.action, PR_DISPATCH_REFUSE);
	assert_int_equal(decision.status, 503);
	assert_string_equal(decision.code, "no_capacity");
	assert_int_equal(decision.verdict, PR_VERDICT_NOT_RUN);
	assert_true(budget.tokens > 0.09);
	pr_rand_finish(&rand);
}

/* Guards against attempts that continue after the caller disconnected, and
 * against two answers to a hedged request. */
static void open_attempts_are_cancelled(void **state)
{
	pr_dispatch_options_t options = PR_DISPATCH_OPTIONS_INIT;
	pr_retry_budget_t budget;
	pr_dispatch_t dispatch;
	pr_dispatch_decision_t decision;

	pr_retry_budget_init(&budget);
	budget.tokens = 5;
	options.idempotent = true;
	options.hedge_after = 50 * MS;
	pr_dispatch_init(&dispatch, &options, &budget);
	pr_dispatch_start_attempt(&dispatch, 0);
	assert_false(pr_dispatch_claim_hedge(&dispatch, 49 * MS));
	assert_true(pr_dispatch_claim_hedge(&dispatch, 50 * MS));
	assert_false(pr_dispatch_claim_hedge(&dispatch, 50 * MS));
	pr_dispatch_start_attempt(&dispatch, 50 * MS);
	pr_dispatch_complete_attempt(&dispatch, &decision, 1);
	assert_int_equal(decision.action, PR_DISPATCH_ANSWER);
	assert_int_equal(decision.cancel, 1);
	pr_dispatch_complete_attempt(&dispatch, &decision, 0);
	assert_int_equal(decision.action, PR_DISPATCH_NONE);
	pr_dispatch_init(&dispatch, &options, &budget);
	pr_dispatch_start_attempt(&dispatch, 0);
	pr_dispatch_set_stage(&dispatch, 0, PR_STAGE_BODY);
	pr_dispatch_abandon(&dispatch, &decision, false);
	assert_int_equal(decision.cancel, 1);
	assert_int_equal(decision.verdict, PR_VERDICT_MAY_HAVE_RUN);
	/* A request that is not idempotent is never hedged. */
	options.idempotent = false;
	pr_dispatch_init(&dispatch, &options, &budget);
	pr_dispatch_start_attempt(&dispatch, 0);
	assert_true(pr_dispatch_hedge_at(&dispatch) == PR_USEC_NEVER);
}

#define TOKENS 40

static void write_answer(pr_str_t *out, const char *attempt, int from)
{
	static const char *const ends[] = { "\n", "\r\n", "\r" };

	for (int i = from; i < TOKENS; i++) {
		const char *end = ends[i % 3];

		pr_str_appendf(out,
			       ": comment%sdata: {\"attempt\":\"%s\",%sdata: "
			       "\"choices\":[{\"delta\":{\"content\":\"t%d "
			       "\"}}]}%s%s",
			       end, attempt, end, i, end, end);
	}
	pr_str_appendf(out,
		       "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,"
		       "\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n",
		       TOKENS);
}

static int feed_chunks(pr_stream_t *stream, pr_slice_t bytes, pr_rand_t *rand)
{
	int rc = 0;

	while (bytes.len && !rc) {
		size_t part = 1 + pr_rand_below(rand, 30);

		if (part > bytes.len)
			part = bytes.len;
		rc = pr_stream_feed(stream, pr_slice(bytes.ptr, part));
		bytes = pr_slice(bytes.ptr + part, bytes.len - part);
	}
	return rc;
}

/* Guards against tokens that are lost, duplicated or split when chunks end at
 * arbitrary bytes, or when a stream is resumed after an interruption at any
 * byte. */
static void stream_survives_chunks_and_resume(void **state)
{
	pr_str_t whole = PR_STR_INIT;
	pr_stream_t reference;

	write_answer(&whole, "a/0", 0);
	pr_stream_init(&reference);
	pr_stream_begin_attempt(&reference, PR_SLICE("a/0"));
	assert_int_equal(pr_stream_feed(&reference, pr_str_slice(&whole)), 0);
	assert_true(pr_stream_complete(&reference));
	assert_int_equal(reference.tokens, TOKENS);
	assert_int_equal(reference.prompt_tokens, 7);
	for (int seed = 1; seed <= 500; seed++) {
		pr_str_t rest = PR_STR_INIT;
		pr_stream_t stream;
		pr_rand_t rand;
		size_t interrupted_at;

		pr_rand_init(&rand, (uint64_t)seed);
		interrupted_at = pr_rand_below(&rand, (uint32_t)whole.len - 20);
		pr_stream_init(&stream);
		pr_stream_begin_attempt(&stream, PR_SLICE("a/0"));
		assert_int_equal(
			feed_chunks(&stream,
				    pr_slice(whole.ptr, interrupted_at), &rand),
			0);
		assert_false(pr_stream_complete(&stream));
		pr_stream_begin_attempt(&stream, PR_SLICE("a/1"));
		write_answer(&rest, "a/1", (int)stream.tokens);
		assert_int_equal(
			feed_chunks(&stream, pr_str_slice(&rest), &rand), 0);
		assert_true(pr_stream_complete(&stream));
		assert_int_equal(stream.tokens, TOKENS);
		pr_str_finish(&rest);
		pr_stream_finish(&stream);
		pr_rand_finish(&rand);
	}
	pr_stream_finish(&reference);
	pr_str_finish(&whole);
}

/* Guards against reads out of bounds on random input, and against random input
 * that is forwarded to the caller or accepted as a complete stream. */
static void stream_rejects_garbage(void **state)
{
	static const char alphabet[] = "data: event\r\n\n\n{}[]\"DONE:x\0\xff";
	unsigned int complete = 0;

	for (int seed = 1; seed <= 3000; seed++) {
		char bytes[400];
		pr_stream_t stream;
		pr_rand_t rand;
		int rc;

		pr_rand_init(&rand, (uint64_t)seed);
		for (size_t i = 0; i < sizeof(bytes); i++)
			bytes[i] = alphabet[pr_rand_below(&rand,
							  sizeof(alphabet))];
		pr_stream_init(&stream);
		pr_stream_begin_attempt(&stream, PR_SLICE("a/0"));
		rc = feed_chunks(&stream, pr_slice(bytes, sizeof(bytes)),
				 &rand);
		assert_true(rc == 0 || rc == PR_EPARSE || rc == PR_EIO);
		complete += pr_stream_complete(&stream);
		pr_stream_finish(&stream);
		pr_rand_finish(&rand);
	}
	assert_int_equal(complete, 0);
}

/* Guards against accepting answers of other attempts, failed streams that count
 * as complete, and unbounded buffering. */
static void stream_checks_origin_and_end(void **state)
{
	static const char error[] = "event: error\ndata: {\"x\":1}\n\n";
	pr_str_t bytes = PR_STR_INIT;
	pr_stream_t stream;
	char filler[1024];
	int rc = 0;

	pr_stream_init(&stream);
	pr_stream_begin_attempt(&stream, PR_SLICE("a/0"));
	assert_int_equal(pr_stream_check_head(&stream, PR_SLICE("a/0")), 0);
	write_answer(&bytes, "b/0", 0);
	assert_int_equal(pr_stream_feed(&stream, pr_str_slice(&bytes)),
			 PR_EPARSE);
	assert_int_equal(stream.out.len, 0);
	assert_false(pr_stream_complete(&stream));
	assert_int_equal(pr_stream_check_head(&stream, PR_SLICE("b/0")),
			 PR_ECONFLICT);
	pr_stream_begin_attempt(&stream, PR_SLICE("a/1"));
	assert_int_equal(pr_stream_feed(&stream, PR_SLICE(error)), PR_EIO);
	pr_str_clear(&bytes);
	pr_stream_error_event(&bytes, "upstream_failed", "stream broke",
			      PR_VERDICT_MAY_HAVE_RUN);
	pr_stream_begin_attempt(&stream, PR_SLICE("a/2"));
	assert_int_equal(pr_stream_feed(&stream, pr_str_slice(&bytes)), PR_EIO);
	pr_stream_begin_attempt(&stream, PR_SLICE("a/3"));
	memset(filler, 'x', sizeof(filler));
	for (int i = 0; i < 300 && !rc; i++)
		rc = pr_stream_feed(&stream, pr_slice(filler, sizeof(filler)));
	assert_int_equal(rc, PR_EFULL);
	pr_stream_finish(&stream);
	pr_str_finish(&bytes);
}

/* Guards against accepting a truncated answer or one of another attempt. */
static void answer_check_finds_damage(void **state)
{
	pr_slice_t id = PR_SLICE("a/0");
	pr_slice_t body = PR_SLICE("{\"choices\":[{\"text\":\"x\"}]}");

	assert_int_equal(pr_answer_check(id, id, (int64_t)body.len, body), 0);
	assert_int_equal(pr_answer_check(id, id, -1, body), 0);
	assert_int_equal(pr_answer_check(id, PR_SLICE("b/0"), -1, body),
			 PR_ECONFLICT);
	assert_int_equal(pr_answer_check(id, id, 99, body), PR_EIO);
	for (size_t len = 0; len < body.len; len++)
		assert_int_equal(
			pr_answer_check(id, id, -1, pr_slice(body.ptr, len)),
			PR_EPARSE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(verdict_matches_upstream),
		cmocka_unit_test(verdict_joins_attempts),
		cmocka_unit_test(budget_bounds_attempts),
		cmocka_unit_test(deadline_ends_attempts),
		cmocka_unit_test(failed_selections_end_as_no_capacity),
		cmocka_unit_test(open_attempts_are_cancelled),
		cmocka_unit_test(stream_survives_chunks_and_resume),
		cmocka_unit_test(stream_rejects_garbage),
		cmocka_unit_test(stream_checks_origin_and_end),
		cmocka_unit_test(answer_check_finds_damage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
