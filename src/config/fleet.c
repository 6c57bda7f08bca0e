/*
 * Look-ups in the fleet configuration. Lists are short (at most hundreds of
 * entries), so a linear search is enough; callers on the request path keep
 * what they looked up.
 */
#include "pistachiorack/config.h"

#include <string.h>

static bool is_name(const char *name, pr_slice_t wanted)
{
	return pr_slice_equal(pr_slice_of(name), wanted);
}

/* Defines a look-up of an entry by name in one of the document's lists. */
#define DEFINE_LOOKUP(function, owner_type, entry_type, list, field)           \
	const entry_type *function(const owner_type *owner, pr_slice_t wanted) \
	{                                                                      \
		for (unsigned int i = 0; i < owner->list##_count; i++)         \
			if (is_name(owner->list[i].field, wanted))             \
				return &owner->list[i];                        \
		return NULL;                                                   \
	}

DEFINE_LOOKUP(pr_fleet_model, pr_fleet_t, pr_model_t, models, name)
DEFINE_LOOKUP(pr_model_version, pr_model_t, pr_version_t, versions, name)
DEFINE_LOOKUP(pr_fleet_zone, pr_fleet_t, pr_zone_t, zones, name)
DEFINE_LOOKUP(pr_fleet_workspace, pr_fleet_t, pr_workspace_t, workspaces, name)
DEFINE_LOOKUP(pr_fleet_exception, pr_fleet_t, pr_exception_t, exceptions,
	      workspace)
DEFINE_LOOKUP(pr_fleet_service, pr_fleet_t, pr_service_t, services, name)
DEFINE_LOOKUP(pr_service_operation, pr_service_t, pr_operation_t, operations,
	      name)

static bool list_has(char *const *list, unsigned int count, pr_slice_t wanted)
{
	for (unsigned int i = 0; i < count; i++)
		if (is_name(list[i], wanted))
			return true;
	return false;
}

bool pr_upstream_serves(const pr_upstream_t *upstream, pr_slice_t what)
{
	return list_has(upstream->serves, upstream->serves_count, what);
}

bool pr_fleet_upstream_usable(const pr_fleet_t *fleet,
			      const pr_upstream_t *upstream)
{
	const pr_zone_t *zone =
		pr_fleet_zone(fleet, pr_slice_of(upstream->zone));

	return upstream->state == PR_UPSTREAM_LIVE && zone &&
	       zone->state == PR_ZONE_IN;
}

bool pr_fleet_model_allowed(const pr_fleet_t *fleet, pr_slice_t workspace,
			    pr_slice_t model)
{
	const pr_exception_t *exception = pr_fleet_exception(fleet, workspace);

	if (!pr_fleet_model(fleet, model))
		return false;
	if (exception && exception->models_count)
		return list_has(exception->models, exception->models_count,
				model);
	return list_has(fleet->defaults.models, fleet->defaults.models_count,
			model);
}
