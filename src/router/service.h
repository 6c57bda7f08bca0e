/* Plain services: what the claims task calls, and what it offers. */
#ifndef PR_ROUTER_SERVICE_H
#define PR_ROUTER_SERVICE_H

#include "pistachiorack/once.h"
#include "router/exchange.h"

/** Start the claim of a request that may not be repeated. @return 0 or error */
int pr_claim_start(pr_exchange_t *exchange);
/** The attempt ended; its outcome is stored and pr_service_finished() follows.
 */
void pr_claim_complete(pr_exchange_t *exchange, pr_verdict_t verdict,
		       int status, pr_slice_t body);

/** The claim is held: send the request to an upstream. */
void pr_service_dispatch(pr_exchange_t *exchange);
/** The claim ended: answer the caller. */
void pr_service_finished(pr_exchange_t *exchange,
			 const pr_once_result_t *result);

#endif
