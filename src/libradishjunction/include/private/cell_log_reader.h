/*
 * Reads one log: loads the newest record of each key, then reads appended
 * records, and passes each record on in log order.
 *
 * Call `rj_cell_log_reader_tick` every few milliseconds after
 * `rj_cell_log_reader_start`; `rj_cell_log_reader_stop` discards the position.
 * A load may pass records on again, so processing a record must be idempotent.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_LOG_READER_H
#define RADISHJUNCTION_PRIVATE_CELL_LOG_READER_H

#include "private/cell_store.h"
#include "private/list.h"

enum rj_cell_log_reader_state {
	RJ_CELL_LOG_READER_IDLE,
	RJ_CELL_LOG_READER_LOADING, /* newest record of each key */
	RJ_CELL_LOG_READER_READING,
};

struct rj_cell_log_reader;

struct rj_cell_log_reader_ops {
	void (*record)(void *private_data, const struct rj_cell_record *record);
	/* A read has ended; reader->caught_up tells whether it reached the
	 * end. */
	void (*progress)(void *private_data, struct rj_cell_log_reader *reader);
	/* A load begins, or has passed on all keys. Either may be NULL. */
	void (*load_begin)(void *private_data);
	void (*load_end)(void *private_data);
	/* A record that rj_cell_log_reader_read_back has requested. */
	void (*history)(void *private_data,
			const struct rj_cell_record *record);
};

/* A wait for the end of the log: `done` is called when all records appended
 * before the wait began are known (true), or a read has failed (false). */
struct rj_cell_sync {
	struct rj_list link;
	uint64_t since_us;
	void (*done)(struct rj_cell_sync *sync, bool reached);
};

/* Reported ends that a reader keeps until it has passed them. The age of its
 * data is known to about the lag of the reader divided by half of this. */
#define RJ_CELL_LOG_READER_MARKS 8

/* The end of the log, as the answer to a read reported it: all records appended
 * before the read was sent are before this offset. */
struct rj_cell_log_mark {
	uint64_t end;
	uint64_t sent_us;
};

struct rj_cell_log_reader {
	struct rj_cell_store *store;
	enum rj_cell_topic topic;
	const struct rj_cell_log_reader_ops *ops;
	void *private_data;
	void *mem;
	uint32_t wait_ms; /* of a long poll */
	uint64_t pause_us; /* pause between two reads, to batch records */
	enum rj_cell_log_reader_state state;
	/* Responses to calls of an earlier generation are ignored. */
	uint32_t generation;
	uint64_t next; /* offset of the next read */
	uint64_t loaded_end; /* end of the log as the last load began */
	/* Offsets of the records to be read back; none if they are equal. */
	uint64_t history_next;
	uint64_t history_end;
	bool history_in_flight;
	uint64_t history_due_us;
	char *after; /* loading: last key received, or NULL */
	bool first_page_loaded; /* loading: the first page has been received */
	bool caught_up; /* has reached the end since its start */
	bool poll_in_flight;
	/* A read that does not wait for records is in flight. */
	bool immediate_in_flight;
	uint64_t due_us; /* time of the next read */
	uint64_t confirmed_us; /* all records appended before this are known */
	/* Reported ends that have not been passed, the oldest first. */
	struct rj_cell_log_mark marks[RJ_CELL_LOG_READER_MARKS];
	uint32_t mark_count;
	uint64_t answered_us; /* last answer of the store to a read */
	uint64_t known_end; /* the log is known to extend to this offset */
	uint64_t known_us; /* when known_end was set, or last read for */
	uint32_t failures; /* consecutive failed reads */
	struct rj_list syncs;
	uint64_t now_us;
};

void rj_cell_log_reader_init(struct rj_cell_log_reader *reader, void *mem,
			     struct rj_cell_store *store,
			     enum rj_cell_topic topic,
			     const struct rj_cell_log_reader_ops *ops,
			     void *private_data);
void rj_cell_log_reader_start(struct rj_cell_log_reader *reader,
			      uint64_t now_us);
void rj_cell_log_reader_stop(struct rj_cell_log_reader *reader);
void rj_cell_log_reader_tick(struct rj_cell_log_reader *reader,
			     uint64_t now_us);
void rj_cell_log_reader_sync(struct rj_cell_log_reader *reader,
			     struct rj_cell_sync *sync, uint64_t now_us);
void rj_cell_log_reader_expect(struct rj_cell_log_reader *reader, uint64_t end,
			       uint64_t now_us);
void rj_cell_log_reader_read_back(struct rj_cell_log_reader *reader,
				  uint64_t count);
uint64_t rj_cell_log_reader_age_us(const struct rj_cell_log_reader *reader,
				   uint64_t now_us);

#endif
