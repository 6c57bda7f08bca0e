/* The lagging list of hosts and upstreams. */
#include <stdlib.h>
#include <string.h>

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

static void merge_one(json_t *list, const char *name_field, const char *name,
		      json_t *change)
{
	const char *state = json_string_value(json_object_get(change, "state"));
	json_t *old;
	size_t i;

	json_array_foreach(list, i, old)
	{
		const char *known =
			json_string_value(json_object_get(old, name_field));

		if (!known || strcmp(known, name) != 0)
			continue;
		if (state && strcmp(state, "gone") == 0)
			json_array_remove(list, i);
		else
			json_object_update(old, change);
		return;
	}
	if (state && strcmp(state, "gone") == 0)
		return;
	old = json_deep_copy(change);
	if (!state)
		json_object_set_new(old, "state", json_string("live"));
	json_array_append_new(list, old);
}

void hosts_merge(json_t *list, const char *name_field, const json_t *changes)
{
	json_t *change;
	size_t i;

	json_array_foreach(changes, i, change)
	{
		const char *name =
			json_string_value(json_object_get(change, name_field));

		if (name)
			merge_one(list, name_field, name, change);
	}
}

static void on_visible(pr_timer_t *timer, pr_usec_t now)
{
	change_t *change = timer->data;
	hosts_t *hosts = &change->platform->hosts;

	hosts->pending--;
	hosts_merge(hosts->hosts, "host", change->hosts);
	hosts_merge(hosts->upstreams, "upstream", change->upstreams);
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
		hosts_merge(platform->hosts.hosts, "host", hosts);
		hosts_merge(platform->hosts.upstreams, "upstream", upstreams);
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
	standin_now(&platform->standin);
	pr_timers_subscribe(&platform->standin.timers, &change->timer,
			    platform->hosts.lag_ms * PR_USEC_PER_MSEC, 0,
			    on_visible);
}
