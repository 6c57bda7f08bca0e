/*
 * Version transition: the share of the new version by time, the pinning of
 * active sessions, and the evaluation of responses. The new version is
 * withdrawn when its rate of bad responses is several times that of the old
 * version, or when a sequential test shows that its rate of slow responses is
 * higher, by a fixed limit or among responses at a similar load. Sessions move
 * only after another one has shown that most responses are neither bad nor
 * slow; a version for which that is not shown by the end of the order is
 * withdrawn. The same holds for the load test that follows: all traffic moves
 * only after responses at a high load were shown to be good.
 */
#include "transition/transition.h"

#include <math.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/sequential.h"

/*
 * Delay from the start of an order until the first session moves, milliseconds.
 * Meanwhile the hosts inform each other which sessions are active, by datagrams
 * that cross regions in tens of milliseconds.
 */
#define SESSIONS_EXCHANGE_MS 1000
/* Time for which a session counts as active beyond the platform's limit,
 * milliseconds. */
#define SESSION_SLACK_MS 500
/* Active sessions are pinned to their version until this fraction of the
 * order's duration. The schedule stops there until the new version is verified.
 */
#define PINNED_UNTIL 0.51
/* The new version may be verified from this fraction of the duration on, early
 * enough for the record to reach all hosts before PINNED_UNTIL. */
#define VERIFIED_FROM 0.45
/* A version that is not verified by this fraction of the duration is withdrawn.
 */
#define UNVERIFIED_UNTIL 0.95
/*
 * The load test of the new version runs from PINNED_UNTIL to this fraction of
 * the duration. In that time any session may move, so that a few upstreams
 * reach a high load within seconds.
 */
#define LOAD_TEST_UNTIL 0.74
/* The schedule stops here, in the load test, until the load test has shown that
 * the new version is good; early enough for the record to reach all hosts
 * before LOAD_TEST_UNTIL. */
#define LOAD_VERIFIED_BY 0.73
/* A version that the load test has not shown to be good by this position in the
 * schedule is withdrawn. The rest is needed to move all sessions. */
#define LOAD_UNVERIFIED_UNTIL 0.84
/* Time in which the upstreams work off the backlog of the load test,
 * milliseconds. */
#define LOAD_TEST_SETTLE_MS 3000
/* A load test adds no requests once the new version has got this share of all
 * that the service gets during the order, and a number that is needed at any
 * rate of requests. */
#define EXPOSED_SHARE_MAX 0.12
#define EXPOSED_ALWAYS    20
/* All sessions use the new version from this fraction of the duration on. */
#define ALL_MOVED_FROM 0.79
/* The transition may be done from this fraction of the duration on. */
#define DONE_FROM 0.85
/* Minimum number of bad responses for a withdrawal, and the minimum when all of
 * them come from one upstream. */
#define BAD_MIN              5.0
#define BAD_MIN_ONE_UPSTREAM 7.5
/* Time constant of the decay of the recent counts, milliseconds. */
#define RECENT_MS 3000.0
/*
 * Time for which a host that has just started, read the order of a new era or
 * was frozen concludes nothing by the time alone, milliseconds. Meanwhile hosts
 * that know more than the store's copy read the new era (within 3 s), write
 * their row (within 1.5 s) and have it read.
 */
#define RETURN_SETTLE_MS 6000
/* Time between two evaluations from which on this host was frozen,
 * milliseconds. */
#define EVALUATION_GAP_MS 3000
/* Rate of bad responses that a good version may have. */
#define NORMAL_BAD_RATE 0.02
/* A version counts as bad, given BAD_MIN and the floor NORMAL_BAD_RATE, when
 * its rate of bad responses exceeds that of the old version by this factor. */
#define BAD_RATE_RATIO 3.0
/* Pace is evaluated from this fraction of the duration on, since upstreams that
 * have just started are slow; at the latest after PACE_FROM_MAX_MS, or too many
 * requests would be exposed to a slow version in a long order. */
#define PACE_FROM        0.2
#define PACE_FROM_MAX_MS 4000
/* Rate of slow responses that chance (see pr_pace_rank()), waiting
 * and single slow upstreams may cause. The rate of the old version is used
 * instead when it is higher. */
#define NORMAL_SLOW_RATE 0.12
/* As NORMAL_SLOW_RATE, for responses slower than most at a similar load. */
#define NORMAL_SLOWER_RATE 0.34
/* The new version's rate of slow responses counts as higher once the natural
 * logarithm of the evidence reaches this value. A good version reaches it at
 * most once in a thousand orders. */
#define SLOW_EVIDENCE_LOG 6.9
/* A version is verified when its rates of bad and of slow responses are shown
 * to be below this part of the way from the old version's rate to 1, once the
 * natural logarithm of the evidence reaches GOOD_EVIDENCE_LOG. A version with a
 * higher rate reaches it at most once in ten orders, and is usually withdrawn
 * before. */
#define GOOD_RATE_PART    0.5
#define GOOD_EVIDENCE_LOG 2.3
/* A version is not verified while the natural logarithm of the evidence that
 * its responses are slower reaches this value. The few responses of a small
 * fleet would not suffice to show the contrary. */
#define SLOWER_SUSPICION_LOG 2.3

/* Share of the new version until a fraction of the duration. */
static const struct {
	double until, share;
} steps[] = {
	/* Enough to detect a version that is bad from the start. */
	{ 0.2, 0.05 },
	/* Enough to detect one that becomes bad later, or on one route. */
	{ LOAD_TEST_UNTIL, PR_TRANSITION_PINNED_SHARE_MAX },
	{ ALL_MOVED_FROM, 0.6 },
};

/* Elapsed fraction of the order's duration; above 1 after its end. */
static double elapsed(const pr_transition_t *transition, int64_t now_ms)
{
	if (!transition->order.duration_ms)
		return 1;
	return (double)(now_ms - transition->began_ms) /
	       transition->order.duration_ms;
}

/*
 * Position in the schedule after a stop at a position.
 *
 * @param at position without the stop
 * @param resumed position without the stop at which the schedule went on;
 *	  INFINITY when it has not
 */
static double position_after_stop(double at, double stop, double resumed)
{
	if (at < resumed)
		return fmin(at, stop);
	return at - fmax(resumed - stop, 0);
}

static double position_after_pinning(const pr_transition_t *transition,
				     int64_t now_ms)
{
	double resumed = transition->verified_ms
				 ? elapsed(transition, transition->verified_ms)
				 : INFINITY;

	return position_after_stop(elapsed(transition, now_ms), PINNED_UNTIL,
				   resumed);
}

/* Position in the schedule: the elapsed fraction, less the time for which the
 * schedule stopped until the version was verified, at first without load. */
static double progress(const pr_transition_t *transition, int64_t now_ms)
{
	int64_t verified_ms = transition->load_verified_ms;
	double resumed =
		verified_ms ? position_after_pinning(transition, verified_ms)
			    : INFINITY;

	return position_after_stop(position_after_pinning(transition, now_ms),
				   LOAD_VERIFIED_BY, resumed);
}

double pr_transition_share(const pr_transition_t *transition, int64_t now_ms)
{
	double at;

	if (transition->state == PR_ROLLOUT_DONE)
		return 1;
	if (transition->state == PR_ROLLOUT_WITHDRAWN ||
	    transition->judged_bad || !transition->began_ms)
		return 0;
	if (now_ms - transition->began_ms < SESSIONS_EXCHANGE_MS)
		return 0;
	at = progress(transition, now_ms);
	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		if (at < steps[i].until)
			return steps[i].share;
	}
	return 1;
}

/* Whether sessions are not allowed to move yet. */
static bool is_pinned(const pr_transition_t *transition, int64_t now_ms)
{
	return !transition->verified_ms || now_ms < transition->verified_ms ||
	       progress(transition, now_ms) < PINNED_UNTIL;
}

bool pr_transition_pins_sessions(const pr_transition_t *transition,
				 int64_t now_ms)
{
	return transition->state == PR_ROLLOUT_RUNNING &&
	       transition->began_ms && is_pinned(transition, now_ms);
}

/* Whether the order runs, sessions are no longer pinned, and a fraction of the
 * duration has not elapsed yet. */
static bool is_unpinned_before(const pr_transition_t *transition,
			       int64_t now_ms, double until)
{
	return transition->state == PR_ROLLOUT_RUNNING &&
	       !transition->judged_bad && !is_pinned(transition, now_ms) &&
	       progress(transition, now_ms) < until;
}

bool pr_transition_keeps_moved_sessions(const pr_transition_t *transition,
					int64_t now_ms)
{
	return is_unpinned_before(transition, now_ms, ALL_MOVED_FROM);
}

void pr_transition_extend_scope(const pr_transition_t *transition,
				pr_sessions_scope_t *scope)
{
	int64_t now_ms = scope->now_ms;

	if (pr_transition_pins_sessions(transition, now_ms)) {
		/* The share of the time at which the report has arrived. */
		double share = pr_transition_share(
			transition, now_ms + SESSIONS_EXCHANGE_MS);

		share = fmin(share, PR_TRANSITION_PINNED_SHARE_MAX);
		scope->pinned_share = fmax(scope->pinned_share, share);
		if (transition->began_ms > scope->pinned_from_ms)
			scope->pinned_from_ms = transition->began_ms;
	} else if (pr_transition_keeps_moved_sessions(transition, now_ms)) {
		/* Every host moves the sessions in the share anyway. */
		scope->moved_beyond =
			fmin(scope->moved_beyond,
			     pr_transition_share(transition, now_ms));
	}
}

static pr_load_test_tally_t sum_load_test(const pr_transition_t *transition)
{
	pr_load_test_tally_t total = transition->own.load_test;

	pr_load_test_tally_add(&total, &transition->peers.load_test);
	return total;
}

/* Whether so many requests of the service went to the new version that a load
 * test must not add more. */
static bool is_exposure_used_up(const pr_transition_t *transition,
				int64_t now_ms)
{
	pr_load_test_tally_t test = sum_load_test(transition);
	double exposed = transition->own.new.total +
			 transition->peers.new.total +
			 pr_load_test_in_flight(&test);
	double all = exposed + transition->own.old.total +
		     transition->peers.old.total;
	/* At the end of the order, at the rate so far. */
	double expected = all / fmin(elapsed(transition, now_ms), 1);

	return exposed >= EXPOSED_SHARE_MAX * expected + EXPOSED_ALWAYS;
}

/* Whether the schedule is in the load test. */
static bool is_in_load_test(const pr_transition_t *transition, int64_t now_ms)
{
	/* A host that the withdrawal has not reached stops by itself. */
	if (!transition->load_verified_ms &&
	    position_after_pinning(transition, now_ms) >= LOAD_UNVERIFIED_UNTIL)
		return false;
	return is_unpinned_before(transition, now_ms, LOAD_TEST_UNTIL);
}

bool pr_transition_is_load_testing(const pr_transition_t *transition,
				   int64_t now_ms)
{
	return is_in_load_test(transition, now_ms) &&
	       !is_exposure_used_up(transition, now_ms);
}

bool pr_transition_has_test_load(const pr_transition_t *transition,
				 int64_t now_ms)
{
	return is_in_load_test(transition, now_ms) ||
	       is_in_load_test(transition, now_ms - LOAD_TEST_SETTLE_MS);
}

pr_version_choice_t pr_transition_choose(const pr_transition_t *transition,
					 pr_sessions_t *sessions,
					 const pr_transition_request_t *request,
					 int64_t now_ms, uint32_t session_ms)
{
	double share = pr_transition_share(transition, now_ms);
	uint64_t session = request->session;
	bool use_new = pr_sessions_in_share(session ? session : request->hash,
					    share) ||
		       request->load_test;
	pr_sessions_span_t span = {
		.began_ms = transition->began_ms,
		.now_ms = now_ms,
		.active_ms = (int64_t)session_ms + SESSION_SLACK_MS,
	};

	if (!session || transition->state != PR_ROLLOUT_RUNNING)
		return use_new ? PR_VERSION_NEW : PR_VERSION_OLD;
	if (pr_transition_pins_sessions(transition, now_ms)) {
		if (use_new && pr_sessions_is_pinned(sessions, session, &span))
			use_new = false;
	} else if (!use_new &&
		   pr_transition_keeps_moved_sessions(transition, now_ms) &&
		   pr_sessions_is_moved(sessions, session, &span)) {
		/* A session that the load test moved stays on the new
		 * version. */
		use_new = true;
	}
	if (use_new)
		pr_sessions_record_moved(sessions, session, now_ms);
	else
		pr_sessions_record(sessions, session, now_ms);
	return use_new ? PR_VERSION_NEW : PR_VERSION_OLD;
}

bool pr_transition_is_new(const pr_transition_t *transition,
			  const char *version)
{
	return !strcmp(transition->order.version, version);
}

bool pr_transition_allows(const pr_transition_t *transition,
			  const char *version)
{
	bool is_new = pr_transition_is_new(transition, version);

	if (transition->withdrawn[0] && !strcmp(transition->withdrawn, version))
		return false;
	if (transition->state == PR_ROLLOUT_DONE)
		return is_new;
	if (transition->state == PR_ROLLOUT_WITHDRAWN ||
	    transition->judged_bad || !transition->began_ms)
		return !is_new;
	return true;
}

void pr_transition_record(pr_transition_t *transition, const char *version,
			  bool bad, uint32_t upstream)
{
	pr_tally_t *tally = pr_transition_is_new(transition, version)
				    ? &transition->own.new
				    : &transition->own.old;

	tally->total++;
	if (!bad)
		return;
	tally->bad++;
	tally->bad_upstreams |= UINT64_C(1) << (upstream & 63);
}

/* The counts to which the pace of a response is added; NULL when it does not
 * count. */
static pr_tally_t *pace_tally(pr_transition_t *transition, const char *version,
			      bool loaded, int64_t now_ms)
{
	bool is_new = pr_transition_is_new(transition, version);
	double from_ms = fmin(PACE_FROM * transition->order.duration_ms,
			      PACE_FROM_MAX_MS);

	if (transition->state != PR_ROLLOUT_RUNNING || !transition->began_ms ||
	    (double)(now_ms - transition->began_ms) < from_ms ||
	    progress(transition, now_ms) >= ALL_MOVED_FROM)
		return NULL;
	if (is_new && loaded &&
	    !pr_transition_pins_sessions(transition, now_ms))
		return NULL;
	return is_new ? &transition->own.new : &transition->own.old;
}

void pr_transition_record_pace(pr_transition_t *transition, const char *version,
			       bool slow, bool loaded, uint32_t upstream,
			       int64_t now_ms)
{
	pr_tally_t *tally = pace_tally(transition, version, loaded, now_ms);

	if (!tally)
		return;
	tally->timed++;
	if (!slow)
		return;
	tally->slow++;
	tally->slow_upstreams |= UINT64_C(1) << (upstream & 63);
}

void pr_transition_record_rank(pr_transition_t *transition, const char *version,
			       bool slower, uint32_t upstream, int64_t now_ms)
{
	pr_tally_t *tally = pace_tally(transition, version, false, now_ms);

	if (!tally || !pr_transition_pins_sessions(transition, now_ms))
		return;
	tally->ranked++;
	if (!slower)
		return;
	tally->slower++;
	tally->slower_upstreams |= UINT64_C(1) << (upstream & 63);
}

void pr_transition_record_test_begin(pr_transition_t *transition)
{
	transition->own.load_test.begun++;
}

void pr_transition_record_test_end(pr_transition_t *transition)
{
	transition->own.load_test.ended++;
}

bool pr_transition_is_test_load_high(const pr_transition_t *transition,
				     uint32_t slots)
{
	pr_load_test_tally_t tally = sum_load_test(transition);

	return pr_load_test_is_load_high(&tally, slots);
}

void pr_transition_record_loaded(pr_transition_t *transition, bool bad)
{
	transition->own.load_test.loaded++;
	transition->own.load_test.loaded_bad += bad;
}

void pr_tally_add(pr_tally_t *sum, const pr_tally_t *part)
{
	sum->total += part->total;
	sum->bad += part->bad;
	sum->bad_upstreams |= part->bad_upstreams;
	sum->timed += part->timed;
	sum->slow += part->slow;
	sum->slow_upstreams |= part->slow_upstreams;
	sum->ranked += part->ranked;
	sum->slower += part->slower;
	sum->slower_upstreams |= part->slower_upstreams;
}

static pr_tally_t sum(const pr_tally_t *a, const pr_tally_t *b)
{
	pr_tally_t total = *a;

	pr_tally_add(&total, b);
	return total;
}

/* Decay the recent counts by the factor keep and add the responses since the
 * last update. */
static void update_recent(pr_recent_counts_t *recent, const pr_tally_t *tally,
			  double keep)
{
	/* The sum over all hosts decreases when a host restarts. */
	if (tally->total < recent->counted.total ||
	    tally->bad < recent->counted.bad ||
	    tally->timed < recent->counted.timed ||
	    tally->slow < recent->counted.slow)
		recent->counted = *tally;
	recent->total =
		recent->total * keep + tally->total - recent->counted.total;
	recent->bad = recent->bad * keep + tally->bad - recent->counted.bad;
	recent->timed =
		recent->timed * keep + tally->timed - recent->counted.timed;
	recent->slow = recent->slow * keep + tally->slow - recent->counted.slow;
	recent->counted = *tally;
}

static double rate(double part, double total)
{
	return total >= 1 ? part / total : 0;
}

/*
 * Whether the rate of bad responses is several times that of the old version in
 * the same period. The comparison excludes faults of the network, which raise
 * the rate of both versions.
 */
static bool is_rate_high(double bad, double total, double old_bad,
			 double old_total, double bad_min)
{
	double normal = fmax(NORMAL_BAD_RATE, rate(old_bad, old_total));

	return bad >= bad_min && bad > BAD_RATE_RATIO * normal * total;
}

/* Whether the rate of slow responses is higher than that of the old version.
 * The sequential test stays valid however often it is evaluated. */
static bool is_slow_rate_high(uint64_t timed, uint64_t slow, double old_rate)
{
	return pr_sequential_evidence_above(timed, slow,
					    fmax(NORMAL_SLOW_RATE, old_rate)) >=
	       SLOW_EVIDENCE_LOG;
}

/* At most one bit is set. */
static bool is_one_or_none(uint64_t upstreams)
{
	return !(upstreams & (upstreams - 1));
}

/* Whether the evidence that several upstreams respond more slowly than those of
 * the old version at a similar load reaches a value. */
static bool is_slower(const pr_tally_t *new_tally, const pr_tally_t *old,
		      double evidence_log)
{
	double normal =
		fmax(NORMAL_SLOWER_RATE, rate(old->slower, old->ranked));

	return !is_one_or_none(new_tally->slower_upstreams) &&
	       pr_sequential_evidence_above(new_tally->ranked,
					    new_tally->slower,
					    normal) >= evidence_log;
}

/* Whether several upstreams respond slowly, by all responses or by those of the
 * last seconds alone. */
static bool is_slow(const pr_transition_t *transition,
		    const pr_tally_t *new_tally, const pr_tally_t *old)
{
	const pr_recent_counts_t *recent = &transition->recent_new;
	const pr_recent_counts_t *recent_old = &transition->recent_old;

	if (is_slower(new_tally, old, SLOW_EVIDENCE_LOG))
		return true;
	if (is_one_or_none(new_tally->slow_upstreams))
		return false;
	return is_slow_rate_high(new_tally->timed, new_tally->slow,
				 rate(old->slow, old->timed)) ||
	       is_slow_rate_high((uint64_t)recent->timed,
				 (uint64_t)recent->slow,
				 rate(recent_old->slow, recent_old->timed));
}

/* Whether a rate of the new version is shown to be low, with old_rate that of
 * the old version. */
static bool is_shown_low(uint32_t total, uint32_t part, double old_rate)
{
	double limit = old_rate + GOOD_RATE_PART * (1 - old_rate);

	return pr_sequential_evidence_below(total, part, limit) >=
	       GOOD_EVIDENCE_LOG;
}

static bool is_good(const pr_transition_t *transition)
{
	pr_tally_t new_tally =
		sum(&transition->own.new, &transition->peers.new);
	pr_tally_t old = sum(&transition->own.old, &transition->peers.old);

	return !is_slower(&new_tally, &old, SLOWER_SUSPICION_LOG) &&
	       is_shown_low(new_tally.total, new_tally.bad,
			    rate(old.bad, old.total)) &&
	       is_shown_low(new_tally.timed, new_tally.slow,
			    rate(old.slow, old.timed));
}

/* Whether the new version is bad by all its responses, or by those of the last
 * seconds alone, since a version may become bad late or under load. Also
 * updates the recent counts. */
static bool is_bad(pr_transition_t *transition, int64_t now_ms)
{
	pr_tally_t new_tally =
		sum(&transition->own.new, &transition->peers.new);
	pr_tally_t old = sum(&transition->own.old, &transition->peers.old);
	pr_load_test_tally_t load_test = sum_load_test(transition);
	double keep =
		exp(-(double)(now_ms - transition->recent_ms) / RECENT_MS);
	double bad_min = BAD_MIN;

	update_recent(&transition->recent_new, &new_tally, keep);
	update_recent(&transition->recent_old, &old, keep);
	transition->recent_ms = now_ms;
	if (is_one_or_none(new_tally.bad_upstreams))
		bad_min = BAD_MIN_ONE_UPSTREAM;
	return is_slow(transition, &new_tally, &old) ||
	       pr_load_test_is_bad(&load_test, rate(old.bad, old.total)) ||
	       is_rate_high(new_tally.bad, new_tally.total, old.bad, old.total,
			    bad_min) ||
	       is_rate_high(transition->recent_new.bad,
			    transition->recent_new.total,
			    transition->recent_old.bad,
			    transition->recent_old.total, bad_min);
}

/* Evaluate the load test of a version that is not found bad. */
static pr_conclusion_t conclude_load_test(const pr_transition_t *transition,
					  int64_t now_ms)
{
	pr_load_test_tally_t tally = sum_load_test(transition);
	pr_load_test_tally_t running = tally;
	pr_tally_t old = sum(&transition->own.old, &transition->peers.old);
	double old_bad_rate = rate(old.bad, old.total);

	if (is_pinned(transition, now_ms))
		return PR_CONCLUDE_NOTHING;
	if (pr_load_test_is_good(&tally, old_bad_rate))
		return PR_CONCLUDE_LOAD_VERIFIED;
	if (progress(transition, now_ms) < LOAD_VERIFIED_BY)
		return PR_CONCLUDE_NOTHING;
	/* Once a test adds no more requests, those in flight end, which does
	 * not show that a high load is out of reach. */
	if (transition->stopped_load_test.begun)
		running = transition->stopped_load_test;
	if (is_in_load_test(transition, now_ms) &&
	    pr_load_test_is_load_out_of_reach(&running))
		return PR_CONCLUDE_LOAD_VERIFIED;
	if (position_after_pinning(transition, now_ms) < LOAD_UNVERIFIED_UNTIL)
		return PR_CONCLUDE_NOTHING;
	return pr_load_test_is_good_at_end(&tally, old_bad_rate)
		       ? PR_CONCLUDE_LOAD_VERIFIED
		       : PR_CONCLUDE_WITHDRAW;
}

/* Keep the counts of a load test at its first stop. */
static void note_stop(pr_transition_t *transition, int64_t now_ms)
{
	if (!transition->stopped_load_test.begun &&
	    is_in_load_test(transition, now_ms) &&
	    is_exposure_used_up(transition, now_ms))
		transition->stopped_load_test = sum_load_test(transition);
}

static pr_conclusion_t evaluate(pr_transition_t *transition, int64_t now_ms,
				int64_t stagger_ms, uint32_t usable)
{
	double at;

	if (transition->state != PR_ROLLOUT_RUNNING)
		return PR_CONCLUDE_NOTHING;
	if (!transition->began_ms)
		return PR_CONCLUDE_START;
	if (!transition->judged_bad)
		transition->judged_bad = is_bad(transition, now_ms);
	if (transition->judged_bad)
		return PR_CONCLUDE_WITHDRAW;
	at = elapsed(transition, now_ms - stagger_ms);
	if (!transition->verified_ms) {
		if (at >= VERIFIED_FROM && usable && is_good(transition))
			return PR_CONCLUDE_VERIFIED;
		return at >= UNVERIFIED_UNTIL ? PR_CONCLUDE_WITHDRAW
					      : PR_CONCLUDE_NOTHING;
	}
	note_stop(transition, now_ms);
	if (!transition->load_verified_ms)
		return conclude_load_test(transition, now_ms - stagger_ms);
	at = progress(transition, now_ms - stagger_ms);
	if (at >= DONE_FROM && usable)
		return PR_CONCLUDE_DONE;
	return PR_CONCLUDE_NOTHING;
}

/* Whether other hosts may know that the state of the store's row is outdated. A
 * store that states no era does not return from copies. */
static bool is_settling(pr_transition_t *transition, int64_t now_ms)
{
	uint64_t era = transition->order_row.era;

	if (transition->evaluated_era != era ||
	    now_ms - transition->evaluated_ms > EVALUATION_GAP_MS) {
		transition->evaluated_era = era;
		transition->evaluated_from_ms = now_ms;
	}
	transition->evaluated_ms = now_ms;
	return era && now_ms - transition->evaluated_from_ms < RETURN_SETTLE_MS;
}

pr_conclusion_t pr_transition_conclude(pr_transition_t *transition,
				       int64_t now_ms, int64_t stagger_ms,
				       uint32_t usable)
{
	pr_conclusion_t conclusion =
		evaluate(transition, now_ms, stagger_ms, usable);
	bool is_by_time =
		conclusion == PR_CONCLUDE_DONE ||
		(conclusion == PR_CONCLUDE_WITHDRAW && !transition->judged_bad);

	if (is_settling(transition, now_ms) && is_by_time)
		conclusion = PR_CONCLUDE_NOTHING;
	if (conclusion == PR_CONCLUDE_NOTHING && transition->unsaved)
		conclusion = PR_CONCLUDE_RESTORE;
	/* A condition with a number of another era has no meaning, nor has a
	 * row with the number of an order of another era. */
	if (transition->state_row.era != transition->order_row.era &&
	    !pr_revision_equal(transition->state_row, (pr_revision_t){ 0 }))
		return PR_CONCLUDE_NOTHING;
	return conclusion;
}
