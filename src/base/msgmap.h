/**
 * Reader for peer messages: one flat msgpack map with text keys and scalar
 * values. Containers inside the map are refused before they are unpacked,
 * because libmsgpack allocates what a container header announces.
 */
#ifndef PR_BASE_MSGMAP_H
#define PR_BASE_MSGMAP_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"

typedef struct pr_msgmap_t {
	msgpack_unpacked unpacked;
} pr_msgmap_t;

/** @return 0 or PR_EPARSE; on 0 pr_msgmap_finish() must follow */
int pr_msgmap_init(pr_msgmap_t *map, pr_slice_t bytes);
/** Slices that were read stay valid as long as the bytes. */
void pr_msgmap_finish(pr_msgmap_t *map);
/** @return 0 or PR_EPARSE when the field is missing or has another type */
int pr_msgmap_text(const pr_msgmap_t *map, pr_slice_t *out, const char *name);
int pr_msgmap_number(const pr_msgmap_t *map, uint64_t *out, const char *name);

/** A packer that appends to a string; writes go through pr_str_append(). */
void pr_msgmap_packer(msgpack_packer *packer, pr_str_t *out);
int pr_msgmap_pack_text(msgpack_packer *packer, const char *name,
			pr_slice_t value);
int pr_msgmap_pack_number(msgpack_packer *packer, const char *name,
			  uint64_t value);

#endif
