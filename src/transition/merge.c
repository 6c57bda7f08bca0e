/*
 * The shared row with the state of a transition. The store may return from a
 * copy that lacks what it had acknowledged; until its row has all that a host
 * knows, the host merges rows into its state instead of taking them over.
 */
#include <string.h>

#include "transition/transition.h"

static int64_t earliest(int64_t a, int64_t b)
{
	if (!a || !b)
		return a ? a : b;
	return a < b ? a : b;
}

void pr_transition_row_merge(pr_transition_row_t *row,
			     const pr_transition_row_t *other)
{
	/* The states are in the order in which they win. */
	if (other->state > row->state)
		row->state = other->state;
	row->began_ms = earliest(row->began_ms, other->began_ms);
	row->verified_ms = earliest(row->verified_ms, other->verified_ms);
	row->load_verified_ms =
		earliest(row->load_verified_ms, other->load_verified_ms);
	/* Any of two names will do as long as all hosts keep the same one. */
	if (strcmp(other->withdrawn, row->withdrawn) > 0)
		memcpy(row->withdrawn, other->withdrawn,
		       sizeof(row->withdrawn));
}

static bool is_same_state(const pr_transition_row_t *a,
			  const pr_transition_row_t *b)
{
	return a->state == b->state && a->began_ms == b->began_ms &&
	       a->verified_ms == b->verified_ms &&
	       a->load_verified_ms == b->load_verified_ms &&
	       !strcmp(a->withdrawn, b->withdrawn);
}

/* The row with all that is known. */
static pr_transition_row_t known_row(const pr_transition_t *transition)
{
	pr_transition_row_t row = {
		.order = transition->order_row.number,
		.state = transition->state,
		.began_ms = transition->began_ms,
		.verified_ms = transition->verified_ms,
		.load_verified_ms = transition->load_verified_ms,
	};

	memcpy(row.withdrawn, transition->withdrawn, sizeof(row.withdrawn));
	return row;
}

static void take_over(pr_transition_t *transition,
		      const pr_transition_row_t *row)
{
	transition->state = row->state;
	transition->began_ms = row->began_ms;
	transition->verified_ms = row->verified_ms;
	transition->load_verified_ms = row->load_verified_ms;
	if (row->withdrawn[0])
		memcpy(transition->withdrawn, row->withdrawn,
		       sizeof(transition->withdrawn));
}

bool pr_transition_has_state(const pr_transition_t *transition)
{
	return transition->began_ms || transition->state != PR_ROLLOUT_RUNNING;
}

/* A row of another order. That of an earlier order took the place of the row of
 * this one; that of a later order belongs to an order that is not known yet. */
static pr_state_verdict_t note_other(pr_transition_t *transition,
				     const pr_transition_row_t *row)
{
	if (row->order < transition->order_row.number &&
	    pr_transition_has_state(transition))
		transition->unsaved = true;
	return PR_STATE_ROW_OTHER;
}

pr_state_verdict_t pr_transition_apply(pr_transition_t *transition,
				       const pr_transition_row_t *row,
				       pr_revision_t row_version)
{
	pr_transition_row_t merged = known_row(transition);

	if (pr_revision_is_after(transition->state_row, row_version))
		return PR_STATE_ROW_OLD;
	/* The next conditional write needs this version, even when the row
	 * belongs to another order. */
	transition->state_row = row_version;
	/* Numbers of different eras cannot be compared. */
	if (row_version.era != transition->order_row.era)
		return PR_STATE_ROW_OTHER;
	if (row->order != transition->order_row.number)
		return note_other(transition, row);
	if (!transition->unsaved && row->state >= transition->state) {
		take_over(transition, row);
		return PR_STATE_ROW_TAKEN;
	}
	pr_transition_row_merge(&merged, row);
	take_over(transition, &merged);
	transition->unsaved = !is_same_state(&merged, row);
	return PR_STATE_ROW_MERGED;
}

bool pr_transition_apply_missing(pr_transition_t *transition, uint64_t era)
{
	if (era <= transition->state_row.era)
		return false;
	transition->state_row = (pr_revision_t){ .era = era };
	if (pr_transition_has_state(transition))
		transition->unsaved = true;
	return true;
}

pr_transition_row_t pr_transition_conclusion_row(
	const pr_transition_t *transition, pr_conclusion_t conclusion,
	int64_t now_ms)
{
	pr_transition_row_t row = known_row(transition);

	if (!row.began_ms)
		row.began_ms = now_ms;
	if (conclusion == PR_CONCLUDE_DONE)
		row.state = PR_ROLLOUT_DONE;
	else if (conclusion == PR_CONCLUDE_WITHDRAW)
		row.state = PR_ROLLOUT_WITHDRAWN;
	else if (conclusion == PR_CONCLUDE_VERIFIED)
		row.verified_ms = now_ms;
	else if (conclusion == PR_CONCLUDE_LOAD_VERIFIED)
		row.load_verified_ms = now_ms;
	return row;
}

bool pr_transition_is_write_due(pr_conclusion_wait_t *wait,
				const pr_transition_t *transition,
				pr_conclusion_t conclusion, bool reaches,
				int64_t now_ms, int64_t delay_ms)
{
	if (!reaches || wait->conclusion != conclusion ||
	    !pr_revision_equal(wait->row, transition->state_row)) {
		wait->conclusion = conclusion;
		wait->row = transition->state_row;
		wait->since_ms = now_ms;
	}
	return reaches && conclusion != PR_CONCLUDE_NOTHING &&
	       now_ms - wait->since_ms >= delay_ms;
}
