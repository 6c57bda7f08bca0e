/* Construction, the clock and graceful shutdown. */
#include "router/router.h"

#include <openssl/rand.h>
#include <time.h>

#include "base/msgpack_check.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/log.h"
#include "router/exchange.h"
#include "router/member_task.h"
#include "router/test_off.h"

#define SERIES_MAX         4096
#define CALLER_CHECK_EVERY (250 * PR_USEC_PER_MSEC)
/* Four objectives for each of 250 workspaces. */
#define BURN_SERIES_MAX   1000
#define STOP_CHECK_EVERY  (20 * PR_USEC_PER_MSEC)
#define ADMIN_BODY_MAX    4096
#define ADMIN_CONNECTIONS 256

static pr_usec_t clock_now(void)
{
	return (pr_usec_t)(uv_hrtime() / 1000);
}

pr_usec_t pr_router_now(pr_router_t *router)
{
	router->timers.now = clock_now();
	return router->timers.now;
}

static void on_clock(uv_timer_t *timer)
{
	pr_router_t *router = timer->data;

	pr_timers_advance(&router->timers, clock_now());
}

/* Sleeps until the next subscription is due instead of ticking. */
static void on_prepare(uv_prepare_t *prepare)
{
	pr_router_t *router = prepare->data;
	pr_usec_t due = pr_timers_next(&router->timers);
	pr_usec_t wait;

	if (due == PR_USEC_NEVER || router->stopped)
		return;
	wait = due - clock_now();
	if (wait < 0)
		wait = 0;
	uv_update_time(router->loop);
	uv_timer_start(
		&router->clock, on_clock,
		(uint64_t)((wait + PR_USEC_PER_MSEC - 1) / PR_USEC_PER_MSEC),
		0);
}

static void open_counters(pr_router_t *router)
{
	pr_router_counters_t *counters = &router->counters;
	pr_metrics_t *metrics = &router->metrics;

	counters->requests =
		pr_metrics_series(metrics, "pr_requests_total", "");
	counters->refused = pr_metrics_series(metrics, "pr_refused_total", "");
	counters->attempts =
		pr_metrics_series(metrics, "pr_attempts_total", "");
	counters->retries = pr_metrics_series(metrics, "pr_retries_total", "");
	counters->caller_gone =
		pr_metrics_series(metrics, "pr_caller_gone_total", "");
	counters->unknown_messages =
		pr_metrics_series(metrics, "pr_unknown_messages_total", "");
	counters->broken_streams =
		pr_metrics_series(metrics, "pr_broken_streams_total", "");
	counters->first_token_us =
		pr_metrics_histogram(metrics, "pr_first_token_us", "");
	counters->total_us = pr_metrics_histogram(metrics, "pr_request_us", "");
}

static int open_servers(pr_router_t *router)
{
	const pr_settings_t *settings = router->settings;
	pr_http_server_options_t caller = PR_HTTP_SERVER_OPTIONS_INIT;
	pr_http_server_options_t admin = PR_HTTP_SERVER_OPTIONS_INIT;
	int rc;

	caller.address = settings->listen.address;
	caller.port = settings->listen.port;
	if (settings->tls) {
		caller.certificate_file = settings->tls->certificate;
		caller.key_file = settings->tls->key;
	}
	caller.body_max = settings->limits.body_bytes;
	caller.connections_max = settings->limits.connections;
	caller.request_timeout_ms = settings->limits.request_timeout_ms;
	caller.on_request = pr_caller_on_request;
	caller.data = router;
	rc = pr_http_server_open(&router->server, router->loop, &caller);
	if (rc)
		return rc;
	admin.address = settings->admin.address;
	admin.port = settings->admin.port;
	admin.body_max = ADMIN_BODY_MAX;
	admin.connections_max = ADMIN_CONNECTIONS;
	admin.on_request = pr_admin_on_request;
	admin.data = router;
	return pr_http_server_open(&router->admin, router->loop, &admin);
}

static void on_peer_message(void *data, pr_slice_t from, pr_slice_t type,
			    pr_slice_t payload)
{
	pr_router_t *router = data;

	/* One check for all tasks: their decoders allocate what the headers
	 * announce. */
	if (!pr_msgpack_check(payload) ||
	    !pr_tasks_message(router, from, type, payload))
		pr_metric_add(router->counters.unknown_messages, 1);
}

static int open_peers(pr_router_t *router)
{
	const pr_settings_t *settings = router->settings;
	pr_peers_options_t options = PR_PEERS_OPTIONS_INIT;
	int rc;

	options.loop = router->loop;
	options.timers = &router->timers;
	options.metrics = &router->metrics;
	options.name = settings->host;
	options.address = settings->peer.address;
	options.port = settings->peer.port;
	pr_derive_key(router->peer_key, pr_slice_of(settings->secret),
		      "pistachiorack/peers");
	options.secret = router->peer_key;
	options.on_message = on_peer_message;
	options.on_datagram = pr_member_task_datagram;
	options.data = router;
	rc = pr_peers_open(&router->peers, &options);
	for (unsigned int i = 0; i < settings->peers_count && !rc; i++)
		rc = pr_peers_set(router->peers, settings->peers[i].name,
				  settings->peers[i].address,
				  settings->peers[i].port);
	return rc;
}

static int open_clock(pr_router_t *router)
{
	uint8_t nonce[8];
	uint64_t seed;

	if (RAND_bytes(nonce, sizeof(nonce)) != 1)
		return pr_error_set(PR_EUNAVAILABLE, "no random numbers");
	pr_hex(router->boot, nonce, sizeof(nonce));
	memcpy(&seed, nonce, sizeof(seed));
	pr_log(PR_LOG_NOTICE, "host %s zone %s boot %s seed %llu",
	       router->settings->host, router->settings->zone, router->boot,
	       (unsigned long long)seed);
	pr_timers_init(&router->timers, clock_now());
	uv_timer_init(router->loop, &router->clock);
	uv_prepare_init(router->loop, &router->prepare);
	router->clock.data = router;
	router->prepare.data = router;
	uv_prepare_start(&router->prepare, on_prepare);
	return pr_rand_init(&router->rand, seed);
}

static void on_caller_check(pr_timer_t *timer, pr_usec_t now)
{
	pr_exchange_check_callers(timer->data);
}

int pr_router_init(pr_router_t *router, uv_loop_t *loop,
		   pr_settings_t *settings)
{
	int rc;

	memset(router, 0, sizeof(*router));
	router->loop = loop;
	router->settings = settings;
	pr_metrics_init(&router->metrics, SERIES_MAX);
	open_counters(router);
	rc = open_clock(router);
	if (!rc)
		rc = pr_burn_init(&router->burn, BURN_SERIES_MAX);
	if (!rc)
		rc = pr_http_client_open(&router->client, loop,
					 settings->limits.answer_timeout_ms);
	if (!rc)
		rc = pr_platform_open(
			&router->platform, router->client, &router->timers,
			settings->platform.address, settings->platform.port);
	if (!rc)
		rc = open_peers(router);
	if (!rc)
		rc = open_servers(router);
	if (rc)
		return rc;
	router->caller_check.data = router;
	pr_timers_subscribe(&router->timers, &router->caller_check,
			    CALLER_CHECK_EVERY, CALLER_CHECK_EVERY,
			    on_caller_check);
	return pr_tasks_init(router);
}

bool pr_router_ready(const pr_router_t *router)
{
	return router->fleet && !router->stopping;
}

static void end_loop(pr_router_t *router)
{
	const char *busy = pr_tasks_busy(router);

	if (router->exchange_count || busy)
		pr_log(PR_LOG_WARNING,
		       "stopped with %u requests unfinished, busy task: %s",
		       router->exchange_count, busy ? busy : "none");
	router->stopped = true;
	uv_stop(router->loop);
}

static void on_stop_check(pr_timer_t *timer, pr_usec_t now)
{
	pr_router_t *router = timer->data;

	if (!router->exchange_count && !pr_tasks_busy(router) &&
	    pr_http_server_end(router->server))
		end_loop(router);
}

static void on_stop_deadline(pr_timer_t *timer, pr_usec_t now)
{
	end_loop(timer->data);
}

static void on_stop_notice(pr_timer_t *timer, pr_usec_t now)
{
	pr_router_t *router = timer->data;

	pr_http_server_drain(router->server);
	pr_timers_subscribe(&router->timers, &router->caller_check,
			    (pr_usec_t)router->settings->shutdown.deadline_ms *
				    PR_USEC_PER_MSEC,
			    0, on_stop_deadline);
	pr_timers_subscribe(&router->timers, timer, STOP_CHECK_EVERY,
			    STOP_CHECK_EVERY, on_stop_check);
}

void pr_router_stop(pr_router_t *router)
{
	if (router->stopping || pr_test_off("drain")) {
		end_loop(router);
		return;
	}
	router->stopping = true;
	pr_log(PR_LOG_NOTICE, "stopping with %u requests in work",
	       router->exchange_count);
	pr_tasks_stopping(router);
	router->stop_timer.data = router;
	pr_timers_subscribe(&router->timers, &router->stop_timer,
			    (pr_usec_t)router->settings->shutdown.notice_ms *
				    PR_USEC_PER_MSEC,
			    0, on_stop_notice);
}

void pr_router_finish(pr_router_t *router)
{
	if (router->platform)
		pr_platform_close(router->platform);
	pr_tasks_finish(router);
	if (router->peers)
		pr_peers_close(router->peers);
	pr_timers_finish(&router->timers);
	pr_burn_finish(&router->burn);
	pr_rand_finish(&router->rand);
	pr_metrics_finish(&router->metrics);
}
