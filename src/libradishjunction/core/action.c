#include "radishjunction/action.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Initialises an empty list. Data that its actions point to is allocated as
 * talloc children of `actions->mem`, which `rj_actions_clear` empties.
 */
void rj_actions_init(struct rj_actions *actions, void *mem)
{
	memset(actions, 0, sizeof(*actions));
	actions->mem = talloc_named_const(mem, 0, "actions");
	assert(actions->mem);
}

/*
 * Appends a zeroed action. The pointer is valid until the next append.
 */
struct rj_action *rj_actions_add(struct rj_actions *actions,
				 enum rj_action_kind kind)
{
	struct rj_action *action;

	if (actions->count == actions->capacity) {
		uint32_t capacity =
			actions->capacity ? 2 * actions->capacity : 16;

		actions->list = talloc_realloc(NULL, actions->list,
					       struct rj_action, capacity);
		assert(actions->list);
		actions->capacity = capacity;
	}
	action = &actions->list[actions->count++];
	memset(action, 0, sizeof(*action));
	action->kind = kind;
	return action;
}

/*
 * Empties the list and frees everything that its actions point to.
 */
void rj_actions_clear(struct rj_actions *actions)
{
	talloc_free_children(actions->mem);
	actions->count = 0;
}

/*
 * Frees the list and everything that its actions point to.
 */
void rj_actions_finish(struct rj_actions *actions)
{
	TALLOC_FREE(actions->list);
	TALLOC_FREE(actions->mem);
	actions->count = 0;
	actions->capacity = 0;
}
