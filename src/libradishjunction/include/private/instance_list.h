/*
 * The platform's list as an adapter holds it: taken whole once, then by its
 * changes.
 *
 * Life cycle: `rj_instance_list_init` on the caller's memory,
 * `rj_instance_list_apply` for each answer; what it holds are talloc children
 * of init's `mem`.
 */
#ifndef RADISHJUNCTION_PRIVATE_INSTANCE_LIST_H
#define RADISHJUNCTION_PRIVATE_INSTANCE_LIST_H

#include "private/platform_wire.h"
#include "radishjunction/instance_list.h"

bool rj_instance_list_apply(struct rj_instance_list *list,
			    const struct rj_instances_answer *answer);

#endif
