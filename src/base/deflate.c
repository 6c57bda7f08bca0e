/* Compression of byte strings by zlib. */
#include "base/deflate.h"

#include <stdlib.h>
#include <zlib.h>

#include "pistachiorack/error.h"

int pr_deflate(pr_str_t *out, pr_slice_t bytes)
{
	uLongf size = compressBound(bytes.len);
	Bytef *buffer = malloc(size);
	int rc = PR_ENOMEM;

	if (buffer && compress2(buffer, &size, (const Bytef *)bytes.ptr,
				bytes.len, Z_DEFAULT_COMPRESSION) == Z_OK)
		rc = pr_str_append(out, buffer, size);
	free(buffer);
	return rc;
}

int pr_inflate(pr_str_t *out, pr_slice_t bytes, size_t size)
{
	uLongf inflated = size;
	Bytef *buffer;
	int rc;

	if (size > PR_INFLATE_MAX)
		return pr_error_set(PR_EPARSE, "%zu bytes are too many", size);
	buffer = malloc(size + 1);
	if (!buffer)
		return PR_ENOMEM;
	if (uncompress(buffer, &inflated, (const Bytef *)bytes.ptr,
		       bytes.len) != Z_OK ||
	    inflated != size)
		rc = pr_error_set(PR_EPARSE, "damaged compressed bytes");
	else
		rc = pr_str_append(out, buffer, size);
	free(buffer);
	return rc;
}
