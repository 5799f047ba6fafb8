#include "support/cell_load.h"

#include <string.h>

/* A client that gets its answer late has so much of its use, in percent. */
#define LATE_UTILITY_PERCENT 30
/* Streams are looked at so often. */
#define STREAM_TICK_US (100 * MS)

/*
 * Hand one job in, at a node that changes.
 */
struct cell_client_job *cell_load_submit(struct cell_sim *sim,
					 const char *queue, const char *account,
					 const struct rj_cell_step *step,
					 uint64_t duration_us)
{
	struct cell_client_job *job =
		cell_sim_job_new(sim, queue, account, step, 1, duration_us);

	cell_sim_submit(sim, sim->job_count % sim->options.nodes, job);
	return job;
}

/*
 * Let time pass while clients ask for their jobs.
 */
void cell_load_run(struct cell_sim *sim, uint64_t for_us)
{
	for (uint64_t ran_us = 0; ran_us < for_us; ran_us += 100 * MS) {
		cell_sim_run(sim, 100 * MS);
		for (guint i = 0; i < sim->job_list->len; i++) {
			struct cell_client_job *job = sim->job_list->pdata[i];

			if (job->accepted && !job->ended_us)
				cell_sim_query(sim, i % sim->options.nodes,
					       job);
		}
	}
}

/*
 * Hand in bulk jobs of 24 tasks with one accelerator each; eight of them
 * fill the site.
 */
void cell_load_fill(struct cell_sim *sim, uint32_t jobs, bool checkpoints,
		    uint64_t duration_us)
{
	struct rj_cell_step step = cell_sim_plain_step(24, 1, 6000);

	step.checkpoints = checkpoints;
	for (uint32_t i = 0; i < jobs; i++)
		cell_load_submit(sim, "bulk", "b", &step, duration_us);
	cell_load_run(sim, 2 * S);
}

/* Hand in what has come due of a stream, `ran_us` after the load's begin. */
static void submit_due(struct cell_sim *sim,
		       const struct cell_load_stream *stream, uint64_t ran_us)
{
	if (ran_us < stream->first_us ||
	    (stream->until_us && ran_us >= stream->until_us) ||
	    (ran_us - stream->first_us) % stream->every_us >= STREAM_TICK_US)
		return;
	cell_load_submit(sim, stream->queue, stream->account, &stream->step,
			 stream->duration_us);
}

/*
 * Let streams of jobs come for a while, with clients that ask for them, and
 * call `check` (may be NULL) now and then.
 */
void cell_load_run_streams(struct cell_sim *sim,
			   const struct cell_load_stream *streams,
			   uint32_t count, uint64_t for_us,
			   void (*check)(struct cell_sim *sim))
{
	for (uint64_t ran_us = 0; ran_us < for_us; ran_us += STREAM_TICK_US) {
		for (uint32_t i = 0; i < count; i++)
			submit_due(sim, &streams[i], ran_us);
		cell_load_run(sim, STREAM_TICK_US);
		if (check)
			check(sim);
	}
}

/*
 * What the owner's last plan has left waiting and idle.
 */
const struct rj_cell_backlog *cell_load_backlog(const struct cell_sim *sim)
{
	return &sim->nodes[cell_sim_owner(sim)].node.owner.backlog;
}

/* When a job should have ended, after it was sent. */
static uint64_t objective_of(const struct cell_sim *sim,
			     const struct cell_client_job *job)
{
	const struct rj_cell_node *node = &sim->nodes[cell_sim_owner(sim)].node;
	const struct rj_cell_queue *queue =
		rj_cell_config_queue(node->config, job->spec->queue);

	return job->duration_us * queue->stretch_milli / 1000 +
	       queue->latency_ms * MS;
}

/* What a client has of its job, in percent: all in time, less when late. */
static uint32_t utility_of(const struct cell_sim *sim,
			   const struct cell_client_job *job)
{
	uint64_t objective_us = objective_of(sim, job);
	uint64_t took_us = job->ended_us - job->sent_us;

	if (!job->ended_us || job->state != RJ_CELL_JOB_COMPLETED ||
	    took_us > RJ_CELL_LATE_FACTOR * objective_us)
		return 0;
	return took_us <= objective_us ? 100 : LATE_UTILITY_PERCENT;
}

/*
 * What the clients of a queue have of the jobs that they handed in before a
 * time, in percent of what they would have if all had ended in time.
 */
uint32_t cell_load_utility_percent(const struct cell_sim *sim,
				   const char *queue, uint64_t sent_before_us)
{
	uint32_t owed = 0;
	uint32_t earned = 0;

	for (guint i = 0; i < sim->job_list->len; i++) {
		const struct cell_client_job *job = sim->job_list->pdata[i];

		if (strcmp(job->spec->queue, queue) != 0 ||
		    job->sent_us >= sent_before_us)
			continue;
		owed++;
		earned += utility_of(sim, job);
	}
	g_assert_cmpuint(owed, >, 0);
	return earned / owed;
}
