#include "private/cell_candidates.h"

static struct rj_cell_candidate *
candidate_at(const struct rj_cell_candidates *candidates, guint index)
{
	return &g_array_index(candidates->heap, struct rj_cell_candidate,
			      index);
}

static bool is_cheaper(const struct rj_cell_candidate *a,
		       const struct rj_cell_candidate *b)
{
	return a->cost != b->cost ? a->cost < b->cost :
				    a->plan_worker < b->plan_worker;
}

static void swap(struct rj_cell_candidates *candidates, guint a, guint b)
{
	struct rj_cell_candidate saved = *candidate_at(candidates, a);

	*candidate_at(candidates, a) = *candidate_at(candidates, b);
	*candidate_at(candidates, b) = saved;
}

void rj_cell_candidates_init(struct rj_cell_candidates *candidates)
{
	candidates->heap =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_candidate));
}

void rj_cell_candidates_finish(struct rj_cell_candidates *candidates)
{
	g_array_free(candidates->heap, TRUE);
	candidates->heap = NULL;
}

void rj_cell_candidates_push(struct rj_cell_candidates *candidates,
			     uint64_t cost,
			     struct rj_cell_plan_worker *plan_worker)
{
	struct rj_cell_candidate candidate = { cost, plan_worker };
	guint index = candidates->heap->len;

	g_array_append_val(candidates->heap, candidate);
	while (index) {
		guint parent = (index - 1) / 2;

		if (!is_cheaper(candidate_at(candidates, index),
				candidate_at(candidates, parent)))
			break;
		swap(candidates, index, parent);
		index = parent;
	}
}

/*
 * Removes and returns the cheapest candidate; its worker is NULL when the queue
 * is empty.
 */
struct rj_cell_candidate
rj_cell_candidates_pop(struct rj_cell_candidates *candidates)
{
	struct rj_cell_candidate first = { 0, NULL };
	guint length = candidates->heap->len;
	guint index = 0;

	if (!length)
		return first;
	first = *candidate_at(candidates, 0);
	swap(candidates, 0, --length);
	g_array_set_size(candidates->heap, length);
	for (;;) {
		guint child = 2 * index + 1;

		if (child >= length)
			return first;
		if (child + 1 < length &&
		    is_cheaper(candidate_at(candidates, child + 1),
			       candidate_at(candidates, child)))
			child++;
		if (!is_cheaper(candidate_at(candidates, child),
				candidate_at(candidates, index)))
			return first;
		swap(candidates, child, index);
		index = child;
	}
}
