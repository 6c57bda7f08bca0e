/*
 * Session token and messages. A token is "<hex payload>.<hex HMAC-SHA256>";
 * the payload is the msgpack map of the session_put message. Hexadecimal digits
 * need no escaping and pass unchanged through each proxy and header parser.
 */
#include "base/msgpack_check.h"
#include "pistachiorack/session.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

/* Shortest signing key, in bytes. */
#define SECRET_MIN 16
/* Length of a signature in hexadecimal digits. */
#define SIGNATURE_HEX_LEN ((size_t)(2 * PR_SHA256_SIZE))
/* Upper bound of the payload in bytes: four names, their keys, and 64 bytes for
 * the other two fields and the msgpack headers. */
#define PAYLOAD_MAX ((size_t)(4 * (PR_SESSION_NAME_MAX + 16) + 64))

int pr_session_set(pr_session_t *session, pr_slice_t workspace, pr_slice_t id,
		   pr_slice_t model, pr_slice_t version, pr_usec_t issued)
{
	session->issued = issued;
	if (pr_slice_copy(session->workspace, sizeof(session->workspace),
			  workspace) ||
	    pr_slice_copy(session->session, sizeof(session->session), id) ||
	    pr_slice_copy(session->model, sizeof(session->model), model) ||
	    pr_slice_copy(session->version, sizeof(session->version), version))
		return pr_error_set(PR_EFULL,
				    "a workspace, session, model or version "
				    "name is longer than %d bytes",
				    PR_SESSION_NAME_MAX);
	return 0;
}

int pr_session_keyring_init(pr_session_keyring_t *keyring, pr_slice_t secret)
{
	*keyring = (pr_session_keyring_t){ .lengths = { 0, 0 } };
	return pr_session_keyring_rotate(keyring, secret);
}

int pr_session_keyring_rotate(pr_session_keyring_t *keyring, pr_slice_t secret)
{
	if (secret.len < SECRET_MIN || secret.len > PR_SESSION_SECRET_MAX)
		return pr_error_set(PR_EINVALID,
				    "session secret has %zu bytes, must have "
				    "%d to %d",
				    secret.len, SECRET_MIN,
				    PR_SESSION_SECRET_MAX);
	memcpy(keyring->secrets[1], keyring->secrets[0], PR_SESSION_SECRET_MAX);
	keyring->lengths[1] = keyring->lengths[0];
	memcpy(keyring->secrets[0], secret.ptr, secret.len);
	keyring->lengths[0] = secret.len;
	return 0;
}

static void pack_string(msgpack_packer *packer, const char *key,
			pr_slice_t string)
{
	msgpack_pack_str_with_body(packer, key, strlen(key));
	msgpack_pack_str_with_body(packer, string.ptr, string.len);
}

/* Encodes session_put, or session_get when session is NULL. */
static int encode(pr_str_t *out, pr_slice_t workspace, pr_slice_t id,
		  const pr_session_t *session)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	int err;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_map(&packer, session ? 6 : 3);
	pack_string(&packer, "type",
		    session ? PR_SLICE("session_put")
			    : PR_SLICE("session_get"));
	pack_string(&packer, "workspace", workspace);
	pack_string(&packer, "session", id);
	if (session) {
		pack_string(&packer, "model", pr_slice_of(session->model));
		pack_string(&packer, "version", pr_slice_of(session->version));
		msgpack_pack_str_with_body(&packer, "issued", 6);
		msgpack_pack_int64(&packer, session->issued);
	}
	err = pr_str_append(out, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return err;
}

int pr_session_get_encode(pr_str_t *out, pr_slice_t workspace, pr_slice_t id)
{
	return encode(out, workspace, id, NULL);
}

int pr_session_put_encode(pr_str_t *out, const pr_session_t *session)
{
	return encode(out, pr_slice_of(session->workspace),
		      pr_slice_of(session->session), session);
}

static int decode_field(void *data, const msgpack_object_kv *field)
{
	pr_session_t *session = data;
	const struct {
		const char *name;
		char *value;
	} strings[] = { { "workspace", session->workspace },
			{ "session", session->session },
			{ "model", session->model },
			{ "version", session->version } };
	pr_slice_t key;

	if (field->key.type != MSGPACK_OBJECT_STR)
		return PR_EPARSE;
	key = pr_slice(field->key.via.str.ptr, field->key.via.str.size);
	for (size_t i = 0; i < sizeof(strings) / sizeof(strings[0]); i++) {
		if (!pr_slice_equal(key, pr_slice_of(strings[i].name)))
			continue;
		if (field->val.type != MSGPACK_OBJECT_STR)
			return PR_EPARSE;
		return pr_slice_copy(strings[i].value, PR_SESSION_NAME_MAX + 1,
				     pr_slice(field->val.via.str.ptr,
					      field->val.via.str.size));
	}
	if (!pr_slice_equal(key, PR_SLICE("issued")))
		return 0;
	if (field->val.type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		session->issued = (pr_usec_t)field->val.via.u64;
	else if (field->val.type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		session->issued = field->val.via.i64;
	else
		return PR_EPARSE;
	return 0;
}

int pr_session_decode(pr_session_t *session, pr_slice_t message)
{
	int err;

	memset(session, 0, sizeof(*session));
	err = pr_msgpack_each_field(message, decode_field, session);
	if (!err && session->workspace[0] && session->session[0])
		return 0;
	return pr_error_set(
		PR_EPARSE,
		"session message is malformed or lacks workspace or session");
}

int pr_session_sign(const pr_session_keyring_t *keyring,
		    const pr_session_t *session, pr_str_t *out)
{
	uint8_t signature[PR_SHA256_SIZE];
	char signature_hex[SIGNATURE_HEX_LEN + 1];
	char hex[2 * PAYLOAD_MAX + 1];
	pr_str_t payload = PR_STR_INIT;
	int err = pr_session_put_encode(&payload, session);

	if (err)
		goto cleanup;
	pr_hmac_sha256(signature,
		       pr_slice(keyring->secrets[0], keyring->lengths[0]),
		       pr_str_slice(&payload));
	pr_hex(hex, (const uint8_t *)payload.ptr, payload.len);
	pr_hex(signature_hex, signature, sizeof(signature));
	err = pr_str_appendf(out, "%s.%s", hex, signature_hex);
cleanup:
	pr_str_finish(&payload);
	return err;
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/* Decodes hexadecimal digits; returns false when they are not valid. */
static bool unhex(uint8_t *out, pr_slice_t hex)
{
	for (size_t i = 0; i + 1 < hex.len; i += 2) {
		int high = hex_digit(hex.ptr[i]);
		int low = hex_digit(hex.ptr[i + 1]);

		if (high < 0 || low < 0)
			return false;
		out[i / 2] = (uint8_t)(high << 4 | low);
	}
	return hex.len % 2 == 0;
}

/* Counts a malformed token and returns the error. */
static int reject_malformed(pr_session_keyring_t *keyring)
{
	keyring->malformed++;
	return pr_error_set(PR_EPARSE, "session token is malformed");
}

int pr_session_check(pr_session_keyring_t *keyring, pr_session_t *session,
		     pr_slice_t token, pr_slice_t workspace)
{
	uint8_t payload[PAYLOAD_MAX], signature[PR_SHA256_SIZE];
	uint8_t expected[PR_SHA256_SIZE];
	bool match = false;
	size_t hex_len;

	if (token.len <= SIGNATURE_HEX_LEN + 1 ||
	    token.len > 2 * PAYLOAD_MAX + SIGNATURE_HEX_LEN + 1)
		return reject_malformed(keyring);
	hex_len = token.len - SIGNATURE_HEX_LEN - 1;
	if (token.ptr[hex_len] != '.' ||
	    !unhex(payload, pr_slice(token.ptr, hex_len)) ||
	    !unhex(signature,
		   pr_slice(token.ptr + hex_len + 1, SIGNATURE_HEX_LEN)))
		return reject_malformed(keyring);
	for (int i = 0; i < 2; i++) {
		if (!keyring->lengths[i])
			continue;
		pr_hmac_sha256(
			expected,
			pr_slice(keyring->secrets[i], keyring->lengths[i]),
			pr_slice((const char *)payload, hex_len / 2));
		match |= pr_equal_constant_time(expected, signature,
						sizeof(expected));
	}
	if (!match) {
		keyring->wrong_signature++;
		return pr_error_set(PR_EDENIED,
				    "session token has a wrong signature");
	}
	if (pr_session_decode(session,
			      pr_slice((const char *)payload, hex_len / 2)))
		return reject_malformed(keyring);
	if (!pr_slice_equal(pr_slice_of(session->workspace), workspace)) {
		keyring->wrong_workspace++;
		return pr_error_set(
			PR_EDENIED,
			"session token was issued for another workspace");
	}
	keyring->accepted++;
	return 0;
}
