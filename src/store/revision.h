/**
 * Position in the history of the store.
 *
 * The store numbers its transactions. A store that returns from an older copy
 * gives numbers out again, so a number has a meaning only together with the era
 * of the answer that it came in (see store/era.h). Any position of an era comes
 * after all positions of earlier ones.
 */
#ifndef PR_STORE_REVISION_H
#define PR_STORE_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/** Zeroed, it comes before every transaction. */
typedef struct pr_revision_t {
	uint64_t era;
	/** Number of the transaction in its era; 0 for none. */
	uint64_t number;
} pr_revision_t;

/** @return true when a comes after b */
static inline bool pr_revision_is_after(pr_revision_t a, pr_revision_t b)
{
	return a.era != b.era ? a.era > b.era : a.number > b.number;
}

static inline bool pr_revision_equal(pr_revision_t a, pr_revision_t b)
{
	return a.era == b.era && a.number == b.number;
}

static inline pr_revision_t pr_revision_later(pr_revision_t a, pr_revision_t b)
{
	return pr_revision_is_after(a, b) ? a : b;
}

static inline pr_revision_t pr_revision_earlier(pr_revision_t a,
						pr_revision_t b)
{
	return pr_revision_is_after(a, b) ? b : a;
}

/** @return a number for messages whose readers compare it for equality only;
 *the plain number while the store states no era */
static inline uint64_t pr_revision_tag(pr_revision_t revision)
{
	return revision.era << 48 ^ revision.number;
}

#endif
