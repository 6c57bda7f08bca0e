/**
 * Cascade over models of unlike size: which one answers first, and whether its
 * answer is kept or dropped for a larger model's.
 */
#ifndef PR_CASCADE_CASCADE_H
#define PR_CASCADE_CASCADE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What is known when an answer's head has arrived. */
typedef struct pr_cascade_input_t {
	/** Models of the route, smallest first, and the one that answered. */
	size_t models, model;
	/** The model's own opinion of its answer, 0 to 100. */
	uint32_t confidence;
	/** Latency objective, and the time that is used of it, milliseconds. */
	double target_ms, elapsed_ms;
	/** Wait until the largest model would read the prompt, milliseconds. */
	double wait_ms;
	/** Time that it would read, milliseconds. */
	double reading_ms;
} pr_cascade_input_t;

/** @return the model that answers a request first */
size_t pr_cascade_first_model(size_t models);
/** @return the model whose answer is wanted; the same one to keep this */
size_t pr_cascade_next_model(const pr_cascade_input_t *input);

#endif
