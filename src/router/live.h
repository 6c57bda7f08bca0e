/*
 * Ratings and roll-outs: what requests report to them, and their state.
 */
#ifndef PR_ROUTER_LIVE_H
#define PR_ROUTER_LIVE_H

#include "router/router.h"

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

/** Report one outcome of a version to the owner of its model's roll-outs. */
void pr_rollouts_report(pr_router_t *router, const pr_step_t *step,
			const char *workspace, pr_signal_t signal, bool bad);

#endif
