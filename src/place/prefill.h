/**
 * Time that upstreams take to read a prompt, learned per model.
 */
#ifndef PR_PLACE_READING_H
#define PR_PLACE_READING_H

#include <stdint.h>

#include "pistachiorack/str.h"
#include "upstream/upstream.h"

/** Models whose rate is learned; further ones use the default. */
#define PR_READING_MODELS 32

/** Zeroed before first use. */
typedef struct pr_reading_t {
	struct {
		char model[PR_UPSTREAM_NAME_SIZE];
		/** Running median, milliseconds for 1,000 prompt tokens. */
		double rate;
	} models[PR_READING_MODELS];
	uint32_t count;
} pr_reading_t;

/** @return milliseconds that a prompt of the size takes */
double pr_reading_ms(const pr_reading_t *reading, const char *model,
		     uint32_t tokens);
/** A prompt's first event came after some time. */
void pr_reading_learn(pr_reading_t *reading, const char *model, uint32_t tokens,
		      double ms);

#endif
