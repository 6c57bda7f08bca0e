/*
 * Timer service on a sorted list. Subscriptions are few (tens per host) and
 * mostly periodic, so insertion from the tail is cheaper than a heap.
 */
#include "pistachiorack/timer.h"

#include <stddef.h>

void pr_timers_init(pr_timers_t *timers, pr_usec_t now)
{
	timers->head.next = &timers->head;
	timers->head.prev = &timers->head;
	timers->now = now;
}

void pr_timers_finish(pr_timers_t *timers)
{
	while (timers->head.next != &timers->head)
		pr_timers_unsubscribe(timers, timers->head.next);
}

void pr_timers_unsubscribe(pr_timers_t *timers, pr_timer_t *timer)
{
	if (!timer->next)
		return;
	timer->next->prev = timer->prev;
	timer->prev->next = timer->next;
	timer->next = NULL;
	timer->prev = NULL;
}

static void insert(pr_timers_t *timers, pr_timer_t *timer)
{
	pr_timer_t *before = timers->head.prev;

	while (before != &timers->head && before->due > timer->due)
		before = before->prev;
	timer->prev = before;
	timer->next = before->next;
	before->next->prev = timer;
	before->next = timer;
}

void pr_timers_subscribe(pr_timers_t *timers, pr_timer_t *timer,
			 pr_usec_t delay, pr_usec_t period,
			 void (*expired)(pr_timer_t *, pr_usec_t))
{
	pr_timers_unsubscribe(timers, timer);
	timer->due = timers->now + delay;
	timer->period = period;
	timer->expired = expired;
	insert(timers, timer);
}

void pr_timers_advance(pr_timers_t *timers, pr_usec_t now)
{
	if (now > timers->now)
		timers->now = now;
	for (;;) {
		pr_timer_t *timer = timers->head.next;

		if (timer == &timers->head || timer->due > timers->now)
			return;
		pr_timers_unsubscribe(timers, timer);
		if (timer->period) {
			/* Missed periods are skipped, not replayed. */
			timer->due += timer->period;
			if (timer->due <= timers->now)
				timer->due = timers->now + timer->period;
			insert(timers, timer);
		}
		timer->expired(timer, timers->now);
	}
}

pr_usec_t pr_timers_next(const pr_timers_t *timers)
{
	if (timers->head.next == &timers->head)
		return PR_USEC_NEVER;
	return timers->head.next->due;
}
