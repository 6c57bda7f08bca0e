/* Settings of the entry daemon: schema, defaults and checks. */
#include "edge/settings.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "base/address.h"
#include "base/yaml.h"
#include "pistachiorack/error.h"
#include "platform/adapter.h"

#define NAME_MAX_BYTES  95
#define ZONES_MAX       256
#define TABLE_MAX_BYTES (1 << 20)
/* A platform's template may write a field whose value is missing there. */
#define OPTIONAL (CYAML_FLAG_OPTIONAL | CYAML_FLAG_POINTER_NULL_STR)

static const cyaml_schema_field_t zone_fields[] = {
	CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, pr_zone_settings_t,
			       name, 1, NAME_MAX_BYTES),
	CYAML_FIELD_STRING_PTR("region", CYAML_FLAG_POINTER, pr_zone_settings_t,
			       region, 1, NAME_MAX_BYTES),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t zone_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, pr_zone_settings_t,
			    zone_fields),
};

#define BOUND_FIELD(member)                                                    \
	CYAML_FIELD_FLOAT_PTR(#member, OPTIONAL, pr_stated_bounds_t, member)

static const cyaml_schema_field_t bound_fields[] = {
	BOUND_FIELD(grace_s),
	BOUND_FIELD(repeats_window_s),
	BOUND_FIELD(repeats_ratio),
	BOUND_FIELD(repeats_slack),
	BOUND_FIELD(session_s),
	BOUND_FIELD(lapse_s),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t kept_fields[] = {
	CYAML_FIELD_FLOAT_PTR("window_s", OPTIONAL, pr_stated_kept_t, window_s),
	CYAML_FIELD_END,
};

#define ENDPOINT_FIELD(member)                                                 \
	CYAML_FIELD_STRING_PTR(#member, CYAML_FLAG_POINTER,                    \
			       pr_edge_settings_t, member, 9, NAME_MAX_BYTES)
#define FIGURE_FIELD(member)                                                   \
	CYAML_FIELD_FLOAT_PTR(#member, OPTIONAL, pr_edge_settings_t,           \
			      stated.member)

static const cyaml_schema_field_t settings_fields[] = {
	CYAML_FIELD_STRING_PTR("host", CYAML_FLAG_POINTER, pr_edge_settings_t,
			       host, 1, NAME_MAX_BYTES),
	CYAML_FIELD_STRING_PTR("zone", CYAML_FLAG_POINTER, pr_edge_settings_t,
			       zone, 1, NAME_MAX_BYTES),
	CYAML_FIELD_STRING_PTR("region", CYAML_FLAG_POINTER, pr_edge_settings_t,
			       region, 1, NAME_MAX_BYTES),
	CYAML_FIELD_SEQUENCE("zones", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     pr_edge_settings_t, zones, &zone_schema, 1,
			     ZONES_MAX),
	CYAML_FIELD_STRING_PTR("zone_regions", OPTIONAL, pr_edge_settings_t,
			       zone_regions, 0, TABLE_MAX_BYTES),
	ENDPOINT_FIELD(listen),
	ENDPOINT_FIELD(ready),
	ENDPOINT_FIELD(metrics),
	ENDPOINT_FIELD(peer),
	ENDPOINT_FIELD(store),
	FIGURE_FIELD(cores),
	CYAML_FIELD_MAPPING("bounds", CYAML_FLAG_OPTIONAL, pr_edge_settings_t,
			    stated.bounds, bound_fields),
	CYAML_FIELD_STRING_PTR("platform", OPTIONAL, pr_edge_settings_t,
			       platform, 0, TABLE_MAX_BYTES),
	FIGURE_FIELD(memory_mb),
	FIGURE_FIELD(descriptors),
	CYAML_FIELD_MAPPING("kept_prompts", CYAML_FLAG_OPTIONAL,
			    pr_edge_settings_t, stated.kept_prompts,
			    kept_fields),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t settings_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, pr_edge_settings_t,
			    settings_fields),
};

/* An optional number of the settings. */
typedef struct figure_t {
	const char *field;
	const double *stated;
	double *value;
	double fallback, lowest, highest;
} figure_t;

/* A stated number below 0 counts as none, and so does 0 where it is out of
 * range. */
static bool is_stated(const figure_t *figure)
{
	return figure->stated &&
	       (*figure->stated > 0 ||
		(*figure->stated == 0 && figure->lowest <= 0));
}

/* Take the stated numbers, or the fallbacks. @return 0 or PR_EINVALID */
static int apply_figures(const char *path, const figure_t *list, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const figure_t *figure = &list[i];
		double value = figure->fallback;

		if (is_stated(figure))
			value = *figure->stated;
		if (!(value >= figure->lowest && value <= figure->highest))
			return pr_error_set(PR_EINVALID,
					    "%s: field %s: value %g: expected "
					    "%g to %g",
					    path, figure->field, value,
					    figure->lowest, figure->highest);
		*figure->value = value;
	}
	return 0;
}

static int apply_bounds(const char *path, pr_edge_settings_t *settings)
{
	const pr_stated_bounds_t *stated = &settings->stated.bounds;
	pr_bound_settings_t *bounds = &settings->bounds;
	const figure_t list[] = {
		{ "bounds.grace_s", stated->grace_s, &bounds->grace_s, 8, 0.5,
		  600 },
		{ "bounds.repeats_window_s", stated->repeats_window_s,
		  &bounds->repeats_window_s, 10, 0.1, 600 },
		{ "bounds.repeats_ratio", stated->repeats_ratio,
		  &bounds->repeats_ratio, 0.2, 0, 10 },
		{ "bounds.repeats_slack", stated->repeats_slack,
		  &bounds->repeats_slack, 8, 0, 1e6 },
		{ "bounds.session_s", stated->session_s, &bounds->session_s, 5,
		  0, 3600 },
		{ "bounds.lapse_s", stated->lapse_s, &bounds->lapse_s, 2.2, 0,
		  60 },
	};

	return apply_figures(path, list, sizeof(list) / sizeof(list[0]));
}

#define CORES_DEFAULT 1.0
#define CORES_MIN     0.01
#define CORES_MAX     1024.0
/* Bytes in a unit of memory_mb. */
#define BYTES_PER_MB    1048576.0
#define MEMORY_MB_MIN   16.0
#define MEMORY_MB_MAX   1e9
#define DESCRIPTORS_MIN 64.0
#define DESCRIPTORS_MAX 1e9
#define WINDOW_S_MAX    3600.0

/*
 * Read a table that the file has as the text of a JSON object.
 *
 * @param out the object, or NULL when the text is absent or null
 * @return 0 or PR_EPARSE
 */
static int load_table(json_t **out, const char *path, const char *field,
		      const char *text)
{
	/* Numbers and texts of fields that are not read need not fit. */
	size_t flags =
		JSON_DECODE_ANY | JSON_ALLOW_NUL | JSON_DECODE_INT_AS_REAL;
	json_error_t error = { 0 };
	json_t *value = text ? json_loads(text, flags, &error) : json_null();
	int rc = 0;

	*out = json_is_object(value) ? json_incref(value) : NULL;
	if (!*out && !json_is_null(value))
		rc = pr_error_set(
			PR_EPARSE, "%s: field %s: expected a JSON object%s%s",
			path, field, *error.text ? ": " : "", error.text);
	json_decref(value);
	return rc;
}

static double system_memory_mb(void)
{
	return (double)sysconf(_SC_PHYS_PAGES) * (double)sysconf(_SC_PAGESIZE) /
	       BYTES_PER_MB;
}

static double system_descriptors(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur == RLIM_INFINITY)
		return DESCRIPTORS_MAX;
	return (double)limit.rlim_cur;
}

/* Take the platform's figures that a setting exists for. */
static int read_platform(const char *path, const pr_edge_settings_t *settings,
			 double *memory_mb, double *descriptors)
{
	const char *name;
	json_t *table, *value;
	int rc = load_table(&table, path, "platform", settings->platform);

	json_object_foreach(table, name, value)
	{
		pr_figure_t figure = pr_adapter_figure(pr_slice_of(name));
		double number = json_number_value(value);

		if (figure == PR_FIGURE_MEMORY_MB && number > 0)
			*memory_mb = number;
		else if (figure == PR_FIGURE_DESCRIPTORS && number > 0)
			*descriptors = number;
	}
	json_decref(table);
	return rc;
}

static int apply_resources(const char *path, pr_edge_settings_t *settings)
{
	const pr_stated_figures_t *stated = &settings->stated;
	double memory_mb = system_memory_mb();
	double descriptors = system_descriptors();
	int rc = read_platform(path, settings, &memory_mb, &descriptors);
	const figure_t list[] = {
		{ "cores", stated->cores, &settings->cores, CORES_DEFAULT,
		  CORES_MIN, CORES_MAX },
		{ "memory_mb", stated->memory_mb, &settings->memory_mb,
		  memory_mb, MEMORY_MB_MIN, MEMORY_MB_MAX },
		{ "descriptors", stated->descriptors, &settings->descriptors,
		  descriptors, DESCRIPTORS_MIN, DESCRIPTORS_MAX },
		{ "kept_prompts.window_s", stated->kept_prompts.window_s,
		  &settings->kept_prompts.window_s, 0, 0, WINDOW_S_MAX },
	};

	if (!rc)
		rc = apply_figures(path, list, sizeof(list) / sizeof(list[0]));
	if (!rc)
		settings->capacity_percent = (uint32_t)(settings->cores * 100);
	return rc;
}

/* Add a zone. @return 0 or PR_ENOMEM */
static int add_zone(pr_edge_settings_t *settings, const char *name,
		    const char *region)
{
	pr_zone_settings_t *zone = &settings->zones[settings->zones_count++];

	zone->name = strdup(name);
	zone->region = strdup(region);
	if (!zone->name || !zone->region)
		return pr_error_set(PR_ENOMEM,
				    "out of memory for the list of zones");
	return 0;
}

static bool is_name(const char *text, size_t len)
{
	return len && len <= NAME_MAX_BYTES && strlen(text) == len;
}

/* Fill the list of zones from the object. Entries of another form are counted
 * and left out, so that the platform may add to its table. */
static int add_zones(pr_edge_settings_t *settings, json_t *object)
{
	const char *name;
	json_t *region;
	int rc = 0;

	settings->zones =
		calloc(json_object_size(object) + 1, sizeof(*settings->zones));
	if (!settings->zones)
		return pr_error_set(PR_ENOMEM,
				    "out of memory for the list of zones");
	json_object_foreach(object, name, region)
	{
		if (!rc && settings->zones_count < ZONES_MAX &&
		    json_is_string(region) && is_name(name, strlen(name)) &&
		    is_name(json_string_value(region),
			    json_string_length(region)))
			rc = add_zone(settings, name,
				      json_string_value(region));
		else
			settings->zones_ignored++;
	}
	return rc;
}

static int read_zone_regions(const char *path, pr_edge_settings_t *settings)
{
	json_t *table;
	int rc;

	if (settings->zones && settings->zone_regions)
		return pr_error_set(PR_EINVALID,
				    "%s: expected one of the fields zones and "
				    "zone_regions",
				    path);
	if (settings->zones)
		return 0;
	rc = load_table(&table, path, "zone_regions", settings->zone_regions);
	if (!rc)
		rc = add_zones(settings, table);
	json_decref(table);
	if (!rc && !settings->zones_count)
		rc = pr_error_set(PR_EINVALID,
				  "%s: expected a zone with a region in the "
				  "field zones or zone_regions",
				  path);
	return rc;
}

static int read_endpoints(const char *path, pr_edge_settings_t *settings)
{
	const struct {
		const char *field;
		const char *text;
		struct sockaddr_in *out;
	} list[] = {
		{ "listen", settings->listen, &settings->addresses.listen },
		{ "ready", settings->ready, &settings->addresses.ready },
		{ "metrics", settings->metrics, &settings->addresses.metrics },
		{ "peer", settings->peer, &settings->addresses.peer },
		{ "store", settings->store, &settings->addresses.store },
	};

	for (size_t i = 0; i < sizeof(list) / sizeof(list[0]); i++) {
		if (pr_address_parse(list[i].out, pr_slice_of(list[i].text)))
			return pr_error_set(PR_EINVALID,
					    "%s: field %s: value %s: expected "
					    "IPv4:PORT with a port from 1 to "
					    "65535",
					    path, list[i].field, list[i].text);
	}
	return 0;
}

int pr_edge_settings_load(pr_edge_settings_t **out, const char *path)
{
	pr_str_t text = PR_STR_INIT;
	pr_edge_settings_t *settings = NULL;
	int rc;

	*out = NULL;
	rc = pr_file_read(&text, path);
	if (rc)
		goto cleanup;
	pr_yaml_mask(&text);
	rc = pr_yaml_load((void **)&settings, path, pr_str_slice(&text),
			  &settings_schema);
	if (rc)
		goto cleanup;
	rc = read_zone_regions(path, settings);
	if (!rc)
		rc = apply_bounds(path, settings);
	if (!rc)
		rc = apply_resources(path, settings);
	if (!rc)
		rc = read_endpoints(path, settings);

cleanup:
	pr_str_finish(&text);
	if (rc) {
		pr_edge_settings_free(settings);
		settings = NULL;
	}
	*out = settings;
	return rc;
}

void pr_edge_settings_free(pr_edge_settings_t *settings)
{
	pr_yaml_free(settings, &settings_schema);
}
