/*
 * Running medians by stochastic approximation: each sample moves the estimate
 * by a fixed part in its direction, so that a few slow upstreams do not count
 * for more than others.
 */
#include "place/prefill.h"

#include <string.h>

/* Estimate before the first sample, milliseconds for 1,000 tokens. */
#define RATE_DEFAULT 20.0
/* Part by which a sample moves the estimate. */
#define STEP 0.04
/* Shorter prompts tell more of the fixed costs than of the reading. */
#define TOKENS_MIN 500
#define RATE_MIN   1.0
#define RATE_MAX   1000.0

static double *find(pr_prefill_rates_t *reading, const char *model)
{
	for (uint32_t i = 0; i < reading->count; i++) {
		if (!strcmp(reading->models[i].model, model))
			return &reading->models[i].rate;
	}
	if (reading->count == PR_PREFILL_MODELS_MAX ||
	    pr_slice_copy(reading->models[reading->count].model,
			  sizeof(reading->models[0].model), pr_slice_of(model)))
		return NULL;
	reading->models[reading->count].rate = RATE_DEFAULT;
	return &reading->models[reading->count++].rate;
}

double pr_prefill_ms(const pr_prefill_rates_t *reading, const char *model,
		     uint32_t tokens)
{
	double rate = RATE_DEFAULT;

	for (uint32_t i = 0; i < reading->count; i++) {
		if (!strcmp(reading->models[i].model, model))
			rate = reading->models[i].rate;
	}
	return rate * tokens / 1000.0;
}

void pr_prefill_learn(pr_prefill_rates_t *reading, const char *model,
		      uint32_t tokens, double ms)
{
	double *rate = find(reading, model);
	double sample;

	if (!rate || tokens < TOKENS_MIN)
		return;
	sample = ms * 1000.0 / tokens;
	*rate *= sample > *rate ? 1 + STEP : 1 - STEP;
	if (*rate < RATE_MIN)
		*rate = RATE_MIN;
	if (*rate > RATE_MAX)
		*rate = RATE_MAX;
}
