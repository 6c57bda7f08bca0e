/**
 * Transition of a service's traffic to another version, as the operator
 * ordered it. Every host computes the share of the new version from the store's
 * clock, counts answers, and judges the counts of all hosts; a conditional
 * write of the shared row settles who concludes it.
 */
#ifndef PR_TRANSITION_TRANSITION_H
#define PR_TRANSITION_TRANSITION_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"
#include "transition/sessions.h"

#define PR_TRANSITION_NAME_SIZE 96
/**
 * Largest share of the new version in the first half of an order's time, when
 * active sessions stay on their version. The shares of that half use a third of
 * the exposure that an order allows by default; the load test needs the rest.
 */
#define PR_TRANSITION_PINNED_SHARE_MAX 0.1

typedef enum pr_rollout_state_t {
	PR_ROLLOUT_RUNNING,
	PR_ROLLOUT_DONE,
	/** The new version is withdrawn. */
	PR_ROLLOUT_WITHDRAWN,
} pr_rollout_state_t;

/** The operator's order. */
typedef struct pr_rollout_order_t {
	char service[PR_TRANSITION_NAME_SIZE];
	char version[PR_TRANSITION_NAME_SIZE];
	uint32_t duration_ms;
} pr_rollout_order_t;

/** Answers of one version. */
typedef struct pr_tally_t {
	uint32_t total;
	/** Failed, broken off, or several times slower than usual. */
	uint32_t bad;
	/** Bit set of the upstreams that gave bad answers. */
	uint64_t bad_upstreams;
	/** Begun answers whose time to the head was judged, and slow ones. */
	uint32_t timed, slow;
	/** Bit set of the upstreams whose answers were slow. */
	uint64_t slow_upstreams;
} pr_tally_t;

/** Add the counts of a part. */
void pr_tally_add(pr_tally_t *sum, const pr_tally_t *part);

typedef struct pr_tallies_t {
	pr_tally_t fresh, old;
} pr_tallies_t;

/** Answers of the last seconds, by exponential decay. */
typedef struct pr_recent_counts_t {
	/** Counts up to the last update. */
	pr_tally_t counted;
	double total, bad;
} pr_recent_counts_t;

typedef struct pr_transition_t {
	pr_rollout_order_t order;
	/** Row version of the order. */
	uint64_t order_row;
	/** Row version of the shared state; 0 before one exists. */
	uint64_t state_row;
	pr_rollout_state_t state;
	/** Store's clock at the start, milliseconds; valid with state_row. */
	int64_t began_ms;
	/** Counts of this host, and of all others together. */
	pr_tallies_t own, peers;
	pr_recent_counts_t recent_fresh, recent_old;
	int64_t recent_ms;
	/** This host has seen enough to withdraw the version. */
	bool judged_bad;
	/** Version that an order before this one withdrew; empty for none. Its
	 *  upstreams are listed for some seconds more. */
	char withdrawn[PR_TRANSITION_NAME_SIZE];
} pr_transition_t;

/** Begin with an order; the memory is the caller's. */
void pr_transition_init(pr_transition_t *transition,
			const pr_rollout_order_t *order, uint64_t order_row);

/** Go on with another order; a version that was withdrawn stays so. */
void pr_transition_replace(pr_transition_t *transition,
			   const pr_rollout_order_t *order, uint64_t order_row);

/** Shared state of the hosts; forgotten when it belongs to another order. */
typedef struct pr_transition_row_t {
	uint64_t order_row;
	pr_rollout_state_t state;
	int64_t began_ms;
	/** For hosts that start later; see pr_transition_t. */
	char withdrawn[PR_TRANSITION_NAME_SIZE];
} pr_transition_row_t;

int pr_transition_row_pack(pr_str_t *out, const pr_transition_row_t *row);
/** @return 0 or PR_EPARSE */
int pr_transition_row_unpack(pr_transition_row_t *out, pr_slice_t bytes);
void pr_transition_apply(pr_transition_t *transition,
			 const pr_transition_row_t *row, uint64_t row_version);

/** @return share of sessions that go to the new version, 0 to 1 */
double pr_transition_share(const pr_transition_t *transition, int64_t now_ms);

typedef enum pr_version_choice_t {
	PR_VERSION_OLD,
	PR_VERSION_NEW,
} pr_version_choice_t;

/** @return true while active sessions must stay on their version */
bool pr_transition_pins_sessions(const pr_transition_t *transition,
				 int64_t now_ms);

/** @return true while sessions that the load test moved must not go back */
bool pr_transition_keeps_moved_sessions(const pr_transition_t *transition,
					int64_t now_ms);
/**
 * @return true while few upstreams of the new version are loaded for a test, by
 *	   requests that suit it, whatever the share of the others
 */
bool pr_transition_is_load_testing(const pr_transition_t *transition,
				   int64_t now_ms);
/** @return true while answers may be slow for the load test's sake */
bool pr_transition_has_test_load(const pr_transition_t *transition,
				 int64_t now_ms);

/** A request whose version is to be chosen. */
typedef struct pr_transition_request_t {
	/** Hash of the session; 0 for a request without one. */
	uint64_t session;
	/** Hash of the request, used where there is no session. */
	uint64_t hash;
	/** An upstream on trial has room for it. */
	bool load_test;
} pr_transition_request_t;

/**
 * Version for a request.
 *
 * @param sessions those seen lately; the choice is noted
 * @param session_ms time after which a session is no longer pinned
 */
pr_version_choice_t pr_transition_choose(const pr_transition_t *transition,
					 pr_sessions_t *sessions,
					 const pr_transition_request_t *request,
					 int64_t now_ms, uint32_t session_ms);
/** The versions that may be used at all now. */
bool pr_transition_allows(const pr_transition_t *transition,
			  const char *version);
bool pr_transition_is_new(const pr_transition_t *transition,
			  const char *version);
/** Count an answer. @param upstream tag of the upstream */
void pr_transition_record(pr_transition_t *transition, const char *version,
			  bool bad, uint32_t upstream);
/**
 * Count the time to an answer's head. Only answers in the first half are
 * counted, when both versions serve at the same time without a load test.
 */
void pr_transition_record_pace(pr_transition_t *transition, const char *version,
			       bool slow, uint32_t upstream, int64_t now_ms);

typedef enum pr_conclusion_t {
	PR_CONCLUDE_NOTHING,
	/** No shared row yet: claim the start. */
	PR_CONCLUDE_START,
	PR_CONCLUDE_DONE,
	PR_CONCLUDE_WITHDRAW,
} pr_conclusion_t;

/**
 * What the shared row should say next.
 *
 * @param turn_ms this host's pause before it concludes, so that hosts do not
 *	  all write at once; a withdrawal does not wait
 * @param usable upstreams of the new version that can be used
 */
pr_conclusion_t pr_transition_conclude(pr_transition_t *transition,
				       int64_t now_ms, int64_t turn_ms,
				       uint32_t usable);

#endif
