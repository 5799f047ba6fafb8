/*
 * Departures of workers that nobody read as they happened, inferred from the
 * history of the workers' log.
 *
 * A worker that has left ends all its runs, but its entry is also removed when
 * it was cut off from the log and goes on. Only an entry that was removed before
 * it could have expired shows a departure. An owner that reads the log all the
 * time knows when each entry was written; a successor learns it from the clocks
 * in the entries that precede it.
 *
 * Life cycle: `rj_cell_departures_begin` once the entries and the runs are
 * loaded, `rj_cell_departures_read` for each earlier entry in log order, then
 * `rj_cell_departures_check` whenever a worker does not answer.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_DEPARTURE_H
#define RADISHJUNCTION_PRIVATE_CELL_DEPARTURE_H

#include "private/cell_fleet.h"

struct rj_cell_owner;

/* Entries before one that date it. Some of their workers may have ended too. */
#define RJ_CELL_DEPARTURE_MARKS 16

/* An entry in the log, as of which its worker's clock is known. */
struct rj_cell_entry_mark {
	char worker[RJ_NAME_BYTES];
	uint64_t incarnation;
	uint64_t clock_ms;
};

/* The entries read last, in no order. */
struct rj_cell_entry_marks {
	struct rj_cell_entry_mark marks[RJ_CELL_DEPARTURE_MARKS];
	uint32_t count; /* entries read */
};

uint64_t rj_cell_departures_begin(struct rj_cell_owner *owner);
void rj_cell_departures_read(struct rj_cell_owner *owner,
			     struct rj_cell_worker *worker,
			     const struct rj_cell_heartbeat *heartbeat);
void rj_cell_departures_check(struct rj_cell_owner *owner,
			      struct rj_cell_worker *worker);

#endif
