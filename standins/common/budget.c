#include "budget.h"

void budget_init(budget_t *budget, double per_s, pr_usec_t now)
{
	*budget = (budget_t){
		.per_s = per_s,
		.tokens = per_s,
		.filled = now,
		.second = now,
	};
}

bool budget_take(budget_t *budget, double amount, pr_usec_t now)
{
	double gained = (double)(now - budget->filled) * budget->per_s /
			(double)PR_USEC_PER_SEC;

	budget->filled = now;
	budget->tokens += gained;
	if (budget->tokens > budget->per_s)
		budget->tokens = budget->per_s;
	if (now - budget->second >= PR_USEC_PER_SEC) {
		budget->second = now;
		budget->second_use = 0;
	}
	if (budget->tokens < amount) {
		budget->refused++;
		return false;
	}
	budget->tokens -= amount;
	budget->second_use += (uint32_t)amount;
	if (budget->second_use > budget->peak_use)
		budget->peak_use = budget->second_use;
	return true;
}

json_t *budget_json(const budget_t *budget)
{
	return json_pack("{s:f,s:i,s:I}", "per_s", budget->per_s, "peak",
			 (int)budget->peak_use, "refused",
			 (json_int_t)budget->refused);
}
