/*
 * Ids of server-sent events as strings of decimal digits: upstreams choose the
 * ids, and one that wraps would make a new event look like a repeated one.
 */
#include "events/event_id.h"

#include <ctype.h>

bool pr_event_id_parse(pr_slice_t text, pr_event_id_t *out)
{
	if (!text.len)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		if (!isdigit((unsigned char)text.ptr[i]))
			return false;
	}
	while (text.len && text.ptr[0] == '0')
		text = pr_slice(text.ptr + 1, text.len - 1);
	if (text.len > PR_EVENT_ID_DIGITS_MAX)
		return false;
	memcpy(out->digits, text.ptr, text.len);
	out->len = (uint8_t)text.len;
	return true;
}

int pr_event_id_compare(const pr_event_id_t *a, const pr_event_id_t *b)
{
	if (a->len != b->len)
		return (int)a->len - (int)b->len;
	return memcmp(a->digits, b->digits, a->len);
}

pr_event_id_t pr_event_id_difference(const pr_event_id_t *a,
				     const pr_event_id_t *b)
{
	char digits[PR_EVENT_ID_DIGITS_MAX];
	pr_event_id_t out = { { 0 }, 0 };
	int borrow = 0;

	for (size_t i = 1; i <= a->len; i++) {
		int digit = a->digits[a->len - i] - '0' - borrow;

		if (i <= b->len)
			digit -= b->digits[b->len - i] - '0';
		borrow = digit < 0;
		digits[a->len - i] = (char)('0' + digit + 10 * borrow);
	}
	pr_event_id_parse(pr_slice(digits, a->len), &out);
	return out;
}

pr_slice_t pr_event_id_text(const pr_event_id_t *id)
{
	return id->len ? pr_slice(id->digits, id->len) : PR_SLICE("0");
}
