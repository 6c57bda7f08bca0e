/*
 * Tests of src/relay/message: encoded datagrams decode to the same values.
 * Guards against a datagram that exceeds the size a receiver accepts, which
 * would suppress all messages of its kind.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "relay/message.h"
#include "revision.h"

static void read_map(pr_msgmap_t *map, const pr_str_t *bytes)
{
	assert_true(bytes->len <= PR_DATAGRAM_MAX);
	assert_int_equal(pr_msgmap_init(map, pr_str_slice(bytes)), 0);
}

static void check_largest_digest(pr_count_kind_t kind, uint64_t era)
{
	pr_count_kind_t read_kind;
	pr_upstream_counts_t loads = { .count = PR_UPSTREAM_COUNTS_MAX }, read;
	pr_feed_state_t feeds = {
		.age_ms = UINT32_MAX,
		.reads_store = true,
		.current = true,
		.tables = { { { era, UINT64_MAX }, { era, UINT64_MAX } },
			    { { era, 5 }, { era, UINT64_MAX } },
			    { { era, UINT64_MAX }, { era, 6 } } },
		.clock_ms = INT64_MAX,
		.unsettled_ms = UINT32_MAX,
	};
	pr_str_t bytes = PR_STR_INIT;
	pr_feed_state_t read_feeds;
	pr_msgmap_t map;
	bool has_feeds;

	for (uint32_t i = 0; i < PR_UPSTREAM_COUNTS_MAX; i++)
		loads.items[i] =
			(pr_upstream_count_t){ .tag = UINT32_MAX - i,
					       .in_flight = UINT16_MAX,
					       .waiting = (uint16_t)i };
	assert_int_equal(pr_message_pack_counts(&bytes,
						"front-kota-kinabalu-123", kind,
						&loads, &feeds),
			 0);
	read_map(&map, &bytes);
	assert_int_equal(pr_message_read_counts(&map, &read_kind, &read,
						&read_feeds, &has_feeds),
			 0);
	assert_true(has_feeds);
	assert_int_equal(read_kind, kind);
	assert_int_equal(read.count, PR_UPSTREAM_COUNTS_MAX);
	assert_memory_equal(read.items, loads.items, sizeof(loads.items));
	assert_int_equal(read_feeds.age_ms, feeds.age_ms);
	assert_true(read_feeds.reads_store && read_feeds.current);
	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		assert_true(pr_revision_equal(read_feeds.tables[i].newest,
					      feeds.tables[i].newest));
		assert_true(pr_revision_equal(read_feeds.tables[i].version,
					      feeds.tables[i].version));
	}
	assert_int_equal(read_feeds.clock_ms, INT64_MAX);
	pr_msgmap_finish(&map);
	pr_str_finish(&bytes);
}

static void test_largest_digest(void **state)
{
	check_largest_digest(PR_COUNT_LOAD, 0);
	check_largest_digest(PR_COUNT_OUTCOMES, 0);
	check_largest_digest(PR_COUNT_LOAD, UINT64_MAX);
	check_largest_digest(PR_COUNT_OUTCOMES, UINT64_MAX);
}

static void test_report_has_no_feed_state(void **state)
{
	pr_count_kind_t kind;
	pr_upstream_counts_t loads = { .count = 0 }, read;
	pr_str_t bytes = PR_STR_INIT;
	pr_feed_state_t feeds;
	pr_msgmap_t map;
	bool has_feeds = true;

	assert_int_equal(pr_message_pack_counts(&bytes, "a", PR_COUNT_LOAD,
						&loads, NULL),
			 0);
	read_map(&map, &bytes);
	assert_int_equal(
		pr_message_read_counts(&map, &kind, &read, &feeds, &has_feeds),
		0);
	assert_false(has_feeds);
	pr_msgmap_finish(&map);
	pr_str_finish(&bytes);
}

static void check_tallies(bool all)
{
	pr_tallies_t tallies = {
		.new = { 1, 2, UINT64_MAX, 4, 5, UINT64_MAX, 14, 15,
			 UINT64_MAX },
		.old = { UINT32_MAX, 7, 8, 9, UINT32_MAX, 11, UINT32_MAX, 13,
			 UINT64_C(0x123456789abcdef) },
	};
	pr_tallies_t read = { 0 };
	pr_str_t bytes = PR_STR_INIT;
	pr_slice_t service;
	pr_msgmap_t map;
	uint64_t order;
	bool read_all;

	assert_int_equal(pr_message_pack_tallies(&bytes, "host", "model", 99,
						 &tallies, all),
			 0);
	read_map(&map, &bytes);
	assert_int_equal(pr_message_read_tallies(&map, &service, &order, &read,
						 &read_all),
			 0);
	assert_true(pr_slice_equal(service, PR_SLICE("model")));
	assert_int_equal(order, 99);
	assert_int_equal(read_all, all);
	assert_memory_equal(&read, &tallies, sizeof(read));
	pr_msgmap_finish(&map);
	pr_str_finish(&bytes);
}

static void test_tallies(void **state)
{
	check_tallies(false);
	check_tallies(true);
}

/* Pack the counts as hosts of an earlier release do, or as this one. */
static void read_packed_tallies(pr_msgmap_t *map, pr_str_t *bytes, bool earlier)
{
	static const char *const names[] = {
		"new_total", "new_bad",      "new_who",   "new_timed",
		"new_slow",  "new_slow_who", "old_total", "old_bad",
		"old_who",   "old_timed",    "old_slow",  "old_slow_who",
	};
	const pr_tallies_t tallies = {
		.new = { 1, 2, 3, 4, 5, 6, 7, 8, 9 },
		.old = { 7, 8, 9, 10, 11, 12, 13, 14, 15 },
	};
	msgpack_packer packer;

	if (!earlier) {
		assert_int_equal(pr_message_pack_tallies(bytes, "host", "model",
							 99, &tallies, false),
				 0);
		read_map(map, bytes);
		return;
	}
	pr_msgmap_packer(&packer, bytes);
	msgpack_pack_map(&packer, 15);
	pr_msgmap_pack_text(&packer, "host", PR_SLICE("host"));
	pr_msgmap_pack_text(&packer, "service", PR_SLICE("model"));
	pr_msgmap_pack_number(&packer, "order", 99);
	for (size_t i = 0; i < 12; i++)
		pr_msgmap_pack_number(&packer, names[i], i + 1);
	read_map(map, bytes);
}

/* Guards against counts that are lost in a fleet of two releases: hosts of the
 * earlier one read no map of more than 15 fields, and the lower halves of the
 * counts. */
static void test_tallies_of_earlier_release(void **state)
{
	static const char *const counts[] = { "new_total", "new_bad",
					      "new_timed", "new_slow" };
	static const uint32_t expected[] = { 1, 2, 4, 5 };
	pr_str_t bytes = PR_STR_INIT;
	pr_tallies_t read = { 0 };
	pr_slice_t service;
	pr_msgmap_t map;
	uint64_t order, number;
	bool all;

	read_packed_tallies(&map, &bytes, true);
	assert_int_equal(
		pr_message_read_tallies(&map, &service, &order, &read, &all),
		0);
	assert_int_equal(read.new.timed, 4);
	assert_int_equal(read.old.slow, 11);
	assert_int_equal(read.new.ranked, 0);
	assert_int_equal(read.old.slower, 0);
	assert_true(!read.old.slower_upstreams);
	pr_msgmap_finish(&map);
	pr_str_clear(&bytes);
	read_packed_tallies(&map, &bytes, false);
	assert_true((uint8_t)bytes.ptr[0] == 0x8f);
	for (size_t i = 0; i < 4; i++) {
		assert_int_equal(pr_msgmap_number(&map, &number, counts[i]), 0);
		assert_int_equal((uint32_t)number, expected[i]);
	}
	pr_msgmap_finish(&map);
	pr_str_finish(&bytes);
}

/* The counts of a load test have a message of their own, which hosts of earlier
 * releases ignore. */
static void test_load_test_counts(void **state)
{
	const pr_load_test_tally_t sent = { 70, 40, 31, 6 };
	pr_load_test_tally_t read = { 0 };
	pr_tallies_t tallies;
	pr_slice_t service;
	uint64_t order;
	bool all;

	for (int fleet = 0; fleet < 2; fleet++) {
		pr_str_t bytes = PR_STR_INIT;
		pr_msgmap_t map;

		assert_int_equal(pr_message_pack_load_test(&bytes, "host",
							   "model", 99, &sent,
							   fleet),
				 0);
		read_map(&map, &bytes);
		assert_int_not_equal(pr_message_read_tallies(&map, &service,
							     &order, &tallies,
							     &all),
				     0);
		assert_int_equal(pr_message_read_load_test(&map, &service,
							   &order, &read, &all),
				 0);
		assert_true(pr_slice_equal(service, PR_SLICE("model")));
		assert_int_equal(order, 99);
		assert_int_equal(all, fleet);
		assert_memory_equal(&read, &sent, sizeof(sent));
		pr_msgmap_finish(&map);
		pr_str_finish(&bytes);
	}
}

static void test_sessions(void **state)
{
	pr_recent_session_t seen[PR_SESSIONS_IN_DATAGRAM] = { 0 };
	pr_recent_session_t read[PR_SESSIONS_IN_DATAGRAM];
	pr_str_t bytes = PR_STR_INIT;
	pr_msgmap_t map;

	for (uint64_t i = 0; i < PR_SESSIONS_IN_DATAGRAM; i++) {
		seen[i].hash = UINT64_MAX - i;
		seen[i].seen_ms = (int64_t)i;
		seen[i].moved = i & 1;
	}
	assert_int_equal(pr_message_pack_sessions(&bytes, "host", seen,
						  PR_SESSIONS_IN_DATAGRAM),
			 0);
	read_map(&map, &bytes);
	assert_int_equal(
		pr_message_read_sessions(&map, read, PR_SESSIONS_IN_DATAGRAM),
		PR_SESSIONS_IN_DATAGRAM);
	for (size_t i = 0; i < PR_SESSIONS_IN_DATAGRAM; i++) {
		assert_true(read[i].hash == seen[i].hash);
		assert_int_equal(read[i].seen_ms, seen[i].seen_ms);
		assert_int_equal(read[i].moved, seen[i].moved);
	}
	pr_msgmap_finish(&map);
	pr_str_finish(&bytes);
}

/* Consecutive rows are split into several datagrams, each with the version of
 * the row before its first one. */
static void test_rows_in_several_datagrams(void **state)
{
	static char long_value[PR_DATAGRAM_MAX];
	pr_store_row_t rows[6] = { 0 };
	size_t at = 0, datagrams = 0;
	pr_revision_t after = rev(10);

	memset(long_value, 'x', sizeof(long_value));
	for (size_t i = 0; i < 6; i++) {
		rows[i].key = "an-upstream";
		rows[i].version = rev(11 + i);
		rows[i].removed = i == 2;
		if (!rows[i].removed)
			assert_int_equal(
				pr_str_append(&rows[i].value, long_value, 300),
				0);
	}
	while (at < 6) {
		pr_str_t bytes = PR_STR_INIT;
		pr_message_rows_t read;
		pr_msgmap_t map;
		size_t packed =
			pr_message_pack_rows(&bytes, "host", PR_TABLE_UPSTREAMS,
					     after, &rows[at], 6 - at);

		assert_true(packed > 0);
		read_map(&map, &bytes);
		assert_int_equal(pr_message_read_rows(&map, &read), 0);
		assert_int_equal(read.table, PR_TABLE_UPSTREAMS);
		assert_true(pr_revision_equal(read.after, after));
		assert_int_equal(read.count, packed);
		for (size_t i = 0; i < packed; i++) {
			assert_string_equal(read.rows[i].key, "an-upstream");
			assert_true(pr_revision_equal(read.rows[i].version,
						      rows[at + i].version));
			assert_int_equal(read.rows[i].removed,
					 rows[at + i].removed);
			assert_int_equal(read.rows[i].value.len,
					 rows[at + i].value.len);
		}
		at += packed;
		after = rows[at - 1].version;
		datagrams++;
		pr_message_rows_finish(&read);
		pr_msgmap_finish(&map);
		pr_str_finish(&bytes);
	}
	assert_int_equal(datagrams, 2);
	for (size_t i = 0; i < 6; i++)
		pr_str_finish(&rows[i].value);
}

/* The era takes the place of a row, since a map has a limit of fields. Hosts of
 * earlier releases read the numbers. */
static void test_rows_of_an_era(void **state)
{
	pr_store_row_t rows[4] = { 0 };
	pr_str_t bytes = PR_STR_INIT;
	pr_message_rows_t read;
	uint64_t number;
	pr_msgmap_t map;

	for (size_t i = 0; i < 4; i++)
		rows[i] = (pr_store_row_t){ .key = "an-upstream",
					    .version = { 6, 11 + i },
					    .removed = true };
	assert_int_equal(
		pr_message_pack_rows(&bytes, "host", PR_TABLE_UPSTREAMS,
				     (pr_revision_t){ 6, 10 }, rows, 4),
		3);
	read_map(&map, &bytes);
	assert_int_equal(pr_message_read_rows(&map, &read), 0);
	assert_int_equal(read.after.era, 6);
	assert_int_equal(read.count, 3);
	assert_true(pr_revision_equal(read.rows[2].version, rows[2].version));
	assert_int_equal(pr_msgmap_number(&map, &number, "version2"), 0);
	assert_int_equal(number, 13);
	pr_message_rows_finish(&read);
	pr_msgmap_finish(&map);
	pr_str_finish(&bytes);
}

/* A relay that has read one table since the store returned knows the others
 * from the era before only: their numbers would be misread. */
static void test_digest_between_two_eras(void **state)
{
	pr_feed_state_t feeds = {
		.tables = { { { 6, 20 }, { 6, 21 } },
			    { { 5, 90 }, { 5, 91 } },
			    { { 5, 92 }, { 5, 93 } } },
	};
	pr_upstream_counts_t counts = { .count = 0 };
	pr_str_t bytes = PR_STR_INIT;
	pr_count_kind_t kind;
	pr_msgmap_t map;
	bool has_feeds;

	assert_int_equal(pr_message_pack_counts(&bytes, "a", PR_COUNT_LOAD,
						&counts, &feeds),
			 0);
	read_map(&map, &bytes);
	assert_int_equal(pr_message_read_counts(&map, &kind, &counts, &feeds,
						&has_feeds),
			 0);
	assert_true(has_feeds);
	assert_int_equal(feeds.tables[0].newest.number, 20);
	assert_int_equal(feeds.tables[0].version.era, 6);
	for (int i = 1; i < PR_TABLES_COUNT; i++) {
		assert_int_equal(feeds.tables[i].newest.number, 0);
		assert_int_equal(feeds.tables[i].version.number, 0);
	}
	pr_msgmap_finish(&map);
	pr_str_finish(&bytes);
}

/* CONFIG: a host that got a part of a transaction took its version for known,
 * and never learned of the rest. */
static void test_transaction_is_not_split(void **state)
{
	static const uint64_t versions[] = { 11, 12, 12, 13, 13, 13,
					     14, 14, 14, 14, 14, 15 };
	/* What each datagram has; the fifth row of transaction 14 is too much.
	 */
	static const size_t packed[] = { 3, 3, 0 };
	pr_store_row_t rows[12] = { 0 };
	size_t at = 0;

	for (size_t i = 0; i < 12; i++)
		rows[i] = (pr_store_row_t){ .key = "order",
					    .version = rev(versions[i]),
					    .removed = true };
	for (size_t i = 0; i < 3; i++) {
		pr_str_t bytes = PR_STR_INIT;

		assert_int_equal(pr_message_pack_rows(&bytes, "host",
						      PR_TABLE_ORDERS, rev(10),
						      &rows[at], 12 - at),
				 packed[i]);
		at += packed[i];
		pr_str_finish(&bytes);
	}
}

/* A row that is too long for a datagram is left out: the message only tells the
 * receiver that there is a newer row to read. */
static void test_row_too_long_for_a_datagram(void **state)
{
	static char long_value[PR_DATAGRAM_MAX];
	pr_store_row_t row = { .key = "document", .version = rev(5) };
	pr_str_t bytes = PR_STR_INIT;
	pr_message_rows_t read;
	pr_msgmap_t map;

	memset(long_value, 'x', sizeof(long_value));
	assert_int_equal(
		pr_str_append(&row.value, long_value, sizeof(long_value)), 0);
	assert_int_equal(pr_message_pack_rows(&bytes, "host", PR_TABLE_ORDERS,
					      rev(4), &row, 1),
			 0);
	read_map(&map, &bytes);
	assert_int_equal(pr_message_read_rows(&map, &read), 0);
	assert_int_equal(read.count, 0);
	assert_int_equal(read.after.number, 4);
	pr_message_rows_finish(&read);
	pr_msgmap_finish(&map);
	pr_str_finish(&bytes);
	pr_str_finish(&row.value);
}

static pr_suspect_t largest_suspect(uint32_t number)
{
	pr_suspect_t suspect;

	memset(&suspect, 0, sizeof(suspect));
	suspect.part = UINT64_MAX - number;
	suspect.service = UINT32_MAX - number;
	suspect.position = number;
	suspect.requests = UINT64_MAX;
	suspect.since_ms = suspect.crash_ms = INT64_MAX - 1;
	suspect.cleared_ms = 2;
	suspect.answer_ms = 3;
	suspect.quarantined_ms = INT64_MAX;
	suspect.quarantines = 4;
	suspect.probe_ms = 5;
	suspect.others = UINT32_MAX - 6;
	memset(suspect.dropped, (int)(number % 3), sizeof(suspect.dropped));
	suspect.crashes_count = number % (PR_SUSPECT_CRASHES_MAX + 1);
	for (uint32_t i = 0; i < suspect.crashes_count; i++) {
		suspect.crashes[i].upstream = UINT32_MAX - i;
		suspect.crashes[i].at_ms = suspect.crash_ms - i;
		suspect.crashes[i].answer_ms =
			i % 2 ? suspect.crash_ms - 100000 : 0;
	}
	return suspect;
}

/* Suspects that do not fit a datagram go in the next one. */
static void test_suspects(void **state)
{
	pr_suspect_t suspects[PR_SUSPECTS_IN_DATAGRAM];
	pr_suspect_t read[PR_SUSPECTS_IN_DATAGRAM];
	size_t at = 0;

	for (uint32_t i = 0; i < PR_SUSPECTS_IN_DATAGRAM; i++)
		suspects[i] = largest_suspect(PR_SUSPECT_CRASHES_MAX - i);
	while (at < PR_SUSPECTS_IN_DATAGRAM) {
		pr_str_t bytes = PR_STR_INIT;
		size_t packed =
			pr_message_pack_suspects(&bytes, "host", &suspects[at],
						 PR_SUSPECTS_IN_DATAGRAM - at);
		pr_msgmap_t map;

		assert_true(packed > 0);
		read_map(&map, &bytes);
		memset(read, 0, sizeof(read));
		assert_int_equal(pr_message_read_suspects(
					 &map, read, PR_SUSPECTS_IN_DATAGRAM),
				 packed);
		assert_memory_equal(read, &suspects[at],
				    packed * sizeof(read[0]));
		pr_msgmap_finish(&map);
		pr_str_finish(&bytes);
		at += packed;
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_largest_digest),
		cmocka_unit_test(test_report_has_no_feed_state),
		cmocka_unit_test(test_tallies),
		cmocka_unit_test(test_tallies_of_earlier_release),
		cmocka_unit_test(test_load_test_counts),
		cmocka_unit_test(test_sessions),
		cmocka_unit_test(test_rows_in_several_datagrams),
		cmocka_unit_test(test_rows_of_an_era),
		cmocka_unit_test(test_transaction_is_not_split),
		cmocka_unit_test(test_digest_between_two_eras),
		cmocka_unit_test(test_row_too_long_for_a_datagram),
		cmocka_unit_test(test_suspects),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
