/*
 * Order task: connects the order slice with the configuration, load reports,
 * the store, the weight store and the engines. A host whose load report shows
 * that a version is missing tells the owner of the upstream, which may have no
 * connections to it.
 */
#include "router/order_task.h"

#include <msgpack.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "pistachiorack/order.h"
#include "pistachiorack/store_client.h"
#include "router/router.h"

#define TICK_EVERY   (500 * PR_USEC_PER_MSEC)
#define CALL_TIMEOUT (3 * PR_USEC_PER_SEC)
#define TABLE        "orders"
#define MESSAGE      "version_seen"

/** A call to the weight store or to an engine. */
typedef struct order_call_t {
	struct order_call_t *next;
	pr_router_t *router;
	uint64_t tag;
	pr_http_call_t http;
	bool active;
	/** The platform has not answered. */
	bool pending;
	int status;
	pr_usec_t deadline;
} order_call_t;

typedef struct pr_order_state_t {
	pr_orders_t *orders;
	pr_timer_t tick;
	/** Calls under way. */
	order_call_t *calls;
} pr_order_state_t;

static const char *owner_of(const pr_router_t *router, const char *upstream)
{
	char key[PR_ORDER_NAME_SIZE + sizeof(TABLE) + 1];

	snprintf(key, sizeof(key), TABLE "/%s", upstream);
	return pr_hosts_owner(router, pr_slice_of(key));
}

static bool owns(void *data, const char *upstream)
{
	const pr_router_t *router = data;

	return !router->stopping &&
	       !strcmp(owner_of(router, upstream), router->settings->host);
}

static void on_read(void *data, uint64_t tag, pr_store_status_t status,
		    const pr_store_result_t *results, size_t count)
{
	pr_router_t *router = data;

	pr_orders_read_done(router->orders->orders, tag, status, results,
			    pr_router_now(router));
}

static void read_row(void *data, const char *upstream, uint64_t tag)
{
	pr_router_t *router = data;

	pr_store_read(router->platform, TABLE, pr_slice_of(upstream),
		      CALL_TIMEOUT, on_read, router, tag);
}

static void on_raised(void *data, uint64_t tag, pr_store_status_t status,
		      const pr_store_result_t *results, size_t count)
{
	pr_router_t *router = data;

	pr_orders_replace_done(router->orders->orders, tag, status, results,
			       pr_router_now(router));
}

static void raise_row(void *data, const char *upstream, uint64_t row_version,
		      const char *value, uint64_t tag)
{
	pr_router_t *router = data;
	pr_store_op_t op = {
		.table = TABLE,
		.key = pr_slice_of(upstream),
		.condition =
			row_version ? PR_STORE_IF_VERSION : PR_STORE_IF_ABSENT,
		.version = row_version,
		.value = pr_slice_of(value),
	};

	pr_store_commit(router->platform, &op, 1, CALL_TIMEOUT, on_raised,
			router, tag);
}

static void on_token(void *data, pr_platform_outcome_t outcome, int status,
		     pr_slice_t body)
{
	order_call_t *call = data;
	pr_router_t *router = call->router;
	pr_order_outcome_t result = PR_ORDER_UNKNOWN;

	if (outcome == PR_PLATFORM_ANSWERED)
		result = status == 200 ? PR_ORDER_OK : PR_ORDER_REFUSED;
	pr_orders_token_done(router->orders->orders, call->tag, result,
			     pr_router_now(router));
	call->pending = false;
}

/* A step that cannot begin is given up by the slice after a while. */
static void take_token(void *data, const char *upstream, const char *what,
		       uint64_t tag)
{
	pr_router_t *router = data;
	order_call_t *call = calloc(1, sizeof(*call));
	json_t *root =
		json_pack("{s:s,s:s}", "upstream", upstream, "version", what);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	if (call && text) {
		call->router = router;
		call->tag = tag;
		call->next = router->orders->calls;
		router->orders->calls = call;
		call->pending = !pr_platform_call(
			router->platform, "POST", PR_SLICE("/v1/weights"),
			pr_slice_of(text), CALL_TIMEOUT, on_token, call);
		call = NULL;
	}
	free(call);
	free(text);
}

static void on_head(pr_http_call_t *http, int status,
		    const pr_http_header_t *headers, size_t count)
{
	order_call_t *call = http->data;

	call->status = status;
}

static void on_body(pr_http_call_t *http, pr_slice_t bytes)
{
}

static void on_done(pr_http_call_t *http, pr_attempt_stage_t stage,
		    const char *error)
{
	order_call_t *call = http->data;
	pr_router_t *router = call->router;
	pr_order_outcome_t outcome = PR_ORDER_UNKNOWN;

	call->active = false;
	if (call->status == 200)
		outcome = PR_ORDER_OK;
	else if (call->status >= 400 && call->status < 500)
		outcome = PR_ORDER_REFUSED;
	pr_orders_send_done(router->orders->orders, call->tag, outcome,
			    pr_router_now(router));
}

static const pr_http_call_ops_t call_ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static char *print_order(const char *what, uint64_t fence)
{
	const char *at = strchr(what, '@');
	json_t *root;
	char *text;

	if (!at)
		return NULL;
	root = json_pack("{s:s,s:s%,s:s,s:I}", "order", "load", "model", what,
			 (size_t)(at - what), "version", at + 1, "fence",
			 (json_int_t)fence);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static void send_order(void *data, const char *upstream, const char *what,
		       uint64_t fence, uint64_t tag)
{
	pr_router_t *router = data;
	pr_upstream_link_t *link = pr_upstreams_find(router, upstream);
	pr_http_header_t type = { PR_SLICE("content-type"),
				  PR_SLICE("application/json") };
	order_call_t *call = calloc(1, sizeof(*call));
	char *text = print_order(what, fence);

	if (link && call && text) {
		call->router = router;
		call->tag = tag;
		call->deadline = pr_router_now(router) + CALL_TIMEOUT;
		call->http.ops = &call_ops;
		call->http.data = call;
		call->next = router->orders->calls;
		router->orders->calls = call;
		call->active = !pr_http_call_start(
			&call->http, router->client, link->target, "POST",
			PR_SLICE("/v1/orders"), &type, 1, pr_slice_of(text));
		call = NULL;
		pr_log(PR_LOG_NOTICE, "upstream %s: order %llu to load %s",
		       upstream, (unsigned long long)fence, what);
	}
	free(call);
	free(text);
}

static const pr_order_ops_t order_ops = {
	.owns = owns,
	.read_row = read_row,
	.replace_row = raise_row,
	.request_token = take_token,
	.send_order = send_order,
};

static void end_calls(pr_router_t *router, pr_usec_t now)
{
	order_call_t **at = &router->orders->calls;

	while (*at) {
		order_call_t *call = *at;

		if (call->active && now >= call->deadline) {
			call->active = !pr_http_call_cancel(&call->http);
			pr_orders_send_done(router->orders->orders, call->tag,
					    PR_ORDER_UNKNOWN, now);
		}
		if (call->active || call->pending) {
			at = &call->next;
			continue;
		}
		*at = call->next;
		free(call);
	}
}

static void on_tick(pr_timer_t *timer, pr_usec_t now)
{
	pr_router_t *router = timer->data;

	end_calls(router, now);
	if (router->fleet && router->confirmed)
		pr_orders_tick(router->orders->orders, now);
}

static void tell_owner(pr_router_t *router, const char *upstream,
		       const char *what, bool loaded)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_str_with_body(&packer, upstream, strlen(upstream));
	msgpack_pack_str_with_body(&packer, what, strlen(what));
	if (loaded)
		msgpack_pack_true(&packer);
	else
		msgpack_pack_false(&packer);
	pr_peers_send(router->peers, owner_of(router, upstream), MESSAGE,
		      pr_slice(buffer.data, buffer.size));
	msgpack_sbuffer_destroy(&buffer);
}

static bool contains(const json_t *versions, const char *what)
{
	const json_t *version;
	size_t i;

	json_array_foreach(versions, i, version)
	{
		const char *name = json_string_value(version);

		if (name && !strcmp(name, what))
			return true;
	}
	return false;
}

void pr_order_task_seen(pr_router_t *router, const char *upstream,
			const json_t *versions)
{
	pr_orders_t *orders = router->orders->orders;
	const pr_fleet_t *fleet = router->fleet->fleet;
	const pr_upstream_t *config = NULL;

	for (unsigned int i = 0; i < fleet->upstreams_count && !config; i++)
		if (!strcmp(fleet->upstreams[i].name, upstream))
			config = &fleet->upstreams[i];
	if (!config || !json_is_array(versions))
		return;
	for (unsigned int i = 0; i < config->serves_count; i++) {
		const char *what = config->serves[i];
		bool loaded = contains(versions, what);
		bool changed = pr_orders_is_missing(orders, upstream, what);

		pr_orders_report(orders, upstream, what, loaded,
				 pr_router_now(router));
		if ((!loaded || changed) && !owns(router, upstream))
			tell_owner(router, upstream, what, loaded);
	}
}

static bool copy_text(char *out, size_t size, const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_STR &&
	       !pr_slice_copy(
		       out, size,
		       pr_slice(object->via.str.ptr, object->via.str.size));
}

static bool on_message(pr_router_t *router, pr_slice_t from, pr_slice_t type,
		       pr_slice_t payload)
{
	char upstream[PR_ORDER_NAME_SIZE], what[PR_ORDER_MODEL_VERSION_SIZE];
	msgpack_unpacked unpacked;
	const msgpack_object *items;

	if (!pr_slice_equal(type, PR_SLICE(MESSAGE)))
		return false;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, payload.ptr, payload.len, NULL) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	    unpacked.data.via.array.size == 3) {
		items = unpacked.data.via.array.ptr;
		if (copy_text(upstream, sizeof(upstream), &items[0]) &&
		    copy_text(what, sizeof(what), &items[1]) &&
		    items[2].type == MSGPACK_OBJECT_BOOLEAN)
			pr_orders_report(router->orders->orders, upstream, what,
					 items[2].via.boolean,
					 pr_router_now(router));
	}
	msgpack_unpacked_destroy(&unpacked);
	return true;
}

static void fleet_changed(pr_router_t *router)
{
	const pr_fleet_t *fleet = router->fleet->fleet;
	pr_orders_t *orders = router->orders->orders;

	pr_orders_desired_begin(orders);
	for (unsigned int i = 0; i < fleet->upstreams_count; i++) {
		const pr_upstream_t *upstream = &fleet->upstreams[i];

		for (unsigned int j = 0; upstream->kind == PR_UPSTREAM_ENGINE &&
					 j < upstream->serves_count;
		     j++)
			if (pr_orders_desired_add(orders, upstream->name,
						  upstream->serves[j]))
				pr_log(PR_LOG_ERR, "no orders for %s: %s",
				       upstream->name, pr_error_last());
	}
	pr_orders_desired_end(orders);
}

static int init(pr_router_t *router)
{
	pr_order_options_t options = PR_ORDER_OPTIONS_INIT;
	pr_order_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return pr_error_set(PR_ENOMEM, "no memory for orders");
	router->orders = state;
	options.host = router->settings->host;
	options.boot = router->boot;
	state->tick.data = router;
	pr_timers_subscribe(&router->timers, &state->tick, TICK_EVERY,
			    TICK_EVERY, on_tick);
	return pr_orders_open(&state->orders, &options, &order_ops, router);
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	const pr_order_stats_t *stats = pr_orders_stats(router->orders->orders);

	pr_str_appendf(out,
		       "pr_orders_raised_total %llu\n"
		       "pr_orders_tokens_total %llu\n"
		       "pr_orders_sent_total %llu\n"
		       "pr_orders_refused_total %llu\n"
		       "pr_orders_done_total %llu\n",
		       (unsigned long long)stats->rows_written,
		       (unsigned long long)stats->tokens_granted,
		       (unsigned long long)stats->sent,
		       (unsigned long long)stats->refused,
		       (unsigned long long)stats->completed);
}

static void finish(pr_router_t *router)
{
	pr_order_state_t *state = router->orders;

	if (!state)
		return;
	pr_timers_unsubscribe(&router->timers, &state->tick);
	while (state->calls) {
		order_call_t *call = state->calls;

		state->calls = call->next;
		if (call->active)
			pr_http_call_cancel(&call->http);
		free(call);
	}
	pr_orders_close(state->orders);
	free(state);
	router->orders = NULL;
}

const pr_task_ops_t pr_order_task = {
	.name = "orders",
	.init = init,
	.fleet_changed = fleet_changed,
	.message = on_message,
	.metrics = print_metrics,
	.finish = finish,
};
