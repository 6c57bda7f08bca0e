/* State of upstreams and pools, private to src/balance. */
#ifndef PISTACHIORACK_BALANCE_INTERNAL_H
#define PISTACHIORACK_BALANCE_INTERNAL_H

#include "pistachiorack/balance.h"

/* Prompt blocks known to be in an upstream's cache: entries of a direct-mapped
 * table of hashes. */
#define PR_BALANCE_PREFIX_ENTRIES 512

/* The host records its requests in flight at this many steps of 100 ms, to
 * correct load reports that are up to 3.2 s old. */
#define PR_BALANCE_HISTORY_STEPS     32
#define PR_BALANCE_HISTORY_STEP_TIME (100 * PR_USEC_PER_MSEC)

/* Membership views that are kept; several can be valid within one settling
 * time. */
#define PR_BALANCE_VIEWS_MAX 8

struct pr_balance_view_t {
	uint64_t id;
	/** Time at which a newer view replaced it; PR_USEC_NEVER for the
	 * current view. */
	pr_usec_t replaced;
	/** Hashes of the names of the live hosts. */
	uint64_t *hosts;
	unsigned int count;
};

struct pr_balance_zone_t {
	char *name;
	char *region;
	/** Out of service by the configuration, or by an event. */
	bool config_out;
	bool event_out;
};

/* Rank of this host among the hosts of a view, for one upstream. */
typedef struct pr_balance_rank_t {
	uint64_t view;
	unsigned int rank;
	/** Hosts of the view; 0 if this host is not one of them. */
	unsigned int hosts;
} pr_balance_rank_t;

struct pr_balance_upstream_t {
	pr_balance_upstream_t *next_retired;
	char *name;
	char *zone;
	char *address;
	uint16_t port;
	uint64_t hash;
	unsigned int zone_index;
	uint32_t slots, cold_slots;
	bool remote, other_zone;
	bool config_leaving, event_leaving;
	bool connected;
	bool in_config;
	/* This host's requests in flight and their history, load reports. */
	uint32_t in_flight;
	uint32_t history[PR_BALANCE_HISTORY_STEPS];
	int64_t history_step;
	uint32_t reported;
	pr_usec_t reported_at;
	/* Moving averages of the reported load and of this host's requests in
	 * flight at the times of the reports. */
	double mean_load, mean_own;
	/* Moving averages in microseconds: first-token time without queueing,
	 * duration, and first-token time beyond the expected one. */
	double first_token, duration, excess;
	/** Observations in first_token; not counted beyond 10. */
	unsigned int samples;
	/** Time of the last first token. */
	pr_usec_t excess_at;
	/* Consecutive errors, ejections that are not yet forgiven, consecutive
	 * slow first tokens. */
	unsigned int errors, ejections, slow;
	/** Moving average of the ratio of first-token times to first_token. */
	double ratio;
	pr_usec_t ejected_until, failed_at;
	/* Ramp; ramp_start is valid while cold. */
	bool cold;
	pr_usec_t ramp_start;
	uint64_t ceiling_skips;
	uint64_t sent;
	uint32_t granted;
	pr_usec_t granted_until;
	pr_balance_rank_t ranks[PR_BALANCE_VIEWS_MAX];
	/* Expected content of the upstream's prefix cache, NULL until first
	 * used, and how reliable it is, 0..1. */
	uint64_t *prefix;
	double prefix_trust;
};

struct pr_balance_pool_t {
	char *target;
	uint64_t hash;
	pr_balance_upstream_t **members;
	unsigned int count;
	/* members[0 .. local) is the subset of this region and members[local
	 * .. subset) that of other regions. The upstreams without open
	 * connections follow, those of this region first. */
	unsigned int local, subset;
	/** Members in this region, with those outside the subset. */
	unsigned int region_count;
};

/* pool.c */
int pr_balance_build_pools(pr_balance_t *balance, const pr_fleet_t *fleet,
			   pr_balance_pool_t **pools, unsigned int *count);
void pr_balance_free_pools(pr_balance_pool_t *pools, unsigned int count);

/* state.c */
void pr_balance_begin_ramp(pr_balance_t *balance,
			   pr_balance_upstream_t *upstream, pr_usec_t now);
/* @return limit of this host's requests in flight; UINT32_MAX unless cold */
uint32_t pr_balance_ceiling(pr_balance_t *balance,
			    pr_balance_upstream_t *upstream, pr_usec_t now);
/* @return requests in flight that the upstream can take now from all hosts */
uint32_t pr_balance_level(const pr_balance_t *balance,
			  const pr_balance_upstream_t *upstream, pr_usec_t now);
bool pr_balance_usable(const pr_balance_t *balance,
		       const pr_balance_upstream_t *upstream, pr_usec_t now);
/* @return this host's requests in flight at a recent time */
uint32_t pr_balance_in_flight_at(const pr_balance_upstream_t *upstream,
				 pr_usec_t when);
/* Record the requests in flight in the history; call before they change. */
void pr_balance_record_in_flight(pr_balance_upstream_t *upstream,
				 pr_usec_t now);
/* @return number of leading blocks that are probably in the cache */
unsigned int pr_balance_prefix_hits(const pr_balance_upstream_t *upstream,
				    const uint64_t *blocks, unsigned int count);
void pr_balance_prefix_store(pr_balance_upstream_t *upstream,
			     const uint64_t *blocks, unsigned int count);
void pr_balance_free_upstream(pr_balance_upstream_t *upstream);

#endif
