/* The list of tasks, and the events that they are told of. */
#include "router/task.h"

#include "router/router.h"

/* In the order of their start; they finish in reverse. */
/* clang-format off */
static const pr_task_ops_t *const tasks[] = {
	&pr_hosts_task,
	&pr_upstreams_task,
	&pr_admission_task,
	&pr_balance_task,
	&pr_versions_task,
	&pr_sessions_task,
	&pr_explain_task,
	&pr_ratings_task,
	&pr_rollouts_task,
	&pr_billing_task,
	&pr_once_task,
	&pr_cold_task,
	&pr_grant_task,
	&pr_order_task,
	&pr_poll_task,
	&pr_config_task,
	&pr_member_task,
};
/* clang-format on */

#define TASK_COUNT (sizeof(tasks) / sizeof(tasks[0]))

int pr_tasks_init(pr_router_t *router)
{
	int rc = 0;

	for (size_t i = 0; i < TASK_COUNT && !rc; i++)
		if (tasks[i]->init)
			rc = tasks[i]->init(router);
	return rc;
}

void pr_tasks_fleet_changed(pr_router_t *router)
{
	for (size_t i = 0; i < TASK_COUNT; i++)
		if (tasks[i]->fleet_changed)
			tasks[i]->fleet_changed(router);
}

void pr_tasks_view_changed(pr_router_t *router)
{
	for (size_t i = 0; i < TASK_COUNT; i++)
		if (tasks[i]->view_changed)
			tasks[i]->view_changed(router);
}

bool pr_tasks_message(pr_router_t *router, pr_slice_t from, pr_slice_t type,
		      pr_slice_t payload)
{
	for (size_t i = 0; i < TASK_COUNT; i++)
		if (tasks[i]->message &&
		    tasks[i]->message(router, from, type, payload))
			return true;
	return false;
}

void pr_tasks_stopping(pr_router_t *router)
{
	for (size_t i = 0; i < TASK_COUNT; i++)
		if (tasks[i]->stopping)
			tasks[i]->stopping(router);
}

const char *pr_tasks_busy(const pr_router_t *router)
{
	for (size_t i = 0; i < TASK_COUNT; i++)
		if (tasks[i]->idle && !tasks[i]->idle(router))
			return tasks[i]->name;
	return NULL;
}

void pr_tasks_metrics(const pr_router_t *router, pr_str_t *out)
{
	for (size_t i = 0; i < TASK_COUNT; i++)
		if (tasks[i]->metrics)
			tasks[i]->metrics(router, out);
}

void pr_tasks_finish(pr_router_t *router)
{
	for (size_t i = TASK_COUNT; i > 0; i--)
		if (tasks[i - 1]->finish)
			tasks[i - 1]->finish(router);
}
