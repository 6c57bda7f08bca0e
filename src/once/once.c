/* Entry-host side: the way of a request to its claim and out again. */
#include <stdlib.h>

#include "once/internal.h"
#include "pistachiorack/error.h"

static void read_expired(pr_timer_t *timer, pr_usec_t now);
static void owner_expired(pr_timer_t *timer, pr_usec_t now);

void pr_once_arm(pr_once_t *once, pr_timer_t *timer, pr_usec_t now,
		 pr_usec_t delay, void (*expired)(pr_timer_t *, pr_usec_t))
{
	pr_usec_t due = now + delay;

	pr_timers_subscribe(once->options.timers, timer,
			    due - once->options.timers->now, 0, expired);
}

int pr_once_open(pr_once_t **out, const pr_once_options_t *options)
{
	pr_once_t *once;

	if (options->version != PR_ONCE_OPTIONS_VERSION || !options->ops ||
	    !options->timers || !options->host || !options->group_max ||
	    options->group_max > PR_STORE_OPS_MAX)
		return pr_error_set(PR_EINVALID, "options of claims");
	once = calloc(1, sizeof(*once));
	if (!once)
		return pr_error_set(PR_ENOMEM, "no memory for claims");
	once->options = *options;
	once->options.host = once->host;
	once->settle_backoff = options->settle_wait;
	once->settle.data = once;
	once->flush.data = once;
	if (pr_slice_copy(once->host, sizeof(once->host),
			  pr_slice_of(options->host))) {
		free(once);
		return pr_error_set(PR_EINVALID, "host name is too long");
	}
	pr_list_init(&once->queue);
	pr_list_init(&once->background);
	if (pr_index_init(&once->requests, options->requests_max) ||
	    pr_index_init(&once->groups, PR_STORE_OPS_MAX)) {
		pr_index_finish(&once->requests);
		free(once);
		return PR_ENOMEM;
	}
	*out = once;
	return 0;
}

void pr_once_close(pr_once_t *once)
{
	pr_index_node_t *node;

	if (!once)
		return;
	while ((node = pr_index_any(&once->requests)) != NULL)
		pr_once_request_free(PR_OWNER(node, pr_once_request_t, node));
	pr_index_finish(&once->requests);
	pr_once_group_finish(once);
	pr_timers_unsubscribe(once->options.timers, &once->settle);
	pr_timers_unsubscribe(once->options.timers, &once->flush);
	free(once);
}

static pr_once_request_t *find(pr_once_t *once, uint64_t id)
{
	pr_index_node_t *node = pr_index_find(&once->requests, id);

	return node ? PR_OWNER(node, pr_once_request_t, node) : NULL;
}

/* Ends a request that was not dispatched. */
static void refuse(pr_once_request_t *request, pr_once_code_t code,
		   pr_usec_t now)
{
	static const int statuses[] = {
		[PR_ONCE_KEY_REUSED] = 422,  [PR_ONCE_CLAIMED] = 409,
		[PR_ONCE_UNAVAILABLE] = 503, [PR_ONCE_DEADLINE] = 504,
		[PR_ONCE_FULL] = 503,
	};
	pr_once_result_t result = {
		.code = code,
		.verdict = code == PR_ONCE_CLAIMED ? PR_VERDICT_MAY_HAVE_RUN
						   : PR_VERDICT_NOT_RUN,
		.status = statuses[code],
		.body = PR_SLICE(""),
	};
	/* A claim write that may still apply has to be undone. */
	bool row_left =
		request->sent && request->seen <= request->condition_max;

	request->row.state = PR_ONCE_ROW_NOT_RUN;
	pr_once_end(request, &result, row_left, now);
}

static void grant(pr_once_request_t *request, uint64_t version, pr_usec_t now)
{
	pr_once_t *once = request->once;

	pr_timers_unsubscribe(once->options.timers, &request->step);
	pr_timers_unsubscribe(once->options.timers, &request->limit);
	request->seen = version;
	request->held = true;
	request->phase = PR_ONCE_GRANTED;
	once->options.ops->granted(once->options.data, request->id);
}

/* Reads the row after a delay that doubles each time. */
static void read_later(pr_once_request_t *request, pr_once_phase_t phase,
		       pr_usec_t now)
{
	pr_once_t *once = request->once;

	if (phase != request->phase)
		request->backoff = once->options.read_wait;
	request->phase = phase;
	pr_once_arm(once, &request->step, now, request->backoff, read_expired);
	request->backoff *= 2;
	if (request->backoff > once->options.read_wait_max)
		request->backoff = once->options.read_wait_max;
}

static void read_expired(pr_timer_t *timer, pr_usec_t now)
{
	pr_once_request_t *request = timer->data;
	pr_once_t *once = request->once;

	if (request->read_open)
		return;
	request->read_open = true;
	once->counters.reads++;
	once->options.ops->read_row(once->options.data, PR_ONCE_TABLE,
				    pr_str_slice(&request->key), request->id);
}

static void claim(pr_once_request_t *request, bool local, pr_usec_t now)
{
	pr_once_t *once = request->once;

	request->phase = PR_ONCE_CLAIMING;
	if (pr_once_issue(request, true, local, now)) {
		once->counters.refused_full++;
		refuse(request, PR_ONCE_FULL, now);
	} else if (!request->write_local) {
		pr_once_arm(once, &request->step, now, once->options.owner_wait,
			    owner_expired);
	}
}

static void owner_expired(pr_timer_t *timer, pr_usec_t now)
{
	pr_once_request_t *request = timer->data;

	request->once->counters.owner_silent++;
	claim(request, true, now);
}

static void limit_expired(pr_timer_t *timer, pr_usec_t now)
{
	pr_once_request_t *request = timer->data;

	if (request->phase == PR_ONCE_WAITING)
		refuse(request, PR_ONCE_CLAIMED, now);
	else if (now >= request->deadline)
		refuse(request, PR_ONCE_DEADLINE, now);
	else
		refuse(request, PR_ONCE_UNAVAILABLE, now);
}

static void limit(pr_once_request_t *request, pr_usec_t now, pr_usec_t until)
{
	pr_once_arm(request->once, &request->limit, now,
		    until > now ? until - now : 0, limit_expired);
}

static void return_stored(pr_once_request_t *request, const pr_once_row_t *row,
			  pr_usec_t now)
{
	pr_once_result_t result = {
		.code = row->body_kept ? PR_ONCE_STORED
				       : PR_ONCE_STORED_WITHOUT_BODY,
		.verdict = row->verdict,
		.status = row->status,
		.body = pr_str_slice(&row->body),
		.row_written = true,
	};

	pr_once_end(request, &result, false, now);
}

/* Decides by the row that stands in the way of the claim. */
static void decide(pr_once_request_t *request, const pr_once_row_t *row,
		   pr_usec_t now)
{
	bool own = !strcmp(row->attempt, request->row.attempt);

	if (own && row->state == PR_ONCE_ROW_CLAIMED) {
		grant(request, request->seen, now);
	} else if (strcmp(row->body_hash, request->row.body_hash) != 0) {
		refuse(request, PR_ONCE_KEY_REUSED, now);
	} else if (row->state == PR_ONCE_ROW_DONE) {
		return_stored(request, row, now);
	} else if (row->state == PR_ONCE_ROW_NOT_RUN) {
		limit(request, now, request->deadline);
		claim(request, true, now);
	} else {
		if (request->phase != PR_ONCE_WAITING)
			limit(request, now, request->deadline);
		read_later(request, PR_ONCE_WAITING, now);
	}
}

static void meet_row(pr_once_request_t *request, uint64_t version,
		     pr_slice_t text, pr_usec_t now)
{
	pr_once_row_t row;

	request->seen = version;
	if (pr_once_row_parse(&row, text)) {
		/* Nobody may run a key whose row cannot be understood. */
		refuse(request, PR_ONCE_CLAIMED, now);
		return;
	}
	decide(request, &row, now);
	pr_once_row_finish(&row);
}

static void claim_answered(pr_once_request_t *request,
			   const pr_once_message_t *result, bool local,
			   pr_usec_t now)
{
	pr_timers_unsubscribe(request->once->options.timers, &request->step);
	if (result->status == PR_STORE_UNKNOWN)
		read_later(request, PR_ONCE_READING, now);
	else if (result->status == PR_STORE_REFUSED && local)
		refuse(request, PR_ONCE_UNAVAILABLE, now);
	else if (result->status == PR_STORE_REFUSED)
		/* Only the owner may have lost the store. */
		claim(request, true, now);
	else if (result->applied)
		grant(request, result->version, now);
	else
		meet_row(request, result->version, result->row, now);
}

void pr_once_written(pr_once_t *once, const pr_once_message_t *result,
		     bool local, pr_usec_t now)
{
	pr_once_request_t *request = find(once, result->request);

	if (!request || !request->write_open ||
	    request->write != result->write ||
	    !pr_slice_equal(result->attempt, pr_slice_of(request->row.attempt)))
		return;
	/* The owner's failure does not answer a write of this host. */
	if (request->write_local && !local &&
	    result->status != PR_STORE_ANSWERED)
		return;
	request->write_open = false;
	if (request->phase == PR_ONCE_CLAIMING)
		claim_answered(request, result, local, now);
	else
		pr_once_settled(request, result, now);
}

void pr_once_read(pr_once_t *once, uint64_t tag, pr_store_status_t status,
		  const pr_store_result_t *result, pr_usec_t now)
{
	pr_once_request_t *request = find(once, tag);

	if (!request || !request->read_open)
		return;
	request->read_open = false;
	if (request->phase != PR_ONCE_READING &&
	    request->phase != PR_ONCE_WAITING)
		return;
	if (status != PR_STORE_ANSWERED)
		read_later(request, request->phase, now);
	else if (!result->version)
		/* The lost write has not been applied, or not yet. */
		claim(request, true, now);
	else
		meet_row(request, result->version, result->value, now);
}

void pr_once_receive(pr_once_t *once, pr_slice_t from,
		     const pr_once_message_t *message, pr_usec_t now)
{
	pr_once_row_t row;

	if (message->kind == PR_ONCE_MESSAGE_RESULT) {
		pr_once_written(once, message, false, now);
		return;
	}
	/* A row that does not parse would spoil the whole commit. */
	if (!from.len || pr_once_row_parse(&row, message->row))
		return;
	pr_once_row_finish(&row);
	/* When the queue is full the entry host commits by itself. */
	if (pr_once_group_add(once, from, message, now))
		once->counters.refused_full++;
}

static int fill(pr_once_request_t *request,
		const pr_once_request_options_t *options)
{
	pr_once_t *once = request->once;
	bool own = pr_slice_equal(options->owner, pr_slice_of(once->host));

	if (pr_slice_copy(request->row.host, PR_ONCE_NAME_SIZE,
			  pr_slice_of(once->host)) ||
	    pr_slice_copy(request->row.attempt, PR_ONCE_NAME_SIZE,
			  options->attempt) ||
	    pr_slice_copy(request->row.body_hash, PR_ONCE_NAME_SIZE,
			  options->body_hash) ||
	    pr_slice_copy(request->owner, PR_ONCE_NAME_SIZE,
			  own ? PR_SLICE("") : options->owner))
		return pr_error_set(PR_EINVALID, "a name is too long");
	return pr_str_append(&request->key, options->key.ptr, options->key.len);
}

/* Test switch: the claim is taken as held without a row. */
static void skip_expired(pr_timer_t *timer, pr_usec_t now)
{
	grant(timer->data, 0, now);
}

int pr_once_start(pr_once_t *once, uint64_t *out,
		  const pr_once_request_options_t *options, pr_usec_t now)
{
	pr_once_request_t *request;
	pr_usec_t until = now + once->options.claim_wait;
	int err;

	if (!options->key.len || options->key.len > PR_ONCE_KEY_MAX ||
	    !options->attempt.len)
		return pr_error_set(PR_EINVALID, "key of a claim");
	if (now >= options->deadline)
		return pr_error_set(PR_ETIMEDOUT, "deadline has passed");
	if (once->requests.count >= once->options.requests_max ||
	    once->writes_count >= once->options.writes_max) {
		once->counters.refused_full++;
		return pr_error_set(PR_EFULL, "table of claims is full");
	}
	request = calloc(1, sizeof(*request));
	if (!request)
		return pr_error_set(PR_ENOMEM, "no memory for a claim");
	request->once = once;
	request->id = ++once->next_id;
	request->deadline = options->deadline;
	request->step.data = request;
	request->limit.data = request;
	pr_index_add(&once->requests, &request->node, request->id);
	err = fill(request, options);
	if (!err && once->options.test_skip_claims)
		pr_once_arm(once, &request->step, now, 0, skip_expired);
	else if (!err)
		err = pr_once_issue(request, true, false, now);
	if (err) {
		pr_once_request_free(request);
		return err;
	}
	*out = request->id;
	if (once->options.test_skip_claims)
		return 0;
	limit(request, now,
	      until < request->deadline ? until : request->deadline);
	if (!request->write_local)
		pr_once_arm(once, &request->step, now, once->options.owner_wait,
			    owner_expired);
	return 0;
}

int pr_once_dispatch(pr_once_t *once, uint64_t id, pr_usec_t now)
{
	pr_once_request_t *request = find(once, id);

	if (!request || request->phase != PR_ONCE_GRANTED)
		return pr_error_set(PR_EINVALID, "request holds no claim");
	if (now >= request->deadline && !once->options.test_skip_deadline) {
		request->result = (pr_once_result_t){
			.code = PR_ONCE_DEADLINE,
			.verdict = PR_VERDICT_NOT_RUN,
			.status = 504,
			.body = PR_SLICE(""),
		};
		pr_once_settle(request, PR_ONCE_ROW_NOT_RUN, now);
		return pr_error_set(PR_ETIMEDOUT, "deadline before dispatch");
	}
	request->phase = PR_ONCE_DISPATCHED;
	return 0;
}

int pr_once_complete(pr_once_t *once, uint64_t id, pr_verdict_t verdict,
		     int status, pr_slice_t body, pr_usec_t now)
{
	pr_once_request_t *request = find(once, id);
	bool run = verdict != PR_VERDICT_NOT_RUN;

	if (!request || (request->phase != PR_ONCE_DISPATCHED &&
			 (run || request->phase != PR_ONCE_GRANTED)))
		return pr_error_set(PR_EINVALID, "request is not under way");
	if (pr_str_append(&request->row.body, body.ptr, body.len))
		return pr_error_set(PR_ENOMEM, "no memory for an outcome");
	request->row.body_kept =
		run && body.len <= once->options.body_max &&
		once->bodies + body.len <= once->options.bodies_max;
	if (request->row.body_kept)
		once->bodies += body.len;
	request->row.status = status;
	request->row.verdict = verdict;
	request->result = (pr_once_result_t){
		.code = PR_ONCE_COMPLETED,
		.verdict = verdict,
		.status = status,
		.body = pr_str_slice(&request->row.body),
	};
	pr_once_settle(request, run ? PR_ONCE_ROW_DONE : PR_ONCE_ROW_NOT_RUN,
		       now);
	return 0;
}

size_t pr_once_pending(const pr_once_t *once)
{
	return once->requests.count;
}

const pr_once_counters_t *pr_once_counters(const pr_once_t *once)
{
	return &once->counters;
}
