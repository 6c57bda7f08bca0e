/*
 * Running high quantiles by stochastic approximation: a sample above the
 * estimate moves it up by a fixed fraction and one below moves it down by a
 * much smaller one, so that the estimate rests where samples exceed it in
 * 1 - QUANTILE of the cases.
 */
#include "dispatch/patience.h"

#include <math.h>

/* The part of first events that arrive within the usual time. Of the rest, most
 * arrive within PAUSE_MS after it. */
#define QUANTILE 0.98
/* Fraction by which a sample moves an estimate. When a whole service gets slow,
 * 11 samples raise the factor tenfold. It returns within 460 normal samples,
 * which a host with 6 requests/s has in 80 s. */
#define STEP_FRACTION 0.25
/* Bounds of the factor. The lower one allows for errors of the expected time;
 * the upper one exceeds the fixed limit for any expected time. */
#define FACTOR_MIN 1.5
#define FACTOR_MAX 500.0
/* Factor before the first sample. It is above what is usual, since the estimate
 * falls more slowly than it rises. */
#define FACTOR_FIRST 3.0
/* Number of samples from which the factor is used. */
#define SAMPLES_MIN 20
/* Time for connection and network that the expected time leaves out. Without
 * it, the factor of short calls on idle upstreams would be unlimited. */
#define EXPECTED_MIN_MS 50.0
/* A sound upstream may be silent for about this long and then continue. */
#define PAUSE_MS 1000.0
/* Allowance for the next attempt: it needs up to this multiple of the expected
 * time, and this time for the search of an upstream, which is repeated every
 * 100 ms. */
#define NEXT_FACTOR    1.5
#define NEXT_SEARCH_MS 100.0

static void approach_quantile(double *estimate, double sample)
{
	*estimate *= sample > *estimate ? 1 + STEP_FRACTION * QUANTILE
					: 1 - STEP_FRACTION * (1 - QUANTILE);
}

double pr_patience_factor(const pr_patience_t *patience)
{
	return patience->samples < SAMPLES_MIN ? 0 : patience->factor;
}

/*
 * In order of precedence: the fixed limit; the usual time of a sound upstream;
 * the latest time at which another attempt can still meet the objective, or,
 * when it cannot, the deadline. Between the last two, the later one is taken,
 * since the work of an attempt is lost when it is replaced.
 */
double pr_patience_wait_ms(const pr_patience_t *patience,
			   const pr_patience_attempt_t *attempt)
{
	double factor = patience ? pr_patience_factor(patience) : 0;
	double next = fmax(attempt->next_ms, EXPECTED_MIN_MS);
	double need = next * NEXT_FACTOR + NEXT_SEARCH_MS;
	double objective_left = attempt->objective_ms - attempt->used_ms;
	double usual, latest;

	if (!patience || factor <= 0)
		return attempt->limit_ms;
	usual = fmax(attempt->expected_ms, EXPECTED_MIN_MS) * factor + PAUSE_MS;
	/* The next attempt would be too late even for the deadline. */
	if (usual + next > attempt->left_ms)
		return attempt->limit_ms;
	latest = attempt->left_ms - need - attempt->tokens * patience->token_ms;
	if (usual + next <= objective_left)
		latest = fmin(latest, objective_left - need);
	return fmin(fmax(usual, latest), attempt->limit_ms);
}

static double factor_of(double expected_ms, double actual_ms)
{
	return actual_ms / fmax(expected_ms, EXPECTED_MIN_MS);
}

void pr_patience_learn(pr_patience_t *patience, double expected_ms,
		       double actual_ms)
{
	if (patience->factor <= 0)
		patience->factor = FACTOR_FIRST;
	if (patience->samples < SAMPLES_MIN)
		patience->samples++;
	approach_quantile(&patience->factor, factor_of(expected_ms, actual_ms));
	patience->factor = fmin(fmax(patience->factor, FACTOR_MIN), FACTOR_MAX);
}

bool pr_patience_learn_silence(pr_patience_t *patience, double expected_ms,
			       double waited_ms)
{
	double usual = patience->factor > 0 ? patience->factor : FACTOR_FIRST;

	if (factor_of(expected_ms, waited_ms) <= usual)
		return false;
	pr_patience_learn(patience, expected_ms, waited_ms);
	return true;
}

void pr_patience_learn_rest(pr_patience_t *patience, double tokens, double ms)
{
	double sample = ms / fmax(tokens, 1);

	if (patience->token_ms > 0)
		approach_quantile(&patience->token_ms, sample);
	else
		patience->token_ms = sample;
}
