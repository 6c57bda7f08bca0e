/**
 * Client of the platform's services: JSON calls with a deadline.
 */
#ifndef PISTACHIORACK_PLATFORM_H
#define PISTACHIORACK_PLATFORM_H

#include "pistachiorack/http.h"
#include "pistachiorack/timer.h"

typedef struct pr_platform_t pr_platform_t;

/** What is known about a call that ended. */
typedef enum pr_platform_outcome_t {
	/** The platform answered; see the status. */
	PR_PLATFORM_ANSWERED,
	/** The call surely had no effect: it was not sent, or was refused. */
	PR_PLATFORM_NOT_APPLIED,
	/** The call may have had its effect; the answer was lost. */
	PR_PLATFORM_UNKNOWN,
} pr_platform_outcome_t;

/**
 * @param status HTTP status, 0 when there was no answer
 * @param body answer body, valid during the call
 */
typedef void (*pr_platform_cb)(void *data, pr_platform_outcome_t outcome,
			       int status, pr_slice_t body);

/** @return 0, PR_EINVALID or PR_ENOMEM */
int pr_platform_open(pr_platform_t **out, pr_http_client_t *client,
		     pr_timers_t *timers, const char *address, uint16_t port);
/** Cancel what is under way, without callbacks, and free. */
void pr_platform_close(pr_platform_t *platform);

/**
 * Make a call; exactly one callback follows, also after a timeout, and never
 * before the function returns.
 *
 * @param path path with query
 * @param body JSON text, or an empty slice
 * @param timeout microseconds until the outcome is given as unknown
 * @return 0, PR_EFULL (too many calls under way) or PR_ENOMEM; then no
 *	   callback follows
 */
int pr_platform_call(pr_platform_t *platform, const char *method,
		     pr_slice_t path, pr_slice_t body, pr_usec_t timeout,
		     pr_platform_cb callback, void *data);
/**
 * As pr_platform_call(), for data that belongs to the call.
 *
 * @param drop called in place of the callback when the client is closed first
 */
int pr_platform_call_owned(pr_platform_t *platform, const char *method,
			   pr_slice_t path, pr_slice_t body, pr_usec_t timeout,
			   pr_platform_cb callback, void (*drop)(void *data),
			   void *data);

/** @return the timer service of the client's owner */
pr_timers_t *pr_platform_timers(pr_platform_t *platform);

#endif
