/**
 * Mechanisms that tests switch off, to show that the tests notice it.
 *
 * The environment variable PISTACHIORACK_TEST_OFF holds names of mechanisms,
 * separated by commas. It is read once at start. A binary that was built
 * without PR_TEST_SWITCHES does not start when the variable is set, so that a
 * production host can never run without a mechanism.
 *
 *   claims         requests that may not be repeated run without a claim
 *   bill-holders   bills are held by no other host
 *   drain          a stop ends the process at once
 *   config         configurations after the first are not put in force
 *   monotonic      a configuration with a lower version is accepted
 *   ramp           an upstream in cold start gets as much work as others
 *   host-list      the platform's states of upstreams are ignored
 *   answer-check   an answer is not matched with its attempt
 *   retry-budget   retries are not limited
 *   rollout-test   versions in roll-out are not withdrawn by evidence
 *   rollout-budget exposure to versions in roll-out is not limited
 *   session-memory sessions without a token are not remembered
 *   cancel         work of callers that left goes on
 *   ramp           cold upstreams get as much work as warm ones
 */
#ifndef PR_ROUTER_TEST_OFF_H
#define PR_ROUTER_TEST_OFF_H

#include <stdbool.h>

/** Read the variable. @return 0, or PR_EINVALID when it is not permitted */
int pr_test_off_init(void);
bool pr_test_off(const char *mechanism);

#endif
