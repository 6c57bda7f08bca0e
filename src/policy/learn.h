/** Declarations private to src/policy. */
#ifndef PISTACHIORACK_POLICY_LEARN_H
#define PISTACHIORACK_POLICY_LEARN_H

#include "pistachiorack/policy.h"

/** @return hash of the names, never 0 */
uint64_t pr_policy_key(pr_slice_t workspace, pr_slice_t request_class,
		       pr_slice_t model, pr_slice_t version);
/** @return rating counts by confidence level, or NULL if there are none */
const pr_calibration_t *pr_policy_calibration(const pr_policy_t *policy,
					      uint64_t key);

/** Estimate as pr_policy_estimate() does, but from a Beta(a, b) prior. */
void pr_policy_estimate_from(const pr_policy_t *policy, pr_slice_t workspace,
			     pr_slice_t request_class, pr_slice_t model,
			     pr_slice_t version, pr_usec_t now, double a,
			     double b, double *quality, double *quality_low);

#endif
