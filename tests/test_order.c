/*
 * Orders to engines. Guards against an engine that never gets a version that
 * the configuration lists, orders without a token of the weight store, two
 * owners whose orders carry the same fencing number, a lost answer that is
 * taken for success or that stops the order for good, and orders from a host
 * that is not the owner.
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

typedef enum kind_t {
	READ,
	RAISE,
	TOKEN,
	SEND
} kind_t;

/* An effect that is under way: it takes effect, and is answered, later. */
typedef struct effect_t {
	kind_t kind;
	unsigned int host;
	uint64_t tag, row_version, fence;
	char value[320];
	pr_usec_t at;
	bool lost;
} effect_t;

typedef struct world_t {
	pr_orders_t *hosts[HOSTS];
	struct side_t {
		struct world_t *world;
		unsigned int host;
	} sides[HOSTS];
	bool owner[HOSTS];
	pr_rand_t rand;
	pr_usec_t now;
	effect_t queue[QUEUE];
	unsigned int queued;
	/* Parts per hundred of answers that are lost; longest delay. */
	unsigned int lose;
	pr_usec_t delay;
	/* The table's row. */
	uint64_t row;
	char value[320];
	/* The engine. */
	bool fencing, loaded;
	uint64_t fence, accepted, refused;
	unsigned int loads, tokens, tokens_refused;
	unsigned int token_limit;
	/* Fencing numbers that hosts were given. */
	uint64_t given[QUEUE];
	unsigned int given_by[QUEUE], given_count;
} world_t;

static effect_t *add(void *data, kind_t kind, uint64_t tag)
{
	struct side_t *side = data;
	world_t *world = side->world;
	effect_t *effect = &world->queue[world->queued++];

	assert_in_range(world->queued, 1, QUEUE);
	*effect = (effect_t){
		.kind = kind,
		.host = side->host,
		.tag = tag,
		.at = world->now +
		      pr_rand_below(&world->rand, (uint32_t)world->delay + 1),
		.lost = pr_rand_below(&world->rand, 100) < world->lose,
	};
	return effect;
}

static bool owns(void *data, const char *upstream)
{
	struct side_t *side = data;

	return side->world->owner[side->host];
}

static void read_row(void *data, const char *upstream, uint64_t tag)
{
	add(data, READ, tag);
}

static void raise_row(void *data, const char *upstream, uint64_t row_version,
		      const char *value, uint64_t tag)
{
	effect_t *effect = add(data, RAISE, tag);

	effect->row_version = row_version;
	snprintf(effect->value, sizeof(effect->value), "%s", value);
}

static void take_token(void *data, const char *upstream,
		       const char *model_version, uint64_t tag)
{
	add(data, TOKEN, tag);
}

static void send_order(void *data, const char *upstream,
		       const char *model_version, uint64_t fence, uint64_t tag)
{
	struct side_t *side = data;
	world_t *world = side->world;
	effect_t *effect = add(data, SEND, tag);

	effect->fence = fence;
	world->given[world->given_count] = fence;
	world->given_by[world->given_count++] = side->host;
}

static const pr_order_ops_t ops = {
	.owns = owns,
	.read_row = read_row,
	.replace_row = raise_row,
	.request_token = take_token,
	.send_order = send_order,
};

static void store_effect(world_t *world, const effect_t *effect)
{
	pr_orders_t *orders = world->hosts[effect->host];
	pr_store_status_t status =
		effect->lost ? PR_STORE_UNKNOWN : PR_STORE_ANSWERED;
	pr_store_result_t result = { 0 };

	if (effect->kind == RAISE && effect->row_version == world->row) {
		world->row++;
		memcpy(world->value, effect->value, sizeof(world->value));
		result.applied = true;
	}
	result.version = world->row;
	result.value = pr_slice_of(world->value);
	if (effect->kind == RAISE)
		pr_orders_replace_done(orders, effect->tag, status, &result,
				       world->now);
	else
		pr_orders_read_done(orders, effect->tag, status, &result,
				    world->now);
}

static void run_effect(world_t *world, const effect_t *effect)
{
	pr_orders_t *orders = world->hosts[effect->host];
	pr_order_outcome_t outcome = PR_ORDER_OK;

	if (effect->kind <= RAISE) {
		store_effect(world, effect);
		return;
	}
	if (effect->kind == TOKEN) {
		if (world->tokens >= world->token_limit) {
			outcome = PR_ORDER_REFUSED;
			world->tokens_refused++;
		} else {
			world->tokens++;
		}
		pr_orders_token_done(orders, effect->tag,
				     effect->lost ? PR_ORDER_UNKNOWN : outcome,
				     world->now);
		return;
	}
	if (world->fencing && effect->fence < world->fence) {
		outcome = PR_ORDER_REFUSED;
		world->refused++;
	} else {
		world->fence = effect->fence;
		world->accepted++;
		world->loads++;
		world->loaded = true;
	}
	pr_orders_send_done(orders, effect->tag,
			    effect->lost ? PR_ORDER_UNKNOWN : outcome,
			    world->now);
}

static void run_due(world_t *world)
{
	for (unsigned int i = 0; i < world->queued;) {
		effect_t effect = world->queue[i];

		if (effect.at > world->now) {
			i++;
			continue;
		}
		world->queue[i] = world->queue[--world->queued];
		run_effect(world, &effect);
	}
}

static void open_world(world_t *world, uint64_t seed)
{
	static const char *const boots[HOSTS] = { "boot-a", "boot-b" };
	pr_order_options_t options = PR_ORDER_OPTIONS_INIT;

	memset(world, 0, sizeof(*world));
	pr_rand_init(&world->rand, seed);
	world->delay = 200 * MSEC;
	world->token_limit = 1000;
	for (unsigned int i = 0; i < HOSTS; i++) {
		world->sides[i].world = world;
		world->sides[i].host = i;
		options.host = "host";
		options.boot = boots[i];
		assert_int_equal(pr_orders_open(&world->hosts[i], &options,
						&ops, &world->sides[i]),
				 0);
		pr_orders_desired_begin(world->hosts[i]);
		pr_orders_desired_add(world->hosts[i], "e1", "small@v2");
		pr_orders_desired_end(world->hosts[i]);
	}
}

static void close_world(world_t *world)
{
	for (unsigned int i = 0; i < HOSTS; i++)
		pr_orders_close(world->hosts[i]);
	pr_rand_finish(&world->rand);
}

/* Reports arrive every 500 ms and are ahead of or behind the orders. */
static void run(world_t *world, pr_usec_t until, bool stop_when_loaded)
{
	while (world->now < until && !(stop_when_loaded && world->loaded)) {
		world->now += 100 * MSEC;
		run_due(world);
		for (unsigned int i = 0; i < HOSTS; i++) {
			if (world->now % (500 * MSEC) == 0)
				pr_orders_report(world->hosts[i], "e1",
						 "small@v2", world->loaded,
						 world->now);
			pr_orders_tick(world->hosts[i], world->now);
		}
	}
}

static void one_owner_loads_once(void **state)
{
	world_t world;

	open_world(&world, 1);
	world.owner[0] = true;
	run(&world, 300 * SEC, false);
	assert_true(world.loaded);
	assert_int_equal(world.loads, 1);
	assert_int_equal(world.tokens, 1);
	assert_int_equal(pr_orders_stats(world.hosts[0])->completed, 1);
	assert_int_equal(pr_orders_stats(world.hosts[1])->sent, 0);
	close_world(&world);
}

static void no_order_without_token(void **state)
{
	world_t world;

	open_world(&world, 2);
	world.owner[0] = true;
	world.token_limit = 0;
	run(&world, 300 * SEC, false);
	assert_int_equal(world.loads, 0);
	/* Pauses double from 1 s to 60 s. */
	assert_in_range(world.tokens_refused, 5, 12);
	world.token_limit = 1;
	run(&world, 500 * SEC, false);
	assert_int_equal(world.loads, 1);
	close_world(&world);
}

static void lost_answers_delay_only(void **state)
{
	unsigned int loads = 0;

	for (uint64_t seed = 101; seed <= 120; seed++) {
		world_t world;

		open_world(&world, seed);
		world.owner[0] = true;
		world.lose = 40;
		run(&world, 600 * SEC, true);
		assert_true(world.loaded);
		/* Every order that reached the engine had its token. */
		assert_true(world.loads <= world.tokens);
		loads += world.loads;
		close_world(&world);
	}
	assert_in_range(loads, 20, 20);
}

/* Both hosts take themselves for the owner, and messages are slow. */
static void two_owners_get_different_numbers(void **state)
{
	uint64_t refused = 0;

	for (uint64_t seed = 101; seed <= 120; seed++) {
		world_t world;

		open_world(&world, seed);
		world.owner[0] = world.owner[1] = true;
		world.fencing = true;
		world.lose = 20;
		world.delay = 3 * SEC;
		for (int round = 0; round < 5; round++) {
			world.loaded = false;
			run(&world, world.now + 200 * SEC, false);
			assert_true(world.loaded);
		}
		for (unsigned int i = 0; i < world.given_count; i++)
			for (unsigned int j = 0; j < i; j++)
				assert_true(world.given[i] != world.given[j]);
		assert_true(world.loads <= world.tokens);
		refused += world.refused;
		close_world(&world);
	}
	assert_true(refused > 0);
}

static void removed_version_gets_no_order(void **state)
{
	world_t world;

	open_world(&world, 3);
	world.owner[0] = true;
	pr_orders_report(world.hosts[0], "e1", "small@v2", false, 0);
	pr_orders_desired_begin(world.hosts[0]);
	pr_orders_desired_end(world.hosts[0]);
	run(&world, 60 * SEC, false);
	assert_int_equal(world.loads, 0);
	close_world(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_owner_loads_once),
		cmocka_unit_test(no_order_without_token),
		cmocka_unit_test(lost_answers_delay_only),
		cmocka_unit_test(two_owners_get_different_numbers),
		cmocka_unit_test(removed_version_gets_no_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
