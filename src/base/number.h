/** Numbers in text. */
#ifndef PR_BASE_NUMBER_H
#define PR_BASE_NUMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"
#include "pistachiorack/timer.h"

/** Longest time that pr_slice_seconds() returns, seconds. */
#define PR_SECONDS_MAX 1000000000

/** Decimal number; false when there is anything else. */
bool pr_slice_number(pr_slice_t text, uint64_t *out);
/**
 * Seconds with an optional decimal fraction, as microseconds; longer times than
 * PR_SECONDS_MAX count as that.
 *
 * @return false when there is anything else
 */
bool pr_slice_seconds(pr_slice_t text, pr_usec_t *out);

/**
 * Read a decimal number without sign or exponent, such as "2" or "0.75".
 *
 * @return false, without a change of out, for other text
 */
bool pr_slice_decimal(pr_slice_t text, double *out);

#endif
