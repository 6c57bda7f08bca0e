/*
 * Load reports and cache events of the upstreams in this host's subsets.
 *
 * Two pollers run, each with one call at a time and a budget in bytes per
 * second, so more upstreams mean fewer polls of each. Events have a budget of
 * their own, since one answer can be 15 KB and would stop load reports for
 * long. A poll that fails says nothing about the upstream: only callers' work
 * decides on errors.
 */
#include <jansson.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "router/order_task.h"
#include "router/router.h"

#define TICK_EVERY   (100 * PR_USEC_PER_MSEC)
#define POLL_TIMEOUT PR_USEC_PER_SEC
/* Bytes per second of a host; 390 hosts may spend 3 KB/s on all control. */
#define LOAD_BUDGET   500
#define EVENTS_BUDGET 200
/* Request, and status line and headers of the answer. */
#define POLL_OVERHEAD 300
/* Least time between two polls of an upstream that is in use, and of one that
 * is not. */
#define BUSY_EVERY  (500 * PR_USEC_PER_MSEC)
#define IDLE_EVERY  (30 * PR_USEC_PER_SEC)
#define BODY_MAX    ((size_t)256 * 1024)
#define NAME_BYTES  65
#define PATH_BYTES  64
#define HEXADECIMAL 16

/** What is known of one upstream. */
typedef struct polled_t {
	struct polled_t *next;
	uint64_t hash;
	/** Times of the last polls. */
	pr_usec_t load_at, events_at;
	/** Attempts sent until then. */
	uint64_t load_sent, events_sent;
	/** Last event that was read. */
	uint64_t after;
} polled_t;

typedef struct poller_t {
	pr_router_t *router;
	pr_http_call_t call;
	bool active, events;
	pr_usec_t deadline;
	double budget, tokens;
	pr_usec_t filled;
	char upstream[NAME_BYTES];
	polled_t *polled;
	pr_str_t body;
	int status;
	uint64_t polls, failures, bytes;
} poller_t;

typedef struct pr_polls_t {
	pr_timer_t tick;
	poller_t load, events;
	polled_t *polled;
} pr_polls_t;

static polled_t *find_polled(pr_polls_t *polls, const char *name)
{
	uint64_t hash = pr_hash64(name, strlen(name), 0);
	polled_t *polled = polls->polled;

	while (polled && polled->hash != hash)
		polled = polled->next;
	if (polled)
		return polled;
	polled = calloc(1, sizeof(*polled));
	if (!polled)
		return NULL;
	polled->hash = hash;
	polled->load_at = polled->events_at = -IDLE_EVERY;
	polled->next = polls->polled;
	polls->polled = polled;
	return polled;
}

static void take_load(const poller_t *poller, const json_t *root)
{
	pr_router_t *router = poller->router;
	json_int_t load = json_integer_value(json_object_get(root, "running")) +
			  json_integer_value(json_object_get(root, "queued"));
	json_int_t age = json_integer_value(json_object_get(root, "age_ms"));

	if (load < 0 || load > UINT32_MAX || age < 0)
		return;
	pr_order_task_seen(router, poller->upstream,
			   json_object_get(root, "versions"));
	pr_balance_load_report(&router->balance, poller->upstream,
			       (uint32_t)load,
			       pr_router_now(router) - age * PR_USEC_PER_MSEC);
}

static void take_events(const poller_t *poller, const json_t *root)
{
	pr_balance_t *balance = &poller->router->balance;
	polled_t *polled = poller->polled;
	uint64_t after = polled->after;
	uint64_t next =
		(uint64_t)json_integer_value(json_object_get(root, "next"));
	const json_t *event;
	bool gap = false;
	size_t i;

	json_array_foreach(json_object_get(root, "events"), i, event)
	{
		uint64_t seq = (uint64_t)json_integer_value(
			json_object_get(event, "seq"));
		const char *kind =
			json_string_value(json_object_get(event, "kind"));
		const char *block =
			json_string_value(json_object_get(event, "block"));

		if (!kind || !block || seq <= after)
			continue;
		gap = gap || seq != after + 1;
		after = seq;
		pr_balance_cache_event(balance, poller->upstream,
				       strtoull(block, NULL, HEXADECIMAL),
				       !strcmp(kind, "stored"));
	}
	/* Numbers that begin anew are those of a new process. */
	if (next <= polled->after || gap || next > after + 1)
		pr_balance_cache_gap(balance, poller->upstream);
	polled->after = next ? next - 1 : 0;
}

static void on_head(pr_http_call_t *call, int status,
		    const pr_http_header_t *headers, size_t count)
{
	poller_t *poller = call->data;

	poller->status = status;
}

static void on_body(pr_http_call_t *call, pr_slice_t bytes)
{
	poller_t *poller = call->data;

	poller->tokens -= (double)bytes.len;
	poller->bytes += bytes.len;
	if (poller->body.len + bytes.len <= BODY_MAX)
		pr_str_append(&poller->body, bytes.ptr, bytes.len);
}

static void on_done(pr_http_call_t *call, pr_attempt_stage_t stage,
		    const char *error)
{
	poller_t *poller = call->data;
	json_t *root = NULL;

	poller->active = false;
	if (stage == PR_STAGE_DONE && poller->status == 200)
		root = json_loadb(pr_str_cstr(&poller->body), poller->body.len,
				  0, NULL);
	if (!json_is_object(root))
		poller->failures++;
	else if (poller->events)
		take_events(poller, root);
	else
		take_load(poller, root);
	json_decref(root);
}

static const pr_http_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static pr_usec_t overdue(const poller_t *poller, const polled_t *polled,
			 const pr_balance_status_t *status, pr_usec_t now)
{
	pr_usec_t last = poller->events ? polled->events_at : polled->load_at;
	uint64_t sent =
		poller->events ? polled->events_sent : polled->load_sent;
	bool busy = status->in_flight || status->sent != sent;

	return now - last - (busy ? BUSY_EVERY : IDLE_EVERY);
}

/* Finds the engine whose poll is the most overdue; ledgers report no load. */
static bool pick(poller_t *poller, pr_usec_t now)
{
	pr_router_t *router = poller->router;
	const pr_fleet_t *fleet = router->fleet->fleet;
	pr_usec_t most = 0;
	uint64_t sent = 0;

	poller->polled = NULL;
	for (unsigned int i = 0; i < fleet->upstreams_count; i++) {
		const pr_upstream_t *config = &fleet->upstreams[i];
		pr_balance_upstream_t *upstream =
			pr_balance_find(&router->balance, config->name);
		pr_balance_status_t status;
		polled_t *polled;
		pr_usec_t late;

		if (config->kind != PR_UPSTREAM_ENGINE || !upstream)
			continue;
		pr_balance_status(&router->balance, &status, upstream, now);
		polled = status.connected && status.usable
				 ? find_polled(router->polls, config->name)
				 : NULL;
		if (!polled)
			continue;
		late = overdue(poller, polled, &status, now);
		if (late < most)
			continue;
		most = late;
		sent = status.sent;
		poller->polled = polled;
		snprintf(poller->upstream, sizeof(poller->upstream), "%s",
			 config->name);
	}
	if (!poller->polled)
		return false;
	if (poller->events) {
		poller->polled->events_at = now;
		poller->polled->events_sent = sent;
	} else {
		poller->polled->load_at = now;
		poller->polled->load_sent = sent;
	}
	return true;
}

static void start(poller_t *poller, pr_usec_t now)
{
	pr_router_t *router = poller->router;
	pr_upstream_link_t *link;
	char path[PATH_BYTES];

	if (!pick(poller, now))
		return;
	link = pr_upstreams_find(router, poller->upstream);
	if (!link)
		return;
	if (poller->events)
		snprintf(path, sizeof(path), "/v1/events?after=%llu",
			 (unsigned long long)poller->polled->after);
	else
		snprintf(path, sizeof(path), "/v1/load");
	pr_str_clear(&poller->body);
	memset(&poller->call, 0, sizeof(poller->call));
	poller->call.ops = &call_ops;
	poller->call.data = poller;
	poller->status = 0;
	poller->polls++;
	poller->bytes += POLL_OVERHEAD;
	poller->tokens -= POLL_OVERHEAD;
	poller->deadline = now + POLL_TIMEOUT;
	poller->active = !pr_http_call_start(
		&poller->call, router->client, link->target, "GET",
		pr_slice_of(path), NULL, 0, pr_slice("", 0));
}

static void tick(poller_t *poller, pr_usec_t now)
{
	poller->tokens += poller->budget * (double)(now - poller->filled) /
			  PR_USEC_PER_SEC;
	if (poller->tokens > poller->budget)
		poller->tokens = poller->budget;
	poller->filled = now;
	if (poller->active && now >= poller->deadline) {
		poller->failures++;
		poller->active = !pr_http_call_cancel(&poller->call);
	}
	if (!poller->active && poller->tokens > 0)
		start(poller, now);
}

static void on_tick(pr_timer_t *timer, pr_usec_t now)
{
	pr_router_t *router = timer->data;

	if (!router->fleet || router->stopping)
		return;
	tick(&router->polls->load, now);
	tick(&router->polls->events, now);
}

static int init(pr_router_t *router)
{
	pr_polls_t *polls = calloc(1, sizeof(*polls));
	pr_usec_t now = pr_router_now(router);

	if (!polls)
		return pr_error_set(PR_ENOMEM, "no memory for polls");
	router->polls = polls;
	polls->load.router = polls->events.router = router;
	polls->load.filled = polls->events.filled = now;
	polls->load.budget = LOAD_BUDGET;
	polls->events.budget = EVENTS_BUDGET;
	polls->events.events = true;
	polls->tick.data = router;
	/* A random delay keeps hosts that start together from polling together.
	 */
	pr_timers_subscribe(&router->timers, &polls->tick,
			    pr_rand_below(&router->rand, TICK_EVERY),
			    TICK_EVERY, on_tick);
	return 0;
}

static void print_poller(pr_str_t *out, const char *kind,
			 const poller_t *poller)
{
	pr_str_appendf(out,
		       "pr_polls_total{kind=\"%s\"} %llu\n"
		       "pr_poll_failures_total{kind=\"%s\"} %llu\n"
		       "pr_poll_bytes_total{kind=\"%s\"} %llu\n",
		       kind, (unsigned long long)poller->polls, kind,
		       (unsigned long long)poller->failures, kind,
		       (unsigned long long)poller->bytes);
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	print_poller(out, "load", &router->polls->load);
	print_poller(out, "events", &router->polls->events);
}

static void finish(pr_router_t *router)
{
	pr_polls_t *polls = router->polls;
	polled_t *polled, *next;

	if (!polls)
		return;
	pr_timers_unsubscribe(&router->timers, &polls->tick);
	if (polls->load.active)
		pr_http_call_cancel(&polls->load.call);
	if (polls->events.active)
		pr_http_call_cancel(&polls->events.call);
	pr_str_finish(&polls->load.body);
	pr_str_finish(&polls->events.body);
	for (polled = polls->polled; polled; polled = next) {
		next = polled->next;
		free(polled);
	}
	free(polls);
	router->polls = NULL;
}

const pr_task_ops_t pr_poll_task = {
	.name = "polls",
	.init = init,
	.metrics = print_metrics,
	.finish = finish,
};
