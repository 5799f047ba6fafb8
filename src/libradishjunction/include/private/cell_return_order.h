/*
 * Order of return: the owner's list of the submissions that all instances have
 * rejected, in the order of their first rejection, and the choice of those whose
 * turn it is. It reads no clock and does no I/O.
 *
 * Life cycle: `rj_cell_return_order_init`; `_begin` at a takeover; `_read` for
 * each instance's record and `_accept` for each accepted job; `_announce` at each
 * heartbeat; `_finish`. All times are Unix times; those of rejections are by the
 * clocks of the instances, which may differ by 100 ms, and the order of
 * rejections that lie closer together is not defined.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_RETURN_ORDER_H
#define RADISHJUNCTION_PRIVATE_CELL_RETURN_ORDER_H

#include <glib.h>

#include "private/cell_rejections.h"

#define RJ_CELL_RETURN_ENTRIES_MAX 4096
/* A submission that does not return within this after its delay loses its
 * turn. */
#define RJ_CELL_RETURN_WITHIN_MS 2000

/* A rejected submission. */
struct rj_cell_return_entry {
	uint64_t id;
	uint64_t first_ms; /* first rejection that counts */
	uint64_t due_ms; /* end of the delay told to its caller */
	/* Rejections before this do not count: it has lost its turn since. */
	uint64_t floor_ms;
	uint64_t lost_ms; /* when it lost its turn; 0: it has not */
	bool announced;
	char queue[RJ_NAME_BYTES];
	char instance[RJ_NAME_BYTES]; /* of the first rejection */
	GSequenceIter *at;
};

/* Announcements for one queue. */
struct rj_cell_return_queue {
	char name[RJ_NAME_BYTES];
	bool rejects; /* as of the last heartbeat */
	uint32_t window; /* submissions that may be announced at once */
	uint32_t outstanding; /* announced and not accepted yet */
	uint64_t
		full_since_ms; /* the window is the widest since; 0: it is not */
	uint32_t losses; /* callers in a row that have not returned */
	bool open; /* to all, until it rejects again */
	/* During one heartbeat: entries seen, and of the first ones the one
	 * that returns next. */
	uint32_t passed;
	const struct rj_cell_return_entry *next;
};

struct rj_cell_return_counters {
	uint64_t announced;
	uint64_t in_turn; /* accepted after their announcement */
	uint64_t expired; /* lost their turn, or became too old */
};

struct rj_cell_return_order {
	GHashTable *by_id; /* struct rj_cell_return_entry, owned */
	GSequence *entries; /* the same, by first rejection */
	GHashTable *written; /* instance -> time of its newest record */
	struct rj_cell_return_queue queues[RJ_CELL_QUEUE_LOADS_MAX];
	uint32_t queue_count;
	uint32_t outstanding; /* of all queues */
	uint64_t announced_ms; /* last heartbeat */
	uint64_t keep_until_ms; /* nothing loses its turn before this */
	struct rj_cell_return_counters counters;
};

void rj_cell_return_order_init(struct rj_cell_return_order *order);
void rj_cell_return_order_finish(struct rj_cell_return_order *order);
void rj_cell_return_order_begin(struct rj_cell_return_order *order);
void rj_cell_return_order_read(struct rj_cell_return_order *order,
			       const char *instance,
			       const struct rj_cell_rejection_list *list,
			       const struct rj_cell_view *view,
			       uint64_t wall_ms);
bool rj_cell_return_order_accept(struct rj_cell_return_order *order,
				 uint64_t id,
				 struct rj_cell_return_entry *accepted);
void rj_cell_return_order_resume(struct rj_cell_return_order *order,
				 const struct rj_cell_owner_heartbeat *former,
				 uint64_t wall_ms);
void rj_cell_return_order_announce(struct rj_cell_return_order *order,
				   struct rj_cell_owner_heartbeat *heartbeat,
				   uint32_t backlogged, uint64_t wall_ms);
const char *
rj_cell_return_order_old_record(const struct rj_cell_return_order *order,
				uint64_t wall_ms);
void rj_cell_return_order_forget_record(struct rj_cell_return_order *order,
					const char *instance);

#endif
