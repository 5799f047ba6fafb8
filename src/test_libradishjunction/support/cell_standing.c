#include "support/cell_standing.h"

#include <stdio.h>
#include <string.h>

/* Latency of the log without a fault. */
#define LOG_LATENCY_US (4 * MS)
#define HASH_FACTOR 31
/* An owner hears of each worker that is up within this. */
#define SILENCE_MAX_US (5 * S)

/*
 * Initializes an empty observation.
 */
void cell_standing_init(struct cell_standing *standing)
{
	memset(standing, 0, sizeof(*standing));
	standing->stands =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/*
 * Frees the observation.
 */
void cell_standing_finish(struct cell_standing *standing)
{
	g_hash_table_destroy(standing->stands);
}

/* Something that stands still. */
struct stand {
	uint64_t since_us;
	uint32_t starts; /* of its tasks until now */
	bool reported;
};

/* Whether a worker is impaired, though it is up. */
static bool is_impaired(const struct cell_sim *sim,
			const struct cell_fake_worker *worker)
{
	for (uint32_t i = 0; i < sim->options.nodes; i++)
		if (worker->partitioned[i])
			return true;
	return worker->partitioned_from_log || worker->delayed_percent ||
	       worker->fails_all || worker->stalled || worker->unhealthy;
}

/* Whether a fault is present, besides workers that are down. */
static bool is_disturbed(const struct cell_sim *sim)
{
	const struct cell_log *log = &sim->log;

	for (uint32_t i = 0; i < sim->options.nodes; i++)
		if (!sim->nodes[i].up ||
		    sim->nodes[i].paused_until_us > sim->now_us ||
		    log->modes[i] != CELL_LOG_AVAILABLE)
			return true;
	for (uint32_t i = 0; i < sim->options.workers; i++)
		if (sim->workers[i].up && is_impaired(sim, &sim->workers[i]))
			return true;
	for (uint32_t i = 0; i < RJ_CELL_TOPIC_COUNT; i++)
		if (log->reads_unreachable[i])
			return true;
	return log->lost_answer_percent || log->latency_us != LOG_LATENCY_US ||
	       g_hash_table_size(sim->cordons);
}

/* Hash of what restarts, leaves and is removed. */
static uint64_t hash_state(const struct cell_sim *sim)
{
	uint64_t hash = 0;

	for (uint32_t i = 0; i < sim->options.nodes; i++)
		hash = hash * HASH_FACTOR + sim->nodes[i].incarnation;
	for (uint32_t i = 0; i < sim->options.workers; i++) {
		const struct cell_fake_worker *worker = &sim->workers[i];

		hash = hash * HASH_FACTOR + worker->incarnation + worker->up;
	}
	for (int i = 0; i < RJ_CELL_TOPIC_COUNT; i++)
		hash = hash * HASH_FACTOR + sim->log.first_retained[i];
	return hash;
}

/* Returns what is free on a worker that may get work; nothing on others. */
static struct rj_cell_demand free_on(const struct cell_sim *sim,
				     struct cell_fake_worker *worker)
{
	struct rj_cell_demand left = { 0 };

	if (!worker->up || !worker->listed || worker->reported.draining ||
	    is_impaired(sim, worker))
		return left;
	left = worker->reported.capacity;
	for (guint i = 0; i < worker->runs->len; i++) {
		const struct rj_cell_demand used =
			cell_fake_run_info_at(worker, i).allocated;

		rj_cell_demand_subtract(&left, &used);
	}
	return left;
}

/* Whether under half of the capacity of the usable workers is in use, and a step, a gang as a whole, fits twice. */
static bool fits_twice(struct cell_sim *sim, const struct rj_cell_step *step)
{
	uint32_t wanted = 2 * (step->gang ? step->task_count : 1);
	uint32_t places = 0;
	struct rj_cell_demand left_sum = { 0 };
	struct rj_cell_demand total = { 0 };

	for (uint32_t i = 0; i < sim->options.workers; i++) {
		struct cell_fake_worker *worker = &sim->workers[i];
		struct rj_cell_demand left = free_on(sim, worker);
		uint32_t here = 0;

		if (!worker->up || worker->reported.draining)
			continue;
		rj_cell_demand_add(&total, &worker->reported.capacity);
		rj_cell_demand_add(&left_sum, &left);
		while ((!step->per_worker_max || here < step->per_worker_max) &&
		       here < wanted &&
		       rj_cell_demand_fits(&step->each, &left)) {
			rj_cell_demand_subtract(&left, &step->each);
			here++;
		}
		places += here;
	}
	return places >= wanted &&
	       left_sum.accelerators * 2 > total.accelerators &&
	       left_sum.memory_mb * 2 > total.memory_mb &&
	       left_sum.cpu_milli * 2 > total.cpu_milli;
}

/* Records whether something stands still now, for how long, and how long after
 * the last fault. A run may begin and end between two observations, which
 * `starts` tells. */
static void note(struct cell_standing *standing, struct cell_sim *sim,
		 const char *name, bool stands, uint32_t starts,
		 uint64_t max_us)
{
	struct stand *stand = g_hash_table_lookup(standing->stands, name);
	uint64_t after_us = sim->now_us - standing->disturbed_us;
	uint64_t from_us;

	if (!stands || (stand && stand->starts != starts)) {
		g_hash_table_remove(standing->stands, name);
		return;
	}
	if (!stand) {
		stand = g_new0(struct stand, 1);
		stand->since_us = sim->now_us;
		stand->starts = starts;
		g_hash_table_insert(standing->stands, g_strdup(name), stand);
	}
	if (sim->now_us >= stand->since_us + max_us &&
	    after_us > standing->longest_us) {
		standing->longest_us = after_us;
		(void)g_snprintf(standing->longest, sizeof(standing->longest),
				 "%s at %.1f s", name,
				 (double)sim->now_us / (double)S - 3600);
	}
	from_us = MAX(stand->since_us,
		      standing->disturbed_us + CELL_STANDING_RECOVERY_US);
	if (stand->reported || sim->now_us < from_us + max_us)
		return;
	stand->reported = true;
	cell_sim_violation(sim, "lost: %s stands still", name);
}

/* Observes the steps of one occurrence. Returns whether a task of it runs, and
 * sets `due` if a step that is not perpetual could run and fits twice. */
static bool observe_occurrence(struct cell_standing *standing,
			       struct cell_sim *sim,
			       struct cell_client_job *job, uint32_t occurrence,
			       bool *due)
{
	bool any_runs = false;

	for (uint32_t i = 0; i < job->spec->step_count; i++) {
		const struct rj_cell_step *step = &job->spec->steps[i];
		bool fits = fits_twice(sim, step);

		for (uint32_t j = 0; j < step->task_count; j++) {
			char name[64];
			bool runs = false;
			bool waits;

			(void)g_snprintf(name, sizeof(name), "%s.%u.%u.%u",
					 job->id, occurrence, i, j);
			waits = cell_check_task_is_due(job, name, i, &runs);
			any_runs |= runs;
			if (step->perpetual)
				note(standing, sim, name, waits && fits, 0,
				     CELL_STANDING_PERPETUAL_MAX_US);
			else
				*due |= waits && fits;
		}
	}
	return any_runs;
}

/* Returns how many occurrences of a job are due. */
static uint32_t due_occurrences(const struct cell_sim *sim,
				const struct rj_cell_job_spec *spec)
{
	uint64_t wall_ms = cell_sim_wall_ms(sim);

	if (!spec->repeats)
		return 1;
	if (wall_ms < spec->first_run_ms)
		return 0;
	return (uint32_t)MIN(spec->repeats, 1 + (wall_ms - spec->first_run_ms) /
							    spec->interval_ms);
}

static void observe_job(struct cell_standing *standing, struct cell_sim *sim,
			struct cell_client_job *job)
{
	uint32_t count = due_occurrences(sim, job->spec);
	bool runs = false;
	bool due = false;

	if (!job->accepted || job->ended_us || job->cancel_sent ||
	    cell_check_has_exhausted_attempts(job)) {
		for (uint32_t i = 0; i < job->spec->steps[0].task_count; i++) {
			char name[64];

			(void)g_snprintf(name, sizeof(name), "%s.0.0.%u",
					 job->id, i);
			g_hash_table_remove(standing->stands, name);
		}
		g_hash_table_remove(standing->stands, job->id);
		return;
	}
	for (uint32_t i = 0; i < count; i++)
		runs |= observe_occurrence(standing, sim, job, i, &due);
	note(standing, sim, job->id, due && !runs, job->starts,
	     CELL_STANDING_MAX_US);
}

/* Checks what an owner keeps of its workers: the sums of their runs, and that
 * each that is up has answered lately. */
static void check_owner(struct cell_standing *standing, struct cell_sim *sim,
			const struct rj_cell_owner *owner)
{
	const struct rj_list *at;

	for (at = owner->fleet.workers.next; at != &owner->fleet.workers;
	     at = at->next) {
		const struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);
		struct rj_cell_demand sum = { 0 };
		uint32_t index =
			(uint32_t)g_ascii_strtoull(worker->id + 1, NULL, 10);
		const struct rj_list *run_at;
		uint32_t runs = 0;

		for (run_at = worker->runs.next; run_at != &worker->runs;
		     run_at = run_at->next) {
			const struct rj_cell_run *run = RJ_CONTAINER(
				run_at, struct rj_cell_run, in_worker);

			rj_cell_demand_add(&sum, &run->allocated);
			runs++;
		}
		if (memcmp(&sum, &worker->allocated, sizeof(sum)) != 0 ||
		    runs != worker->latency_runs + worker->other_runs)
			cell_sim_violation(sim, "capacity: sums of %s",
					   worker->id);
		if (sim->workers[index].up && worker->listed &&
		    sim->now_us > standing->disturbed_us + SILENCE_MAX_US &&
		    sim->now_us > worker->answered_us + SILENCE_MAX_US)
			cell_sim_violation(sim, "lost: %s is not polled",
					   worker->id);
	}
}

/*
 * Observes the present state: what stands still, and what the owner keeps.
 */
void cell_standing_observe(struct cell_standing *standing, struct cell_sim *sim)
{
	uint64_t state = hash_state(sim);
	int owner = cell_sim_owner(sim);

	if (is_disturbed(sim) || state != standing->state)
		standing->disturbed_us = sim->now_us;
	standing->state = state;
	if (owner >= 0)
		check_owner(standing, sim, &sim->nodes[owner].node.owner);
	for (guint i = 0; i < sim->job_list->len; i++)
		observe_job(standing, sim, sim->job_list->pdata[i]);
}
