#include "support/cell_load.h"

#include <string.h>

/* Utility of a late answer for the client, in percent of one in time. */
#define LATE_UTILITY_PERCENT 30
/* Interval at which streams are checked for due jobs. */
#define STREAM_TICK_US (100 * MS)

/*
 * Submits one job; nodes take turns.
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
 * Advances the time while clients poll the state of their jobs.
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
 * Submits bulk jobs of 24 tasks with one accelerator each; eight of them fill a
 * site of 24 workers.
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

/* Submits the job of a stream that is due `ran_us` after the load started. */
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
 * Runs streams of jobs for `for_us` while clients poll; calls `check` (may be
 * NULL) after each tick.
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
 * Backlog after the owner's last plan.
 */
const struct rj_cell_backlog *cell_load_backlog(const struct cell_sim *sim)
{
	return &sim->nodes[cell_sim_owner(sim)].node.owner.backlog;
}

/* Objective of a job's completion time, from its submission. */
static uint64_t objective_of(const struct cell_sim *sim,
			     const struct cell_client_job *job)
{
	const struct rj_cell_node *node = &sim->nodes[cell_sim_owner(sim)].node;
	const struct rj_cell_queue *queue =
		rj_cell_config_queue(node->config, job->spec->queue);

	return job->duration_us * queue->stretch_milli / 1000 +
	       queue->latency_ms * MS;
}

/* Utility of a job for its client, in percent: 100 in time, less when late, 0
 * when it failed or came too late to be useful. */
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
 * Mean utility, in percent, of the jobs of a queue that were submitted before
 * `sent_before_us`.
 */
uint32_t cell_load_utility_percent(const struct cell_sim *sim,
				   const char *queue, uint64_t sent_before_us)
{
	uint32_t job_count = 0;
	uint32_t utility_sum = 0;

	for (guint i = 0; i < sim->job_list->len; i++) {
		const struct cell_client_job *job = sim->job_list->pdata[i];

		if (strcmp(job->spec->queue, queue) != 0 ||
		    job->sent_us >= sent_before_us)
			continue;
		job_count++;
		utility_sum += utility_of(sim, job);
	}
	g_assert_cmpuint(job_count, >, 0);
	return utility_sum / job_count;
}
