/** Circular doubly linked list; nodes are members of their owners. */
#ifndef PR_BASE_LIST_H
#define PR_BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

typedef struct pr_list_t {
	struct pr_list_t *prev, *next;
} pr_list_t;

/** The struct of a type that has the node as the named member. */
#define PR_OWNER(node, type, member)                                           \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

static inline void pr_list_init(pr_list_t *list)
{
	list->prev = list;
	list->next = list;
}

static inline bool pr_list_empty(const pr_list_t *list)
{
	return list->next == list;
}

static inline void pr_list_append(pr_list_t *list, pr_list_t *node)
{
	node->prev = list->prev;
	node->next = list;
	list->prev->next = node;
	list->prev = node;
}

static inline void pr_list_remove(pr_list_t *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	pr_list_init(node);
}

#endif
