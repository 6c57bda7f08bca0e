/* Recently active sessions in a hash table of small buckets, and what is still
 * to be sent of them. */
#include "transition/sessions.h"

#include <string.h>

/* Slots of a bucket. A full one drops the session that was active least
 * recently. */
#define BUCKET 4
/* Times that the first report of a session is sent to an audience; a host gets
 * it from two relays each time. Later reports are sent once, since the one
 * before still counts for a while. */
#define FIRST_SENDS 2
/* A report that comes later after the one before is a first one, milliseconds.
 */
#define LATER_REPORT_MS 10000
/* A session that is used again is reported again after this part of the time
 * for which other hosts count it as active. */
#define REPORT_AGAIN_PART 2
/* The other hosts do not know the session. */
#define UNKNOWN_TO_OTHERS UINT32_MAX

static size_t bucket_of(uint64_t hash)
{
	return hash & (PR_SESSIONS_MAX - BUCKET);
}

static const pr_session_slot_t *find(const pr_sessions_t *sessions,
				     uint64_t hash)
{
	const pr_session_slot_t *bucket = &sessions->slots[bucket_of(hash)];

	for (size_t i = 0; i < BUCKET; i++) {
		if (bucket[i].hash == hash)
			return &bucket[i];
	}
	return NULL;
}

/* Total order of reports. Without an order of those with equal times, relays
 * that received them in different order would replace one by the other, and
 * forward it, forever. */
static bool is_newer(const pr_recent_session_t *seen,
		     const pr_session_slot_t *slot)
{
	if (slot->seen_ms != seen->seen_ms)
		return seen->seen_ms > slot->seen_ms;
	if (slot->hash != seen->hash)
		return seen->hash > slot->hash;
	return seen->moved && !slot->moved;
}

/* The slot of a session, or else the one that it takes over. */
static pr_session_slot_t *slot_for(pr_sessions_t *sessions, uint64_t hash)
{
	pr_session_slot_t *bucket = &sessions->slots[bucket_of(hash)];
	pr_session_slot_t *oldest = bucket;

	for (size_t i = 0; i < BUCKET; i++) {
		pr_recent_session_t seen = { oldest->hash, oldest->seen_ms,
					     oldest->moved };

		if (bucket[i].hash == hash)
			return &bucket[i];
		if (is_newer(&seen, &bucket[i]))
			oldest = &bucket[i];
	}
	return oldest;
}

static void record(pr_sessions_t *sessions, uint64_t hash, int64_t now_ms,
		   bool moved)
{
	pr_session_slot_t *slot = slot_for(sessions, hash);
	int64_t unreported;

	if (!hash || slot->seen_ms > now_ms)
		return;
	unreported = slot->unreported_ms + (now_ms - slot->seen_ms);
	if (slot->hash != hash || slot->moved != moved ||
	    unreported > UNKNOWN_TO_OTHERS)
		unreported = UNKNOWN_TO_OTHERS;
	if (slot->hash != hash)
		memset(slot, 0, sizeof(*slot));
	slot->hash = hash;
	slot->seen_ms = now_ms;
	slot->moved = moved;
	slot->unreported_ms = (uint32_t)unreported;
}

void pr_sessions_record(pr_sessions_t *sessions, uint64_t hash, int64_t now_ms)
{
	record(sessions, hash, now_ms, false);
}

void pr_sessions_record_moved(pr_sessions_t *sessions, uint64_t hash,
			      int64_t now_ms)
{
	record(sessions, hash, now_ms, true);
}

/* @param gap_ms time from the use that was reported before to this one */
static uint8_t sends_after(int64_t gap_ms)
{
	return gap_ms > LATER_REPORT_MS ? FIRST_SENDS : 1;
}

void pr_sessions_merge(pr_sessions_t *sessions, const pr_recent_session_t *seen,
		       bool to_relays)
{
	pr_session_slot_t *slot = slot_for(sessions, seen->hash);
	uint8_t sends;

	if (!seen->hash || !is_newer(seen, slot))
		return;
	sends = slot->hash == seen->hash && slot->moved == seen->moved
			? sends_after(seen->seen_ms - slot->seen_ms)
			: FIRST_SENDS;
	*slot = (pr_session_slot_t){
		.hash = seen->hash,
		.seen_ms = seen->seen_ms,
		.moved = seen->moved,
		.sends_left = { [PR_AUDIENCE_RELAYS] = to_relays ? sends : 0,
				[PR_AUDIENCE_FOLLOWERS] = sends },
	};
}

static bool is_active_on(const pr_sessions_t *sessions, uint64_t hash,
			 const pr_sessions_span_t *span, bool moved)
{
	const pr_session_slot_t *slot = find(sessions, hash);

	return slot && span->now_ms - slot->seen_ms <= span->active_ms &&
	       (slot->moved && slot->seen_ms >= span->began_ms) == moved;
}

bool pr_sessions_is_pinned(const pr_sessions_t *sessions, uint64_t hash,
			   const pr_sessions_span_t *span)
{
	return is_active_on(sessions, hash, span, false);
}

bool pr_sessions_is_moved(const pr_sessions_t *sessions, uint64_t hash,
			  const pr_sessions_span_t *span)
{
	return is_active_on(sessions, hash, span, true);
}

void pr_sessions_scope_init(pr_sessions_scope_t *scope, int64_t now_ms,
			    uint32_t session_ms)
{
	*scope = (pr_sessions_scope_t){
		.now_ms = now_ms,
		.session_ms = session_ms,
		.moved_beyond = 1,
	};
}

bool pr_sessions_scope_is_empty(const pr_sessions_scope_t *scope)
{
	return scope->pinned_share <= 0 && scope->moved_beyond >= 1;
}

static bool is_in_scope(const pr_session_slot_t *slot,
			const pr_sessions_scope_t *scope)
{
	if (!slot->hash || scope->now_ms - slot->seen_ms > scope->session_ms)
		return false;
	if (slot->moved &&
	    !pr_sessions_in_share(slot->hash, scope->moved_beyond))
		return true;
	return (!slot->moved || slot->seen_ms < scope->pinned_from_ms) &&
	       pr_sessions_in_share(slot->hash, scope->pinned_share);
}

/* Whether this host's last use of the session has to be reported now. */
static bool is_report_due(const pr_session_slot_t *slot,
			  const pr_sessions_scope_t *scope)
{
	int64_t known_ms = slot->seen_ms - slot->unreported_ms;

	return slot->unreported_ms &&
	       scope->now_ms - known_ms >=
		       scope->session_ms / REPORT_AGAIN_PART;
}

size_t pr_sessions_take_due(pr_sessions_t *sessions, pr_audience_t audience,
			    const pr_sessions_scope_t *scope,
			    pr_recent_session_t *out, size_t max)
{
	size_t count = 0;
	size_t at = sessions->next[audience];

	if (pr_sessions_scope_is_empty(scope))
		return 0;
	for (size_t i = 0; i < PR_SESSIONS_MAX && count < max; i++) {
		pr_session_slot_t *slot = &sessions->slots[at];

		at = (at + 1) & (PR_SESSIONS_MAX - 1);
		if (!is_in_scope(slot, scope))
			continue;
		if (is_report_due(slot, scope)) {
			memset(slot->sends_left,
			       sends_after(slot->unreported_ms),
			       sizeof(slot->sends_left));
			slot->unreported_ms = 0;
		}
		if (!slot->sends_left[audience])
			continue;
		slot->sends_left[audience]--;
		/* A repetition has the time of the first report, or
		 * relays would take it for a new one. */
		out[count++] = (pr_recent_session_t){
			.hash = slot->hash,
			.seen_ms = slot->seen_ms - slot->unreported_ms,
			.moved = slot->moved,
		};
	}
	sessions->next[audience] = at;
	return count;
}

bool pr_sessions_in_share(uint64_t hash, double share)
{
	/* The highest 53 bits, which a double holds exactly. */
	return (double)(hash >> 11) < share * 9007199254740992.0;
}
