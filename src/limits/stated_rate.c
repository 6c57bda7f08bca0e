/* Shares of a stated rate, by the generic cell rate algorithm, and the spread
 * of statements between hosts. */
#include "limits/stated_rate.h"

#include <math.h>

/* Part of the rate that the assigned hosts share. */
#define ASSIGNED_PART 1.0
/* Part of the rate that the other hosts share once no statement has been heard
 * for STALE_AFTER, so that they learn when the limit has ended. */
#define STALE_PART  0.2
#define STALE_AFTER (10 * PR_USEC_PER_SEC)
/* Requests that an assigned host may send at once. */
#define BURST 2
/* Most hosts that share a rate. */
#define HOSTS_MAX 8
/* An unchanged limit is reported after this time, milliseconds. */
#define REFRESH_MS 2000
/* A relative change of a limit that is reported at once. */
#define CHANGE_PART 0.05
/* Statements of other hosts that are later than this host's clock by more are
 * ignored, milliseconds. */
#define CLOCK_LEAD_MAX_MS 1000

bool pr_stated_rate_is_limited(const pr_stated_rate_t *rate)
{
	return rate->statement.per_s > 0;
}

static bool is_changed(double before, double after)
{
	return fabs(after - before) > CHANGE_PART * fmax(before, after);
}

static bool apply(pr_stated_rate_t *rate, const pr_rate_statement_t *statement,
		  pr_usec_t now)
{
	bool changed = is_changed(rate->statement.per_s, statement->per_s);

	rate->statement = *statement;
	rate->heard_at = now;
	return changed;
}

/* Set the store's time of a statement that this host heard. */
static void stamp(pr_stated_rate_t *rate, int64_t now_ms, pr_usec_t now)
{
	if (!rate->is_unstamped)
		return;
	rate->is_unstamped = false;
	rate->statement.stated_ms =
		now_ms - (now - rate->heard_at) / PR_USEC_PER_MSEC;
}

static void mark_due(pr_stated_rate_t *rate, pr_audience_t audience,
		     bool changed)
{
	bool refreshed = pr_stated_rate_is_limited(rate) &&
			 rate->statement.stated_ms - rate->sent_ms[audience] >=
				 REFRESH_MS;

	if (changed || refreshed)
		rate->is_due[audience] = true;
}

bool pr_stated_rate_hear(pr_stated_rate_t *rate, double per_s, pr_usec_t now)
{
	pr_rate_statement_t statement = { per_s, rate->statement.stated_ms };
	bool changed;

	if (per_s <= 0 && !pr_stated_rate_is_limited(rate))
		return false;
	changed = apply(rate, &statement, now);
	rate->is_unstamped = true;
	for (int i = 0; i < PR_AUDIENCES_COUNT && changed; i++)
		rate->is_due[i] = true;
	return changed;
}

bool pr_stated_rate_merge(pr_stated_rate_t *rate,
			  const pr_rate_statement_t *other, bool forwards,
			  int64_t now_ms, pr_usec_t now)
{
	bool changed;

	stamp(rate, now_ms, now);
	/* A statement of the same time is the same one, which must not
	 * circulate between relays. */
	if (other->stated_ms > now_ms + CLOCK_LEAD_MAX_MS ||
	    other->stated_ms <= rate->statement.stated_ms)
		return false;
	changed = apply(rate, other, now);
	if (forwards)
		mark_due(rate, PR_AUDIENCE_RELAYS, changed);
	mark_due(rate, PR_AUDIENCE_FOLLOWERS, changed);
	return changed;
}

bool pr_stated_rate_take_due(pr_stated_rate_t *rate, pr_audience_t audience,
			     int64_t now_ms, pr_usec_t now)
{
	if (rate->is_unstamped) {
		stamp(rate, now_ms, now);
		for (int i = 0; i < PR_AUDIENCES_COUNT; i++)
			mark_due(rate, (pr_audience_t)i, false);
	}
	if (!rate->is_due[audience])
		return false;
	rate->is_due[audience] = false;
	rate->sent_ms[audience] = rate->statement.stated_ms;
	return true;
}

uint32_t pr_stated_rate_hosts_wanted(double per_s)
{
	return per_s < 1 ? 1 : per_s < HOSTS_MAX ? (uint32_t)per_s : HOSTS_MAX;
}

/* Time between two requests of this host; PR_USEC_NEVER when it sends none. */
static pr_usec_t spacing(const pr_stated_rate_t *rate, pr_usec_t now)
{
	double per_s = rate->statement.per_s;

	if (rate->is_assigned)
		per_s *= ASSIGNED_PART / (rate->sharing ? rate->sharing : 1);
	else if (now - rate->heard_at >= STALE_AFTER)
		per_s *= STALE_PART / (rate->hosts ? rate->hosts : 1);
	else
		return PR_USEC_NEVER;
	return (pr_usec_t)(PR_USEC_PER_SEC / per_s);
}

pr_usec_t pr_stated_rate_next(const pr_stated_rate_t *rate, pr_usec_t now)
{
	pr_usec_t step, next;

	if (!pr_stated_rate_is_limited(rate))
		return 0;
	step = spacing(rate, now);
	if (step == PR_USEC_NEVER)
		return rate->heard_at + STALE_AFTER;
	if (!rate->is_assigned)
		next = rate->used_until > rate->heard_at + STALE_AFTER
			       ? rate->used_until
			       : rate->heard_at + STALE_AFTER +
					 (pr_usec_t)(rate->phase * step);
	else
		next = rate->used_until - (BURST - 1) * step;
	return next > now ? next : 0;
}

bool pr_stated_rate_take(pr_stated_rate_t *rate, pr_usec_t now)
{
	pr_usec_t step;

	if (!pr_stated_rate_is_limited(rate))
		return true;
	if (pr_stated_rate_next(rate, now))
		return false;
	step = spacing(rate, now);
	rate->used_until =
		(rate->used_until > now ? rate->used_until : now) + step;
	return true;
}
