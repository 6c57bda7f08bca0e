/**
 * Structured lines on standard output: `event=... key=value ...`.
 *
 * Lines are gathered and written once per turn of the event loop without
 * blocking. A rate bounds them; lines beyond it are counted, and the count is
 * logged as soon as there is room again.
 */
#ifndef PR_BASE_EVENT_LOG_H
#define PR_BASE_EVENT_LOG_H

#include "pistachiorack/timer.h"

/** @param host name of this host, in every line; must outlive the log */
void pr_event_log_init(const char *host);
/** Write what is gathered, for the end of the program. */
void pr_event_log_finish(void);
/** Refill the bound; call once per turn. */
void pr_event_log_tick(pr_usec_t now);
/** Hand gathered lines to the kernel, as far as it takes them. */
void pr_event_log_flush(void);
/** A line for a decision; subject to the bound. */
void pr_event(const char *event, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/** A line for a change of state, which the bound on requests spares. */
void pr_event_state(const char *event, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/** @return lines that were dropped so far */
unsigned long pr_event_log_dropped(void);

#endif
