/*
 * Submissions that one instance has rejected for backlog, so that their callers
 * are accepted in the order of their first rejection wherever they retry. The
 * instance stores them in one record of the log of requests, which the owner
 * follows; the owner announces in its heartbeat whose turn it is.
 *
 * Life cycle: `rj_cell_rejections_init`, then `_add` for each rejection and
 * `_tick` every few milliseconds; there is nothing to free. Both `_add` and
 * `_turn` are pure. Ids are the 64 bits of a job id in lower-case digits.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_REJECTIONS_H
#define RADISHJUNCTION_PRIVATE_CELL_REJECTIONS_H

#include "private/cell_view.h"
#include "private/cell_writer.h"

#define RJ_CELL_REJECTIONS_MAX 256 /* of one instance */
#define RJ_CELL_REJECTION_QUEUES_MAX RJ_CELL_QUEUE_LOADS_MAX
/* A rejection counts for this long, then its caller has no turn any more. */
#define RJ_CELL_REJECTION_AGE_MAX_MS 60000
/* Minimum time between two records of one instance. */
#define RJ_CELL_REJECTIONS_INTERVAL_MS 400
/* A retry counts as early if it comes earlier than this before its delay has
 * passed. Covers the differences between the clocks of instances. */
#define RJ_CELL_REJECTION_EARLY_MS 250

/* All times are Unix times by the clock of the rejecting instance. */
struct rj_cell_rejection {
	uint64_t id;
	uint64_t first_ms; /* first rejection by this instance */
	uint64_t last_ms; /* last one that did not come early */
	uint32_t delay_ms; /* told to the caller at the last one */
	uint8_t queue; /* index */
};

/* Rejections of one instance, as in its record. */
struct rj_cell_rejection_list {
	uint64_t written_ms;
	char queues[RJ_CELL_REJECTION_QUEUES_MAX][RJ_NAME_BYTES];
	uint32_t queue_count;
	struct rj_cell_rejection rejections[RJ_CELL_REJECTIONS_MAX];
	uint32_t count; /* in the order of the first rejection */
};

struct rj_cell_rejections {
	struct rj_cell_rejection_list list;
	bool changed; /* since the last record */
	bool writing; /* a record is being appended */
	uint64_t write_due_us;
};

/* Who may be accepted into a queue now. */
enum rj_cell_turn {
	RJ_CELL_TURN_NONE, /* nobody is announced for the queue */
	RJ_CELL_TURN_OWN, /* the submission is announced */
	RJ_CELL_TURN_EARLY, /* it is announced, but its delay has not passed */
	RJ_CELL_TURN_OTHERS, /* only others are announced */
};

bool rj_cell_rejection_id(const char *text, uint64_t *id);
void rj_cell_rejection_id_text(uint64_t id, char text[RJ_CELL_ID_BYTES]);
struct rj_bytes
rj_cell_rejections_encode(void *mem, const struct rj_cell_rejection_list *list);
int rj_cell_rejections_decode(struct rj_bytes bytes,
			      struct rj_cell_rejection_list *list,
			      struct rj_error *err);
enum rj_cell_turn
rj_cell_rejections_turn(const struct rj_cell_owner_heartbeat *heartbeat,
			const char *id, const char *queue, uint64_t wall_ms,
			uint32_t *early_ms);
uint32_t rj_cell_rejections_left_ms(struct rj_cell_rejections *rejections,
				    const char *id, uint64_t wall_ms);
void rj_cell_rejections_init(struct rj_cell_rejections *rejections);
uint32_t rj_cell_rejections_add(struct rj_cell_rejections *rejections,
				const char *id, const char *queue,
				uint64_t wall_ms, uint32_t delay_ms);
void rj_cell_rejections_tick(struct rj_cell_rejections *rejections,
			     struct rj_cell_writer *writer,
			     const struct rj_cell_view *view,
			     const char *instance, uint32_t interval_ms,
			     uint64_t now_us, uint64_t wall_ms);

#endif
