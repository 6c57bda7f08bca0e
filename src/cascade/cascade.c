/*
 * The smallest model answers first: reading the prompt costs it a fraction of
 * what the largest takes. When it doubts itself, the largest model follows; a
 * model between them would be asked in vain too often to pay for its run.
 */
#include "cascade/cascade.h"

/* Confidence below which an answer is dropped, per cent. */
#define CONFIDENCE_MIN 50

size_t pr_cascade_first(size_t models)
{
	return 0;
}

size_t pr_cascade_next(const pr_cascade_input_t *input)
{
	if (input->model + 1 >= input->models ||
	    input->confidence >= CONFIDENCE_MIN)
		return input->model;
	return input->models - 1;
}
