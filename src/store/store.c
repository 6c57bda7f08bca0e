/* Rows of the store. */
#include "store/store.h"

#include <stdlib.h>

void pr_store_rows_finish(pr_store_rows_t *rows)
{
	for (size_t i = 0; i < rows->count; i++) {
		free(rows->rows[i].key);
		pr_str_finish(&rows->rows[i].value);
	}
	free(rows->rows);
	rows->rows = NULL;
	rows->count = 0;
}
