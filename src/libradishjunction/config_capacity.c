#include "private/config_capacity.h"

#include <assert.h>
#include <stdlib.h>
#include <talloc.h>

#include "private/capacity.h"
#include "private/guarantee_layout.h"

/* One guarantee of one account in the checked failure domain. */
struct entry {
	const struct rj_guarantee *guarantee;
	uint32_t account;
	uint32_t index;
	bool fits_alone; /* fits the empty failure domain */
};

/* Layout of the guarantees of one failure domain on its workers. */
struct layout {
	const struct rj_domain *domain;
	struct rj_layout workers;
	struct entry *entries;
	uint32_t entry_count;
};

/*
 * Place all shapes of a guarantee. Returns the number of tasks that could not
 * be placed.
 */
static uint64_t place_guarantee(struct layout *layout,
				const struct rj_guarantee *guarantee)
{
	uint64_t unplaced = 0;

	for (uint32_t i = 0; i < guarantee->count; i++)
		unplaced += rj_layout_place(&layout->workers, &guarantee->shape,
					    NULL);
	return unplaced;
}

/*
 * Hardest to place first; equal ones in the order of the configuration.
 */
static int compare_entries(const void *first, const void *second)
{
	const struct entry *a = first;
	const struct entry *b = second;
	int order =
		rj_layout_compare(&a->guarantee->shape, &b->guarantee->shape);

	if (order)
		return order;
	if (a->account != b->account)
		return a->account < b->account ? -1 : 1;
	return a->index < b->index ? -1 : 1;
}

/*
 * Report each resource of which one task needs more than a worker has.
 * Returns whether the task fits a worker.
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
 * Report a shape that does not fit the empty failure domain. Returns whether
 * it fits.
 */
static bool fits_empty(const struct layout *layout, const struct entry *entry,
		       struct rj_error_list *errors)
{
	const struct rj_domain *domain = layout->domain;
	const struct rj_shape *shape = &entry->guarantee->shape;
	uint64_t capacity = (uint64_t)rj_resources_fit_count(
				    &shape->each, &domain->worker, UINT32_MAX) *
			    domain->workers_per_rack;

	if (!shape->adjacent)
		capacity *= domain->racks;
	if (shape->tasks <= capacity)
		return true;
	rj_error_list_add(errors, RJ_ERR_INVALID,
			  "accounts[%u].guarantees[%u].tasks: %u tasks do not "
			  "fit one %s of %s, which holds %llu of them; lower "
			  "it%s",
			  entry->account, entry->index, shape->tasks,
			  shape->adjacent ? "rack" : "failure domain",
			  domain->name, (unsigned long long)capacity,
			  shape->adjacent ? " or set \"adjacent\" to false" :
					    " or guarantee less");
	return false;
}

/*
 * Collect the guarantees of one failure domain and report each that does not
 * fit it even alone.
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
				layout->workers.free, layout->entries,
				struct entry, layout->entry_count + 1);
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
 * Lay out all guarantees of one failure domain on its empty workers and
 * report those that do not fit beside the others.
 *
 * Guards against guarantees whose sum fits but whose shapes do not, such as
 * three adjacent gangs of five workers in two racks of eight: a reclaim would
 * free enough accelerators but never the shape. A layout that is found proves
 * that the guarantees can be honoured. The search is greedy, hardest shapes
 * first, so a configuration may be rejected although a layout exists.
 */
static void check_domain(const struct rj_config *config,
			 const struct rj_domain *domain,
			 struct rj_error_list *errors)
{
	struct layout layout = { .domain = domain };

	rj_layout_init(&layout.workers, NULL, domain);
	collect_entries(&layout, config, errors);
	if (layout.entry_count)
		qsort(layout.entries, layout.entry_count,
		      sizeof(*layout.entries), compare_entries);
	for (uint32_t i = 0; i < layout.entry_count; i++) {
		const struct entry *entry = &layout.entries[i];
		uint64_t unplaced;

		if (!entry->fits_alone)
			continue;
		unplaced = place_guarantee(&layout, entry->guarantee);
		if (!unplaced)
			continue;
		rj_error_list_add(
			errors, RJ_ERR_INVALID,
			"accounts[%u].guarantees[%u].count: %u shapes of %u "
			"tasks do not fit %s beside the other guarantees "
			"(%llu tasks cannot be placed); lower it or add racks",
			entry->account, entry->index, entry->guarantee->count,
			entry->guarantee->shape.tasks, domain->name,
			(unsigned long long)unplaced);
	}
	rj_layout_finish(&layout.workers);
}

/*
 * Report every guarantee that does not fit its failure domain, alone or beside
 * the others. Invalid fields are zero and skipped, as are guarantees whose
 * domain does not exist: the caller reports them.
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
