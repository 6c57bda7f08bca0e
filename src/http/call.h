/**
 * HTTP calls to one service, one at a time on one kept connection.
 */
#ifndef PR_HTTP_CALL_H
#define PR_HTTP_CALL_H

#include "http/link.h"
#include "http/reader.h"
#include "pistachiorack/timer.h"

typedef struct pr_call_t pr_call_t;

/**
 * @param status HTTP status, or 0 when there was no answer: the call may have
 *	  been performed, or may be performed later
 */
typedef void (*pr_call_done_fn)(pr_call_t *call, int status, pr_slice_t body);

struct pr_call_t {
	uv_loop_t *loop;
	pr_timers_t *timers;
	struct sockaddr_in address;
	struct pr_call_link_t *link;
	pr_timer_t timer;
	pr_usec_t timeout;
	/** Time at which the call ends even if the answer is still arriving;
	 *  0 before its first byte. */
	pr_usec_t answer_until;
	pr_call_done_fn done;
	void *owner;
	pr_str_t request;
	bool busy;
	/** Name of the header field that is kept of answers, NULL for none, and
	 *  its value in the last one. */
	const char *field_name;
	pr_str_t field;
	bool has_field;
};

void pr_call_init(pr_call_t *call, uv_loop_t *loop, pr_timers_t *timers,
		  const struct sockaddr_in *address, void *owner);
/** Keep the value of a header field of each answer. @param name must outlive
 * the call */
void pr_call_keep_field(pr_call_t *call, const char *name);
/** @return the kept field of the last answer; ptr NULL when it had none */
pr_slice_t pr_call_field(const pr_call_t *call);
/** Use another address from the next call on. */
void pr_call_set_address(pr_call_t *call, const struct sockaddr_in *address);
/** @return true when a part of the answer has come */
bool pr_call_is_receiving(const pr_call_t *call);
/** Drop the connection; a call under way gets no answer. */
void pr_call_finish(pr_call_t *call);
/** End the call under way without an answer, which its owner hears of. */
void pr_call_abort(pr_call_t *call);
/**
 * Start a call; the earlier one must be done.
 *
 * A connection that does not come up within a second counts as no answer, so
 * that the next call finds a service that has returned meanwhile.
 *
 * Once the first byte of the answer has come, the call goes on while further
 * bytes arrive, for 15 s at most: a long answer over a slow or shared link may
 * take longer than the timeout.
 *
 * @param request whole HTTP request, copied
 * @param timeout longest time until the first byte of the answer, once
 * connected
 */
void pr_call_start(pr_call_t *call, pr_slice_t request, pr_usec_t timeout,
		   pr_call_done_fn done);

#endif
