/*
 * Applies rows of the store to the routing document, the upstreams, the
 * evacuated zones, the transitions and the hosts, and writes the rows that
 * hosts share.
 */
#include <stdlib.h>

#include "base/event_log.h"
#include "edge/edge.h"
#include "edge/quarantine_row.h"
#include "pistachiorack/error.h"
#include "platform/adapter.h"

/* Prefixes of keys of the shared table. The status that operators read is in
 * that table too, under keys of the adapter. */
#define HOST_KEY_PREFIX       "host/"
#define TRANSITION_KEY_PREFIX "transition/"
/* Time for which an evacuation goes on that a return of the store has lost. The
 * operator writes it again within about 2 s, and a host reads it within 3 s;
 * what is beyond that gives a slow operator time. */
#define EVACUATION_RENEWAL (10 * PR_USEC_PER_SEC)
/* Time between the rows of two hosts that write theirs again. The store takes
 * 200 transactions a second or more for each part of a table; half of them are
 * left to others. */
#define REGISTER_STEP (10 * PR_USEC_PER_MSEC)
/* Time-out of a write to the store. */
#define WRITE_TIMEOUT (2 * PR_USEC_PER_SEC)
/* Hosts write the same conclusion with different delays, in milliseconds, so
 * that the row of the first host, which reaches the others after about 100 ms,
 * makes their writes unnecessary. The maximum limits the delay of the last
 * hosts when many before them are down. */
#define WRITE_DELAY_STEP_MS 100
#define WRITE_DELAY_MAX_MS  1500
/* Time between two writes, in which the feed returns the result of the first.
 */
#define WRITE_PAUSE (700 * PR_USEC_PER_MSEC)
/* Upstreams of an evacuated zone may be cold when the zone returns. They are
 * treated as cold for this long beyond their service's cold start. */
#define EVACUATED_COLD_MARGIN (500 * PR_USEC_PER_MSEC)

static void apply_routing(pr_edge_t *edge, const pr_store_row_t *row)
{
	pr_routing_t *routing;

	if (row->removed)
		return;
	if (pr_adapter_routing(&routing, pr_str_slice(&row->value))) {
		pr_event_state("routing_refused", "row=%llu error=\"%s\"",
			       (unsigned long long)row->version.number,
			       pr_error_last());
		return;
	}
	if (edge->routing && routing->version <= edge->routing->version) {
		pr_routing_unref(routing);
		return;
	}
	pr_event_state("routing_applied",
		       "version=%llu row=%llu routes=%zu services=%zu keys=%zu",
		       (unsigned long long)routing->version,
		       (unsigned long long)row->version.number,
		       routing->routes_count, routing->services_count,
		       routing->keys_count);
	pr_routing_unref(edge->routing);
	edge->routing = routing;
}

static uint32_t cold_ms_of(const pr_edge_t *edge, const char *service)
{
	const pr_service_t *found =
		edge->routing ? pr_routing_service(edge->routing, service)
			      : NULL;

	return found ? found->cold_ms : 0;
}

static void mark_zone_cold(pr_edge_t *edge, const char *zone)
{
	pr_usec_t now = pr_edge_now(edge);

	for (pr_list_t *at = edge->registry.upstreams.next;
	     at != &edge->registry.upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);
		pr_usec_t cold =
			(pr_usec_t)cold_ms_of(edge, upstream->entry.service) *
			PR_USEC_PER_MSEC;

		if (cold && !strcmp(upstream->entry.zone, zone))
			pr_upstream_mark_cold(
				upstream, now + cold + EVACUATED_COLD_MARGIN);
	}
}

static void apply_evacuation(pr_edge_t *edge, pr_slice_t name,
			     const pr_store_row_t *row)
{
	for (size_t i = 0; i < edge->map.count; i++) {
		pr_zone_t *zone = &edge->map.zones[i];

		if (!pr_slice_equal(name, pr_slice_of(zone->name)))
			continue;
		edge->evacuation_ends[i] = 0;
		if (zone->evacuated == !row->removed)
			continue;
		zone->evacuated = !row->removed;
		if (row->removed)
			mark_zone_cold(edge, zone->name);
		pr_event_state(row->removed ? "zone_returned"
					    : "zone_evacuated",
			       "zone=%s row=%llu", zone->name,
			       (unsigned long long)row->version.number);
	}
}

pr_transition_t *pr_edge_transition(pr_edge_t *edge, const char *service)
{
	for (size_t i = 0; i < edge->transitions_count; i++) {
		if (!strcmp(edge->transitions[i]->order.service, service))
			return edge->transitions[i];
	}
	return NULL;
}

/* Apply the shared row of a transition's service, if one is known. */
static void apply_transition_row(pr_edge_t *edge, pr_transition_t *transition)
{
	for (size_t i = 0; i < edge->transition_rows_count; i++) {
		if (!strcmp(edge->transition_rows[i].service,
			    transition->order.service))
			pr_transition_apply(transition,
					    &edge->transition_rows[i].row,
					    edge->transition_rows[i].version);
	}
}

static void apply_rollout(pr_edge_t *edge, const pr_store_row_t *row)
{
	pr_rollout_order_t order;
	pr_transition_t *transition;

	if (row->removed)
		return;
	if (pr_adapter_rollout(&order, pr_str_slice(&row->value))) {
		pr_event_state("rollout_refused", "row=%llu error=\"%s\"",
			       (unsigned long long)row->version.number,
			       pr_error_last());
		return;
	}
	transition = pr_edge_transition(edge, order.service);
	if (transition &&
	    !pr_revision_is_after(row->version, transition->order_row))
		return;
	if (!transition) {
		if (edge->transitions_count == PR_TRANSITIONS_MAX)
			return;
		transition = calloc(1, sizeof(*transition));
		if (!transition)
			return;
		edge->transitions[edge->transitions_count++] = transition;
	}
	pr_transition_replace(transition, &order, row->version);
	apply_transition_row(edge, transition);
	pr_event_state("rollout_ordered",
		       "service=%s version=%s duration_ms=%u row=%llu state=%d",
		       order.service, order.version, order.duration_ms,
		       (unsigned long long)row->version.number,
		       transition->state);
}

static void apply_order(pr_edge_t *edge, const pr_store_row_t *row)
{
	pr_slice_t subject;

	switch (pr_adapter_order(pr_slice_of(row->key), &subject)) {
	case PR_ORDER_ROUTING:
		apply_routing(edge, row);
		break;
	case PR_ORDER_ROLLOUT:
		apply_rollout(edge, row);
		break;
	case PR_ORDER_EVACUATION:
		apply_evacuation(edge, subject, row);
		break;
	case PR_ORDER_UNKNOWN:
		pr_event_state("order_unknown", "key=%s row=%llu", row->key,
			       (unsigned long long)row->version.number);
		break;
	}
}

static void apply_upstream_row(pr_edge_t *edge, const pr_store_row_t *row,
			       pr_usec_t lapse_at)
{
	pr_usec_t now = pr_edge_now(edge);
	pr_upstream_entry_t entry;
	pr_upstream_t *upstream;

	if (!row->removed && pr_adapter_upstream(&entry, pr_slice_of(row->key),
						 pr_str_slice(&row->value))) {
		pr_event_state("upstream_unreadable",
			       "id=%s row=%llu "
			       "error=\"%s\"",
			       row->key,
			       (unsigned long long)row->version.number,
			       pr_error_last());
	} else if (!row->removed) {
		upstream =
			pr_registry_apply(&edge->registry, &entry, row->version,
					  cold_ms_of(edge, entry.service), now);
		if (upstream)
			pr_event_state(
				"upstream",
				"id=%s service=%s zone=%s version=%s state=%s "
				"cold_ms=%u born=%lld row=%llu",
				entry.id, entry.service, entry.zone,
				entry.version,
				entry.draining ? "leaving" : "ready",
				entry.cold_ms, (long long)entry.born,
				(unsigned long long)row->version.number);
		return;
	}
	pr_event_state("upstream_removed", "id=%s row=%llu lapse_in_ms=%lld",
		       row->key, (unsigned long long)row->version.number,
		       lapse_at > now ? (long long)((lapse_at - now) /
						    PR_USEC_PER_MSEC)
				      : 0LL);
	pr_registry_remove(&edge->registry, row->key, row->version, lapse_at,
			   now);
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

static void apply_shared_row(pr_edge_t *edge, const pr_store_row_t *row)
{
	pr_slice_t key = pr_slice_of(row->key);
	const char *service = row->key + strlen(TRANSITION_KEY_PREFIX);
	pr_transition_t *transition;

	if (pr_slice_starts_with(key, PR_SLICE(HOST_KEY_PREFIX))) {
		pr_peering_apply_host_row(
			edge, row->key + strlen(HOST_KEY_PREFIX),
			pr_str_slice(&row->value), row->removed);
		return;
	}
	if (pr_quarantine_row_apply(edge, row) ||
	    !pr_slice_starts_with(key, PR_SLICE(TRANSITION_KEY_PREFIX)) ||
	    row->removed)
		return;
	save_transition_row(edge, service, row);
	transition = pr_edge_transition(edge, service);
	if (transition)
		apply_transition_row(edge, transition);
}

void pr_edge_apply_row(pr_edge_t *edge, pr_store_table_t table,
		       const pr_store_row_t *row, pr_usec_t lapse_at)
{
	switch (table) {
	case PR_TABLE_ORDERS:
		apply_order(edge, row);
		break;
	case PR_TABLE_UPSTREAMS:
		apply_upstream_row(edge, row, lapse_at);
		break;
	case PR_TABLE_SHARED:
		apply_shared_row(edge, row);
		break;
	case PR_TABLES_COUNT:
		break;
	}
}

static bool has_key(const pr_names_t *keys, const char *key)
{
	for (size_t i = 0; i < keys->count; i++) {
		if (!strcmp(keys->items[i], key))
			return true;
	}
	return false;
}

/* Evacuations that the table lacks go on for a while: the operator writes them
 * again, or has taken them back. */
static void settle_evacuations(pr_edge_t *edge, const pr_names_t *keys)
{
	for (size_t i = 0; i < edge->map.count; i++) {
		pr_zone_t *zone = &edge->map.zones[i];
		pr_str_t key = PR_STR_INIT;

		if (zone->evacuated &&
		    !pr_adapter_evacuation_key(&key, zone->name) &&
		    !has_key(keys, key.ptr))
			edge->evacuation_ends[i] =
				pr_edge_now(edge) + EVACUATION_RENEWAL;
		pr_str_finish(&key);
	}
}

void pr_edge_end_lost_evacuations(pr_edge_t *edge)
{
	for (size_t i = 0; i < edge->map.count; i++) {
		pr_zone_t *zone = &edge->map.zones[i];
		pr_store_row_t row = { .removed = true };

		if (edge->evacuation_ends[i] &&
		    edge->evacuation_ends[i] <= pr_edge_now(edge))
			apply_evacuation(edge, pr_slice_of(zone->name), &row);
	}
}

/* Whether this host's own row has to be written again. After a return of the
 * store many hosts may have to: each waits for a part of the time that all of
 * them may take. */
static void settle_registration(pr_edge_t *edge, const pr_names_t *keys)
{
	pr_str_t key = PR_STR_INIT;
	double jitter = (double)(edge->host_hash >> 32) / UINT32_MAX;

	if (!pr_str_appendf(&key, HOST_KEY_PREFIX "%s", edge->settings->host) &&
	    edge->registered && !has_key(keys, pr_str_cstr(&key))) {
		edge->registered = false;
		edge->register_at =
			pr_edge_now(edge) +
			(pr_usec_t)(jitter * pr_edge_hosts_count(edge)) *
				REGISTER_STEP;
	}
	pr_str_finish(&key);
}

void pr_edge_settle_table(pr_edge_t *edge, pr_store_table_t table,
			  const pr_names_t *keys, uint64_t era)
{
	if (table == PR_TABLE_ORDERS)
		settle_evacuations(edge, keys);
	if (table != PR_TABLE_SHARED)
		return;
	settle_registration(edge, keys);
	pr_quarantine_row_settle(edge, era);
}

static void on_registered(pr_call_t *call, int status, pr_slice_t body)
{
	pr_edge_t *edge = call->owner;

	pr_edge_note_era(edge, call, status);
	edge->registered = status == 200;
	pr_event_state("registered", "status=%d", status);
}

static void register_host(pr_edge_t *edge)
{
	pr_str_t key = PR_STR_INIT;
	pr_str_t value = PR_STR_INIT;
	pr_str_t request = PR_STR_INIT;
	pr_store_write_t write = { .table = PR_TABLE_SHARED };
	int rc = pr_str_appendf(&key, HOST_KEY_PREFIX "%s",
				edge->settings->host);

	if (!rc)
		rc = pr_peering_write_host_row(edge, &value);
	write.key = pr_str_cstr(&key);
	write.value = pr_str_slice(&value);
	if (!rc)
		rc = pr_adapter_store_write(&request, &write, 1);
	if (!rc)
		pr_call_start(&edge->writer, pr_str_slice(&request),
			      WRITE_TIMEOUT, on_registered);
	edge->next_write_at = pr_edge_now(edge) + WRITE_PAUSE;
	pr_str_finish(&key);
	pr_str_finish(&value);
	pr_str_finish(&request);
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

/* The shared row with a conclusion. */
static pr_transition_row_t row_of(const pr_transition_t *transition,
				  pr_conclusion_t conclusion, int64_t now)
{
	pr_transition_row_t row = {
		.order = transition->order_row.number,
		.state = PR_ROLLOUT_RUNNING,
		.began_ms = transition->began_ms ? transition->began_ms : now,
		.verified_ms = transition->verified_ms,
		.load_verified_ms = transition->load_verified_ms,
	};

	if (conclusion == PR_CONCLUDE_DONE)
		row.state = PR_ROLLOUT_DONE;
	else if (conclusion == PR_CONCLUDE_WITHDRAW)
		row.state = PR_ROLLOUT_WITHDRAWN;
	else if (conclusion == PR_CONCLUDE_VERIFIED)
		row.verified_ms = now;
	else if (conclusion == PR_CONCLUDE_LOAD_VERIFIED)
		row.load_verified_ms = now;
	memcpy(row.withdrawn, transition->withdrawn, sizeof(row.withdrawn));
	return row;
}

static void write_transition(pr_edge_t *edge, pr_transition_t *transition,
			     const pr_transition_row_t *row)
{
	pr_str_t key = PR_STR_INIT, value = PR_STR_INIT;
	pr_str_t status_key = PR_STR_INIT, status = PR_STR_INIT;
	pr_str_t request = PR_STR_INIT;
	pr_store_write_t writes[2] = { 0 };
	int rc = pr_str_appendf(&key, TRANSITION_KEY_PREFIX "%s",
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
			      WRITE_TIMEOUT, on_transition_written);
	}
	edge->next_write_at = pr_edge_now(edge) + WRITE_PAUSE;
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

/* Whether the conclusion has been the same for this host's write delay. */
static bool is_write_due(pr_edge_t *edge, size_t index,
			 pr_conclusion_t conclusion, int64_t now)
{
	if (edge->conclusions[index].conclusion != conclusion) {
		edge->conclusions[index].conclusion = conclusion;
		edge->conclusions[index].since_ms = now;
	}
	return now - edge->conclusions[index].since_ms >=
	       write_delay_ms(edge, edge->transitions[index]);
}

/* Writes are conditional, so the table must have been read in the era of the
 * store before. */
static bool can_write(pr_edge_t *edge)
{
	return !edge->writer.busy && pr_edge_now(edge) >= edge->next_write_at &&
	       pr_watch_is_synced(&edge->watches[PR_TABLE_SHARED]);
}

void pr_edge_update_shared_rows(pr_edge_t *edge)
{
	int64_t now = pr_edge_store_now(edge);

	if (!edge->store_clock.is_known)
		return;
	if (!edge->registered && pr_edge_now(edge) >= edge->register_at &&
	    can_write(edge))
		register_host(edge);
	if (pr_quarantine_row_is_due(edge) && can_write(edge)) {
		if (pr_quarantine_row_write(edge))
			pr_event_state("quarantine_not_written", "error=\"%s\"",
				       pr_error_last());
		edge->next_write_at = pr_edge_now(edge) + WRITE_PAUSE;
	}
	for (size_t i = 0; i < edge->transitions_count; i++) {
		pr_transition_t *transition = edge->transitions[i];
		uint32_t usable = pr_place_count_usable(
			&edge->registry, &edge->map, transition->order.service,
			transition->order.version, pr_edge_now(edge));
		pr_conclusion_t conclusion =
			pr_transition_conclude(transition, now, 0, usable);
		pr_transition_row_t row = row_of(transition, conclusion, now);

		if (!is_write_due(edge, i, conclusion, now) || !can_write(edge))
			continue;
		if (conclusion != PR_CONCLUDE_NOTHING)
			write_transition(edge, transition, &row);
	}
}
