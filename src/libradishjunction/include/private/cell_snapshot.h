/*
 * Records of what an owner has learnt, for its successor: paces and histories
 * of workers; mean run times of queues with the errors of their estimates; the
 * recent urgent demand; the use of each account.
 *
 * Times are stored relative to the record's, so that a reader with another
 * clock can convert them. A record is accepted as a whole or refused as a
 * whole. No function reads a clock or does I/O.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_SNAPSHOT_H
#define RADISHJUNCTION_PRIVATE_CELL_SNAPSHOT_H

#include "private/cell_account_shares.h"
#include "private/cell_forecast.h"
#include "private/cell_worker_history.h"

/* A record that was written longer ago is refused. */
#define RJ_CELL_SNAPSHOT_AGE_MAX_MS (60 * 1000)
/* Limits of one record. With names and numbers of any length it takes less than
 * the 256 KiB that the store accepts; a larger one would fail with all others in
 * its append. */
#define RJ_CELL_SNAPSHOT_WORKERS_MAX 2048
#define RJ_CELL_SNAPSHOT_QUEUES_MAX 64
#define RJ_CELL_SNAPSHOT_ACCOUNTS_MAX 64

struct rj_cell_snapshot_worker {
	char id[RJ_NAME_BYTES];
	uint64_t incarnation; /* for which the rest was learnt */
	struct rj_cell_pace pace;
	struct rj_cell_worker_history history;
};

struct rj_cell_snapshot {
	uint64_t token; /* of the owner that wrote it */
	uint64_t wall_ms; /* when, as Unix time by its clock */
	uint32_t worker_count;
	struct rj_cell_snapshot_worker *workers;
	uint32_t queue_count;
	struct rj_cell_queue_mean *queues;
	uint32_t urgent_accelerators; /* recent urgent demand */
	uint32_t account_count;
	struct rj_cell_account_use *accounts;
};

/* What a reader knows when it decodes a record. */
struct rj_cell_snapshot_reader {
	uint64_t token;
	uint64_t wall_ms;
	uint64_t now_us; /* the clock that times are converted to */
};

enum rj_cell_snapshot_status {
	RJ_CELL_SNAPSHOT_ACCEPTED,
	RJ_CELL_SNAPSHOT_DAMAGED,
	RJ_CELL_SNAPSHOT_OTHER_VERSION,
	RJ_CELL_SNAPSHOT_OLD, /* or from a clock that is far ahead */
	RJ_CELL_SNAPSHOT_HIGHER_TOKEN, /* the reader has been replaced */
	RJ_CELL_SNAPSHOT_STATUS_COUNT
};

struct rj_bytes rj_cell_snapshot_seal(void *mem, uint64_t token,
				      uint64_t wall_ms,
				      struct rj_bytes payload);
struct rj_bytes rj_cell_snapshot_encode(void *mem,
					const struct rj_cell_snapshot *snapshot,
					uint64_t now_us);
enum rj_cell_snapshot_status
rj_cell_snapshot_decode(void *mem, struct rj_bytes bytes,
			const struct rj_cell_snapshot_reader *reader,
			struct rj_cell_snapshot *snapshot);
uint64_t rj_cell_snapshot_age_us(const struct rj_cell_snapshot *snapshot,
				 const struct rj_cell_snapshot_reader *reader);

#endif
