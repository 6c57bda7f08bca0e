/*
 * Runs a trace through the slices in virtual time: several hosts, each with
 * its own policy, roll-out and session state, a lagging rating feed, lossy
 * evidence messages and a configuration that reaches hosts one by one.
 */
#include "replay/replay.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "replay/stages.h"

#define CONFIGS_MAX   128
#define MOVES_LAG_S   3
#define RATING_LAG_S  60.0
#define RATING_MISSED 0.05
#define MESSAGE_LOST  0.05
#define SESSIONS_MAX  20000
#define SESSION_TTL   (7200 * PR_USEC_PER_SEC)

typedef struct pending_rating_t {
	struct pending_rating_t *next;
	pr_rating_t rating;
	char class_name[RP_NAME + sizeof(PR_POLICY_ESCALATED)];
	uint8_t host;
	/** Outcome of a first step: evidence for the roll-out. */
	bool evidence;
} pending_rating_t;

typedef struct host_t {
	pr_policy_t policy;
	pr_rollout_t rollout;
	pr_session_cache_t memory;
	pr_evidence_outbox_t outbox;
	/** Configuration in force, and when the newest one is adopted. */
	unsigned int config;
	long adopt_s;
} host_t;

typedef struct world_t {
	const rp_trace_t *trace;
	rp_mode_t mode;
	rp_result_t *result;
	pr_rand_t rand;
	host_t *hosts;
	/** States now, as the newest configuration has them. */
	rp_version_t versions[RP_VERSIONS];
	pr_fleet_t *configs[CONFIGS_MAX];
	unsigned int configs_count;
	pr_evidence_inbox_t *inbox;
	rp_stages_t stages;
	/** Ratings by the second in which they arrive. */
	pending_rating_t **due;
	long seconds, second;
} world_t;

static int publish(world_t *w)
{
	static const char *const states[] = { "proven", "rolling", "halted",
					      "withdrawn" };
	const rp_trace_t *t = w->trace;
	pr_str_t text = PR_STR_INIT;
	int err;

	if (w->configs_count == CONFIGS_MAX)
		return pr_error_set(PR_EFULL, "too many configurations");
	pr_str_appendf(&text,
		       "format: 1\ndefaults: {quality_target: %.4f, "
		       "exposure_per_s: %u, first_token_ms: 990, "
		       "between_tokens_ms: 35, objective: 0.95, models: [",
		       t->target, t->exposure_per_s);
	for (size_t i = 0; i < t->versions_count; i++)
		if (!w->versions[i].replaces[0])
			pr_str_appendf(&text, "%s%s", i ? ", " : "",
				       w->versions[i].model);
	pr_str_appendf(&text, "]}\nmodels:\n");
	for (size_t i = 0; i < t->versions_count; i++) {
		if (rp_find_version(t, w->versions[i].model,
				    w->versions[i].name) != (int)i ||
		    w->versions[i].replaces[0])
			continue;
		pr_str_appendf(&text, "- name: %s\n  versions:\n",
			       w->versions[i].model);
		for (size_t j = 0; j < t->versions_count; j++) {
			const rp_version_t *v = &w->versions[j];

			if (strcmp(v->model, w->versions[i].model) != 0)
				continue;
			pr_str_appendf(&text,
				       "  - {name: %s, state: %s, share: %u, "
				       "price_in: %u, price_out: %u",
				       v->name, states[v->state], v->share,
				       v->price_in, v->price_out);
			if (v->replaces[0])
				pr_str_appendf(&text, ", replaces: %s",
					       v->replaces);
			pr_str_appendf(&text, "}\n");
		}
	}
	pr_str_appendf(&text, "workspaces:\n");
	for (size_t i = 0; i < t->workspaces_count; i++)
		pr_str_appendf(&text, "- {name: %s}\n", t->workspaces[i]);
	err = pr_fleet_parse(&w->configs[w->configs_count], "replay",
			     pr_str_slice(&text));
	pr_str_finish(&text);
	if (err)
		return err;
	w->configs_count++;
	for (unsigned int h = 0; h < t->hosts; h++)
		w->hosts[h].adopt_s =
			w->second + 1 + pr_rand_below(&w->rand, MOVES_LAG_S);
	return 0;
}

static void adopt(world_t *w, host_t *host)
{
	if (host->config + 1 == w->configs_count || w->second < host->adopt_s)
		return;
	host->config = w->configs_count - 1;
	pr_rollout_configure(&host->rollout, w->configs[host->config],
			     host->config + 1, w->second * PR_USEC_PER_SEC);
}

static void deliver_ratings(world_t *w)
{
	pending_rating_t *next;

	for (pending_rating_t *p = w->due[w->second]; p; p = next) {
		pr_outcome_counts_t counts = {
			.trials = { 1 }, .bad = { p->rating.good ? 0 : 1 }
		};

		next = p->next;
		p->rating.request_class = pr_slice_of(p->class_name);
		for (unsigned int h = 0; h < w->trace->hosts; h++)
			pr_policy_add_rating(&w->hosts[h].policy, &p->rating,
					     w->second * PR_USEC_PER_SEC);
		if (p->evidence)
			pr_evidence_outbox_add(&w->hosts[p->host].outbox,
					       p->rating.model,
					       p->rating.version,
					       p->rating.workspace, &counts);
		w->result->ratings++;
		free(p);
	}
	w->due[w->second] = NULL;
}

/* Evidence to host 0; messages and acknowledgements may be lost. */
static void exchange_evidence(world_t *w)
{
	for (unsigned int h = 0; h < w->trace->hosts; h++) {
		host_t *host = &w->hosts[h];
		const pr_evidence_t *next =
			pr_evidence_outbox_next(&host->outbox);

		if (!next || pr_rand_unit(&w->rand) < MESSAGE_LOST)
			continue;
		pr_evidence_receive(w->inbox, &w->hosts[0].rollout, next);
		if (pr_rand_unit(&w->rand) >= MESSAGE_LOST)
			pr_evidence_outbox_acked(&host->outbox, next->seq);
	}
}

static int apply(world_t *w, const pr_rollout_change_t *change)
{
	int i = rp_find_version(w->trace, change->model, change->version);
	rp_version_t *v = &w->versions[i];

	if (change->action == PR_ROLLOUT_WARN ||
	    pr_rollout_change_check(change, w->configs[w->configs_count - 1]))
		return 0;
	if (change->action == PR_ROLLOUT_WITHDRAW)
		w->result->withdrawn[v->kind]++;
	if (change->action == PR_ROLLOUT_PROVE)
		w->result->proven[v->kind]++;
	v->state = change->to_state;
	v->share = change->to_share;
	return publish(w);
}

static int conclude(world_t *w)
{
	host_t *owner = &w->hosts[0];
	const pr_fleet_t *fleet = w->configs[owner->config];
	pr_rollout_change_t changes[8];
	unsigned int count;
	int err = 0;

	if (w->mode == RP_STAGES)
		count = rp_stages_conclude(&w->stages, w->trace,
					   &owner->rollout, fleet, w->second,
					   changes, 8);
	else
		count = pr_rollout_evaluate(
			&owner->rollout, fleet, owner->config + 1,
			owner->config + 1 == w->configs_count, changes, 8,
			w->second * PR_USEC_PER_SEC);
	for (unsigned int i = 0; !err && i < count; i++)
		err = apply(w, &changes[i]);
	return err;
}

static int start_rollouts(world_t *w)
{
	bool changed = false;

	for (size_t i = 0; i < w->trace->versions_count; i++) {
		rp_version_t *v = &w->versions[i];

		if (v->roll_s < 0 || v->roll_s > (double)w->second ||
		    w->second > (long)v->roll_s + 1 ||
		    v->state != PR_VERSION_HALTED)
			continue;
		v->state = PR_VERSION_ROLLING;
		v->share = w->hosts[0].rollout.options.shares[0];
		w->result->rollouts[v->kind]++;
		changed = true;
	}
	return changed ? publish(w) : 0;
}

static int tick(world_t *w)
{
	int err = start_rollouts(w);

	deliver_ratings(w);
	exchange_evidence(w);
	for (unsigned int h = 0; h < w->trace->hosts; h++)
		adopt(w, &w->hosts[h]);
	return err ? err : conclude(w);
}

typedef struct draw_context_t {
	world_t *w;
	host_t *host;
	const pr_fleet_t *fleet;
	pr_slice_t workspace, session;
	pr_usec_t now;
} draw_context_t;

static bool draw(void *data, const pr_model_t *model,
		 const pr_version_t *version)
{
	draw_context_t *c = data;

	return pr_rollout_draw(&c->host->rollout, c->fleet, model, version,
			       c->workspace, c->session, c->w->trace->hosts,
			       c->now);
}

static void ask_rating(world_t *w, size_t request, unsigned int h, int version,
		       bool good, bool escalated, bool evidence)
{
	const rp_request_t *r = &w->trace->requests[request];
	pending_rating_t *p;
	long at;

	if (pr_rand_unit(&w->rand) < RATING_MISSED)
		return;
	at = w->second + 1 + (long)pr_rand_exponential(&w->rand, RATING_LAG_S);
	if (at >= w->seconds)
		return;
	p = calloc(1, sizeof(*p));
	if (!p)
		return;
	snprintf(p->class_name, sizeof(p->class_name), "%s%s",
		 w->trace->classes[r->request_class],
		 escalated ? PR_POLICY_ESCALATED : "");
	p->rating = (pr_rating_t){
		.request = 2 * (uint64_t)request + 1 + escalated,
		.workspace = pr_slice_of(w->trace->workspaces[r->workspace]),
		/* The trace's names outlive configurations. */
		.model = pr_slice_of(w->trace->versions[version].model),
		.version = pr_slice_of(w->trace->versions[version].name),
		.good = good
	};
	p->host = (uint8_t)h;
	p->evidence = evidence;
	p->next = w->due[at];
	w->due[at] = p;
}

static void count_exposure(world_t *w, const rp_request_t *r, int version,
			   const pr_plan_step_t *step, host_t *host)
{
	if (step->basis == PR_BASIS_SESSION)
		pr_rollout_charge(&host->rollout, step->model, step->version);
	if (rp_is_bad(w->trace, version, r->workspace, r->at_s))
		w->result->exposed[w->trace->versions[version].kind]++;
}

static void answer(world_t *w, size_t request, unsigned int h,
		   const pr_plan_t *plan)
{
	const rp_request_t *r = &w->trace->requests[request];
	host_t *host = &w->hosts[h];
	rp_result_t *result = w->result;
	bool good = false;

	for (unsigned int i = 0; i < plan->steps_count; i++) {
		const pr_plan_step_t *step = &plan->steps[i];
		int version = rp_find_version(w->trace, step->model->name,
					      step->version->name);
		double confidence;
		bool done;

		if (pr_policy_permitted(
			    w->configs[host->config],
			    pr_slice_of(w->trace->workspaces[r->workspace]),
			    pr_slice_of(step->model->name),
			    pr_slice_of(step->version->name), step->basis,
			    true)) {
			result->forbidden++;
			continue;
		}
		good = rp_good(w->trace, request, version);
		confidence = rp_confidence(w->trace, request, version, good);
		done = i + 1 == plan->steps_count ||
		       pr_policy_is_sufficient(step, confidence);
		result->cost += rp_price(w->trace, request, version);
		result->latency_sum += rp_latency(w->trace, request, version);
		result->escalated += i;
		count_exposure(w, r, version, step, host);
		pr_policy_add_pending(&host->policy, plan,
				      2 * (uint64_t)request + 1 + i, confidence,
				      done);
		if (plan->rate)
			ask_rating(w, request, h, version, good, i > 0,
				   pr_policy_is_evidence(plan, i));
		if (done)
			break;
	}
	result->good += good;
	result->requests++;
}

static void serve(world_t *w, size_t request)
{
	const rp_trace_t *t = w->trace;
	const rp_request_t *r = &t->requests[request];
	unsigned int h = pr_rand_below(&w->rand, t->hosts);
	host_t *host = &w->hosts[h];
	host_t *owner = &w->hosts[r->session % t->hosts];
	const pr_fleet_t *fleet = w->configs[host->config];
	pr_usec_t now = (pr_usec_t)(r->at_s * (double)PR_USEC_PER_SEC);
	char id[RP_NAME];
	pr_session_t known;
	pr_session_decision_t decision = { PR_SESSION_START, NULL };
	pr_slice_t workspace = pr_slice_of(t->workspaces[r->workspace]);
	draw_context_t context = { w, host, fleet, workspace, { id, 0 }, now };
	pr_policy_query_t query = { .fleet = fleet,
				    .workspace = workspace,
				    .request_class = pr_slice_of(
					    t->classes[r->request_class]),
				    .model = PR_SLICE(PR_POLICY_AUTO),
				    .opens_session = r->session != 0,
				    .stream = r->stream,
				    .confirmed = true,
				    .tokens_in = r->tokens_in,
				    .tokens_out = r->tokens_out,
				    .answer_s = 1,
				    .draw = draw,
				    .draw_data = &context };
	pr_plan_t plan;

	context.session.len =
		(size_t)snprintf(id, sizeof(id), r->session ? "s%zu" : "r%zu",
				 r->session ? (size_t)r->session : request);
	if (r->session &&
	    !pr_session_cache_get(&owner->memory, &known, workspace,
				  context.session, now))
		decision = pr_session_decide(fleet, NULL, &known);
	if (decision.action == PR_SESSION_KEEP) {
		query.session_model = pr_slice_of(known.model);
		query.session_version = pr_slice_of(known.version);
	}
	w->result->sessions_moved += decision.action == PR_SESSION_MOVE;
	if (pr_policy_plan(&host->policy, &plan, &query, &w->rand, now))
		return;
	if (r->session && decision.action != PR_SESSION_KEEP &&
	    !pr_session_set(&known, workspace, context.session,
			    pr_slice_of(plan.steps[0].model->name),
			    pr_slice_of(plan.steps[0].version->name), now))
		pr_session_cache_put(&owner->memory, &known, now);
	answer(w, request, h, &plan);
}

static int open_hosts(world_t *w)
{
	pr_policy_options_t policy = PR_POLICY_OPTIONS_INIT;
	pr_rollout_options_t rollout = PR_ROLLOUT_OPTIONS_INIT;
	char name[RP_NAME];
	int err = 0;

	policy.posteriors_max = 2048;
	rollout.budget_enabled = w->mode == RP_OURS;
	for (unsigned int h = 0; !err && h < w->trace->hosts; h++) {
		host_t *host = &w->hosts[h];

		snprintf(name, sizeof(name), "h%u", h);
		pr_evidence_outbox_init(&host->outbox, pr_slice_of(name),
					h + 1);
		err = pr_policy_init(&host->policy, &policy);
		if (!err)
			err = pr_rollout_init(&host->rollout, &rollout);
		if (!err)
			err = pr_session_cache_init(&host->memory, SESSIONS_MAX,
						    SESSION_TTL);
	}
	if (!err)
		err = publish(w);
	for (unsigned int h = 0; !err && h < w->trace->hosts; h++)
		pr_rollout_configure(&w->hosts[h].rollout, w->configs[0], 1, 0);
	return err;
}

static void close_world(world_t *w)
{
	for (unsigned int h = 0; w->hosts && h < w->trace->hosts; h++) {
		pr_policy_finish(&w->hosts[h].policy);
		pr_rollout_finish(&w->hosts[h].rollout);
		pr_session_cache_finish(&w->hosts[h].memory);
	}
	for (unsigned int i = 0; i < w->configs_count; i++)
		pr_fleet_free(w->configs[i]);
	for (long s = 0; w->due && s < w->seconds; s++)
		while (w->due[s]) {
			pending_rating_t *next = w->due[s]->next;

			free(w->due[s]);
			w->due[s] = next;
		}
	free(w->due);
	free(w->hosts);
	free(w->inbox);
	pr_rand_finish(&w->rand);
}

static void report_quality(world_t *w)
{
	double good = 0, bad = 0;
	pr_policy_t sum;
	pr_quality_report_t report;

	for (unsigned int h = 0; h < w->trace->hosts; h++) {
		good += w->hosts[h].policy.uniform_good;
		bad += w->hosts[h].policy.uniform_bad;
	}
	sum = (pr_policy_t){ .uniform_good = good, .uniform_bad = bad };
	pr_policy_report(&sum, &report);
	w->result->report_low = report.low;
	w->result->report_high = report.high;
}

int rp_run_fleet(const rp_trace_t *trace, rp_mode_t mode, uint64_t seed,
		 rp_result_t *result)
{
	const rp_request_t *last = &trace->requests[trace->requests_count - 1];
	world_t *w = calloc(1, sizeof(*w));
	int err;

	*result = (rp_result_t){ .cost = 0 };
	if (!w)
		return pr_error_set(PR_ENOMEM, "no memory for a run");
	w->trace = trace;
	w->mode = mode;
	w->result = result;
	w->seconds = (long)last->at_s + 2;
	w->hosts = calloc(trace->hosts, sizeof(*w->hosts));
	w->inbox = calloc(1, sizeof(*w->inbox));
	w->due = calloc((size_t)w->seconds, sizeof(pending_rating_t *));
	memcpy(w->versions, trace->versions, sizeof(w->versions));
	err = pr_rand_init(&w->rand, seed);
	if (!err && (!w->hosts || !w->inbox || !w->due))
		err = pr_error_set(PR_ENOMEM, "no memory for a run");
	if (!err)
		err = open_hosts(w);
	for (size_t i = 0; !err && i < trace->requests_count; i++) {
		while (!err && w->second <= (long)trace->requests[i].at_s) {
			err = tick(w);
			w->second++;
		}
		if (!err)
			serve(w, i);
	}
	if (!err)
		report_quality(w);
	close_world(w);
	free(w);
	return err;
}
