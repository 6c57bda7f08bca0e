/* Lag behind the newest row of all hosts, not behind that of the last one
 * heard: a relay that lags itself would hide one that is ahead. */
#include "relay/lag.h"

pr_usec_t pr_lag_update(pr_lag_t *lag, uint64_t newest, uint64_t have,
			pr_usec_t now)
{
	if (newest > lag->heard)
		lag->heard = newest;
	if (lag->heard <= have) {
		lag->since = 0;
		return 0;
	}
	if (!lag->since)
		lag->since = now;
	return now - lag->since;
}
