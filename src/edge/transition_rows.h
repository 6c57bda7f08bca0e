/** Rows of the store about transitions. */
#ifndef PR_EDGE_TRANSITION_ROWS_H
#define PR_EDGE_TRANSITION_ROWS_H

#include "edge/edge.h"

/** Prefix of the keys of the shared rows; the service follows. */
#define PR_TRANSITION_KEY_PREFIX "transition/"

/** Apply an order of the operator, or its removal. */
void pr_transition_order_apply(pr_edge_t *edge, pr_slice_t service,
			       const pr_store_row_t *row);
/** Apply the shared row of a service's transition. */
void pr_transition_row_apply(pr_edge_t *edge, const char *service,
			     const pr_store_row_t *row);
/**
 * Note that a table was read as a whole in a new era of the store.
 *
 * @param keys keys of the table
 */
void pr_transition_rows_settle(pr_edge_t *edge, pr_store_table_t table,
			       const pr_names_t *keys, uint64_t era);
/** Take the orders that were held back for long enough. Called several times a
 *  second, also while the store is out of reach. */
void pr_transition_rows_check_held(pr_edge_t *edge);
/** Evaluate the transitions, and write what this host concludes. */
void pr_transition_rows_update(pr_edge_t *edge);

#endif
