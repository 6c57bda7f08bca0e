/* Entries of a fleet configuration that can never take traffic, and values that
 * contradict each other. */
#include <stdio.h>

#include "pistachiorack/config.h"
#include "pistachiorack/error.h"

typedef struct review_t {
	const pr_fleet_t *fleet;
	pr_findings_t *out;
	char path[96];
	bool failed;
} review_t;

#define WARN(review, effect, ...)                                              \
	do {                                                                   \
		if (pr_findings_add((review)->out, PR_FINDING_WARNING,         \
				    (review)->path, effect, __VA_ARGS__))      \
			(review)->failed = true;                               \
	} while (0)

#define AT(review, ...)                                                        \
	snprintf((review)->path, sizeof((review)->path), __VA_ARGS__)

static void check_listed_twice(review_t *review, const char *list,
			       char *const *names, unsigned int count)
{
	for (unsigned int i = 1; i < count; i++)
		for (unsigned int j = 0; j < i; j++) {
			if (strcmp(names[i], names[j]) != 0)
				continue;
			AT(review, "%s[%u]", list, i);
			WARN(review, "the second entry has no use",
			     "'%s' is listed twice", names[i]);
			break;
		}
}

static bool takes_sessions(const pr_version_t *version)
{
	return version->state == PR_VERSION_PROVEN ||
	       (version->state == PR_VERSION_ROLLING && version->share);
}

/* @return true when an upstream that may get new work serves it */
static bool is_usable(const pr_fleet_t *fleet, pr_slice_t what)
{
	for (unsigned int i = 0; i < fleet->upstreams_count; i++)
		if (pr_upstream_serves(&fleet->upstreams[i], what) &&
		    pr_fleet_upstream_usable(fleet, &fleet->upstreams[i]))
			return true;
	return false;
}

static bool is_allowed_to_any(const pr_fleet_t *fleet, pr_slice_t model)
{
	if (pr_fleet_model_allowed(fleet, PR_SLICE(""), model))
		return true;
	for (unsigned int i = 0; i < fleet->exceptions_count; i++)
		if (pr_fleet_model_allowed(
			    fleet, pr_slice_of(fleet->exceptions[i].workspace),
			    model))
			return true;
	return false;
}

static void check_version(review_t *review, const pr_model_t *model,
			  const pr_version_t *version)
{
	const pr_version_t *replaced =
		version->replaces
			? pr_model_version(model,
					   pr_slice_of(version->replaces))
			: NULL;
	pr_str_t what = PR_STR_INIT;

	if (version->state == PR_VERSION_ROLLING && !version->share)
		WARN(review, "the version gets no new sessions",
		     "version '%s' is rolling with a share of 0",
		     version->name);
	if (version->state == PR_VERSION_ROLLING && replaced &&
	    replaced->state != PR_VERSION_PROVEN)
		WARN(review, "there is no proven version to go back to",
		     "version '%s' replaces '%s', which is not proven",
		     version->name, replaced->name);
	if (pr_str_appendf(&what, "%s@%s", model->name, version->name))
		review->failed = true;
	else if (takes_sessions(version) &&
		 !is_usable(review->fleet, pr_str_slice(&what)))
		WARN(review, "its requests find no upstream and are refused",
		     "all upstreams of '%s' are leaving or in zones out of "
		     "service",
		     pr_str_cstr(&what));
	pr_str_finish(&what);
}

static void check_models(review_t *review)
{
	const pr_fleet_t *fleet = review->fleet;

	for (unsigned int i = 0; i < fleet->models_count; i++) {
		const pr_model_t *model = &fleet->models[i];
		bool serves = false;

		for (unsigned int j = 0; j < model->versions_count; j++) {
			AT(review, "models[%u].versions[%u]", i, j);
			check_version(review, model, &model->versions[j]);
			serves |= takes_sessions(&model->versions[j]);
		}
		AT(review, "models[%u]", i);
		if (!serves)
			WARN(review, "requests for the model are refused",
			     "no version of '%s' takes new sessions",
			     model->name);
		if (!is_allowed_to_any(fleet, pr_slice_of(model->name)))
			WARN(review, "no request can use the model",
			     "'%s' is allowed neither by defaults nor by an "
			     "exception",
			     model->name);
	}
	check_listed_twice(review, "defaults.models", fleet->defaults.models,
			   fleet->defaults.models_count);
}

static void check_upstreams(review_t *review)
{
	const pr_fleet_t *fleet = review->fleet;
	char list[64];

	for (unsigned int i = 0; i < fleet->upstreams_count; i++) {
		const pr_upstream_t *upstream = &fleet->upstreams[i];

		AT(review, "upstreams[%u].serves", i);
		if (!upstream->serves_count)
			WARN(review, "the upstream gets no requests",
			     "'%s' serves nothing", upstream->name);
		snprintf(list, sizeof(list), "upstreams[%u].serves", i);
		check_listed_twice(review, list, upstream->serves,
				   upstream->serves_count);
	}
	for (unsigned int i = 0; i < fleet->zones_count; i++) {
		bool used = false;

		for (unsigned int j = 0; j < fleet->upstreams_count; j++)
			used |= !strcmp(fleet->upstreams[j].zone,
					fleet->zones[i].name);
		AT(review, "zones[%u]", i);
		if (!used)
			WARN(review, NULL, "no upstream is in zone '%s'",
			     fleet->zones[i].name);
	}
}

static void check_services(review_t *review)
{
	const pr_fleet_t *fleet = review->fleet;

	for (unsigned int i = 0; i < fleet->services_count; i++) {
		const char *name = fleet->services[i].name;

		AT(review, "services[%u]", i);
		if (!is_usable(fleet, pr_slice_of(name)))
			WARN(review, "its requests are refused",
			     "no upstream that may get work serves '%s'", name);
	}
}

static void check_workspaces(review_t *review)
{
	const pr_fleet_t *fleet = review->fleet;

	for (unsigned int i = 0; i < fleet->workspaces_count; i++) {
		AT(review, "workspaces[%u].keys", i);
		if (!fleet->workspaces[i].keys_count)
			WARN(review, "no request can belong to it",
			     "workspace '%s' has no key",
			     fleet->workspaces[i].name);
	}
}

/* Sum of the slots, or 0 when an upstream does not state its own. */
static uint64_t all_slots(const pr_fleet_t *fleet)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < fleet->upstreams_count; i++) {
		if (!fleet->upstreams[i].slots)
			return 0;
		sum += fleet->upstreams[i].slots;
	}
	return sum;
}

static void check_limits(review_t *review, const char *path,
			 const pr_limits_t *limits)
{
	uint64_t slots = all_slots(review->fleet);

	AT(review, "%s.in_flight", path);
	if (slots && limits->in_flight > slots)
		WARN(review, "the limit is never reached",
		     "%u is above the slots of all upstreams, %llu",
		     limits->in_flight, (unsigned long long)slots);
}

static void check_exceptions(review_t *review)
{
	const pr_fleet_t *fleet = review->fleet;
	char path[64];

	check_limits(review, "defaults.limits", &fleet->defaults.limits);
	for (unsigned int i = 0; i < fleet->exceptions_count; i++) {
		const pr_exception_t *exception = &fleet->exceptions[i];

		AT(review, "exceptions[%u]", i);
		if (!exception->models_count && !exception->limits &&
		    exception->quality_target <= 0)
			WARN(review, "the defaults hold for the workspace",
			     "the exception for '%s' changes nothing",
			     exception->workspace);
		snprintf(path, sizeof(path), "exceptions[%u].limits", i);
		if (exception->limits)
			check_limits(review, path, exception->limits);
		snprintf(path, sizeof(path), "exceptions[%u].models", i);
		check_listed_twice(review, path, exception->models,
				   exception->models_count);
	}
}

int pr_fleet_review(pr_findings_t *out, const pr_fleet_t *fleet)
{
	review_t review = { .fleet = fleet, .out = out };

	check_models(&review);
	check_upstreams(&review);
	check_services(&review);
	check_workspaces(&review);
	check_exceptions(&review);
	return review.failed ? PR_ENOMEM : 0;
}
