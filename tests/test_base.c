/* Tests of src/base: strings, timers, hashes, verdicts, metrics. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/number.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/metrics.h"
#include "pistachiorack/rand.h"
#include "pistachiorack/str.h"
#include "pistachiorack/timer.h"
#include "pistachiorack/verdict.h"

/* Guards against a string that loses bytes when its buffer grows. */
static void str_grows(void **state)
{
	pr_str_t str = PR_STR_INIT;

	for (int i = 0; i < 1000; i++)
		assert_int_equal(pr_str_appendf(&str, "%d,", i), 0);
	assert_int_equal(str.len, 3890);
	assert_int_equal(str.ptr[str.len], 0);
	pr_str_finish(&str);
}

/* Guards against a time to wait that is misread: it may be a fraction, a date,
 * or so long that the arithmetic overflows. */
static void seconds_are_read(void **state)
{
	static const char *const invalid[] = { "",     "-1",   ".5",
					       "1,5",  "1.5s", "1e3",
					       "soon", " 1",   "1.2.3" };
	pr_usec_t time;

	assert_true(pr_slice_seconds(PR_SLICE("2"), &time));
	assert_int_equal(time, 2 * PR_USEC_PER_SEC);
	assert_true(pr_slice_seconds(PR_SLICE("0.25"), &time));
	assert_int_equal(time, 250 * PR_USEC_PER_MSEC);
	assert_true(pr_slice_seconds(PR_SLICE("1.000000123456789"), &time));
	assert_int_equal(time, PR_USEC_PER_SEC);
	assert_true(
		pr_slice_seconds(PR_SLICE("99999999999999999999999"), &time));
	assert_int_equal(time, PR_SECONDS_MAX * PR_USEC_PER_SEC);
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		assert_false(pr_slice_seconds(pr_slice_of(invalid[i]), &time));
	assert_false(pr_slice_seconds(PR_SLICE("Sat, 05 Dec 2026 00:00:00 GMT"),
				      &time));
}

static int expiries;

static void count_expiry(pr_timer_t *timer, pr_usec_t now)
{
	expiries++;
	if (timer->data)
		pr_timers_unsubscribe(timer->data, timer);
}

/* Guards against replayed periods after a pause and against a timer that
 * cannot unsubscribe itself. */
static void timers_skip_missed_periods(void **state)
{
	pr_timers_t timers;
	pr_timer_t periodic = { .data = NULL };
	pr_timer_t once = { .data = &timers };

	pr_timers_init(&timers, 0);
	expiries = 0;
	pr_timers_subscribe(&timers, &periodic, 10, 10, count_expiry);
	pr_timers_advance(&timers, 10);
	pr_timers_advance(&timers, 1000);
	assert_int_equal(expiries, 2);
	pr_timers_subscribe(&timers, &once, 5, 5, count_expiry);
	pr_timers_unsubscribe(&timers, &periodic);
	pr_timers_advance(&timers, 1005);
	pr_timers_advance(&timers, 2000);
	assert_int_equal(expiries, 3);
	assert_true(pr_timers_next(&timers) == PR_USEC_NEVER);
	pr_timers_finish(&timers);
}

/* Guards against a refusal that claims not_run after bytes were sent. */
static void verdict_follows_stage(void **state)
{
	assert_int_equal(pr_verdict_of_failure(PR_STAGE_CONNECTING, false),
			 PR_VERDICT_NOT_RUN);
	assert_int_equal(pr_verdict_of_failure(PR_STAGE_SENT, false),
			 PR_VERDICT_MAY_HAVE_RUN);
	assert_int_equal(pr_verdict_of_failure(PR_STAGE_SENT, true),
			 PR_VERDICT_NOT_RUN);
	assert_int_equal(
		pr_verdict_join(PR_VERDICT_NOT_RUN, PR_VERDICT_MAY_HAVE_RUN),
		PR_VERDICT_MAY_HAVE_RUN);
}

/* Guards against a rendezvous hash that moves keys of nodes that stay. */
static void rendezvous_moves_only_lost_keys(void **state)
{
	static const char *const nodes[] = { "a", "b", "c", "d" };
	int owned[4] = { 0 };

	for (int key = 0; key < 4000; key++) {
		pr_slice_t name = pr_slice((const char *)&key, sizeof(key));
		uint64_t best = 0;
		int owner = 0;

		for (int i = 0; i < 4; i++) {
			uint64_t score = pr_rendezvous_score(
				name, pr_slice_of(nodes[i]));

			if (score > best) {
				best = score;
				owner = i;
			}
		}
		owned[owner]++;
	}
	for (int i = 0; i < 4; i++)
		assert_in_range(owned[i], 850, 1150);
}

/* Guards against quantiles off by more than one bucket. */
static void histogram_quantile_is_close(void **state)
{
	pr_metrics_t metrics;
	pr_histogram_t *histogram;
	pr_str_t text = PR_STR_INIT;

	pr_metrics_init(&metrics, 2);
	histogram = pr_metrics_histogram(&metrics, "pr_test", "");
	for (int i = 1; i <= 1000; i++)
		pr_histogram_record(histogram, i);
	assert_in_range((long)pr_histogram_quantile(histogram, 0.5), 500, 600);
	assert_ptr_equal(pr_metrics_series(&metrics, "pr_a", ""),
			 pr_metrics_series(&metrics, "pr_a", ""));
	assert_ptr_equal(pr_metrics_series(&metrics, "pr_b", ""),
			 &metrics.overflow);
	assert_int_equal(pr_metrics_print(&metrics, &text), 0);
	assert_non_null(strstr(text.ptr, "pr_test_count{} 1000"));
	pr_str_finish(&text);
	pr_metrics_finish(&metrics);
}

/* Guards against a generator that is not repeatable from its seed. */
static void rand_repeats(void **state)
{
	pr_rand_t a, b;

	assert_int_equal(pr_rand_init(&a, 7), 0);
	assert_int_equal(pr_rand_init(&b, 7), 0);
	for (int i = 0; i < 100; i++)
		assert_int_equal(pr_rand_below(&a, 1000),
				 pr_rand_below(&b, 1000));
	pr_rand_finish(&a);
	pr_rand_finish(&b);
}

/* Guards against keys of two purposes that are the same, and against a change
 * of the derivation, which would cut running hosts off from new ones. */
static void derived_keys_differ(void **state)
{
	pr_slice_t secret = PR_SLICE("a-shared-secret-for-local-runs");
	char peers[PR_KEY_SIZE], tokens[PR_KEY_SIZE];

	pr_derive_key(peers, secret, "pistachiorack/peers");
	pr_derive_key(tokens, secret, "pistachiorack/tokens");
	/* From the openssl program. */
	assert_string_equal(peers, "ce94edc8492dab50b338be256aad1c0e"
				   "f1e40a2cbbfbb71199eea2ae50746a04");
	assert_string_not_equal(peers, tokens);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(str_grows),
		cmocka_unit_test(seconds_are_read),
		cmocka_unit_test(timers_skip_missed_periods),
		cmocka_unit_test(verdict_follows_stage),
		cmocka_unit_test(rendezvous_moves_only_lost_keys),
		cmocka_unit_test(histogram_quantile_is_close),
		cmocka_unit_test(rand_repeats),
		cmocka_unit_test(derived_keys_differ),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
