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

bool pr_slice_seconds(pr_slice_t text, pr_usec_t *out)
{
	pr_usec_t seconds = 0, fraction = 0, unit = PR_USEC_PER_SEC;
	size_t i = 0;

	for (; i < text.len && isdigit((unsigned char)text.ptr[i]); i++) {
		seconds = seconds * 10 + (text.ptr[i] - '0');
		if (seconds > PR_SECONDS_MAX)
			seconds = PR_SECONDS_MAX;
	}
	if (!i)
		return false;
	if (i < text.len && text.ptr[i] == '.') {
		for (i++; i < text.len && isdigit((unsigned char)text.ptr[i]);
		     i++) {
			unit /= 10;
			fraction += unit * (text.ptr[i] - '0');
		}
	}
	if (i < text.len)
		return false;
	*out = seconds * PR_USEC_PER_SEC + fraction;
	return true;
}

bool pr_slice_decimal(pr_slice_t text, double *out)
{
	double value = 0, unit = 1;
	bool has_point = false, has_digit = false;

	for (size_t i = 0; i < text.len; i++) {
		char c = text.ptr[i];

		if (c == '.' && !has_point) {
			has_point = true;
			continue;
		}
		if (!isdigit((unsigned char)c))
			return false;
		has_digit = true;
		if (has_point)
			unit /= 10;
		value = has_point ? value + unit * (c - '0')
				  : value * 10 + (c - '0');
	}
	if (!has_digit)
		return false;
	*out = value;
	return true;
}
