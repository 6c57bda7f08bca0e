/* Encoding and decoding of the datagrams between hosts. */
#include "relay/message.h"

#include <stdlib.h>

#include "pistachiorack/error.h"
#include "relay/message_parts.h"

/* Bytes of a session's record: hash (8), time of last use in ms (8), moved (1).
 */
#define SESSION_RECORD 17

static const char *const table_names[PR_TABLES_COUNT] = {
	[PR_TABLE_ORDERS] = "orders",
	[PR_TABLE_UPSTREAMS] = "upstreams",
	[PR_TABLE_SHARED] = "shared",
};

static const char *const version_names[PR_TABLES_COUNT] = {
	[PR_TABLE_ORDERS] = "orders_to",
	[PR_TABLE_UPSTREAMS] = "upstreams_to",
	[PR_TABLE_SHARED] = "shared_to",
};

static const char *const tally_fields[] = { "total", "bad",  "who",
					    "timed", "slow", "slow_who" };
#define TALLY_FIELDS (sizeof(tally_fields) / sizeof(tally_fields[0]))

int pr_message_pack_era(msgpack_packer *packer, uint64_t era)
{
	return era ? pr_msgmap_pack_number(packer, "era", era) : 0;
}

uint64_t pr_message_read_era(const pr_msgmap_t *map)
{
	uint64_t era;

	return pr_msgmap_number(map, &era, "era") ? 0 : era;
}

int pr_message_begin(msgpack_packer *packer, pr_str_t *out, const char *host,
		     size_t fields)
{
	int rc;

	pr_msgmap_packer(packer, out);
	rc = msgpack_pack_map(packer, fields + 1);
	if (!rc)
		rc = pr_msgmap_pack_text(packer, "host", pr_slice_of(host));
	return rc;
}

/* Names of the fields with the counts, by kind. */
static const char *const count_fields[PR_COUNT_KINDS] = {
	[PR_COUNT_LOAD] = "loads",
	[PR_COUNT_OUTCOMES] = "outcomes",
};

/* Tables that this host has not read since the last return of the store are
 * announced as unknown. */
static uint64_t newest_era(const pr_feed_state_t *feeds)
{
	uint64_t era = 0;

	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		if (feeds->tables[i].version.era > era)
			era = feeds->tables[i].version.era;
	}
	return era;
}

static uint64_t number_in(uint64_t era, pr_revision_t revision)
{
	return revision.era == era ? revision.number : 0;
}

int pr_message_pack_counts(pr_str_t *out, const char *host,
			   pr_count_kind_t kind,
			   const pr_upstream_counts_t *counts,
			   const pr_feed_state_t *feeds)
{
	uint64_t era = feeds ? newest_era(feeds) : 0;
	msgpack_packer packer;
	int rc = pr_message_begin(&packer, out, host,
				  feeds ? 6 + 2 * PR_TABLES_COUNT + !!era
					: (size_t)1);

	if (!rc)
		rc = pr_msgmap_pack_text(
			&packer, count_fields[kind],
			pr_slice((const char *)counts->items,
				 counts->count * sizeof(pr_upstream_count_t)));
	if (rc || !feeds)
		return rc;
	rc = pr_msgmap_pack_number(&packer, "fed", feeds->current);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "age", feeds->age_ms);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "reads",
					   feeds->reads_store);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "clock",
					   (uint64_t)feeds->clock_ms);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "unsettled",
					   feeds->unsettled_ms);
	for (int i = 0; i < PR_TABLES_COUNT && !rc; i++)
		rc = pr_msgmap_pack_number(
			&packer, table_names[i],
			number_in(era, feeds->tables[i].newest));
	for (int i = 0; i < PR_TABLES_COUNT && !rc; i++)
		rc = pr_msgmap_pack_number(
			&packer, version_names[i],
			number_in(era, feeds->tables[i].version));
	return rc ? rc : pr_message_pack_era(&packer, era);
}

int pr_message_read_counts(const pr_msgmap_t *map, pr_count_kind_t *kind,
			   pr_upstream_counts_t *counts, pr_feed_state_t *feeds,
			   bool *has_feeds)
{
	pr_slice_t records;
	uint64_t current, age = 0, reads_store = 0, clock = 0, unsettled = 0;

	*kind = PR_COUNT_LOAD;
	while (*kind < PR_COUNT_KINDS &&
	       pr_msgmap_text(map, &records, count_fields[*kind]))
		(*kind)++;
	if (*kind == PR_COUNT_KINDS)
		return PR_EPARSE;
	counts->count = records.len / sizeof(pr_upstream_count_t);
	if (counts->count > PR_UPSTREAM_COUNTS_MAX)
		counts->count = PR_UPSTREAM_COUNTS_MAX;
	memcpy(counts->items, records.ptr,
	       counts->count * sizeof(pr_upstream_count_t));
	memset(feeds, 0, sizeof(*feeds));
	*has_feeds = !pr_msgmap_number(map, &current, "fed") &&
		     !pr_msgmap_number(map, &age, "age") &&
		     !pr_msgmap_number(map, &reads_store, "reads") &&
		     !pr_msgmap_number(map, &clock, "clock") &&
		     !pr_msgmap_number(map, &unsettled, "unsettled");
	if (!*has_feeds)
		return 0;
	feeds->current = current;
	feeds->age_ms = (uint32_t)age;
	feeds->reads_store = reads_store;
	feeds->clock_ms = (int64_t)clock;
	feeds->unsettled_ms = (uint32_t)unsettled;
	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		pr_announced_t *table = &feeds->tables[i];

		if (pr_msgmap_number(map, &table->newest.number,
				     table_names[i]) ||
		    pr_msgmap_number(map, &table->version.number,
				     version_names[i]))
			table->newest.number = table->version.number = 0;
		table->newest.era = table->version.era =
			pr_message_read_era(map);
	}
	return 0;
}

static void tally_name(char name[24], const char *prefix, size_t field)
{
	snprintf(name, 24, "%s_%s", prefix, tally_fields[field]);
}

/*
 * Hosts of earlier releases read no map with more fields, and only the lower
 * halves of the counts. The counts that they do not know are in the upper ones.
 */
static uint64_t join_halves(uint32_t low, uint64_t high)
{
	return high << 32 | low;
}

static int pack_tally(msgpack_packer *packer, const char *prefix,
		      const pr_tally_t *tally)
{
	const uint64_t values[TALLY_FIELDS] = {
		join_halves(tally->total, tally->slower_upstreams & UINT32_MAX),
		join_halves(tally->bad, tally->slower_upstreams >> 32),
		tally->bad_upstreams,
		join_halves(tally->timed, tally->ranked),
		join_halves(tally->slow, tally->slower),
		tally->slow_upstreams,
	};
	char name[24];
	int rc = 0;

	for (size_t i = 0; i < TALLY_FIELDS && !rc; i++) {
		tally_name(name, prefix, i);
		rc = pr_msgmap_pack_number(packer, name, values[i]);
	}
	return rc;
}

static int read_tally(const pr_msgmap_t *map, const char *prefix,
		      pr_tally_t *tally)
{
	uint64_t values[TALLY_FIELDS] = { 0 };
	char name[24];

	for (size_t i = 0; i < TALLY_FIELDS; i++) {
		tally_name(name, prefix, i);
		if (pr_msgmap_number(map, &values[i], name))
			return PR_EPARSE;
	}
	*tally = (pr_tally_t){
		.total = (uint32_t)values[0],
		.bad = (uint32_t)values[1],
		.bad_upstreams = values[2],
		.timed = (uint32_t)values[3],
		.slow = (uint32_t)values[4],
		.slow_upstreams = values[5],
		.ranked = (uint32_t)(values[3] >> 32),
		.slower = (uint32_t)(values[4] >> 32),
		.slower_upstreams = values[0] >> 32 | (values[1] >> 32 << 32),
	};
	return 0;
}

/* Name of the field with the service; the second one marks counts of all hosts.
 */
static const char *const service_fields[] = { "service", "fleet_service" };

int pr_message_pack_tallies(pr_str_t *out, const char *host,
			    const char *service, uint64_t order,
			    const pr_tallies_t *tallies, bool all)
{
	msgpack_packer packer;
	int rc = pr_message_begin(&packer, out, host, 2 + 2 * TALLY_FIELDS);

	if (!rc)
		rc = pr_msgmap_pack_text(&packer, service_fields[all],
					 pr_slice_of(service));
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "order", order);
	if (!rc)
		rc = pack_tally(&packer, "new", &tallies->new);
	if (!rc)
		rc = pack_tally(&packer, "old", &tallies->old);
	return rc;
}

int pr_message_read_tallies(const pr_msgmap_t *map, pr_slice_t *service,
			    uint64_t *order, pr_tallies_t *tallies, bool *all)
{
	*all = !pr_msgmap_text(map, service, service_fields[true]);
	if ((!*all && pr_msgmap_text(map, service, service_fields[false])) ||
	    pr_msgmap_number(map, order, "order") ||
	    read_tally(map, "new", &tallies->new) ||
	    read_tally(map, "old", &tallies->old))
		return PR_EPARSE;
	return 0;
}

/* As service_fields, of the counts of a load test. */
static const char *const load_test_fields[] = { "load_test",
						"fleet_load_test" };

int pr_message_pack_load_test(pr_str_t *out, const char *host,
			      const char *service, uint64_t order,
			      const pr_load_test_tally_t *tally, bool all)
{
	msgpack_packer packer;
	int rc = pr_message_begin(&packer, out, host, 6);

	if (!rc)
		rc = pr_msgmap_pack_text(&packer, load_test_fields[all],
					 pr_slice_of(service));
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "order", order);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "begun", tally->begun);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "ended", tally->ended);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "loaded", tally->loaded);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "loaded_bad",
					   tally->loaded_bad);
	return rc;
}

int pr_message_read_load_test(const pr_msgmap_t *map, pr_slice_t *service,
			      uint64_t *order, pr_load_test_tally_t *tally,
			      bool *all)
{
	uint64_t begun, ended, loaded, bad;

	*all = !pr_msgmap_text(map, service, load_test_fields[true]);
	if ((!*all && pr_msgmap_text(map, service, load_test_fields[false])) ||
	    pr_msgmap_number(map, order, "order") ||
	    pr_msgmap_number(map, &begun, "begun") ||
	    pr_msgmap_number(map, &ended, "ended") ||
	    pr_msgmap_number(map, &loaded, "loaded") ||
	    pr_msgmap_number(map, &bad, "loaded_bad"))
		return PR_EPARSE;
	*tally = (pr_load_test_tally_t){
		.begun = (uint32_t)begun,
		.ended = (uint32_t)ended,
		.loaded = (uint32_t)loaded,
		.loaded_bad = (uint32_t)bad,
	};
	return 0;
}

int pr_message_pack_sessions(pr_str_t *out, const char *host,
			     const pr_recent_session_t *seen, size_t count)
{
	char records[PR_SESSIONS_IN_DATAGRAM * SESSION_RECORD];
	char *at = records;
	msgpack_packer packer;
	int rc;

	for (size_t i = 0; i < count && i < PR_SESSIONS_IN_DATAGRAM; i++) {
		memcpy(at, &seen[i].hash, 8);
		memcpy(at + 8, &seen[i].seen_ms, 8);
		at[16] = (char)seen[i].moved;
		at += SESSION_RECORD;
	}
	rc = pr_message_begin(&packer, out, host, 1);
	if (!rc)
		rc = pr_msgmap_pack_text(
			&packer, "sessions",
			pr_slice(records, (size_t)(at - records)));
	return rc;
}

size_t pr_message_read_sessions(const pr_msgmap_t *map,
				pr_recent_session_t *out, size_t max)
{
	pr_slice_t records;
	size_t count = 0;

	if (pr_msgmap_text(map, &records, "sessions"))
		return 0;
	for (const char *at = records.ptr;
	     count < max && records.len >= SESSION_RECORD;
	     at += SESSION_RECORD, records.len -= SESSION_RECORD) {
		pr_recent_session_t *seen = &out[count++];

		memset(seen, 0, sizeof(*seen));
		memcpy(&seen->hash, at, 8);
		memcpy(&seen->seen_ms, at + 8, 8);
		seen->moved = at[16];
	}
	return count;
}

/* Record of a suspect, in the byte order of the host; its crashes follow, and
 * after them the set of dropped upstreams unless it is empty. */
typedef struct suspect_record_t {
	uint64_t part, requests;
	int64_t since_ms, crash_ms, cleared_ms, answer_ms, quarantined_ms,
		probe_ms;
	uint32_t service;
	uint16_t position, quarantines;
	/** Bytes of the record with its crashes, and the number of these. */
	uint16_t size, crashes_count;
	uint32_t others;
} suspect_record_t;

/* Record of a crash. The times are relative to the newest crash of the part,
 * milliseconds. */
typedef struct crash_record_t {
	uint32_t upstream;
	int32_t at, answer;
} crash_record_t;

/* Time of an answer that is not known. */
#define ANSWER_NONE INT32_MIN
/* Bytes of the map beside the records. */
#define SUSPECTS_HEADER_SIZE 150

static uint16_t to_u16(uint32_t value)
{
	return value < UINT16_MAX ? (uint16_t)value : UINT16_MAX;
}

static int32_t to_i32(int64_t value)
{
	return value > INT32_MAX    ? INT32_MAX
	       : value < -INT32_MAX ? -INT32_MAX
				    : (int32_t)value;
}

static bool has_dropped(const pr_suspect_t *suspect)
{
	for (size_t i = 0; i < PR_SUSPECT_DROPPED_WORDS; i++) {
		if (suspect->dropped[i])
			return true;
	}
	return false;
}

static size_t suspect_size(const pr_suspect_t *suspect)
{
	return sizeof(suspect_record_t) +
	       suspect->crashes_count * sizeof(crash_record_t) +
	       (has_dropped(suspect) ? sizeof(suspect->dropped) : 0);
}

static int append_suspect(pr_str_t *out, const pr_suspect_t *suspect)
{
	const suspect_record_t record = {
		.part = suspect->part,
		.requests = suspect->requests,
		.since_ms = suspect->since_ms,
		.crash_ms = suspect->crash_ms,
		.cleared_ms = suspect->cleared_ms,
		.answer_ms = suspect->answer_ms,
		.quarantined_ms = suspect->quarantined_ms,
		.probe_ms = suspect->probe_ms,
		.service = suspect->service,
		.position = to_u16(suspect->position),
		.quarantines = to_u16(suspect->quarantines),
		.size = (uint16_t)suspect_size(suspect),
		.crashes_count = (uint16_t)suspect->crashes_count,
		.others = suspect->others,
	};
	int rc = pr_str_append(out, (const char *)&record, sizeof(record));

	for (uint32_t i = 0; i < suspect->crashes_count && !rc; i++) {
		const pr_crash_t *crash = &suspect->crashes[i];
		const crash_record_t crash_record = {
			.upstream = crash->upstream,
			.at = to_i32(crash->at_ms - suspect->crash_ms),
			.answer = crash->answer_ms ? to_i32(crash->answer_ms -
							    suspect->crash_ms)
						   : ANSWER_NONE,
		};

		rc = pr_str_append(out, (const char *)&crash_record,
				   sizeof(crash_record));
	}
	if (!rc && has_dropped(suspect))
		rc = pr_str_append(out, (const char *)suspect->dropped,
				   sizeof(suspect->dropped));
	return rc;
}

size_t pr_message_pack_suspects(pr_str_t *out, const char *host,
				const pr_suspect_t *suspects, size_t count)
{
	pr_str_t records = PR_STR_INIT;
	msgpack_packer packer;
	size_t packed = 0;
	int rc = 0;

	while (packed < count && packed < PR_SUSPECTS_IN_DATAGRAM && !rc) {
		size_t size = suspect_size(&suspects[packed]);

		if (SUSPECTS_HEADER_SIZE + records.len + size > PR_DATAGRAM_MAX)
			break;
		rc = append_suspect(&records, &suspects[packed++]);
	}
	if (!rc)
		rc = pr_message_begin(&packer, out, host, 1);
	if (!rc)
		rc = pr_msgmap_pack_text(&packer, "suspects",
					 pr_str_slice(&records));
	pr_str_finish(&records);
	return rc ? 0 : packed;
}

/* @return bytes of the record, or 0 when it is malformed */
static size_t read_suspect(pr_slice_t bytes, pr_suspect_t *out)
{
	suspect_record_t record;
	size_t at;

	if (bytes.len < sizeof(record))
		return 0;
	memcpy(&record, bytes.ptr, sizeof(record));
	if (record.size > bytes.len ||
	    record.crashes_count > PR_SUSPECT_CRASHES_MAX ||
	    record.size < sizeof(record) +
				  record.crashes_count * sizeof(crash_record_t))
		return 0;
	*out = (pr_suspect_t){
		.part = record.part,
		.service = record.service,
		.position = record.position,
		.requests = record.requests,
		.crashes_count = record.crashes_count,
		.others = record.others,
		.since_ms = record.since_ms,
		.crash_ms = record.crash_ms,
		.cleared_ms = record.cleared_ms,
		.answer_ms = record.answer_ms,
		.quarantined_ms = record.quarantined_ms,
		.quarantines = record.quarantines,
		.probe_ms = record.probe_ms,
	};
	for (uint32_t i = 0; i < out->crashes_count; i++) {
		crash_record_t crash;

		memcpy(&crash, bytes.ptr + sizeof(record) + i * sizeof(crash),
		       sizeof(crash));
		out->crashes[i] = (pr_crash_t){
			.upstream = crash.upstream,
			.at_ms = record.crash_ms + crash.at,
			.answer_ms = crash.answer == ANSWER_NONE
					     ? 0
					     : record.crash_ms + crash.answer,
		};
	}
	at = sizeof(record) + out->crashes_count * sizeof(crash_record_t);
	if (record.size >= at + sizeof(out->dropped))
		memcpy(out->dropped, bytes.ptr + at, sizeof(out->dropped));
	return record.size;
}

size_t pr_message_read_suspects(const pr_msgmap_t *map, pr_suspect_t *out,
				size_t max)
{
	pr_slice_t bytes;
	size_t count = 0, size;

	if (pr_msgmap_text(map, &bytes, "suspects"))
		return 0;
	while (count < max && (size = read_suspect(bytes, &out[count]))) {
		bytes.ptr += size;
		bytes.len -= size;
		count++;
	}
	return count;
}

/* Wire format of pr_upstream_rate_t. */
typedef struct rate_record_t {
	int64_t stated_ms;
	float per_s;
	uint32_t tag;
} rate_record_t;

int pr_message_pack_rates(pr_str_t *out, const char *host,
			  const pr_upstream_rate_t *rates, size_t count)
{
	rate_record_t records[PR_RATES_IN_DATAGRAM];
	msgpack_packer packer;
	size_t packed = 0;
	int rc;

	for (; packed < count && packed < PR_RATES_IN_DATAGRAM; packed++)
		records[packed] = (rate_record_t){
			.stated_ms = rates[packed].statement.stated_ms,
			.per_s = (float)rates[packed].statement.per_s,
			.tag = rates[packed].tag,
		};
	rc = pr_message_begin(&packer, out, host, 1);
	if (!rc)
		rc = pr_msgmap_pack_text(&packer, "rates",
					 pr_slice((const char *)records,
						  packed * sizeof(records[0])));
	return rc;
}

/* A rate of another host, which may be no number. */
static double clamp_rate(double per_s)
{
	if (!(per_s > 0))
		return 0;
	return per_s > PR_STATED_RATE_MIN ? per_s : PR_STATED_RATE_MIN;
}

size_t pr_message_read_rates(const pr_msgmap_t *map, pr_upstream_rate_t *out,
			     size_t max)
{
	pr_slice_t bytes;
	size_t count = 0;

	if (pr_msgmap_text(map, &bytes, "rates"))
		return 0;
	for (; count < max && bytes.len >= sizeof(rate_record_t); count++) {
		rate_record_t record;

		memcpy(&record, bytes.ptr, sizeof(record));
		bytes.ptr += sizeof(record);
		bytes.len -= sizeof(record);
		out[count] = (pr_upstream_rate_t){
			.tag = record.tag,
			.statement = { clamp_rate(record.per_s),
				       record.stated_ms },
		};
	}
	return count;
}
