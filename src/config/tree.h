/* The document as a generic YAML tree: line numbers and flat path lists. */
#ifndef PR_CONFIG_TREE_H
#define PR_CONFIG_TREE_H

#include "pistachiorack/config.h"

typedef struct pr_tree_t pr_tree_t;

/** @return the tree, or NULL when the text is no YAML document */
pr_tree_t *pr_tree_load(pr_slice_t text);
void pr_tree_free(pr_tree_t *tree);
/**
 * @param path keys and indexes, "models[0].versions[1].share"; when a part of
 *	       it does not exist the line of the part before it is returned
 * @return line, 1 for the first; 0 without a tree
 */
unsigned int pr_tree_line(const pr_tree_t *tree, const char *path);

typedef struct pr_leaf_t {
	char *path;
	char *value;
} pr_leaf_t;

typedef struct pr_leaves_t {
	pr_leaf_t *items;
	unsigned int count, cap;
} pr_leaves_t;

/** All scalar values sorted by path. @return 0 or PR_ENOMEM */
int pr_tree_leaves(pr_leaves_t *out, const pr_tree_t *tree);
void pr_leaves_finish(pr_leaves_t *leaves);

#endif
