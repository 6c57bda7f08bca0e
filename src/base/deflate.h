/**
 * Compression of byte strings by zlib.
 */
#ifndef PR_BASE_DEFLATE_H
#define PR_BASE_DEFLATE_H

#include "pistachiorack/str.h"

/** Most bytes that pr_inflate() returns. */
#define PR_INFLATE_MAX ((size_t)8 * 1024 * 1024)

/** Append the compressed bytes to out. @return 0 or PR_ENOMEM */
int pr_deflate(pr_str_t *out, pr_slice_t bytes);
/**
 * Append the decompressed bytes to out.
 *
 * @param size number of bytes before compression
 * @return 0, PR_ENOMEM, or PR_EPARSE when the bytes are damaged or have another
 *	   size
 */
int pr_inflate(pr_str_t *out, pr_slice_t bytes, size_t size);

#endif
