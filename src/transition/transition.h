/**
 * Transition of a service's traffic to another version by order of the
 * operator. Every host computes the share of the new version from the store's
 * clock, counts good and bad responses, and evaluates the counts of all hosts.
 * The transition is concluded by a conditional write of a row that the hosts
 * share, so that only one host's conclusion takes effect.
 */
#ifndef PR_TRANSITION_TRANSITION_H
#define PR_TRANSITION_TRANSITION_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"
#include "pistachiorack/timer.h"
#include "store/revision.h"
#include "transition/load_test.h"
#include "transition/sessions.h"

#define PR_TRANSITION_NAME_SIZE 96
/**
 * Largest share of the new version in the first half of a transition, when
 * active sessions stay on their version. The shares in that half use a third of
 * the exposure (the requests that may go to an unproven version) that an order
 * allows by default; the load test needs the rest.
 */
#define PR_TRANSITION_PINNED_SHARE_MAX 0.1

typedef enum pr_rollout_state_t {
	PR_ROLLOUT_RUNNING,
	PR_ROLLOUT_DONE,
	/** The new version was found bad and is withdrawn. */
	PR_ROLLOUT_WITHDRAWN,
} pr_rollout_state_t;

/** Order of the operator to move a service to a version. */
typedef struct pr_rollout_order_t {
	char service[PR_TRANSITION_NAME_SIZE];
	char version[PR_TRANSITION_NAME_SIZE];
	/** Time in which all sessions move to the version. */
	uint32_t duration_ms;
} pr_rollout_order_t;

/** Counts of the responses of one version. */
typedef struct pr_tally_t {
	uint32_t total;
	/** Responses that failed, broke off, or were several times slower than
	 *  normal. */
	uint32_t bad;
	/** Bit set of the upstreams with bad responses: bit tag modulo 64. */
	uint64_t bad_upstreams;
	/** Responses whose pace was measured, and the slow ones among them. */
	uint32_t timed, slow;
	/** Bit set of the upstreams with slow responses. */
	uint64_t slow_upstreams;
	/** Responses that were compared with others at a similar load, and
	 *  those among them that were slower than most. */
	uint32_t ranked, slower;
	/** Bit set of the upstreams with responses slower than most. */
	uint64_t slower_upstreams;
} pr_tally_t;

/** Add the counts of part to sum. */
void pr_tally_add(pr_tally_t *sum, const pr_tally_t *part);

/** Counts of the new version (new) and of the old one. */
typedef struct pr_tallies_t {
	pr_tally_t new, old;
	/** Load test of the new version. */
	pr_load_test_tally_t load_test;
} pr_tallies_t;

/** Counts of the responses of the last seconds, with exponential decay. */
typedef struct pr_recent_counts_t {
	/** Total counts at the last update. */
	pr_tally_t counted;
	/** Decayed counts. */
	double total, bad, timed, slow;
} pr_recent_counts_t;

/** What is remembered of the order's rows after a return of the store. */
typedef struct pr_order_return_t {
	/** Order of the store's row that may be older than the known order, and
	 *  its revision; number 0 for none. */
	pr_rollout_order_t held;
	pr_revision_t held_row;
	/** Time at which the held order is taken as a new one. */
	pr_usec_t held_until;
	/** Until then a later row with the same content is the known order,
	 *  which the operator writes again. */
	pr_usec_t rewrites_until;
	/** Last time at which this host followed the store's orders, or could
	 *  not. */
	pr_usec_t checked_at;
} pr_order_return_t;

typedef struct pr_transition_t {
	pr_rollout_order_t order;
	/** Row version of the order, which identifies it. */
	pr_revision_t order_row;
	pr_order_return_t order_return;
	/** Row version of the shared row; number 0 before one exists. */
	pr_revision_t state_row;
	/** The store's row lacks something that this host knows: the store has
	 *  returned from an older copy. */
	bool unsaved;
	/** Era of the order's row and time of the last evaluation, and the time
	 *  since which this host has evaluated in that era without a break, by
	 *  the store's clock. */
	uint64_t evaluated_era;
	int64_t evaluated_ms, evaluated_from_ms;
	pr_rollout_state_t state;
	/** Start by the store's clock, milliseconds; 0 before the start. */
	int64_t began_ms;
	/** Time by the store's clock at which the responses of the new version
	 *  were found good; 0 before. Until then the schedule stops where
	 *  sessions begin to move. */
	int64_t verified_ms;
	/** Time by the store's clock at which the load test had shown that the
	 *  new version is good; 0 before. Until then the schedule stops at the
	 *  end of the load test. */
	int64_t load_verified_ms;
	/** Counts of this host, and the sum of all other hosts. */
	pr_tallies_t own, peers;
	/** Counts of the load test when it stopped because the new version had
	 *  got its part of the requests; without attempts before. */
	pr_load_test_tally_t stopped_load_test;
	pr_recent_counts_t recent_new, recent_old;
	/** Time of the last update of the recent counts. */
	int64_t recent_ms;
	/** This host found the new version bad and stopped using it. */
	bool judged_bad;
	/** Version that was withdrawn under an earlier order; empty for none.
	 *  Its upstreams are still listed for some seconds and must not be
	 * used. */
	char withdrawn[PR_TRANSITION_NAME_SIZE];
} pr_transition_t;

/** Initialize a transition for an order. */
void pr_transition_init(pr_transition_t *transition,
			const pr_rollout_order_t *order,
			pr_revision_t order_row);

/** Replace the order; a withdrawn version stays withdrawn unless the new order
 *  names it. */
void pr_transition_replace(pr_transition_t *transition,
			   const pr_rollout_order_t *order,
			   pr_revision_t order_row);

/**
 * Time for which an order that may be older than the known one is held back
 * after a return of the store, and for which the operator may write a known
 * order again. The operator does so within about two seconds, and a host reads
 * it within three.
 */
#define PR_TRANSITION_HOLD (10 * PR_USEC_PER_SEC)

/** What a row with an order of the operator means. */
typedef enum pr_order_verdict_t {
	/** The row is not later than those that came before. */
	PR_ORDER_ROW_OLD,
	/** The order that is known. */
	PR_ORDER_ROW_KNOWN,
	PR_ORDER_ROW_NEW,
	/** The order may be what the store had before the known one. */
	PR_ORDER_ROW_HELD,
} pr_order_verdict_t;

/** Decide what a row with an order means. A zeroed transition has no order. */
pr_order_verdict_t pr_transition_judge_order(const pr_transition_t *transition,
					     const pr_rollout_order_t *order,
					     pr_revision_t row, pr_usec_t now);
/**
 * Apply a row with an order: a new order replaces the known one; the known one
 * gets the row's revision and keeps its state; one that is held back changes
 * nothing yet. The caller then applies the last shared row of the service, or
 * its absence, again.
 */
pr_order_verdict_t pr_transition_receive_order(pr_transition_t *transition,
					       const pr_rollout_order_t *order,
					       pr_revision_t row,
					       pr_usec_t now);
/**
 * Note that time has passed; called at least once a second. Only time in which
 * this host follows the store's orders counts for PR_TRANSITION_HOLD.
 *
 * @param follows the orders of the store's present era have been read and are
 *	  current
 * @return true when the held order was taken as a new one
 */
bool pr_transition_check_held(pr_transition_t *transition, pr_usec_t now,
			      bool follows);
/** The store has no row of the order (any more).
 *
 * @return true when an order was held back and is forgotten; the known one goes
 *	   on */
bool pr_transition_drop_held(pr_transition_t *transition);

/** Row with the state that the hosts share. The state is ignored when the row
 *  belongs to another order. */
typedef struct pr_transition_row_t {
	/** Number of the order's row, in the era in which this row is read. */
	uint64_t order;
	pr_rollout_state_t state;
	int64_t began_ms;
	/** As in pr_transition_t, for hosts that start later. */
	char withdrawn[PR_TRANSITION_NAME_SIZE];
	/** As in pr_transition_t; 0 also in rows of earlier releases. */
	int64_t verified_ms, load_verified_ms;
} pr_transition_row_t;

/** @return 0 or PR_ENOMEM */
int pr_transition_row_pack(pr_str_t *out, const pr_transition_row_t *row);
/** @return 0 or PR_EPARSE */
int pr_transition_row_unpack(pr_transition_row_t *out, pr_slice_t bytes);
/**
 * Merge what is known of the same order into a row. The result does not depend
 * on the order in which rows are merged: a final state wins over a running
 * transition, a withdrawal over all, and the earliest times are kept.
 */
void pr_transition_row_merge(pr_transition_row_t *row,
			     const pr_transition_row_t *other);

/** What the shared row has changed. */
typedef enum pr_state_verdict_t {
	/** An earlier row than the last one; nothing was changed. */
	PR_STATE_ROW_OLD,
	/** A row of another era or order than those of the order's row; only
	 *  state_row was changed. */
	PR_STATE_ROW_OTHER,
	/** The state was taken over. */
	PR_STATE_ROW_TAKEN,
	/** The row was merged with what is known; `unsaved` tells whether it
	 *  lacks something. */
	PR_STATE_ROW_MERGED,
} pr_state_verdict_t;

/** Apply the shared row; one that is older than the last is ignored, and the
 *  last one may be applied again. */
pr_state_verdict_t pr_transition_apply(pr_transition_t *transition,
				       const pr_transition_row_t *row,
				       pr_revision_t row_version);
/** @return true when there is something that the shared row has to keep */
bool pr_transition_has_state(const pr_transition_t *transition);
/**
 * The shared table of an era was read as a whole and has no row of the
 * transition. Ignored when a row of that era or of a later one is known.
 *
 * @return true when state_row was changed
 */
bool pr_transition_apply_missing(pr_transition_t *transition, uint64_t era);

/** @return share of the sessions that use the new version, 0 to 1 */
double pr_transition_share(const pr_transition_t *transition, int64_t now_ms);

typedef enum pr_version_choice_t {
	PR_VERSION_OLD,
	PR_VERSION_NEW,
} pr_version_choice_t;

/** @return true while active sessions must stay on their version */
bool pr_transition_pins_sessions(const pr_transition_t *transition,
				 int64_t now_ms);

/** @return true while sessions that the load test moved to the new version must
 *	   stay there */
bool pr_transition_keeps_moved_sessions(const pr_transition_t *transition,
					int64_t now_ms);
/** Extend a scope by the sessions of which all hosts have to know at its time,
 *  so that they stay on their version. */
void pr_transition_extend_scope(const pr_transition_t *transition,
				pr_sessions_scope_t *scope);
/**
 * @return true during the load test: a few upstreams of the new version get
 *	   suitable requests up to a high load, in addition to the share
 */
bool pr_transition_is_load_testing(const pr_transition_t *transition,
				   int64_t now_ms);
/** @return true while the load test, or the backlog that it left, may slow down
 *	   responses */
bool pr_transition_has_test_load(const pr_transition_t *transition,
				 int64_t now_ms);

/** A request whose version is to be chosen. */
typedef struct pr_transition_request_t {
	/** Hash of the session; 0 for a request without one. */
	uint64_t session;
	/** Hash of the request, used where there is no session. */
	uint64_t hash;
	/** The request can be sent to an upstream that the load test uses. */
	bool load_test;
} pr_transition_request_t;

/**
 * Choose the version for a request.
 *
 * @param sessions recently active sessions; the choice is recorded there
 * @param now_ms time by the store's clock
 * @param session_ms time since its last request after which a session is no
 *	  longer active
 */
pr_version_choice_t pr_transition_choose(const pr_transition_t *transition,
					 pr_sessions_t *sessions,
					 const pr_transition_request_t *request,
					 int64_t now_ms, uint32_t session_ms);
/** @return true when upstreams of the version may be used now */
bool pr_transition_allows(const pr_transition_t *transition,
			  const char *version);
bool pr_transition_is_new(const pr_transition_t *transition,
			  const char *version);
/**
 * Count a response.
 *
 * @param bad the response failed, broke off, or was several times slower than
 *	  normal
 * @param upstream tag of the upstream
 */
void pr_transition_record(pr_transition_t *transition, const char *version,
			  bool bad, uint32_t upstream);
/**
 * Count a response whose pace was measured. Responses are counted while both
 * versions serve, without those of the new version that a load test may have
 * slowed down.
 *
 * @param loaded the upstream is under high load
 * @param upstream tag of the upstream
 */
void pr_transition_record_pace(pr_transition_t *transition, const char *version,
			       bool slow, bool loaded, uint32_t upstream,
			       int64_t now_ms);

/**
 * Count a response that was compared with others at a similar load. Responses
 * are counted while sessions are pinned: what moves afterwards changes the load
 * faster than it is reported.
 *
 * @param slower the response is slower than most
 */
void pr_transition_record_rank(pr_transition_t *transition, const char *version,
			       bool slower, uint32_t upstream, int64_t now_ms);

/** Count an attempt of the load test that was sent, and its end. */
void pr_transition_record_test_begin(pr_transition_t *transition);
void pr_transition_record_test_end(pr_transition_t *transition);
/**
 * @param slots slots of the upstream
 * @return true when the requests of the load test in flight, of all hosts, are
 *	   a high load for the upstream
 */
bool pr_transition_is_test_load_high(const pr_transition_t *transition,
				     uint32_t slots);
/** Count an attempt of the load test that was sent at a high load, once it is
 *  answered or has failed. */
void pr_transition_record_loaded(pr_transition_t *transition, bool bad);

/** Next write of the shared row. */
typedef enum pr_conclusion_t {
	PR_CONCLUDE_NOTHING,
	/** The start of this order is not recorded yet: record it. */
	PR_CONCLUDE_START,
	/** The responses of the new version are good: record it, so that all
	 *  hosts move the sessions at the same time. */
	PR_CONCLUDE_VERIFIED,
	/** The responses under load are good: record it, likewise. */
	PR_CONCLUDE_LOAD_VERIFIED,
	PR_CONCLUDE_DONE,
	PR_CONCLUDE_WITHDRAW,
	/** The store's row lacks what this host knows: write that. */
	PR_CONCLUDE_RESTORE,
} pr_conclusion_t;

/**
 * Evaluate the counts and decide what to write to the shared row next.
 *
 * @param stagger_ms delay of this host before it writes that the transition is
 *	  done, so that hosts do not all write at once; a withdrawal is not
 *	  delayed
 * @param usable number of upstreams of the new version that can be used
 */
pr_conclusion_t pr_transition_conclude(pr_transition_t *transition,
				       int64_t now_ms, int64_t stagger_ms,
				       uint32_t usable);
/** @return the shared row with a conclusion and all that this host knows; it is
 *	   to be written on condition of state_row */
pr_transition_row_t pr_transition_conclusion_row(
	const pr_transition_t *transition, pr_conclusion_t conclusion,
	int64_t now_ms);

/** Time for which a host has had something to write; zeroed before first use.
 */
typedef struct pr_conclusion_wait_t {
	pr_conclusion_t conclusion;
	/** state_row of that time. */
	pr_revision_t row;
	int64_t since_ms;
} pr_conclusion_wait_t;

/**
 * Whether a conclusion has been the same, on the same shared row, for the time
 * by which hosts differ, so that the row of the first host makes the writes of
 * the others unnecessary.
 *
 * @param reaches the store is in reach and the shared table of its present era
 *	  has been read; the time begins anew without that, or all hosts would
 *	  write in the moment in which the store is back
 * @param delay_ms delay of this host
 */
bool pr_transition_is_write_due(pr_conclusion_wait_t *wait,
				const pr_transition_t *transition,
				pr_conclusion_t conclusion, bool reaches,
				int64_t now_ms, int64_t delay_ms);

#endif
