/**
 * Settings of one router process, read once at start from a YAML file.
 */
#ifndef PISTACHIORACK_SETTINGS_H
#define PISTACHIORACK_SETTINGS_H

#include <stdint.h>

#include "pistachiorack/str.h"

/** Another router host. */
typedef struct pr_peer_settings_t {
	char *name;
	char *zone;
	char *address;
	uint16_t port;
} pr_peer_settings_t;

typedef struct pr_tls_settings_t {
	/** PEM files. */
	char *certificate;
	char *key;
} pr_tls_settings_t;

/** Where a process listens, or whom it connects to. */
typedef struct pr_endpoint_t {
	char *address;
	uint16_t port;
} pr_endpoint_t;

typedef struct pr_limit_settings_t {
	/** Largest request body, bytes. */
	uint32_t body_bytes;
	/** Open caller connections. */
	uint32_t connections;
	/** Requests in work at once. */
	uint32_t requests;
	/** Time for a request to arrive whole, milliseconds. */
	uint32_t request_timeout_ms;
	/** Time for an answer to be complete, milliseconds. */
	uint32_t answer_timeout_ms;
	/** Largest whole answer of an upstream, bytes. */
	uint32_t answer_bytes;
	/** Output buffered for one slow caller before reading stops, bytes. */
	uint32_t buffer_bytes;
} pr_limit_settings_t;

typedef struct pr_shutdown_settings_t {
	/** Time that the balancer needs to notice, milliseconds. */
	uint32_t notice_ms;
	/** Time after which the process ends whatever is left. */
	uint32_t deadline_ms;
} pr_shutdown_settings_t;

typedef struct pr_settings_t {
	char *host;
	char *zone;
	pr_endpoint_t listen;
	pr_tls_settings_t *tls;
	/** Metrics, health and operators' requests. */
	pr_endpoint_t admin;
	/** SHA-256 of the operators' key, hexadecimal. */
	char *operator_key;
	/** This host's address for other hosts. */
	pr_endpoint_t peer;
	/** Shared secret of the hosts, at least 16 bytes. */
	char *secret;
	/** Further secrets that tokens may be signed with (rotation). */
	char **old_secrets;
	unsigned int old_secrets_count;
	pr_peer_settings_t *peers;
	unsigned int peers_count;
	pr_endpoint_t platform;
	pr_limit_settings_t limits;
	pr_shutdown_settings_t shutdown;
} pr_settings_t;

/**
 * Read and check a settings file; limits that are left out get defaults.
 *
 * @param out owned by the caller; free with pr_settings_free()
 * @return 0, PR_ENOTFOUND, PR_EPARSE or PR_EINVALID; pr_error_last() names
 *	   file, line, field, value and what is allowed
 */
int pr_settings_load(pr_settings_t **out, const char *path);
void pr_settings_free(pr_settings_t *settings);

#endif
