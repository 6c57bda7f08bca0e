/* Recently seen sessions in a table with one seat a hash. */
#include "transition/sessions.h"

static size_t seat_of(uint64_t hash)
{
	return hash & (PR_SESSIONS_MAX - 1);
}

static bool see(pr_sessions_t *sessions, uint64_t hash, int64_t seen_ms,
		bool own, bool moved)
{
	pr_recent_session_t *seat = &sessions->seats[seat_of(hash)];
	bool known = seat->hash == hash && seat->seen_ms == seen_ms &&
		     seat->moved == moved;

	if (!hash || known || seat->seen_ms > seen_ms)
		return false;
	*seat = (pr_recent_session_t){ hash, seen_ms, own, moved };
	return true;
}

void pr_sessions_record(pr_sessions_t *sessions, uint64_t hash, int64_t now_ms)
{
	see(sessions, hash, now_ms, true, false);
}

void pr_sessions_record_moved(pr_sessions_t *sessions, uint64_t hash,
			      int64_t now_ms)
{
	see(sessions, hash, now_ms, true, true);
}

bool pr_sessions_merge(pr_sessions_t *sessions, uint64_t hash, int64_t seen_ms,
		       bool moved)
{
	return see(sessions, hash, seen_ms, false, moved);
}

static bool seen_on(const pr_sessions_t *sessions, uint64_t hash,
		    int64_t now_ms, int64_t within_ms, bool moved)
{
	const pr_recent_session_t *seat = &sessions->seats[seat_of(hash)];

	return seat->hash == hash && seat->moved == moved &&
	       now_ms - seat->seen_ms <= within_ms;
}

bool pr_sessions_is_active(const pr_sessions_t *sessions, uint64_t hash,
			   int64_t now_ms, int64_t within_ms)
{
	return seen_on(sessions, hash, now_ms, within_ms, false);
}

bool pr_sessions_is_moved(const pr_sessions_t *sessions, uint64_t hash,
			  int64_t now_ms, int64_t within_ms)
{
	return seen_on(sessions, hash, now_ms, within_ms, true);
}

size_t pr_sessions_list(const pr_sessions_t *sessions,
			const pr_sessions_filter_t *filter,
			pr_recent_session_t *out, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < PR_SESSIONS_MAX && count < max; i++) {
		const pr_recent_session_t *seat = &sessions->seats[i];

		if (seat->own && seat->moved == filter->moved &&
		    seat->seen_ms > filter->after_ms &&
		    !pr_sessions_in_share(seat->hash, filter->share_from) &&
		    pr_sessions_in_share(seat->hash, filter->share_below))
			out[count++] = *seat;
	}
	return count;
}

bool pr_sessions_in_share(uint64_t hash, double share)
{
	/* The highest 53 bits, which a double holds exactly. */
	return (double)(hash >> 11) < share * 9007199254740992.0;
}
