/*
 * Shared by the files of the fake workers: how runs execute and complete
 * (cell_fake_workers.c), and how orders arrive and are answered
 * (cell_fake_orders.c).
 */
#ifndef TEST_SUPPORT_CELL_FAKE_H
#define TEST_SUPPORT_CELL_FAKE_H

#include "private/cell_workers.h"
#include "support/cell_sim.h"

/* Time from a stop order to the end of the run. */
#define CELL_FAKE_STOP_DELAY_US (150 * MS)

/* Buffer size of a checkpoint: a number of hexadecimal digits. */
#define CELL_FAKE_CHECKPOINT_BYTES 128

struct cell_fake_run {
	char *name;
	uint32_t number;
	char *gang; /* shared by its members, or NULL */
	struct cell_fake_worker *worker;
	uint32_t member_count;
	uint64_t duration_us; /* total, at speed 1 */
	uint64_t progress_us;
	uint64_t fails_at_us; /* value of progress_us; 0: never */
	bool checkpoints;
	bool perpetual;
	char checkpoint[CELL_FAKE_CHECKPOINT_BYTES];
	uint64_t started_us;
	uint64_t stop_at_us; /* end after a stop order; 0: none */
	uint64_t break_at_us; /* end after another member's; 0: none */
	struct rj_cell_demand allocated;
	bool unknown_job; /* no client submitted its job */
	uint32_t target_ms; /* latency target; 0: none */
	uint64_t over_target_us; /* how long over the target, without a break */
};

/* A completion that a worker lists. */
struct cell_fake_completion {
	uint64_t position;
	char name[64];
	uint32_t number;
	enum rj_cell_completion outcome;
	char checkpoint[CELL_FAKE_CHECKPOINT_BYTES];
	uint64_t ended_us;
};

/* Runs and completions. */
uint64_t cell_fake_clock_ms(const struct cell_sim *sim,
			    const struct cell_fake_worker *worker);
struct cell_fake_run *cell_fake_find_run(const struct cell_fake_worker *worker,
					 const char *name);
uint32_t cell_fake_tail_latency_ms(const struct cell_fake_worker *worker,
				   const struct cell_fake_run *run);
void cell_fake_mark_ended(struct cell_fake_worker *worker, const char *name,
			  uint32_t number);
void cell_fake_start_run(struct cell_sim *sim, struct cell_fake_worker *worker,
			 const struct rj_cell_start *start);
bool cell_fake_is_full(struct cell_sim *sim, struct cell_fake_worker *worker,
		       const char *name);
void cell_fake_drop_acknowledged(struct cell_sim *sim,
				 struct cell_fake_worker *worker,
				 uint64_t acknowledged);

/* Waiting long polls. */
void cell_fake_answer_polls(struct cell_fake_worker *worker);
void cell_fake_expire_polls(struct cell_sim *sim,
			    struct cell_fake_worker *worker);
void cell_fake_drop_polls(struct cell_fake_worker *worker);

#endif
