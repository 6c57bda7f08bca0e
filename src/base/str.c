/* Length-counted strings. Growth doubles, so appends are amortised O(1). */
#include "pistachiorack/str.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "pistachiorack/error.h"

#define FIRST_CAPACITY 64

bool pr_slice_equal(pr_slice_t a, pr_slice_t b)
{
	return a.len == b.len &&
	       (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

bool pr_slice_starts_with(pr_slice_t text, pr_slice_t prefix)
{
	return text.len >= prefix.len &&
	       memcmp(text.ptr, prefix.ptr, prefix.len) == 0;
}

int pr_slice_copy(char *buffer, size_t size, pr_slice_t slice)
{
	buffer[0] = '\0';
	if (slice.len >= size)
		return PR_EFULL;
	if (slice.len)
		memcpy(buffer, slice.ptr, slice.len);
	buffer[slice.len] = '\0';
	return 0;
}

void pr_str_init(pr_str_t *str)
{
	*str = (pr_str_t)PR_STR_INIT;
}

void pr_str_finish(pr_str_t *str)
{
	free(str->ptr);
	pr_str_init(str);
}

void pr_str_clear(pr_str_t *str)
{
	str->len = 0;
	if (str->ptr)
		str->ptr[0] = '\0';
}

void pr_str_trim(pr_str_t *str, size_t kept)
{
	if (str->cap > kept)
		pr_str_finish(str);
	else
		pr_str_clear(str);
}

size_t pr_str_capacity_after(const pr_str_t *str, size_t extra)
{
	size_t needed = str->len + extra + 1;
	size_t cap = str->cap ? str->cap : FIRST_CAPACITY;

	if (needed <= str->cap)
		return str->cap;
	while (cap < needed)
		cap *= 2;
	return cap;
}

int pr_str_reserve(pr_str_t *str, size_t capacity)
{
	char *grown;

	if (capacity <= str->cap)
		return 0;
	grown = realloc(str->ptr, capacity);
	if (!grown)
		return pr_error_set(PR_ENOMEM, "no memory for %zu bytes",
				    capacity);
	str->ptr = grown;
	str->ptr[str->len] = '\0';
	str->cap = capacity;
	return 0;
}

static int reserve(pr_str_t *str, size_t extra)
{
	return pr_str_reserve(str, pr_str_capacity_after(str, extra));
}

int pr_str_append(pr_str_t *str, const void *bytes, size_t len)
{
	int rc = reserve(str, len);

	if (rc)
		return rc;
	if (len)
		memcpy(str->ptr + str->len, bytes, len);
	str->len += len;
	str->ptr[str->len] = '\0';
	return 0;
}

int pr_str_appendf(pr_str_t *str, const char *fmt, ...)
{
	va_list args;
	int len;
	int rc;

	va_start(args, fmt);
	len = vsnprintf(NULL, 0, fmt, args);
	va_end(args);
	if (len < 0)
		return pr_error_set(PR_EINVALID, "bad format");
	rc = reserve(str, (size_t)len);
	if (rc)
		return rc;
	va_start(args, fmt);
	vsnprintf(str->ptr + str->len, (size_t)len + 1, fmt, args);
	va_end(args);
	str->len += (size_t)len;
	return 0;
}

const char *pr_str_cstr(const pr_str_t *str)
{
	return str->ptr ? str->ptr : "";
}
