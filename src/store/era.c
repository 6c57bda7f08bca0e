#include "store/era.h"

#include "base/number.h"

pr_era_verdict_t pr_era_note(pr_era_t *era, pr_slice_t text)
{
	uint64_t unconfirmed = era->unconfirmed;
	uint64_t stated;

	era->unconfirmed = 0;
	if (!text.ptr)
		return era->is_stated ? PR_ERA_MISSING : PR_ERA_SAME;
	if (!pr_slice_number(text, &stated))
		return PR_ERA_UNREADABLE;
	if (era->is_stated && stated <= era->current)
		return stated < era->current ? PR_ERA_FALLEN : PR_ERA_SAME;
	if (era->is_stated && stated > era->current + 1 &&
	    stated != unconfirmed) {
		era->unconfirmed = stated;
		return PR_ERA_UNCONFIRMED;
	}
	era->current = stated;
	if (era->is_stated)
		return PR_ERA_RISEN;
	era->is_stated = true;
	return PR_ERA_FIRST;
}

bool pr_era_raise(pr_era_t *era, uint64_t stated)
{
	if (stated <= era->current)
		return false;
	era->current = stated;
	era->is_stated = true;
	return true;
}

bool pr_era_is_believed(pr_era_verdict_t verdict)
{
	return verdict <= PR_ERA_RISEN;
}

const char *pr_era_verdict_name(pr_era_verdict_t verdict)
{
	static const char *const names[] = {
		[PR_ERA_SAME] = "same",
		[PR_ERA_FIRST] = "first",
		[PR_ERA_RISEN] = "risen",
		[PR_ERA_MISSING] = "missing",
		[PR_ERA_FALLEN] = "fallen",
		[PR_ERA_UNREADABLE] = "unreadable",
		[PR_ERA_UNCONFIRMED] = "unconfirmed",
	};

	return names[verdict];
}
