/*
 * Bounds check of msgpack bytes from the network.
 *
 * libmsgpack's unpacker allocates what an array or map header announces before
 * it looks at the content, so five damaged bytes can ask for 64 GiB. Bytes that
 * pass this check announce no more entries than they can hold.
 */
#ifndef PR_BASE_MSGPACK_CHECK_H
#define PR_BASE_MSGPACK_CHECK_H

#include <msgpack.h>
#include <stdbool.h>

#include "pistachiorack/str.h"

/** Deepest nesting of arrays and maps that is accepted. */
#define PR_MSGPACK_DEPTH_MAX 8

/** @return true when bytes start with one whole value within the bounds */
bool pr_msgpack_check(pr_slice_t bytes);
/**
 * Give each field of one map to a function, after the check above.
 *
 * @param take returns 0 or an error, which ends the reading
 * @return 0, PR_EPARSE (not a map within the bounds) or the error of take
 */
int pr_msgpack_each_field(pr_slice_t bytes,
			  int (*take)(void *data,
				      const msgpack_object_kv *field),
			  void *data);

#endif
