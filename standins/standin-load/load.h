/**
 * Parts of the load program: requests, attempts, answer parsing, summary.
 */
#ifndef STANDIN_LOAD_H
#define STANDIN_LOAD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <uv.h>

#include "pistachiorack/http.h"
#include "pistachiorack/rand.h"
#include "pistachiorack/timer.h"

#define LOAD_ENTRIES_MAX    512
#define LOAD_WORKSPACES_MAX 256
#define LOAD_SESSIONS_MAX   4096
#define LOAD_NAME_BYTES     128
#define LOAD_TOKEN_BYTES    1024

typedef enum load_class_id_t {
	LOAD_ROUTE,
	LOAD_SUMMARY,
	LOAD_TAG,
	LOAD_PICKUP,
	LOAD_PAYOUT,
	LOAD_TICKET,
	LOAD_CLASSES,
} load_class_id_t;

/** What requests of a class look like. */
typedef struct load_class_t {
	const char *name;
	/** Share of chat requests that ask for a stream. */
	double stream;
	uint32_t tokens_min, tokens_max;
	/** Length of the prompt's own part, bytes. */
	uint32_t prompt_bytes;
	bool chat;
	bool interactive;
} load_class_t;

extern const load_class_t load_classes[LOAD_CLASSES];

typedef struct load_entry_t {
	char name[64];
	pr_http_target_t *target;
} load_entry_t;

typedef struct load_workspace_t {
	char name[LOAD_NAME_BYTES];
	char key[LOAD_NAME_BYTES];
} load_workspace_t;

/** A session that requests take part in; its token is echoed. */
typedef struct load_session_t {
	char token[LOAD_TOKEN_BYTES];
	char version[LOAD_NAME_BYTES];
	uint64_t changes;
} load_session_t;

/** Times of one class, for the summary. */
typedef struct load_times_t {
	double *values;
	size_t count;
	size_t cap;
} load_times_t;

typedef struct load_stats_t {
	uint64_t requests;
	uint64_t attempts;
	uint64_t ok;
	uint64_t wrong;
	json_t *errors;
	load_times_t first;
	load_times_t total;
} load_stats_t;

typedef struct load_options_t {
	double rate;
	double seconds;
	uint64_t requests;
	uint32_t in_flight_max;
	uint32_t timeout_ms;
	uint32_t retries;
	uint32_t retry_ms;
	uint32_t sessions;
	uint32_t prefixes;
	uint32_t prefix_bytes;
	/** Share of streams that the caller leaves halfway. */
	double leave;
	double mix[LOAD_CLASSES];
	double mix_sum;
	const char *model;
	const char *service;
	/** Path prefix of operations: "/services/<service>" or "". */
	bool direct;
	/** Sessions do not echo x-session-token. */
	bool no_token;
	uint64_t seed;
} load_options_t;

typedef struct load_t {
	uv_loop_t loop;
	uv_timer_t tick;
	uv_signal_t signals[2];
	pr_timers_t timers;
	pr_http_client_t *client;
	pr_rand_t rand;
	load_options_t options;
	load_entry_t entries[LOAD_ENTRIES_MAX];
	size_t entries_count;
	load_workspace_t workspaces[LOAD_WORKSPACES_MAX];
	size_t workspaces_count;
	load_session_t *sessions;
	load_stats_t stats[LOAD_CLASSES];
	FILE *out;
	uint32_t in_flight;
	uint64_t sent;
	uint64_t skipped;
	bool closing;
	pr_usec_t began;
	pr_usec_t next_at;
	pr_timer_t arrival;
} load_t;

/** Verdict of the text check. */
typedef enum load_check_t {
	LOAD_CHECK_NONE,
	LOAD_CHECK_OK,
	LOAD_CHECK_WRONG,
} load_check_t;

/** One request with its attempts. */
typedef struct load_request_t {
	load_t *load;
	pr_http_call_t call;
	pr_timer_t timer;
	load_class_id_t class_id;
	uint64_t number;
	char key[LOAD_NAME_BYTES];
	const load_workspace_t *workspace;
	load_session_t *session;
	size_t entry;
	bool stream;
	bool leave;
	uint32_t tokens;
	pr_str_t prompt;
	pr_str_t body;
	pr_str_t path;
	/* State of the running attempt. */
	uint32_t attempt;
	pr_usec_t started;
	pr_usec_t first;
	int64_t wall_ms;
	int status;
	uint64_t bytes;
	pr_str_t input;
	size_t parsed;
	pr_str_t text;
	bool done_seen;
	bool error_event;
	bool sse;
	char version[LOAD_NAME_BYTES];
	char model[LOAD_NAME_BYTES];
	char request_id[LOAD_NAME_BYTES];
	char moved[LOAD_NAME_BYTES];
	char code[LOAD_NAME_BYTES];
	char verdict[32];
} load_request_t;

pr_usec_t load_now(load_t *load);
/** Draw and send one request. */
void load_send(load_t *load);
/** Called when the last attempt of a request ended. */
void load_request_ended(load_t *load);

/** Fill prompt, body and path. @return 0 or PR_ENOMEM */
int load_request_make(load_request_t *request);
/** Send the next attempt. */
void load_request_start(load_request_t *request);

/** Take SSE lines that are whole out of request->input. */
void load_sse_parse(load_request_t *request);
/** Read a whole JSON answer or error from request->input. */
void load_json_parse(load_request_t *request);
/** Compare the text or the ledger's answer with what was asked for. */
load_check_t load_check(const load_request_t *request);

/** Write the line of an ended attempt and count it. */
void load_report_attempt(load_request_t *request, bool whole,
			 const char *error);
/** Print the summary to standard output. */
void load_report_summary(load_t *load);
/** @return quantile of the recorded times, milliseconds; sorts them */
double load_quantile(load_times_t *times, double q);
int load_times_add(load_times_t *times, double value);

#endif
