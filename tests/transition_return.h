/** Transitions for tests in which the store returns from an older copy. */
#ifndef PR_TESTS_TRANSITION_RETURN_H
#define PR_TESTS_TRANSITION_RETURN_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "transition/transition.h"

#define DURATION_MS 24000
#define BEGAN_MS    100000
/* Time by the host's clock at which the store returns. */
#define RETURN (1000 * PR_USEC_PER_SEC)

static const pr_rollout_order_t ordered = { "model", "v2", DURATION_MS };

static inline pr_revision_t in_era(uint64_t era, uint64_t number)
{
	return (pr_revision_t){ era, number };
}

static inline pr_transition_row_t row_of(uint64_t order,
					 pr_rollout_state_t state)
{
	return (pr_transition_row_t){ .order = order,
				      .state = state,
				      .began_ms = BEGAN_MS };
}

/* A transition of the order with number 100 of the first era, with the shared
 * row at number 110. */
static inline void begin(pr_transition_t *transition, pr_rollout_state_t state)
{
	pr_transition_row_t row = row_of(100, state);

	memset(transition, 0, sizeof(*transition));
	pr_transition_receive_order(transition, &ordered, in_era(1, 100), 1);
	pr_transition_apply(transition, &row, in_era(1, 110));
	assert_int_equal(transition->state, state);
}

/* Pass time in steps in which the host follows the orders or does not.
 *
 * @return true when a held order was taken */
static inline bool pass(pr_transition_t *transition, pr_usec_t from,
			pr_usec_t until, bool follows)
{
	bool taken = false;

	for (pr_usec_t now = from; now <= until; now += PR_USEC_PER_SEC / 10)
		taken |= pr_transition_check_held(transition, now, follows);
	return taken;
}

#endif
