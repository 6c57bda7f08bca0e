/*
 * The configuration task: polls the table row config/current and puts a newer
 * document in force. A document that does not parse is refused and the current
 * one stays.
 */
#include <jansson.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "router/router.h"

#define POLL_EVERY   PR_USEC_PER_SEC
#define POLL_TIMEOUT (2 * PR_USEC_PER_SEC)

pr_fleet_ref_t *pr_fleet_ref_get(pr_fleet_ref_t *ref)
{
	ref->users++;
	return ref;
}

void pr_fleet_ref_put(pr_fleet_ref_t *ref)
{
	if (!ref || --ref->users)
		return;
	pr_fleet_free(ref->fleet);
	free(ref);
}

static void put_in_force(pr_router_t *router, uint64_t version, pr_slice_t text)
{
	pr_fleet_ref_t *ref = calloc(1, sizeof(*ref));
	int rc;

	if (!ref)
		return;
	rc = pr_fleet_parse(&ref->fleet, "config/current", text);
	if (rc) {
		pr_log(PR_LOG_ERR, "configuration %llu refused: %s",
		       (unsigned long long)version, pr_error_last());
		pr_fleet_free(ref->fleet);
		free(ref);
		return;
	}
	ref->version = version;
	ref->users = 1;
	pr_fleet_ref_put(router->fleet);
	router->fleet = ref;
	pr_tasks_fleet_changed(router);
	pr_log(PR_LOG_NOTICE, "configuration %llu is in force",
	       (unsigned long long)version);
}

static void read_row(pr_router_t *router, pr_slice_t body)
{
	json_t *row = json_loadb(body.ptr, body.len, 0, NULL);
	json_int_t version = 0;
	const char *text = NULL;

	if (row &&
	    !json_unpack(row, "{s:I, s:{s:s}}", "version", &version, "value",
			 "text", &text) &&
	    (!router->fleet || (uint64_t)version > router->fleet->version))
		put_in_force(router, (uint64_t)version, pr_slice_of(text));
	json_decref(row);
}

static void on_polled(void *data, pr_platform_outcome_t outcome, int status,
		      pr_slice_t body)
{
	pr_router_t *router = data;

	router->config_polling = false;
	if (outcome == PR_PLATFORM_ANSWERED && status == 200)
		read_row(router, body);
}

static void on_poll(pr_timer_t *timer, pr_usec_t now)
{
	pr_router_t *router = timer->data;
	char path[96];

	if (router->config_polling)
		return;
	snprintf(path, sizeof(path),
		 "/v1/table/rows/config/current?unless=%llu",
		 router->fleet ? (unsigned long long)router->fleet->version
			       : 0ULL);
	router->config_polling = !pr_platform_call(
		router->platform, "GET", pr_slice_of(path), pr_slice("", 0),
		POLL_TIMEOUT, on_polled, router);
}

static int start_polling(pr_router_t *router)
{
	router->config_poll.data = router;
	pr_timers_subscribe(&router->timers, &router->config_poll, 0,
			    POLL_EVERY, on_poll);
	return 0;
}

static void drop_fleet(pr_router_t *router)
{
	pr_fleet_ref_put(router->fleet);
	router->fleet = NULL;
}

const pr_task_ops_t pr_config_task = {
	.name = "config",
	.init = start_polling,
	.finish = drop_fleet,
};
