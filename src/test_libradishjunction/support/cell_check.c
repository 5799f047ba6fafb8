/*
 * Checks the users' rules on what the fake workers and clients observe. A
 * message begins with the rule: capacity, twice, order, attempts, unasked,
 * refused, lost, mixed, key, route, cordon, drain. "unasked" is a run that no
 * client asked for or that its job no longer needs, "mixed" a completed job
 * with unfinished tasks, "route" a worker of another kind, or too many tasks of
 * a step on one.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "support/cell_sim.h"

/* A start may be sent for up to this long after a cancellation was
 * acknowledged. */
#define CANCEL_GRACE_US (3 * S)
/* ... and after the failure domain was cordoned. */
#define CORDON_GRACE_US (5 * S)
/* ... and after the worker reported that it drains. */
#define DRAIN_GRACE_US (2 * S)

/* What was observed of one task. */
struct cell_task_stats {
	uint32_t running; /* runs on workers that are up */
	uint32_t failed_runs;
	uint32_t failures_acknowledged; /* those that the owner acknowledged */
	bool done;
	bool done_acknowledged;
	uint32_t starts;
};

/*
 * Records a violation of a rule.
 */
void cell_sim_violation(struct cell_sim *sim, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(sim->violations,
			g_strdup_printf("%.3f s: %s",
					(double)sim->now_us / (double)S, text));
	g_free(text);
}

/*
 * Returns the job of a task name, or NULL, and the task's step and index.
 */
struct cell_client_job *cell_check_find_job(struct cell_sim *sim,
					    const char *name, uint32_t *step,
					    uint32_t *index)
{
	struct cell_client_job *job;
	char id[RJ_CELL_ID_BYTES];
	unsigned int occurrence;

	if (sscanf(name, "%16[0-9a-f].%u.%u.%u", id, &occurrence, step,
		   index) != 4)
		return NULL;
	job = g_hash_table_lookup(sim->jobs, id);
	if (!job || *step >= job->spec->step_count ||
	    *index >= job->spec->steps[*step].task_count)
		return NULL;
	return job;
}

/* Returns the statistics of a task; creates them at first use. */
static struct cell_task_stats *task_stats(struct cell_client_job *job,
					  const char *name)
{
	struct cell_task_stats *stats = g_hash_table_lookup(job->tasks, name);

	if (!stats) {
		stats = g_new0(struct cell_task_stats, 1);
		g_hash_table_insert(job->tasks, g_strdup(name), stats);
	}
	return stats;
}

/* Returns the statistics of a task with its job and step, or NULL if no client
 * submitted the job. */
static struct cell_task_stats *find_task_stats(struct cell_sim *sim,
					       const char *name,
					       struct cell_client_job **job,
					       uint32_t *step)
{
	uint32_t index = 0;

	*job = cell_check_find_job(sim, name, step, &index);
	return *job ? task_stats(*job, name) : NULL;
}

/* Whether all tasks of a step succeeded; of a gang, whose members complete
 * together, whether the first one did. */
static bool step_done(struct cell_client_job *job, const char *name,
		      uint32_t step)
{
	const char *dot = strchr(name, '.');
	unsigned int occurrence = 0;

	sscanf(dot + 1, "%u", &occurrence);
	for (uint32_t i = 0; i < job->spec->steps[step].task_count; i++) {
		char *other = g_strdup_printf("%s.%u.%u.%u", job->id,
					      occurrence, step, i);
		bool done = task_stats(job, other)->done;

		g_free(other);
		if (done && job->spec->steps[step].gang)
			return true;
		if (!done)
			return false;
	}
	return true;
}

/* Records the time at which all tasks of the first step had started. */
static void record_first_step_start(struct cell_sim *sim,
				    struct cell_client_job *job)
{
	const struct rj_cell_step *step = &job->spec->steps[0];

	if (job->begun_us)
		return;
	for (uint32_t i = 0; i < step->task_count; i++) {
		char *name = g_strdup_printf("%s.0.0.%u", job->id, i);
		bool begun = task_stats(job, name)->starts > 0;

		g_free(name);
		if (!begun)
			return;
	}
	job->begun_us = sim->now_us;
}

/* Whether two task names are of the same step and occurrence. */
static bool are_siblings(const char *a, const char *b)
{
	const char *dot_a = strrchr(a, '.');
	const char *dot_b = strrchr(b, '.');

	return dot_a - a == dot_b - b && !strncmp(a, b, (size_t)(dot_a - a));
}

/* Counts the tasks of a step and occurrence that run on a worker. */
static uint32_t siblings_on(struct cell_fake_worker *worker, const char *name)
{
	uint32_t count = 0;

	for (guint i = 0; i < worker->runs->len; i++)
		if (are_siblings(cell_fake_run_info_at(worker, i).name, name))
			count++;
	return count;
}

/* Checks that a start does not exceed the capacity of a worker, which may not
 * enforce it itself. */
static void check_capacity(struct cell_sim *sim,
			   struct cell_fake_worker *worker,
			   const struct rj_cell_step *step, const char *name)
{
	struct rj_cell_demand sum = rj_cell_step_allocation(step);

	for (guint i = 0; i < worker->runs->len; i++) {
		struct rj_cell_demand allocated =
			cell_fake_run_info_at(worker, i).allocated;

		rj_cell_demand_add(&sum, &allocated);
	}
	if (!rj_cell_demand_fits(&sum, &worker->reported.capacity))
		cell_sim_violation(sim, "capacity: %s on %s", name, worker->id);
}

/* Checks that a start was not sent too long after its failure domain was
 * cordoned. */
static void check_cordon(struct cell_sim *sim,
			 const struct cell_fake_worker *worker,
			 const char *name, uint64_t sent_us)
{
	const uint64_t *since_us =
		g_hash_table_lookup(sim->cordons, worker->reported.domain);

	if (since_us && sent_us > *since_us + CORDON_GRACE_US)
		cell_sim_violation(sim, "cordon: %s on %s in %s", name,
				   worker->id, worker->reported.domain);
}

/* Checks that a start was not sent too long after its worker began to drain. */
static void check_drain(struct cell_sim *sim,
			const struct cell_fake_worker *worker, const char *name,
			uint64_t sent_us)
{
	if (worker->reported.draining &&
	    sent_us > worker->drain_reported_us + DRAIN_GRACE_US)
		cell_sim_violation(sim, "drain: %s on %s", name, worker->id);
}

/*
 * Checks a start that a worker executes, sent at `sent_us`. The bound after a
 * cancellation applies to the sending: a worker may execute an order late, and
 * the owner then has to stop the run.
 */
void cell_check_start(struct cell_sim *sim, struct cell_fake_worker *worker,
		      const struct rj_cell_start *start, uint64_t sent_us)
{
	uint32_t step = 0;
	uint32_t index = 0;
	struct cell_client_job *job =
		cell_check_find_job(sim, start->name, &step, &index);
	struct cell_task_stats *stats;
	const struct rj_cell_step *step_info;

	sim->starts++;
	if (!job) {
		cell_sim_violation(sim, "unasked: %s", start->name);
		return;
	}
	step_info = &job->spec->steps[step];
	stats = task_stats(job, start->name);
	stats->starts++;
	job->starts++;
	if (stats->running && !step_info->speculative)
		cell_sim_violation(sim, "twice: %s run %u on %s, %u run",
				   start->name, start->number, worker->id,
				   stats->running);
	if (stats->done_acknowledged && !step_info->perpetual)
		cell_sim_violation(sim, "twice: %s run %u after its end",
				   start->name, start->number);
	if (stats->failures_acknowledged >= job->spec->attempts_max &&
	    !step_info->perpetual)
		cell_sim_violation(sim, "attempts: %s run %u", start->name,
				   start->number);
	if (job->cancelled && sent_us > job->cancelled_us + CANCEL_GRACE_US)
		cell_sim_violation(sim, "unasked: %s is cancelled",
				   start->name);
	if (!job->accepted && job->refusals &&
	    job->refusals == job->submissions)
		cell_sim_violation(sim, "refused: %s", start->name);
	for (uint32_t i = 0; i < step_info->after_count; i++)
		if (!step_done(job, start->name, step_info->after[i]))
			cell_sim_violation(sim, "order: %s", start->name);
	if (step_info->per_worker_max &&
	    siblings_on(worker, start->name) >= step_info->per_worker_max)
		cell_sim_violation(
			sim, "route: %s beside %u on %s", start->name,
			siblings_on(worker, start->name), worker->id);
	if (step_info->label[0] &&
	    strcmp(step_info->label, worker->reported.kind) != 0 &&
	    strcmp(step_info->label, worker->reported.rack) != 0)
		cell_sim_violation(sim, "route: %s on %s of kind %s",
				   start->name, worker->id,
				   worker->reported.kind);
	check_cordon(sim, worker, start->name, sent_us);
	check_drain(sim, worker, start->name, sent_us);
	check_capacity(sim, worker, step_info, start->name);
	stats->running++;
	record_first_step_start(sim, job);
}

/* Records the time at which all tasks of a job, which has one occurrence, had
 * ended well. */
static void record_job_done(struct cell_sim *sim, struct cell_client_job *job)
{
	if (job->done_us)
		return;
	for (uint32_t i = 0; i < job->spec->step_count; i++) {
		char *name = g_strdup_printf("%s.0.%u.0", job->id, i);
		bool done = step_done(job, name, i);

		g_free(name);
		if (!done)
			return;
	}
	job->done_us = sim->now_us;
}

/*
 * Records that a run ended on its worker.
 */
void cell_check_completion(struct cell_sim *sim,
			   struct cell_fake_worker *worker, const char *name,
			   uint32_t run, enum rj_cell_completion outcome)
{
	uint32_t step = 0;
	struct cell_client_job *job;
	struct cell_task_stats *stats = find_task_stats(sim, name, &job, &step);

	if (!stats)
		return;
	if (stats->running)
		stats->running--;
	if (outcome == RJ_CELL_COMPLETION_DONE) {
		stats->done = true;
		record_job_done(sim, job);
	}
	if (outcome == RJ_CELL_COMPLETION_FAILED)
		stats->failed_runs++;
}

/*
 * Checks and records a completion that the owner acknowledged.
 */
void cell_check_acknowledged(struct cell_sim *sim,
			     struct cell_fake_worker *worker, const char *name,
			     uint32_t run, enum rj_cell_completion outcome)
{
	uint32_t step = 0;
	struct cell_client_job *job;
	struct cell_task_stats *stats = find_task_stats(sim, name, &job, &step);

	if (!stats)
		return;
	if (outcome == RJ_CELL_COMPLETION_DONE) {
		stats->done_acknowledged = true;
		if (stats->running && !job->spec->steps[step].speculative &&
		    !job->spec->steps[step].perpetual)
			cell_sim_violation(sim,
					   "twice: %s run %u acknowledged as "
					   "done while it runs",
					   name, run);
	}
	if (outcome == RJ_CELL_COMPLETION_FAILED)
		stats->failures_acknowledged++;
}

/*
 * Whether a task could run and does not: the steps that it depends on are done,
 * and it is not. Sets `runs` to whether it runs.
 */
bool cell_check_task_is_due(struct cell_client_job *job, const char *name,
			    uint32_t step, bool *runs)
{
	const struct rj_cell_step *step_info = &job->spec->steps[step];
	const struct cell_task_stats *stats = task_stats(job, name);

	*runs = stats->running > 0;
	if (*runs || (stats->done && !step_info->perpetual))
		return false;
	for (uint32_t i = 0; i < step_info->after_count; i++)
		if (!step_done(job, name, step_info->after[i]))
			return false;
	return true;
}

/*
 * Whether a task, or a gang as a whole, has used up its attempts.
 */
bool cell_check_has_exhausted_attempts(struct cell_client_job *job)
{
	for (uint32_t i = 0; i < job->spec->step_count; i++) {
		const struct rj_cell_step *step = &job->spec->steps[i];
		uint32_t sum = 0;

		for (uint32_t j = 0; j < step->task_count; j++) {
			char *name =
				g_strdup_printf("%s.0.%u.%u", job->id, i, j);
			uint32_t failures = task_stats(job, name)->failed_runs;

			g_free(name);
			sum = step->gang ? sum + failures : MAX(sum, failures);
		}
		if (sum >= job->spec->attempts_max)
			return true;
	}
	return false;
}

/* Checks that no task of a job that has ended still runs. */
static void check_leftovers(struct cell_sim *sim)
{
	for (uint32_t i = 0; i < sim->options.workers; i++) {
		struct cell_fake_worker *worker = &sim->workers[i];

		for (guint j = 0; j < worker->runs->len; j++) {
			const char *name =
				cell_fake_run_info_at(worker, j).name;
			uint32_t step = 0;
			uint32_t index = 0;
			const struct cell_client_job *job =
				cell_check_find_job(sim, name, &step, &index);

			if (!job || job->state >= RJ_CELL_JOB_COMPLETED)
				cell_sim_violation(
					sim, "unasked: %s still runs on %s",
					name, worker->id);
		}
	}
}

/*
 * Checks what must hold after the recovery: every accepted job is known and has
 * ended, a completed job lacks no task, and nothing of a job that has ended
 * runs.
 */
void cell_sim_check_final(struct cell_sim *sim)
{
	check_leftovers(sim);
	for (guint i = 0; i < sim->job_list->len; i++) {
		struct cell_client_job *job = sim->job_list->pdata[i];

		if (!job->accepted)
			continue;
		if (job->not_found)
			cell_sim_violation(sim, "lost: %s is not known",
					   job->id);
		if (!job->has_state || job->state < RJ_CELL_JOB_COMPLETED)
			cell_sim_violation(
				sim, "lost: %s is %s", job->id,
				job->has_state ?
					rj_cell_job_state_string[job->state] :
					"never reported");
		if (job->state == RJ_CELL_JOB_FAILED &&
		    !cell_check_has_exhausted_attempts(job))
			cell_sim_violation(sim, "lost: %s has failed", job->id);
		if (job->state == RJ_CELL_JOB_CANCELLED && !job->cancel_sent)
			cell_sim_violation(sim, "lost: %s is cancelled",
					   job->id);
		for (uint32_t j = 0; job->state == RJ_CELL_JOB_COMPLETED &&
				     j < job->spec->step_count;
		     j++) {
			char *name = g_strdup_printf("%s.0.%u.0", job->id, j);

			if (!step_done(job, name, j))
				cell_sim_violation(sim, "mixed: %s is not done",
						   name);
			g_free(name);
		}
	}
}
