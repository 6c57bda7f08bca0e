/**
 * Budget per second of the platform stand-in.
 */
#ifndef STANDIN_BUDGET_H
#define STANDIN_BUDGET_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/timer.h"

/** A token bucket that holds at most one second's worth. */
typedef struct budget_t {
	double per_s;
	double tokens;
	pr_usec_t filled;
	/** Use in the running second and the largest of any second. */
	uint32_t second_use;
	uint32_t peak_use;
	pr_usec_t second;
	uint64_t refused;
} budget_t;

void budget_init(budget_t *budget, double per_s, pr_usec_t now);
/** @return false when less than amount is left */
bool budget_take(budget_t *budget, double amount, pr_usec_t now);
/** @return {"per_s","peak","refused"} */
json_t *budget_json(const budget_t *budget);

#endif
