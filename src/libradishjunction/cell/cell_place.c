#include "private/cell_place.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/* An accelerator counts as so many cores when work lost is weighed; so the
 * users price it. */
#define ACCELERATOR_CORES 8
/* Stopping a task that saves its progress loses about its restoring. */
#define RESTORE_LOSS_MS 300

/* Whether `want` fits into `have`. */
static bool fits(const struct rj_cell_demand *want,
		 const struct rj_cell_demand *have)
{
	return want->cpu_milli <= have->cpu_milli &&
	       want->memory_mb <= have->memory_mb &&
	       want->accelerators <= have->accelerators;
}

/* Take `part` off `from`, down to nothing. */
static void take(struct rj_cell_demand *from, const struct rj_cell_demand *part)
{
	from->cpu_milli -= MIN(from->cpu_milli, part->cpu_milli);
	from->memory_mb -= MIN(from->memory_mb, part->memory_mb);
	from->accelerators -= MIN(from->accelerators, part->accelerators);
}

/* Give `part` back. */
static void give(struct rj_cell_demand *to, const struct rj_cell_demand *part)
{
	to->cpu_milli += part->cpu_milli;
	to->memory_mb += part->memory_mb;
	to->accelerators += part->accelerators;
}

/* What a task of a step takes of its worker's counted room. */
static struct rj_cell_demand counted(const struct rj_cell_step *step)
{
	struct rj_cell_demand demand = step->each;

	if (step->scavenges)
		demand.cpu_milli = 0;
	return demand;
}

/* Whether two tasks are of one step of one occurrence. */
static bool are_siblings(const struct rj_cell_task *a,
			 const struct rj_cell_task *b)
{
	return a->round == b->round && a->step == b->step;
}

/* How many runs of the task's step and occurrence the worker has, those that
 * this plan starts included. */
static uint32_t siblings_on(const struct rj_cell_plan *plan,
			    const struct rj_cell_worker *worker,
			    const struct rj_cell_task *task)
{
	const struct rj_list *at;
	uint32_t count = 0;

	for (guint i = 0; i < plan->starts->len; i++) {
		const struct rj_cell_choice *choice =
			&g_array_index(plan->starts, struct rj_cell_choice, i);

		if (choice->worker == worker &&
		    are_siblings(choice->task, task))
			count++;
	}

	for (at = worker->runs.next; at != &worker->runs; at = at->next) {
		const struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (run->task && are_siblings(run->task, task))
			count++;
	}
	return count;
}

/* Whether a worker may run a task at all, room aside. */
static bool may_run(const struct rj_cell_plan *plan,
		    const struct rj_cell_worker *worker,
		    const struct rj_cell_unit *unit,
		    const struct rj_cell_task *task, const char *rack)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);

	if (strcmp(worker->said.service, unit->service) != 0)
		return false;
	if (rack && strcmp(worker->said.rack, rack) != 0)
		return false;
	if (step->label[0] && strcmp(step->label, worker->said.kind) != 0 &&
	    strcmp(step->label, worker->said.rack) != 0)
		return false;
	if (step->rack[0] && !unit->far &&
	    strcmp(step->rack, worker->said.rack) != 0)
		return false;
	if (task->avoid[0] && !strcmp(task->avoid, worker->id))
		return false;
	return !step->per_worker_max ||
	       siblings_on(plan, worker, task) < step->per_worker_max;
}

/*
 * How bad a fit is: what would be left over. Accelerators come first, so
 * that small tasks fill workers that are in use already and whole workers
 * stay free for gangs; then memory, of which the large tasks need half a
 * worker. Data that is far away outweighs both.
 */
static uint64_t badness(const struct rj_cell_room *room,
			const struct rj_cell_step *step,
			const struct rj_cell_demand *have)
{
	uint64_t left = have->accelerators - step->each.accelerators;
	bool far = step->rack[0] && strcmp(step->rack, room->worker->said.rack);

	return ((uint64_t)far << 48) | (left << 32) |
	       (have->memory_mb - step->each.memory_mb);
}

/*
 * The best room for one task in `rack` (NULL: anywhere), or NULL.
 */
struct rj_cell_room *rj_cell_place_best(struct rj_cell_plan *plan,
					struct rj_cell_room *rooms,
					const struct rj_cell_unit *unit,
					const struct rj_cell_task *task,
					enum rj_cell_when when,
					const char *rack)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	struct rj_cell_demand want = counted(step);
	struct rj_cell_room *best = NULL;
	uint64_t best_badness = 0;

	for (uint32_t i = 0; i < plan->room_count; i++) {
		struct rj_cell_room *room = &rooms[i];
		const struct rj_cell_demand *have =
			when == RJ_CELL_NOW ? &room->now : &room->soon;
		uint64_t bad;

		if (!room->usable || !fits(&want, have) ||
		    !may_run(plan, room->worker, unit, task, rack))
			continue;
		bad = badness(room, step, have);
		if (best && bad >= best_badness)
			continue;
		best = room;
		best_badness = bad;
	}
	return best;
}

/*
 * Take the room of one task of a step.
 */
void rj_cell_place_take(struct rj_cell_room *room,
			const struct rj_cell_step *step)
{
	struct rj_cell_demand want = counted(step);

	take(&room->now, &want);
	take(&room->soon, &want);
}

/*
 * Begin a trial on a copy of the plan's rooms.
 */
void rj_cell_trial_init(struct rj_cell_trial *trial,
			const struct rj_cell_plan *plan)
{
	trial->rooms = talloc_memdup(NULL, plan->rooms,
				     sizeof(*plan->rooms) * plan->room_count);
	trial->workers = g_ptr_array_new();
	trial->victims = g_ptr_array_new();
	trial->loss_milli = 0;
	assert(trial->rooms || !plan->room_count);
}

/*
 * End a trial, whether taken or not.
 */
void rj_cell_trial_finish(struct rj_cell_trial *trial)
{
	talloc_free(trial->rooms);
	g_ptr_array_free(trial->workers, TRUE);
	g_ptr_array_free(trial->victims, TRUE);
}

/* Core-milliseconds of work that stopping one run throws away. */
static uint64_t loss_of(const struct rj_cell_plan *plan,
			const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(run->task);
	uint64_t cores_milli =
		step->each.cpu_milli +
		1000ULL * ACCELERATOR_CORES * step->each.accelerators;
	uint64_t lost_ms = (plan->now_us - MIN(plan->now_us, run->begun_us)) /
			   RJ_US_PER_MS;

	if (step->checkpoints && lost_ms > RESTORE_LOSS_MS)
		lost_ms = RESTORE_LOSS_MS;
	return cores_milli * lost_ms / 1000;
}

/* Whether a run may be stopped for the work of a unit. */
static bool may_stop(const struct rj_cell_run *run,
		     const struct rj_cell_unit *unit)
{
	return run->task && !run->why && run->state != RJ_CELL_RUN_STOPPING &&
	       run->state != RJ_CELL_RUN_INTENDED &&
	       run->state != RJ_CELL_RUN_STARTING &&
	       run->task->round->work->def->priority >
		       unit->work->def->priority &&
	       !rj_cell_task_step(run->task)->perpetual;
}

/* Whether a run is among the victims of a trial. */
static bool is_victim(const struct rj_cell_trial *trial,
		      const struct rj_cell_run *run)
{
	for (guint i = 0; i < trial->victims->len; i++)
		if (trial->victims->pdata[i] == run)
			return true;
	return false;
}

/* The runs of a gang end together: what stopping one of them loses. */
static uint64_t loss_with_gang(const struct rj_cell_plan *plan,
			       const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(run->task);

	return loss_of(plan, run) * (step->gang ? step->task_count : 1);
}

/* A run that may have to go, and what that loses. */
struct victim {
	struct rj_cell_run *run;
	uint64_t loss_milli;
};

/* What loses least goes first. */
static gint by_loss(gconstpointer a, gconstpointer b)
{
	const struct victim *left = a;
	const struct victim *right = b;

	return left->loss_milli < right->loss_milli ? -1 :
	       left->loss_milli > right->loss_milli ? 1 :
						      0;
}

/*
 * The cheapest runs of one worker that make room for `want`, added to
 * `chosen`. Returns what is lost, or UINT64_MAX when there is no way.
 */
static uint64_t choose_victims(const struct rj_cell_plan *plan,
			       const struct rj_cell_trial *trial,
			       const struct rj_cell_unit *unit,
			       const struct rj_cell_room *room,
			       const struct rj_cell_demand *want,
			       GPtrArray *chosen)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct victim));
	struct rj_cell_demand have = room->soon;
	const struct rj_list *at;
	uint64_t loss_milli = 0;

	for (at = room->worker->runs.next; at != &room->worker->runs;
	     at = at->next) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);
		struct victim victim = { run, 0 };

		if (!may_stop(run, unit) || is_victim(trial, run))
			continue;
		victim.loss_milli = loss_with_gang(plan, run);
		g_array_append_val(all, victim);
	}
	g_array_sort(all, by_loss);
	for (guint i = 0; i < all->len && !fits(want, &have); i++) {
		struct victim *victim = &g_array_index(all, struct victim, i);

		give(&have, &victim->run->held);
		loss_milli += victim->loss_milli;
		g_ptr_array_add(chosen, victim->run);
	}
	g_array_free(all, TRUE);
	return fits(want, &have) ? loss_milli : UINT64_MAX;
}

/* Note one victim and, with it, the other members of its gang. */
static void add_victim(struct rj_cell_plan *plan, struct rj_cell_trial *trial,
		       struct rj_cell_run *run)
{
	const struct rj_cell_round *round = run->task->round;
	const struct rj_cell_step *step = rj_cell_task_step(run->task);
	uint32_t first = step->gang ? rj_cell_def_first_task(round->work->def,
							     run->task->step) :
				      (uint32_t)(run->task - round->tasks);
	uint32_t count = step->gang ? step->task_count : 1;

	for (uint32_t i = first; i < first + count; i++) {
		struct rj_list *at;
		struct rj_list *next;

		RJ_FOR_EACH (at, next, &round->tasks[i].runs) {
			struct rj_cell_run *member =
				RJ_CONTAINER(at, struct rj_cell_run, in_task);

			if (member->why ||
			    member->state == RJ_CELL_RUN_STOPPING ||
			    is_victim(trial, member))
				continue;
			g_ptr_array_add(trial->victims, member);
			for (uint32_t j = 0; j < plan->room_count; j++)
				if (trial->rooms[j].worker == member->worker)
					give(&trial->rooms[j].soon,
					     &member->held);
		}
	}
}

/* The worker on which making room for a task loses least, or NULL. */
static struct rj_cell_room *make_room(struct rj_cell_plan *plan,
				      struct rj_cell_trial *trial,
				      const struct rj_cell_unit *unit,
				      const struct rj_cell_task *task,
				      const char *rack)
{
	struct rj_cell_demand want = counted(rj_cell_task_step(task));
	struct rj_cell_room *best = NULL;
	uint64_t best_loss = UINT64_MAX;
	GPtrArray *best_victims = g_ptr_array_new();

	for (uint32_t i = 0; i < plan->room_count; i++) {
		struct rj_cell_room *room = &trial->rooms[i];
		GPtrArray *chosen;
		uint64_t loss;

		if (!room->usable ||
		    !may_run(plan, room->worker, unit, task, rack))
			continue;
		chosen = g_ptr_array_new();
		loss = choose_victims(plan, trial, unit, room, &want, chosen);
		if (loss < best_loss) {
			GPtrArray *worse = best_victims;

			best = room;
			best_loss = loss;
			best_victims = chosen;
			chosen = worse;
		}
		g_ptr_array_free(chosen, TRUE);
	}
	for (guint i = 0; best && i < best_victims->len; i++)
		add_victim(plan, trial, best_victims->pdata[i]);
	if (best)
		trial->loss_milli += best_loss;
	g_ptr_array_free(best_victims, TRUE);
	return best;
}

/*
 * Try to place all of `tasks` in `rack` (NULL: anywhere), in room that is
 * free `when`; with `stop_others`, work of lower priority makes way. Returns
 * whether all of them have a place.
 */
bool rj_cell_place_group(struct rj_cell_plan *plan, struct rj_cell_trial *trial,
			 const struct rj_cell_unit *unit,
			 struct rj_cell_task **tasks, uint32_t count,
			 enum rj_cell_when when, const char *rack,
			 bool stop_others)
{
	for (uint32_t i = 0; i < count; i++) {
		struct rj_cell_room *room = rj_cell_place_best(
			plan, trial->rooms, unit, tasks[i], when, rack);

		if (!room && stop_others)
			room = make_room(plan, trial, unit, tasks[i], rack);
		if (!room)
			return false;
		rj_cell_place_take(room, rj_cell_task_step(tasks[i]));
		g_ptr_array_add(trial->workers, room->worker);
	}
	return true;
}

/*
 * Make the rooms of a trial those of the plan, and list its victims, which
 * the owner has to stop.
 */
void rj_cell_trial_take(struct rj_cell_plan *plan, struct rj_cell_trial *trial)
{
	memcpy(plan->rooms, trial->rooms,
	       sizeof(*plan->rooms) * plan->room_count);
	for (guint i = 0; i < trial->victims->len; i++) {
		struct rj_cell_run *run = trial->victims->pdata[i];

		run->why = RJ_CELL_WHY_RECLAIMED;
		g_ptr_array_add(plan->stops, run);
	}
}
