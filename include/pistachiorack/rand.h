/**
 * Seeded random numbers; every random choice takes one of these from its
 * caller, so a run is repeatable from its seed.
 */
#ifndef PISTACHIORACK_RAND_H
#define PISTACHIORACK_RAND_H

#include <gsl/gsl_rng.h>
#include <stdint.h>

typedef struct pr_rand_t {
	gsl_rng *rng;
} pr_rand_t;

/** @return 0 or PR_ENOMEM */
int pr_rand_init(pr_rand_t *rand, uint64_t seed);
void pr_rand_finish(pr_rand_t *rand);
/** @return uniform number in [0, 1) */
double pr_rand_unit(pr_rand_t *rand);
/** @return uniform number in [0, bound); 0 when bound is 0 */
uint32_t pr_rand_below(pr_rand_t *rand, uint32_t bound);
/** @return a sample of the Beta distribution with parameters a and b */
double pr_rand_beta(pr_rand_t *rand, double a, double b);
/** @return exponentially distributed number with the given mean */
double pr_rand_exponential(pr_rand_t *rand, double mean);

#endif
