/* Random numbers by the GNU Scientific Library. */
#include "pistachiorack/rand.h"

#include <gsl/gsl_randist.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

int pr_rand_init(pr_rand_t *rand, uint64_t seed)
{
	rand->rng = gsl_rng_alloc(gsl_rng_taus2);
	if (!rand->rng)
		return pr_error_set(PR_ENOMEM, "no memory for a generator");
	/* Neighbouring seeds give related first outputs unless mixed. */
	gsl_rng_set(rand->rng, pr_hash64(&seed, sizeof(seed), 0) & 0xffffffff);
	return 0;
}

void pr_rand_finish(pr_rand_t *rand)
{
	if (rand->rng)
		gsl_rng_free(rand->rng);
	rand->rng = NULL;
}

double pr_rand_unit(pr_rand_t *rand)
{
	return gsl_rng_uniform(rand->rng);
}

uint32_t pr_rand_below(pr_rand_t *rand, uint32_t bound)
{
	if (!bound)
		return 0;
	return (uint32_t)gsl_rng_uniform_int(rand->rng, bound);
}

double pr_rand_beta(pr_rand_t *rand, double a, double b)
{
	return gsl_ran_beta(rand->rng, a, b);
}

double pr_rand_exponential(pr_rand_t *rand, double mean)
{
	return gsl_ran_exponential(rand->rng, mean);
}
