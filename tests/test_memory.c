/* Budget of the bytes that a process holds: crowds that fill the memory. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "limits/memory.h"

#define KB         ((size_t)1024)
#define MB         (1024 * KB)
#define MACHINE_MB 110.0
#define BODY       (4 * MB)

/* Take a body of the size as long as the budget allows it. */
static size_t fill(pr_memory_t *memory, pr_memory_account_t *accounts,
		   size_t count, size_t size)
{
	size_t taken = 0;

	while (taken < count &&
	       pr_memory_allows(memory, PR_MEMORY_REQUESTS, 0, size)) {
		pr_memory_set(memory, &accounts[taken], PR_MEMORY_REQUESTS,
			      size);
		taken++;
	}
	return taken;
}

/* Large bodies that stop short of their end keep ordinary requests from being
 * read. */
static void test_large_bodies_leave_room_for_small_requests(void **state)
{
	pr_memory_account_t accounts[64] = { 0 };
	pr_memory_t memory;

	pr_memory_init(&memory, MACHINE_MB);
	assert_in_range(fill(&memory, accounts, 64, BODY), 2, 63);
	assert_false(pr_memory_allows(&memory, PR_MEMORY_REQUESTS, 0, BODY));
	assert_true(pr_memory_allows(&memory, PR_MEMORY_REQUESTS, 0, 64 * KB));
	assert_true(memory.total <= memory.limit);
}

/* Small buffers of very many connections exceed the memory. */
static void test_small_buffers_stay_within_the_budget(void **state)
{
	static pr_memory_account_t accounts[4000];
	pr_memory_t memory;
	size_t taken;

	pr_memory_init(&memory, MACHINE_MB);
	taken = fill(&memory, accounts, 4000, 32 * KB);
	assert_in_range(taken, 1, 3999);
	assert_true(memory.total <= memory.limit);
	assert_true(memory.limit < (size_t)MACHINE_MB * MB / 2);
}

/* Endless answers take the memory of requests. */
static void test_responses_have_a_share(void **state)
{
	pr_memory_account_t account = { 0 };
	pr_memory_t memory;

	pr_memory_init(&memory, MACHINE_MB);
	assert_true(pr_memory_allows(&memory, PR_MEMORY_RESPONSES, 0, 8 * MB));
	pr_memory_set(&memory, &account, PR_MEMORY_RESPONSES, 8 * MB);
	assert_false(pr_memory_allows(&memory, PR_MEMORY_RESPONSES, 8 * MB,
				      16 * MB));
	assert_true(
		pr_memory_allows(&memory, PR_MEMORY_RESPONSES, 0, 256 * KB));
	assert_true(pr_memory_allows(&memory, PR_MEMORY_REQUESTS, 0, BODY));
}

/* Bytes of a connection that ended still count, until nothing is served. */
static void test_bytes_are_returned(void **state)
{
	pr_memory_account_t account = { 0 };
	pr_memory_t memory;

	pr_memory_init(&memory, MACHINE_MB);
	pr_memory_set(&memory, &account, PR_MEMORY_REQUESTS, BODY);
	pr_memory_set(&memory, &account, PR_MEMORY_UNREAD, MB);
	assert_int_equal(pr_memory_account_total(&account), BODY + MB);
	pr_memory_set(&memory, &account, PR_MEMORY_REQUESTS, KB);
	assert_int_equal(memory.total, MB + KB);
	pr_memory_release(&memory, &account);
	assert_int_equal(memory.total, 0);
	assert_int_equal(memory.peak, BODY + MB);
}

/* A caller that sends a byte now and then looks alive and is never closed. */
static void test_trickle_is_no_progress(void **state)
{
	pr_usec_t until = 0;
	pr_memory_holder_t holder = { .bytes = BODY };

	for (pr_usec_t now = 0; now < 5 * PR_USEC_PER_SEC;
	     now += 100 * PR_USEC_PER_MSEC)
		until = pr_memory_progress(until, 1, now);
	holder.progress_until = until;
	assert_true(pr_memory_rank(&holder, 5 * PR_USEC_PER_SEC) > 0);
}

/* A large body that is sent at an ordinary pace is closed for a newcomer. */
static void test_steady_sender_is_not_closed(void **state)
{
	pr_usec_t until = 0, now;
	pr_memory_holder_t holder = { .bytes = BODY };

	for (now = 0; now < 5 * PR_USEC_PER_SEC; now += 100 * PR_USEC_PER_MSEC)
		until = pr_memory_progress(until, 32 * KB, now);
	holder.progress_until = until;
	assert_true(pr_memory_rank(&holder, now) == 0);
	assert_true(pr_memory_rank(&holder, now + PR_USEC_PER_SEC) > 0);
}

/* Progress that was made once protects a caller for ever. */
static void test_progress_is_not_saved_up(void **state)
{
	pr_usec_t until = pr_memory_progress(0, 100 * MB, PR_USEC_PER_SEC);

	assert_true(until <= PR_USEC_PER_SEC + 500 * PR_USEC_PER_MSEC);
}

/* Slow readers of many streams hold more than the memory before any of them may
 * be closed. */
static void test_memory_is_short_before_it_is_exceeded(void **state)
{
	pr_memory_account_t account = { 0 };
	pr_memory_t memory;

	pr_memory_init(&memory, MACHINE_MB);
	pr_memory_set(&memory, &account, PR_MEMORY_UNREAD, memory.limit / 2);
	assert_false(pr_memory_is_short(&memory));
	pr_memory_set(&memory, &account, PR_MEMORY_UNREAD,
		      memory.limit / 10 * 8);
	assert_true(pr_memory_is_short(&memory));
	assert_false(pr_memory_is_exceeded(&memory));
}

static void test_largest_and_longest_goes_first(void **state)
{
	pr_usec_t now = 10 * PR_USEC_PER_SEC;
	pr_memory_holder_t large = { .bytes = BODY, .since = 0 };
	pr_memory_holder_t newer = { .bytes = BODY, .since = now / 2 };
	pr_memory_holder_t small = { .bytes = KB, .since = 0 };
	pr_memory_holder_t young = { .bytes = BODY, .since = now - 1 };

	assert_true(pr_memory_rank(&large, now) > pr_memory_rank(&newer, now));
	assert_true(pr_memory_rank(&newer, now) > pr_memory_rank(&small, now));
	assert_true(pr_memory_rank(&young, now) == 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_large_bodies_leave_room_for_small_requests),
		cmocka_unit_test(test_small_buffers_stay_within_the_budget),
		cmocka_unit_test(test_responses_have_a_share),
		cmocka_unit_test(test_bytes_are_returned),
		cmocka_unit_test(test_trickle_is_no_progress),
		cmocka_unit_test(test_steady_sender_is_not_closed),
		cmocka_unit_test(test_progress_is_not_saved_up),
		cmocka_unit_test(test_memory_is_short_before_it_is_exceeded),
		cmocka_unit_test(test_largest_and_longest_goes_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
