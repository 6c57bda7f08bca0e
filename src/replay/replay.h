/**
 * Replay of traces through policy, roll-outs and sessions in virtual time.
 * The trace format is described in docs/traces.md.
 */
#ifndef PISTACHIORACK_REPLAY_H
#define PISTACHIORACK_REPLAY_H

#include <stdio.h>

#include "pistachiorack/config.h"
#include "pistachiorack/policy.h"
#include "pistachiorack/rollout.h"
#include "pistachiorack/session.h"

#define RP_VERSIONS   25
#define RP_CLASSES    8
#define RP_WORKSPACES 16
#define RP_ZONES      8
#define RP_SHIFTS     64
#define RP_HOSTS      16
#define RP_NAME       32
#define RP_KINDS      7

/** What a roll-out of a trace contains. */
typedef enum rp_kind_t {
	RP_GOOD,
	/** Four points worse from the start. */
	RP_SUBTLE,
	/** Thirty points worse from some moment on. */
	RP_SUDDEN,
	/** Falls by twenty points over an hour. */
	RP_SLOW,
	/** Bad for one workspace only. */
	RP_WORKSPACE,
	/** Bad only after a time in which roll-outs usually end. */
	RP_LATE,
	RP_INITIAL,
} rp_kind_t;

typedef struct rp_version_t {
	char model[RP_NAME], name[RP_NAME], replaces[RP_NAME];
	pr_version_state_t state;
	uint32_t share, price_in, price_out;
	double answer_s;
	/** The engine states a confidence. */
	bool confidence;
	double quality[RP_CLASSES];
	/** Start of the roll-out in seconds; negative for none. */
	double roll_s;
	rp_kind_t kind;
} rp_version_t;

/** Change of a version's quality from a moment on. */
typedef struct rp_shift_t {
	double at_s, over_s, delta;
	/** Indices; -1 for every class or workspace. */
	int version, request_class, workspace;
} rp_shift_t;

typedef struct rp_request_t {
	double at_s;
	float difficulty;
	uint32_t session, tokens_in, tokens_out;
	uint8_t zone, workspace, request_class;
	bool stream;
} rp_request_t;

typedef struct rp_trace_t {
	char deployment[RP_NAME];
	uint64_t seed;
	unsigned int hosts, exposure_per_s;
	double target;
	char zones[RP_ZONES][RP_NAME];
	char classes[RP_CLASSES][RP_NAME];
	char workspaces[RP_WORKSPACES][RP_NAME];
	rp_version_t versions[RP_VERSIONS];
	rp_shift_t shifts[RP_SHIFTS];
	rp_request_t *requests;
	size_t zones_count, classes_count, workspaces_count, versions_count,
		shifts_count, requests_count, requests_max;
} rp_trace_t;

void rp_trace_free(rp_trace_t *trace);
/** @return 0 or PR_ENOMEM */
int rp_trace_add(rp_trace_t *trace, const rp_request_t *request);
/** @return 0, PR_EPARSE (file, line, reason), PR_EIO or PR_ENOMEM */
int rp_trace_read(rp_trace_t *trace, const char *name);
void rp_trace_write(const rp_trace_t *trace, FILE *out);
/** @param count number of requests; hours: duration in virtual time */
int rp_trace_generate(rp_trace_t *trace, const char *deployment, uint64_t seed,
		      size_t count, double hours);

/** @return index or -1 */
int rp_find(const char (*names)[RP_NAME], size_t count, const char *name);
int rp_find_version(const rp_trace_t *trace, const char *model,
		    const char *name);

/* World: what an answer would be. Same request and version, same answer. */

double rp_quality(const rp_trace_t *trace, int version, int request_class,
		  int workspace, double at_s);
bool rp_good(const rp_trace_t *trace, size_t request, int version);
/** @return confidence in 0..1, or -1 when the engine states none */
double rp_confidence(const rp_trace_t *trace, size_t request, int version,
		     bool good);
double rp_price(const rp_trace_t *trace, size_t request, int version);
double rp_latency(const rp_trace_t *trace, size_t request, int version);
/** Uniform number of (request, salt). */
double rp_unit(const rp_trace_t *trace, size_t request, uint64_t salt);
/** @return true when the version is two points worse than what it replaces */
bool rp_is_bad(const rp_trace_t *trace, int version, int workspace,
	       double at_s);

typedef enum rp_mode_t {
	RP_OURS,
	/** Our choice with roll-outs in fixed stages. */
	RP_STAGES,
	RP_DEAREST,
	RP_CHEAPEST,
	RP_SPLIT,
	RP_THRESHOLD,
	/** Knows every version's true quality; plans as ours does. */
	RP_ORACLE,
	/** Knows each answer in advance; a bound, not an aim. */
	RP_CLAIRVOYANT,
	RP_MODES,
} rp_mode_t;

typedef struct rp_result_t {
	double cost, good, requests, latency_sum;
	double exposed[RP_KINDS];
	unsigned int rollouts[RP_KINDS], withdrawn[RP_KINDS], proven[RP_KINDS];
	/** Our quality report against the truth. */
	double report_low, report_high, escalated, forbidden;
	double sessions_moved, ratings;
} rp_result_t;

const char *rp_mode_name(rp_mode_t mode);
/** Run OURS or STAGES. @return 0 or an error */
int rp_run_fleet(const rp_trace_t *trace, rp_mode_t mode, uint64_t seed,
		 rp_result_t *result);
/** Run one of the other modes. */
void rp_run_baseline(const rp_trace_t *trace, rp_mode_t mode,
		     rp_result_t *result);

/** State of one roll-out in fixed stages. */
typedef struct rp_stage_t {
	unsigned int stage;
	double since_s;
} rp_stage_t;

/** Sums over traces. */
typedef struct rp_summary_t {
	rp_result_t results[RP_MODES];
	unsigned int traces, covered;
	double worst_quality_ratio, worst_cost_ratio;
	double cost_ratio_sum, cost_ratio_square;
	double quality_ratio_sum, quality_ratio_square;
} rp_summary_t;

void rp_summary_add(rp_summary_t *summary, const rp_result_t results[RP_MODES]);
void rp_summary_print(const rp_summary_t *summary);
/** @return number of outcomes that failed, or a negative error */
int rp_outcomes_check(const char *file, const rp_summary_t *summary);

#endif
