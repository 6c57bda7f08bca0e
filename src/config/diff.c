/* Differences between two documents, independent of layout and order. */
#include <stdlib.h>

#include "config/tree.h"
#include "pistachiorack/error.h"

/* A printed document has every field, so that a default that is written out
 * does not count as a change. */
static int leaves_of(pr_leaves_t *out, const pr_fleet_t *fleet)
{
	pr_str_t text = PR_STR_INIT;
	pr_tree_t *tree = NULL;
	int rc = 0;

	if (!fleet)
		return 0;
	rc = pr_fleet_print(fleet, &text);
	if (!rc && !(tree = pr_tree_load(pr_str_slice(&text))))
		rc = PR_ENOMEM;
	if (!rc)
		rc = pr_tree_leaves(out, tree);
	pr_tree_free(tree);
	pr_str_finish(&text);
	return rc;
}

static int merge(pr_changes_t *out, const pr_leaves_t *a, const pr_leaves_t *b)
{
	unsigned int i = 0, j = 0;
	int rc = 0;

	while (!rc && i < a->count && j < b->count) {
		const pr_leaf_t *before = &a->items[i], *after = &b->items[j];
		int order = strcmp(before->path, after->path);

		i += order <= 0;
		j += order >= 0;
		if (order < 0)
			rc = pr_changes_add(out, before->path, before->value,
					    NULL, NULL);
		else if (order > 0)
			rc = pr_changes_add(out, after->path, NULL,
					    after->value, NULL);
		else if (strcmp(before->value, after->value) != 0)
			rc = pr_changes_add(out, before->path, before->value,
					    after->value, NULL);
	}
	for (; !rc && i < a->count; i++)
		rc = pr_changes_add(out, a->items[i].path, a->items[i].value,
				    NULL, NULL);
	for (; !rc && j < b->count; j++)
		rc = pr_changes_add(out, b->items[j].path, NULL,
				    b->items[j].value, NULL);
	return rc;
}

int pr_fleet_diff(pr_changes_t *out, const pr_fleet_t *before,
		  const pr_fleet_t *after)
{
	pr_leaves_t a = { 0 }, b = { 0 };
	int rc;

	rc = leaves_of(&a, before);
	if (!rc)
		rc = leaves_of(&b, after);
	if (!rc)
		rc = merge(out, &a, &b);
	pr_leaves_finish(&a);
	pr_leaves_finish(&b);
	return rc;
}

static bool same_text(const char *a, const char *b)
{
	return a && b ? !strcmp(a, b) : a == b;
}

int pr_changes_clash(pr_changes_t *out, const pr_changes_t *mine,
		     const pr_changes_t *theirs)
{
	unsigned int i = 0, j = 0;
	int rc = 0;

	while (!rc && i < mine->count && j < theirs->count) {
		const pr_change_t *a = &mine->items[i], *b = &theirs->items[j];
		int order = strcmp(a->path, b->path);

		i += order <= 0;
		j += order >= 0;
		if (!order && !same_text(a->after, b->after))
			rc = pr_changes_add(out, a->path, b->after, a->after,
					    NULL);
	}
	return rc;
}
