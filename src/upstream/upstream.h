/**
 * Registry of upstreams: what discovery says of them, what this host knows of
 * their load and health, and whether they may be used.
 */
#ifndef PR_UPSTREAM_UPSTREAM_H
#define PR_UPSTREAM_UPSTREAM_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "pistachiorack/timer.h"
#include "upstream/outcomes.h"

#define PR_UPSTREAM_NAME_SIZE 96

/** Discovery entry, decoded. */
typedef struct pr_upstream_entry_t {
	char id[PR_UPSTREAM_NAME_SIZE];
	char service[PR_UPSTREAM_NAME_SIZE];
	char zone[PR_UPSTREAM_NAME_SIZE];
	/** Version of the software, that roll-outs name. */
	char version[PR_UPSTREAM_NAME_SIZE];
	struct sockaddr_in address;
	uint32_t slots;
	bool draining;
	/** Time until it bears full load, milliseconds. */
	uint32_t cold_ms;
	/** Start of this incarnation, Unix milliseconds; 0 when not stated. */
	int64_t born;
} pr_upstream_entry_t;

typedef struct pr_upstream_t {
	pr_list_t node;
	uint32_t refs;
	pr_upstream_entry_t entry;
	/** Row version of the entry. */
	uint64_t row;
	bool listed;
	/** Entry lapsed while the store was away; decided at this time. */
	pr_usec_t lapse_at;
	pr_usec_t cold_until;
	/** Next time this host may send to it while cold. */
	pr_usec_t cold_next_at;
	/** Hosts that share its rate while cold; 0 when not known yet. */
	uint32_t cold_hosts;
	/** They are other hosts than this one. */
	bool cold_excludes_self;
	/** Hosts that were known when that was found. */
	size_t cold_hosts_roster;
	/** Requests of this host in work. */
	uint32_t in_flight;
	/** Time to read the prompts of this host's requests that have no first
	 *  event, milliseconds. */
	double pending_prefill_ms;
	/** The same, as the other hosts report. */
	uint32_t peers_in_flight;
	double peers_prefill_ms;
	/** What this host last reported of itself. */
	uint32_t reported_in_flight;
	double reported_prefill_ms;
	/** Answers to this host, to the others as they report, and of the first
	 *  what this host last reported. */
	pr_outcomes_t outcomes, peers_outcomes, reported_outcomes;
	/** Open connections of this host. */
	uint32_t connections;
	uint32_t failures;
	pr_usec_t ejected_until;
	/** Broken connections until here belong to one crash. */
	pr_usec_t crash_until;
	/** Idle connections; owned by the connection pool. */
	pr_list_t idle;
	/** Host's seat in reports of load to peers. */
	uint32_t tag;
} pr_upstream_t;

typedef struct pr_registry_t {
	pr_list_t upstreams;
	/** Entries from the first full read belong to running upstreams. */
	bool initial_read_done;
} pr_registry_t;

void pr_registry_init(pr_registry_t *registry);
void pr_registry_finish(pr_registry_t *registry);

/**
 * Apply an entry.
 *
 * An upstream that appears later than the first full read has just started and
 * is treated as cold for cold_default_ms unless its entry says how long.
 *
 * @param cold_default_ms length of a cold start of its service
 * @return the upstream, or NULL without memory or for an outdated row
 */
pr_upstream_t *pr_registry_apply(pr_registry_t *registry,
				 const pr_upstream_entry_t *entry, uint64_t row,
				 uint32_t cold_default_ms, pr_usec_t now);
/**
 * An entry was removed.
 *
 * @param lapse_at time at which the removal takes effect; now at once, later
 *	  when entries may have lapsed while the store was away
 */
void pr_registry_remove(pr_registry_t *registry, const char *id, uint64_t row,
			pr_usec_t lapse_at, pr_usec_t now);
/** Carry out removals that are due. */
void pr_registry_expire(pr_registry_t *registry, pr_usec_t now);
pr_upstream_t *pr_registry_find(const pr_registry_t *registry, const char *id);

pr_upstream_t *pr_upstream_ref(pr_upstream_t *upstream);
void pr_upstream_unref(pr_upstream_t *upstream);
/** Another upstream answers at the address, or nobody. */
void pr_upstream_record_failure(pr_upstream_t *upstream, pr_usec_t now);
void pr_upstream_record_success(pr_upstream_t *upstream);
/**
 * A connection broke.
 *
 * @return false when it belongs to a crash that was reported already: all of an
 *	   upstream's connections break with it
 */
bool pr_upstream_record_disconnect(pr_upstream_t *upstream, pr_usec_t now);
/** Treat as cold, unless it is known to stay cold for longer. */
void pr_upstream_mark_cold(pr_upstream_t *upstream, pr_usec_t until);

/**
 * Take a permit for one request to a cold upstream. All hosts together stay
 * below the rate, since each that sends has its share of it and no burst.
 *
 * @param rate requests a second that it bears
 * @param hosts number of hosts that may send to it
 */
bool pr_upstream_take_cold_permit(pr_upstream_t *upstream, double rate,
				  uint32_t hosts, pr_usec_t now);
/** As above without taking it. */
bool pr_upstream_has_cold_permit(const pr_upstream_t *upstream, pr_usec_t now);

#endif
