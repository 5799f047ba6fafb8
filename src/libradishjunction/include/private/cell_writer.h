/*
 * Appends records to one of the own logs, with one append in flight: records
 * added meanwhile go into the next append.
 *
 * An append whose answer was lost is repeated with the same sequence number,
 * which the log deduplicates, until its outcome is known. One that the log
 * rejects as invalid is split until the record is found that causes it; the
 * others are stored. A record that is known to be too long is not sent.
 *
 * `rj_cell_writer_open` sets the epoch; `rj_cell_writer_add` takes any number
 * of records, each of which ends in one call of `done`; call
 * `rj_cell_writer_tick` every few milliseconds; `rj_cell_writer_close`
 * ends all pending records.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_WRITER_H
#define RADISHJUNCTION_PRIVATE_CELL_WRITER_H

#include "private/cell_store.h"
#include "private/latency.h"
#include "private/list.h"

enum rj_cell_write_outcome {
	RJ_CELL_WRITE_STORED,
	RJ_CELL_WRITE_NOT_STORED, /* and never will be */
	/* Not stored; the log would reject the same record again. */
	RJ_CELL_WRITE_INVALID,
	RJ_CELL_WRITE_UNKNOWN, /* abandoned; it may be in the log */
	RJ_CELL_WRITE_FENCED, /* not stored: another producer has taken over */
};

struct rj_cell_writer;

/* Called once per record, with the `private_data` given for it. */
struct rj_cell_write_done {
	void (*call)(void *private_data, enum rj_cell_write_outcome outcome);
	void *private_data;
};

struct rj_cell_writer {
	struct rj_cell_store *store;
	enum rj_cell_topic topic;
	void *mem;
	char producer[RJ_NAME_BYTES * 2];
	/* See struct rj_cell_limits. */
	uint32_t record_max_bytes;
	uint32_t append_max_bytes;
	uint64_t epoch;
	uint64_t sequence; /* of the next append */
	uint32_t generation; /* answers to an earlier generation are ignored */
	bool open;
	struct rj_list waiting; /* struct write, not sent yet */
	struct rj_list sent; /* struct write, in the current batch */
	bool in_flight;
	bool uncertain; /* an answer to the current batch was lost */
	uint32_t tries; /* of the current batch */
	uint64_t retry_us; /* when to send the current batch again */
	/* End offset of the log after the last successful append. */
	uint64_t end;
	uint64_t took_us; /* duration of the last successful append */
	/* Last answer that shows that the store serves this instance. */
	uint64_t answered_us;
	/* When the last successful append was first sent: others may have read
	 * it from then on. */
	uint64_t stored_us;
	uint64_t first_sent_us; /* first attempt of the current batch */
	uint64_t sent_us; /* its latest attempt */
	uint64_t now_us;
	struct rj_latency appends; /* latency of successful appends */
	uint64_t lost; /* number of missing or malformed answers */
	uint64_t refused; /* number of refusals by the store */
	uint64_t invalid; /* number of records that were rejected as invalid */
};

void rj_cell_writer_init(struct rj_cell_writer *writer, void *mem,
			 struct rj_cell_store *store, enum rj_cell_topic topic,
			 const char *producer);
void rj_cell_writer_set_limits(struct rj_cell_writer *writer,
			       uint32_t record_max_bytes,
			       uint32_t append_max_bytes);
uint32_t rj_cell_writer_value_max_bytes(uint32_t record_max_bytes,
					size_t key_length);
void rj_cell_writer_open(struct rj_cell_writer *writer, uint64_t epoch,
			 uint64_t sequence, uint64_t now_us);
void rj_cell_writer_add(struct rj_cell_writer *writer, const char *key,
			struct rj_bytes value, struct rj_cell_write_done done);
void rj_cell_writer_flush(struct rj_cell_writer *writer, uint64_t now_us);
bool rj_cell_writer_busy(const struct rj_cell_writer *writer);
void rj_cell_writer_tick(struct rj_cell_writer *writer, uint64_t now_us);
void rj_cell_writer_close(struct rj_cell_writer *writer);

#endif
