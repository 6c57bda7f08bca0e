/**
 * Limits on the memory and the connections that callers hold together. Reading
 * of large bodies pauses while memory is short; connections that make no
 * progress are closed for others.
 */
#ifndef PR_EDGE_OVERLOAD_H
#define PR_EDGE_OVERLOAD_H

#include "edge/caller.h"

/** State what a connection holds now. */
void pr_overload_account(pr_caller_t *caller);
/**
 * Make room for the growth of a buffer of a connection, by closing others that
 * make no progress.
 *
 * @return false when there is no room
 */
bool pr_overload_make_room(pr_caller_t *caller, pr_memory_use_t use,
			   size_t from, size_t to);
/** Stop reading the request of a caller until there is memory for its body, or
 *  until it is refused. */
void pr_overload_wait(pr_caller_t *caller);
/** The caller no longer waits. */
void pr_overload_end_wait(pr_caller_t *caller);
/**
 * Admit a new connection, if need be by closing one that is idle or makes no
 * progress.
 *
 * @return false when the new one has to be closed
 */
bool pr_overload_admit_connection(pr_caller_t *caller);

#endif
