/*
 * Simulated workers that follow the platform's contract: leases by their own
 * clock; a run number that was stopped or has ended never runs again;
 * completions are listed until they are acknowledged; a gang makes progress
 * only while all its members run.
 */
#include <string.h>
#include <talloc.h>

#include "support/cell_fake.h"

#define TICK_US (20 * MS)
#define GANG_FORM_TIMEOUT_US (3 * S)
#define CHECKPOINT_DIGITS 16
#define CHECKPOINT_INTERVAL_US (2 * S)
/* Racks are assigned to this many failure domains in turn. */
#define DOMAINS 3

/*
 * Returns the name and resources of a worker's run, for the checker.
 */
struct cell_fake_run_info cell_fake_run_info_at(struct cell_fake_worker *worker,
						guint index)
{
	const struct cell_fake_run *run = worker->runs->pdata[index];

	return (struct cell_fake_run_info){ run->name, run->allocated };
}

/*
 * Returns the worker's clock.
 */
uint64_t cell_fake_clock_ms(const struct cell_sim *sim,
			    const struct cell_fake_worker *worker)
{
	return 1000 + (uint64_t)((double)(sim->now_us - worker->started_us) *
				 worker->clock_rate / 1000.0);
}

/*
 * Returns the run of a task, or NULL.
 */
struct cell_fake_run *cell_fake_find_run(const struct cell_fake_worker *worker,
					 const char *name)
{
	for (guint i = 0; i < worker->runs->len; i++) {
		struct cell_fake_run *run = worker->runs->pdata[i];

		if (!strcmp(run->name, name))
			return run;
	}
	return NULL;
}

/*
 * Returns the tail latency of a run with a latency target: above the target
 * while a run without one is on the same worker.
 */
uint32_t cell_fake_tail_latency_ms(const struct cell_fake_worker *worker,
				   const struct cell_fake_run *run)
{
	for (guint i = 0; i < worker->runs->len; i++) {
		const struct cell_fake_run *other = worker->runs->pdata[i];

		if (run->target_ms && !other->target_ms)
			return run->target_ms * 2;
	}
	return run->target_ms / 2;
}

/*
 * Records that a run ended or was stopped; it and earlier runs of the task are
 * not started again.
 */
void cell_fake_mark_ended(struct cell_fake_worker *worker, const char *name,
			  uint32_t number)
{
	guint before = GPOINTER_TO_UINT(
		g_hash_table_lookup(worker->highest_ended, name));

	if (number > before)
		g_hash_table_insert(worker->highest_ended, g_strdup(name),
				    GUINT_TO_POINTER(number));
}

static void run_free(struct cell_sim *sim, struct cell_fake_run *run)
{
	if (run->gang)
		g_ptr_array_remove(g_hash_table_lookup(sim->gangs, run->gang),
				   run);
	g_free(run->name);
	g_free(run->gang);
	g_free(run);
}

/* Saves a checkpoint of a run, whose name is the progress in microseconds, in
 * hexadecimal. */
static void set_checkpoint(const struct cell_sim *sim,
			   struct cell_fake_run *run, uint64_t progress_us)
{
	(void)g_snprintf(run->checkpoint, sizeof(run->checkpoint),
			 "%0*" G_GINT64_MODIFIER "x",
			 sim->options.checkpoint_digits ?
				 sim->options.checkpoint_digits :
				 CHECKPOINT_DIGITS,
			 progress_us);
}

/* Ends a run; its completion is listed until it is acknowledged. */
static void complete_run(struct cell_sim *sim, struct cell_fake_worker *worker,
			 struct cell_fake_run *run,
			 enum rj_cell_completion outcome)
{
	struct cell_fake_completion completion = {
		.position = ++worker->completion_count,
		.number = run->number,
		.outcome = outcome,
		.ended_us = sim->now_us
	};

	g_strlcpy(completion.name, run->name, sizeof(completion.name));
	if (outcome == RJ_CELL_COMPLETION_STOPPED && run->checkpoints)
		set_checkpoint(sim, run, run->progress_us);
	g_strlcpy(completion.checkpoint, run->checkpoint,
		  sizeof(completion.checkpoint));
	g_array_append_val(worker->completions, completion);
	cell_fake_mark_ended(worker, run->name, run->number);
	if (outcome != RJ_CELL_COMPLETION_DONE)
		sim->wasted_us += run->progress_us;
	cell_check_completion(sim, worker, run->name, run->number, outcome);
	g_ptr_array_remove(worker->runs, run);
	run_free(sim, run);
	cell_fake_answer_polls(worker);
}

/* By worker; the sort keeps the order of starts on a worker. */
static gint by_worker(gconstpointer a, gconstpointer b)
{
	const struct cell_fake_run *left = *(struct cell_fake_run *const *)a;
	const struct cell_fake_run *right = *(struct cell_fake_run *const *)b;

	if (left->worker != right->worker)
		return left->worker->index < right->worker->index ? -1 : 1;
	return 0;
}

/* Returns the runs of a gang on all workers, in an array that the caller frees.
 * Appends their workers to `workers` unless that is NULL. */
static GPtrArray *gang_of(struct cell_sim *sim, const char *gang,
			  GPtrArray *workers)
{
	const GPtrArray *members = g_hash_table_lookup(sim->gangs, gang);
	GPtrArray *runs = g_ptr_array_new();

	for (guint i = 0; members && i < members->len; i++)
		g_ptr_array_add(runs, members->pdata[i]);
	g_ptr_array_sort(runs, by_worker);
	for (guint i = 0; workers && i < runs->len; i++) {
		const struct cell_fake_run *run = runs->pdata[i];

		g_ptr_array_add(workers, run->worker);
	}
	return runs;
}

/* Ends the other members after one ended without success as `outcome`. */
static void stop_gang(struct cell_sim *sim, const char *gang,
		      enum rj_cell_completion outcome)
{
	bool fails = sim->options.gangs_fail_together &&
		     outcome == RJ_CELL_COMPLETION_FAILED;

	GPtrArray *workers = g_ptr_array_new();
	GPtrArray *runs = gang_of(sim, gang, workers);

	for (guint i = 0; i < runs->len; i++) {
		struct cell_fake_run *run = runs->pdata[i];

		if (fails)
			complete_run(sim, workers->pdata[i], run, outcome);
		else if (!sim->options.gang_break_us)
			complete_run(sim, workers->pdata[i], run,
				     RJ_CELL_COMPLETION_GANG_BROKEN);
		else if (!run->break_at_us)
			run->break_at_us =
				sim->now_us + sim->options.gang_break_us;
	}
	g_ptr_array_free(runs, TRUE);
	g_ptr_array_free(workers, TRUE);
}

/* Ends a run, and its gang unless the run succeeded. */
static void complete_run_and_gang(struct cell_sim *sim,
				  struct cell_fake_worker *worker,
				  struct cell_fake_run *run,
				  enum rj_cell_completion outcome)
{
	char *gang = g_strdup(run->gang);

	complete_run(sim, worker, run, outcome);
	if (gang && outcome != RJ_CELL_COMPLETION_DONE)
		stop_gang(sim, gang, outcome);
	g_free(gang);
}

/* Whether all members of a run's gang run; also tells whether all have finished
 * their work. */
static bool is_complete(struct cell_sim *sim, const struct cell_fake_run *run,
			bool *all_finished)
{
	GPtrArray *runs;
	bool complete;

	*all_finished = true;
	if (!run->gang)
		return true;
	runs = gang_of(sim, run->gang, NULL);
	complete = runs->len >= run->member_count;
	for (guint i = 0; i < runs->len; i++) {
		const struct cell_fake_run *member = runs->pdata[i];

		if (member->progress_us < member->duration_us)
			*all_finished = false;
	}
	g_ptr_array_free(runs, TRUE);
	return complete;
}

/* Ends all members of a gang with success. */
static void complete_gang(struct cell_sim *sim, struct cell_fake_run *run)
{
	GPtrArray *workers = g_ptr_array_new();
	GPtrArray *runs = gang_of(sim, run->gang, workers);

	for (guint i = 0; i < runs->len; i++)
		complete_run(sim, workers->pdata[i], runs->pdata[i],
			     RJ_CELL_COMPLETION_DONE);
	g_ptr_array_free(runs, TRUE);
	g_ptr_array_free(workers, TRUE);
}

/* Advances one run by a tick. Returns false when it ended. */
static bool advance_run(struct cell_sim *sim, struct cell_fake_worker *worker,
			struct cell_fake_run *run)
{
	bool all_finished;

	if (run->break_at_us) {
		if (sim->now_us < run->break_at_us)
			return true;
		complete_run(sim, worker, run, RJ_CELL_COMPLETION_GANG_BROKEN);
		return false;
	}
	if (run->stop_at_us && sim->now_us >= run->stop_at_us) {
		complete_run_and_gang(sim, worker, run,
				      RJ_CELL_COMPLETION_STOPPED);
		return false;
	}
	if (cell_fake_clock_ms(sim, worker) > worker->lease_ms) {
		complete_run_and_gang(sim, worker, run,
				      RJ_CELL_COMPLETION_EXPIRED);
		return false;
	}
	if (!is_complete(sim, run, &all_finished)) {
		if (sim->now_us - run->started_us < GANG_FORM_TIMEOUT_US)
			return true;
		complete_run_and_gang(sim, worker, run,
				      RJ_CELL_COMPLETION_GANG_INCOMPLETE);
		return false;
	}
	run->over_target_us =
		cell_fake_tail_latency_ms(worker, run) > run->target_ms ?
			run->over_target_us + TICK_US :
			0;
	sim->over_target_max_us =
		MAX(sim->over_target_max_us, run->over_target_us);
	if (!worker->stalled)
		run->progress_us += (uint64_t)(TICK_US * worker->speed);
	if (run->checkpoints && run->progress_us / CHECKPOINT_INTERVAL_US)
		set_checkpoint(sim, run,
			       run->progress_us / CHECKPOINT_INTERVAL_US *
				       CHECKPOINT_INTERVAL_US);
	if (run->fails_at_us && run->progress_us >= run->fails_at_us) {
		complete_run_and_gang(sim, worker, run,
				      RJ_CELL_COMPLETION_FAILED);
		return false;
	}
	if (run->progress_us < run->duration_us || worker->never_completes)
		return true;
	if (run->gang && !all_finished)
		return true;
	if (run->gang)
		complete_gang(sim, run);
	else
		complete_run(sim, worker, run, RJ_CELL_COMPLETION_DONE);
	return false;
}

/* Advances all workers by a tick, and answers polls whose wait has ended. */
static void advance_all(void *data)
{
	struct cell_sim *sim = data;

	for (uint32_t i = 0; i < sim->options.workers; i++) {
		struct cell_fake_worker *worker = &sim->workers[i];

		if (worker->up &&
		    cell_fake_clock_ms(sim, worker) > worker->lease_ms)
			worker->lease_expired_us = sim->now_us;
		for (guint j = 0; worker->up && j < worker->runs->len;) {
			guint before = worker->runs->len;

			if (advance_run(sim, worker, worker->runs->pdata[j]))
				j++;
			else if (worker->runs->len != before - 1)
				j = 0; /* other members ended with it */
		}
		cell_fake_expire_polls(sim, worker);
	}
	cell_sim_schedule(sim, TICK_US, advance_all, sim);
}

/* Writes a worker's heartbeat if it can; after CELL_SIM_ENTRY_HEARTBEATS missed
 * ones in a row, removes its entry from the log. */
static void write_heartbeat(void *data)
{
	struct cell_fake_worker *worker = data;
	/* The simulation whose array of workers contains this one. */
	struct cell_sim *sim =
		(struct cell_sim *)(void *)((char *)(worker - worker->index) -
					    offsetof(struct cell_sim, workers));

	if (worker->up && !worker->partitioned_from_log) {
		worker->listed = true;
		worker->heartbeats_missed = 0;
		worker->reported.clock_ms = cell_fake_clock_ms(sim, worker);
		cell_log_put(sim, RJ_CELL_TOPIC_WORKERS, worker->id,
			     &worker->reported, sizeof(worker->reported));
	} else if (worker->listed && !worker->wrote_entry &&
		   ++worker->heartbeats_missed >= CELL_SIM_ENTRY_HEARTBEATS) {
		worker->listed = false;
		cell_log_put(sim, RJ_CELL_TOPIC_WORKERS, worker->id, NULL, 0);
	}
	worker->wrote_entry = false;
	cell_sim_schedule(sim, CELL_SIM_HEARTBEAT_MS * MS, write_heartbeat,
			  worker);
}

/* Adds a run to the members of its gang. */
static void join_gang(struct cell_sim *sim, struct cell_fake_run *run)
{
	GPtrArray *members = g_hash_table_lookup(sim->gangs, run->gang);

	if (!members) {
		members = g_ptr_array_new();
		g_hash_table_insert(sim->gangs, g_strdup(run->gang), members);
	}
	g_ptr_array_add(members, run);
}

/*
 * Creates the run of an accepted start.
 */
void cell_fake_start_run(struct cell_sim *sim, struct cell_fake_worker *worker,
			 const struct rj_cell_start *start)
{
	struct cell_fake_run *run = g_new0(struct cell_fake_run, 1);
	const struct rj_cell_step *step = NULL;
	struct cell_client_job *job;
	uint32_t step_number = 0;
	uint32_t index = 0;

	run->worker = worker;
	run->name = g_strdup(start->name);
	run->number = start->number;
	run->started_us = sim->now_us;
	job = cell_check_find_job(sim, start->name, &step_number, &index);
	run->duration_us = job ? job->duration_us : S;
	if (job) {
		step = &job->spec->steps[step_number];
		run->allocated = step->each;
		run->checkpoints = step->checkpoints;
		run->perpetual = step->perpetual;
		run->target_ms = step->target_ms;
		/* Longer than any simulation. */
		if (step->perpetual && !job->failing_runs)
			run->duration_us = RJ_NEVER_US / 200;
		if (start->number <= job->failing_runs)
			run->fails_at_us = run->duration_us / 2;
	}
	if (worker->fails_all)
		run->fails_at_us = 100 * MS;
	if (step && step->gang) {
		/* Members share the part of the name before the index, and the
		 * run number. */
		char *dot = strrchr(run->name, '.');

		run->gang = g_strdup_printf("%.*s/%u", (int)(dot - run->name),
					    run->name, run->number);
		run->member_count = step->task_count;
		join_gang(sim, run);
	}
	g_strlcpy(run->checkpoint, start->checkpoint, sizeof(run->checkpoint));
	run->progress_us = g_ascii_strtoull(start->checkpoint, NULL, 16);
	g_ptr_array_add(worker->runs, run);
}

/*
 * Whether a worker rejects a start because it exceeds the free capacity. False
 * if workers do not enforce their capacity.
 */
bool cell_fake_is_full(struct cell_sim *sim, struct cell_fake_worker *worker,
		       const char *name)
{
	struct rj_cell_demand left = worker->reported.capacity;
	struct cell_client_job *job;
	uint32_t step = 0;
	uint32_t index = 0;

	job = cell_check_find_job(sim, name, &step, &index);
	if (!sim->options.enforces_capacity || !job)
		return false;
	for (guint i = 0; i < worker->runs->len; i++)
		rj_cell_demand_subtract(
			&left, &((struct cell_fake_run *)worker->runs->pdata[i])
					->allocated);
	return !rj_cell_demand_fits(&job->spec->steps[step].each, &left);
}

/*
 * Drops completions up to the position `acknowledged`.
 */
void cell_fake_drop_acknowledged(struct cell_sim *sim,
				 struct cell_fake_worker *worker,
				 uint64_t acknowledged)
{
	while (worker->completions->len) {
		struct cell_fake_completion *completion = &g_array_index(
			worker->completions, struct cell_fake_completion, 0);

		if (completion->position > acknowledged)
			break;
		/* Only completions after the worker's last lease expiry are
		 * checked; the owner need not have recorded earlier ones. */
		if (worker->lease_expired_us < completion->ended_us)
			cell_check_acknowledged(sim, worker, completion->name,
						completion->number,
						completion->outcome);
		g_array_remove_index(worker->completions, 0);
	}
}

/* Starts a new incarnation of a worker. */
static void start_incarnation(struct cell_sim *sim,
			      struct cell_fake_worker *worker)
{
	worker->up = true;
	worker->started_us = sim->now_us;
	worker->incarnation = 1000 + sim->now_us + worker->index;
	worker->reported.incarnation = worker->incarnation;
	worker->token = 0;
	worker->lease_ms = 0;
	worker->completion_count = 0;
}

/*
 * Creates all workers; racks, domains and speeds follow from their index.
 */
void cell_workers_init(struct cell_sim *sim)
{
	static const double speeds[] = { 1.0, 0.8, 1.25 };

	for (uint32_t i = 0; i < sim->options.workers; i++) {
		struct cell_fake_worker *worker = &sim->workers[i];

		worker->index = i;
		(void)g_snprintf(worker->id, sizeof(worker->id), "w%02u", i);
		g_strlcpy(worker->reported.service, "render", RJ_NAME_BYTES);
		g_strlcpy(worker->reported.kind, "a", RJ_NAME_BYTES);
		(void)g_snprintf(worker->reported.rack, RJ_NAME_BYTES, "r%u",
				 i / sim->options.rack_workers);
		(void)g_snprintf(worker->reported.domain, RJ_NAME_BYTES, "d%u",
				 i / sim->options.rack_workers % DOMAINS);
		worker->reported.address.port = (uint16_t)(1000 + i);
		worker->reported.capacity = sim->options.capacity;
		worker->speed = speeds[i % G_N_ELEMENTS(speeds)];
		worker->clock_rate = i % 2 ? 1.0 : 0.98;
		worker->runs = g_ptr_array_new();
		worker->completions = g_array_new(
			FALSE, FALSE, sizeof(struct cell_fake_completion));
		worker->highest_ended = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
		worker->polls = g_ptr_array_new();
		start_incarnation(sim, worker);
		cell_sim_schedule(sim, i * MS, write_heartbeat, worker);
	}
	cell_sim_schedule(sim, TICK_US, advance_all, sim);
}

/* Ends all runs of a worker without listing their completions, and clears the
 * listed completions and the numbers of ended runs. */
static void drop_runs(struct cell_sim *sim, struct cell_fake_worker *worker)
{
	while (worker->runs->len) {
		struct cell_fake_run *run = worker->runs->pdata[0];
		char *gang = g_strdup(run->gang);

		cell_check_completion(sim, worker, run->name, run->number,
				      RJ_CELL_COMPLETION_LOST);
		sim->wasted_us += run->progress_us;
		g_ptr_array_remove_index(worker->runs, 0);
		run_free(sim, run);
		if (gang)
			stop_gang(sim, gang, RJ_CELL_COMPLETION_LOST);
		g_free(gang);
	}
	g_array_set_size(worker->completions, 0);
	g_hash_table_remove_all(worker->highest_ended);
}

/*
 * Crashes a worker: its runs end, and no node is notified.
 */
void cell_sim_worker_kill(struct cell_sim *sim, uint32_t index)
{
	struct cell_fake_worker *worker = &sim->workers[index];

	if (!worker->up)
		return;
	worker->up = false;
	cell_fake_drop_polls(worker);
	drop_runs(sim, worker);
}

/*
 * Starts a worker again with the same id and a new incarnation.
 */
void cell_sim_worker_start(struct cell_sim *sim, uint32_t index)
{
	struct cell_fake_worker *worker = &sim->workers[index];

	if (!worker->up)
		start_incarnation(sim, worker);
}

/*
 * Partitions a worker from all nodes and the log, or heals the partition.
 */
void cell_sim_worker_partition(struct cell_sim *sim, uint32_t index,
			       bool partitioned)
{
	for (uint32_t i = 0; i < sim->options.nodes; i++)
		sim->workers[index].partitioned[i] = partitioned;
	sim->workers[index].partitioned_from_log = partitioned;
}

/*
 * Shuts down a worker: it reports that it drains, loses its runs, and removes
 * its entry from the log.
 */
void cell_sim_worker_deregister(struct cell_sim *sim, uint32_t index)
{
	struct cell_fake_worker *worker = &sim->workers[index];

	worker->reported.draining = true;
	cell_log_put(sim, RJ_CELL_TOPIC_WORKERS, worker->id, &worker->reported,
		     sizeof(worker->reported));
	cell_sim_worker_kill(sim, index);
	worker->listed = false;
	cell_log_put(sim, RJ_CELL_TOPIC_WORKERS, worker->id, NULL, 0);
}

/*
 * Returns the first worker with a run; there must be one.
 */
uint32_t cell_sim_busy_worker(const struct cell_sim *sim)
{
	uint32_t index = 0;

	while (index < sim->options.workers && !sim->workers[index].runs->len)
		index++;
	g_assert_cmpuint(index, <, sim->options.workers);
	return index;
}

/*
 * Makes a worker report that it drains, and will stay for `left_ms` at least.
 */
void cell_sim_worker_drain(struct cell_sim *sim, uint32_t index,
			   uint32_t left_ms)
{
	struct cell_fake_worker *worker = &sim->workers[index];

	if (!worker->reported.draining)
		worker->drain_reported_us = sim->now_us;
	worker->reported.draining = true;
	worker->reported.drain_left_ms = left_ms;
	worker->wrote_entry = true;
	worker->heartbeats_missed = 0;
	cell_log_put(sim, RJ_CELL_TOPIC_WORKERS, worker->id, &worker->reported,
		     sizeof(worker->reported));
}

/*
 * Frees all workers.
 */
void cell_workers_finish(struct cell_sim *sim)
{
	for (uint32_t i = 0; i < sim->options.workers; i++) {
		struct cell_fake_worker *worker = &sim->workers[i];

		while (worker->runs->len) {
			run_free(sim, worker->runs->pdata[0]);
			g_ptr_array_remove_index(worker->runs, 0);
		}
		g_ptr_array_free(worker->runs, TRUE);
		g_array_free(worker->completions, TRUE);
		g_hash_table_destroy(worker->highest_ended);
		g_ptr_array_free(worker->polls, TRUE);
	}
}
