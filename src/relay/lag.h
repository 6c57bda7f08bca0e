/**
 * How long a host has lacked rows of the store that another host has.
 */
#ifndef PR_RELAY_LAG_H
#define PR_RELAY_LAG_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/timer.h"
#include "store/revision.h"

/** Lag of one table. Zeroed before first use. */
typedef struct pr_lag_t {
	/** Version of the newest row that any other host has. */
	pr_revision_t newest;
	/** Time since which this host has lacked a row; 0 when it lacks none.
	 */
	pr_usec_t since;
} pr_lag_t;

/**
 * Record the newest row of another host.
 *
 * @param newest version of the other host's newest row
 * @param have version up to which this host has all rows
 * @return time in microseconds for which this host has lacked a row; 0 when it
 *	   lacks none
 */
pr_usec_t pr_lag_update(pr_lag_t *lag, pr_revision_t newest, pr_revision_t have,
			pr_usec_t now);

#endif
