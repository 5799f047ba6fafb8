/*
 * Takes a cell over once its ownership record has been read back: fences the
 * log of the jobs' progress against the former owner, then loads it.
 *
 * Life cycle: `rj_cell_takeover_init`, `_begin`, `_tick` every few milliseconds
 * until `_is_loaded`, when the owner may complete the takeover; `_stop` at any
 * time.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_TAKEOVER_H
#define RADISHJUNCTION_PRIVATE_CELL_TAKEOVER_H

#include "private/cell_log_reader.h"
#include "private/cell_owner.h"

enum rj_cell_takeover_state {
	RJ_CELL_TAKEOVER_IDLE,
	RJ_CELL_TAKEOVER_FENCING, /* the fence is to be sent, or is pending */
	/* Waits until the log of requests has been read up to the fence, as
	 * progress is kept beside the specs of jobs. */
	RJ_CELL_TAKEOVER_WAITING,
	RJ_CELL_TAKEOVER_LOADING,
	RJ_CELL_TAKEOVER_LOADED,
};

struct rj_cell_takeover {
	struct rj_cell_owner *owner;
	enum rj_cell_takeover_state state;
	uint32_t generation; /* of the owner when the fence was sent */
	bool fence_pending;
	uint64_t fence_due_us;
	struct rj_cell_log_reader progress;
	struct rj_cell_lease_record leases; /* of the former owner */
	struct rj_cell_log_reader *requests; /* started at the takeover */
	struct rj_cell_sync requests_sync;
	bool syncing; /* it is pending */
};

void rj_cell_takeover_init(struct rj_cell_takeover *takeover, void *mem,
			   struct rj_cell_store *store,
			   struct rj_cell_owner *owner,
			   struct rj_cell_log_reader *requests);
void rj_cell_takeover_begin(struct rj_cell_takeover *takeover, uint64_t token,
			    uint64_t epoch, uint64_t now_us, uint64_t wall_ms);
void rj_cell_takeover_tick(struct rj_cell_takeover *takeover, uint64_t now_us);
bool rj_cell_takeover_is_loaded(const struct rj_cell_takeover *takeover);
void rj_cell_takeover_stop(struct rj_cell_takeover *takeover);

#endif
