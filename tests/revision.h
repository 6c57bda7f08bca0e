/** Revisions for tests in which the store does not return from a copy. */
#ifndef PR_TESTS_REVISION_H
#define PR_TESTS_REVISION_H

#include "store/revision.h"

static inline pr_revision_t rev(uint64_t number)
{
	return (pr_revision_t){ .number = number };
}

#endif
