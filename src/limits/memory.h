/**
 * Budget of the bytes that a process holds for others: requests that it reads,
 * responses that it buffers, and bytes that a peer has not read yet. Every
 * holder states its bytes through an account; the budget decides which buffers
 * may grow and which holder has to go when memory is short.
 */
#ifndef PR_LIMITS_MEMORY_H
#define PR_LIMITS_MEMORY_H

#include <stdbool.h>
#include <stddef.h>

#include "pistachiorack/timer.h"

/** What bytes are held for. */
typedef enum pr_memory_use_t {
	/** Connections of callers, and the requests that they sent. */
	PR_MEMORY_REQUESTS,
	/** Responses of upstreams until they are passed on. */
	PR_MEMORY_RESPONSES,
	/** Bytes that callers have not read yet. */
	PR_MEMORY_UNREAD,
	PR_MEMORY_USES_COUNT,
} pr_memory_use_t;

typedef struct pr_memory_t {
	/** Bytes that may be held. */
	size_t limit;
	size_t held[PR_MEMORY_USES_COUNT];
	/** Sum of held, and the most that it has been. */
	size_t total, peak;
} pr_memory_t;

/** Bytes of one holder. Zeroed before first use. */
typedef struct pr_memory_account_t {
	size_t held[PR_MEMORY_USES_COUNT];
} pr_memory_account_t;

/** @param machine_mb memory of the machine, in units of 2^20 bytes */
void pr_memory_init(pr_memory_t *memory, double machine_mb);
/** @return the name of a use, for logs and metrics */
const char *pr_memory_use_name(pr_memory_use_t use);
/** Set the bytes that a holder has for a use. */
void pr_memory_set(pr_memory_t *memory, pr_memory_account_t *account,
		   pr_memory_use_t use, size_t bytes);
/** Return all bytes of a holder. */
void pr_memory_release(pr_memory_t *memory, pr_memory_account_t *account);
size_t pr_memory_account_total(const pr_memory_account_t *account);
/**
 * Whether a buffer may grow. The last part of the budget is reserved for small
 * buffers, so that ordinary requests are read while large ones wait.
 *
 * @param from size of the buffer
 * @param to size that it would get
 */
bool pr_memory_allows(const pr_memory_t *memory, pr_memory_use_t use,
		      size_t from, size_t to);
/** @return true when only the reserve for small buffers is left */
bool pr_memory_is_short(const pr_memory_t *memory);
/** @return true when more is held than the budget has */
bool pr_memory_is_exceeded(const pr_memory_t *memory);

/**
 * Count bytes that a peer has sent as progress: a peer that keeps at least to
 * the minimum rate is not stalled.
 *
 * @param until time until which the peer counts as making progress
 * @return the new time
 */
pr_usec_t pr_memory_progress(pr_usec_t until, size_t bytes, pr_usec_t now);

/** A holder that may have to give up its bytes. */
typedef struct pr_memory_holder_t {
	size_t bytes;
	/** Time since which it has held bytes without finishing: the begin of
	 *  its request, or of a response that it does not read. */
	pr_usec_t since;
	/** Time until which it makes progress; 0 when that does not count. */
	pr_usec_t progress_until;
} pr_memory_holder_t;

/**
 * Rank of a holder among those that may be closed when memory is short: the
 * product of its bytes and of the time for which it has held them. A peer that
 * sends a few bytes now and then does not lower it.
 *
 * @return 0 for a holder that makes progress, or is too young to be closed
 */
double pr_memory_rank(const pr_memory_holder_t *holder, pr_usec_t now);

#endif
