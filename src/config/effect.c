/* What the changes of a fleet configuration do to traffic, by their paths. */
#include <fnmatch.h>
#include <stdlib.h>

#include "pistachiorack/config.h"
#include "pistachiorack/error.h"

typedef struct rule_t {
	/** Pattern of the path; the first that matches counts. */
	const char *pattern;
	/** New value for which the rule holds; NULL for all. */
	const char *after;
	const char *effect;
} rule_t;

static const rule_t rules[] = {
	{ "models/*/versions/*/state", "proven",
	  "the version takes new sessions" },
	{ "models/*/versions/*/state", "rolling",
	  "the version takes its share of new sessions" },
	{ "models/*/versions/*/state", "halted",
	  "the version takes no new sessions and keeps those it has" },
	{ "models/*/versions/*/state", "withdrawn",
	  "the version takes no work; its sessions move once" },
	{ "models/*/versions/*/share", NULL,
	  "the part of new sessions that the version gets changes" },
	{ "models/*/versions/*/replaces", NULL,
	  "another version gets the sessions back on a withdrawal" },
	{ "models/*/versions/*/price_*", NULL,
	  "bills and the choice of the cheapest version change" },
	{ "models/*", NULL, "the versions that take requests change" },
	{ "zones/*/state", "in",
	  "upstreams of the zone get new work, in a ramp" },
	{ "zones/*/state", "out",
	  "upstreams of the zone get no new work; open streams finish" },
	{ "zones/*", NULL, "the upstreams that are near a host change" },
	{ "upstreams/*/state", "leaving",
	  "the upstream gets no new work; open streams finish" },
	{ "upstreams/*/state", "live", "the upstream gets new work" },
	{ "upstreams/*/address", NULL, "requests go to the new address" },
	{ "upstreams/*/port", NULL, "requests go to the new port" },
	{ "upstreams/*/zone", NULL,
	  "the hosts that prefer the upstream change" },
	{ "upstreams/*/serves", NULL,
	  "the versions or services that the upstream gets requests of "
	  "change" },
	{ "upstreams/*slots", NULL,
	  "the number of requests that the upstream works on changes" },
	{ "upstreams/*", NULL, "the requests that the upstream gets change" },
	{ "workspaces/*/keys", NULL,
	  "requests with added keys are accepted, with removed ones refused" },
	{ "workspaces/*/weight", NULL,
	  "the workspace's share of short capacity changes" },
	{ "workspaces/*", NULL, "whose requests are accepted changes" },
	{ "services/*", NULL,
	  "the operations that may run more than once change" },
	{ "exceptions/*/reason", NULL, "none" },
	{ "exceptions/*/models", NULL,
	  "the models that the workspace may use change" },
	{ "exceptions/*", NULL,
	  "the limits or objectives of the workspace change" },
	{ "defaults/models", NULL,
	  "the models that workspaces without an exception may use change" },
	{ "defaults/limits/*", NULL,
	  "requests of workspaces above the new limit are refused" },
	{ "defaults/exposure_per_s", NULL,
	  "roll-outs send more or fewer requests to unproven versions" },
	{ "defaults/rollout_hold_s", NULL, "the steps of roll-outs change" },
	{ "defaults/*", NULL,
	  "the choice of models and upstreams, and alarms, change" },
	{ "format", NULL, "hosts refuse formats that they don't know" },
};

int pr_fleet_effects(pr_changes_t *changes)
{
	for (unsigned int i = 0; i < changes->count; i++) {
		pr_change_t *change = &changes->items[i];
		const char *after = change->after ? change->after : "";
		const char *effect = "not known";

		for (size_t j = 0; j < sizeof(rules) / sizeof(rules[0]); j++) {
			if (fnmatch(rules[j].pattern, change->path, 0) != 0 ||
			    (rules[j].after &&
			     strcmp(rules[j].after, after) != 0))
				continue;
			effect = rules[j].effect;
			break;
		}
		free(change->effect);
		change->effect = strdup(effect);
		if (!change->effect)
			return PR_ENOMEM;
	}
	return 0;
}
