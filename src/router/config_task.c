/*
 * Configuration task: reads the table row config/current for the holder, which
 * decides what is accepted, and tells the other tasks of a new version.
 */
#include <jansson.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "router/router.h"
#include "router/test_off.h"

#define TICK_EVERY   (100 * PR_USEC_PER_MSEC)
#define READ_TIMEOUT (2 * PR_USEC_PER_SEC)
#define PATH_BYTES   96

/** A read that is under way; the holder's id goes with it. */
typedef struct config_read_t {
	pr_router_t *router;
	uint64_t id;
} config_read_t;

static void give_row(config_read_t *read, pr_slice_t body)
{
	pr_router_t *router = read->router;
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	char *value = json_dumps(json_object_get(root, "value"), JSON_COMPACT);
	uint64_t row_version =
		(uint64_t)json_integer_value(json_object_get(root, "version"));
	pr_str_t buffer = PR_STR_INIT;
	pr_config_row_t row;
	bool readable =
		value && !pr_config_row_decode(&row, &buffer, row_version,
					       pr_slice_of(value));

	pr_config_holder_read_done(
		&router->config, read->id,
		readable ? PR_CONFIG_READ_ROW : PR_CONFIG_READ_FAILED,
		readable ? &row : NULL, pr_router_now(router));
	pr_str_finish(&buffer);
	free(value);
	json_decref(root);
}

static void on_read(void *data, pr_platform_outcome_t outcome, int status,
		    pr_slice_t body)
{
	config_read_t *read = data;
	pr_router_t *router = read->router;
	pr_config_read_t result = PR_CONFIG_READ_FAILED;

	if (outcome == PR_PLATFORM_ANSWERED && status == 304)
		result = PR_CONFIG_READ_SAME;
	else if (outcome == PR_PLATFORM_ANSWERED && status == 404)
		result = PR_CONFIG_READ_ABSENT;
	if (outcome == PR_PLATFORM_ANSWERED && status == 200)
		give_row(read, body);
	else
		pr_config_holder_read_done(&router->config, read->id, result,
					   NULL, pr_router_now(router));
	free(read);
}

static void start_read(void *data, uint64_t id, uint64_t unless)
{
	pr_router_t *router = data;
	config_read_t *read = calloc(1, sizeof(*read));
	char path[PATH_BYTES];

	if (!read)
		return;
	read->router = router;
	read->id = id;
	snprintf(path, sizeof(path),
		 "/v1/table/rows/config/current?unless=%llu",
		 (unsigned long long)unless);
	/* A read that cannot start is given up by the holder's timeout. */
	if (pr_platform_call_owned(router->platform, "GET", pr_slice_of(path),
				   pr_slice("", 0), READ_TIMEOUT, on_read, free,
				   read))
		free(read);
}

static void on_accepted(void *data, const pr_config_t *config)
{
	pr_router_t *router = data;

	if (pr_test_off("config")) {
		if (router->fleet)
			return;
		pr_config_ref(router->config.current);
	}
	router->fleet = router->config.current;
	router->confirmed = true;
	pr_tasks_fleet_changed(router);
	pr_log(PR_LOG_NOTICE, "configuration %llu is in force",
	       (unsigned long long)config->version);
}

static void on_rejected(void *data, uint64_t version, const char *reason)
{
	pr_log(PR_LOG_ERR, "configuration %llu refused: %s",
	       (unsigned long long)version, reason);
}

static void on_state(void *data, pr_config_state_t state)
{
	static const char *const names[] = { "unknown", "confirmed",
					     "not confirmed" };
	pr_router_t *router = data;

	router->confirmed = state == PR_CONFIG_CONFIRMED;
	pr_log(state == PR_CONFIG_STALE ? PR_LOG_WARNING : PR_LOG_NOTICE,
	       "configuration is %s", names[state]);
}

static const pr_config_holder_ops_t holder_ops = {
	.read = start_read,
	.accepted = on_accepted,
	.rejected = on_rejected,
	.state_changed = on_state,
};

static void on_tick(pr_timer_t *timer, pr_usec_t now)
{
	pr_router_t *router = timer->data;

	pr_config_holder_tick(&router->config, now);
}

static int init(pr_router_t *router)
{
	pr_config_holder_options_t options = PR_CONFIG_HOLDER_OPTIONS_INIT;
	int rc;

	options.monotonic = !pr_test_off("monotonic");
	rc = pr_config_holder_init(&router->config, &options, &holder_ops,
				   router, pr_router_now(router));
	if (rc)
		return rc;
	router->config_tick.data = router;
	pr_timers_subscribe(&router->timers, &router->config_tick, 0,
			    TICK_EVERY, on_tick);
	return 0;
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	const pr_config_holder_t *holder = &router->config;

	pr_str_appendf(out,
		       "pr_config_version %llu\npr_config_confirmed %d\n"
		       "pr_config_regressions_total %llu\n"
		       "pr_config_rejections_total %llu\n",
		       (unsigned long long)pr_config_holder_version(holder),
		       router->confirmed,
		       (unsigned long long)holder->regressions,
		       (unsigned long long)holder->rejections);
}

static void finish(pr_router_t *router)
{
	if (pr_test_off("config"))
		pr_config_unref(router->fleet);
	router->fleet = NULL;
	pr_config_holder_finish(&router->config);
}

const pr_task_ops_t pr_config_task = {
	.name = "config",
	.init = init,
	.metrics = print_metrics,
	.finish = finish,
};
