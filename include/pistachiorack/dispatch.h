/**
 * Dispatch: the state machine of one request with its attempts on upstreams,
 * its retries, hedges and resumes, and the checks of upstream answers.
 *
 * This module does no I/O and reads no clock. The caller reports the progress
 * of each attempt with the current time and carries out the returned decision.
 */
#ifndef PISTACHIORACK_DISPATCH_H
#define PISTACHIORACK_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/rand.h"
#include "pistachiorack/str.h"
#include "pistachiorack/timer.h"
#include "pistachiorack/verdict.h"

/**
 * Retry budget of one workspace on one host, as in Finagle. Each request
 * deposits a fraction of an attempt; each retry, resume or hedge withdraws a
 * whole attempt. The budget starts empty, so the number of attempts never
 * exceeds (1 + deposit) * requests.
 */
typedef struct pr_retry_budget_t {
	/** Balance in attempts. */
	double tokens;
	/** Deposit of one request in attempts; 0.1 by default. */
	double deposit;
	/** Maximum balance in attempts. */
	double max;
	/** When false, every retry is allowed; for comparison runs only. */
	bool enabled;
} pr_retry_budget_t;

void pr_retry_budget_init(pr_retry_budget_t *budget);
/** Add the deposit of one request. */
void pr_retry_budget_deposit(pr_retry_budget_t *budget);
/**
 * Withdraw one attempt.
 *
 * @return false when the balance is too low; a further attempt must not be made
 */
bool pr_retry_budget_take(pr_retry_budget_t *budget);

#define PR_DISPATCH_ATTEMPTS_MAX 4

typedef struct pr_dispatch_options_t {
	unsigned int version;
	/** The request may be run more than once. */
	bool idempotent;
	/** The answer is streamed. */
	bool stream;
	/** Maximum attempts of one request, including hedges and resumes. */
	unsigned int attempts_max;
	/** Mean of the first retry delay; doubles with each attempt. */
	pr_usec_t backoff;
	/** Upper bound of the mean retry delay. */
	pr_usec_t backoff_max;
	/** Absolute time from which on no attempt may start. */
	pr_usec_t deadline;
	/** Delay before a second, parallel attempt; 0 turns hedging off. */
	pr_usec_t hedge_after;
} pr_dispatch_options_t;

#define PR_DISPATCH_OPTIONS_VERSION 1
#define PR_DISPATCH_OPTIONS_INIT                                               \
	{                                                                      \
		.version = PR_DISPATCH_OPTIONS_VERSION, .attempts_max = 3,     \
		.backoff = 20 * PR_USEC_PER_MSEC,                              \
		.backoff_max = 500 * PR_USEC_PER_MSEC,                         \
		.deadline = PR_USEC_NEVER,                                     \
	}

typedef enum pr_dispatch_action_t {
	/** Nothing to do: another attempt is open or the request has ended. */
	PR_DISPATCH_NONE,
	/** Choose an upstream and start an attempt at the time `at`. */
	PR_DISPATCH_TRY,
	/**
	 * At the time `at`, resume the stream after `position` tokens on an
	 * upstream with the same model version.
	 */
	PR_DISPATCH_RESUME,
	/** No token was delivered to the caller: respond with an error. */
	PR_DISPATCH_REFUSE,
	/**
	 * Part of the stream was delivered: send the error event and abort the
	 * response.
	 */
	PR_DISPATCH_BREAK,
	/** Deliver this attempt's answer and cancel the other attempts. */
	PR_DISPATCH_ANSWER,
} pr_dispatch_action_t;

typedef struct pr_dispatch_decision_t {
	pr_dispatch_action_t action;
	/** Time at which to start the next attempt. */
	pr_usec_t at;
	/** Tokens that were delivered to the caller. */
	uint64_t position;
	/** HTTP status and stable error code when the request failed. */
	int status;
	const char *code;
	/** Combined verdict of all attempts. */
	pr_verdict_t verdict;
	/** Bit mask; when bit i is set, cancel attempt i on its upstream. */
	uint32_t cancel;
} pr_dispatch_decision_t;

typedef struct pr_attempt_t {
	pr_attempt_stage_t stage;
	/** The attempt has neither failed nor completed. */
	bool open;
	pr_usec_t started;
	/** Valid once the attempt is no longer open. */
	pr_verdict_t verdict;
} pr_attempt_t;

/** State of one request. */
typedef struct pr_dispatch_t {
	pr_dispatch_options_t options;
	pr_retry_budget_t *budget;
	pr_attempt_t attempts[PR_DISPATCH_ATTEMPTS_MAX];
	unsigned int attempts_count;
	/**
	 * Number of times that no upstream could be chosen. Counts towards
	 * attempts_max, so that the request does not wait without bound.
	 */
	unsigned int failed_selections;
	/** Tokens that were delivered to the caller. */
	uint64_t delivered_tokens;
	bool ended;
	/** A hedge was started, or the retry budget refused it. */
	bool hedged;
} pr_dispatch_t;

/**
 * Begin a request and add its deposit to the retry budget. The caller starts
 * the first attempt without a decision, as after PR_DISPATCH_TRY.
 */
void pr_dispatch_init(pr_dispatch_t *dispatch,
		      const pr_dispatch_options_t *options,
		      pr_retry_budget_t *budget);
/**
 * Start an attempt.
 *
 * @return number of the attempt; PR_EFULL when all attempts are used;
 *	   PR_ETIMEDOUT at or after the deadline; PR_EINVALID when the
 *	   request has ended
 */
int pr_dispatch_start_attempt(pr_dispatch_t *dispatch, pr_usec_t now);
/** Record that an attempt reached a stage; an earlier stage is ignored. */
void pr_dispatch_set_stage(pr_dispatch_t *dispatch, int attempt,
			   pr_attempt_stage_t stage);
/**
 * Record the total number of tokens that were delivered to the caller; a lower
 * number is ignored.
 */
void pr_dispatch_set_delivered(pr_dispatch_t *dispatch, uint64_t tokens);
/**
 * Record that an attempt failed, and decide how the request continues.
 *
 * @param attempt number of the attempt, or -1 when no upstream could be chosen
 * @param refused the upstream stated that it did not start the request
 */
void pr_dispatch_fail_attempt(pr_dispatch_t *dispatch,
			      pr_dispatch_decision_t *decision, int attempt,
			      bool refused, pr_rand_t *rand, pr_usec_t now);
/**
 * Record that an attempt received a complete answer that passed its checks. The
 * decision is PR_DISPATCH_ANSWER, or PR_DISPATCH_NONE when the request or the
 * attempt has already ended.
 */
void pr_dispatch_complete_attempt(pr_dispatch_t *dispatch,
				  pr_dispatch_decision_t *decision,
				  int attempt);
/**
 * End the request because the caller disconnected or the deadline passed. The
 * decision cancels all open attempts.
 *
 * @param timed_out the deadline passed; otherwise the caller disconnected and
 *		    the action is PR_DISPATCH_NONE
 */
void pr_dispatch_abandon(pr_dispatch_t *dispatch,
			 pr_dispatch_decision_t *decision, bool timed_out);
/** @return time at which a hedge may start, or PR_USEC_NEVER */
pr_usec_t pr_dispatch_hedge_at(const pr_dispatch_t *dispatch);
/**
 * Withdraw the hedge from the retry budget when it is due. A request is hedged
 * once at most, also when the budget refuses it.
 *
 * @return true when the caller may start the hedge now
 */
bool pr_dispatch_claim_hedge(pr_dispatch_t *dispatch, pr_usec_t now);

/* Server-sent events */

typedef struct pr_sse_event_t {
	/** Event type; "message" when the event has no type. */
	pr_slice_t type;
	pr_slice_t data;
} pr_sse_event_t;

/** Parser of server-sent events; input chunks may end at any byte. */
typedef struct pr_sse_parser_t {
	pr_str_t line;
	pr_str_t data;
	pr_str_t type;
	/** Maximum size of a line and of the data of an event in bytes. */
	size_t max;
	/** The current event has a data line, which may be empty. */
	bool has_data;
	/** The last byte was CR; an LF after it is part of the line end. */
	bool skip_line_feed;
	/** An error occurred; further input is rejected. */
	bool failed;
	void (*on_event)(void *user, const pr_sse_event_t *event);
	void *user;
} pr_sse_parser_t;

void pr_sse_parser_init(pr_sse_parser_t *sse, size_t max,
			void (*on_event)(void *user,
					 const pr_sse_event_t *event),
			void *user);
void pr_sse_parser_finish(pr_sse_parser_t *sse);
/**
 * Parse bytes and call on_event for each complete event.
 *
 * @return 0, PR_EFULL when a line or an event is too long, or PR_ENOMEM; after
 *	   an error, every further call returns PR_EFULL
 */
int pr_sse_parser_feed(pr_sse_parser_t *sse, pr_slice_t bytes);

/** Streamed answer of one request, across its first attempt and its resumes. */
typedef struct pr_stream_t {
	pr_sse_parser_t sse;
	/** Id of the current attempt. */
	char attempt_id[96];
	/** Tokens in the events that were appended to `out`. */
	uint64_t tokens;
	/** Token usage reported by the upstream; 0 when not reported. */
	uint64_t prompt_tokens;
	uint64_t completion_tokens;
	/** `data: [DONE]` was received. */
	bool done;
	/** The upstream sent an error event. */
	bool upstream_error;
	/**
	 * An event is malformed, belongs to another attempt or could not be
	 * stored in `out`, or the head belongs to another attempt.
	 */
	bool invalid;
	/** Complete events; the user of the stream sends and clears them. */
	pr_str_t out;
} pr_stream_t;

void pr_stream_init(pr_stream_t *stream);
void pr_stream_finish(pr_stream_t *stream);
/**
 * Begin an attempt or a resume. Discards an incomplete event of the previous
 * attempt.
 *
 * @return 0 or the error of pr_slice_copy()
 */
int pr_stream_begin_attempt(pr_stream_t *stream, pr_slice_t attempt_id);
/**
 * Check the attempt id in the head of the response.
 *
 * @param echoed_id attempt id that the upstream echoed
 * @return 0, or PR_ECONFLICT when it is not the id of the current attempt
 */
int pr_stream_check_head(pr_stream_t *stream, pr_slice_t echoed_id);
/**
 * Parse bytes of the answer and append complete, valid events to stream->out.
 *
 * @return 0; PR_EPARSE when an event is malformed or belongs to another
 *	   attempt; PR_EIO when the upstream sent an error event; PR_EFULL
 *	   when a line or an event is too long; PR_ENOMEM
 */
int pr_stream_feed(pr_stream_t *stream, pr_slice_t bytes);
/** @return true when the answer is complete and valid */
bool pr_stream_complete(const pr_stream_t *stream);
/**
 * Append the error event that marks the answer as incomplete.
 *
 * @return 0 or the error of pr_str_appendf()
 */
int pr_stream_error_event(pr_str_t *out, const char *code, const char *message,
			  pr_verdict_t verdict);

/**
 * Check an answer that is not streamed.
 *
 * @param attempt_id id of the attempt
 * @param echoed_id attempt id that the upstream echoed
 * @param content_length value of the Content-Length header in bytes, or -1
 *			 without one
 * @return 0, PR_ECONFLICT when the ids differ, PR_EIO when the length of the
 *	   body differs, or PR_EPARSE when the body is not one complete JSON
 *	   object
 */
int pr_answer_check(pr_slice_t attempt_id, pr_slice_t echoed_id,
		    int64_t content_length, pr_slice_t body);

#endif
