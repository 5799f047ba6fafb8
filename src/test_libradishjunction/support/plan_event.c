#include "support/plan_simulation.h"

/*
 * Whether the event happens before the other.
 */
static bool is_sooner(const struct world_event *one,
		      const struct world_event *two)
{
	if (one->at_us != two->at_us)
		return one->at_us < two->at_us;
	return one->number < two->number;
}

/*
 * The event at this place of the heap.
 */
struct world_event *plan_world_event(struct plan_world *world, uint32_t at)
{
	return &g_array_index(world->events, struct world_event, at);
}

/*
 * Change the places of two events.
 */
static void event_swap(struct plan_world *world, uint32_t a, uint32_t b)
{
	struct world_event event = *plan_world_event(world, a);

	*plan_world_event(world, a) = *plan_world_event(world, b);
	*plan_world_event(world, b) = event;
}

/*
 * Let something happen at `at_us`.
 */
void plan_world_push(struct plan_world *world, uint64_t at_us,
		     enum world_event_kind kind, uint32_t index,
		     uint32_t attempt)
{
	struct world_event event = { at_us, world->event_number++, kind, index,
				     attempt };
	uint32_t at = world->events->len;

	g_array_append_val(world->events, event);
	while (at && is_sooner(plan_world_event(world, at),
			       plan_world_event(world, (at - 1) / 2))) {
		event_swap(world, at, (at - 1) / 2);
		at = (at - 1) / 2;
	}
}

/*
 * Take the soonest event out of the heap.
 */
struct world_event plan_world_pop(struct plan_world *world)
{
	struct world_event first = *plan_world_event(world, 0);
	uint32_t at = 0;

	event_swap(world, 0, world->events->len - 1);
	g_array_set_size(world->events, world->events->len - 1);
	for (;;) {
		uint32_t child = 2 * at + 1;

		if (child >= world->events->len)
			return first;
		if (child + 1 < world->events->len &&
		    is_sooner(plan_world_event(world, child + 1),
			      plan_world_event(world, child)))
			child++;
		if (!is_sooner(plan_world_event(world, child),
			       plan_world_event(world, at)))
			return first;
		event_swap(world, child, at);
		at = child;
	}
}
