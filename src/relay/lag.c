/*
 * The lag counts from the newest row that any host reported. Comparing with the
 * latest report alone would let a lagging relay hide one that is ahead.
 */
#include "relay/lag.h"

pr_usec_t pr_lag_update(pr_lag_t *lag, uint64_t newest, uint64_t have,
			pr_usec_t now)
{
	if (newest > lag->newest)
		lag->newest = newest;
	if (lag->newest <= have) {
		lag->since = 0;
		return 0;
	}
	if (!lag->since)
		lag->since = now;
	return now - lag->since;
}
