/**
 * A fleet without a network for the tests of src/transition/sessions.c: hosts
 * report their sessions to the relays of their zone, relays inform each other
 * and their hosts. Datagrams may be lost.
 */
#ifndef PR_TESTS_SESSIONS_FLEET_H
#define PR_TESTS_SESSIONS_FLEET_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "relay/message.h"
#include "transition/transition.h"
#include "revision.h"

#define HOSTS       295
#define ZONES       3
#define RELAYS      (2 * ZONES)
#define PERIOD      200
#define SESSION_MS  5000
#define SLACK_MS    500
#define DURATION_MS 20000
#define START       1000000
#define IN_PERIOD   ((size_t)8 * PR_SESSIONS_IN_DATAGRAM)
#define TRANSITIONS 2
/* Time at which the second step of a transition begins. */
#define SECOND_MS (DURATION_MS / 5)

typedef struct fleet_t {
	pr_sessions_t *hosts;
	int count;
	int64_t now;
	/** Datagrams of 100 that are lost. */
	uint32_t loss;
	uint64_t random;
	pr_transition_t transitions[TRANSITIONS];
	/** Sessions that the last host was sent. */
	uint64_t received;
} fleet_t;

static inline uint64_t mix(uint64_t i)
{
	i = (i ^ (i >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	i = (i ^ (i >> 27)) * UINT64_C(0x94d049bb133111eb);
	return i ^ (i >> 31);
}

/* Hashes of sessions that move in the first and in the second step of a
 * transition. */
static inline uint64_t early_session(uint64_t i)
{
	return mix(i + 1) / 20;
}

static inline uint64_t second_session(uint64_t i)
{
	return UINT64_MAX / 20 + mix(i + 1) / 20;
}

static inline void start_fleet(fleet_t *fleet, int count)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->hosts = calloc((size_t)count, sizeof(fleet->hosts[0]));
	assert_non_null(fleet->hosts);
	fleet->count = count;
	fleet->now = START;
}

static inline void finish_fleet(fleet_t *fleet)
{
	free(fleet->hosts);
}

/* All hosts know the order; it begins only when its row is written. */
static inline void order(fleet_t *fleet, int transition)
{
	pr_rollout_order_t order = { "model", "v2", DURATION_MS };

	pr_transition_init(&fleet->transitions[transition], &order, rev(7));
}

static inline void set_state(fleet_t *fleet, int transition,
			     pr_rollout_state_t state)
{
	pr_transition_t *changed = &fleet->transitions[transition];

	changed->state = state;
	if (!changed->began_ms)
		changed->began_ms = fleet->now;
}

static inline bool is_lost(fleet_t *fleet)
{
	return mix(++fleet->random) % 100 < fleet->loss;
}

static inline bool is_relay(int host)
{
	return host < RELAYS;
}

static inline bool is_receiver(int from, int to, pr_audience_t audience)
{
	bool same_zone = from % ZONES == to % ZONES;

	if (from == to)
		return false;
	return audience == PR_AUDIENCE_RELAYS
		       ? is_relay(to) && (same_zone || is_relay(from))
		       : same_zone;
}

static inline void send_datagram(fleet_t *fleet, int from,
				 pr_audience_t audience,
				 const pr_recent_session_t *seen, size_t count)
{
	for (int to = 0; to < fleet->count; to++) {
		bool to_relays = is_relay(to) && from % ZONES == to % ZONES;

		if (!is_receiver(from, to, audience) || is_lost(fleet))
			continue;
		for (size_t i = 0; i < count; i++)
			pr_sessions_merge(&fleet->hosts[to], &seen[i],
					  to_relays);
		if (to == fleet->count - 1)
			fleet->received += count;
	}
}

static inline void send_due(fleet_t *fleet, int from, pr_audience_t audience,
			    const pr_sessions_scope_t *scope)
{
	pr_recent_session_t due[IN_PERIOD];
	size_t count = pr_sessions_take_due(&fleet->hosts[from], audience,
					    scope, due, IN_PERIOD);

	for (size_t at = 0; at < count; at += PR_SESSIONS_IN_DATAGRAM) {
		size_t rest = count - at;

		send_datagram(fleet, from, audience, &due[at],
			      rest < PR_SESSIONS_IN_DATAGRAM
				      ? rest
				      : PR_SESSIONS_IN_DATAGRAM);
	}
}

static inline void run_period(fleet_t *fleet)
{
	pr_sessions_scope_t scope;

	fleet->now += PERIOD;
	pr_sessions_scope_init(&scope, fleet->now, SESSION_MS);
	for (int i = 0; i < TRANSITIONS; i++)
		pr_transition_extend_scope(&fleet->transitions[i], &scope);
	for (int i = 0; i < fleet->count; i++) {
		send_due(fleet, i, PR_AUDIENCE_RELAYS, &scope);
		if (is_relay(i))
			send_due(fleet, i, PR_AUDIENCE_FOLLOWERS, &scope);
	}
}

static inline void run_until(fleet_t *fleet, int64_t until)
{
	while (fleet->now < until)
		run_period(fleet);
}

/* @return number of hosts that would move a session though it is active */
static inline int count_ignorant(fleet_t *fleet, uint64_t session,
				 int64_t now_ms)
{
	pr_sessions_span_t span = {
		.began_ms = fleet->transitions[TRANSITIONS - 1].began_ms,
		.now_ms = now_ms,
		.active_ms = SESSION_MS + SLACK_MS,
	};
	int count = 0;

	for (int i = 0; i < fleet->count; i++)
		count += !pr_sessions_is_pinned(&fleet->hosts[i], session,
						&span);
	return count;
}

#endif
