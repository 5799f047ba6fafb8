/*
 * Hands what an owner has learnt to its successor: stores it in parts in the
 * log of progress, and applies what a former owner has stored.
 *
 * Workers are divided into shards by a hash of their id, so that one part is
 * small and is written again only when something in it has changed noticeably.
 * The last part holds queues, urgent demand and accounts.
 *
 * Life cycle: `rj_cell_handover_init`; for each term `_begin`, `_read` for each
 * record of a former owner, `_complete_queues` before jobs are adopted and
 * `_complete` after it; then `_worker_listed` and `_worker_met` whenever the
 * incarnation of a worker is known, and `_write` in each flush; `_finish`. Where
 * the deployment does not call for snapshots, none of them has an effect.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_HANDOVER_H
#define RADISHJUNCTION_PRIVATE_CELL_HANDOVER_H

#include "private/cell_fleet.h"
#include "private/cell_snapshot.h"
#include "private/cell_store.h"

#define RJ_CELL_HANDOVER_SHARDS 64
/* The shards, and the part with queues, urgent demand and accounts. */
#define RJ_CELL_HANDOVER_PARTS (RJ_CELL_HANDOVER_SHARDS + 1)
/* Bytes of snapshot that are appended within any second. */
#define RJ_CELL_HANDOVER_BYTES_PER_S (16 * 1024)
/* Times at which bytes were appended that are kept; three heartbeats are sent
 * in a second. */
#define RJ_CELL_HANDOVER_APPENDS 4

struct rj_cell_owner;

/* One part, as this owner has written it last. */
struct rj_cell_handover_part {
	uint64_t digest; /* of its rounded contents; 0: empty */
	uint64_t written_us; /* 0: not in this term */
	uint64_t due_since_us; /* since when it waits; 0: it does not */
	/* Status plus one of the record that was read at the takeover; 0: there
	 * was none. */
	uint32_t read;
};

/* Bytes that were appended together. */
struct rj_cell_handover_append {
	uint64_t at_us;
	size_t bytes;
};

struct rj_cell_handover_counters {
	uint64_t bytes; /* appended, with keys */
	uint64_t records;
	uint64_t refused; /* by this instance, when it read them */
};

struct rj_cell_handover {
	struct rj_cell_owner *owner;
	struct rj_cell_handover_part parts[RJ_CELL_HANDOVER_PARTS];
	/* Rows of former owners: worker id -> struct row. */
	GHashTable *rows;
	uint64_t rows_read; /* in this term */
	uint64_t paces_read; /* those of them with a known pace */
	uint64_t age_us; /* of the oldest part that was read */
	/* Rows that no worker has claimed by then are dropped. */
	uint64_t rows_until_us;
	/* The last part as it was read; NULL: it was not. */
	struct rj_cell_snapshot *former;
	uint64_t former_us; /* when it was written, by this owner's clock */
	uint32_t appending; /* records without an outcome */
	uint64_t due_us; /* nothing is written or checked before this */
	/* Until then the parts that are due wait for an append that is made
	 * anyway; 0: none is due. */
	uint64_t wait_until_us;
	struct rj_cell_handover_append appends[RJ_CELL_HANDOVER_APPENDS];
	uint64_t log_due_us;
	struct rj_cell_handover_counters counters;
	/* As of the last log event. */
	struct rj_cell_handover_counters logged;
	uint32_t paces_known; /* of listed workers, as of the last write */
};

void rj_cell_handover_init(struct rj_cell_handover *handover,
			   struct rj_cell_owner *owner);
void rj_cell_handover_finish(struct rj_cell_handover *handover);
void rj_cell_handover_begin(struct rj_cell_handover *handover);
void rj_cell_handover_read(struct rj_cell_handover *handover, const char *id,
			   const struct rj_cell_record *record);
void rj_cell_handover_complete_queues(struct rj_cell_handover *handover);
void rj_cell_handover_complete(struct rj_cell_handover *handover);
void rj_cell_handover_worker_listed(struct rj_cell_handover *handover,
				    struct rj_cell_worker *worker);
void rj_cell_handover_worker_met(struct rj_cell_handover *handover,
				 struct rj_cell_worker *worker);
void rj_cell_handover_write(struct rj_cell_handover *handover);

#endif
