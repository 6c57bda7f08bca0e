/**
 * Decides whether a host reads the store's change feeds itself.
 *
 * Normally one relay of a region reads the feeds and passes the rows on. The
 * store confirms a host's rows when it answers the host, or a relay that has no
 * newer rows, that there is nothing new. Relays announce the age of their last
 * confirmation to each other and to their hosts. When that age grows, the
 * relays take over reading one after the other, in an order that all hosts
 * compute alike. A host that no relay keeps current reads the feeds itself.
 */
#ifndef PR_RELAY_READER_H
#define PR_RELAY_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/timer.h"

/** Zeroed before first use. */
typedef struct pr_reader_t {
	/** Last time at which the store confirmed this host's rows. */
	pr_usec_t confirmed_at;
	/** This host reads the feeds itself. */
	bool reading;
} pr_reader_t;

/** State of the other hosts as this host knows it. */
typedef struct pr_reader_view_t {
	bool is_relay;
	/** Last answer of the store to a relay of the region that reads the
	 *  feeds and is ranked before this host; 0 when there is none. */
	pr_usec_t preferred_read_at;
	/** Responsive relays of the region that are ranked before this host. */
	uint32_t preferred_relays;
	/** A responsive relay of this zone is current with the store. */
	bool zone_has_current_relay;
	/** Fixed value per host from 0 to 1, evenly distributed over the hosts;
	 *  spreads the start of reading. */
	double jitter;
} pr_reader_view_t;

/** Note that the store confirmed this host's rows at a time, directly or
 * through a relay that has no newer rows. */
void pr_reader_confirm(pr_reader_t *reader, pr_usec_t at);
/** @return true while the last confirmation is recent enough for this host to
 *	   pass rows on to others */
bool pr_reader_is_current(const pr_reader_t *reader, pr_usec_t now);
/** Update reader->reading from the view. @return its new value */
bool pr_reader_update(pr_reader_t *reader, const pr_reader_view_t *view,
		      pr_usec_t now);

#endif
