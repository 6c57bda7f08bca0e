/** Functions that watch.c, table_read.c and watch_relayed.c share. */
#ifndef PR_EDGE_WATCH_PARTS_H
#define PR_EDGE_WATCH_PARTS_H

#include "edge/edge.h"

/* watch.c */
/** Make the next call of a table after a delay. */
void pr_watch_schedule(pr_watch_t *watch, pr_usec_t delay);
/** Make a call again soon whose answer is of no use, and ask the store not to
 * wait with its response. */
void pr_watch_call_again(pr_watch_t *watch);
/** Request immediately from the store the rows that this host lacks. */
void pr_watch_request_from_store(pr_watch_t *watch);
/**
 * Decode an answer with rows, and note what it tells of the store.
 *
 * @return true when pr_store_rows_finish() must follow; false when the answer
 *is no use, and the call is repeated after a delay
 */
bool pr_watch_accept(pr_watch_t *watch, int status, pr_slice_t body,
		     pr_store_rows_t *rows);
void pr_watch_apply_row(pr_watch_t *watch, const pr_store_row_t *row);
void pr_watch_apply_rows(pr_watch_t *watch, const pr_store_rows_t *rows);

/* table_read.c */
/** Handle the answer with a page of a full read. */
void pr_table_read_on_answer(pr_call_t *call, int status, pr_slice_t body);
/**
 * Take over a whole table that a relay has read.
 *
 * @param rows the rows and the version of the read; rows may be moved out
 */
void pr_table_read_apply_whole(pr_watch_t *watch, pr_store_rows_t *rows);
/** Free the state of a full read; the next page is the first one. */
void pr_table_read_clear(pr_watch_t *watch);

#endif
