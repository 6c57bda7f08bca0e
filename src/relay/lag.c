/*
 * The lag counts from the newest row that any host reported. Comparing with the
 * latest report alone would let a lagging relay hide one that is ahead.
 */
#include "relay/lag.h"

pr_usec_t pr_lag_update(pr_lag_t *lag, pr_revision_t newest, pr_revision_t have,
			pr_usec_t now)
{
	lag->newest = pr_revision_later(lag->newest, newest);
	if (!pr_revision_is_after(lag->newest, have)) {
		lag->since = 0;
		return 0;
	}
	if (!lag->since)
		lag->since = now;
	return now - lag->since;
}
