/**
 * Request rate that an upstream states in its responses, as the most that it
 * takes from all hosts together. A few hosts, chosen by rendezvous hashing,
 * share the rate; the others send nothing as long as they hear that the
 * upstream still states it. So the sum over all hosts stays below the rate also
 * when hosts do not reach each other.
 */
#ifndef PR_LIMITS_STATED_RATE_H
#define PR_LIMITS_STATED_RATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pistachiorack/timer.h"
#include "relay/audience.h"

/** Lowest rate that is kept, requests per second; a lower one, and 0, count as
 *  this. */
#define PR_STATED_RATE_MIN 0.01

/** What an upstream stated, as hosts report it to each other. */
typedef struct pr_rate_statement_t {
	/** Requests per second; 0 when it states no limit. One that takes
	 *  nothing states PR_STATED_RATE_MIN. */
	double per_s;
	/** Time of the statement by the store's clock, milliseconds; 0 when it
	 *  never stated a limit. */
	int64_t stated_ms;
} pr_rate_statement_t;

/** State of one upstream. Must be zeroed before first use. */
typedef struct pr_stated_rate_t {
	pr_rate_statement_t statement;
	/** Local time at which this host last learned of a statement. */
	pr_usec_t heard_at;
	/** The upstream stated it to this host, and statement.stated_ms is not
	 *  set yet. */
	bool is_unstamped;
	/** Time up to which this host's share is used. */
	pr_usec_t used_until;
	/** Hosts that share the rate, out of those that send to the upstream;
	 *  0 until assigned. */
	uint32_t sharing, hosts;
	/** This host is one of those that share the rate. */
	bool is_assigned;
	/** Differs between hosts, 0 to 1, so that those that test whether the
	 *  limit has ended do so at different times. */
	double phase;
	/** Rate and number of known hosts when they were assigned. */
	double assigned_per_s;
	size_t assigned_roster;
	/** The statement is to be sent, by audience. */
	bool is_due[PR_AUDIENCES_COUNT];
	/** Time of the last statement that was sent, by audience, milliseconds
	 *  of the store's clock. */
	int64_t sent_ms[PR_AUDIENCES_COUNT];
} pr_stated_rate_t;

/** @return true while the upstream states a limit, as far as this host knows */
bool pr_stated_rate_is_limited(const pr_stated_rate_t *rate);

/**
 * Note what the upstream stated in a response to this host.
 *
 * @param per_s requests per second; 0 for no limit
 * @return true when the limit changed
 */
bool pr_stated_rate_hear(pr_stated_rate_t *rate, double per_s, pr_usec_t now);
/**
 * Merge a statement that another host reported; an older one is ignored.
 *
 * @param forwards this host is a relay, and the other one reports to it
 * @param now_ms time by the store's clock
 * @return true when the limit changed
 */
bool pr_stated_rate_merge(pr_stated_rate_t *rate,
			  const pr_rate_statement_t *other, bool forwards,
			  int64_t now_ms, pr_usec_t now);
/**
 * @param now_ms time by the store's clock
 * @return true when the statement is to be sent to the audience now; marks it
 *	   as sent
 */
bool pr_stated_rate_take_due(pr_stated_rate_t *rate, pr_audience_t audience,
			     int64_t now_ms, pr_usec_t now);

/** @return number of hosts that share a rate */
uint32_t pr_stated_rate_hosts_wanted(double per_s);
/** @return earliest time at which this host may send its next request; 0 for
 *	   now */
pr_usec_t pr_stated_rate_next(const pr_stated_rate_t *rate, pr_usec_t now);
/** Take a request from this host's share.
 *  @return false when there is none now */
bool pr_stated_rate_take(pr_stated_rate_t *rate, pr_usec_t now);

#endif
