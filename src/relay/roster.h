/**
 * Hosts of the fleet, and which of them are relays.
 *
 * Each availability zone has a few relays: hosts that read the store and gather
 * what the others report. A host reports to the relays of its own zone only, so
 * that what it sends and receives does not grow with the number of hosts. Every
 * host ranks the hosts of a zone in the same way and takes the first that
 * answer, so relays need neither an election nor a lease; more of them than
 * wanted do no harm.
 */
#ifndef PR_RELAY_ROSTER_H
#define PR_RELAY_ROSTER_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pistachiorack/str.h"
#include "pistachiorack/timer.h"

#define PR_ROSTER_NAME_SIZE 96
/** Hosts that are kept. */
#define PR_ROSTER_MAX 2048
/** Relays that a zone wants, so that one may fail unnoticed. */
#define PR_RELAYS_WANTED 2
/** Relays that a host reports to at most, those included that it tries. */
#define PR_RELAYS_MAX 4

struct pr_host_report_t;

typedef struct pr_host_t {
	char name[PR_ROSTER_NAME_SIZE];
	char zone[PR_ROSTER_NAME_SIZE];
	struct sockaddr_in address;
	/** Part of a core that it has, per cent. */
	uint32_t capacity;
	/** Position among the hosts with the same capacity. */
	uint64_t hash;
	/** Last digest from it as a relay; 0 for none. */
	pr_usec_t heard_at;
	/** It was current with the store. */
	bool current;
	/** It reads the feeds itself, and the store answered it last at this
	 *  time; 0 for a relay that does not. */
	pr_usec_t store_read_at;
	/** First report to it that it has not answered; 0 for none. */
	pr_usec_t tried_at;
	/** Its last report to this host; 0 for none. */
	pr_usec_t reported_at;
	/** What it reported, NULL before the first time. Owned. */
	struct pr_host_report_t *report;
} pr_host_t;

/** Zeroed before first use. */
typedef struct pr_roster_t {
	/** By zone, then as relays are chosen. Owned. */
	pr_host_t **hosts;
	size_t count;
	/** Open addressing by name; PR_ROSTER_MAX hosts fill half of it. */
	pr_host_t **seats;
	/** Name of this host. */
	const char *self;
} pr_roster_t;

/** @param self name of this host; must outlive the roster */
int pr_roster_init(pr_roster_t *roster, const char *self);
void pr_roster_finish(pr_roster_t *roster);

/**
 * Add a host or change what is known of it.
 *
 * @return the host, or NULL without memory, beyond PR_ROSTER_MAX, or for a name
 *	   that is too long
 */
pr_host_t *pr_roster_upsert(pr_roster_t *roster, pr_slice_t name,
			    pr_slice_t zone, uint32_t capacity,
			    const struct sockaddr_in *address);
/** @return the host, or NULL for an unknown one */
pr_host_t *pr_roster_find(const pr_roster_t *roster, pr_slice_t name);
bool pr_roster_is_self(const pr_roster_t *roster, const pr_host_t *host);

/**
 * A digest came from a relay.
 *
 * @param fed it is current with the store
 * @param store_read_at the store answered it last, when it reads the feeds
 * itself; or
 * 0
 */
void pr_roster_note_digest(pr_host_t *relay, bool current,
			   pr_usec_t store_read_at, pr_usec_t now);
/** A report came from a host of this zone. */
void pr_roster_note_report(pr_host_t *host, pr_usec_t now);

/**
 * Relays of a zone to report to: those that answer and, until they have had
 *time to answer, those that would come before them.
 *
 * @param fed this host is current with the store
 * @return number of entries in out, at most PR_RELAYS_MAX; this host may be
 *	   among them
 */
size_t pr_roster_select_relays(pr_roster_t *roster, const char *zone,
			       bool current, pr_usec_t now,
			       pr_host_t *out[PR_RELAYS_MAX]);
/** @return true when a host counts on this one as a relay */
bool pr_roster_is_follower(const pr_host_t *host, pr_usec_t now);
/** @return true when a digest of the relay came lately */
bool pr_roster_is_responsive(const pr_host_t *relay, pr_usec_t now);
/**
 * Hosts of some zones that a subject falls to, by rendezvous hashing: the same
 * on every host that knows the same hosts.
 *
 * @param wanted number of hosts that it falls to
 * @param count set to their number, fewer where there are fewer hosts
 * @return true when this host is one of them
 */
bool pr_roster_is_assigned(const pr_roster_t *roster, const char *const *zones,
			   size_t zones_count, uint64_t subject,
			   uint32_t wanted, uint32_t *count);
/** @return number of hosts before this one in an order for a subject */
uint32_t pr_roster_rank(const pr_roster_t *roster, uint64_t subject);

#endif
