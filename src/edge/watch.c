/*
 * Reads the tables of the store. A full read comes first, then a feed by long
 * polls that continues from the version of the full read. When the store has
 * lost the history after that version, the table is read as a whole again, and
 * upstreams whose rows are not in it count as removed.
 *
 * Where a relay forwards the rows, the host's own feed is paused. Rows that are
 * too long for a datagram, or that were lost, are then read from the relay, and
 * from the store only when the relay does not have them.
 */
#include <stdlib.h>

#include "base/event_log.h"
#include "edge/edge.h"
#include "pistachiorack/error.h"
#include "platform/adapter.h"

/* Time after which the store responds to a feed call without changes,
 * milliseconds. */
#define FEED_WAIT_MS 10000
/* A feed call times out this long after the time at which the store should have
 * responded. */
#define RESPONSE_SLACK (800 * PR_USEC_PER_MSEC)
/* Time-out of a call for one page of a full read, until its first byte. */
#define READ_TIMEOUT (3 * PR_USEC_PER_SEC)
/* Time-out of calls that request an immediate response: after a failure, to
 * find out soon whether the store is back, and when this host lacks rows. */
#define PROBE_TIMEOUT (1500 * PR_USEC_PER_MSEC)
/* Time-out of a call to a relay until the first byte of its response: such a
 * call stays within the region. */
#define RELAY_TIMEOUT (800 * PR_USEC_PER_MSEC)
/* Delay of the next call after a failure; it doubles up to the maximum. */
#define RETRY_BASE (100 * PR_USEC_PER_MSEC)
#define RETRY_MAX  (800 * PR_USEC_PER_MSEC)
/* Maximum for hosts that are no relays: it is longer, because they are many. */
#define RETRY_MAX_NON_RELAY (2400 * PR_USEC_PER_MSEC)
/* A host that has lacked another host's rows for this long has lost its feed:
 * the store's responses to two hosts are only tens of milliseconds apart. */
#define LAG_MAX (600 * PR_USEC_PER_MSEC)
/* Replaces LAG_MAX while the feed is paused. A relay forwards rows before it
 * sends its digest; rows that another region has read arrive after the batch
 * delay of this region. */
#define LAG_MAX_PAUSED (500 * PR_USEC_PER_MSEC)
/* Table whose feed shows whether the store is reachable, and the time after
 * which the store responds to a call of that feed without changes,
 * milliseconds. */
#define PROBE_TABLE   PR_TABLE_ORDERS
#define PROBE_WAIT_MS 600

/*
 * Delay before the next feed call after one that returned changes, so that a
 * series of changes needs few calls. The first change of a series is not
 * delayed. The delay is a part of the time in which a change must take effect:
 * 3 s for orders and for an upstream that leaves.
 */
static const pr_usec_t batch_delay[PR_TABLES_COUNT] = {
	[PR_TABLE_ORDERS] = 250 * PR_USEC_PER_MSEC,
	[PR_TABLE_UPSTREAMS] = 700 * PR_USEC_PER_MSEC,
	[PR_TABLE_SHARED] = 700 * PR_USEC_PER_MSEC,
};

static void start_call(pr_watch_t *watch);
static void request_from_store(pr_watch_t *watch);

static void on_due(pr_timer_t *timer, pr_usec_t now)
{
	start_call(timer->data);
}

static void schedule_call(pr_watch_t *watch, pr_usec_t delay)
{
	pr_timers_subscribe(&watch->edge->timers, &watch->timer, delay, 0,
			    on_due);
}

/* When the probe's feed call got no response, the connections of the other
 * feeds may be dead too. */
static void abort_other_feeds(pr_watch_t *probe)
{
	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		pr_watch_t *watch = &probe->edge->watches[i];

		if (watch != probe && watch->synced)
			pr_call_abort(&watch->call);
	}
}

static void handle_failure(pr_watch_t *watch, int status)
{
	pr_usec_t now = pr_edge_now(watch->edge);
	uint32_t doublings = watch->failures < 6 ? watch->failures : 6;
	pr_usec_t pause = RETRY_BASE << doublings;
	pr_usec_t longest =
		watch->edge->peering.is_relay ? RETRY_MAX : RETRY_MAX_NON_RELAY;

	if (!watch->failures) {
		watch->failed_since = now;
		pr_event_state(
			"store_lost", "table=%d status=%d version=%llu",
			watch->table, status,
			(unsigned long long)watch->extent.version.number);
	}
	watch->failures++;
	schedule_call(watch, pause < longest ? pause : longest);
	if (watch->table == PROBE_TABLE && !status)
		abort_other_feeds(watch);
}

static void handle_recovery(pr_watch_t *watch)
{
	pr_edge_t *edge = watch->edge;
	pr_usec_t now = pr_edge_now(edge);

	if (!watch->failures)
		return;
	pr_event_state(
		"store_regained", "table=%d failures=%u ms=%lld", watch->table,
		watch->failures,
		(long long)((now - watch->failed_since) / PR_USEC_PER_MSEC));
	for (int i = 0; i < PR_TABLES_COUNT; i++)
		edge->watches[i].outage_grace_until =
			now + (pr_usec_t)(edge->settings->bounds.lapse_s *
					  PR_USEC_PER_SEC);
	watch->failures = 0;
}

void pr_edge_note_era(pr_edge_t *edge, const pr_call_t *call, int status)
{
	pr_slice_t text = pr_call_field(call);
	uint64_t before = edge->store_era.current;
	pr_era_verdict_t verdict;

	if (!status)
		return;
	verdict = pr_era_note(&edge->store_era, text);
	if (verdict != edge->era_verdict)
		pr_event_state("store_era",
			       "verdict=%s era=%llu before=%llu text=\"%.*s\"",
			       pr_era_verdict_name(verdict),
			       (unsigned long long)edge->store_era.current,
			       (unsigned long long)before,
			       (int)(text.len < 32 ? text.len : 32),
			       text.ptr ? text.ptr : "");
	/* Only the first of a series of odd statements is logged. */
	edge->era_verdict = pr_era_is_believed(verdict) ? PR_ERA_SAME : verdict;
}

/* A version of the store below one that this host knows. */
static void log_fallen_version(const pr_watch_t *watch, pr_revision_t version)
{
	if (pr_revision_is_after(watch->extent.version, version))
		pr_event_state(
			"store_version_fell",
			"table=%d version=%llu known=%llu", watch->table,
			(unsigned long long)version.number,
			(unsigned long long)watch->extent.version.number);
}

static void update_store_clock(pr_watch_t *watch, int64_t store_ms)
{
	pr_store_clock_note(&watch->edge->store_clock, store_ms,
			    watch->called_at / PR_USEC_PER_MSEC,
			    pr_edge_now(watch->edge) / PR_USEC_PER_MSEC);
}

/* Removals that an outage of the store may have caused take effect at the end
 * of the grace period. */
static void apply_row(pr_watch_t *watch, const pr_store_row_t *row)
{
	pr_edge_apply_row(watch->edge, watch->table, row,
			  watch->outage_grace_until);
	pr_extent_add(&watch->extent, row->version);
}

static void apply_rows(pr_watch_t *watch, const pr_store_rows_t *rows)
{
	for (size_t i = 0; i < rows->count; i++)
		apply_row(watch, &rows->rows[i]);
}

/* Apply a page of a full read, and keep the rows that changed since this host
 * lost the history. */
static void apply_page(pr_watch_t *watch, pr_store_rows_t *rows)
{
	apply_rows(watch, rows);
	for (size_t i = 0; i < rows->count; i++) {
		pr_store_row_t *row = &rows->rows[i];

		pr_names_add(&watch->seen_keys, row->key);
		if (watch->was_synced &&
		    pr_revision_is_after(row->version, watch->known_before) &&
		    pr_missed_move(&watch->missed, row))
			pr_event("missed_row_dropped", "table=%d error=\"%s\"",
				 watch->table, pr_error_last());
	}
}

static void clear_read_state(pr_watch_t *watch)
{
	for (size_t i = 0; i < watch->seen_keys.count; i++)
		free(watch->seen_keys.items[i]);
	free((void *)watch->seen_keys.items);
	memset(&watch->seen_keys, 0, sizeof(watch->seen_keys));
	free(watch->page_key);
	watch->page_key = NULL;
	pr_store_rows_finish(&watch->missed);
}

static bool was_seen(const pr_watch_t *watch, const char *key)
{
	for (size_t i = 0; i < watch->seen_keys.count; i++) {
		if (!strcmp(watch->seen_keys.items[i], key))
			return true;
	}
	return false;
}

/* Remove the upstreams that a full read did not return, and note them for other
 * hosts. */
static void remove_unseen(pr_watch_t *watch, pr_revision_t version)
{
	pr_registry_t *registry = &watch->edge->registry;
	pr_list_t *at = registry->upstreams.next;

	if (watch->table != PR_TABLE_UPSTREAMS)
		return;
	while (at != &registry->upstreams) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);
		pr_store_row_t row = { .key = upstream->entry.id,
				       .version = version,
				       .removed = true };

		at = at->next;
		if (was_seen(watch, upstream->entry.id))
			continue;
		if (pr_missed_add_removed(&watch->missed, row.key))
			pr_event("missed_row_dropped", "table=%d error=\"%s\"",
				 watch->table, pr_error_last());
		pr_edge_apply_row(watch->edge, watch->table, &row,
				  watch->outage_grace_until);
	}
}

/* After a lost history, send what the full read has shown to the hosts that do
 * not read the store: they would take over its version without the removals.
 * @return false when they have to read it themselves */
static bool forward_missed(pr_watch_t *watch)
{
	pr_store_rows_t *missed = &watch->missed;

	if (pr_missed_order(missed, watch->known_before, watch->read_version)) {
		pr_event_state("missed_not_sent", "table=%d error=\"%s\"",
			       watch->table, pr_error_last());
		return false;
	}
	if (!missed->count)
		return true;
	pr_extent_add(&watch->extent, missed->rows[missed->count - 1].version);
	pr_event_state(
		"missed_sent", "table=%d after=%llu rows=%zu", watch->table,
		(unsigned long long)watch->known_before.number, missed->count);
	pr_peering_forward_rows(watch->edge, watch->table, watch->known_before,
				missed->rows, missed->count);
	return true;
}

static void log_unreadable(const pr_watch_t *watch, const pr_store_rows_t *rows)
{
	if (rows->unreadable)
		pr_event_state("rows_unreadable",
			       "table=%d rows=%zu version=%llu", watch->table,
			       rows->unreadable,
			       (unsigned long long)rows->version.number);
}

static void on_read(pr_call_t *call, int status, pr_slice_t body)
{
	pr_watch_t *watch = call->owner;
	pr_store_rows_t rows;

	pr_edge_note_era(watch->edge, call, status);
	if (status != 200 || pr_adapter_store_rows(&rows, 0, body)) {
		clear_read_state(watch);
		handle_failure(watch, status);
		return;
	}
	handle_recovery(watch);
	log_unreadable(watch, &rows);
	update_store_clock(watch, rows.now_ms);
	log_fallen_version(watch, rows.version);
	if (watch->table == PROBE_TABLE)
		pr_peering_confirm(watch->edge);
	if (!watch->page_key) {
		watch->read_version = rows.version;
		watch->known_before = pr_extent_last(&watch->extent);
	}
	free(watch->page_key);
	watch->page_key = NULL;
	if (rows.more && rows.count) {
		size_t size = strlen(rows.rows[rows.count - 1].key) + 2;

		/* The next page begins at the last key with a space appended,
		 * which sorts after that key. */
		watch->page_key = calloc(1, size);
		if (watch->page_key)
			snprintf(watch->page_key, size, "%s ",
				 rows.rows[rows.count - 1].key);
	}
	apply_page(watch, &rows);
	if (!watch->page_key) {
		bool is_told;

		remove_unseen(watch, watch->read_version);
		pr_extent_read(&watch->extent, watch->read_version,
			       !watch->was_synced);
		is_told = !watch->was_synced || forward_missed(watch);
		if (!is_told)
			pr_extent_read(&watch->extent, watch->read_version,
				       true);
		clear_read_state(watch);
		watch->synced = watch->was_synced = true;
		if (watch->table == PR_TABLE_UPSTREAMS)
			watch->edge->registry.initial_read_done = true;
		pr_event_state(
			"table_read", "table=%d rows=%zu version=%llu",
			watch->table, rows.count,
			(unsigned long long)watch->extent.version.number);
	}
	pr_store_rows_finish(&rows);
	schedule_call(watch, 0);
}

/*
 * The feed of the orders tells the store's newest version. A feed that is still
 * waiting, although the version was there before the last two responses, has a
 * change in another table, or its call was lost: the store may be silent for
 * a shorter time than the orders' feed needs to notice. It is asked again, so
 * that the loss of a call does not hold changes back until its time-out.
 */
static void check_other_feeds(const pr_watch_t *probe, pr_revision_t version)
{
	pr_usec_t now = pr_edge_now(probe->edge);

	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		pr_watch_t *watch = &probe->edge->watches[i];

		if (watch == probe || !watch->synced)
			continue;
		if (watch->call.busy && !watch->restarting &&
		    watch->called_at < watch->expected_at &&
		    pr_revision_is_after(watch->expected,
					 pr_extent_complete(&watch->extent))) {
			pr_event_state(
				"feed_checked",
				"table=%d version=%llu store=%llu", i,
				(unsigned long long)
					watch->extent.version.number,
				(unsigned long long)watch->expected.number);
			request_from_store(watch);
		}
		watch->expected = version;
		watch->expected_at = now;
	}
}

static void on_feed(pr_call_t *call, int status, pr_slice_t body)
{
	pr_watch_t *watch = call->owner;
	pr_store_rows_t rows;
	pr_usec_t pause = 0;
	pr_revision_t after = pr_extent_last(&watch->extent);

	pr_edge_note_era(watch->edge, call, status);
	if (status == 410 && watch->reading_gap) {
		/* The relay that lacks the changes cannot read them either. */
		pr_event_state("gap_left", "table=%d version=%llu",
			       watch->table,
			       (unsigned long long)watch->gap.version.number);
		watch->gap_refused = watch->gap.version;
		schedule_call(watch, 0);
		return;
	}
	if (status == 410) {
		pr_event_state(
			"history_lost", "table=%d version=%llu", watch->table,
			(unsigned long long)watch->extent.version.number);
		watch->synced = false;
		schedule_call(watch, 0);
		return;
	}
	if (watch->restarting && !status) {
		/* This host aborted the call itself. That is no outage of the
		 * store, so no entry can have lapsed by it because its owner
		 * could not renew it. */
		schedule_call(watch, 0);
		return;
	}
	watch->restarting = false;
	if (status != 200 || pr_adapter_store_rows(&rows, 0, body)) {
		handle_failure(watch, status);
		return;
	}
	handle_recovery(watch);
	log_unreadable(watch, &rows);
	update_store_clock(watch, rows.now_ms);
	log_fallen_version(watch, rows.version);
	if (watch->table == PROBE_TABLE) {
		pr_peering_confirm(watch->edge);
		check_other_feeds(watch, rows.version);
	}
	if (watch->reading_gap) {
		after = watch->gap.newest;
		pr_extent_close_gap(&watch->extent, &watch->gap);
		pr_event_state("gap_closed", "table=%d after=%llu rows=%zu",
			       watch->table, (unsigned long long)after.number,
			       rows.count);
	}
	apply_rows(watch, &rows);
	pr_extent_advance(&watch->extent, rows.version);
	if (rows.count) {
		pause = batch_delay[watch->table];
		pr_peering_forward_rows(watch->edge, watch->table, after,
					rows.rows, rows.count);
	}
	pr_store_rows_finish(&rows);
	schedule_call(watch, pause);
}

/* Whether this host can do without reading a feed. While the store is not
 * reachable, only the probe's feed is read, to find out when it is back. */
static bool can_pause(const pr_watch_t *watch)
{
	const pr_edge_t *edge = watch->edge;

	if (!watch->synced || watch->restarting || watch->gap_wanted)
		return false;
	if (watch->table != PROBE_TABLE && edge->watches[PROBE_TABLE].failures)
		return true;
	/* Other hosts read for this one once they have found it in the shared
	 * table, where this one finds them. */
	if (watch->table == PR_TABLE_SHARED && !pr_peering_is_listed(edge))
		return false;
	return !watch->failures && !pr_peering_reads_store(edge);
}

static void start_call(pr_watch_t *watch)
{
	uint32_t wait_ms =
		watch->table == PROBE_TABLE ? PROBE_WAIT_MS : FEED_WAIT_MS;
	pr_usec_t timeout =
		(pr_usec_t)wait_ms * PR_USEC_PER_MSEC + RESPONSE_SLACK;
	bool at_once =
		watch->failures || watch->restarting || watch->gap_wanted;
	pr_str_t request = PR_STR_INIT;
	int rc;

	if (watch->call.busy)
		return;
	watch->paused = can_pause(watch);
	if (watch->paused)
		return;
	/* Rows may have been missing only because of the batch delay. */
	watch->lag.since = 0;
	watch->reading_gap = watch->gap_wanted && watch->synced;
	watch->gap_wanted = false;
	if (at_once)
		timeout = PROBE_TIMEOUT;
	if (watch->synced)
		rc = pr_adapter_store_feed(&request, watch->table,
					   watch->reading_gap
						   ? watch->gap.version
						   : watch->extent.version,
					   at_once ? 0 : wait_ms);
	else
		rc = pr_adapter_store_read(&request, watch->table,
					   pr_slice_of(watch->page_key));
	watch->restarting = false;
	if (rc) {
		pr_str_finish(&request);
		handle_failure(watch, 0);
		return;
	}
	watch->called_at = pr_edge_now(watch->edge);
	if (watch->synced)
		pr_call_start(&watch->call, pr_str_slice(&request), timeout,
			      on_feed);
	else
		pr_call_start(&watch->call, pr_str_slice(&request),
			      READ_TIMEOUT, on_read);
	pr_str_finish(&request);
}

/* Request immediately from the store the rows that this host lacks. A response
 * that is arriving brings them. */
static void request_from_store(pr_watch_t *watch)
{
	if (pr_call_is_receiving(&watch->call))
		return;
	watch->restarting = true;
	if (watch->call.busy)
		pr_call_abort(&watch->call);
	else
		start_call(watch);
}

/* Apply those of the rows that this host lacks, and forward all of them.
 *
 * @param after version of the row before the first one
 */
static void apply_relayed_rows(pr_watch_t *watch, pr_revision_t after,
			       const pr_store_row_t *rows, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (pr_revision_is_after(rows[i].version, watch->extent.newest))
			apply_row(watch, &rows[i]);
	}
	pr_extent_advance(&watch->extent, watch->extent.newest);
	pr_peering_forward_rows(watch->edge, watch->table, after, rows, count);
}

static void on_relay_rows(pr_call_t *call, int status, pr_slice_t body)
{
	pr_watch_t *watch = call->owner;
	pr_revision_t have = pr_extent_complete(&watch->extent);
	pr_store_rows_t rows = { 0 };

	if (status != 200 || pr_row_cache_read(&rows, 0, body) ||
	    !pr_revision_is_after(rows.version, have)) {
		pr_event_state("relay_lacks_rows", "table=%d status=%d",
			       watch->table, status);
		if (pr_revision_is_after(watch->lag.newest, have))
			request_from_store(watch);
	} else {
		pr_event_state("rows_from_relay",
			       "table=%d rows=%zu bytes=%zu version=%llu",
			       watch->table, rows.count, body.len,
			       (unsigned long long)rows.version.number);
		apply_relayed_rows(watch, pr_extent_last(&watch->extent),
				   rows.rows, rows.count);
	}
	pr_store_rows_finish(&rows);
}

/* Request the rows that this host lacks from a relay, or from the store when
 * the relay is NULL or does not have them. */
static void request_missing_rows(pr_watch_t *watch, const pr_host_t *relay)
{
	pr_str_t request = PR_STR_INIT;

	watch->lag.since = 0;
	if (watch->relay_call.busy)
		return;
	if (!relay ||
	    pr_str_appendf(
		    &request, "GET /rows/%d/%llu HTTP/1.1\r\nHost: %s\r\n\r\n",
		    watch->table,
		    (unsigned long long)pr_extent_complete(&watch->extent)
			    .number,
		    relay->name)) {
		request_from_store(watch);
	} else {
		pr_call_set_address(&watch->relay_call, &relay->address);
		pr_call_start(&watch->relay_call, pr_str_slice(&request),
			      RELAY_TIMEOUT, on_relay_rows);
	}
	pr_str_finish(&request);
}

/* A relay of the region may lack a removal that this host does not know, and
 * nobody else reads the store for it: read the changes that it lacks. */
static void close_gap(pr_watch_t *watch, const pr_announced_t *relay)
{
	if (!watch->synced || watch->paused || watch->gap_wanted ||
	    watch->reading_gap || watch->failures ||
	    !pr_peering_reads_store(watch->edge) ||
	    !pr_extent_has_gap(&watch->extent, relay) ||
	    !pr_revision_is_after(relay->version, watch->gap_refused))
		return;
	pr_event_state("gap_found", "table=%d base=%llu relay=%llu",
		       watch->table,
		       (unsigned long long)watch->extent.base.number,
		       (unsigned long long)relay->version.number);
	watch->gap = *relay;
	watch->gap_wanted = true;
	request_from_store(watch);
}

void pr_watch_compare_peer(pr_edge_t *edge, pr_store_table_t table,
			   const pr_host_t *relay,
			   const pr_announced_t *announced)
{
	pr_watch_t *watch = &edge->watches[table];
	pr_usec_t now = pr_edge_now(edge);
	pr_revision_t have;
	pr_usec_t lag;

	pr_extent_adopt(&watch->extent, announced, watch->paused);
	if (relay)
		close_gap(watch, announced);
	have = pr_extent_complete(&watch->extent);
	lag = pr_lag_update(&watch->lag, announced->newest, have, now);
	if (lag < (watch->paused ? LAG_MAX_PAUSED : LAG_MAX) || watch->failures)
		return;
	pr_event_state("feed_behind", "table=%d newest=%llu peer=%llu", table,
		       (unsigned long long)watch->extent.newest.number,
		       (unsigned long long)announced->newest.number);
	request_missing_rows(
		watch,
		watch->paused && pr_revision_is_after(announced->newest, have)
			? relay
			: NULL);
}

void pr_watch_receive_rows(pr_edge_t *edge, const pr_host_t *relay,
			   const pr_message_rows_t *rows)
{
	pr_watch_t *watch = &edge->watches[rows->table];
	bool follows = !pr_revision_is_after(
		rows->after, pr_extent_complete(&watch->extent));

	/* A call in progress returns the same rows. */
	if (!watch->synced || watch->call.busy)
		return;
	if (!follows || !rows->count) {
		if (watch->paused)
			request_missing_rows(watch, relay);
		return;
	}
	if (pr_revision_is_after(rows->rows[rows->count - 1].version,
				 watch->extent.newest))
		apply_relayed_rows(watch, rows->after, rows->rows, rows->count);
}

bool pr_watches_synced(const pr_edge_t *edge)
{
	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		if (!edge->watches[i].synced)
			return false;
	}
	return true;
}

uint32_t pr_watches_outage_grace_ms(pr_edge_t *edge)
{
	pr_usec_t now = pr_edge_now(edge);
	pr_usec_t left = 0;

	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		if (edge->watches[i].outage_grace_until - now > left)
			left = edge->watches[i].outage_grace_until - now;
	}
	return (uint32_t)(left / PR_USEC_PER_MSEC);
}

void pr_watches_extend_outage_grace(pr_edge_t *edge, uint32_t remaining_ms)
{
	pr_usec_t until =
		pr_edge_now(edge) + (pr_usec_t)remaining_ms * PR_USEC_PER_MSEC;

	for (int i = 0; i < PR_TABLES_COUNT && remaining_ms; i++) {
		if (until > edge->watches[i].outage_grace_until)
			edge->watches[i].outage_grace_until = until;
	}
}

void pr_watches_resume_paused(pr_edge_t *edge)
{
	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		if (edge->watches[i].paused)
			start_call(&edge->watches[i]);
	}
}

int pr_watches_start(pr_edge_t *edge)
{
	const struct sockaddr_in *address = &edge->settings->addresses.store;

	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		pr_watch_t *watch = &edge->watches[i];

		watch->edge = edge;
		watch->table = (pr_store_table_t)i;
		watch->timer.data = watch;
		pr_call_init(&watch->call, edge->loop, &edge->timers, address,
			     watch);
		pr_call_keep_field(&watch->call, pr_adapter_store_era_field());
		pr_call_init(&watch->relay_call, edge->loop, &edge->timers,
			     address, watch);
		start_call(watch);
	}
	pr_call_init(&edge->writer, edge->loop, &edge->timers, address, edge);
	pr_call_keep_field(&edge->writer, pr_adapter_store_era_field());
	return 0;
}

void pr_watches_finish(pr_edge_t *edge)
{
	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		pr_watch_t *watch = &edge->watches[i];

		pr_timers_unsubscribe(&edge->timers, &watch->timer);
		clear_read_state(watch);
		pr_call_finish(&watch->call);
		pr_call_finish(&watch->relay_call);
	}
	pr_call_finish(&edge->writer);
}
