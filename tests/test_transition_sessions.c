/* Tests of src/transition/sessions.c: recently active sessions, and how the
 * hosts of a fleet learn of them. */
#include "sessions_fleet.h"

/* Hashes of a session that moves in the first step, and of one that moves last.
 */
#define EARLY (UINT64_C(1) << 20)
#define LATE  (UINT64_MAX - 5)
/* Time from the beginning of an order until sessions move. */
#define EXCHANGE_MS 1000

/* Guards against moving active sessions (rule PINNED) that were displaced from
 * the table by other active ones, as on sites of 58 and of 295 hosts. */
static void test_active_sessions_of_many_hosts_are_kept(void **state)
{
	static pr_sessions_t sessions;
	const pr_sessions_span_t span = { 0, 2000, 6500 };
	const uint64_t active = 700;

	for (uint64_t fleet = 0; fleet < 100; fleet++) {
		uint64_t first = fleet * active, kept = 0;

		memset(&sessions, 0, sizeof(sessions));
		for (uint64_t i = 1; i <= active; i++) {
			pr_recent_session_t seen = { mix(first + i), 1000,
						     false };

			pr_sessions_merge(&sessions, &seen, false);
		}
		for (uint64_t i = 1; i <= active; i++)
			kept += pr_sessions_is_pinned(&sessions, mix(first + i),
						      &span);
		assert_true(kept >= active - 1);
	}
}

/* A host reports its own sessions and, as a relay, each report once, or
 * datagrams would circulate forever. */
static void test_only_new_sessions_are_reported(void **state)
{
	static pr_sessions_t sessions;
	pr_sessions_scope_t scope;
	pr_recent_session_t elsewhere = { EARLY + 1, 100, false };
	pr_recent_session_t out[8];

	memset(&sessions, 0, sizeof(sessions));
	pr_sessions_scope_init(&scope, 200, SESSION_MS);
	pr_sessions_record(&sessions, EARLY, 100);
	pr_sessions_record_moved(&sessions, EARLY + 2, 100);
	pr_sessions_merge(&sessions, &elsewhere, false);
	pr_sessions_record(&sessions, LATE, 100);
	assert_int_equal(pr_sessions_take_due(&sessions, PR_AUDIENCE_RELAYS,
					      &scope, out, 8),
			 0);
	scope.pinned_share = 0.07;
	assert_int_equal(pr_sessions_take_due(&sessions, PR_AUDIENCE_RELAYS,
					      &scope, out, 8),
			 1);
	assert_true(out[0].hash == EARLY && !out[0].moved);
	assert_int_equal(pr_sessions_take_due(&sessions, PR_AUDIENCE_FOLLOWERS,
					      &scope, out, 8),
			 2);
	scope.pinned_share = 0;
	scope.moved_beyond = 0;
	assert_int_equal(pr_sessions_take_due(&sessions, PR_AUDIENCE_RELAYS,
					      &scope, out, 8),
			 1);
	assert_true(out[0].hash == EARLY + 2 && out[0].moved);
	scope.pinned_share = 1;
	scope.now_ms = 100 + SESSION_MS + 1;
	assert_int_equal(pr_sessions_take_due(&sessions, PR_AUDIENCE_RELAYS,
					      &scope, out, 8),
			 0);
	/* Reports that are known already are not passed on again. */
	scope.now_ms = 200;
	while (pr_sessions_take_due(&sessions, PR_AUDIENCE_FOLLOWERS, &scope,
				    out, 8))
		;
	pr_sessions_merge(&sessions, &elsewhere, true);
	assert_int_equal(pr_sessions_take_due(&sessions, PR_AUDIENCE_FOLLOWERS,
					      &scope, out, 8),
			 0);
}

static const int fleet_sizes[] = { 9, 84, HOSTS };

#define FLEET_SIZES (sizeof(fleet_sizes) / sizeof(fleet_sizes[0]))

/* Sessions that were last used 0.2 to 3.8 s before the time: two on each host,
 * and more than fit in a datagram on one. @return their number */
static uint64_t use_sessions(fleet_t *fleet, uint64_t on_last)
{
	uint64_t spread = 2 * (uint64_t)fleet->count;

	for (uint64_t i = 0; i < spread + on_last; i++) {
		uint64_t host = i < spread ? i % (uint64_t)fleet->count
					   : (uint64_t)fleet->count - 1;

		pr_sessions_record(&fleet->hosts[host], early_session(i),
				   fleet->now - 200 - (int64_t)(mix(i) % 3600));
	}
	return spread + on_last;
}

/* @return pairs of a session and a host that would move it */
static uint64_t count_all_ignorant(fleet_t *fleet, uint64_t sessions)
{
	uint64_t count = 0;

	for (uint64_t i = 0; i < sessions; i++)
		count += (uint64_t)count_ignorant(fleet, early_session(i),
						  fleet->now);
	return count;
}

/* Guards against sessions that move (rule PINNED) because no host reports what
 * was last used before the order began, when the order is known for a while
 * before its beginning (bkw-tickets-grown, hasty, seed 333022479693). */
static void test_sessions_used_before_an_order_are_known(void **state)
{
	for (size_t i = 0; i < FLEET_SIZES; i++) {
		fleet_t fleet;
		uint64_t sessions;

		start_fleet(&fleet, fleet_sizes[i]);
		sessions = use_sessions(&fleet, 100);
		order(&fleet, 0);
		run_until(&fleet, START + 2 * PERIOD);
		set_state(&fleet, 0, PR_ROLLOUT_RUNNING);
		run_until(&fleet, fleet.now + EXCHANGE_MS);
		assert_int_equal(count_all_ignorant(&fleet, sessions), 0);
		finish_fleet(&fleet);
	}
}

/* Guards against sessions of a second service that move because another
 * service's order runs, or is done, when the second one begins. */
static void test_orders_of_two_services_do_not_hide_sessions(void **state)
{
	static const pr_rollout_state_t first[] = { PR_ROLLOUT_RUNNING,
						    PR_ROLLOUT_DONE };

	for (size_t i = 0; i < FLEET_SIZES * 2; i++) {
		fleet_t fleet;
		uint64_t sessions;

		start_fleet(&fleet, fleet_sizes[i / 2]);
		order(&fleet, 0);
		set_state(&fleet, 0, first[i % 2]);
		run_until(&fleet, START + 4000);
		sessions = use_sessions(&fleet, 100);
		order(&fleet, 1);
		run_period(&fleet);
		set_state(&fleet, 1, PR_ROLLOUT_RUNNING);
		run_until(&fleet, fleet.now + EXCHANGE_MS);
		assert_int_equal(count_all_ignorant(&fleet, sessions), 0);
		finish_fleet(&fleet);
	}
}

/* Guards against sessions that move, in the first half of a second order, since
 * only those on the version before the first one are reported. */
static void test_sessions_that_an_earlier_order_moved_are_known(void **state)
{
	for (size_t i = 0; i < FLEET_SIZES; i++) {
		fleet_t fleet;
		uint64_t ignorant = 0;

		start_fleet(&fleet, fleet_sizes[i]);
		for (int host = 0; host < fleet.count; host++)
			pr_sessions_record_moved(&fleet.hosts[host],
						 early_session((uint64_t)host),
						 START - 200 - 10 * host);
		order(&fleet, 1);
		set_state(&fleet, 1, PR_ROLLOUT_RUNNING);
		run_until(&fleet, START + EXCHANGE_MS);
		for (int host = 0; host < fleet.count; host++)
			ignorant += (uint64_t)count_ignorant(
				&fleet, early_session((uint64_t)host),
				fleet.now);
		assert_int_equal(ignorant, 0);
		finish_fleet(&fleet);
	}
}

static pr_version_choice_t choose(fleet_t *fleet, uint64_t session,
				  int64_t now_ms)
{
	pr_transition_request_t request = { .session = session, .hash = 1 };

	return pr_transition_choose(&fleet->transitions[0], &fleet->hosts[0],
				    &request, now_ms, SESSION_MS);
}

/* Guards against moving an active session in the first half of a second order
 * (rule PINNED) because the first one had moved it, to what is now the old
 * version. */
static void test_session_moved_by_an_earlier_order_stays(void **state)
{
	pr_recent_session_t elsewhere = { EARLY, START - 100, true };
	fleet_t fleet;

	start_fleet(&fleet, 1);
	order(&fleet, 0);
	set_state(&fleet, 0, PR_ROLLOUT_RUNNING);
	pr_sessions_merge(&fleet.hosts[0], &elsewhere, false);
	assert_int_equal(choose(&fleet, EARLY, START + 4000), PR_VERSION_OLD);
	/* One that this order moved stays on the new version. */
	assert_int_equal(choose(&fleet, EARLY + 1, START + 4000),
			 PR_VERSION_NEW);
	assert_int_equal(choose(&fleet, EARLY + 1, START + 6000),
			 PR_VERSION_NEW);
	finish_fleet(&fleet);
}

/* Guards against sessions of the second step that move since other hosts learn
 * of them only when the step begins. */
static void test_sessions_are_known_before_their_step(void **state)
{
	for (size_t i = 0; i < FLEET_SIZES; i++) {
		fleet_t fleet;
		uint64_t sessions;

		start_fleet(&fleet, fleet_sizes[i]);
		sessions = (uint64_t)fleet.count;
		order(&fleet, 0);
		set_state(&fleet, 0, PR_ROLLOUT_RUNNING);
		for (uint64_t j = 0; j < sessions; j++)
			pr_sessions_record(&fleet.hosts[j], second_session(j),
					   START + (int64_t)(mix(j) % 3000));
		run_until(&fleet, START + SECOND_MS);
		for (uint64_t j = 0; j < sessions; j++)
			assert_int_equal(count_ignorant(&fleet,
							second_session(j),
							fleet.now),
					 0);
		finish_fleet(&fleet);
	}
}

/* Guards against sessions that move because a datagram about them was lost: one
 * in ten everywhere, or all at the beginning of the order. */
static void test_sessions_are_known_though_datagrams_are_lost(void **state)
{
	for (size_t i = 0; i < FLEET_SIZES; i++) {
		fleet_t fleet;
		uint64_t sessions;

		start_fleet(&fleet, fleet_sizes[i]);
		sessions = use_sessions(&fleet, 100);
		fleet.loss = 10;
		order(&fleet, 0);
		set_state(&fleet, 0, PR_ROLLOUT_RUNNING);
		run_until(&fleet, fleet.now + EXCHANGE_MS);
		assert_true(count_all_ignorant(&fleet, sessions) * 1000 <=
			    sessions * (uint64_t)fleet.count);
		finish_fleet(&fleet);

		start_fleet(&fleet, fleet_sizes[i]);
		sessions = use_sessions(&fleet, 100);
		fleet.loss = 100;
		order(&fleet, 0);
		set_state(&fleet, 0, PR_ROLLOUT_RUNNING);
		run_period(&fleet);
		fleet.loss = 0;
		run_until(&fleet, START + EXCHANGE_MS);
		assert_int_equal(count_all_ignorant(&fleet, sessions), 0);
		finish_fleet(&fleet);
	}
}

/* Guards against a host whose sessions beyond those of one period are never
 * reported. */
static void test_many_sessions_follow_in_later_periods(void **state)
{
	for (size_t i = 0; i < FLEET_SIZES; i++) {
		fleet_t fleet;
		uint64_t sessions;

		start_fleet(&fleet, fleet_sizes[i]);
		sessions = use_sessions(&fleet, IN_PERIOD + 60);
		order(&fleet, 0);
		set_state(&fleet, 0, PR_ROLLOUT_RUNNING);
		run_until(&fleet, fleet.now + EXCHANGE_MS);
		assert_int_equal(count_all_ignorant(&fleet, sessions), 0);
		finish_fleet(&fleet);
	}
}

/* Guards against a session in use that other hosts take for inactive, and
 * against traffic that grows with the requests of a session. */
static void test_a_session_in_use_stays_known_at_a_bounded_cost(void **state)
{
	for (size_t i = 0; i < FLEET_SIZES; i++) {
		const int64_t used_ms = 8000;
		fleet_t fleet;
		int64_t last_ms = 0;

		start_fleet(&fleet, fleet_sizes[i]);
		order(&fleet, 0);
		set_state(&fleet, 0, PR_ROLLOUT_RUNNING);
		while (fleet.now < START + used_ms) {
			last_ms = fleet.now + 50;
			pr_sessions_record(&fleet.hosts[fleet.count / 2], EARLY,
					   last_ms);
			run_period(&fleet);
			if (fleet.now >= START + EXCHANGE_MS)
				assert_int_equal(count_ignorant(&fleet, EARLY,
								fleet.now),
						 0);
		}
		/* The first report comes twice from each of two relays, the
		 * later ones once. */
		assert_true(fleet.received <=
			    4 + 2 * (used_ms / (SESSION_MS / 2)));
		run_until(&fleet, last_ms + SESSION_MS - PERIOD);
		assert_int_equal(
			count_ignorant(&fleet, EARLY, last_ms + SESSION_MS), 0);
		finish_fleet(&fleet);
	}
}

/* All relays send at the same time. @return sessions that they sent */
static size_t run_relays_together(fleet_t *fleet)
{
	pr_recent_session_t due[RELAYS][PR_AUDIENCES_COUNT][8];
	size_t counts[RELAYS][PR_AUDIENCES_COUNT];
	pr_sessions_scope_t scope;
	size_t sent = 0;

	fleet->now += PERIOD;
	pr_sessions_scope_init(&scope, fleet->now, SESSION_MS);
	pr_transition_extend_scope(&fleet->transitions[0], &scope);
	for (int i = 0; i < RELAYS * PR_AUDIENCES_COUNT; i++) {
		int from = i / PR_AUDIENCES_COUNT;
		int audience = i % PR_AUDIENCES_COUNT;

		counts[from][audience] = pr_sessions_take_due(
			&fleet->hosts[from], (pr_audience_t)audience, &scope,
			due[from][audience], 8);
		sent += counts[from][audience];
	}
	for (int i = 0; i < RELAYS * PR_AUDIENCES_COUNT; i++) {
		int from = i / PR_AUDIENCES_COUNT;
		int audience = i % PR_AUDIENCES_COUNT;

		send_datagram(fleet, from, (pr_audience_t)audience,
			      due[from][audience], counts[from][audience]);
	}
	return sent;
}

/* The two relays of a zone get reports with equal times in different order.
 * Guards against relays that forward them to each other forever, which fills
 * the links between hosts. */
static void check_equal_times(int count, const pr_recent_session_t *seen,
			      size_t seen_count)
{
	fleet_t fleet;
	size_t sent = 0;

	start_fleet(&fleet, count);
	order(&fleet, 0);
	set_state(&fleet, 0, PR_ROLLOUT_RUNNING);
	for (size_t i = 0; i < seen_count; i++) {
		pr_sessions_merge(&fleet.hosts[0], &seen[i], true);
		pr_sessions_merge(&fleet.hosts[ZONES],
				  &seen[seen_count - 1 - i], true);
	}
	for (int i = 0; i < 10; i++)
		sent = run_relays_together(&fleet);
	assert_int_equal(sent, 0);
	finish_fleet(&fleet);
}

static void test_reports_with_equal_times_come_to_rest(void **state)
{
	const int64_t at = START - 100;
	/* A session on either version, and more sessions than a bucket holds.
	 */
	const pr_recent_session_t versions[] = { { EARLY, at, false },
						 { EARLY, at, true } };
	pr_recent_session_t same_bucket[5];

	for (uint64_t i = 0; i < 5; i++)
		same_bucket[i] =
			(pr_recent_session_t){ EARLY + i * PR_SESSIONS_MAX, at,
					       false };
	for (size_t i = 0; i < FLEET_SIZES; i++) {
		check_equal_times(fleet_sizes[i], versions, 2);
		check_equal_times(fleet_sizes[i], same_bucket, 5);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_active_sessions_of_many_hosts_are_kept),
		cmocka_unit_test(test_only_new_sessions_are_reported),
		cmocka_unit_test(test_sessions_used_before_an_order_are_known),
		cmocka_unit_test(
			test_orders_of_two_services_do_not_hide_sessions),
		cmocka_unit_test(test_session_moved_by_an_earlier_order_stays),
		cmocka_unit_test(
			test_sessions_that_an_earlier_order_moved_are_known),
		cmocka_unit_test(test_sessions_are_known_before_their_step),
		cmocka_unit_test(
			test_sessions_are_known_though_datagrams_are_lost),
		cmocka_unit_test(test_many_sessions_follow_in_later_periods),
		cmocka_unit_test(test_reports_with_equal_times_come_to_rest),
		cmocka_unit_test(
			test_a_session_in_use_stays_known_at_a_bounded_cost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
