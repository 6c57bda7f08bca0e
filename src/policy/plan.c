/* Planning of a request: choice among single versions and cascades of two, with
 * sampling of other versions and the draw of a roll-out. */
#include "pistachiorack/policy.h"

#include <math.h>
#include <stdio.h>

#include "pistachiorack/error.h"
#include "policy/learn.h"

/* Ratings of accepted answers that a confidence threshold needs. */
#define LEVEL_RATINGS_MIN 30.0

/* Standard deviations by which an estimate may be too low for a version to
 * count as promising. */
#define PROMISING_Z 2.0

typedef struct candidates_t {
	pr_plan_step_t steps[PR_POLICY_CANDIDATES_MAX];
	unsigned int count;
	/** Index of the reference, the version with the highest price. */
	unsigned int reference;
	/** Estimated quality of the reference on escalated requests. */
	double escalated_quality;
} candidates_t;

/* Returns the expected price; versions are priced per 1,000 tokens. */
static double expected_price(const pr_policy_query_t *query,
			     const pr_version_t *version)
{
	return (query->tokens_in * (double)version->price_in +
		query->tokens_out * (double)version->price_out) /
	       1000;
}

static void fill_step(const pr_policy_t *policy, const pr_policy_query_t *query,
		      const pr_model_t *model, const pr_version_t *version,
		      pr_policy_basis_t basis, pr_usec_t now,
		      pr_plan_step_t *step)
{
	*step = (pr_plan_step_t){ .model = model,
				  .version = version,
				  .basis = basis,
				  .price = expected_price(query, version) };
	pr_policy_estimate(policy, query->workspace, query->request_class,
			   pr_slice_of(model->name), pr_slice_of(version->name),
			   now, &step->quality, &step->quality_low);
}

static void add_model(const pr_policy_t *policy, pr_plan_t *plan,
		      const pr_policy_query_t *query, const pr_model_t *model,
		      pr_usec_t now, candidates_t *list)
{
	for (unsigned int i = 0; i < model->versions_count; i++) {
		const pr_version_t *version = &model->versions[i];
		pr_policy_permission_t permission = pr_policy_permitted(
			query->fleet, query->workspace,
			pr_slice_of(model->name), pr_slice_of(version->name),
			PR_BASIS_NEW, query->confirmed);

		if (permission != PR_PERMITTED) {
			plan->refused = permission;
			continue;
		}
		if (list->count == PR_POLICY_CANDIDATES_MAX)
			return;
		fill_step(policy, query, model, version, PR_BASIS_NEW, now,
			  &list->steps[list->count]);
		if (list->steps[list->count].price >=
		    list->steps[list->reference].price)
			list->reference = list->count;
		list->count++;
	}
}

static void collect(const pr_policy_t *policy, pr_plan_t *plan,
		    const pr_policy_query_t *query, pr_usec_t now,
		    candidates_t *list)
{
	const pr_fleet_t *fleet = query->fleet;
	bool auto_model =
		pr_slice_equal(query->model, PR_SLICE(PR_POLICY_AUTO));

	list->count = 0;
	list->reference = 0;
	plan->refused = auto_model ? PR_FORBIDDEN_MODEL : PR_FORBIDDEN_UNKNOWN;
	for (unsigned int i = 0; i < fleet->models_count; i++)
		if (auto_model ||
		    pr_slice_equal(query->model,
				   pr_slice_of(fleet->models[i].name)))
			add_model(policy, plan, query, &fleet->models[i], now,
				  list);
	plan->candidates = list->count;
}

static void estimate_escalated(const pr_policy_t *policy,
			       const pr_policy_query_t *query, pr_usec_t now,
			       candidates_t *list)
{
	const pr_plan_step_t *step = &list->steps[list->reference];
	char name[PR_POLICY_CLASS_MAX + sizeof(PR_POLICY_ESCALATED)];
	int len = snprintf(name, sizeof(name), "%.*s%s",
			   query->request_class.len > PR_POLICY_CLASS_MAX
				   ? PR_POLICY_CLASS_MAX
				   : (int)query->request_class.len,
			   query->request_class.ptr, PR_POLICY_ESCALATED);
	double low;

	/* The prior is the quality of the reference on all requests, with the
	 * weight of 20 ratings, until escalated answers have been rated. */
	pr_policy_estimate_from(
		policy, query->workspace, pr_slice(name, (size_t)len),
		pr_slice_of(step->model->name),
		pr_slice_of(step->version->name), now, 20 * step->quality,
		20 * (1 - step->quality), &list->escalated_quality, &low);
}

static double quality_target(const pr_policy_t *policy,
			     const pr_policy_query_t *query,
			     const pr_plan_step_t *reference)
{
	const pr_exception_t *exception =
		pr_fleet_exception(query->fleet, query->workspace);
	double target = query->fleet->defaults.quality_target;
	double relative = reference->quality * policy->options.relative_target;

	if (exception && exception->quality_target > 0)
		target = exception->quality_target;
	/* The target cannot be higher than what the reference achieves. */
	return target > 0 && target < relative ? target : relative;
}

/* Computes which share of the answers is accepted if `level` is the lowest
 * accepted confidence level, and the lower bound of their quality. Returns
 * false if there are too few ratings. */
static bool get_acceptance(const pr_policy_t *policy,
			   const pr_policy_query_t *query,
			   const pr_plan_step_t *step, int level, double *share,
			   double *low)
{
	const pr_calibration_t *calibration = pr_policy_calibration(
		policy, pr_policy_key(PR_SLICE(""), query->request_class,
				      pr_slice_of(step->model->name),
				      pr_slice_of(step->version->name)));
	double good = 1, bad = 1, all = 0, mean;

	if (!calibration)
		return false;
	for (int i = 0; i < PR_POLICY_LEVELS; i++) {
		all += calibration->good[i] + calibration->bad[i];
		if (i >= level) {
			good += calibration->good[i];
			bad += calibration->bad[i];
		}
	}
	if (good + bad - 2 < LEVEL_RATINGS_MIN)
		return false;
	mean = good / (good + bad);
	*share = (good + bad - 2) / all;
	*low = mean - policy->options.bound_z *
			      sqrt(mean * (1 - mean) / (good + bad + 1));
	return true;
}

typedef struct choice_t {
	/** Index of the version of the first step. */
	unsigned int first;
	/** Lowest accepted confidence level; 0: no escalation. */
	int level;
	/** Expected cost (price and cost of delay), price and quality. */
	double cost, price, quality;
} choice_t;

/* Takes a cascade from step i to the reference as the best choice if it meets
 * the target at a lower cost, for each confidence threshold. */
static void evaluate_cascades(const pr_policy_t *policy,
			      const pr_policy_query_t *query,
			      const candidates_t *list, unsigned int i,
			      double target, choice_t *best)
{
	const pr_plan_step_t *step = &list->steps[i];
	const pr_plan_step_t *reference = &list->steps[list->reference];
	double share, low, delay = 0;

	/* Only interactive requests have a cost of delay. */
	if (query->interactive)
		delay = query->answer_s * policy->options.delay_price;
	for (int level = 1; level < PR_POLICY_LEVELS; level++) {
		double price, quality, cost;

		if (!get_acceptance(policy, query, step, level, &share, &low))
			return;
		price = step->price + (1 - share) * reference->price;
		quality = share * low + (1 - share) * list->escalated_quality;
		cost = price + (1 - share) * delay;
		if (quality >= target && cost < best->cost)
			*best = (choice_t){ i, level, cost, price, quality };
	}
}

/* Returns the choice with the lowest expected cost that meets the target. */
static choice_t choose(const pr_policy_t *policy,
		       const pr_policy_query_t *query, const candidates_t *list,
		       double target)
{
	const pr_plan_step_t *reference = &list->steps[list->reference];
	choice_t best = { .first = list->reference,
			  .cost = reference->price,
			  .price = reference->price,
			  .quality = reference->quality };
	bool may_escalate = !query->stream && !query->opens_session;

	for (unsigned int i = 0; i < list->count; i++) {
		const pr_plan_step_t *step = &list->steps[i];

		if (i == list->reference || step->price >= best.cost)
			continue;
		if (step->quality_low >= target) {
			best = (choice_t){ i, 0, step->price, step->price,
					   step->quality };
			continue;
		}
		if (may_escalate)
			evaluate_cascades(policy, query, list, i, target,
					  &best);
	}
	return best;
}

/* Replaces the version of a step by the one in roll-out if the draw says so. */
static void apply_draw(const pr_policy_t *policy,
		       const pr_policy_query_t *query, pr_plan_step_t *step,
		       pr_usec_t now)
{
	const pr_model_t *model = step->model;
	double accept = step->accept_confidence;

	for (unsigned int i = 0; query->draw && i < model->versions_count;
	     i++) {
		const pr_version_t *version = &model->versions[i];

		if (version->state != PR_VERSION_ROLLING ||
		    !version->replaces ||
		    !pr_slice_equal(pr_slice_of(version->replaces),
				    pr_slice_of(step->version->name)) ||
		    pr_policy_permitted(query->fleet, query->workspace,
					pr_slice_of(model->name),
					pr_slice_of(version->name),
					PR_BASIS_DRAW, query->confirmed) ||
		    !query->draw(query->draw_data, model, version))
			continue;
		fill_step(policy, query, model, version, PR_BASIS_DRAW, now,
			  step);
		step->accept_confidence = accept;
		return;
	}
}

static int plan_session(const pr_policy_t *policy, pr_plan_t *plan,
			const pr_policy_query_t *query, pr_usec_t now)
{
	const pr_model_t *model;

	plan->refused = pr_policy_permitted(
		query->fleet, query->workspace, query->session_model,
		query->session_version, PR_BASIS_SESSION, query->confirmed);
	if (plan->refused != PR_PERMITTED)
		return pr_error_set(PR_EDENIED,
				    "version of the session is refused: %s",
				    pr_policy_permission_name(plan->refused));
	model = pr_fleet_model(query->fleet, query->session_model);
	fill_step(policy, query, model,
		  pr_model_version(model, query->session_version),
		  PR_BASIS_SESSION, now, &plan->steps[0]);
	plan->steps_count = 1;
	plan->candidates = 1;
	plan->rule = PR_RULE_SESSION;
	/* All answers of a version in roll-out are rated, to test it sooner. */
	plan->rate |= plan->steps[0].version->state == PR_VERSION_ROLLING;
	plan->price = plan->steps[0].price;
	plan->quality = plan->steps[0].quality;
	return 0;
}

/* Returns true if the version is cheaper than the choice and may meet the
 * target within the uncertainty of its estimate. */
static bool is_promising(const pr_policy_t *policy, const pr_plan_step_t *step,
			 const choice_t *choice, double target)
{
	double error =
		(step->quality - step->quality_low) / policy->options.bound_z;

	return step->price < choice->cost &&
	       step->quality + PROMISING_Z * error >= target;
}

/* Draws whether to sample another version, and which: a promising one, with a
 * higher probability, or else any other one, so that a change of its quality is
 * noticed. Taking the version with the highest sample of its posterior avoids
 * versions that are known to be bad (Thompson, 1933). */
static bool draw_exploration(const pr_policy_t *policy,
			     const candidates_t *list, double target,
			     pr_rand_t *rand, choice_t *choice)
{
	const pr_policy_options_t *o = &policy->options;
	unsigned int promising = 0, best = choice->first;
	double highest = -INFINITY;

	for (unsigned int i = 0; i < list->count; i++)
		promising +=
			i != choice->first &&
			is_promising(policy, &list->steps[i], choice, target);
	if (pr_rand_unit(rand) >=
	    (promising ? o->explore_promising_share : o->explore_share))
		return false;
	for (unsigned int i = 0; i < list->count; i++) {
		const pr_plan_step_t *step = &list->steps[i];
		double error = (step->quality - step->quality_low) /
			       policy->options.bound_z;
		double sample =
			step->quality +
			PROMISING_Z * error * (2 * pr_rand_unit(rand) - 1);

		if (i == choice->first || sample <= highest ||
		    (promising && !is_promising(policy, step, choice, target)))
			continue;
		highest = sample;
		best = i;
	}
	if (best == choice->first)
		return false;
	choice->first = best;
	choice->level = 0;
	choice->price = list->steps[best].price;
	choice->quality = list->steps[best].quality;
	return true;
}

int pr_policy_plan(pr_policy_t *policy, pr_plan_t *plan,
		   const pr_policy_query_t *query, pr_rand_t *rand,
		   pr_usec_t now)
{
	candidates_t list;
	choice_t choice;

	*plan = (pr_plan_t){ .steps_count = 0 };
	plan->uniform = pr_rand_unit(rand) < policy->options.rate_share;
	plan->rate = plan->uniform;
	if (query->session_version.len)
		return plan_session(policy, plan, query, now);
	collect(policy, plan, query, now, &list);
	if (!list.count)
		return pr_error_set(PR_EDENIED, "no version is permitted: %s",
				    pr_policy_permission_name(plan->refused));
	plan->target =
		quality_target(policy, query, &list.steps[list.reference]);
	estimate_escalated(policy, query, now, &list);
	choice = choose(policy, query, &list, plan->target);
	plan->rule = choice.level                     ? PR_RULE_CASCADE
		     : choice.first == list.reference ? PR_RULE_REFERENCE
						      : PR_RULE_SINGLE;
	if (draw_exploration(policy, &list, plan->target, rand, &choice)) {
		plan->rule = PR_RULE_EXPLORE;
		plan->rate = true;
	}
	plan->steps[0] = list.steps[choice.first];
	plan->steps[0].accept_confidence =
		choice.level / (double)PR_POLICY_LEVELS;
	plan->steps_count = 1;
	apply_draw(policy, query, &plan->steps[0], now);
	plan->rate |= plan->steps[0].basis == PR_BASIS_DRAW;
	if (choice.level) {
		plan->steps[1] = list.steps[list.reference];
		plan->steps_count = 2;
	}
	plan->price = choice.price;
	plan->quality = choice.quality;
	return 0;
}

bool pr_policy_is_sufficient(const pr_plan_step_t *step, double confidence)
{
	if (step->accept_confidence <= 0)
		return true;
	return confidence >= step->accept_confidence;
}

bool pr_policy_is_evidence(const pr_plan_t *plan, unsigned int step)
{
	return step == 0 && plan->rate &&
	       (plan->uniform ||
		plan->steps[0].version->state != PR_VERSION_PROVEN);
}

int pr_plan_explain(const pr_plan_t *plan, pr_str_t *out)
{
	static const char *const rules[] = {
		[PR_RULE_SESSION] = "session",
		[PR_RULE_SINGLE] = "single",
		[PR_RULE_CASCADE] = "cascade",
		[PR_RULE_REFERENCE] = "reference",
		[PR_RULE_EXPLORE] = "explore",
	};
	static const char *const bases[] = {
		[PR_BASIS_NEW] = "new",
		[PR_BASIS_DRAW] = "draw",
		[PR_BASIS_SESSION] = "session",
	};
	int err = pr_str_appendf(out,
				 "{\"rule\":\"%s\",\"target\":%.4f,"
				 "\"price\":%.1f,\"quality\":%.4f,"
				 "\"candidates\":%u,\"rate\":%s,\"steps\":[",
				 rules[plan->rule], plan->target, plan->price,
				 plan->quality, plan->candidates,
				 plan->rate ? "true" : "false");

	for (unsigned int i = 0; !err && i < plan->steps_count; i++) {
		const pr_plan_step_t *s = &plan->steps[i];

		err = pr_str_appendf(
			out,
			"%s{\"version\":\"%s@%s\",\"basis\":\"%s\","
			"\"price\":%.1f,\"quality\":%.4f,"
			"\"quality_low\":%.4f,\"accept\":%.3f}",
			i ? "," : "", s->model->name, s->version->name,
			bases[s->basis], s->price, s->quality, s->quality_low,
			s->accept_confidence);
	}
	return err ? err : pr_str_appendf(out, "]}");
}
