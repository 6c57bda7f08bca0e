/*
 * Tests of src/order against a simulated store, weight store and engine. They
 * guard against an engine that never receives a version that the configuration
 * lists, orders without a token of the weight store, two owners whose orders
 * carry the same fencing number, a lost answer that counts as success or ends
 * the order for good, and orders from a host that is not the owner.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pistachiorack/order.h"
#include "pistachiorack/rand.h"

#define SEC   PR_USEC_PER_SEC
#define MSEC  PR_USEC_PER_MSEC
#define HOSTS 2
#define QUEUE 256

typedef enum operation_kind_t {
	READ,
	REPLACE,
	TOKEN,
	SEND
} operation_kind_t;

/* Pending operation; it is executed and answered at a later time. */
typedef struct operation_t {
	operation_kind_t kind;
	unsigned int host;
	uint64_t tag, row_version, fence;
	char value[320];
	pr_usec_t at;
	/* The answer is lost. */
	bool lost;
} operation_t;

typedef struct simulation_t {
	pr_orders_t *hosts[HOSTS];
	struct host_context_t {
		struct simulation_t *sim;
		unsigned int host;
	} contexts[HOSTS];
	bool owner[HOSTS];
	pr_rand_t rand;
	pr_usec_t now;
	operation_t queue[QUEUE];
	unsigned int queued;
	/* Percentage of answers that are lost. */
	unsigned int loss_percent;
	/* Longest delay of an operation in microseconds. */
	pr_usec_t delay_max;
	/* Version and value of the row in the store. */
	uint64_t row_version;
	char value[320];
	/* The engine: whether it checks fencing numbers, and its state. */
	bool fencing, loaded;
	uint64_t fence, accepted, refused;
	unsigned int loads, tokens, tokens_refused;
	unsigned int token_limit;
	/* Fencing numbers of the orders sent, and the hosts that sent them. */
	uint64_t sent_fences[QUEUE];
	unsigned int sent_by[QUEUE], sent_count;
} simulation_t;

static operation_t *enqueue(void *data, operation_kind_t kind, uint64_t tag)
{
	struct host_context_t *context = data;
	simulation_t *sim = context->sim;
	operation_t *operation = &sim->queue[sim->queued++];

	assert_in_range(sim->queued, 1, QUEUE);
	*operation = (operation_t){
		.kind = kind,
		.host = context->host,
		.tag = tag,
		.at = sim->now +
		      pr_rand_below(&sim->rand, (uint32_t)sim->delay_max + 1),
		.lost = pr_rand_below(&sim->rand, 100) < sim->loss_percent,
	};
	return operation;
}

static bool owns(void *data, const char *upstream)
{
	struct host_context_t *context = data;

	return context->sim->owner[context->host];
}

static void read_row(void *data, const char *upstream, uint64_t tag)
{
	enqueue(data, READ, tag);
}

static void replace_row(void *data, const char *upstream, uint64_t row_version,
			const char *value, uint64_t tag)
{
	operation_t *operation = enqueue(data, REPLACE, tag);

	operation->row_version = row_version;
	snprintf(operation->value, sizeof(operation->value), "%s", value);
}

static void request_token(void *data, const char *upstream,
			  const char *model_version, uint64_t tag)
{
	enqueue(data, TOKEN, tag);
}

static void send_order(void *data, const char *upstream,
		       const char *model_version, uint64_t fence, uint64_t tag)
{
	struct host_context_t *context = data;
	simulation_t *sim = context->sim;
	operation_t *operation = enqueue(data, SEND, tag);

	operation->fence = fence;
	sim->sent_fences[sim->sent_count] = fence;
	sim->sent_by[sim->sent_count++] = context->host;
}

static const pr_order_ops_t ops = {
	.owns = owns,
	.read_row = read_row,
	.replace_row = replace_row,
	.request_token = request_token,
	.send_order = send_order,
};

static void run_store_operation(simulation_t *sim, const operation_t *operation)
{
	pr_orders_t *orders = sim->hosts[operation->host];
	pr_store_status_t status =
		operation->lost ? PR_STORE_UNKNOWN : PR_STORE_ANSWERED;
	pr_store_result_t result = { 0 };

	if (operation->kind == REPLACE &&
	    operation->row_version == sim->row_version) {
		sim->row_version++;
		memcpy(sim->value, operation->value, sizeof(sim->value));
		result.applied = true;
	}
	result.version = sim->row_version;
	result.value = pr_slice_of(sim->value);
	if (operation->kind == REPLACE)
		pr_orders_replace_done(orders, operation->tag, status, &result,
				       sim->now);
	else
		pr_orders_read_done(orders, operation->tag, status, &result,
				    sim->now);
}

static void run_operation(simulation_t *sim, const operation_t *operation)
{
	pr_orders_t *orders = sim->hosts[operation->host];
	pr_order_outcome_t outcome = PR_ORDER_OK;

	if (operation->kind <= REPLACE) {
		run_store_operation(sim, operation);
		return;
	}
	if (operation->kind == TOKEN) {
		if (sim->tokens >= sim->token_limit) {
			outcome = PR_ORDER_REFUSED;
			sim->tokens_refused++;
		} else {
			sim->tokens++;
		}
		pr_orders_token_done(
			orders, operation->tag,
			operation->lost ? PR_ORDER_UNKNOWN : outcome, sim->now);
		return;
	}
	if (sim->fencing && operation->fence < sim->fence) {
		outcome = PR_ORDER_REFUSED;
		sim->refused++;
	} else {
		sim->fence = operation->fence;
		sim->accepted++;
		sim->loads++;
		sim->loaded = true;
	}
	pr_orders_send_done(orders, operation->tag,
			    operation->lost ? PR_ORDER_UNKNOWN : outcome,
			    sim->now);
}

static void run_due_operations(simulation_t *sim)
{
	for (unsigned int i = 0; i < sim->queued;) {
		operation_t operation = sim->queue[i];

		if (operation.at > sim->now) {
			i++;
			continue;
		}
		sim->queue[i] = sim->queue[--sim->queued];
		run_operation(sim, &operation);
	}
}

static void open_simulation(simulation_t *sim, uint64_t seed)
{
	static const char *const boots[HOSTS] = { "boot-a", "boot-b" };
	pr_order_options_t options = PR_ORDER_OPTIONS_INIT;

	memset(sim, 0, sizeof(*sim));
	pr_rand_init(&sim->rand, seed);
	sim->delay_max = 200 * MSEC;
	sim->token_limit = 1000;
	for (unsigned int i = 0; i < HOSTS; i++) {
		sim->contexts[i].sim = sim;
		sim->contexts[i].host = i;
		options.host = "host";
		options.boot = boots[i];
		assert_int_equal(pr_orders_open(&sim->hosts[i], &options, &ops,
						&sim->contexts[i]),
				 0);
		pr_orders_desired_begin(sim->hosts[i]);
		pr_orders_desired_add(sim->hosts[i], "e1", "small@v2");
		pr_orders_desired_end(sim->hosts[i]);
	}
}

static void close_simulation(simulation_t *sim)
{
	for (unsigned int i = 0; i < HOSTS; i++)
		pr_orders_close(sim->hosts[i]);
	pr_rand_finish(&sim->rand);
}

/* Load reports arrive every 500 ms, independently of the orders in progress. */
static void run(simulation_t *sim, pr_usec_t until, bool stop_when_loaded)
{
	while (sim->now < until && !(stop_when_loaded && sim->loaded)) {
		sim->now += 100 * MSEC;
		run_due_operations(sim);
		for (unsigned int i = 0; i < HOSTS; i++) {
			if (sim->now % (500 * MSEC) == 0)
				pr_orders_report(sim->hosts[i], "e1",
						 "small@v2", sim->loaded,
						 sim->now);
			pr_orders_tick(sim->hosts[i], sim->now);
		}
	}
}

static void one_owner_loads_once(void **state)
{
	simulation_t sim;

	open_simulation(&sim, 1);
	sim.owner[0] = true;
	run(&sim, 300 * SEC, false);
	assert_true(sim.loaded);
	assert_int_equal(sim.loads, 1);
	assert_int_equal(sim.tokens, 1);
	assert_int_equal(pr_orders_stats(sim.hosts[0])->completed, 1);
	assert_int_equal(pr_orders_stats(sim.hosts[1])->sent, 0);
	close_simulation(&sim);
}

static void no_order_without_token(void **state)
{
	simulation_t sim;

	open_simulation(&sim, 2);
	sim.owner[0] = true;
	sim.token_limit = 0;
	run(&sim, 300 * SEC, false);
	assert_int_equal(sim.loads, 0);
	/* Retry delays double from 1 s to 60 s. */
	assert_in_range(sim.tokens_refused, 5, 12);
	sim.token_limit = 1;
	run(&sim, 500 * SEC, false);
	assert_int_equal(sim.loads, 1);
	close_simulation(&sim);
}

static void lost_answers_only_delay_the_order(void **state)
{
	unsigned int loads = 0;

	for (uint64_t seed = 101; seed <= 120; seed++) {
		simulation_t sim;

		open_simulation(&sim, seed);
		sim.owner[0] = true;
		sim.loss_percent = 40;
		run(&sim, 600 * SEC, true);
		assert_true(sim.loaded);
		/* Each order that reached the engine had a token. */
		assert_true(sim.loads <= sim.tokens);
		loads += sim.loads;
		close_simulation(&sim);
	}
	assert_in_range(loads, 20, 20);
}

/* Both hosts act as the owner, and messages are slow. */
static void two_owners_send_different_fences(void **state)
{
	uint64_t refused = 0;

	for (uint64_t seed = 101; seed <= 120; seed++) {
		simulation_t sim;

		open_simulation(&sim, seed);
		sim.owner[0] = sim.owner[1] = true;
		sim.fencing = true;
		sim.loss_percent = 20;
		sim.delay_max = 3 * SEC;
		for (int round = 0; round < 5; round++) {
			sim.loaded = false;
			run(&sim, sim.now + 200 * SEC, false);
			assert_true(sim.loaded);
		}
		for (unsigned int i = 0; i < sim.sent_count; i++)
			for (unsigned int j = 0; j < i; j++)
				assert_true(sim.sent_fences[i] !=
					    sim.sent_fences[j]);
		assert_true(sim.loads <= sim.tokens);
		refused += sim.refused;
		close_simulation(&sim);
	}
	assert_true(refused > 0);
}

static void removed_version_gets_no_order(void **state)
{
	simulation_t sim;

	open_simulation(&sim, 3);
	sim.owner[0] = true;
	pr_orders_report(sim.hosts[0], "e1", "small@v2", false, 0);
	pr_orders_desired_begin(sim.hosts[0]);
	pr_orders_desired_end(sim.hosts[0]);
	run(&sim, 60 * SEC, false);
	assert_int_equal(sim.loads, 0);
	close_simulation(&sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_owner_loads_once),
		cmocka_unit_test(no_order_without_token),
		cmocka_unit_test(lost_answers_only_delay_the_order),
		cmocka_unit_test(two_owners_send_different_fences),
		cmocka_unit_test(removed_version_gets_no_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
