/**
 * What hosts report of themselves, and its sums.
 *
 * A host reports to the relays of its zone. A relay sums the reports of its
 * zone, exchanges the sums with the relays of other zones, and sends the sum of
 * all back to the hosts. Counts are cumulative, so a lost datagram costs
 * nothing but time.
 */
#ifndef PR_RELAY_GATHER_H
#define PR_RELAY_GATHER_H

#include "relay/roster.h"
#include "transition/transition.h"

/** Upstreams in one report; they fill a datagram. */
#define PR_LOADS_MAX 144
/** Services in transition at once. */
#define PR_GATHER_TRANSITIONS_MAX 16
/** Unit of pr_load_t.waiting, milliseconds. */
#define PR_LOAD_WAITING_UNIT 10.0

/** Work of one or more hosts on an upstream, as datagrams carry it. */
typedef struct pr_load_t {
	/** Hash of the upstream's incarnation. */
	uint32_t tag;
	uint16_t in_flight;
	/** Time to read the prompts that have no first event yet. */
	uint16_t waiting;
} pr_load_t;

typedef struct pr_loads_t {
	pr_load_t items[PR_LOADS_MAX];
	size_t count;
} pr_loads_t;

/** Latest report of a host, or of a relay for its zone. */
typedef struct pr_host_report_t {
	pr_loads_t loads;
	pr_usec_t loads_at;
	struct {
		uint64_t order_row;
		pr_tallies_t tallies;
	} transitions[PR_GATHER_TRANSITIONS_MAX];
} pr_host_report_t;

/** @return the host's report, made at its first use, or NULL without memory */
pr_host_report_t *pr_gather_report(pr_host_t *host);

/**
 * Add work on an upstream; beyond PR_LOADS_MAX upstreams the least work is left
 * out.
 */
void pr_loads_add(pr_loads_t *loads, const pr_load_t *load);

/** Sum of the hosts of this zone that report to this one. */
void pr_gather_zone_loads(pr_loads_t *out, const pr_roster_t *roster,
			  const char *zone, pr_usec_t now);
/** Add what the first relay that answers says of another zone. */
void pr_gather_add_loads(pr_loads_t *out, const pr_roster_t *roster,
			 const char *zone, pr_usec_t now);

/** Sum of the reports of a zone's hosts on a transition. */
void pr_gather_zone_tallies(pr_tallies_t *out, const pr_roster_t *roster,
			    const char *zone, size_t index, uint64_t order_row);
/** Add the highest count that a relay of another zone reported. */
void pr_gather_add_tallies(pr_tallies_t *out, const pr_roster_t *roster,
			   const char *zone, size_t index, uint64_t order_row);
/** Counts of all hosts without those that this one has reported. */
pr_tallies_t pr_gather_others(const pr_tallies_t *all, const pr_tallies_t *own);

#endif
