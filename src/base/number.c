/* Numbers in text. */
#include "base/number.h"

#include <ctype.h>

bool pr_slice_number(pr_slice_t text, uint64_t *out)
{
	uint64_t value = 0;

	if (!text.len || text.len > 18)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		if (!isdigit((unsigned char)text.ptr[i]))
			return false;
		value = value * 10 + (uint64_t)(text.ptr[i] - '0');
	}
	*out = value;
	return true;
}
