/*
 * Workers as their contract says: leases on their own clock, runs that are
 * barred once stopped or ended, ends that are listed until they are seen,
 * gangs that work only all together.
 */
#include <string.h>
#include <talloc.h>

#include "support/cell_fake.h"

#define STEP_US (20 * MS)
#define GANG_WAIT_US (3 * S)
#define SAVE_EVERY_US (2 * S)
/* Racks belong to these failure domains in turn. */
#define DOMAINS 3

/*
 * A run of a worker, as the checker needs it.
 */
struct cell_fake_run_info cell_fake_run_info_at(struct cell_fake_worker *worker,
						guint place)
{
	const struct cell_fake_run *run = worker->runs->pdata[place];

	return (struct cell_fake_run_info){ run->name, run->held };
}

/*
 * What the worker's clock shows.
 */
uint64_t cell_fake_clock_ms(const struct cell_sim *world,
			    const struct cell_fake_worker *worker)
{
	return 1000 + (uint64_t)((double)(world->now_us - worker->born_us) *
				 worker->clock_rate / 1000.0);
}

/*
 * The run of a name, or NULL.
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
 * The tail of what serves: over its bound when work that fills is beside.
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
 * Bar a run of a name and all before it.
 */
void cell_fake_mark_ended(struct cell_fake_worker *worker, const char *name,
			  uint32_t number)
{
	guint before =
		GPOINTER_TO_UINT(g_hash_table_lookup(worker->barred, name));

	if (number > before)
		g_hash_table_insert(worker->barred, g_strdup(name),
				    GUINT_TO_POINTER(number));
}

/* Free a run. */
static void run_free(struct cell_sim *world, struct cell_fake_run *run)
{
	if (run->gang)
		g_ptr_array_remove(g_hash_table_lookup(world->gangs, run->gang),
				   run);
	g_free(run->name);
	g_free(run->gang);
	g_free(run);
}

/* A run ends: it is listed until it is seen. */
static void end_run(struct cell_sim *world, struct cell_fake_worker *worker,
		    struct cell_fake_run *run, enum rj_cell_completion how)
{
	struct cell_fake_completion end = { .position = ++worker->ends_count,
					    .number = run->number,
					    .end = how,
					    .ended_us = world->now_us };

	g_strlcpy(end.name, run->name, sizeof(end.name));
	if (how == RJ_CELL_COMPLETION_STOPPED && run->saves)
		(void)g_snprintf(run->saved, sizeof(run->saved),
				 "%016" G_GINT64_MODIFIER "x", run->done_us);
	g_strlcpy(end.saved, run->saved, sizeof(end.saved));
	g_array_append_val(worker->completions, end);
	cell_fake_mark_ended(worker, run->name, run->number);
	if (how != RJ_CELL_COMPLETION_DONE)
		world->wasted_us += run->done_us;
	cell_check_completion(world, worker, run->name, run->number, how);
	g_ptr_array_remove(worker->runs, run);
	run_free(world, run);
	cell_fake_answer_polls(worker);
}

/* Runs of earlier workers come first; of one worker, those that began first. */
static gint by_worker(gconstpointer a, gconstpointer b)
{
	const struct cell_fake_run *left = *(struct cell_fake_run *const *)a;
	const struct cell_fake_run *right = *(struct cell_fake_run *const *)b;

	if (left->worker != right->worker)
		return left->worker->index < right->worker->index ? -1 : 1;
	return 0;
}

/* The runs of a gang, on all workers. */
static GPtrArray *gang_of(struct cell_sim *world, const char *gang,
			  GPtrArray *workers)
{
	const GPtrArray *members = g_hash_table_lookup(world->gangs, gang);
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

/* Members of a gang end with the first that ends without success. */
static void break_gang(struct cell_sim *world, const char *gang)
{
	GPtrArray *workers = g_ptr_array_new();
	GPtrArray *runs = gang_of(world, gang, workers);

	for (guint i = 0; i < runs->len; i++) {
		struct cell_fake_run *run = runs->pdata[i];

		if (!world->plan.break_us)
			end_run(world, workers->pdata[i], run,
				RJ_CELL_COMPLETION_GANG_BROKEN);
		else if (!run->broken_us)
			run->broken_us = world->now_us + world->plan.break_us;
	}
	g_ptr_array_free(runs, TRUE);
	g_ptr_array_free(workers, TRUE);
}

/* A run ends, and with it its gang, unless that is through. */
static void end_with_gang(struct cell_sim *world,
			  struct cell_fake_worker *worker,
			  struct cell_fake_run *run,
			  enum rj_cell_completion how)
{
	char *gang = g_strdup(run->gang);

	end_run(world, worker, run, how);
	if (gang && how != RJ_CELL_COMPLETION_DONE)
		break_gang(world, gang);
	g_free(gang);
}

/* Whether all members of a run's gang are there. */
static bool is_complete(struct cell_sim *world, const struct cell_fake_run *run,
			bool *all_through)
{
	GPtrArray *runs;
	bool complete;

	*all_through = true;
	if (!run->gang)
		return true;
	runs = gang_of(world, run->gang, NULL);
	complete = runs->len >= run->members;
	for (guint i = 0; i < runs->len; i++) {
		const struct cell_fake_run *member = runs->pdata[i];

		if (member->done_us < member->work_us)
			*all_through = false;
	}
	g_ptr_array_free(runs, TRUE);
	return complete;
}

/* All members of a gang are through: they end together. */
static void end_gang(struct cell_sim *world, struct cell_fake_run *run)
{
	GPtrArray *workers = g_ptr_array_new();
	GPtrArray *runs = gang_of(world, run->gang, workers);

	for (guint i = 0; i < runs->len; i++)
		end_run(world, workers->pdata[i], runs->pdata[i],
			RJ_CELL_COMPLETION_DONE);
	g_ptr_array_free(runs, TRUE);
	g_ptr_array_free(workers, TRUE);
}

/* One run works on. Returns false when it has ended. */
static bool step_run(struct cell_sim *world, struct cell_fake_worker *worker,
		     struct cell_fake_run *run)
{
	bool all_through;

	if (run->broken_us) {
		if (world->now_us < run->broken_us)
			return true;
		end_run(world, worker, run, RJ_CELL_COMPLETION_GANG_BROKEN);
		return false;
	}
	if (run->stopped_us && world->now_us >= run->stopped_us) {
		end_with_gang(world, worker, run, RJ_CELL_COMPLETION_STOPPED);
		return false;
	}
	if (cell_fake_clock_ms(world, worker) > worker->lease_ms) {
		end_with_gang(world, worker, run, RJ_CELL_COMPLETION_EXPIRED);
		return false;
	}
	if (!is_complete(world, run, &all_through)) {
		if (world->now_us - run->placed_us < GANG_WAIT_US)
			return true;
		end_with_gang(world, worker, run,
			      RJ_CELL_COMPLETION_GANG_INCOMPLETE);
		return false;
	}
	run->slow_us = cell_fake_tail_latency_ms(worker, run) > run->target_ms ?
			       run->slow_us + STEP_US :
			       0;
	world->harmed_us = MAX(world->harmed_us, run->slow_us);
	if (!worker->stands_still)
		run->done_us += (uint64_t)(STEP_US * worker->speed);
	if (run->saves && run->done_us / SAVE_EVERY_US)
		(void)g_snprintf(run->saved, sizeof(run->saved),
				 "%016" G_GINT64_MODIFIER "x",
				 (uint64_t)(run->done_us / SAVE_EVERY_US *
					    SAVE_EVERY_US));
	if (run->fails_at_us && run->done_us >= run->fails_at_us) {
		end_with_gang(world, worker, run, RJ_CELL_COMPLETION_FAILED);
		return false;
	}
	if (run->done_us < run->work_us || worker->never_ends)
		return true;
	if (run->gang && !all_through)
		return true;
	if (run->gang)
		end_gang(world, run);
	else
		end_run(world, worker, run, RJ_CELL_COMPLETION_DONE);
	return false;
}

/* All workers work on, and polls that have waited long enough end. */
static void step_all(void *data)
{
	struct cell_sim *world = data;

	for (uint32_t i = 0; i < world->plan.workers; i++) {
		struct cell_fake_worker *worker = &world->workers[i];

		if (worker->up &&
		    cell_fake_clock_ms(world, worker) > worker->lease_ms)
			worker->lapsed_us = world->now_us;
		for (guint j = 0; worker->up && j < worker->runs->len;) {
			guint before = worker->runs->len;

			if (step_run(world, worker, worker->runs->pdata[j]))
				j++;
			else if (worker->runs->len != before - 1)
				j = 0; /* others of its gang went with it */
		}
		cell_fake_expire_polls(world, worker);
	}
	cell_sim_schedule(world, STEP_US, step_all, world);
}

/* A worker shows in the log that it lives. */
static void beat(void *data)
{
	struct cell_fake_worker *worker = data;
	struct cell_sim *world =
		(struct cell_sim *)(void *)((char *)(worker - worker->index) -
					    offsetof(struct cell_sim, workers));

	if (worker->up && !worker->cut_from_log) {
		worker->listed = true;
		worker->beats_missed = 0;
		worker->heartbeat.clock_ms = cell_fake_clock_ms(world, worker);
		cell_log_put(world, RJ_CELL_TOPIC_WORKERS, worker->id,
			     &worker->heartbeat, sizeof(worker->heartbeat));
	} else if (worker->listed && !worker->wrote &&
		   ++worker->beats_missed >= CELL_SIM_ENTRY_HEARTBEATS) {
		worker->listed = false;
		cell_log_put(world, RJ_CELL_TOPIC_WORKERS, worker->id, NULL, 0);
	}
	worker->wrote = false;
	cell_sim_schedule(world, CELL_SIM_HEARTBEAT_MS * MS, beat, worker);
}

/* Count a run among the members of its gang. */
static void join_gang(struct cell_sim *world, struct cell_fake_run *run)
{
	GPtrArray *members = g_hash_table_lookup(world->gangs, run->gang);

	if (!members) {
		members = g_ptr_array_new();
		g_hash_table_insert(world->gangs, g_strdup(run->gang), members);
	}
	g_ptr_array_add(members, run);
}

/*
 * A run of a start that is accepted.
 */
void cell_fake_start_run(struct cell_sim *world,
			 struct cell_fake_worker *worker,
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
	run->placed_us = world->now_us;
	job = cell_check_find_job(world, start->name, &step_number, &index);
	run->work_us = job ? job->work_us : S;
	if (job) {
		step = &job->job_spec->steps[step_number];
		run->held = step->each;
		run->saves = step->checkpoints;
		run->target_ms = step->target_ms;
		if (step->perpetual && !job->fail_times)
			run->work_us = RJ_NEVER_US / 200;
		if (start->number <= job->fail_times)
			run->fails_at_us = run->work_us / 2;
	}
	if (worker->fails_all)
		run->fails_at_us = 100 * MS;
	if (step && step->gang) {
		char *dot = strrchr(run->name, '.');

		run->gang = g_strdup_printf("%.*s/%u", (int)(dot - run->name),
					    run->name, run->number);
		run->members = step->task_count;
		join_gang(world, run);
	}
	g_strlcpy(run->saved, start->checkpoint, sizeof(run->saved));
	run->done_us = g_ascii_strtoull(start->checkpoint, NULL, 16);
	g_ptr_array_add(worker->runs, run);
}

/*
 * Whether a start does not fit a worker that guards its room.
 */
bool cell_fake_is_full(struct cell_sim *world, struct cell_fake_worker *worker,
		       const char *name)
{
	struct rj_cell_demand left = worker->heartbeat.capacity;
	struct cell_client_job *job;
	uint32_t step = 0;
	uint32_t index = 0;

	job = cell_check_find_job(world, name, &step, &index);
	if (!world->plan.enforces_limits || !job)
		return false;
	for (guint i = 0; i < worker->runs->len; i++)
		rj_cell_demand_subtract(
			&left, &((struct cell_fake_run *)worker->runs->pdata[i])
					->held);
	return !rj_cell_demand_fits(&job->job_spec->steps[step].each, &left);
}

/*
 * Ends that have been seen are forgotten.
 */
void cell_fake_drop_acknowledged(struct cell_sim *world,
				 struct cell_fake_worker *worker, uint64_t seen)
{
	while (worker->completions->len) {
		struct cell_fake_completion *end = &g_array_index(
			worker->completions, struct cell_fake_completion, 0);

		if (end->position > seen)
			break;
		/* What ended before a lease lapsed is not noted by this. */
		if (worker->lapsed_us < end->ended_us)
			cell_check_acknowledged(world, worker, end->name,
						end->number, end->end);
		g_array_remove_index(worker->completions, 0);
	}
}

/* Begin a life of a worker. */
static void be_born(struct cell_sim *world, struct cell_fake_worker *worker)
{
	worker->up = true;
	worker->born_us = world->now_us;
	worker->incarnation = 1000 + world->now_us + worker->index;
	worker->heartbeat.incarnation = worker->incarnation;
	worker->token = 0;
	worker->lease_ms = 0;
	worker->ends_count = 0;
}

/*
 * Make all workers; their racks and speeds follow from their place.
 */
void cell_workers_init(struct cell_sim *world)
{
	static const double speeds[] = { 1.0, 0.8, 1.25 };

	for (uint32_t i = 0; i < world->plan.workers; i++) {
		struct cell_fake_worker *worker = &world->workers[i];

		worker->index = i;
		(void)g_snprintf(worker->id, sizeof(worker->id), "w%02u", i);
		g_strlcpy(worker->heartbeat.service, "render", RJ_NAME_BYTES);
		g_strlcpy(worker->heartbeat.kind, "a", RJ_NAME_BYTES);
		(void)g_snprintf(worker->heartbeat.rack, RJ_NAME_BYTES, "r%u",
				 i / world->plan.rack_workers);
		(void)g_snprintf(worker->heartbeat.domain, RJ_NAME_BYTES, "d%u",
				 i / world->plan.rack_workers % DOMAINS);
		worker->heartbeat.address.port = (uint16_t)(1000 + i);
		worker->heartbeat.capacity = world->plan.capacity;
		worker->speed = speeds[i % G_N_ELEMENTS(speeds)];
		worker->clock_rate = i % 2 ? 1.0 : 0.98;
		worker->runs = g_ptr_array_new();
		worker->completions = g_array_new(
			FALSE, FALSE, sizeof(struct cell_fake_completion));
		worker->barred = g_hash_table_new_full(g_str_hash, g_str_equal,
						       g_free, NULL);
		worker->polls = g_ptr_array_new();
		be_born(world, worker);
		cell_sim_schedule(world, i * MS, beat, worker);
	}
	cell_sim_schedule(world, STEP_US, step_all, world);
}

/* All runs of a worker end unseen. */
static void drop_runs(struct cell_sim *world, struct cell_fake_worker *worker)
{
	while (worker->runs->len) {
		struct cell_fake_run *run = worker->runs->pdata[0];
		char *gang = g_strdup(run->gang);

		cell_check_completion(world, worker, run->name, run->number,
				      RJ_CELL_COMPLETION_LOST);
		world->wasted_us += run->done_us;
		g_ptr_array_remove_index(worker->runs, 0);
		run_free(world, run);
		if (gang)
			break_gang(world, gang);
		g_free(gang);
	}
	g_array_set_size(worker->completions, 0);
	g_hash_table_remove_all(worker->barred);
}

/*
 * A worker crashes: nothing runs there any more, and nobody is told.
 */
void cell_sim_worker_kill(struct cell_sim *world, uint32_t index)
{
	struct cell_fake_worker *worker = &world->workers[index];

	if (!worker->up)
		return;
	worker->up = false;
	cell_fake_drop_polls(worker);
	drop_runs(world, worker);
}

/*
 * A worker starts again, under its old id, with another incarnation.
 */
void cell_sim_worker_start(struct cell_sim *world, uint32_t index)
{
	struct cell_fake_worker *worker = &world->workers[index];

	if (!worker->up)
		be_born(world, worker);
}

/*
 * A worker is cut off from all nodes and from the log, or is back.
 */
void cell_sim_worker_partition(struct cell_sim *world, uint32_t index, bool cut)
{
	for (uint32_t i = 0; i < world->plan.nodes; i++)
		world->workers[index].cut[i] = cut;
	world->workers[index].cut_from_log = cut;
}

/*
 * A worker leaves as planned: it says that it drains, and deregisters.
 */
void cell_sim_worker_deregister(struct cell_sim *world, uint32_t index)
{
	struct cell_fake_worker *worker = &world->workers[index];

	worker->heartbeat.draining = true;
	cell_log_put(world, RJ_CELL_TOPIC_WORKERS, worker->id,
		     &worker->heartbeat, sizeof(worker->heartbeat));
	cell_sim_worker_kill(world, index);
	worker->listed = false;
	cell_log_put(world, RJ_CELL_TOPIC_WORKERS, worker->id, NULL, 0);
}

/*
 * The first worker on which something runs; there must be one.
 */
uint32_t cell_sim_busy_worker(const struct cell_sim *world)
{
	uint32_t index = 0;

	while (index < world->plan.workers && !world->workers[index].runs->len)
		index++;
	g_assert_cmpuint(index, <, world->plan.workers);
	return index;
}

/*
 * A worker says that it drains, and stays for `left_ms` at least.
 */
void cell_sim_worker_drain(struct cell_sim *world, uint32_t index,
			   uint32_t left_ms)
{
	struct cell_fake_worker *worker = &world->workers[index];

	if (!worker->heartbeat.draining)
		worker->drained_us = world->now_us;
	worker->heartbeat.draining = true;
	worker->heartbeat.drain_left_ms = left_ms;
	worker->wrote = true;
	worker->beats_missed = 0;
	cell_log_put(world, RJ_CELL_TOPIC_WORKERS, worker->id,
		     &worker->heartbeat, sizeof(worker->heartbeat));
}

/*
 * Free all workers.
 */
void cell_workers_finish(struct cell_sim *world)
{
	for (uint32_t i = 0; i < world->plan.workers; i++) {
		struct cell_fake_worker *worker = &world->workers[i];

		while (worker->runs->len) {
			run_free(world, worker->runs->pdata[0]);
			g_ptr_array_remove_index(worker->runs, 0);
		}
		g_ptr_array_free(worker->runs, TRUE);
		g_array_free(worker->completions, TRUE);
		g_hash_table_destroy(worker->barred);
		g_ptr_array_free(worker->polls, TRUE);
	}
}
