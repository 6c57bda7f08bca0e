/** Numbers in text. */
#ifndef PR_BASE_NUMBER_H
#define PR_BASE_NUMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"

/** Decimal number; false when there is anything else. */
bool pr_slice_number(pr_slice_t text, uint64_t *out);

#endif
