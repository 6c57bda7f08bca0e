/* Check whether a workspace may use a model version. */
#include "pistachiorack/policy.h"

pr_policy_permission_t pr_policy_permitted(const pr_fleet_t *fleet,
					   pr_slice_t workspace,
					   pr_slice_t model, pr_slice_t version,
					   pr_policy_basis_t basis,
					   bool confirmed)
{
	const pr_model_t *found;
	const pr_version_t *entry;

	if (!pr_fleet_workspace(fleet, workspace))
		return PR_FORBIDDEN_WORKSPACE;
	if (!pr_fleet_model_allowed(fleet, workspace, model))
		return PR_FORBIDDEN_MODEL;
	found = pr_fleet_model(fleet, model);
	entry = found ? pr_model_version(found, version) : NULL;
	if (!entry)
		return PR_FORBIDDEN_UNKNOWN;
	switch (entry->state) {
	case PR_VERSION_PROVEN:
		return PR_PERMITTED;
	case PR_VERSION_ROLLING:
		if (basis == PR_BASIS_SESSION)
			return PR_PERMITTED;
		if (basis == PR_BASIS_DRAW)
			return confirmed ? PR_PERMITTED
					 : PR_FORBIDDEN_UNCONFIRMED;
		return PR_FORBIDDEN_UNPROVEN;
	case PR_VERSION_HALTED:
		return basis == PR_BASIS_SESSION ? PR_PERMITTED
						 : PR_FORBIDDEN_UNPROVEN;
	case PR_VERSION_WITHDRAWN:
		break;
	}
	return PR_FORBIDDEN_WITHDRAWN;
}

const char *pr_policy_permission_name(pr_policy_permission_t permission)
{
	static const char *const names[] = {
		[PR_PERMITTED] = "permitted",
		[PR_FORBIDDEN_WORKSPACE] = "workspace_unknown",
		[PR_FORBIDDEN_MODEL] = "model_not_allowed",
		[PR_FORBIDDEN_UNKNOWN] = "version_unknown",
		[PR_FORBIDDEN_WITHDRAWN] = "version_withdrawn",
		[PR_FORBIDDEN_UNPROVEN] = "version_unproven",
		[PR_FORBIDDEN_UNCONFIRMED] = "configuration_unconfirmed",
	};

	return names[permission];
}
