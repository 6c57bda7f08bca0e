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

typedef struct pr_recent_session_t {
	uint64_t hash;
	/** Store's clock, milliseconds. */
	int64_t seen_ms;
	/** Seen by this host, so that it is the one to tell the others. */
	bool own;
	/** It was on a transition's new version. */
	bool moved;
} pr_recent_session_t;

/** Zeroed before first use. A seat keeps the latest of its sessions. */
typedef struct pr_sessions_t {
	pr_recent_session_t seats[PR_SESSIONS_MAX];
} pr_sessions_t;

/** This host sent a request of a session; 0 is no session. */
void pr_sessions_record(pr_sessions_t *sessions, uint64_t hash, int64_t now_ms);
/** The same on a transition's new version. */
void pr_sessions_record_moved(pr_sessions_t *sessions, uint64_t hash,
			      int64_t now_ms);
/**
 * Another host did.
 *
 * @param moved on the new version
 * @return true when this host did not know it
 */
bool pr_sessions_merge(pr_sessions_t *sessions, uint64_t hash, int64_t seen_ms,
		       bool moved);
/** @return true when it was on the new version within the time */
bool pr_sessions_is_moved(const pr_sessions_t *sessions, uint64_t hash,
			  int64_t now_ms, int64_t within_ms);
/** @return true when it was seen on another version within the time */
bool pr_sessions_is_active(const pr_sessions_t *sessions, uint64_t hash,
			   int64_t now_ms, int64_t within_ms);
/** Which of this host's sessions another host should know. */
typedef struct pr_sessions_filter_t {
	/** On the new version, or on another one. */
	bool moved;
	/** Hash below this share. */
	double share_below;
	/** Seen after this time, milliseconds. */
	int64_t after_ms;
	/** Hash from this share on. */
	double share_from;
} pr_sessions_filter_t;

/** @return number of entries in out, at most max */
size_t pr_sessions_list(const pr_sessions_t *sessions,
			const pr_sessions_filter_t *filter,
			pr_recent_session_t *out, size_t max);
/** @return true when a hash is in the part of the sessions that moves first */
bool pr_sessions_in_share(uint64_t hash, double share);

#endif
