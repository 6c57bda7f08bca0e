/*
 * Rows of the store about transitions: the orders of the operator, the states
 * that the hosts share, and the writes of what this host concludes.
 */
#include "edge/transition_rows.h"

#include <stdlib.h>

#include "base/event_log.h"
#include "pistachiorack/error.h"
#include "platform/adapter.h"

/* Hosts write the same conclusion with different delays, in milliseconds, so
 * that the row of the first host, which reaches the others after about 100 ms,
 * makes their writes unnecessary. The maximum limits the delay of the last
 * hosts when many before them are down. */
#define WRITE_DELAY_STEP_MS 100
#define WRITE_DELAY_MAX_MS  1500
pr_transition_t *pr_edge_transition(pr_edge_t *edge, const char *service)
{
	for (size_t i = 0; i < edge->transitions_count; i++) {
		if (!strcmp(edge->transitions[i]->order.service, service))
			return edge->transitions[i];
	}
	return NULL;
}

/* Apply the shared row of a transition's service as it is known, or its absence
 * from the table of the present era. */
static void apply_transition_row(pr_edge_t *edge, pr_transition_t *transition)
{
	const pr_watch_t *watch = &edge->watches[PR_TABLE_SHARED];
	uint64_t era = watch->extent.version.era;

	for (size_t i = 0; i < edge->transition_rows_count; i++) {
		if (!strcmp(edge->transition_rows[i].service,
			    transition->order.service))
			pr_transition_apply(transition,
					    &edge->transition_rows[i].row,
					    edge->transition_rows[i].version);
	}
	if (watch->was_synced)
		pr_transition_apply_missing(transition, era);
}

static pr_transition_t *add_transition(pr_edge_t *edge)
{
	pr_transition_t *transition;

	if (edge->transitions_count == PR_TRANSITIONS_MAX)
		return NULL;
	transition = calloc(1, sizeof(*transition));
	if (transition)
		edge->transitions[edge->transitions_count++] = transition;
	return transition;
}

static void log_order(const pr_transition_t *transition,
		      pr_order_verdict_t verdict,
		      const pr_rollout_order_t *order, pr_revision_t row)
{
	static const char *const events[] = {
		[PR_ORDER_ROW_KNOWN] = "rollout_known",
		[PR_ORDER_ROW_NEW] = "rollout_ordered",
		[PR_ORDER_ROW_HELD] = "rollout_held",
	};

	pr_event_state(events[verdict],
		       "service=%s version=%s duration_ms=%u row=%llu state=%d",
		       order->service, order->version, order->duration_ms,
		       (unsigned long long)row.number, transition->state);
}

static pr_transition_t *find_transition(pr_edge_t *edge, pr_slice_t service)
{
	for (size_t i = 0; i < edge->transitions_count; i++) {
		if (pr_slice_equal(
			    service,
			    pr_slice_of(edge->transitions[i]->order.service)))
			return edge->transitions[i];
	}
	return NULL;
}

static void drop_held(pr_transition_t *transition)
{
	if (pr_transition_drop_held(transition))
		pr_event_state("rollout_dropped", "service=%s",
			       transition->order.service);
}

void pr_transition_order_apply(pr_edge_t *edge, pr_slice_t service,
			       const pr_store_row_t *row)
{
	pr_transition_t *transition = find_transition(edge, service);
	pr_order_verdict_t verdict;
	pr_rollout_order_t order;

	if (row->removed) {
		if (transition)
			drop_held(transition);
		return;
	}
	if (pr_adapter_rollout(&order, pr_str_slice(&row->value))) {
		pr_event_state("rollout_refused", "row=%llu error=\"%s\"",
			       (unsigned long long)row->version.number,
			       pr_error_last());
		return;
	}
	transition = pr_edge_transition(edge, order.service);
	if (!transition)
		transition = add_transition(edge);
	if (!transition)
		return;
	verdict = pr_transition_receive_order(transition, &order, row->version,
					      pr_edge_now(edge));
	if (verdict == PR_ORDER_ROW_OLD)
		return;
	if (verdict != PR_ORDER_ROW_HELD)
		apply_transition_row(edge, transition);
	log_order(transition, verdict, &order, row->version);
}

/* Whether this host has what a table holds: it was read in the present era of
 * the store, and the store has confirmed it lately. */
static bool is_current(pr_edge_t *edge, pr_store_table_t table)
{
	return pr_watch_is_synced(&edge->watches[table]) &&
	       pr_reader_is_current(&edge->peering.reader, pr_edge_now(edge));
}

void pr_transition_rows_check_held(pr_edge_t *edge)
{
	bool follows = is_current(edge, PR_TABLE_ORDERS);

	for (size_t i = 0; i < edge->transitions_count; i++) {
		pr_transition_t *transition = edge->transitions[i];

		if (!pr_transition_check_held(transition, pr_edge_now(edge),
					      follows))
			continue;
		apply_transition_row(edge, transition);
		log_order(transition, PR_ORDER_ROW_NEW, &transition->order,
			  transition->order_row);
	}
}

static bool has_order(const pr_names_t *keys, const char *service)
{
	pr_slice_t subject;

	for (size_t i = 0; i < keys->count; i++) {
		if (pr_adapter_order(pr_slice_of(keys->items[i]), &subject) ==
			    PR_ORDER_ROLLOUT &&
		    pr_slice_equal(subject, pr_slice_of(service)))
			return true;
	}
	return false;
}

void pr_transition_rows_settle(pr_edge_t *edge, pr_store_table_t table,
			       const pr_names_t *keys, uint64_t era)
{
	for (size_t i = 0; i < edge->transitions_count; i++) {
		pr_transition_t *transition = edge->transitions[i];

		if (table == PR_TABLE_SHARED)
			pr_transition_apply_missing(transition, era);
		else if (table == PR_TABLE_ORDERS &&
			 !has_order(keys, transition->order.service))
			drop_held(transition);
	}
}

static void save_transition_row(pr_edge_t *edge, const char *service,
				const pr_store_row_t *row)
{
	pr_transition_row_t state;
	size_t i = 0;

	if (pr_transition_row_unpack(&state, pr_str_slice(&row->value))) {
		pr_event_state("transition_unreadable", "service=%s row=%llu",
			       service,
			       (unsigned long long)row->version.number);
		return;
	}
	while (i < edge->transition_rows_count &&
	       strcmp(edge->transition_rows[i].service, service) != 0)
		i++;
	if (i == PR_TRANSITIONS_MAX ||
	    pr_slice_copy(edge->transition_rows[i].service,
			  sizeof(edge->transition_rows[i].service),
			  pr_slice_of(service)))
		return;
	if (i == edge->transition_rows_count)
		edge->transition_rows_count++;
	edge->transition_rows[i].row = state;
	edge->transition_rows[i].version = row->version;
	pr_event_state("transition",
		       "service=%s state=%d verified=%d row=%llu order=%llu",
		       service, state.state, state.verified_ms != 0,
		       (unsigned long long)row->version.number,
		       (unsigned long long)state.order);
}

void pr_transition_row_apply(pr_edge_t *edge, const char *service,
			     const pr_store_row_t *row)
{
	pr_transition_t *transition = pr_edge_transition(edge, service);

	save_transition_row(edge, service, row);
	if (transition)
		apply_transition_row(edge, transition);
}

/* The feed returns the row that is in force, whichever host wrote it. */
static void on_transition_written(pr_call_t *call, int status, pr_slice_t body)
{
	pr_edge_note_era(call->owner, call, status);
	pr_event_state("transition_written", "status=%d", status);
}

static void log_transition(const pr_transition_t *transition,
			   const pr_transition_row_t *row)
{
	const pr_load_test_tally_t *own = &transition->own.load_test;
	const pr_load_test_tally_t *peers = &transition->peers.load_test;

	pr_event_state(
		"transition_concluded",
		"service=%s version=%s state=%d verified=%d new=%u/%u "
		"old=%u/%u "
		"peers_new=%u/%u peers_old=%u/%u slow_new=%u/%u "
		"slow_old=%u/%u slower_new=%u/%u slower_old=%u/%u "
		"load_verified=%d tested=%u/%u loaded=%u/%u "
		"condition=%llu",
		transition->order.service, transition->order.version,
		row->state, row->verified_ms != 0, transition->own.new.bad,
		transition->own.new.total, transition->own.old.bad,
		transition->own.old.total, transition->peers.new.bad,
		transition->peers.new.total, transition->peers.old.bad,
		transition->peers.old.total,
		transition->own.new.slow + transition->peers.new.slow,
		transition->own.new.timed + transition->peers.new.timed,
		transition->own.old.slow + transition->peers.old.slow,
		transition->own.old.timed + transition->peers.old.timed,
		transition->own.new.slower + transition->peers.new.slower,
		transition->own.new.ranked + transition->peers.new.ranked,
		transition->own.old.slower + transition->peers.old.slower,
		transition->own.old.ranked + transition->peers.old.ranked,
		row->load_verified_ms != 0, own->ended + peers->ended,
		own->begun + peers->begun, own->loaded_bad + peers->loaded_bad,
		own->loaded + peers->loaded,
		(unsigned long long)transition->state_row.number);
}

static void write_transition(pr_edge_t *edge, pr_transition_t *transition,
			     const pr_transition_row_t *row)
{
	pr_str_t key = PR_STR_INIT, value = PR_STR_INIT;
	pr_str_t status_key = PR_STR_INIT, status = PR_STR_INIT;
	pr_str_t request = PR_STR_INIT;
	pr_store_write_t writes[2] = { 0 };
	int rc = pr_str_appendf(&key, PR_TRANSITION_KEY_PREFIX "%s",
				transition->order.service);

	if (!rc)
		rc = pr_transition_row_pack(&value, row);
	if (!rc)
		rc = pr_adapter_rollout_status(
			&status_key, &status, transition->order.service,
			transition->order.version, row->state);
	writes[0].table = PR_TABLE_SHARED;
	writes[0].key = pr_str_cstr(&key);
	writes[0].value = pr_str_slice(&value);
	writes[0].conditional = true;
	writes[0].expected = transition->state_row;
	writes[1].table = PR_TABLE_SHARED;
	writes[1].key = pr_str_cstr(&status_key);
	writes[1].value = pr_str_slice(&status);
	if (!rc)
		rc = pr_adapter_store_write(&request, writes, 2);
	if (!rc) {
		log_transition(transition, row);
		pr_call_start(&edge->writer, pr_str_slice(&request),
			      PR_STORE_WRITE_TIMEOUT, on_transition_written);
	}
	edge->next_write_at = pr_edge_now(edge) + PR_STORE_WRITE_PAUSE;
	pr_str_finish(&key);
	pr_str_finish(&value);
	pr_str_finish(&status_key);
	pr_str_finish(&status);
	pr_str_finish(&request);
}

/* Delay of this host, milliseconds, before it writes a row that any host could
 * write. */
static int64_t write_delay_ms(const pr_edge_t *edge,
			      const pr_transition_t *transition)
{
	int64_t delay =
		WRITE_DELAY_STEP_MS *
		(int64_t)pr_roster_rank(&edge->peering.roster,
					pr_revision_tag(transition->order_row));

	return delay < WRITE_DELAY_MAX_MS ? delay : WRITE_DELAY_MAX_MS;
}

void pr_transition_rows_update(pr_edge_t *edge)
{
	int64_t now = pr_edge_store_now(edge);
	bool reaches = is_current(edge, PR_TABLE_SHARED);

	for (size_t i = 0; i < edge->transitions_count; i++) {
		pr_transition_t *transition = edge->transitions[i];
		uint32_t usable = pr_place_count_usable(
			&edge->registry, &edge->map, transition->order.service,
			transition->order.version, pr_edge_now(edge));
		pr_conclusion_t conclusion =
			pr_transition_conclude(transition, now, 0, usable);
		pr_transition_row_t row = pr_transition_conclusion_row(
			transition, conclusion, now);

		if (pr_transition_is_write_due(
			    &edge->conclusions[i], transition, conclusion,
			    reaches, now, write_delay_ms(edge, transition)) &&
		    pr_edge_can_write(edge))
			write_transition(edge, transition, &row);
	}
}
