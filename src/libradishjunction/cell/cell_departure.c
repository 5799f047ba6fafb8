#include "private/cell_departure.h"

#include <string.h>
#include <talloc.h>

#include "private/cell_owner.h"
#include "private/log_event.h"

/* Heartbeats of each worker that are read back: those within which an entry
 * expires, and one as they are not regular. */
#define HISTORY_HEARTBEATS 4

/* Whether runs of former owners are on a worker of which no heartbeat has been
 * read since the load, and that has left or may do so before one is. */
static bool may_have_left(const struct rj_cell_worker *worker)
{
	return worker->runs.next != &worker->runs && !worker->written_us &&
	       (!worker->listed || worker->heartbeat.draining);
}

/*
 * Returns how many records before the end of the load are to be read back; 0 if
 * none is of use. Call it as both the runs and the entries have been loaded.
 */
uint64_t rj_cell_departures_begin(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;
	uint64_t records = 0;

	memset(&owner->entry_marks, 0, sizeof(owner->entry_marks));
	RJ_FOR_EACH (at, next, &owner->fleet.workers) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		if (!may_have_left(worker))
			continue;
		if (!worker->listed)
			worker->unlisted_us = owner->now_us;
		records = (uint64_t)owner->fleet.count * HISTORY_HEARTBEATS;
	}
	return records;
}

/* Keeps an entry among those read last. */
static void add_mark(struct rj_cell_entry_marks *marks,
		     const struct rj_cell_worker *worker,
		     const struct rj_cell_heartbeat *heartbeat)
{
	struct rj_cell_entry_mark *mark =
		&marks->marks[marks->count++ % RJ_CELL_DEPARTURE_MARKS];

	memcpy(mark->worker, worker->id, sizeof(mark->worker));
	mark->incarnation = heartbeat->incarnation;
	mark->clock_ms = heartbeat->clock_ms;
}

/*
 * Handles an earlier entry of a worker.
 *
 * A worker without an entry gets the contents of this one, so that it is polled:
 * its departure is not assumed while it answers.
 */
void rj_cell_departures_read(struct rj_cell_owner *owner,
			     struct rj_cell_worker *worker,
			     const struct rj_cell_heartbeat *heartbeat)
{
	add_mark(&owner->entry_marks, worker, heartbeat);
	TALLOC_FREE(worker->entry_marks);
	if (!heartbeat->draining || !may_have_left(worker))
		return;
	worker->entry_marks = talloc_memdup(worker, &owner->entry_marks,
					    sizeof(owner->entry_marks));
	if (worker->listed || worker->incarnation)
		return;
	rj_cell_worker_apply_heartbeat(worker, heartbeat);
	worker->poll_due_us = owner->now_us;
}

/*
 * Returns a time before which an entry, and all after it, were not written; 0 if
 * none is known. The worker's clock may be slow, and it showed `met_clock_ms`
 * no earlier than it was asked.
 */
static uint64_t written_after_us(const struct rj_cell_fleet *fleet,
				 const struct rj_cell_entry_mark *mark)
{
	const struct rj_cell_worker *worker =
		rj_cell_fleet_find(fleet, mark->worker);
	uint64_t passed_us;

	if (!worker || !mark->clock_ms ||
	    worker->incarnation != mark->incarnation ||
	    worker->met_clock_ms < mark->clock_ms)
		return 0;
	passed_us = rj_cell_lease_max_us(
		(worker->met_clock_ms - mark->clock_ms) * RJ_US_PER_MS);
	return worker->met_sent_us > passed_us ?
		       worker->met_sent_us - passed_us :
		       0;
}

/*
 * Infers the departure of a worker that does not answer, if the other workers
 * that have answered by now show that its entry was removed too soon to have
 * expired.
 */
void rj_cell_departures_check(struct rj_cell_owner *owner,
			      struct rj_cell_worker *worker)
{
	const struct rj_cell_entry_marks *marks = worker->entry_marks;
	uint64_t written_us = 0;

	if (worker->listed || worker->deregistered_us || !marks)
		return;
	for (uint32_t i = 0; i < MIN(marks->count, RJ_CELL_DEPARTURE_MARKS);
	     i++)
		written_us =
			MAX(written_us,
			    written_after_us(&owner->fleet, &marks->marks[i]));
	if (worker->unlisted_us >=
	    written_us + owner->limits.entry_expiry_ms * RJ_US_PER_MS)
		return;
	worker->deregistered_us = owner->now_us;
	owner->counters.departures++;
	rj_log_event("worker_departed", RJ_LOG_TEXT("worker", worker->id),
		     RJ_LOG_AGE_MS("written_ms", owner->now_us - written_us),
		     RJ_LOG_AGE_MS("unlisted_ms",
				   owner->now_us - worker->unlisted_us));
}
