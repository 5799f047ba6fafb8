/*
 * Stores what the owner of a cell has decided: the progress of jobs, its
 * heartbeat, and that it leaves. All changes since the last append go together
 * into the next one, and take effect once that is in the log: runs may be
 * started, callers are told, workers may forget the ends.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_FLUSH_H
#define RADISHJUNCTION_PRIVATE_CELL_FLUSH_H

#include "private/cell_owner.h"

void rj_cell_flush(struct rj_cell_owner *owner);
void rj_cell_flush_expired(struct rj_cell_owner *owner);

#endif
