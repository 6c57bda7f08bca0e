/*
 * Learned quality of model versions: Beta posteriors of rating counts that
 * decay with time, with a prior shared by all workspaces and a detector of
 * sudden changes.
 *
 * The posteriors are in a hash table of fixed size. A key can be in one of
 * eight consecutive entries; when all are taken, the least recently updated one
 * is evicted.
 */
#include "pistachiorack/policy.h"

#include <gsl/gsl_cdf.h>
#include <math.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "policy/learn.h"

/* Consecutive entries of the table in which a key can be. */
#define PROBES 8
/* Ratings in the short window; 60 suffice to detect a drop from 95% to 75%. */
#define RECENT_RATINGS_MAX 60.0f
/* Standard deviations between the short window and the estimate that count as a
 * change. The test is repeated with every rating, so a lower limit would often
 * discard a good estimate. */
#define CHANGE_LIMIT_Z 4.5

int pr_policy_init(pr_policy_t *policy, const pr_policy_options_t *options)
{
	const pr_policy_options_t *o = options;

	*policy = (pr_policy_t){ .options = *o };
	if (o->version != PR_POLICY_OPTIONS_VERSION ||
	    o->posteriors_max < PROBES ||
	    (o->posteriors_max & (o->posteriors_max - 1)) || !o->pending_max ||
	    o->bound_z <= 0)
		return pr_error_set(
			PR_EINVALID,
			"invalid policy options: version, table sizes or "
			"bound_z out of range");
	policy->posteriors =
		calloc(o->posteriors_max, sizeof(*policy->posteriors));
	policy->calibrations = calloc(PR_POLICY_CALIBRATIONS_MAX,
				      sizeof(*policy->calibrations));
	policy->pending = calloc(o->pending_max, sizeof(*policy->pending));
	if (policy->posteriors && policy->calibrations && policy->pending)
		return 0;
	pr_policy_finish(policy);
	return pr_error_set(PR_ENOMEM, "no memory for the routing policy");
}

void pr_policy_finish(pr_policy_t *policy)
{
	free(policy->posteriors);
	free(policy->calibrations);
	free(policy->pending);
	*policy = (pr_policy_t){ .posteriors = NULL };
}

size_t pr_policy_bytes(const pr_policy_t *policy)
{
	return sizeof(*policy) +
	       policy->options.posteriors_max * sizeof(*policy->posteriors) +
	       PR_POLICY_CALIBRATIONS_MAX * sizeof(*policy->calibrations) +
	       policy->options.pending_max * sizeof(*policy->pending);
}

uint64_t pr_policy_key(pr_slice_t workspace, pr_slice_t request_class,
		       pr_slice_t model, pr_slice_t version)
{
	uint64_t key = pr_hash64(workspace.ptr, workspace.len, 1);

	key = pr_hash64(request_class.ptr, request_class.len, key);
	key = pr_hash64(model.ptr, model.len, key);
	key = pr_hash64(version.ptr, version.len, key);
	return key ? key : 1;
}

static const pr_posterior_t *find_posterior(const pr_policy_t *policy,
					    uint64_t key)
{
	uint32_t mask = policy->options.posteriors_max - 1;

	for (uint32_t i = 0; i < PROBES; i++) {
		const pr_posterior_t *entry =
			&policy->posteriors[(key + i) & mask];

		if (entry->key == key)
			return entry;
	}
	return NULL;
}

/* Returns the entry of the key; if there is none, evicts one for it. */
static pr_posterior_t *find_or_insert_posterior(pr_policy_t *policy,
						uint64_t key, pr_usec_t now)
{
	uint32_t mask = policy->options.posteriors_max - 1;
	pr_posterior_t *oldest = NULL;

	for (uint32_t i = 0; i < PROBES; i++) {
		pr_posterior_t *entry = &policy->posteriors[(key + i) & mask];

		if (entry->key == key)
			return entry;
		if (!oldest ||
		    (oldest->key &&
		     (!entry->key || entry->updated < oldest->updated)))
			oldest = entry;
	}
	if (oldest->key)
		policy->evicted++;
	*oldest = (pr_posterior_t){ .key = key, .updated = now };
	return oldest;
}

/* Returns the factor by which counts have decayed since their update. */
static double decay_factor(const pr_policy_t *policy, pr_usec_t updated,
			   pr_usec_t now)
{
	if (now <= updated)
		return 1;
	return exp2(-(double)(now - updated) /
		    (double)policy->options.half_life);
}

/* Replaces the counts by those of the short window if the two differ. The
 * arcsine transform keeps the limit valid near a quality of 1, where the normal
 * approximation would take three consecutive bad ratings for a change. */
static bool detect_change(pr_posterior_t *entry)
{
	double n = entry->recent_good + entry->recent_bad;
	double all = entry->good + entry->bad;
	double distance;

	if (n < RECENT_RATINGS_MAX / 4 || all < 2 * RECENT_RATINGS_MAX)
		return false;
	distance = asin(sqrt(entry->recent_good / n)) -
		   asin(sqrt((entry->good + 1) / (all + 2)));
	if (2 * fabs(distance) < CHANGE_LIMIT_Z * sqrt(1 / n + 1 / all))
		return false;
	entry->good = entry->recent_good;
	entry->bad = entry->recent_bad;
	return true;
}

static void add_rating(pr_policy_t *policy, uint64_t key, bool good,
		       pr_usec_t now)
{
	pr_posterior_t *entry = find_or_insert_posterior(policy, key, now);
	float factor = (float)decay_factor(policy, entry->updated, now);
	float sum = (entry->good + entry->bad) * factor + 1;
	float recent = entry->recent_good + entry->recent_bad + 1;

	if (sum > (float)policy->options.ratings_max)
		factor *= (float)policy->options.ratings_max / sum;
	entry->good = entry->good * factor + (good ? 1 : 0);
	entry->bad = entry->bad * factor + (good ? 0 : 1);
	factor = recent > RECENT_RATINGS_MAX ? RECENT_RATINGS_MAX / recent : 1;
	entry->recent_good = entry->recent_good * factor + (good ? 1 : 0);
	entry->recent_bad = entry->recent_bad * factor + (good ? 0 : 1);
	if (now > entry->updated)
		entry->updated = now;
	if (detect_change(entry))
		policy->changes++;
}

const pr_calibration_t *pr_policy_calibration(const pr_policy_t *policy,
					      uint64_t key)
{
	const pr_calibration_t *entry =
		&policy->calibrations[key % PR_POLICY_CALIBRATIONS_MAX];

	return entry->key == key ? entry : NULL;
}

static unsigned int confidence_level(double confidence)
{
	int level = (int)(confidence * PR_POLICY_LEVELS);

	return level >= PR_POLICY_LEVELS ? PR_POLICY_LEVELS - 1
					 : (unsigned int)level;
}

static void calibrate(pr_policy_t *policy, uint64_t key, double confidence,
		      bool good)
{
	pr_calibration_t *entry =
		&policy->calibrations[key % PR_POLICY_CALIBRATIONS_MAX];
	unsigned int level = confidence_level(confidence);
	float sum = 1;

	if (entry->key != key)
		*entry = (pr_calibration_t){ .key = key };
	for (int i = 0; i < PR_POLICY_LEVELS; i++)
		sum += entry->good[i] + entry->bad[i];
	if (sum > (float)policy->options.ratings_max)
		for (int i = 0; i < PR_POLICY_LEVELS; i++) {
			entry->good[i] *=
				(float)policy->options.ratings_max / sum;
			entry->bad[i] *=
				(float)policy->options.ratings_max / sum;
		}
	if (good)
		entry->good[level]++;
	else
		entry->bad[level]++;
}

void pr_policy_add_pending(pr_policy_t *policy, const pr_plan_t *plan,
			   uint64_t answer, double confidence, bool final)
{
	pr_policy_pending_t *pending =
		&policy->pending[answer % policy->options.pending_max];

	if (plan->rate)
		*pending =
			(pr_policy_pending_t){ .request = answer,
					       .confidence = (float)confidence,
					       .uniform =
						       plan->uniform && final };
}

void pr_policy_add_rating(pr_policy_t *policy, const pr_rating_t *rating,
			  pr_usec_t now)
{
	pr_policy_pending_t *pending =
		&policy->pending[rating->request % policy->options.pending_max];
	uint64_t shared = pr_policy_key(PR_SLICE(""), rating->request_class,
					rating->model, rating->version);

	policy->ratings++;
	add_rating(policy,
		   pr_policy_key(rating->workspace, rating->request_class,
				 rating->model, rating->version),
		   rating->good, now);
	add_rating(policy, shared, rating->good, now);
	if (pending->request != rating->request || !rating->request)
		return;
	if (pending->confidence >= 0)
		calibrate(policy, shared, pending->confidence, rating->good);
	if (pending->uniform && rating->good)
		policy->uniform_good++;
	else if (pending->uniform)
		policy->uniform_bad++;
	pending->request = 0;
}

void pr_policy_estimate_from(const pr_policy_t *policy, pr_slice_t workspace,
			     pr_slice_t request_class, pr_slice_t model,
			     pr_slice_t version, pr_usec_t now, double a,
			     double b, double *quality, double *quality_low)
{
	const pr_posterior_t *own =
		find_posterior(policy, pr_policy_key(workspace, request_class,
						     model, version));
	const pr_posterior_t *all = find_posterior(
		policy,
		pr_policy_key(PR_SLICE(""), request_class, model, version));
	double mean;

	if (all) {
		double factor = decay_factor(policy, all->updated, now);
		double sum = (all->good + all->bad) * factor;
		double prior_max = policy->options.prior_ratings_max;
		double weight = sum > prior_max ? prior_max / sum : 1;

		a += all->good * factor * weight;
		b += all->bad * factor * weight;
	}
	if (own) {
		double factor = decay_factor(policy, own->updated, now);

		a += own->good * factor;
		b += own->bad * factor;
	}
	mean = a / (a + b);
	*quality = mean;
	*quality_low = mean - policy->options.bound_z *
				      sqrt(mean * (1 - mean) / (a + b + 1));
}

void pr_policy_estimate(const pr_policy_t *policy, pr_slice_t workspace,
			pr_slice_t request_class, pr_slice_t model,
			pr_slice_t version, pr_usec_t now, double *quality,
			double *quality_low)
{
	pr_policy_estimate_from(policy, workspace, request_class, model,
				version, now, 1, 1, quality, quality_low);
}

/* Computes a quantile of the beta distribution by bisection:
 * gsl_cdf_beta_Pinv() calls the fatal error handler when its Newton steps do
 * not converge, which happens with more than some thousand ratings. */
static double beta_quantile(double p, double a, double b)
{
	double low = 0, high = 1;

	for (int i = 0; i < 50; i++) {
		double middle = (low + high) / 2;

		if (gsl_cdf_beta_P(middle, a, b) < p)
			low = middle;
		else
			high = middle;
	}
	return (low + high) / 2;
}

void pr_policy_report(const pr_policy_t *policy, pr_quality_report_t *report)
{
	double good = policy->uniform_good, bad = policy->uniform_bad;

	*report = (pr_quality_report_t){ .ratings = good + bad, .high = 1 };
	if (good + bad <= 0)
		return;
	report->quality = good / (good + bad);
	if (good > 0)
		report->low = beta_quantile(0.025, good, bad + 1);
	if (bad > 0)
		report->high = beta_quantile(0.975, good + 1, bad);
}
