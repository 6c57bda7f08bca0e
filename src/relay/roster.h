/**
 * Roster of the fleet's hosts, and the selection of relays among them.
 *
 * Each availability zone has a few relays: hosts that read the store and
 * aggregate the reports of the others. A relay sends its aggregate and the
 * state of its tables to other hosts in a digest. A host reports to the relays
 * of its own zone only, so its control traffic does not grow with the number of
 * hosts. Every host ranks the hosts of a zone in the same way and uses the
 * first responsive ones as relays, so no election or lease is needed. Hosts may
 * disagree for a while: more relays than wanted do no harm.
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
/** Most hosts in a roster. */
#define PR_ROSTER_MAX 2048
/** Relays wanted per zone, so that one may fail without effect. */
#define PR_RELAYS_WANTED 2
/** Most relays that a host reports to, including those on trial. */
#define PR_RELAYS_MAX 4

struct pr_host_report_t;

typedef struct pr_host_t {
	char name[PR_ROSTER_NAME_SIZE];
	char zone[PR_ROSTER_NAME_SIZE];
	struct sockaddr_in address;
	/** Share of a CPU core that the host has, in percent. */
	uint32_t capacity;
	/** Ranks hosts of the same zone and capacity. */
	uint64_t hash;
	/** Time of the last digest received from this relay; 0 for none. */
	pr_usec_t digest_at;
	/** The last digest said that the relay is current with the store. */
	bool current;
	/** Time of the store's last response to this relay; 0 when the relay
	 *  does not read the feeds itself. */
	pr_usec_t store_read_at;
	/** Start of the latest trial of this host as a relay; 0 once it sent a
	 *  digest. */
	pr_usec_t trial_at;
	/** Time of the last report from the host to this one; 0 for none. */
	pr_usec_t reported_at;
	/** Content of the last reports, NULL before the first one. Owned. */
	struct pr_host_report_t *report;
} pr_host_t;

/** Zeroed before first use. */
typedef struct pr_roster_t {
	/** Sorted by zone, then in the order of preference as relays. Owned. */
	pr_host_t **hosts;
	size_t count;
	/** Hash table by name with open addressing; PR_ROSTER_MAX hosts fill
	 *  half of it. */
	pr_host_t **slots;
	/** Name of this host. */
	const char *self;
} pr_roster_t;

/**
 * @param self name of this host; must outlive the roster
 * @return 0, or -1 without memory
 */
int pr_roster_init(pr_roster_t *roster, const char *self);
void pr_roster_finish(pr_roster_t *roster);

/**
 * Add a host, or update its zone, capacity and address.
 *
 * @param capacity share of a CPU core, in percent
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
 * Note a digest that came from a relay.
 *
 * @param current the relay is current with the store
 * @param store_read_at time of the store's last response to the relay; 0 when
 *	  the relay does not read the feeds itself
 */
void pr_roster_note_digest(pr_host_t *relay, bool current,
			   pr_usec_t store_read_at, pr_usec_t now);
/** Note a report that came from a host of this zone. */
void pr_roster_note_report(pr_host_t *host, pr_usec_t now);

/**
 * Select the relays of a zone: the first responsive hosts and, during their
 * trial, the hosts that rank before them but sent no digest lately. Starts
 * trials.
 *
 * @param current this host is current with the store
 * @return number of entries in out, at most PR_RELAYS_MAX; this host may be
 *	   among them
 */
size_t pr_roster_select_relays(pr_roster_t *roster, const char *zone,
			       bool current, pr_usec_t now,
			       pr_host_t *out[PR_RELAYS_MAX]);
/** @return true while a host reports to this host as its relay */
bool pr_roster_is_follower(const pr_host_t *host, pr_usec_t now);
/** @return true when a digest of the relay came within the last second */
bool pr_roster_is_responsive(const pr_host_t *relay, pr_usec_t now);
/**
 * Assign a subject to hosts of some zones by rendezvous hashing. All hosts with
 * the same roster compute the same assignment.
 *
 * @param subject hash of what is assigned
 * @param wanted number of hosts to assign it to
 * @param count set to the number of assigned hosts, which is below wanted when
 *	  the zones have fewer hosts
 * @return true when this host is assigned
 */
bool pr_roster_is_assigned(const pr_roster_t *roster, const char *const *zones,
			   size_t zones_count, uint64_t subject,
			   uint32_t wanted, uint32_t *count);
/** @return rank of this host for a subject by rendezvous hashing, from 0 */
uint32_t pr_roster_rank(const pr_roster_t *roster, uint64_t subject);

#endif
