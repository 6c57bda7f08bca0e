/**
 * Ids of server-sent events: decimal numbers that may exceed 64 bits.
 */
#ifndef PR_EVENTS_EVENT_ID_H
#define PR_EVENTS_EVENT_ID_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"

/** Most digits of an id, without leading zeros; 128-bit numbers have 39. */
#define PR_EVENT_ID_DIGITS_MAX 40

/** An id; all bytes zero stand for 0. */
typedef struct pr_event_id_t {
	/** Digits without leading zeros; 0 has none. */
	char digits[PR_EVENT_ID_DIGITS_MAX];
	uint8_t len;
} pr_event_id_t;

/**
 * Read an id, of which leading zeros are no part.
 *
 * @return false, without a change of out, when the text is not a number without
 *	   a sign or has more than PR_EVENT_ID_DIGITS_MAX digits
 */
bool pr_event_id_parse(pr_slice_t text, pr_event_id_t *out);
/** @return less than, equal to or greater than 0, as memcmp() */
int pr_event_id_compare(const pr_event_id_t *a, const pr_event_id_t *b);
/** @return a - b; a must not be less than b */
pr_event_id_t pr_event_id_difference(const pr_event_id_t *a,
				     const pr_event_id_t *b);
static inline bool pr_event_id_is_zero(const pr_event_id_t *id)
{
	return !id->len;
}
/** @return the digits, valid as long as the id */
pr_slice_t pr_event_id_text(const pr_event_id_t *id);

#endif
