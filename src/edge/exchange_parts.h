/** What the parts of an exchange share: exchange.c, attempt.c, response.c. */
#ifndef PR_EDGE_EXCHANGE_PARTS_H
#define PR_EDGE_EXCHANGE_PARTS_H

#include "edge/exchange.h"

/* exchange.c */
pr_usec_t pr_exchange_now(pr_exchange_t *x);
/** @return milliseconds since the request arrived */
long long pr_exchange_age_ms(pr_exchange_t *x);
/** @return latency objective of the route, milliseconds */
uint32_t pr_exchange_target_ms(const pr_exchange_t *x);
/** @return the model that the router named, or "-" */
const char *pr_exchange_model_name(const pr_exchange_t *x);
/** Where and how soon the next attempt could go. */
pr_place_verdict_t pr_exchange_choose_upstream(pr_exchange_t *x,
					       pr_upstream_t **out,
					       double *wait_ms);
/** @return true when an upstream on trial has room for the request */
bool pr_exchange_has_trial_room(pr_exchange_t *x);
/** The prompt of the current attempt was read. */
void pr_exchange_clear_prompt_wait(pr_exchange_t *x);
/** Count the current attempt's answer for its version. */
void pr_exchange_count_response(pr_exchange_t *x, bool bad);
/** Let the current attempt go. */
void pr_exchange_cancel_attempt(pr_exchange_t *x);
/** End of the exchange; the memory may hold the next one after it. */
void pr_exchange_finish(pr_exchange_t *x);
void pr_exchange_log_end(pr_exchange_t *x, const char *outcome, int status);
/** An answer of the router's own; the request gets no other. */
void pr_exchange_respond(pr_exchange_t *x, int status, const char *code);
/** No attempt is left. A refusal is given only when nothing can have run. */
void pr_exchange_give_up(pr_exchange_t *x, const char *code);
uint64_t pr_exchange_field_number(const pr_http_reader_t *reader,
				  pr_field_t field, uint64_t fallback);

/** Fault of an attempt without an event or an answer for too long. */
#define PR_FAULT_NO_PROGRESS "no_progress"
/** Fault of an attempt whose connection ended before its answer did. */
#define PR_FAULT_BROKEN "connection_broken"

/* attempt.c */
/** Choose an upstream and send, or wait, or give up. */
void pr_exchange_dispatch(pr_exchange_t *x);
/** Set the timer for the next time that matters. */
void pr_exchange_set_timer(pr_exchange_t *x);
/** Take a further run from the route's bound and the budget of repeats. */
bool pr_exchange_take_repeat(pr_exchange_t *x);
/** An attempt came to nothing. */
void pr_exchange_attempt_failed(pr_exchange_t *x, pr_verdict_t verdict,
				const char *fault);

/* response.c */
extern const pr_outbound_ops_t pr_exchange_outbound_ops;

#endif
