#include "base/msgpack_check.h"

#include "pistachiorack/error.h"

#include <stdint.h>

static uint32_t big_endian(const uint8_t *bytes, size_t len)
{
	uint32_t value = 0;

	for (size_t i = 0; i < len; i++)
		value = value << 8 | bytes[i];
	return value;
}

/* What the first byte of a value announces. */
typedef struct head_t {
	/* Bytes of the length field after the first byte. */
	size_t length_bytes;
	/* Bytes of content, without those that the length field adds. */
	size_t fixed;
	/* The length field or fixed counts entries, each of this many values.
	 */
	uint32_t values;
	uint32_t entries;
	bool valid;
} head_t;

/* Types 0xc0 to 0xdf, by the msgpack specification. */
static head_t long_head(uint8_t first)
{
	static const uint8_t lengths[32] = { 0, 0, 0, 0, 1, 2, 4, 1, 2, 4, 0,
					     0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0,
					     0, 0, 0, 1, 2, 4, 2, 4, 2, 4 };
	static const uint8_t fixed[32] = { 0, 0, 0,  0, 0, 0, 0, 1, 1, 1, 4,
					   8, 1, 2,  4, 8, 1, 2, 4, 8, 2, 3,
					   5, 9, 17, 0, 0, 0, 0, 0, 0, 0 };
	head_t head = { .length_bytes = lengths[first - 0xc0],
			.fixed = fixed[first - 0xc0],
			.valid = first != 0xc1 };

	if (first == 0xdc || first == 0xdd)
		head.values = 1;
	else if (first >= 0xde)
		head.values = 2;
	return head;
}

static head_t read_head(uint8_t first)
{
	if (first < 0x80 || first >= 0xe0)
		return (head_t){ .valid = true };
	if (first < 0x90)
		return (head_t){ .values = 2,
				 .entries = first & 15,
				 .valid = true };
	if (first < 0xa0)
		return (head_t){ .values = 1,
				 .entries = first & 15,
				 .valid = true };
	if (first < 0xc0)
		return (head_t){ .fixed = first & 31, .valid = true };
	return long_head(first);
}

bool pr_msgpack_check(pr_slice_t bytes)
{
	const uint8_t *at = (const uint8_t *)bytes.ptr;
	size_t left = bytes.len, depth = 0;
	/* Values still to come at each level. */
	size_t wanted[PR_MSGPACK_DEPTH_MAX + 1] = { 1 };

	for (;;) {
		uint32_t length = 0;
		head_t head;

		while (!wanted[depth]) {
			if (!depth)
				return true;
			depth--;
		}
		wanted[depth]--;
		head = left ? read_head(*at) : (head_t){ 0 };
		if (!head.valid || left < 1 + head.length_bytes)
			return false;
		length = big_endian(at + 1, head.length_bytes);
		at += 1 + head.length_bytes;
		left -= 1 + head.length_bytes;
		if (head.values) {
			size_t count =
				(size_t)(head.length_bytes ? length
							   : head.entries) *
				head.values;

			if (count > left || depth == PR_MSGPACK_DEPTH_MAX)
				return false;
			wanted[++depth] = count;
			continue;
		}
		if (left < head.fixed || left - head.fixed < length)
			return false;
		at += head.fixed + length;
		left -= head.fixed + length;
	}
}

int pr_msgpack_each_field(pr_slice_t bytes,
			  int (*take)(void *data,
				      const msgpack_object_kv *field),
			  void *data)
{
	msgpack_unpacked unpacked;
	int rc = PR_EPARSE;

	if (!pr_msgpack_check(bytes))
		return PR_EPARSE;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, bytes.ptr, bytes.len, NULL) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_MAP) {
		const msgpack_object_map *map = &unpacked.data.via.map;

		rc = 0;
		for (uint32_t i = 0; !rc && i < map->size; i++)
			rc = take(data, &map->ptr[i]);
	}
	msgpack_unpacked_destroy(&unpacked);
	return rc;
}
