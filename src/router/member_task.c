/*
 * Membership task: probes by datagram, the platform's host list, and the list
 * of hosts that the other tasks see.
 */
#include <jansson.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "router/member_task.h"
#include "router/test_off.h"

#define TICK_EVERY    (100 * PR_USEC_PER_MSEC)
#define LIST_TIMEOUT  (2 * PR_USEC_PER_SEC)
#define LIST_EVERY    PR_USEC_PER_SEC
#define ADDRESS_BYTES 64
/* The list is read less often when it is long, so that reading it stays at
 * this many bytes a second, a third of the budget for control. */
#define LIST_BYTES_PER_SEC 1000

/* Splits "address:port". @return 0 or PR_EINVALID */
static int split_address(char *address, size_t size, uint16_t *port,
			 const char *text)
{
	const char *colon = strrchr(text, ':');

	if (!colon || pr_slice_copy(address, size,
				    pr_slice(text, (size_t)(colon - text))))
		return PR_EINVALID;
	*port = (uint16_t)atoi(colon + 1);
	return 0;
}

static void send_datagram(void *data, const char *to, pr_slice_t datagram)
{
	pr_router_t *router = data;
	char address[ADDRESS_BYTES];
	uint16_t port;

	if (!split_address(address, sizeof(address), &port, to))
		pr_peers_send_datagram(router->peers, address, port, datagram);
}

static void on_changed(void *data, const pr_member_host_t *host,
		       pr_member_state_t before)
{
	pr_router_t *router = data;

	router->view_dirty = true;
	pr_log(host->state == PR_MEMBER_DEAD ? PR_LOG_WARNING : PR_LOG_NOTICE,
	       "host %s zone %s is %s (was %s)", host->name, host->zone,
	       pr_member_state_name(host->state), pr_member_state_name(before));
}

static void on_peer_config(void *data, uint64_t version, pr_usec_t age,
			   pr_usec_t asked_at)
{
	pr_router_t *router = data;

	pr_config_holder_peer(&router->config, version, age, asked_at,
			      pr_router_now(router));
}

static const pr_member_ops_t member_ops = {
	.send = send_datagram,
	.changed = on_changed,
	.peer_config = on_peer_config,
};

static void copy_host(pr_router_t *router, pr_host_t *out,
		      const pr_member_host_t *host)
{
	snprintf(out->name, sizeof(out->name), "%s", host->name);
	snprintf(out->zone, sizeof(out->zone), "%s", host->zone);
	out->live = pr_member_is_live(host);
	out->leaving = host->state == PR_MEMBER_LEAVING;
	out->self = !strcmp(host->name, router->settings->host);
	if (!split_address(out->address, sizeof(out->address), &out->port,
			   host->address) &&
	    !out->self)
		pr_peers_set(router->peers, out->name, out->address, out->port);
}

/* Brings router->hosts in line with the view and tells the other tasks. */
static void publish_view(pr_router_t *router)
{
	unsigned int count = pr_member_count(router->member);
	pr_host_t *items;

	if (!router->view_dirty)
		return;
	items = calloc(count, sizeof(*items));
	if (!items)
		return;
	router->view_dirty = false;
	for (unsigned int i = 0; i < count; i++)
		copy_host(router, &items[i], pr_member_at(router->member, i));
	free(router->hosts.items);
	router->hosts.items = items;
	router->hosts.count = count;
	router->live_hosts = pr_member_live_count(router->member);
	pr_tasks_view_changed(router);
}

void pr_member_task_datagram(void *data, pr_slice_t bytes)
{
	pr_router_t *router = data;

	if (!router->member)
		return;
	pr_member_receive(router->member, bytes, pr_router_now(router));
	publish_view(router);
}

static void add_listed(pr_router_t *router, pr_member_list_entry_t *list,
		       unsigned int *count, const json_t *item)
{
	const char *host, *zone, *address;
	const char *state = "live";

	if (json_unpack((json_t *)item, "{s:s, s:s, s:s, s?s}", "host", &host,
			"zone", &zone, "address", &address, "state", &state))
		return;
	list[(*count)++] = (pr_member_list_entry_t){
		.host = pr_slice_of(host),
		.zone = pr_slice_of(zone),
		.address = pr_slice_of(address),
	};
}

static void take_upstreams(pr_router_t *router, const json_t *upstreams)
{
	const json_t *item;
	size_t at;

	if (pr_test_off("host-list"))
		return;
	json_array_foreach(upstreams, at, item)
	{
		const char *name, *state;

		if (!json_unpack((json_t *)item, "{s:s, s:s}", "upstream",
				 &name, "state", &state))
			pr_balance_set_leaving(&router->balance, name,
					       !strcmp(state, "leaving"),
					       pr_router_now(router));
	}
}

static void take_hosts(pr_router_t *router, const json_t *hosts)
{
	size_t size = json_array_size(hosts);
	pr_member_list_entry_t *list;
	unsigned int count = 0;
	const json_t *item;
	size_t at;

	/* An empty list is a fault of the platform, not an empty fleet. */
	if (!size)
		return;
	list = calloc(size, sizeof(*list));
	if (!list)
		return;
	json_array_foreach(hosts, at, item)
	{
		add_listed(router, list, &count, item);
	}
	if (pr_member_set_list(router->member, list, count,
			       pr_router_now(router)))
		pr_log(PR_LOG_WARNING, "host list: %s", pr_error_last());
	free(list);
	publish_view(router);
}

static void on_list(void *data, pr_platform_outcome_t outcome, int status,
		    pr_slice_t body)
{
	pr_router_t *router = data;
	pr_usec_t pause = LIST_EVERY;
	json_t *root;

	if (outcome == PR_PLATFORM_ANSWERED && status == 200) {
		root = json_loadb(body.ptr, body.len, 0, NULL);
		take_upstreams(router, json_object_get(root, "upstreams"));
		take_hosts(router, json_object_get(root, "hosts"));
		json_decref(root);
		pause += (pr_usec_t)body.len * PR_USEC_PER_SEC /
			 LIST_BYTES_PER_SEC;
	}
	router->list_due = pr_router_now(router) + pause;
	router->list_reading = false;
}

static void read_list(pr_router_t *router, pr_usec_t now)
{
	if (router->list_reading || now < router->list_due)
		return;
	router->list_reading = !pr_platform_call(
		router->platform, "GET", PR_SLICE("/v1/hosts"), pr_slice("", 0),
		LIST_TIMEOUT, on_list, router);
}

static void on_tick(pr_timer_t *timer, pr_usec_t now)
{
	pr_router_t *router = timer->data;
	pr_usec_t age = pr_config_holder_age(&router->config, now);
	bool confirmed = age != PR_USEC_NEVER;

	pr_member_set_config(router->member,
			     pr_config_holder_version(&router->config),
			     confirmed, confirmed ? now - age : 0);
	pr_member_tick(router->member, now);
	publish_view(router);
	read_list(router, now);
}

/* The hosts of the settings are candidates until the platform's list comes. */
static int list_settings(pr_router_t *router)
{
	const pr_settings_t *settings = router->settings;
	unsigned int count = settings->peers_count;
	pr_member_list_entry_t *list = calloc(count + 1, sizeof(*list));
	pr_str_t addresses = PR_STR_INIT;
	int rc = list ? 0 : PR_ENOMEM;

	for (unsigned int i = 0; i < count && !rc; i++)
		rc = pr_str_appendf(&addresses, "%-21s",
				    settings->peers[i].address);
	for (unsigned int i = 0; i < count && !rc; i++) {
		const pr_peer_settings_t *peer = &settings->peers[i];
		char *text = addresses.ptr + (size_t)i * 21;
		int len =
			snprintf(text, 21, "%s:%u", peer->address, peer->port);

		list[i] = (pr_member_list_entry_t){
			.host = pr_slice_of(peer->name),
			.zone = pr_slice_of(peer->zone),
			.address = pr_slice(text, (size_t)len),
		};
	}
	if (!rc)
		rc = pr_member_set_list(router->member, list, count,
					pr_router_now(router));
	pr_str_finish(&addresses);
	free(list);
	return rc;
}

static int init(pr_router_t *router)
{
	const pr_settings_t *settings = router->settings;
	pr_member_options_t options = PR_MEMBER_OPTIONS_INIT;
	char address[ADDRESS_BYTES];
	char key[PR_KEY_SIZE];
	int rc;

	snprintf(address, sizeof(address), "%.40s:%u", settings->peer.address,
		 settings->peer.port);
	options.host = pr_slice_of(settings->host);
	options.zone = pr_slice_of(settings->zone);
	options.address = pr_slice_of(address);
	pr_derive_key(key, pr_slice_of(settings->secret),
		      "pistachiorack/datagrams");
	options.secret = pr_slice_of(key);
	options.incarnation = (uint64_t)time(NULL);
	rc = pr_member_open(&router->member, &options, &member_ops, router,
			    &router->rand, pr_router_now(router));
	if (!rc)
		rc = list_settings(router);
	router->member_tick.data = router;
	pr_timers_subscribe(&router->timers, &router->member_tick, TICK_EVERY,
			    TICK_EVERY, on_tick);
	return rc;
}

static void stopping(pr_router_t *router)
{
	pr_member_leave(router->member, pr_router_now(router));
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	const pr_member_stats_t *stats = pr_member_stats(router->member);

	pr_str_appendf(out,
		       "pr_member_live %u\npr_member_listed %u\n"
		       "pr_member_bytes_sent_total %llu\n"
		       "pr_member_bytes_received_total %llu\n"
		       "pr_member_suspicions_total %llu\n"
		       "pr_member_deaths_total %llu\n",
		       pr_member_live_count(router->member),
		       pr_member_listed_count(router->member),
		       (unsigned long long)stats->bytes_sent,
		       (unsigned long long)stats->bytes_received,
		       (unsigned long long)stats->suspicions,
		       (unsigned long long)stats->deaths);
}

static void finish(pr_router_t *router)
{
	pr_member_close(router->member);
	router->member = NULL;
}

const pr_task_ops_t pr_member_task = {
	.name = "membership",
	.init = init,
	.stopping = stopping,
	.metrics = print_metrics,
	.finish = finish,
};
