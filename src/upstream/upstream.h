/**
 * Registry of upstreams: their discovery entries, their load and health as
 * known to this host, and whether they may be used.
 */
#ifndef PR_UPSTREAM_UPSTREAM_H
#define PR_UPSTREAM_UPSTREAM_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "limits/stated_rate.h"
#include "pistachiorack/timer.h"
#include "store/revision.h"
#include "upstream/outcomes.h"

#define PR_UPSTREAM_NAME_SIZE 96
/** Longest time for which an upstream can ask for no requests. An instance that
 *  states nonsense is used again after it. */
#define PR_UPSTREAM_PAUSE_MAX (300 * PR_USEC_PER_SEC)

/** Time in which an upstream that was removed, and that a copy of the store
 *  lists again, gets no requests unless it writes its entry again. Upstreams do
 *  so within 2 s of the return, and changes reach all hosts within 3 s. */
#define PR_UPSTREAM_RENEWAL_TIME (5 * PR_USEC_PER_SEC)

/** Decoded discovery entry of an upstream. */
typedef struct pr_upstream_entry_t {
	char id[PR_UPSTREAM_NAME_SIZE];
	char service[PR_UPSTREAM_NAME_SIZE];
	char zone[PR_UPSTREAM_NAME_SIZE];
	/** Version of the software or model that it runs. */
	char version[PR_UPSTREAM_NAME_SIZE];
	struct sockaddr_in address;
	/** Requests that it processes at the same time. */
	uint32_t slots;
	/** Prompt tokens that its memory holds; 0 when not stated. */
	uint32_t memory_tokens;
	/** It is shutting down and accepts no new requests. */
	bool draining;
	/** Remaining time until it can take full load, milliseconds; 0 when not
	 *  stated. */
	uint32_t cold_ms;
	/** Start time of the instance, Unix milliseconds; 0 when not stated. */
	int64_t born;
	/** Number of the report of the instance that the entry holds; it counts
	 *  from the start of the instance, and numbers of written entries have
	 *  gaps, since a report that changes nothing else is not written. 0
	 * when not stated. */
	uint64_t sequence;
} pr_upstream_entry_t;

/** A listed upstream, reference counted. */
typedef struct pr_upstream_t {
	pr_list_t node;
	uint32_t refs;
	pr_upstream_entry_t entry;
	/** Row version of the entry; that of an older entry after the store
	 *  returned from a copy which holds no newer one. */
	pr_revision_t row;
	/** Revision of its last removal, due or not. */
	pr_revision_t removal;
	/** It is in the registry. */
	bool listed;
	/** It stated in a response that it is shutting down. This holds for as
	 *  long as the instance runs, whatever its entry states. */
	bool leaving;
	/** Time at which it is removed, because its entry expired while the
	 * store was unreachable; 0 for never. */
	pr_usec_t remove_at;
	/** It gets no requests from the first time to the second, since only a
	 *  copy of the store lists it; see pr_registry_apply(). */
	pr_usec_t withheld_from, withheld_until;
	/** End of its cold start, when it can take full load. */
	pr_usec_t cold_until;
	/** Earliest time of this host's next request to it while it is cold. */
	pr_usec_t cold_next_at;
	/** Number of hosts that share its request rate while it is cold; 0
	 * until computed. */
	uint32_t cold_hosts;
	/** This host is not among the hosts that share the rate. */
	bool cold_excludes_self;
	/** Number of known hosts when cold_hosts was computed. */
	size_t cold_roster_count;
	/** Requests of this host in flight. */
	uint32_t in_flight;
	/** Total expected prefill time of this host's requests that have not
	 * got a first event yet, milliseconds. */
	double pending_prefill_ms;
	/** Prompt tokens that this host sent to it; counted only for the choice
	 *  by held prefixes. */
	uint64_t prompt_tokens;
	/** Requests in flight and pending prefill time (milliseconds) of the
	 *  other hosts, as they reported. */
	uint32_t peers_in_flight;
	double peers_prefill_ms;
	/** Requests in flight and pending prefill time (milliseconds) of this
	 *  host, as last reported to the others. */
	uint32_t reported_in_flight;
	double reported_prefill_ms;
	/** Outcomes of requests of this host, of the other hosts as they
	 * reported, and of this host as last reported to the others. */
	pr_outcomes_t outcomes, peers_outcomes, reported_outcomes;
	/** Open connections of this host. */
	uint32_t connections;
	/** Consecutive failures. */
	uint32_t failures;
	/** It is not used until this time, after repeated failures. */
	pr_usec_t ejected_until;
	/** It asked for no requests of this host until this time. */
	pr_usec_t paused_until;
	/** Request rate that it states. */
	pr_stated_rate_t rate;
	/** Connections that break before this time count as part of the last
	 *  crash. */
	pr_usec_t crash_until;
	/** Idle connections; owned by the connection pool. */
	pr_list_t idle;
	/** Hash of id and start time, which identifies it in reports to peers.
	 */
	uint32_t tag;
} pr_upstream_t;

/** Most removed upstreams that are kept. */
#define PR_REGISTRY_REMOVED_MAX 64

/** All listed upstreams. */
typedef struct pr_registry_t {
	pr_list_t upstreams;
	/** Upstreams that were removed last, a ring with NULL for none. An
	 *  entry that lapsed may be renewed; the instance is still the same
	 *  then. */
	pr_upstream_t *removed[PR_REGISTRY_REMOVED_MAX];
	size_t removed_next;
	/** The first full read of discovery is complete: upstreams that appear
	 *  later have just started, those before were running already. */
	bool initial_read_done;
} pr_registry_t;

void pr_registry_init(pr_registry_t *registry);
void pr_registry_finish(pr_registry_t *registry);

/**
 * Add or update an upstream by its discovery entry.
 *
 * An upstream that appears after the first full read has just started. It is
 * treated as cold for the time that its entry states, or else for
 * cold_default_ms.
 *
 * After the store returned from an older copy, its rows come again with
 * revisions of a newer era. The first row of an era counts only if its content
 * is newer than what is known: a later start, or the same start and a later
 * report. If not, it changes nothing but the row version of the upstream.
 * Where the upstream was removed, it is listed again, but gets no requests
 * before a newer row comes, or PR_UPSTREAM_RENEWAL_TIME has passed: then it is
 * alive, and its entry did not have to be written again. The same holds from
 * the time of a removal that is still to come.
 *
 * @param row row version of the entry
 * @param cold_default_ms duration of a cold start of the service, milliseconds
 * @return the upstream, or NULL when out of memory or when the row is not newer
 *	   than what is known
 */
pr_upstream_t *pr_registry_apply(pr_registry_t *registry,
				 const pr_upstream_entry_t *entry,
				 pr_revision_t row, uint32_t cold_default_ms,
				 pr_usec_t now);
/**
 * Remove an upstream after its discovery entry was removed.
 *
 * @param row row version of the removal; ignored when older than the entry, or
 *	  of an older era than what is known of the id
 * @param remove_at time of the removal: now, or later when the entry may have
 *	  expired only because the store was unreachable
 */
void pr_registry_remove(pr_registry_t *registry, const char *id,
			pr_revision_t row, pr_usec_t remove_at, pr_usec_t now);
/** Remove the upstreams whose delayed removal is due. */
void pr_registry_expire(pr_registry_t *registry, pr_usec_t now);
/** @return the listed upstream with the id, or NULL */
pr_upstream_t *pr_registry_find(const pr_registry_t *registry, const char *id);

pr_upstream_t *pr_upstream_ref(pr_upstream_t *upstream);
void pr_upstream_unref(pr_upstream_t *upstream);
/** Record a failed attempt. Repeated failures eject the upstream for a time. */
void pr_upstream_record_failure(pr_upstream_t *upstream, pr_usec_t now);
/** Record a success, which ends an ejection. */
void pr_upstream_record_success(pr_upstream_t *upstream);
/**
 * Record that a connection broke.
 *
 * @return true for the first connection of a crash; false for the others, since
 *	   all connections of an upstream break when it crashes
 */
bool pr_upstream_record_disconnect(pr_upstream_t *upstream, pr_usec_t now);
/**
 * Note that the upstream stated that it is shutting down.
 *
 * @return true for the first time
 */
bool pr_upstream_mark_leaving(pr_upstream_t *upstream);
/** @return true when it is shutting down by its entry or its responses */
bool pr_upstream_is_leaving(const pr_upstream_t *upstream);
/** @return true while only a copy of the store lists it, after it was removed
 */
bool pr_upstream_is_withheld(const pr_upstream_t *upstream, pr_usec_t now);
/**
 * Send the upstream no requests for the time that it asked for, at most
 * PR_UPSTREAM_PAUSE_MAX. A pause that ends later stays as it is.
 *
 * @return true when it was not paused before
 */
bool pr_upstream_pause(pr_upstream_t *upstream, pr_usec_t duration,
		       pr_usec_t now);
/** @return true while it asked for no requests */
bool pr_upstream_is_paused(const pr_upstream_t *upstream, pr_usec_t now);
/** Treat the upstream as cold at least until the time. */
void pr_upstream_mark_cold(pr_upstream_t *upstream, pr_usec_t until);

/**
 * Take a permit for one request to a cold upstream. Each host gets an equal
 * share of the rate and no burst, so that all hosts together stay below the
 * rate.
 *
 * @param rate requests per second that the upstream can take; 0 for unlimited
 * @param hosts number of hosts that may send to it
 * @return false when this host has no permit now
 */
bool pr_upstream_take_cold_permit(pr_upstream_t *upstream, double rate,
				  uint32_t hosts, pr_usec_t now);
/** @return true when this host may take a permit now */
bool pr_upstream_has_cold_permit(const pr_upstream_t *upstream, pr_usec_t now);

#endif
