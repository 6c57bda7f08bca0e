/**
 * Sequential test of a rate: it may be looked at after any number of trials,
 * and evidence of log(1 / alpha) comes with probability alpha at most when
 * there is no difference.
 */
#ifndef PISTACHIORACK_SEQUENTIAL_H
#define PISTACHIORACK_SEQUENTIAL_H

#include <stdint.h>

/** Log of the evidence that the bad rate is above p0. */
double pr_sequential_evidence_above(uint64_t trials, uint64_t bad, double p0);
/** Log of the evidence that the bad rate is below p1. */
double pr_sequential_evidence_below(uint64_t trials, uint64_t bad, double p1);

#endif
