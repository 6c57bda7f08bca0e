/**
 * Load balancer: chooses the upstream for each attempt of a request.
 *
 * Each host keeps connections to a stable subset of the upstreams of a model
 * (as Finagle's aperture does) and sends an attempt to the upstream with the
 * lowest expected first-token time among a few candidates (as in Prequal and
 * power of d choices). An upstream that fails repeatedly is ejected for a time
 * that grows exponentially (as in Envoy's outlier detection). An upstream that
 * starts or returns is cold: the requests that it may have in flight are
 * limited and rise to its capacity in a ramp (as in Envoy's slow start). Memory
 * is bounded by the size of the configuration.
 */
#ifndef PISTACHIORACK_BALANCE_H
#define PISTACHIORACK_BALANCE_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/config.h"
#include "pistachiorack/rand.h"
#include "pistachiorack/timer.h"
#include "pistachiorack/verdict.h"

typedef enum pr_balance_policy_t {
	/** Lowest expected first-token time of a few candidates. */
	PR_BALANCE_EXPECTED_TIME,
	/* The following policies only serve comparison runs. */
	PR_BALANCE_ROUND_ROBIN,
	PR_BALANCE_LEAST_REQUESTS,
	PR_BALANCE_TWO_RANDOM,
} pr_balance_policy_t;

typedef struct pr_balance_options_t {
	unsigned int version;
	pr_balance_policy_t policy;
	/** Name and availability zone of this host. */
	const char *host;
	const char *zone;
	/** Size of the subset: upstreams per model to keep connections to, in
	 * this region and in other ones. */
	unsigned int subset_local;
	unsigned int subset_remote;
	/** Upstreams that a choice compares, drawn at random. */
	unsigned int candidates;
	/** Mechanisms that tests and comparison runs switch off. */
	bool ramp;
	bool ejection;
	bool affinity;
	/** How long the limit of a cold upstream stays at cold_slots, and how
	 * long it then takes to rise linearly to all slots. */
	pr_usec_t ramp_hold;
	pr_usec_t ramp_time;
	/** Consecutive errors after which an upstream is ejected. */
	unsigned int eject_errors;
	/** Duration of the first ejection; it doubles with each further one
	 * up to the maximum. */
	pr_usec_t eject_time_base;
	pr_usec_t eject_time_max;
	/** Time for which a replaced membership view still limits the default
	 * shares of cold upstreams. */
	pr_usec_t settle_time;
	/** Without a grant, the host may send its default share to a cold
	 * upstream. False where hosts request a grant as soon as there is
	 * demand: default shares would come on top of the granted amounts. */
	bool use_default_share;
	/** Load reports older than this are ignored. */
	pr_usec_t report_max_age;
	/** Share of the first-token time that is saved when the upstream has
	 * the whole prompt prefix in its cache, 0..1. */
	double prefix_saving;
	/** Round-trip times to another zone and to another region, added to
	 * the expected time. */
	pr_usec_t zone_rtt;
	pr_usec_t region_rtt;
	/** Least reduction of the expected time for which a request crosses
	 * the inter-region link, whose traffic is billed. */
	pr_usec_t link_penalty;
} pr_balance_options_t;

#define PR_BALANCE_OPTIONS_VERSION 1
#define PR_BALANCE_OPTIONS_INIT                                                \
	{                                                                      \
		.version = PR_BALANCE_OPTIONS_VERSION, .subset_local = 12,     \
		.subset_remote = 4, .candidates = 2, .ramp = true,             \
		.ejection = true, .affinity = true,                            \
		.ramp_hold = 5 * PR_USEC_PER_SEC,                              \
		.ramp_time = 15 * PR_USEC_PER_SEC, .eject_errors = 5,          \
		.eject_time_base = 5 * PR_USEC_PER_SEC,                        \
		.eject_time_max = 300 * PR_USEC_PER_SEC,                       \
		.settle_time = 3 * PR_USEC_PER_SEC, .use_default_share = true, \
		.report_max_age = 5 * PR_USEC_PER_SEC, .prefix_saving = 0.8,   \
		.zone_rtt = 3 * PR_USEC_PER_MSEC,                              \
		.region_rtt = 60 * PR_USEC_PER_MSEC,                           \
		.link_penalty = 100 * PR_USEC_PER_MSEC,                        \
	}

typedef struct pr_balance_upstream_t pr_balance_upstream_t;
typedef struct pr_balance_pool_t pr_balance_pool_t;
typedef struct pr_balance_view_t pr_balance_view_t;
typedef struct pr_balance_zone_t pr_balance_zone_t;

typedef struct pr_balance_counters_t {
	uint64_t choices;
	uint64_t choices_remote;
	uint64_t ejections;
	uint64_t ramps;
	/** Payload bytes over the inter-region link: received from upstreams
	 * (link_bytes) and sent to them (link_bytes_out). */
	uint64_t link_bytes;
	uint64_t link_bytes_out;
	/** Cache events that confirm a block which the host had predicted from
	 * the prompts that it sent. */
	uint64_t cache_matches;
} pr_balance_counters_t;

typedef struct pr_balance_t {
	pr_balance_options_t options;
	char *host;
	char *own_zone;
	/** Objective for the first-token time, from the configuration. */
	pr_usec_t objective;
	pr_balance_upstream_t **upstreams;
	/** Upstreams by name: hash table with open addressing; its size is a
	 * power of two. */
	pr_balance_upstream_t **index;
	/** Upstreams that were removed from the configuration while attempts
	 * still used them. */
	pr_balance_upstream_t *retired;
	pr_balance_pool_t *pools;
	pr_balance_zone_t *zones;
	unsigned int upstreams_count;
	unsigned int index_mask;
	unsigned int pools_count;
	unsigned int zones_count;
	/** Position of the round-robin policy. */
	uint32_t round;
	/** Membership views (sets of live hosts), newest first; they determine
	 * the default shares of cold upstreams. */
	pr_balance_view_t *views;
	uint64_t next_view;
	pr_balance_counters_t counters;
} pr_balance_t;

typedef enum pr_balance_priority_t {
	PR_BALANCE_INTERACTIVE,
	PR_BALANCE_BATCH,
} pr_balance_priority_t;

#define PR_BALANCE_BLOCKS_MAX 16
#define PR_BALANCE_TRIED_MAX  4

typedef struct pr_balance_query_t {
	/** "model@version" or the name of a service. */
	pr_slice_t target;
	pr_balance_priority_t priority;
	/** Hashes of the leading prompt blocks; each also covers all blocks
	 * before it. */
	uint64_t blocks[PR_BALANCE_BLOCKS_MAX];
	unsigned int blocks_count;
	/** Upstreams of earlier attempts of the request; chosen again only when
	 * no other is usable. */
	const pr_balance_upstream_t *tried[PR_BALANCE_TRIED_MAX];
	unsigned int tried_count;
	/** The request may leave the region; required to reach a target that
	 * only another region serves. */
	bool cross_region;
} pr_balance_query_t;

/** The chosen upstream; also the handle of the attempt for its events. */
typedef struct pr_balance_choice_t {
	pr_balance_upstream_t *upstream;
	/** Expected first-token time. */
	pr_usec_t expected;
	/** Time at which the attempt was sent. */
	pr_usec_t sent;
	uint64_t blocks[PR_BALANCE_BLOCKS_MAX];
	unsigned int blocks_count;
	/** Leading prompt blocks that are probably in the upstream's cache. */
	unsigned int blocks_hit;
	/** The upstream is in another region. */
	bool remote;
	/** The upstream had a free slot when it was chosen. */
	bool unqueued;
	/** The attempt was sent and has not ended. */
	bool open;
	/** The first token has arrived. */
	bool answered;
} pr_balance_choice_t;

/** @return 0, PR_EINVALID (options) or PR_ENOMEM */
int pr_balance_init(pr_balance_t *balance, const pr_balance_options_t *options);
void pr_balance_finish(pr_balance_t *balance);
/**
 * Apply a configuration. Upstreams that it still contains keep their learned
 * state. An upstream that is added after the first configuration, or whose
 * address changes, is cold. The fleet may be freed afterwards.
 *
 * @return 0, or PR_ENOMEM; the balancer can then only be finished
 */
int pr_balance_configure(pr_balance_t *balance, const pr_fleet_t *fleet,
			 pr_usec_t now);

/**
 * Choose an upstream for an attempt.
 *
 * @return 0, PR_ENOTFOUND (no upstream serves the target), PR_EUNAVAILABLE (all
 *	   upstreams are leaving, ejected or in a zone out of service) or
 *	   PR_EFULL (none is usable, and at least one only because it is
 *	   cold and at its ceiling)
 */
int pr_balance_choose(pr_balance_t *balance, pr_balance_choice_t *choice,
		      const pr_balance_query_t *query, pr_rand_t *rand,
		      pr_usec_t now);

/* Events of an attempt. After pr_balance_sent() the caller must report exactly
 * one of finished, failed, refused and cancelled; further ones are ignored. */
void pr_balance_sent(pr_balance_t *balance, pr_balance_choice_t *choice,
		     pr_usec_t now);
void pr_balance_first_token(pr_balance_t *balance, pr_balance_choice_t *choice,
			    pr_usec_t now);
void pr_balance_finished(pr_balance_t *balance, pr_balance_choice_t *choice,
			 pr_usec_t now);
void pr_balance_failed(pr_balance_t *balance, pr_balance_choice_t *choice,
		       pr_attempt_stage_t stage, pr_usec_t now);
/** The upstream refused the attempt for lack of capacity before it started to
 * process it. Counts as a failure unless the upstream has sent a first token
 * recently. */
void pr_balance_refused(pr_balance_t *balance, pr_balance_choice_t *choice,
			pr_usec_t now);
void pr_balance_cancelled(pr_balance_t *balance, pr_balance_choice_t *choice,
			  pr_usec_t now);
/** Count payload bytes of a response if they crossed the inter-region link. */
void pr_balance_add_response_bytes(pr_balance_t *balance,
				   const pr_balance_choice_t *choice,
				   uint64_t bytes);
/** Count payload bytes of a request if they crossed the inter-region link. */
void pr_balance_add_request_bytes(pr_balance_t *balance,
				  const pr_balance_choice_t *choice,
				  uint64_t bytes);

/* Events about an upstream, by name. @return 0 or PR_ENOTFOUND */

/**
 * Load report.
 *
 * @param load requests that the upstream processed or queued
 * @param measured time of the measurement
 */
int pr_balance_load_report(pr_balance_t *balance, const char *upstream,
			   uint32_t load, pr_usec_t measured);
/** Cache event: the upstream stored or evicted a block. */
int pr_balance_cache_event(pr_balance_t *balance, const char *upstream,
			   uint64_t block, bool stored);
/** Cache events of the upstream were lost. */
int pr_balance_cache_gap(pr_balance_t *balance, const char *upstream);
/** The upstream has started or returned: begin a ramp. */
int pr_balance_set_cold(pr_balance_t *balance, const char *upstream,
			pr_usec_t now);
/** Set whether the platform's host list reports the upstream as leaving. An
 * upstream that is leaving by the configuration stays excluded. */
int pr_balance_set_leaving(pr_balance_t *balance, const char *upstream,
			   bool leaving, pr_usec_t now);
/** Take a zone out of service, or put it back and begin ramps. A zone that is
 * out by the configuration stays excluded. */
int pr_balance_set_zone(pr_balance_t *balance, const char *zone, bool out,
			pr_usec_t now);
/**
 * Set the grant of resource "cold/<upstream>": the most requests that this host
 * may have in flight on the cold upstream. It replaces the default share until
 * it expires. The owner of the resource must grant only what remains after the
 * default shares of the hosts without a grant.
 *
 * @param amount requests in flight
 * @param until time of expiry
 */
int pr_balance_set_grant(pr_balance_t *balance, const char *upstream,
			 uint32_t amount, pr_usec_t until);
/**
 * Set the live hosts, including this one, for the computation of default
 * shares. Before the first call the host assumes that it is the only one.
 *
 * @return 0 or PR_ENOMEM
 */
int pr_balance_set_hosts(pr_balance_t *balance, const char *const *hosts,
			 unsigned int count, pr_usec_t now);

/* Inspection, for `explain`, the connection pool and tests. */

typedef struct pr_balance_status_t {
	const char *name;
	const char *zone;
	const char *address;
	uint16_t port;
	/** Part of this host's subset: connections to it are kept open. */
	bool connected;
	/** Neither leaving nor ejected, and its zone is in service. */
	bool usable;
	bool cold;
	/** Start of the ramp; valid while cold. */
	pr_usec_t ramp_start;
	/** Requests in flight that the upstream can take now from all hosts. */
	uint32_t level;
	/** Limit of this host's requests in flight; UINT32_MAX unless cold. */
	uint32_t ceiling;
	/** Times that a choice skipped the upstream because of its ceiling. */
	uint64_t ceiling_skips;
	/** Attempts sent to the upstream. */
	uint64_t sent;
	uint32_t in_flight;
	pr_usec_t ejected_until;
	/** Learned first-token time without queueing. */
	pr_usec_t first_token;
} pr_balance_status_t;

void pr_balance_status(pr_balance_t *balance, pr_balance_status_t *status,
		       pr_balance_upstream_t *upstream, pr_usec_t now);
/** @return true if an upstream of this region, usable or not, serves target */
bool pr_balance_in_region(const pr_balance_t *balance, pr_slice_t target);
/** @return the upstream or NULL */
pr_balance_upstream_t *pr_balance_find(const pr_balance_t *balance,
				       const char *name);
const char *pr_balance_name(const pr_balance_upstream_t *upstream);

#endif
