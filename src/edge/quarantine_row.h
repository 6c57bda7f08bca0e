/**
 * Row of the shared table with the quarantined prompt parts.
 */
#ifndef PR_EDGE_QUARANTINE_ROW_H
#define PR_EDGE_QUARANTINE_ROW_H

#include "edge/edge.h"

/** @return true when the row is the one with the quarantined parts */
bool pr_quarantine_row_apply(pr_edge_t *edge, const pr_store_row_t *row);
/** Note that the table was read as a whole in an era, with or without the row.
 */
void pr_quarantine_row_settle(pr_edge_t *edge, uint64_t era);
/** @return true when this host has to write the row now */
bool pr_quarantine_row_is_due(pr_edge_t *edge);
/** Start the write. @return 0 or PR_ENOMEM */
int pr_quarantine_row_write(pr_edge_t *edge);

#endif
