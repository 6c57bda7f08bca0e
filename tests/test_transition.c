/* Tests of src/transition: what every host must decide alike. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "transition/pace.h"
#include "transition/transition.h"

#define DURATION_MS 24000
#define BEGAN_MS    100000
#define SESSION_MS  5000

static void begin(pr_transition_t *transition)
{
	pr_rollout_order_t order = { "model", "v2", DURATION_MS };
	pr_transition_row_t row = { 7, PR_ROLLOUT_RUNNING, BEGAN_MS, "" };

	pr_transition_init(transition, &order, 7);
	pr_transition_apply(transition, &row, 8);
}

static int64_t at(double part)
{
	return BEGAN_MS + (int64_t)(part * DURATION_MS);
}

/* A hash that moves in the first step, and one that moves last. */
#define EARLY (UINT64_C(1) << 20)
#define LATE  (UINT64_MAX - 5)

static pr_version_choice_t choose(const pr_transition_t *transition,
				  pr_sessions_t *sessions, uint64_t session,
				  bool tested, int64_t now)
{
	pr_transition_request_t request = { session, 1, tested };

	return pr_transition_choose(transition, sessions, &request, now,
				    SESSION_MS);
}

/* A host that started again read the shared row before the order, and used no
 * upstream of the version that the transition had made the only one. */
static void test_done_row_allows_only_new(void **state)
{
	pr_transition_t transition;
	pr_transition_row_t row = { 7, PR_ROLLOUT_DONE, BEGAN_MS, "" };

	begin(&transition);
	pr_transition_apply(&transition, &row, 9);
	assert_true(pr_transition_allows(&transition, "v2"));
	assert_false(pr_transition_allows(&transition, "v1"));
}

static void test_row_of_another_order_is_only_a_condition(void **state)
{
	pr_transition_t transition;
	pr_transition_row_t row = { 3, PR_ROLLOUT_DONE, BEGAN_MS, "" };
	pr_rollout_order_t order = { "model", "v2", DURATION_MS };

	pr_transition_init(&transition, &order, 7);
	pr_transition_apply(&transition, &row, 4);
	assert_int_equal(transition.state, PR_ROLLOUT_RUNNING);
	assert_int_equal(transition.state_row, 4);
	assert_false(pr_transition_allows(&transition, "v2"));
	assert_int_equal(pr_transition_conclude(&transition, at(0), 0, 1),
			 PR_CONCLUDE_START);
}

static void test_older_row_is_ignored(void **state)
{
	pr_transition_t transition;
	pr_transition_row_t done = { 7, PR_ROLLOUT_DONE, BEGAN_MS, "" };
	pr_transition_row_t running = { 7, PR_ROLLOUT_RUNNING, BEGAN_MS, "" };

	begin(&transition);
	pr_transition_apply(&transition, &done, 20);
	pr_transition_apply(&transition, &running, 19);
	assert_int_equal(transition.state, PR_ROLLOUT_DONE);
}

/* The share only grows, so that no session returns to the old version. */
static void test_share_grows_from_none_to_all(void **state)
{
	pr_transition_t transition;
	double before = 0, exposed = 0;

	begin(&transition);
	assert_true(pr_transition_share(&transition, BEGAN_MS + 500) == 0);
	for (int64_t now = BEGAN_MS; now < at(1); now += 100) {
		double share = pr_transition_share(&transition, now);

		assert_true(share >= before);
		if (now < at(0.5))
			exposed += share * 100;
		before = share;
	}
	assert_true(before == 1);
	/* A third of the exposure that an order allows, which is 12 to 15 in
	 * 100 of all requests in its time; the load test needs the rest. */
	assert_true(exposed / (DURATION_MS) <= 0.12 / 3 + 0.005);
}

/* PINNED on a quiet day: a session that another host had sent to the old
 * version a moment ago was moved. */
static void test_session_active_elsewhere_stays(void **state)
{
	static pr_sessions_t sessions;
	pr_transition_t transition;
	int64_t now = at(0.2);

	memset(&sessions, 0, sizeof(sessions));
	begin(&transition);
	pr_sessions_merge(&sessions, EARLY, now - 2000, false);
	assert_int_equal(choose(&transition, &sessions, EARLY, false, now),
			 PR_VERSION_OLD);
	/* It stays as long as it is active, and moves after that. */
	assert_int_equal(
		choose(&transition, &sessions, EARLY, false, now + 4000),
		PR_VERSION_OLD);
	assert_int_equal(
		choose(&transition, &sessions, EARLY, false, now + 10000),
		PR_VERSION_NEW);
}

static void test_sessions_outside_the_share_stay(void **state)
{
	static pr_sessions_t sessions;
	pr_transition_t transition;

	memset(&sessions, 0, sizeof(sessions));
	begin(&transition);
	assert_int_equal(choose(&transition, &sessions, LATE, false, at(0.3)),
			 PR_VERSION_OLD);
	assert_int_equal(choose(&transition, &sessions, LATE, false, at(0.9)),
			 PR_VERSION_NEW);
}

static uint64_t hash_of(uint64_t i)
{
	i = (i ^ (i >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	i = (i ^ (i >> 27)) * UINT64_C(0x94d049bb133111eb);
	return i ^ (i >> 31);
}

/* PINNED on a fleet of 58 hosts: the sessions that are active displaced each
 * other, and those that were forgotten moved. */
static void test_active_sessions_of_a_fleet_are_kept(void **state)
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

/* A host tells of its own sessions only, or datagrams would go in circles. */
static void test_only_own_candidates_are_told(void **state)
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

/* PINNED on quiet-1 of tsh-tubes, seed 10: sessions that the load test had
 * moved went back to the old version, on the same host and on others. */
static void test_tested_session_does_not_go_back(void **state)
{
	static pr_sessions_t sessions, elsewhere;
	pr_transition_t transition;

	memset(&sessions, 0, sizeof(sessions));
	memset(&elsewhere, 0, sizeof(elsewhere));
	begin(&transition);
	assert_int_equal(choose(&transition, &sessions, LATE, true, at(0.6)),
			 PR_VERSION_NEW);
	assert_int_equal(
		choose(&transition, &sessions, LATE, false, at(0.6) + 4000),
		PR_VERSION_NEW);
	pr_sessions_merge(&elsewhere, LATE, at(0.6), true);
	assert_int_equal(
		choose(&transition, &elsewhere, LATE, false, at(0.6) + 1000),
		PR_VERSION_NEW);
	/* A version that is withdrawn keeps nobody. */
	transition.state = PR_ROLLOUT_WITHDRAWN;
	assert_int_equal(
		choose(&transition, &elsewhere, LATE, false, at(0.6) + 1000),
		PR_VERSION_OLD);
}

static void record(pr_transition_t *transition, const char *version, int total,
		   int bad)
{
	for (int i = 0; i < total; i++)
		pr_transition_record(transition, version, i < bad, (uint32_t)i);
}

static void test_bad_version_is_withdrawn(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record(&transition, "v1", 300, 2);
	record(&transition, "v2", 20, 6);
	assert_int_equal(pr_transition_conclude(&transition, at(0.3), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
	/* Nothing more is sent, before the store knows of it. */
	assert_false(pr_transition_allows(&transition, "v2"));
	assert_true(pr_transition_share(&transition, at(0.9)) == 0);
}

/* Each host sees an eighth of the answers; together they are evidence. */
static void test_peers_count_as_evidence(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record(&transition, "v2", 3, 1);
	transition.peers.fresh =
		(pr_tally_t){ .total = 20, .bad = 6, .bad_upstreams = 0x6 };
	transition.peers.old =
		(pr_tally_t){ .total = 300, .bad = 3, .bad_upstreams = 0x1 };
	assert_int_equal(pr_transition_conclude(&transition, at(0.3), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

/* Faults of the network hit both versions; the new one is not to blame. */
static void test_faults_of_both_versions_do_not_withdraw(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record(&transition, "v1", 300, 90);
	record(&transition, "v2", 30, 9);
	assert_int_equal(pr_transition_conclude(&transition, at(0.3), 0, 4),
			 PR_CONCLUDE_NOTHING);
}

/* A version that turns bad late is judged until the end. */
static void test_late_bad_version_is_withdrawn(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record(&transition, "v1", 300, 2);
	record(&transition, "v2", 60, 0);
	assert_int_equal(pr_transition_conclude(&transition, at(0.6), 0, 4),
			 PR_CONCLUDE_NOTHING);
	record(&transition, "v2", 30, 12);
	assert_int_equal(pr_transition_conclude(&transition, at(0.7), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

/* rollout_bad late, under_load: a few bad answers among many good ones from
 * before are judged by the last seconds. */
static void test_recent_answers_are_judged(void **state)
{
	pr_transition_t transition;
	int64_t now = at(0.3);

	begin(&transition);
	record(&transition, "v1", 300, 0);
	record(&transition, "v2", 400, 0);
	assert_int_equal(pr_transition_conclude(&transition, now, 0, 4),
			 PR_CONCLUDE_NOTHING);
	for (int i = 0; i < 100; i++) {
		now += 100;
		assert_int_equal(pr_transition_conclude(&transition, now, 0, 4),
				 PR_CONCLUDE_NOTHING);
	}
	record(&transition, "v1", 30, 0);
	record(&transition, "v2", 40, 7);
	assert_int_equal(pr_transition_conclude(&transition, now + 100, 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

/* PINNED and EXPOSURE: the load test needs most requests of the sessions, so it
 * begins when sessions may move, and ends before all of them do. */
static void test_load_test_is_between_pinning_and_moving(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	for (int part = 0; part < 100; part++) {
		int64_t now = at(part / 100.0);

		if (!pr_transition_is_load_testing(&transition, now))
			continue;
		assert_false(pr_transition_pins_sessions(&transition, now));
		assert_true(part >= 50);
		assert_true(pr_transition_share(&transition, now) <= 0.1);
		/* What it leaves behind is not the version's fault either. */
		assert_true(
			pr_transition_has_test_load(&transition, now + 2000));
	}
	assert_true(pr_transition_is_load_testing(&transition, at(0.6)));
	assert_false(pr_transition_is_load_testing(&transition, at(0.4)));
	transition.state = PR_ROLLOUT_WITHDRAWN;
	assert_false(pr_transition_is_load_testing(&transition, at(0.6)));
}

static void pace(pr_transition_t *transition, const char *version, int total,
		 int slow, int upstreams)
{
	for (int i = 0; i < total; i++)
		pr_transition_record_pace(transition, version, i < slow,
					  (uint32_t)(i % upstreams), at(0.3));
}

/* rollout_bad slow: answers of the new version took four times as long between
 * events, none was late enough to end an attempt, and all sessions moved. Few
 * answers are seen of a small share. */
static void test_slow_version_is_withdrawn(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record(&transition, "v1", 300, 0);
	record(&transition, "v2", 12, 0);
	pace(&transition, "v1", 280, 80, 6);
	pace(&transition, "v2", 8, 8, 4);
	assert_int_equal(pr_transition_conclude(&transition, at(0.4), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

/* Load makes a part of the answers of both versions slow, and one upstream may
 * be slow by itself. */
static void test_slow_answers_of_load_do_not_withdraw(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	pace(&transition, "v1", 280, 80, 6);
	pace(&transition, "v2", 40, 14, 4);
	assert_int_equal(pr_transition_conclude(&transition, at(0.4), 0, 4),
			 PR_CONCLUDE_NOTHING);
	begin(&transition);
	pace(&transition, "v1", 280, 5, 6);
	pace(&transition, "v2", 10, 10, 1);
	assert_int_equal(pr_transition_conclude(&transition, at(0.4), 0, 4),
			 PR_CONCLUDE_NOTHING);
}

/* Upstreams that have just started, and those that the load test fills, are
 * slow without fault of the version. */
static void test_pace_is_judged_beside_the_old_version_only(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	for (int i = 0; i < 40; i++) {
		pr_transition_record_pace(&transition, "v2", true, i % 4,
					  at(0.1));
		pr_transition_record_pace(&transition, "v2", true, i % 4,
					  at(0.6));
	}
	assert_int_equal(pr_transition_conclude(&transition, at(0.65), 0, 4),
			 PR_CONCLUDE_NOTHING);
}

static void test_pace_is_several_times_the_median(void **state)
{
	static pr_pace_t pace;

	memset(&pace, 0, sizeof(pace));
	/* Nothing is known at first, so nothing is slow. */
	assert_false(pr_pace_is_slow(&pace, 5, 1000));
	for (int i = 0; i < 100; i++)
		pr_pace_learn(&pace, 5, 30 + i % 20);
	assert_false(pr_pace_is_slow(&pace, 5, 50));
	assert_true(pr_pace_is_slow(&pace, 5, 160));
	assert_false(pr_pace_is_slow(&pace, 6, 160));
	for (uint64_t kind = 10; kind < 200; kind++)
		pr_pace_learn(&pace, kind, 30);
	assert_int_equal(pace.count, PR_PACE_KINDS_MAX);
}

/* A resumed stream whose rest holds no event had the events of the attempt
 * before counted since the start of the clock, and was slow. */
static void test_pace_of_a_stream_is_that_of_its_attempt(void **state)
{
	const pr_usec_t now = 100 * PR_USEC_PER_SEC;
	pr_pace_stream_t stream = { 0 };
	double ms = 0;

	assert_false(pr_pace_measure_stream(&stream, 1, false, now, &ms));
	assert_false(pr_pace_measure_stream(&stream, 6, false,
					    now + PR_USEC_PER_SEC, &ms));
	assert_true(pr_pace_measure_stream(&stream, 11, false,
					   now + PR_USEC_PER_SEC, &ms));
	assert_true(ms == 100);
	/* Each attempt is judged once. */
	assert_false(pr_pace_measure_stream(&stream, 30, true,
					    now + 9 * PR_USEC_PER_SEC, &ms));
	stream = (pr_pace_stream_t){ 0 };
	assert_false(pr_pace_measure_stream(&stream, 30, true, now, &ms));
}

static void test_good_version_is_done_in_time(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record(&transition, "v2", 200, 1);
	assert_int_equal(pr_transition_conclude(&transition, at(0.7), 0, 4),
			 PR_CONCLUDE_NOTHING);
	assert_int_equal(pr_transition_conclude(&transition, at(0.9), 0, 4),
			 PR_CONCLUDE_DONE);
	/* Without an upstream to use, the old ones must not be stopped. */
	assert_int_equal(pr_transition_conclude(&transition, at(0.9), 0, 0),
			 PR_CONCLUDE_NOTHING);
}

static void test_row_round_trip(void **state)
{
	pr_transition_row_t row = { 41, PR_ROLLOUT_WITHDRAWN, 1234567, "v2" };
	pr_transition_row_t read;
	pr_str_t bytes = PR_STR_INIT;

	assert_int_equal(pr_transition_row_pack(&bytes, &row), 0);
	assert_int_equal(pr_transition_row_unpack(&read, pr_str_slice(&bytes)),
			 0);
	assert_int_equal(read.order_row, 41);
	assert_int_equal(read.state, PR_ROLLOUT_WITHDRAWN);
	assert_int_equal(read.began_ms, 1234567);
	assert_int_not_equal(
		pr_transition_row_unpack(&read, PR_SLICE("not a row")), 0);
	pr_str_finish(&bytes);
}

/*
 * A version was withdrawn, and a further order comes while its upstreams are
 * still listed: they must get nothing, though they are not of the new version
 * (LOST on the further site: a stream went on there and was broken off).
 */
static void test_withdrawn_version_stays_out_in_the_next_order(void **state)
{
	pr_rollout_order_t first = { "model", "v2", 16000 };
	pr_rollout_order_t second = { "model", "v3", 16000 };
	pr_transition_row_t row = { 5, PR_ROLLOUT_WITHDRAWN, 1000, "" };
	pr_transition_row_t read;
	pr_transition_t transition = { 0 }, other;
	pr_str_t bytes = PR_STR_INIT;

	pr_transition_replace(&transition, &first, 5);
	pr_transition_apply(&transition, &row, 6);
	assert_false(pr_transition_allows(&transition, "v2"));
	pr_transition_replace(&transition, &second, 7);
	assert_false(pr_transition_allows(&transition, "v2"));
	assert_true(pr_transition_allows(&transition, "v1"));
	/* A host that starts later has it from the shared row. */
	row = (pr_transition_row_t){ 7, PR_ROLLOUT_RUNNING, 2000, "v2" };
	assert_int_equal(pr_transition_row_pack(&bytes, &row), 0);
	assert_int_equal(pr_transition_row_unpack(&read, pr_str_slice(&bytes)),
			 0);
	pr_transition_init(&other, &second, 7);
	pr_transition_apply(&other, &read, 8);
	assert_false(pr_transition_allows(&other, "v2"));
	assert_true(pr_transition_allows(&other, "v3"));
	/* Ordered once more it may be used. */
	pr_transition_replace(&transition, &first, 9);
	row = (pr_transition_row_t){ 9, PR_ROLLOUT_RUNNING, 3000, "" };
	pr_transition_apply(&transition, &row, 10);
	assert_true(pr_transition_allows(&transition, "v2"));
	pr_str_finish(&bytes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_withdrawn_version_stays_out_in_the_next_order),
		cmocka_unit_test(test_done_row_allows_only_new),
		cmocka_unit_test(test_row_of_another_order_is_only_a_condition),
		cmocka_unit_test(test_older_row_is_ignored),
		cmocka_unit_test(test_share_grows_from_none_to_all),
		cmocka_unit_test(test_session_active_elsewhere_stays),
		cmocka_unit_test(test_sessions_outside_the_share_stay),
		cmocka_unit_test(test_active_sessions_of_a_fleet_are_kept),
		cmocka_unit_test(test_only_own_candidates_are_told),
		cmocka_unit_test(test_bad_version_is_withdrawn),
		cmocka_unit_test(test_peers_count_as_evidence),
		cmocka_unit_test(test_faults_of_both_versions_do_not_withdraw),
		cmocka_unit_test(test_late_bad_version_is_withdrawn),
		cmocka_unit_test(test_recent_answers_are_judged),
		cmocka_unit_test(test_load_test_is_between_pinning_and_moving),
		cmocka_unit_test(test_tested_session_does_not_go_back),
		cmocka_unit_test(test_slow_version_is_withdrawn),
		cmocka_unit_test(test_slow_answers_of_load_do_not_withdraw),
		cmocka_unit_test(
			test_pace_is_judged_beside_the_old_version_only),
		cmocka_unit_test(test_pace_is_several_times_the_median),
		cmocka_unit_test(test_pace_of_a_stream_is_that_of_its_attempt),
		cmocka_unit_test(test_good_version_is_done_in_time),
		cmocka_unit_test(test_row_round_trip),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
