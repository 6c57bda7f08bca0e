/**
 * Length-counted strings: pr_slice_t borrows, pr_str_t owns and grows.
 */
#ifndef PISTACHIORACK_STR_H
#define PISTACHIORACK_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/** Borrowed bytes; not terminated, valid as long as their owner. */
typedef struct pr_slice_t {
	const char *ptr;
	size_t len;
} pr_slice_t;

/** Owned bytes; ptr[len] is always a zero byte once something was added. */
typedef struct pr_str_t {
	char *ptr;
	size_t len;
	size_t cap;
} pr_str_t;

#define PR_STR_INIT                                                            \
	{                                                                      \
		NULL, 0, 0                                                     \
	}
/** A slice of a string literal. */
#define PR_SLICE(literal) ((pr_slice_t){ (literal), sizeof(literal) - 1 })

static inline pr_slice_t pr_slice(const char *ptr, size_t len)
{
	return (pr_slice_t){ ptr, len };
}

static inline pr_slice_t pr_slice_of(const char *text)
{
	return (pr_slice_t){ text, text ? strlen(text) : 0 };
}

static inline pr_slice_t pr_str_slice(const pr_str_t *str)
{
	return (pr_slice_t){ str->ptr ? str->ptr : "", str->len };
}

bool pr_slice_equal(pr_slice_t a, pr_slice_t b);
bool pr_slice_starts_with(pr_slice_t text, pr_slice_t prefix);

/**
 * Copy a slice into a fixed buffer and terminate it.
 *
 * @return 0, or PR_EFULL when it did not fit; the buffer then holds ""
 */
int pr_slice_copy(char *buffer, size_t size, pr_slice_t slice);

void pr_str_init(pr_str_t *str);
/** Release the memory; the string may be used again as an empty one. */
void pr_str_finish(pr_str_t *str);
/** Forget the content, keep the memory. */
void pr_str_clear(pr_str_t *str);
/** Forget the content, keep the memory if it is at most so many bytes. */
void pr_str_trim(pr_str_t *str, size_t kept);
/** @return bytes that the string has allocated once so many more are appended
 */
size_t pr_str_capacity_after(const pr_str_t *str, size_t extra);
/**
 * Allocate exactly so many bytes, the terminator included. A string that has as
 * many stays as it is.
 *
 * @return 0 or PR_ENOMEM
 */
int pr_str_reserve(pr_str_t *str, size_t capacity);
/** @return 0 or PR_ENOMEM */
int pr_str_append(pr_str_t *str, const void *bytes, size_t len);
/** @return 0 or PR_ENOMEM */
int pr_str_appendf(pr_str_t *str, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/** The content as a terminated C string, "" when empty. */
const char *pr_str_cstr(const pr_str_t *str);

#endif
