/*
 * Peering: sends the reports to relays and the digests of relays periodically,
 * receives the datagrams of other hosts, chooses the relays of this zone, and
 * forwards rows of the store.
 */
#include "edge/peering.h"

#include <math.h>
#include <stdlib.h>

#include "base/address.h"
#include "base/event_log.h"
#include "edge/caller.h"
#include "edge/edge.h"
#include "edge/peer_parts.h"
#include "relay/message.h"
#include "pistachiorack/error.h"

/* Period of reports and digests. */
#define REPORT_PERIOD (200 * PR_USEC_PER_MSEC)
/* Periods between two digests for the relays of other regions while no
 * transition is running. These digests have no load, only the state of the
 * tables. */
#define OTHER_REGION_PERIODS 5
/* Periods between two reports of outcomes, which decay over many seconds. */
#define OUTCOME_PERIODS 2
/* A relay's estimate of the store's clock is adopted when it differs by more
 * than this, milliseconds. */
#define CLOCK_TOLERANCE_MS 50

typedef struct pending_send_t {
	uv_udp_send_t request;
	pr_str_t bytes;
} pending_send_t;

static void on_sent(uv_udp_send_t *request, int status)
{
	pending_send_t *send = (pending_send_t *)(void *)request;

	pr_str_finish(&send->bytes);
	free(send);
}

/* A datagram that cannot be sent at once is queued in the event loop. Errors
 * are ignored, since datagrams may be lost anyway. */
static void send_datagram(pr_peering_t *peering, const pr_host_t *host,
			  const pr_str_t *bytes)
{
	uv_buf_t buf = uv_buf_init(bytes->ptr, (unsigned)bytes->len);
	const struct sockaddr *to = (const struct sockaddr *)&host->address;
	pending_send_t *send;

	pr_metric_add(peering->edge->counters.datagrams, 1);
	pr_metric_add(peering->edge->counters.datagram_bytes,
		      (double)bytes->len);
	if (uv_udp_try_send(&peering->udp, &buf, 1, to) >= 0)
		return;
	send = calloc(1, sizeof(*send));
	if (!send)
		return;
	if (pr_str_append(&send->bytes, bytes->ptr, bytes->len)) {
		free(send);
		return;
	}
	buf = uv_buf_init(send->bytes.ptr, (unsigned)send->bytes.len);
	if (uv_udp_send(&send->request, &peering->udp, &buf, 1, to, on_sent)) {
		pr_str_finish(&send->bytes);
		free(send);
	}
}

/* Whether a row is the one that this host would write. After a restart the
 * store may still have it, so it need not be written again. */
static bool is_own_row(const pr_edge_t *edge, pr_slice_t row)
{
	pr_str_t own = PR_STR_INIT;
	bool same = !pr_peering_write_host_row(edge, &own) &&
		    pr_slice_equal(pr_str_slice(&own), row);

	pr_str_finish(&own);
	return same;
}

int pr_peering_write_host_row(const pr_edge_t *edge, pr_str_t *value)
{
	return pr_str_appendf(value, "%s %s %u", edge->settings->peer,
			      edge->settings->zone,
			      edge->settings->capacity_percent);
}

/* Remove the first word from a text and return it. */
static pr_slice_t next_word(pr_slice_t *text)
{
	const char *space =
		text->len ? memchr(text->ptr, ' ', text->len) : NULL;
	pr_slice_t word = *text;

	if (space)
		word.len = (size_t)(space - text->ptr);
	text->ptr += word.len;
	text->len -= word.len;
	if (space) {
		text->ptr++;
		text->len--;
	}
	return word;
}

/* The format of a row is "ADDRESS:PORT ZONE CAPACITY". */
void pr_peering_apply_host_row(pr_edge_t *edge, const char *name,
			       pr_slice_t row, bool removed)
{
	pr_slice_t rest = row;
	pr_slice_t address_text = next_word(&rest);
	pr_slice_t zone = next_word(&rest);
	struct sockaddr_in address;
	uint64_t capacity = 0;

	if (removed)
		return;
	if (!zone.len || pr_address_parse(&address, address_text) ||
	    (rest.len && !pr_slice_number(rest, &capacity))) {
		pr_event_state("host_unreadable", "host=%s", name);
		return;
	}
	if (!strcmp(name, edge->settings->host) && is_own_row(edge, row))
		edge->registered = true;
	/* The first known host may be a relay that reads the feeds for this
	 * host. */
	if (!edge->peering.roster.count)
		edge->peering.reader.reading = false;
	if (!pr_roster_upsert(&edge->peering.roster, pr_slice_of(name), zone,
			      (uint32_t)capacity, &address)) {
		pr_event_state("host_dropped", "host=%s known=%zu", name,
			       edge->peering.roster.count);
		return;
	}
	pr_event_state("host", "name=%s zone=%.*s capacity=%llu", name,
		       (int)zone.len, zone.ptr, (unsigned long long)capacity);
}

bool pr_peers_in_zone(const pr_edge_t *edge, const pr_host_t *host)
{
	return !strcmp(host->zone, edge->settings->zone);
}

bool pr_peers_in_region(const pr_edge_t *edge, const char *zone)
{
	const pr_zone_t *found = pr_zone_find(&edge->map, zone);

	return found && !strcmp(found->region, edge->settings->region);
}

/* Whether another host of this zone reports to this host as a relay. */
static bool is_follower(pr_edge_t *edge, const pr_host_t *host)
{
	return pr_peers_in_zone(edge, host) &&
	       !pr_roster_is_self(&edge->peering.roster, host) &&
	       pr_roster_is_follower(host, pr_edge_now(edge));
}

void pr_peers_send_followers(pr_edge_t *edge, const pr_str_t *bytes)
{
	const pr_roster_t *roster = &edge->peering.roster;

	for (size_t i = 0; i < roster->count; i++) {
		if (is_follower(edge, roster->hosts[i]))
			send_datagram(&edge->peering, roster->hosts[i], bytes);
	}
}

void pr_peers_send_relays(pr_edge_t *edge, pr_distance_t distance,
			  const pr_str_t *bytes)
{
	pr_peering_t *peering = &edge->peering;

	for (size_t i = 0; i < edge->map.count; i++) {
		const char *zone = edge->map.zones[i].name;
		bool near = pr_peers_in_region(edge, zone);
		pr_host_t *relays[PR_RELAYS_MAX];
		size_t count;

		if (!strcmp(zone, edge->settings->zone) ||
		    near != (distance == PR_DISTANCE_REGION))
			continue;
		count = pr_roster_select_relays(&peering->roster, zone, true,
						pr_edge_now(edge), relays);
		for (size_t j = 0; j < count; j++)
			send_datagram(peering, relays[j], bytes);
	}
}

void pr_peers_send_zone_relays(pr_edge_t *edge, const pr_str_t *bytes)
{
	pr_peering_t *peering = &edge->peering;

	for (size_t i = 0; i < peering->relays_count; i++) {
		if (!pr_roster_is_self(&peering->roster, peering->relays[i]))
			send_datagram(peering, peering->relays[i], bytes);
	}
}

static void send_all_relays(pr_edge_t *edge, const pr_str_t *bytes)
{
	pr_peers_send_zone_relays(edge, bytes);
	if (!edge->peering.is_relay)
		return;
	pr_peers_send_relays(edge, PR_DISTANCE_REGION, bytes);
	pr_peers_send_relays(edge, PR_DISTANCE_OTHER_REGION, bytes);
}

static void (*const send_to[PR_AUDIENCES_COUNT])(pr_edge_t *edge,
						 const pr_str_t *bytes) = {
	[PR_AUDIENCE_RELAYS] = send_all_relays,
	[PR_AUDIENCE_FOLLOWERS] = pr_peers_send_followers,
};

void pr_peers_send_audience(pr_edge_t *edge, pr_audience_t audience,
			    const pr_str_t *bytes)
{
	send_to[audience](edge, bytes);
}

pr_host_t *pr_peers_self(const pr_edge_t *edge)
{
	return pr_roster_find(&edge->peering.roster,
			      pr_slice_of(edge->settings->host));
}

bool pr_peering_is_listed(const pr_edge_t *edge)
{
	return pr_peers_self(edge);
}

/* Feeds */

bool pr_peering_reads_store(const pr_edge_t *edge)
{
	return edge->peering.reader.reading;
}

void pr_peering_confirm(pr_edge_t *edge)
{
	pr_reader_confirm(&edge->peering.reader, pr_edge_now(edge));
}

/* Decide whether this host reads the feeds itself. The relays of the region are
 * in the same order on every host. */
static void update_reader(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;
	const pr_roster_t *roster = &peering->roster;
	pr_usec_t now = pr_edge_now(edge);
	pr_reader_view_t view = {
		.is_relay = peering->is_relay,
		.jitter = (double)(edge->host_hash >> 32) / UINT32_MAX,
	};
	bool was_reading = peering->reader.reading;
	/* The loop has reached this host: the rest rank after it. */
	bool reached_self = false;

	for (size_t i = 0; i < roster->count; i++) {
		const pr_host_t *host = roster->hosts[i];

		reached_self |= pr_roster_is_self(roster, host);
		if (!pr_roster_is_responsive(host, now) ||
		    !pr_peers_in_region(edge, host->zone))
			continue;
		view.zone_has_current_relay |=
			host->current && pr_peers_in_zone(edge, host);
		view.preferred_relays += !reached_self;
		if (!reached_self &&
		    host->store_read_at > view.preferred_read_at)
			view.preferred_read_at = host->store_read_at;
	}
	if (pr_reader_update(&peering->reader, &view, now) != was_reading)
		pr_event_state(
			was_reading ? "reading_ended" : "reading_began",
			"relay=%d before=%u age_ms=%lld", peering->is_relay,
			view.preferred_relays,
			(long long)((now - peering->reader.confirmed_at) /
				    PR_USEC_PER_MSEC));
}

/* Whether this host has the latest rows and can forward them to others. */
static bool is_current(pr_edge_t *edge)
{
	return pr_watches_synced(edge) && !edge->stopping &&
	       pr_reader_is_current(&edge->peering.reader, pr_edge_now(edge));
}

pr_feed_state_t pr_peers_feed_state(pr_edge_t *edge, pr_distance_t distance)
{
	/* Another region has a reader of its own. */
	bool reads =
		edge->peering.reader.reading && distance == PR_DISTANCE_REGION;
	pr_feed_state_t state = {
		.age_ms = (uint32_t)((pr_edge_now(edge) -
				      edge->peering.reader.confirmed_at) /
				     PR_USEC_PER_MSEC),
		.reads_store = edge->peering.reader.reading,
		.current = is_current(edge),
		.clock_ms = pr_edge_store_now(edge),
		.unsettled_ms = pr_watches_outage_grace_ms(edge),
	};

	for (int i = 0; i < PR_TABLES_COUNT; i++)
		state.tables[i] =
			pr_extent_announce(&edge->watches[i].extent, reads);
	return state;
}

/* Whether a relay knows of no newer rows than this host, in the same era of the
 * store: its digest then confirms that this host is current. */
static bool is_confirming(const pr_edge_t *edge, const pr_feed_state_t *state)
{
	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		const pr_announced_t *table = &state->tables[i];
		pr_revision_t have =
			pr_extent_complete(&edge->watches[i].extent);

		if (table->version.era != have.era || !table->version.number ||
		    pr_revision_is_after(table->newest, have))
			return false;
	}
	return true;
}

void pr_peers_receive_feed_state(pr_edge_t *edge, pr_host_t *relay,
				 const pr_feed_state_t *state)
{
	pr_usec_t now = pr_edge_now(edge);
	pr_usec_t confirmed_at =
		now - (pr_usec_t)state->age_ms * PR_USEC_PER_MSEC;
	int64_t clock_lead_ms = state->clock_ms - pr_edge_store_now(edge);
	bool near = pr_peers_in_region(edge, relay->zone);
	bool is_behind;

	/* Numbers of an earlier era confirm nothing. The relay has not seen
	 * that the store returned from an older copy, or knows no eras. */
	is_behind = state->tables[PR_TABLE_ORDERS].version.era <
		    edge->store_era.current;
	pr_roster_note_digest(
		relay, state->current && !is_behind,
		state->reads_store && !is_behind ? confirmed_at : 0, now);
	for (int i = 0; i < PR_TABLES_COUNT; i++)
		pr_watch_compare_peer(edge, (pr_store_table_t)i,
				      near ? relay : NULL, &state->tables[i]);
	/* Each region has its own reader, and rows are not forwarded to other
	 * regions. */
	if (near && is_confirming(edge, state))
		pr_reader_confirm(&edge->peering.reader, confirmed_at);
	if (!pr_peers_in_zone(edge, relay) || !state->current || is_behind ||
	    pr_peering_reads_store(edge))
		return;
	pr_watches_extend_outage_grace(edge, state->unsettled_ms);
	if (edge->store_clock.is_known && (clock_lead_ms > CLOCK_TOLERANCE_MS ||
					   clock_lead_ms < -CLOCK_TOLERANCE_MS))
		edge->store_clock.offset_ms += clock_lead_ms;
}

/* Whether this host has to forward rows: it is the relay that reads the feeds,
 * or the first relay of its zone that is current. A host that missed rows
 * learns it from the digests of the other relays. */
static bool forwards_rows(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;

	if (pr_peering_reads_store(edge))
		return peering->is_relay;
	for (size_t i = 0; i < peering->relays_count; i++) {
		pr_host_t *relay = peering->relays[i];

		if (pr_roster_is_self(&peering->roster, relay))
			break;
		if (relay->current &&
		    pr_roster_is_responsive(relay, pr_edge_now(edge)))
			return false;
	}
	return peering->is_relay;
}

/* Send a datagram with rows to the hosts that report to this relay. If this
 * host read the rows from the store, the relays of the region get them too. */
static void forward_datagram(pr_edge_t *edge, const pr_str_t *bytes)
{
	pr_peers_send_followers(edge, bytes);
	if (pr_peering_reads_store(edge))
		pr_peers_send_relays(edge, PR_DISTANCE_REGION, bytes);
}

void pr_peering_keep_table(pr_edge_t *edge, pr_store_table_t table,
			   pr_revision_t version, const pr_store_rows_t *rows)
{
	pr_peering_t *peering = &edge->peering;

	if (peering->is_relay &&
	    pr_row_cache_replace(&peering->row_caches[table], version,
				 rows->rows, rows->count))
		pr_event("rows_not_cached", "table=%d error=\"out of memory\"",
			 table);
}

void pr_peering_forward_rows(pr_edge_t *edge, pr_store_table_t table,
			     pr_revision_t after, const pr_store_row_t *rows,
			     size_t count)
{
	pr_peering_t *peering = &edge->peering;
	size_t at = 0;

	if (!peering->is_relay)
		return;
	if (pr_row_cache_add(&peering->row_caches[table], after, rows, count))
		pr_event("rows_not_cached", "table=%d error=\"out of memory\"",
			 table);
	if (!forwards_rows(edge))
		return;
	while (at < count) {
		pr_str_t bytes = PR_STR_INIT;
		size_t passed = pr_message_pack_rows(
			&bytes, edge->settings->host, table, after, &rows[at],
			count - at);

		/* A message without rows makes the hosts read the rest from
		 * this host's cache. */
		forward_datagram(edge, &bytes);
		pr_str_finish(&bytes);
		if (!passed)
			return;
		at += passed;
		after = rows[at - 1].version;
	}
}

/* Receiving */

static void receive_datagram(pr_edge_t *edge, pr_slice_t bytes)
{
	pr_message_rows_t rows;
	pr_feed_state_t state;
	pr_count_kind_t kind;
	pr_upstream_counts_t counts;
	pr_slice_t name;
	pr_msgmap_t map;
	pr_host_t *host;
	bool from_relay;

	if (pr_msgmap_init(&map, bytes)) {
		pr_event("datagram_refused", "error=\"%s\"", pr_error_last());
		return;
	}
	host = pr_msgmap_text(&map, &name, "host")
		       ? NULL
		       : pr_roster_find(&edge->peering.roster, name);
	if (!host) {
		pr_msgmap_finish(&map);
		return;
	}
	if (!pr_message_read_counts(&map, &kind, &counts, &state,
				    &from_relay)) {
		pr_peers_receive_counts(edge, host, kind, &counts, &state,
					from_relay);
	} else if (!pr_message_read_rows(&map, &rows)) {
		pr_watch_receive_rows(edge, host, &rows);
		pr_message_rows_finish(&rows);
	} else {
		pr_peers_receive_sessions(edge, host, &map);
		pr_peers_receive_suspects(edge, host, &map);
		pr_peers_receive_tallies(edge, host, &map);
		pr_peers_receive_rates(edge, host, &map);
	}
	pr_msgmap_finish(&map);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char datagram[PR_DATAGRAM_MAX + 200];

	*buf = uv_buf_init(datagram, sizeof(datagram));
}

static void on_datagram(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags)
{
	if (len > 0 && from)
		receive_datagram(udp->data, pr_slice(buf->base, (size_t)len));
}

/* Choose the relays of this zone, and decide whether this host is one. */
static void choose_relays(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;
	pr_roster_t *roster = &peering->roster;
	pr_usec_t now = pr_edge_now(edge);
	bool was_relay = peering->is_relay;
	bool current = is_current(edge);

	peering->relays_count = pr_roster_select_relays(
		roster, edge->settings->zone, current, now, peering->relays);
	peering->is_relay = false;
	for (size_t i = 0; i < peering->relays_count; i++)
		peering->is_relay |=
			pr_roster_is_self(roster, peering->relays[i]);
	for (size_t i = 0; i < roster->count && !peering->is_relay; i++)
		peering->is_relay = is_follower(edge, roster->hosts[i]);
	for (int i = 0; i < PR_TABLES_COUNT && !peering->is_relay; i++)
		pr_row_cache_finish(&peering->row_caches[i]);
	if (was_relay != peering->is_relay)
		pr_event_state(peering->is_relay ? "relay_began"
						 : "relay_ended",
			       "zone=%s hosts=%zu fed=%d", edge->settings->zone,
			       roster->count, current);
}

static bool has_running_transition(const pr_edge_t *edge)
{
	for (size_t i = 0; i < edge->transitions_count; i++) {
		if (edge->transitions[i]->state == PR_ROLLOUT_RUNNING)
			return true;
	}
	return false;
}

static void on_report_timer(pr_timer_t *timer, pr_usec_t now)
{
	pr_edge_t *edge = timer->data;
	pr_peering_t *peering = &edge->peering;
	bool outcomes = !(peering->report_periods % OUTCOME_PERIODS);

	choose_relays(edge);
	update_reader(edge);
	peering->report_periods++;
	pr_peers_report_counts(edge, PR_COUNT_LOAD);
	if (outcomes)
		pr_peers_report_counts(edge, PR_COUNT_OUTCOMES);
	for (size_t i = 0; i < edge->transitions_count; i++) {
		if (edge->transitions[i]->state == PR_ROLLOUT_RUNNING)
			pr_peers_send_tallies(edge, i);
	}
	pr_peers_update_suspects(edge);
	pr_peers_update_rates(edge);
	if (peering->is_relay) {
		pr_peers_send_digest(edge, PR_COUNT_LOAD);
		if (outcomes)
			pr_peers_send_digest(edge, PR_COUNT_OUTCOMES);
		if (has_running_transition(edge) ||
		    !(peering->report_periods % OTHER_REGION_PERIODS))
			pr_peers_send_distant_digest(edge);
	}
	pr_watches_resume_paused(edge);
}

int pr_peering_start(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;
	int rc;

	peering->edge = edge;
	if (pr_roster_init(&peering->roster, edge->settings->host))
		return pr_error_set(PR_ENOMEM,
				    "out of memory for the list of hosts");
	uv_udp_init(edge->loop, &peering->udp);
	peering->udp.data = edge;
	rc = uv_udp_bind(
		&peering->udp,
		(const struct sockaddr *)&edge->settings->addresses.peer, 0);
	if (!rc)
		rc = uv_udp_recv_start(&peering->udp, on_alloc, on_datagram);
	if (rc)
		return pr_error_set(PR_EIO,
				    "cannot listen for datagrams of hosts: %s",
				    uv_strerror(rc));
	peering->report_timer.data = edge;
	pr_timers_subscribe(&edge->timers, &peering->report_timer,
			    REPORT_PERIOD, REPORT_PERIOD, on_report_timer);
	peering->sessions_timer.data = edge;
	pr_timers_subscribe(&edge->timers, &peering->sessions_timer,
			    SESSIONS_PERIOD, SESSIONS_PERIOD,
			    pr_peers_on_sessions_timer);
	return 0;
}

void pr_peering_finish(pr_edge_t *edge)
{
	pr_timers_unsubscribe(&edge->timers, &edge->peering.report_timer);
	pr_timers_unsubscribe(&edge->timers, &edge->peering.sessions_timer);
	for (int i = 0; i < PR_TABLES_COUNT; i++)
		pr_row_cache_finish(&edge->peering.row_caches[i]);
	pr_roster_finish(&edge->peering.roster);
}
