/*
 * Session token and messages. A token is "<hex payload>.<hex HMAC-SHA256>";
 * the payload is the msgpack map of the session_put message. Hexadecimal
 * survives every proxy and header parser and needs no escaping.
 */
#include "base/msgpack_check.h"
#include "pistachiorack/session.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

#define SECRET_MIN    16
#define SIGNATURE_HEX ((size_t)(2 * PR_SHA256_SIZE))
/* Five fields of bounded length and their keys, with room to spare. */
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
				    "a name of the session is above %d bytes",
				    PR_SESSION_NAME_MAX);
	return 0;
}

int pr_session_keyring_init(pr_session_keyring_t *ring, pr_slice_t secret)
{
	*ring = (pr_session_keyring_t){ .lengths = { 0, 0 } };
	return pr_session_keyring_rotate(ring, secret);
}

int pr_session_keyring_rotate(pr_session_keyring_t *ring, pr_slice_t secret)
{
	if (secret.len < SECRET_MIN || secret.len > PR_SESSION_SECRET_MAX)
		return pr_error_set(PR_EINVALID,
				    "session secret has %zu bytes, allowed are "
				    "%d to %d",
				    secret.len, SECRET_MIN,
				    PR_SESSION_SECRET_MAX);
	memcpy(ring->secrets[1], ring->secrets[0], PR_SESSION_SECRET_MAX);
	ring->lengths[1] = ring->lengths[0];
	memcpy(ring->secrets[0], secret.ptr, secret.len);
	ring->lengths[0] = secret.len;
	return 0;
}

static void pack_text(msgpack_packer *packer, const char *key, pr_slice_t text)
{
	msgpack_pack_str_with_body(packer, key, strlen(key));
	msgpack_pack_str_with_body(packer, text.ptr, text.len);
}

static int encode(pr_str_t *out, pr_slice_t workspace, pr_slice_t id,
		  const pr_session_t *session)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	int err;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_map(&packer, session ? 6 : 3);
	pack_text(&packer, "type",
		  session ? PR_SLICE("session_put") : PR_SLICE("session_get"));
	pack_text(&packer, "workspace", workspace);
	pack_text(&packer, "session", id);
	if (session) {
		pack_text(&packer, "model", pr_slice_of(session->model));
		pack_text(&packer, "version", pr_slice_of(session->version));
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

static int take_field(void *data, const msgpack_object_kv *field)
{
	pr_session_t *session = data;
	const struct {
		const char *name;
		char *value;
	} texts[] = { { "workspace", session->workspace },
		      { "session", session->session },
		      { "model", session->model },
		      { "version", session->version } };
	pr_slice_t key;

	if (field->key.type != MSGPACK_OBJECT_STR)
		return PR_EPARSE;
	key = pr_slice(field->key.via.str.ptr, field->key.via.str.size);
	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		if (!pr_slice_equal(key, pr_slice_of(texts[i].name)))
			continue;
		if (field->val.type != MSGPACK_OBJECT_STR)
			return PR_EPARSE;
		return pr_slice_copy(texts[i].value, PR_SESSION_NAME_MAX + 1,
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
	err = pr_msgpack_each_field(message, take_field, session);
	if (!err && session->workspace[0] && session->session[0])
		return 0;
	return pr_error_set(PR_EPARSE, "session message is malformed");
}

int pr_session_sign(const pr_session_keyring_t *ring,
		    const pr_session_t *session, pr_str_t *out)
{
	uint8_t signature[PR_SHA256_SIZE];
	char signature_hex[SIGNATURE_HEX + 1];
	char hex[2 * PAYLOAD_MAX + 1];
	pr_str_t payload = PR_STR_INIT;
	int err = pr_session_put_encode(&payload, session);

	if (err)
		goto cleanup;
	pr_hmac_sha256(signature, pr_slice(ring->secrets[0], ring->lengths[0]),
		       pr_str_slice(&payload));
	pr_hex(hex, (const uint8_t *)payload.ptr, payload.len);
	pr_hex(signature_hex, signature, sizeof(signature));
	err = pr_str_appendf(out, "%s.%s", hex, signature_hex);
cleanup:
	pr_str_finish(&payload);
	return err;
}

static int nibble(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static bool unhex(uint8_t *out, pr_slice_t hex)
{
	for (size_t i = 0; i + 1 < hex.len; i += 2) {
		int high = nibble(hex.ptr[i]), low = nibble(hex.ptr[i + 1]);

		if (high < 0 || low < 0)
			return false;
		out[i / 2] = (uint8_t)(high << 4 | low);
	}
	return hex.len % 2 == 0;
}

static int malformed(pr_session_keyring_t *ring)
{
	ring->malformed++;
	return pr_error_set(PR_EPARSE, "session token is malformed");
}

int pr_session_check(pr_session_keyring_t *ring, pr_session_t *session,
		     pr_slice_t token, pr_slice_t workspace)
{
	uint8_t payload[PAYLOAD_MAX], signature[PR_SHA256_SIZE];
	uint8_t expected[PR_SHA256_SIZE];
	bool match = false;
	size_t hex_len;

	if (token.len <= SIGNATURE_HEX + 1 ||
	    token.len > 2 * PAYLOAD_MAX + SIGNATURE_HEX + 1)
		return malformed(ring);
	hex_len = token.len - SIGNATURE_HEX - 1;
	if (token.ptr[hex_len] != '.' ||
	    !unhex(payload, pr_slice(token.ptr, hex_len)) ||
	    !unhex(signature, pr_slice(token.ptr + hex_len + 1, SIGNATURE_HEX)))
		return malformed(ring);
	for (int i = 0; i < 2; i++) {
		if (!ring->lengths[i])
			continue;
		pr_hmac_sha256(expected,
			       pr_slice(ring->secrets[i], ring->lengths[i]),
			       pr_slice((const char *)payload, hex_len / 2));
		match |= pr_equal_constant_time(expected, signature,
						sizeof(expected));
	}
	if (!match) {
		ring->wrong_signature++;
		return pr_error_set(PR_EDENIED, "session token: signature");
	}
	if (pr_session_decode(session,
			      pr_slice((const char *)payload, hex_len / 2)))
		return malformed(ring);
	if (!pr_slice_equal(pr_slice_of(session->workspace), workspace)) {
		ring->wrong_workspace++;
		return pr_error_set(PR_EDENIED, "session token: workspace");
	}
	ring->accepted++;
	return 0;
}
