/** Formats the request that is sent to an upstream. */
#ifndef PR_EDGE_REQUEST_H
#define PR_EDGE_REQUEST_H

#include "edge/exchange.h"

/**
 * Append the HTTP request to a buffer: its head, and its body if that is small.
 *
 * @param body the body if it was not appended, or an empty slice
 * @return 0 or PR_ENOMEM
 */
int pr_request_write(pr_str_t *out, pr_slice_t *body,
		     const pr_exchange_t *exchange,
		     const pr_upstream_t *upstream);

#endif
