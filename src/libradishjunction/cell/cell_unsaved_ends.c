#include "private/cell_unsaved_ends.h"

#include <assert.h>

#include "private/cell_fleet.h"

/* The first unsaved completion of a worker; positions are numbered anew in each
 * incarnation. */
struct first_end {
	uint64_t incarnation;
	uint64_t position;
};

/* Adds a completion to a table, which is created at first use. */
static void add(GHashTable **table, gconstpointer worker,
		const struct first_end *end)
{
	const struct first_end *known;

	if (!*table)
		*table = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	known = g_hash_table_lookup(*table, worker);
	if (known && known->incarnation == end->incarnation &&
	    known->position <= end->position)
		return;
	g_hash_table_insert(*table, (gpointer)worker,
			    g_memdup2(end, sizeof(*end)));
}

/*
 * Adds a completion that the worker has reported in its present incarnation.
 */
void rj_cell_unsaved_ends_add(struct rj_cell_unsaved_ends *ends,
			      const struct rj_cell_worker *worker,
			      uint64_t position)
{
	const struct first_end end = { worker->incarnation, position };

	add(&ends->waiting, worker, &end);
}

/*
 * Begins an append of a record with the effects of all completions so far.
 */
void rj_cell_unsaved_ends_append_begin(struct rj_cell_unsaved_ends *ends)
{
	assert(!ends->appending);
	ends->appending = ends->waiting;
	ends->waiting = NULL;
}

/*
 * Handles the outcome of the append: completions that were not stored wait
 * again.
 */
void rj_cell_unsaved_ends_append_end(struct rj_cell_unsaved_ends *ends,
				     bool stored)
{
	GHashTableIter each;
	gpointer worker;
	gpointer end;

	if (!ends->appending)
		return;
	g_hash_table_iter_init(&each, ends->appending);
	while (!stored && g_hash_table_iter_next(&each, &worker, &end))
		add(&ends->waiting, worker, end);
	g_hash_table_destroy(ends->appending);
	ends->appending = NULL;
}

/* Returns the position of a worker's first completion in a table, or 0. */
static uint64_t first_in(GHashTable *table, const struct rj_cell_worker *worker)
{
	const struct first_end *end =
		table ? g_hash_table_lookup(table, worker) : NULL;

	return end && end->incarnation == worker->incarnation ? end->position :
								0;
}

/*
 * Returns the position of the first unsaved completion of a worker in its
 * present incarnation; 0 if there is none.
 */
uint64_t rj_cell_unsaved_ends_first(const struct rj_cell_unsaved_ends *ends,
				    const struct rj_cell_worker *worker)
{
	uint64_t appending = first_in(ends->appending, worker);

	return appending ? appending : first_in(ends->waiting, worker);
}

/*
 * Frees everything; the struct is empty then.
 */
void rj_cell_unsaved_ends_finish(struct rj_cell_unsaved_ends *ends)
{
	if (ends->waiting)
		g_hash_table_destroy(ends->waiting);
	if (ends->appending)
		g_hash_table_destroy(ends->appending);
	ends->waiting = NULL;
	ends->appending = NULL;
}
