/*
 * Follows one log: loads the newest record of each key, then reads what is
 * appended, and hands each record on in the order of the log.
 *
 * Life cycle: `rj_cell_log_reader_init`, `rj_cell_log_reader_start`, then a tick
 * every few milliseconds; `rj_cell_log_reader_stop` forgets where it was.
 * Records may be handed on again after a load; taking one in twice must be
 * harmless.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_FOLLOW_H
#define RADISHJUNCTION_PRIVATE_CELL_FOLLOW_H

#include "private/cell_store.h"
#include "private/list.h"

enum rj_cell_log_reader_state {
	RJ_CELL_LOG_READER_IDLE,
	RJ_CELL_LOG_READER_LOADING, /* the newest record of each key */
	RJ_CELL_LOG_READER_READING,
};

struct rj_cell_log_reader;

struct rj_cell_log_reader_ops {
	void (*record)(void *private_data, const struct rj_cell_record *record);
	/* A read has ended; follow->caught_up tells whether at the end. */
	void (*progress)(void *private_data, struct rj_cell_log_reader *follow);
	/* A load begins, or has shown all keys; NULL: of no interest. */
	void (*load_begin)(void *private_data);
	void (*load_end)(void *private_data);
};

/* Called once a read that began after the wait reached the end (true), or
 * when that failed (false). */
struct rj_cell_sync {
	struct rj_list link;
	uint64_t since_us;
	void (*done)(struct rj_cell_sync *sync, bool reached);
};

struct rj_cell_log_reader {
	struct rj_cell_store *store;
	enum rj_cell_topic topic;
	const struct rj_cell_log_reader_ops *ops;
	void *private_data;
	void *mem;
	uint32_t wait_ms; /* of a long poll */
	uint64_t pause_us; /* between two reads, to take more at once */
	enum rj_cell_log_reader_state state;
	uint32_t generation; /* answers to calls of an earlier one are late */
	uint64_t next; /* offset to read from */
	char *after; /* loading: the last key seen, or NULL */
	bool loaded_once; /* loading: the first page has been seen */
	bool caught_up; /* has reached the end since it was started */
	bool poll_in_flight;
	bool quick_in_flight; /* a read for the syncs, which does not wait */
	uint64_t due_us; /* of the next read */
	uint64_t confirmed_us; /* all that was appended before is known */
	uint64_t answered_us; /* when the store last answered a read */
	uint64_t known_end; /* the log is known to reach here */
	uint64_t known_us; /* since when, or when it was last read for */
	uint32_t failures; /* reads in a row */
	struct rj_list syncs;
	uint64_t now_us;
};

void rj_cell_log_reader_init(struct rj_cell_log_reader *follow, void *mem,
			     struct rj_cell_store *store,
			     enum rj_cell_topic topic,
			     const struct rj_cell_log_reader_ops *ops,
			     void *private_data);
void rj_cell_log_reader_start(struct rj_cell_log_reader *follow,
			      uint64_t now_us);
void rj_cell_log_reader_stop(struct rj_cell_log_reader *follow);
void rj_cell_log_reader_tick(struct rj_cell_log_reader *follow,
			     uint64_t now_us);
void rj_cell_log_reader_sync(struct rj_cell_log_reader *follow,
			     struct rj_cell_sync *sync, uint64_t now_us);
void rj_cell_log_reader_expect(struct rj_cell_log_reader *follow, uint64_t end,
			       uint64_t now_us);
uint64_t rj_cell_log_reader_age_us(const struct rj_cell_log_reader *follow,
				   uint64_t now_us);

#endif
