/* Tests of src/transition/sessions.c: recently active sessions. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "transition/sessions.h"

/* Hashes of a session that moves in the first step, and of one that moves last.
 */
#define EARLY (UINT64_C(1) << 20)
#define LATE  (UINT64_MAX - 5)

static uint64_t hash_of(uint64_t i)
{
	i = (i ^ (i >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	i = (i ^ (i >> 27)) * UINT64_C(0x94d049bb133111eb);
	return i ^ (i >> 31);
}

/* Guards against moving active sessions (rule PINNED) that were displaced from
 * the table by other active ones, as on a site of 58 hosts. */
static void test_active_sessions_of_many_hosts_are_kept(void **state)
{
	static pr_sessions_t sessions;
	const uint64_t active = 700;
	uint64_t kept = 0;

	memset(&sessions, 0, sizeof(sessions));
	for (uint64_t i = 1; i <= active; i++)
		pr_sessions_merge(&sessions, hash_of(i), 1000, false);
	for (uint64_t i = 1; i <= active; i++)
		kept += pr_sessions_is_active(&sessions, hash_of(i), 2000,
					      6500);
	assert_true(kept >= active * 95 / 100);
}

/* A host reports only its own sessions, or datagrams would circulate forever.
 */
static void test_only_own_sessions_are_listed(void **state)
{
	static pr_sessions_t sessions;
	pr_sessions_filter_t filter = { false, 0.07, 0, 0 };
	pr_recent_session_t out[8];

	memset(&sessions, 0, sizeof(sessions));
	pr_sessions_record(&sessions, EARLY, 100);
	pr_sessions_record_moved(&sessions, EARLY + 2, 100);
	pr_sessions_merge(&sessions, EARLY + 1, 100, false);
	pr_sessions_record(&sessions, LATE, 100);
	assert_int_equal(pr_sessions_list(&sessions, &filter, out, 8), 1);
	assert_true(out[0].hash == EARLY);
	filter.moved = true;
	assert_int_equal(pr_sessions_list(&sessions, &filter, out, 8), 1);
	assert_true(out[0].hash == EARLY + 2);
	filter.after_ms = 100;
	assert_int_equal(pr_sessions_list(&sessions, &filter, out, 8), 0);
}

#define ZONES   3
#define REPORTS 8

/* Hosts that forward reports of sessions as src/edge/peer_sessions.c does: the
 * first two of each zone are its relays. */
typedef struct queue_t {
	struct {
		uint64_t hash;
		bool moved;
		bool local;
	} reports[REPORTS];
	size_t count;
} queue_t;

typedef struct host_t {
	pr_sessions_t sessions;
	queue_t queue;
} host_t;

static bool is_relay(int host)
{
	return host < 2 * ZONES;
}

static void receive(host_t *hosts, int from, int to, uint64_t hash, bool moved)
{
	queue_t *queue = &hosts[to].queue;

	if (!pr_sessions_merge(&hosts[to].sessions, hash, 1000, moved) ||
	    !is_relay(to))
		return;
	assert_true(queue->count < REPORTS);
	queue->reports[queue->count].hash = hash;
	queue->reports[queue->count].moved = moved;
	queue->reports[queue->count++].local = from % ZONES == to % ZONES;
}

/* @return reports that were sent */
static int send_queue(host_t *hosts, int count, int from, const queue_t *queue)
{
	int sent = 0;

	for (int to = 0; to < count; to++) {
		for (size_t i = 0; i < queue->count; i++) {
			if (to == from ||
			    (to % ZONES != from % ZONES &&
			     (!queue->reports[i].local || !is_relay(to))))
				continue;
			receive(hosts, from, to, queue->reports[i].hash,
				queue->reports[i].moved);
			sent++;
		}
	}
	return sent;
}

/* All relays send at the same time. @return reports that were sent */
static int send_queues(host_t *hosts, int count)
{
	queue_t queues[2 * ZONES];
	int sent = 0;

	for (int i = 0; i < 2 * ZONES; i++) {
		queues[i] = hosts[i].queue;
		hosts[i].queue.count = 0;
	}
	for (int i = 0; i < 2 * ZONES; i++)
		sent += send_queue(hosts, count, i, &queues[i]);
	return sent;
}

/* Two hosts of a zone report at the same time, to both relays in different
 * order. Guards against relays that forward such reports to each other until
 * the links are full. */
static void check_equal_times(int count, uint64_t hash, bool moved,
			      uint64_t other_hash, bool other_moved)
{
	host_t *hosts = calloc((size_t)count, sizeof(*hosts));
	int sent = 0, last = 0;

	assert_non_null(hosts);
	receive(hosts, 2 * ZONES, 0, hash, moved);
	receive(hosts, 2 * ZONES, 0, other_hash, other_moved);
	receive(hosts, 2 * ZONES, ZONES, other_hash, other_moved);
	receive(hosts, 2 * ZONES, ZONES, hash, moved);
	for (int i = 0; i < 10; i++) {
		last = send_queues(hosts, count);
		sent += last;
	}
	assert_int_equal(last, 0);
	/* Each relay forwards each report once. */
	assert_true(sent <= 2 * 2 * ZONES * (count / ZONES + 2 * ZONES));
	free(hosts);
}

static void check_equal_times_of_fleet(int count)
{
	check_equal_times(count, EARLY, false, EARLY + PR_SESSIONS_MAX, false);
	check_equal_times(count, EARLY, false, EARLY, true);
}

static void test_equal_times_9_hosts(void **state)
{
	check_equal_times_of_fleet(9);
}

static void test_equal_times_84_hosts(void **state)
{
	check_equal_times_of_fleet(84);
}

static void test_equal_times_295_hosts(void **state)
{
	check_equal_times_of_fleet(295);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_active_sessions_of_many_hosts_are_kept),
		cmocka_unit_test(test_only_own_sessions_are_listed),
		cmocka_unit_test(test_equal_times_9_hosts),
		cmocka_unit_test(test_equal_times_84_hosts),
		cmocka_unit_test(test_equal_times_295_hosts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
