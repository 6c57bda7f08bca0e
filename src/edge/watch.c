/*
 * Reads the tables of the store. A full read comes first, then a feed by long
 * polls that continues from the version of the full read. When the store has
 * lost the history after that version, the table is read as a whole again, and
 * upstreams whose rows are not in it count as removed.
 */
#include <stdlib.h>

#include "base/event_log.h"
#include "edge/edge.h"
#include "edge/watch_parts.h"
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
/* Delay of the next call after a failure; it doubles up to the maximum. */
#define RETRY_BASE (100 * PR_USEC_PER_MSEC)
#define RETRY_MAX  (800 * PR_USEC_PER_MSEC)
/* Maximum for hosts that are no relays: it is longer, because they are many. */
#define RETRY_MAX_NON_RELAY (2400 * PR_USEC_PER_MSEC)
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

static void on_due(pr_timer_t *timer, pr_usec_t now)
{
	start_call(timer->data);
}

void pr_watch_schedule(pr_watch_t *watch, pr_usec_t delay)
{
	pr_timers_subscribe(&watch->edge->timers, &watch->timer, delay, 0,
			    on_due);
}

void pr_watch_call_again(pr_watch_t *watch)
{
	watch->restarting = true;
	pr_watch_schedule(watch, RETRY_BASE);
}

/* When the probe's feed call got no response, the connections of the other
 * feeds may be dead too. */
static void abort_other_feeds(pr_watch_t *probe)
{
	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		pr_watch_t *watch = &probe->edge->watches[i];

		if (watch != probe && pr_watch_is_synced(watch))
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
			"store_lost",
			"table=%d status=%d era=%llu version=%llu",
			watch->table, status,
			(unsigned long long)watch->extent.version.era,
			(unsigned long long)watch->extent.version.number);
	}
	watch->failures++;
	pr_watch_schedule(watch, pause < longest ? pause : longest);
	if (watch->table == PROBE_TABLE && !status)
		abort_other_feeds(watch);
}

/* Entries that their owners could not renew meanwhile are back at the end of
 * the grace period. */
static void start_outage_grace(pr_edge_t *edge)
{
	for (int i = 0; i < PR_TABLES_COUNT; i++)
		edge->watches[i].outage_grace_until =
			pr_edge_now(edge) +
			(pr_usec_t)(edge->settings->bounds.lapse_s *
				    PR_USEC_PER_SEC);
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
	start_outage_grace(edge);
	watch->failures = 0;
}

/* The answers to calls under way may be of the era before. */
static void enter_era(pr_edge_t *edge, const pr_call_t *answered)
{
	start_outage_grace(edge);
	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		pr_watch_t *watch = &edge->watches[i];

		if (&watch->call == answered || !watch->call.busy)
			continue;
		watch->restarting = true;
		pr_call_abort(&watch->call);
		watch->restarting = false;
	}
}

static bool has_read(const pr_edge_t *edge)
{
	bool read = false;

	for (int i = 0; i < PR_TABLES_COUNT; i++)
		read |= edge->watches[i].was_synced;
	return read;
}

bool pr_edge_note_era(pr_edge_t *edge, const pr_call_t *call, int status)
{
	pr_slice_t text = pr_call_field(call);
	uint64_t before = edge->store_era.current;
	pr_era_verdict_t verdict;

	if (!status)
		return true;
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
	edge->counters.store_era->value = (double)edge->store_era.current;
	if (verdict == PR_ERA_RISEN ||
	    (verdict == PR_ERA_FIRST && has_read(edge)))
		enter_era(edge, call);
	return verdict != PR_ERA_UNCONFIRMED;
}

void pr_edge_raise_era(pr_edge_t *edge, uint64_t era)
{
	uint64_t before = edge->store_era.current;

	if (!pr_era_raise(&edge->store_era, era))
		return;
	pr_event_state("store_era", "verdict=reported era=%llu before=%llu",
		       (unsigned long long)era, (unsigned long long)before);
	edge->counters.store_era->value = (double)era;
	enter_era(edge, NULL);
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
void pr_watch_apply_row(pr_watch_t *watch, const pr_store_row_t *row)
{
	pr_edge_apply_row(watch->edge, watch->table, row,
			  watch->outage_grace_until);
	pr_extent_add(&watch->extent, row->version);
}

void pr_watch_apply_rows(pr_watch_t *watch, const pr_store_rows_t *rows)
{
	for (size_t i = 0; i < rows->count; i++)
		pr_watch_apply_row(watch, &rows->rows[i]);
}

static void log_unreadable(const pr_watch_t *watch, const pr_store_rows_t *rows)
{
	if (rows->unreadable)
		pr_event_state("rows_unreadable",
			       "table=%d rows=%zu version=%llu", watch->table,
			       rows->unreadable,
			       (unsigned long long)rows->version.number);
}

bool pr_watch_accept(pr_watch_t *watch, int status, pr_slice_t body,
		     pr_store_rows_t *rows)
{
	if (status != 200 ||
	    pr_adapter_store_rows(rows, watch->edge->store_era.current, body)) {
		handle_failure(watch, status);
		return false;
	}
	handle_recovery(watch);
	log_unreadable(watch, rows);
	update_store_clock(watch, rows->now_ms);
	log_fallen_version(watch, rows->version);
	if (watch->table == PROBE_TABLE)
		pr_peering_confirm(watch->edge);
	return true;
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

		if (watch == probe || !pr_watch_is_synced(watch))
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
			pr_watch_request_from_store(watch);
		}
		watch->expected = version;
		watch->expected_at = now;
	}
}

/* Whether an answer continues what this host knows. When the store has returned
 * from an older copy since the call it does not. */
static bool continues_feed(pr_watch_t *watch, const pr_call_t *call, int status)
{
	if (!pr_edge_note_era(watch->edge, call, status)) {
		pr_watch_call_again(watch);
		return false;
	}
	if (!status || pr_watch_is_synced(watch))
		return true;
	handle_recovery(watch);
	watch->restarting = false;
	pr_watch_schedule(watch, 0);
	return false;
}

static void on_feed(pr_call_t *call, int status, pr_slice_t body)
{
	pr_watch_t *watch = call->owner;
	pr_store_rows_t rows;
	pr_usec_t pause = 0;
	pr_revision_t after = pr_extent_last(&watch->extent);

	if (!continues_feed(watch, call, status))
		return;
	if (status == 410 && watch->reading_gap) {
		/* The relay that lacks the changes cannot read them either. */
		pr_event_state("gap_left", "table=%d version=%llu",
			       watch->table,
			       (unsigned long long)watch->gap.version.number);
		watch->gap_refused = watch->gap.version;
		pr_watch_schedule(watch, 0);
		return;
	}
	if (status == 410) {
		pr_event_state(
			"history_lost", "table=%d version=%llu", watch->table,
			(unsigned long long)watch->extent.version.number);
		watch->synced = false;
		pr_watch_schedule(watch, 0);
		return;
	}
	if (watch->restarting && !status) {
		/* This host aborted the call itself. That is no outage of the
		 * store, so no entry can have lapsed by it because its owner
		 * could not renew it. */
		pr_watch_schedule(watch, 0);
		return;
	}
	watch->restarting = false;
	if (!pr_watch_accept(watch, status, body, &rows))
		return;
	if (watch->table == PROBE_TABLE)
		check_other_feeds(watch, rows.version);
	if (watch->reading_gap) {
		after = watch->gap.newest;
		pr_extent_close_gap(&watch->extent, &watch->gap);
		pr_event_state("gap_closed", "table=%d after=%llu rows=%zu",
			       watch->table, (unsigned long long)after.number,
			       rows.count);
	}
	pr_watch_apply_rows(watch, &rows);
	pr_extent_advance(&watch->extent, rows.version);
	if (rows.count) {
		pause = batch_delay[watch->table];
		pr_peering_forward_rows(watch->edge, watch->table, after,
					rows.rows, rows.count);
	}
	pr_store_rows_finish(&rows);
	pr_watch_schedule(watch, pause);
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
	watch->reading_gap = watch->gap_wanted && pr_watch_is_synced(watch);
	watch->gap_wanted = false;
	if (at_once)
		timeout = PROBE_TIMEOUT;
	if (pr_watch_is_synced(watch))
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
	if (pr_watch_is_synced(watch))
		pr_call_start(&watch->call, pr_str_slice(&request), timeout,
			      on_feed);
	else
		pr_call_start(&watch->call, pr_str_slice(&request),
			      READ_TIMEOUT, pr_table_read_on_answer);
	pr_str_finish(&request);
}

/* Request immediately from the store the rows that this host lacks. A response
 * that is arriving brings them. */
void pr_watch_request_from_store(pr_watch_t *watch)
{
	if (pr_call_is_receiving(&watch->call))
		return;
	watch->restarting = true;
	if (watch->call.busy)
		pr_call_abort(&watch->call);
	else
		start_call(watch);
}

bool pr_watch_is_synced(const pr_watch_t *watch)
{
	return watch->synced &&
	       watch->extent.version.era == watch->edge->store_era.current;
}

bool pr_watches_synced(const pr_edge_t *edge)
{
	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		if (!pr_watch_is_synced(&edge->watches[i]))
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
		pr_table_read_clear(watch);
		pr_call_finish(&watch->call);
		pr_call_finish(&watch->relay_call);
	}
	pr_call_finish(&edge->writer);
}
