/* Budget of the bytes that a process holds for others. */
#include "limits/memory.h"

#include <string.h>

#define BYTES_PER_MB 1048576.0
/* Part of the machine's memory that the budget gets, per cent. The rest is for
 * the process itself, for what the allocator does not reuse, and for bytes in
 * the kernel's receive buffers, which count towards the machine's memory. */
#define BUDGET_PERCENT 40
/* Part of the budget that buffers above SMALL_BYTES may use, per cent. */
#define LARGE_PERCENT 75
/* Buffers of at most this size may use the whole budget. A request head and an
 * ordinary body fit in it. */
#define SMALL_BYTES ((size_t)64 * 1024)
/* Part of the budget for responses, per cent, and the most that they may use
 * whatever the memory is. */
#define RESPONSES_PERCENT 30
#define RESPONSES_MAX     ((size_t)12 * 1024 * 1024)
/* Responses up to this size may use the whole budget. */
#define RESPONSE_ALWAYS ((size_t)256 * 1024)
/* A holder is not closed before this time, and a peer that has sent enough for
 * it counts as making progress for so long. */
#define HOLDER_AGE_MIN (500 * PR_USEC_PER_MSEC)
/* Rate below which a peer that sends a request is stalled, bytes per second. */
#define PROGRESS_RATE_MIN 65536

void pr_memory_init(pr_memory_t *memory, double machine_mb)
{
	memset(memory, 0, sizeof(*memory));
	memory->limit =
		(size_t)(machine_mb * BYTES_PER_MB * BUDGET_PERCENT / 100);
}

const char *pr_memory_use_name(pr_memory_use_t use)
{
	static const char *const names[PR_MEMORY_USES_COUNT] = {
		[PR_MEMORY_REQUESTS] = "requests",
		[PR_MEMORY_RESPONSES] = "responses",
		[PR_MEMORY_UNREAD] = "unread",
	};

	return names[use];
}

void pr_memory_set(pr_memory_t *memory, pr_memory_account_t *account,
		   pr_memory_use_t use, size_t bytes)
{
	size_t before = account->held[use];

	account->held[use] = bytes;
	memory->held[use] += bytes - before;
	memory->total += bytes - before;
	if (memory->total > memory->peak)
		memory->peak = memory->total;
}

void pr_memory_release(pr_memory_t *memory, pr_memory_account_t *account)
{
	for (int use = 0; use < PR_MEMORY_USES_COUNT; use++)
		pr_memory_set(memory, account, (pr_memory_use_t)use, 0);
}

size_t pr_memory_account_total(const pr_memory_account_t *account)
{
	size_t total = 0;

	for (int use = 0; use < PR_MEMORY_USES_COUNT; use++)
		total += account->held[use];
	return total;
}

static size_t responses_limit(const pr_memory_t *memory)
{
	size_t share = memory->limit / 100 * RESPONSES_PERCENT;

	return share < RESPONSES_MAX ? share : RESPONSES_MAX;
}

bool pr_memory_allows(const pr_memory_t *memory, pr_memory_use_t use,
		      size_t from, size_t to)
{
	size_t more = to > from ? to - from : 0;
	size_t limit = memory->limit;

	if (use == PR_MEMORY_RESPONSES && to > RESPONSE_ALWAYS &&
	    memory->held[use] + more > responses_limit(memory))
		return false;
	if (use == PR_MEMORY_REQUESTS && to > SMALL_BYTES)
		limit = limit / 100 * LARGE_PERCENT;
	return memory->total + more <= limit;
}

pr_usec_t pr_memory_progress(pr_usec_t until, size_t bytes, pr_usec_t now)
{
	pr_usec_t bought =
		(pr_usec_t)bytes * PR_USEC_PER_SEC / PROGRESS_RATE_MIN;

	if (until < now)
		until = now;
	until += bought;
	return until < now + HOLDER_AGE_MIN ? until : now + HOLDER_AGE_MIN;
}

bool pr_memory_is_short(const pr_memory_t *memory)
{
	return memory->total > memory->limit / 100 * LARGE_PERCENT;
}

bool pr_memory_is_exceeded(const pr_memory_t *memory)
{
	return memory->total > memory->limit;
}

double pr_memory_rank(const pr_memory_holder_t *holder, pr_usec_t now)
{
	pr_usec_t age = now - holder->since;

	if (age < HOLDER_AGE_MIN || holder->progress_until > now)
		return 0;
	return (double)holder->bytes * (double)age;
}
