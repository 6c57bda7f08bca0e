/*
 * Claims task: connects requests that may not be repeated with the claims
 * slice, its messages and the store.
 */
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/once.h"
#include "pistachiorack/store_client.h"
#include "router/exchange.h"
#include "router/service.h"

#define STORE_TIMEOUT (2 * PR_USEC_PER_SEC)
/* Keys are spread over this many owners: grouping saves commits only above
 * some 200 claims a second at an owner. */
#define CLAIM_SHARDS 16

static const char *const message_types[] = {
	[PR_ONCE_MESSAGE_CLAIM] = "claim",
	[PR_ONCE_MESSAGE_RESULT] = "claim_result",
	[PR_ONCE_MESSAGE_DONE] = "claim_done",
};

static pr_exchange_t *find_exchange(pr_router_t *router, uint64_t request)
{
	pr_index_node_t *node = pr_index_find(&router->claiming, request);

	return node ? PR_OWNER(node, pr_exchange_t, claim_node) : NULL;
}

static const char *owner_of(const pr_router_t *router, pr_slice_t key)
{
	char shard[24];

	snprintf(shard, sizeof(shard), "claims/%u",
		 (unsigned int)(pr_hash64(key.ptr, key.len, 0) % CLAIM_SHARDS));
	return pr_hosts_owner(router, pr_slice_of(shard));
}

/* Hash of operation and body: the same key for another operation is another
 * request. */
static int hash_request(char hash[PR_SHA256_HEX_SIZE],
			const pr_exchange_t *exchange)
{
	pr_slice_t body = exchange->request->body;
	pr_str_t text = PR_STR_INIT;
	int rc = pr_str_appendf(&text, "%s/%s\n", exchange->service->name,
				exchange->operation->name);

	if (!rc)
		rc = pr_str_append(&text, body.ptr, body.len);
	if (!rc)
		pr_sha256_hex(hash, pr_str_slice(&text));
	pr_str_finish(&text);
	return rc;
}

int pr_claim_start(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	pr_once_request_options_t options = {
		.deadline = exchange->deadline.due,
		.attempt = pr_slice_of(exchange->id),
	};
	char key[PR_ONCE_KEY_MAX];
	char hash[PR_SHA256_HEX_SIZE];
	int rc = hash_request(hash, exchange);

	if (rc)
		return rc;
	snprintf(key, sizeof(key), "%s/%s", exchange->workspace_name,
		 exchange->key);
	options.key = pr_slice_of(key);
	options.body_hash = pr_slice_of(hash);
	options.owner = pr_slice_of(owner_of(router, options.key));
	rc = pr_once_start(router->once, &exchange->claim, &options,
			   pr_router_now(router));
	if (rc)
		return rc;
	exchange->claimed = true;
	exchange->holds++;
	pr_index_add(&router->claiming, &exchange->claim_node, exchange->claim);
	return 0;
}

void pr_claim_complete(pr_exchange_t *exchange, pr_verdict_t verdict,
		       int status, pr_slice_t body)
{
	pr_router_t *router = exchange->router;

	if (!exchange->claimed || exchange->claim_completed)
		return;
	exchange->claim_completed = true;
	pr_once_complete(router->once, exchange->claim, verdict, status, body,
			 pr_router_now(router));
}

static void on_granted(void *data, uint64_t request)
{
	pr_router_t *router = data;
	pr_exchange_t *exchange = find_exchange(router, request);

	if (!exchange)
		return;
	exchange->next_granted = router->granted;
	router->granted = exchange;
}

static void on_finished(void *data, uint64_t request,
			const pr_once_result_t *result)
{
	pr_router_t *router = data;
	pr_exchange_t *exchange = find_exchange(router, request);

	if (!exchange)
		return;
	pr_index_remove(&router->claiming, &exchange->claim_node);
	exchange->claimed = false;
	pr_service_finished(exchange, result);
	exchange->holds--;
	pr_exchange_release(exchange);
}

/* The slice must not be called inside granted(), so the requests that were
 * granted during a call are dispatched after it. */
static void dispatch_granted(pr_router_t *router)
{
	while (router->granted) {
		pr_exchange_t *exchange = router->granted;

		router->granted = exchange->next_granted;
		if (!pr_once_dispatch(router->once, exchange->claim,
				      pr_router_now(router)))
			pr_service_dispatch(exchange);
	}
}

static void on_committed(void *data, uint64_t tag, pr_store_status_t status,
			 const pr_store_result_t *results, size_t count)
{
	pr_router_t *router = data;

	pr_once_committed(router->once, tag, status, results, count,
			  pr_router_now(router));
	dispatch_granted(router);
}

static void on_read(void *data, uint64_t tag, pr_store_status_t status,
		    const pr_store_result_t *results, size_t count)
{
	pr_router_t *router = data;

	pr_once_read(router->once, tag, status, results, pr_router_now(router));
	dispatch_granted(router);
}

static void commit(void *data, const pr_store_op_t *ops, size_t count,
		   uint64_t tag)
{
	pr_router_t *router = data;

	pr_store_commit(router->platform, ops, count, STORE_TIMEOUT,
			on_committed, router, tag);
}

static void read_row(void *data, const char *table, pr_slice_t key,
		     uint64_t tag)
{
	pr_router_t *router = data;

	pr_store_read(router->platform, table, key, STORE_TIMEOUT, on_read,
		      router, tag);
}

static void send_message(void *data, pr_slice_t host,
			 const pr_once_message_t *message)
{
	pr_router_t *router = data;
	pr_str_t bytes = PR_STR_INIT;
	char name[PR_ID_BYTES];

	if (!pr_slice_copy(name, sizeof(name), host) &&
	    !pr_once_message_encode(&bytes, message))
		pr_peers_send(router->peers, name, message_types[message->kind],
			      pr_str_slice(&bytes));
	pr_str_finish(&bytes);
}

static const pr_once_ops_t once_ops = {
	.commit = commit,
	.read_row = read_row,
	.send = send_message,
	.granted = on_granted,
	.finished = on_finished,
};

static int init(pr_router_t *router)
{
	pr_once_options_t options = PR_ONCE_OPTIONS_INIT;

	options.ops = &once_ops;
	options.data = router;
	options.timers = &router->timers;
	options.host = router->settings->host;
	if (pr_index_init(&router->claiming, router->settings->limits.requests))
		return PR_ENOMEM;
	return pr_once_open(&router->once, &options);
}

static bool on_message(pr_router_t *router, pr_slice_t from, pr_slice_t type,
		       pr_slice_t payload)
{
	pr_once_message_t message;

	if (!pr_slice_starts_with(type, PR_SLICE("claim")))
		return false;
	if (!pr_once_message_decode(&message, payload))
		pr_once_receive(router->once, from, &message,
				pr_router_now(router));
	dispatch_granted(router);
	return true;
}

static bool idle(const pr_router_t *router)
{
	return pr_once_pending(router->once) == 0;
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	const pr_once_counters_t *counters = pr_once_counters(router->once);

	pr_str_appendf(out,
		       "pr_claim_commits_total %llu\n"
		       "pr_claim_writes_total %llu\n"
		       "pr_claim_reads_total %llu\n"
		       "pr_claim_owner_silent_total %llu\n"
		       "pr_claims_pending %zu\n",
		       (unsigned long long)counters->commits,
		       (unsigned long long)counters->writes,
		       (unsigned long long)counters->reads,
		       (unsigned long long)counters->owner_silent,
		       pr_once_pending(router->once));
}

static void finish(pr_router_t *router)
{
	pr_once_close(router->once);
	pr_index_finish(&router->claiming);
}

const pr_task_ops_t pr_once_task = {
	.name = "claims",
	.init = init,
	.message = on_message,
	.idle = idle,
	.metrics = print_metrics,
	.finish = finish,
};
