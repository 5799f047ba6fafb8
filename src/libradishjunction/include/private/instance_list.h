/*
 * An adapter's copy of the platform's list of instances, fetched in full once
 * and then updated incrementally.
 *
 * Life cycle: `rj_instance_list_init` on caller-provided memory, then
 * `rj_instance_list_apply` for each answer; the list is a talloc child of
 * init's `mem`.
 */
#ifndef RADISHJUNCTION_PRIVATE_INSTANCE_LIST_H
#define RADISHJUNCTION_PRIVATE_INSTANCE_LIST_H

#include "private/platform_wire.h"
#include "radishjunction/instance_list.h"

bool rj_instance_list_apply(struct rj_instance_list *list,
			    const struct rj_instances_answer *answer);

#endif
