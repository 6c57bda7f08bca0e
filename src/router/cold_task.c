/*
 * Notices of cold upstreams. A host that finds an upstream cold tells the owner
 * of resource cold/<upstream>; when two hosts have found it cold, the owner
 * tells all others, which otherwise would send as much as to a warm one. One
 * host is not enough: its own network may be at fault, and it would slow down
 * every upstream for the whole fleet. A notice costs about 60 bytes a host, and
 * starts are rare, so it is sent once and again only when the view of hosts
 * changes during the ramp.
 */
#include <msgpack.h>
#include <stdlib.h>

#include "base/index.h"
#include "base/list.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "router/router.h"

#define TICK_EVERY (100 * PR_USEC_PER_MSEC)
/* Hosts told at each tick: 390 hosts are told within 2.5 s. */
#define TOLD_PER_TICK 16
/* Ramp starts of one cold start, as different hosts see it, differ by less. */
#define SAME_START (2 * PR_USEC_PER_SEC)
/* A notice of an older start is ignored; it was held up on its way. */
#define NOTICE_MAX_AGE     (60 * PR_USEC_PER_SEC)
#define NAME_BYTES         65
#define UPSTREAMS_EXPECTED 1024
#define MESSAGE            "cold"

/** What was said about one upstream. */
typedef struct notice_t {
	pr_index_node_t node;
	struct notice_t *next;
	char name[NAME_BYTES];
	/** Ramp start that was told or heard. */
	pr_usec_t start;
	/** Next host of the list to tell; at the end of it when done. */
	unsigned int next_host;
	bool owner_told;
	/** Host that found it first, and whether a second one has. */
	char witness[NAME_BYTES];
	bool confirmed;
} notice_t;

typedef struct pr_cold_t {
	/** By name, and in a list. */
	pr_index_t index;
	notice_t *notices;
	pr_timer_t tick;
	uint64_t sent, received;
} pr_cold_t;

static uint64_t key_of(const char *name)
{
	return pr_hash64(name, strlen(name), 0);
}

static notice_t *add_notice(pr_cold_t *cold, const char *name)
{
	notice_t *notice = calloc(1, sizeof(*notice));

	if (!notice)
		return NULL;
	snprintf(notice->name, sizeof(notice->name), "%s", name);
	/* No start was told yet. */
	notice->start = -PR_USEC_PER_SEC * 3600;
	notice->next = cold->notices;
	cold->notices = notice;
	pr_index_add(&cold->index, &notice->node, key_of(name));
	return notice;
}

static notice_t *find_notice(pr_cold_t *cold, const char *name)
{
	pr_index_node_t *node = pr_index_find(&cold->index, key_of(name));

	for (; node; node = pr_index_same(node)) {
		notice_t *notice = PR_OWNER(node, notice_t, node);

		if (!strcmp(notice->name, name))
			return notice;
	}
	return add_notice(cold, name);
}

static void send_notice(pr_router_t *router, const char *host,
			const notice_t *notice)
{
	pr_usec_t age = pr_router_now(router) - notice->start;
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_str_with_body(&packer, notice->name, strlen(notice->name));
	msgpack_pack_int64(&packer, age);
	router->cold->sent += buffer.size;
	pr_peers_send(router->peers, host, MESSAGE,
		      pr_slice(buffer.data, buffer.size));
	msgpack_sbuffer_destroy(&buffer);
}

static bool owns(const pr_router_t *router, const notice_t *notice,
		 const char **owner)
{
	char resource[NAME_BYTES + 8];

	snprintf(resource, sizeof(resource), "cold/%s", notice->name);
	*owner = pr_hosts_owner(router, pr_slice_of(resource));
	return !strcmp(*owner, router->settings->host);
}

static void spread(pr_router_t *router, notice_t *notice)
{
	const pr_host_list_t *hosts = &router->hosts;
	const char *owner;

	if (!owns(router, notice, &owner)) {
		if (!notice->owner_told)
			send_notice(router, owner, notice);
		notice->owner_told = true;
		notice->next_host = hosts->count;
		return;
	}
	for (unsigned int i = 0; notice->confirmed && i < TOLD_PER_TICK &&
				 notice->next_host < hosts->count;
	     i++) {
		const pr_host_t *host = &hosts->items[notice->next_host++];

		if (host->live && !host->self)
			send_notice(router, host->name, notice);
	}
}

/* Notes that a host found an upstream cold since a time. */
static void testify(notice_t *notice, const char *host, pr_usec_t start)
{
	if (start > notice->start + SAME_START) {
		notice->start = start;
		notice->owner_told = false;
		notice->confirmed = false;
		notice->next_host = 0;
		snprintf(notice->witness, sizeof(notice->witness), "%s", host);
	} else if (start > notice->start - SAME_START &&
		   strcmp(notice->witness, host) != 0) {
		notice->confirmed = true;
	}
}

static void check(pr_router_t *router, pr_balance_upstream_t *upstream,
		  pr_usec_t now)
{
	pr_balance_status_t status;
	notice_t *notice;

	pr_balance_status(&router->balance, &status, upstream, now);
	/* The ramp of an ejected upstream begins when it returns; until then
	 * only this host takes it for failed. */
	if (!status.cold || status.ramp_start > now)
		return;
	notice = find_notice(router->cold, status.name);
	if (!notice)
		return;
	testify(notice, router->settings->host, status.ramp_start);
	spread(router, notice);
}

static void on_tick(pr_timer_t *timer, pr_usec_t now)
{
	pr_router_t *router = timer->data;

	for (unsigned int i = 0; i < router->balance.upstreams_count; i++)
		check(router, router->balance.upstreams[i], now);
}

static int decode(notice_t *notice, pr_slice_t bytes, pr_usec_t now)
{
	msgpack_unpacked unpacked;
	const msgpack_object *items;
	int rc = PR_EPARSE;

	memset(notice, 0, sizeof(*notice));
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, bytes.ptr, bytes.len, NULL) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    unpacked.data.type != MSGPACK_OBJECT_ARRAY ||
	    unpacked.data.via.array.size != 2)
		goto cleanup;
	items = unpacked.data.via.array.ptr;
	if (items[0].type != MSGPACK_OBJECT_STR ||
	    items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    items[1].via.u64 > (uint64_t)NOTICE_MAX_AGE ||
	    pr_slice_copy(
		    notice->name, sizeof(notice->name),
		    pr_slice(items[0].via.str.ptr, items[0].via.str.size)))
		goto cleanup;
	notice->start = now - (pr_usec_t)items[1].via.u64;
	rc = 0;

cleanup:
	msgpack_unpacked_destroy(&unpacked);
	return rc;
}

static void receive(pr_router_t *router, const char *from,
		    const notice_t *heard, pr_usec_t now)
{
	pr_balance_upstream_t *upstream =
		pr_balance_find(&router->balance, heard->name);
	notice_t *notice =
		upstream ? find_notice(router->cold, heard->name) : NULL;
	pr_balance_status_t status;
	const char *owner;

	if (!notice)
		return;
	testify(notice, from, heard->start);
	if (owns(router, notice, &owner)) {
		if (!notice->confirmed)
			return;
	} else {
		/* Only a confirmed start is told to hosts that own nothing. */
		notice->confirmed = true;
		notice->owner_told = true;
	}
	pr_balance_status(&router->balance, &status, upstream, now);
	/* An ejection, or a ramp that began later, is stricter. */
	if (status.ejected_until > now ||
	    (status.cold && status.ramp_start >= heard->start - SAME_START))
		return;
	pr_balance_set_cold(&router->balance, heard->name, heard->start);
}

static bool on_message(pr_router_t *router, pr_slice_t from, pr_slice_t type,
		       pr_slice_t payload)
{
	pr_usec_t now = pr_router_now(router);
	char name[NAME_BYTES];
	notice_t heard;

	if (!pr_slice_equal(type, PR_SLICE(MESSAGE)))
		return false;
	router->cold->received++;
	if (!pr_slice_copy(name, sizeof(name), from) &&
	    !decode(&heard, payload, now))
		receive(router, name, &heard, now);
	return true;
}

/* A new host knows nothing yet, and neither does a new owner. */
static void view_changed(pr_router_t *router)
{
	notice_t *notice;

	if (!router->cold)
		return;
	for (notice = router->cold->notices; notice; notice = notice->next) {
		notice->next_host = 0;
		notice->owner_told = false;
	}
}

static int init(pr_router_t *router)
{
	router->cold = calloc(1, sizeof(*router->cold));
	if (!router->cold ||
	    pr_index_init(&router->cold->index, UPSTREAMS_EXPECTED))
		return pr_error_set(PR_ENOMEM, "no memory for notices");
	router->cold->tick.data = router;
	pr_timers_subscribe(&router->timers, &router->cold->tick, TICK_EVERY,
			    TICK_EVERY, on_tick);
	return 0;
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	pr_str_appendf(out,
		       "pr_cold_notice_bytes_total %llu\n"
		       "pr_cold_notices_received_total %llu\n",
		       (unsigned long long)router->cold->sent,
		       (unsigned long long)router->cold->received);
}

static void finish(pr_router_t *router)
{
	notice_t *notice, *next;

	if (!router->cold)
		return;
	pr_timers_unsubscribe(&router->timers, &router->cold->tick);
	for (notice = router->cold->notices; notice; notice = next) {
		next = notice->next;
		free(notice);
	}
	pr_index_finish(&router->cold->index);
	free(router->cold);
	router->cold = NULL;
}

const pr_task_ops_t pr_cold_task = {
	.name = "cold",
	.init = init,
	.view_changed = view_changed,
	.message = on_message,
	.metrics = print_metrics,
	.finish = finish,
};
