/* Choice of the hosts that read the store's change feeds. */
#include "relay/reader.h"

/* Age of the confirmation at which the first relay takes over. The store
 * answers the reading relay every 600 ms, up to 250 ms later when there are
 * changes, and the other relays learn of it from digests, which are sent every
 * 200 ms. */
#define READ_AFTER (1700 * PR_USEC_PER_MSEC)
/* Delay per relay ranked before this one: long enough for a call to the store
 * and the digest about it to keep the next relay from reading as well. */
#define READ_STEP (150 * PR_USEC_PER_MSEC)
#define STEPS_MAX 4
/* Age up to which a relay counts as current; by then another relay has taken
 * over. */
#define CURRENT_MAX (2600 * PR_USEC_PER_MSEC)
/* A host that no relay keeps current reads the feeds itself from this age on,
 * plus up to ALONE_SPREAD so that the hosts do not all call the store at once.
 * Unless an outage excuses a delay, changes have to be in force within bounds
 * of 3 s or more. The store may have confirmed the rows just after a change
 * that its answer did not have yet, and reading takes time. */
#define ALONE_AFTER  (2200 * PR_USEC_PER_MSEC)
#define ALONE_SPREAD (300 * PR_USEC_PER_MSEC)

void pr_reader_confirm(pr_reader_t *reader, pr_usec_t at)
{
	if (at > reader->confirmed_at)
		reader->confirmed_at = at;
}

bool pr_reader_is_current(const pr_reader_t *reader, pr_usec_t now)
{
	return now - reader->confirmed_at < CURRENT_MAX;
}

bool pr_reader_update(pr_reader_t *reader, const pr_reader_view_t *view,
		      pr_usec_t now)
{
	pr_usec_t age = now - reader->confirmed_at;
	uint32_t steps = view->preferred_relays < STEPS_MAX
				 ? view->preferred_relays
				 : STEPS_MAX;

	if (view->is_relay && view->preferred_read_at &&
	    now - view->preferred_read_at < READ_AFTER)
		reader->reading = false;
	else if (view->is_relay)
		reader->reading |= age >= READ_AFTER + steps * READ_STEP;
	else if (reader->reading)
		reader->reading = !view->zone_has_current_relay;
	else
		reader->reading =
			age >=
			ALONE_AFTER + (pr_usec_t)(view->jitter * ALONE_SPREAD);
	return reader->reading;
}
