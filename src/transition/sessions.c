/* Recently active sessions in a hash table of small buckets. */
#include "transition/sessions.h"

/* Slots of a bucket. A full one drops the session that was active least
 * recently. */
#define BUCKET 4

static size_t bucket_of(uint64_t hash)
{
	return hash & (PR_SESSIONS_MAX - BUCKET);
}

static const pr_recent_session_t *find(const pr_sessions_t *sessions,
				       uint64_t hash)
{
	const pr_recent_session_t *bucket = &sessions->slots[bucket_of(hash)];

	for (size_t i = 0; i < BUCKET; i++) {
		if (bucket[i].hash == hash)
			return &bucket[i];
	}
	return NULL;
}

/* The slot of a session, or else the one that it takes over. */
static pr_recent_session_t *slot_for(pr_sessions_t *sessions, uint64_t hash)
{
	pr_recent_session_t *bucket = &sessions->slots[bucket_of(hash)];
	pr_recent_session_t *oldest = bucket;

	for (size_t i = 0; i < BUCKET; i++) {
		if (bucket[i].hash == hash)
			return &bucket[i];
		if (bucket[i].seen_ms < oldest->seen_ms)
			oldest = &bucket[i];
	}
	return oldest;
}

static bool update(pr_sessions_t *sessions, uint64_t hash, int64_t seen_ms,
		   bool own, bool moved)
{
	pr_recent_session_t *slot = slot_for(sessions, hash);
	bool known = slot->hash == hash && slot->seen_ms == seen_ms &&
		     slot->moved == moved;

	if (!hash || known || slot->seen_ms > seen_ms)
		return false;
	*slot = (pr_recent_session_t){ hash, seen_ms, own, moved };
	return true;
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
	return update(sessions, hash, seen_ms, false, moved);
}

static bool is_recent(const pr_sessions_t *sessions, uint64_t hash,
		      int64_t now_ms, int64_t within_ms, bool moved)
{
	const pr_recent_session_t *slot = find(sessions, hash);

	return slot && slot->moved == moved &&
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
