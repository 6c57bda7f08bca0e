/**
 * Reports of hosts, and their aggregation by relays.
 *
 * A host reports to the relays of its zone. A relay sums the reports of its
 * zone, exchanges the sums with the relays of other zones, and sends the total
 * back to the hosts. Reports carry totals, not increments, so a lost
 * datagram only delays the figures until the next report.
 */
#ifndef PR_RELAY_AGGREGATE_H
#define PR_RELAY_AGGREGATE_H

#include "relay/roster.h"
#include "transition/transition.h"

/** Most upstreams in one report; this many fill a datagram. */
#define PR_UPSTREAM_COUNTS_MAX 144
/** Most services in transition at once. */
#define PR_AGGREGATE_TRANSITIONS_MAX 16
/** Unit of pr_upstream_count_t.waiting, in milliseconds. */
#define PR_WAITING_UNIT_MS 10.0
/**
 * Unit of the counts of outcomes, in responses. The counts decay with time, so
 * they are not whole numbers.
 */
#define PR_OUTCOME_UNIT (1.0 / 16)

/** Kinds of counts that are reported per upstream. */
typedef enum pr_count_kind_t {
	/** Requests in flight, and the prefill time of those without a first
	 *  event. */
	PR_COUNT_LOAD,
	/** Responses of the last seconds, and the failed ones among them. */
	PR_COUNT_OUTCOMES,
	PR_COUNT_KINDS,
} pr_count_kind_t;

/** Two counts of one upstream; this is also the wire format. */
typedef struct pr_upstream_count_t {
	/** Hash that identifies the upstream's incarnation. */
	uint32_t tag;
	union {
		struct {
			uint16_t in_flight;
			/** In units of PR_WAITING_UNIT_MS. */
			uint16_t waiting;
		};
		struct {
			/** In units of PR_OUTCOME_UNIT. */
			uint16_t answered, failed;
		};
		uint16_t values[2];
	};
} pr_upstream_count_t;

typedef struct pr_upstream_counts_t {
	pr_upstream_count_t items[PR_UPSTREAM_COUNTS_MAX];
	size_t count;
} pr_upstream_counts_t;

/** Latest report of a host, or of a relay on behalf of its zone. */
typedef struct pr_host_report_t {
	struct {
		pr_upstream_counts_t counts;
		pr_usec_t at;
	} upstreams[PR_COUNT_KINDS];
	struct {
		uint64_t order;
		pr_tallies_t tallies;
	} transitions[PR_AGGREGATE_TRANSITIONS_MAX];
} pr_host_report_t;

/** @return the host's report, allocated on first use, or NULL without memory */
pr_host_report_t *pr_host_report_get(pr_host_t *host);

/**
 * Add the counts of an upstream, saturating at UINT16_MAX. Beyond
 * PR_UPSTREAM_COUNTS_MAX upstreams, the one with the smallest first count
 * (requests in flight, or responses) is left out.
 */
void pr_upstream_counts_add(pr_upstream_counts_t *counts,
			    const pr_upstream_count_t *count);

/**
 * Add the counts that the hosts of a zone reported. Counts of load or outcomes
 * that are older than 1.5 s are ignored.
 *
 * @param out sum that the counts are added to
 * @param zone zone of this host
 */
void pr_aggregate_zone_counts(pr_upstream_counts_t *out,
			      const pr_roster_t *roster, const char *zone,
			      pr_count_kind_t kind, pr_usec_t now);
/** Add the zone-wide counts from the first responsive relay of another zone. */
void pr_aggregate_other_zone_counts(pr_upstream_counts_t *out,
				    const pr_roster_t *roster, const char *zone,
				    pr_count_kind_t kind, pr_usec_t now);

/**
 * Add the tallies that the hosts of a zone reported on a transition.
 *
 * @param index position of the transition in pr_host_report_t
 * @param order tag of the row of the transition's order; reports on another
 *	  order are ignored
 */
void pr_aggregate_zone_tallies(pr_tallies_t *out, const pr_roster_t *roster,
			       const char *zone, size_t index, uint64_t order);
/**
 * Add the tallies of another zone from the relay whose tallies have the highest
 * total: each relay of the zone counts the same hosts.
 */
void pr_aggregate_other_zone_tallies(pr_tallies_t *out,
				     const pr_roster_t *roster,
				     const char *zone, size_t index,
				     uint64_t order);
/** @return the counts of all hosts minus those of this host, at least 0 */
pr_tallies_t pr_aggregate_subtract(const pr_tallies_t *all,
				   const pr_tallies_t *own);

#endif
