/*
 * Tests of src/relay/row_cache, which answers hosts that lack rows in place of
 * the store. Guards against a host that takes a response with a gap for
 * complete, and against a configuration of thousands of routes that is late
 * because all hosts of a region read it over the link between the regions.
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
#include "relay/row_cache.h"
#include "revision.h"

static void set_row(pr_store_row_t *row, const char *key, const char *value,
		    uint64_t version)
{
	memset(row, 0, sizeof(*row));
	row->key = (char *)(uintptr_t)key;
	row->version = rev(version);
	row->removed = !value;
	if (value)
		assert_int_equal(
			pr_str_append(&row->value, value, strlen(value)), 0);
}

static void add_row(pr_row_cache_t *cache, uint64_t after, const char *key,
		    const char *value, uint64_t version)
{
	pr_store_row_t row;

	set_row(&row, key, value, version);
	assert_int_equal(pr_row_cache_add(cache, rev(after), &row, 1), 0);
	pr_str_finish(&row.value);
}

static void read_rows(const pr_row_cache_t *cache, uint64_t after,
		      pr_store_rows_t *rows)
{
	pr_str_t bytes = PR_STR_INIT;

	assert_int_equal(pr_row_cache_pack(cache, rev(after), &bytes), 0);
	assert_int_equal(pr_row_cache_read(rows, 0, pr_str_slice(&bytes)), 0);
	pr_str_finish(&bytes);
}

static int pack_result(const pr_row_cache_t *cache, uint64_t after)
{
	pr_str_t bytes = PR_STR_INIT;
	int rc = pr_row_cache_pack(cache, rev(after), &bytes);

	pr_str_finish(&bytes);
	return rc;
}

/* Only the latest row of a key is sent, in the order of the versions, and a
 * removed row as such. */
static void test_latest_rows(void **state)
{
	pr_row_cache_t cache = { 0 };
	pr_store_rows_t rows;

	add_row(&cache, 10, "a", "one", 11);
	add_row(&cache, 11, "b", "two", 14);
	add_row(&cache, 14, "a", "three", 15);
	add_row(&cache, 15, "c", NULL, 17);
	read_rows(&cache, 10, &rows);
	assert_int_equal(rows.count, 3);
	assert_int_equal(rows.version.number, 17);
	assert_string_equal(rows.rows[0].key, "b");
	assert_string_equal(rows.rows[1].key, "a");
	assert_true(pr_slice_equal(pr_str_slice(&rows.rows[1].value),
				   PR_SLICE("three")));
	assert_true(rows.rows[2].removed);
	pr_store_rows_finish(&rows);
	read_rows(&cache, 15, &rows);
	assert_int_equal(rows.count, 1);
	pr_store_rows_finish(&rows);
	pr_row_cache_finish(&cache);
}

/* CONFIG: the second row of a transaction was taken for a known one. */
static void test_rows_of_a_transaction(void **state)
{
	pr_row_cache_t cache = { 0 };
	pr_store_row_t rows[3];
	pr_store_rows_t read;

	set_row(&rows[0], "a", "one", 11);
	set_row(&rows[1], "b", "two", 11);
	set_row(&rows[2], "c", "three", 12);
	assert_int_equal(pr_row_cache_add(&cache, rev(10), rows, 3), 0);
	/* The same rows from another relay. */
	assert_int_equal(pr_row_cache_add(&cache, rev(10), rows, 3), 0);
	read_rows(&cache, 10, &read);
	assert_int_equal(read.count, 3);
	pr_store_rows_finish(&read);
	read_rows(&cache, 11, &read);
	assert_int_equal(read.count, 1);
	pr_store_rows_finish(&read);
	for (size_t i = 0; i < 3; i++)
		pr_str_finish(&rows[i].value);
	pr_row_cache_finish(&cache);
}

/* A cache that missed rows does not answer hosts that lack them. */
static void test_gap(void **state)
{
	pr_row_cache_t cache = { 0 };

	add_row(&cache, 10, "a", "one", 11);
	assert_int_equal(pack_result(&cache, 9), PR_ENOTFOUND);
	assert_int_equal(pack_result(&cache, 11), PR_ENOTFOUND);
	/* Row 12 did not reach the cache. */
	add_row(&cache, 12, "b", "three", 13);
	assert_int_equal(pack_result(&cache, 10), PR_ENOTFOUND);
	assert_int_equal(pack_result(&cache, 11), PR_ENOTFOUND);
	assert_int_equal(pack_result(&cache, 12), 0);
	pr_row_cache_finish(&cache);
	assert_int_equal(pack_result(&cache, 0), PR_ENOTFOUND);
}

/* Rows that came twice, in overlapping series, are added once. */
static void test_overlap(void **state)
{
	pr_row_cache_t cache = { 0 };
	pr_store_row_t series[2];
	pr_store_rows_t rows;

	add_row(&cache, 10, "a", "one", 11);
	set_row(&series[0], "a", "one", 11);
	set_row(&series[1], "b", "two", 12);
	assert_int_equal(pr_row_cache_add(&cache, rev(10), series, 2), 0);
	read_rows(&cache, 10, &rows);
	assert_int_equal(rows.count, 2);
	pr_store_rows_finish(&rows);
	pr_str_finish(&series[0].value);
	pr_str_finish(&series[1].value);
	pr_row_cache_finish(&cache);
}

/* Guards against memory that grows with each upstream that came and went, and
 * against a response without the rows that were dropped for it. */
static void test_size_is_bounded(void **state)
{
	pr_row_cache_t cache = { 0 };
	pr_store_rows_t rows;
	char key[32];

	for (uint64_t i = 1; i <= PR_ROW_CACHE_MAX + 10; i++) {
		snprintf(key, sizeof(key), "upstream-%d", (int)i);
		add_row(&cache, i, key, NULL, i + 1);
	}
	assert_int_equal(cache.count, PR_ROW_CACHE_MAX);
	assert_int_equal(pack_result(&cache, 10), PR_ENOTFOUND);
	read_rows(&cache, 11, &rows);
	assert_int_equal(rows.count, PR_ROW_CACHE_MAX);
	pr_store_rows_finish(&rows);
	pr_row_cache_finish(&cache);
}

/* Damaged responses are refused, whatever byte they are cut at. */
static void test_damaged_response(void **state)
{
	pr_row_cache_t cache = { 0 };
	pr_str_t bytes = PR_STR_INIT;
	pr_store_rows_t rows;
	char value[2000];

	for (size_t i = 0; i < sizeof(value); i++)
		value[i] = (char)('a' + i * i % 23);
	value[sizeof(value) - 1] = 0;
	add_row(&cache, 1, "key", value, 2);
	assert_int_equal(pr_row_cache_pack(&cache, rev(1), &bytes), 0);
	for (size_t len = 0; len < bytes.len; len++)
		assert_int_not_equal(
			pr_row_cache_read(&rows, 0, pr_slice(bytes.ptr, len)),
			0);
	bytes.ptr[bytes.len / 2] ^= 0x10;
	if (!pr_row_cache_read(&rows, 0, pr_str_slice(&bytes)))
		pr_store_rows_finish(&rows);
	pr_str_finish(&bytes);
	pr_row_cache_finish(&cache);
}

#define ROUTES 2000
/* Slowest link of a host, and the link between two regions, bytes per second.
 */
#define HOST_BYTES_PER_S   (10e6 / 8)
#define REGION_BYTES_PER_S (30e6 / 8)
/* Time within which a configuration must be in force on all hosts, seconds. */
#define CONFIG_BOUND_S 3.0
/* Time after which a host that heard nothing from its relay asks, seconds. */
#define LAG_S 0.7
/* Part of the packets that a harmed link loses. */
#define LOSS 0.1

static void append_routes(pr_str_t *document)
{
	uint32_t random = 12345;

	for (int i = 0; i < ROUTES; i++) {
		random = random * 1664525u + 1013904223u;
		assert_int_equal(
			pr_str_appendf(
				document,
				"{\"name\":\"r%05d\",\"host\":\"wuka97."
				"example\","
				"\"prefix\":\"/%08x/\",\"service\":\"dahu75a\","
				"\"kind\":\"streaming\",\"timeout-ms\":25000,"
				"\"target-latency-ms\":2000,\"max-attempts\":3,"
				"\"priority\":1,\"session-affinity\":true},",
				i, random),
			0);
	}
}

/*
 * Time until the document is in force on all hosts of a region, seconds: one
 * host reads it from the store, raw, over the link between the regions; its
 * relays read it from that host, and each relay sends it to the hosts of its
 * zone, over the slowest link that a relay may have. Lost packets are sent
 * again. One relay dies halfway: after LAG_S its hosts ask another.
 */
static double time_in_force(size_t raw, size_t packed, int hosts_per_zone,
			    int zones)
{
	double store_s = (double)raw * 4 / 3 / REGION_BYTES_PER_S;
	double relays_s =
		(double)packed * (2 * zones) / HOST_BYTES_PER_S / (1 - LOSS);
	double zone_s =
		(double)packed * hosts_per_zone / HOST_BYTES_PER_S / (1 - LOSS);

	return store_s + relays_s + zone_s / 2 + LAG_S + zone_s;
}

/* The pattern: thousands of routes are added at once. */
static void test_long_configuration(void **state)
{
	const int fleets[][2] = { { 3, 2 }, { 14, 3 }, { 55, 3 } };
	pr_row_cache_t cache = { 0 };
	pr_str_t document = PR_STR_INIT, packed = PR_STR_INIT;
	pr_store_rows_t rows;

	append_routes(&document);
	add_row(&cache, 1, "config", document.ptr, 2);
	assert_int_equal(pr_row_cache_pack(&cache, rev(1), &packed), 0);
	print_message("%zu bytes of routes, %zu for a host\n", document.len,
		      packed.len);
	/* Raw, the hosts of a zone of 55 would need this long. */
	assert_true((double)document.len * 55 / HOST_BYTES_PER_S >
		    CONFIG_BOUND_S);
	for (size_t i = 0; i < 3; i++) {
		double s = time_in_force(document.len, packed.len, fleets[i][0],
					 fleets[i][1]);

		print_message("%d hosts a zone: %.2f s\n", fleets[i][0], s);
		assert_true(s < CONFIG_BOUND_S);
	}
	assert_int_equal(pr_row_cache_read(&rows, 0, pr_str_slice(&packed)), 0);
	assert_true(pr_slice_equal(pr_str_slice(&rows.rows[0].value),
				   pr_str_slice(&document)));
	pr_store_rows_finish(&rows);
	pr_str_finish(&document);
	pr_str_finish(&packed);
	pr_row_cache_finish(&cache);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_latest_rows),
		cmocka_unit_test(test_rows_of_a_transaction),
		cmocka_unit_test(test_gap),
		cmocka_unit_test(test_overlap),
		cmocka_unit_test(test_size_is_bounded),
		cmocka_unit_test(test_damaged_response),
		cmocka_unit_test(test_long_configuration),
	};

	return cmocka_run_group_tests_name("row_cache", tests, NULL, NULL);
}
