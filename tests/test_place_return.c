/* Tests of src/place with an upstream that is withheld: it was removed, and a
 * copy to which the store returned lists it again. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "place/place.h"

#define UPSTREAMS 3
#define NOW       (100 * PR_USEC_PER_SEC)
#define RENEWED   (NOW + PR_UPSTREAM_RENEWAL_TIME)

typedef struct fixture_t {
	pr_registry_t registry;
	pr_zone_t zone;
	pr_zone_map_t map;
	pr_upstream_t *upstreams[UPSTREAMS];
	pr_transition_t transition;
	pr_place_query_t query;
} fixture_t;

static pr_upstream_entry_t entry_of(int index)
{
	pr_upstream_entry_t entry = { .slots = 64, .born = 1, .sequence = 5 };

	snprintf(entry.id, sizeof(entry.id), "u%d", index);
	snprintf(entry.service, sizeof(entry.service), "model");
	snprintf(entry.zone, sizeof(entry.zone), "near");
	snprintf(entry.version, sizeof(entry.version), "v1");
	return entry;
}

/* The first of three upstreams was removed and comes back with a copy. It would
 * be chosen first. */
static void set_up(fixture_t *f)
{
	memset(f, 0, sizeof(*f));
	pr_registry_init(&f->registry);
	f->zone = (pr_zone_t){ "near", "home", false };
	f->map = (pr_zone_map_t){ &f->zone, 1, "near", "home" };
	for (int i = 0; i < UPSTREAMS; i++) {
		pr_upstream_entry_t entry = entry_of(i);
		pr_revision_t row = { .number = (uint64_t)i + 1 };

		f->upstreams[i] =
			pr_registry_apply(&f->registry, &entry, row, 0, NOW);
		f->upstreams[i]->in_flight = (uint32_t)i;
	}
	for (int i = 0; i < UPSTREAMS; i++) {
		pr_upstream_entry_t entry = entry_of(i);
		pr_revision_t row = { .era = 1, .number = (uint64_t)i + 1 };

		if (!i)
			pr_registry_remove(&f->registry, entry.id,
					   (pr_revision_t){ .number = 9 }, NOW,
					   NOW);
		pr_registry_apply(&f->registry, &entry, row, 0, NOW);
	}
	f->query = (pr_place_query_t){ .service = "model",
				       .connections_max = 40,
				       .hosts = 8,
				       .now = NOW };
}

static pr_upstream_t *choose(fixture_t *f, pr_place_verdict_t wanted)
{
	pr_upstream_t *chosen;

	assert_int_equal(pr_place_choose(&f->registry, &f->map, &f->query,
					 &chosen, NULL),
			 wanted);
	return chosen;
}

/* DRAIN: an upstream that was removed before the store returned from a copy got
 * requests again. */
static void test_withheld_upstream_is_not_chosen(void **state)
{
	fixture_t f;

	set_up(&f);
	assert_ptr_equal(choose(&f, PR_PLACE_FOUND), f.upstreams[1]);
	/* Nor when all others are tried; a wait for it would be in vain. */
	f.query.tried[0] = f.upstreams[1];
	f.query.tried[1] = f.upstreams[2];
	f.query.tried_count = 2;
	assert_null(choose(&f, PR_PLACE_NONE));
	f.query.tried_count = 0;
	f.query.now = RENEWED;
	assert_ptr_equal(choose(&f, PR_PLACE_FOUND), f.upstreams[0]);
	pr_registry_finish(&f.registry);
}

/* Nor for the prefix that it cached. */
static void test_withheld_upstream_has_no_rank(void **state)
{
	fixture_t f;

	set_up(&f);
	f.query.prefix_prefill_ms = 1000;
	for (uint64_t hash = 1; hash <= 100; hash++) {
		f.query.prefix_hash = hash;
		assert_ptr_not_equal(choose(&f, PR_PLACE_FOUND),
				     f.upstreams[0]);
	}
	pr_registry_finish(&f.registry);
}

/* The load test of a version would have counted on capacity that is gone. */
static void test_withheld_upstream_is_no_capacity(void **state)
{
	fixture_t f;

	set_up(&f);
	assert_int_equal(
		pr_place_count_usable(&f.registry, &f.map, "model", "v1", NOW),
		2);
	assert_int_equal(pr_place_count_usable(&f.registry, &f.map, "model",
					       "v1", RENEWED),
			 3);
	pr_registry_finish(&f.registry);
}

static void test_withheld_upstream_takes_no_load_test(void **state)
{
	fixture_t f;

	set_up(&f);
	snprintf(f.transition.order.service, sizeof(f.transition.order.service),
		 "model");
	snprintf(f.transition.order.version, sizeof(f.transition.order.version),
		 "v1");
	f.query.transition = &f.transition;
	f.query.version = PR_VERSION_NEW;
	f.query.load_test = true;
	f.query.hosts = 1;
	f.transition.began_ms = 1;
	/* The others are full and paused. */
	f.upstreams[1]->in_flight = 64;
	pr_upstream_pause(f.upstreams[2], 60 * PR_USEC_PER_SEC, NOW);
	assert_false(
		pr_place_has_load_test_room(&f.registry, &f.map, &f.query));
	f.query.now = RENEWED;
	assert_true(pr_place_has_load_test_room(&f.registry, &f.map, &f.query));
	pr_registry_finish(&f.registry);
}

/* A request that waits for a paused upstream would have been woken for one that
 * it can't use. */
static void test_withheld_upstream_does_not_return(void **state)
{
	fixture_t f;

	set_up(&f);
	for (int i = 1; i < UPSTREAMS; i++)
		pr_upstream_pause(f.upstreams[i], i * PR_USEC_PER_SEC, NOW);
	assert_int_equal(
		pr_place_next_return(&f.registry, &f.map, &f.query).any,
		NOW + PR_USEC_PER_SEC);
	pr_registry_finish(&f.registry);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_withheld_upstream_is_not_chosen),
		cmocka_unit_test(test_withheld_upstream_has_no_rank),
		cmocka_unit_test(test_withheld_upstream_is_no_capacity),
		cmocka_unit_test(test_withheld_upstream_takes_no_load_test),
		cmocka_unit_test(test_withheld_upstream_does_not_return),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
