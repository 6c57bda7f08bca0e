/*
 * Running median of the prefill time per token by stochastic approximation:
 * each sample moves the estimate up or down by a fixed fraction, however far
 * away it is, so that a few slow upstreams do not dominate the estimate.
 */
#include "place/prefill.h"

#include <string.h>

/* Estimate before the first sample, milliseconds for 1,000 tokens. */
#define RATE_DEFAULT_MS 20.0
/* Fraction by which a sample moves the estimate. */
#define STEP_FRACTION 0.04
/* Shorter prompts are ignored: fixed costs dominate their time, not the
 * prefill. */
#define TOKENS_MIN 500
/* Bounds of the estimate, milliseconds for 1,000 tokens. */
#define RATE_MIN_MS 1.0
#define RATE_MAX_MS 1000.0

static double *find_or_add_rate(pr_prefill_rates_t *rates, const char *model)
{
	for (uint32_t i = 0; i < rates->count; i++) {
		if (!strcmp(rates->models[i].model, model))
			return &rates->models[i].rate;
	}
	if (rates->count == PR_PREFILL_MODELS_MAX ||
	    pr_slice_copy(rates->models[rates->count].model,
			  sizeof(rates->models[0].model), pr_slice_of(model)))
		return NULL;
	rates->models[rates->count].rate = RATE_DEFAULT_MS;
	return &rates->models[rates->count++].rate;
}

double pr_prefill_ms(const pr_prefill_rates_t *rates, const char *model,
		     uint32_t tokens)
{
	double rate = RATE_DEFAULT_MS;

	for (uint32_t i = 0; i < rates->count; i++) {
		if (!strcmp(rates->models[i].model, model))
			rate = rates->models[i].rate;
	}
	return rate * tokens / 1000.0;
}

void pr_prefill_learn(pr_prefill_rates_t *rates, const char *model,
		      uint32_t tokens, double ms)
{
	double *rate = find_or_add_rate(rates, model);
	double sample;

	if (!rate || tokens < TOKENS_MIN)
		return;
	sample = ms * 1000.0 / tokens;
	*rate *= sample > *rate ? 1 + STEP_FRACTION : 1 - STEP_FRACTION;
	if (*rate < RATE_MIN_MS)
		*rate = RATE_MIN_MS;
	if (*rate > RATE_MAX_MS)
		*rate = RATE_MAX_MS;
}
