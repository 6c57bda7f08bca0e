/**
 * Sequential test of a rate. It may be evaluated after any number of trials: if
 * there is no difference, the evidence ever reaches log(1 / alpha) with a
 * probability of at most alpha.
 */
#ifndef PISTACHIORACK_SEQUENTIAL_H
#define PISTACHIORACK_SEQUENTIAL_H

#include <stdint.h>

/** @return natural logarithm of the evidence that the bad rate is above p0 */
double pr_sequential_evidence_above(uint64_t trials, uint64_t bad, double p0);
/** @return natural logarithm of the evidence that the bad rate is below p1 */
double pr_sequential_evidence_below(uint64_t trials, uint64_t bad, double p1);

#endif
