/**
 * Balance: which upstream takes an attempt.
 *
 * Each host keeps a stable subset of the upstreams of a model (idea: Finagle
 * aperture) and sends an attempt to the one with the lowest expected
 * first-token time among a few candidates (ideas: Prequal, power of d
 * choices). Upstreams that fail are ejected for a growing time (idea: Envoy
 * outlier detection); upstreams that start or return get a ramp (idea: Envoy
 * slow start). All sizes are bounded by the configuration.
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
	PR_BALANCE_EXPECTED_TIME,
	/* For comparison runs. */
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
	/** Upstreams per model to keep connections to, by region. */
	unsigned int subset_local;
	unsigned int subset_remote;
	/** Random candidates per choice. */
	unsigned int candidates;
	/** Mechanisms; tests and comparison runs switch them off. */
	bool ramp;
	bool ejection;
	bool affinity;
	/** Time at cold_slots, then time of the rise to all slots. */
	pr_usec_t ramp_hold;
	pr_usec_t ramp_time;
	/** Errors in a row that eject; first and longest ejection. */
	unsigned int eject_errors;
	pr_usec_t eject_time_base;
	pr_usec_t eject_time_max;
	/** A default share grows only after the view was stable this long. */
	pr_usec_t settle_time;
	/** A cold upstream takes the default share while it has no grant. False
	 * where a grant is asked for as soon as there is demand: then default
	 * shares cannot add to what is granted. */
	bool use_default_share;
	/** A load report older than this is ignored. */
	pr_usec_t report_max_age;
	/** Part of the first-token time that a full prefix hit saves. */
	double prefix_saving;
	/** Round trips, added to the expected time. */
	pr_usec_t zone_rtt;
	pr_usec_t region_rtt;
	/** Expected time that using the billed link must save at least. */
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
	/** Payload over the region link, from and to the upstreams. */
	uint64_t link_bytes;
	uint64_t link_bytes_out;
	/** Cache events for blocks that the prompts sent had foretold. */
	uint64_t cache_matches;
} pr_balance_counters_t;

typedef struct pr_balance_t {
	pr_balance_options_t options;
	char *host;
	char *own_zone;
	/** Objective of the configuration for the first token. */
	pr_usec_t objective;
	pr_balance_upstream_t **upstreams;
	/** Upstreams by name: open addressing, a power of two of entries. */
	pr_balance_upstream_t **index;
	/** Removed from the configuration, still in use by attempts. */
	pr_balance_upstream_t *retired;
	pr_balance_pool_t *pools;
	pr_balance_zone_t *zones;
	unsigned int upstreams_count;
	unsigned int index_mask;
	unsigned int pools_count;
	unsigned int zones_count;
	uint32_t round;
	/** Host views, newest first; they decide the default cold shares. */
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
	/** "model@version" or a service. */
	pr_slice_t target;
	pr_balance_priority_t priority;
	/** Hashes of the leading prompt blocks, each over all before it. */
	uint64_t blocks[PR_BALANCE_BLOCKS_MAX];
	unsigned int blocks_count;
	/** Used by earlier attempts; taken again only when there is no other.
	 */
	const pr_balance_upstream_t *tried[PR_BALANCE_TRIED_MAX];
	unsigned int tried_count;
	/** True when the request may leave the region. What is served in one
	 * region only needs it. */
	bool cross_region;
} pr_balance_query_t;

/** A choice, and the handle of its attempt for the events that follow. */
typedef struct pr_balance_choice_t {
	pr_balance_upstream_t *upstream;
	/** Expected first-token time. */
	pr_usec_t expected;
	pr_usec_t sent;
	uint64_t blocks[PR_BALANCE_BLOCKS_MAX];
	unsigned int blocks_count;
	/** Leading prompt blocks that the upstream is thought to have. */
	unsigned int blocks_hit;
	bool remote;
	/** The upstream's load was below its slots when it was chosen. */
	bool unqueued;
	bool open;
	bool answered;
} pr_balance_choice_t;

/** @return 0, PR_EINVALID (options) or PR_ENOMEM */
int pr_balance_init(pr_balance_t *balance, const pr_balance_options_t *options);
void pr_balance_finish(pr_balance_t *balance);
/**
 * Take a configuration. Upstreams that stay keep what was learned; those that
 * are added later, or change their address, start cold. The fleet may be freed
 * afterwards.
 *
 * @return 0, or PR_ENOMEM; the balance can then only be finished
 */
int pr_balance_configure(pr_balance_t *balance, const pr_fleet_t *fleet,
			 pr_usec_t now);

/**
 * Choose an upstream.
 *
 * @return 0, PR_ENOTFOUND (nothing serves it), PR_EUNAVAILABLE (all are out,
 *	   leaving or ejected) or PR_EFULL (all are at their cold ceiling)
 */
int pr_balance_choose(pr_balance_t *balance, pr_balance_choice_t *choice,
		      const pr_balance_query_t *query, pr_rand_t *rand,
		      pr_usec_t now);

/* Events of an attempt. pr_balance_sent() must be followed by exactly one of
 * finished, failed, refused and cancelled; further ones are ignored. */
void pr_balance_sent(pr_balance_t *balance, pr_balance_choice_t *choice,
		     pr_usec_t now);
void pr_balance_first_token(pr_balance_t *balance, pr_balance_choice_t *choice,
			    pr_usec_t now);
void pr_balance_finished(pr_balance_t *balance, pr_balance_choice_t *choice,
			 pr_usec_t now);
void pr_balance_failed(pr_balance_t *balance, pr_balance_choice_t *choice,
		       pr_attempt_stage_t stage, pr_usec_t now);
/** It stated that it did not start for lack of capacity. Counts as a failure
 * unless it has answered other requests a moment ago. */
void pr_balance_refused(pr_balance_t *balance, pr_balance_choice_t *choice,
			pr_usec_t now);
void pr_balance_cancelled(pr_balance_t *balance, pr_balance_choice_t *choice,
			  pr_usec_t now);
/** Count payload of an answer; only bytes over the region link are kept. */
void pr_balance_add_response_bytes(pr_balance_t *balance,
				   const pr_balance_choice_t *choice,
				   uint64_t bytes);
/** The same for the payload of a request. */
void pr_balance_add_request_bytes(pr_balance_t *balance,
				  const pr_balance_choice_t *choice,
				  uint64_t bytes);

/* Events about an upstream, by name. @return 0 or PR_ENOTFOUND */

/** Load report: requests that it works on or queues, at a time in the past. */
int pr_balance_load_report(pr_balance_t *balance, const char *upstream,
			   uint32_t load, pr_usec_t measured);
/** Cache event: the upstream stored or evicted a block. */
int pr_balance_cache_event(pr_balance_t *balance, const char *upstream,
			   uint64_t block, bool stored);
/** Cache events were lost. */
int pr_balance_cache_gap(pr_balance_t *balance, const char *upstream);
/** It starts or has just come back: begin a ramp. */
int pr_balance_set_cold(pr_balance_t *balance, const char *upstream,
			pr_usec_t now);
/** State in the platform's host list; the configuration may say so, too. */
int pr_balance_set_leaving(pr_balance_t *balance, const char *upstream,
			   bool leaving, pr_usec_t now);
int pr_balance_set_zone(pr_balance_t *balance, const char *zone, bool out,
			pr_usec_t now);
/**
 * Ceiling of this host for resource "cold/<upstream>": requests in flight,
 * valid until a time. It replaces the default share. The resource's owner must
 * hand out only what remains after the default shares of hosts that hold no
 * grant.
 */
int pr_balance_set_grant(pr_balance_t *balance, const char *upstream,
			 uint32_t amount, pr_usec_t until);
/**
 * Live hosts, this one included, for default shares. Before the first call
 * the host takes itself for the only one.
 *
 * @return 0 or PR_ENOMEM
 */
int pr_balance_set_hosts(pr_balance_t *balance, const char *const *hosts,
			 unsigned int count, pr_usec_t now);

/* Inspection, for `explain`, connections and tests. */

typedef struct pr_balance_status_t {
	const char *name;
	const char *zone;
	const char *address;
	uint16_t port;
	/** Member of a subset: keep connections. */
	bool connected;
	bool usable;
	bool cold;
	/** Start of the ramp, when cold. */
	pr_usec_t ramp_start;
	/** Requests in flight that it bears now, from the whole fleet. */
	uint32_t level;
	/** Most requests of this host in flight; UINT32_MAX when warm. */
	uint32_t ceiling;
	/** Choices that passed it over because of its ceiling. */
	uint64_t ceiling_skips;
	/** Attempts sent to it. */
	uint64_t sent;
	uint32_t in_flight;
	pr_usec_t ejected_until;
	/** Learned first-token time without queueing. */
	pr_usec_t first_token;
} pr_balance_status_t;

void pr_balance_status(pr_balance_t *balance, pr_balance_status_t *status,
		       pr_balance_upstream_t *upstream, pr_usec_t now);
/** @return true when an upstream of this region serves it, usable or not */
bool pr_balance_in_region(const pr_balance_t *balance, pr_slice_t target);
/** @return the upstream or NULL */
pr_balance_upstream_t *pr_balance_find(const pr_balance_t *balance,
				       const char *name);
const char *pr_balance_name(const pr_balance_upstream_t *upstream);

#endif
