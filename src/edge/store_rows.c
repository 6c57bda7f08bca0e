/*
 * Applies rows of the store to the routing document, the upstreams, the
 * evacuated zones, the transitions and the hosts, and writes the rows that
 * hosts share.
 */
#include <stdlib.h>

#include "base/event_log.h"
#include "edge/edge.h"
#include "edge/quarantine_row.h"
#include "edge/transition_rows.h"
#include "pistachiorack/error.h"
#include "platform/adapter.h"

/* Prefixes of keys of the shared table. The status that operators read is in
 * that table too, under keys of the adapter. */
#define HOST_KEY_PREFIX "host/"
/* Time for which an evacuation goes on that a return of the store has lost. The
 * operator writes it again within about 2 s, and a host reads it within 3 s;
 * what is beyond that gives a slow operator time. */
#define EVACUATION_RENEWAL (10 * PR_USEC_PER_SEC)
/* Time between the rows of two hosts that write theirs again. The store takes
 * 200 transactions a second or more for each part of a table; half of them are
 * left to others. */
#define REGISTER_STEP (10 * PR_USEC_PER_MSEC)
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

static void apply_order(pr_edge_t *edge, const pr_store_row_t *row)
{
	pr_slice_t subject;

	switch (pr_adapter_order(pr_slice_of(row->key), &subject)) {
	case PR_ORDER_ROUTING:
		apply_routing(edge, row);
		break;
	case PR_ORDER_ROLLOUT:
		pr_transition_order_apply(edge, subject, row);
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
		if (upstream && pr_upstream_is_withheld(upstream, now))
			pr_event_state("upstream_withheld", "id=%s row=%llu",
				       entry.id,
				       (unsigned long long)row->version.number);
		else if (upstream)
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

static void apply_shared_row(pr_edge_t *edge, const pr_store_row_t *row)
{
	pr_slice_t key = pr_slice_of(row->key);
	const char *service = row->key + strlen(PR_TRANSITION_KEY_PREFIX);

	if (pr_slice_starts_with(key, PR_SLICE(HOST_KEY_PREFIX))) {
		pr_peering_apply_host_row(
			edge, row->key + strlen(HOST_KEY_PREFIX),
			pr_str_slice(&row->value), row->removed);
		return;
	}
	if (pr_quarantine_row_apply(edge, row) ||
	    !pr_slice_starts_with(key, PR_SLICE(PR_TRANSITION_KEY_PREFIX)) ||
	    row->removed)
		return;
	pr_transition_row_apply(edge, service, row);
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
	pr_transition_rows_settle(edge, table, keys, era);
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
			      PR_STORE_WRITE_TIMEOUT, on_registered);
	edge->next_write_at = pr_edge_now(edge) + PR_STORE_WRITE_PAUSE;
	pr_str_finish(&key);
	pr_str_finish(&value);
	pr_str_finish(&request);
}

/* Writes are conditional, so the table must have been read in the era of the
 * store before. */
bool pr_edge_can_write(pr_edge_t *edge)
{
	return !edge->writer.busy && pr_edge_now(edge) >= edge->next_write_at &&
	       pr_watch_is_synced(&edge->watches[PR_TABLE_SHARED]);
}

void pr_edge_update_shared_rows(pr_edge_t *edge)
{
	pr_transition_rows_check_held(edge);
	if (!edge->store_clock.is_known)
		return;
	if (!edge->registered && pr_edge_now(edge) >= edge->register_at &&
	    pr_edge_can_write(edge))
		register_host(edge);
	if (pr_quarantine_row_is_due(edge) && pr_edge_can_write(edge)) {
		if (pr_quarantine_row_write(edge))
			pr_event_state("quarantine_not_written", "error=\"%s\"",
				       pr_error_last());
		edge->next_write_at = pr_edge_now(edge) + PR_STORE_WRITE_PAUSE;
	}
	pr_transition_rows_update(edge);
}
