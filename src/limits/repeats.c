/* Sliding window of requests and repeats in slots. */
#include "limits/repeats.h"

#include <string.h>

void pr_repeat_budget_init(pr_repeat_budget_t *budget, pr_usec_t window)
{
	memset(budget, 0, sizeof(*budget));
	budget->slot = window / PR_REPEAT_BUDGET_SLOTS;
	if (budget->slot < 1)
		budget->slot = 1;
}

static uint32_t *seat(uint32_t *slots, int64_t at)
{
	return &slots[at % PR_REPEAT_BUDGET_SLOTS];
}

static void advance(pr_repeat_budget_t *budget, pr_usec_t now)
{
	int64_t at = now / budget->slot;

	if (at - budget->current >= PR_REPEAT_BUDGET_SLOTS)
		budget->current = at - PR_REPEAT_BUDGET_SLOTS;
	while (budget->current < at) {
		budget->current++;
		*seat(budget->requests, budget->current) = 0;
		*seat(budget->repeats, budget->current) = 0;
	}
}

void pr_repeat_budget_add_request(pr_repeat_budget_t *budget, pr_usec_t now)
{
	advance(budget, now);
	(*seat(budget->requests, budget->current))++;
}

bool pr_repeat_budget_take(pr_repeat_budget_t *budget, double ratio,
			   uint32_t slack, pr_usec_t now)
{
	uint32_t requests = 0, repeats = 0;

	advance(budget, now);
	for (int i = 0; i < PR_REPEAT_BUDGET_SLOTS; i++) {
		requests += budget->requests[i];
		repeats += budget->repeats[i];
	}
	if (repeats + 1 > ratio * requests + slack)
		return false;
	(*seat(budget->repeats, budget->current))++;
	return true;
}
