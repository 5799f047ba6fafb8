/*
 * Intrusive doubly linked list. Elements keep their order of insertion, so
 * that iteration is deterministic.
 */
#ifndef RADISHJUNCTION_PRIVATE_LIST_H
#define RADISHJUNCTION_PRIVATE_LIST_H

#include <stddef.h>

struct rj_list {
	struct rj_list *next;
	struct rj_list *prev;
};

#define RJ_CONTAINER(pointer, type, member) \
	((type *)((char *)(pointer)-offsetof(type, member)))

/* The loop body may remove `at`: `next_` is read before it runs. */
#define RJ_FOR_EACH(at, next_, list)                                    \
	for ((at) = (list)->next, (next_) = (at)->next; (at) != (list); \
	     (at) = (next_), (next_) = (at)->next)

/*
 * Initialise an empty list, or a link that is in no list.
 */
static inline void rj_list_init(struct rj_list *list)
{
	list->next = list;
	list->prev = list;
}

static inline void rj_list_append(struct rj_list *list, struct rj_list *link)
{
	link->prev = list->prev;
	link->next = list;
	list->prev->next = link;
	list->prev = link;
}

/*
 * Remove `link` from its list; no effect on a link that is in no list.
 */
static inline void rj_list_remove(struct rj_list *link)
{
	link->prev->next = link->next;
	link->next->prev = link->prev;
	rj_list_init(link);
}

#endif
