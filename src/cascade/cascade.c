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
 *
 * Upstreams prefill a prompt between the tokens of their other requests, so a
 * long prefill pauses all streams on the same upstream. Where streams are seen
 * to pause for longer than their route allows, no request is escalated whose
 * prefill alone takes that long.
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
/* The same for the prefill time as a fraction of the gap that the route allows
 * between events. At the full weight of pauses the threshold falls to 0, so
 * that from PAUSE_HIGH on no request is escalated. */
#define PAUSE_LOW  0.5
#define PAUSE_HIGH 1.0

size_t pr_cascade_first_model(size_t models)
{
	return 0;
}

/* How the confidence threshold falls as a time grows. */
typedef struct threshold_curve_t {
	/* CONFIDENCE_IDLE holds up to this fraction of the limit. */
	double low;
	/* least holds from this fraction on; linear in between. */
	double high;
	double least;
} threshold_curve_t;

static const threshold_curve_t response_start_curve = { RESPONSE_START_LOW,
							RESPONSE_START_HIGH,
							CONFIDENCE_LATE };
static const threshold_curve_t wait_curve = { WAIT_LOW, WAIT_HIGH,
					      CONFIDENCE_LATE };
static const threshold_curve_t pause_curve = { PAUSE_LOW, PAUSE_HIGH, 0 };

/*
 * @param limit_ms time that the curve's fractions refer to; 0 or less for none
 */
static double threshold_at(const threshold_curve_t *curve, double ms,
			   double limit_ms)
{
	double part;

	if (limit_ms <= 0)
		return CONFIDENCE_IDLE;
	part = (ms / limit_ms - curve->low) / (curve->high - curve->low);
	part = fmin(fmax(part, 0), 1);
	return CONFIDENCE_IDLE - (CONFIDENCE_IDLE - curve->least) * part;
}

static double confidence_threshold(const pr_cascade_input_t *input)
{
	double response_start_ms =
		input->elapsed_ms + input->wait_ms + input->prefill_ms;
	double threshold = threshold_at(&response_start_curve,
					response_start_ms, input->target_ms);
	double unpaused =
		threshold_at(&pause_curve, input->prefill_ms, input->gap_ms);

	threshold = fmin(threshold, threshold_at(&wait_curve, input->wait_ms,
						 input->target_ms));
	return fmin(threshold, CONFIDENCE_IDLE - (CONFIDENCE_IDLE - unpaused) *
							 input->pause_weight);
}

size_t pr_cascade_next_model(const pr_cascade_input_t *input)
{
	if (input->model + 1 >= input->models ||
	    input->confidence >= confidence_threshold(input))
		return input->model;
	return input->models - 1;
}
