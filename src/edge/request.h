/** Request as an upstream gets it. */
#ifndef PR_EDGE_REQUEST_H
#define PR_EDGE_REQUEST_H

#include "edge/exchange.h"

/** @return 0 or PR_ENOMEM */
int pr_request_write(pr_str_t *out, const pr_exchange_t *exchange,
		     const pr_upstream_t *upstream);

#endif
