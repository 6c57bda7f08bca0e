/*
 * Tasks of the router. A task owns the state of one duty, and sockets where it
 * needs them; it learns of the others' events through the table below. Adding
 * a duty means adding a file and one entry to the list in tasks.c.
 */
#ifndef PR_ROUTER_TASK_H
#define PR_ROUTER_TASK_H

#include <stdbool.h>

#include "pistachiorack/str.h"

struct pr_router_t;
struct pr_http_request_t;

/** Function pointers that a task does not need are NULL. */
typedef struct pr_task_ops_t {
	const char *name;
	/** @return 0 or an error that ends the start */
	int (*init)(struct pr_router_t *router);
	/** A new configuration is in force: router->fleet. */
	void (*fleet_changed)(struct pr_router_t *router);
	/** Hosts joined, left, failed or came back. */
	void (*view_changed)(struct pr_router_t *router);
	/**
	 * A message of a peer.
	 *
	 * @return true when the type is this task's
	 */
	bool (*message)(struct pr_router_t *router, pr_slice_t from,
			pr_slice_t type, pr_slice_t payload);
	/** A graceful shutdown began; no new work comes after the notice. */
	void (*stopping)(struct pr_router_t *router);
	/** @return true when nothing is left that must be written or sent */
	bool (*idle)(const struct pr_router_t *router);
	/** Append series to the metrics page. */
	void (*metrics)(const struct pr_router_t *router, pr_str_t *out);
	void (*finish)(struct pr_router_t *router);
} pr_task_ops_t;

extern const pr_task_ops_t pr_hosts_task;
extern const pr_task_ops_t pr_member_task;
extern const pr_task_ops_t pr_billing_task;
extern const pr_task_ops_t pr_once_task;
extern const pr_task_ops_t pr_upstreams_task;
extern const pr_task_ops_t pr_admission_task;
extern const pr_task_ops_t pr_balance_task;
extern const pr_task_ops_t pr_cold_task;
extern const pr_task_ops_t pr_grant_task;
extern const pr_task_ops_t pr_poll_task;
extern const pr_task_ops_t pr_order_task;
extern const pr_task_ops_t pr_versions_task;
extern const pr_task_ops_t pr_sessions_task;
extern const pr_task_ops_t pr_explain_task;
extern const pr_task_ops_t pr_ratings_task;
extern const pr_task_ops_t pr_rollouts_task;
extern const pr_task_ops_t pr_config_task;

/** Start all tasks in their order. @return 0 or the first error */
int pr_tasks_init(struct pr_router_t *router);
void pr_tasks_fleet_changed(struct pr_router_t *router);
void pr_tasks_view_changed(struct pr_router_t *router);
/** @return false when no task knows the type */
bool pr_tasks_message(struct pr_router_t *router, pr_slice_t from,
		      pr_slice_t type, pr_slice_t payload);
void pr_tasks_stopping(struct pr_router_t *router);
/** @return name of a task that still has work, or NULL */
const char *pr_tasks_busy(const struct pr_router_t *router);
void pr_tasks_metrics(const struct pr_router_t *router, pr_str_t *out);
/** Finish all tasks in reverse order. */
void pr_tasks_finish(struct pr_router_t *router);

#endif
