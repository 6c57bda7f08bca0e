/* Checks of the operator's document of the platform. */
#include "ctl/routing.h"

#include <stdlib.h>

#include "edge/settings.h"
#include "pistachiorack/error.h"
#include "platform/adapter.h"
#include "routing/review.h"

struct ctl_deployment_t {
	double repeats_ratio;
	pr_names_t regions;
};

int ctl_deployment_load(ctl_deployment_t **out, const char *path)
{
	ctl_deployment_t *deployment = calloc(1, sizeof(*deployment));
	pr_edge_settings_t *settings = NULL;
	int rc =
		deployment ? pr_edge_settings_load(&settings, path) : PR_ENOMEM;

	if (!rc) {
		deployment->repeats_ratio = settings->bounds.repeats_ratio;
		for (unsigned int i = 0; i < settings->zones_count && !rc; i++)
			rc = pr_names_add(&deployment->regions,
					  settings->zones[i].region);
	}
	pr_edge_settings_free(settings);
	if (rc) {
		ctl_deployment_free(deployment);
		deployment = NULL;
	}
	*out = deployment;
	return rc;
}

void ctl_deployment_free(ctl_deployment_t *deployment)
{
	if (!deployment)
		return;
	for (size_t i = 0; i < deployment->regions.count; i++)
		free(deployment->regions.items[i]);
	free((void *)deployment->regions.items);
	free(deployment);
}

static pr_review_input_t input_of(const ctl_deployment_t *deployment)
{
	pr_review_input_t input = { .names = pr_adapter_part_names() };

	if (deployment) {
		input.has_repeat_budget = true;
		input.repeats_ratio = deployment->repeats_ratio;
		input.regions = &deployment->regions;
	}
	return input;
}

int ctl_routing_check(pr_findings_t *out, pr_slice_t text,
		      const ctl_deployment_t *deployment)
{
	pr_review_input_t input = input_of(deployment);
	pr_routing_t *routing = NULL;
	int rc = pr_adapter_routing_check(out, text);

	if (!rc)
		rc = pr_adapter_routing(&routing, text);
	if (!rc)
		rc = pr_routing_review(out, routing, &input);
	pr_routing_unref(routing);
	pr_findings_locate(out, text);
	return rc;
}

bool ctl_routing_is_readable(pr_slice_t text)
{
	pr_routing_t *routing;

	if (pr_adapter_routing(&routing, text))
		return false;
	pr_routing_unref(routing);
	return true;
}

int ctl_routing_compare(pr_changes_t *out, pr_findings_t *findings,
			pr_slice_t before, pr_slice_t after)
{
	pr_review_input_t input = input_of(NULL);
	pr_routing_t *old = NULL, *new = NULL;
	int rc = pr_adapter_routing(&old, before);

	if (!rc)
		rc = pr_adapter_routing(&new, after);
	if (!rc)
		rc = pr_routing_compare(out, findings, old, new, &input);
	pr_routing_unref(old);
	pr_routing_unref(new);
	pr_findings_locate(findings, after);
	return rc;
}

int ctl_routing_in_force(pr_str_t *out, pr_slice_t answer)
{
	pr_store_rows_t rows;
	pr_slice_t subject;
	int rc = pr_adapter_store_rows(&rows, 0, answer);

	if (rc)
		return rc;
	rc = pr_error_set(PR_ENOTFOUND, "the store has no document in force");
	for (size_t i = 0; i < rows.count; i++) {
		const pr_store_row_t *row = &rows.rows[i];

		if (pr_adapter_order(pr_slice_of(row->key), &subject) !=
			    PR_ORDER_ROUTING ||
		    row->removed)
			continue;
		rc = pr_str_append(out, row->value.ptr, row->value.len);
		break;
	}
	pr_store_rows_finish(&rows);
	return rc;
}

int ctl_routing_in_force_path(pr_str_t *out)
{
	pr_str_t call = PR_STR_INIT;
	pr_slice_t row = pr_adapter_routing_key();
	int rc = pr_adapter_store_read(&call, PR_TABLE_ORDERS, row);
	const char *begin, *end;

	if (!rc) {
		begin = strchr(pr_str_cstr(&call), ' ') + 1;
		end = strchr(begin, ' ');
		rc = pr_str_append(out, begin, (size_t)(end - begin));
	}
	pr_str_finish(&call);
	return rc;
}
