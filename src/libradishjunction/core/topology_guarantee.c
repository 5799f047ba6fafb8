#include "private/topology.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Which workers carry which guaranteed shape is worked out from the
 * configuration alone: from the racks and the workers that the domain is
 * configured to have. Instances with the same configuration thus agree
 * without a word, whichever workers they know, and a worker that comes back
 * or is replaced stands in the same place.
 */

/*
 * In the order of the layout; equal ones stay in that of the configuration.
 */
static gint compare_homes(gconstpointer a, gconstpointer b)
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
 * List the shapes that a configured account is guaranteed in this domain.
 */
static void add_homes(struct rj_topology_state *state,
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
			struct rj_guaranteed_shape *home = talloc_zero(
				state->mem, struct rj_guaranteed_shape);

			assert(home);
			home->account = account;
			home->shape = guarantee->shape;
			home->number = state->guaranteed_shapes->len;
			account->guaranteed += (uint64_t)home->shape.tasks *
					       home->shape.each.accelerators;
			g_ptr_array_add(state->guaranteed_shapes, home);
		}
	}
}

/*
 * Work out the homes of all guaranteed shapes of the configuration. A shape
 * for which no room is left stays without; the configuration's check refuses
 * such guarantees by the same layout.
 */
void rj_topology_layout_guarantees(struct rj_topology_state *state,
				   const struct rj_config *config)
{
	struct rj_layout layout;

	for (uint32_t i = 0; i < state->guaranteed_shapes->len; i++)
		talloc_free(g_ptr_array_index(state->guaranteed_shapes, i));
	g_ptr_array_set_size(state->guaranteed_shapes, 0);
	for (uint32_t i = 0; i < config->account_count; i++)
		add_homes(state, &config->accounts[i]);
	g_ptr_array_sort(state->guaranteed_shapes, compare_homes);
	rj_layout_init(&layout, state->mem, &state->domain);
	for (uint32_t i = 0; i < state->guaranteed_shapes->len; i++) {
		struct rj_guaranteed_shape *home =
			g_ptr_array_index(state->guaranteed_shapes, i);

		home->parts.mem = home;
		rj_layout_place(&layout, &home->shape, &home->parts);
	}
	rj_layout_finish(&layout);
}

/*
 * The lowest rack that is reached from `rack` over guaranteed shapes that
 * span several racks. One owner of the whole group can reclaim each of its
 * shapes; two owners would each see half of what runs there.
 */
uint32_t rj_topology_rack_group(const struct rj_topology_state *state,
				uint32_t rack)
{
	bool again = true;

	while (again) {
		again = false;
		for (uint32_t i = 0; i < state->guaranteed_shapes->len; i++) {
			const struct rj_guaranteed_shape *home =
				g_ptr_array_index(state->guaranteed_shapes, i);
			uint32_t lowest = rack;
			bool here = false;

			for (uint32_t j = 0; j < home->parts.count; j++) {
				lowest = MIN(lowest, home->parts.list[j].rack);
				here |= home->parts.list[j].rack == rack;
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
 * The first rack of a home of `account` that `shape` fits by its size, or
 * UINT32_MAX: its owner can reclaim the guarantee.
 */
uint32_t rj_topology_guarantee_rack(const struct rj_topology_state *state,
				    const char *account,
				    const struct rj_shape *shape)
{
	uint64_t want = (uint64_t)shape->tasks * shape->each.accelerators;

	for (uint32_t i = 0; i < state->guaranteed_shapes->len; i++) {
		const struct rj_guaranteed_shape *home =
			g_ptr_array_index(state->guaranteed_shapes, i);
		uint64_t has = (uint64_t)home->shape.tasks *
			       home->shape.each.accelerators;

		if (home->parts.count && has >= want &&
		    !strcmp(home->account->name, account))
			return home->parts.list[0].rack;
	}
	return UINT32_MAX;
}

/*
 * The worker that stands at a part's place now, or NULL.
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
 * Write the guarantees of the homes into the ledgers of the known workers.
 */
void rj_topology_apply_guarantees(struct rj_topology_state *state)
{
	for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
		struct rj_worker_set rack = rj_topology_rack_workers(state, i);

		for (uint32_t j = 0; j < rack.count; j++)
			rj_ledger_clear_guarantees(rack.workers[j]);
	}
	for (uint32_t i = 0; i < state->guaranteed_shapes->len; i++) {
		const struct rj_guaranteed_shape *home =
			g_ptr_array_index(state->guaranteed_shapes, i);

		for (uint32_t j = 0; j < home->parts.count; j++) {
			struct rj_capacity_worker *worker =
				worker_at(state, &home->parts.list[j]);

			if (worker)
				rj_ledger_guarantee(worker, home->account,
						    &home->shape.each,
						    home->parts.list[j].tasks);
		}
	}
}

/*
 * What the account may still claim of one home: what its own work there
 * leaves. A place whose worker is missing counts as unused, so that the
 * account gets its shape elsewhere. Returns for how many tasks of `entry`
 * that would do, and adds it to `claim` if for any.
 */
static uint32_t home_rest(const struct rj_topology_state *state,
			  const struct rj_guaranteed_shape *home,
			  const struct rj_plan_entry *entry,
			  struct rj_resources *claim)
{
	const struct rj_shape *shape = &entry->job.shape;
	struct rj_resources sum = { 0 };
	uint32_t rest = 0;
	bool known = false;

	for (uint32_t i = 0; i < home->parts.count; i++) {
		const struct rj_layout_part *part = &home->parts.list[i];
		const struct rj_capacity_worker *worker =
			worker_at(state, part);
		struct rj_resources amount = { 0 };
		const struct rj_worker_usage *share;

		known |= !!rj_capacity_rack_find(&state->capacity, part->rack);
		rj_resources_add(&amount, &home->shape.each, part->tasks);
		share = worker ?
				rj_ledger_usage(worker->ledger, home->account) :
				NULL;
		if (share) {
			struct rj_resources left = rj_resources_remaining(
				&share->guaranteed, &share->used);

			rj_resources_clamp(&amount, &left);
		}
		rest += rj_resources_fit_count(&shape->each, &amount,
					       RJ_GANG_MAX);
		rj_resources_add(&sum, &amount, 1);
	}
	if (!known || !rest || (shape->adjacent && rest < shape->tasks))
		return 0;
	rj_resources_add(claim, &sum, 1);
	return rest;
}

/*
 * Whether the account may claim room for the waiting job from its guarantee
 * in the racks that are planned here: its own work on the guarantee's
 * workers, and what it was granted in their stead, leave enough.
 */
bool rj_topology_is_entitled(const struct rj_topology_state *state,
			     const struct rj_plan_entry *entry)
{
	const struct rj_shape *shape = &entry->job.shape;
	struct rj_resources claim = { 0 };
	struct rj_resources want = { 0 };
	uint32_t rest = 0;

	for (uint32_t i = 0; i < state->guaranteed_shapes->len; i++) {
		const struct rj_guaranteed_shape *home =
			g_ptr_array_index(state->guaranteed_shapes, i);

		if (home->account == entry->account)
			rest += home_rest(state, home, entry, &claim);
	}
	rj_resources_subtract_saturating(&claim, &entry->account->granted);
	rj_resources_add(&want, &shape->each, shape->tasks);
	return rest >= shape->tasks && rj_resources_fit(&want, &claim);
}
