#include "private/cell_candidates.h"

/* The candidate at a place of the heap. */
static struct rj_cell_candidate *at(const struct rj_cell_candidates *candidates,
				    guint place)
{
	return &g_array_index(candidates->heap, struct rj_cell_candidate,
			      place);
}

/* Whether one candidate goes before another. */
static bool goes_first(const struct rj_cell_candidate *a,
		       const struct rj_cell_candidate *b)
{
	return a->cost != b->cost ? a->cost < b->cost : a->room < b->room;
}

/* Exchange two places. */
static void swap(struct rj_cell_candidates *candidates, guint a, guint b)
{
	struct rj_cell_candidate kept = *at(candidates, a);

	*at(candidates, a) = *at(candidates, b);
	*at(candidates, b) = kept;
}

/*
 * Begin without candidates.
 */
void rj_cell_candidates_init(struct rj_cell_candidates *candidates)
{
	candidates->heap =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_candidate));
}

/*
 * Free the heap.
 */
void rj_cell_candidates_finish(struct rj_cell_candidates *candidates)
{
	g_array_free(candidates->heap, TRUE);
	candidates->heap = NULL;
}

/*
 * Add one candidate.
 */
void rj_cell_candidates_push(struct rj_cell_candidates *candidates,
			     uint64_t cost, struct rj_cell_plan_worker *room)
{
	struct rj_cell_candidate candidate = { cost, room };
	guint place = candidates->heap->len;

	g_array_append_val(candidates->heap, candidate);
	while (place) {
		guint parent = (place - 1) / 2;

		if (!goes_first(at(candidates, place), at(candidates, parent)))
			break;
		swap(candidates, place, parent);
		place = parent;
	}
}

/*
 * Take the cheapest candidate out; its room is NULL when there is none.
 */
struct rj_cell_candidate
rj_cell_candidates_pop(struct rj_cell_candidates *candidates)
{
	struct rj_cell_candidate first = { 0, NULL };
	guint length = candidates->heap->len;
	guint place = 0;

	if (!length)
		return first;
	first = *at(candidates, 0);
	swap(candidates, 0, --length);
	g_array_set_size(candidates->heap, length);
	for (;;) {
		guint child = 2 * place + 1;

		if (child >= length)
			return first;
		if (child + 1 < length && goes_first(at(candidates, child + 1),
						     at(candidates, child)))
			child++;
		if (!goes_first(at(candidates, child), at(candidates, place)))
			return first;
		swap(candidates, child, place);
		place = child;
	}
}
