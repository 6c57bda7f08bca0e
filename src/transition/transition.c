/* Share, pinning, evidence and conclusion of a version transition. */
#include "transition/transition.h"

#include <math.h>
#include <string.h>

#include "base/msgmap.h"
#include "pistachiorack/error.h"
#include "pistachiorack/sequential.h"

/*
 * Pause at the start of an order: the hosts tell each other which sessions are
 * active, by datagrams that cross regions in tens of milliseconds.
 */
#define TELL_MS 1000
/* A session counts as active a little longer than the platform says. */
#define SESSION_SLACK_MS 500
/* Sessions are pinned until this part of the order's time. */
#define PINNED_TO 0.51
/*
 * The new version is tested under load from there until this part. Any session
 * may move by then, so that a few upstreams reach a high load in seconds.
 */
#define LOAD_TO 0.74
/* A backlog that the load test left is answered in this time. */
#define LOAD_SETTLE_MS 3000
/* All sessions use the new version from this part on. */
#define MOVED_BY 0.79
/* The new version is declared good after this part. */
#define DONE_FROM 0.85
/* Bad answers that are needed to judge, and from one upstream alone. */
#define EVIDENCE_MIN          5.0
#define EVIDENCE_ONE_UPSTREAM 7.5
/* Time constant of the answers that count as recent, milliseconds. */
#define RECENT_MS 3000.0
/* Rate of bad answers that any version may show. */
#define USUAL_RATE 0.02
/* The new version's rate must be this many times the old one's. */
#define RATE_RATIO 3.0
/* Upstreams that have just started are slow; their pace is judged after this
 * part of the order's time. */
#define PACE_FROM 0.2
/* Rate of slow answers that waits and slow upstreams alone may cause, at least
 * this and that of the old version, whose upstreams bear more load. */
#define USUAL_SLOW_RATE 0.08
/* Logarithm of the evidence that the rate is higher, which a good version
 * reaches once in a thousand orders. */
#define EVIDENCE_SLOW 6.9

static const struct {
	double until, share;
} steps[] = {
	/* Enough to see a version that is bad at once. */
	{ 0.2, 0.05 },
	/* Enough to see one that turns bad late, or on one route. */
	{ LOAD_TO, PR_TRANSITION_FIRST_SHARE },
	{ MOVED_BY, 0.6 },
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
			       transition->condemned
		       ? transition->order.version
		       : transition->withdrawn,
	       sizeof(withdrawn));
	pr_transition_init(transition, order, order_row);
	/* The operator may order the same version once more. */
	if (strcmp(withdrawn, order->version) != 0)
		memcpy(transition->withdrawn, withdrawn, sizeof(withdrawn));
}

int pr_transition_row_pack(pr_str_t *out, const pr_transition_row_t *row)
{
	msgpack_packer packer;
	int rc;

	pr_msgmap_packer(&packer, out);
	rc = msgpack_pack_map(&packer, 4);
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
	return rc ? pr_error_set(PR_ENOMEM, "no memory for a row") : 0;
}

int pr_transition_row_unpack(pr_transition_row_t *out, pr_slice_t bytes)
{
	pr_msgmap_t map;
	uint64_t order = 0, state = 0, began = 0;
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
		rc = pr_error_set(PR_EPARSE, "unknown state of a transition");
	out->withdrawn[0] = '\0';
	/* Rows of earlier releases do not have it. */
	if (!rc && !pr_msgmap_text(&map, &withdrawn, "withdrawn"))
		rc = pr_slice_copy(out->withdrawn, sizeof(out->withdrawn),
				   withdrawn);
	pr_msgmap_finish(&map);
	out->order_row = order;
	out->state = (pr_rollout_state_t)state;
	out->began_ms = (int64_t)began;
	return rc;
}

void pr_transition_apply(pr_transition_t *transition,
			 const pr_transition_row_t *row, uint64_t row_version)
{
	if (row_version <= transition->state_row)
		return;
	/* The condition of the next write, whatever order the row is of. */
	transition->state_row = row_version;
	if (row->order_row != transition->order_row) {
		transition->began_ms = 0;
		transition->state = PR_ROLLOUT_RUNNING;
		return;
	}
	transition->state = row->state;
	transition->began_ms = row->began_ms;
	if (row->withdrawn[0])
		memcpy(transition->withdrawn, row->withdrawn,
		       sizeof(transition->withdrawn));
}

static double progress(const pr_transition_t *transition, int64_t now_ms)
{
	if (!transition->order.duration_ms)
		return 1;
	return (double)(now_ms - transition->began_ms) /
	       transition->order.duration_ms;
}

double pr_transition_share(const pr_transition_t *transition, int64_t now_ms)
{
	double at;

	if (transition->state == PR_ROLLOUT_DONE)
		return 1;
	if (transition->state == PR_ROLLOUT_WITHDRAWN ||
	    transition->condemned || !transition->began_ms)
		return 0;
	if (now_ms - transition->began_ms < TELL_MS)
		return 0;
	at = progress(transition, now_ms);
	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		if (at < steps[i].until)
			return steps[i].share;
	}
	return 1;
}

bool pr_transition_pins(const pr_transition_t *transition, int64_t now_ms)
{
	return transition->state == PR_ROLLOUT_RUNNING &&
	       transition->began_ms && progress(transition, now_ms) < PINNED_TO;
}

/* The order runs, sessions are pinned no more, and a part is not reached yet.
 */
static bool is_unpinned_before(const pr_transition_t *transition,
			       int64_t now_ms, double until)
{
	double at = progress(transition, now_ms);

	return transition->state == PR_ROLLOUT_RUNNING &&
	       transition->began_ms && !transition->condemned &&
	       at >= PINNED_TO && at < until;
}

bool pr_transition_keeps_moved(const pr_transition_t *transition,
			       int64_t now_ms)
{
	return is_unpinned_before(transition, now_ms, MOVED_BY);
}

bool pr_transition_tests_load(const pr_transition_t *transition, int64_t now_ms)
{
	return is_unpinned_before(transition, now_ms, LOAD_TO);
}

bool pr_transition_is_loaded(const pr_transition_t *transition, int64_t now_ms)
{
	return pr_transition_tests_load(transition, now_ms) ||
	       pr_transition_tests_load(transition, now_ms - LOAD_SETTLE_MS);
}

pr_version_choice_t pr_transition_choose(const pr_transition_t *transition,
					 pr_sessions_t *sessions,
					 const pr_transition_request_t *request,
					 int64_t now_ms, uint32_t session_ms)
{
	double share = pr_transition_share(transition, now_ms);
	uint64_t session = request->session;
	bool fresh =
		pr_sessions_below(session ? session : request->hash, share) ||
		request->tested;
	int64_t within = (int64_t)session_ms + SESSION_SLACK_MS;

	if (!session || transition->state != PR_ROLLOUT_RUNNING)
		return fresh ? PR_VERSION_NEW : PR_VERSION_OLD;
	if (pr_transition_pins(transition, now_ms)) {
		if (fresh &&
		    pr_sessions_active(sessions, session, now_ms, within))
			fresh = false;
	} else if (!fresh && pr_transition_keeps_moved(transition, now_ms) &&
		   pr_sessions_moved(sessions, session, now_ms, within)) {
		/* A session that the load test moved does not go back. */
		fresh = true;
	}
	if (fresh)
		pr_sessions_move(sessions, session, now_ms);
	else
		pr_sessions_note(sessions, session, now_ms);
	return fresh ? PR_VERSION_NEW : PR_VERSION_OLD;
}

bool pr_transition_is_new(const pr_transition_t *transition,
			  const char *version)
{
	return !strcmp(transition->order.version, version);
}

bool pr_transition_allows(const pr_transition_t *transition,
			  const char *version)
{
	bool fresh = pr_transition_is_new(transition, version);

	if (transition->withdrawn[0] && !strcmp(transition->withdrawn, version))
		return false;
	if (transition->state == PR_ROLLOUT_DONE)
		return fresh;
	if (transition->state == PR_ROLLOUT_WITHDRAWN ||
	    transition->condemned || !transition->began_ms)
		return !fresh;
	return true;
}

void pr_transition_record(pr_transition_t *transition, const char *version,
			  bool bad, uint32_t upstream)
{
	pr_tally_t *tally = pr_transition_is_new(transition, version)
				    ? &transition->own.fresh
				    : &transition->own.old;

	tally->total++;
	if (!bad)
		return;
	tally->bad++;
	tally->bad_upstreams |= UINT64_C(1) << (upstream & 63);
}

void pr_transition_record_pace(pr_transition_t *transition, const char *version,
			       bool slow, uint32_t upstream, int64_t now_ms)
{
	pr_tally_t *tally = pr_transition_is_new(transition, version)
				    ? &transition->own.fresh
				    : &transition->own.old;

	if (!pr_transition_pins(transition, now_ms) ||
	    progress(transition, now_ms) < PACE_FROM)
		return;
	tally->timed++;
	if (!slow)
		return;
	tally->slow++;
	tally->slow_upstreams |= UINT64_C(1) << (upstream & 63);
}

void pr_tally_add(pr_tally_t *sum, const pr_tally_t *part)
{
	sum->total += part->total;
	sum->bad += part->bad;
	sum->bad_upstreams |= part->bad_upstreams;
	sum->timed += part->timed;
	sum->slow += part->slow;
	sum->slow_upstreams |= part->slow_upstreams;
}

static pr_tally_t sum(const pr_tally_t *a, const pr_tally_t *b)
{
	pr_tally_t total = *a;

	pr_tally_add(&total, b);
	return total;
}

static void update(pr_recent_t *recent, const pr_tally_t *now, double keep)
{
	/* Counts go back when a host starts again. */
	if (now->total < recent->counted.total ||
	    now->bad < recent->counted.bad)
		recent->counted = *now;
	recent->total =
		recent->total * keep + now->total - recent->counted.total;
	recent->bad = recent->bad * keep + now->bad - recent->counted.bad;
	recent->counted = *now;
}

/*
 * Bad when the rate of bad answers is several times the old version's in the
 * same time, which faults of the network raise as well.
 */
static bool stands_out(double bad, double total, double old_bad,
		       double old_total, double needed)
{
	double usual = USUAL_RATE;

	if (old_total >= 1)
		usual = fmax(usual, old_bad / old_total);
	return bad >= needed && bad > RATE_RATIO * usual * total;
}

/* Several upstreams answer slowly, more often than those of the old version, by
 * a sequential test that may look at any time. */
static bool is_slow(const pr_tally_t *fresh, const pr_tally_t *old)
{
	double usual = USUAL_SLOW_RATE;

	if (!(fresh->slow_upstreams & (fresh->slow_upstreams - 1)))
		return false;
	if (old->timed)
		usual = fmax(usual, (double)old->slow / old->timed);
	return pr_sequential_evidence_above(fresh->timed, fresh->slow, usual) >=
	       EVIDENCE_SLOW;
}

/* All answers are judged, and those of the last seconds, since a version may
 * turn bad late or under load. */
static bool is_bad(pr_transition_t *transition, int64_t now_ms)
{
	pr_tally_t fresh =
		sum(&transition->own.fresh, &transition->peers.fresh);
	pr_tally_t old = sum(&transition->own.old, &transition->peers.old);
	double keep =
		exp(-(double)(now_ms - transition->recent_ms) / RECENT_MS);
	double needed = EVIDENCE_MIN;

	update(&transition->recent_fresh, &fresh, keep);
	update(&transition->recent_old, &old, keep);
	transition->recent_ms = now_ms;
	if (!(fresh.bad_upstreams & (fresh.bad_upstreams - 1)))
		needed = EVIDENCE_ONE_UPSTREAM;
	return is_slow(&fresh, &old) ||
	       stands_out(fresh.bad, fresh.total, old.bad, old.total, needed) ||
	       stands_out(transition->recent_fresh.bad,
			  transition->recent_fresh.total,
			  transition->recent_old.bad,
			  transition->recent_old.total, needed);
}

pr_conclusion_t pr_transition_conclude(pr_transition_t *transition,
				       int64_t now_ms, int64_t turn_ms,
				       uint32_t usable)
{
	double at;

	if (transition->state != PR_ROLLOUT_RUNNING)
		return PR_CONCLUDE_NOTHING;
	if (!transition->began_ms)
		return PR_CONCLUDE_START;
	if (!transition->condemned)
		transition->condemned = is_bad(transition, now_ms);
	if (transition->condemned)
		return PR_CONCLUDE_WITHDRAW;
	at = progress(transition, now_ms - turn_ms);
	if (at >= DONE_FROM && usable)
		return PR_CONCLUDE_DONE;
	return PR_CONCLUDE_NOTHING;
}
