/*
 * Stores the decisions of the owner of a cell: the progress of jobs, its
 * heartbeat and its release of the cell. All changes since the last append go
 * into the next one together, and take effect once that is stored: runs may be
 * started, clients may be notified, and completions may be acknowledged to
 * workers.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_FLUSH_H
#define RADISHJUNCTION_PRIVATE_CELL_FLUSH_H

#include "private/cell_owner.h"

void rj_cell_flush(struct rj_cell_owner *owner);
void rj_cell_flush_expired(struct rj_cell_owner *owner);

#endif
