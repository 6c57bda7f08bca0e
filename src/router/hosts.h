/* The hosts that this host knows of, and who owns what. */
#ifndef PR_ROUTER_HOSTS_H
#define PR_ROUTER_HOSTS_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"

struct pr_router_t;

/** Another host, or this one. */
typedef struct pr_host_t {
	char name[65];
	char zone[65];
	char address[46];
	uint16_t port;
	/** Owns keys and may hold bills. */
	bool live;
	bool leaving;
	bool self;
} pr_host_t;

typedef struct pr_host_list_t {
	pr_host_t *items;
	unsigned int count;
} pr_host_list_t;

/** @return the live host that owns a key; this host when there is no other */
const char *pr_hosts_owner(const struct pr_router_t *router, pr_slice_t key);
/** @return region of a zone in the configuration, or "" */
const char *pr_hosts_region(const struct pr_router_t *router, const char *zone);

#endif
