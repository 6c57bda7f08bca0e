/*
 * Billing task: puts finished requests into the bill book and lets an answer
 * end when its bill is held by another host.
 */
#include <stdlib.h>

#include "pistachiorack/bill.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/log.h"
#include "pistachiorack/store_client.h"
#include "router/chat.h"
#include "router/test_off.h"

#define TOKENS_PER_PRICE 1000
#define COMMIT_TIMEOUT   (3 * PR_USEC_PER_SEC)

static const char *const message_types[] = {
	[PR_BILL_MESSAGE_HOLD] = "bill_hold",
	[PR_BILL_MESSAGE_HELD] = "bill_held",
	[PR_BILL_MESSAGE_WAITING] = "bill_waiting",
	[PR_BILL_MESSAGE_STORED] = "bill_stored",
};

void pr_exchange_charge(pr_exchange_t *exchange, uint64_t tokens_in,
			uint64_t tokens_out)
{
	const pr_version_t *version = pr_chat_step(exchange)->version;

	exchange->charge.tokens_in += tokens_in;
	exchange->charge.tokens_out += tokens_out;
	exchange->charge.price += (tokens_in * version->price_in +
				   tokens_out * version->price_out) /
				  TOKENS_PER_PRICE;
}

static int add_bill(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	const pr_plan_step_t *step =
		exchange->service ? NULL : pr_chat_step(exchange);
	pr_bill_t bill = {
		.request = exchange->number,
		.workspace = pr_slice_of(exchange->workspace_name),
		.model = pr_slice_of(step ? step->model->name
					  : exchange->service->name),
		.version = pr_slice_of(step ? step->version->name
					    : exchange->operation->name),
		.tokens_in = exchange->charge.tokens_in,
		.tokens_out = exchange->charge.tokens_out,
		.price = exchange->charge.price,
	};

	exchange->billed = true;
	return pr_bill_add(router->bills, &bill, pr_router_now(router));
}

void pr_billing_finish(pr_exchange_t *exchange,
		       void (*then)(pr_exchange_t *exchange))
{
	pr_router_t *router = exchange->router;

	exchange->after_billing = then;
	exchange->holds++;
	pr_index_add(&router->billing, &exchange->bill_node, exchange->number);
	if (!add_bill(exchange))
		return;
	pr_log(PR_LOG_ERR, "request %s could not be billed: %s", exchange->id,
	       pr_error_last());
	pr_index_remove(&router->billing, &exchange->bill_node);
	exchange->holds--;
	then(exchange);
}

void pr_billing_abandoned(pr_exchange_t *exchange)
{
	pr_chat_t *chat = &exchange->chat;

	if (exchange->billed || exchange->service || !chat->events_open ||
	    !chat->plan.steps_count)
		return;
	if (chat->events.tokens && !chat->events.done)
		pr_exchange_charge(exchange, chat->tokens_in,
				   chat->events.tokens);
	if (exchange->charge.tokens_out && exchange->caller_left)
		add_bill(exchange);
}

static void on_held(void *data, uint64_t request, bool acknowledged)
{
	pr_router_t *router = data;
	pr_index_node_t *node = pr_index_find(&router->billing, request);
	pr_exchange_t *exchange;

	if (!node)
		return;
	exchange = PR_OWNER(node, pr_exchange_t, bill_node);
	pr_index_remove(&router->billing, &exchange->bill_node);
	exchange->after_billing(exchange);
	exchange->holds--;
	pr_exchange_release(exchange);
}

static void on_committed(void *data, uint64_t tag, pr_store_status_t status,
			 const pr_store_result_t *results, size_t count)
{
	pr_router_t *router = data;

	pr_bill_committed(router->bills, tag, status, results, count,
			  pr_router_now(router));
}

static void commit(void *data, const pr_store_op_t *ops, size_t count,
		   uint64_t tag)
{
	pr_router_t *router = data;

	pr_store_commit(router->platform, ops, count, COMMIT_TIMEOUT,
			on_committed, router, tag);
}

static void send_message(void *data, pr_slice_t host,
			 const pr_bill_message_t *message)
{
	pr_router_t *router = data;
	pr_str_t bytes = PR_STR_INIT;
	char name[PR_ID_BYTES];

	if (!pr_slice_copy(name, sizeof(name), host) &&
	    !pr_bill_message_encode(&bytes, message))
		pr_peers_send(router->peers, name, message_types[message->kind],
			      pr_str_slice(&bytes));
	pr_str_finish(&bytes);
}

static const pr_bill_ops_t bill_ops = {
	.commit = commit,
	.send = send_message,
	.held = on_held,
};

static int init(pr_router_t *router)
{
	pr_bill_options_t options = PR_BILL_OPTIONS_INIT;

	options.ops = &bill_ops;
	options.data = router;
	options.timers = &router->timers;
	options.host = router->settings->host;
	options.zone = router->settings->zone;
	options.region = "";
	/* The number becomes a JSON integer, which has 63 bits. */
	options.boot = strtoull(router->boot, NULL, 16) & INT64_MAX;
	if (pr_index_init(&router->billing, router->settings->limits.requests))
		return PR_ENOMEM;
	if (pr_test_off("bill-holders"))
		options.holders = 0;
	return pr_bill_open(&router->bills, &options);
}

static void set_peers(pr_router_t *router)
{
	pr_bill_peer_t *peers = calloc(router->hosts.count + 1, sizeof(*peers));
	size_t count = 0;

	if (!peers)
		return;
	for (unsigned int i = 0; i < router->hosts.count; i++) {
		const pr_host_t *host = &router->hosts.items[i];

		if (!host->live || host->leaving || host->self)
			continue;
		peers[count].host = host->name;
		peers[count].zone = host->zone;
		peers[count++].region = pr_hosts_region(router, host->zone);
	}
	pr_bill_set_peers(router->bills, peers, count, pr_router_now(router));
	free(peers);
}

static bool on_message(pr_router_t *router, pr_slice_t from, pr_slice_t type,
		       pr_slice_t payload)
{
	pr_bill_message_t message;

	if (!pr_slice_starts_with(type, PR_SLICE("bill_")))
		return false;
	if (!pr_bill_message_decode(&message, payload))
		pr_bill_receive(router->bills, from, &message,
				pr_router_now(router));
	return true;
}

static void stopping(pr_router_t *router)
{
	pr_bill_stop(router->bills, pr_router_now(router));
}

static bool idle(const pr_router_t *router)
{
	pr_bill_pending_t pending = pr_bill_pending(router->bills);

	return !pending.own && !pending.held;
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	const pr_bill_counters_t *counters = pr_bill_counters(router->bills);
	pr_bill_pending_t pending = pr_bill_pending(router->bills);

	pr_str_appendf(out,
		       "pr_bills_total %llu\npr_bill_commits_total %llu\n"
		       "pr_bill_rows_written_total %llu\n"
		       "pr_bill_rows_existed_total %llu\n"
		       "pr_bills_unacknowledged_total %llu\n"
		       "pr_bill_batches_own %zu\npr_bill_batches_held %zu\n",
		       (unsigned long long)counters->bills,
		       (unsigned long long)counters->commits,
		       (unsigned long long)counters->rows_written,
		       (unsigned long long)counters->rows_existed,
		       (unsigned long long)counters->unacknowledged,
		       pending.own, pending.held);
}

static void finish(pr_router_t *router)
{
	pr_bill_close(router->bills);
	pr_index_finish(&router->billing);
}

const pr_task_ops_t pr_billing_task = {
	.name = "billing",
	.init = init,
	.fleet_changed = set_peers,
	.view_changed = set_peers,
	.message = on_message,
	.stopping = stopping,
	.idle = idle,
	.metrics = print_metrics,
	.finish = finish,
};
