/*
 * Attempts of an exchange. An attempt sends the request to one upstream; its
 * verdict is "not run", "may have run" or "ran". An idempotent request is sent
 * again after any failure, any other request only on proof that it did not run.
 * A resumed stream continues after the last complete event that was sent to the
 * caller.
 */
#include <stdlib.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "edge/caller.h"
#include "edge/exchange_parts.h"
#include "edge/request.h"
#include "pistachiorack/error.h"

/* No attempt is started with less time than this until the deadline. */
#define ATTEMPT_MIN (20 * PR_USEC_PER_MSEC)
/* Period of the search for a usable upstream while a request waits for one. */
#define UPSTREAM_POLL_PERIOD (25 * PR_USEC_PER_MSEC)
/* A request waits for an upstream for its latency objective divided by this. */
#define UPSTREAM_WAIT_DIVISOR 8
/* An idempotent request of whose response nothing has arrived for this part of
 * its latency objective, in per cent, is sent to another upstream. The rest is
 * needed for the second attempt. */
#define RESPONSE_PERCENT 60
/* A stream without its first event is sent to another upstream after this part
 * of its latency objective, in per cent. */
#define FIRST_EVENT_PERCENT 125
/* An attempt ends when the time without an event exceeds this part of the gap
 * that the route allows between events, in per cent. */
#define EVENT_GAP_PERCENT    150
#define EVENT_GAP_DEFAULT_MS 2000
/* Period of the search for a replacement of an attempt without progress. Longer
 * than UPSTREAM_POLL_PERIOD, since the search may last until the deadline. */
#define REPLACEMENT_POLL_PERIOD (100 * PR_USEC_PER_MSEC)
/* Most hosts that share the request rate of a cold upstream. With more hosts,
 * the share of one falls below the requests that it has for the upstream, and
 * the random peaks of all hosts in one second exceed the rate. */
#define COLD_HOSTS_MAX 8
/* Most zones of one region that are considered; further ones are ignored. */
#define ZONES_OF_REGION_MAX 16
/* A host does not know the repeats of the other hosts, so each uses only this
 * part of the repeat budget and keeps the rest in reserve. */
#define REPEATS_LOCAL_SHARE 0.85

static bool has_attempts_left(const pr_exchange_t *x)
{
	return !x->runs || x->runs < x->route->max_upstreams;
}

bool pr_exchange_take_repeat(pr_exchange_t *x)
{
	pr_repeat_budget_t *budget = pr_edge_repeat_budget(x->edge, x->service);
	const pr_bound_settings_t *bounds = &x->edge->settings->bounds;
	pr_quarantine_prompt_t prompt = pr_exchange_suspect_prompt(x);
	uint32_t hosts = pr_edge_hosts_count(x->edge);

	if (!has_attempts_left(x) ||
	    !pr_quarantine_admits(&x->edge->quarantine, &prompt, true,
				  pr_edge_store_now(x->edge), NULL))
		return false;
	return !budget ||
	       pr_repeat_budget_take(
		       budget, REPEATS_LOCAL_SHARE * bounds->repeats_ratio,
		       (uint32_t)(REPEATS_LOCAL_SHARE * bounds->repeats_slack /
				  hosts),
		       pr_exchange_now(x));
}

/* Whether a fault is a slow response during a load test. Such a response is not
 * counted against the version, because the load makes responses slow; other
 * faults are counted. */
static bool is_load_test_delay(pr_exchange_t *x, const char *fault)
{
	const pr_transition_t *transition =
		pr_edge_transition(x->edge, x->service);

	return transition && !strcmp(fault, PR_FAULT_NO_PROGRESS) &&
	       pr_transition_has_test_load(transition,
					   pr_edge_store_now(x->edge));
}

/* Whether the fault belongs to a crash that was counted already: a crash breaks
 * the responses of all requests on the upstream at the same time. */
static bool is_same_crash(pr_exchange_t *x, const char *fault)
{
	return x->upstream && !strcmp(fault, PR_FAULT_BROKEN) &&
	       !pr_upstream_record_disconnect(x->upstream, pr_exchange_now(x));
}

/* Format the ids of a prompt's shared parts; those beyond the buffer are left
 * out. */
static const char *format_parts(const pr_prompt_t *prompt, char *out,
				size_t size)
{
	size_t len = 0;

	snprintf(out, size, "-");
	for (size_t i = 0; i < prompt->parts_count; i++) {
		int added =
			snprintf(out + len, size - len, "%s%llx", i ? "," : "",
				 (unsigned long long)prompt->parts[i]);

		if (added < 0 || len + (size_t)added >= size)
			break;
		len += (size_t)added;
	}
	return out;
}

/* A part of the prompt may have crashed the upstream. */
static void record_crash(pr_exchange_t *x, const char *fault)
{
	pr_quarantine_prompt_t prompt = pr_exchange_suspect_prompt(x);

	/* The times of suspects are by the store's clock. */
	if (x->upstream && x->edge->store_clock.is_known &&
	    (!strcmp(fault, PR_FAULT_BROKEN) ||
	     !strcmp(fault, PR_FAULT_CUT_EVENT)) &&
	    x->events_of_attempt < PR_ANSWER_BEGUN)
		pr_quarantine_record_crash(&x->edge->quarantine, &prompt,
					   x->upstream->tag,
					   pr_edge_store_now(x->edge));
}

/* Whether the request may be sent again after it ran. A stream of which the
 * caller has a part can only be resumed after a known event. */
static bool can_repeat(const pr_exchange_t *x)
{
	return x->idempotent && (!x->head_sent || x->events.has_id);
}

void pr_exchange_attempt_failed(pr_exchange_t *x, pr_verdict_t verdict,
				const char *fault)
{
	bool ran = verdict != PR_VERDICT_NOT_RUN;
	char parts[160];

	x->last_fault = fault;
	pr_event("attempt_failed",
		 "request=%s upstream=%s version=%s fault=%s verdict=%s "
		 "ms=%lld failures=%u events=%llu parts=%s",
		 x->id, x->upstream ? x->upstream->entry.id : "-",
		 x->upstream ? x->upstream->entry.version : "-", fault,
		 pr_verdict_name(verdict), pr_exchange_age_ms(x),
		 x->upstream ? x->upstream->failures : 0,
		 (unsigned long long)x->events_of_attempt,
		 format_parts(&x->prompt, parts, sizeof(parts)));
	if (ran && x->upstream && strcmp(fault, PR_FAULT_NO_PROGRESS) != 0)
		pr_outcomes_add(&x->upstream->outcomes, true,
				pr_exchange_now(x));
	record_crash(x, fault);
	if (!ran)
		pr_exchange_note_prompt_not_read(x);
	if (ran) {
		if (!is_same_crash(x, fault)) {
			bool bad = !is_load_test_delay(x, fault);

			pr_exchange_count_response(x, bad);
			if (bad)
				pr_exchange_count_loaded(x, true);
		}
		x->runs++;
	}
	if (x->upstream && x->tried_count < PR_PLACE_TRIED_MAX)
		x->tried[x->tried_count++] = x->upstream;
	if (!has_attempts_left(x))
		x->replacing = false;
	pr_exchange_cancel_attempt(x);
	pr_sse_filter_restart(&x->events);
	/* An upstream that sent without end leaves a large one. */
	pr_str_finish(&x->body);
	if (!x->head_sent)
		pr_str_clear(&x->head);
	if (ran && !can_repeat(x)) {
		pr_exchange_give_up(x, "upstream_failed");
		return;
	}
	pr_exchange_dispatch(x);
}

static pr_usec_t later(pr_usec_t a, pr_usec_t b)
{
	return a > b ? a : b;
}

/* Time at which the attempt fails without further progress; PR_USEC_NEVER when
 * the request cannot be sent to another upstream. */
static pr_usec_t progress_deadline(const pr_exchange_t *x)
{
	pr_usec_t target =
		(pr_usec_t)pr_exchange_target_ms(x) * PR_USEC_PER_MSEC;
	pr_usec_t gap = (pr_usec_t)(x->route->gap_ms ? x->route->gap_ms
						     : EVENT_GAP_DEFAULT_MS) *
			PR_USEC_PER_MSEC;

	if (!x->outbound || x->reading_paused || !can_repeat(x) ||
	    x->runs + 1 >= x->route->max_upstreams)
		return PR_USEC_NEVER;
	if (x->stream && x->events.passed && x->progress_at > x->attempt_began)
		return later(x->progress_at + gap * EVENT_GAP_PERCENT / 100,
			     x->stalled_until);
	if (x->stream)
		return later(x->attempt_began +
				     target * FIRST_EVENT_PERCENT / 100,
			     x->stalled_until);
	return later(x->progress_at + target * RESPONSE_PERCENT / 100,
		     x->stalled_until);
}

/* Error code of a request for which no upstream is available. */
static const char *place_fault(pr_place_verdict_t verdict)
{
	return verdict == PR_PLACE_COLD   ? "upstreams_cold"
	       : verdict == PR_PLACE_BUSY ? "upstreams_busy"
					  : "no_upstream";
}

/*
 * Find out whether another upstream can take over the current attempt, and
 * charge the repeat.
 *
 * @return NULL, or what prevents it
 */
static const char *reserve_replacement(pr_exchange_t *x)
{
	pr_upstream_t *upstream;
	pr_place_verdict_t verdict;
	size_t tried = x->tried_count;

	if (x->deadline - pr_exchange_now(x) < ATTEMPT_MIN)
		return "deadline";
	if (tried < PR_PLACE_TRIED_MAX)
		x->tried[x->tried_count++] = x->upstream;
	verdict = pr_exchange_choose_upstream(x, &upstream, NULL);
	x->tried_count = tried;
	if (verdict != PR_PLACE_FOUND) {
		/* An upstream that failed earlier may have recovered. */
		x->tried_count = 0;
		return place_fault(verdict);
	}
	if (!pr_exchange_take_repeat(x))
		return "no_repeat";
	x->repeat_charged = true;
	x->replacing = true;
	return NULL;
}

/* Keep an attempt without progress, since a sound upstream may be silent for a
 * while, and try to replace it later. */
static void keep_stalled(pr_exchange_t *x, const char *reason)
{
	pr_usec_t now = pr_exchange_now(x);

	/* Once for each silence. */
	if (x->stalled_until < x->progress_at)
		pr_event("attempt_stalled",
			 "request=%s upstream=%s reason=%s ms=%lld sends=%u",
			 x->id, x->upstream->entry.id, reason,
			 pr_exchange_age_ms(x), x->sends);
	x->stalled_until = now + REPLACEMENT_POLL_PERIOD;
	pr_exchange_set_timer(x);
}

static void on_timer(pr_timer_t *timer, pr_usec_t now)
{
	pr_exchange_t *x = timer->data;

	if (now >= x->deadline) {
		x->last_fault = "deadline";
		/* A request that was sent may be running. */
		if (x->outbound &&
		    pr_outbound_stage(x->outbound) >= PR_STAGE_SENT)
			x->runs++;
		if (x->head_sent)
			pr_exchange_give_up(x, "deadline");
		else
			pr_exchange_respond(x, x->runs ? 504 : 503, "deadline");
		return;
	}
	if (!x->outbound) {
		pr_exchange_dispatch(x);
		return;
	}
	if (now >= progress_deadline(x)) {
		const char *reason = reserve_replacement(x);

		if (reason) {
			keep_stalled(x, reason);
			return;
		}
		if (x->upstream && !is_load_test_delay(x, PR_FAULT_NO_PROGRESS))
			pr_upstream_record_failure(x->upstream, now);
		pr_exchange_attempt_failed(x, PR_VERDICT_MAY_HAVE_RUN,
					   PR_FAULT_NO_PROGRESS);
		return;
	}
	pr_exchange_set_timer(x);
}

void pr_exchange_set_timer(pr_exchange_t *x)
{
	pr_usec_t now = pr_exchange_now(x);
	pr_usec_t due = x->deadline;
	pr_usec_t limit = progress_deadline(x);
	pr_usec_t poll =
		x->replacing ? REPLACEMENT_POLL_PERIOD : UPSTREAM_POLL_PERIOD;

	if (limit < due)
		due = limit;
	if (!x->outbound && now + poll < due)
		due = now + poll;
	pr_timers_subscribe(&x->edge->timers, &x->timer,
			    due > now ? due - now : 0, 0, on_timer);
}

/*
 * Choose the hosts of an upstream's region that share its request rate, so that
 * the share of each is at least about one request a second.
 *
 * @param sharing number of hosts that share the rate
 * @return whether this host is one of them; also when no host of the region is
 *	   known and all of them share it
 */
static bool is_rate_host(pr_edge_t *edge, const pr_upstream_t *upstream,
			 uint32_t wanted, uint32_t *sharing)
{
	const pr_roster_t *roster = &edge->peering.roster;
	const pr_zone_t *own = pr_zone_find(&edge->map, upstream->entry.zone);
	const char *zones[ZONES_OF_REGION_MAX];
	size_t zones_count = 0;
	bool assigned;

	for (size_t i = 0; i < edge->map.count && own; i++) {
		if (zones_count < ZONES_OF_REGION_MAX &&
		    !strcmp(edge->map.zones[i].region, own->region))
			zones[zones_count++] = edge->map.zones[i].name;
	}
	assigned = pr_roster_is_assigned(roster, zones, zones_count,
					 upstream->tag, wanted, sharing);
	if (*sharing)
		return assigned;
	*sharing = pr_edge_hosts_count(edge);
	return true;
}

/* The request rate of a cold upstream is divided among a few hosts. */
static void assign_cold_hosts(pr_edge_t *edge, pr_upstream_t *upstream,
			      double rate)
{
	uint32_t wanted = rate >= 1 ? (uint32_t)rate : 1;

	if (wanted > COLD_HOSTS_MAX)
		wanted = COLD_HOSTS_MAX;
	upstream->cold_excludes_self =
		!is_rate_host(edge, upstream, wanted, &upstream->cold_hosts);
	upstream->cold_roster_count = edge->peering.roster.count;
}

/* As assign_cold_hosts(), for the rate that an upstream states. */
static void assign_rate_hosts(pr_edge_t *edge, pr_upstream_t *upstream)
{
	pr_stated_rate_t *rate = &upstream->rate;
	double per_s = rate->statement.per_s;

	if (rate->sharing &&
	    rate->assigned_roster == edge->peering.roster.count &&
	    rate->assigned_per_s == per_s)
		return;
	rate->assigned_roster = edge->peering.roster.count;
	rate->assigned_per_s = per_s;
	rate->hosts = pr_edge_hosts_count(edge);
	rate->phase = (double)XXH64(&upstream->tag, sizeof(upstream->tag),
				    edge->host_hash) /
		      (double)UINT64_MAX;
	rate->is_assigned =
		is_rate_host(edge, upstream, pr_stated_rate_hosts_wanted(per_s),
			     &rate->sharing);
}

static void assign_hosts_of_rates(pr_exchange_t *x)
{
	const pr_service_t *service =
		pr_routing_service(x->edge->routing, x->service);
	pr_usec_t now = pr_exchange_now(x);

	for (pr_list_t *at = x->edge->registry.upstreams.next;
	     at != &x->edge->registry.upstreams; at = at->next) {
		pr_upstream_t *upstream = PR_OWNER(at, pr_upstream_t, node);

		if (pr_stated_rate_is_limited(&upstream->rate) &&
		    !strcmp(upstream->entry.service, x->service))
			assign_rate_hosts(x->edge, upstream);
		if (upstream->cold_until > now &&
		    !strcmp(upstream->entry.service, x->service) &&
		    (!upstream->cold_hosts ||
		     upstream->cold_roster_count !=
			     x->edge->peering.roster.count))
			assign_cold_hosts(x->edge, upstream,
					  service ? service->cold_per_s : 0);
	}
}

static void init_query(pr_exchange_t *x, pr_place_query_t *query)
{
	const pr_service_t *service =
		pr_routing_service(x->edge->routing, x->service);
	uint32_t hosts = pr_edge_hosts_count(x->edge);

	memset(query, 0, sizeof(*query));
	assign_hosts_of_rates(x);
	query->service = x->service;
	query->route_regions = &x->route->regions;
	query->workspace_regions = x->workspace ? &x->workspace->regions : NULL;
	query->transition = pr_edge_transition(x->edge, x->service);
	query->version = x->version;
	query->load_test = x->is_load_test;
	query->host_hash = x->edge->host_hash;
	if (x->route->affinity && x->prompt.shared_hash) {
		query->prefix_hash = x->prompt.shared_hash + x->model;
		query->prefix_prefill_ms = pr_prefill_ms(
			&x->edge->reading, pr_exchange_model_name(x),
			x->prompt.shared_tokens);
	}
	query->gap_ms = x->route->gap_ms;
	query->pause_weight = pr_pauses_weight(&x->edge->pauses);
	query->prefill_ms = pr_prefill_ms(
		&x->edge->reading, pr_exchange_model_name(x), x->prompt.tokens);
	query->tried_count = x->tried_count;
	memcpy((void *)query->tried, (void *)x->tried, sizeof(x->tried));
	query->connections_max =
		service && service->max_connections
			? service->max_connections * 9 / 10 / hosts
			: UINT32_MAX;
	if (!query->connections_max)
		query->connections_max = 1;
	query->hosts = hosts;
	query->sample_seed = x->hash + x->sends + 1;
	query->now = pr_exchange_now(x);
}

pr_place_verdict_t pr_exchange_choose_upstream(pr_exchange_t *x,
					       pr_upstream_t **out,
					       double *wait_ms)
{
	pr_place_query_t query;
	pr_place_kept_t kept = { 0 };
	pr_place_verdict_t verdict;

	init_query(x, &query);
	if (pr_exchange_init_kept(x, &kept))
		query.kept = &kept;
	verdict = pr_place_choose(&x->edge->registry, &x->edge->map, &query,
				  out, wait_ms);
	x->held_tokens = kept.tokens;
	x->off_first_rank = kept.off_first_rank;
	return verdict;
}

bool pr_exchange_has_load_test_room(pr_exchange_t *x)
{
	pr_place_query_t query;

	init_query(x, &query);
	query.version = PR_VERSION_NEW;
	return pr_place_has_load_test_room(&x->edge->registry, &x->edge->map,
					   &query);
}

static void begin_load_test_attempt(pr_exchange_t *x)
{
	pr_transition_t *transition = pr_edge_transition(x->edge, x->service);

	if (!transition ||
	    !pr_revision_equal(transition->order_row, x->order_row) ||
	    !pr_transition_is_new(transition, x->upstream->entry.version))
		return;
	pr_transition_record_test_begin(transition);
	x->counted_in_test = true;
	x->awaits_loaded_outcome = pr_transition_is_test_load_high(
		transition, x->upstream->entry.slots);
}

static int send_attempt(pr_exchange_t *x, pr_upstream_t *upstream)
{
	pr_outbound_request_t request = {
		.id = pr_slice_of(x->id),
		.is_head = x->caller->reader.parser.method == HTTP_HEAD,
		.needs_fresh = !x->idempotent,
	};
	pr_str_t bytes = PR_STR_INIT;
	pr_quarantine_prompt_t prompt = pr_exchange_suspect_prompt(x);
	int rc = pr_request_write(&bytes, &request.body, x, upstream);

	request.bytes = pr_str_slice(&bytes);
	if (!rc)
		rc = pr_outbound_start(&x->outbound, &x->edge->pool, upstream,
				       &request, &pr_exchange_outbound_ops, x);
	/* Idle connections to other upstreams make room for a new one. */
	if (rc == PR_EFULL && pr_edge_close_idle_upstreams(x->edge))
		rc = pr_outbound_start(&x->outbound, &x->edge->pool, upstream,
				       &request, &pr_exchange_outbound_ops, x);
	pr_str_finish(&bytes);
	if (rc)
		return rc;
	pr_quarantine_note_sent(&x->edge->quarantine, &prompt,
				pr_edge_store_now(x->edge));
	x->upstream = pr_upstream_ref(upstream);
	upstream->in_flight++;
	x->unheld_tokens = x->prompt.tokens > x->held_tokens
				   ? x->prompt.tokens - (uint32_t)x->held_tokens
				   : 0;
	x->prefill_ms = pr_prefill_ms(
		&x->edge->reading, pr_exchange_model_name(x), x->unheld_tokens);
	upstream->pending_prefill_ms += x->prefill_ms;
	pr_exchange_note_prompt_sent(x);
	if (x->is_load_test)
		begin_load_test_attempt(x);
	x->attempt_began = pr_exchange_now(x);
	x->progress_at = x->attempt_began;
	x->events_of_attempt = 0;
	x->stalled_until = 0;
	x->reading_paused = false;
	x->pace = (pr_pace_stream_t){ 0 };
	x->not_run = false;
	if (x->sends++)
		pr_metric_add(x->edge->counters.repeats, 1);
	if (x->head_sent)
		pr_metric_add(x->edge->counters.resumes, 1);
	pr_event("dispatch",
		 "request=%s upstream=%s row=%llu version=%s load=%.2f "
		 "failures=%u model=%s transition=%s tested=%d session=%llx "
		 "tokens=%u/%u held=%.0f ms=%lld",
		 x->id, upstream->entry.id,
		 (unsigned long long)upstream->row.number,
		 upstream->entry.version, pr_place_load(upstream),
		 upstream->failures, pr_exchange_model_name(x),
		 x->version == PR_VERSION_NEW ? "new" : "old", x->is_load_test,
		 (unsigned long long)x->session_hash, x->prompt.tokens,
		 x->prompt.output_expected, x->held_tokens,
		 pr_exchange_age_ms(x));
	return 0;
}

static pr_place_return_t next_return(pr_exchange_t *x)
{
	pr_place_query_t query;

	init_query(x, &query);
	return pr_place_next_return(&x->edge->registry, &x->edge->map, &query);
}

/*
 * Wait for a usable upstream for a part of the latency objective, then give up.
 * When no upstream is listed that the request may use and none was
 * tried, or all of them are paused for longer, give up at once. The search for
 * a replacement continues until the deadline.
 */
static void wait_for_upstream(pr_exchange_t *x, pr_place_verdict_t verdict)
{
	pr_usec_t now = pr_exchange_now(x);
	pr_usec_t wait = (pr_usec_t)pr_exchange_target_ms(x) *
			 PR_USEC_PER_MSEC / UPSTREAM_WAIT_DIVISOR;
	pr_place_return_t next = next_return(x);
	pr_usec_t limit = x->deadline - ATTEMPT_MIN;

	if (!x->wait_began)
		x->wait_began = now;
	/* A stream that broke off, and a request whose attempt the router
	 * ended, wait until the deadline. */
	if (!x->head_sent && !x->replacing)
		limit = x->wait_began + wait;
	if (next.untried > limit) {
		x->retry_at = next.any;
		pr_exchange_give_up(x, "upstreams_paused");
		return;
	}
	if (now - x->wait_began < wait &&
	    (verdict != PR_PLACE_NONE || x->tried_count)) {
		pr_exchange_set_timer(x);
		return;
	}
	/* An upstream that failed earlier may have recovered. */
	if (x->replacing || (x->idempotent && x->runs && x->head_sent &&
			     (x->tried_count || next.any > now))) {
		x->tried_count = 0;
		x->wait_began = now;
		pr_exchange_set_timer(x);
		return;
	}
	pr_exchange_give_up(x, place_fault(verdict));
}

/* Whether the prompt has a part that crashes upstreams. Sets the time at which
 * the request may be sent again. */
static bool is_quarantined(pr_exchange_t *x)
{
	pr_quarantine_prompt_t prompt = pr_exchange_suspect_prompt(x);
	int64_t now_ms = pr_edge_store_now(x->edge);
	int64_t until_ms;

	if (pr_quarantine_admits(&x->edge->quarantine, &prompt, x->sends > 0,
				 now_ms, &until_ms))
		return false;
	x->retry_at =
		pr_exchange_now(x) + (until_ms - now_ms) * PR_USEC_PER_MSEC;
	pr_metric_add(x->edge->counters.quarantined, 1);
	return true;
}

void pr_exchange_dispatch(pr_exchange_t *x)
{
	pr_upstream_t *upstream;
	pr_place_verdict_t verdict;
	const pr_service_t *service;

	if (is_quarantined(x)) {
		pr_exchange_give_up(x, "quarantined_part");
		return;
	}
	if (x->deadline - pr_exchange_now(x) < ATTEMPT_MIN) {
		if (x->replacing)
			pr_exchange_set_timer(x);
		else
			pr_exchange_give_up(x, "deadline");
		return;
	}
	verdict = pr_exchange_choose_upstream(x, &upstream, NULL);
	if (verdict != PR_PLACE_FOUND) {
		wait_for_upstream(x, verdict);
		return;
	}
	if (x->sends && !x->repeat_charged && !pr_exchange_take_repeat(x)) {
		if (x->replacing) {
			pr_exchange_set_timer(x);
			return;
		}
		pr_exchange_give_up(x, x->last_fault ? x->last_fault
						     : "no_repeat");
		return;
	}
	service = pr_routing_service(x->edge->routing, x->service);
	if (upstream->cold_until > pr_exchange_now(x) &&
	    !pr_upstream_take_cold_permit(
		    upstream, service ? service->cold_per_s : 0,
		    upstream->cold_hosts, pr_exchange_now(x))) {
		wait_for_upstream(x, PR_PLACE_COLD);
		return;
	}
	if (!pr_stated_rate_take(&upstream->rate, pr_exchange_now(x))) {
		wait_for_upstream(x, PR_PLACE_BUSY);
		return;
	}
	x->wait_began = 0;
	x->repeat_charged = false;
	if (send_attempt(x, upstream)) {
		if (x->tried_count < PR_PLACE_TRIED_MAX)
			x->tried[x->tried_count++] = upstream;
		wait_for_upstream(x, PR_PLACE_BUSY);
		return;
	}
	pr_exchange_set_timer(x);
}
