/*
 * Hosts tell each other by datagrams what each can only see of itself: answers
 * of both versions of a transition, to all; load on upstreams, to the hosts of
 * the same zone, which use the same upstreams. Counts are cumulative, so a lost
 * datagram costs nothing but time.
 */
#include <stdlib.h>

#include "base/event_log.h"
#include "base/address.h"
#include "base/msgmap.h"
#include "edge/caller.h"
#include "edge/edge.h"
#include "pistachiorack/error.h"
#include "platform/adapter.h"

#define SEND_PERIOD (200 * PR_USEC_PER_MSEC)
/* A session that two hosts use within this time, at the moment when it may
 * move, can be on both versions; only sessions that were used are told. */
#define SESSIONS_PERIOD (40 * PR_USEC_PER_MSEC)
/* Sessions of requests in work are told again after this time, milliseconds. */
#define RUNNING_NOTE_MS 2000
/* A report older than this says nothing of the load any more. */
#define REPORT_MAX_AGE (1500 * PR_USEC_PER_MSEC)
#define DATAGRAM_MAX   1400
#define SESSIONS_MAX   80
#define LOADS_MAX      (sizeof(((pr_host_t *)0)->loads) / 12)

/* Fields of a datagram with the newest row of each table. */
static const char *const table_names[PR_TABLES_COUNT] = {
	[PR_TABLE_ORDERS] = "orders",
	[PR_TABLE_UPSTREAMS] = "upstreams",
	[PR_TABLE_SHARED] = "shared",
};

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

static void send_to(pr_edge_t *edge, const pr_host_t *host,
		    const pr_str_t *bytes)
{
	send_t *send = calloc(1, sizeof(*send));
	uv_buf_t buf;

	if (!send)
		return;
	if (pr_str_append(&send->bytes, bytes->ptr, bytes->len)) {
		free(send);
		return;
	}
	buf = uv_buf_init(send->bytes.ptr, (unsigned)send->bytes.len);
	if (uv_udp_send(&send->request, &edge->udp, &buf, 1,
			(const struct sockaddr *)&host->address, on_sent)) {
		pr_str_finish(&send->bytes);
		free(send);
	}
}

static bool is_self(const pr_edge_t *edge, const pr_host_t *host)
{
	return !strcmp(host->name, edge->settings->host);
}

static pr_host_t *find_host(pr_edge_t *edge, pr_slice_t name)
{
	for (size_t i = 0; i < edge->hosts_count; i++) {
		if (pr_slice_equal(name, pr_slice_of(edge->hosts[i].name)))
			return &edge->hosts[i];
	}
	return NULL;
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

/* A row is "ADDRESS:PORT ZONE". */
void pr_peering_host(pr_edge_t *edge, const char *name, pr_slice_t row,
		     bool removed)
{
	const char *space = row.len ? memchr(row.ptr, ' ', row.len) : NULL;
	pr_host_t *host = find_host(edge, pr_slice_of(name));
	pr_host_t *grown;
	size_t address_len;

	if (removed || !space)
		return;
	if (!strcmp(name, edge->settings->host) && is_own_row(edge, row))
		edge->registered = true;
	address_len = (size_t)(space - row.ptr);
	if (!host) {
		if (edge->hosts_count == PR_HOSTS_MAX)
			return;
		grown = realloc(edge->hosts,
				(edge->hosts_count + 1) * sizeof(pr_host_t));
		if (!grown)
			return;
		edge->hosts = grown;
		host = &grown[edge->hosts_count++];
		memset(host, 0, sizeof(*host));
		if (pr_slice_copy(host->name, sizeof(host->name),
				  pr_slice_of(name))) {
			edge->hosts_count--;
			return;
		}
	}
	pr_slice_copy(host->zone, sizeof(host->zone),
		      pr_slice(space + 1, row.len - address_len - 1));
	if (pr_address_parse(&host->address, pr_slice(row.ptr, address_len)))
		pr_event_state("host_unreadable", "host=%s", name);
	else
		pr_event_state("host", "name=%s zone=%s", name, host->zone);
}

int pr_peering_row(const pr_edge_t *edge, pr_str_t *value)
{
	return pr_str_appendf(value, "%s %s", edge->settings->peer,
			      edge->settings->zone);
}

/* Fields of a tally, behind the version that it counts. */
static const char *const tally_fields[] = { "total", "bad",  "who",
					    "timed", "slow", "slow_who" };
#define TALLY_FIELDS (sizeof(tally_fields) / sizeof(tally_fields[0]))

static void tally_name(char name[24], const char *prefix, size_t field)
{
	snprintf(name, 24, "%s_%s", prefix, tally_fields[field]);
}

static int pack_tally(msgpack_packer *packer, const char *prefix,
		      const pr_tally_t *tally)
{
	const uint64_t values[TALLY_FIELDS] = {
		tally->total, tally->bad,  tally->bad_upstreams,
		tally->timed, tally->slow, tally->slow_upstreams,
	};
	char name[24];
	int rc = 0;

	for (size_t i = 0; i < TALLY_FIELDS && !rc; i++) {
		tally_name(name, prefix, i);
		rc = pr_msgmap_pack_number(packer, name, values[i]);
	}
	return rc;
}

static void send_transition(pr_edge_t *edge, const pr_transition_t *transition)
{
	pr_str_t bytes = PR_STR_INIT;
	msgpack_packer packer;
	int rc;

	pr_msgmap_packer(&packer, &bytes);
	rc = msgpack_pack_map(&packer, 3 + 2 * TALLY_FIELDS);
	if (!rc)
		rc = pr_msgmap_pack_text(&packer, "host",
					 pr_slice_of(edge->settings->host));
	if (!rc)
		rc = pr_msgmap_pack_text(
			&packer, "service",
			pr_slice_of(transition->order.service));
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "order",
					   transition->order_row);
	if (!rc)
		rc = pack_tally(&packer, "new", &transition->own.fresh);
	if (!rc)
		rc = pack_tally(&packer, "old", &transition->own.old);
	for (size_t i = 0; i < edge->hosts_count && !rc; i++) {
		if (!is_self(edge, &edge->hosts[i]))
			send_to(edge, &edge->hosts[i], &bytes);
	}
	pr_str_finish(&bytes);
}

/* Field of a datagram by what it says of the sessions in it. */
static const char *const session_fields[] = { "sessions", "moved" };

/* Sessions as 16-byte records: hash, time. */
static int pack_sessions(pr_str_t *bytes, pr_edge_t *edge, bool moved,
			 const pr_session_seen_t *seen, size_t count)
{
	pr_str_t records = PR_STR_INIT;
	msgpack_packer packer;
	int rc = 0;

	for (size_t i = 0; i < count && !rc; i++) {
		uint64_t record[2] = { seen[i].hash,
				       (uint64_t)seen[i].seen_ms };

		rc = pr_str_append(&records, record, sizeof(record));
	}
	pr_msgmap_packer(&packer, bytes);
	if (!rc)
		rc = msgpack_pack_map(&packer, 2);
	if (!rc)
		rc = pr_msgmap_pack_text(&packer, "host",
					 pr_slice_of(edge->settings->host));
	if (!rc)
		rc = pr_msgmap_pack_text(&packer, session_fields[moved],
					 pr_str_slice(&records));
	pr_str_finish(&records);
	return rc;
}

/* Sessions that stay on their version, the old one or the new one. */
static void send_sessions(pr_edge_t *edge, const pr_transition_t *transition)
{
	int64_t now = pr_edge_store_now(edge);
	int64_t active =
		now - (int64_t)(edge->settings->bounds.session_s * 1000);
	pr_sessions_filter_t filter = {
		.moved = pr_transition_keeps_moved(transition, now),
		.share = PR_TRANSITION_FIRST_SHARE,
		.after_ms = edge->sessions_told_ms > active
				    ? edge->sessions_told_ms
				    : active,
	};
	pr_session_seen_t seen[SESSIONS_MAX];
	pr_str_t bytes = PR_STR_INIT;
	size_t count;
	int rc;

	if (filter.moved)
		filter.share = 1;
	else if (!pr_transition_pins(transition, now))
		return;
	count = pr_sessions_list(&edge->sessions, &filter, seen, SESSIONS_MAX);
	/* Told twice, since datagrams may be lost. */
	edge->sessions_told_ms = now - SESSIONS_PERIOD / PR_USEC_PER_MSEC - 10;
	rc = pack_sessions(&bytes, edge, filter.moved, seen, count);
	for (size_t i = 0; i < edge->hosts_count && !rc && count; i++) {
		if (!is_self(edge, &edge->hosts[i]))
			send_to(edge, &edge->hosts[i], &bytes);
	}
	pr_str_finish(&bytes);
}

static void take_sessions(pr_edge_t *edge, pr_slice_t records, bool moved)
{
	uint64_t record[2];

	while (records.len >= sizeof(record)) {
		memcpy(record, records.ptr, sizeof(record));
		pr_sessions_hear(&edge->sessions, record[0], (int64_t)record[1],
				 moved);
		records = pr_slice(records.ptr + sizeof(record),
				   records.len - sizeof(record));
	}
}

/* Loads as a row of 12-byte records: tag, requests, time to read. */
static void send_loads(pr_edge_t *edge)
{
	pr_str_t bytes = PR_STR_INIT, records = PR_STR_INIT;
	msgpack_packer packer;
	int rc = 0;

	for (pr_list_t *at = edge->registry.upstreams.next;
	     at != &edge->registry.upstreams && !rc; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);
		uint32_t record[3] = { upstream->tag, upstream->in_flight,
				       (uint32_t)upstream->waiting_ms };

		if (upstream->in_flight &&
		    records.len + sizeof(record) < DATAGRAM_MAX - 200)
			rc = pr_str_append(&records, record, sizeof(record));
	}
	pr_msgmap_packer(&packer, &bytes);
	if (!rc)
		rc = msgpack_pack_map(&packer, 2 + PR_TABLES_COUNT);
	if (!rc)
		rc = pr_msgmap_pack_text(&packer, "host",
					 pr_slice_of(edge->settings->host));
	if (!rc)
		rc = pr_msgmap_pack_text(&packer, "loads",
					 pr_str_slice(&records));
	for (int i = 0; i < PR_TABLES_COUNT && !rc; i++)
		rc = pr_msgmap_pack_number(&packer, table_names[i],
					   edge->watches[i].newest);
	for (size_t i = 0; i < edge->hosts_count && !rc; i++) {
		pr_host_t *host = &edge->hosts[i];

		if (!is_self(edge, host) &&
		    !strcmp(host->zone, edge->settings->zone))
			send_to(edge, host, &bytes);
	}
	pr_str_finish(&bytes);
	pr_str_finish(&records);
}

/* What a host of the zone has read of the store tells of a lost feed here. */
static void take_versions(pr_edge_t *edge, const pr_msgmap_t *map)
{
	uint64_t newest;

	for (int i = 0; i < PR_TABLES_COUNT; i++) {
		if (!pr_msgmap_number(map, &newest, table_names[i]))
			pr_watch_peer(edge, (pr_store_table_t)i, newest);
	}
}

static void sum_loads(pr_edge_t *edge)
{
	pr_usec_t now = pr_edge_now(edge);

	for (pr_list_t *at = edge->registry.upstreams.next;
	     at != &edge->registry.upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);

		upstream->peers_in_flight = 0;
		upstream->peers_waiting_ms = 0;
		for (size_t i = 0; i < edge->hosts_count; i++) {
			const pr_host_t *host = &edge->hosts[i];

			if (now - host->heard_at > REPORT_MAX_AGE)
				continue;
			for (size_t j = 0; j < host->loads_count; j++) {
				if (host->loads[j].tag != upstream->tag)
					continue;
				upstream->peers_in_flight +=
					host->loads[j].in_flight;
				upstream->peers_waiting_ms +=
					host->loads[j].waiting_ms;
			}
		}
	}
}

static void sum_tallies(pr_edge_t *edge, size_t index)
{
	pr_transition_t *transition = edge->transitions[index];
	pr_tallies_t sum = { 0 };

	for (size_t i = 0; i < edge->hosts_count; i++) {
		const pr_tallies_t *tallies =
			&edge->hosts[i].transitions[index].tallies;

		if (edge->hosts[i].transitions[index].order_row !=
		    transition->order_row)
			continue;
		pr_tally_add(&sum.fresh, &tallies->fresh);
		pr_tally_add(&sum.old, &tallies->old);
	}
	transition->peers = sum;
}

static void read_tally(const pr_msgmap_t *map, const char *prefix,
		       pr_tally_t *tally)
{
	uint64_t values[TALLY_FIELDS] = { 0 };
	char name[24];

	for (size_t i = 0; i < TALLY_FIELDS; i++) {
		tally_name(name, prefix, i);
		if (pr_msgmap_number(map, &values[i], name))
			return;
	}
	*tally = (pr_tally_t){
		.total = (uint32_t)values[0],
		.bad = (uint32_t)values[1],
		.bad_upstreams = values[2],
		.timed = (uint32_t)values[3],
		.slow = (uint32_t)values[4],
		.slow_upstreams = values[5],
	};
}

static void take_transition(pr_edge_t *edge, pr_host_t *host,
			    const pr_msgmap_t *map, pr_slice_t service)
{
	uint64_t order;

	for (size_t i = 0; i < edge->transitions_count; i++) {
		pr_transition_t *transition = edge->transitions[i];

		if (!pr_slice_equal(service,
				    pr_slice_of(transition->order.service)) ||
		    pr_msgmap_number(map, &order, "order") ||
		    order != transition->order_row)
			continue;
		host->transitions[i].order_row = order;
		read_tally(map, "new", &host->transitions[i].tallies.fresh);
		read_tally(map, "old", &host->transitions[i].tallies.old);
		sum_tallies(edge, i);
	}
}

static void take_loads(pr_edge_t *edge, pr_host_t *host, pr_slice_t records)
{
	size_t count = records.len / 12;

	host->heard_at = pr_edge_now(edge);
	if (count > LOADS_MAX)
		count = LOADS_MAX;
	memcpy(host->loads, records.ptr, count * 12);
	host->loads_count = count;
}

static void take_host(pr_edge_t *edge, pr_host_t *host, const pr_msgmap_t *map,
		      pr_slice_t loads)
{
	take_loads(edge, host, loads);
	take_versions(edge, map);
}

static void take(pr_edge_t *edge, pr_slice_t bytes)
{
	pr_slice_t name, text;
	pr_msgmap_t map;
	pr_host_t *host;

	if (pr_msgmap_init(&map, bytes)) {
		pr_event("datagram_refused", "error=\"%s\"", pr_error_last());
		return;
	}
	host = pr_msgmap_text(&map, &name, "host") ? NULL
						   : find_host(edge, name);
	if (host && !pr_msgmap_text(&map, &text, "loads"))
		take_host(edge, host, &map, text);
	else if (host && !pr_msgmap_text(&map, &text, session_fields[false]))
		take_sessions(edge, text, false);
	else if (host && !pr_msgmap_text(&map, &text, session_fields[true]))
		take_sessions(edge, text, true);
	else if (host && !pr_msgmap_text(&map, &text, "service"))
		take_transition(edge, host, &map, text);
	pr_msgmap_finish(&map);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char datagram[DATAGRAM_MAX + 200];

	*buf = uv_buf_init(datagram, sizeof(datagram));
}

static void on_datagram(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags)
{
	if (len > 0 && from)
		take(udp->data, pr_slice(buf->base, (size_t)len));
}

static void on_period(pr_timer_t *timer, pr_usec_t now)
{
	pr_edge_t *edge = timer->data;

	sum_loads(edge);
	send_loads(edge);
	for (size_t i = 0; i < edge->transitions_count; i++) {
		if (edge->transitions[i]->state != PR_ROLLOUT_RUNNING)
			continue;
		send_transition(edge, edge->transitions[i]);
	}
}

/* A session is active as long as a request of it is in work. */
static void note_running(pr_edge_t *edge)
{
	int64_t now = pr_edge_store_now(edge);

	if (now - edge->sessions_noted_ms < RUNNING_NOTE_MS)
		return;
	edge->sessions_noted_ms = now;
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

	note_running(edge);
	for (size_t i = 0; i < edge->transitions_count; i++)
		send_sessions(edge, edge->transitions[i]);
}

int pr_peering_start(pr_edge_t *edge)
{
	int rc;

	uv_udp_init(edge->loop, &edge->udp);
	edge->udp.data = edge;
	rc = uv_udp_bind(&edge->udp,
			 (const struct sockaddr *)&edge->settings->at.peer, 0);
	if (!rc)
		rc = uv_udp_recv_start(&edge->udp, on_alloc, on_datagram);
	if (rc)
		return pr_error_set(PR_EIO, "listen for hosts: %s",
				    uv_strerror(rc));
	edge->peers_timer.data = edge;
	pr_timers_subscribe(&edge->timers, &edge->peers_timer, SEND_PERIOD,
			    SEND_PERIOD, on_period);
	edge->sessions_timer.data = edge;
	pr_timers_subscribe(&edge->timers, &edge->sessions_timer,
			    SESSIONS_PERIOD, SESSIONS_PERIOD, on_sessions);
	return 0;
}

void pr_peering_finish(pr_edge_t *edge)
{
	pr_timers_unsubscribe(&edge->timers, &edge->peers_timer);
	pr_timers_unsubscribe(&edge->timers, &edge->sessions_timer);
	free(edge->hosts);
	edge->hosts = NULL;
	edge->hosts_count = 0;
}
