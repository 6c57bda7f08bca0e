/* Mixture martingales for rates above or below a reference (Robbins, 1970). */
#include "pistachiorack/sequential.h"

#include <gsl/gsl_cdf.h>
#include <gsl/gsl_sf_gamma.h>
#include <math.h>
#include <stdbool.h>

/* Weight of the mixture centred close to the reference, in trials. */
#define STRENGTH_NARROW 40.0

static double log_or_minus_infinity(double p)
{
	return p > 0 ? log(p) : -INFINITY;
}

/* Returns the probability that a Beta(a, b) variable is above (or below) p0.
 * The continued fraction of GSL returns NaN for parameters of some 100,000,
 * where the normal approximation is accurate enough. */
static double beta_tail(double p0, double a, double b, bool above)
{
	double tail =
		above ? gsl_cdf_beta_Q(p0, a, b) : gsl_cdf_beta_P(p0, a, b);
	double mean = a / (a + b);
	double deviation = sqrt(mean * (1 - mean) / (a + b + 1));

	if (!isnan(tail))
		return tail;
	return above ? gsl_cdf_gaussian_Q(p0 - mean, deviation)
		     : gsl_cdf_gaussian_P(p0 - mean, deviation);
}

/* Returns the log likelihood ratio of a Beta(a, b) mixture of rates above (or
 * below) p0 against p0. */
static double log_mixture(double bad, double good, double p0, double a,
			  double b, bool above)
{
	return gsl_sf_lnbeta(a + bad, b + good) - gsl_sf_lnbeta(a, b) +
	       log_or_minus_infinity(beta_tail(p0, a + bad, b + good, above)) -
	       log_or_minus_infinity(beta_tail(p0, a, b, above)) -
	       bad * log(p0) - good * log(1 - p0);
}

/* Returns the logarithm of the mean of two martingales: a mixture over all
 * rates and one close to p0. */
static double log_evidence(uint64_t trials, uint64_t bad, double p0, bool above)
{
	double k = (double)bad, n = (double)trials, wide, narrow, centre, most;

	p0 = fmin(fmax(p0, 1e-4), 1 - 1e-4);
	centre = fmin(p0 + (above ? 0.05 : 0), 0.95);
	wide = log_mixture(k, n - k, p0, 1, 1, above);
	narrow = log_mixture(k, n - k, p0, STRENGTH_NARROW * centre,
			     STRENGTH_NARROW * (1 - centre), above);
	most = fmax(wide, narrow);
	if (most == -INFINITY)
		return most;
	return most + log((exp(wide - most) + exp(narrow - most)) / 2);
}

double pr_sequential_evidence_above(uint64_t trials, uint64_t bad, double p0)
{
	return log_evidence(trials, bad, p0, true);
}

double pr_sequential_evidence_below(uint64_t trials, uint64_t bad, double p1)
{
	return log_evidence(trials, bad, p1, false);
}
