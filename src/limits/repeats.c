/*
 * Repeat budget: a sliding window that counts requests and repeats in slots of
 * equal length.
 */
#include "limits/repeats.h"

#include <string.h>

void pr_repeat_budget_init(pr_repeat_budget_t *budget, pr_usec_t window)
{
	memset(budget, 0, sizeof(*budget));
	budget->slot_len = window / PR_REPEAT_BUDGET_SLOTS;
	if (budget->slot_len < 1)
		budget->slot_len = 1;
}

static uint32_t *slot_at(uint32_t *counts, int64_t slot)
{
	return &counts[slot % PR_REPEAT_BUDGET_SLOTS];
}

/* Moves the window forward to now and clears the slots that it enters. */
static void advance(pr_repeat_budget_t *budget, pr_usec_t now)
{
	int64_t slot = now / budget->slot_len;

	if (slot - budget->current_slot >= PR_REPEAT_BUDGET_SLOTS)
		budget->current_slot = slot - PR_REPEAT_BUDGET_SLOTS;
	while (budget->current_slot < slot) {
		budget->current_slot++;
		*slot_at(budget->requests, budget->current_slot) = 0;
		*slot_at(budget->repeats, budget->current_slot) = 0;
	}
}

void pr_repeat_budget_add_request(pr_repeat_budget_t *budget, pr_usec_t now)
{
	advance(budget, now);
	(*slot_at(budget->requests, budget->current_slot))++;
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
	(*slot_at(budget->repeats, budget->current_slot))++;
	return true;
}
