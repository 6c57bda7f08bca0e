/* Baselines that use the initially proven versions, and the two oracles. */
#include "replay/replay.h"

#include <math.h>

#define LEVELS          8
#define FIXED_THRESHOLD 0.6

const char *rp_mode_name(rp_mode_t mode)
{
	static const char *const names[RP_MODES] = {
		"pistachiorack", "fixed_stages",    "dearest", "cheapest",
		"split",         "fixed_threshold", "oracle",  "clairvoyant"
	};

	return names[mode];
}

static void find_ends(const rp_trace_t *t, int *cheapest, int *dearest)
{
	*cheapest = *dearest = -1;
	for (size_t i = 0; i < t->versions_count; i++) {
		const rp_version_t *v = &t->versions[i];

		if (v->kind != RP_INITIAL)
			continue;
		if (*cheapest < 0 ||
		    v->price_in < t->versions[*cheapest].price_in)
			*cheapest = (int)i;
		if (*dearest < 0 ||
		    v->price_in > t->versions[*dearest].price_in)
			*dearest = (int)i;
	}
}

static bool use(const rp_trace_t *t, size_t request, int version,
		rp_result_t *result)
{
	result->cost += rp_price(t, request, version);
	result->latency_sum += rp_latency(t, request, version);
	return rp_good(t, request, version);
}

static bool use_cascade(const rp_trace_t *t, size_t request, int first,
			int second, double threshold, rp_result_t *result)
{
	bool good = use(t, request, first, result);

	if (rp_confidence(t, request, first, good) >= threshold)
		return good;
	result->escalated++;
	return use(t, request, second, result);
}

typedef struct oracle_t {
	int first;
	double threshold;
} oracle_t;

/* Shares of good and of all answers above a threshold, and the quality of the
 * dearest version on the rest, measured over the trace's own requests. */
static oracle_t best_of(const rp_trace_t *t, int dearest, int c, int w,
			bool single, double keep)
{
	oracle_t best = { dearest, 0 };
	double best_cost = INFINITY, reference = 0, n = 0;

	for (size_t i = 0; i < t->requests_count; i++)
		if (t->requests[i].request_class == c &&
		    t->requests[i].workspace == w) {
			reference += rp_good(t, i, dearest);
			n++;
		}
	for (size_t v = 0; n > 0 && v < t->versions_count; v++)
		for (int level = 0; level < (single ? 1 : LEVELS); level++) {
			double threshold = level / (double)LEVELS;
			rp_result_t trial = { .cost = 0 };
			double good = 0;

			if (t->versions[v].kind != RP_INITIAL ||
			    (level && !t->versions[v].confidence))
				continue;
			for (size_t i = 0; i < t->requests_count; i++) {
				const rp_request_t *r = &t->requests[i];

				if (r->request_class != c || r->workspace != w)
					continue;
				good += level ? use_cascade(t, i, (int)v,
							    dearest, threshold,
							    &trial)
					      : use(t, i, (int)v, &trial);
			}
			if (good >= keep * reference &&
			    trial.cost < best_cost) {
				best_cost = trial.cost;
				best = (oracle_t){ (int)v, threshold };
			}
		}
	return best;
}

static void run_oracle(const rp_trace_t *t, int dearest, rp_result_t *result)
{
	oracle_t best[2][RP_CLASSES][RP_WORKSPACES];

	for (int s = 0; s < 2; s++)
		for (size_t c = 0; c < t->classes_count; c++)
			for (size_t w = 0; w < t->workspaces_count; w++)
				best[s][c][w] = best_of(t, dearest, (int)c,
							(int)w, s, 0.98);
	for (size_t i = 0; i < t->requests_count; i++) {
		const rp_request_t *r = &t->requests[i];
		bool single = r->stream || r->session;
		const oracle_t *o =
			&best[single][r->request_class][r->workspace];

		result->good += o->threshold > 0
					? use_cascade(t, i, o->first, dearest,
						      o->threshold, result)
					: use(t, i, o->first, result);
	}
}

/* The cheapest version whose answer is good, else the cheapest of all. */
static bool use_best_answer(const rp_trace_t *t, size_t request, int cheapest,
			    rp_result_t *result)
{
	int best = -1;

	for (size_t v = 0; v < t->versions_count; v++)
		if (t->versions[v].kind == RP_INITIAL &&
		    rp_good(t, request, (int)v) &&
		    (best < 0 ||
		     t->versions[v].price_in < t->versions[best].price_in))
			best = (int)v;
	return use(t, request, best < 0 ? cheapest : best, result);
}

void rp_run_baseline(const rp_trace_t *t, rp_mode_t mode, rp_result_t *result)
{
	int cheapest, dearest;

	*result = (rp_result_t){ .requests = (double)t->requests_count };
	find_ends(t, &cheapest, &dearest);
	if (mode == RP_ORACLE) {
		run_oracle(t, dearest, result);
		return;
	}
	for (size_t i = 0; i < t->requests_count; i++) {
		const rp_request_t *r = &t->requests[i];
		bool half = rp_unit(t, i, 5) < 0.5;

		if (mode == RP_CLAIRVOYANT)
			result->good += use_best_answer(t, i, cheapest, result);
		else if (mode == RP_THRESHOLD && !r->stream && !r->session)
			result->good += use_cascade(t, i, cheapest, dearest,
						    FIXED_THRESHOLD, result);
		else if (mode == RP_CHEAPEST || (mode == RP_SPLIT && half))
			result->good += use(t, i, cheapest, result);
		else
			result->good += use(t, i, dearest, result);
	}
}
