/*
 * Row of the shared table with the quarantined prompt parts. Hosts tell each
 * other what they know, but a fleet that starts as a whole has nobody to ask.
 */
#include "base/event_log.h"
#include "edge/edge.h"
#include "edge/quarantine_row.h"
#include "pistachiorack/error.h"
#include "platform/adapter.h"

#define ROW_KEY "quarantine"
/* Most parts in the row, so that it fits a datagram as it is. */
#define ROW_PARTS_MAX 8
/* Most crashes of a part in the row. */
#define ROW_CRASHES_MAX 4
/* Each host waits this much longer than the one before it, milliseconds, so
 * that the row of the first host makes the writes of the others unnecessary. */
#define WRITE_DELAY_STEP_MS 1000

bool pr_quarantine_row_apply(pr_edge_t *edge, const pr_store_row_t *row)
{
	pr_suspect_t suspects[ROW_PARTS_MAX];
	pr_msgmap_t map;
	size_t count;

	if (strcmp(row->key, ROW_KEY) != 0)
		return false;
	edge->quarantine_row =
		pr_revision_later(edge->quarantine_row, row->version);
	if (row->removed)
		return true;
	if (pr_msgmap_init(&map, pr_str_slice(&row->value))) {
		pr_event_state("quarantine_unreadable", "row=%llu",
			       (unsigned long long)row->version.number);
		return true;
	}
	count = pr_message_read_suspects(&map, suspects, ROW_PARTS_MAX);
	pr_quarantine_load(&edge->quarantine, suspects, count);
	pr_msgmap_finish(&map);
	return true;
}

void pr_quarantine_row_settle(pr_edge_t *edge, uint64_t era)
{
	if (edge->quarantine_row.era == era)
		return;
	edge->quarantine_row = (pr_revision_t){ .era = era };
	pr_quarantine_load(&edge->quarantine, NULL, 0);
}

static void on_written(pr_call_t *call, int status, pr_slice_t body)
{
	pr_edge_note_era(call->owner, call, status);
	pr_event_state("quarantine_written", "status=%d", status);
}

int pr_quarantine_row_write(pr_edge_t *edge)
{
	pr_suspect_t suspects[ROW_PARTS_MAX];
	size_t count =
		pr_quarantine_list(&edge->quarantine, pr_edge_store_now(edge),
				   suspects, ROW_PARTS_MAX);
	pr_str_t value = PR_STR_INIT, request = PR_STR_INIT;
	pr_store_write_t write = {
		.table = PR_TABLE_SHARED,
		.key = ROW_KEY,
		.conditional = true,
		.expected = edge->quarantine_row,
	};
	int rc;

	/* The verdicts matter more than the crashes that led to them. */
	for (size_t i = 0; i < count; i++) {
		if (suspects[i].crashes_count > ROW_CRASHES_MAX)
			suspects[i].crashes_count = ROW_CRASHES_MAX;
		memset(suspects[i].dropped, 0, sizeof(suspects[i].dropped));
	}
	rc = count && !pr_message_pack_suspects(&value, edge->settings->host,
						suspects, count)
		     ? PR_ENOMEM
		     : 0;
	write.value = pr_str_slice(&value);
	if (!write.value.ptr)
		write.value = PR_SLICE("");
	if (!rc)
		rc = pr_adapter_store_write(&request, &write, 1);
	if (!rc)
		pr_call_start(&edge->writer, pr_str_slice(&request),
			      PR_STORE_WRITE_TIMEOUT, on_written);
	pr_str_finish(&value);
	pr_str_finish(&request);
	return rc;
}

bool pr_quarantine_row_is_due(pr_edge_t *edge)
{
	int64_t now = pr_edge_store_now(edge);

	if (pr_quarantine_is_saved(&edge->quarantine, now, ROW_PARTS_MAX)) {
		edge->quarantine_unsaved_ms = 0;
		return false;
	}
	if (!edge->quarantine_unsaved_ms)
		edge->quarantine_unsaved_ms = now;
	return now - edge->quarantine_unsaved_ms >=
	       (int64_t)edge->quarantine.rank * WRITE_DELAY_STEP_MS;
}
