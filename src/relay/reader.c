/* Who reads the store's feeds. */
#include "relay/reader.h"

/* The store answers the reading relay every 600 ms, and later by 250 ms when
 * there are changes; a relay has that from digests every 200 ms. */
#define READ_AFTER (1700 * PR_USEC_PER_MSEC)
/* Relays take over one after the other, so that one call to the store and its
 * digest can keep the next from it. */
#define READ_STEP (150 * PR_USEC_PER_MSEC)
#define STEPS_MAX 4
/* Age up to which a relay feeds others: by then another one has taken over. */
#define CURRENT_MAX (2600 * PR_USEC_PER_MSEC)
/* A host that no relay feeds reads by itself from this age on, and some later,
 * so that the hosts do not all ask at once. Changes have to be in force after
 * 3 s or more where an outage does not excuse a delay. */
#define ALONE_AFTER  (2700 * PR_USEC_PER_MSEC)
#define ALONE_SPREAD (500 * PR_USEC_PER_MSEC)

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
