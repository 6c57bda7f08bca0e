/*
 * The smallest model answers first: reading the prompt costs it a fraction of
 * what the largest takes. When it doubts itself, the largest model follows; a
 * model between them would be asked in vain too often to pay for its run.
 *
 * The largest model's time is scarce. A late answer is worth less than one of
 * the small model that is probably good, so more doubt is needed to ask for an
 * answer that would be late. The wait in front of the largest model tells that
 * it is asked for more than it can answer; every run that is not started
 * shortens the wait of the others.
 */
#include "cascade/cascade.h"

#include <math.h>

/* Confidence below which an answer is dropped when there is no wait. */
#define CONFIDENCE_IDLE 50.0
/* The same when the larger model's answer would be late, or when it is asked
 * for more than it can answer. */
#define CONFIDENCE_LATE 12.0
/* Parts of the objective between which the bound goes from one to the other,
 * for the time at which the answer would begin. */
#define BEGIN_FROM 0.5
#define BEGIN_TO   1.0
/* The same for the wait alone. */
#define WAIT_FROM 0.1
#define WAIT_TO   0.5

size_t pr_cascade_first_model(size_t models)
{
	return 0;
}

/* @return CONFIDENCE_IDLE up to a part of the objective, CONFIDENCE_LATE from
 *	   another one on */
static double bound_of(double part, double from, double to)
{
	if (part <= from)
		return CONFIDENCE_IDLE;
	if (part >= to)
		return CONFIDENCE_LATE;
	return CONFIDENCE_IDLE - (CONFIDENCE_IDLE - CONFIDENCE_LATE) *
					 (part - from) / (to - from);
}

static double least_confidence(const pr_cascade_input_t *input)
{
	double begin = input->elapsed_ms + input->wait_ms + input->reading_ms;

	if (input->target_ms <= 0)
		return CONFIDENCE_IDLE;
	return fmin(bound_of(begin / input->target_ms, BEGIN_FROM, BEGIN_TO),
		    bound_of(input->wait_ms / input->target_ms, WAIT_FROM,
			     WAIT_TO));
}

size_t pr_cascade_next_model(const pr_cascade_input_t *input)
{
	if (input->model + 1 >= input->models ||
	    input->confidence >= least_confidence(input))
		return input->model;
	return input->models - 1;
}
