/** Functions that exchange.c, attempt.c and response.c share. */
#ifndef PR_EDGE_EXCHANGE_PARTS_H
#define PR_EDGE_EXCHANGE_PARTS_H

#include "edge/exchange.h"

/* exchange.c */
pr_usec_t pr_exchange_now(pr_exchange_t *x);
/** @return milliseconds since the request arrived */
long long pr_exchange_age_ms(pr_exchange_t *x);
/** @return latency objective of the route, milliseconds */
uint32_t pr_exchange_target_ms(const pr_exchange_t *x);
/** @return the model that the router chose, or "-" when the caller chose it */
const char *pr_exchange_model_name(const pr_exchange_t *x);
/**
 * Choose the upstream for the next attempt.
 *
 * @param out the upstream, with PR_PLACE_FOUND
 * @param wait_ms expected delay before its prefill starts; may be NULL
 */
pr_place_verdict_t pr_exchange_choose_upstream(pr_exchange_t *x,
					       pr_upstream_t **out,
					       double *wait_ms);
/** @return true when an upstream of the load test has room for the request */
bool pr_exchange_has_load_test_room(pr_exchange_t *x);
/** Remove the prompt of the current attempt from the upstream's pending prefill
 *  time. */
void pr_exchange_clear_prefill_wait(pr_exchange_t *x);
/** Count the response of the current attempt for its version, if the service is
 *  in transition. */
void pr_exchange_count_response(pr_exchange_t *x, bool bad);
/** Count the outcome of an attempt that a load test sent at a high load; only
 *  the first one counts. */
void pr_exchange_count_loaded(pr_exchange_t *x, bool bad);
/** Count the pace of an attempt that ends before its response is complete: slow
 *  ones are more likely to be given up. */
void pr_exchange_record_unfinished_pace(pr_exchange_t *x);
/** End the current attempt, and close its connection if it has one. */
void pr_exchange_cancel_attempt(pr_exchange_t *x);
/** End the exchange and free what it owns; the memory can be used again. */
void pr_exchange_finish(pr_exchange_t *x);
/** Log the outcome; @param status HTTP status sent, or 0 for none */
void pr_exchange_log_end(pr_exchange_t *x, const char *outcome, int status);
/** @return the prompt, as the quarantine needs it; valid as long as x */
pr_quarantine_prompt_t pr_exchange_suspect_prompt(const pr_exchange_t *x);
/** Send an error response made by the router itself and end the exchange. */
void pr_exchange_respond(pr_exchange_t *x, int status, const char *code);
/**
 * End the exchange when no attempt is left. The response is 503 if no upstream
 * can have run the request, otherwise 502. If the head was already sent, the
 * connection is reset.
 */
void pr_exchange_give_up(pr_exchange_t *x, const char *code);
/** @return the number in a header field, or the fallback */
uint64_t pr_exchange_field_number(const pr_http_reader_t *reader,
				  pr_field_t field, uint64_t fallback);

/** Fault of an attempt that received no event or response for too long. */
#define PR_FAULT_NO_PROGRESS "no_progress"
/** Fault of an attempt whose connection ended before the response did. */
#define PR_FAULT_BROKEN "connection_broken"

/** Fault of a stream that ended inside an event. */
#define PR_FAULT_CUT_EVENT "cut_event"
/** Progress of an attempt (see events_of_attempt) from which on its upstream
 *  has begun to answer without a crash. */
#define PR_ANSWER_BEGUN 2

/* attempt.c */
/** Choose an upstream and send the request, or wait for one, or give up. */
void pr_exchange_dispatch(pr_exchange_t *x);
/** Set the timer to the deadline, the limit on the time without progress or the
 *  next look for an upstream, whichever is first. */
void pr_exchange_set_timer(pr_exchange_t *x);
/**
 * Charge one more attempt to the repeat budget.
 *
 * @return false when the budget or the route's max_upstreams is used up, or a
 *	   part of the prompt is in quarantine
 */
bool pr_exchange_take_repeat(pr_exchange_t *x);
/**
 * Log and count a failed attempt, then try again or give up.
 *
 * @param verdict whether the upstream ran the request
 * @param fault code of the failure for the log
 */
void pr_exchange_attempt_failed(pr_exchange_t *x, pr_verdict_t verdict,
				const char *fault);

/* kept_prompts.c */
/**
 * Prepare the choice of an upstream by held prefixes.
 *
 * @param kept zeroed; valid as long as x
 * @return false when the choice does without them
 */
bool pr_exchange_init_kept(pr_exchange_t *x, pr_place_kept_t *kept);
/** Note that the current attempt was sent to the upstream chosen last. */
void pr_exchange_note_prompt_sent(pr_exchange_t *x);
/** Note that the upstream of the current attempt has read the prompt. */
void pr_exchange_note_prompt_read(pr_exchange_t *x);
/** Note that the upstream of the current attempt does not run the request. */
void pr_exchange_note_prompt_not_read(pr_exchange_t *x);

/* response.c */
extern const pr_outbound_ops_t pr_exchange_outbound_ops;

#endif
