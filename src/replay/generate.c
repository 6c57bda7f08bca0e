/* Traces of the two deployments, from a seed. */
#include "replay/replay.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/rand.h"

typedef struct deployment_t {
	const char *name;
	const char *zones[3];
	const char *classes[3];
	/** Share of each class; part of it in sessions; part streamed. */
	double share[3], sessions[3], streams[3];
	uint32_t tokens_in[3], tokens_out[3];
} deployment_t;

static const deployment_t deployments[] = {
	{ "A",
	  { "shah-alam", "prai", "kuching" },
	  { "route", "manifest", "note" },
	  { 0.45, 0.2, 0.35 },
	  { 0.6, 0, 0 },
	  { 0.6, 0.1, 0 },
	  { 400, 3000, 300 },
	  { 150, 400, 20 } },
	{ "B",
	  { "nq-ayr", "nq-hom", "seq-bne" },
	  { "settlement", "sorting", "docket" },
	  { 0.25, 0.3, 0.45 },
	  { 0.2, 0.3, 0 },
	  { 0.2, 0.2, 0 },
	  { 2500, 800, 300 },
	  { 500, 200, 20 } },
};

typedef struct model_t {
	const char *name;
	uint32_t price;
	double answer_s, quality[3];
} model_t;

/* Quality by class: question, long summary, short tag. */
static const model_t models[] = {
	{ "large", 100, 2.5, { 0.955, 0.95, 0.97 } },
	{ "medium", 30, 1.2, { 0.945, 0.90, 0.965 } },
	{ "small", 10, 0.6, { 0.86, 0.78, 0.955 } },
	{ "tiny", 3, 0.3, { 0.66, 0.55, 0.90 } },
};

static void add_versions(rp_trace_t *trace, pr_rand_t *rand)
{
	for (size_t m = 0; m < 4; m++) {
		rp_version_t *v = &trace->versions[trace->versions_count++];

		*v = (rp_version_t){ .price_in = models[m].price,
				     .price_out = 3 * models[m].price,
				     .answer_s = models[m].answer_s,
				     .confidence = m > 0,
				     .roll_s = -1,
				     .kind = RP_INITIAL };
		snprintf(v->model, RP_NAME, "%s", models[m].name);
		snprintf(v->name, RP_NAME, "v1");
		for (size_t c = 0; c < trace->classes_count; c++)
			v->quality[c] = models[m].quality[c] +
					0.02 * (pr_rand_unit(rand) - 0.5);
	}
}

static void shift(rp_trace_t *trace, int version, double at_s, double over_s,
		  double delta, int workspace)
{
	trace->shifts[trace->shifts_count++] =
		(rp_shift_t){ .at_s = at_s,
			      .over_s = over_s,
			      .delta = delta,
			      .version = version,
			      .request_class = -1,
			      .workspace = workspace };
}

/* Adds a roll-out of a version that replaces `base`. */
static void add_rollout(rp_trace_t *trace, pr_rand_t *rand, int base,
			double start_s, double end_s)
{
	int index = (int)trace->versions_count++;
	rp_version_t *v = &trace->versions[index];
	double left = end_s - start_s;

	*v = trace->versions[base];
	snprintf(v->name, RP_NAME, "v2");
	snprintf(v->replaces, RP_NAME, "%s", trace->versions[base].name);
	v->state = PR_VERSION_HALTED;
	v->roll_s = start_s;
	/* Half of the roll-outs are good. */
	v->kind = pr_rand_below(rand, 2)
			  ? RP_GOOD
			  : (rp_kind_t)(RP_SUBTLE + pr_rand_below(rand, 5));
	switch (v->kind) {
	case RP_SUBTLE:
		shift(trace, index, 0, 0, -0.04, -1);
		break;
	case RP_SUDDEN:
		shift(trace, index, start_s + 0.1 * left * pr_rand_unit(rand),
		      0, -0.3, -1);
		break;
	case RP_SLOW:
		shift(trace, index, start_s, 3600, -0.2, -1);
		break;
	case RP_WORKSPACE:
		shift(trace, index, 0, 0, -0.3, (int)pr_rand_below(rand, 3));
		break;
	case RP_LATE:
		shift(trace, index, start_s + 0.6 * left, 0, -0.25, -1);
		break;
	case RP_GOOD:
	case RP_INITIAL:
		break;
	}
}

static unsigned int pick(pr_rand_t *rand, const double *shares,
			 unsigned int count)
{
	double u = pr_rand_unit(rand);

	for (unsigned int i = 0; i + 1 < count; i++) {
		u -= shares[i];
		if (u < 0)
			return i;
	}
	return count - 1;
}

typedef struct open_session_t {
	uint32_t id, left;
	uint8_t workspace, request_class;
} open_session_t;

#define OPEN_SESSIONS 64

static int add_request(rp_trace_t *trace, const deployment_t *d,
		       pr_rand_t *rand, double at_s, open_session_t *open,
		       uint32_t *sessions)
{
	/* Three large workspaces, seven small ones. */
	static const double weights[10] = { 0.35,  0.25,  0.15,  0.045, 0.04,
					    0.035, 0.035, 0.035, 0.03,  0.03 };
	unsigned int c = pick(rand, d->share, 3);
	rp_request_t r = { .at_s = at_s,
			   .difficulty = (float)pr_rand_unit(rand),
			   .zone = (uint8_t)pr_rand_below(rand, 3),
			   .workspace = (uint8_t)pick(rand, weights, 10),
			   .request_class = (uint8_t)c };

	if (pr_rand_unit(rand) < d->sessions[c]) {
		open_session_t *s = &open[pr_rand_below(rand, OPEN_SESSIONS)];

		if (!s->left)
			*s = (open_session_t){ ++*sessions,
					       2 + pr_rand_below(rand, 8),
					       r.workspace, r.request_class };
		s->left--;
		r.session = s->id;
		r.workspace = s->workspace;
		r.request_class = s->request_class;
		c = r.request_class;
	}
	r.stream = pr_rand_unit(rand) < d->streams[c];
	r.tokens_in = (uint32_t)(d->tokens_in[c] * (0.5 + pr_rand_unit(rand)));
	r.tokens_out =
		(uint32_t)(d->tokens_out[c] * (0.5 + pr_rand_unit(rand)));
	return rp_trace_add(trace, &r);
}

int rp_trace_generate(rp_trace_t *trace, const char *deployment, uint64_t seed,
		      size_t count, double hours)
{
	const deployment_t *d =
		&deployments[strcmp(deployment, "B") == 0 ? 1 : 0];
	double end_s = hours * 3600, mean = end_s / (double)count, at_s = 0;
	open_session_t open[OPEN_SESSIONS] = { { 0, 0, 0, 0 } };
	uint32_t sessions = 0;
	pr_rand_t rand;
	int err;

	*trace = (rp_trace_t){
		.seed = seed, .hosts = 8, .exposure_per_s = 1, .target = 0.95
	};
	err = pr_rand_init(&rand, seed * 2 + (d != deployments));
	if (err)
		return err;
	snprintf(trace->deployment, RP_NAME, "%s", d->name);
	for (int i = 0; i < 3; i++) {
		snprintf(trace->zones[i], RP_NAME, "%s", d->zones[i]);
		snprintf(trace->classes[i], RP_NAME, "%s", d->classes[i]);
	}
	trace->zones_count = trace->classes_count = 3;
	for (int i = 0; i < 10; i++)
		snprintf(trace->workspaces[i], RP_NAME, "w%d", i);
	trace->workspaces_count = 10;
	add_versions(trace, &rand);
	/* Roll-outs of the three versions that carry work; two overlap. */
	for (int m = 0; m < 3; m++)
		add_rollout(trace, &rand, m, end_s * (0.15 + 0.1 * m), end_s);
	while (!err && trace->requests_count < count) {
		/* Night peak: load swings by 60% about its mean. */
		double rate = 1 + 0.6 * sin(2 * M_PI * at_s / end_s);

		at_s += pr_rand_exponential(&rand, mean / rate);
		err = add_request(trace, d, &rand, at_s, open, &sessions);
	}
	pr_rand_finish(&rand);
	return err;
}
