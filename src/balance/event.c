/* Learning from attempts, load reports and cache events, and ejection of
 * failing upstreams. */
#include "balance/internal.h"

#include <stdlib.h>

#include "pistachiorack/error.h"

/* Weight of one observation in the moving averages (EWMA). */
#define EWMA_WEIGHT 0.1

/* Weight of one load report in the moving averages of the load. */
#define REPORT_WEIGHT 0.2

/* Observations after which the first-token time counts as known. */
#define SAMPLES_MIN 10

/* SLOW_COUNT consecutive first tokens that take more than SLOW_FACTOR times the
 * learned time are attributed to a cold start that was not announced. */
#define SLOW_FACTOR 4
#define SLOW_COUNT  3

/* Share of the slots from which a reported load explains slow responses. */
#define FULL_SLOTS 0.9

/* Mean ratio of the first-token times of other upstreams to their learned times
 * from which slow responses are attributed to general overload. */
#define OVERLOAD_RATIO 2.0

/* An upstream that refuses an attempt and has sent a first token within this
 * time is full, not broken. */
#define RECENT_TOKEN_TIME (5 * PR_USEC_PER_SEC)

/* Consecutive errors after which an upstream is assumed to have restarted. */
#define RAMP_ERRORS 3

/* Time without failures after which an ejection no longer counts towards the
 * duration of the next one. */
#define EJECTION_DECAY_TIME (60 * PR_USEC_PER_SEC)

void pr_balance_record_in_flight(pr_balance_upstream_t *upstream, pr_usec_t now)
{
	int64_t step = now / PR_BALANCE_HISTORY_STEP_TIME;
	int64_t at = upstream->history_step;

	if (step - at >= PR_BALANCE_HISTORY_STEPS)
		at = step - PR_BALANCE_HISTORY_STEPS;
	while (at < step)
		upstream->history[++at % PR_BALANCE_HISTORY_STEPS] =
			upstream->in_flight;
	if (step > upstream->history_step)
		upstream->history_step = step;
}

uint32_t pr_balance_in_flight_at(const pr_balance_upstream_t *upstream,
				 pr_usec_t when)
{
	int64_t step = when / PR_BALANCE_HISTORY_STEP_TIME + 1;

	if (step > upstream->history_step)
		return upstream->in_flight;
	if (upstream->history_step - step >= PR_BALANCE_HISTORY_STEPS)
		step = upstream->history_step - PR_BALANCE_HISTORY_STEPS + 1;
	return upstream->history[step % PR_BALANCE_HISTORY_STEPS];
}

void pr_balance_sent(pr_balance_t *balance, pr_balance_choice_t *choice,
		     pr_usec_t now)
{
	pr_balance_upstream_t *upstream = choice->upstream;

	if (choice->open)
		return;
	choice->open = true;
	choice->sent = now;
	upstream->sent++;
	pr_balance_record_in_flight(upstream, now);
	upstream->in_flight++;
	if (balance->options.affinity)
		pr_balance_prefix_store(upstream, choice->blocks,
					choice->blocks_count);
}

/* Ends the attempt. Returns false if it was not in flight. */
static bool close_choice(pr_balance_choice_t *choice, pr_usec_t now)
{
	if (!choice->open)
		return false;
	choice->open = false;
	pr_balance_record_in_flight(choice->upstream, now);
	if (choice->upstream->in_flight)
		choice->upstream->in_flight--;
	return true;
}

static void update_ewma(double *mean, double value)
{
	*mean += EWMA_WEIGHT * (value - *mean);
}

/* The first observations are averaged and replace the default value. Later ones
 * are capped at twice the mean, so that a cold start is not learned as the
 * normal time. */
static void learn_first_token(pr_balance_upstream_t *upstream, double took)
{
	if (upstream->samples < SAMPLES_MIN) {
		upstream->samples++;
		upstream->first_token +=
			(took - upstream->first_token) / upstream->samples;
		return;
	}
	if (took > 2 * upstream->first_token)
		took = 2 * upstream->first_token;
	update_ewma(&upstream->first_token, took);
}

/* Returns the mean first-token ratio of the other upstreams in the subsets that
 * contain this one; 0 if none has a recent first token. */
static double ratio_of_others(const pr_balance_t *balance,
			      const pr_balance_upstream_t *upstream,
			      pr_usec_t now)
{
	double sum = 0;
	unsigned int count = 0;

	for (unsigned int i = 0; i < balance->pools_count; i++) {
		const pr_balance_pool_t *pool = &balance->pools[i];
		double here = 0;
		unsigned int others = 0;
		bool member = false;

		for (unsigned int j = 0; j < pool->subset; j++) {
			const pr_balance_upstream_t *other = pool->members[j];

			if (other == upstream) {
				member = true;
			} else if (other->ratio > 0 &&
				   now - other->excess_at <
					   balance->options.report_max_age) {
				here += other->ratio;
				others++;
			}
		}
		sum += member ? here : 0;
		count += member ? others : 0;
	}
	return count ? sum / count : 0;
}

/*
 * Returns true if slow responses are due to overload and not to a cold start.
 * Requests of other hosts that queue on an upstream delay its responses as a
 * cold start does, but on all upstreams at once. Treating overload as cold
 * starts would limit the fleet to the cold slots when capacity is short: with
 * an offered load of twice the capacity, 8 hosts then answered 40 requests/s
 * instead of 91.
 */
static bool is_overloaded(const pr_balance_t *balance,
			  const pr_balance_upstream_t *upstream, pr_usec_t now)
{
	if (upstream->reported_at >= 0 &&
	    now - upstream->reported_at <= balance->options.report_max_age &&
	    (upstream->reported >= FULL_SLOTS * upstream->slots ||
	     upstream->mean_load >= FULL_SLOTS * upstream->slots))
		return true;
	return ratio_of_others(balance, upstream, now) >= OVERLOAD_RATIO;
}

void pr_balance_first_token(pr_balance_t *balance, pr_balance_choice_t *choice,
			    pr_usec_t now)
{
	pr_balance_upstream_t *upstream = choice->upstream;
	double took = (double)(now - choice->sent);
	double beyond = took - (double)choice->expected;

	if (!choice->open || choice->answered)
		return;
	choice->answered = true;
	upstream->errors = 0;
	if (upstream->ejections &&
	    now - upstream->failed_at > EJECTION_DECAY_TIME) {
		upstream->ejections--;
		upstream->failed_at = now;
	}
	if (choice->unqueued && !choice->blocks_hit)
		learn_first_token(upstream, took);
	update_ewma(&upstream->excess, beyond > 0 ? beyond : 0);
	upstream->excess_at = now;
	if (upstream->samples >= SAMPLES_MIN)
		update_ewma(&upstream->ratio, took / upstream->first_token);
	/* A slow response of a queued request is due to load and not to a cold
	 * start. */
	if (choice->unqueued && upstream->samples >= SAMPLES_MIN &&
	    took > SLOW_FACTOR * upstream->first_token &&
	    !is_overloaded(balance, upstream, now))
		upstream->slow++;
	else
		upstream->slow = 0;
	if (upstream->slow >= SLOW_COUNT && !upstream->cold)
		pr_balance_begin_ramp(balance, upstream, now);
}

void pr_balance_finished(pr_balance_t *balance, pr_balance_choice_t *choice,
			 pr_usec_t now)
{
	if (!close_choice(choice, now))
		return;
	choice->upstream->errors = 0;
	update_ewma(&choice->upstream->duration, (double)(now - choice->sent));
}

void pr_balance_cancelled(pr_balance_t *balance, pr_balance_choice_t *choice,
			  pr_usec_t now)
{
	close_choice(choice, now);
}

void pr_balance_add_response_bytes(pr_balance_t *balance,
				   const pr_balance_choice_t *choice,
				   uint64_t bytes)
{
	if (choice->remote)
		balance->counters.link_bytes += bytes;
}

void pr_balance_add_request_bytes(pr_balance_t *balance,
				  const pr_balance_choice_t *choice,
				  uint64_t bytes)
{
	if (choice->remote)
		balance->counters.link_bytes_out += bytes;
}

/* @return false if more than half of a subset would be ejected */
static bool may_eject(const pr_balance_t *balance,
		      const pr_balance_upstream_t *upstream, pr_usec_t now)
{
	for (unsigned int i = 0; i < balance->pools_count; i++) {
		const pr_balance_pool_t *pool = &balance->pools[i];
		unsigned int ejected = 1;
		bool member = false;

		for (unsigned int j = 0; j < pool->subset; j++) {
			if (pool->members[j] == upstream)
				member = true;
			else if (pool->members[j]->ejected_until > now)
				ejected++;
		}
		if (member && 2 * ejected > pool->subset)
			return false;
	}
	return true;
}

static void eject(pr_balance_t *balance, pr_balance_upstream_t *upstream,
		  pr_usec_t now)
{
	pr_usec_t time = balance->options.eject_time_base;

	for (unsigned int i = 0;
	     i < upstream->ejections && time < balance->options.eject_time_max;
	     i++)
		time *= 2;
	if (time > balance->options.eject_time_max)
		time = balance->options.eject_time_max;
	upstream->ejections++;
	upstream->errors = 0;
	upstream->ejected_until = now + time;
	balance->counters.ejections++;
	/* The ramp begins when the ejection ends. */
	pr_balance_begin_ramp(balance, upstream, upstream->ejected_until);
}

void pr_balance_failed(pr_balance_t *balance, pr_balance_choice_t *choice,
		       pr_attempt_stage_t stage, pr_usec_t now)
{
	pr_balance_upstream_t *upstream = choice->upstream;

	if (!close_choice(choice, now))
		return;
	/* The attempt was sent before an ejection or a restart; its failure
	 * says nothing about the present state. */
	if (upstream->ejected_until > now ||
	    (upstream->cold && choice->sent < upstream->ramp_start))
		return;
	/* A refused connection counts twice: the process is certainly down. */
	upstream->errors += stage <= PR_STAGE_CONNECTING ? 2 : 1;
	upstream->failed_at = now;
	if (upstream->cold || upstream->errors >= RAMP_ERRORS)
		pr_balance_begin_ramp(balance, upstream, now);
	if (balance->options.ejection &&
	    upstream->errors >= balance->options.eject_errors &&
	    may_eject(balance, upstream, now))
		eject(balance, upstream, now);
}

void pr_balance_refused(pr_balance_t *balance, pr_balance_choice_t *choice,
			pr_usec_t now)
{
	pr_balance_upstream_t *upstream = choice->upstream;

	if (now - upstream->excess_at >= RECENT_TOKEN_TIME) {
		pr_balance_failed(balance, choice, PR_STAGE_HEAD, now);
		return;
	}
	if (!close_choice(choice, now))
		return;
	update_ewma(&upstream->excess, upstream->duration);
}

int pr_balance_load_report(pr_balance_t *balance, const char *name,
			   uint32_t load, pr_usec_t measured)
{
	pr_balance_upstream_t *upstream = pr_balance_find(balance, name);
	double own;

	if (!upstream)
		return pr_error_set(PR_ENOTFOUND, "no upstream %s", name);
	if (measured <= upstream->reported_at)
		return 0;
	own = pr_balance_in_flight_at(upstream, measured);
	if (upstream->reported_at < 0) {
		upstream->mean_load = load;
		upstream->mean_own = own;
	}
	upstream->mean_load += REPORT_WEIGHT * (load - upstream->mean_load);
	upstream->mean_own += REPORT_WEIGHT * (own - upstream->mean_own);
	upstream->reported = load;
	upstream->reported_at = measured;
	return 0;
}

unsigned int pr_balance_prefix_hits(const pr_balance_upstream_t *upstream,
				    const uint64_t *blocks, unsigned int count)
{
	unsigned int hits = 0;

	if (!upstream->prefix)
		return 0;
	while (hits < count &&
	       upstream->prefix[blocks[hits] % PR_BALANCE_PREFIX_ENTRIES] ==
		       blocks[hits])
		hits++;
	return hits;
}

void pr_balance_prefix_store(pr_balance_upstream_t *upstream,
			     const uint64_t *blocks, unsigned int count)
{
	if (count && !upstream->prefix)
		upstream->prefix =
			calloc(PR_BALANCE_PREFIX_ENTRIES, sizeof(uint64_t));
	for (unsigned int i = 0; upstream->prefix && i < count; i++)
		upstream->prefix[blocks[i] % PR_BALANCE_PREFIX_ENTRIES] =
			blocks[i];
}

int pr_balance_cache_event(pr_balance_t *balance, const char *name,
			   uint64_t block, bool stored)
{
	pr_balance_upstream_t *upstream = pr_balance_find(balance, name);

	if (!upstream)
		return pr_error_set(PR_ENOTFOUND, "no upstream %s", name);
	/* Each event that arrives raises the reliability of the predicted
	 * cache content, which gaps lower. */
	upstream->prefix_trust += 0.02 * (1 - upstream->prefix_trust);
	if (stored && upstream->prefix &&
	    upstream->prefix[block % PR_BALANCE_PREFIX_ENTRIES] == block)
		balance->counters.cache_matches++;
	if (stored)
		pr_balance_prefix_store(upstream, &block, 1);
	else if (upstream->prefix &&
		 upstream->prefix[block % PR_BALANCE_PREFIX_ENTRIES] == block)
		upstream->prefix[block % PR_BALANCE_PREFIX_ENTRIES] = 0;
	return 0;
}

int pr_balance_cache_gap(pr_balance_t *balance, const char *name)
{
	pr_balance_upstream_t *upstream = pr_balance_find(balance, name);

	if (!upstream)
		return pr_error_set(PR_ENOTFOUND, "no upstream %s", name);
	upstream->prefix_trust *= 0.5;
	return 0;
}
