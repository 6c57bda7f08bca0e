/**
 * Recently active sessions, on this host or on another one. In the first half
 * of a transition an active session stays on its version, so the hosts inform
 * each other which of the sessions that would move to the new version are
 * active.
 *
 * What is still to be sent is part of a session's entry. So a session that was
 * last used before the hosts had to know of it is sent as soon as they do, and
 * what does not fit in one period is sent in the next one.
 */
#ifndef PR_TRANSITION_SESSIONS_H
#define PR_TRANSITION_SESSIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/audience.h"

/**
 * Number of slots in the table; a power of two. It is many times the number of
 * active sessions, since those whose hashes share a bucket of a few slots may
 * displace each other.
 */
#define PR_SESSIONS_MAX 16384

/** A session as hosts report it to each other. */
typedef struct pr_recent_session_t {
	uint64_t hash;
	/** Time of its last request by the store's clock, milliseconds. */
	int64_t seen_ms;
	/** The request was sent to the new version of a transition. */
	bool moved;
} pr_recent_session_t;

typedef struct pr_session_slot_t {
	/** Hash of the session; 0 for an empty slot. */
	uint64_t hash;
	/** As in pr_recent_session_t. */
	int64_t seen_ms;
	/** Time by which seen_ms is later than the one that the other hosts
	 *  know; UINT32_MAX when they do not know the session. */
	uint32_t unreported_ms;
	bool moved;
	/** How often the session is still to be sent, by audience. */
	uint8_t sends_left[PR_AUDIENCES_COUNT];
} pr_session_slot_t;

/** Hash table, zeroed before first use. It keeps the sessions that were active
 *  last. */
typedef struct pr_sessions_t {
	pr_session_slot_t slots[PR_SESSIONS_MAX];
	/** Slot at which the next search for sessions to send starts. */
	size_t next[PR_AUDIENCES_COUNT];
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
 * @param to_relays this host is the relay of the one that reports, and has to
 *	  inform the other relays
 */
void pr_sessions_merge(pr_sessions_t *sessions, const pr_recent_session_t *seen,
		       bool to_relays);

/** A transition as the checks of one of its sessions need it. */
typedef struct pr_sessions_span_t {
	/** Start of the transition. A session that moved before did so in an
	 *  earlier transition of the service, whose new version is now the old
	 *  one. */
	int64_t began_ms;
	int64_t now_ms;
	/** Time since its last request after which a session is no longer
	 *  active. */
	int64_t active_ms;
} pr_sessions_span_t;

/** @return true when an active session's last request went to the new version
 */
bool pr_sessions_is_moved(const pr_sessions_t *sessions, uint64_t hash,
			  const pr_sessions_span_t *span);
/** @return true when an active session's last request went to another version
 */
bool pr_sessions_is_pinned(const pr_sessions_t *sessions, uint64_t hash,
			   const pr_sessions_span_t *span);

/** Selects the sessions of which all hosts have to know. */
typedef struct pr_sessions_scope_t {
	/** Time by the store's clock, and the time since its last request after
	 *  which a session is no longer active, milliseconds. */
	int64_t now_ms;
	uint32_t session_ms;
	/** Sessions on another version than the new one: those in this first
	 *  share of the hash range. Sessions that moved before pinned_from_ms
	 *  did so in an earlier transition, and are among them. */
	double pinned_share;
	int64_t pinned_from_ms;
	/** Sessions on the new version: those outside of this share. */
	double moved_beyond;
} pr_sessions_scope_t;

/** Initialize a scope that selects no session. */
void pr_sessions_scope_init(pr_sessions_scope_t *scope, int64_t now_ms,
			    uint32_t session_ms);
bool pr_sessions_scope_is_empty(const pr_sessions_scope_t *scope);

/**
 * List the sessions that are due to be sent to an audience. A new one is listed
 * in several calls, since datagrams may be lost. While a session is used on and
 * on, it is listed again before it stops counting as active at other hosts.
 *
 * @return number of sessions written to out, at most max; the next call goes on
 *	   after the last one
 */
size_t pr_sessions_take_due(pr_sessions_t *sessions, pr_audience_t audience,
			    const pr_sessions_scope_t *scope,
			    pr_recent_session_t *out, size_t max);
/** @return true when a hash is in the first share (0 to 1) of the hash range;
 *  the sessions there move to a new version first */
bool pr_sessions_in_share(uint64_t hash, double share);

#endif
