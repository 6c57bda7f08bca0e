/**
 * Review of a routing document before it is sent: entries that can never take
 * traffic, values that contradict each other, and what changes against another
 * version. Lookups are those that hosts use for requests.
 */
#ifndef PR_ROUTING_REVIEW_H
#define PR_ROUTING_REVIEW_H

#include "pistachiorack/findings.h"
#include "routing/routing.h"

/** Part of a document that a finding refers to. The platform has the names. */
typedef enum pr_part_t {
	PR_PART_VERSION,
	PR_PART_ROUTES,
	PR_PART_SERVICES,
	PR_PART_WORKSPACES,
	PR_PART_LIMITS,
	/** Name of a route, a service or a workspace. */
	PR_PART_NAME,
	PR_PART_HOST,
	PR_PART_PREFIX,
	PR_PART_KIND,
	PR_PART_TIMEOUT,
	PR_PART_TARGET,
	PR_PART_GAP,
	PR_PART_PRIORITY,
	PR_PART_MAX_UPSTREAMS,
	PR_PART_ANONYMOUS,
	PR_PART_AFFINITY,
	PR_PART_RESUMABLE,
	PR_PART_SERVICE,
	PR_PART_SPLITS,
	PR_PART_WEIGHT,
	/** Regions of a route or a workspace. */
	PR_PART_REGIONS,
	PR_PART_MODELS,
	PR_PART_MAX_CONNECTIONS,
	PR_PART_COLD_TIME,
	PR_PART_COLD_RATE,
	PR_PART_KEYS,
	PR_PART_HEADER_BYTES,
	PR_PART_BODY_BYTES,
	PR_PART_HEADER_TIME,
	PR_PART_IDLE_TIME,
	PR_PARTS_COUNT,
} pr_part_t;

/** What a review knows beside the document. */
typedef struct pr_review_input_t {
	/** Names of the parts for paths and texts; PR_PARTS_COUNT entries. */
	const char *const *names;
	/** The settings state the repeat budget below. */
	bool has_repeat_budget;
	/** Repeats allowed per request. */
	double repeats_ratio;
	/** Regions of the deployment; empty when they are not known. */
	const pr_names_t *regions;
} pr_review_input_t;

/**
 * @param out findings are appended; lines are not set
 * @return 0 or PR_ENOMEM
 */
int pr_routing_review(pr_findings_t *out, const pr_routing_t *routing,
		      const pr_review_input_t *input);
/**
 * List what differs from the version in force, with the effect on traffic.
 * API keys are secrets: changes count them and don't repeat them.
 *
 * @param out changes are appended: routes, services, workspaces, limits
 * @param findings gets an error when hosts would ignore the document, since its
 *		   version number is not above the one in force
 * @return 0 or PR_ENOMEM
 */
int pr_routing_compare(pr_changes_t *out, pr_findings_t *findings,
		       const pr_routing_t *before, const pr_routing_t *after,
		       const pr_review_input_t *input);

#endif
