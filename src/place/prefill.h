/**
 * Time that upstreams take to read a prompt, learned per model.
 */
#ifndef PR_PLACE_PREFILL_H
#define PR_PLACE_PREFILL_H

#include <stdint.h>

#include "pistachiorack/str.h"
#include "upstream/upstream.h"

/** Models whose rate is learned; further ones use the default. */
#define PR_PREFILL_MODELS_MAX 32

/** Zeroed before first use. */
typedef struct pr_prefill_rates_t {
	struct {
		char model[PR_UPSTREAM_NAME_SIZE];
		/** Running median, milliseconds for 1,000 prompt tokens. */
		double rate;
	} models[PR_PREFILL_MODELS_MAX];
	uint32_t count;
} pr_prefill_rates_t;

/** @return milliseconds that a prompt of the size takes */
double pr_prefill_ms(const pr_prefill_rates_t *reading, const char *model,
		     uint32_t tokens);
/** A prompt's first event came after some time. */
void pr_prefill_learn(pr_prefill_rates_t *reading, const char *model,
		      uint32_t tokens, double ms);

#endif
