/*
 * One caller's request from arrival to the end of its answer.
 *
 * The exchange is freed when both sides are done: the caller's answer has
 * ended, and no attempt is under way.
 */
#ifndef PR_ROUTER_EXCHANGE_H
#define PR_ROUTER_EXCHANGE_H

#include <jansson.h>

#include "pistachiorack/dispatch.h"
#include "pistachiorack/verdict.h"
#include "router/router.h"

#define PR_CLASS_BYTES 64
/** Statuses from here on are the service's fault, not the caller's. */
#define SERVER_ERROR 500

typedef struct pr_exchange_t pr_exchange_t;

/** One call to one upstream; an exchange has one at a time. */
typedef struct pr_upstream_call_t {
	pr_http_call_t http;
	bool active;
	pr_balance_choice_t choice;
	pr_upstream_link_t *link;
	/** Number of the attempt in the dispatch state machine. */
	int number;
	pr_usec_t sent_at;
	bool had_token;
	char id[PR_ID_BYTES];
	int status;
	/** The upstream stated that it did not start. */
	bool refused;
	/** Attempt id that the upstream echoed. */
	char echoed[PR_ID_BYTES];
	/** As stated; -1 when it was not. */
	int64_t content_length;
	pr_str_t body;
} pr_upstream_call_t;

/** What an exchange does with the events of its call. */
typedef struct pr_exchange_ops_t {
	/** The upstream's answer begins. */
	void (*head)(pr_exchange_t *exchange);
	void (*body)(pr_exchange_t *exchange, pr_slice_t bytes);
	/** The call ended; stage DONE means whole by the framing of HTTP. */
	void (*done)(pr_exchange_t *exchange, pr_attempt_stage_t stage);
	/** The next attempt is due. */
	void (*retry)(pr_exchange_t *exchange);
	/** No attempt is left. NULL: the caller is told. */
	void (*refused)(pr_exchange_t *exchange,
			const pr_dispatch_decision_t *decision);
	/**
	 * The caller's time is up. May be NULL.
	 *
	 * @return true when it was handled; the exchange may get as much time
	 *	   again
	 */
	bool (*deadline)(pr_exchange_t *exchange);
} pr_exchange_ops_t;

/** A model request. */
typedef struct pr_chat_t {
	json_t *body;
	/** As the caller named it. */
	char model[65];
	char request_class[PR_CLASS_BYTES];
	bool stream;
	bool interactive;
	uint32_t tokens_in, tokens_out;
	pr_plan_t plan;
	unsigned int step;
	/** Next attempt continues a stream from the tokens already shown. */
	bool resume;
	pr_stream_t events;
	bool events_open;
	/** When the last tokens, or the whole answer, were passed on. */
	pr_usec_t last_event;
	/** The caller read so slowly that the upstream had to wait. */
	bool caller_slow;
	/** The caller's session token, checked once. */
	pr_session_t token;
	bool token_checked, token_valid;
	/** Session of the caller; "" when it named none. */
	pr_session_t session;
	pr_session_action_t session_action;
	char moved_from[2 * PR_SESSION_NAME_MAX + 2];
	double confidence;
} pr_chat_t;

/** Work done for the caller so far, over all steps; see bill.h. */
typedef struct pr_charge_t {
	uint64_t tokens_in, tokens_out;
	/** Millionths of a currency unit. */
	uint64_t price;
} pr_charge_t;

/** Attempts that a reason record names. */
#define PR_EXPLAIN_ATTEMPTS 4

typedef struct pr_explain_attempt_t {
	char upstream[65];
	const char *outcome;
	int status;
} pr_explain_attempt_t;

typedef struct pr_explain_attempts_t {
	pr_explain_attempt_t items[PR_EXPLAIN_ATTEMPTS];
	unsigned int count;
} pr_explain_attempts_t;

struct pr_exchange_t {
	pr_exchange_t *prev, *next;
	/** In router->billing by number, in router->claiming by claim. */
	pr_index_node_t bill_node, claim_node;
	pr_router_t *router;
	/** NULL once the caller's side has ended. */
	pr_http_request_t *request;
	const pr_exchange_ops_t *ops;
	pr_config_t *fleet;
	const pr_workspace_t *workspace;
	/** Outlives a change of the configuration. */
	char workspace_name[65];
	char id[PR_ID_BYTES];
	/** Sequence number of the request on this host in this boot. */
	uint64_t number;
	pr_usec_t arrived;
	/** 0 until the first byte of the answer went out. */
	pr_usec_t first_byte;
	/** Code of the refusal, or of what broke the answer; "" for none. */
	char failure[32];
	bool counts_against_budget;
	/** Seconds for Retry-After of a refusal; 0 when not known. */
	unsigned int retry_after;
	pr_timer_t deadline;
	pr_timer_t retry_timer;
	pr_dispatch_t dispatch;
	pr_upstream_call_t call;
	/** Number of calls made, for attempt ids. */
	unsigned int calls;
	pr_balance_query_t query;
	/** Joined over the attempts of all steps. */
	pr_verdict_t verdict;
	/** Wait for the owners of the session; answers that are due. */
	pr_exchange_t *asking_next;
	pr_timer_t asking_timer;
	unsigned int asking_due;
	char asking_session[PR_SESSION_NAME_MAX + 1];
	bool session_asked;
	void (*after_asking)(pr_exchange_t *exchange);
	/** Callbacks that still use the exchange. */
	unsigned int holds;
	bool answer_started;
	bool answer_ended;
	bool admitted;
	/** The next attempt waits for its time. */
	bool retry_waiting;
	pr_admit_priority_t priority;
	uint32_t tokens_expected;
	pr_charge_t charge;
	bool billed;
	bool caller_left;
	void (*after_billing)(pr_exchange_t *exchange);
	/** "model@version" of the step, or the service. */
	char what[160];
	pr_str_t upstream_body;
	char upstream_path[256];
	pr_chat_t chat;
	/* Plain services. */
	const pr_service_t *service;
	const pr_operation_t *operation;
	pr_slice_t idempotency_key;
	/** Copy of the key; the caller may leave before it is needed. */
	char key[208];
	uint64_t claim;
	bool claimed;
	bool claim_completed;
	/** Next in router->granted, which are dispatched after the callback. */
	pr_exchange_t *next_granted;
	/** The caller was answered; the call goes on for its outcome. */
	bool late;
	bool replayed;
	int outcome_status;
	pr_str_t outcome;
	char refused_code[32];
	pr_explain_attempts_t tried;
};

/** @return NULL when the host is at its limit; an error was answered */
pr_exchange_t *pr_exchange_open(pr_router_t *router,
				pr_http_request_t *request);
/** Free the exchange if nothing refers to it any more. */
void pr_exchange_release(pr_exchange_t *exchange);
/** Cancel the work of callers that have left. */
void pr_exchange_check_callers(pr_router_t *router);

/**
 * Answer with an error in JSON, if nothing was answered yet.
 *
 * @param code stable code, for example "no_capacity"
 */
void pr_exchange_refuse(pr_exchange_t *exchange, int status, const char *code,
			pr_verdict_t verdict, const char *message);
void pr_refuse(pr_http_request_t *request, int status, const char *code,
	       pr_verdict_t verdict, const char *message);

/**
 * Take the next attempt: choose an upstream for exchange->what and call it.
 * When there is none, the dispatch state machine decides what follows.
 */
void pr_exchange_try(pr_exchange_t *exchange);
/** Carry out a decision of the dispatch state machine. */
void pr_exchange_act(pr_exchange_t *exchange,
		     const pr_dispatch_decision_t *decision);
/** The attempt failed; `refused`: the upstream stated that it did not start. */
void pr_exchange_attempt_failed(pr_exchange_t *exchange, bool refused);
/** Break the call that is under way, if any. */
void pr_upstream_call_cancel(pr_exchange_t *exchange);
/**
 * Call the chosen upstream.
 *
 * @return 0, PR_EUNAVAILABLE (no connections to it) or PR_ENOMEM
 */
int pr_upstream_call_start(pr_exchange_t *exchange);

/** @return true when the upstream's error states that it did not start */
bool pr_call_states_not_run(const pr_upstream_call_t *call);

/** Find the workspace of the request's key. @return NULL for a wrong key */
const pr_workspace_t *pr_admission_workspace(pr_router_t *router,
					     const pr_http_request_t *request);
/** Apply the limits. @return 0, or an error that was answered */
int pr_admission_begin(pr_exchange_t *exchange);
void pr_admission_end(pr_exchange_t *exchange);
/** @return retry budget of the exchange's workspace */
pr_retry_budget_t *pr_admission_budget(pr_exchange_t *exchange);

/**
 * Name of the session, if its owners may know more than the request says.
 *
 * @return empty without a session, or when a valid token settles it
 */
pr_slice_t pr_versions_session_name(pr_exchange_t *exchange);
/** Fill chat.plan and the session fields. @return 0 or PR_EDENIED */
int pr_versions_plan(pr_exchange_t *exchange);
/** @return true when the current step may run now */
bool pr_versions_permitted(pr_exchange_t *exchange);
/** Add the session's headers to the answer. */
void pr_versions_answer_headers(pr_exchange_t *exchange);
/** The step's answer is known: feed evidence and ask for ratings. */
void pr_versions_answered(pr_exchange_t *exchange, bool final);
void pr_versions_failed(pr_exchange_t *exchange);
/** @param after time from the start of the call to its first token */
void pr_versions_first_token(pr_exchange_t *exchange, pr_usec_t after);

/** Count the tokens of a step of the answer. */
void pr_exchange_charge(pr_exchange_t *exchange, uint64_t tokens_in,
			uint64_t tokens_out);
/**
 * Make the bill safe, then call `then` once. Called before the last byte.
 */
void pr_billing_finish(pr_exchange_t *exchange,
		       void (*then)(pr_exchange_t *exchange));
/** Bill the work of a caller that left before the end. */
void pr_billing_abandoned(pr_exchange_t *exchange);

/** Count the finished request for the service-level report. */
void pr_objectives_record(pr_exchange_t *exchange);

/** Note how a call ended, for the reason record. */
void pr_explain_tried(pr_exchange_t *exchange, const char *outcome);
/** Keep the reason record of a request that ended. */
void pr_explain_record(pr_exchange_t *exchange);
/** @return the record as JSON, or NULL when it is not or no longer known */
const char *pr_explain_find(const pr_router_t *router, pr_slice_t request);

/** Note why a started answer could not be completed. */
void pr_exchange_broken(pr_exchange_t *exchange, const char *code);

void pr_chat_begin(pr_exchange_t *exchange);
void pr_service_begin(pr_exchange_t *exchange, pr_slice_t path);

#endif
