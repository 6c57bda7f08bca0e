/**
 * Model cascade for requests that leave the choice of the model to the router:
 * which model responds first, and whether its response is kept or the request
 * is escalated to a larger model.
 */
#ifndef PR_CASCADE_CASCADE_H
#define PR_CASCADE_CASCADE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** State of a request when the head of a model's response has arrived. */
typedef struct pr_cascade_input_t {
	/** Number of models of the route, ordered from smallest to largest. */
	size_t models;
	/** Index of the model that responded. */
	size_t model;
	/** Confidence that the model reports for its response, 0 to 100. */
	uint32_t confidence;
	/** Latency objective of the request, milliseconds; 0 or less for
	 *  none. */
	double target_ms;
	/** Time since the request arrived, milliseconds. */
	double elapsed_ms;
	/** Expected queueing time before the prefill of the largest model,
	 *  milliseconds. */
	double wait_ms;
	/** Prefill time of the largest model, milliseconds. Prefill is the
	 *  reading of the prompt before the first token. */
	double prefill_ms;
	/** Longest time between two events of a stream that the route allows,
	 *  milliseconds; 0 for none. */
	double gap_ms;
	/** Weight of avoiding pauses of other streams, 0 to 1; see pauses.h. */
	double pause_weight;
} pr_cascade_input_t;

/** @return index of the model that a request is sent to first */
size_t pr_cascade_first_model(size_t models);
/**
 * Decide whether to escalate a request.
 *
 * @return index of the model to escalate to, or input->model to keep the
 *	   response
 */
size_t pr_cascade_next_model(const pr_cascade_input_t *input);

#endif
