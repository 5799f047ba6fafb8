#include "support/plan_simulation.h"

/*
 * Returns whether the first event precedes the second.
 */
static bool is_sooner(const struct plan_event *one,
		      const struct plan_event *two)
{
	if (one->at_us != two->at_us)
		return one->at_us < two->at_us;
	return one->number < two->number;
}

/*
 * Returns the event at index `at` of the heap; index 0 is the earliest.
 */
struct plan_event *plan_simulation_event(struct plan_simulation *simulation,
					 uint32_t at)
{
	return &g_array_index(simulation->events, struct plan_event, at);
}

static void event_swap(struct plan_simulation *simulation, uint32_t a,
		       uint32_t b)
{
	struct plan_event event = *plan_simulation_event(simulation, a);

	*plan_simulation_event(simulation, a) =
		*plan_simulation_event(simulation, b);
	*plan_simulation_event(simulation, b) = event;
}

/*
 * Schedules an event at `at_us`.
 */
void plan_simulation_push(struct plan_simulation *simulation, uint64_t at_us,
			  enum plan_event_kind kind, uint32_t index,
			  uint32_t attempt)
{
	struct plan_event event = { at_us, simulation->event_number++, kind,
				    index, attempt };
	uint32_t at = simulation->events->len;

	g_array_append_val(simulation->events, event);
	while (at &&
	       is_sooner(plan_simulation_event(simulation, at),
			 plan_simulation_event(simulation, (at - 1) / 2))) {
		event_swap(simulation, at, (at - 1) / 2);
		at = (at - 1) / 2;
	}
}

/*
 * Removes and returns the earliest event. The heap must not be empty.
 */
struct plan_event plan_simulation_pop(struct plan_simulation *simulation)
{
	struct plan_event first = *plan_simulation_event(simulation, 0);
	uint32_t at = 0;

	event_swap(simulation, 0, simulation->events->len - 1);
	g_array_set_size(simulation->events, simulation->events->len - 1);
	for (;;) {
		uint32_t child = 2 * at + 1;

		if (child >= simulation->events->len)
			return first;
		if (child + 1 < simulation->events->len &&
		    is_sooner(plan_simulation_event(simulation, child + 1),
			      plan_simulation_event(simulation, child)))
			child++;
		if (!is_sooner(plan_simulation_event(simulation, child),
			       plan_simulation_event(simulation, at)))
			return first;
		event_swap(simulation, child, at);
		at = child;
	}
}
