#include <string.h>
#include <talloc.h>

#include "private/cell_place.h"

/* An accelerator counts as so many cores when work lost is weighed; so the
 * users price it. */
#define ACCELERATOR_CORES 8
/* Stopping a task that saves its progress loses about its restoring. */
#define RESTORE_LOSS_MS 300
/* Urgent work is stopped last: it is worth so much more a core-second. */
#define URGENT_WEIGHT 10
/* What ends by itself within this is waited for: a stop takes as long. */
#define ENDS_SOON_US (400 * RJ_US_PER_MS)

/* Thousandths of cores that a task of a step keeps busy. */
static uint64_t cores_milli(const struct rj_cell_step *step)
{
	return step->each.cpu_milli +
	       1000ULL * ACCELERATOR_CORES * step->each.accelerators;
}

/*
 * The work of `count` tasks of a unit, in core-milliseconds.
 */
uint64_t rj_cell_reclaim_own_milli(const struct rj_cell_plan *plan,
				   const struct rj_cell_unit *unit,
				   uint32_t count)
{
	const struct rj_cell_def *def = unit->work->def;

	return count * cores_milli(&def->steps[unit->step]) *
	       rj_cell_forecast_task_ms(plan->forecast, def, unit->step) / 1000;
}

/* Core-milliseconds of work that stopping one run throws away. */
static uint64_t loss_of(const struct rj_cell_plan *plan,
			const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(run->task);
	uint64_t lost_ms = (plan->now_us - MIN(plan->now_us, run->begun_us)) /
			   RJ_US_PER_MS;

	if (step->checkpoints && lost_ms > RESTORE_LOSS_MS)
		lost_ms = RESTORE_LOSS_MS;
	return cores_milli(step) * lost_ms / 1000;
}

/* Whether the work of one job gives way to that of a unit: by priority, and
 * to guaranteed work also what others have beyond their guarantees. */
static bool gives_way(const struct rj_cell_work *work,
		      const struct rj_cell_unit *unit)
{
	if (work->def->priority > unit->work->def->priority)
		return true;
	return unit->guaranteed && !work->guaranteed;
}

/* Whether a run may be stopped for the work of a unit. */
static bool may_stop(const struct rj_cell_run *run,
		     const struct rj_cell_unit *unit)
{
	return run->task && !run->why && run->state != RJ_CELL_RUN_STOPPING &&
	       run->state != RJ_CELL_RUN_INTENDED &&
	       run->state != RJ_CELL_RUN_STARTING &&
	       gives_way(run->task->round->work, unit) &&
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

/* The runs of a gang end together: what stopping one of them loses. What
 * has been stopped before counts more each time, so that it ends some day. */
static uint64_t loss_with_gang(const struct rj_cell_plan *plan,
			       const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(run->task);

	uint64_t loss =
		loss_of(plan, run) * (step->gang ? step->task_count : 1);

	loss *= 1 + run->task->losses;
	return run->task->round->work->def->priority ? loss :
						       loss * URGENT_WEIGHT;
}

/* A run that may have to go, and what that loses. */
struct victim {
	struct rj_cell_run *run;
	uint64_t loss_milli;
	bool ends_soon; /* by itself */
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

/* All runs of a worker that may have to go, the cheapest first. */
static GArray *list_victims(const struct rj_cell_plan *plan,
			    const struct rj_cell_trial *trial,
			    const struct rj_cell_unit *unit,
			    const struct rj_cell_room *room)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct victim));
	const struct rj_list *at;

	for (at = room->worker->runs.next; at != &room->worker->runs;
	     at = at->next) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);
		struct victim victim = { .run = run };

		if (!may_stop(run, unit) || is_victim(trial, run))
			continue;
		victim.ends_soon =
			rj_cell_forecast_left_us(plan->forecast, run,
						 plan->now_us) < ENDS_SOON_US;
		if (!victim.ends_soon)
			victim.loss_milli = loss_with_gang(plan, run);
		g_array_append_val(all, victim);
	}
	g_array_sort(all, by_loss);
	return all;
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
	GArray *all = list_victims(plan, trial, unit, room);
	struct rj_cell_demand have = room->soon;
	uint64_t loss_milli = 0;

	for (guint i = 0; i < all->len && !rj_cell_demand_fits(want, &have);
	     i++) {
		const struct victim *victim =
			&g_array_index(all, struct victim, i);

		rj_cell_demand_give(&have, &victim->run->held);
		loss_milli += victim->loss_milli;
		if (!victim->ends_soon)
			g_ptr_array_add(chosen, victim->run);
	}
	g_array_free(all, TRUE);
	return rj_cell_demand_fits(want, &have) ? loss_milli : UINT64_MAX;
}

/* The room of a victim comes free. */
static void free_victim(struct rj_cell_trial *trial, struct rj_cell_run *run)
{
	struct rj_cell_room *room = run->worker->room;

	g_ptr_array_add(trial->victims, run);
	if (!room)
		return;
	rj_cell_trial_change(trial, room);
	rj_cell_demand_give(&room->soon, &run->held);
}

/* Note one victim and, with it, the other members of its gang. */
static void add_victim(struct rj_cell_trial *trial, struct rj_cell_run *run)
{
	const struct rj_cell_round *round = run->task->round;
	const struct rj_cell_step *step = rj_cell_task_step(run->task);
	uint32_t first = (uint32_t)(run->task - round->tasks);
	uint32_t count = 1;

	if (step->gang) {
		first -= run->task->index;
		count = step->task_count;
	}
	for (uint32_t i = first; i < first + count; i++) {
		struct rj_list *at;
		struct rj_list *next;

		RJ_FOR_EACH (at, next, &round->tasks[i].runs) {
			struct rj_cell_run *member =
				RJ_CONTAINER(at, struct rj_cell_run, in_task);

			if (!member->why &&
			    member->state != RJ_CELL_RUN_STOPPING &&
			    !is_victim(trial, member))
				free_victim(trial, member);
		}
	}
}

/*
 * The worker on which making room for a task loses least, or NULL. Its
 * victims are noted in the trial.
 */
struct rj_cell_room *rj_cell_reclaim_room(struct rj_cell_plan *plan,
					  struct rj_cell_trial *trial,
					  const struct rj_cell_unit *unit,
					  const struct rj_cell_task *task,
					  const struct rj_cell_way *way)
{
	struct rj_cell_demand want =
		rj_cell_step_counted(rj_cell_task_step(task));
	struct rj_cell_room *best = NULL;
	struct rj_cell_room *room;
	struct rj_cell_room *end;
	uint64_t best_loss = UINT64_MAX;
	GPtrArray *best_victims = g_ptr_array_new();

	rj_cell_place_range(plan, way, &room, &end);
	for (; room < end; room++) {
		GPtrArray *chosen;
		uint64_t loss;

		if (!rj_cell_place_may_run(plan, room, unit, task, way))
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
		add_victim(trial, best_victims->pdata[i]);
	if (best)
		trial->loss_milli += best_loss;
	g_ptr_array_free(best_victims, TRUE);
	return best;
}
