/* The lagging list of hosts and upstreams. */
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "platform.h"

#define PENDING_MAX 10000

typedef struct change_t {
	pr_timer_t timer;
	platform_t *platform;
	json_t *hosts;
	json_t *upstreams;
} change_t;

int hosts_init(hosts_t *hosts)
{
	hosts->hosts = json_array();
	hosts->upstreams = json_array();
	if (!hosts->hosts || !hosts->upstreams)
		return pr_error_set(PR_ENOMEM, "no memory for a host list");
	return 0;
}

static void on_visible(pr_timer_t *timer, pr_usec_t now)
{
	change_t *change = timer->data;
	hosts_t *hosts = &change->platform->hosts;

	hosts->pending--;
	host_list_merge(hosts->hosts, "host", change->hosts);
	host_list_merge(hosts->upstreams, "upstream", change->upstreams);
	json_decref(change->hosts);
	json_decref(change->upstreams);
	free(change);
}

void hosts_change(platform_t *platform, const json_t *fields)
{
	const json_t *lag = json_object_get(fields, "hosts_lag_ms");
	json_t *hosts = json_object_get(fields, "hosts");
	json_t *upstreams = json_object_get(fields, "upstreams");
	change_t *change;

	if (json_is_integer(lag))
		platform->hosts.lag_ms = (uint32_t)json_integer_value(lag);
	if (!hosts && !upstreams)
		return;
	if (!platform->hosts.lag_ms || platform->hosts.pending >= PENDING_MAX) {
		host_list_merge(platform->hosts.hosts, "host", hosts);
		host_list_merge(platform->hosts.upstreams, "upstream",
				upstreams);
		return;
	}
	change = calloc(1, sizeof(*change));
	if (!change)
		return;
	change->platform = platform;
	change->timer.data = change;
	change->hosts = json_deep_copy(hosts);
	change->upstreams = json_deep_copy(upstreams);
	platform->hosts.pending++;
	standin_after(&platform->standin, &change->timer,
		      platform->hosts.lag_ms * PR_USEC_PER_MSEC, 0, on_visible);
}
