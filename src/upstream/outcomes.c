/* Counts with exponential decay. */
#include "upstream/outcomes.h"

#include <math.h>

/* Time constant: an upstream that failed all of 20 requests is asked again
 * after some 10 s, one that failed two of five after some 5 s. */
#define FADE_TIME (3.0 * PR_USEC_PER_SEC)
/* Good answers that are assumed before any is seen. */
#define ASSUMED_GOOD 2.0

static double kept(const pr_outcomes_t *outcomes, pr_usec_t now)
{
	return exp(-(double)(now - outcomes->at) / FADE_TIME);
}

void pr_outcomes_decay(pr_outcomes_t *outcomes, pr_usec_t now)
{
	double keep = kept(outcomes, now);

	outcomes->answered *= keep;
	outcomes->failed *= keep;
	outcomes->at = now;
}

void pr_outcomes_add(pr_outcomes_t *outcomes, bool failed, pr_usec_t now)
{
	pr_outcomes_decay(outcomes, now);
	outcomes->answered += 1;
	outcomes->failed += failed;
}

double pr_outcomes_failure_rate(const pr_outcomes_t *own,
				const pr_outcomes_t *others, pr_usec_t now)
{
	double keep_own = kept(own, now);
	double keep_others = kept(others, now);

	return (own->failed * keep_own + others->failed * keep_others) /
	       (own->answered * keep_own + others->answered * keep_others +
		ASSUMED_GOOD);
}
