/**
 * Whether a host reads the store's feeds by itself.
 *
 * One relay of a region reads and passes rows on. A host is current as of the
 * last moment at which the store confirmed what it has, to itself or to a relay
 * that has no newer rows; relays tell each other and their hosts how long ago
 * that was. A relay takes over reading when that time grows, one after the
 * other; a host that no relay keeps current reads for itself.
 */
#ifndef PR_RELAY_READER_H
#define PR_RELAY_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/timer.h"

/** Zeroed before first use. */
typedef struct pr_reader_t {
	/** The store confirmed what this host has. */
	pr_usec_t confirmed_at;
	bool reading;
} pr_reader_t;

/** What a host sees of the others. */
typedef struct pr_reader_view_t {
	bool is_relay;
	/** Last answer of the store to a relay of the region that reads and
	 *  comes before this one; 0 where none does. */
	pr_usec_t preferred_read_at;
	/** Relays of the region that answer and come before this one. */
	uint32_t preferred_relays;
	/** A relay of this zone is current. */
	bool zone_has_current_relay;
	/** Evenly spread over the hosts, 0 to 1. */
	double jitter;
} pr_reader_view_t;

/** The store, or a relay that is not ahead, confirms as of a time. */
void pr_reader_confirm(pr_reader_t *reader, pr_usec_t at);
/** @return true while the host is current enough to feed others */
bool pr_reader_is_current(const pr_reader_t *reader, pr_usec_t now);
/** Decide anew. @return reader->reading */
bool pr_reader_update(pr_reader_t *reader, const pr_reader_view_t *view,
		      pr_usec_t now);

#endif
