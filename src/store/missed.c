#include "store/missed.h"

#include <stdlib.h>

#include "pistachiorack/error.h"

static pr_store_row_t *grow(pr_store_rows_t *missed)
{
	pr_store_row_t *rows = realloc(
		missed->rows, (missed->count + 1) * sizeof(missed->rows[0]));

	if (!rows)
		return NULL;
	missed->rows = rows;
	memset(&rows[missed->count], 0, sizeof(rows[0]));
	return &rows[missed->count];
}

int pr_missed_move(pr_store_rows_t *missed, pr_store_row_t *row)
{
	pr_store_row_t *out = grow(missed);

	if (!out)
		return pr_error_set(PR_ENOMEM, "out of memory for a row");
	*out = *row;
	memset(row, 0, sizeof(*row));
	missed->count++;
	return 0;
}

int pr_missed_add_removed(pr_store_rows_t *missed, const char *key)
{
	pr_store_row_t *out = grow(missed);
	char *copy = out ? strdup(key) : NULL;

	if (!copy)
		return pr_error_set(PR_ENOMEM, "out of memory for a row");
	out->key = copy;
	out->removed = true;
	missed->count++;
	return 0;
}

static int compare(const void *a, const void *b)
{
	uint64_t x = ((const pr_store_row_t *)a)->version;
	uint64_t y = ((const pr_store_row_t *)b)->version;

	return (x > y) - (x < y);
}

static void sort(pr_store_rows_t *missed)
{
	if (missed->count)
		qsort(missed->rows, missed->count, sizeof(missed->rows[0]),
		      compare);
}

static void drop_newer(pr_store_rows_t *missed, uint64_t until)
{
	while (missed->count &&
	       missed->rows[missed->count - 1].version > until) {
		pr_store_row_t *row = &missed->rows[--missed->count];

		free(row->key);
		pr_str_finish(&row->value);
	}
}

int pr_missed_order(pr_store_rows_t *missed, uint64_t after, uint64_t until)
{
	uint64_t version = until;
	size_t removed = 0;
	size_t taken;

	sort(missed);
	drop_newer(missed, until);
	while (removed < missed->count && !missed->rows[removed].version)
		removed++;
	taken = missed->count;
	for (size_t i = 0; i < removed; i++, version--) {
		while (taken > removed &&
		       missed->rows[taken - 1].version >= version) {
			taken--;
			version -= missed->rows[taken].version == version;
		}
		if (version <= after)
			return pr_error_set(
				PR_EFULL,
				"%zu removed keys between versions %llu and "
				"%llu",
				removed, (unsigned long long)after,
				(unsigned long long)until);
		missed->rows[i].version = version;
	}
	sort(missed);
	return 0;
}
