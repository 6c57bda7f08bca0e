/* Reports to relays, digests of relays, and what either says to this host. */
#include "edge/peering.h"

#include <stdlib.h>

#include "base/address.h"
#include "base/event_log.h"
#include "edge/caller.h"
#include "edge/edge.h"
#include "relay/message.h"
#include "pistachiorack/error.h"

#define SEND_PERIOD (200 * PR_USEC_PER_MSEC)
/* A session that two hosts use within this time, at the moment when it moves,
 * can be on both versions. */
#define SESSIONS_PERIOD (40 * PR_USEC_PER_MSEC)
/* Periods between two reports of sessions that stay where they are: the hosts
 * must know them only when they have been unused for seconds. */
#define STAYING_PERIODS 5
/* Sessions of requests in work are told again after this time, milliseconds. */
#define RUNNING_NOTE_MS 2000
/* Periods between two digests for relays of another region without a running
 * transition: they carry no load, only which rows are known. */
#define DISTANT_PERIODS 5
/* The fleet's counts of the relay with fewer are taken after this time. */
#define TOTALS_AGE_MAX PR_USEC_PER_SEC
/* A relay's clock of the store is taken beyond this difference, milliseconds.
 */
#define CLOCK_TOLERANCE 50

typedef struct send_t {
	uv_udp_send_t request;
	pr_str_t bytes;
} send_t;

static void on_sent(uv_udp_send_t *request, int status)
{
	send_t *send = (send_t *)(void *)request;

	pr_str_finish(&send->bytes);
	free(send);
}

/* What cannot be sent at once waits in the loop; nothing depends on it. */
static void send_to(pr_peering_t *peering, const pr_host_t *host,
		    const pr_str_t *bytes)
{
	uv_buf_t buf = uv_buf_init(bytes->ptr, (unsigned)bytes->len);
	const struct sockaddr *to = (const struct sockaddr *)&host->address;
	send_t *send;

	peering->sent++;
	peering->sent_bytes += bytes->len;
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

/* The row of this host from before a restart says the same. */
static bool is_own_row(const pr_edge_t *edge, pr_slice_t row)
{
	pr_str_t own = PR_STR_INIT;
	bool same = !pr_peering_row(edge, &own) &&
		    pr_slice_equal(pr_str_slice(&own), row);

	pr_str_finish(&own);
	return same;
}

int pr_peering_row(const pr_edge_t *edge, pr_str_t *value)
{
	return pr_str_appendf(value, "%s %s %u", edge->settings->peer,
			      edge->settings->zone,
			      edge->settings->capacity_percent);
}

/* Take a word from the front of a text. */
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

/* A row is "ADDRESS:PORT ZONE CAPACITY". */
void pr_peering_host(pr_edge_t *edge, const char *name, pr_slice_t row,
		     bool removed)
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
	/* Relays become known, which read for this host. */
	if (!edge->peering.roster.count) {
		edge->peering.reader.reading = false;
		pr_peering_confirmed(edge);
	}
	if (!pr_roster_apply(&edge->peering.roster, pr_slice_of(name), zone,
			     (uint32_t)capacity, &address)) {
		pr_event_state("host_dropped", "host=%s known=%zu", name,
			       edge->peering.roster.count);
		return;
	}
	pr_event_state("host", "name=%s zone=%.*s capacity=%llu", name,
		       (int)zone.len, zone.ptr, (unsigned long long)capacity);
}

static bool is_in_zone(const pr_edge_t *edge, const pr_host_t *host)
{
	return !strcmp(host->zone, edge->settings->zone);
}

static bool is_in_region(const pr_edge_t *edge, const char *zone)
{
	const pr_zone_t *found = pr_map_zone(&edge->map, zone);

	return found && !strcmp(found->region, edge->settings->region);
}

/* Hosts that report to this relay; it is one of them itself. */
static bool is_follower(pr_edge_t *edge, const pr_host_t *host)
{
	return is_in_zone(edge, host) &&
	       !pr_roster_is_self(&edge->peering.roster, host) &&
	       pr_roster_follows(host, pr_edge_now(edge));
}

static void send_to_followers(pr_edge_t *edge, const pr_str_t *bytes)
{
	const pr_roster_t *roster = &edge->peering.roster;

	for (size_t i = 0; i < roster->count; i++) {
		if (is_follower(edge, roster->hosts[i]))
			send_to(&edge->peering, roster->hosts[i], bytes);
	}
}

typedef enum distance_t {
	DISTANCE_REGION,
	DISTANCE_OTHER_REGION,
} distance_t;

static void send_to_other_relays(pr_edge_t *edge, distance_t distance,
				 const pr_str_t *bytes)
{
	pr_peering_t *peering = &edge->peering;

	for (size_t i = 0; i < edge->map.count; i++) {
		const char *zone = edge->map.zones[i].name;
		bool near = is_in_region(edge, zone);
		pr_host_t *relays[PR_RELAYS_MAX];
		size_t count;

		if (!strcmp(zone, edge->settings->zone) ||
		    near != (distance == DISTANCE_REGION))
			continue;
		count = pr_roster_relays(&peering->roster, zone, true,
					 pr_edge_now(edge), relays);
		for (size_t j = 0; j < count; j++)
			send_to(peering, relays[j], bytes);
	}
}

static void send_to_own_relays(pr_edge_t *edge, const pr_str_t *bytes)
{
	pr_peering_t *peering = &edge->peering;

	for (size_t i = 0; i < peering->relays_count; i++) {
		if (!pr_roster_is_self(&peering->roster, peering->relays[i]))
			send_to(peering, peering->relays[i], bytes);
	}
}

static pr_host_t *self_of(pr_edge_t *edge)
{
	return pr_roster_find(&edge->peering.roster,
			      pr_slice_of(edge->settings->host));
}

/* Feeds */

bool pr_peering_reads(const pr_edge_t *edge)
{
	return edge->peering.reader.reading;
}

void pr_peering_confirmed(pr_edge_t *edge)
{
	pr_reader_confirm(&edge->peering.reader, pr_edge_now(edge));
}

/* Relays of this region are in the same order on every host. */
static void update_reader(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;
	const pr_roster_t *roster = &peering->roster;
	pr_usec_t now = pr_edge_now(edge);
	pr_reader_view_t view = {
		.is_relay = peering->is_relay,
		.spread = (double)(edge->host_hash >> 32) / UINT32_MAX,
	};
	bool was_reading = peering->reader.reading;
	bool later = false;

	for (size_t i = 0; i < roster->count; i++) {
		const pr_host_t *host = roster->hosts[i];

		later |= pr_roster_is_self(roster, host);
		if (!pr_roster_answers(host, now) ||
		    !is_in_region(edge, host->zone))
			continue;
		view.is_fed |= host->fed && is_in_zone(edge, host);
		view.before += !later;
		view.earlier_reads |= !later && host->fed && host->reads;
	}
	if (pr_reader_update(&peering->reader, &view, now) != was_reading)
		pr_event_state(
			was_reading ? "reading_ended" : "reading_began",
			"relay=%d before=%u age_ms=%lld", peering->is_relay,
			view.before,
			(long long)((now - peering->reader.confirmed_at) /
				    PR_USEC_PER_MSEC));
}

static bool is_current(pr_edge_t *edge)
{
	return pr_watches_complete(edge) && !edge->stopping &&
	       pr_reader_is_current(&edge->peering.reader, pr_edge_now(edge));
}

static pr_feed_state_t feed_state(pr_edge_t *edge)
{
	pr_feed_state_t state = {
		.age_ms = (uint32_t)((pr_edge_now(edge) -
				      edge->peering.reader.confirmed_at) /
				     PR_USEC_PER_MSEC),
		.reads = edge->peering.reader.reading,
		.fed = is_current(edge),
		.clock_ms = pr_edge_store_now(edge),
		.unsettled_ms = pr_watches_unsettled_ms(edge),
	};

	for (int i = 0; i < PR_TABLES_COUNT; i++)
		state.newest[i] = edge->watches[i].newest;
	return state;
}

/* A relay that has nothing newer confirms what this host has. */
static bool is_ahead(const pr_edge_t *edge, const pr_feed_state_t *state)
{
	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		if (state->newest[i] > edge->watches[i].newest &&
		    state->newest[i] > edge->watches[i].version)
			return true;
	}
	return false;
}

static void take_feed_state(pr_edge_t *edge, pr_host_t *relay,
			    const pr_feed_state_t *state)
{
	pr_usec_t now = pr_edge_now(edge);
	int64_t ahead = state->clock_ms - pr_edge_store_now(edge);

	pr_roster_heard(relay, state->fed, state->reads, now);
	for (int i = 0; i < PR_TABLES_COUNT; i++)
		pr_watch_peer(edge, (pr_store_table_t)i, state->newest[i]);
	if (!is_ahead(edge, state))
		pr_reader_confirm(&edge->peering.reader,
				  now - (pr_usec_t)state->age_ms *
						  PR_USEC_PER_MSEC);
	if (!is_in_zone(edge, relay) || !state->fed || pr_peering_reads(edge))
		return;
	pr_watches_settle(edge, state->unsettled_ms);
	if (edge->has_store_clock &&
	    (ahead > CLOCK_TOLERANCE || ahead < -CLOCK_TOLERANCE))
		edge->store_clock += ahead;
}

/* The first fed relay of a zone passes rows on; the digests of the others tell
 * a host that it missed some. */
static bool passes_rows(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;

	for (size_t i = 0; i < peering->relays_count; i++) {
		pr_host_t *relay = peering->relays[i];

		if (pr_roster_is_self(&peering->roster, relay))
			break;
		if (relay->fed && pr_roster_answers(relay, pr_edge_now(edge)))
			return false;
	}
	return peering->is_relay;
}

void pr_peering_pass_rows(pr_edge_t *edge, pr_store_table_t table,
			  uint64_t after, const pr_store_row_t *rows,
			  size_t count)
{
	bool reads = pr_peering_reads(edge);
	size_t at = 0;

	if (!passes_rows(edge))
		return;
	while (at < count) {
		pr_str_t bytes = PR_STR_INIT;
		size_t packed =
			pr_message_rows(&bytes, edge->settings->host, table,
					after, &rows[at], count - at);

		send_to_followers(edge, &bytes);
		if (reads)
			send_to_other_relays(edge, DISTANCE_REGION, &bytes);
		pr_str_finish(&bytes);
		/* A long row is read by each host, with what follows it. */
		if (!packed)
			return;
		at += packed;
		after = rows[at - 1].version;
	}
}

/* Load */

static uint16_t saturating(double value)
{
	return value <= 0           ? 0
	       : value < UINT16_MAX ? (uint16_t)value
				    : UINT16_MAX;
}

static void own_loads(pr_edge_t *edge, pr_loads_t *out)
{
	for (pr_list_t *at = edge->registry.upstreams.next;
	     at != &edge->registry.upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);
		pr_load_t load = {
			.tag = upstream->tag,
			.in_flight = saturating(upstream->in_flight),
			.waiting = saturating(upstream->waiting_ms /
					      PR_LOAD_WAITING_UNIT),
		};

		upstream->told_in_flight = load.in_flight;
		upstream->told_waiting_ms = load.waiting * PR_LOAD_WAITING_UNIT;
		if (load.in_flight)
			pr_loads_add(out, &load);
	}
}

/* Work of the other hosts: the sum without what this one told of itself. */
static void take_load_sum(pr_edge_t *edge, const pr_loads_t *loads)
{
	for (pr_list_t *at = edge->registry.upstreams.next;
	     at != &edge->registry.upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);
		const pr_load_t *load = NULL;

		for (size_t i = 0; i < loads->count && !load; i++) {
			if (loads->items[i].tag == upstream->tag)
				load = &loads->items[i];
		}
		upstream->peers_in_flight =
			load && load->in_flight > upstream->told_in_flight
				? load->in_flight - upstream->told_in_flight
				: 0;
		upstream->peers_waiting_ms =
			load ? load->waiting * PR_LOAD_WAITING_UNIT -
					upstream->told_waiting_ms
			     : 0;
		if (upstream->peers_waiting_ms < 0)
			upstream->peers_waiting_ms = 0;
	}
}

static void keep_loads(pr_edge_t *edge, pr_host_t *host,
		       const pr_loads_t *loads)
{
	pr_host_report_t *report = pr_gather_report(host);

	if (!report)
		return;
	report->loads = *loads;
	report->loads_at = pr_edge_now(edge);
}

static void report_loads(pr_edge_t *edge)
{
	pr_loads_t loads = { .count = 0 };
	pr_str_t bytes = PR_STR_INIT;
	pr_host_t *self = self_of(edge);

	own_loads(edge, &loads);
	if (self && edge->peering.is_relay)
		keep_loads(edge, self, &loads);
	if (!pr_message_loads(&bytes, edge->settings->host, &loads, NULL))
		send_to_own_relays(edge, &bytes);
	pr_str_finish(&bytes);
}

/* A relay's sums: of its zone for the relays of the region, of the region for
 * the hosts that report to it, none for relays elsewhere. */
static void send_digests(pr_edge_t *edge, bool distant)
{
	const pr_roster_t *roster = &edge->peering.roster;
	pr_usec_t now = pr_edge_now(edge);
	pr_feed_state_t state = feed_state(edge);
	pr_str_t bytes = PR_STR_INIT;
	pr_loads_t loads = { .count = 0 };

	if (distant &&
	    !pr_message_loads(&bytes, edge->settings->host, &loads, &state))
		send_to_other_relays(edge, DISTANCE_OTHER_REGION, &bytes);
	pr_gather_zone_loads(&loads, roster, edge->settings->zone, now);
	pr_str_clear(&bytes);
	if (!pr_message_loads(&bytes, edge->settings->host, &loads, &state))
		send_to_other_relays(edge, DISTANCE_REGION, &bytes);
	for (size_t i = 0; i < edge->map.count; i++) {
		const char *zone = edge->map.zones[i].name;

		if (strcmp(zone, edge->settings->zone) != 0 &&
		    is_in_region(edge, zone))
			pr_gather_add_loads(&loads, roster, zone, now);
	}
	pr_str_clear(&bytes);
	if (!pr_message_loads(&bytes, edge->settings->host, &loads, &state))
		send_to_followers(edge, &bytes);
	pr_str_finish(&bytes);
	take_load_sum(edge, &loads);
}

static void take_loads(pr_edge_t *edge, pr_host_t *host,
		       const pr_loads_t *loads, const pr_feed_state_t *state,
		       bool from_relay)
{
	if (from_relay)
		take_feed_state(edge, host, state);
	if (from_relay && is_in_zone(edge, host)) {
		if (!edge->peering.is_relay)
			take_load_sum(edge, loads);
		return;
	}
	if (!from_relay)
		pr_roster_reported(host, pr_edge_now(edge));
	keep_loads(edge, host, loads);
}

/* Counts of transitions */

static void keep_tallies(pr_host_t *host, size_t index, uint64_t order_row,
			 const pr_tallies_t *tallies)
{
	pr_host_report_t *report = pr_gather_report(host);

	if (!report)
		return;
	report->transitions[index].order_row = order_row;
	report->transitions[index].tallies = *tallies;
}

static void send_tallies(pr_edge_t *edge, size_t index)
{
	pr_transition_t *transition = edge->transitions[index];
	pr_peering_t *peering = &edge->peering;
	const pr_roster_t *roster = &peering->roster;
	const char *host = edge->settings->host;
	const char *service = transition->order.service;
	uint64_t order = transition->order_row;
	pr_tallies_t sum = { 0 };
	pr_str_t bytes = PR_STR_INIT;
	pr_host_t *self = self_of(edge);

	peering->told[index] = transition->own;
	if (!pr_message_tallies(&bytes, host, service, order, &transition->own,
				false))
		send_to_own_relays(edge, &bytes);
	if (!self || !peering->is_relay)
		goto cleanup;
	keep_tallies(self, index, order, &transition->own);
	pr_gather_zone_tallies(&sum, roster, edge->settings->zone, index,
			       order);
	pr_str_clear(&bytes);
	if (!pr_message_tallies(&bytes, host, service, order, &sum, false)) {
		send_to_other_relays(edge, DISTANCE_REGION, &bytes);
		send_to_other_relays(edge, DISTANCE_OTHER_REGION, &bytes);
	}
	for (size_t i = 0; i < edge->map.count; i++) {
		const char *zone = edge->map.zones[i].name;

		if (strcmp(zone, edge->settings->zone) != 0)
			pr_gather_add_tallies(&sum, roster, zone, index, order);
	}
	transition->peers = pr_gather_others(&sum, &transition->own);
	pr_str_clear(&bytes);
	if (!pr_message_tallies(&bytes, host, service, order, &sum, true))
		send_to_followers(edge, &bytes);

cleanup:
	pr_str_finish(&bytes);
}

static uint32_t total_of(const pr_tallies_t *tallies)
{
	return tallies->fresh.total + tallies->old.total;
}

/* Of two relays the one that has heard of more answers counts. */
static void take_totals(pr_edge_t *edge, size_t index, const pr_tallies_t *all)
{
	pr_peering_t *peering = &edge->peering;
	pr_usec_t now = pr_edge_now(edge);

	if (peering->is_relay ||
	    (total_of(all) < total_of(&peering->totals[index].all) &&
	     now - peering->totals[index].heard_at < TOTALS_AGE_MAX))
		return;
	peering->totals[index].all = *all;
	peering->totals[index].heard_at = now;
	edge->transitions[index]->peers =
		pr_gather_others(all, &peering->told[index]);
}

static void take_tallies(pr_edge_t *edge, pr_host_t *host,
			 const pr_msgmap_t *map)
{
	pr_tallies_t tallies;
	pr_slice_t service;
	uint64_t order;
	bool all;

	if (pr_message_read_tallies(map, &service, &order, &tallies, &all))
		return;
	for (size_t i = 0; i < edge->transitions_count; i++) {
		pr_transition_t *transition = edge->transitions[i];

		if (order != transition->order_row ||
		    !pr_slice_equal(service,
				    pr_slice_of(transition->order.service)))
			continue;
		if (all)
			take_totals(edge, i, &tallies);
		else
			keep_tallies(host, i, order, &tallies);
	}
}

/* Sessions */

static void pass_session(pr_peering_t *peering, const pr_session_seen_t *seen,
			 bool local)
{
	if (peering->passing_count == PR_PASSING_MAX) {
		peering->passing_dropped++;
		return;
	}
	peering->passing[peering->passing_count].seen = *seen;
	peering->passing[peering->passing_count++].local = local;
}

/* A relay passes on what it did not know. */
static void take_sessions(pr_edge_t *edge, const pr_host_t *host,
			  const pr_msgmap_t *map)
{
	pr_session_seen_t seen[PR_SESSIONS_IN_DATAGRAM];
	size_t count =
		pr_message_read_sessions(map, seen, PR_SESSIONS_IN_DATAGRAM);

	for (size_t i = 0; i < count; i++) {
		if (pr_sessions_hear(&edge->sessions, seen[i].hash,
				     seen[i].seen_ms, seen[i].moved) &&
		    edge->peering.is_relay)
			pass_session(&edge->peering, &seen[i],
				     is_in_zone(edge, host));
	}
}

typedef void (*send_fn)(pr_edge_t *edge, const pr_str_t *bytes);

static void send_sessions(pr_edge_t *edge, const pr_session_seen_t *seen,
			  size_t count, send_fn send)
{
	while (count) {
		size_t part = count < PR_SESSIONS_IN_DATAGRAM
				      ? count
				      : PR_SESSIONS_IN_DATAGRAM;
		pr_str_t bytes = PR_STR_INIT;

		if (!pr_message_sessions(&bytes, edge->settings->host, seen,
					 part))
			send(edge, &bytes);
		pr_str_finish(&bytes);
		seen += part;
		count -= part;
	}
}

static void send_to_all_other_relays(pr_edge_t *edge, const pr_str_t *bytes)
{
	send_to_other_relays(edge, DISTANCE_REGION, bytes);
	send_to_other_relays(edge, DISTANCE_OTHER_REGION, bytes);
}

/* Sessions that stay on their version, the old one or the new one. */
static size_t own_sessions(pr_edge_t *edge, const pr_transition_t *transition,
			   pr_session_seen_t *out, size_t max)
{
	pr_peering_t *peering = &edge->peering;
	int64_t now = pr_edge_store_now(edge);
	int64_t active =
		now - (int64_t)(edge->settings->bounds.session_s * 1000);
	pr_sessions_filter_t filter = {
		.moved = pr_transition_keeps_moved(transition, now),
		.share = PR_TRANSITION_FIRST_SHARE,
		.after_ms = peering->sessions_told_ms > active
				    ? peering->sessions_told_ms
				    : active,
	};

	if (filter.moved) {
		/* Those below the share move on every host. */
		filter.from = pr_transition_share(transition, now);
		filter.share = 1;
	} else if (!pr_transition_pins(transition, now)) {
		return 0;
	}
	return pr_sessions_list(&edge->sessions, &filter, out, max);
}

/* Own sessions go to the relays; a relay passes on its own at once. */
static void tell_own_sessions(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;
	int64_t now = pr_edge_store_now(edge);
	pr_session_seen_t seen[PR_SESSIONS_IN_DATAGRAM];

	for (size_t i = 0; i < edge->transitions_count; i++) {
		const pr_transition_t *transition = edge->transitions[i];
		size_t count;

		if (!pr_transition_keeps_moved(transition, now) &&
		    peering->ticks % STAYING_PERIODS)
			continue;
		count = own_sessions(edge, transition, seen,
				     PR_SESSIONS_IN_DATAGRAM);
		send_sessions(edge, seen, count, send_to_own_relays);
		for (size_t j = 0; j < count && peering->is_relay; j++)
			pass_session(peering, &seen[j], true);
		/* Told twice, since datagrams may be lost. */
		peering->sessions_told_ms =
			now - 10 -
			(pr_transition_keeps_moved(transition, now)
				 ? 1
				 : STAYING_PERIODS) *
				SESSIONS_PERIOD / PR_USEC_PER_MSEC;
	}
}

static void pass_sessions(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;
	pr_session_seen_t all[PR_PASSING_MAX];
	pr_session_seen_t local[PR_PASSING_MAX];
	size_t local_count = 0;
	bool urgent = !(peering->ticks % STAYING_PERIODS);

	for (size_t i = 0; i < peering->passing_count && !urgent; i++)
		urgent = peering->passing[i].seen.moved;
	if (!urgent)
		return;
	for (size_t i = 0; i < peering->passing_count; i++) {
		all[i] = peering->passing[i].seen;
		if (peering->passing[i].local)
			local[local_count++] = peering->passing[i].seen;
	}
	send_sessions(edge, all, peering->passing_count, send_to_followers);
	send_sessions(edge, local, local_count, send_to_all_other_relays);
	peering->passing_count = 0;
	if (!peering->passing_dropped)
		return;
	pr_event_state("sessions_not_passed", "count=%llu",
		       (unsigned long long)peering->passing_dropped);
	peering->passing_dropped = 0;
}

/* A session is active as long as a request of it is in work. */
static void note_running(pr_edge_t *edge)
{
	int64_t now = pr_edge_store_now(edge);

	if (now - edge->peering.sessions_noted_ms < RUNNING_NOTE_MS)
		return;
	edge->peering.sessions_noted_ms = now;
	for (pr_list_t *at = edge->callers.next; at != &edge->callers;
	     at = at->next) {
		pr_caller_t *caller = PR_OWNER(at, pr_caller_t, node);

		if (caller->exchange.active)
			pr_exchange_note_session(&caller->exchange);
	}
}

static void on_sessions(pr_timer_t *timer, pr_usec_t now)
{
	pr_edge_t *edge = timer->data;

	edge->peering.ticks++;
	note_running(edge);
	tell_own_sessions(edge);
	pass_sessions(edge);
}

/* Receipt */

static void take(pr_edge_t *edge, pr_slice_t bytes)
{
	pr_message_rows_t rows;
	pr_feed_state_t state;
	pr_loads_t loads;
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
	if (!pr_message_read_loads(&map, &loads, &state, &from_relay)) {
		take_loads(edge, host, &loads, &state, from_relay);
	} else if (!pr_message_read_rows(&map, &rows)) {
		pr_watch_take_rows(edge, &rows);
		pr_message_rows_finish(&rows);
	} else {
		take_sessions(edge, host, &map);
		take_tallies(edge, host, &map);
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
		take(udp->data, pr_slice(buf->base, (size_t)len));
}

/* Relays of this zone, and whether this host is one. */
static void choose_relays(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;
	pr_roster_t *roster = &peering->roster;
	pr_usec_t now = pr_edge_now(edge);
	bool was_relay = peering->is_relay;
	bool fed = is_current(edge);

	peering->relays_count = pr_roster_relays(roster, edge->settings->zone,
						 fed, now, peering->relays);
	peering->is_relay = false;
	for (size_t i = 0; i < peering->relays_count; i++)
		peering->is_relay |=
			pr_roster_is_self(roster, peering->relays[i]);
	for (size_t i = 0; i < roster->count && !peering->is_relay; i++)
		peering->is_relay = is_follower(edge, roster->hosts[i]);
	if (was_relay != peering->is_relay)
		pr_event_state(peering->is_relay ? "relay_began"
						 : "relay_ended",
			       "zone=%s hosts=%zu fed=%d", edge->settings->zone,
			       roster->count, fed);
}

static bool has_running_transition(const pr_edge_t *edge)
{
	for (size_t i = 0; i < edge->transitions_count; i++) {
		if (edge->transitions[i]->state == PR_ROLLOUT_RUNNING)
			return true;
	}
	return false;
}

static void on_period(pr_timer_t *timer, pr_usec_t now)
{
	pr_edge_t *edge = timer->data;
	pr_peering_t *peering = &edge->peering;

	choose_relays(edge);
	update_reader(edge);
	report_loads(edge);
	for (size_t i = 0; i < edge->transitions_count; i++) {
		if (edge->transitions[i]->state == PR_ROLLOUT_RUNNING)
			send_tallies(edge, i);
	}
	if (peering->is_relay)
		send_digests(edge, has_running_transition(edge) ||
					   !(peering->ticks / STAYING_PERIODS %
					     DISTANT_PERIODS));
	pr_watches_tick(edge);
}

int pr_peering_start(pr_edge_t *edge)
{
	pr_peering_t *peering = &edge->peering;
	int rc;

	peering->edge = edge;
	if (pr_roster_init(&peering->roster, edge->settings->host))
		return pr_error_set(PR_ENOMEM, "no memory for hosts");
	uv_udp_init(edge->loop, &peering->udp);
	peering->udp.data = edge;
	rc = uv_udp_bind(&peering->udp,
			 (const struct sockaddr *)&edge->settings->at.peer, 0);
	if (!rc)
		rc = uv_udp_recv_start(&peering->udp, on_alloc, on_datagram);
	if (rc)
		return pr_error_set(PR_EIO, "listen for hosts: %s",
				    uv_strerror(rc));
	peering->period.data = edge;
	pr_timers_subscribe(&edge->timers, &peering->period, SEND_PERIOD,
			    SEND_PERIOD, on_period);
	peering->sessions_timer.data = edge;
	pr_timers_subscribe(&edge->timers, &peering->sessions_timer,
			    SESSIONS_PERIOD, SESSIONS_PERIOD, on_sessions);
	return 0;
}

void pr_peering_finish(pr_edge_t *edge)
{
	pr_timers_unsubscribe(&edge->timers, &edge->peering.period);
	pr_timers_unsubscribe(&edge->timers, &edge->peering.sessions_timer);
	pr_roster_finish(&edge->peering.roster);
}
