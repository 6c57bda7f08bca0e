/*
 * Takes over rows of the store from relays. Where a relay forwards the rows,
 * the host's own feed is paused. Rows that are too long for a datagram, or that
 * were lost, are read from the relay, and from the store only when the relay
 * does not have them.
 */
#include "base/event_log.h"
#include "edge/edge.h"
#include "edge/watch_parts.h"

/* Time-out of a call to a relay until the first byte of its response: such a
 * call stays within the region. */
#define RELAY_TIMEOUT (800 * PR_USEC_PER_MSEC)
/* A host that has lacked another host's rows for this long has lost its feed:
 * the store's responses to two hosts are only tens of milliseconds apart. */
#define LAG_MAX (600 * PR_USEC_PER_MSEC)
/* Replaces LAG_MAX while the feed is paused. A relay forwards rows before it
 * sends its digest; rows that another region has read arrive after the batch
 * delay of this region. */
#define LAG_MAX_PAUSED (500 * PR_USEC_PER_MSEC)

/* Apply those of the rows that this host lacks, and forward all of them.
 *
 * @param after version of the row before the first one
 */
static void apply_relayed_rows(pr_watch_t *watch, pr_revision_t after,
			       const pr_store_row_t *rows, size_t count)
{
	/* Rows of one transaction share a version. */
	pr_revision_t known = watch->extent.newest;

	for (size_t i = 0; i < count; i++) {
		if (pr_revision_is_after(rows[i].version, known))
			pr_watch_apply_row(watch, &rows[i]);
	}
	pr_extent_advance(&watch->extent, watch->extent.newest);
	pr_peering_forward_rows(watch->edge, watch->table, after, rows, count);
}

/* Rows of a relay's answer that this host can use: they continue what it has,
 * or are the whole table of a later era. */
static bool is_useful(const pr_watch_t *watch, const pr_row_answer_t *answer)
{
	pr_revision_t have = pr_extent_complete(&watch->extent);
	pr_revision_t version = answer->rows.version;

	if (answer->whole)
		return version.era > have.era;
	return version.era == have.era && pr_revision_is_after(version, have);
}

static void on_relay_rows(pr_call_t *call, int status, pr_slice_t body)
{
	pr_watch_t *watch = call->owner;
	pr_row_answer_t answer = { 0 };

	if (status != 200 || pr_row_answer_read(&answer, body) ||
	    !is_useful(watch, &answer)) {
		pr_event_state("relay_lacks_rows", "table=%d status=%d",
			       watch->table, status);
		if (pr_revision_is_after(watch->lag.newest,
					 pr_extent_complete(&watch->extent)))
			pr_watch_request_from_store(watch);
		pr_row_answer_finish(&answer);
		return;
	}
	pr_event_state("rows_from_relay",
		       "table=%d rows=%zu whole=%d bytes=%zu era=%llu "
		       "version=%llu",
		       watch->table, answer.rows.count, answer.whole, body.len,
		       (unsigned long long)answer.rows.version.era,
		       (unsigned long long)answer.rows.version.number);
	if (answer.whole) {
		pr_edge_raise_era(watch->edge, answer.rows.version.era);
		pr_table_read_apply_whole(watch, &answer.rows);
	} else {
		apply_relayed_rows(watch, pr_extent_last(&watch->extent),
				   answer.rows.rows, answer.rows.count);
	}
	pr_row_answer_finish(&answer);
}

/* Request the rows that this host lacks from a relay, or from the store when
 * the relay is NULL or does not have them. */
static void request_missing_rows(pr_watch_t *watch, const pr_host_t *relay)
{
	pr_revision_t have = pr_extent_complete(&watch->extent);
	pr_str_t request = PR_STR_INIT;

	watch->lag.since = 0;
	if (watch->relay_call.busy)
		return;
	if (!relay ||
	    pr_str_appendf(&request,
			   "GET /rows/%d/%llu/%llu HTTP/1.1\r\n"
			   "Host: %s\r\n\r\n",
			   watch->table, (unsigned long long)have.era,
			   (unsigned long long)have.number, relay->name)) {
		pr_watch_request_from_store(watch);
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
	if (!pr_watch_is_synced(watch) || watch->paused || watch->gap_wanted ||
	    watch->reading_gap || watch->failures ||
	    !pr_peering_reads_store(watch->edge) ||
	    relay->version.era != watch->extent.version.era ||
	    !pr_extent_has_gap(&watch->extent, relay) ||
	    !pr_revision_is_after(relay->version, watch->gap_refused))
		return;
	pr_event_state("gap_found", "table=%d base=%llu relay=%llu",
		       watch->table,
		       (unsigned long long)watch->extent.base.number,
		       (unsigned long long)relay->version.number);
	watch->gap = *relay;
	watch->gap_wanted = true;
	pr_watch_request_from_store(watch);
}

void pr_watch_compare_peer(pr_edge_t *edge, pr_store_table_t table,
			   const pr_host_t *relay,
			   const pr_announced_t *announced)
{
	pr_watch_t *watch = &edge->watches[table];
	pr_usec_t now = pr_edge_now(edge);
	pr_revision_t have;
	pr_usec_t lag;

	/* The relay has not read the table since its start, or since the store
	 * returned from an older copy. */
	if (!announced->version.number)
		return;
	pr_extent_adopt(&watch->extent, announced, watch->paused);
	if (relay)
		close_gap(watch, announced);
	have = pr_extent_complete(&watch->extent);
	lag = pr_lag_update(&watch->lag, announced->newest, have, now);
	/* A whole table of a later era is worth a call at once. */
	if (watch->paused && relay && announced->version.era > have.era) {
		request_missing_rows(watch, relay);
		return;
	}
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
