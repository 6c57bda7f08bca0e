/* Flat msgpack maps of peer messages. */
#include "base/msgmap.h"

#include "pistachiorack/error.h"

/* No message has more fields; bounds what a header can announce. */
#define FIELDS_MAX 15

static size_t big_endian(const uint8_t *bytes, size_t count)
{
	size_t value = 0;

	for (size_t i = 0; i < count; i++)
		value = value << 8 | bytes[i];
	return value;
}

/* Length of a text or binary value with a size field of 1, 2 or 4 bytes. */
static size_t sized(const uint8_t *bytes, size_t left, size_t field)
{
	if (left < 1 + field)
		return 0;
	return 1 + field + big_endian(bytes + 1, field);
}

/* Encoded length of the scalar at bytes; 0 for anything else. */
static size_t scalar_length(const uint8_t *bytes, size_t left)
{
	uint8_t type = left ? bytes[0] : 0xc1;

	if (type < 0x80 || type >= 0xe0 || type == 0xc0 || type == 0xc2 ||
	    type == 0xc3)
		return 1;
	if (type >= 0xa0 && type <= 0xbf)
		return 1 + (type & 0x1fu);
	if (type >= 0xc4 && type <= 0xc6)
		return sized(bytes, left, (size_t)1 << (type - 0xc4));
	if (type >= 0xd9 && type <= 0xdb)
		return sized(bytes, left, (size_t)1 << (type - 0xd9));
	if (type == 0xca || type == 0xcb)
		return type == 0xca ? 5 : 9;
	if (type >= 0xcc && type <= 0xd3)
		return 1 + ((size_t)1 << ((type - 0xcc) & 3));
	return 0;
}

static bool is_flat_map(pr_slice_t bytes)
{
	const uint8_t *at = (const uint8_t *)bytes.ptr;
	size_t left = bytes.len;
	size_t values;

	if (!left || at[0] < 0x80 || at[0] > 0x80 + FIELDS_MAX)
		return false;
	values = 2 * (size_t)(at[0] - 0x80);
	at++;
	left--;
	while (values--) {
		size_t length = scalar_length(at, left);

		if (!length || length > left)
			return false;
		at += length;
		left -= length;
	}
	return !left;
}

int pr_msgmap_init(pr_msgmap_t *map, pr_slice_t bytes)
{
	size_t offset = 0;

	msgpack_unpacked_init(&map->unpacked);
	if (!is_flat_map(bytes))
		return pr_error_set(PR_EPARSE, "message is not a flat map");
	if (msgpack_unpack_next(&map->unpacked, bytes.ptr, bytes.len,
				&offset) != MSGPACK_UNPACK_SUCCESS) {
		msgpack_unpacked_destroy(&map->unpacked);
		return pr_error_set(PR_EPARSE, "message is not msgpack");
	}
	return 0;
}

void pr_msgmap_finish(pr_msgmap_t *map)
{
	msgpack_unpacked_destroy(&map->unpacked);
}

static const msgpack_object *find(const pr_msgmap_t *map, const char *name)
{
	const msgpack_object_map *fields = &map->unpacked.data.via.map;

	for (uint32_t i = 0; i < fields->size; i++) {
		const msgpack_object *key = &fields->ptr[i].key;

		if (key->type == MSGPACK_OBJECT_STR &&
		    pr_slice_equal(
			    pr_slice(key->via.str.ptr, key->via.str.size),
			    pr_slice_of(name)))
			return &fields->ptr[i].val;
	}
	return NULL;
}

int pr_msgmap_text(const pr_msgmap_t *map, pr_slice_t *out, const char *name)
{
	const msgpack_object *value = find(map, name);

	if (!value || value->type != MSGPACK_OBJECT_STR)
		return pr_error_set(PR_EPARSE, "message lacks text %s", name);
	*out = pr_slice(value->via.str.ptr, value->via.str.size);
	return 0;
}

int pr_msgmap_number(const pr_msgmap_t *map, uint64_t *out, const char *name)
{
	const msgpack_object *value = find(map, name);

	if (!value || value->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return pr_error_set(PR_EPARSE, "message lacks number %s", name);
	*out = value->via.u64;
	return 0;
}

static int write_str(void *data, const char *bytes, size_t len)
{
	return pr_str_append(data, bytes, len);
}

void pr_msgmap_packer(msgpack_packer *packer, pr_str_t *out)
{
	msgpack_packer_init(packer, out, write_str);
}

int pr_msgmap_pack_text(msgpack_packer *packer, const char *name,
			pr_slice_t value)
{
	size_t len = strlen(name);

	if (msgpack_pack_str(packer, len) ||
	    msgpack_pack_str_body(packer, name, len) ||
	    msgpack_pack_str(packer, value.len) ||
	    msgpack_pack_str_body(packer, value.ptr ? value.ptr : "",
				  value.len))
		return PR_ENOMEM;
	return 0;
}

int pr_msgmap_pack_number(msgpack_packer *packer, const char *name,
			  uint64_t value)
{
	size_t len = strlen(name);

	if (msgpack_pack_str(packer, len) ||
	    msgpack_pack_str_body(packer, name, len) ||
	    msgpack_pack_uint64(packer, value))
		return PR_ENOMEM;
	return 0;
}
