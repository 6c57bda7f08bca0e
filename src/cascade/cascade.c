/*
 * The smallest model responds first, since its prefill costs a fraction of
 * that of the largest model. When its confidence is below a threshold, the
 * request is escalated directly to the largest model: a model of medium size
 * would have too little confidence in its own response too often to be worth
 * running.
 *
 * The capacity of the largest model is scarce. A late response is worth less
 * than a small model's response that is probably good, so the threshold falls
 * when the response of the largest model would be late. It also falls with the
 * queueing time of the largest model, which shows that the model is overloaded;
 * each escalation that is avoided shortens the queue for the others.
 */
#include "cascade/cascade.h"

#include <math.h>

/* Confidence (0 to 100) below which a request is escalated when the largest
 * model is idle. */
#define CONFIDENCE_IDLE 50.0
/* The same when the response of the largest model would be late, or when that
 * model is overloaded. */
#define CONFIDENCE_LATE 12.0
/* As the time from the request's arrival until the response of the largest
 * model would start rises between these fractions of the latency objective, the
 * threshold falls from CONFIDENCE_IDLE to CONFIDENCE_LATE. */
#define RESPONSE_START_LOW  0.5
#define RESPONSE_START_HIGH 1.0
/* The same for the queueing time of the largest model alone. */
#define WAIT_LOW  0.1
#define WAIT_HIGH 0.5

size_t pr_cascade_first_model(size_t models)
{
	return 0;
}

/*
 * Interpolates the confidence threshold linearly.
 *
 * @param fraction time as a fraction of the latency objective
 * @return CONFIDENCE_IDLE up to the fraction low, CONFIDENCE_LATE from high on
 */
static double threshold_at(double fraction, double low, double high)
{
	if (fraction <= low)
		return CONFIDENCE_IDLE;
	if (fraction >= high)
		return CONFIDENCE_LATE;
	return CONFIDENCE_IDLE - (CONFIDENCE_IDLE - CONFIDENCE_LATE) *
					 (fraction - low) / (high - low);
}

static double confidence_threshold(const pr_cascade_input_t *input)
{
	double response_start_ms =
		input->elapsed_ms + input->wait_ms + input->prefill_ms;

	if (input->target_ms <= 0)
		return CONFIDENCE_IDLE;
	return fmin(threshold_at(response_start_ms / input->target_ms,
				 RESPONSE_START_LOW, RESPONSE_START_HIGH),
		    threshold_at(input->wait_ms / input->target_ms, WAIT_LOW,
				 WAIT_HIGH));
}

size_t pr_cascade_next_model(const pr_cascade_input_t *input)
{
	if (input->model + 1 >= input->models ||
	    input->confidence >= confidence_threshold(input))
		return input->model;
	return input->models - 1;
}
