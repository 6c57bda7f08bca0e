/**
 * Fault switch of a stand-in: which requests fail, and how.
 *
 * Fields of `POST /control`; a boolean counts as 0 or 1:
 *   outage          every request is answered 503 and not run
 *   unreachable     every request's connection is broken, not run
 *   refuse          next N requests get 503 with verdict not_run
 *   break_before    next N connections are broken before the request runs
 *   slow_ms         delay before a request runs
 *   delay_answer_ms delay between the run and its answer
 *   lose_answers    next N requests run, then the connection is broken
 *   no_answer       next N requests run, no answer is ever sent
 *   garbage         next N requests run, the answer is not JSON
 *   half_answer     next N requests run, the connection breaks halfway
 *   cut_answers     next N answers end halfway, whole by the framing of HTTP
 *   cross_answers   next N answers carry the attempt id of another request
 *   crash_before    the process exits when the next request arrives
 *   crash_after     the process exits after the next run, before its answer
 *   freeze_ms       the whole process stands still once for this time
 *   only            path prefix; other paths are not affected ("" for all)
 *   clear           all of the above are reset first
 */
#ifndef STANDIN_FAULTS_H
#define STANDIN_FAULTS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"

typedef struct standin_faults_t {
	uint32_t outage;
	uint32_t unreachable;
	uint32_t refuse;
	uint32_t break_before;
	uint32_t slow_ms;
	uint32_t delay_answer_ms;
	uint32_t lose_answers;
	uint32_t no_answer;
	uint32_t garbage;
	uint32_t half_answer;
	uint32_t cut_answers;
	uint32_t cross_answers;
	uint32_t crash_before;
	uint32_t crash_after;
	uint32_t freeze_ms;
	char only[64];
} standin_faults_t;

/** What happens to a request before it runs. */
typedef enum standin_entry_t {
	STANDIN_ENTRY_RUN,
	STANDIN_ENTRY_OUTAGE,
	STANDIN_ENTRY_REFUSE,
	STANDIN_ENTRY_BREAK,
	STANDIN_ENTRY_CRASH,
} standin_entry_t;

/** What happens to the answer of a request that ran. */
typedef enum standin_fate_t {
	STANDIN_FATE_WHOLE,
	STANDIN_FATE_LOST,
	STANDIN_FATE_NONE,
	STANDIN_FATE_GARBAGE,
	STANDIN_FATE_HALF,
	STANDIN_FATE_CUT,
	STANDIN_FATE_CROSSED,
	STANDIN_FATE_CRASH,
} standin_fate_t;

/**
 * Apply the fields of a control request.
 *
 * @return 0, or PR_EINVALID when a known field has the wrong type; nothing is
 *	   changed then
 */
int standin_faults_apply(standin_faults_t *faults, const json_t *fields);
/** Decide on a request that arrives; uses up one counted fault. */
standin_entry_t standin_faults_entry(standin_faults_t *faults, pr_slice_t path);
/** Decide on an answer; uses up one counted fault. */
standin_fate_t standin_faults_fate(standin_faults_t *faults, pr_slice_t path);
/** @return true when faults apply to this path */
bool standin_faults_match(const standin_faults_t *faults, pr_slice_t path);

#endif
