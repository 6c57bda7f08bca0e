/**
 * Applies a configuration: compare-and-set of row `config/current`, and the
 * wait for every host to confirm it.
 *
 * Pure state machine: effects go out through the operations, their results
 * come back through the functions below. A lost answer is resolved by reading
 * the row back and looking for the change id.
 */
#ifndef PISTACHIORACK_CONFIG_APPLY_H
#define PISTACHIORACK_CONFIG_APPLY_H

#include "pistachiorack/config_holder.h"

typedef enum pr_apply_state_t {
	PR_APPLY_READ,
	PR_APPLY_COMMIT,
	/** The commit's answer was lost. */
	PR_APPLY_READ_BACK,
	/** Written; waiting for the hosts. */
	PR_APPLY_CONFIRM,
	PR_APPLY_DONE,
} pr_apply_state_t;

typedef enum pr_apply_result_t {
	PR_APPLY_PENDING,
	/** Written and confirmed by all hosts. */
	PR_APPLY_CONFIRMED,
	/** Written; some hosts have not confirmed. */
	PR_APPLY_NOT_CONFIRMED,
	/** Another change was first; see clashes. Nothing was written. */
	PR_APPLY_CONFLICT,
	/** The store could not be reached; nothing was written. */
	PR_APPLY_FAILED,
	/** A commit was sent and its outcome could not be learnt. */
	PR_APPLY_UNKNOWN,
} pr_apply_result_t;

typedef enum pr_commit_result_t {
	PR_COMMIT_APPLIED,
	/** The row has another version. */
	PR_COMMIT_REFUSED,
	/** No answer, or one that leaves the outcome open. */
	PR_COMMIT_LOST,
} pr_commit_result_t;

typedef struct pr_apply_ops_t {
	/** Answer with pr_apply_read_done(). */
	void (*read)(void *data, uint64_t id);
	/**
	 * Write the row on condition that it has row->row_version, or that it
	 * is absent when that is 0. Answer with pr_apply_commit_done().
	 */
	void (*commit)(void *data, uint64_t id, const pr_config_row_t *row);
	/** Ask every router host; answer with pr_apply_host() for each. */
	void (*ask_hosts)(void *data);
} pr_apply_ops_t;

typedef struct pr_apply_host_t {
	char name[96];
	bool confirmed;
} pr_apply_host_t;

typedef struct pr_apply_t {
	const pr_apply_ops_t *ops;
	void *data;
	pr_apply_state_t state;
	pr_apply_result_t result;
	/** The version that was written. */
	uint64_t version;
	/** With PR_APPLY_CONFLICT: paths that both changes set. */
	pr_changes_t clashes;
	/** With PR_APPLY_CONFLICT: the version that was first. */
	uint64_t other_version;
	pr_apply_host_t *hosts;
	unsigned int hosts_count;
	/** Written with the row; set after pr_apply_init(), borrowed. */
	pr_slice_t reason;
	/* Private. */
	char change_id[PR_CHANGE_ID_SIZE];
	pr_str_t text;
	uint64_t expected_version;
	pr_fleet_t *base;
	pr_fleet_t *wanted;
	pr_str_t previous;
	uint64_t base_row;
	uint64_t base_version;
	bool have_base;
	bool commit_sent;
	bool waiting;
	uint64_t id;
	pr_usec_t asked_at;
	pr_usec_t deadline;
} pr_apply_t;

/** Times of the machine. */
#define PR_APPLY_ANSWER_TIMEOUT (2 * PR_USEC_PER_SEC)
#define PR_APPLY_RETRY          (250 * PR_USEC_PER_MSEC)

/**
 * @param change_id unique for this change; the same id again is the same
 *		    change, so a caller may start over with it
 * @param text the new document
 * @param expected_version version that the document was made from; 0 takes
 *	  the row that is read first
 * @param deadline time at which the machine stops
 * @return 0, PR_EPARSE, PR_EINVALID (the document) or PR_ENOMEM
 */
int pr_apply_init(pr_apply_t *apply, const pr_apply_ops_t *ops, void *data,
		  pr_slice_t change_id, pr_slice_t text,
		  uint64_t expected_version, pr_usec_t deadline);
void pr_apply_finish(pr_apply_t *apply);
/** Names a host that must confirm; each name once. @return 0 or PR_ENOMEM */
int pr_apply_expect(pr_apply_t *apply, pr_slice_t host);
/** Take due steps; call every 100 ms until result is not PR_APPLY_PENDING. */
void pr_apply_tick(pr_apply_t *apply, pr_usec_t now);
void pr_apply_read_done(pr_apply_t *apply, uint64_t id, pr_config_read_t result,
			const pr_config_row_t *row, pr_usec_t now);
/** @param row the row that was found, with PR_COMMIT_REFUSED */
void pr_apply_commit_done(pr_apply_t *apply, uint64_t id,
			  pr_commit_result_t result, const pr_config_row_t *row,
			  pr_usec_t now);
/** A host told its version and whether it is confirmed to be current. */
void pr_apply_host(pr_apply_t *apply, pr_slice_t host, uint64_t version,
		   bool fresh);

#endif
