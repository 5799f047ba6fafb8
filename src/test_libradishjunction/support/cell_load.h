/*
 * Load on a simulated site: single jobs, streams of jobs, and the utility that
 * the clients of a queue received.
 */
#ifndef TEST_SUPPORT_CELL_LOAD_H
#define TEST_SUPPORT_CELL_LOAD_H

#include "support/cell_sim.h"

/* Jobs of one kind, submitted at a constant rate. */
struct cell_load_stream {
	const char *queue;
	const char *account;
	struct rj_cell_step step;
	uint64_t duration_us; /* of each task */
	uint64_t every_us;
	uint64_t first_us; /* after the start of the load */
	uint64_t until_us; /* 0: for the whole load */
};

struct cell_client_job *cell_load_submit(struct cell_sim *sim,
					 const char *queue, const char *account,
					 const struct rj_cell_step *step,
					 uint64_t duration_us);
void cell_load_run(struct cell_sim *sim, uint64_t for_us);
void cell_load_fill(struct cell_sim *sim, uint32_t jobs, bool checkpoints,
		    uint64_t duration_us);
void cell_load_run_streams(struct cell_sim *sim,
			   const struct cell_load_stream *streams,
			   uint32_t count, uint64_t for_us,
			   void (*check)(struct cell_sim *sim));
const struct rj_cell_backlog *cell_load_backlog(const struct cell_sim *sim);
uint32_t cell_load_utility_percent(const struct cell_sim *sim,
				   const char *queue, uint64_t sent_before_us);

#endif
