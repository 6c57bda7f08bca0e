/**
 * Recently active sessions, on this host or on another one. In the first half
 * of a transition an active session stays on its version, so the hosts inform
 * each other which of the sessions that would move to the new version are
 * active.
 */
#ifndef PR_TRANSITION_SESSIONS_H
#define PR_TRANSITION_SESSIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Number of slots in the table; a power of two. It is many times the number of
 * active sessions, since those whose hashes share a bucket of a few slots may
 * displace each other.
 */
#define PR_SESSIONS_MAX 16384

typedef struct pr_recent_session_t {
	/** Hash of the session; 0 for an empty slot. */
	uint64_t hash;
	/** Time of its last request by the store's clock, milliseconds. */
	int64_t seen_ms;
	/** The request was sent by this host, which reports it to the others.
	 */
	bool own;
	/** The request was sent to the new version of a transition. */
	bool moved;
} pr_recent_session_t;

/** Hash table, zeroed before first use. It keeps the sessions that were active
 *  last. */
typedef struct pr_sessions_t {
	pr_recent_session_t slots[PR_SESSIONS_MAX];
} pr_sessions_t;

/**
 * Record that this host sent a request of a session to a version other than the
 * new one of a transition.
 *
 * @param hash of the session; 0 for no session, which is not recorded
 */
void pr_sessions_record(pr_sessions_t *sessions, uint64_t hash, int64_t now_ms);
/** Record that this host sent a request of a session to the new version of a
 *  transition. */
void pr_sessions_record_moved(pr_sessions_t *sessions, uint64_t hash,
			      int64_t now_ms);
/**
 * Merge the report of another host that it sent a request of a session.
 *
 * @param moved the request was sent to the new version
 * @return true when the report was new to this host and is recorded
 */
bool pr_sessions_merge(pr_sessions_t *sessions, uint64_t hash, int64_t seen_ms,
		       bool moved);
/** @return true when the session's last request went to the new version, at
 *  most within_ms ago */
bool pr_sessions_is_moved(const pr_sessions_t *sessions, uint64_t hash,
			  int64_t now_ms, int64_t within_ms);
/** @return true when the session's last request went to another version, at
 *  most within_ms ago */
bool pr_sessions_is_active(const pr_sessions_t *sessions, uint64_t hash,
			   int64_t now_ms, int64_t within_ms);

/** Selects the sessions of this host to report to other hosts. */
typedef struct pr_sessions_filter_t {
	/** Sessions on the new version, or else on another one. */
	bool moved;
	/** Upper bound of the hash, as a share of all sessions (0 to 1). */
	double share_below;
	/** Active after this time of the store's clock, milliseconds. */
	int64_t after_ms;
	/** Lower bound of the hash, as a share of all sessions. */
	double share_from;
} pr_sessions_filter_t;

/** @return number of sessions written to out, at most max */
size_t pr_sessions_list(const pr_sessions_t *sessions,
			const pr_sessions_filter_t *filter,
			pr_recent_session_t *out, size_t max);
/** @return true when a hash is in the first share (0 to 1) of the hash range;
 *  the sessions there move to a new version first */
bool pr_sessions_in_share(uint64_t hash, double share);

#endif
