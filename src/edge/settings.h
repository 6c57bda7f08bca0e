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

/** Limits of the deployment; settings.c has the defaults. */
typedef struct pr_bound_settings_t {
	/** Time from SIGTERM to SIGKILL, seconds. */
	double grace_s;
	/** Window of the repeat budget, seconds. */
	double repeats_window_s;
	/** Repeats allowed per request, a ratio. */
	double repeats_ratio;
	/** Repeats allowed in a window beyond that, by all hosts together. */
	double repeats_slack;
	/** Time without a request after which a session is no longer pinned to
	 *  its version, seconds. */
	double session_s;
	/** Grace period after an outage of the store, seconds: entries of
	 *  upstreams that lapsed in it have been written again by then. */
	double lapse_s;
} pr_bound_settings_t;

/** Choice of upstreams by the prompt prefixes that they still hold. */
typedef struct pr_kept_settings_t {
	/** Time for which a prefix counts as held after its last use, seconds;
	 *  0 switches the mechanism off. */
	double window_s;
} pr_kept_settings_t;

/** Optional numbers as the file states them; NULL without a value. */
typedef struct pr_stated_bounds_t {
	double *grace_s;
	double *repeats_window_s, *repeats_ratio, *repeats_slack;
	double *session_s;
	double *lapse_s;
} pr_stated_bounds_t;

typedef struct pr_stated_kept_t {
	double *window_s;
} pr_stated_kept_t;

typedef struct pr_stated_figures_t {
	double *cores;
	double *memory_mb;
	double *descriptors;
	pr_stated_bounds_t bounds;
	pr_stated_kept_t kept_prompts;
} pr_stated_figures_t;

typedef struct pr_edge_settings_t {
	char *host;
	char *zone;
	char *region;
	/** Stated as a list, or filled from zone_regions. */
	pr_zone_settings_t *zones;
	unsigned int zones_count;
	/** The zones as a JSON object, each with its region as the value; NULL
	 *  when the file lists them. */
	char *zone_regions;
	/** Entries of zone_regions that name no zone and region. */
	unsigned int zones_ignored;
	/** Addresses as "IPv4:PORT". The daemon listens on the first four: for
	 *  callers, readiness checks of the balancer, reads of the metrics, and
	 *  datagrams of other hosts. The last one is the platform's store. */
	char *listen, *ready, *metrics, *peer, *store;
	/** The same addresses, parsed by pr_edge_settings_load(). */
	struct {
		struct sockaddr_in listen, ready, metrics, peer, store;
	} addresses;
	/** Processor cores of the host; may be a fraction. */
	double cores;
	/** Figures that the platform states, a JSON object under its names;
	 *  NULL without any. They apply where the setting of the same meaning
	 *  is absent. */
	char *platform;
	/** Cores in per cent of one core, rounded down. */
	uint32_t capacity_percent;
	pr_bound_settings_t bounds;
	/** Memory that the process may use, in units of 2^20 bytes. */
	double memory_mb;
	/** Descriptors that the process may open. */
	double descriptors;
	pr_kept_settings_t kept_prompts;
	/** The numbers above as the file has them. */
	pr_stated_figures_t stated;
} pr_edge_settings_t;

/**
 * Read and check a settings file.
 *
 * @return 0, PR_ENOTFOUND, PR_EPARSE or PR_EINVALID; pr_error_last() names
 *	   the file, the line or field, the value, and the expected values
 */
int pr_edge_settings_load(pr_edge_settings_t **out, const char *path);
void pr_edge_settings_free(pr_edge_settings_t *settings);

#endif
