/*
 * Metrics registry. Series are few (hundreds) and looked up once, so a list
 * is enough. Histograms use four buckets per power of two: the error of a
 * quantile is at most 19%.
 */
#include "pistachiorack/metrics.h"

#include <math.h>
#include <stdlib.h>

#define BUCKETS_PER_DOUBLING 4

void pr_metrics_init(pr_metrics_t *metrics, size_t series_max)
{
	memset(metrics, 0, sizeof(*metrics));
	metrics->series_max = series_max;
}

void pr_metrics_finish(pr_metrics_t *metrics)
{
	while (metrics->first) {
		pr_metric_t *metric = metrics->first;

		metrics->first = metric->next;
		free(metric->name);
		free(metric->labels);
		free(metric);
	}
	while (metrics->first_histogram) {
		pr_histogram_t *histogram = metrics->first_histogram;

		metrics->first_histogram = histogram->next;
		free(histogram->name);
		free(histogram->labels);
		free(histogram);
	}
	memset(metrics, 0, sizeof(*metrics));
}

pr_metric_t *pr_metrics_series(pr_metrics_t *metrics, const char *name,
			       const char *labels)
{
	pr_metric_t *metric;

	for (metric = metrics->first; metric; metric = metric->next)
		if (!strcmp(metric->name, name) &&
		    !strcmp(metric->labels, labels))
			return metric;
	if (metrics->series >= metrics->series_max)
		return &metrics->overflow;
	metric = calloc(1, sizeof(*metric));
	if (!metric)
		return &metrics->overflow;
	metric->name = strdup(name);
	metric->labels = strdup(labels);
	if (metrics->last)
		metrics->last->next = metric;
	else
		metrics->first = metric;
	metrics->last = metric;
	metrics->series++;
	return metric;
}

pr_histogram_t *pr_metrics_histogram(pr_metrics_t *metrics, const char *name,
				     const char *labels)
{
	pr_histogram_t *found;

	for (found = metrics->first_histogram; found; found = found->next)
		if (!strcmp(found->name, name) &&
		    !strcmp(found->labels, labels))
			return found;
	if (metrics->series >= metrics->series_max)
		return &metrics->overflow_histogram;
	found = calloc(1, sizeof(*found));
	if (!found)
		return &metrics->overflow_histogram;
	found->name = strdup(name);
	found->labels = strdup(labels);
	if (metrics->last_histogram)
		metrics->last_histogram->next = found;
	else
		metrics->first_histogram = found;
	metrics->last_histogram = found;
	metrics->series++;
	return found;
}

void pr_histogram_record(pr_histogram_t *histogram, double value)
{
	int bucket = 0;

	if (value > 1.0)
		bucket = (int)ceil(log2(value) * BUCKETS_PER_DOUBLING);
	if (bucket >= PR_HISTOGRAM_BUCKETS)
		bucket = PR_HISTOGRAM_BUCKETS - 1;
	histogram->buckets[bucket]++;
	histogram->count++;
	histogram->sum += value > 0 ? value : 0;
}

static double bucket_bound(int bucket)
{
	return exp2((double)bucket / BUCKETS_PER_DOUBLING);
}

double pr_histogram_quantile(const pr_histogram_t *histogram, double q)
{
	double rank = q * (double)histogram->count;
	double seen = 0;

	if (!histogram->count)
		return 0;
	for (int i = 0; i < PR_HISTOGRAM_BUCKETS; i++) {
		seen += histogram->buckets[i];
		if (seen >= rank)
			return bucket_bound(i);
	}
	return bucket_bound(PR_HISTOGRAM_BUCKETS - 1);
}

static int print_series(pr_str_t *out, const char *name, const char *labels,
			double value)
{
	if (labels && labels[0])
		return pr_str_appendf(out, "%s{%s} %.15g\n", name, labels,
				      value);
	return pr_str_appendf(out, "%s %.15g\n", name, value);
}

static int print_histogram(pr_str_t *out, const pr_histogram_t *histogram)
{
	const char *separator = histogram->labels[0] ? "," : "";
	uint64_t seen = 0;
	int rc = 0;

	for (int i = 0; i < PR_HISTOGRAM_BUCKETS && !rc; i++) {
		if (!histogram->buckets[i])
			continue;
		seen += histogram->buckets[i];
		rc = pr_str_appendf(out, "%s_bucket{%s%sle=\"%.6g\"} %llu\n",
				    histogram->name, histogram->labels,
				    separator, bucket_bound(i),
				    (unsigned long long)seen);
	}
	if (!rc)
		rc = pr_str_appendf(out, "%s_bucket{%s%sle=\"+Inf\"} %llu\n",
				    histogram->name, histogram->labels,
				    separator,
				    (unsigned long long)histogram->count);
	if (!rc)
		rc = pr_str_appendf(out, "%s_sum{%s} %.6g\n%s_count{%s} %llu\n",
				    histogram->name, histogram->labels,
				    histogram->sum, histogram->name,
				    histogram->labels,
				    (unsigned long long)histogram->count);
	return rc;
}

int pr_metrics_print(const pr_metrics_t *metrics, pr_str_t *out)
{
	const pr_metric_t *metric;
	const pr_histogram_t *histogram;
	int rc = 0;

	for (metric = metrics->first; metric && !rc; metric = metric->next)
		rc = print_series(out, metric->name, metric->labels,
				  metric->value);
	for (histogram = metrics->first_histogram; histogram && !rc;
	     histogram = histogram->next)
		rc = print_histogram(out, histogram);
	if (!rc)
		rc = print_series(out, "pr_metrics_overflow", "",
				  metrics->overflow.value);
	return rc;
}
