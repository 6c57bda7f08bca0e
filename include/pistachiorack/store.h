/**
 * Operations on the platform's table service, as slices hand them to the
 * shell, and its answers.
 */
#ifndef PISTACHIORACK_STORE_H
#define PISTACHIORACK_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pistachiorack/str.h"

/** Most operations in one commit; one commit counts as one write. */
#define PR_STORE_OPS_MAX 64

typedef enum pr_store_condition_t {
	/** Applied only when there is no row. */
	PR_STORE_IF_ABSENT,
	/** Applied only when the row has the given version. */
	PR_STORE_IF_VERSION,
	PR_STORE_IF_ANY,
} pr_store_condition_t;

/** One operation; slices need to live during the call only. */
typedef struct pr_store_op_t {
	const char *table;
	pr_slice_t key;
	pr_store_condition_t condition;
	/** For PR_STORE_IF_VERSION; versions of rows start at 1. */
	uint64_t version;
	/** JSON text. */
	pr_slice_t value;
} pr_store_op_t;

/** Result of one operation or of one read. */
typedef struct pr_store_result_t {
	bool applied;
	/** Version after the operation; 0 means that there is no row. */
	uint64_t version;
	/** Row that prevented the operation, or the row that was read. */
	pr_slice_t value;
} pr_store_result_t;

typedef enum pr_store_status_t {
	/** The results are valid, one for each operation. */
	PR_STORE_ANSWERED,
	/** Nothing was applied and nothing will be. */
	PR_STORE_REFUSED,
	/** No answer: may have been applied, or may be applied later. */
	PR_STORE_UNKNOWN,
} pr_store_status_t;

#endif
