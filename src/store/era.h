/**
 * Era of the store.
 *
 * The store may return from a copy that is some seconds old. It has then lost
 * what it acknowledged since, and gives the same versions out again. Each of
 * its answers states an era, which rises by one with every such return.
 * Versions of different eras cannot be compared by their numbers.
 */
#ifndef PR_STORE_ERA_H
#define PR_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/str.h"

typedef enum pr_era_verdict_t {
	/** The era that is known, or none, as in all answers before. */
	PR_ERA_SAME,
	/** The first era that was stated. */
	PR_ERA_FIRST,
	/** The store has returned from an older copy. */
	PR_ERA_RISEN,
	/** The statement is not believed: it is missing, although there was one
	 *  before, lower than the known era, or no number. */
	PR_ERA_MISSING,
	PR_ERA_FALLEN,
	PR_ERA_UNREADABLE,
	/** More than one above the known era: believed when the next statement
	 *  is the same. Until then it is not known what the answer belongs to.
	 */
	PR_ERA_UNCONFIRMED,
} pr_era_verdict_t;

/** Zeroed before first use. */
typedef struct pr_era_t {
	/** Highest era that was stated; 0 as long as none was. */
	uint64_t current;
	/** An era was stated. */
	bool is_stated;
	/** Unconfirmed era that the last answer stated; 0 when it stated none.
	 */
	uint64_t unconfirmed;
} pr_era_t;

/**
 * Note the era that an answer states. A single wrong statement far above the
 * known era would make all right ones count as fallen, and hide the next
 * return.
 *
 * @param text statement of the answer; ptr NULL when it has none
 */
pr_era_verdict_t pr_era_note(pr_era_t *era, pr_slice_t text);
/** Note the era of rows that another host has read. @return true when it is
 * above the known one */
bool pr_era_raise(pr_era_t *era, uint64_t stated);
/** @return false for a statement that is no era of the store */
bool pr_era_is_believed(pr_era_verdict_t verdict);
/** @return a name for the log */
const char *pr_era_verdict_name(pr_era_verdict_t verdict);

#endif
