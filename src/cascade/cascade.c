/*
 * The smallest model answers first: reading the prompt costs it a fraction of
 * what the largest takes. When it doubts itself, the largest model follows; a
 * model between them would be asked in vain too often to pay for its run.
 *
 * The largest model's time is scarce. The longer its answer would take of the
 * objective, the more doubt is needed to ask for it: a late answer is worth
 * less than one of the small model that is probably good, and every run that is
 * not started shortens the wait of the others.
 */
#include "cascade/cascade.h"

/* Confidence below which an answer is dropped when there is no wait. */
#define CONFIDENCE_IDLE 50.0
/* The same when the larger model's answer would be late. */
#define CONFIDENCE_LATE 12.0
/* Parts of the objective between which the bound goes from one to the other. */
#define WAIT_FROM 0.3
#define WAIT_TO   0.75

size_t pr_cascade_first(size_t models)
{
	return 0;
}

static double least_confidence(const pr_cascade_input_t *input)
{
	double part;

	if (input->target_ms <= 0)
		return CONFIDENCE_IDLE;
	part = (input->elapsed_ms + input->wait_ms) / input->target_ms;
	if (part <= WAIT_FROM)
		return CONFIDENCE_IDLE;
	if (part >= WAIT_TO)
		return CONFIDENCE_LATE;
	return CONFIDENCE_IDLE - (CONFIDENCE_IDLE - CONFIDENCE_LATE) *
					 (part - WAIT_FROM) /
					 (WAIT_TO - WAIT_FROM);
}

size_t pr_cascade_next(const pr_cascade_input_t *input)
{
	if (input->model + 1 >= input->models ||
	    input->confidence >= least_confidence(input))
		return input->model;
	return input->models - 1;
}
