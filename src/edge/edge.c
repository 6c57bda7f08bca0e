/*
 * The entry daemon: initialization, event loop, periodic housekeeping, reload
 * and stop.
 */
#include "edge/edge.h"

#include <stdlib.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "edge/daemon.h"
#include "pistachiorack/error.h"

/* Most time series of the metrics. */
#define SERIES_MAX 256
/* Longest time for a connection to an upstream to be established: a round trip
 * between regions, and one more until the listener accepts the connection. */
#define CONNECT_TIMEOUT (500 * PR_USEC_PER_MSEC)
/* Timers that are later than this show that the process was paused. */
#define TIMER_LATENESS_MAX (20 * PR_USEC_PER_MSEC)
/* Period of the expiry of upstreams, the closing of idle connections and the
 * judgement of transitions. */
#define HOUSEKEEPING_PERIOD (100 * PR_USEC_PER_MSEC)
/* Connections are kept open for this long after the begin of a stop. The
 * balancer checks readiness once a second and removes a host after two failed
 * checks. */
#define BALANCER_DETECTION (2600 * PR_USEC_PER_MSEC)
/* Part of the grace time after which the remaining requests are aborted, per
 * cent.
 */
#define GRACE_PERCENT 92
/* New connections are refused for this long before the remaining requests are
 * aborted, so that the requests of all accepted ones are read and answered. */
#define LAST_CONNECTIONS_TIME (500 * PR_USEC_PER_MSEC)
/* Part of the descriptors for files, listeners, the store and other hosts, per
 * cent, and the most of them. The platform keeps 200 of a machine's for files.
 */
#define RESERVED_PERCENT 25
#define RESERVED_MAX     260
/* Part of the other descriptors for connections of callers, per cent. */
#define CALLERS_PERCENT 60
/* Period of the checks whether a stop is complete. */
#define STOP_POLL (50 * PR_USEC_PER_MSEC)

pr_usec_t pr_edge_now(pr_edge_t *edge)
{
	pr_usec_t now = (pr_usec_t)(uv_hrtime() / 1000);

	if (now > edge->timers.now)
		edge->timers.now = now;
	return edge->timers.now;
}

int64_t pr_edge_store_now(pr_edge_t *edge)
{
	return edge->store_clock.offset_ms +
	       pr_edge_now(edge) / PR_USEC_PER_MSEC;
}

bool pr_edge_is_ready(const pr_edge_t *edge)
{
	return edge->routing && edge->registry.initial_read_done &&
	       edge->watches[PR_TABLE_ORDERS].extent.version.number &&
	       edge->watches[PR_TABLE_SHARED].extent.version.number;
}

uint32_t pr_edge_hosts_count(const pr_edge_t *edge)
{
	size_t count = edge->peering.roster.count;

	return count ? (uint32_t)count : 1;
}

pr_repeat_budget_t *pr_edge_repeat_budget(pr_edge_t *edge, const char *service)
{
	size_t i = 0;

	while (i < edge->services_count &&
	       strcmp(edge->services[i].name, service) != 0)
		i++;
	if (i == PR_SERVICES_MAX)
		return NULL;
	if (i == edge->services_count) {
		if (pr_slice_copy(edge->services[i].name,
				  sizeof(edge->services[i].name),
				  pr_slice_of(service)))
			return NULL;
		pr_repeat_budget_init(
			&edge->services[i].budget,
			(pr_usec_t)(edge->settings->bounds.repeats_window_s *
				    PR_USEC_PER_SEC));
		edge->services_count++;
	}
	return &edge->services[i].budget;
}

static void on_wake(uv_timer_t *timer)
{
	/* The timer only wakes the loop; on_check() runs the due timers. */
}

/*
 * Due timers run after the sockets are read, so that what arrived during a
 * pause of this process is not taken for missing. A poll that the pause
 * interrupted has read nothing, so the loop polls once more before late timers
 * run.
 */
static void on_check(uv_check_t *check)
{
	pr_edge_t *edge = check->data;
	pr_usec_t now = pr_edge_now(edge);
	bool late = now - pr_timers_next(&edge->timers) > TIMER_LATENESS_MAX;

	if (late && !edge->timers_postponed) {
		edge->timers_postponed = true;
		return;
	}
	edge->timers_postponed = false;
	pr_event_log_tick(now);
	pr_timers_advance(&edge->timers, now);
}

static void on_prepare(uv_prepare_t *prepare)
{
	pr_edge_t *edge = prepare->data;
	pr_usec_t now = pr_edge_now(edge);
	pr_usec_t next;
	uint64_t delay;

	pr_event_log_tick(now);
	pr_event_log_flush();
	next = pr_timers_next(&edge->timers);
	if (next == PR_USEC_NEVER)
		return;
	now = pr_edge_now(edge);
	delay = next > now ? (uint64_t)((next - now + 999) / 1000) : 0;
	uv_update_time(edge->loop);
	uv_timer_start(&edge->wake_timer, on_wake, delay, 0);
}

static void on_housekeeping(pr_timer_t *timer, pr_usec_t now)
{
	pr_edge_t *edge = timer->data;

	pr_registry_expire(&edge->registry, now);
	pr_edge_end_lost_evacuations(edge);
	for (pr_list_t *at = edge->registry.upstreams.next;
	     at != &edge->registry.upstreams; at = at->next)
		pr_outbound_close_idle(PR_OWNER(at, pr_upstream_t, node), now,
				       false);
	pr_edge_update_shared_rows(edge);
}

pr_usec_t pr_edge_abort_time(const pr_edge_t *edge)
{
	return edge->stop_began +
	       (pr_usec_t)(edge->settings->bounds.grace_s * PR_USEC_PER_SEC) *
		       GRACE_PERCENT / 100;
}

bool pr_edge_close_idle_upstreams(pr_edge_t *edge)
{
	size_t before = edge->pool.count;

	for (pr_list_t *at = edge->registry.upstreams.next;
	     at != &edge->registry.upstreams; at = at->next)
		pr_outbound_close_idle(PR_OWNER(at, pr_upstream_t, node),
				       pr_edge_now(edge), true);
	return edge->pool.count < before;
}

static void on_stop_poll(pr_timer_t *timer, pr_usec_t now)
{
	pr_edge_t *edge = timer->data;
	pr_usec_t abort_time = pr_edge_abort_time(edge);

	if (now - edge->stop_began < BALANCER_DETECTION)
		return;
	pr_callers_close_idle(edge);
	if (now >= abort_time) {
		pr_callers_abort_exchanges(edge);
		uv_stop(edge->loop);
	} else if (now >= abort_time - LAST_CONNECTIONS_TIME) {
		pr_callers_stop_listening(edge);
	}
	if (pr_list_empty(&edge->callers) && pr_callers_stop_listening(edge))
		uv_stop(edge->loop);
}

void pr_edge_stop(pr_edge_t *edge)
{
	if (edge->stopping)
		return;
	edge->stopping = true;
	edge->stop_began = pr_edge_now(edge);
	pr_event_state("stopping", "requests=%zu grace_s=%g",
		       edge->exchanges_count, edge->settings->bounds.grace_s);
	edge->stop_timer.data = edge;
	pr_timers_subscribe(&edge->timers, &edge->stop_timer, STOP_POLL,
			    STOP_POLL, on_stop_poll);
}

static void log_ignored_zones(const pr_edge_settings_t *settings)
{
	if (settings->zones_ignored)
		pr_event_state("zones_ignored",
			       "count=%u reason=\"no name with a region\"",
			       settings->zones_ignored);
}

void pr_edge_reload(pr_edge_t *edge)
{
	pr_edge_settings_t *settings;

	if (pr_edge_settings_load(&settings, edge->settings_path)) {
		pr_event_state("reload_refused", "error=\"%s\"",
			       pr_error_last());
		return;
	}
	/* Only the bounds can change while the process runs. */
	edge->settings->bounds = settings->bounds;
	log_ignored_zones(settings);
	pr_edge_settings_free(settings);
	pr_event_state("reloaded", "path=%s", edge->settings_path);
}

static int init_map(pr_edge_t *edge)
{
	const pr_edge_settings_t *settings = edge->settings;

	edge->map.zones = calloc(settings->zones_count, sizeof(pr_zone_t));
	edge->evacuation_ends =
		calloc(settings->zones_count, sizeof(pr_usec_t));
	if (!edge->map.zones || !edge->evacuation_ends)
		return pr_error_set(PR_ENOMEM,
				    "out of memory for the list of zones");
	edge->map.count = settings->zones_count;
	edge->map.zone = settings->zone;
	edge->map.region = settings->region;
	for (size_t i = 0; i < edge->map.count; i++) {
		pr_zone_t *zone = &edge->map.zones[i];

		pr_slice_copy(zone->name, sizeof(zone->name),
			      pr_slice_of(settings->zones[i].name));
		pr_slice_copy(zone->region, sizeof(zone->region),
			      pr_slice_of(settings->zones[i].region));
	}
	return 0;
}

static void init_metrics(pr_edge_t *edge)
{
	pr_edge_metrics_t *counters = &edge->counters;
	const struct {
		pr_metric_t **at;
		const char *name;
	} list[] = {
		{ &counters->requests, "edge_requests_total" },
		{ &counters->answered, "edge_answered_total" },
		{ &counters->refused, "edge_refused_total" },
		{ &counters->failed, "edge_failed_total" },
		{ &counters->callers_gone, "edge_callers_gone_total" },
		{ &counters->repeats, "edge_repeats_total" },
		{ &counters->escalations, "edge_escalations_total" },
		{ &counters->resumes, "edge_resumes_total" },
		{ &counters->not_found, "edge_not_found_total" },
		{ &counters->unauthorized, "edge_unauthorized_total" },
		{ &counters->malformed, "edge_malformed_total" },
		{ &counters->datagrams, "edge_datagrams_sent_total" },
		{ &counters->datagram_bytes, "edge_datagram_bytes_total" },
		{ &counters->quarantined, "edge_quarantined_total" },
		{ &counters->memory_waits, "edge_memory_waits_total" },
		{ &counters->memory_shed, "edge_memory_shed_total" },
		{ &counters->connections_shed, "edge_connections_shed_total" },
		{ &counters->memory_limit, "edge_memory_limit_bytes" },
		{ &counters->memory_peak, "edge_memory_peak_bytes" },
		{ &counters->callers_open, "edge_callers_open" },
		{ &counters->held_tokens, "edge_held_tokens_total" },
		{ &counters->prompt_tokens, "edge_prompt_tokens_total" },
		{ &counters->off_first_rank, "edge_off_first_rank_total" },
		{ &counters->store_era, "edge_store_era" },
		{ &counters->rows_reread, "edge_store_rows_reread_total" },
	};

	pr_metrics_init(&edge->metrics, SERIES_MAX);
	for (size_t i = 0; i < sizeof(list) / sizeof(list[0]); i++)
		*list[i].at =
			pr_metrics_series(&edge->metrics, list[i].name, "");
	for (int use = 0; use < PR_MEMORY_USES_COUNT; use++) {
		char label[32];

		snprintf(label, sizeof(label), "use=\"%s\"",
			 pr_memory_use_name((pr_memory_use_t)use));
		counters->memory_held[use] = pr_metrics_series(
			&edge->metrics, "edge_memory_bytes", label);
	}
	counters->first_byte = pr_metrics_histogram(
		&edge->metrics, "edge_first_byte_microseconds", "");
	counters->total = pr_metrics_histogram(&edge->metrics,
					       "edge_request_microseconds", "");
}

/* Divide the descriptors between callers and upstreams, which need one each for
 * a request. Callers get more, since they keep idle connections. */
static void share_descriptors(pr_edge_t *edge)
{
	size_t all = (size_t)edge->settings->descriptors;
	size_t reserved = all * RESERVED_PERCENT / 100;
	size_t shared =
		all - (reserved < RESERVED_MAX ? reserved : RESERVED_MAX);

	edge->callers_max = shared * CALLERS_PERCENT / 100;
	edge->pool.max = shared - edge->callers_max;
}

int pr_edge_init(pr_edge_t *edge, uv_loop_t *loop, const char *path)
{
	int rc;

	memset(edge, 0, sizeof(*edge));
	edge->loop = loop;
	edge->settings_path = path;
	rc = pr_edge_settings_load(&edge->settings, path);
	if (rc)
		return rc;
	pr_event_log_init(edge->settings->host);
	edge->host_hash =
		XXH64(edge->settings->host, strlen(edge->settings->host), 0);
	pr_timers_init(&edge->timers, (pr_usec_t)(uv_hrtime() / 1000));
	pr_event_log_tick(edge->timers.now);
	edge->started_at = edge->timers.now;
	pr_registry_init(&edge->registry);
	rc = pr_kept_init(&edge->kept,
			  (pr_usec_t)(edge->settings->kept_prompts.window_s *
				      PR_USEC_PER_SEC));
	if (rc)
		return rc;
	init_metrics(edge);
	pr_memory_init(&edge->memory, edge->settings->memory_mb);
	pr_list_init(&edge->memory_waiters);
	share_descriptors(edge);
	edge->pool = (pr_outbound_pool_t){
		.loop = loop,
		.timers = &edge->timers,
		.connect_timeout = CONNECT_TIMEOUT,
		.max = edge->pool.max,
	};
	uv_prepare_init(loop, &edge->prepare);
	edge->prepare.data = edge;
	uv_prepare_start(&edge->prepare, on_prepare);
	uv_check_init(loop, &edge->check);
	edge->check.data = edge;
	uv_check_start(&edge->check, on_check);
	uv_timer_init(loop, &edge->wake_timer);
	rc = init_map(edge);
	if (!rc)
		rc = pr_callers_listen(edge);
	if (!rc)
		rc = pr_admin_listen(edge);
	if (!rc)
		rc = pr_peering_start(edge);
	if (!rc)
		rc = pr_watches_start(edge);
	if (rc)
		return rc;
	edge->housekeeping_timer.data = edge;
	pr_timers_subscribe(&edge->timers, &edge->housekeeping_timer,
			    HOUSEKEEPING_PERIOD, HOUSEKEEPING_PERIOD,
			    on_housekeeping);
	log_ignored_zones(edge->settings);
	pr_event_state("started", "zone=%s region=%s listen=%s",
		       edge->settings->zone, edge->settings->region,
		       edge->settings->listen);
	return 0;
}
