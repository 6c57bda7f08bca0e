/*
 * Applies one change of a roll-out to the fleet configuration: compare-and-set
 * of row config/current, with the document in force as its base.
 */
#ifndef PR_ROUTER_STEPPER_H
#define PR_ROUTER_STEPPER_H

#include <stdbool.h>

#include "pistachiorack/rollout.h"
#include "pistachiorack/str.h"

struct pr_router_t;
typedef struct pr_stepper_t pr_stepper_t;

/** @return 0 or PR_ENOMEM */
int pr_stepper_open(pr_stepper_t **out, struct pr_router_t *router);
/** NULL is allowed. */
void pr_stepper_close(pr_stepper_t *stepper);
/** @return true while a change is being applied */
bool pr_stepper_busy(const pr_stepper_t *stepper);
/**
 * Start to apply a change to the configuration in force.
 *
 * @return 0, PR_ENOTFOUND (no such version), PR_EINVALID (the document would
 *	   not be valid) or PR_ENOMEM
 */
int pr_stepper_start(pr_stepper_t *stepper, const pr_rollout_change_t *change);
void pr_stepper_metrics(const pr_stepper_t *stepper, pr_str_t *out);

#endif
