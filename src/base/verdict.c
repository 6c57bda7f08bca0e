/* Verdicts: the one place that decides whether a request may have run. */
#include "pistachiorack/verdict.h"

pr_verdict_t pr_verdict_of_failure(pr_attempt_stage_t stage, bool refused)
{
	if (refused || stage <= PR_STAGE_CONNECTING)
		return PR_VERDICT_NOT_RUN;
	if (stage == PR_STAGE_DONE)
		return PR_VERDICT_RAN;
	return PR_VERDICT_MAY_HAVE_RUN;
}

pr_verdict_t pr_verdict_join(pr_verdict_t a, pr_verdict_t b)
{
	return a > b ? a : b;
}

const char *pr_verdict_name(pr_verdict_t verdict)
{
	switch (verdict) {
	case PR_VERDICT_NOT_RUN:
		return "not_run";
	case PR_VERDICT_RAN:
		return "ran";
	default:
		return "may_have_run";
	}
}
