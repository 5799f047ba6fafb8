/*
 * Checks the invariants against worker events and callers' answers. A message
 * starts with the name of the violated invariant:
 *
 * unasked   a run belongs to a submitted job, has its spec, and ends with it
 * refused   a valid submission is not rejected as invalid, and a rejected job
 *           does not run
 * twice     a task has one run at a time, and none after its acknowledged
 *           success
 * order     a step starts after the step before it has completed
 * attempts  a task does not run again after SOAK_ATTEMPTS_MAX failed runs
 * capacity  the runs on a worker fit its resources
 * mixed     answers agree with each other and with the workers' events
 * lost      an accepted job is known and ends; it fails only after a task has
 *           used up its attempts, and is cancelled only on request; every
 *           instance starts
 * still     some time after the last fault, an accepted job always has a run or
 *           gets one within seconds
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

/* Capacity of a worker of the stand-in. */
#define WORKER_CPU_MILLI 64000
#define WORKER_ACCELERATORS 8
/* Every instance must know a job this long after its acceptance. */
#define VISIBLE_US (3 * RJ_US_PER_S)
/* From this long after the last fault on, accepted jobs may not stand still. */
#define PROGRESS_FROM_US (14 * RJ_US_PER_S)
/* Longest time in which such a job may have nothing running. */
#define STILL_MAX_US (3 * RJ_US_PER_S)

/*
 * Report a violated invariant on standard error and in the journal, and count
 * it; the run of the seed continues. The message starts with the invariant's
 * name.
 */
void soak_violation(struct soak *soak, const char *format, ...)
{
	va_list arguments;
	char *text;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	soak_journal_write(soak, "broken: %s", text);
	fprintf(stderr, "seed %" G_GUINT64_FORMAT ": %s\n", soak->seed, text);
	g_free(text);
	soak->violations++;
}

/* The record of a task, created when absent. */
static struct soak_task *get_task(struct soak_job *job, const char *name)
{
	struct soak_task *task = g_hash_table_lookup(job->tasks, name);

	if (task)
		return task;
	task = g_new0(struct soak_task, 1);
	g_hash_table_insert(job->tasks, g_strdup(name), task);
	return task;
}

/* Whether all tasks of a step have succeeded. */
static bool is_step_done(struct soak_job *job, uint32_t step)
{
	for (uint32_t i = 0; i < job->steps[step].tasks; i++) {
		char name[48];

		(void)g_snprintf(name, sizeof(name), "%s.0.%u.%u", job->id,
				 step, i);
		if (!get_task(job, name)->succeeded)
			return false;
	}
	return true;
}

/* The step index in a task's name, JOB.0.STEP.TASK; -1 when the job has no such
 * step. */
static int parse_step(const struct soak_job *job, const char *name)
{
	unsigned int step;

	if (sscanf(name, "%*[^.].0.%u.", &step) != 1 || step >= job->step_count)
		return -1;
	return (int)step;
}

/* Add a run to a worker's allocation, or remove it, and check its capacity. */
static void update_allocation(struct soak *soak, const char *worker_id,
			      const struct soak_step *step, bool is_start)
{
	struct soak_worker *worker;
	unsigned int number;

	if (sscanf(worker_id, "w%u", &number) != 1 ||
	    number >= soak->worker_count)
		return;
	worker = &soak->workers[number];
	if (!is_start) {
		worker->allocated.cpu_milli -= step->cpu_milli;
		worker->allocated.accelerators -= step->accelerators;
		return;
	}
	worker->allocated.cpu_milli += step->cpu_milli;
	worker->allocated.accelerators += step->accelerators;
	if (worker->allocated.cpu_milli > WORKER_CPU_MILLI ||
	    worker->allocated.accelerators > WORKER_ACCELERATORS)
		soak_violation(
			soak, "capacity: %s is over-allocated: %u accelerators",
			worker_id, worker->allocated.accelerators);
}

/* Check the start of a run against the state of its job and task. */
static void check_run_start(struct soak_job *job, struct soak_task *task,
			    const char *name, int step, const char *spec)
{
	struct soak *soak = job->soak;

	job->runs_started++;
	if (strcmp(spec, job->spec) != 0)
		soak_violation(soak, "unasked: %s was started with spec %s",
			       name, spec);
	if (task->running++)
		soak_violation(soak, "twice: %s was started during another run",
			       name);
	if (task->acknowledged)
		soak_violation(
			soak,
			"twice: %s was started after acknowledged success",
			name);
	if (task->failures >= SOAK_ATTEMPTS_MAX)
		soak_violation(
			soak, "attempts: %s was started after its last attempt",
			name);
	if (step > 0 && !is_step_done(job, (uint32_t)step - 1))
		soak_violation(
			soak,
			"order: %s started before its dependencies completed",
			name);
}

/*
 * Check a run event of the stand-in and record it. Events of other kinds are
 * ignored.
 */
void soak_check_event(struct soak *soak, const json_t *event)
{
	const char *what = json_string_value(json_object_get(event, "event"));
	const char *name = json_string_value(json_object_get(event, "task"));
	const char *worker =
		json_string_value(json_object_get(event, "worker"));
	const char *how = json_string_value(json_object_get(event, "how"));
	char id[SOAK_ID_BYTES] = "";
	struct soak_job *job;
	struct soak_task *task;
	int step;

	if (!what || !name || !worker || !how)
		return;
	/* A task's name starts with the id of its job, of fixed length. */
	g_strlcpy(id, name, sizeof(id));
	job = g_hash_table_lookup(soak->jobs, id);
	step = job ? parse_step(job, name) : -1;
	if (step < 0) {
		soak_violation(soak,
			       "unasked: %s is no task of a submitted job",
			       name);
		return;
	}
	task = get_task(job, name);
	if (!strcmp(what, "begin")) {
		check_run_start(job, task, name, step, how);
		job->running++;
		update_allocation(soak, worker, &job->steps[step], true);
	} else if (!strcmp(what, "end")) {
		task->running--;
		job->running--;
		job->idle_us = rj_clock_now_us();
		task->succeeded |= !strcmp(how, "done");
		task->failures += !strcmp(how, "failed");
		update_allocation(soak, worker, &job->steps[step], false);
	} else if (!strcmp(what, "noted")) {
		task->acknowledged |= !strcmp(how, "done");
	}
}

/* Whether some task has used up its attempts. */
static bool has_exhausted_attempts(const struct soak_job *job)
{
	GHashTableIter at;
	gpointer task;

	g_hash_table_iter_init(&at, job->tasks);
	while (g_hash_table_iter_next(&at, NULL, &task))
		if (((struct soak_task *)task)->failures >= SOAK_ATTEMPTS_MAX)
			return true;
	return false;
}

/* Whether a job that runs nothing has tasks to be run. */
static bool has_work_left(struct soak_job *job)
{
	if (!job->accepted || job->ended || job->cancel_sent || job->running ||
	    has_exhausted_attempts(job))
		return false;
	for (uint32_t i = 0; i < job->step_count; i++)
		if (!is_step_done(job, i))
			return true;
	return false;
}

/*
 * Check that no accepted job stands still, once the faults have ended long ago.
 */
void soak_check_progress(struct soak *soak)
{
	uint64_t now_us = rj_clock_now_us();

	if (now_us < soak->calm_us + PROGRESS_FROM_US)
		return;
	for (guint i = 0; i < soak->job_list->len; i++) {
		struct soak_job *job = soak->job_list->pdata[i];

		if (job->still ||
		    now_us < MAX(job->idle_us, job->accepted_us) +
				     STILL_MAX_US ||
		    !has_work_left(job))
			continue;
		job->still = true;
		soak_violation(
			soak, "still: %s has had no run for %.1f s", job->id,
			(double)(now_us - MAX(job->idle_us, job->accepted_us)) /
				RJ_US_PER_S);
	}
}

/*
 * Check and record the state in an answer to a query sent at `asked_us`.
 */
void soak_check_state(struct soak_job *job, const char *state,
		      uint64_t asked_us)
{
	struct soak *soak = job->soak;
	bool ended = !strcmp(state, "completed") || !strcmp(state, "failed") ||
		     !strcmp(state, "cancelled");

	/* Process worker events written before this answer first. */
	soak_process_drain(&soak->standin);

	if (job->ended && strcmp(state, job->last_state) != 0) {
		/* The answer to a query that was sent before the end was
		 * reported may contain an older state. */
		if (asked_us > job->last_state_us)
			soak_violation(
				soak, "mixed: %s was reported as %s, now as %s",
				job->id, job->last_state, state);
		return;
	}
	if (!strcmp(state, "completed"))
		for (uint32_t i = 0; i < job->step_count; i++)
			if (!is_step_done(job, i))
				soak_violation(
					soak,
					"mixed: %s completed, step %u did not",
					job->id, i);
	if (!strcmp(state, "failed") && !has_exhausted_attempts(job))
		soak_violation(
			soak,
			"lost: %s is reported as failed, attempts are left",
			job->id);
	if (!strcmp(state, "cancelled") && !job->cancel_sent)
		soak_violation(
			soak,
			"lost: %s is reported as cancelled without a request",
			job->id);
	if (!job->ended)
		job->last_state_us = rj_clock_now_us();
	g_strlcpy(job->last_state, state, sizeof(job->last_state));
	job->ended = ended;
}

/*
 * Check an answer that the job is unknown, to a query sent at `asked_us`.
 */
void soak_check_unknown(struct soak_job *job, uint64_t asked_us)
{
	if (job->accepted && asked_us > job->accepted_us + VISIBLE_US)
		soak_violation(job->soak,
			       "lost: %s was accepted, but is unknown",
			       job->id);
}

/* Check that an instance has kept to the memory of its machine. */
static void check_memory(struct soak_instance *instance)
{
	char *path = g_strdup_printf("/proc/%d/status", instance->process.pid);
	char *text = NULL;
	const char *peak = NULL;

	if (g_file_get_contents(path, &text, NULL, NULL))
		peak = strstr(text, "VmHWM:");
	if (peak && strtoul(peak + strlen("VmHWM:"), NULL, 10) >
			    SOAK_MACHINE_MB * 1024UL)
		soak_violation(instance->soak,
			       "memory: %s took %.20s on a machine of %u MB",
			       instance->name, peak, SOAK_MACHINE_MB);
	g_free(text);
	g_free(path);
}

/*
 * Check what must hold once the cluster has recovered and settled.
 */
void soak_check_final(struct soak *soak)
{
	for (uint32_t i = 0; i < soak->options.instances; i++)
		check_memory(&soak->instances[i]);
	for (guint i = 0; i < soak->job_list->len; i++) {
		struct soak_job *job = soak->job_list->pdata[i];
		GHashTableIter at;
		gpointer name;
		gpointer task;

		if (job->runs_started && !job->accepted &&
		    job->rejections == job->submissions)
			soak_violation(
				soak,
				"refused: %s has run, but was never accepted",
				job->id);
		if (job->accepted && !job->ended)
			soak_violation(
				soak,
				"lost: %s did not end, its last state is: %s",
				job->id, job->last_state);
		g_hash_table_iter_init(&at, job->tasks);
		while (g_hash_table_iter_next(&at, &name, &task))
			if (job->ended && ((struct soak_task *)task)->running)
				soak_violation(
					soak,
					"unasked: %s runs after its job ended",
					(char *)name);
	}
}
