/* The schema of the fleet configuration and its parser. */
#include "base/yaml.h"
#include "pistachiorack/config.h"

#define NAME_MAX_BYTES   64
#define REASON_MAX_BYTES 500
#define KEY_HEX_BYTES    64
#define LIST_MAX         4096

#define OPTIONAL         CYAML_FLAG_OPTIONAL

static const cyaml_schema_value_t name_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, NAME_MAX_BYTES),
};
static const cyaml_schema_value_t key_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, KEY_HEX_BYTES,
			   KEY_HEX_BYTES),
};

static const cyaml_strval_t version_states[] = {
	{ "proven", PR_VERSION_PROVEN },
	{ "rolling", PR_VERSION_ROLLING },
	{ "halted", PR_VERSION_HALTED },
	{ "withdrawn", PR_VERSION_WITHDRAWN },
};
static const cyaml_strval_t upstream_kinds[] = {
	{ "engine", PR_UPSTREAM_ENGINE },
	{ "ledger", PR_UPSTREAM_LEDGER },
};
static const cyaml_strval_t upstream_states[] = {
	{ "live", PR_UPSTREAM_LIVE },
	{ "leaving", PR_UPSTREAM_LEAVING },
};
static const cyaml_strval_t zone_states[] = {
	{ "in", PR_ZONE_IN },
	{ "out", PR_ZONE_OUT },
};

#define NAME_FIELD(type, member)                                               \
	CYAML_FIELD_STRING_PTR(#member, CYAML_FLAG_POINTER, type, member, 1,   \
			       NAME_MAX_BYTES)
#define OPTIONAL_NAME_FIELD(type, member)                                      \
	CYAML_FIELD_STRING_PTR(#member, CYAML_FLAG_POINTER | OPTIONAL, type,   \
			       member, 1, NAME_MAX_BYTES)
#define LIST_FIELD(type, member, schema)                                       \
	CYAML_FIELD_SEQUENCE(#member, CYAML_FLAG_POINTER | OPTIONAL, type,     \
			     member, schema, 0, LIST_MAX)
#define STATE_FIELD(type, member, values)                                      \
	CYAML_FIELD_ENUM(#member, CYAML_FLAG_STRICT | OPTIONAL, type, member,  \
			 values, CYAML_ARRAY_LEN(values))

static const cyaml_schema_field_t version_fields[] = {
	NAME_FIELD(pr_version_t, name),
	STATE_FIELD(pr_version_t, state, version_states),
	CYAML_FIELD_UINT("share", OPTIONAL, pr_version_t, share),
	OPTIONAL_NAME_FIELD(pr_version_t, replaces),
	CYAML_FIELD_UINT("price_in", OPTIONAL, pr_version_t, price_in),
	CYAML_FIELD_UINT("price_out", OPTIONAL, pr_version_t, price_out),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t version_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, pr_version_t, version_fields),
};

static const cyaml_schema_field_t model_fields[] = {
	NAME_FIELD(pr_model_t, name),
	LIST_FIELD(pr_model_t, versions, &version_schema),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t model_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, pr_model_t, model_fields),
};

static const cyaml_schema_field_t upstream_fields[] = {
	NAME_FIELD(pr_upstream_t, name),
	STATE_FIELD(pr_upstream_t, kind, upstream_kinds),
	STATE_FIELD(pr_upstream_t, state, upstream_states),
	NAME_FIELD(pr_upstream_t, address),
	CYAML_FIELD_UINT("port", CYAML_FLAG_DEFAULT, pr_upstream_t, port),
	NAME_FIELD(pr_upstream_t, zone),
	CYAML_FIELD_UINT("slots", OPTIONAL, pr_upstream_t, slots),
	CYAML_FIELD_UINT("cold_slots", OPTIONAL, pr_upstream_t, cold_slots),
	CYAML_FIELD_BOOL("fencing", OPTIONAL, pr_upstream_t, fencing),
	LIST_FIELD(pr_upstream_t, serves, &name_schema),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t upstream_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, pr_upstream_t, upstream_fields),
};

static const cyaml_schema_field_t zone_fields[] = {
	NAME_FIELD(pr_zone_t, name),
	NAME_FIELD(pr_zone_t, region),
	STATE_FIELD(pr_zone_t, state, zone_states),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t zone_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, pr_zone_t, zone_fields),
};

static const cyaml_schema_field_t limits_fields[] = {
	CYAML_FIELD_UINT("requests_per_s", OPTIONAL, pr_limits_t,
			 requests_per_s),
	CYAML_FIELD_UINT("tokens_per_s", OPTIONAL, pr_limits_t, tokens_per_s),
	CYAML_FIELD_UINT("in_flight", OPTIONAL, pr_limits_t, in_flight),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t workspace_fields[] = {
	NAME_FIELD(pr_workspace_t, name),
	LIST_FIELD(pr_workspace_t, keys, &key_schema),
	CYAML_FIELD_UINT("weight", OPTIONAL, pr_workspace_t, weight),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t workspace_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, pr_workspace_t,
			    workspace_fields),
};

static const cyaml_schema_field_t operation_fields[] = {
	NAME_FIELD(pr_operation_t, name),
	CYAML_FIELD_BOOL("repeatable", CYAML_FLAG_DEFAULT, pr_operation_t,
			 repeatable),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t operation_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, pr_operation_t,
			    operation_fields),
};

static const cyaml_schema_field_t service_fields[] = {
	NAME_FIELD(pr_service_t, name),
	LIST_FIELD(pr_service_t, operations, &operation_schema),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t service_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, pr_service_t, service_fields),
};

static const cyaml_schema_field_t defaults_fields[] = {
	LIST_FIELD(pr_defaults_t, models, &name_schema),
	CYAML_FIELD_FLOAT("quality_target", CYAML_FLAG_DEFAULT, pr_defaults_t,
			  quality_target),
	CYAML_FIELD_UINT("first_token_ms", CYAML_FLAG_DEFAULT, pr_defaults_t,
			 first_token_ms),
	CYAML_FIELD_UINT("between_tokens_ms", CYAML_FLAG_DEFAULT, pr_defaults_t,
			 between_tokens_ms),
	CYAML_FIELD_FLOAT("objective", CYAML_FLAG_DEFAULT, pr_defaults_t,
			  objective),
	CYAML_FIELD_UINT("exposure_per_s", OPTIONAL, pr_defaults_t,
			 exposure_per_s),
	CYAML_FIELD_UINT("rollout_hold_s", OPTIONAL, pr_defaults_t,
			 rollout_hold_s),
	CYAML_FIELD_MAPPING("limits", OPTIONAL, pr_defaults_t, limits,
			    limits_fields),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t exception_fields[] = {
	NAME_FIELD(pr_exception_t, workspace),
	CYAML_FIELD_STRING_PTR("reason", CYAML_FLAG_POINTER, pr_exception_t,
			       reason, 1, REASON_MAX_BYTES),
	LIST_FIELD(pr_exception_t, models, &name_schema),
	CYAML_FIELD_FLOAT("quality_target", OPTIONAL, pr_exception_t,
			  quality_target),
	CYAML_FIELD_MAPPING_PTR("limits", CYAML_FLAG_POINTER | OPTIONAL,
				pr_exception_t, limits, limits_fields),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t exception_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, pr_exception_t,
			    exception_fields),
};

static const cyaml_schema_field_t fleet_fields[] = {
	CYAML_FIELD_UINT("format", CYAML_FLAG_DEFAULT, pr_fleet_t, format),
	CYAML_FIELD_MAPPING("defaults", CYAML_FLAG_DEFAULT, pr_fleet_t,
			    defaults, defaults_fields),
	LIST_FIELD(pr_fleet_t, models, &model_schema),
	LIST_FIELD(pr_fleet_t, zones, &zone_schema),
	LIST_FIELD(pr_fleet_t, upstreams, &upstream_schema),
	LIST_FIELD(pr_fleet_t, workspaces, &workspace_schema),
	LIST_FIELD(pr_fleet_t, services, &service_schema),
	LIST_FIELD(pr_fleet_t, exceptions, &exception_schema),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t fleet_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, pr_fleet_t, fleet_fields),
};

int pr_fleet_parse(pr_fleet_t **out, const char *name, pr_slice_t text)
{
	return pr_yaml_load((void **)out, name, text, &fleet_schema);
}

void pr_fleet_free(pr_fleet_t *fleet)
{
	pr_yaml_free(fleet, &fleet_schema);
}

int pr_fleet_print(const pr_fleet_t *fleet, pr_str_t *out)
{
	return pr_yaml_save(out, fleet, &fleet_schema);
}
