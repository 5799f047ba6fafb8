#include "private/config_capacity.h"

#include <assert.h>
#include <stdlib.h>
#include <talloc.h>

/* One guarantee of one account in the failure domain that is checked. */
struct entry {
	const struct rj_guarantee *guarantee;
	uint32_t account;
	uint32_t index;
	bool fits_alone;
};

/* The workers of one failure domain while guarantees are laid out on them. */
struct layout {
	const struct rj_domain *domain;
	struct rj_resources *free; /* racks x workers_per_rack */
	struct entry *entries;
	uint32_t entry_count;
};

/*
 * The lesser of two counts.
 */
static uint32_t fewer(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/*
 * How many tasks of `each` fit into `have` at once.
 */
static uint32_t tasks_fitting(const struct rj_resources *each,
			      const struct rj_resources *have)
{
	uint32_t count = UINT32_MAX;

	if (each->slots)
		count = fewer(count, have->slots / each->slots);
	if (each->accelerators)
		count = fewer(count, have->accelerators / each->accelerators);
	if (each->cores)
		count = fewer(count, have->cores / each->cores);
	if (each->memory_mb)
		count = fewer(count, have->memory_mb / each->memory_mb);
	return count;
}

/*
 * How many tasks of `each` fit onto `count` workers, each task whole on one.
 */
static uint64_t tasks_on(const struct rj_resources *each,
			 const struct rj_resources *workers, uint32_t count)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < count; i++)
		sum += tasks_fitting(each, &workers[i]);
	return sum;
}

/*
 * Put up to `tasks` tasks onto the workers, those first that hold the fewest
 * of them, so that whole workers stay whole. Returns how many found no place.
 * A worker that is used is filled, so each number of tasks that a worker can
 * hold needs one pass.
 */
static uint64_t lay_tasks(const struct rj_resources *each, uint64_t tasks,
			  struct rj_resources *workers, uint32_t count)
{
	uint32_t level = 0;

	while (tasks) {
		uint32_t next = UINT32_MAX;

		for (uint32_t i = 0; i < count; i++) {
			uint32_t fit = tasks_fitting(each, &workers[i]);

			if (fit > level && fit < next)
				next = fit;
		}
		if (next == UINT32_MAX)
			return tasks;
		level = next;
		for (uint32_t i = 0; i < count && tasks; i++) {
			if (tasks_fitting(each, &workers[i]) != level)
				continue;
			if (next > tasks)
				next = (uint32_t)tasks;
			rj_resources_take(&workers[i], each, next);
			tasks -= next;
		}
	}
	return 0;
}

/*
 * Put one adjacent shape into the rack that it fills most. Returns false
 * when no rack has room for all of it.
 */
static bool lay_adjacent(struct layout *layout, const struct rj_shape *shape)
{
	uint32_t workers = layout->domain->workers_per_rack;
	uint64_t best_room = UINT64_MAX;
	uint32_t best = 0;

	for (uint32_t rack = 0; rack < layout->domain->racks; rack++) {
		uint64_t room = tasks_on(
			&shape->each, &layout->free[rack * workers], workers);

		if (room >= shape->tasks && room < best_room) {
			best_room = room;
			best = rack;
		}
	}
	if (best_room == UINT64_MAX)
		return false;
	lay_tasks(&shape->each, shape->tasks, &layout->free[best * workers],
		  workers);
	return true;
}

/*
 * Put all shapes of a guarantee; returns how many tasks found no place.
 */
static uint64_t lay_guarantee(struct layout *layout,
			      const struct rj_guarantee *guarantee)
{
	const struct rj_shape *shape = &guarantee->shape;
	uint32_t workers =
		layout->domain->racks * layout->domain->workers_per_rack;

	/* Shapes that may lie anywhere are as good as all their tasks. */
	if (!shape->adjacent)
		return lay_tasks(&shape->each,
				 (uint64_t)shape->tasks * guarantee->count,
				 layout->free, workers);
	for (uint32_t i = 0; i < guarantee->count; i++)
		if (!lay_adjacent(layout, shape))
			return (uint64_t)(guarantee->count - i) * shape->tasks;
	return 0;
}

/*
 * The hardest to place first: adjacent shapes by size, then large tasks.
 */
static int compare_entries(const void *first, const void *second)
{
	const struct entry *a = first;
	const struct entry *b = second;
	const struct rj_shape *x = &a->guarantee->shape;
	const struct rj_shape *y = &b->guarantee->shape;
	uint64_t x_size =
		(uint64_t)x->each.accelerators * (x->adjacent ? x->tasks : 1);
	uint64_t y_size =
		(uint64_t)y->each.accelerators * (y->adjacent ? y->tasks : 1);

	if (x->adjacent != y->adjacent)
		return x->adjacent ? -1 : 1;
	if (x_size != y_size)
		return x_size > y_size ? -1 : 1;
	if (x->each.slots != y->each.slots)
		return x->each.slots > y->each.slots ? -1 : 1;
	if (a->account != b->account)
		return a->account < b->account ? -1 : 1;
	return a->index < b->index ? -1 : 1;
}

/*
 * Report each resource of one task that no worker of the domain has.
 */
static bool fits_worker(const struct layout *layout, const struct entry *entry,
			struct rj_error_list *errors)
{
	const struct rj_resources *want = &entry->guarantee->shape.each;
	const struct rj_resources *have = &layout->domain->worker;
	const struct {
		const char *name;
		uint32_t want;
		uint32_t have;
	} rows[] = {
		{ "slots", want->slots, have->slots },
		{ "accelerators", want->accelerators, have->accelerators },
		{ "cores", want->cores, have->cores },
		{ "memory_mb", want->memory_mb, have->memory_mb },
	};
	bool fits = true;

	for (uint32_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		if (rows[i].want <= rows[i].have)
			continue;
		rj_error_list_add(
			errors, RJ_ERR_INVALID,
			"accounts[%u].guarantees[%u].%s: %u for one task do "
			"not fit a worker of %s, which has %u; lower it and "
			"raise \"tasks\"",
			entry->account, entry->index, rows[i].name,
			rows[i].want, layout->domain->name, rows[i].have);
		fits = false;
	}
	return fits;
}

/*
 * Report a single shape that even the empty domain could not hold.
 */
static bool fits_empty(const struct layout *layout, const struct entry *entry,
		       struct rj_error_list *errors)
{
	const struct rj_domain *domain = layout->domain;
	const struct rj_shape *shape = &entry->guarantee->shape;
	uint64_t room = (uint64_t)tasks_fitting(&shape->each, &domain->worker) *
			domain->workers_per_rack;

	if (!shape->adjacent)
		room *= domain->racks;
	if (shape->tasks <= room)
		return true;
	rj_error_list_add(errors, RJ_ERR_INVALID,
			  "accounts[%u].guarantees[%u].tasks: %u tasks do not "
			  "fit one %s of %s, which holds %llu of them; lower "
			  "it%s",
			  entry->account, entry->index, shape->tasks,
			  shape->adjacent ? "rack" : "failure domain",
			  domain->name, (unsigned long long)room,
			  shape->adjacent ? " or set \"adjacent\" to false" :
					    " or guarantee less");
	return false;
}

/*
 * Collect the guarantees of one failure domain and report each that could
 * not be held by the domain alone.
 */
static void collect_entries(struct layout *layout,
			    const struct rj_config *config,
			    struct rj_error_list *errors)
{
	for (uint32_t i = 0; i < config->account_count; i++) {
		const struct rj_account *account = &config->accounts[i];

		for (uint32_t j = 0; j < account->guarantee_count; j++) {
			const struct rj_guarantee *guarantee =
				&account->guarantees[j];
			struct entry *entry;

			if (rj_config_domain(config, guarantee->domain) !=
				    layout->domain ||
			    !guarantee->shape.tasks ||
			    !guarantee->shape.each.slots || !guarantee->count)
				continue;
			layout->entries = talloc_realloc(
				layout->free, layout->entries, struct entry,
				layout->entry_count + 1);
			assert(layout->entries);
			entry = &layout->entries[layout->entry_count++];
			entry->guarantee = guarantee;
			entry->account = i;
			entry->index = j;
			entry->fits_alone =
				fits_worker(layout, entry, errors) &&
				fits_empty(layout, entry, errors);
		}
	}
}

/*
 * Lay all guarantees of one failure domain out on its empty workers.
 *
 * Guards against a promise that cannot be kept: sums that fit while the
 * shapes do not, such as three adjacent gangs of five workers in two racks
 * of eight. It would show as a reclaim that frees enough accelerators and
 * never the shape. It holds because a layout that was found is a proof; one
 * that first fit by size does not find is refused, even if a cleverer search
 * would find it.
 */
static void check_domain(const struct rj_config *config,
			 const struct rj_domain *domain,
			 struct rj_error_list *errors)
{
	uint32_t workers = domain->racks * domain->workers_per_rack;
	struct layout layout = { .domain = domain };

	layout.free = talloc_array(NULL, struct rj_resources, workers);
	assert(layout.free);
	for (uint32_t i = 0; i < workers; i++)
		layout.free[i] = domain->worker;
	collect_entries(&layout, config, errors);
	if (layout.entry_count)
		qsort(layout.entries, layout.entry_count,
		      sizeof(*layout.entries), compare_entries);
	for (uint32_t i = 0; i < layout.entry_count; i++) {
		const struct entry *entry = &layout.entries[i];
		uint64_t left;

		if (!entry->fits_alone)
			continue;
		left = lay_guarantee(&layout, entry->guarantee);
		if (!left)
			continue;
		rj_error_list_add(
			errors, RJ_ERR_INVALID,
			"accounts[%u].guarantees[%u].count: %u shapes of %u "
			"tasks find no room in %s beside the other guarantees "
			"(%llu tasks are left over); lower it or add racks",
			entry->account, entry->index, entry->guarantee->count,
			entry->guarantee->shape.tasks, domain->name,
			(unsigned long long)left);
	}
	talloc_free(layout.free);
}

/*
 * Report every guarantee that its failure domain cannot hold, alone or with
 * the others. What is in error itself, and is zero therefore, is passed over,
 * and so are guarantees whose domain does not exist: the caller reports them.
 */
void rj_config_capacity_check(const struct rj_config *config,
			      struct rj_error_list *errors)
{
	for (uint32_t i = 0; i < config->domain_count; i++) {
		const struct rj_domain *domain = &config->domains[i];

		if (domain->name[0] && domain->racks &&
		    domain->workers_per_rack && domain->worker.slots)
			check_domain(config, domain, errors);
	}
}
