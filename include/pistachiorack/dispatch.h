/**
 * Dispatch: attempts of one request, retries, resumes and answer checks.
 *
 * Nothing here owns a socket or a clock. The shell reports how far an attempt
 * came and carries out the decision that it gets back.
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
 * Retry budget of one workspace on one host: each request deposits a share of
 * an attempt, each further attempt takes a whole one. It starts empty, so
 * attempts never exceed (1 + share) * requests. Idea: Finagle retry budgets.
 */
typedef struct pr_retry_budget_t {
	double tokens;
	/** Deposit of one request; 0.1 by default. */
	double share;
	/** Most that may be saved up. */
	double max;
	/** False lets every retry pass; for comparison runs only. */
	bool enabled;
} pr_retry_budget_t;

void pr_retry_budget_init(pr_retry_budget_t *budget);
void pr_retry_budget_deposit(pr_retry_budget_t *budget);
/** @return true when a further attempt may be made; it is then paid for */
bool pr_retry_budget_take(pr_retry_budget_t *budget);

#define PR_DISPATCH_ATTEMPTS_MAX 4

typedef struct pr_dispatch_options_t {
	unsigned int version;
	/** May be repeated without harm. */
	bool idempotent;
	bool stream;
	/** Attempts of one request, hedges and resumes included. */
	unsigned int attempts_max;
	/** Mean of the first back-off; doubles with each attempt. */
	pr_usec_t backoff;
	pr_usec_t backoff_max;
	/** Absolute time; no attempt starts later. */
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
	/** Nothing to do; another attempt is open or the request has ended. */
	PR_DISPATCH_NONE,
	/** Choose an upstream and start an attempt at decision.at. */
	PR_DISPATCH_TRY,
	/** Resume the stream on the same version from decision.position. */
	PR_DISPATCH_RESUME,
	/** Nothing was shown to the caller: answer with an error. */
	PR_DISPATCH_REFUSE,
	/** Part of a stream was shown: write the error event and break it. */
	PR_DISPATCH_BREAK,
	/** This attempt's answer is the answer; cancel the other ones. */
	PR_DISPATCH_ANSWER,
} pr_dispatch_action_t;

typedef struct pr_dispatch_decision_t {
	pr_dispatch_action_t action;
	pr_usec_t at;
	/** Tokens that the caller has. */
	uint64_t position;
	/** HTTP status and stable code of a refusal. */
	int status;
	const char *code;
	/** Verdict of all attempts together. */
	pr_verdict_t verdict;
	/** Bit i: cancel attempt i on its upstream. */
	uint32_t cancel;
} pr_dispatch_decision_t;

typedef struct pr_attempt_t {
	pr_attempt_stage_t stage;
	bool open;
	pr_usec_t started;
	pr_verdict_t verdict;
} pr_attempt_t;

/** One request. */
typedef struct pr_dispatch_t {
	pr_dispatch_options_t options;
	pr_retry_budget_t *budget;
	pr_attempt_t attempts[PR_DISPATCH_ATTEMPTS_MAX];
	unsigned int attempts_count;
	/** Choices that found no upstream; they bound the waiting, too. */
	unsigned int empty_choices;
	uint64_t shown;
	bool ended;
	bool hedged;
} pr_dispatch_t;

/** Begin a request and deposit its share; the first action is PR_DISPATCH_TRY.
 */
void pr_dispatch_init(pr_dispatch_t *dispatch,
		      const pr_dispatch_options_t *options,
		      pr_retry_budget_t *budget);
/**
 * Start an attempt.
 *
 * @return its number, or PR_EFULL, PR_ETIMEDOUT or PR_EINVALID (has ended)
 */
int pr_dispatch_start_attempt(pr_dispatch_t *dispatch, pr_usec_t now);
/** An attempt reached a stage; a stage never goes back. */
void pr_dispatch_set_stage(pr_dispatch_t *dispatch, int attempt,
			   pr_attempt_stage_t stage);
/** The caller has been shown this many tokens in all. */
void pr_dispatch_set_delivered(pr_dispatch_t *dispatch, uint64_t tokens);
/**
 * An attempt failed.
 *
 * @param attempt its number, or -1 when no upstream could be chosen
 * @param refused the upstream stated that it did not start
 */
void pr_dispatch_fail_attempt(pr_dispatch_t *dispatch,
			      pr_dispatch_decision_t *decision, int attempt,
			      bool refused, pr_rand_t *rand, pr_usec_t now);
/** A whole, checked answer arrived. A late one gives PR_DISPATCH_NONE. */
void pr_dispatch_complete_attempt(pr_dispatch_t *dispatch,
				  pr_dispatch_decision_t *decision,
				  int attempt);
/** The caller departed or the deadline passed: cancel what is open. */
void pr_dispatch_abandon(pr_dispatch_t *dispatch,
			 pr_dispatch_decision_t *decision, bool timed_out);
/** @return time of the hedge, or PR_USEC_NEVER */
pr_usec_t pr_dispatch_hedge_at(const pr_dispatch_t *dispatch);
/** @return true when the hedge is paid for and may be started now */
bool pr_dispatch_hedge(pr_dispatch_t *dispatch, pr_usec_t now);

/* Server-sent events */

typedef struct pr_sse_event_t {
	/** "message" unless the event names another type. */
	pr_slice_t type;
	pr_slice_t data;
} pr_sse_event_t;

/** Splits bytes into events; chunks may end anywhere. */
typedef struct pr_sse_t {
	pr_str_t line;
	pr_str_t data;
	pr_str_t type;
	/** Longest line or event in bytes. */
	size_t max;
	bool has_data;
	bool skip_newline;
	bool failed;
	void (*on_event)(void *user, const pr_sse_event_t *event);
	void *user;
} pr_sse_t;

void pr_sse_init(pr_sse_t *sse, size_t max,
		 void (*on_event)(void *user, const pr_sse_event_t *event),
		 void *user);
void pr_sse_finish(pr_sse_t *sse);
/** @return 0, PR_EFULL (line or event too long; final) or PR_ENOMEM */
int pr_sse_feed(pr_sse_t *sse, pr_slice_t bytes);

/* Stream of one answer, over its first attempt and its resumes. */

typedef struct pr_stream_t {
	pr_sse_t sse;
	char attempt[96];
	/** Tokens in events that were passed on. */
	uint64_t tokens;
	/** Usage as the upstream stated it; 0 when it did not. */
	uint64_t prompt_tokens;
	uint64_t completion_tokens;
	/** `data: [DONE]` was seen. */
	bool done;
	/** The upstream sent an error event. */
	bool upstream_error;
	/** A crossed answer or bytes that are no answer. */
	bool invalid;
	/** Whole events for the caller; the shell takes and clears it. */
	pr_str_t out;
} pr_stream_t;

void pr_stream_init(pr_stream_t *stream);
void pr_stream_finish(pr_stream_t *stream);
/** Begin an attempt or a resume; drops a partial event of the last one. */
int pr_stream_begin_attempt(pr_stream_t *stream, pr_slice_t attempt);
/** @return 0, or PR_ECONFLICT when the echoed id is another attempt's */
int pr_stream_check_head(pr_stream_t *stream, pr_slice_t echoed);
/**
 * Take bytes; whole valid events go to stream->out.
 *
 * @return 0, PR_EPARSE, PR_ECONFLICT (crossed), PR_EIO (error event), PR_EFULL
 */
int pr_stream_feed(pr_stream_t *stream, pr_slice_t bytes);
/** @return true when the stream may end cleanly */
bool pr_stream_complete(const pr_stream_t *stream);
/** Append the event that tells the caller that the answer is not whole. */
int pr_stream_error_event(pr_str_t *out, const char *code, const char *message,
			  pr_verdict_t verdict);

/**
 * Check an answer that is not streamed.
 *
 * @param content_length as stated, -1 when it was not
 * @return 0, PR_EIO (length differs), PR_ECONFLICT (another attempt's) or
 *	   PR_EPARSE (not one complete JSON object)
 */
int pr_answer_check(pr_slice_t attempt, pr_slice_t echoed,
		    int64_t content_length, pr_slice_t body);

#endif
