/*
 * Limits on the memory and the connections of callers. Whom to close is decided
 * by pr_memory_rank(): the holder of most bytes for the longest time that makes
 * no progress. A request that is read and not begun is refused as not run; a
 * response that is not read is reset.
 */
#include "edge/overload.h"

#include "base/event_log.h"

/* Longest time that a request waits for memory. Callers leave after a second
 * when their request is not read. */
#define MEMORY_WAIT_MAX (800 * PR_USEC_PER_MSEC)
/* Period in which waiting callers are looked after. */
#define MEMORY_POLL_PERIOD (50 * PR_USEC_PER_MSEC)
/* A connection without a request may be closed for a new one after this time
 * without input. */
#define IDLE_AGE_MIN (500 * PR_USEC_PER_MSEC)

static void on_timer(pr_timer_t *timer, pr_usec_t now);

static void start_timer(pr_edge_t *edge, pr_usec_t delay)
{
	edge->memory_timer.data = edge;
	pr_timers_subscribe(&edge->timers, &edge->memory_timer, delay,
			    MEMORY_POLL_PERIOD, on_timer);
}

void pr_overload_account(pr_caller_t *caller)
{
	pr_edge_t *edge = caller->edge;
	const pr_exchange_t *x = &caller->exchange;
	size_t unread = caller->link.unsent;

	if (caller->link.closing)
		return;
	pr_memory_set(&edge->memory, &caller->account, PR_MEMORY_REQUESTS,
		      sizeof(*caller) + caller->pending.cap + caller->body.cap +
			      caller->reader.text.cap);
	pr_memory_set(&edge->memory, &caller->account, PR_MEMORY_RESPONSES,
		      x->active ? x->body.cap + x->head.cap +
					  x->events.partial.cap
				: 0);
	pr_memory_set(&edge->memory, &caller->account, PR_MEMORY_UNREAD,
		      unread);
	if (!unread)
		caller->unread_since = 0;
	else if (!caller->unread_since)
		caller->unread_since = pr_edge_now(edge);
	/* Not from here: the connection to be closed may be this one. */
	if (pr_memory_is_exceeded(&edge->memory) &&
	    pr_edge_now(edge) >= edge->shed_after)
		start_timer(edge, 0);
}

/* What a connection would give up. @return false when it cannot be closed for
 * others: it is closing, or its request is under way */
static bool is_holder(const pr_caller_t *caller, pr_memory_holder_t *holder)
{
	if (caller->link.closing || caller->wait_began ||
	    (caller->lingering && !caller->unread_since))
		return false;
	holder->bytes = pr_memory_account_total(&caller->account);
	holder->progress_until = 0;
	if (caller->unread_since) {
		holder->since = caller->unread_since;
		return true;
	}
	holder->since = caller->head_began;
	holder->progress_until = caller->progress_until;
	return caller->head_began && !caller->exchange.active;
}

static pr_caller_t *find_victim(pr_edge_t *edge, const pr_caller_t *except)
{
	pr_usec_t now = pr_edge_now(edge);
	pr_caller_t *victim = NULL;
	double highest = 0;

	for (pr_list_t *at = edge->callers.next; at != &edge->callers;
	     at = at->next) {
		pr_caller_t *caller = PR_OWNER(at, pr_caller_t, node);
		pr_memory_holder_t holder;
		double rank;

		if ((except && caller == except) || !is_holder(caller, &holder))
			continue;
		rank = pr_memory_rank(&holder, now);
		if (rank <= highest)
			continue;
		highest = rank;
		victim = caller;
	}
	return victim;
}

static void shed(pr_caller_t *victim)
{
	pr_metric_add(victim->edge->counters.memory_shed, 1);
	pr_event("memory_shed", "request=%s bytes=%zu total=%zu limit=%zu",
		 victim->exchange.active ? victim->exchange.id : "-",
		 pr_memory_account_total(&victim->account),
		 victim->edge->memory.total, victim->edge->memory.limit);
	if (victim->unread_since)
		pr_caller_reset(victim);
	else
		pr_caller_refuse(victim, 503, "overloaded");
}

/* Close the holder of the highest rank. @return false when there is none */
static bool shed_one(pr_edge_t *edge, const pr_caller_t *except)
{
	pr_caller_t *victim;

	if (pr_edge_now(edge) < edge->shed_after)
		return false;
	victim = find_victim(edge, except);
	if (victim)
		shed(victim);
	else
		edge->shed_after = pr_edge_now(edge) + MEMORY_POLL_PERIOD;
	return victim;
}

bool pr_overload_make_room(pr_caller_t *caller, pr_memory_use_t use,
			   size_t from, size_t to)
{
	pr_edge_t *edge = caller->edge;

	while (!pr_memory_allows(&edge->memory, use, from, to)) {
		if (!shed_one(edge, caller))
			return false;
	}
	return true;
}

void pr_overload_wait(pr_caller_t *caller)
{
	pr_edge_t *edge = caller->edge;

	if (!caller->wait_began) {
		caller->wait_began = pr_edge_now(edge);
		pr_metric_add(edge->counters.memory_waits, 1);
	}
	if (!edge->memory_short) {
		edge->memory_short = true;
		pr_event_state("memory_short", "total=%zu limit=%zu",
			       edge->memory.total, edge->memory.limit);
		start_timer(edge, MEMORY_POLL_PERIOD);
	}
	if (pr_list_empty(&caller->wait_node))
		pr_list_append(&edge->memory_waiters, &caller->wait_node);
	pr_link_pause(&caller->link);
}

void pr_overload_end_wait(pr_caller_t *caller)
{
	caller->wait_began = 0;
	pr_list_remove(&caller->wait_node);
}

/* Let the waiting callers go on as far as there is memory, and refuse those
 * that have waited for too long. Each is taken once. */
static void look_after_waiters(pr_edge_t *edge, pr_usec_t now)
{
	size_t count = 0;

	for (pr_list_t *at = edge->memory_waiters.next;
	     at != &edge->memory_waiters; at = at->next)
		count++;
	while (count-- && !pr_list_empty(&edge->memory_waiters)) {
		pr_caller_t *caller = PR_OWNER(edge->memory_waiters.next,
					       pr_caller_t, wait_node);

		pr_list_remove(&caller->wait_node);
		pr_caller_read_on(caller);
		if (pr_list_empty(&caller->wait_node))
			caller->wait_began = 0;
		else if (now - caller->wait_began >= MEMORY_WAIT_MAX)
			pr_caller_refuse(caller, 503, "overloaded");
	}
}

static void on_timer(pr_timer_t *timer, pr_usec_t now)
{
	pr_edge_t *edge = timer->data;

	while (pr_memory_is_exceeded(&edge->memory) && shed_one(edge, NULL))
		;
	look_after_waiters(edge, now);
	if (!pr_list_empty(&edge->memory_waiters) ||
	    pr_memory_is_exceeded(&edge->memory))
		return;
	pr_timers_unsubscribe(&edge->timers, timer);
	if (edge->memory_short)
		pr_event_state("memory_regained", "total=%zu limit=%zu",
			       edge->memory.total, edge->memory.limit);
	edge->memory_short = false;
}

/* The connection without a request that has been idle for longest, or else the
 * one whose request has made no progress for longest; NULL without either. */
static pr_caller_t *find_idle(pr_edge_t *edge, const pr_caller_t *except)
{
	pr_usec_t now = pr_edge_now(edge);
	pr_caller_t *idle = NULL, *stalled = NULL;

	for (pr_list_t *at = edge->callers.next; at != &edge->callers;
	     at = at->next) {
		pr_caller_t *caller = PR_OWNER(at, pr_caller_t, node);

		if ((except && caller == except) || caller->link.closing ||
		    caller->exchange.active)
			continue;
		if (!caller->head_began || caller->lingering) {
			if (now - caller->idle_since >= IDLE_AGE_MIN &&
			    (!idle || caller->idle_since < idle->idle_since))
				idle = caller;
		} else if (caller->progress_until < now &&
			   (!stalled ||
			    caller->head_began < stalled->head_began)) {
			stalled = caller;
		}
	}
	return idle && (idle->lingering || pr_caller_is_idle(idle)) ? idle
								    : stalled;
}

bool pr_overload_admit_connection(pr_caller_t *caller)
{
	pr_edge_t *edge = caller->edge;
	pr_caller_t *victim;

	if (edge->callers_count <= edge->callers_max)
		return true;
	victim = find_idle(edge, caller);
	pr_metric_add(edge->counters.connections_shed, 1);
	pr_event("connection_shed", "open=%zu limit=%zu found=%d",
		 edge->callers_count, edge->callers_max, victim != NULL);
	if (!victim)
		return false;
	pr_caller_close(victim);
	return true;
}

void pr_overload_set_gauges(pr_edge_t *edge)
{
	pr_edge_metrics_t *counters = &edge->counters;

	counters->memory_limit->value = (double)edge->memory.limit;
	counters->memory_peak->value = (double)edge->memory.peak;
	counters->callers_open->value = (double)edge->callers_count;
	for (int use = 0; use < PR_MEMORY_USES_COUNT; use++)
		counters->memory_held[use]->value =
			(double)edge->memory.held[use];
}
