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
	pr_revision_t x = ((const pr_store_row_t *)a)->version;
	pr_revision_t y = ((const pr_store_row_t *)b)->version;

	return pr_revision_is_after(x, y) - pr_revision_is_after(y, x);
}

static void sort(pr_store_rows_t *missed)
{
	if (missed->count)
		qsort(missed->rows, missed->count, sizeof(missed->rows[0]),
		      compare);
}

static void drop_newer(pr_store_rows_t *missed, pr_revision_t until)
{
	while (missed->count &&
	       pr_revision_is_after(missed->rows[missed->count - 1].version,
				    until)) {
		pr_store_row_t *row = &missed->rows[--missed->count];

		free(row->key);
		pr_str_finish(&row->value);
	}
}

int pr_missed_order(pr_store_rows_t *missed, pr_revision_t after,
		    pr_revision_t until)
{
	pr_revision_t version = until;
	size_t removed = 0;
	size_t taken;

	sort(missed);
	drop_newer(missed, until);
	while (removed < missed->count && !missed->rows[removed].version.number)
		removed++;
	taken = missed->count;
	for (size_t i = 0; i < removed; i++, version.number--) {
		while (taken > removed &&
		       !pr_revision_is_after(version,
					     missed->rows[taken - 1].version)) {
			taken--;
			version.number -= pr_revision_equal(
				missed->rows[taken].version, version);
		}
		if (!pr_revision_is_after(version, after))
			return pr_error_set(
				PR_EFULL,
				"%zu removed keys between versions %llu and "
				"%llu",
				removed, (unsigned long long)after.number,
				(unsigned long long)until.number);
		missed->rows[i].version = version;
	}
	sort(missed);
	return 0;
}
