/* Tests of the engine stand-in's prefix cache and its events. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "../standins/common/cache.h"

#define VERSION PR_SLICE("small@v1")

static size_t events_after(const cache_t *cache, uint64_t after, pr_usec_t now)
{
	json_t *json = cache_events(cache, after, now);
	size_t count = json_array_size(json_object_get(json, "events"));

	json_decref(json);
	return count;
}

/* Guards against a hit for another version or another prefix, and against a
 * cache that is larger than configured. */
static void cache_hits_prefixes_only(void **state)
{
	char prompt[4 * CACHE_BLOCK_BYTES];
	pr_slice_t whole = pr_slice(prompt, sizeof(prompt));
	pr_slice_t half = pr_slice(prompt, sizeof(prompt) / 2);
	cache_t cache;

	memset(prompt, 'a', sizeof(prompt));
	assert_int_equal(cache_init(&cache, 4, NULL), 0);
	assert_true(cache_touch(&cache, VERSION, half, 0) == 0);
	assert_true(cache_touch(&cache, VERSION, whole, 0) == 0.5);
	assert_true(cache_touch(&cache, VERSION, whole, 0) == 1);
	assert_true(cache_touch(&cache, PR_SLICE("small@v2"), half, 0) == 0);
	assert_int_equal(cache.count, 4);
	/* The two blocks of v2 took the place of two blocks of v1. */
	assert_true(cache_touch(&cache, VERSION, whole, 0) < 1);
	prompt[0] = 'b';
	assert_true(cache_touch(&cache, VERSION, whole, 0) == 0);
	cache_finish(&cache);
}

/* Guards against events that are early, or whose gaps do not show. */
static void events_are_late_with_gaps(void **state)
{
	char prompt[8 * CACHE_BLOCK_BYTES];
	pr_rand_t rand;
	cache_t cache;
	json_t *json;

	memset(prompt, 'a', sizeof(prompt));
	assert_int_equal(pr_rand_init(&rand, 1), 0);
	assert_int_equal(cache_init(&cache, 100, &rand), 0);
	cache.lag_ms = 100;
	cache_touch(&cache, VERSION, pr_slice(prompt, sizeof(prompt)), 0);
	assert_int_equal(events_after(&cache, 0, 99999), 0);
	assert_int_equal(events_after(&cache, 0, 100000), 8);
	assert_int_equal(events_after(&cache, 6, 100000), 2);
	cache.gap_share = 1;
	cache_clear(&cache, 0);
	cache.gap_share = 0;
	cache_touch(&cache, VERSION, pr_slice(prompt, CACHE_BLOCK_BYTES), 0);
	json = cache_events(&cache, 8, 100000);
	assert_int_equal(
		json_integer_value(json_object_get(
			json_array_get(json_object_get(json, "events"), 0),
			"seq")),
		17);
	json_decref(json);
	cache_finish(&cache);
	pr_rand_finish(&rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cache_hits_prefixes_only),
		cmocka_unit_test(events_are_late_with_gaps),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
