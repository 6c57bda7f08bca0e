/**
 * Whether a host lacks rows that another one has.
 */
#ifndef PR_RELAY_LAG_H
#define PR_RELAY_LAG_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/timer.h"

/** Of one table. Zeroed before first use. */
typedef struct pr_lag_t {
	/** Newest row that any other host has. */
	uint64_t heard;
	/** This host has lacked a row since then; 0 when it lacks none. */
	pr_usec_t since;
} pr_lag_t;

/**
 * Another host tells its newest row.
 *
 * @param have version up to which this host has all rows
 * @return time for which this host has lacked a row; 0 when it lacks none
 */
pr_usec_t pr_lag_update(pr_lag_t *lag, uint64_t newest, uint64_t have,
			pr_usec_t now);

#endif
