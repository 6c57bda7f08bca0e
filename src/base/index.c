/* Fixed hash table with intrusive nodes. */
#include "base/index.h"

#include <stdlib.h>

#include "pistachiorack/error.h"

int pr_index_init(pr_index_t *index, size_t size)
{
	size_t buckets = 64;

	while (buckets < size && buckets < (size_t)1 << 24)
		buckets *= 2;
	index->buckets = calloc(buckets, sizeof(pr_index_node_t *));
	index->mask = buckets - 1;
	index->count = 0;
	if (!index->buckets)
		return pr_error_set(PR_ENOMEM, "no memory for a table");
	return 0;
}

void pr_index_finish(pr_index_t *index)
{
	free((void *)index->buckets);
	index->buckets = NULL;
}

static pr_index_node_t **bucket(const pr_index_t *index, uint64_t key)
{
	/* Neighbouring numbers and hashes alike must spread. */
	return &index->buckets[(key * 0x9e3779b97f4a7c15u >> 32) & index->mask];
}

void pr_index_add(pr_index_t *index, pr_index_node_t *node, uint64_t key)
{
	pr_index_node_t **head = bucket(index, key);

	node->key = key;
	node->next = *head;
	*head = node;
	index->count++;
}

void pr_index_remove(pr_index_t *index, pr_index_node_t *node)
{
	pr_index_node_t **at = bucket(index, node->key);

	while (*at && *at != node)
		at = &(*at)->next;
	if (!*at)
		return;
	*at = node->next;
	node->next = NULL;
	index->count--;
}

static pr_index_node_t *scan(pr_index_node_t *node, uint64_t key)
{
	while (node && node->key != key)
		node = node->next;
	return node;
}

pr_index_node_t *pr_index_find(const pr_index_t *index, uint64_t key)
{
	return scan(*bucket(index, key), key);
}

pr_index_node_t *pr_index_same(const pr_index_node_t *node)
{
	return scan(node->next, node->key);
}

pr_index_node_t *pr_index_any(const pr_index_t *index)
{
	for (size_t i = 0; i <= index->mask; i++)
		if (index->buckets[i])
			return index->buckets[i];
	return NULL;
}
