/* Tests of src/upstream: listing, cold start, ejection and crashes of
 * upstreams. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "upstream/upstream.h"
#include "revision.h"

#define SECOND PR_USEC_PER_SEC

static pr_upstream_entry_t entry_of(const char *id, int64_t born)
{
	pr_upstream_entry_t entry = { .slots = 64, .born = born };

	snprintf(entry.id, sizeof(entry.id), "%s", id);
	snprintf(entry.service, sizeof(entry.service), "model");
	snprintf(entry.zone, sizeof(entry.zone), "z1");
	snprintf(entry.version, sizeof(entry.version), "v1");
	return entry;
}

/* In every second, all hosts together stay below the request rate that a cold
 * upstream can take, also when all begin at the same time. */
static void test_cold_permits_of_all_hosts_keep_the_rate(void **state)
{
	const double rate = 12;
	const double bound = 12 * 1.5 + 5;
	static int sent[4000];

	for (uint32_t hosts = 1; hosts <= 11; hosts++) {
		pr_upstream_t upstreams[11];

		memset(upstreams, 0, sizeof(upstreams));
		memset(sent, 0, sizeof(sent));
		for (int ms = 0; ms < 4000; ms++) {
			for (uint32_t i = 0; i < hosts; i++)
				sent[ms] += pr_upstream_take_cold_permit(
					&upstreams[i], rate, hosts,
					SECOND + ms * PR_USEC_PER_MSEC);
		}
		for (int first = 0; first + 1000 <= 4000; first++) {
			int sum = 0;

			for (int ms = first; ms < first + 1000; ms++)
				sum += sent[ms];
			assert_true(sum <= bound);
		}
	}
}

/* A new upstream is cold even when its entry states no cold time. */
static void test_upstream_that_appears_later_is_cold(void **state)
{
	pr_upstream_entry_t early = entry_of("a", 1), late = entry_of("b", 2);
	pr_registry_t registry;

	pr_registry_init(&registry);
	assert_true(pr_registry_apply(&registry, &early, rev(1), 3000, SECOND)
			    ->cold_until <= SECOND);
	registry.initial_read_done = true;
	assert_true(pr_registry_apply(&registry, &late, rev(2), 3000, SECOND)
			    ->cold_until >= 4 * SECOND);
	pr_registry_finish(&registry);
}

/* An upstream may restart under the same id; the new instance has no state of
 * the old one. */
static void test_new_incarnation_replaces_the_old(void **state)
{
	pr_upstream_entry_t first = entry_of("a", 1), second = entry_of("a", 9);
	pr_registry_t registry;
	pr_upstream_t *before, *after;

	pr_registry_init(&registry);
	registry.initial_read_done = true;
	before = pr_upstream_ref(
		pr_registry_apply(&registry, &first, rev(1), 0, SECOND));
	after = pr_registry_apply(&registry, &second, rev(2), 3000, SECOND);
	assert_true(after != before);
	assert_false(before->listed);
	assert_true(after->cold_until > SECOND);
	pr_upstream_unref(before);
	pr_registry_finish(&registry);
}

/* Reads may be stale: an older row does not overwrite a newer one. */
static void test_outdated_row_is_ignored(void **state)
{
	pr_upstream_entry_t ready = entry_of("a", 1),
			    draining = entry_of("a", 1);
	pr_registry_t registry;

	draining.draining = true;
	pr_registry_init(&registry);
	pr_registry_apply(&registry, &draining, rev(5), 0, SECOND);
	assert_null(pr_registry_apply(&registry, &ready, rev(4), 0, SECOND));
	assert_true(pr_registry_find(&registry, "a")->entry.draining);
	pr_registry_finish(&registry);
}

/* Entries that expired while the store was unreachable may be renewed shortly
 * after. */
static void test_expired_entry_may_be_renewed(void **state)
{
	pr_upstream_entry_t entry = entry_of("a", 1);
	pr_registry_t registry;

	pr_registry_init(&registry);
	pr_registry_apply(&registry, &entry, rev(1), 0, SECOND);
	pr_registry_remove(&registry, "a", rev(2), 3 * SECOND, SECOND);
	pr_registry_expire(&registry, 2 * SECOND);
	assert_non_null(pr_registry_find(&registry, "a"));
	pr_registry_apply(&registry, &entry, rev(3), 0, 2 * SECOND);
	pr_registry_expire(&registry, 4 * SECOND);
	assert_non_null(pr_registry_find(&registry, "a"));
	pr_registry_remove(&registry, "a", rev(4), 4 * SECOND, 4 * SECOND);
	assert_null(pr_registry_find(&registry, "a"));
	pr_registry_finish(&registry);
}

/* Guards against requests to an upstream that stated that it is shutting down,
 * after a row that was written before, or after its entry lapsed and was
 * renewed: only a new instance is used again. */
static void test_leaving_lasts_as_long_as_the_instance(void **state)
{
	pr_upstream_entry_t entry = entry_of("a", 1), next = entry_of("a", 2);
	pr_registry_t registry;
	pr_upstream_t *upstream;

	pr_registry_init(&registry);
	upstream = pr_registry_apply(&registry, &entry, rev(1), 0, SECOND);
	assert_true(pr_upstream_mark_leaving(upstream));
	assert_false(pr_upstream_mark_leaving(upstream));
	upstream = pr_registry_apply(&registry, &entry, rev(2), 0, SECOND);
	assert_true(pr_upstream_is_leaving(upstream));
	pr_registry_remove(&registry, "a", rev(3), SECOND, SECOND);
	assert_null(pr_registry_find(&registry, "a"));
	upstream = pr_registry_apply(&registry, &entry, rev(4), 0, SECOND);
	assert_true(upstream->listed && pr_upstream_is_leaving(upstream));
	upstream = pr_registry_apply(&registry, &next, rev(5), 0, SECOND);
	assert_false(pr_upstream_is_leaving(upstream));
	pr_registry_finish(&registry);
}

/* A response may arrive after the entry lapsed. */
static void test_leaving_is_noted_while_not_listed(void **state)
{
	pr_upstream_entry_t entry = entry_of("a", 1);
	pr_registry_t registry;
	pr_upstream_t *upstream;

	pr_registry_init(&registry);
	upstream = pr_upstream_ref(
		pr_registry_apply(&registry, &entry, rev(1), 0, SECOND));
	pr_registry_remove(&registry, "a", rev(2), SECOND, SECOND);
	pr_upstream_mark_leaving(upstream);
	pr_upstream_unref(upstream);
	upstream = pr_registry_apply(&registry, &entry, rev(3), 0, SECOND);
	assert_true(pr_upstream_is_leaving(upstream));
	pr_registry_finish(&registry);
}

/* A fleet that is replaced again and again must not fill the memory. */
static void test_removed_upstreams_are_bounded(void **state)
{
	pr_upstream_t *upstreams[1000];
	pr_registry_t registry;
	int kept = 0;

	pr_registry_init(&registry);
	for (uint64_t i = 0; i < 1000; i++) {
		pr_upstream_entry_t entry = entry_of("a", (int64_t)i + 1);

		upstreams[i] = pr_upstream_ref(pr_registry_apply(
			&registry, &entry, rev(i + 1), 0, SECOND));
	}
	for (int i = 0; i < 1000; i++)
		kept += upstreams[i]->refs > 1;
	assert_int_equal(kept, 1 + PR_REGISTRY_REMOVED_MAX);
	pr_registry_finish(&registry);
	for (int i = 0; i < 1000; i++) {
		assert_int_equal(upstreams[i]->refs, 1);
		pr_upstream_unref(upstreams[i]);
	}
}

/* Guards against requests to an upstream before the time that it stated: a
 * later refusal may state a shorter one, and its entry may lapse meanwhile. */
static void test_pause_is_not_shortened(void **state)
{
	pr_upstream_entry_t entry = entry_of("a", 1);
	pr_registry_t registry;
	pr_upstream_t *upstream;

	pr_registry_init(&registry);
	upstream = pr_registry_apply(&registry, &entry, rev(1), 0, SECOND);
	assert_true(pr_upstream_pause(upstream, 3 * SECOND, SECOND));
	assert_false(pr_upstream_pause(upstream, SECOND, 2 * SECOND));
	pr_upstream_record_success(upstream);
	pr_registry_remove(&registry, "a", rev(2), 2 * SECOND, 2 * SECOND);
	upstream = pr_registry_apply(&registry, &entry, rev(3), 0, 2 * SECOND);
	assert_true(pr_upstream_is_paused(upstream, 4 * SECOND - 1));
	assert_false(pr_upstream_is_paused(upstream, 4 * SECOND));
	assert_int_equal(upstream->failures, 0);
	/* The next one is a pause of its own. */
	assert_true(pr_upstream_pause(upstream, SECOND, 5 * SECOND));
	assert_true(pr_upstream_is_paused(upstream, 5 * SECOND));
	pr_registry_finish(&registry);
}

/* A new instance may ask for a pause before its entry is known. */
static void test_pause_outlasts_a_restart(void **state)
{
	pr_upstream_entry_t entry = entry_of("a", 1), next = entry_of("a", 2);
	pr_registry_t registry;
	pr_upstream_t *upstream;

	pr_registry_init(&registry);
	upstream = pr_registry_apply(&registry, &entry, rev(1), 0, SECOND);
	pr_upstream_pause(upstream, 3 * SECOND, SECOND);
	upstream = pr_registry_apply(&registry, &next, rev(2), 0, 2 * SECOND);
	assert_true(pr_upstream_is_paused(upstream, 4 * SECOND - 1));
	assert_false(pr_upstream_is_paused(upstream, 4 * SECOND));
	pr_registry_finish(&registry);
}

static void test_pause_is_bounded(void **state)
{
	pr_upstream_t upstream = { 0 };

	pr_upstream_pause(&upstream, 1000000 * SECOND, SECOND);
	assert_false(pr_upstream_is_paused(&upstream,
					   SECOND + PR_UPSTREAM_PAUSE_MAX));
}

static void test_failures_eject_and_success_readmits(void **state)
{
	pr_upstream_t upstream;

	memset(&upstream, 0, sizeof(upstream));
	pr_upstream_record_failure(&upstream, SECOND);
	assert_true(upstream.ejected_until <= SECOND);
	pr_upstream_record_failure(&upstream, SECOND);
	assert_true(upstream.ejected_until > SECOND);
	pr_upstream_record_success(&upstream);
	assert_true(upstream.ejected_until <= SECOND);
}

/* Guards against the withdrawal of a good version: five answers that broke when
 * three upstreams crashed once each were counted as five bad answers of their
 * version (site bkw-tickets, scale-1). */
static void test_connections_of_one_crash_are_reported_once(void **state)
{
	pr_upstream_t upstream = { 0 };
	pr_usec_t now = 100 * SECOND;
	int reported = 0;

	for (int i = 0; i < 40; i++)
		reported +=
			pr_upstream_record_disconnect(&upstream, now += 1000);
	assert_int_equal(reported, 1);
	assert_true(
		pr_upstream_record_disconnect(&upstream, now + 10 * SECOND));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cold_permits_of_all_hosts_keep_the_rate),
		cmocka_unit_test(test_upstream_that_appears_later_is_cold),
		cmocka_unit_test(test_new_incarnation_replaces_the_old),
		cmocka_unit_test(test_outdated_row_is_ignored),
		cmocka_unit_test(test_expired_entry_may_be_renewed),
		cmocka_unit_test(test_leaving_lasts_as_long_as_the_instance),
		cmocka_unit_test(test_leaving_is_noted_while_not_listed),
		cmocka_unit_test(test_removed_upstreams_are_bounded),
		cmocka_unit_test(test_pause_is_not_shortened),
		cmocka_unit_test(test_pause_outlasts_a_restart),
		cmocka_unit_test(test_pause_is_bounded),
		cmocka_unit_test(test_failures_eject_and_success_readmits),
		cmocka_unit_test(
			test_connections_of_one_crash_are_reported_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
