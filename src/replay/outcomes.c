/* Sums over traces, their print-out and the check of stated outcomes. */
#include "replay/replay.h"

#include <errno.h>
#include <math.h>
#include <string.h>

#include "pistachiorack/error.h"

static const char *const kinds[RP_KINDS] = { "good",   "subtle",    "sudden",
					     "slow",   "workspace", "late",
					     "initial" };

static double ratio(double a, double b)
{
	return b > 0 ? a / b : NAN;
}

static double quality(const rp_result_t *result)
{
	return ratio(result->good, result->requests);
}

void rp_summary_add(rp_summary_t *summary, const rp_result_t results[RP_MODES])
{
	const rp_result_t *ours = &results[RP_OURS];
	double cost = ratio(ours->cost, results[RP_DEAREST].cost);
	double kept = quality(ours) / quality(&results[RP_DEAREST]);

	for (int m = 0; m < RP_MODES; m++) {
		rp_result_t *to = &summary->results[m];
		const rp_result_t *from = &results[m];

		to->cost += from->cost;
		to->good += from->good;
		to->requests += from->requests;
		to->latency_sum += from->latency_sum;
		to->escalated += from->escalated;
		to->forbidden += from->forbidden;
		to->sessions_moved += from->sessions_moved;
		to->ratings += from->ratings;
		for (int k = 0; k < RP_KINDS; k++) {
			to->exposed[k] += from->exposed[k];
			to->rollouts[k] += from->rollouts[k];
			to->withdrawn[k] += from->withdrawn[k];
			to->proven[k] += from->proven[k];
		}
	}
	if (!summary->traces++ || kept < summary->worst_quality_ratio)
		summary->worst_quality_ratio = kept;
	summary->worst_cost_ratio = fmax(summary->worst_cost_ratio, cost);
	summary->cost_ratio_sum += cost;
	summary->cost_ratio_square += cost * cost;
	summary->quality_ratio_sum += kept;
	summary->quality_ratio_square += kept * kept;
	summary->covered += ours->report_low <= quality(ours) &&
			    quality(ours) <= ours->report_high;
}

static double spread(double sum, double square, unsigned int n)
{
	return n > 1 ? sqrt(fmax(square - sum * sum / n, 0) / (n - 1)) : 0;
}

/* Kinds that are bad while the roll-out runs. */
static double exposure(const rp_result_t *result)
{
	return result->exposed[RP_SUBTLE] + result->exposed[RP_SUDDEN] +
	       result->exposed[RP_SLOW] + result->exposed[RP_WORKSPACE];
}

static double false_withdrawals(const rp_result_t *result)
{
	return 100 *
	       ratio(result->withdrawn[RP_GOOD], result->rollouts[RP_GOOD]);
}

void rp_summary_print(const rp_summary_t *s)
{
	const rp_result_t *dearest = &s->results[RP_DEAREST];
	unsigned int n = s->traces;

	printf("%-16s %8s %8s %9s %8s\n", "way", "cost", "quality", "vs_dear",
	       "latency");
	for (int m = 0; m < RP_MODES; m++) {
		const rp_result_t *r = &s->results[m];

		printf("%-16s %8.4f %8.4f %9.4f %7.2fs\n",
		       rp_mode_name((rp_mode_t)m),
		       ratio(r->cost, dearest->cost), quality(r),
		       quality(r) / quality(dearest),
		       ratio(r->latency_sum, r->requests));
	}
	printf("traces %u; cost ratio %.4f sd %.4f worst %.4f; quality ratio "
	       "%.4f sd %.4f worst %.4f\n",
	       n, s->cost_ratio_sum / n,
	       spread(s->cost_ratio_sum, s->cost_ratio_square, n),
	       s->worst_cost_ratio, s->quality_ratio_sum / n,
	       spread(s->quality_ratio_sum, s->quality_ratio_square, n),
	       s->worst_quality_ratio);
	printf("quality report's 95%% bounds held the truth in %u of %u\n",
	       s->covered, n);
	printf("%-10s %4s %25s %25s\n", "roll-outs", "n",
	       "exposed/withdrawn/proven", "the same in fixed stages");
	for (int k = 0; k < RP_INITIAL; k++) {
		const rp_result_t *a = &s->results[RP_OURS];
		const rp_result_t *b = &s->results[RP_STAGES];

		printf("%-10s %4u %13.0f/%5u/%5u %13.0f/%5u/%5u\n", kinds[k],
		       a->rollouts[k], a->exposed[k], a->withdrawn[k],
		       a->proven[k], b->exposed[k], b->withdrawn[k],
		       b->proven[k]);
	}
}

static double value_of(const rp_summary_t *s, const char *name)
{
	const rp_result_t *ours = &s->results[RP_OURS];
	const rp_result_t *dearest = &s->results[RP_DEAREST];
	const struct {
		const char *name;
		double value;
	} values[] = {
		{ "cost_vs_dearest", ratio(ours->cost, dearest->cost) },
		{ "quality_vs_dearest", quality(ours) / quality(dearest) },
		{ "cost_vs_oracle",
		  ratio(ours->cost, s->results[RP_ORACLE].cost) },
		{ "exposure_vs_stages",
		  ratio(exposure(ours), exposure(&s->results[RP_STAGES])) },
		{ "late_exposure_vs_stages",
		  ratio(ours->exposed[RP_LATE],
			s->results[RP_STAGES].exposed[RP_LATE]) },
		{ "false_withdrawals_per_100", false_withdrawals(ours) },
		{ "stages_false_withdrawals_per_100",
		  false_withdrawals(&s->results[RP_STAGES]) },
		{ "good_rollouts_proven",
		  ratio(ours->proven[RP_GOOD], ours->rollouts[RP_GOOD]) },
		{ "report_covers", ratio(s->covered, s->traces) },
		{ "forbidden_attempts", ours->forbidden },
	};

	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		if (!strcmp(values[i].name, name))
			return values[i].value;
	return NAN;
}

int rp_outcomes_check(const char *file, const rp_summary_t *summary)
{
	FILE *in = fopen(file, "r");
	char line[256], name[64], op[4];
	int failed = 0;
	double limit;

	if (!in)
		return pr_error_set(PR_EIO, "%s: %s", file, strerror(errno));
	while (failed >= 0 && fgets(line, sizeof(line), in)) {
		double value;
		bool pass;

		if (line[0] == '#' || line[0] == '\n')
			continue;
		if (sscanf(line, "%63s %3s %lf", name, op, &limit) != 3 ||
		    (strcmp(op, "<=") != 0 && strcmp(op, ">=") != 0)) {
			failed = pr_error_set(PR_EPARSE, "%s: bad line: %.80s",
					      file, line);
			break;
		}
		value = value_of(summary, name);
		/* A value that was not measured fails. */
		pass = op[0] == '<' ? value <= limit : value >= limit;
		printf("%s %s %s %g: measured %.4f\n", pass ? "pass" : "FAIL",
		       name, op, limit, value);
		failed += !pass;
	}
	fclose(in);
	return failed;
}
