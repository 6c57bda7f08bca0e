/*
 * Burn windows. Each window is a ring of slots addressed by slot number, so
 * that advancing over an idle time clears what was skipped and nothing needs
 * a timer.
 */
#include "pistachiorack/report.h"

#include <stdio.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "report/series.h"

#define MINUTE (60 * PR_USEC_PER_SEC)
#define HOUR   (60 * MINUTE)

static const pr_usec_t window_lengths[PR_BURN_WINDOWS] = {
	5 * MINUTE,
	HOUR,
	6 * HOUR,
	72 * HOUR,
};

/* Thresholds for a budget of 30 days, from the SRE workbook. */
#define PAGE_FAST_BURN   14.4
#define PAGE_SLOW_BURN   6.0
#define TICKET_SLOW_BURN 1.0

pr_usec_t pr_burn_window_length(int window)
{
	return window_lengths[window];
}

const char *pr_objective_name(pr_objective_t objective)
{
	static const char *const names[PR_OBJECTIVES] = {
		"available",
		"first_token",
		"between_tokens",
		"quality",
	};

	return objective < PR_OBJECTIVES ? names[objective] : "unknown";
}

int pr_burn_init(pr_burn_t *burn, unsigned int max)
{
	memset(burn, 0, sizeof(*burn));
	burn->series = calloc(max, sizeof(*burn->series));
	if (!burn->series)
		return pr_error_set(PR_ENOMEM, "no memory for burn series");
	burn->max = max;
	return 0;
}

void pr_burn_finish(pr_burn_t *burn)
{
	free(burn->series);
	memset(burn, 0, sizeof(*burn));
}

pr_burn_series_t *pr_burn_series_get(pr_burn_t *burn, const char *workspace,
				     pr_objective_t objective)
{
	pr_burn_series_t *series;

	for (unsigned int i = 0; i < burn->count; i++) {
		series = &burn->series[i];
		if (series->objective == objective &&
		    !strcmp(series->workspace, workspace))
			return series;
	}
	if (burn->count == burn->max) {
		burn->dropped++;
		return NULL;
	}
	series = &burn->series[burn->count++];
	series->objective = objective;
	pr_slice_copy(series->workspace, sizeof(series->workspace),
		      pr_slice_of(workspace));
	return series;
}

pr_usec_t pr_burn_slot_length(int window)
{
	return window_lengths[window] / PR_BURN_SLOTS;
}

static pr_burn_slot_t *slot_at(pr_burn_window_t *window, int64_t number)
{
	return &window->slots[number % PR_BURN_SLOTS];
}

static void advance_window(pr_burn_window_t *window, int64_t number)
{
	int64_t first = window->newest + 1;

	if (number - window->newest > PR_BURN_SLOTS)
		first = number - PR_BURN_SLOTS + 1;
	for (int64_t i = first; i <= number; i++)
		*slot_at(window, i) = (pr_burn_slot_t){ 0, 0 };
	if (number > window->newest)
		window->newest = number;
}

static void add_events(pr_burn_window_t *window, int64_t number, uint32_t good,
		       uint32_t bad)
{
	pr_burn_slot_t *slot;

	advance_window(window, number);
	if (number <= window->newest - PR_BURN_SLOTS)
		return;
	slot = slot_at(window, number);
	slot->good += good;
	slot->bad += bad;
}

/* Keeps the most frequent causes: a new one replaces the rarest and takes
 * over its count (space-saving counter, Metwally and others, 2005). */
void pr_burn_cause_add(pr_burn_series_t *series, const char *name, uint32_t bad)
{
	pr_burn_cause_t *rarest = &series->causes[0];

	for (int i = 0; i < PR_BURN_CAUSES; i++) {
		pr_burn_cause_t *cause = &series->causes[i];

		if (!strcmp(cause->name, name)) {
			cause->bad += bad;
			return;
		}
		if (cause->bad < rarest->bad)
			rarest = cause;
	}
	snprintf(rarest->name, sizeof(rarest->name), "%s", name);
	rarest->bad += bad;
}

void pr_burn_record(pr_burn_t *burn, pr_usec_t now, const char *workspace,
		    pr_objective_t objective, const char *cause)
{
	pr_burn_series_t *series =
		pr_burn_series_get(burn, workspace, objective);

	if (!series)
		return;
	for (int i = 0; i < PR_BURN_WINDOWS; i++)
		add_events(&series->windows[i], now / pr_burn_slot_length(i),
			   !cause, !!cause);
	if (cause)
		pr_burn_cause_add(series, cause, 1);
}

static void sum_window(const pr_burn_series_t *series, int index, pr_usec_t now,
		       double *good, double *bad)
{
	const pr_burn_window_t *window = &series->windows[index];
	int64_t current = now / pr_burn_slot_length(index);

	*good = 0;
	*bad = 0;
	for (int64_t i = window->newest;
	     i > current - PR_BURN_SLOTS &&
	     i > window->newest - PR_BURN_SLOTS && i >= 0;
	     i--) {
		*good += window->slots[i % PR_BURN_SLOTS].good;
		*bad += window->slots[i % PR_BURN_SLOTS].bad;
	}
}

double pr_burn_rate(const pr_burn_series_t *series, int window, pr_usec_t now,
		    double allowed)
{
	double good, bad;

	sum_window(series, window, now, &good, &bad);
	if (good + bad == 0 || allowed <= 0)
		return 0;
	return bad / (good + bad) / allowed;
}

pr_alert_t pr_burn_alert(const pr_burn_series_t *series, pr_usec_t now,
			 double allowed)
{
	double burn[PR_BURN_WINDOWS];

	for (int i = 0; i < PR_BURN_WINDOWS; i++)
		burn[i] = pr_burn_rate(series, i, now, allowed);
	if (burn[0] > PAGE_FAST_BURN && burn[1] > PAGE_FAST_BURN)
		return PR_ALERT_PAGE;
	if (burn[0] > PAGE_SLOW_BURN && burn[2] > PAGE_SLOW_BURN)
		return PR_ALERT_PAGE;
	if (burn[2] > TICKET_SLOW_BURN && burn[3] > TICKET_SLOW_BURN)
		return PR_ALERT_TICKET;
	return PR_ALERT_NONE;
}
