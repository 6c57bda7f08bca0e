/**
 * Filter for a stream of server-sent events (SSE). It passes on only complete
 * events and keeps the id of the last one, so that a stream that breaks off can
 * be resumed after that event. Events that a resumed stream repeats are
 * dropped.
 */
#ifndef PR_EVENTS_SSE_FILTER_H
#define PR_EVENTS_SSE_FILTER_H

#include <stdbool.h>
#include <stdint.h>

#include "events/event_id.h"
#include "pistachiorack/str.h"

/** Longest event in bytes; a longer one violates the protocol of upstreams. */
#define PR_SSE_FILTER_EVENT_MAX ((size_t)256 * 1024)

typedef struct pr_sse_filter_t {
	/** Bytes received of an event that is not complete yet. */
	pr_str_t partial;
	/** Offset in partial from which to search for the end of the event. */
	size_t scanned;
	/** Id of the last event with an id; valid when has_id is set. */
	pr_event_id_t last_id;
	bool has_id;
	/** Step between the ids so far, the first of which counts from 0; 0
	 * when they differ. Number of steps. */
	pr_event_id_t step;
	uint64_t steps;
	/** The stream broke off after an event with an id, and the current
	 *  attempt has sent no event after that one yet. */
	bool resuming;
	/** While resuming: the attempt repeats events from before. */
	bool repeating;
	/** Id of the last event that was repeated; valid with repeating. */
	pr_event_id_t repeated_id;
	/** Number of events with data and without an id that were passed on
	 * behind the last event, and that were repeated behind repeated_id. */
	uint64_t unnumbered, repeated_unnumbered;
	/** Number of events passed on. */
	uint64_t passed;
	/** Number of events passed on that had a numeric id. */
	uint64_t numbered;
} pr_sse_filter_t;

void pr_sse_filter_init(pr_sse_filter_t *filter);
void pr_sse_filter_finish(pr_sse_filter_t *filter);
/**
 * State the last event that a caller received elsewhere, before the first
 * bytes. Text that is no id is ignored.
 */
void pr_sse_filter_resume_after(pr_sse_filter_t *filter, pr_slice_t last_id);
/**
 * Prepare for the stream of another attempt, which continues or repeats the
 * events of the previous one: drop the partial event and keep the last id.
 */
void pr_sse_filter_restart(pr_sse_filter_t *filter);
/**
 * Process the next bytes of the stream. Complete events are appended to out
 * unchanged; an event with an id up to the last id is dropped. On an error, out
 * has the events before the invalid one.
 *
 * Ids are numbers that increase; the steps may have any width. Any other text,
 * and a number of more than PR_EVENT_ID_DIGITS_MAX digits, counts as no id.
 *
 * @return 0; PR_EPARSE when a resumed stream does not continue the one before,
 *	   or an event is longer than PR_SSE_FILTER_EVENT_MAX; PR_ENOMEM
 */
int pr_sse_filter_feed(pr_sse_filter_t *filter, pr_slice_t bytes,
		       pr_str_t *out);
/** @return true when no partial event is pending */
bool pr_sse_filter_complete(const pr_sse_filter_t *filter);

#endif
