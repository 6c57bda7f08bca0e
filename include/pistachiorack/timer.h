/**
 * Timer service: parts subscribe to periodic or one-shot expiry.
 *
 * The service owns no clock. The daemon advances it from a libuv timer, tests
 * advance it by hand, so the same code runs in virtual time.
 */
#ifndef PISTACHIORACK_TIMER_H
#define PISTACHIORACK_TIMER_H

#include <stdint.h>

/** Microseconds on a monotonic clock of the caller's choice. */
typedef int64_t pr_usec_t;

#define PR_USEC_PER_MSEC ((pr_usec_t)1000)
#define PR_USEC_PER_SEC  ((pr_usec_t)1000000)
#define PR_USEC_NEVER    INT64_MAX

/** One subscription; the memory is the subscriber's. */
typedef struct pr_timer_t {
	struct pr_timer_t *prev, *next;
	pr_usec_t due;
	/** 0 for a one-shot timer. */
	pr_usec_t period;
	void (*expired)(struct pr_timer_t *timer, pr_usec_t now);
	void *data;
} pr_timer_t;

/** The service: a list sorted by due time. */
typedef struct pr_timers_t {
	pr_timer_t head;
	pr_usec_t now;
} pr_timers_t;

void pr_timers_init(pr_timers_t *timers, pr_usec_t now);
/** Unsubscribe everything that is left. */
void pr_timers_finish(pr_timers_t *timers);

/**
 * Subscribe. A timer that is already subscribed is moved.
 *
 * @param timer caller-owned, zeroed before first use; data is left as it is
 * @param delay microseconds until the first expiry, measured from timers->now
 * @param period microseconds between expiries, 0 for one expiry
 */
void pr_timers_subscribe(pr_timers_t *timers, pr_timer_t *timer,
			 pr_usec_t delay, pr_usec_t period,
			 void (*expired)(pr_timer_t *, pr_usec_t));
void pr_timers_unsubscribe(pr_timers_t *timers, pr_timer_t *timer);

/** Move the service's time forward and run what is due, in due order. */
void pr_timers_advance(pr_timers_t *timers, pr_usec_t now);
/** @return due time of the next expiry, or PR_USEC_NEVER */
pr_usec_t pr_timers_next(const pr_timers_t *timers);

#endif
