/* Membership task: what the peer sockets call. */
#ifndef PR_ROUTER_MEMBER_TASK_H
#define PR_ROUTER_MEMBER_TASK_H

#include "router/router.h"

/** A datagram arrived; `data` is the router. */
void pr_member_task_datagram(void *data, pr_slice_t bytes);

#endif
