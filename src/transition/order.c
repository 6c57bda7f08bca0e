/* Orders of the operator: which of them is known already. */
#include <string.h>

#include "transition/transition.h"

/* Longest time between two checks; a longer one is a time in which this process
 * did not run. */
#define CHECK_GAP (1 * PR_USEC_PER_SEC)

void pr_transition_init(pr_transition_t *transition,
			const pr_rollout_order_t *order,
			pr_revision_t order_row)
{
	memset(transition, 0, sizeof(*transition));
	transition->order = *order;
	transition->order_row = order_row;
}

/* Whether this host or another one has found a version bad. */
static bool is_known_bad(const pr_transition_t *transition, const char *version)
{
	bool is_bad = transition->state == PR_ROLLOUT_WITHDRAWN ||
		      transition->judged_bad;

	return (is_bad && !strcmp(transition->order.version, version)) ||
	       !strcmp(transition->withdrawn, version);
}

void pr_transition_replace(pr_transition_t *transition,
			   const pr_rollout_order_t *order,
			   pr_revision_t order_row)
{
	pr_transition_t known = *transition;
	bool is_bad = known.state == PR_ROLLOUT_WITHDRAWN || known.judged_bad;
	const char *withdrawn = is_bad ? known.order.version : known.withdrawn;

	pr_transition_init(transition, order, order_row);
	/* An order that names the withdrawn version permits it again. */
	if (strcmp(withdrawn, order->version) != 0)
		memcpy(transition->withdrawn, withdrawn,
		       sizeof(transition->withdrawn));
	/* These belong to the store's rows, whichever order is in force. */
	transition->state_row = known.state_row;
	transition->evaluated_era = known.evaluated_era;
	transition->evaluated_ms = known.evaluated_ms;
	transition->evaluated_from_ms = known.evaluated_from_ms;
}

static bool is_same(const pr_rollout_order_t *a, const pr_rollout_order_t *b)
{
	return !strcmp(a->service, b->service) &&
	       !strcmp(a->version, b->version) &&
	       a->duration_ms == b->duration_ms;
}

/* Whether the operator may still write again what the store has lost. A row may
 * be applied before the time that this process did not run is noted. */
static bool may_be_rewritten(const pr_order_return_t *order_return,
			     pr_usec_t now)
{
	pr_usec_t noted = order_return->checked_at + CHECK_GAP;

	return (now < noted ? now : noted) < order_return->rewrites_until;
}

pr_order_verdict_t pr_transition_judge_order(const pr_transition_t *transition,
					     const pr_rollout_order_t *order,
					     pr_revision_t row, pr_usec_t now)
{
	const pr_order_return_t *order_return = &transition->order_return;
	pr_revision_t known = transition->order_row;
	bool same = is_same(order, &transition->order);

	if (!pr_revision_is_after(
		    row, pr_revision_later(known, order_return->held_row)))
		return PR_ORDER_ROW_OLD;
	if (!transition->order.service[0])
		return PR_ORDER_ROW_NEW;
	if (row.era == known.era)
		return same && may_be_rewritten(order_return, now)
			       ? PR_ORDER_ROW_KNOWN
			       : PR_ORDER_ROW_NEW;
	if (same)
		return PR_ORDER_ROW_KNOWN;
	/* A copy with a row of a higher number would have the known order. */
	return row.number > known.number ? PR_ORDER_ROW_NEW : PR_ORDER_ROW_HELD;
}

static void forget_held(pr_order_return_t *order_return)
{
	order_return->held_row = (pr_revision_t){ 0 };
}

pr_order_verdict_t pr_transition_receive_order(pr_transition_t *transition,
					       const pr_rollout_order_t *order,
					       pr_revision_t row, pr_usec_t now)
{
	pr_order_return_t *order_return = &transition->order_return;
	pr_order_verdict_t verdict =
		pr_transition_judge_order(transition, order, row, now);
	bool returned = transition->order.service[0] &&
			row.era != transition->order_row.era;

	if (verdict == PR_ORDER_ROW_OLD)
		return verdict;
	forget_held(order_return);
	if (verdict == PR_ORDER_ROW_HELD) {
		order_return->held = *order;
		order_return->held_row = row;
		order_return->held_until = now + PR_TRANSITION_HOLD;
	} else if (verdict == PR_ORDER_ROW_NEW) {
		pr_transition_replace(transition, order, row);
	} else {
		transition->order_row = row;
		/* The shared row may name the number that the order had. */
		transition->unsaved = pr_transition_has_state(transition);
	}
	if (returned && verdict != PR_ORDER_ROW_HELD) {
		order_return->rewrites_until = now + PR_TRANSITION_HOLD;
		order_return->checked_at = now;
	}
	return verdict;
}

/* Time in which this host did not follow the orders does not count. */
static void restart_hold(pr_order_return_t *order_return, pr_usec_t now)
{
	if (order_return->checked_at < order_return->rewrites_until)
		order_return->rewrites_until = now + PR_TRANSITION_HOLD;
	order_return->held_until = now + PR_TRANSITION_HOLD;
}

bool pr_transition_check_held(pr_transition_t *transition, pr_usec_t now,
			      bool follows)
{
	pr_order_return_t *order_return = &transition->order_return;
	pr_rollout_order_t held = order_return->held;
	bool is_bad = is_known_bad(transition, held.version);

	if (!follows || now - order_return->checked_at > CHECK_GAP)
		restart_hold(order_return, now);
	order_return->checked_at = now;
	if (!order_return->held_row.number || now < order_return->held_until)
		return false;
	pr_transition_replace(transition, &held, order_return->held_row);
	/* The operator has not ordered the version since it was found bad. */
	transition->judged_bad = is_bad;
	transition->order_return.rewrites_until = now + PR_TRANSITION_HOLD;
	transition->order_return.checked_at = now;
	return true;
}

bool pr_transition_drop_held(pr_transition_t *transition)
{
	bool held = transition->order_return.held_row.number != 0;

	forget_held(&transition->order_return);
	return held;
}
