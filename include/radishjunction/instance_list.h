/*
 * An adapter's copy of the instances that the platform lists.
 */
#ifndef RADISHJUNCTION_INSTANCE_LIST_H
#define RADISHJUNCTION_INSTANCE_LIST_H

#include "radishjunction/event.h"

struct rj_instance_list {
	void *mem;
	struct rj_instance *lines; /* one per instance; talloc array */
	uint32_t count;
	uint64_t version; /* 0: the full list must be fetched */
};

void rj_instance_list_init(struct rj_instance_list *list, void *mem);

#endif
