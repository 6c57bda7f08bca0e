/** Rows of table `claims` as JSON text. */
#ifndef PR_ONCE_ROW_H
#define PR_ONCE_ROW_H

#include <stdbool.h>

#include "pistachiorack/once.h"

typedef enum pr_once_state_t {
	PR_ONCE_ROW_CLAIMED,
	PR_ONCE_ROW_DONE,
	PR_ONCE_ROW_NOT_RUN,
} pr_once_state_t;

typedef struct pr_once_row_t {
	char attempt[PR_ONCE_NAME_SIZE];
	char body_hash[PR_ONCE_NAME_SIZE];
	char host[PR_ONCE_NAME_SIZE];
	pr_once_state_t state;
	/** For done rows. */
	pr_verdict_t verdict;
	int status;
	bool body_kept;
	pr_str_t body;
} pr_once_row_t;

/** Append JSON; a body that is not UTF-8 is left out. @return 0, PR_ENOMEM */
int pr_once_row_print(pr_str_t *out, const pr_once_row_t *row);
/** @return 0, PR_EPARSE or PR_ENOMEM; free with pr_once_row_finish() */
int pr_once_row_parse(pr_once_row_t *out, pr_slice_t text);
void pr_once_row_finish(pr_once_row_t *row);

#endif
