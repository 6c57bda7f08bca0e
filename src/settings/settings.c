/* Process settings: schema, defaults and checks. */
#include "pistachiorack/settings.h"

#include <arpa/inet.h>

#include "base/yaml.h"
#include "pistachiorack/error.h"

#define NAME_MAX_BYTES   64
#define PATH_MAX_BYTES   1024
#define SECRET_MIN_BYTES 16
#define SECRET_MAX_BYTES 256
#define PEERS_MAX        1024
#define KEY_HEX_BYTES    64

#define OPTIONAL         CYAML_FLAG_OPTIONAL

static const cyaml_schema_field_t endpoint_fields[] = {
	CYAML_FIELD_STRING_PTR("address", CYAML_FLAG_POINTER, pr_endpoint_t,
			       address, 7, NAME_MAX_BYTES),
	CYAML_FIELD_UINT("port", CYAML_FLAG_DEFAULT, pr_endpoint_t, port),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t tls_fields[] = {
	CYAML_FIELD_STRING_PTR("certificate", CYAML_FLAG_POINTER,
			       pr_tls_settings_t, certificate, 1,
			       PATH_MAX_BYTES),
	CYAML_FIELD_STRING_PTR("key", CYAML_FLAG_POINTER, pr_tls_settings_t,
			       key, 1, PATH_MAX_BYTES),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t peer_fields[] = {
	CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, pr_peer_settings_t,
			       name, 1, NAME_MAX_BYTES),
	CYAML_FIELD_STRING_PTR("zone", CYAML_FLAG_POINTER, pr_peer_settings_t,
			       zone, 1, NAME_MAX_BYTES),
	CYAML_FIELD_STRING_PTR("address", CYAML_FLAG_POINTER,
			       pr_peer_settings_t, address, 7, NAME_MAX_BYTES),
	CYAML_FIELD_UINT("port", CYAML_FLAG_DEFAULT, pr_peer_settings_t, port),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t peer_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, pr_peer_settings_t,
			    peer_fields),
};
static const cyaml_schema_value_t secret_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, SECRET_MIN_BYTES,
			   SECRET_MAX_BYTES),
};

#define LIMIT_FIELD(member)                                                    \
	CYAML_FIELD_UINT(#member, OPTIONAL, pr_limit_settings_t, member)

static const cyaml_schema_field_t limit_fields[] = {
	LIMIT_FIELD(body_bytes),        LIMIT_FIELD(connections),
	LIMIT_FIELD(requests),          LIMIT_FIELD(request_timeout_ms),
	LIMIT_FIELD(answer_timeout_ms), LIMIT_FIELD(answer_bytes),
	LIMIT_FIELD(buffer_bytes),      CYAML_FIELD_END,
};

static const cyaml_schema_field_t shutdown_fields[] = {
	CYAML_FIELD_UINT("notice_ms", OPTIONAL, pr_shutdown_settings_t,
			 notice_ms),
	CYAML_FIELD_UINT("deadline_ms", OPTIONAL, pr_shutdown_settings_t,
			 deadline_ms),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t settings_fields[] = {
	CYAML_FIELD_STRING_PTR("host", CYAML_FLAG_POINTER, pr_settings_t, host,
			       1, NAME_MAX_BYTES),
	CYAML_FIELD_STRING_PTR("zone", CYAML_FLAG_POINTER, pr_settings_t, zone,
			       1, NAME_MAX_BYTES),
	CYAML_FIELD_MAPPING("listen", CYAML_FLAG_DEFAULT, pr_settings_t, listen,
			    endpoint_fields),
	CYAML_FIELD_MAPPING_PTR("tls", CYAML_FLAG_POINTER | OPTIONAL,
				pr_settings_t, tls, tls_fields),
	CYAML_FIELD_MAPPING("admin", CYAML_FLAG_DEFAULT, pr_settings_t, admin,
			    endpoint_fields),
	CYAML_FIELD_STRING_PTR("operator_key", CYAML_FLAG_POINTER,
			       pr_settings_t, operator_key, KEY_HEX_BYTES,
			       KEY_HEX_BYTES),
	CYAML_FIELD_MAPPING("peer", CYAML_FLAG_DEFAULT, pr_settings_t, peer,
			    endpoint_fields),
	CYAML_FIELD_STRING_PTR("secret", CYAML_FLAG_POINTER, pr_settings_t,
			       secret, SECRET_MIN_BYTES, SECRET_MAX_BYTES),
	CYAML_FIELD_SEQUENCE("old_secrets", CYAML_FLAG_POINTER | OPTIONAL,
			     pr_settings_t, old_secrets, &secret_schema, 0, 4),
	CYAML_FIELD_SEQUENCE("peers", CYAML_FLAG_POINTER | OPTIONAL,
			     pr_settings_t, peers, &peer_schema, 0, PEERS_MAX),
	CYAML_FIELD_MAPPING("platform", CYAML_FLAG_DEFAULT, pr_settings_t,
			    platform, endpoint_fields),
	CYAML_FIELD_MAPPING("limits", OPTIONAL, pr_settings_t, limits,
			    limit_fields),
	CYAML_FIELD_MAPPING("shutdown", OPTIONAL, pr_settings_t, shutdown,
			    shutdown_fields),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t settings_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, pr_settings_t, settings_fields),
};

/* One limit: its default and the range that is accepted. */
typedef struct bound_t {
	const char *field;
	uint32_t *value;
	uint32_t fallback, lowest, highest;
} bound_t;

static int apply_bounds(const char *path, pr_settings_t *settings)
{
	pr_limit_settings_t *limits = &settings->limits;
	pr_shutdown_settings_t *stop = &settings->shutdown;
	bound_t bounds[] = {
		{ "limits.body_bytes", &limits->body_bytes, 1 << 20, 1024,
		  64 << 20 },
		{ "limits.connections", &limits->connections, 20000, 1,
		  200000 },
		{ "limits.requests", &limits->requests, 10000, 1, 100000 },
		{ "limits.request_timeout_ms", &limits->request_timeout_ms,
		  10000, 100, 600000 },
		{ "limits.answer_timeout_ms", &limits->answer_timeout_ms,
		  120000, 100, 3600000 },
		{ "limits.answer_bytes", &limits->answer_bytes, 8 << 20, 1024,
		  256 << 20 },
		{ "limits.buffer_bytes", &limits->buffer_bytes, 256 << 10, 4096,
		  16 << 20 },
		{ "shutdown.notice_ms", &stop->notice_ms, 1000, 1, 60000 },
		{ "shutdown.deadline_ms", &stop->deadline_ms, 30000, 100,
		  3600000 },
	};

	for (size_t i = 0; i < sizeof(bounds) / sizeof(bounds[0]); i++) {
		bound_t *bound = &bounds[i];

		if (!*bound->value)
			*bound->value = bound->fallback;
		if (*bound->value < bound->lowest ||
		    *bound->value > bound->highest)
			return pr_error_set(
				PR_EINVALID,
				"%s: field %s: value %u: allowed %u to %u",
				path, bound->field, *bound->value,
				bound->lowest, bound->highest);
	}
	return 0;
}

static int check_endpoint(const char *path, const char *field,
			  const char *address, uint16_t port)
{
	struct in_addr parsed;

	if (inet_pton(AF_INET, address, &parsed) != 1)
		return pr_error_set(PR_EINVALID,
				    "%s: field %s.address: value %s: allowed "
				    "are IPv4 addresses",
				    path, field, address);
	if (!port)
		return pr_error_set(
			PR_EINVALID,
			"%s: field %s.port: value 0: allowed 1 to 65535", path,
			field);
	return 0;
}

static int check_endpoints(const char *path, const pr_settings_t *settings)
{
	const struct {
		const char *field;
		const pr_endpoint_t *endpoint;
	} list[] = {
		{ "listen", &settings->listen },
		{ "admin", &settings->admin },
		{ "peer", &settings->peer },
		{ "platform", &settings->platform },
	};
	int rc = 0;

	for (size_t i = 0; i < sizeof(list) / sizeof(list[0]) && !rc; i++)
		rc = check_endpoint(path, list[i].field,
				    list[i].endpoint->address,
				    list[i].endpoint->port);
	for (unsigned int i = 0; i < settings->peers_count && !rc; i++)
		rc = check_endpoint(path, "peers", settings->peers[i].address,
				    settings->peers[i].port);
	return rc;
}

int pr_settings_load(pr_settings_t **out, const char *path)
{
	pr_str_t text = PR_STR_INIT;
	pr_settings_t *settings = NULL;
	int rc;

	*out = NULL;
	rc = pr_file_read(&text, path);
	if (rc)
		goto cleanup;
	rc = pr_yaml_load((void **)&settings, path, pr_str_slice(&text),
			  &settings_schema);
	if (rc)
		goto cleanup;
	rc = apply_bounds(path, settings);
	if (!rc)
		rc = check_endpoints(path, settings);

cleanup:
	pr_str_finish(&text);
	if (rc) {
		pr_settings_free(settings);
		settings = NULL;
	}
	*out = settings;
	return rc;
}

void pr_settings_free(pr_settings_t *settings)
{
	pr_yaml_free(settings, &settings_schema);
}
