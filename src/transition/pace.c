/* Running medians by stochastic approximation, as in place/reading.c. */
#include "transition/pace.h"

/* Part by which a sample moves the estimate. */
#define STEP 0.05
/* Samples before the median is used. */
#define SAMPLES_MIN 20
/* An answer is slow when it takes this many times the median. The old version's
 * answers beside it tell how often load alone does that. */
#define SLOW_RATIO 1.8

void pr_pace_learn(pr_pace_t *pace, uint64_t kind, double ms)
{
	uint32_t i = 0;

	while (i < pace->count && pace->kinds[i].kind != kind)
		i++;
	if (i == PR_PACE_KINDS_MAX)
		return;
	if (i == pace->count) {
		pace->count++;
		pace->kinds[i].kind = kind;
		pace->kinds[i].median = ms;
	}
	pace->kinds[i].samples++;
	pace->kinds[i].median *=
		ms > pace->kinds[i].median ? 1 + STEP : 1 - STEP;
}

bool pr_pace_is_slow(const pr_pace_t *pace, uint64_t kind, double ms)
{
	for (uint32_t i = 0; i < pace->count; i++) {
		if (pace->kinds[i].kind == kind)
			return pace->kinds[i].samples >= SAMPLES_MIN &&
			       ms > SLOW_RATIO * pace->kinds[i].median;
	}
	return false;
}
