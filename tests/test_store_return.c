/*
 * Tests of src/relay over a return of the store from an older copy: a region of
 * hosts without a network, of which one reads the store and two are relays.
 * Guards against hosts that compare versions from before the return with those
 * after it, and take new rows for known ones.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pistachiorack/error.h"
#include "relay/extent.h"
#include "relay/row_cache.h"

#define HOSTS_MAX 295
#define RELAYS    2
#define KEYS      20

/** Content of the table: the value of each key, 0 for none. */
typedef struct table_t {
	int values[KEYS];
} table_t;

typedef struct sim_host_t {
	pr_extent_t extent;
	table_t table;
	/** Used by relays only. */
	pr_row_cache_t cache;
} sim_host_t;

typedef struct sim_store_t {
	uint64_t era, number;
	table_t table;
	uint64_t written[KEYS];
	/** Key of each transaction. */
	int keys[1000];
} sim_store_t;

typedef struct region_t {
	sim_store_t store;
	sim_host_t hosts[HOSTS_MAX];
	int count, calls;
} region_t;

static pr_revision_t now_of(const sim_store_t *store)
{
	return (pr_revision_t){ store->era, store->number };
}

static void put(sim_store_t *store, int key, int value)
{
	store->number++;
	store->table.values[key] = value;
	store->written[key] = store->number;
	store->keys[store->number] = key;
}

static void make_row(const sim_store_t *store, int key, pr_store_row_t *row)
{
	static char names[KEYS][16];

	memset(row, 0, sizeof(*row));
	snprintf(names[key], sizeof(names[key]), "%d", key);
	row->key = names[key];
	row->version = (pr_revision_t){ store->era, store->written[key] };
	row->removed = !store->table.values[key];
	if (!row->removed)
		assert_int_equal(pr_str_appendf(&row->value, "%d",
						store->table.values[key]),
				 0);
}

static void apply(sim_host_t *host, const pr_store_row_t *row)
{
	int key = atoi(row->key);

	host->table.values[key] =
		row->removed ? 0 : atoi(pr_str_cstr(&row->value));
}

static void apply_whole(sim_host_t *host, const pr_store_rows_t *rows)
{
	pr_revision_t newest = { .era = rows->version.era };

	memset(&host->table, 0, sizeof(host->table));
	for (size_t i = 0; i < rows->count; i++) {
		apply(host, &rows->rows[i]);
		newest = pr_revision_later(newest, rows->rows[i].version);
	}
	pr_extent_enter_era(&host->extent, newest, rows->version);
	assert_int_equal(pr_row_cache_replace(&host->cache, rows->version,
					      rows->rows, rows->count),
			 0);
}

static void apply_changes(sim_host_t *host, const pr_store_rows_t *rows)
{
	pr_revision_t after = pr_extent_last(&host->extent);

	for (size_t i = 0; i < rows->count; i++) {
		if (!pr_revision_is_after(rows->rows[i].version,
					  host->extent.newest))
			continue;
		apply(host, &rows->rows[i]);
		pr_extent_add(&host->extent, rows->rows[i].version);
	}
	pr_extent_advance(&host->extent, host->extent.newest);
	assert_int_equal(
		pr_row_cache_add(&host->cache, after, rows->rows, rows->count),
		0);
}

/* The whole table when the host is in an earlier era, else the changes. */
static void call_store(region_t *region, sim_host_t *host)
{
	const sim_store_t *store = &region->store;
	bool whole = host->extent.version.era < store->era;
	pr_store_row_t list[KEYS];
	pr_store_rows_t rows = { .rows = list, .version = now_of(store) };

	region->calls++;
	for (uint64_t n = 1; n <= store->number; n++) {
		int key = store->keys[n];

		if (store->written[key] != n ||
		    (whole ? !store->table.values[key]
			   : n <= host->extent.version.number))
			continue;
		make_row(store, key, &list[rows.count++]);
	}
	if (whole)
		apply_whole(host, &rows);
	else
		apply_changes(host, &rows);
	pr_extent_advance(&host->extent, now_of(store));
	for (size_t i = 0; i < rows.count; i++)
		pr_str_finish(&list[i].value);
}

static void ask(region_t *region, sim_host_t *host, const sim_host_t *relay)
{
	pr_row_answer_t answer = { 0 };
	pr_str_t bytes = PR_STR_INIT;

	if (pr_row_answer_pack(&relay->cache, pr_extent_complete(&host->extent),
			       &bytes)) {
		call_store(region, host);
	} else {
		assert_int_equal(
			pr_row_answer_read(&answer, pr_str_slice(&bytes)), 0);
		if (answer.whole)
			apply_whole(host, &answer.rows);
		else
			apply_changes(host, &answer.rows);
	}
	pr_row_answer_finish(&answer);
	pr_str_finish(&bytes);
}

/* The first host reads the store; then the relays send digests. */
static void exchange(region_t *region)
{
	call_store(region, &region->hosts[0]);
	for (int i = 0; i < RELAYS; i++) {
		sim_host_t *relay = &region->hosts[i];
		pr_announced_t announced =
			pr_extent_announce(&relay->extent, !i);

		for (int j = 1; j < region->count; j++) {
			sim_host_t *host = &region->hosts[j];

			if (host == relay)
				continue;
			pr_extent_adopt(&host->extent, &announced, true);
			if (pr_revision_is_after(
				    announced.newest,
				    pr_extent_complete(&host->extent)))
				ask(region, host, relay);
		}
	}
}

static int differing(const region_t *region)
{
	int count = 0;

	for (int i = 0; i < region->count; i++)
		count += memcmp(&region->hosts[i].table, &region->store.table,
				sizeof(table_t)) != 0;
	return count;
}

static void start(region_t *region, int count, uint64_t era)
{
	memset(region, 0, sizeof(*region));
	region->count = count;
	region->store.era = era;
	for (int key = 0; key < KEYS / 2; key++)
		put(&region->store, key, 1);
	for (int i = 0; i < count; i++) {
		pr_extent_t *extent = &region->hosts[i].extent;

		region->hosts[i].table = region->store.table;
		pr_extent_add(extent, now_of(&region->store));
		pr_extent_read(extent, now_of(&region->store), true);
	}
}

static void finish(region_t *region)
{
	for (int i = 0; i < region->count; i++)
		pr_row_cache_finish(&region->hosts[i].cache);
}

static void put_some(region_t *region, int writes, int value)
{
	for (int i = 0; i < writes; i++)
		put(&region->store, (i * 7) % KEYS, i % 5 ? value : 0);
}

/* CONFIG, DRAIN: writes are lost, others follow, as many, fewer or more, so
 * that the versions end below, at or above those that the hosts know. */
static void test_all_hosts_follow(void **state)
{
	static const int sizes[] = { 9, 84, HOSTS_MAX };
	static const int writes[] = { 0, 1, 8, 40 };
	static region_t region;

	for (int n = 0; n < 3 * 4 * 4; n++) {
		int lost = writes[n / 4 % 4], after = writes[n % 4];
		sim_store_t copy;

		start(&region, sizes[n / 16], 3);
		copy = region.store;
		put_some(&region, lost, 2);
		exchange(&region);
		exchange(&region);
		assert_int_equal(differing(&region), 0);
		region.calls = 0;
		region.store = copy;
		region.store.era++;
		put_some(&region, after, 3);
		exchange(&region);
		assert_int_equal(differing(&region), 0);
		put_some(&region, 3, 4);
		exchange(&region);
		assert_int_equal(differing(&region), 0);
		/* The reader alone. */
		assert_int_equal(region.calls, 2);
		finish(&region);
	}
}

/* A host that saw neither of two returns, and one that saw the first alone. */
static void test_frozen_over_two_returns(void **state)
{
	static region_t region;
	sim_host_t *frozen, frozen_state;
	sim_store_t copy;

	start(&region, 9, 1);
	frozen = &region.hosts[5];
	copy = region.store;
	put_some(&region, 40, 2);
	exchange(&region);
	frozen_state = *frozen;
	for (int i = 0; i < 2; i++) {
		region.store = copy;
		region.store.era = 2 + (uint64_t)i;
		put_some(&region, 8, 3 + i);
		exchange(&region);
		if (i)
			continue;
		pr_row_cache_finish(&frozen->cache);
		*frozen = frozen_state;
		memset(&frozen->cache, 0, sizeof(frozen->cache));
	}
	exchange(&region);
	assert_int_equal(differing(&region), 0);
	finish(&region);
}

/* Rows and digests of the era before come late, from a host that has not seen
 * the return. They must neither overwrite newer rows nor count as ahead. */
static void test_late_rows_of_the_era_before(void **state)
{
	static region_t region;
	pr_announced_t late = { { 1, 50 }, { 1, 50 } };
	pr_row_answer_t answer;
	pr_str_t bytes = PR_STR_INIT;
	sim_store_t copy;
	sim_host_t *host;

	start(&region, 9, 1);
	copy = region.store;
	put_some(&region, 40, 2);
	exchange(&region);
	region.store = copy;
	region.store.era = 2;
	exchange(&region);
	host = &region.hosts[3];
	assert_false(pr_revision_is_after(late.newest,
					  pr_extent_complete(&host->extent)));
	pr_extent_adopt(&host->extent, &late, true);
	assert_int_equal(pr_extent_complete(&host->extent).era, 2);
	assert_int_equal(pr_extent_complete(&host->extent).number,
			 region.store.number);
	/* Nor does a host that is ahead get rows of the era before. */
	assert_int_equal(pr_row_answer_pack(&host->cache,
					    (pr_revision_t){ 3, 1 }, &bytes),
			 PR_ENOTFOUND);
	assert_int_equal(pr_row_answer_pack(&host->cache, late.newest, &bytes),
			 0);
	assert_int_equal(pr_row_answer_read(&answer, pr_str_slice(&bytes)), 0);
	assert_true(answer.whole);
	assert_int_equal(answer.rows.version.era, 2);
	pr_row_answer_finish(&answer);
	pr_str_finish(&bytes);
	finish(&region);
}

/* The copy may be older than every row of a table. */
static void test_empty_table(void **state)
{
	pr_row_cache_t cache = { 0 };
	pr_row_answer_t answer;
	pr_str_t bytes = PR_STR_INIT;

	assert_int_equal(
		pr_row_cache_replace(&cache, (pr_revision_t){ 2, 7 }, NULL, 0),
		0);
	assert_int_equal(
		pr_row_answer_pack(&cache, (pr_revision_t){ 1, 9 }, &bytes), 0);
	assert_int_equal(pr_row_answer_read(&answer, pr_str_slice(&bytes)), 0);
	assert_true(answer.whole);
	assert_int_equal(answer.rows.count, 0);
	assert_int_equal(answer.rows.version.number, 7);
	pr_row_answer_finish(&answer);
	pr_str_finish(&bytes);
	pr_row_cache_finish(&cache);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_hosts_follow),
		cmocka_unit_test(test_frozen_over_two_returns),
		cmocka_unit_test(test_late_rows_of_the_era_before),
		cmocka_unit_test(test_empty_table),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
