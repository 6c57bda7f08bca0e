/*
 * Findings in a routing document. An error is an entry that cannot do what it
 * states, or an ambiguous one; a warning is a value that hosts accept and that
 * is unlikely to be meant.
 */
#include "routing/review.h"

#include <math.h>
#include <stdio.h>

#include "pistachiorack/error.h"

/* Names listed in one finding; further ones are only counted. */
#define NAMES_LISTED 3

typedef struct review_t {
	const pr_routing_t *routing;
	const pr_review_input_t *input;
	pr_findings_t *out;
	char path[128];
	bool failed;
} review_t;

#define ADD(review, level, effect, ...)                                        \
	do {                                                                   \
		if (pr_findings_add((review)->out, level, (review)->path,      \
				    effect, __VA_ARGS__))                      \
			(review)->failed = true;                               \
	} while (0)
#define ERROR(review, effect, ...)                                             \
	ADD(review, PR_FINDING_ERROR, effect, __VA_ARGS__)
#define WARN(review, effect, ...)                                              \
	ADD(review, PR_FINDING_WARNING, effect, __VA_ARGS__)

static const char *part(const review_t *review, pr_part_t at)
{
	return review->input->names[at];
}

static void at_entry(review_t *review, pr_part_t list, size_t index)
{
	snprintf(review->path, sizeof(review->path), "%s[%zu]",
		 part(review, list), index);
}

static void at_field(review_t *review, pr_part_t list, size_t index,
		     pr_part_t field)
{
	snprintf(review->path, sizeof(review->path), "%s[%zu].%s",
		 part(review, list), index, part(review, field));
}

static void at_item(review_t *review, pr_part_t list, size_t index,
		    pr_part_t field, size_t item)
{
	snprintf(review->path, sizeof(review->path), "%s[%zu].%s[%zu]",
		 part(review, list), index, part(review, field), item);
}

/* A document with a single service may state it without a list. */
static void at_split(review_t *review, size_t index, size_t item,
		     pr_part_t field)
{
	const pr_route_t *route = &review->routing->routes[index];

	if (route->splits_count == 1 && route->splits[0].weight == 1)
		at_field(review, PR_PART_ROUTES, index, PR_PART_SERVICE);
	else
		snprintf(review->path, sizeof(review->path),
			 "%s[%zu].%s[%zu].%s", part(review, PR_PART_ROUTES),
			 index, part(review, PR_PART_SPLITS), item,
			 part(review, field));
}

/* Names of routes, services and workspaces are the first member of each. */
static const char *name_at(const void *list, size_t stride, size_t index)
{
	return *(char *const *)((const char *)list + index * stride);
}

static void check_name(review_t *review, pr_part_t list, const void *items,
		       size_t stride, size_t index, const char *effect)
{
	const char *name = name_at(items, stride, index);

	at_field(review, list, index, PR_PART_NAME);
	if (!*name)
		ERROR(review,
		      "log lines and metrics cannot tell which entry it is",
		      "is missing or empty");
	for (size_t i = 0; *name && i < index; i++) {
		if (strcmp(name_at(items, stride, i), name) != 0)
			continue;
		ERROR(review, effect, "'%s' is the name of %s[%zu] too", name,
		      part(review, list), i);
		break;
	}
}

static void check_listed_twice(review_t *review, pr_part_t list, size_t index,
			       pr_part_t field, const pr_names_t *names)
{
	for (size_t i = 1; i < names->count; i++)
		for (size_t j = 0; j < i; j++) {
			if (strcmp(names->items[i], names->items[j]) != 0)
				continue;
			at_item(review, list, index, field, i);
			WARN(review, "the second entry has no use",
			     "'%s' is listed twice", names->items[i]);
			break;
		}
}

static void check_regions(review_t *review, pr_part_t list, size_t index,
			  const pr_names_t *names)
{
	const pr_names_t *known = review->input->regions;
	size_t unknown = 0;

	check_listed_twice(review, list, index, PR_PART_REGIONS, names);
	if (!known || !known->count)
		return;
	for (size_t i = 0; i < names->count; i++) {
		if (pr_names_allow(known, names->items[i]))
			continue;
		unknown++;
		at_item(review, list, index, PR_PART_REGIONS, i);
		WARN(review, "no upstream is in it",
		     "no zone of the settings is in region '%s'",
		     names->items[i]);
	}
	if (!unknown || unknown < names->count)
		return;
	at_field(review, list, index, PR_PART_REGIONS);
	ERROR(review, "its requests find no upstream and are refused",
	      "no allowed region exists in the settings");
}

static void check_match(review_t *review, size_t index)
{
	const pr_routing_t *routing = review->routing;
	const pr_route_t *route = &routing->routes[index];
	const pr_route_t *taken;
	size_t len = strlen(route->prefix);

	at_field(review, PR_PART_ROUTES, index, PR_PART_HOST);
	if (!*route->host)
		ERROR(review, "the route never matches a request",
		      "is missing or empty");
	else if (strchr(route->host, ':'))
		ERROR(review, "the route never matches a request",
		      "'%s' has a port; host names are compared without one",
		      route->host);
	at_field(review, PR_PART_ROUTES, index, PR_PART_PREFIX);
	if (*route->prefix != '/' || strchr(route->prefix, '?')) {
		ERROR(review, "the route never matches a request",
		      "'%s' must begin with '/' and be a path without a query",
		      route->prefix);
		return;
	}
	if (route->prefix[len - 1] != '/')
		WARN(review,
		     "paths that go on within the last part match as well",
		     "'%s' does not end with '/'", route->prefix);
	taken = pr_routing_match(routing, pr_slice_of(route->host),
				 pr_slice_of(route->prefix));
	if (!taken || taken == route)
		return;
	at_entry(review, PR_PART_ROUTES, index);
	ERROR(review, "the route never matches a request",
	      "%s[%zu] '%s' has the same host and prefix and comes first",
	      part(review, PR_PART_ROUTES), (size_t)(taken - routing->routes),
	      taken->name);
}

static void check_split(review_t *review, size_t index, size_t item)
{
	const pr_route_t *route = &review->routing->routes[index];
	const pr_split_t *split = &route->splits[item];

	at_split(review, index, item, PR_PART_SERVICE);
	if (!*split->service)
		ERROR(review, "requests find no upstream and are refused",
		      "no service is named");
	else if (!pr_routing_service(review->routing, split->service))
		ERROR(review,
		      "requests are refused unless upstreams register under "
		      "this name; its connections are not limited",
		      "service '%s' has no entry under %s", split->service,
		      part(review, PR_PART_SERVICES));
	for (size_t i = 0; i < item; i++) {
		if (strcmp(route->splits[i].service, split->service) != 0)
			continue;
		WARN(review, "it gets the sum of both weights",
		     "service '%s' is listed twice", split->service);
		break;
	}
	at_split(review, index, item, PR_PART_WEIGHT);
	if (!split->weight)
		WARN(review, "the service gets no requests of the route",
		     "the weight of '%s' is 0", split->service);
}

static void check_splits(review_t *review, size_t index)
{
	const pr_route_t *route = &review->routing->routes[index];

	for (size_t i = 0; i < route->splits_count; i++)
		check_split(review, index, i);
	at_field(review, PR_PART_ROUTES, index, PR_PART_SPLITS);
	if (!pr_route_pick_service(route, 0))
		ERROR(review, "all requests of the route are refused with 503",
		      "all weights are 0");
}

static void check_times(review_t *review, size_t index)
{
	const pr_route_t *route = &review->routing->routes[index];
	bool stream = route->kind == PR_CALL_STREAM;
	bool moves = route->resumable || route->max_upstreams > 1 ||
		     route->models.count;

	at_field(review, PR_PART_ROUTES, index, PR_PART_TIMEOUT);
	if (route->timeout_ms && route->timeout_ms < route->target_ms)
		WARN(review, "requests end before they can miss the objective",
		     "%u ms is below the objective, %u ms", route->timeout_ms,
		     route->target_ms);
	if (route->timeout_ms && route->timeout_ms < route->gap_ms)
		WARN(review, "streams end before a pause can be too long",
		     "%u ms is below the longest pause, %u ms",
		     route->timeout_ms, route->gap_ms);
	at_field(review, PR_PART_ROUTES, index, PR_PART_TARGET);
	if (stream && !route->target_ms)
		WARN(review,
		     "hosts assume their default when they choose upstreams "
		     "and give up attempts",
		     "is 0 or absent on a route of streams");
	at_field(review, PR_PART_ROUTES, index, PR_PART_GAP);
	if (stream && !route->gap_ms && moves)
		WARN(review,
		     "hosts assume their default before they move a stream, "
		     "and pauses do not count as late",
		     "is 0 or absent on a route whose streams may move");
	if (!stream && route->gap_ms)
		WARN(review, "the value has no use",
		     "is stated on a route without streams");
	at_field(review, PR_PART_ROUTES, index, PR_PART_RESUMABLE);
	if (!stream && route->resumable)
		WARN(review, "the value has no use",
		     "is stated on a route without streams");
}

static void check_attempts(review_t *review, size_t index)
{
	const pr_route_t *route = &review->routing->routes[index];
	const pr_review_input_t *input = review->input;
	uint32_t repeats = route->max_upstreams ? route->max_upstreams - 1 : 0;

	at_field(review, PR_PART_ROUTES, index, PR_PART_MAX_UPSTREAMS);
	/* A ratio below 1 covers one repeat while most requests need none. */
	if (input->has_repeat_budget && repeats > ceil(input->repeats_ratio))
		WARN(review,
		     "while many requests fail, the later attempts are refused",
		     "%u attempts need %u repeats; the settings allow %g per "
		     "request",
		     route->max_upstreams, repeats, input->repeats_ratio);
	if (route->models.count > 1 && !repeats)
		WARN(review,
		     "a poor answer is never repeated by a larger model",
		     "a single attempt, but %zu entries in %s",
		     route->models.count, part(review, PR_PART_MODELS));
}

static bool has_common(const pr_names_t *a, const pr_names_t *b)
{
	if (!a->count || !b->count)
		return true;
	for (size_t i = 0; i < a->count; i++)
		if (pr_names_allow(b, a->items[i]))
			return true;
	return false;
}

/* Workspaces that may use the route, but no region that the route allows. */
static void check_common_regions(review_t *review, size_t index)
{
	const pr_routing_t *routing = review->routing;
	const pr_route_t *route = &routing->routes[index];
	char names[160] = "";
	size_t len = 0, count = 0;

	if (route->anonymous)
		return;
	for (size_t i = 0; i < routing->workspaces_count; i++) {
		const pr_workspace_t *workspace = &routing->workspaces[i];

		if (has_common(&route->regions, &workspace->regions))
			continue;
		if (count++ < NAMES_LISTED && len < sizeof(names))
			len += (size_t)snprintf(
				names + len, sizeof(names) - len, "%s'%.40s'",
				len ? ", " : "", workspace->name);
	}
	if (!count)
		return;
	at_field(review, PR_PART_ROUTES, index, PR_PART_REGIONS);
	ADD(review,
	    count == routing->workspaces_count ? PR_FINDING_ERROR
					       : PR_FINDING_WARNING,
	    count == routing->workspaces_count
		    ? "no request of the route finds an upstream"
		    : "their requests on the route find no upstream and are "
		      "refused",
	    "has no region in common with %zu of %zu workspaces: %s%s", count,
	    routing->workspaces_count, names,
	    count > NAMES_LISTED ? ", ..." : "");
}

static void check_routes(review_t *review)
{
	const pr_routing_t *routing = review->routing;

	snprintf(review->path, sizeof(review->path), "%s",
		 part(review, PR_PART_ROUTES));
	if (!routing->routes_count)
		ERROR(review, "all requests are answered with 404",
		      "there is no route");
	for (size_t i = 0; i < routing->routes_count; i++) {
		const pr_route_t *route = &routing->routes[i];

		check_name(review, PR_PART_ROUTES, routing->routes,
			   sizeof(*route), i,
			   "log lines and metrics mix the two routes");
		check_match(review, i);
		check_splits(review, i);
		check_times(review, i);
		check_attempts(review, i);
		check_regions(review, PR_PART_ROUTES, i, &route->regions);
		check_listed_twice(review, PR_PART_ROUTES, i, PR_PART_MODELS,
				   &route->models);
		check_common_regions(review, i);
	}
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

static void check_services(review_t *review)
{
	const pr_routing_t *routing = review->routing;

	for (size_t i = 0; i < routing->services_count; i++) {
		const pr_service_t *service = &routing->services[i];

		check_name(review, PR_PART_SERVICES, routing->services,
			   sizeof(*service), i,
			   "hosts use the first entry only");
		at_entry(review, PR_PART_SERVICES, i);
		if (*service->name && !is_used(routing, service->name))
			WARN(review, "its upstreams get no requests",
			     "no route names service '%s'", service->name);
		at_field(review, PR_PART_SERVICES, i, PR_PART_MAX_CONNECTIONS);
		if (!service->max_connections)
			WARN(review,
			     "connections to its upstreams are not limited",
			     "is 0 or absent");
	}
}

/* Equal keys are neighbours, since the keys are sorted. */
static void check_keys(review_t *review)
{
	const pr_routing_t *routing = review->routing;

	for (size_t i = 1; i < routing->keys_count; i++) {
		const pr_key_t *key = &routing->keys[i];
		const pr_key_t *other = &routing->keys[i - 1];
		const pr_workspace_t *owner;
		char effect[128];

		if (strcmp(key->key, other->key) != 0)
			continue;
		at_item(review, PR_PART_WORKSPACES, key->workspace,
			PR_PART_KEYS, key->place);
		if (key->workspace == other->workspace) {
			WARN(review, "the second entry has no use",
			     "the key is listed twice");
			continue;
		}
		owner = pr_routing_workspace(routing, pr_slice_of(key->key));
		snprintf(effect, sizeof(effect),
			 "requests with the key count for '%.64s'",
			 owner ? owner->name : "");
		ERROR(review, effect,
		      "the key is in two workspaces, '%.64s' and '%.64s'",
		      routing->workspaces[other->workspace].name,
		      routing->workspaces[key->workspace].name);
	}
}

static void check_callers(review_t *review)
{
	const pr_routing_t *routing = review->routing;
	size_t closed = 0;

	for (size_t i = 0; i < routing->routes_count; i++)
		closed += !routing->routes[i].anonymous;
	snprintf(review->path, sizeof(review->path), "%s",
		 part(review, PR_PART_WORKSPACES));
	if (closed && !routing->workspaces_count)
		WARN(review, "every caller may use all routes without a key",
		     "is empty, and %zu routes are not marked as open", closed);
	else if (closed && !routing->keys_count)
		ERROR(review, "their requests are answered with 401",
		      "no workspace has a key, and %zu routes need one",
		      closed);
}

static void check_workspaces(review_t *review)
{
	const pr_routing_t *routing = review->routing;

	check_callers(review);
	for (size_t i = 0; i < routing->workspaces_count; i++) {
		const pr_workspace_t *workspace = &routing->workspaces[i];
		bool has_key = false;

		check_name(review, PR_PART_WORKSPACES, routing->workspaces,
			   sizeof(*workspace), i,
			   "figures of the two workspaces are mixed");
		for (size_t j = 0; j < routing->keys_count && !has_key; j++)
			has_key = routing->keys[j].workspace == i;
		at_field(review, PR_PART_WORKSPACES, i, PR_PART_KEYS);
		if (!has_key)
			WARN(review, "no request can belong to it",
			     "workspace '%s' has no key", workspace->name);
		check_regions(review, PR_PART_WORKSPACES, i,
			      &workspace->regions);
	}
	check_keys(review);
}

static void check_limits(review_t *review)
{
	const pr_caller_limits_t *limits = &review->routing->limits;
	const struct {
		pr_part_t part;
		uint32_t value;
	} list[] = {
		{ PR_PART_HEADER_BYTES, limits->header_bytes },
		{ PR_PART_BODY_BYTES, limits->body_bytes },
		{ PR_PART_HEADER_TIME, limits->header_ms },
		{ PR_PART_IDLE_TIME, limits->idle_ms },
	};

	for (size_t i = 0; i < sizeof(list) / sizeof(list[0]); i++) {
		snprintf(review->path, sizeof(review->path), "%s.%s",
			 part(review, PR_PART_LIMITS),
			 part(review, list[i].part));
		if (!list[i].value)
			WARN(review, "hosts use their default",
			     "is 0 or absent; 0 does not mean unlimited");
	}
	/* The path is that of the last entry, the idle time-out. */
	if (limits->idle_ms && limits->idle_ms < limits->header_ms)
		WARN(review,
		     "a connection is closed while its first request may "
		     "still arrive",
		     "%u ms is shorter than %s, %u ms", limits->idle_ms,
		     part(review, PR_PART_HEADER_TIME), limits->header_ms);
}

int pr_routing_review(pr_findings_t *out, const pr_routing_t *routing,
		      const pr_review_input_t *input)
{
	review_t review = { .routing = routing, .input = input, .out = out };

	check_routes(&review);
	check_services(&review);
	check_workspaces(&review);
	check_limits(&review);
	return review.failed ? PR_ENOMEM : 0;
}
