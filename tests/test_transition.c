/* Tests of src/transition: share, pinning, load test, evaluation and shared row
 * of a version transition, on which all hosts must agree. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "transition/transition.h"
#include "revision.h"

#define DURATION_MS 24000
#define BEGAN_MS    100000
#define SESSION_MS  5000

/* Time at which a fraction of the order's duration has elapsed. */
static int64_t at(double part)
{
	return BEGAN_MS + (int64_t)(part * DURATION_MS);
}

/* Begin an order whose version is verified at a time, and under load at another
 * one; 0 for not yet. */
static void begin_verified_at(pr_transition_t *transition, int64_t verified,
			      int64_t load_verified)
{
	pr_rollout_order_t order = { "model", "v2", DURATION_MS };
	pr_transition_row_t row = { 7,  PR_ROLLOUT_RUNNING, BEGAN_MS,
				    "", verified,           load_verified };

	pr_transition_init(transition, &order, rev(7));
	pr_transition_apply(transition, &row, rev(8));
}

static void begin(pr_transition_t *transition)
{
	begin_verified_at(transition, at(0.5), at(0.7));
}

static void begin_unverified(pr_transition_t *transition)
{
	begin_verified_at(transition, 0, 0);
}

static void verify(pr_transition_t *transition, int64_t now,
		   int64_t load_verified)
{
	pr_transition_row_t row = { 7,   PR_ROLLOUT_RUNNING, BEGAN_MS, "",
				    now, load_verified };

	pr_transition_apply(transition, &row, rev(9));
}

/* Hashes of a session that moves in the first step, and of one that moves last.
 */
#define EARLY (UINT64_C(1) << 20)
#define LATE  (UINT64_MAX - 5)

static pr_version_choice_t choose(const pr_transition_t *transition,
				  pr_sessions_t *sessions, uint64_t session,
				  bool load_test, int64_t now)
{
	pr_transition_request_t request = { session, 1, load_test };

	return pr_transition_choose(transition, sessions, &request, now,
				    SESSION_MS);
}

/* Guards against a host that uses no upstream of the only remaining version:
 * after a restart it had read the shared row before the order. */
static void test_done_row_allows_only_new_version(void **state)
{
	pr_transition_t transition;
	pr_transition_row_t row = { 7, PR_ROLLOUT_DONE, BEGAN_MS, "", 0, 0 };

	begin(&transition);
	pr_transition_apply(&transition, &row, rev(9));
	assert_true(pr_transition_allows(&transition, "v2"));
	assert_false(pr_transition_allows(&transition, "v1"));
}

static void test_row_of_another_order_sets_only_its_version(void **state)
{
	pr_transition_t transition;
	pr_transition_row_t row = {
		3, PR_ROLLOUT_DONE, BEGAN_MS, "", at(0.5), 0
	};
	pr_rollout_order_t order = { "model", "v2", DURATION_MS };

	pr_transition_init(&transition, &order, rev(7));
	pr_transition_apply(&transition, &row, rev(4));
	assert_int_equal(transition.state, PR_ROLLOUT_RUNNING);
	assert_int_equal(transition.state_row.number, 4);
	assert_true(!transition.verified_ms);
	assert_false(pr_transition_allows(&transition, "v2"));
	assert_int_equal(pr_transition_conclude(&transition, at(0), 0, 1),
			 PR_CONCLUDE_START);
}

static void test_older_row_is_ignored(void **state)
{
	pr_transition_t transition;
	pr_transition_row_t done = { 7, PR_ROLLOUT_DONE, BEGAN_MS, "", 0, 0 };
	pr_transition_row_t running = { 7, PR_ROLLOUT_RUNNING, BEGAN_MS, "", 0,
					0 };

	begin(&transition);
	pr_transition_apply(&transition, &done, rev(20));
	pr_transition_apply(&transition, &running, rev(19));
	assert_int_equal(transition.state, PR_ROLLOUT_DONE);
}

/* The share never decreases, so that no session returns to the old version. */
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
	/* The pinned half may use a third of the exposure that an order
	 * allows, which is 12% to 15% of all requests during the order; the
	 * load test needs the rest. */
	assert_true(exposed / (DURATION_MS) <= 0.12 / 3 + 0.005);
}

/* Guards against moving an active session (rule PINNED) whose last request
 * another host sent to the old version a moment ago. */
static void test_session_active_elsewhere_stays(void **state)
{
	static pr_sessions_t sessions;
	pr_transition_t transition;
	int64_t now = at(0.2);
	pr_recent_session_t elsewhere = { EARLY, now - 2000, false };

	memset(&sessions, 0, sizeof(sessions));
	begin(&transition);
	pr_sessions_merge(&sessions, &elsewhere, false);
	assert_int_equal(choose(&transition, &sessions, EARLY, false, now),
			 PR_VERSION_OLD);
	/* The session stays while it is active, and moves afterwards. */
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

/* Guards against sessions that return to the old version after the load test
 * moved them (rule PINNED), on the same host or on others (site tsh-tubes,
 * quiet-1, seed 10). */
static void test_session_moved_by_load_test_does_not_return(void **state)
{
	static pr_sessions_t sessions, elsewhere;
	pr_transition_t transition;
	pr_recent_session_t moved = { LATE, at(0.6), true };

	memset(&sessions, 0, sizeof(sessions));
	memset(&elsewhere, 0, sizeof(elsewhere));
	begin(&transition);
	assert_int_equal(choose(&transition, &sessions, LATE, true, at(0.6)),
			 PR_VERSION_NEW);
	assert_int_equal(
		choose(&transition, &sessions, LATE, false, at(0.6) + 4000),
		PR_VERSION_NEW);
	pr_sessions_merge(&elsewhere, &moved, false);
	assert_int_equal(
		choose(&transition, &elsewhere, LATE, false, at(0.6) + 1000),
		PR_VERSION_NEW);
	/* A withdrawn version keeps no session. */
	transition.state = PR_ROLLOUT_WITHDRAWN;
	assert_int_equal(
		choose(&transition, &elsewhere, LATE, false, at(0.6) + 1000),
		PR_VERSION_OLD);
}

static void record_answers(pr_transition_t *transition, const char *version,
			   int total, int bad)
{
	for (int i = 0; i < total; i++)
		pr_transition_record(transition, version, i < bad, (uint32_t)i);
}

static void test_bad_version_is_withdrawn(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record_answers(&transition, "v1", 300, 2);
	record_answers(&transition, "v2", 20, 6);
	assert_int_equal(pr_transition_conclude(&transition, at(0.3), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
	/* This host stops using the version before the withdrawal is stored.
	 */
	assert_false(pr_transition_allows(&transition, "v2"));
	assert_true(pr_transition_share(&transition, at(0.9)) == 0);
}

/* Each host sees an eighth of the answers, too few to find the version bad; the
 * counts of all hosts together suffice. */
static void test_counts_of_other_hosts_are_added(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record_answers(&transition, "v2", 3, 1);
	transition.peers.new =
		(pr_tally_t){ .total = 20, .bad = 6, .bad_upstreams = 0x6 };
	transition.peers.old =
		(pr_tally_t){ .total = 300, .bad = 3, .bad_upstreams = 0x1 };
	assert_int_equal(pr_transition_conclude(&transition, at(0.3), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

/* Faults of the network affect both versions alike and must not withdraw the
 * new one. */
static void test_faults_of_both_versions_do_not_withdraw(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record_answers(&transition, "v1", 300, 90);
	record_answers(&transition, "v2", 30, 9);
	assert_int_equal(pr_transition_conclude(&transition, at(0.3), 0, 4),
			 PR_CONCLUDE_NOTHING);
}

/* A version that becomes bad late is still withdrawn. */
static void test_late_bad_version_is_withdrawn(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record_answers(&transition, "v1", 300, 2);
	record_answers(&transition, "v2", 60, 0);
	assert_int_equal(pr_transition_conclude(&transition, at(0.6), 0, 4),
			 PR_CONCLUDE_NOTHING);
	record_answers(&transition, "v2", 30, 12);
	assert_int_equal(pr_transition_conclude(&transition, at(0.7), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

/* Guards against a version that becomes bad late or under load (event kind
 * rollout_bad late, under_load) and passes by the many good answers from
 * before: the last seconds are evaluated alone. */
static void test_recent_answers_are_evaluated_alone(void **state)
{
	pr_transition_t transition;
	int64_t now = at(0.3);

	begin(&transition);
	record_answers(&transition, "v1", 300, 0);
	record_answers(&transition, "v2", 400, 0);
	assert_int_equal(pr_transition_conclude(&transition, now, 0, 4),
			 PR_CONCLUDE_NOTHING);
	for (int i = 0; i < 100; i++) {
		now += 100;
		assert_int_equal(pr_transition_conclude(&transition, now, 0, 4),
				 PR_CONCLUDE_NOTHING);
	}
	record_answers(&transition, "v1", 30, 0);
	record_answers(&transition, "v2", 40, 7);
	assert_int_equal(pr_transition_conclude(&transition, now + 100, 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

/* The load test needs most requests of the sessions. So it begins when sessions
 * may move (rule PINNED), and ends before all of them do (rule EXPOSURE). */
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
		/* Slow answers from its backlog are not the version's fault
		 * either. */
		assert_true(
			pr_transition_has_test_load(&transition, now + 2000));
	}
	assert_true(pr_transition_is_load_testing(&transition, at(0.6)));
	assert_false(pr_transition_is_load_testing(&transition, at(0.4)));
	transition.state = PR_ROLLOUT_WITHDRAWN;
	assert_false(pr_transition_is_load_testing(&transition, at(0.6)));
}

static void record_paces_at(pr_transition_t *transition, const char *version,
			    int total, int slow, int upstreams, double part)
{
	for (int i = 0; i < total; i++)
		pr_transition_record_pace(transition, version, i < slow, false,
					  (uint32_t)(i % upstreams), at(part));
}

static void record_paces(pr_transition_t *transition, const char *version,
			 int total, int slow, int upstreams)
{
	record_paces_at(transition, version, total, slow, upstreams, 0.3);
}

/* Guards against a version with four times the time between events (event kind
 * rollout_bad slow) that all sessions move to, since no answer is late enough
 * to end an attempt. A small share yields few answers to detect it. */
static void test_slow_version_is_withdrawn(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record_answers(&transition, "v1", 300, 0);
	record_answers(&transition, "v2", 12, 0);
	record_paces(&transition, "v1", 280, 80, 6);
	record_paces(&transition, "v2", 8, 8, 4);
	assert_int_equal(pr_transition_conclude(&transition, at(0.4), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

/* Slow answers of both versions under load, or of a single slow upstream, do
 * not withdraw the new version. */
static void test_slow_answers_under_load_do_not_withdraw(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record_paces(&transition, "v1", 280, 80, 6);
	record_paces(&transition, "v2", 40, 14, 4);
	assert_int_equal(pr_transition_conclude(&transition, at(0.4), 0, 4),
			 PR_CONCLUDE_NOTHING);
	begin(&transition);
	record_paces(&transition, "v1", 280, 5, 6);
	record_paces(&transition, "v2", 10, 10, 1);
	assert_int_equal(pr_transition_conclude(&transition, at(0.4), 0, 4),
			 PR_CONCLUDE_NOTHING);
}

/* Upstreams that have just started, those of the load test, and those that bear
 * the load of both versions are slow without a fault of the version, so their
 * pace is not counted. */
static void test_pace_of_new_or_load_tested_upstreams_is_ignored(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	for (int i = 0; i < 40; i++) {
		pr_transition_record_pace(&transition, "v2", true, false, i % 4,
					  at(0.1));
		pr_transition_record_pace(&transition, "v2", true, true, i % 4,
					  at(0.6));
		pr_transition_record_pace(&transition, "v2", true, false, i % 4,
					  at(0.8));
	}
	assert_int_equal(pr_transition_conclude(&transition, at(0.65), 0, 4),
			 PR_CONCLUDE_NOTHING);
}

/* Guards against a version that is slow only later: the pace of its upstreams
 * outside the load test was not counted after the first half. */
static void test_slow_answers_after_the_first_half_are_counted(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record_paces(&transition, "v1", 280, 10, 6);
	record_paces_at(&transition, "v2", 10, 10, 4, 0.6);
	assert_int_equal(pr_transition_conclude(&transition, at(0.65), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

/* Guards against a version that becomes slow late and passes by its many
 * answers from before. */
static void test_recent_slow_answers_are_evaluated_alone(void **state)
{
	pr_transition_t transition;
	int64_t now = at(0.3);

	begin(&transition);
	record_paces(&transition, "v1", 300, 15, 6);
	record_paces(&transition, "v2", 100, 2, 4);
	for (int i = 0; i < 100; i++, now += 90)
		assert_int_equal(pr_transition_conclude(&transition, now, 0, 4),
				 PR_CONCLUDE_NOTHING);
	record_paces_at(&transition, "v2", 10, 9, 4, 0.65);
	assert_int_equal(pr_transition_conclude(&transition, now, 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

/*
 * Guards against a version several times slower that is completed, since its
 * few measured answers are not enough to find it slow (day "hasty",
 * bkw-tickets, seeds 10 and 22: 4 of 4 and 1 of 1 slow at the end).
 */
static void test_version_with_few_measured_answers_is_not_done(void **state)
{
	pr_transition_t transition;

	begin_unverified(&transition);
	record_answers(&transition, "v1", 760, 0);
	record_answers(&transition, "v2", 98, 0);
	record_paces(&transition, "v1", 143, 28, 6);
	record_paces(&transition, "v2", 4, 4, 4);
	for (int part = 0; part < 95; part++) {
		int64_t now = at(part / 100.0);

		assert_int_not_equal(
			pr_transition_conclude(&transition, now, 0, 4),
			PR_CONCLUDE_DONE);
		assert_true(pr_transition_share(&transition, now) <=
			    PR_TRANSITION_PINNED_SHARE_MAX);
		assert_false(pr_transition_is_load_testing(&transition, now));
	}
	assert_int_equal(pr_transition_conclude(&transition, at(0.96), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

/* Answers that were counted good, but not measured, show no pace: the slow ones
 * may be given up before they can be measured. */
static void test_unmeasured_version_is_withdrawn(void **state)
{
	pr_transition_t transition;

	begin_unverified(&transition);
	record_answers(&transition, "v1", 760, 0);
	record_answers(&transition, "v2", 98, 0);
	record_paces(&transition, "v1", 143, 28, 6);
	assert_int_equal(pr_transition_conclude(&transition, at(0.9), 0, 4),
			 PR_CONCLUDE_NOTHING);
	assert_int_equal(pr_transition_conclude(&transition, at(0.96), 0, 4),
			 PR_CONCLUDE_WITHDRAW);
}

static void test_good_version_is_verified_before_sessions_move(void **state)
{
	pr_transition_t transition;

	begin_unverified(&transition);
	record_answers(&transition, "v1", 300, 3);
	record_answers(&transition, "v2", 20, 1);
	record_paces(&transition, "v1", 140, 10, 6);
	record_paces(&transition, "v2", 12, 1, 4);
	assert_int_equal(pr_transition_conclude(&transition, at(0.4), 0, 4),
			 PR_CONCLUDE_NOTHING);
	assert_int_equal(pr_transition_conclude(&transition, at(0.47), 0, 0),
			 PR_CONCLUDE_NOTHING);
	assert_int_equal(pr_transition_conclude(&transition, at(0.47), 0, 4),
			 PR_CONCLUDE_VERIFIED);
	verify(&transition, at(0.47), at(0.7));
	assert_true(pr_transition_is_load_testing(&transition, at(0.6)));
	assert_int_equal(pr_transition_conclude(&transition, at(0.84), 0, 4),
			 PR_CONCLUDE_NOTHING);
	assert_int_equal(pr_transition_conclude(&transition, at(0.86), 0, 4),
			 PR_CONCLUDE_DONE);
}

/* The load test and the move keep their length when the version is verified
 * late, and sessions stay pinned until then (rule PINNED). */
static void test_late_verification_delays_the_schedule(void **state)
{
	pr_transition_t transition;

	begin_unverified(&transition);
	assert_true(pr_transition_pins_sessions(&transition, at(0.58)));
	verify(&transition, at(0.6), at(0.82));
	assert_true(pr_transition_pins_sessions(&transition, at(0.59)));
	assert_false(pr_transition_pins_sessions(&transition, at(0.61)));
	assert_true(pr_transition_is_load_testing(&transition, at(0.82)));
	assert_true(pr_transition_share(&transition, at(0.82)) <=
		    PR_TRANSITION_PINNED_SHARE_MAX);
	assert_false(pr_transition_is_load_testing(&transition, at(0.84)));
	assert_true(pr_transition_share(&transition, at(0.9)) == 1);
	assert_int_equal(pr_transition_conclude(&transition, at(0.93), 0, 4),
			 PR_CONCLUDE_NOTHING);
	assert_int_equal(pr_transition_conclude(&transition, at(0.95), 0, 4),
			 PR_CONCLUDE_DONE);
}

/* Answers of the new version in the fleet, each measured by one host. */
static pr_conclusion_t conclude_of_fleet(uint32_t hosts, uint32_t answers,
					 uint32_t slow, double part)
{
	const pr_tally_t all_new = { .total = answers,
				     .timed = answers,
				     .slow = slow,
				     .slow_upstreams = slow ? 0x3f : 0 };
	pr_conclusion_t conclusion = PR_CONCLUDE_NOTHING;

	for (uint32_t i = 0; i < hosts; i++) {
		pr_transition_t transition;

		begin_unverified(&transition);
		transition.own.new.total = transition.own.new.timed =
			(answers + i) / hosts;
		transition.own.new.slow = (slow + i) / hosts;
		transition.own.new.slow_upstreams =
			transition.own.new.slow ? 0x2 : 0;
		transition.peers.new = all_new;
		transition.peers.new.total -= transition.own.new.total;
		transition.peers.new.timed -= transition.own.new.timed;
		transition.peers.new.slow -= transition.own.new.slow;
		transition.own.old =
			(pr_tally_t){ .total = 8, .timed = 6, .slow = i % 2 };
		transition.peers.old = (pr_tally_t){ .total = 8 * (hosts - 1),
						     .timed = 6 * (hosts - 1),
						     .slow = hosts / 2 };
		if (i)
			assert_int_equal(pr_transition_conclude(&transition,
								at(part), 0, 4),
					 conclusion);
		else
			conclusion = pr_transition_conclude(&transition,
							    at(part), 0, 4);
	}
	return conclusion;
}

/* All hosts reach the same verdict, also where most of them measured none of
 * the few answers of the new version. */
static void test_hosts_of_a_fleet_agree_on_pace(void **state)
{
	static const uint32_t fleets[] = { 9, 84, 295 };

	for (size_t i = 0; i < sizeof(fleets) / sizeof(fleets[0]); i++) {
		uint32_t hosts = fleets[i];

		assert_int_equal(conclude_of_fleet(hosts, 8, 8, 0.4),
				 PR_CONCLUDE_WITHDRAW);
		assert_int_equal(conclude_of_fleet(hosts, 10, 0, 0.5),
				 PR_CONCLUDE_VERIFIED);
		assert_int_equal(conclude_of_fleet(hosts, 3, 0, 0.9),
				 PR_CONCLUDE_NOTHING);
		assert_int_equal(conclude_of_fleet(hosts, 3, 2, 0.9),
				 PR_CONCLUDE_NOTHING);
	}
}

static void test_good_version_is_done_in_time(void **state)
{
	pr_transition_t transition;

	begin(&transition);
	record_answers(&transition, "v2", 200, 1);
	assert_int_equal(pr_transition_conclude(&transition, at(0.7), 0, 4),
			 PR_CONCLUDE_NOTHING);
	assert_int_equal(pr_transition_conclude(&transition, at(0.9), 0, 4),
			 PR_CONCLUDE_DONE);
	/* While no new upstream can be used, the old ones must not be
	 * stopped. */
	assert_int_equal(pr_transition_conclude(&transition, at(0.9), 0, 0),
			 PR_CONCLUDE_NOTHING);
}

/*
 * Guards against requests to the upstreams of a withdrawn version when another
 * order follows while they are still listed: they are not of the new version
 * and would pass for the old one. A stream that was resumed there was broken
 * off (rule LOST).
 */
static void test_withdrawn_version_stays_out_in_the_next_order(void **state)
{
	pr_rollout_order_t first = { "model", "v2", 16000 };
	pr_rollout_order_t second = { "model", "v3", 16000 };
	pr_transition_row_t row = { 5, PR_ROLLOUT_WITHDRAWN, 1000, "", 0, 0 };
	pr_transition_row_t read;
	pr_transition_t transition = { 0 }, other;
	pr_str_t bytes = PR_STR_INIT;

	pr_transition_replace(&transition, &first, rev(5));
	pr_transition_apply(&transition, &row, rev(6));
	assert_false(pr_transition_allows(&transition, "v2"));
	pr_transition_replace(&transition, &second, rev(7));
	assert_false(pr_transition_allows(&transition, "v2"));
	assert_true(pr_transition_allows(&transition, "v1"));
	/* A host that starts later reads the withdrawn version from the shared
	 * row. */
	row = (pr_transition_row_t){ 7, PR_ROLLOUT_RUNNING, 2000, "v2", 0, 0 };
	assert_int_equal(pr_transition_row_pack(&bytes, &row), 0);
	assert_int_equal(pr_transition_row_unpack(&read, pr_str_slice(&bytes)),
			 0);
	pr_transition_init(&other, &second, rev(7));
	pr_transition_apply(&other, &read, rev(8));
	assert_false(pr_transition_allows(&other, "v2"));
	assert_true(pr_transition_allows(&other, "v3"));
	/* A new order for the version permits it again. */
	pr_transition_replace(&transition, &first, rev(9));
	row = (pr_transition_row_t){ 9, PR_ROLLOUT_RUNNING, 3000, "", 0, 0 };
	pr_transition_apply(&transition, &row, rev(10));
	assert_true(pr_transition_allows(&transition, "v2"));
	pr_str_finish(&bytes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_withdrawn_version_stays_out_in_the_next_order),
		cmocka_unit_test(test_done_row_allows_only_new_version),
		cmocka_unit_test(
			test_row_of_another_order_sets_only_its_version),
		cmocka_unit_test(test_older_row_is_ignored),
		cmocka_unit_test(test_share_grows_from_none_to_all),
		cmocka_unit_test(test_session_active_elsewhere_stays),
		cmocka_unit_test(test_sessions_outside_the_share_stay),
		cmocka_unit_test(test_bad_version_is_withdrawn),
		cmocka_unit_test(test_counts_of_other_hosts_are_added),
		cmocka_unit_test(test_faults_of_both_versions_do_not_withdraw),
		cmocka_unit_test(test_late_bad_version_is_withdrawn),
		cmocka_unit_test(test_recent_answers_are_evaluated_alone),
		cmocka_unit_test(test_load_test_is_between_pinning_and_moving),
		cmocka_unit_test(
			test_session_moved_by_load_test_does_not_return),
		cmocka_unit_test(test_slow_version_is_withdrawn),
		cmocka_unit_test(test_slow_answers_under_load_do_not_withdraw),
		cmocka_unit_test(
			test_pace_of_new_or_load_tested_upstreams_is_ignored),
		cmocka_unit_test(
			test_slow_answers_after_the_first_half_are_counted),
		cmocka_unit_test(test_recent_slow_answers_are_evaluated_alone),
		cmocka_unit_test(
			test_version_with_few_measured_answers_is_not_done),
		cmocka_unit_test(test_unmeasured_version_is_withdrawn),
		cmocka_unit_test(
			test_good_version_is_verified_before_sessions_move),
		cmocka_unit_test(test_late_verification_delays_the_schedule),
		cmocka_unit_test(test_hosts_of_a_fleet_agree_on_pace),
		cmocka_unit_test(test_good_version_is_done_in_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
