/* Encoding and decoding of datagrams; the decoder's input is untrusted. */
#include "member/message.h"

#include "base/msgpack_check.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

/* Version of the datagram format; a receiver rejects other versions. */
#define FORMAT_VERSION 1
/* Elements of the outer msgpack array; later ones are ignored. */
#define FIELD_COUNT 10
/* Maximum size of the msgpack array. */
#define BODY_MAX_BYTES (PR_MEMBER_DATAGRAM_MAX - PR_PROBE_MAC_SIZE)

static void pack_text(msgpack_packer *packer, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text, len);
}

static void pack(msgpack_sbuffer *buffer, const pr_probe_t *probe)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, FIELD_COUNT);
	msgpack_pack_uint64(&packer, FORMAT_VERSION);
	msgpack_pack_uint64(&packer, probe->kind);
	pack_text(&packer, probe->from);
	msgpack_pack_uint64(&packer, probe->incarnation);
	msgpack_pack_uint64(&packer, probe->leaving);
	msgpack_pack_uint64(&packer, probe->sequence);
	pack_text(&packer, probe->subject);
	msgpack_pack_uint64(&packer, probe->config_version);
	msgpack_pack_int64(&packer, probe->config_age_ms);
	msgpack_pack_array(&packer, (size_t)probe->updates_count * 3);
	for (unsigned int i = 0; i < probe->updates_count; i++) {
		pack_text(&packer, probe->updates[i].host);
		msgpack_pack_uint64(&packer, probe->updates[i].state);
		msgpack_pack_uint64(&packer, probe->updates[i].incarnation);
	}
}

size_t pr_probe_encode(char *out, pr_probe_t *probe, pr_slice_t secret)
{
	uint8_t mac[PR_SHA256_SIZE];
	msgpack_sbuffer buffer;
	size_t len = 0;

	msgpack_sbuffer_init(&buffer);
	pack(&buffer, probe);
	while (buffer.size > BODY_MAX_BYTES && probe->updates_count) {
		probe->updates_count--;
		msgpack_sbuffer_clear(&buffer);
		pack(&buffer, probe);
	}
	if (buffer.data && buffer.size <= BODY_MAX_BYTES) {
		len = buffer.size;
		memcpy(out, buffer.data, len);
		pr_hmac_sha256(mac, secret, pr_slice(out, len));
		memcpy(out + len, mac, PR_PROBE_MAC_SIZE);
		len += PR_PROBE_MAC_SIZE;
	}
	msgpack_sbuffer_destroy(&buffer);
	return len;
}

static bool read_u64(uint64_t *out, const msgpack_object *object)
{
	*out = object->type == MSGPACK_OBJECT_POSITIVE_INTEGER ? object->via.u64
							       : 0;
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool read_text(char out[PR_MEMBER_NAME_SIZE],
		      const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_STR &&
	       (!object->via.str.size ||
		!memchr(object->via.str.ptr, 0, object->via.str.size)) &&
	       !pr_slice_copy(
		       out, PR_MEMBER_NAME_SIZE,
		       pr_slice(object->via.str.ptr, object->via.str.size));
}

static bool read_updates(pr_probe_t *out, const msgpack_object *object)
{
	const msgpack_object *at;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size > PR_PROBE_UPDATES_MAX * 3 ||
	    object->via.array.size % 3)
		return false;
	out->updates_count = object->via.array.size / 3;
	at = object->via.array.ptr;
	for (unsigned int i = 0; i < out->updates_count; i++, at += 3) {
		pr_update_t *update = &out->updates[i];
		uint64_t state;

		if (!read_text(update->host, &at[0]) ||
		    !read_u64(&state, &at[1]) || state > PR_MEMBER_DEAD ||
		    !read_u64(&update->incarnation, &at[2]))
			return false;
		update->state = (pr_member_state_t)state;
	}
	return true;
}

static bool read_age(int64_t *out, const msgpack_object *object)
{
	bool none = object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER;

	*out = -1;
	if (none)
		return true;
	/* The limit avoids an overflow when callers convert to microseconds. */
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > INT64_MAX / 2000)
		return false;
	*out = (int64_t)object->via.u64;
	return true;
}

static bool read_fields(pr_probe_t *out, const msgpack_object *object)
{
	const msgpack_object *field;
	uint64_t format, kind, leaving;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < FIELD_COUNT)
		return false;
	field = object->via.array.ptr;
	if (!read_u64(&format, &field[0]) || format != FORMAT_VERSION ||
	    !read_u64(&kind, &field[1]) || kind > PR_PROBE_GOSSIP ||
	    !read_text(out->from, &field[2]) ||
	    !read_u64(&out->incarnation, &field[3]) ||
	    !read_u64(&leaving, &field[4]) ||
	    !read_u64(&out->sequence, &field[5]) ||
	    !read_text(out->subject, &field[6]) ||
	    !read_u64(&out->config_version, &field[7]) ||
	    !read_age(&out->config_age_ms, &field[8]) ||
	    !read_updates(out, &field[9]))
		return false;
	out->kind = (pr_probe_kind_t)kind;
	out->leaving = leaving != 0;
	return true;
}

int pr_probe_decode(pr_probe_t *out, pr_slice_t datagram, pr_slice_t secret)
{
	uint8_t mac[PR_SHA256_SIZE];
	msgpack_unpacked result;
	pr_slice_t body;
	bool valid = false;

	memset(out, 0, sizeof(*out));
	if (datagram.len <= PR_PROBE_MAC_SIZE ||
	    datagram.len > PR_MEMBER_DATAGRAM_MAX)
		return pr_error_set(
			PR_EPARSE,
			"datagram of %zu bytes is too short or too long",
			datagram.len);
	body = pr_slice(datagram.ptr, datagram.len - PR_PROBE_MAC_SIZE);
	pr_hmac_sha256(mac, secret, body);
	if (!pr_equal_constant_time(mac, datagram.ptr + body.len,
				    PR_PROBE_MAC_SIZE))
		return pr_error_set(PR_EDENIED, "datagram has a wrong HMAC");
	msgpack_unpacked_init(&result);
	if (pr_msgpack_check(body) &&
	    msgpack_unpack_next(&result, body.ptr, body.len, NULL) ==
		    MSGPACK_UNPACK_SUCCESS)
		valid = read_fields(out, &result.data);
	msgpack_unpacked_destroy(&result);
	return valid ? 0
		     : pr_error_set(
			       PR_EPARSE,
			       "datagram body is malformed or has an unknown "
			       "format version");
}
