/*
 * Appends records to one of our logs, one call at a time: what comes while a
 * call is on its way goes together with the next one.
 *
 * A call whose answer is lost is repeated under the same sequence number,
 * which the log carries out once, until its outcome is known.
 *
 * Life cycle: `rj_cell_writer_init` with the producer's name, `_open` with an
 * epoch; `_add` any number of records, each of which ends in one call of
 * `done`; a tick every few milliseconds; `_close` ends what is open as
 * unknown.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_WRITER_H
#define RADISHJUNCTION_PRIVATE_CELL_WRITER_H

#include "private/cell_store.h"
#include "private/latency.h"
#include "private/list.h"

enum rj_cell_write_outcome {
	RJ_CELL_WRITE_STORED,
	RJ_CELL_WRITE_NOT_STORED, /* and never will be */
	RJ_CELL_WRITE_UNKNOWN, /* given up; it may be in the log */
	RJ_CELL_WRITE_FENCED, /* not stored: another producer took over */
};

struct rj_cell_writer;

/* Called once; `private_data` is whatever was given with the record. */
struct rj_cell_write_done {
	void (*call)(void *private_data, enum rj_cell_write_outcome outcome);
	void *private_data;
};

struct rj_cell_writer {
	struct rj_cell_store *store;
	enum rj_cell_topic topic;
	void *mem;
	char producer[RJ_NAME_BYTES * 2];
	uint64_t epoch;
	uint64_t sequence; /* of the next append */
	uint32_t generation; /* answers to an earlier one are late */
	bool open;
	struct rj_list waiting; /* struct write, not yet sent */
	struct rj_list sent; /* of the call on its way */
	bool in_flight;
	bool uncertain; /* an answer of the sent batch was lost */
	uint32_t tries; /* of the batch */
	uint64_t retry_us; /* when to send the batch again */
	uint64_t end; /* of the log, after the last append that went in */
	uint64_t took_us; /* the last append that went in */
	uint64_t answered_us; /* when the store last took or judged an append */
	uint64_t stored_us; /* when the last append that succeeded was sent */
	uint64_t sent_us;
	uint64_t now_us;
	struct rj_latency appends; /* of those that were answered */
	uint64_t lost;
	uint64_t refused;
};

void rj_cell_writer_init(struct rj_cell_writer *writer, void *mem,
			 struct rj_cell_store *store, enum rj_cell_topic topic,
			 const char *producer);
void rj_cell_writer_open(struct rj_cell_writer *writer, uint64_t epoch,
			 uint64_t sequence, uint64_t now_us);
void rj_cell_writer_add(struct rj_cell_writer *writer, const char *key,
			struct rj_bytes value, struct rj_cell_write_done done);
void rj_cell_writer_flush(struct rj_cell_writer *writer, uint64_t now_us);
bool rj_cell_writer_busy(const struct rj_cell_writer *writer);
void rj_cell_writer_tick(struct rj_cell_writer *writer, uint64_t now_us);
void rj_cell_writer_close(struct rj_cell_writer *writer);

#endif
