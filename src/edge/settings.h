/**
 * Settings of the entry daemon, read from YAML at start and on SIGHUP.
 */
#ifndef PR_EDGE_SETTINGS_H
#define PR_EDGE_SETTINGS_H

#include <stdint.h>

#include <netinet/in.h>

typedef struct pr_zone_settings_t {
	char *name;
	char *region;
} pr_zone_settings_t;

/** Bounds that the deployment states; defaults stand in settings.c. */
typedef struct pr_bound_settings_t {
	/** Time from SIGTERM to SIGKILL, seconds. */
	double grace_s;
	/** Window of the budget of repeats, seconds. */
	double repeats_window_s;
	/** Repeats for each request. */
	double repeats_ratio;
	/** Repeats in a window beyond that, over all hosts. */
	double repeats_slack;
	/** Time after which a session is no longer pinned, seconds. */
	double session_s;
	/** Entries that lapsed in an outage are back after this time, seconds.
	 */
	double lapse_s;
} pr_bound_settings_t;

typedef struct pr_edge_settings_t {
	char *host;
	char *zone;
	char *region;
	pr_zone_settings_t *zones;
	unsigned int zones_count;
	/** Addresses as "IPv4:PORT": callers, readiness for the balancer,
	 *  metrics, datagrams of other hosts, the platform's store. */
	char *listen, *ready, *metrics, *peer, *store;
	/** The same, read by pr_edge_settings_load(). */
	struct {
		struct sockaddr_in listen, ready, metrics, peer, store;
	} addresses;
	/** Cores that the host has; the part of one as a fraction. */
	double cores;
	/** The same in per cent, rounded down. */
	uint32_t capacity_percent;
	pr_bound_settings_t bounds;
} pr_edge_settings_t;

/**
 * Read and check a settings file.
 *
 * @return 0, PR_ENOTFOUND, PR_EPARSE or PR_EINVALID; pr_error_last() names
 *	   file, line, field, value and what is allowed
 */
int pr_edge_settings_load(pr_edge_settings_t **out, const char *path);
void pr_edge_settings_free(pr_edge_settings_t *settings);

#endif
