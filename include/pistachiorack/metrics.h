/**
 * Counters, gauges and log-bucket histograms, printed in the Prometheus text
 * format.
 *
 * A series is `name{labels}`. A part looks its series up once and keeps the
 * pointer, so an increment costs one addition.
 */
#ifndef PISTACHIORACK_METRICS_H
#define PISTACHIORACK_METRICS_H

#include <stdint.h>

#include "pistachiorack/str.h"

/** Upper bounds of histogram buckets are 2^(i/4) microseconds. */
#define PR_HISTOGRAM_BUCKETS 112

typedef struct pr_metric_t {
	struct pr_metric_t *next;
	char *name;
	/** Without braces, for example `zone="prai"`; "" for none. */
	char *labels;
	double value;
} pr_metric_t;

typedef struct pr_histogram_t {
	struct pr_histogram_t *next;
	char *name;
	char *labels;
	uint64_t count;
	double sum;
	uint32_t buckets[PR_HISTOGRAM_BUCKETS];
} pr_histogram_t;

typedef struct pr_metrics_t {
	pr_metric_t *first, *last;
	pr_histogram_t *first_histogram, *last_histogram;
	size_t series;
	/** Series beyond this many share one overflow series. */
	size_t series_max;
	pr_metric_t overflow;
	pr_histogram_t overflow_histogram;
} pr_metrics_t;

void pr_metrics_init(pr_metrics_t *metrics, size_t series_max);
void pr_metrics_finish(pr_metrics_t *metrics);

/**
 * Find or create a series.
 *
 * @return the series, or the overflow series when the registry is full;
 *	   never NULL; valid until pr_metrics_finish()
 */
pr_metric_t *pr_metrics_series(pr_metrics_t *metrics, const char *name,
			       const char *labels);
pr_histogram_t *pr_metrics_histogram(pr_metrics_t *metrics, const char *name,
				     const char *labels);

static inline void pr_metric_add(pr_metric_t *metric, double amount)
{
	metric->value += amount;
}

/** Record a duration or size; negative values count as 0. */
void pr_histogram_record(pr_histogram_t *histogram, double value);
/** @return upper bound of the bucket that holds quantile q in 0..1 */
double pr_histogram_quantile(const pr_histogram_t *histogram, double q);

/** Append all series as Prometheus text. @return 0 or PR_ENOMEM */
int pr_metrics_print(const pr_metrics_t *metrics, pr_str_t *out);

#endif
