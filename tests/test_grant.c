/*
 * Tests of src/grant: simulates many hosts in one process and in virtual time,
 * over a network that delays and loses messages and can be partitioned.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/msgpack_check.h"
#include "grant/message.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/rand.h"

#define HOSTS_MAX 64
/* Time between two steps of the simulation. */
#define STEP      (20 * PR_USEC_PER_MSEC)
#define QUEUE_MAX 4096
#define LIMIT     10000
#define LIFETIME  (2 * PR_USEC_PER_SEC)
/* Maximum delay of a view update; see schedule_view_updates(). */
#define VIEW_DELAY_MAX (8 * PR_USEC_PER_SEC)
#define SEC_TO_USEC(n) ((n)*PR_USEC_PER_SEC)

typedef struct fleet_t fleet_t;

typedef struct host_t {
	fleet_t *fleet;
	char name[8];
	pr_grants_t *grants;
	pr_grant_t *share;
	bool down;
	/* Side of a partition; messages pass only between hosts of one side. */
	int side;
	pr_usec_t paused_until;
	/* Membership view: the hosts that this host considers live. */
	bool live_in_view[HOSTS_MAX];
	/* When the view is next set to the true state. */
	pr_usec_t view_update_at;
	uint32_t demand;
} host_t;

typedef struct packet_t {
	pr_usec_t due;
	int from, to;
	size_t len;
	char bytes[256];
} packet_t;

struct fleet_t {
	host_t hosts[HOSTS_MAX];
	int count;
	pr_usec_t now;
	pr_rand_t rand;
	packet_t queue[QUEUE_MAX];
	int queue_len;
	/* Probability that a message is lost. */
	double loss;
	pr_grant_options_t options;
	/*
	 * Time from which on all views have agreed for two lifetimes, with 2 s
	 * to spare.
	 */
	pr_usec_t views_agree_at;
	/*
	 * Measurements. Ratios are the amount spent by all hosts / LIMIT; those
	 * named agreed, and the sums, count only from views_agree_at on.
	 */
	double max_ratio, max_ratio_agreed, sum_spent, sum_spendable;
	/* Virtual time during which the ratio was above 1. */
	pr_usec_t time_above_limit;
	/* Steps with a ratio above allowed_ratio(). */
	int bound_violations;
	/* When each host was last the owner in its own view; 0 for never. */
	pr_usec_t owner_last_seen[HOSTS_MAX];
};

static int index_of(pr_slice_t name)
{
	return atoi(name.ptr + 1);
}

/* @return index of the owner in the view of a host, -1 for an empty view */
static int owner_in_view_of(const host_t *host, pr_slice_t resource)
{
	uint64_t best = 0;
	int owner = -1;

	for (int i = 0; i < host->fleet->count; i++) {
		const host_t *other = &host->fleet->hosts[i];
		uint64_t score;

		if (!host->live_in_view[i])
			continue;
		score = pr_rendezvous_score(resource, pr_slice_of(other->name));
		if (owner < 0 || score > best) {
			best = score;
			owner = i;
		}
	}
	return owner;
}

static pr_slice_t fake_owner(void *data, pr_slice_t resource)
{
	host_t *host = data;
	int owner = owner_in_view_of(host, resource);

	return pr_slice_of(owner < 0 ? "" : host->fleet->hosts[owner].name);
}

static uint32_t fake_limit(void *data, pr_slice_t resource)
{
	return LIMIT;
}

static void fake_send(void *data, pr_slice_t to, pr_slice_t message)
{
	host_t *host = data;
	fleet_t *fleet = host->fleet;
	packet_t *packet = &fleet->queue[fleet->queue_len];

	assert_true(fleet->queue_len < QUEUE_MAX);
	assert_true(message.len <= sizeof(packet->bytes));
	if (pr_rand_unit(&fleet->rand) < fleet->loss)
		return;
	packet->due = fleet->now + 1000 + pr_rand_below(&fleet->rand, 60000);
	packet->from = (int)(host - fleet->hosts);
	packet->to = index_of(to);
	packet->len = message.len;
	memcpy(packet->bytes, message.ptr, message.len);
	fleet->queue_len++;
}

static const pr_grant_ops_t fake_ops = { fake_owner, fake_limit, fake_send };

static bool is_running(const host_t *host)
{
	return !host->down && host->fleet->now >= host->paused_until;
}

static void open_host(host_t *host)
{
	pr_grant_options_t options = host->fleet->options;

	options.host = pr_slice_of(host->name);
	assert_int_equal(pr_grants_open(&host->grants, &options, &fake_ops,
					host, host->fleet->now),
			 0);
	host->share = pr_grants_get(host->grants, PR_SLICE("limit"));
	assert_non_null(host->share);
}

static void update_view(host_t *host)
{
	unsigned int live = 0;

	for (int i = 0; i < host->fleet->count; i++) {
		const host_t *other = &host->fleet->hosts[i];

		host->live_in_view[i] =
			!other->down && other->side == host->side;
		live += host->live_in_view[i];
	}
	host->view_update_at = PR_USEC_NEVER;
	pr_grants_set_view(host->grants, live, host->fleet->count,
			   host->fleet->now);
}

/*
 * Schedules the update of every view after a change of the true state, each
 * after a random delay.
 */
static void schedule_view_updates(fleet_t *fleet, pr_usec_t delay_max)
{
	pr_usec_t agreed_at =
		fleet->now + delay_max + 2 * LIFETIME + SEC_TO_USEC(2);

	for (int i = 0; i < fleet->count; i++)
		fleet->hosts[i].view_update_at =
			fleet->now +
			pr_rand_below(&fleet->rand, (uint32_t)delay_max);
	if (agreed_at > fleet->views_agree_at)
		fleet->views_agree_at = agreed_at;
}

static fleet_t *fleet_new(int count, uint64_t seed, bool wait, bool scale)
{
	fleet_t *fleet = calloc(1, sizeof(*fleet));

	assert_non_null(fleet);
	fleet->options = (pr_grant_options_t)PR_GRANT_OPTIONS_INIT;
	fleet->options.new_owner_waits = wait;
	fleet->options.scale_by_view = scale;
	fleet->count = count;
	fleet->loss = 0.01;
	assert_int_equal(pr_rand_init(&fleet->rand, seed), 0);
	for (int i = 0; i < count; i++) {
		host_t *host = &fleet->hosts[i];

		host->fleet = fleet;
		snprintf(host->name, sizeof(host->name), "h%d", i);
		open_host(host);
		host->demand = pr_rand_below(&fleet->rand, LIMIT / 4);
	}
	for (int i = 0; i < count; i++)
		update_view(&fleet->hosts[i]);
	return fleet;
}

static void fleet_free(fleet_t *fleet)
{
	for (int i = 0; i < fleet->count; i++)
		pr_grants_close(fleet->hosts[i].grants);
	pr_rand_finish(&fleet->rand);
	free(fleet);
}

static void deliver(fleet_t *fleet)
{
	for (int i = 0; i < fleet->queue_len;) {
		packet_t packet = fleet->queue[i];
		host_t *from = &fleet->hosts[packet.from];
		host_t *to = &fleet->hosts[packet.to];

		/* A paused host receives its messages when it resumes. */
		if (packet.due > fleet->now ||
		    (!to->down && fleet->now < to->paused_until)) {
			i++;
			continue;
		}
		fleet->queue[i] = fleet->queue[--fleet->queue_len];
		if (!to->down && to->side == from->side)
			pr_grants_receive(to->grants, pr_slice_of(from->name),
					  pr_slice(packet.bytes, packet.len),
					  fleet->now);
	}
}

/*
 * The documented bound m + u / n of the ratio, where m is the number of hosts
 * that were the owner in their own view in the last two lifetimes, and u the
 * number of hosts that spend their fallback amount.
 */
static double allowed_ratio(fleet_t *fleet)
{
	double owners = 0, floors = 0;

	for (int i = 0; i < fleet->count; i++) {
		host_t *host = &fleet->hosts[i];

		if (host->down)
			continue;
		if (owner_in_view_of(host, PR_SLICE("limit")) == i)
			fleet->owner_last_seen[i] = fleet->now;
		floors += pr_grant_is_fallback(host->grants, host->share,
					       fleet->now);
	}
	for (int i = 0; i < fleet->count; i++)
		owners +=
			fleet->owner_last_seen[i] > 0 &&
			fleet->now - fleet->owner_last_seen[i] <= 2 * LIFETIME;
	return (owners > 1 ? owners : 1) + floors / fleet->count;
}

static void update_measurements(fleet_t *fleet)
{
	double sum = 0, wanted = 0, ratio;

	for (int i = 0; i < fleet->count; i++) {
		host_t *host = &fleet->hosts[i];
		uint32_t amount;

		/*
		 * A paused host spends nothing, and it reads the clock before
		 * it spends after the pause.
		 */
		if (!is_running(host))
			continue;
		amount = pr_grant_amount(host->grants, host->share, fleet->now);
		sum += amount < host->demand ? amount : host->demand;
		wanted += host->demand;
	}
	ratio = sum / LIMIT;
	fleet->max_ratio = ratio > fleet->max_ratio ? ratio : fleet->max_ratio;
	if (ratio > 1)
		fleet->time_above_limit += STEP;
	if (ratio > allowed_ratio(fleet))
		fleet->bound_violations++;
	if (fleet->now < fleet->views_agree_at)
		return;
	if (ratio > fleet->max_ratio_agreed)
		fleet->max_ratio_agreed = ratio;
	fleet->sum_spent += sum;
	fleet->sum_spendable += wanted < LIMIT ? wanted : LIMIT;
}

static void run(fleet_t *fleet, pr_usec_t duration)
{
	pr_usec_t end = fleet->now + duration;

	for (; fleet->now < end; fleet->now += STEP) {
		deliver(fleet);
		for (int i = 0; i < fleet->count; i++) {
			host_t *host = &fleet->hosts[i];
			uint32_t demand[PR_GRANT_CLASSES] = { 0, host->demand };

			if (!is_running(host))
				continue;
			if (fleet->now >= host->view_update_at)
				update_view(host);
			pr_grant_set_demand(host->grants, host->share, demand,
					    0, fleet->now);
			if (fleet->now % (5 * STEP) == 0)
				pr_grants_tick(host->grants, fleet->now);
		}
		update_measurements(fleet);
	}
}

/* Partitions the first hosts from the others; 0 hosts end the partition. */
static void partition_fleet(fleet_t *fleet, int minority)
{
	for (int i = 0; i < fleet->count; i++)
		fleet->hosts[i].side = i < minority;
	schedule_view_updates(fleet, VIEW_DELAY_MAX);
}

/* Stops a running host, or starts a stopped one with empty state. */
static void toggle_host(fleet_t *fleet, host_t *host)
{
	host->down = !host->down;
	if (!host->down) {
		pr_grants_close(host->grants);
		open_host(host);
		update_view(host);
	}
	schedule_view_updates(fleet, VIEW_DELAY_MAX);
}

static void random_event(fleet_t *fleet)
{
	host_t *host = &fleet->hosts[pr_rand_below(&fleet->rand, fleet->count)];
	int owner = owner_in_view_of(host, PR_SLICE("limit"));

	switch (pr_rand_below(&fleet->rand, 6)) {
	case 0:
		partition_fleet(fleet, (int)pr_rand_below(&fleet->rand,
							  fleet->count / 2));
		break;
	case 1:
		toggle_host(fleet, host);
		break;
	case 2:
		toggle_host(fleet, &fleet->hosts[owner < 0 ? 0 : owner]);
		break;
	case 3:
		host = &fleet->hosts[owner < 0 ? 0 : owner];
		/* fall through */
	case 4:
		host->paused_until =
			fleet->now + pr_rand_below(&fleet->rand, 6000000);
		break;
	default:
		/* A host considers another one dead until its next update. */
		host->live_in_view[pr_rand_below(&fleet->rand, fleet->count)] =
			false;
		schedule_view_updates(fleet, VIEW_DELAY_MAX);
	}
	host = &fleet->hosts[pr_rand_below(&fleet->rand, fleet->count)];
	host->demand = pr_rand_below(&fleet->rand, LIMIT);
}

/* Runs 40 random events, some 20 minutes of virtual time. */
static fleet_t *run_random_events(uint64_t seed, bool wait, bool scale)
{
	fleet_t *fleet = fleet_new(16, seed, wait, scale);

	run(fleet, SEC_TO_USEC(10));
	for (int i = 0; i < 40; i++) {
		random_event(fleet);
		run(fleet,
		    SEC_TO_USEC(2) + pr_rand_below(&fleet->rand, 40000000));
	}
	return fleet;
}

/*
 * Guards against spending above the documented bound while hosts restart or
 * pause, the network is partitioned, the owner changes, and views disagree.
 */
static void random_events_stay_within_bound(void **state)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		fleet_t *fleet = run_random_events(seed, true, true);

		print_message("seed %lu: maximum %.3f L, with agreed views "
			      "%.3f L, above "
			      "L for %.1f s of %.0f s, used %.3f\n",
			      seed, fleet->max_ratio, fleet->max_ratio_agreed,
			      (double)fleet->time_above_limit / 1e6,
			      (double)fleet->now / 1e6,
			      fleet->sum_spent / fleet->sum_spendable);
		assert_int_equal(fleet->bound_violations, 0);
		assert_true(fleet->max_ratio_agreed <= 1.0);
		assert_true(fleet->max_ratio <= 2.0);
		fleet_free(fleet);
	}
}

/* @return maximum ratio in a partition of 5 against 11 hosts, views agreed */
static double max_ratio_of_partition(uint64_t seed, bool scale)
{
	fleet_t *fleet = fleet_new(16, seed, true, scale);
	double max_ratio;

	for (int i = 0; i < fleet->count; i++)
		fleet->hosts[i].demand = LIMIT;
	run(fleet, SEC_TO_USEC(5));
	partition_fleet(fleet, 5);
	run(fleet, SEC_TO_USEC(60));
	max_ratio = fleet->max_ratio_agreed;
	fleet_free(fleet);
	return max_ratio;
}

/*
 * Guards against owners on both sides of a partition that each grant the whole
 * limit.
 */
static void scaling_limits_sum_in_partition(void **state)
{
	double ratio_scaled = max_ratio_of_partition(3, true);
	double ratio_unscaled = max_ratio_of_partition(3, false);

	print_message("partition 5 of 16: %.3f L, without scaling %.3f L\n",
		      ratio_scaled, ratio_unscaled);
	assert_true(ratio_scaled <= 1.0);
	assert_true(ratio_unscaled > 1.5);
}

/* @return maximum ratio in the 10 s after the owner fails */
static double max_ratio_after_owner_fails(uint64_t seed, bool wait)
{
	fleet_t *fleet = fleet_new(16, seed, wait, true);
	double max_ratio;
	int owner;

	for (int i = 0; i < fleet->count; i++)
		fleet->hosts[i].demand = i % 2 ? LIMIT : LIMIT / 8;
	run(fleet, SEC_TO_USEC(6));
	owner = owner_in_view_of(&fleet->hosts[0], PR_SLICE("limit"));
	fleet->hosts[owner].down = true;
	schedule_view_updates(fleet, 100 * PR_USEC_PER_MSEC);
	fleet->max_ratio = 0;
	run(fleet, SEC_TO_USEC(10));
	max_ratio = fleet->max_ratio;
	fleet_free(fleet);
	return max_ratio;
}

/*
 * Guards against a new owner that grants amounts for which leases of the
 * previous owner are still valid.
 */
static void new_owner_waits(void **state)
{
	double with_wait = 0, without_wait = 0;

	for (uint64_t seed = 1; seed <= 10; seed++) {
		double ratio = max_ratio_after_owner_fails(seed, true);
		double ratio_no_wait = max_ratio_after_owner_fails(seed, false);

		with_wait = ratio > with_wait ? ratio : with_wait;
		without_wait = ratio_no_wait > without_wait ? ratio_no_wait
							    : without_wait;
	}
	print_message("owner fails: %.3f L, without the wait %.3f L\n",
		      with_wait, without_wait);
	assert_true(with_wait <= 1.25);
	assert_true(without_wait > 1.4);
}

/*
 * Guards against a part of the limit that stays unused under steady demand, and
 * against spending above the limit.
 */
static void steady_load_uses_limit(void **state)
{
	fleet_t *fleet = fleet_new(32, 5, true, true);
	uint64_t sent = 0;

	fleet->views_agree_at = SEC_TO_USEC(5);
	run(fleet, SEC_TO_USEC(30));
	for (int i = 0; i < fleet->count; i++)
		sent += pr_grants_stats(fleet->hosts[i].grants)->requests_sent;
	print_message("steady: %.4f of the limit used, %.2f requests/s/host\n",
		      fleet->sum_spent / fleet->sum_spendable,
		      (double)sent / 30 / fleet->count);
	assert_true(fleet->sum_spent / fleet->sum_spendable > 0.97);
	assert_true(fleet->max_ratio_agreed <= 1.0);
	fleet_free(fleet);
}

/*
 * Guards against a less important class that gets amounts which a more
 * important class needs.
 */
static void classes_are_served_in_order(void **state)
{
	static const uint32_t first[PR_GRANT_CLASSES] = { 8000, 0, 0 };
	static const uint32_t last[PR_GRANT_CLASSES] = { 0, 0, 8000 };
	fleet_t *fleet = fleet_new(2, 7, true, true);
	pr_usec_t now = 0;

	fleet->loss = 0;
	for (; now < SEC_TO_USEC(10); now = fleet->now += STEP) {
		deliver(fleet);
		for (int i = 0; i < 2; i++) {
			host_t *host = &fleet->hosts[i];

			pr_grant_set_demand(host->grants, host->share,
					    i ? last : first, 0, now);
			pr_grants_tick(host->grants, now);
		}
	}
	assert_true(pr_grant_amount(fleet->hosts[0].grants,
				    fleet->hosts[0].share, now) >= 8000);
	assert_in_range(pr_grant_amount(fleet->hosts[1].grants,
					fleet->hosts[1].share, now),
			1500, 2000);
	fleet_free(fleet);
}

/* Guards against a decoder that reads past the bounds of a corrupt message. */
static void decoder_tolerates_corrupt_messages(void **state)
{
	pr_lease_message_t message = { .type = PR_LEASE_REQUEST,
				       .resource = "model/large",
				       .sent = 77,
				       .held = 5,
				       .demand = { 1, 2, 3 } };
	pr_lease_message_t decoded;
	msgpack_sbuffer buffer;
	pr_rand_t rand;

	msgpack_sbuffer_init(&buffer);
	pr_lease_encode(&buffer, &message);
	assert_int_equal(
		pr_lease_decode(&decoded, pr_slice(buffer.data, buffer.size)),
		0);
	assert_memory_equal(&decoded, &message, sizeof(decoded));
	assert_int_equal(pr_rand_init(&rand, 11), 0);
	for (int i = 0; i < 50000; i++) {
		size_t len = pr_rand_below(&rand, (uint32_t)buffer.size + 1);
		char *copy = malloc(len + 1);

		memcpy(copy, buffer.data, len);
		for (int j = 0; j < 3 && len; j++)
			copy[pr_rand_below(&rand, (uint32_t)len)] =
				(char)pr_rand_below(&rand, 256);
		pr_lease_decode(&decoded, pr_slice(copy, len));
		free(copy);
	}
	pr_rand_finish(&rand);
	msgpack_sbuffer_destroy(&buffer);
}

/*
 * Guards against allocating the 4 billion entries that a corrupt header
 * declares: libmsgpack allocates all entries at once, as the loop with corrupt
 * messages in decoder_tolerates_corrupt_messages() has shown.
 */
static void declared_sizes_are_checked(void **state)
{
	static const char array[] = "\xdd\xff\xff\xff\xff";
	static const char deep[] = "\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01";
	static const char fine[] = "\x82\xa1k\xcd\x01\x02\xa1l\x92\xc0\x01";

	assert_false(pr_msgpack_check(pr_slice(array, 5)));
	assert_false(pr_msgpack_check(pr_slice(deep, 10)));
	assert_true(pr_msgpack_check(pr_slice(fine, sizeof(fine) - 1)));
	for (size_t len = 0; len < sizeof(fine) - 1; len++)
		assert_false(pr_msgpack_check(pr_slice(fine, len)));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(random_events_stay_within_bound),
		cmocka_unit_test(scaling_limits_sum_in_partition),
		cmocka_unit_test(new_owner_waits),
		cmocka_unit_test(steady_load_uses_limit),
		cmocka_unit_test(classes_are_served_in_order),
		cmocka_unit_test(decoder_tolerates_corrupt_messages),
		cmocka_unit_test(declared_sizes_are_checked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
