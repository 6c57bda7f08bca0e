/**
 * The fleet configuration: one YAML document of defaults and exceptions.
 *
 * pr_fleet_t is the parsed document. It is immutable once loaded; a new
 * version of the configuration is a new pr_fleet_t. Names are terminated
 * strings owned by the document.
 */
#ifndef PISTACHIORACK_CONFIG_H
#define PISTACHIORACK_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/findings.h"
#include "pistachiorack/str.h"

typedef enum pr_version_state_t {
	/** Serves all work that policy gives it. */
	PR_VERSION_PROVEN,
	/** In roll-out: serves the share of new sessions. */
	PR_VERSION_ROLLING,
	/** Roll-out stopped: keeps its sessions, gets no new ones. */
	PR_VERSION_HALTED,
	/** Gets no new work at all. */
	PR_VERSION_WITHDRAWN,
} pr_version_state_t;

typedef enum pr_upstream_kind_t {
	PR_UPSTREAM_ENGINE,
	PR_UPSTREAM_LEDGER,
} pr_upstream_kind_t;

typedef enum pr_upstream_state_t {
	PR_UPSTREAM_LIVE,
	PR_UPSTREAM_LEAVING,
} pr_upstream_state_t;

typedef enum pr_zone_state_t {
	PR_ZONE_IN,
	PR_ZONE_OUT,
} pr_zone_state_t;

/** Shares are counted in 1/10,000. */
#define PR_SHARE_FULL 10000

/** One version of a model. */
typedef struct pr_version_t {
	char *name;
	pr_version_state_t state;
	/** Share of new sessions while rolling, 1/10,000. */
	uint32_t share;
	/** The version that a rolling one replaces; NULL for none. */
	char *replaces;
	/** Price in millionths of a currency unit per 1,000 tokens. */
	uint32_t price_in;
	uint32_t price_out;
} pr_version_t;

typedef struct pr_model_t {
	char *name;
	pr_version_t *versions;
	unsigned int versions_count;
} pr_model_t;

typedef struct pr_upstream_t {
	char *name;
	pr_upstream_kind_t kind;
	pr_upstream_state_t state;
	char *address;
	uint16_t port;
	char *zone;
	/** Requests that it works on at once when warm. */
	uint32_t slots;
	/** Requests in flight that it bears right after a start. */
	uint32_t cold_slots;
	/** True when it refuses orders with an old fencing number. */
	bool fencing;
	/** "model@version" for an engine, service names for a ledger. */
	char **serves;
	unsigned int serves_count;
} pr_upstream_t;

typedef struct pr_zone_t {
	char *name;
	char *region;
	pr_zone_state_t state;
} pr_zone_t;

/** Limits of a workspace over the whole fleet; 0 means no limit. */
typedef struct pr_limits_t {
	uint32_t requests_per_s;
	uint32_t tokens_per_s;
	uint32_t in_flight;
} pr_limits_t;

typedef struct pr_workspace_t {
	char *name;
	/** SHA-256 of each key, lower-case hexadecimal. */
	char **keys;
	unsigned int keys_count;
	/** Relative share when capacity is short. */
	uint32_t weight;
} pr_workspace_t;

typedef struct pr_operation_t {
	char *name;
	bool repeatable;
} pr_operation_t;

typedef struct pr_service_t {
	char *name;
	pr_operation_t *operations;
	unsigned int operations_count;
} pr_service_t;

/** Fleet-wide defaults. */
typedef struct pr_defaults_t {
	/** Models that every workspace may use. */
	char **models;
	unsigned int models_count;
	/** Share of answers that must be rated good, 0..1. */
	double quality_target;
	/** First token objective, milliseconds. */
	uint32_t first_token_ms;
	/** Objective between two tokens, milliseconds. */
	uint32_t between_tokens_ms;
	/** Share of requests that must meet the objectives, 0..1. */
	double objective;
	/** Most requests of one unproven version per second, fleet-wide. */
	uint32_t exposure_per_s;
	/**
	 * Least time of a roll-out's first two steps, seconds; the third takes
	 * twice as long. Left out or 0: 1800.
	 */
	uint32_t rollout_hold_s;
	pr_limits_t limits;
} pr_defaults_t;

/** An exception for one workspace. Fields left out keep the default. */
typedef struct pr_exception_t {
	char *workspace;
	/** Why the exception exists; must not be empty. */
	char *reason;
	char **models;
	unsigned int models_count;
	/** 0 keeps the default. */
	double quality_target;
	pr_limits_t *limits;
} pr_exception_t;

typedef struct pr_fleet_t {
	/** Format of the document, 1. */
	uint32_t format;
	pr_defaults_t defaults;
	pr_model_t *models;
	unsigned int models_count;
	pr_zone_t *zones;
	unsigned int zones_count;
	pr_upstream_t *upstreams;
	unsigned int upstreams_count;
	pr_workspace_t *workspaces;
	unsigned int workspaces_count;
	pr_service_t *services;
	unsigned int services_count;
	pr_exception_t *exceptions;
	unsigned int exceptions_count;
} pr_fleet_t;

/**
 * Parse a document and check its shape against the schema.
 *
 * @param out the document, owned by the caller; free with pr_fleet_free()
 * @param name file name for messages
 * @param text the YAML text
 * @return 0 or PR_EPARSE; pr_error_last() names file, line, field and value
 */
int pr_fleet_parse(pr_fleet_t **out, const char *name, pr_slice_t text);
/** Free a document; NULL is allowed. */
void pr_fleet_free(pr_fleet_t *fleet);

/** @return the named part or NULL */
const pr_model_t *pr_fleet_model(const pr_fleet_t *fleet, pr_slice_t name);
const pr_version_t *pr_model_version(const pr_model_t *model, pr_slice_t name);
const pr_zone_t *pr_fleet_zone(const pr_fleet_t *fleet, pr_slice_t name);
const pr_workspace_t *pr_fleet_workspace(const pr_fleet_t *fleet,
					 pr_slice_t name);
const pr_exception_t *pr_fleet_exception(const pr_fleet_t *fleet,
					 pr_slice_t workspace);
const pr_service_t *pr_fleet_service(const pr_fleet_t *fleet, pr_slice_t name);
const pr_operation_t *pr_service_operation(const pr_service_t *service,
					   pr_slice_t name);
/** @return true when the upstream's list has "model@version" or the service */
bool pr_upstream_serves(const pr_upstream_t *upstream, pr_slice_t what);
/**
 * @return true when new work may go to the upstream: it is not leaving and its
 *	   zone has not been taken out
 */
bool pr_fleet_upstream_usable(const pr_fleet_t *fleet,
			      const pr_upstream_t *upstream);
/** @return true when defaults or an exception allow the model */
bool pr_fleet_model_allowed(const pr_fleet_t *fleet, pr_slice_t workspace,
			    pr_slice_t model);

/** Append the document as YAML, every field written out. */
int pr_fleet_print(const pr_fleet_t *fleet, pr_str_t *out);

/**
 * Check what the schema cannot express: references between parts, ranges,
 * names used twice, sums of shares.
 *
 * @param out all findings, zeroed before; free with pr_findings_finish()
 * @param text the document's text for line numbers; may be empty
 * @return 0, PR_EINVALID when there are errors, or PR_ENOMEM
 */
int pr_fleet_check(pr_findings_t *out, const pr_fleet_t *fleet,
		   pr_slice_t text);

/**
 * Find entries that can never take traffic and values that contradict each
 * other. All findings are warnings: hosts apply such a document, since an
 * operator may write an entry before the parts it refers to.
 *
 * @param out findings are appended; lines are not set
 * @return 0 or PR_ENOMEM
 */
int pr_fleet_review(pr_findings_t *out, const pr_fleet_t *fleet);

/**
 * @param out the changes, zeroed before; free with pr_changes_finish()
 * @param before NULL for an empty document
 * @return 0 or PR_ENOMEM
 */
int pr_fleet_diff(pr_changes_t *out, const pr_fleet_t *before,
		  const pr_fleet_t *after);
/** Set the effect of each change of pr_fleet_diff(). @return 0 or PR_ENOMEM */
int pr_fleet_effects(pr_changes_t *changes);
/**
 * Paths that two sets of changes to one document set to different values.
 *
 * @param out as items of mine, with `before` holding the other's new value
 */
int pr_changes_clash(pr_changes_t *out, const pr_changes_t *mine,
		     const pr_changes_t *theirs);

#endif
