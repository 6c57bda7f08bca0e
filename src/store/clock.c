#include "store/clock.h"

void pr_store_clock_note(pr_store_clock_t *clock, int64_t store_ms,
			 int64_t sent_ms, int64_t now_ms)
{
	int64_t least = store_ms - now_ms, most = store_ms - sent_ms;

	if (!clock->is_known || clock->offset_ms < least)
		clock->offset_ms = least;
	else if (clock->offset_ms > most)
		clock->offset_ms = most;
	clock->is_known = true;
}
