#include "radishjunction/planner.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Initialises an empty list. Members of its decisions are allocated as talloc
 * children of `decisions->mem`, which `rj_decisions_clear` empties.
 */
void rj_decisions_init(struct rj_decisions *decisions, void *mem)
{
	memset(decisions, 0, sizeof(*decisions));
	decisions->mem = talloc_named_const(mem, 0, "decisions");
	assert(decisions->mem);
}

/*
 * Appends a zeroed decision. The pointer is valid until the next append.
 */
struct rj_decision *rj_decisions_add(struct rj_decisions *decisions,
				     enum rj_decision_kind kind)
{
	struct rj_decision *decision;

	if (decisions->count == decisions->capacity) {
		uint32_t capacity =
			decisions->capacity ? 2 * decisions->capacity : 16;

		decisions->list = talloc_realloc(NULL, decisions->list,
						 struct rj_decision, capacity);
		assert(decisions->list);
		decisions->capacity = capacity;
	}
	decision = &decisions->list[decisions->count++];
	memset(decision, 0, sizeof(*decision));
	decision->kind = kind;
	return decision;
}

/*
 * Appends a START of a job on a copy of `members`.
 */
struct rj_decision *rj_decisions_add_start(struct rj_decisions *decisions,
					   uint64_t job_id,
					   enum rj_reason reason,
					   const struct rj_plan_member *members,
					   uint32_t count)
{
	struct rj_decision *decision =
		rj_decisions_add(decisions, RJ_DECISION_START);

	assert(count && count <= RJ_GANG_MAX);
	decision->job_id = job_id;
	decision->reason = reason;
	decision->members = talloc_memdup(decisions->mem, members,
					  sizeof(*members) * count);
	assert(decision->members);
	decision->member_count = count;
	return decision;
}

/*
 * Empties the list and frees the members of its decisions.
 */
void rj_decisions_clear(struct rj_decisions *decisions)
{
	talloc_free_children(decisions->mem);
	decisions->count = 0;
}

/*
 * Frees the list and the members of its decisions.
 */
void rj_decisions_finish(struct rj_decisions *decisions)
{
	TALLOC_FREE(decisions->list);
	TALLOC_FREE(decisions->mem);
	decisions->count = 0;
	decisions->capacity = 0;
}
