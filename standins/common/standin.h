/**
 * Frame of the stand-in programs: arguments, HTTP server, fault switch,
 * record of what was seen, graceful stop.
 *
 * A program fills standin_ops_t, parses its arguments with standin_parse()
 * and calls standin_run(). Each request becomes an exchange. The frame answers
 * `POST /control`, `GET /record` and `GET /healthz` itself; all other requests
 * go to handle() after the fault switch has let them in.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <argtable2.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "faults.h"
#include "pistachiorack/http.h"
#include "pistachiorack/timer.h"
#include "record.h"

typedef struct standin_t standin_t;
typedef struct standin_exchange_t standin_exchange_t;

typedef struct standin_ops_t {
	/** A request that the fault switch let in. */
	void (*handle)(standin_exchange_t *exchange, void *data);
	/** The program's own fields of `POST /control`; may be NULL. */
	void (*control)(const json_t *fields, void *data);
	/** Adds the program's own fields to `GET /record`; may be NULL. */
	void (*record)(json_t *out, const standin_exchange_t *exchange,
		       void *data);
	/** Called once the loop and the timers are ready; may be NULL. */
	void (*start)(void *data);
} standin_ops_t;

/** Arguments that all stand-ins share. */
typedef struct standin_options_t {
	const char *address;
	const char *name;
	const char *zone;
	/** JSON object that is applied like `POST /control`; may be NULL. */
	const char *control;
	uint16_t port;
	size_t record_max;
	uint64_t seed;
	/** The process ends after this time, seconds; 0 for never. */
	uint32_t lifetime_s;
} standin_options_t;

struct standin_t {
	uv_loop_t loop;
	pr_timers_t timers;
	standin_faults_t faults;
	standin_record_t record;
	standin_options_t options;
	const standin_ops_t *ops;
	void *data;
	/* Private. */
	pr_http_server_t *server;
	uv_timer_t tick;
	uv_prepare_t prepare;
	uv_timer_t watch;
	uv_signal_t signals[2];
	standin_exchange_t *exchanges;
	pr_timer_t freeze;
	pr_timer_t stop;
	bool stopping;
};

/** One request and its answer. */
struct standin_exchange_t {
	standin_exchange_t *prev, *next;
	standin_t *standin;
	pr_http_request_t *http;
	/** The parsed body; NULL when it is not JSON. */
	json_t *json;
	/** For the program. */
	void *user;
	/**
	 * Called once when the caller left before the answer ended; the
	 * program must forget the exchange.
	 */
	void (*gone)(standin_exchange_t *exchange);
	/* Private. */
	pr_timer_t timer;
	pr_str_t answer;
	int status;
	const char *content_type;
	bool answered;
	bool dead;
	bool lost;
	/** Waits for slow_ms; it runs even when its caller has left. */
	bool waiting;
	standin_fate_t fate;
};

/**
 * Parse the command line: the shared arguments and the program's own.
 *
 * @param extra argtable2 entries of the program, created by the caller
 * @return 0 to go on, 1 when the help text was printed, PR_EINVALID
 */
int standin_parse(standin_options_t *out, int argc, char **argv, void **extra,
		  size_t extra_count);

/** Run until SIGTERM, SIGINT or the lifetime. @return the exit code */
int standin_run(standin_t *standin, const standin_options_t *options,
		const standin_ops_t *ops, void *data);

/** @return now in microseconds; runs no timers, so it is safe anywhere */
pr_usec_t standin_now(const standin_t *standin);
/**
 * Subscribe a timer, counted from now; the timer service's own time is that of
 * the last expiry.
 *
 * @param delay microseconds, and period 0 for one expiry
 */
void standin_after(standin_t *standin, pr_timer_t *timer, pr_usec_t delay,
		   pr_usec_t period, void (*expired)(pr_timer_t *, pr_usec_t));

/** Answer with JSON; takes the reference of json. */
void standin_answer(standin_exchange_t *exchange, int status, json_t *json);
/** Answer with bytes, which are copied. */
void standin_answer_bytes(standin_exchange_t *exchange, int status,
			  const char *content_type, pr_slice_t bytes);
/** Answer `{"error":{"code","message","verdict"}}`. */
void standin_answer_error(standin_exchange_t *exchange, int status,
			  const char *code, const char *verdict);
/** Start an answer of unknown length; ends with standin_stream_end(). */
void standin_stream_start(standin_exchange_t *exchange, int status,
			  const char *content_type);
void standin_stream_write(standin_exchange_t *exchange, pr_slice_t bytes);
void standin_stream_end(standin_exchange_t *exchange, bool complete);
/** Break the connection without an answer. */
void standin_break(standin_exchange_t *exchange);

/** Copy a request header into a buffer, "" when absent or too long. */
void standin_header(standin_exchange_t *exchange, const char *name,
		    char *buffer, size_t size);
/** @return true for this method and path */
bool standin_is(const standin_exchange_t *exchange, const char *method,
		const char *path);
/** @return the number of a query parameter, or fallback */
int64_t standin_query_int(const standin_exchange_t *exchange, const char *name,
			  int64_t fallback);
/** Copy a query parameter (not decoded) into a buffer, "" when absent. */
void standin_query(const standin_exchange_t *exchange, const char *name,
		   char *buffer, size_t size);
/** @return a string field of the body, or fallback */
const char *standin_field(const standin_exchange_t *exchange, const char *name,
			  const char *fallback);

#endif
