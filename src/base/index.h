/**
 * Hash table of fixed size with intrusive nodes, for tables whose bound is
 * known when they are opened. Several nodes may have one key.
 */
#ifndef PR_BASE_INDEX_H
#define PR_BASE_INDEX_H

#include <stddef.h>
#include <stdint.h>

typedef struct pr_index_node_t {
	struct pr_index_node_t *next;
	uint64_t key;
} pr_index_node_t;

typedef struct pr_index_t {
	pr_index_node_t **buckets;
	size_t mask;
	size_t count;
} pr_index_t;

/** @param size expected entries; rounded up. @return 0 or PR_ENOMEM */
int pr_index_init(pr_index_t *index, size_t size);
/** Free the buckets; the nodes are the caller's. */
void pr_index_finish(pr_index_t *index);
void pr_index_add(pr_index_t *index, pr_index_node_t *node, uint64_t key);
void pr_index_remove(pr_index_t *index, pr_index_node_t *node);
/** @return a node with the key or NULL */
pr_index_node_t *pr_index_find(const pr_index_t *index, uint64_t key);
/** @return the next node with the same key or NULL */
pr_index_node_t *pr_index_same(const pr_index_node_t *node);
/** @return any node, NULL when empty */
pr_index_node_t *pr_index_any(const pr_index_t *index);

#endif
