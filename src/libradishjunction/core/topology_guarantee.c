#include "private/topology.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Guaranteed shapes are mapped to workers using the configuration alone, that
 * is the configured racks and workers of the domain. Instances with the same
 * configuration thus agree without communication, whichever workers they know,
 * and a worker that returns or is replaced keeps its position.
 */

/*
 * Layout order; equal shapes stay in configuration order.
 */
static gint compare_guaranteed_shapes(gconstpointer a, gconstpointer b)
{
	const struct rj_guaranteed_shape *one =
		*(const struct rj_guaranteed_shape *const *)a;
	const struct rj_guaranteed_shape *two =
		*(const struct rj_guaranteed_shape *const *)b;
	int order = rj_layout_compare(&one->shape, &two->shape);

	if (order)
		return order;
	return one->number < two->number ? -1 : 1;
}

/*
 * Adds the shapes that a configured account is guaranteed in this domain.
 */
static void add_guaranteed_shapes(struct rj_topology_state *state,
				  const struct rj_account *configured)
{
	struct rj_plan_account *account =
		rj_topology_account(state, configured->name);

	for (uint32_t i = 0; i < configured->guarantee_count; i++) {
		const struct rj_guarantee *guarantee =
			&configured->guarantees[i];

		if (strcmp(guarantee->domain, state->domain.name) != 0)
			continue;
		for (uint32_t j = 0; j < guarantee->count; j++) {
			struct rj_guaranteed_shape *guaranteed = talloc_zero(
				state->mem, struct rj_guaranteed_shape);

			assert(guaranteed);
			guaranteed->account = account;
			guaranteed->shape = guarantee->shape;
			guaranteed->number = state->guaranteed_shapes->len;
			account->guaranteed +=
				(uint64_t)guaranteed->shape.tasks *
				guaranteed->shape.each.accelerators;
			g_ptr_array_add(state->guaranteed_shapes, guaranteed);
		}
	}
}

/*
 * Maps all guaranteed shapes of the configuration to worker positions. A shape
 * that no longer fits gets none; validation of the configuration rejects such
 * guarantees using the same layout.
 */
void rj_topology_layout_guarantees(struct rj_topology_state *state,
				   const struct rj_config *config)
{
	struct rj_layout layout;

	for (uint32_t i = 0; i < state->guaranteed_shapes->len; i++)
		talloc_free(g_ptr_array_index(state->guaranteed_shapes, i));
	g_ptr_array_set_size(state->guaranteed_shapes, 0);
	for (uint32_t i = 0; i < config->account_count; i++)
		add_guaranteed_shapes(state, &config->accounts[i]);
	g_ptr_array_sort(state->guaranteed_shapes, compare_guaranteed_shapes);
	rj_layout_init(&layout, state->mem, &state->domain);
	for (uint32_t i = 0; i < state->guaranteed_shapes->len; i++) {
		struct rj_guaranteed_shape *guaranteed =
			g_ptr_array_index(state->guaranteed_shapes, i);

		guaranteed->parts.mem = guaranteed;
		rj_layout_place(&layout, &guaranteed->shape,
				&guaranteed->parts);
	}
	rj_layout_finish(&layout);
}

/*
 * Returns the lowest rack connected to `rack` by guaranteed shapes that span
 * several racks. A single owner of the whole group can reclaim each of its
 * shapes; two owners would each see half of what runs there.
 */
uint32_t rj_topology_rack_group(const struct rj_topology_state *state,
				uint32_t rack)
{
	bool again = true;

	while (again) {
		again = false;
		for (uint32_t i = 0; i < state->guaranteed_shapes->len; i++) {
			const struct rj_guaranteed_shape *guaranteed =
				g_ptr_array_index(state->guaranteed_shapes, i);
			uint32_t lowest = rack;
			bool here = false;

			for (uint32_t j = 0; j < guaranteed->parts.count; j++) {
				lowest = MIN(lowest,
					     guaranteed->parts.list[j].rack);
				here |= guaranteed->parts.list[j].rack == rack;
			}
			if (here && lowest < rack) {
				rack = lowest;
				again = true;
			}
		}
	}
	return rack;
}

/*
 * Returns the first rack of a guaranteed shape of `account` that is at least as
 * large as `shape`, or UINT32_MAX. The owner of that rack can reclaim the
 * guarantee.
 */
uint32_t rj_topology_guarantee_rack(const struct rj_topology_state *state,
				    const char *account,
				    const struct rj_shape *shape)
{
	uint64_t needed = (uint64_t)shape->tasks * shape->each.accelerators;

	for (uint32_t i = 0; i < state->guaranteed_shapes->len; i++) {
		const struct rj_guaranteed_shape *guaranteed =
			g_ptr_array_index(state->guaranteed_shapes, i);
		uint64_t size = (uint64_t)guaranteed->shape.tasks *
				guaranteed->shape.each.accelerators;

		if (guaranteed->parts.count && size >= needed &&
		    !strcmp(guaranteed->account->name, account))
			return guaranteed->parts.list[0].rack;
	}
	return UINT32_MAX;
}

/*
 * Returns the worker at the position of `part`, or NULL.
 */
static struct rj_capacity_worker *
worker_at(const struct rj_topology_state *state,
	  const struct rj_layout_part *part)
{
	const struct rj_capacity_rack *rack =
		rj_capacity_rack_find(&state->capacity, part->rack);

	for (uint32_t i = 0; rack && i < rack->count; i++)
		if (rack->workers[i]->position == part->position)
			return rack->workers[i];
	return NULL;
}

/*
 * Writes the guarantees into the ledgers of the known workers.
 */
void rj_topology_apply_guarantees(struct rj_topology_state *state)
{
	for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
		struct rj_worker_set rack = rj_topology_rack_workers(state, i);

		for (uint32_t j = 0; j < rack.count; j++)
			rj_ledger_clear_guarantees(rack.workers[j]);
	}
	for (uint32_t i = 0; i < state->guaranteed_shapes->len; i++) {
		const struct rj_guaranteed_shape *guaranteed =
			g_ptr_array_index(state->guaranteed_shapes, i);

		for (uint32_t j = 0; j < guaranteed->parts.count; j++) {
			struct rj_capacity_worker *worker =
				worker_at(state, &guaranteed->parts.list[j]);

			if (worker)
				rj_ledger_guarantee(
					worker, guaranteed->account,
					&guaranteed->shape.each,
					guaranteed->parts.list[j].tasks);
		}
	}
}

/*
 * Determines the part of a guaranteed shape that its account does not use yet.
 * A position without a worker counts as unused, so that the account gets its
 * shape elsewhere. Returns the number of tasks of `entry` that fit, and adds
 * the unused resources to `unused` if any fit.
 */
static uint32_t unused_guarantee(const struct rj_topology_state *state,
				 const struct rj_guaranteed_shape *guaranteed,
				 const struct rj_plan_entry *entry,
				 struct rj_resources *unused)
{
	const struct rj_shape *shape = &entry->job.shape;
	struct rj_resources sum = { 0 };
	uint32_t fitting_tasks = 0;
	bool known = false;

	for (uint32_t i = 0; i < guaranteed->parts.count; i++) {
		const struct rj_layout_part *part = &guaranteed->parts.list[i];
		const struct rj_capacity_worker *worker =
			worker_at(state, part);
		struct rj_resources amount = { 0 };
		const struct rj_worker_usage *usage;

		known |= !!rj_capacity_rack_find(&state->capacity, part->rack);
		rj_resources_add(&amount, &guaranteed->shape.each, part->tasks);
		usage = worker ? rj_ledger_usage(worker->ledger,
						 guaranteed->account) :
				 NULL;
		if (usage) {
			struct rj_resources left = rj_resources_remaining(
				&usage->guaranteed, &usage->used);

			rj_resources_clamp(&amount, &left);
		}
		fitting_tasks += rj_resources_fit_count(&shape->each, &amount,
							RJ_GANG_MAX);
		rj_resources_add(&sum, &amount, 1);
	}
	if (!known || !fitting_tasks ||
	    (shape->adjacent && fitting_tasks < shape->tasks))
		return 0;
	rj_resources_add(unused, &sum, 1);
	return fitting_tasks;
}

/*
 * Whether the waiting job is covered by its account's guarantees in the racks
 * planned here, less the account's own work on the guaranteed workers and the
 * capacity it was granted on other workers instead.
 */
bool rj_topology_is_entitled(const struct rj_topology_state *state,
			     const struct rj_plan_entry *entry)
{
	const struct rj_shape *shape = &entry->job.shape;
	struct rj_resources unused = { 0 };
	struct rj_resources needed = { 0 };
	uint32_t fitting_tasks = 0;

	for (uint32_t i = 0; i < state->guaranteed_shapes->len; i++) {
		const struct rj_guaranteed_shape *guaranteed =
			g_ptr_array_index(state->guaranteed_shapes, i);

		if (guaranteed->account == entry->account)
			fitting_tasks += unused_guarantee(state, guaranteed,
							  entry, &unused);
	}
	rj_resources_subtract_saturating(&unused, &entry->account->granted);
	rj_resources_add(&needed, &shape->each, shape->tasks);
	return fitting_tasks >= shape->tasks &&
	       rj_resources_fit(&needed, &unused);
}
