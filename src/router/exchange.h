/*
 * One caller's request from arrival to the end of its answer.
 *
 * The exchange is freed when both sides are done: the caller's answer has
 * ended, and no attempt is under way.
 */
#ifndef PR_ROUTER_EXCHANGE_H
#define PR_ROUTER_EXCHANGE_H

#include <jansson.h>

#include "pistachiorack/verdict.h"
#include "router/router.h"

#define PR_TRIED_MAX 8

/** One attempt on one upstream; an exchange has one at a time. */
typedef struct pr_attempt_t {
	pr_http_call_t call;
	bool active;
	pr_upstream_link_t *link;
	char id[PR_ID_BYTES];
	int status;
	/** The upstream stated that it did not start. */
	bool refused;
	bool id_matches;
	pr_str_t body;
} pr_attempt_t;

typedef struct pr_exchange_t pr_exchange_t;

/** What a kind of request does with its attempt's events. */
typedef struct pr_exchange_ops_t {
	/** The upstream's answer begins. */
	void (*head)(pr_exchange_t *exchange);
	void (*body)(pr_exchange_t *exchange, pr_slice_t bytes);
	/** The attempt ended. */
	void (*done)(pr_exchange_t *exchange, pr_attempt_stage_t stage,
		     const char *error);
} pr_exchange_ops_t;

struct pr_exchange_t {
	pr_exchange_t *prev, *next;
	pr_router_t *router;
	/** NULL once the caller's side has ended. */
	pr_http_request_t *request;
	const pr_exchange_ops_t *ops;
	pr_fleet_ref_t *fleet;
	const pr_workspace_t *workspace;
	char id[PR_ID_BYTES];
	pr_usec_t arrived;
	/** 0 until the first byte of the answer went out. */
	pr_usec_t first_byte;
	/** Code of the refusal, or of what broke the answer; "" for none. */
	char failure[32];
	bool counts_against_budget;
	pr_timer_t deadline;
	pr_attempt_t attempt;
	unsigned int attempts;
	const char *tried[PR_TRIED_MAX];
	unsigned int tried_count;
	/** Joined over the attempts so far. */
	pr_verdict_t verdict;
	/** Callbacks that still use the exchange. */
	unsigned int holds;
	bool repeatable;
	bool answer_started;
	bool answer_ended;
	/* Model requests. */
	bool stream;
	const pr_model_t *model;
	const pr_version_t *version;
	char model_version[160];
	pr_str_t upstream_body;
	/* Plain services. */
	const pr_service_t *service;
	const pr_operation_t *operation;
	pr_slice_t idempotency_key;
	char upstream_path[256];
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
 * Start an attempt on an upstream that serves `what`.
 *
 * @param what "model@version" or a service name
 * @return 0, PR_EUNAVAILABLE (no usable upstream is left) or PR_ENOMEM
 */
int pr_attempt_start(pr_exchange_t *exchange, pr_slice_t what,
		     const char *method, pr_slice_t path, pr_slice_t body);
/** Break the attempt that is under way, if any. */
void pr_attempt_cancel(pr_exchange_t *exchange);

/** Note why a started answer could not be completed. */
void pr_exchange_broken(pr_exchange_t *exchange, const char *code);

void pr_chat_begin(pr_exchange_t *exchange);
void pr_service_begin(pr_exchange_t *exchange, pr_slice_t path);

#endif
