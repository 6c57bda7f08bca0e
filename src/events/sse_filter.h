/**
 * Cuts a stream of server-sent events into whole events and keeps the id of
 * the last one passed on, so that a broken stream can be resumed behind it.
 */
#ifndef PR_EVENTS_SSE_FILTER_H
#define PR_EVENTS_SSE_FILTER_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"

/** Longest event in bytes; a longer one is not of this protocol. */
#define PR_SSE_FILTER_EVENT_MAX ((size_t)256 * 1024)

typedef struct pr_sse_filter_t {
	/** Bytes of an event that is not complete. */
	pr_str_t partial;
	/** Position from which the end of the event is looked for. */
	size_t scanned;
	uint64_t last_id;
	bool has_id;
	uint64_t passed;
	/** Those of them with a number. */
	uint64_t numbered;
} pr_sse_filter_t;

void pr_sse_filter_init(pr_sse_filter_t *events);
void pr_sse_filter_finish(pr_sse_filter_t *events);
/** A new run goes on: drop the partial event of the one before. */
void pr_sse_filter_restart(pr_sse_filter_t *events);
/**
 * Take bytes; whole events that were not passed on before are appended to out.
 *
 * @return 0, PR_EPARSE for a gap in the ids or an event that is too long, or
 *	   PR_ENOMEM
 */
int pr_sse_filter_feed(pr_sse_filter_t *events, pr_slice_t bytes,
		       pr_str_t *out);
/** @return true when the stream ended between two events */
bool pr_sse_filter_complete(const pr_sse_filter_t *events);

#endif
