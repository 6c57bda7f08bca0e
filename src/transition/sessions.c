/* Recently active sessions in a direct-mapped hash table. */
#include "transition/sessions.h"

static size_t slot_index(uint64_t hash)
{
	return hash & (PR_SESSIONS_MAX - 1);
}

/* @param own the request was sent by this host */
static bool update(pr_sessions_t *sessions, uint64_t hash, int64_t seen_ms,
		   bool own, bool moved)
{
	pr_recent_session_t *slot = &sessions->slots[slot_index(hash)];

	if (!hash || slot->seen_ms > seen_ms)
		return false;
	*slot = (pr_recent_session_t){ hash, seen_ms, own, moved };
	return true;
}

/* Total order of reports. Without an order of those with equal times, relays
 * that received two of them in different order would replace one by the other,
 * and forward it, forever. */
static bool is_newer(const pr_recent_session_t *slot, uint64_t hash,
		     int64_t seen_ms, bool moved)
{
	if (slot->seen_ms != seen_ms)
		return seen_ms > slot->seen_ms;
	if (slot->hash != hash)
		return hash > slot->hash;
	return moved && !slot->moved;
}

void pr_sessions_record(pr_sessions_t *sessions, uint64_t hash, int64_t now_ms)
{
	update(sessions, hash, now_ms, true, false);
}

void pr_sessions_record_moved(pr_sessions_t *sessions, uint64_t hash,
			      int64_t now_ms)
{
	update(sessions, hash, now_ms, true, true);
}

bool pr_sessions_merge(pr_sessions_t *sessions, uint64_t hash, int64_t seen_ms,
		       bool moved)
{
	return is_newer(&sessions->slots[slot_index(hash)], hash, seen_ms,
			moved) &&
	       update(sessions, hash, seen_ms, false, moved);
}

static bool is_recent(const pr_sessions_t *sessions, uint64_t hash,
		      int64_t now_ms, int64_t within_ms, bool moved)
{
	const pr_recent_session_t *slot = &sessions->slots[slot_index(hash)];

	return slot->hash == hash && slot->moved == moved &&
	       now_ms - slot->seen_ms <= within_ms;
}

bool pr_sessions_is_active(const pr_sessions_t *sessions, uint64_t hash,
			   int64_t now_ms, int64_t within_ms)
{
	return is_recent(sessions, hash, now_ms, within_ms, false);
}

bool pr_sessions_is_moved(const pr_sessions_t *sessions, uint64_t hash,
			  int64_t now_ms, int64_t within_ms)
{
	return is_recent(sessions, hash, now_ms, within_ms, true);
}

size_t pr_sessions_list(const pr_sessions_t *sessions,
			const pr_sessions_filter_t *filter,
			pr_recent_session_t *out, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < PR_SESSIONS_MAX && count < max; i++) {
		const pr_recent_session_t *slot = &sessions->slots[i];

		if (slot->own && slot->moved == filter->moved &&
		    slot->seen_ms > filter->after_ms &&
		    !pr_sessions_in_share(slot->hash, filter->share_from) &&
		    pr_sessions_in_share(slot->hash, filter->share_below))
			out[count++] = *slot;
	}
	return count;
}

bool pr_sessions_in_share(uint64_t hash, double share)
{
	/* The highest 53 bits, which a double holds exactly. */
	return (double)(hash >> 11) < share * 9007199254740992.0;
}
