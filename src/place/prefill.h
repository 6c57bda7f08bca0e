/**
 * Time that upstreams need to prefill a prompt (to process it before the first
 * output), learned for each model.
 */
#ifndef PR_PLACE_PREFILL_H
#define PR_PLACE_PREFILL_H

#include <stdint.h>

#include "pistachiorack/str.h"
#include "upstream/upstream.h"

/** Number of models whose rate is learned; further ones use the default. */
#define PR_PREFILL_MODELS_MAX 32

/** Learned rates by model. Must be zeroed before first use. */
typedef struct pr_prefill_rates_t {
	struct {
		char model[PR_UPSTREAM_NAME_SIZE];
		/** Running median, milliseconds for 1,000 prompt tokens. */
		double rate;
	} models[PR_PREFILL_MODELS_MAX];
	uint32_t count;
} pr_prefill_rates_t;

/** @return expected time to prefill a prompt of that many tokens, milliseconds
 */
double pr_prefill_ms(const pr_prefill_rates_t *rates, const char *model,
		     uint32_t tokens);
/**
 * Update the rate of a model.
 *
 * @param tokens size of the prompt; short prompts are ignored
 * @param ms time until the first event of the answer, milliseconds
 */
void pr_prefill_learn(pr_prefill_rates_t *rates, const char *model,
		      uint32_t tokens, double ms);

#endif
