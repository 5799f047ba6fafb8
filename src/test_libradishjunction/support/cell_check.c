/*
 * The users' rules, judged from what the fake workers and clients see. Each
 * message opens with the rule: capacity, twice, order, attempts, unasked,
 * refused, lost, mixed.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "support/cell_sim.h"

/* A start after a cancel's acknowledgement is allowed for so long. */
#define CANCEL_US (3 * S)
/* ... and after its failure domain was cordoned. */
#define CORDON_US (5 * S)
/* ... and after its worker said that it drains. */
#define DRAIN_US (2 * S)

/* What has been seen of one task. */
struct cell_task_stats {
	uint32_t running; /* on workers that are up */
	uint32_t failed_ends;
	uint32_t failures; /* of them, those that the owner has noted */
	bool done;
	bool done_seen; /* and noted by the owner */
	uint32_t starts;
};

/*
 * Note a broken rule.
 */
void cell_sim_violation(struct cell_sim *world, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(world->violations,
			g_strdup_printf("%.3f s: %s",
					(double)world->now_us / (double)S,
					text));
	g_free(text);
}

/*
 * The job of a task's name, or NULL; and the task's place in it.
 */
struct cell_client_job *cell_check_find_job(struct cell_sim *world,
					    const char *name, uint32_t *step,
					    uint32_t *index)
{
	struct cell_client_job *job;
	char id[RJ_CELL_ID_BYTES];
	unsigned int round;

	if (sscanf(name, "%16[0-9a-f].%u.%u.%u", id, &round, step, index) != 4)
		return NULL;
	job = g_hash_table_lookup(world->jobs, id);
	if (!job || *step >= job->job_spec->step_count ||
	    *index >= job->job_spec->steps[*step].task_count)
		return NULL;
	return job;
}

/* The log of a task. */
static struct cell_task_stats *task_log(struct cell_client_job *job,
					const char *name)
{
	struct cell_task_stats *log = g_hash_table_lookup(job->tasks, name);

	if (!log) {
		log = g_new0(struct cell_task_stats, 1);
		g_hash_table_insert(job->tasks, g_strdup(name), log);
	}
	return log;
}

/* The log of the task that has this name, with its job and its step, or NULL
 * if no client knows the job. */
static struct cell_task_stats *log_of(struct cell_sim *world, const char *name,
				      struct cell_client_job **job,
				      uint32_t *step)
{
	uint32_t index = 0;

	*job = cell_check_find_job(world, name, step, &index);
	return *job ? task_log(*job, name) : NULL;
}

/* Whether all tasks of a step have ended well; for a gang one end speaks
 * for all. */
static bool step_done(struct cell_client_job *job, const char *name,
		      uint32_t step)
{
	const char *dot = strchr(name, '.');
	unsigned int round = 0;

	sscanf(dot + 1, "%u", &round);
	for (uint32_t i = 0; i < job->job_spec->steps[step].task_count; i++) {
		char *other =
			g_strdup_printf("%s.%u.%u.%u", job->id, round, step, i);
		bool done = task_log(job, other)->done;

		g_free(other);
		if (done && job->job_spec->steps[step].gang)
			return true;
		if (!done)
			return false;
	}
	return true;
}

/* Whether the tasks of the first step have all begun. */
static void note_begun(struct cell_sim *world, struct cell_client_job *job)
{
	const struct rj_cell_step *step = &job->job_spec->steps[0];

	if (job->begun_us)
		return;
	for (uint32_t i = 0; i < step->task_count; i++) {
		char *name = g_strdup_printf("%s.0.0.%u", job->id, i);
		bool begun = task_log(job, name)->starts > 0;

		g_free(name);
		if (!begun)
			return;
	}
	job->begun_us = world->now_us;
}

/* Whether two names are of one step and occurrence. */
static bool are_siblings(const char *a, const char *b)
{
	const char *dot_a = strrchr(a, '.');
	const char *dot_b = strrchr(b, '.');

	return dot_a - a == dot_b - b && !strncmp(a, b, (size_t)(dot_a - a));
}

/* How many tasks of a step and occurrence a worker runs. */
static uint32_t siblings_on(struct cell_fake_worker *worker, const char *name)
{
	uint32_t count = 0;

	for (guint i = 0; i < worker->runs->len; i++)
		if (are_siblings(cell_fake_run_info_at(worker, i).name, name))
			count++;
	return count;
}

/* Whether a worker that does not guard itself is overfilled. */
static void check_room(struct cell_sim *world, struct cell_fake_worker *worker,
		       const struct rj_cell_step *step, const char *name)
{
	struct rj_cell_demand sum = rj_cell_step_allocation(step);

	for (guint i = 0; i < worker->runs->len; i++) {
		struct rj_cell_demand held =
			cell_fake_run_info_at(worker, i).held;

		rj_cell_demand_add(&sum, &held);
	}
	if (!rj_cell_demand_fits(&sum, &worker->heartbeat.capacity))
		cell_sim_violation(world, "capacity: %s on %s", name,
				   worker->id);
}

/* Whether the failure domain of a worker has been cordoned for too long. */
static void check_cordon(struct cell_sim *world,
			 const struct cell_fake_worker *worker,
			 const char *name, uint64_t sent_us)
{
	const uint64_t *since_us =
		g_hash_table_lookup(world->cordons, worker->heartbeat.domain);

	if (since_us && sent_us > *since_us + CORDON_US)
		cell_sim_violation(world, "cordon: %s on %s in %s", name,
				   worker->id, worker->heartbeat.domain);
}

/* Whether a worker has been draining for too long. */
static void check_drain(struct cell_sim *world,
			const struct cell_fake_worker *worker, const char *name,
			uint64_t sent_us)
{
	if (worker->heartbeat.draining &&
	    sent_us > worker->drained_us + DRAIN_US)
		cell_sim_violation(world, "drain: %s on %s", name, worker->id);
}

/*
 * A worker begins a task on an order that was sent at `sent_us`. The bound
 * for what is cancelled counts for the sending: a worker may carry an order
 * out late, and then has to be told to stop.
 */
void cell_check_start(struct cell_sim *world, struct cell_fake_worker *worker,
		      const struct rj_cell_start *start, uint64_t sent_us)
{
	uint32_t step = 0;
	uint32_t index = 0;
	struct cell_client_job *job =
		cell_check_find_job(world, start->name, &step, &index);
	struct cell_task_stats *log;
	const struct rj_cell_step *of;

	world->starts++;
	if (!job) {
		cell_sim_violation(world, "unasked: %s", start->name);
		return;
	}
	of = &job->job_spec->steps[step];
	log = task_log(job, start->name);
	log->starts++;
	job->starts++;
	if (log->running && !of->speculative)
		cell_sim_violation(world, "twice: %s run %u on %s, %u run",
				   start->name, start->number, worker->id,
				   log->running);
	if (log->done_seen && !of->perpetual)
		cell_sim_violation(world, "twice: %s run %u after its end",
				   start->name, start->number);
	if (log->failures >= job->job_spec->attempts_max && !of->perpetual)
		cell_sim_violation(world, "attempts: %s run %u", start->name,
				   start->number);
	if (job->cancelled && sent_us > job->cancelled_us + CANCEL_US)
		cell_sim_violation(world, "unasked: %s is cancelled",
				   start->name);
	if (!job->accepted && job->refusals && job->refusals == job->tries)
		cell_sim_violation(world, "refused: %s", start->name);
	for (uint32_t i = 0; i < of->after_count; i++)
		if (!step_done(job, start->name, of->after[i]))
			cell_sim_violation(world, "order: %s", start->name);
	if (of->per_worker_max &&
	    siblings_on(worker, start->name) >= of->per_worker_max)
		cell_sim_violation(
			world, "route: %s beside %u on %s", start->name,
			siblings_on(worker, start->name), worker->id);
	check_cordon(world, worker, start->name, sent_us);
	check_drain(world, worker, start->name, sent_us);
	check_room(world, worker, of, start->name);
	log->running++;
	note_begun(world, job);
}

/*
 * A run has ended at its worker.
 */
void cell_check_completion(struct cell_sim *world,
			   struct cell_fake_worker *worker, const char *name,
			   uint32_t run, enum rj_cell_completion end)
{
	uint32_t step = 0;
	struct cell_client_job *job;
	struct cell_task_stats *log = log_of(world, name, &job, &step);

	if (!log)
		return;
	if (log->running)
		log->running--;
	if (end == RJ_CELL_COMPLETION_DONE)
		log->done = true;
	if (end == RJ_CELL_COMPLETION_FAILED)
		log->failed_ends++;
}

/*
 * The owner has noted an end.
 */
void cell_check_acknowledged(struct cell_sim *world,
			     struct cell_fake_worker *worker, const char *name,
			     uint32_t run, enum rj_cell_completion end)
{
	uint32_t step = 0;
	struct cell_client_job *job;
	struct cell_task_stats *log = log_of(world, name, &job, &step);

	if (!log)
		return;
	if (end == RJ_CELL_COMPLETION_DONE) {
		log->done_seen = true;
		if (log->running && !job->job_spec->steps[step].speculative &&
		    !job->job_spec->steps[step].perpetual)
			cell_sim_violation(world,
					   "twice: %s run %u noted done "
					   "while it runs",
					   name, run);
	}
	if (end == RJ_CELL_COMPLETION_FAILED)
		log->failures++;
}

/* Whether some task, or some gang, has failed as often as it may. */
static bool has_cause(struct cell_client_job *job)
{
	for (uint32_t i = 0; i < job->job_spec->step_count; i++) {
		const struct rj_cell_step *step = &job->job_spec->steps[i];
		uint32_t sum = 0;

		for (uint32_t j = 0; j < step->task_count; j++) {
			char *name =
				g_strdup_printf("%s.0.%u.%u", job->id, i, j);
			uint32_t failures = task_log(job, name)->failed_ends;

			g_free(name);
			sum = step->gang ? sum + failures : MAX(sum, failures);
		}
		if (sum >= job->job_spec->attempts_max)
			return true;
	}
	return false;
}

/* Nothing of a job that has ended runs any more. */
static void check_leftovers(struct cell_sim *world)
{
	for (uint32_t i = 0; i < world->plan.workers; i++) {
		struct cell_fake_worker *worker = &world->workers[i];

		for (guint j = 0; j < worker->runs->len; j++) {
			const char *name =
				cell_fake_run_info_at(worker, j).name;
			uint32_t step = 0;
			uint32_t index = 0;
			const struct cell_client_job *job =
				cell_check_find_job(world, name, &step, &index);

			if (!job || job->shown >= RJ_CELL_JOB_COMPLETED)
				cell_sim_violation(
					world, "unasked: %s still runs on %s",
					name, worker->id);
		}
	}
}

/*
 * Judge what must hold once everything has calmed down: every accepted job
 * is known and has ended, no task of a completed job is missing, and nothing
 * of an ended job runs.
 */
void cell_sim_check_final(struct cell_sim *world)
{
	check_leftovers(world);
	for (guint i = 0; i < world->job_list->len; i++) {
		struct cell_client_job *job = world->job_list->pdata[i];

		if (!job->accepted)
			continue;
		if (job->gone)
			cell_sim_violation(world, "lost: %s is not known",
					   job->id);
		if (!job->has_shown || job->shown < RJ_CELL_JOB_COMPLETED)
			cell_sim_violation(
				world, "lost: %s is %s", job->id,
				job->has_shown ?
					rj_cell_job_state_string[job->shown] :
					"never shown");
		if (job->shown == RJ_CELL_JOB_FAILED && !has_cause(job))
			cell_sim_violation(world, "lost: %s has failed",
					   job->id);
		if (job->shown == RJ_CELL_JOB_CANCELLED && !job->cancel_sent)
			cell_sim_violation(world, "lost: %s is cancelled",
					   job->id);
		for (uint32_t j = 0; job->shown == RJ_CELL_JOB_COMPLETED &&
				     j < job->job_spec->step_count;
		     j++) {
			char *name = g_strdup_printf("%s.0.%u.0", job->id, j);

			if (!step_done(job, name, j))
				cell_sim_violation(
					world, "mixed: %s is not done", name);
			g_free(name);
		}
	}
}
