/* Orders to engines that lack a version; see pistachiorack/order.h. */
#ifndef PR_ROUTER_ORDER_TASK_H
#define PR_ROUTER_ORDER_TASK_H

#include <jansson.h>

struct pr_router_t;

/**
 * A load report arrived.
 *
 * @param versions array of "model@version"; anything else is ignored
 */
void pr_order_task_seen(struct pr_router_t *router, const char *upstream,
			const json_t *versions);

#endif
