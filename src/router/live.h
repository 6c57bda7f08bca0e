/*
 * Ratings and roll-outs: what requests report to them, and their state.
 */
#ifndef PR_ROUTER_LIVE_H
#define PR_ROUTER_LIVE_H

#include "router/exchange.h"

/** Ends the id of a rating that may count in the test of a roll-out. */
#define PR_RATING_EVIDENCE "/evidence"

/**
 * @param unproven the answer came from a version in roll-out, for which half
 *		   of the ratings are reserved
 * @return true when a rating may be asked for; it is then counted
 */
bool pr_ratings_allow(pr_router_t *router, bool unproven);
/**
 * Note that a rating was asked for.
 *
 * @param answer hash of the id under which it was asked
 * @param final the caller received this answer
 */
void pr_ratings_asked(pr_router_t *router, uint64_t answer, bool final);

/** The rating service did not take the order. */
void pr_ratings_ask_failed(pr_router_t *router);

/**
 * Learn what the session's owners know, unless it is known here, and then go
 * on; waits for a short time at the most.
 */
void pr_sessions_find(pr_exchange_t *exchange, pr_slice_t session,
		      void (*then)(pr_exchange_t *exchange));
/** Remember chat.session here and at its owners. */
void pr_sessions_put(pr_exchange_t *exchange);

/** Report one outcome of a version to the owner of its model's roll-outs. */
void pr_rollouts_report(pr_router_t *router, const pr_plan_step_t *step,
			const char *workspace, pr_rollout_signal_t signal,
			bool bad);

#endif
