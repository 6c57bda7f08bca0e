/* Which answers met the latency objectives. */
#include "pistachiorack/report.h"

static pr_usec_t gaps(const pr_answer_times_t *times, uint32_t between_ms)
{
	uint64_t count = times->tokens > 1 ? times->tokens - 1 : 0;

	return (pr_usec_t)(count * between_ms) * PR_USEC_PER_MSEC;
}

bool pr_answer_first_late(const pr_answer_times_t *times, uint32_t first_ms,
			  uint32_t between_ms)
{
	pr_usec_t most = first_ms * PR_USEC_PER_MSEC;

	if (!times->stream)
		most += gaps(times, between_ms);
	return times->first > most;
}

bool pr_answer_between_late(const pr_answer_times_t *times, uint32_t between_ms)
{
	return times->stream && times->tokens > 1 &&
	       times->last - times->first > gaps(times, between_ms);
}
