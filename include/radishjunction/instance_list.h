/*
 * The instances that the platform lists, as an adapter holds them.
 */
#ifndef RADISHJUNCTION_INSTANCE_LIST_H
#define RADISHJUNCTION_INSTANCE_LIST_H

#include "radishjunction/event.h"

struct rj_instance_list {
	void *mem;
	struct rj_instance *lines; /* talloc array */
	uint32_t count;
	uint64_t version; /* 0: to be asked for whole */
};

void rj_instance_list_init(struct rj_instance_list *list, void *mem);

#endif
