/* Frame of the stand-ins: loop, timers, exchanges, control and record. */
#include "standin.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"

/* Callers that left are looked for at this interval, milliseconds. */
#define WATCH_MS 20
/* Time that answers get to be written after SIGTERM, milliseconds. */
#define STOP_MS 5000
/* A freeze starts after the answer to its control request was written. */
#define FREEZE_LEAD_MS 20
/* Entries that one GET /record gives at most. */
#define RECORD_LIMIT 1000000
#define CRASH_STATUS 3

pr_usec_t standin_now(const standin_t *standin)
{
	return (pr_usec_t)(uv_hrtime() / 1000);
}

void standin_after(standin_t *standin, pr_timer_t *timer, pr_usec_t delay,
		   pr_usec_t period, void (*expired)(pr_timer_t *, pr_usec_t))
{
	pr_usec_t behind = standin_now(standin) - standin->timers.now;

	pr_timers_subscribe(&standin->timers, timer, delay + behind, period,
			    expired);
}

static void on_tick(uv_timer_t *tick)
{
	standin_t *standin = tick->data;

	pr_timers_advance(&standin->timers, standin_now(standin));
}

/* Arms the loop's timer for the next subscription before the loop waits. */
static void on_prepare(uv_prepare_t *prepare)
{
	standin_t *standin = prepare->data;
	pr_usec_t next = pr_timers_next(&standin->timers);
	pr_usec_t now = (pr_usec_t)(uv_hrtime() / 1000);

	if (next == PR_USEC_NEVER) {
		uv_timer_stop(&standin->tick);
		return;
	}
	uv_update_time(&standin->loop);
	uv_timer_start(&standin->tick, on_tick,
		       next > now ? (uint64_t)(next - now + 999) / 1000 : 0, 0);
}

static void stop_if_idle(standin_t *standin)
{
	if (standin->stopping && !standin->exchanges)
		uv_stop(&standin->loop);
}

static void on_end(pr_http_request_t *http, bool complete)
{
	standin_exchange_t *exchange = http->user;
	standin_t *standin = exchange->standin;

	pr_timers_unsubscribe(&standin->timers, &exchange->timer);
	if (!complete && !exchange->dead && exchange->gone)
		exchange->gone(exchange);
	if (exchange->prev)
		exchange->prev->next = exchange->next;
	else
		standin->exchanges = exchange->next;
	if (exchange->next)
		exchange->next->prev = exchange->prev;
	json_decref(exchange->json);
	pr_str_finish(&exchange->answer);
	free(exchange);
	stop_if_idle(standin);
}

/* Ends the exchange for the program: it gets no further callback. */
static void forget(standin_exchange_t *exchange)
{
	exchange->dead = true;
	exchange->gone = NULL;
}

static void on_watch(uv_timer_t *timer)
{
	standin_t *standin = timer->data;
	standin_exchange_t *next;

	for (standin_exchange_t *at = standin->exchanges; at; at = next) {
		next = at->next;
		if (at->lost || at->waiting ||
		    !pr_http_request_caller_gone(at->http))
			continue;
		at->lost = true;
		if (!at->dead && at->gone)
			at->gone(at);
		forget(at);
		pr_timers_unsubscribe(&standin->timers, &at->timer);
		pr_http_request_break(at->http);
	}
}

static void on_freeze(pr_timer_t *timer, pr_usec_t now)
{
	standin_t *standin = timer->data;
	uint32_t ms = standin->faults.freeze_ms;

	standin->faults.freeze_ms = 0;
	usleep(ms * 1000);
}

static int apply_control(standin_t *standin, const json_t *fields)
{
	int rc;

	if (!json_is_object(fields))
		return pr_error_set(PR_EINVALID, "control is not an object");
	rc = standin_faults_apply(&standin->faults, fields);
	if (rc)
		return rc;
	if (standin->ops->control)
		standin->ops->control(fields, standin->data);
	if (standin->faults.freeze_ms) {
		standin->freeze.data = standin;
		standin_after(standin, &standin->freeze,
			      FREEZE_LEAD_MS * PR_USEC_PER_MSEC, 0, on_freeze);
	}
	return 0;
}

/* Writes an answer that faults do not touch. */
static void answer_plain(standin_exchange_t *exchange, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	forget(exchange);
	pr_http_answer(exchange->http, status, "application/json",
		       pr_slice_of(text ? text : "{}"));
	free(text);
	json_decref(json);
}

static void answer_record(standin_exchange_t *exchange)
{
	standin_t *standin = exchange->standin;
	json_t *out = standin_record_json(
		&standin->record,
		(uint64_t)standin_query_int(exchange, "after", 0),
		(size_t)standin_query_int(exchange, "limit", RECORD_LIMIT));

	json_object_set_new(out, "name", json_string(standin->options.name));
	json_object_set_new(out, "zone", json_string(standin->options.zone));
	if (standin->ops->record)
		standin->ops->record(out, exchange, standin->data);
	answer_plain(exchange, 200, out);
}

/* @return true when the frame itself answered */
static bool handle_own(standin_exchange_t *exchange)
{
	if (standin_is(exchange, "POST", "/control")) {
		int rc = apply_control(exchange->standin, exchange->json);

		answer_plain(exchange, rc ? 400 : 200,
			     rc ? json_pack("{s:s}", "error", pr_error_last())
				: json_pack("{s:b}", "ok", 1));
		return true;
	}
	if (standin_is(exchange, "GET", "/record")) {
		answer_record(exchange);
		return true;
	}
	if (standin_is(exchange, "GET", "/healthz")) {
		answer_plain(exchange, 200, json_pack("{s:b}", "ok", 1));
		return true;
	}
	return false;
}

static void on_slow_end(pr_timer_t *timer, pr_usec_t now)
{
	standin_exchange_t *exchange = timer->data;

	exchange->waiting = false;
	exchange->standin->ops->handle(exchange, exchange->standin->data);
}

static void admit(standin_exchange_t *exchange)
{
	standin_t *standin = exchange->standin;
	pr_slice_t path = exchange->http->path;

	switch (standin_faults_entry(&standin->faults, path)) {
	case STANDIN_ENTRY_CRASH:
		_exit(CRASH_STATUS);
	case STANDIN_ENTRY_BREAK:
		standin_record_count(&standin->record, "broken_before");
		standin_break(exchange);
		return;
	case STANDIN_ENTRY_OUTAGE:
		standin_record_count(&standin->record, "outage");
		exchange->fate = STANDIN_FATE_WHOLE;
		standin_answer_error(exchange, 503, "outage", "not_run");
		return;
	case STANDIN_ENTRY_REFUSE:
		standin_record_count(&standin->record, "refused");
		standin_answer_error(exchange, 503, "refused", "not_run");
		return;
	case STANDIN_ENTRY_RUN:
		break;
	}
	exchange->fate = standin_faults_fate(&standin->faults, path);
	if (standin->faults.slow_ms &&
	    standin_faults_match(&standin->faults, path)) {
		exchange->waiting = true;
		standin_after(standin, &exchange->timer,
			      standin->faults.slow_ms * PR_USEC_PER_MSEC, 0,
			      on_slow_end);
		return;
	}
	standin->ops->handle(exchange, standin->data);
}

static void on_request(pr_http_request_t *http, void *data)
{
	standin_t *standin = data;
	standin_exchange_t *exchange = calloc(1, sizeof(*exchange));

	if (!exchange) {
		pr_http_answer(http, 500, NULL, PR_SLICE("no memory"));
		return;
	}
	exchange->standin = standin;
	exchange->http = http;
	exchange->timer.data = exchange;
	exchange->next = standin->exchanges;
	if (exchange->next)
		exchange->next->prev = exchange;
	standin->exchanges = exchange;
	http->user = exchange;
	http->on_end = on_end;
	if (http->body.len)
		exchange->json =
			json_loadb(http->body.ptr, http->body.len, 0, NULL);
	if (!handle_own(exchange))
		admit(exchange);
}

static void on_stop_timeout(pr_timer_t *timer, pr_usec_t now)
{
	standin_t *standin = timer->data;

	pr_log(PR_LOG_WARNING, "stopped with open requests");
	uv_stop(&standin->loop);
}

static void begin_stop(standin_t *standin)
{
	if (standin->stopping) {
		uv_stop(&standin->loop);
		return;
	}
	standin->stopping = true;
	pr_http_server_drain(standin->server);
	standin->stop.data = standin;
	standin_after(standin, &standin->stop, STOP_MS * PR_USEC_PER_MSEC, 0,
		      on_stop_timeout);
	stop_if_idle(standin);
}

static void on_signal(uv_signal_t *handle, int number)
{
	begin_stop(handle->data);
}

static void on_lifetime_end(pr_timer_t *timer, pr_usec_t now)
{
	begin_stop(timer->data);
}

static void start_loop(standin_t *standin)
{
	static const int numbers[2] = { SIGTERM, SIGINT };

	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&standin->loop);
	pr_timers_init(&standin->timers, (pr_usec_t)(uv_hrtime() / 1000));
	standin->tick.data = standin;
	uv_timer_init(&standin->loop, &standin->tick);
	standin->prepare.data = standin;
	uv_prepare_init(&standin->loop, &standin->prepare);
	uv_prepare_start(&standin->prepare, on_prepare);
	standin->watch.data = standin;
	uv_timer_init(&standin->loop, &standin->watch);
	uv_timer_start(&standin->watch, on_watch, WATCH_MS, WATCH_MS);
	for (int i = 0; i < 2; i++) {
		standin->signals[i].data = standin;
		uv_signal_init(&standin->loop, &standin->signals[i]);
		uv_signal_start(&standin->signals[i], on_signal, numbers[i]);
	}
}

static int start_control(standin_t *standin)
{
	json_t *fields;
	int rc;

	if (!standin->options.control)
		return 0;
	fields = json_loads(standin->options.control, 0, NULL);
	rc = apply_control(standin, fields);
	json_decref(fields);
	return rc;
}

int standin_run(standin_t *standin, const standin_options_t *options,
		const standin_ops_t *ops, void *data)
{
	pr_http_server_options_t http = PR_HTTP_SERVER_OPTIONS_INIT;
	pr_timer_t lifetime = { .data = standin };
	int rc;

	pr_log_init(options->name);
	standin->options = *options;
	standin->ops = ops;
	standin->data = data;
	start_loop(standin);
	rc = standin_record_init(&standin->record, options->record_max);
	if (!rc && ops->start)
		ops->start(data);
	if (!rc)
		rc = start_control(standin);
	http.address = options->address;
	http.port = options->port;
	http.body_max = 16 << 20;
	http.on_request = on_request;
	http.data = standin;
	if (!rc)
		rc = pr_http_server_open(&standin->server, &standin->loop,
					 &http);
	if (rc) {
		pr_log(PR_LOG_ERR, "%s", pr_error_last());
		return EXIT_FAILURE;
	}
	if (options->lifetime_s)
		standin_after(standin, &lifetime,
			      options->lifetime_s * PR_USEC_PER_SEC, 0,
			      on_lifetime_end);
	pr_log(PR_LOG_NOTICE, "listening on %s:%d, seed %llu", options->address,
	       options->port, (unsigned long long)options->seed);
	uv_run(&standin->loop, UV_RUN_DEFAULT);
	pr_log(PR_LOG_NOTICE, "stopped");
	return EXIT_SUCCESS;
}
