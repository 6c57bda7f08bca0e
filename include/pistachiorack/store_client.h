/**
 * Table service client: commits and reads of store.h as JSON calls.
 */
#ifndef PISTACHIORACK_STORE_CLIENT_H
#define PISTACHIORACK_STORE_CLIENT_H

#include "pistachiorack/platform.h"
#include "pistachiorack/store.h"

/**
 * Answer to one commit or read.
 *
 * @param results one for each operation when status is PR_STORE_ANSWERED;
 *		  valid during the call
 */
typedef void (*pr_store_cb)(void *data, uint64_t tag, pr_store_status_t status,
			    const pr_store_result_t *results, size_t count);

/**
 * Commit operations in one transaction; exactly one callback follows, after
 * the function has returned unless memory ran out.
 */
void pr_store_commit(pr_platform_t *platform, const pr_store_op_t *ops,
		     size_t count, pr_usec_t timeout, pr_store_cb callback,
		     void *data, uint64_t tag);
/** Read one row; a row that does not exist has version 0. */
void pr_store_read(pr_platform_t *platform, const char *table, pr_slice_t key,
		   pr_usec_t timeout, pr_store_cb callback, void *data,
		   uint64_t tag);

#endif
