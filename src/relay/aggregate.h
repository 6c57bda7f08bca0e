/**
 * What hosts report of themselves, and its sums.
 *
 * A host reports to the relays of its zone. A relay sums the reports of its
 * zone, exchanges the sums with the relays of other zones, and sends the sum of
 * all back to the hosts. Counts are cumulative, so a lost datagram costs
 * nothing but time.
 */
#ifndef PR_RELAY_AGGREGATE_H
#define PR_RELAY_AGGREGATE_H

#include "relay/roster.h"
#include "transition/transition.h"

/** Upstreams in one report; they fill a datagram. */
#define PR_UPSTREAM_COUNTS_MAX 144
/** Services in transition at once. */
#define PR_AGGREGATE_TRANSITIONS_MAX 16
/** Unit of the time to read prompts, milliseconds. */
#define PR_WAITING_UNIT_MS 10.0
/** Parts of an answer in a count of outcomes, which fade with time. */
#define PR_OUTCOME_UNIT (1.0 / 16)

/** What is counted of each upstream. */
typedef enum pr_count_kind_t {
	/** Requests in work; time to read prompts that have no event yet. */
	PR_COUNT_LOAD,
	/** Answers of the last seconds, good or not; failures among them. */
	PR_COUNT_OUTCOMES,
	PR_COUNT_KINDS,
} pr_count_kind_t;

/** Two counts of one upstream, as datagrams carry them. */
typedef struct pr_upstream_count_t {
	/** Hash of the upstream's incarnation. */
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

/** Latest report of a host, or of a relay for its zone. */
typedef struct pr_host_report_t {
	struct {
		pr_upstream_counts_t counts;
		pr_usec_t at;
	} upstreams[PR_COUNT_KINDS];
	struct {
		uint64_t order_row;
		pr_tallies_t tallies;
	} transitions[PR_AGGREGATE_TRANSITIONS_MAX];
} pr_host_report_t;

/** @return the host's report, made at its first use, or NULL without memory */
pr_host_report_t *pr_host_report_get(pr_host_t *host);

/**
 * Add the counts of an upstream; beyond PR_UPSTREAM_COUNTS_MAX upstreams the
 * one with the least is left out.
 */
void pr_upstream_counts_add(pr_upstream_counts_t *counts,
			    const pr_upstream_count_t *count);

/** Sum of the hosts of this zone that report to this one. */
void pr_aggregate_zone_counts(pr_upstream_counts_t *out,
			      const pr_roster_t *roster, const char *zone,
			      pr_count_kind_t kind, pr_usec_t now);
/** Add what the first relay that answers says of another zone. */
void pr_aggregate_other_zone_counts(pr_upstream_counts_t *out,
				    const pr_roster_t *roster, const char *zone,
				    pr_count_kind_t kind, pr_usec_t now);

/** Sum of the reports of a zone's hosts on a transition. */
void pr_aggregate_zone_tallies(pr_tallies_t *out, const pr_roster_t *roster,
			       const char *zone, size_t index,
			       uint64_t order_row);
/** Add the highest count that a relay of another zone reported. */
void pr_aggregate_other_zone_tallies(pr_tallies_t *out,
				     const pr_roster_t *roster,
				     const char *zone, size_t index,
				     uint64_t order_row);
/** Counts of all hosts without those that this one has reported. */
pr_tallies_t pr_aggregate_subtract(const pr_tallies_t *all,
				   const pr_tallies_t *own);

#endif
