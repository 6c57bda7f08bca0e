/**
 * Parts of the checker: records in memory, and the checks on them.
 */
#ifndef STANDIN_CHECK_H
#define STANDIN_CHECK_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Rules of one kind on the command line. */
#define CHECK_RULES_MAX 64

/** Records of a run. */
typedef struct check_t {
	/** Lines of the load program. */
	json_t *calls;
	/** Calls by request id. */
	json_t *by_request;
	/** Arrays of calls and of ledger runs, by workspace and key. */
	json_t *by_key, *runs_by_key;
	/** Runs of engines and ledgers, with upstream, zone and arrived_ms. */
	json_t *runs;
	/** Number of bills, by request id with a decimal boot number. */
	json_t *bills;
	/** Hosts that were killed. */
	json_t *killed;
	/** Chat requests that engines turned away or broke unrun. */
	uint64_t turned_away;
	/** Engines that fell over. */
	uint64_t fell;
	int64_t grace_ms;
	uint64_t violations;
	/** Counts for the summary. */
	json_t *counts;
} check_t;

void check_open(check_t *check);
void check_close(check_t *check);
/** @return 0, or PR_EIO or PR_EPARSE */
int check_load_calls(check_t *check, const char *path);
int check_load_record(check_t *check, const char *path);

/** Print a violation and count it. */
void check_violation(check_t *check, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void check_count(check_t *check, const char *name, uint64_t amount);
void check_print_summary(const check_t *check);

void check_once(check_t *check);
void check_not_run(check_t *check);
void check_answers(check_t *check);
void check_bills(check_t *check);
void check_whole(check_t *check);
void check_sessions(check_t *check);
void check_monotonic(check_t *check);
void check_least(check_t *check, size_t least);
/* Rules; @return 0 or PR_EINVALID when the rule cannot be read. */
int check_forbidden(check_t *check, const char *rule);
int check_closed(check_t *check, const char *rule);
int check_attempts(check_t *check, const char *rule);

/** @return string field, "" when absent */
const char *check_text(const json_t *object, const char *name);
int64_t check_number(const json_t *object, const char *name);
/** @return true for a whole answer with status 200 */
bool check_finished(const json_t *call);
/** Request id of an attempt id (without the number after the last dot). */
void check_request_of(char *out, size_t size, const char *attempt);
/**
 * Key of a request's bill: "<host>-<boot, decimal, 63 bits>-<number>".
 *
 * @return false when the request id has another shape
 */
bool check_bill_key(char *out, size_t size, const char *request);

#endif
