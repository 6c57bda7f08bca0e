/* The operator's document of the platform, for the commands that read files.
 * Apart from ctl.h, whose types have the names of others in routing.h. */
#ifndef PR_CTL_ROUTING_H
#define PR_CTL_ROUTING_H

#include <stdbool.h>

#include "pistachiorack/findings.h"

/** Repeat budget and regions of a deployment, of its settings file. */
typedef struct ctl_deployment_t ctl_deployment_t;

/** @return 0 or an error of pr_edge_settings_load() */
int ctl_deployment_load(ctl_deployment_t **out, const char *path);
/** NULL is allowed. */
void ctl_deployment_free(ctl_deployment_t *deployment);

/**
 * Check an operator's document.
 *
 * @param deployment may be NULL
 * @return 0, PR_EPARSE when hosts refuse the document, or PR_ENOMEM
 */
int ctl_routing_check(pr_findings_t *out, pr_slice_t text,
		      const ctl_deployment_t *deployment);
/** @return true when hosts can read the document */
bool ctl_routing_is_readable(pr_slice_t text);
/**
 * Compare two operator's documents.
 *
 * @param findings gets what makes hosts ignore the newer document
 * @return 0, PR_EPARSE when a document cannot be read, or PR_ENOMEM
 */
int ctl_routing_compare(pr_changes_t *out, pr_findings_t *findings,
			pr_slice_t before, pr_slice_t after);
/**
 * Answer of the platform's store with the document in force.
 *
 * @return 0, PR_ENOTFOUND, PR_EPARSE or PR_ENOMEM
 */
int ctl_routing_in_force(pr_str_t *out, pr_slice_t answer);
/** Path and query of the call for that answer. @return 0 or PR_ENOMEM */
int ctl_routing_in_force_path(pr_str_t *out);

#endif
