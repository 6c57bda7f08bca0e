/*
 * Version transition: the share of the new version by time, the pinning of
 * active sessions, and the evaluation of responses. The new version is
 * withdrawn when its rate of bad responses is several times that of the old
 * version, or when a sequential test shows that its rate of slow responses is
 * higher, by a fixed limit or among responses at a similar load. Sessions move
 * only after another one has shown that most responses are neither bad nor
 * slow; a version for which that is not shown by the end of the order is
 * withdrawn.
 */
#include "transition/transition.h"

#include <math.h>
#include <string.h>

#include "base/msgmap.h"
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
/* Time in which the upstreams work off the backlog of the load test,
 * milliseconds. */
#define LOAD_TEST_SETTLE_MS 3000
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

void pr_transition_init(pr_transition_t *transition,
			const pr_rollout_order_t *order, uint64_t order_row)
{
	memset(transition, 0, sizeof(*transition));
	transition->order = *order;
	transition->order_row = order_row;
}

void pr_transition_replace(pr_transition_t *transition,
			   const pr_rollout_order_t *order, uint64_t order_row)
{
	char withdrawn[PR_TRANSITION_NAME_SIZE];

	memcpy(withdrawn,
	       transition->state == PR_ROLLOUT_WITHDRAWN ||
			       transition->judged_bad
		       ? transition->order.version
		       : transition->withdrawn,
	       sizeof(withdrawn));
	pr_transition_init(transition, order, order_row);
	/* An order that names the withdrawn version permits it again. */
	if (strcmp(withdrawn, order->version) != 0)
		memcpy(transition->withdrawn, withdrawn, sizeof(withdrawn));
}

int pr_transition_row_pack(pr_str_t *out, const pr_transition_row_t *row)
{
	msgpack_packer packer;
	int rc;

	pr_msgmap_packer(&packer, out);
	rc = msgpack_pack_map(&packer, 5);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "order", row->order_row);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "state",
					   (uint64_t)row->state);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "began",
					   (uint64_t)row->began_ms);
	if (!rc)
		rc = pr_msgmap_pack_text(&packer, "withdrawn",
					 pr_slice_of(row->withdrawn));
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "verified",
					   (uint64_t)row->verified_ms);
	return rc ? pr_error_set(PR_ENOMEM, "out of memory while packing the "
					    "state of a transition")
		  : 0;
}

int pr_transition_row_unpack(pr_transition_row_t *out, pr_slice_t bytes)
{
	pr_msgmap_t map;
	uint64_t order = 0, state = 0, began = 0, verified = 0;
	pr_slice_t withdrawn;
	int rc;

	if (pr_msgmap_init(&map, bytes))
		return PR_EPARSE;
	rc = pr_msgmap_number(&map, &order, "order");
	if (!rc)
		rc = pr_msgmap_number(&map, &state, "state");
	if (!rc)
		rc = pr_msgmap_number(&map, &began, "began");
	if (!rc && state > PR_ROLLOUT_WITHDRAWN)
		rc = pr_error_set(
			PR_EPARSE, "transition state is %llu, expected 0 to %d",
			(unsigned long long)state, PR_ROLLOUT_WITHDRAWN);
	out->withdrawn[0] = '\0';
	/* Rows of earlier releases do not have these fields. */
	if (!rc && pr_msgmap_number(&map, &verified, "verified"))
		verified = 0;
	if (!rc && !pr_msgmap_text(&map, &withdrawn, "withdrawn"))
		rc = pr_slice_copy(out->withdrawn, sizeof(out->withdrawn),
				   withdrawn);
	pr_msgmap_finish(&map);
	out->order_row = order;
	out->state = (pr_rollout_state_t)state;
	out->began_ms = (int64_t)began;
	out->verified_ms = (int64_t)verified;
	return rc;
}

void pr_transition_apply(pr_transition_t *transition,
			 const pr_transition_row_t *row, uint64_t row_version)
{
	if (row_version <= transition->state_row)
		return;
	/* The next conditional write needs this version, even when the row
	 * belongs to another order. */
	transition->state_row = row_version;
	if (row->order_row != transition->order_row) {
		transition->began_ms = 0;
		transition->verified_ms = 0;
		transition->state = PR_ROLLOUT_RUNNING;
		return;
	}
	transition->state = row->state;
	transition->began_ms = row->began_ms;
	transition->verified_ms = row->verified_ms;
	if (row->withdrawn[0])
		memcpy(transition->withdrawn, row->withdrawn,
		       sizeof(transition->withdrawn));
}

/* Elapsed fraction of the order's duration; above 1 after its end. */
static double elapsed(const pr_transition_t *transition, int64_t now_ms)
{
	if (!transition->order.duration_ms)
		return 1;
	return (double)(now_ms - transition->began_ms) /
	       transition->order.duration_ms;
}

/* Position in the schedule: the elapsed fraction, less the time for which the
 * schedule stopped at PINNED_UNTIL. */
static double progress(const pr_transition_t *transition, int64_t now_ms)
{
	double at = elapsed(transition, now_ms);
	double verified = elapsed(transition, transition->verified_ms);

	if (!transition->verified_ms || at < verified)
		return fmin(at, PINNED_UNTIL);
	return at - fmax(verified - PINNED_UNTIL, 0);
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

bool pr_transition_is_load_testing(const pr_transition_t *transition,
				   int64_t now_ms)
{
	return is_unpinned_before(transition, now_ms, LOAD_TEST_UNTIL);
}

bool pr_transition_has_test_load(const pr_transition_t *transition,
				 int64_t now_ms)
{
	return pr_transition_is_load_testing(transition, now_ms) ||
	       pr_transition_is_load_testing(transition,
					     now_ms - LOAD_TEST_SETTLE_MS);
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
	int64_t active_ms = (int64_t)session_ms + SESSION_SLACK_MS;

	if (!session || transition->state != PR_ROLLOUT_RUNNING)
		return use_new ? PR_VERSION_NEW : PR_VERSION_OLD;
	if (pr_transition_pins_sessions(transition, now_ms)) {
		if (use_new &&
		    pr_sessions_is_active(sessions, session, now_ms, active_ms))
			use_new = false;
	} else if (!use_new &&
		   pr_transition_keeps_moved_sessions(transition, now_ms) &&
		   pr_sessions_is_moved(sessions, session, now_ms, active_ms)) {
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
	double keep =
		exp(-(double)(now_ms - transition->recent_ms) / RECENT_MS);
	double bad_min = BAD_MIN;

	update_recent(&transition->recent_new, &new_tally, keep);
	update_recent(&transition->recent_old, &old, keep);
	transition->recent_ms = now_ms;
	if (is_one_or_none(new_tally.bad_upstreams))
		bad_min = BAD_MIN_ONE_UPSTREAM;
	return is_slow(transition, &new_tally, &old) ||
	       is_rate_high(new_tally.bad, new_tally.total, old.bad, old.total,
			    bad_min) ||
	       is_rate_high(transition->recent_new.bad,
			    transition->recent_new.total,
			    transition->recent_old.bad,
			    transition->recent_old.total, bad_min);
}

pr_conclusion_t pr_transition_conclude(pr_transition_t *transition,
				       int64_t now_ms, int64_t stagger_ms,
				       uint32_t usable)
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
	at = progress(transition, now_ms - stagger_ms);
	if (at >= DONE_FROM && usable)
		return PR_CONCLUDE_DONE;
	return PR_CONCLUDE_NOTHING;
}
