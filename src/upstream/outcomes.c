/* Failure rate of an upstream by counts with exponential decay. */
#include "upstream/outcomes.h"

#include <math.h>

/* Time constant of the decay, microseconds: an upstream that failed all of 20
 * requests is used again after some 10 s, one that failed two of five after
 * some 5 s. */
#define DECAY_TIME (3.0 * PR_USEC_PER_SEC)
/* Good answers added to the count, so that the rate is low while there are few
 * answers. */
#define ASSUMED_GOOD 2.0

/* Factor by which the counts have decayed until now. */
static double decay_factor(const pr_outcomes_t *outcomes, pr_usec_t now)
{
	return exp(-(double)(now - outcomes->at) / DECAY_TIME);
}

void pr_outcomes_decay(pr_outcomes_t *outcomes, pr_usec_t now)
{
	double keep = decay_factor(outcomes, now);

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
	double keep_own = decay_factor(own, now);
	double keep_others = decay_factor(others, now);

	return (own->failed * keep_own + others->failed * keep_others) /
	       (own->answered * keep_own + others->answered * keep_others +
		ASSUMED_GOOD);
}
