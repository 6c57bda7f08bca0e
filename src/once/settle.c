/*
 * Final rows: the outcome of a request, or not_run for an attempt that was
 * given up. Rows that could not be written while the caller waited go to a
 * background list that is retried at a bounded pace.
 */
#include <stdlib.h>

#include "once/internal.h"
#include "pistachiorack/error.h"

void pr_once_request_free(pr_once_request_t *request)
{
	pr_once_t *once = request->once;

	pr_timers_unsubscribe(once->options.timers, &request->step);
	pr_timers_unsubscribe(once->options.timers, &request->limit);
	if (request->phase == PR_ONCE_BACKGROUND)
		pr_list_remove(&request->list);
	if (request->row.body_kept)
		once->bodies -= request->row.body.len;
	pr_index_remove(&once->requests, &request->node);
	pr_once_row_finish(&request->row);
	pr_str_finish(&request->key);
	free(request);
}

static int hand_over(pr_once_request_t *request, pr_slice_t row, bool claim,
		     bool local, pr_usec_t now)
{
	pr_once_t *once = request->once;
	pr_once_message_t message = {
		.kind = claim ? PR_ONCE_MESSAGE_CLAIM : PR_ONCE_MESSAGE_DONE,
		.request = request->id,
		.write = request->write,
		.key = pr_str_slice(&request->key),
		.attempt = pr_slice_of(request->row.attempt),
		.version = request->seen,
		.row = row,
	};

	if (local || !request->owner[0])
		return pr_once_group_add(once, PR_SLICE(""), &message, now);
	once->options.ops->send(once->options.data, pr_slice_of(request->owner),
				&message);
	return 0;
}

int pr_once_issue(pr_once_request_t *request, bool claim, bool local,
		  pr_usec_t now)
{
	pr_str_t row = PR_STR_INIT;
	int err = pr_once_row_print(&row, &request->row);

	if (!request->write_open)
		request->write++;
	if (!err)
		err = hand_over(request, pr_str_slice(&row), claim, local, now);
	pr_str_finish(&row);
	if (err)
		return err;
	request->write_open = true;
	request->write_local = local || !request->owner[0];
	if (claim) {
		request->sent = true;
		request->condition_max = request->seen;
	}
	return 0;
}

static void arm_background(pr_once_t *once, pr_usec_t now);

/* Issues up to one commit of final rows. */
static void background_expired(pr_timer_t *timer, pr_usec_t now)
{
	pr_once_t *once = timer->data;
	pr_list_t *last = once->background.prev;
	pr_list_t *next = once->background.next;
	pr_list_t *node = &once->background;
	size_t issued = 0;

	if (once->settle_failed)
		once->settle_backoff *= 2;
	if (once->settle_backoff > once->options.settle_wait_max)
		once->settle_backoff = once->options.settle_wait_max;
	once->settle_failed = false;
	while (node != last && issued < PR_STORE_OPS_MAX) {
		pr_once_request_t *request =
			PR_OWNER(next, pr_once_request_t, list);

		node = next;
		next = next->next;
		if (request->write_open)
			continue;
		if (pr_once_issue(request, false, true, now))
			break;
		/* The oldest that failed must not keep others from a try. */
		pr_list_remove(&request->list);
		pr_list_append(&once->background, &request->list);
		issued++;
	}
	arm_background(once, now);
}

static void arm_background(pr_once_t *once, pr_usec_t now)
{
	if (!pr_list_empty(&once->background) && !once->settle.next)
		pr_once_arm(once, &once->settle, now, once->settle_backoff,
			    background_expired);
}

void pr_once_end(pr_once_request_t *request, const pr_once_result_t *result,
		 bool row_left, pr_usec_t now)
{
	pr_once_t *once = request->once;

	pr_timers_unsubscribe(once->options.timers, &request->step);
	pr_timers_unsubscribe(once->options.timers, &request->limit);
	once->options.ops->finished(once->options.data, request->id, result);
	if (!row_left) {
		pr_once_request_free(request);
		return;
	}
	if (!request->row.body_kept)
		pr_str_finish(&request->row.body);
	/* An answer to an older write says nothing about the final row. */
	request->write_open =
		request->write_open && request->phase == PR_ONCE_SETTLING;
	request->phase = PR_ONCE_BACKGROUND;
	pr_list_append(&once->background, &request->list);
	arm_background(once, now);
}

static void outcome_expired(pr_timer_t *timer, pr_usec_t now)
{
	pr_once_request_t *request = timer->data;

	/* The owner may be silent; the background list writes here. */
	if (!request->write_local)
		request->write_open = false;
	pr_once_end(request, &request->result, true, now);
}

static void settle_step(pr_timer_t *timer, pr_usec_t now)
{
	pr_once_request_t *request = timer->data;

	if (request->write_open)
		request->once->counters.owner_silent++;
	/* A full queue leaves the row to the background list. */
	(void)pr_once_issue(request, false, true, now);
}

void pr_once_settle(pr_once_request_t *request, pr_once_state_t state,
		    pr_usec_t now)
{
	pr_once_t *once = request->once;

	request->phase = PR_ONCE_SETTLING;
	request->row.state = state;
	request->result.row_written = false;
	pr_once_arm(once, &request->limit, now, once->options.outcome_wait,
		    outcome_expired);
	if (!pr_once_issue(request, false, false, now) && !request->write_local)
		pr_once_arm(once, &request->step, now, once->options.owner_wait,
			    settle_step);
}

/*
 * A row that prevented the final write. Returns true when nothing is left to
 * be written.
 */
static bool row_is_final(pr_once_request_t *request, const pr_once_row_t *row)
{
	bool own = !strcmp(row->attempt, request->row.attempt);

	if (own)
		return row->state == request->row.state;
	if (request->row.state == PR_ONCE_ROW_DONE) {
		request->once->counters.outcome_conflicts++;
		return true;
	}
	/*
	 * A late claim write of this attempt can only apply while the row has
	 * the version that it was conditional on.
	 */
	return row->state != PR_ONCE_ROW_NOT_RUN ||
	       request->seen > request->condition_max;
}

static void retry_later(pr_once_request_t *request, bool failed, pr_usec_t now)
{
	pr_once_t *once = request->once;

	if (request->phase == PR_ONCE_SETTLING) {
		pr_once_arm(once, &request->step, now, once->options.read_wait,
			    settle_step);
		return;
	}
	once->settle_failed = once->settle_failed || failed;
	arm_background(once, now);
}

void pr_once_settled(pr_once_request_t *request,
		     const pr_once_message_t *result, pr_usec_t now)
{
	pr_once_t *once = request->once;
	bool final = result->applied;
	pr_once_row_t row;

	if (result->status != PR_STORE_ANSWERED) {
		retry_later(request, true, now);
		return;
	}
	once->settle_backoff = once->options.settle_wait;
	if (!final) {
		request->seen = result->version;
		if (!pr_once_row_parse(&row, result->row)) {
			final = row_is_final(request, &row);
			pr_once_row_finish(&row);
		}
	}
	if (!final) {
		retry_later(request, false, now);
	} else if (request->phase == PR_ONCE_SETTLING) {
		request->result.row_written = true;
		pr_once_end(request, &request->result, false, now);
	} else {
		pr_once_request_free(request);
	}
}
