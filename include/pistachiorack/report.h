/**
 * Service-level burn: how fast each workspace uses up its error budget.
 *
 * A series counts good and bad events of one objective of one workspace in
 * four windows of 5 minutes, 1 hour, 6 hours and 3 days, each divided into 30
 * slots. Burn is the share of bad events over the share that the objective
 * allows; burn 1 uses the budget up exactly at the end of the period.
 *
 * An alert needs a long and a short window above its threshold, so that it
 * starts early and ends soon after the cause is gone. Source: multi-window,
 * multi-burn-rate alerts of the SRE workbook (Google, 2018).
 */
#ifndef PISTACHIORACK_REPORT_H
#define PISTACHIORACK_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"
#include "pistachiorack/timer.h"

#define PR_BURN_WINDOWS 4
#define PR_BURN_SLOTS   30
#define PR_BURN_CAUSES  8
#define PR_BURN_NAME    64
/** "zone=..,upstream=..,version=..,limit=.." */
#define PR_BURN_CAUSE_NAME 128

typedef enum pr_objective_t {
	/** The request was answered whole. */
	PR_OBJECTIVE_AVAILABLE,
	/** The first token came in time. */
	PR_OBJECTIVE_FIRST_TOKEN,
	/** Tokens followed each other in time. */
	PR_OBJECTIVE_BETWEEN_TOKENS,
	/** Ratings met the quality target. */
	PR_OBJECTIVE_QUALITY,
	PR_OBJECTIVES,
} pr_objective_t;

typedef enum pr_alert_t {
	PR_ALERT_NONE,
	/** The budget of 30 days is gone in about 10 days. */
	PR_ALERT_TICKET,
	/** The budget of 30 days is gone in about 2 days. */
	PR_ALERT_PAGE,
} pr_alert_t;

typedef struct pr_burn_slot_t {
	uint32_t good, bad;
} pr_burn_slot_t;

typedef struct pr_burn_window_t {
	pr_burn_slot_t slots[PR_BURN_SLOTS];
	/** Number of the newest slot since the clock's start. */
	int64_t newest;
} pr_burn_window_t;

/** What made events bad, with how many of them in the last hours. */
typedef struct pr_burn_cause_t {
	char name[PR_BURN_CAUSE_NAME];
	uint32_t bad;
} pr_burn_cause_t;

typedef struct pr_burn_series_t {
	char workspace[PR_BURN_NAME];
	pr_objective_t objective;
	pr_burn_window_t windows[PR_BURN_WINDOWS];
	pr_burn_cause_t causes[PR_BURN_CAUSES];
} pr_burn_series_t;

typedef struct pr_burn_t {
	pr_burn_series_t *series;
	unsigned int count;
	unsigned int max;
	/** Events that found no room in a full table. */
	uint64_t dropped;
} pr_burn_t;

/** @param max most series kept; about 1.9 KB each. @return 0 or PR_ENOMEM */
int pr_burn_init(pr_burn_t *burn, unsigned int max);
void pr_burn_finish(pr_burn_t *burn);

/**
 * Count one event.
 *
 * @param cause what is to blame when the event is bad; NULL when good
 */
void pr_burn_record(pr_burn_t *burn, pr_usec_t now, const char *workspace,
		    pr_objective_t objective, const char *cause);

/**
 * Burn of a series over a window.
 *
 * @param window 0..PR_BURN_WINDOWS - 1, shortest first
 * @param allowed share of events that may be bad, above 0
 * @return 0 without events
 */
double pr_burn_rate(const pr_burn_series_t *series, int window, pr_usec_t now,
		    double allowed);
pr_alert_t pr_burn_alert(const pr_burn_series_t *series, pr_usec_t now,
			 double allowed);

/** Times of one answer, microseconds from the arrival of its request. */
typedef struct pr_answer_times_t {
	bool stream;
	/** First bytes to the caller, and the last ones that held tokens. */
	pr_usec_t first, last;
	/** Tokens that were generated, over all steps. */
	uint64_t tokens;
} pr_answer_times_t;

/**
 * True when the first token was late. A whole answer shows no first token; it
 * is late when it took longer than the first token and all further tokens may
 * take together.
 *
 * @param first_ms objective for the first token
 * @param between_ms objective between two tokens
 */
bool pr_answer_first_late(const pr_answer_times_t *times, uint32_t first_ms,
			  uint32_t between_ms);
/** True when the mean time between the tokens of a stream was too long. */
bool pr_answer_between_late(const pr_answer_times_t *times,
			    uint32_t between_ms);

const char *pr_objective_name(pr_objective_t objective);
/** Window length in microseconds. */
pr_usec_t pr_burn_window_length(int window);

/** Append all series as JSON. @return 0 or PR_ENOMEM */
int pr_burn_print(const pr_burn_t *burn, pr_usec_t now, pr_str_t *out);
/**
 * Add the series of another host's JSON.
 *
 * @param now time that the newest slots are aligned with
 * @return 0, PR_EPARSE or PR_EFULL
 */
int pr_burn_merge(pr_burn_t *burn, pr_usec_t now, pr_slice_t json);

#endif
