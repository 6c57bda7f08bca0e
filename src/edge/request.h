/** Formats the request that is sent to an upstream. */
#ifndef PR_EDGE_REQUEST_H
#define PR_EDGE_REQUEST_H

#include "edge/exchange.h"

/**
 * Append the HTTP request, its head and body, to a buffer.
 *
 * @return 0 or PR_ENOMEM
 */
int pr_request_write(pr_str_t *out, const pr_exchange_t *exchange,
		     const pr_upstream_t *upstream);

#endif
