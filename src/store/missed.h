/**
 * Changes of a table that a full read shows, for hosts that do not read it
 * themselves.
 */
#ifndef PR_STORE_MISSED_H
#define PR_STORE_MISSED_H

#include "store/store.h"

/** Move a row to the end of a list. @return 0, or PR_ENOMEM; the row is left */
int pr_missed_move(pr_store_rows_t *missed, pr_store_row_t *row);
/** Add a key that is no longer in the table. @return 0 or PR_ENOMEM */
int pr_missed_add_removed(pr_store_rows_t *missed, const char *key);
/**
 * Put the changes in the order of their versions. A removed key has none, since
 * the read did not return it: each gets a version of its own, as late as
 * possible, because hosts skip a row whose version they have.
 *
 * @param after version up to which the changes were known
 * @param until version of the read; rows that are newer are left out
 * @return 0, or PR_EFULL when there are more removed keys than free versions
 */
int pr_missed_order(pr_store_rows_t *missed, pr_revision_t after,
		    pr_revision_t until);

#endif
