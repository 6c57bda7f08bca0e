/* State of upstreams and pools, shared by the files of this slice. */
#ifndef PISTACHIORACK_BALANCE_INTERNAL_H
#define PISTACHIORACK_BALANCE_INTERNAL_H

#include "pistachiorack/balance.h"

/* Known prompt blocks of an upstream, direct-mapped by hash. */
#define PR_BALANCE_PREFIX_ENTRIES 512

/* Own requests in flight are kept for this many steps of 100 ms, to correct
 * load reports that lag by up to the sum. */
#define PR_BALANCE_HISTORY_STEPS     32
#define PR_BALANCE_HISTORY_STEP_TIME (100 * PR_USEC_PER_MSEC)

/* Host views that can overlap within one settling time. */
#define PR_BALANCE_VIEWS_MAX 8

struct pr_balance_view_t {
	uint64_t id;
	/** PR_USEC_NEVER for the current one. */
	pr_usec_t replaced;
	uint64_t *hosts;
	unsigned int count;
};

struct pr_balance_zone_t {
	char *name;
	char *region;
	bool config_out;
	bool event_out;
};

/* Rank of this host among the hosts of a view, for one upstream. */
typedef struct pr_balance_rank_t {
	uint64_t view;
	unsigned int rank;
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
	bool kept;
	/* Load. */
	uint32_t in_flight;
	uint32_t history[PR_BALANCE_HISTORY_STEPS];
	int64_t history_step;
	uint32_t reported;
	pr_usec_t reported_at;
	/* Moving averages at the times of reports. */
	double mean_load, mean_own;
	/* Learned times in microseconds. */
	double first_token, duration, excess;
	/** Observations in first_token, counted up to 10. */
	unsigned int samples;
	pr_usec_t excess_at;
	/* Ejection. */
	unsigned int errors, ejections, slow;
	/** Moving average of first-token time to its learned value. */
	double ratio;
	pr_usec_t ejected_until, failed_at;
	/* Ramp; ramp_start is meaningful while cold. */
	bool cold;
	pr_usec_t ramp_start;
	uint64_t ceiling_skips;
	uint64_t sent;
	uint32_t granted;
	pr_usec_t granted_until;
	pr_balance_rank_t ranks[PR_BALANCE_VIEWS_MAX];
	/* Prefix cache; NULL until first used. */
	uint64_t *prefix;
	double prefix_trust;
};

struct pr_balance_pool_t {
	char *target;
	uint64_t hash;
	pr_balance_upstream_t **members;
	unsigned int count;
	/* members[0 .. local) is the local subset, then the remote one, then
	 * the upstreams without kept connections. */
	unsigned int local, subset;
	/** Upstreams of the whole pool in this region. */
	unsigned int region_count;
};

/* pool.c */
int pr_balance_build_pools(pr_balance_t *balance, const pr_fleet_t *fleet,
			   pr_balance_pool_t **pools, unsigned int *count);
void pr_balance_free_pools(pr_balance_pool_t *pools, unsigned int count);

/* state.c */
void pr_balance_begin_ramp(pr_balance_t *balance,
			   pr_balance_upstream_t *upstream, pr_usec_t now);
/* @return ceiling of this host; UINT32_MAX when warm */
uint32_t pr_balance_ceiling(pr_balance_t *balance,
			    pr_balance_upstream_t *upstream, pr_usec_t now);
/* @return requests that it bears now, fleet-wide */
uint32_t pr_balance_level(const pr_balance_t *balance,
			  const pr_balance_upstream_t *upstream, pr_usec_t now);
bool pr_balance_usable(const pr_balance_t *balance,
		       const pr_balance_upstream_t *upstream, pr_usec_t now);
/* @return own requests in flight at a time in the recent past */
uint32_t pr_balance_in_flight_at(const pr_balance_upstream_t *upstream,
				 pr_usec_t when);
void pr_balance_record_in_flight(pr_balance_upstream_t *upstream,
				 pr_usec_t now);
unsigned int pr_balance_prefix_hits(const pr_balance_upstream_t *upstream,
				    const uint64_t *blocks, unsigned int count);
void pr_balance_prefix_store(pr_balance_upstream_t *upstream,
			     const uint64_t *blocks, unsigned int count);
void pr_balance_free_upstream(pr_balance_upstream_t *upstream);

#endif
