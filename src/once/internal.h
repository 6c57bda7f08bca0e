/** State of the slice `once`, shared by its files. */
#ifndef PR_ONCE_INTERNAL_H
#define PR_ONCE_INTERNAL_H

#include "base/index.h"
#include "base/list.h"
#include "once/row.h"
#include "pistachiorack/once.h"

typedef enum pr_once_phase_t {
	/** A claim write is under way. */
	PR_ONCE_CLAIMING,
	/** The answer to a claim write was lost; the row is read back. */
	PR_ONCE_READING,
	/** Another attempt holds the key; its row is read again and again. */
	PR_ONCE_WAITING,
	PR_ONCE_GRANTED,
	PR_ONCE_DISPATCHED,
	/** The final row is written while the caller still waits. */
	PR_ONCE_SETTLING,
	/** The caller was answered; the final row is still to be written. */
	PR_ONCE_BACKGROUND,
} pr_once_phase_t;

typedef struct pr_once_request_t {
	pr_index_node_t node;
	/** In pr_once_t.background. */
	pr_list_t list;
	pr_once_t *once;
	uint64_t id;
	pr_once_phase_t phase;
	char owner[PR_ONCE_NAME_SIZE];
	pr_str_t key;
	/** Row as it is to be written next. */
	pr_once_row_t row;
	pr_usec_t deadline;
	pr_usec_t backoff;
	/** Next step of the phase; end of the claim phase. */
	pr_timer_t step, limit;
	/** Sequence number of the current write; open while unanswered. */
	uint64_t write;
	bool write_open, write_local, read_open;
	/** A claim write left; highest version that one was conditional on. */
	bool sent;
	uint64_t condition_max;
	/** Highest version of the row that was seen; 0 for none. */
	uint64_t seen;
	/** The row is claimed by this attempt. */
	bool held;
	pr_once_result_t result;
} pr_once_request_t;

/** A write on its way through the group queue. */
typedef struct pr_once_write_t {
	pr_list_t list;
	/** Empty for a write of this host. */
	char from[PR_ONCE_NAME_SIZE];
	uint64_t request, write;
	uint64_t version;
	pr_str_t key, attempt, row;
} pr_once_write_t;

/** One commit that has not been answered. */
typedef struct pr_once_group_t {
	pr_index_node_t node;
	size_t count;
	pr_once_write_t *writes[PR_STORE_OPS_MAX];
} pr_once_group_t;

struct pr_once_t {
	pr_once_options_t options;
	char host[PR_ONCE_NAME_SIZE];
	pr_index_t requests;
	/** Requests in phase BACKGROUND, oldest first. */
	pr_list_t background;
	uint64_t next_id, next_tag;
	/** Bytes of bodies kept for rows. */
	size_t bodies;
	pr_timer_t settle;
	pr_usec_t settle_backoff;
	/** A final row could not be written since the last pass. */
	bool settle_failed;
	pr_list_t queue;
	size_t queue_count, writes_count;
	pr_index_t groups;
	pr_timer_t flush;
	pr_once_counters_t counters;
};

/* group.c */

/** @return 0, PR_EFULL or PR_ENOMEM */
int pr_once_group_add(pr_once_t *once, pr_slice_t from,
		      const pr_once_message_t *message, pr_usec_t now);
void pr_once_group_finish(pr_once_t *once);

/* once.c */

/** Answer to a write of this host, from a commit or from the owner. */
void pr_once_written(pr_once_t *once, const pr_once_message_t *result,
		     bool local, pr_usec_t now);
/** Subscribe a one-shot timer, measured from now. */
void pr_once_arm(pr_once_t *once, pr_timer_t *timer, pr_usec_t now,
		 pr_usec_t delay, void (*expired)(pr_timer_t *, pr_usec_t));

/* settle.c */

/** Start the write of the final row; the caller waits a bounded time. */
void pr_once_settle(pr_once_request_t *request, pr_once_state_t state,
		    pr_usec_t now);
/** Answer to a write of a final row. */
void pr_once_settled(pr_once_request_t *request,
		     const pr_once_message_t *result, pr_usec_t now);
/** Tell the caller; forget the request or keep it for its row. */
void pr_once_end(pr_once_request_t *request, const pr_once_result_t *result,
		 bool row_left, pr_usec_t now);
/** Issue the current row as a write; 0 or PR_EFULL, PR_ENOMEM. */
int pr_once_issue(pr_once_request_t *request, bool claim, bool local,
		  pr_usec_t now);
void pr_once_request_free(pr_once_request_t *request);

#endif
