/* Differences between two routing documents and what they do to traffic. */
#include <stdio.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "routing/review.h"

typedef struct compare_t {
	const pr_routing_t *before, *after;
	const pr_review_input_t *input;
	pr_changes_t *out;
	pr_findings_t *findings;
	/** Path of the entry that is being compared. */
	pr_str_t path;
	bool failed;
} compare_t;

/* A field and what a higher and a lower, or any other, value does. */
typedef struct field_t {
	pr_part_t part;
	const char *up, *down;
} field_t;

static const field_t route_fields[] = {
	{ PR_PART_HOST, "requests of the old host name no longer match", NULL },
	{ PR_PART_PREFIX, "requests of the old prefix no longer match", NULL },
	{ PR_PART_KIND,
	  "whether requests may run more than once, or are streams, changes",
	  NULL },
	{ PR_PART_TIMEOUT, "requests may take longer before they end with 504",
	  "requests end with 504 earlier" },
	{ PR_PART_TARGET,
	  "upstreams may be slower; attempts are given up later",
	  "slow upstreams are avoided and attempts are given up earlier" },
	{ PR_PART_GAP, "longer pauses of streams count as on time",
	  "shorter pauses of streams count as late; streams move earlier" },
	{ PR_PART_PRIORITY, "requests are refused earlier under load",
	  "requests go before others under load" },
	{ PR_PART_MAX_UPSTREAMS,
	  "more repeats, which draw on the repeat budget",
	  "fewer repeats; more failures reach callers" },
	{ PR_PART_ANONYMOUS, "whether requests need a key changes", NULL },
	{ PR_PART_AFFINITY,
	  "whether upstreams that hold a prompt are preferred changes", NULL },
	{ PR_PART_RESUMABLE,
	  "whether broken streams go on at another upstream changes", NULL },
	{ PR_PART_SPLITS, "requests move between services", NULL },
	{ PR_PART_REGIONS, "the regions that may serve the requests change",
	  NULL },
	{ PR_PART_MODELS, "the models that the router may pick change", NULL },
};

static const field_t service_fields[] = {
	{ PR_PART_MAX_CONNECTIONS, "hosts may open more connections",
	  "hosts open fewer connections; requests wait earlier" },
	{ PR_PART_COLD_TIME, "new upstreams are loaded slowly for longer",
	  "new upstreams get full load earlier" },
	{ PR_PART_COLD_RATE, "new upstreams get more requests",
	  "new upstreams get fewer requests" },
};

static const field_t workspace_fields[] = {
	{ PR_PART_PRIORITY, "its requests are refused earlier under load",
	  "its requests go before others under load" },
	{ PR_PART_REGIONS, "the regions that may serve its requests change",
	  NULL },
};

static const field_t limit_fields[] = {
	{ PR_PART_HEADER_BYTES, "longer heads are accepted",
	  "longer heads are refused" },
	{ PR_PART_BODY_BYTES, "larger bodies are accepted; hosts hold more",
	  "larger bodies are refused with 413" },
	{ PR_PART_HEADER_TIME, "slow callers may keep connections for longer",
	  "slow callers are disconnected earlier" },
	{ PR_PART_IDLE_TIME, "idle connections stay open for longer",
	  "idle connections are closed earlier" },
};

#define COUNT_OF(list) (sizeof(list) / sizeof((list)[0]))

static int print_count(pr_str_t *out, uint32_t value)
{
	return pr_str_appendf(out, "%u", value);
}

static int print_flag(pr_str_t *out, bool value)
{
	return pr_str_appendf(out, "%s", value ? "true" : "false");
}

static int print_names(pr_str_t *out, const pr_names_t *names, const char *none)
{
	int rc = names->count ? 0 : pr_str_appendf(out, "%s", none);

	for (size_t i = 0; i < names->count && !rc; i++)
		rc = pr_str_appendf(out, "%s%s", i ? ", " : "",
				    names->items[i]);
	return rc;
}

static int print_splits(pr_str_t *out, const pr_route_t *route)
{
	uint64_t total = 0;
	int rc = 0;

	for (size_t i = 0; i < route->splits_count; i++)
		total += route->splits[i].weight;
	for (size_t i = 0; i < route->splits_count && !rc; i++)
		rc = pr_str_appendf(out, "%s%s %.4g%%", i ? ", " : "",
				    route->splits[i].service,
				    total ? 100.0 * route->splits[i].weight /
						    (double)total
					  : 0.0);
	return rc;
}

static int print_kind(pr_str_t *out, pr_call_kind_t kind)
{
	static const char *const words[] = {
		[PR_CALL_REPEATABLE] = "repeatable",
		[PR_CALL_ONCE] = "at most once",
		[PR_CALL_STREAM] = "stream",
	};

	return pr_str_appendf(out, "%s", words[kind]);
}

static int print_route(pr_str_t *out, const void *entry, pr_part_t part)
{
	const pr_route_t *route = entry;

	switch (part) {
	case PR_PART_HOST:
		return pr_str_appendf(out, "%s", route->host);
	case PR_PART_PREFIX:
		return pr_str_appendf(out, "%s", route->prefix);
	case PR_PART_KIND:
		return print_kind(out, route->kind);
	case PR_PART_TIMEOUT:
		return print_count(out, route->timeout_ms);
	case PR_PART_TARGET:
		return print_count(out, route->target_ms);
	case PR_PART_GAP:
		return print_count(out, route->gap_ms);
	case PR_PART_PRIORITY:
		return print_count(out, route->priority);
	case PR_PART_MAX_UPSTREAMS:
		return print_count(out, route->max_upstreams);
	case PR_PART_ANONYMOUS:
		return print_flag(out, route->anonymous);
	case PR_PART_AFFINITY:
		return print_flag(out, route->affinity);
	case PR_PART_RESUMABLE:
		return print_flag(out, route->resumable);
	case PR_PART_SPLITS:
		return print_splits(out, route);
	case PR_PART_REGIONS:
		return print_names(out, &route->regions, "all");
	case PR_PART_MODELS:
		return print_names(out, &route->models, "none");
	default:
		return 0;
	}
}

static int print_service(pr_str_t *out, const void *entry, pr_part_t part)
{
	const pr_service_t *service = entry;

	switch (part) {
	case PR_PART_MAX_CONNECTIONS:
		return print_count(out, service->max_connections);
	case PR_PART_COLD_TIME:
		return pr_str_appendf(out, "%.10g", service->cold_ms / 1000.0);
	case PR_PART_COLD_RATE:
		return pr_str_appendf(out, "%.10g", service->cold_per_s);
	default:
		return 0;
	}
}

static int print_workspace(pr_str_t *out, const void *entry, pr_part_t part)
{
	const pr_workspace_t *workspace = entry;

	if (part == PR_PART_REGIONS)
		return print_names(out, &workspace->regions, "all");
	if (workspace->priority == PR_PRIORITY_UNSET)
		return pr_str_appendf(out, "of the route");
	return print_count(out, workspace->priority);
}

static int print_limit(pr_str_t *out, const void *entry, pr_part_t part)
{
	const pr_caller_limits_t *limits = entry;

	switch (part) {
	case PR_PART_HEADER_BYTES:
		return print_count(out, limits->header_bytes);
	case PR_PART_BODY_BYTES:
		return print_count(out, limits->body_bytes);
	case PR_PART_HEADER_TIME:
		return print_count(out, limits->header_ms);
	default:
		return print_count(out, limits->idle_ms);
	}
}

static void add(compare_t *compare, const char *field, const char *before,
		const char *after, const char *effect)
{
	pr_str_t path = PR_STR_INIT;

	if (pr_str_appendf(&path, "%s%s%s", pr_str_cstr(&compare->path),
			   *field ? "/" : "", field) ||
	    pr_changes_add(compare->out, pr_str_cstr(&path), before, after,
			   effect))
		compare->failed = true;
	pr_str_finish(&path);
}

/* 0 of these values stands for none or a default, not for the least. */
static bool zero_is_special(pr_part_t part)
{
	return part != PR_PART_PRIORITY && part != PR_PART_COLD_TIME;
}

static const char *effect_of(const field_t *field, const char *before,
			     const char *after)
{
	char *end_before, *end_after;
	double old = strtod(before, &end_before);
	double new = strtod(after, &end_after);

	if (!field->down)
		return field->up;
	if (*end_before || *end_after)
		return "the order of its requests under load changes";
	if (zero_is_special(field->part) && new <= 0)
		return "0 stands for no limit, or for the default of hosts";
	if (zero_is_special(field->part) && old <= 0)
		return "replaces no limit, or the default of hosts";
	return new > old ? field->up : field->down;
}

typedef int (*print_t)(pr_str_t *out, const void *entry, pr_part_t part);

static void compare_fields(compare_t *compare, const field_t *fields,
			   size_t count, print_t print, const void *before,
			   const void *after)
{
	for (size_t i = 0; i < count; i++) {
		pr_str_t old = PR_STR_INIT, new = PR_STR_INIT;
		const field_t *field = &fields[i];

		if (print(&old, before, field->part) ||
		    print(&new, after, field->part))
			compare->failed = true;
		else if (strcmp(pr_str_cstr(&old), pr_str_cstr(&new)) != 0)
			add(compare, compare->input->names[field->part],
			    pr_str_cstr(&old), pr_str_cstr(&new),
			    effect_of(field, pr_str_cstr(&old),
				      pr_str_cstr(&new)));
		pr_str_finish(&old);
		pr_str_finish(&new);
	}
}

/* Names of routes, services and workspaces are the first member of each. */
typedef struct list_t {
	const char *items;
	size_t stride, count;
} list_t;

static const char *name_at(const list_t *list, size_t index)
{
	return *(char *const *)(list->items + index * list->stride);
}

/*
 * Entry of the other list with the same name. Of names that are used twice the
 * first goes with the first, so that a document does not differ from itself.
 */
static const void *same_entry(const list_t *list, size_t index,
			      const list_t *other)
{
	const char *name = name_at(list, index);
	size_t earlier = 0;

	for (size_t i = 0; i < index; i++)
		earlier += !strcmp(name_at(list, i), name);
	for (size_t i = 0; i < other->count; i++)
		if (!strcmp(name_at(other, i), name) && !earlier--)
			return other->items + i * other->stride;
	return NULL;
}

/* Actions on an entry that is in one document only, or in both. */
typedef struct entry_ops_t {
	void (*removed)(compare_t *compare, const void *before);
	void (*added)(compare_t *compare, const void *after);
	void (*kept)(compare_t *compare, const void *before, const void *after);
} entry_ops_t;

static void enter(compare_t *compare, pr_part_t list, const char *name)
{
	pr_str_clear(&compare->path);
	if (pr_str_appendf(&compare->path, "%s/%s", compare->input->names[list],
			   name))
		compare->failed = true;
}

static void compare_lists(compare_t *compare, pr_part_t part,
			  const list_t *before, const list_t *after,
			  const entry_ops_t *ops)
{
	for (size_t i = 0; i < before->count; i++) {
		const void *entry = before->items + i * before->stride;
		const void *same = same_entry(before, i, after);

		enter(compare, part, name_at(before, i));
		if (same)
			ops->kept(compare, entry, same);
		else
			ops->removed(compare, entry);
	}
	for (size_t i = 0; i < after->count; i++) {
		if (same_entry(after, i, before))
			continue;
		enter(compare, part, name_at(after, i));
		ops->added(compare, after->items + i * after->stride);
	}
}

static void describe_route(pr_str_t *out, const pr_route_t *route)
{
	if (!pr_str_appendf(out, "%s%s to ", route->host, route->prefix))
		print_splits(out, route);
}

static const pr_route_t *taker(const pr_routing_t *routing,
			       const pr_route_t *route)
{
	return pr_routing_match(routing, pr_slice_of(route->host),
				pr_slice_of(route->prefix));
}

static void route_removed(compare_t *compare, const void *before)
{
	const pr_route_t *next = taker(compare->after, before);
	pr_str_t value = PR_STR_INIT, effect = PR_STR_INIT;

	describe_route(&value, before);
	if (next)
		pr_str_appendf(&effect, "its requests take route '%s'",
			       next->name);
	else
		pr_str_appendf(&effect, "its requests are answered with 404");
	add(compare, "", pr_str_cstr(&value), NULL, pr_str_cstr(&effect));
	pr_str_finish(&value);
	pr_str_finish(&effect);
}

static void route_added(compare_t *compare, const void *after)
{
	const pr_route_t *earlier = taker(compare->before, after);
	pr_str_t value = PR_STR_INIT, effect = PR_STR_INIT;

	describe_route(&value, after);
	if (taker(compare->after, after) != after)
		pr_str_appendf(&effect, "none: the route never matches");
	else if (earlier)
		pr_str_appendf(&effect, "takes requests of route '%s'",
			       earlier->name);
	else
		pr_str_appendf(&effect,
			       "its requests were answered with 404 so far");
	add(compare, "", NULL, pr_str_cstr(&value), pr_str_cstr(&effect));
	pr_str_finish(&value);
	pr_str_finish(&effect);
}

static void route_kept(compare_t *compare, const void *before,
		       const void *after)
{
	compare_fields(compare, route_fields, COUNT_OF(route_fields),
		       print_route, before, after);
}

static bool is_used(const pr_routing_t *routing, const char *service)
{
	for (size_t i = 0; i < routing->routes_count; i++)
		for (size_t j = 0; j < routing->routes[i].splits_count; j++)
			if (!strcmp(routing->routes[i].splits[j].service,
				    service))
				return true;
	return false;
}

static void service_removed(compare_t *compare, const void *before)
{
	const pr_service_t *service = before;

	add(compare, "", service->name, NULL,
	    is_used(compare->after, service->name)
		    ? "routes still name it; its connections and new "
		      "upstreams are not limited any more"
		    : "its upstreams get no more requests");
}

static void service_added(compare_t *compare, const void *after)
{
	const pr_service_t *service = after;

	add(compare, "", NULL, service->name,
	    is_used(compare->after, service->name)
		    ? "its upstreams get requests of the routes that name it"
		    : "none: no route names it");
}

static void service_kept(compare_t *compare, const void *before,
			 const void *after)
{
	compare_fields(compare, service_fields, COUNT_OF(service_fields),
		       print_service, before, after);
}

static size_t count_keys(const pr_routing_t *routing, const void *workspace)
{
	size_t count = 0;

	for (size_t i = 0; i < routing->keys_count; i++)
		count += &routing->workspaces[routing->keys[i].workspace] ==
			 workspace;
	return count;
}

/* What becomes of the keys that a workspace has in one of two documents. */
typedef struct key_moves_t {
	size_t unknown;
	size_t elsewhere;
} key_moves_t;

static key_moves_t follow_keys(const pr_routing_t *from, const void *workspace,
			       const pr_routing_t *to)
{
	const pr_workspace_t *own = workspace;
	key_moves_t moves = { 0 };

	for (size_t i = 0; i < from->keys_count; i++) {
		const pr_workspace_t *other;

		if (&from->workspaces[from->keys[i].workspace] != own)
			continue;
		other = pr_routing_workspace(to,
					     pr_slice_of(from->keys[i].key));
		moves.unknown += !other;
		moves.elsewhere += other && strcmp(other->name, own->name) != 0;
	}
	return moves;
}

/* @param before,after NULL when the workspace is not in the document */
static void compare_keys(compare_t *compare, const void *before,
			 const void *after)
{
	key_moves_t gone = { 0 }, new = { 0 };
	char old_count[32], new_count[32], effect[192];

	if (before)
		gone = follow_keys(compare->before, before, compare->after);
	if (after)
		new = follow_keys(compare->after, after, compare->before);
	if (!gone.unknown && !gone.elsewhere && !new.unknown && !new.elsewhere)
		return;
	snprintf(old_count, sizeof(old_count), "%zu",
		 before ? count_keys(compare->before, before) : 0);
	snprintf(new_count, sizeof(new_count), "%zu",
		 after ? count_keys(compare->after, after) : 0);
	snprintf(effect, sizeof(effect),
		 "%zu keys are refused with 401, %zu are accepted anew, %zu "
		 "move to and %zu come from another workspace",
		 gone.unknown, new.unknown, gone.elsewhere, new.elsewhere);
	add(compare, compare->input->names[PR_PART_KEYS], old_count, new_count,
	    effect);
}

static void workspace_removed(compare_t *compare, const void *before)
{
	add(compare, "", ((const pr_workspace_t *)before)->name, NULL,
	    compare->after->workspaces_count
		    ? "no request belongs to it any more"
		    : "no workspace is left: keys are not asked for any more");
	compare_keys(compare, before, NULL);
}

static void workspace_added(compare_t *compare, const void *after)
{
	add(compare, "", NULL, ((const pr_workspace_t *)after)->name,
	    compare->before->workspaces_count
		    ? "requests with its keys are accepted"
		    : "keys are asked for; other requests are refused with "
		      "401");
	compare_keys(compare, NULL, after);
}

static void workspace_kept(compare_t *compare, const void *before,
			   const void *after)
{
	compare_fields(compare, workspace_fields, COUNT_OF(workspace_fields),
		       print_workspace, before, after);
	compare_keys(compare, before, after);
}

static void check_version(compare_t *compare)
{
	const pr_routing_t *before = compare->before, *after = compare->after;

	if (!compare->out->count || after->version > before->version)
		return;
	if (pr_findings_add(compare->findings, PR_FINDING_ERROR,
			    compare->input->names[PR_PART_VERSION],
			    "hosts ignore the document",
			    "%llu is not above the version in force, %llu",
			    (unsigned long long)after->version,
			    (unsigned long long)before->version))
		compare->failed = true;
}

int pr_routing_compare(pr_changes_t *out, pr_findings_t *findings,
		       const pr_routing_t *before, const pr_routing_t *after,
		       const pr_review_input_t *input)
{
	static const entry_ops_t routes = { route_removed, route_added,
					    route_kept };
	static const entry_ops_t services = { service_removed, service_added,
					      service_kept };
	static const entry_ops_t workspaces = { workspace_removed,
						workspace_added,
						workspace_kept };
	compare_t compare = {
		.before = before,
		.after = after,
		.input = input,
		.out = out,
		.findings = findings,
	};

#define LIST(routing, type, member)                                            \
	(&(list_t){ (const char *)(routing)->member, sizeof(type),             \
		    (routing)->member##_count })
	compare_lists(&compare, PR_PART_ROUTES,
		      LIST(before, pr_route_t, routes),
		      LIST(after, pr_route_t, routes), &routes);
	compare_lists(&compare, PR_PART_SERVICES,
		      LIST(before, pr_service_t, services),
		      LIST(after, pr_service_t, services), &services);
	compare_lists(&compare, PR_PART_WORKSPACES,
		      LIST(before, pr_workspace_t, workspaces),
		      LIST(after, pr_workspace_t, workspaces), &workspaces);
#undef LIST
	pr_str_clear(&compare.path);
	if (pr_str_appendf(&compare.path, "%s", input->names[PR_PART_LIMITS]))
		compare.failed = true;
	compare_fields(&compare, limit_fields, COUNT_OF(limit_fields),
		       print_limit, &before->limits, &after->limits);
	check_version(&compare);
	pr_str_finish(&compare.path);
	return compare.failed ? PR_ENOMEM : 0;
}
