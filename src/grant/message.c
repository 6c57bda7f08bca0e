/* Encoder and decoder of lease messages; the decoder gets untrusted bytes. */
#include "grant/message.h"

#include "base/msgpack_check.h"
#include "pistachiorack/error.h"

static void pack_key(msgpack_packer *packer, const char *key)
{
	size_t len = strlen(key);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, key, len);
}

static void pack_number(msgpack_packer *packer, const char *key, uint64_t value)
{
	pack_key(packer, key);
	msgpack_pack_uint64(packer, value);
}

void pr_lease_encode(msgpack_sbuffer *out, const pr_lease_message_t *message)
{
	bool is_request = message->type == PR_LEASE_REQUEST;
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_pack_map(&packer, 6);
	pack_key(&packer, "type");
	pack_key(&packer, is_request ? "lease" : "lease_result");
	pack_key(&packer, "resource");
	pack_key(&packer, message->resource);
	pack_number(&packer, "sent", (uint64_t)message->sent);
	if (!is_request) {
		pack_number(&packer, "status", message->status);
		pack_number(&packer, "amount", message->amount);
		pack_number(&packer, "lifetime", (uint64_t)message->lifetime);
		return;
	}
	pack_number(&packer, "held", message->held);
	pack_number(&packer, "in_use", message->in_use);
	pack_key(&packer, "demand");
	msgpack_pack_array(&packer, PR_GRANT_CLASSES);
	for (int i = 0; i < PR_GRANT_CLASSES; i++)
		msgpack_pack_uint32(&packer, message->demand[i]);
}

static bool equals_text(const msgpack_object *object, const char *text)
{
	return object->type == MSGPACK_OBJECT_STR &&
	       object->via.str.size == strlen(text) &&
	       !memcmp(object->via.str.ptr, text, object->via.str.size);
}

static bool read_number(uint64_t *out, const msgpack_object *object,
			uint64_t max)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > max)
		return false;
	*out = object->via.u64;
	return true;
}

static bool read_u32(uint32_t *out, const msgpack_object *object)
{
	uint64_t value;

	if (!read_number(&value, object, UINT32_MAX))
		return false;
	*out = (uint32_t)value;
	return true;
}

static bool read_usec(pr_usec_t *out, const msgpack_object *object)
{
	uint64_t value;

	if (!read_number(&value, object, INT64_MAX))
		return false;
	*out = (pr_usec_t)value;
	return true;
}

static bool read_demand(pr_lease_message_t *out, const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != PR_GRANT_CLASSES)
		return false;
	for (int i = 0; i < PR_GRANT_CLASSES; i++)
		if (!read_u32(&out->demand[i], &object->via.array.ptr[i]))
			return false;
	return true;
}

static bool read_name(pr_lease_message_t *out, const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_STR && object->via.str.size &&
	       !memchr(object->via.str.ptr, 0, object->via.str.size) &&
	       !pr_slice_copy(
		       out->resource, sizeof(out->resource),
		       pr_slice(object->via.str.ptr, object->via.str.size));
}

static bool read_status(pr_lease_message_t *out, const msgpack_object *object)
{
	uint64_t value;

	if (!read_number(&value, object, PR_LEASE_NOT_OWNER))
		return false;
	out->status = (pr_lease_status_t)value;
	return true;
}

static bool read_type(pr_lease_message_t *out, const msgpack_object *object)
{
	out->type = equals_text(object, "lease") ? PR_LEASE_REQUEST
						 : PR_LEASE_RESULT;
	return equals_text(object, "lease") ||
	       equals_text(object, "lease_result");
}

/* One bit for each field; the fields that are required in each message. */
enum {
	HAS_TYPE = 1,
	HAS_RESOURCE = 2,
	HAS_SENT = 4,
	HAS_HELD = 8,
	HAS_IN_USE = 16,
	HAS_DEMAND = 32,
	HAS_STATUS = 64,
	HAS_AMOUNT = 128,
	HAS_LIFETIME = 256,
	REQUEST_FIELDS = HAS_TYPE | HAS_RESOURCE | HAS_SENT | HAS_HELD |
			 HAS_IN_USE | HAS_DEMAND,
	RESULT_FIELDS = HAS_TYPE | HAS_RESOURCE | HAS_SENT | HAS_STATUS |
			HAS_AMOUNT | HAS_LIFETIME,
};

/* @return the bit of the field, 0 for an unknown field, -1 for a bad value */
static int read_field(pr_lease_message_t *out, const msgpack_object_kv *field)
{
	const msgpack_object *key = &field->key;
	const msgpack_object *val = &field->val;

	if (equals_text(key, "type"))
		return read_type(out, val) ? HAS_TYPE : -1;
	if (equals_text(key, "resource"))
		return read_name(out, val) ? HAS_RESOURCE : -1;
	if (equals_text(key, "sent"))
		return read_usec(&out->sent, val) ? HAS_SENT : -1;
	if (equals_text(key, "held"))
		return read_u32(&out->held, val) ? HAS_HELD : -1;
	if (equals_text(key, "in_use"))
		return read_u32(&out->in_use, val) ? HAS_IN_USE : -1;
	if (equals_text(key, "demand"))
		return read_demand(out, val) ? HAS_DEMAND : -1;
	if (equals_text(key, "status"))
		return read_status(out, val) ? HAS_STATUS : -1;
	if (equals_text(key, "amount"))
		return read_u32(&out->amount, val) ? HAS_AMOUNT : -1;
	if (equals_text(key, "lifetime"))
		return read_usec(&out->lifetime, val) ? HAS_LIFETIME : -1;
	return 0;
}

int pr_lease_decode(pr_lease_message_t *out, pr_slice_t bytes)
{
	msgpack_unpacked result;
	int seen = 0, required;

	memset(out, 0, sizeof(*out));
	msgpack_unpacked_init(&result);
	if (pr_msgpack_check(bytes) &&
	    msgpack_unpack_next(&result, bytes.ptr, bytes.len, NULL) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    result.data.type == MSGPACK_OBJECT_MAP) {
		const msgpack_object_map *map = &result.data.via.map;

		for (uint32_t i = 0; i < map->size && seen >= 0; i++) {
			int bit = read_field(out, &map->ptr[i]);

			seen = bit < 0 ? -1 : seen | bit;
		}
	}
	msgpack_unpacked_destroy(&result);
	required =
		out->type == PR_LEASE_REQUEST ? REQUEST_FIELDS : RESULT_FIELDS;
	if (seen < 0 || (seen & required) != required)
		return pr_error_set(PR_EPARSE,
				    "lease message is not a msgpack map, or a "
				    "field is missing or not valid");
	return 0;
}
