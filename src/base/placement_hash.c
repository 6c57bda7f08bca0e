/* Hashes for placement by xxHash; apart from hash.c, so that programs which
 * need no cryptography do not load it. */
#include <xxhash.h>

#include "pistachiorack/hash.h"

uint64_t pr_hash64(const void *bytes, size_t len, uint64_t seed)
{
	return XXH64(bytes, len, seed);
}

uint64_t pr_rendezvous_score(pr_slice_t key, pr_slice_t node)
{
	return XXH64(node.ptr, node.len, XXH64(key.ptr, key.len, 0));
}
