/* Tests of src/transition/sessions.c: recently active sessions. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "transition/sessions.h"

/* Hashes of a session that moves in the first step, and of one that moves last.
 */
#define EARLY (UINT64_C(1) << 20)
#define LATE  (UINT64_MAX - 5)

static uint64_t hash_of(uint64_t i)
{
	i = (i ^ (i >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	i = (i ^ (i >> 27)) * UINT64_C(0x94d049bb133111eb);
	return i ^ (i >> 31);
}

/* Guards against moving active sessions (rule PINNED) that were displaced from
 * the table by other active ones, as on sites of 58 and of 295 hosts. */
static void test_active_sessions_of_many_hosts_are_kept(void **state)
{
	static pr_sessions_t sessions;
	const uint64_t active = 700;

	for (uint64_t fleet = 0; fleet < 100; fleet++) {
		uint64_t kept = 0;

		memset(&sessions, 0, sizeof(sessions));
		for (uint64_t i = 1; i <= active; i++)
			pr_sessions_merge(&sessions,
					  hash_of(fleet * active + i), 1000,
					  false);
		for (uint64_t i = 1; i <= active; i++)
			kept += pr_sessions_is_active(
				&sessions, hash_of(fleet * active + i), 2000,
				6500);
		assert_true(kept >= active - 1);
	}
}

/* A host reports only its own sessions, or datagrams would circulate forever.
 */
static void test_only_own_sessions_are_listed(void **state)
{
	static pr_sessions_t sessions;
	pr_sessions_filter_t filter = { false, 0.07, 0, 0 };
	pr_recent_session_t out[8];

	memset(&sessions, 0, sizeof(sessions));
	pr_sessions_record(&sessions, EARLY, 100);
	pr_sessions_record_moved(&sessions, EARLY + 2, 100);
	pr_sessions_merge(&sessions, EARLY + 1, 100, false);
	pr_sessions_record(&sessions, LATE, 100);
	assert_int_equal(pr_sessions_list(&sessions, &filter, out, 8), 1);
	assert_true(out[0].hash == EARLY);
	filter.moved = true;
	assert_int_equal(pr_sessions_list(&sessions, &filter, out, 8), 1);
	assert_true(out[0].hash == EARLY + 2);
	filter.after_ms = 100;
	assert_int_equal(pr_sessions_list(&sessions, &filter, out, 8), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_active_sessions_of_many_hosts_are_kept),
		cmocka_unit_test(test_only_own_sessions_are_listed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
