/*
 * Tests of src/member. They simulate up to 390 hosts in one process, in virtual
 * time, on a network with delay, packet loss and partitions. The printed
 * figures are those of docs/decisions/membership.md.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <cmocka.h>

#include "member/message.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/rand.h"

#define HOSTS_MAX 390
/* Step of the virtual time; packets are queued by their slot of arrival. */
#define SLOT_USEC      (10 * PR_USEC_PER_MSEC)
#define SLOT_COUNT     64
#define SLOTS_PER_TICK 10
#define SEC            PR_USEC_PER_SEC

typedef struct packet_t {
	struct packet_t *next;
	/* Index of the receiver, and side of the partition of the sender. */
	int to, side;
	size_t len;
	char bytes[PR_MEMBER_DATAGRAM_MAX];
} packet_t;

typedef struct sim_host_t {
	struct sim_net_t *net;
	int index, side;
	char name[16], zone[16];
	pr_member_t *member;
	bool down;
	pr_usec_t frozen_until;
	/* Packets that arrived while the host was frozen. */
	packet_t *backlog, **backlog_end;
	uint64_t peer_version;
} sim_host_t;

typedef struct sim_net_t {
	sim_host_t hosts[HOSTS_MAX];
	int count;
	pr_usec_t now;
	packet_t *slots[SLOT_COUNT];
	double loss;
	/* Changes to dead or suspect of hosts that were up and reachable. */
	unsigned int false_deaths, false_suspicions;
	pr_rand_t rand;
	/* Index of a host that freezes repeatedly; -1 for none. */
	int slow_index;
} sim_net_t;

static void fake_send(void *data, const char *address, pr_slice_t datagram)
{
	sim_host_t *host = data;
	sim_net_t *net = host->net;
	packet_t *packet;
	pr_usec_t due;

	if (pr_rand_unit(&net->rand) < net->loss)
		return;
	packet = malloc(sizeof(*packet));
	assert_non_null(packet);
	packet->to = atoi(address);
	packet->side = host->side;
	packet->len = datagram.len;
	memcpy(packet->bytes, datagram.ptr, datagram.len);
	/* Delay of up to 40 ms, as between regions. */
	due = net->now / SLOT_USEC + 1 + pr_rand_below(&net->rand, 4);
	packet->next = net->slots[due % SLOT_COUNT];
	net->slots[due % SLOT_COUNT] = packet;
}

static void on_changed(void *data, const pr_member_host_t *observed,
		       pr_member_state_t before)
{
	sim_host_t *host = data;
	sim_net_t *net = host->net;
	const sim_host_t *actual = &net->hosts[atoi(observed->address)];

	if (actual->down || actual->side != host->side ||
	    actual->index == net->slow_index)
		return;
	net->false_deaths += observed->state == PR_MEMBER_DEAD;
	net->false_suspicions += observed->state == PR_MEMBER_SUSPECT;
}

static void on_peer_config(void *data, uint64_t version, pr_usec_t age,
			   pr_usec_t probe_sent_at)
{
	sim_host_t *host = data;

	if (version <= host->peer_version)
		return;
	host->peer_version = version;
	pr_member_set_config(host->member, version, false, 0);
}

static const pr_member_ops_t fake_ops = { fake_send, on_changed,
					  on_peer_config };

static void host_open(sim_net_t *net, int index, bool local_health)
{
	pr_member_options_t options = PR_MEMBER_OPTIONS_INIT;
	sim_host_t *host = &net->hosts[index];
	char address[16];

	host->net = net;
	host->index = index;
	host->backlog_end = &host->backlog;
	snprintf(host->name, sizeof(host->name), "host-%03d", index);
	snprintf(host->zone, sizeof(host->zone), "zone-%d", index % 5);
	snprintf(address, sizeof(address), "%d", index);
	options.host = pr_slice_of(host->name);
	options.zone = pr_slice_of(host->zone);
	options.address = pr_slice_of(address);
	options.secret = PR_SLICE("secret");
	options.incarnation = 1000;
	options.local_health = local_health;
	assert_int_equal(pr_member_open(&host->member, &options, &fake_ops,
					host, &net->rand, net->now),
			 0);
}

static void host_set_list(sim_net_t *net, int index)
{
	static char addresses[HOSTS_MAX][16];
	pr_member_list_entry_t list[HOSTS_MAX];

	for (int i = 0; i < net->count; i++) {
		snprintf(addresses[i], sizeof(addresses[i]), "%d", i);
		list[i] = (pr_member_list_entry_t){
			pr_slice_of(net->hosts[i].name),
			pr_slice_of(net->hosts[i].zone),
			pr_slice_of(addresses[i])
		};
	}
	assert_int_equal(pr_member_set_list(net->hosts[index].member, list,
					    (unsigned int)net->count, net->now),
			 0);
}

static sim_net_t *net_new(int count, uint64_t seed, bool local_health)
{
	sim_net_t *net = calloc(1, sizeof(*net));

	assert_non_null(net);
	net->count = count;
	net->slow_index = -1;
	net->loss = 0.01;
	assert_int_equal(pr_rand_init(&net->rand, seed), 0);
	for (int i = 0; i < count; i++)
		host_open(net, i, local_health);
	for (int i = 0; i < count; i++)
		host_set_list(net, i);
	return net;
}

static void free_packets(packet_t *packet)
{
	while (packet) {
		packet_t *next = packet->next;

		free(packet);
		packet = next;
	}
}

static void net_free(sim_net_t *net)
{
	for (int i = 0; i < net->count; i++) {
		pr_member_close(net->hosts[i].member);
		free_packets(net->hosts[i].backlog);
	}
	for (int i = 0; i < SLOT_COUNT; i++)
		free_packets(net->slots[i]);
	pr_rand_finish(&net->rand);
	free(net);
}

static void receive(sim_host_t *host, packet_t *packet)
{
	pr_member_receive(host->member, pr_slice(packet->bytes, packet->len),
			  host->net->now);
	free(packet);
}

static void deliver(sim_net_t *net)
{
	packet_t **slot = &net->slots[net->now / SLOT_USEC % SLOT_COUNT];
	packet_t *packet = *slot, *next;

	*slot = NULL;
	for (; packet; packet = next) {
		sim_host_t *host = &net->hosts[packet->to];

		next = packet->next;
		packet->next = NULL;
		if (host->down || packet->side != host->side) {
			free(packet);
		} else if (net->now < host->frozen_until) {
			*host->backlog_end = packet;
			host->backlog_end = &packet->next;
		} else {
			receive(host, packet);
		}
	}
}

static void drain_backlog(sim_host_t *host)
{
	packet_t *packet = host->backlog, *next;

	host->backlog = NULL;
	host->backlog_end = &host->backlog;
	for (; packet; packet = next) {
		next = packet->next;
		receive(host, packet);
	}
}

static void run_slot(sim_net_t *net)
{
	sim_host_t *slow =
		net->slow_index < 0 ? NULL : &net->hosts[net->slow_index];

	deliver(net);
	for (int i = 0; i < net->count; i++) {
		sim_host_t *host = &net->hosts[i];

		if (host->down || net->now < host->frozen_until)
			continue;
		drain_backlog(host);
		if ((net->now / SLOT_USEC + i) % SLOTS_PER_TICK == 0)
			pr_member_tick(host->member, net->now);
	}
	if (slow && net->now >= slow->frozen_until + SEC / 10)
		slow->frozen_until =
			net->now + SEC + pr_rand_below(&net->rand, 2 * SEC);
	net->now += SLOT_USEC;
}

static void run(sim_net_t *net, pr_usec_t duration)
{
	for (pr_usec_t end = net->now + duration; net->now < end;)
		run_slot(net);
}

/* @return number of other hosts that are up and see the subject in the state */
static int count_observers(const sim_net_t *net, int subject,
			   pr_member_state_t state)
{
	int count = 0;

	for (int i = 0; i < net->count; i++) {
		const sim_host_t *host = &net->hosts[i];
		const pr_member_host_t *observed = pr_member_find(
			host->member, pr_slice_of(net->hosts[subject].name));

		count +=
			!host->down && i != subject && observed->state == state;
	}
	return count;
}

/*
 * Run until that many hosts see the subject in the state, or until the limit.
 *
 * @return elapsed virtual time in seconds
 */
static double run_until_observed(sim_net_t *net, int subject,
				 pr_member_state_t state, int hosts,
				 pr_usec_t limit)
{
	pr_usec_t start = net->now;

	while (count_observers(net, subject, state) < hosts &&
	       net->now - start < limit)
		run(net, 5 * SLOT_USEC);
	return (double)(net->now - start) / 1e6;
}

static bool all_live(const sim_net_t *net)
{
	for (int i = 0; i < net->count; i++)
		if (pr_member_live_count(net->hosts[i].member) !=
		    (unsigned int)net->count)
			return false;
	return true;
}

static uint64_t bytes_sent(const sim_net_t *net, int index)
{
	return pr_member_stats(net->hosts[index].member)->bytes_sent;
}

static void check_fleet_size(int count)
{
	sim_net_t *net = net_new(count, 7, true);
	uint64_t before[HOSTS_MAX], sum = 0, most = 0;
	double first, last, leave;
	clock_t cpu;
	double cpu_share;

	run(net, 40 * SEC);
	for (int i = 0; i < count; i++)
		before[i] = bytes_sent(net, i);
	cpu = clock();
	run(net, 20 * SEC);
	cpu_share = (double)(clock() - cpu) / CLOCKS_PER_SEC / 20 / count;
	for (int i = 0; i < count; i++) {
		uint64_t bytes = (bytes_sent(net, i) - before[i]) / 20;

		sum += bytes;
		most = bytes > most ? bytes : most;
	}
	net->hosts[1].down = true;
	first = run_until_observed(net, 1, PR_MEMBER_DEAD, 1, 60 * SEC);
	last = first + run_until_observed(net, 1, PR_MEMBER_DEAD,
					  net->count - 1, 60 * SEC);
	pr_member_leave(net->hosts[2].member, net->now);
	leave = run_until_observed(net, 2, PR_MEMBER_LEAVING, net->count - 2,
				   60 * SEC);
	print_message("hosts %3d: %lu bytes/s sent a host (most %lu), %.4f%% "
		      "of a core a host, dead after %.1f s (first) and %.1f s "
		      "(all), leave known to all after %.2f s, false deaths "
		      "%u\n",
		      count, sum / count, most, cpu_share * 100, first, last,
		      leave, net->false_deaths);
	/* Sent and received bytes together must stay below 3 KB/s per host. */
	assert_true(most < 1500);
	assert_true(last < 30);
	assert_true(leave < 4);
	assert_int_equal(net->false_deaths, 0);
	net_free(net);
}

/*
 * Guards against a cost per host that grows with the fleet, a dead host that is
 * not detected, and slow spread of the state of a leaving host.
 */
static void cost_and_detection_by_size(void **state)
{
	static const int sizes[] = { 8, 32, 64, 128, 390 };

	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		check_fleet_size(sizes[i]);
}

static void run_with_slow_host(bool local_health, unsigned int *deaths,
			       unsigned int *suspicions)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		sim_net_t *net = net_new(32, seed, local_health);

		run(net, 5 * SEC);
		net->slow_index = 3;
		run(net, 120 * SEC);
		*deaths += net->false_deaths;
		*suspicions += net->false_suspicions;
		net_free(net);
	}
}

/*
 * Guards against false deaths of healthy hosts that are caused by a slow host,
 * which misses acks and refutations.
 */
static void slow_host_causes_no_false_deaths(void **state)
{
	unsigned int deaths[2] = { 0 }, suspicions[2] = { 0 };

	run_with_slow_host(true, &deaths[0], &suspicions[0]);
	run_with_slow_host(false, &deaths[1], &suspicions[1]);
	print_message("slow host, 5 x 120 s: %u false deaths, %u false "
		      "suspicions (views); without local health %u and %u\n",
		      deaths[0], suspicions[0], deaths[1], suspicions[1]);
	assert_int_equal(deaths[0], 0);
	assert_true(suspicions[0] * 4 < suspicions[1]);
}

/* Guards against false deaths on a network that loses 10% of the datagrams. */
static void packet_loss_causes_no_false_deaths(void **state)
{
	unsigned int deaths = 0, suspicions = 0;

	for (uint64_t seed = 1; seed <= 5; seed++) {
		sim_net_t *net = net_new(64, seed, true);

		net->loss = 0.1;
		run(net, 120 * SEC);
		deaths += net->false_deaths;
		suspicions += net->false_suspicions;
		net_free(net);
	}
	print_message("10%% loss, 64 hosts, 5 x 120 s: %u false deaths, %u "
		      "false suspicions (views)\n",
		      deaths, suspicions);
	assert_int_equal(deaths, 0);
}

/*
 * @param minority number of hosts on side 1
 * @return true if each host sees as many live hosts as its side has
 */
static bool views_match_sides(const sim_net_t *net, int minority)
{
	for (int i = 0; i < net->count; i++)
		if (pr_member_live_count(net->hosts[i].member) !=
		    (unsigned int)(i < minority ? minority
						: net->count - minority))
			return false;
	return true;
}

static void check_partition(int count, int minority)
{
	sim_net_t *net = net_new(count, 11, true);
	pr_usec_t healed_at, split;

	run(net, 60 * SEC);
	split = net->now;
	for (int i = 0; i < minority; i++)
		net->hosts[i].side = 1;
	while (!views_match_sides(net, minority) &&
	       net->now < split + 180 * SEC)
		run(net, 50 * SLOT_USEC);
	assert_true(views_match_sides(net, minority));
	split = net->now - split;
	/* One host of the majority receives a new configuration version. */
	on_peer_config(&net->hosts[count - 1], 42, PR_USEC_NEVER, 0);
	run(net, 5 * SEC);
	for (int i = 0; i < minority; i++)
		net->hosts[i].side = 0;
	healed_at = net->now;
	while (!all_live(net) && net->now < healed_at + 120 * SEC)
		run(net, 10 * SLOT_USEC);
	print_message("partition %d of %d: all views exact after %.1f s, whole "
		      "%.1f s after it healed\n",
		      minority, count, (double)split / 1e6,
		      (double)(net->now - healed_at) / 1e6);
	assert_true(all_live(net));
	assert_true(net->now - healed_at < 60 * SEC);
	for (int i = 0; i < count; i++)
		assert_int_equal(net->hosts[i].peer_version, 42);
	net_free(net);
}

/*
 * Guards against sides of a partition that do not rejoin after it heals, and
 * against updates that one side never receives.
 */
static void partition_heals_with_all_updates(void **state)
{
	check_partition(8, 3);
	check_partition(64, 24);
	check_partition(390, 150);
}

/*
 * Guards against a host that, after it was frozen for 40 s, remains dead in the
 * views of other hosts or declares other hosts dead.
 */
static void frozen_host_rejoins(void **state)
{
	sim_net_t *net = net_new(32, 13, true);

	run(net, 5 * SEC);
	net->slow_index = 4;
	net->hosts[4].frozen_until = net->now + 40 * SEC;
	run(net, 39 * SEC);
	assert_int_equal(count_observers(net, 4, PR_MEMBER_DEAD), 31);
	net->slow_index = -1;
	run(net, 20 * SEC);
	assert_true(all_live(net));
	assert_int_equal(net->false_deaths, 0);
	net_free(net);
}

/*
 * Guards against owners of a key that differ between hosts, a second owner in
 * the zone of the first, and a leaving host that owns keys.
 */
static void owners_agree(void **state)
{
	sim_net_t *net = net_new(20, 15, true);

	run(net, 5 * SEC);
	pr_member_leave(net->hosts[6].member, net->now);
	run(net, 5 * SEC);
	for (int key = 0; key < 200; key++) {
		const pr_member_host_t *first, *second, *other, *other_second;
		pr_slice_t text = pr_slice((const char *)&key, sizeof(key));

		first = pr_member_owner(net->hosts[0].member, text, &second);
		other = pr_member_owner(net->hosts[9].member, text,
					&other_second);
		assert_string_equal(first->name, other->name);
		assert_string_equal(second->name, other_second->name);
		assert_string_not_equal(first->zone, second->zone);
		assert_string_not_equal(first->name, "host-006");
	}
	net_free(net);
}

/*
 * Guards against out-of-bounds reads when the decoder parses a corrupt datagram
 * with a valid HMAC, and against a datagram that is signed with another secret.
 */
static void decoder_survives_corrupt_datagrams(void **state)
{
	pr_slice_t secret = PR_SLICE("secret");
	pr_probe_t probe = { .kind = PR_PROBE_PING, .sequence = 9 };
	char datagram[PR_MEMBER_DATAGRAM_MAX];
	pr_probe_t back;
	pr_rand_t rand;
	size_t len;

	strcpy(probe.from, "a");
	probe.updates_count = PR_PROBE_UPDATES_MAX;
	for (int i = 0; i < PR_PROBE_UPDATES_MAX; i++)
		strcpy(probe.updates[i].host, "a-host-with-a-long-name");
	len = pr_probe_encode(datagram, &probe, secret);
	assert_int_equal(
		pr_probe_decode(&back, pr_slice(datagram, len), secret), 0);
	assert_memory_equal(&back, &probe, sizeof(back));
	assert_int_equal(pr_probe_decode(&back, pr_slice(datagram, len),
					 PR_SLICE("other")),
			 PR_EDENIED);
	assert_int_equal(pr_rand_init(&rand, 17), 0);
	for (int i = 0; i < 20000; i++) {
		size_t cut = pr_rand_below(&rand, (uint32_t)len);
		char *copy = malloc(cut + PR_PROBE_MAC_SIZE);
		uint8_t mac[PR_SHA256_SIZE];

		memcpy(copy, datagram, cut);
		for (int j = 0; j < 3 && cut; j++)
			copy[pr_rand_below(&rand, (uint32_t)cut)] =
				(char)pr_rand_below(&rand, 256);
		pr_hmac_sha256(mac, secret, pr_slice(copy, cut));
		memcpy(copy + cut, mac, PR_PROBE_MAC_SIZE);
		pr_probe_decode(&back, pr_slice(copy, cut + PR_PROBE_MAC_SIZE),
				secret);
		free(copy);
	}
	pr_rand_finish(&rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cost_and_detection_by_size),
		cmocka_unit_test(slow_host_causes_no_false_deaths),
		cmocka_unit_test(packet_loss_causes_no_false_deaths),
		cmocka_unit_test(partition_heals_with_all_updates),
		cmocka_unit_test(frozen_host_rejoins),
		cmocka_unit_test(owners_agree),
		cmocka_unit_test(decoder_survives_corrupt_datagrams),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
