/**
 * HTTP server and client on h2o and libuv, reduced to what the programs of
 * this project need. Both run on the loop that they are given, on its thread.
 */
#ifndef PISTACHIORACK_HTTP_H
#define PISTACHIORACK_HTTP_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "pistachiorack/str.h"
#include "pistachiorack/verdict.h"

typedef struct pr_http_server_t pr_http_server_t;
typedef struct pr_http_request_t pr_http_request_t;
typedef struct pr_http_client_t pr_http_client_t;
typedef struct pr_http_target_t pr_http_target_t;
typedef struct pr_http_call_t pr_http_call_t;

/** One header; names are lower case. */
typedef struct pr_http_header_t {
	pr_slice_t name;
	pr_slice_t value;
} pr_http_header_t;

/* Server */

typedef struct pr_http_server_options_t {
	unsigned int version;
	/** IPv4 address and TCP port to listen on. */
	const char *address;
	uint16_t port;
	/** PEM files; NULL for plain HTTP. */
	const char *certificate_file;
	const char *key_file;
	/** Largest request body in bytes; beyond it the caller gets 413. */
	size_t body_max;
	/** Open connections; further ones are closed at once. */
	size_t connections_max;
	/** Time for a whole request to arrive, milliseconds. */
	uint64_t request_timeout_ms;
	/** Called for each request, on the loop's thread. */
	void (*on_request)(pr_http_request_t *request, void *data);
	void *data;
} pr_http_server_options_t;

#define PR_HTTP_SERVER_OPTIONS_VERSION 1
#define PR_HTTP_SERVER_OPTIONS_INIT                                            \
	{                                                                      \
		.version = PR_HTTP_SERVER_OPTIONS_VERSION,                     \
		.body_max = 1 << 20, .connections_max = 20000,                 \
		.request_timeout_ms = 10000,                                   \
	}

/**
 * Start listening.
 *
 * @param out the server, owned by the caller; free with pr_http_server_close()
 * @return 0, PR_EINVALID (options, certificate), PR_EIO (bind), PR_ENOMEM
 */
int pr_http_server_open(pr_http_server_t **out, uv_loop_t *loop,
			const pr_http_server_options_t *options);
/** Stop accepting and ask open connections to close after their answer. */
void pr_http_server_drain(pr_http_server_t *server);
/**
 * After a drain, when no request is in work: end the idle connections.
 *
 * @return false, and nothing is done, while a request may be on its way
 */
bool pr_http_server_end(pr_http_server_t *server);
/** @return connections that are open now */
size_t pr_http_server_connections(const pr_http_server_t *server);
/** Close the listener and free the server; the loop must not run again. */
void pr_http_server_close(pr_http_server_t *server);

/** What the handler sees; slices live as long as the request. */
struct pr_http_request_t {
	pr_slice_t method;
	/** Path without the query. */
	pr_slice_t path;
	/** Without the question mark; empty when there is none. */
	pr_slice_t query;
	pr_slice_t body;
	/** For the handler. */
	void *user;
	/**
	 * Called once when the request ends: the answer was written whole, or
	 * the caller left. The request must not be used afterwards.
	 */
	void (*on_end)(pr_http_request_t *request, bool complete);
	/** Called when buffered output fell below the low mark. */
	void (*on_drain)(pr_http_request_t *request);
};

/** @return the value, or an empty slice with ptr NULL */
pr_slice_t pr_http_request_header(const pr_http_request_t *request,
				  const char *name);
/** Add a header to the answer; call before the answer starts. */
void pr_http_answer_header(pr_http_request_t *request, const char *name,
			   pr_slice_t value);
/** Send a whole answer; content_type may be NULL. The body is copied. */
void pr_http_answer(pr_http_request_t *request, int status,
		    const char *content_type, pr_slice_t body);
/** Start an answer of unknown length. */
void pr_http_stream_start(pr_http_request_t *request, int status,
			  const char *content_type);
/** Queue bytes; they are copied. */
void pr_http_stream_write(pr_http_request_t *request, pr_slice_t bytes);
/**
 * End the answer.
 *
 * @param complete false breaks the connection, so that the caller cannot take
 *		   the answer for a whole one
 */
void pr_http_stream_end(pr_http_request_t *request, bool complete);
/**
 * Break the connection. When the answer has not started, the caller sees none
 * of it, not even a status line.
 */
void pr_http_request_break(pr_http_request_t *request);
/** @return bytes that are queued and not yet handed to the socket */
size_t pr_http_stream_pending(const pr_http_request_t *request);
/**
 * @return true when the caller has closed its side. h2o does not read while a
 *	   handler waits, so callers that leave must be looked for.
 */
bool pr_http_request_caller_gone(const pr_http_request_t *request);

/* Client */

/** @return 0 or PR_ENOMEM */
int pr_http_client_open(pr_http_client_t **out, uv_loop_t *loop,
			uint64_t io_timeout_ms);
/** All calls must have ended and all targets be closed. */
void pr_http_client_close(pr_http_client_t *client);

/**
 * A server address with its pool of kept-alive connections.
 *
 * @param connections_max idle connections kept
 * @return 0, PR_EINVALID (address) or PR_ENOMEM
 */
int pr_http_target_open(pr_http_target_t **out, pr_http_client_t *client,
			const char *address, uint16_t port,
			size_t connections_max);
void pr_http_target_close(pr_http_target_t *target);

typedef struct pr_http_call_ops_t {
	/** The answer's status and headers; valid during the call only. */
	void (*head)(pr_http_call_t *call, int status,
		     const pr_http_header_t *headers, size_t count);
	/** Part of the body; valid during the call only. */
	void (*body)(pr_http_call_t *call, pr_slice_t bytes);
	/**
	 * The call ended; called once, unless it was cancelled. The memory of
	 * the call may be reused from here on.
	 *
	 * @param stage PR_STAGE_DONE for a whole answer by the framing of
	 *		HTTP, else the last stage that was reached
	 * @param error NULL or a short reason
	 */
	void (*done)(pr_http_call_t *call, pr_attempt_stage_t stage,
		     const char *error);
	/**
	 * A call that was cancelled inside one of its callbacks has ended; its
	 * memory may be reused. May be NULL.
	 */
	void (*released)(pr_http_call_t *call);
} pr_http_call_ops_t;

/** One call; memory is the caller's, zeroed before pr_http_call_start(). */
struct pr_http_call_t {
	const pr_http_call_ops_t *ops;
	void *data;
	/* Private. */
	struct st_h2o_http1client_t *client;
	void *connect_buffer;
	pr_str_t request;
	pr_attempt_stage_t stage;
	/** The answer stated its length. */
	bool has_length;
	bool paused;
	bool in_callback;
	bool cancelled;
	void (*read_callback)(void);
};

/**
 * Send a request. Exactly one done() follows, unless it is cancelled.
 *
 * @param method for example "POST"
 * @param path path with query
 * @param headers extra headers; host and content-length are added
 * @return 0 or PR_ENOMEM; on error done() is not called
 */
int pr_http_call_start(pr_http_call_t *call, pr_http_client_t *client,
		       pr_http_target_t *target, const char *method,
		       pr_slice_t path, const pr_http_header_t *headers,
		       size_t header_count, pr_slice_t body);
/**
 * Break the call; done() is not called. Safe inside its callbacks.
 *
 * @return true when the call has ended; false when it ends after the callback
 *	   that is running, with released()
 */
bool pr_http_call_cancel(pr_http_call_t *call);
/** Stop or continue reading the answer, for flow control. */
void pr_http_call_pause(pr_http_call_t *call, bool pause);

#endif
