/* The semantic check of a fleet configuration. */
#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "config/tree.h"
#include "pistachiorack/error.h"

/* A thousandth of a unit per token; above it a price is a slip of the pen. */
#define PRICE_MAX 1000000000u

typedef struct check_t {
	const pr_fleet_t *fleet;
	const pr_tree_t *tree;
	pr_findings_t *out;
	/* Path of the part that is being checked. */
	char path[96];
	bool failed;
} check_t;

/* Add a finding for a field of the part at check->path. */
static void add(check_t *check, pr_finding_level_t level, const char *field,
		const char *fmt, ...) __attribute__((format(printf, 4, 5)));

static void add(check_t *check, pr_finding_level_t level, const char *field,
		const char *fmt, ...)
{
	char path[sizeof(check->out->items->path)];
	char text[sizeof(check->out->items->text)];
	va_list args;

	snprintf(path, sizeof(path), "%s%s%s", check->path,
		 *check->path && *field && *field != '[' ? "." : "", field);
	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	if (pr_findings_add(check->out, level, path, NULL, "%s", text)) {
		check->failed = true;
		return;
	}
	check->out->items[check->out->count - 1].line =
		pr_tree_line(check->tree, path);
}

#define ERROR(check, field, ...)                                               \
	add(check, PR_FINDING_ERROR, field, __VA_ARGS__)
#define WARN(check, field, ...)                                                \
	add(check, PR_FINDING_WARNING, field, __VA_ARGS__)

static void at(check_t *check, const char *list, unsigned int index)
{
	snprintf(check->path, sizeof(check->path), "%s[%u]", list, index);
}

/*
 * Reports each name that an earlier entry has. The names start at `first` and
 * are `stride` bytes apart.
 */
static void check_names(check_t *check, const char *list, const char *field,
			const void *first, unsigned int count, size_t stride)
{
	const char *base = first;

	for (unsigned int i = 1; i < count; i++) {
		const char *name = *(char *const *)(base + i * stride);

		for (unsigned int j = 0; j < i; j++) {
			char place[64];

			if (strcmp(name, *(char *const *)(base + j * stride)) !=
			    0)
				continue;
			snprintf(place, sizeof(place), "%s[%u].%s", list, i,
				 field);
			ERROR(check, place,
			      "'%s' is used twice; each %s must be unique",
			      name, field);
			break;
		}
	}
}

#define CHECK_NAMES(check, list, field, items, count)                          \
	do {                                                                   \
		if (count)                                                     \
			check_names(check, list, #field, &(items)[0].field,    \
				    count, sizeof((items)[0]));                \
	} while (0)

static void check_unit(check_t *check, const char *field, double value)
{
	if (!(value >= 0 && value <= 1))
		ERROR(check, field, "%g is outside 0..1", value);
}

static void check_model_list(check_t *check, char *const *models,
			     unsigned int count)
{
	for (unsigned int i = 0; i < count; i++) {
		char field[32];

		if (pr_fleet_model(check->fleet, pr_slice_of(models[i])))
			continue;
		snprintf(field, sizeof(field), "models[%u]", i);
		ERROR(check, field,
		      "model '%s' is unknown; allowed are names under models",
		      models[i]);
	}
}

static void check_defaults(check_t *check)
{
	const pr_defaults_t *defaults = &check->fleet->defaults;

	if (check->fleet->format != 1)
		ERROR(check, "format", "%u is unknown; allowed is 1",
		      check->fleet->format);
	snprintf(check->path, sizeof(check->path), "defaults");
	check_unit(check, "quality_target", defaults->quality_target);
	check_unit(check, "objective", defaults->objective);
	if (!defaults->first_token_ms)
		ERROR(check, "first_token_ms", "must be above 0");
	if (!defaults->between_tokens_ms)
		ERROR(check, "between_tokens_ms", "must be above 0");
	check_model_list(check, defaults->models, defaults->models_count);
}

static bool is_served(const pr_fleet_t *fleet, const char *model,
		      const char *version)
{
	char what[160];
	int len = snprintf(what, sizeof(what), "%s@%s", model, version);

	for (unsigned int i = 0; i < fleet->upstreams_count; i++)
		if (pr_upstream_serves(&fleet->upstreams[i],
				       pr_slice(what, (size_t)len)))
			return true;
	return false;
}

static void check_version(check_t *check, const pr_model_t *model,
			  const pr_version_t *version)
{
	bool works = version->state == PR_VERSION_PROVEN ||
		     version->state == PR_VERSION_ROLLING;

	if (version->share > PR_SHARE_FULL)
		ERROR(check, "share", "%u is outside 0..%d", version->share,
		      PR_SHARE_FULL);
	if (version->replaces && !strcmp(version->replaces, version->name))
		ERROR(check, "replaces", "version '%s' replaces itself",
		      version->name);
	else if (version->replaces &&
		 !pr_model_version(model, pr_slice_of(version->replaces)))
		ERROR(check, "replaces",
		      "version '%s' is unknown; allowed are versions of '%s'",
		      version->replaces, model->name);
	if (version->price_in > PRICE_MAX)
		ERROR(check, "price_in", "%u is outside 0..%u",
		      version->price_in, PRICE_MAX);
	if (version->price_out > PRICE_MAX)
		ERROR(check, "price_out", "%u is outside 0..%u",
		      version->price_out, PRICE_MAX);
	if (works && (!version->price_in || !version->price_out))
		WARN(check, "", "version '%s' has a price of 0", version->name);
	if (works && !is_served(check->fleet, model->name, version->name))
		ERROR(check, "",
		      "no upstream serves '%s@%s'; add it to an upstream's "
		      "list or set the state to halted or withdrawn",
		      model->name, version->name);
}

static void check_models(check_t *check)
{
	const pr_fleet_t *fleet = check->fleet;

	check->path[0] = '\0';
	CHECK_NAMES(check, "models", name, fleet->models, fleet->models_count);
	for (unsigned int i = 0; i < fleet->models_count; i++) {
		const pr_model_t *model = &fleet->models[i];
		uint64_t shares = 0;

		at(check, "models", i);
		if (!model->versions_count)
			ERROR(check, "versions", "model '%s' has no version",
			      model->name);
		CHECK_NAMES(check, "versions", name, model->versions,
			    model->versions_count);
		for (unsigned int j = 0; j < model->versions_count; j++) {
			const pr_version_t *version = &model->versions[j];

			snprintf(check->path, sizeof(check->path),
				 "models[%u].versions[%u]", i, j);
			check_version(check, model, version);
			if (version->state == PR_VERSION_ROLLING)
				shares += version->share;
		}
		at(check, "models", i);
		if (shares > PR_SHARE_FULL)
			ERROR(check, "versions",
			      "shares of rolling versions sum to %lu; at most "
			      "%d is allowed",
			      shares, PR_SHARE_FULL);
	}
}

static bool is_version(const pr_fleet_t *fleet, const char *what)
{
	const char *sign = strchr(what, '@');
	const pr_model_t *model;

	if (!sign)
		return false;
	model = pr_fleet_model(fleet, pr_slice(what, (size_t)(sign - what)));
	return model && pr_model_version(model, pr_slice_of(sign + 1));
}

static void check_upstream(check_t *check, const pr_upstream_t *upstream)
{
	const pr_fleet_t *fleet = check->fleet;

	if (!pr_fleet_zone(fleet, pr_slice_of(upstream->zone)))
		ERROR(check, "zone",
		      "zone '%s' is unknown; allowed are names under zones",
		      upstream->zone);
	if (!upstream->port)
		ERROR(check, "port", "0 is outside 1..65535");
	if (upstream->slots && upstream->cold_slots > upstream->slots)
		ERROR(check, "cold_slots", "%u is above slots, %u",
		      upstream->cold_slots, upstream->slots);
	for (unsigned int i = 0; i < upstream->serves_count; i++) {
		const char *what = upstream->serves[i];
		bool engine = upstream->kind == PR_UPSTREAM_ENGINE;
		char field[32];

		if (engine ? is_version(fleet, what)
			   : !!pr_fleet_service(fleet, pr_slice_of(what)))
			continue;
		snprintf(field, sizeof(field), "serves[%u]", i);
		ERROR(check, field, "'%s' is unknown; allowed are %s", what,
		      engine ? "model@version of a version under models"
			     : "names under services");
	}
}

static void check_upstreams(check_t *check)
{
	const pr_fleet_t *fleet = check->fleet;
	bool in = false;

	check->path[0] = '\0';
	CHECK_NAMES(check, "zones", name, fleet->zones, fleet->zones_count);
	for (unsigned int i = 0; i < fleet->zones_count; i++)
		in |= fleet->zones[i].state == PR_ZONE_IN;
	if (!in)
		WARN(check, "zones", "no zone is in service");
	CHECK_NAMES(check, "upstreams", name, fleet->upstreams,
		    fleet->upstreams_count);
	for (unsigned int i = 0; i < fleet->upstreams_count; i++) {
		const pr_upstream_t *upstream = &fleet->upstreams[i];

		at(check, "upstreams", i);
		check_upstream(check, upstream);
		for (unsigned int j = 0; j < i; j++) {
			const pr_upstream_t *other = &fleet->upstreams[j];

			if (other->port != upstream->port ||
			    strcmp(other->address, upstream->address) != 0)
				continue;
			ERROR(check, "address",
			      "%s:%u is the address of upstream '%s' too",
			      upstream->address, upstream->port, other->name);
			break;
		}
	}
}

/* @return the workspace before the given place that has the key too */
static const char *key_owner(const pr_fleet_t *fleet, unsigned int workspace,
			     unsigned int key)
{
	const char *wanted = fleet->workspaces[workspace].keys[key];

	for (unsigned int i = 0; i <= workspace; i++) {
		const pr_workspace_t *other = &fleet->workspaces[i];
		unsigned int count = i == workspace ? key : other->keys_count;

		for (unsigned int j = 0; j < count; j++)
			if (!strcmp(other->keys[j], wanted))
				return other->name;
	}
	return NULL;
}

static void check_workspaces(check_t *check)
{
	const pr_fleet_t *fleet = check->fleet;

	check->path[0] = '\0';
	CHECK_NAMES(check, "workspaces", name, fleet->workspaces,
		    fleet->workspaces_count);
	for (unsigned int i = 0; i < fleet->workspaces_count; i++) {
		const pr_workspace_t *workspace = &fleet->workspaces[i];

		at(check, "workspaces", i);
		for (unsigned int j = 0; j < workspace->keys_count; j++) {
			const char *owner = key_owner(fleet, i, j);
			const char *key = workspace->keys[j];
			char field[32];

			snprintf(field, sizeof(field), "keys[%u]", j);
			if (owner)
				ERROR(check, field,
				      "the key is used twice; workspace '%s' "
				      "has it too",
				      owner);
			if (key[strspn(key, "0123456789abcdef")])
				ERROR(check, field,
				      "must be a SHA-256 hash in lower-case "
				      "hexadecimal");
		}
	}
}

static void check_services(check_t *check)
{
	const pr_fleet_t *fleet = check->fleet;

	check->path[0] = '\0';
	CHECK_NAMES(check, "services", name, fleet->services,
		    fleet->services_count);
	for (unsigned int i = 0; i < fleet->services_count; i++) {
		at(check, "services", i);
		CHECK_NAMES(check, "operations", name,
			    fleet->services[i].operations,
			    fleet->services[i].operations_count);
	}
}

static void check_exceptions(check_t *check)
{
	const pr_fleet_t *fleet = check->fleet;

	check->path[0] = '\0';
	CHECK_NAMES(check, "exceptions", workspace, fleet->exceptions,
		    fleet->exceptions_count);
	for (unsigned int i = 0; i < fleet->exceptions_count; i++) {
		const pr_exception_t *exception = &fleet->exceptions[i];
		const char *reason = exception->reason;

		at(check, "exceptions", i);
		if (!pr_fleet_workspace(fleet,
					pr_slice_of(exception->workspace)))
			ERROR(check, "workspace",
			      "workspace '%s' is unknown; allowed are names "
			      "under workspaces",
			      exception->workspace);
		if (!reason[strspn(reason, " \t\r\n")])
			ERROR(check, "reason",
			      "is empty; state why the exception exists");
		check_unit(check, "quality_target", exception->quality_target);
		check_model_list(check, exception->models,
				 exception->models_count);
	}
}

int pr_fleet_check(pr_findings_t *out, const pr_fleet_t *fleet, pr_slice_t text)
{
	pr_tree_t *tree = text.len ? pr_tree_load(text) : NULL;
	check_t check = { .fleet = fleet, .tree = tree, .out = out };

	check_defaults(&check);
	check_models(&check);
	check_upstreams(&check);
	check_workspaces(&check);
	check_services(&check);
	check_exceptions(&check);
	pr_tree_free(tree);
	if (check.failed)
		return PR_ENOMEM;
	if (out->errors)
		return pr_error_set(PR_EINVALID, "%u errors; the first: %s: %s",
				    out->errors, out->items[0].path,
				    out->items[0].text);
	return 0;
}
