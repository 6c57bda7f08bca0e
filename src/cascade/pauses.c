/* Moving average of the share of streams that pause for too long. */
#include "cascade/pauses.h"

#include <math.h>

/* Streams over which the share is averaged. */
#define STREAMS_AVERAGED 64
/* Share of paused streams that gives pauses their full weight. */
#define SHARE_FULL_WEIGHT 0.01

void pr_pauses_add(pr_pauses_t *pauses, bool paused)
{
	pauses->share += (paused - pauses->share) / STREAMS_AVERAGED;
}

double pr_pauses_weight(const pr_pauses_t *pauses)
{
	return fmin(pauses->share / SHARE_FULL_WEIGHT, 1);
}
