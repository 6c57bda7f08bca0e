/**
 * Sessions that were seen lately, on this host or on another one. A session
 * that is active stays on its version while a transition begins, so the hosts
 * tell each other which of the sessions that would move are active.
 */
#ifndef PR_TRANSITION_SESSIONS_H
#define PR_TRANSITION_SESSIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Sessions that are remembered; a power of two, many times the sessions that
 * are active, since two of one seat displace each other.
 */
#define PR_SESSIONS_MAX 16384

typedef struct pr_session_seen_t {
	uint64_t hash;
	/** Store's clock, milliseconds. */
	int64_t seen_ms;
	/** Seen by this host, so that it is the one to tell the others. */
	bool own;
} pr_session_seen_t;

/** Zeroed before first use. A seat keeps the latest of its sessions. */
typedef struct pr_sessions_t {
	pr_session_seen_t seats[PR_SESSIONS_MAX];
} pr_sessions_t;

/** This host sent a request of a session; 0 is no session. */
void pr_sessions_note(pr_sessions_t *sessions, uint64_t hash, int64_t now_ms);
/** Another host did. */
void pr_sessions_hear(pr_sessions_t *sessions, uint64_t hash, int64_t seen_ms);
/** @return true when it was seen within the time */
bool pr_sessions_active(const pr_sessions_t *sessions, uint64_t hash,
			int64_t now_ms, int64_t within_ms);
/**
 * Sessions that this host saw after a time and that are below a share.
 *
 * @return number of entries in out, at most max
 */
size_t pr_sessions_list(const pr_sessions_t *sessions, double share,
			int64_t after_ms, pr_session_seen_t *out, size_t max);
/** @return true when a hash is in the part of the sessions that moves first */
bool pr_sessions_below(uint64_t hash, double share);

#endif
