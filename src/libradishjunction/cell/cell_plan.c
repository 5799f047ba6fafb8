#include "private/cell_plan.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_place.h"

/*
 * Data that is far away makes a task take three times as long, so it waits
 * for a worker near it for half of its own estimate, and no longer than
 * this: users expect idle capacity to be used within 3 s.
 */
#define FAR_WAIT_MAX_MS 1500

/*
 * What is kept for urgent work is opened to others that have waited so long
 * when less than this is in use: users expect idle capacity to be used.
 */
#define KEPT_WAIT_US (2 * RJ_US_PER_S)
#define KEPT_USED_PERCENT 55
/* Gangs of lower priority that room is promised to at a time. More would
 * leave too much of it idle. */
#define PROMISES_MAX 4
/* Urgent work that has no right to its room may throw away so many times its
 * own work: it is worth about ten times as much a core-second, half of which
 * is left for the wait of those that it stops. */
#define LOSS_FACTOR 4
/* Work that is not urgent may stop work of lower priority once it has waited
 * for a while, where that throws away at most this part of its own. */
#define CHEAP_WAIT_US RJ_US_PER_S
#define CHEAP_LOSS_PART 8

/* Work goes in this order, whatever its priority. */
enum tier {
	TIER_GUARANTEED, /* its account has a right to the room at once */
	TIER_USEFUL, /* it can still be of use to its caller */
	TIER_HOPELESS, /* too late; it only has to end some day */
};

/* A demand that found no room, and where it may run. */
struct miss {
	const struct rj_cell_step *step;
	const char *service;
	bool far;
	bool into_kept;
	bool into_closed;
};

/*
 * Prepare a plan without inputs.
 */
void rj_cell_plan_init(struct rj_cell_plan *plan)
{
	memset(plan, 0, sizeof(*plan));
	plan->starts = g_array_new(FALSE, FALSE, sizeof(struct rj_cell_choice));
	plan->stops = g_ptr_array_new();
	plan->racks =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_rack_rooms));
	plan->ranges = g_array_new(FALSE, FALSE, sizeof(struct rj_cell_range));
	plan->needs = g_hash_table_new(g_str_hash, g_str_equal);
	plan->units = g_array_new(FALSE, FALSE, sizeof(struct rj_cell_unit));
	plan->misses = g_array_new(FALSE, FALSE, sizeof(struct miss));
}

/*
 * Free what the plan holds.
 */
void rj_cell_plan_finish(struct rj_cell_plan *plan)
{
	g_array_free(plan->starts, TRUE);
	g_ptr_array_free(plan->stops, TRUE);
	g_array_free(plan->racks, TRUE);
	g_array_free(plan->ranges, TRUE);
	g_array_free(plan->units, TRUE);
	g_array_free(plan->misses, TRUE);
	g_hash_table_destroy(plan->needs);
	TALLOC_FREE(plan->rooms);
}

/* Whether a task waits for room. */
static bool waits(const struct rj_cell_plan *plan,
		  const struct rj_cell_task *task)
{
	return !task->done && task->runs.next == &task->runs &&
	       plan->now_us >= task->not_before_us;
}

/* Note since when the waiting tasks of a step wait. Returns their number;
 * 0 for a gang of which a member still runs or may not start yet. */
static uint32_t count_waiting(const struct rj_cell_plan *plan,
			      struct rj_cell_round *round, uint32_t step,
			      uint64_t *since_us)
{
	const struct rj_cell_def *def = round->work->def;
	uint32_t first = rj_cell_def_first_task(def, step);
	uint32_t waiting = 0;

	*since_us = plan->now_us;
	for (uint32_t i = first; i < first + def->steps[step].task_count; i++) {
		struct rj_cell_task *task = &round->tasks[i];

		if (!waits(plan, task)) {
			if (def->steps[step].gang)
				return 0;
			continue;
		}
		if (!task->waiting_us)
			task->waiting_us = plan->now_us;
		if (task->waiting_us < *since_us)
			*since_us = task->waiting_us;
		waiting++;
	}
	return waiting;
}

/* Whether a step has waited long enough to run away from its data, or has
 * nothing to wait for. */
static bool may_be_far(const struct rj_cell_plan *plan,
		       const struct rj_cell_step *step, uint64_t since_us)
{
	uint64_t patience_ms = step->estimate_ms / 2;

	if (step->rack[0] &&
	    rj_cell_fleet_rack_cordoned(plan->fleet, step->rack))
		return true;
	if (patience_ms > FAR_WAIT_MAX_MS)
		patience_ms = FAR_WAIT_MAX_MS;
	return plan->now_us - since_us >= patience_ms * RJ_US_PER_MS;
}

/* Whether a job is urgent and has not ended. */
static bool is_urgent(const struct rj_cell_work *work)
{
	return !work->def->priority && !work->cancelled &&
	       work->state < RJ_CELL_JOB_COMPLETED;
}

/* Add up the accelerators that the urgent jobs of each account need. */
static void sum_needs(struct rj_cell_plan *plan)
{
	const struct rj_list *at;

	for (at = plan->works->next; at != plan->works; at = at->next) {
		const struct rj_cell_work *work =
			RJ_CONTAINER(at, struct rj_cell_work, link);
		const struct rj_cell_def *def = work->def;
		guint need;

		if (!is_urgent(work))
			continue;
		need = GPOINTER_TO_UINT(
			g_hash_table_lookup(plan->needs, def->account));
		for (uint32_t i = 0; i < def->step_count; i++)
			need += def->steps[i].task_count *
				def->steps[i].each.accelerators;
		g_hash_table_insert(plan->needs, (gpointer)def->account,
				    GUINT_TO_POINTER(need));
	}
}

/* Whether a job has a right to its room at once: the urgent jobs of its
 * account need no more than is guaranteed to it. */
static bool is_guaranteed(const struct rj_cell_plan *plan,
			  const struct rj_cell_work *work)
{
	const struct rj_cell_account *account =
		plan->config ? rj_cell_config_account(plan->config,
						      work->def->account) :
			       NULL;

	return is_urgent(work) && account &&
	       GPOINTER_TO_UINT(
		       g_hash_table_lookup(plan->needs, account->name)) <=
		       account->guaranteed_accelerators;
}

/*
 * Whether so much is idle that what is kept for urgent work is open to a step
 * that has waited for a while. What the plan has started counts as in use, as
 * much work may end at once and make way for the next.
 */
static bool is_idle(const struct rj_cell_plan *plan,
		    const struct rj_cell_unit *unit)
{
	return rj_cell_usage_percent(&plan->usage) < KEPT_USED_PERCENT &&
	       plan->now_us - unit->waiting_us >= KEPT_WAIT_US;
}

/* Say what a step may use of what is kept for urgent work: all of it if it
 * is urgent, and the open part if it can be stopped at no loss. */
static void set_kept(const struct rj_cell_plan *plan, struct rj_cell_unit *unit)
{
	const struct rj_cell_def *def = unit->work->def;
	const struct rj_cell_step *step = &def->steps[unit->step];

	unit->into_closed = !def->priority || is_idle(plan, unit);
	unit->into_kept =
		unit->into_closed || (step->checkpoints && !step->perpetual);
}

/*
 * Whether ends that nobody has listed may have used up a gang's attempts.
 *
 * Guards against one attempt too many: a failure on a worker that was cut off
 * is listed once the worker is back.
 */
static bool may_be_used_up(const struct rj_cell_plan *plan,
			   const struct rj_cell_round *round, uint32_t step)
{
	const struct rj_cell_def *def = round->work->def;
	const struct rj_cell_task *head =
		&round->tasks[rj_cell_def_first_task(def, step)];

	return def->steps[step].gang && !def->steps[step].perpetual &&
	       head->unseen && plan->now_us < head->unseen_until_us &&
	       head->failures + head->unseen >= def->attempts_max;
}

/* Note the waiting tasks of one step. */
static void add_unit(struct rj_cell_plan *plan, struct rj_cell_round *round,
		     uint32_t step)
{
	struct rj_cell_work *work = round->work;
	const struct rj_cell_queue *queue =
		plan->config ?
			rj_cell_config_queue(plan->config, work->def->queue) :
			NULL;
	struct rj_cell_unit unit = { .work = work,
				     .round = round,
				     .step = step };

	unit.waiting = count_waiting(plan, round, step, &unit.waiting_us);
	if (!unit.waiting || may_be_used_up(plan, round, step))
		return;
	/* A queue that has gone leaves its jobs where it last sent them. */
	unit.service =
		g_intern_string(queue ? queue->service : work->def->service);
	unit.advised = queue && queue->advised;
	unit.far = may_be_far(plan, &work->def->steps[step], unit.waiting_us);
	unit.guaranteed = work->guaranteed;
	if (unit.guaranteed)
		unit.tier = TIER_GUARANTEED;
	else if (plan->now_us > work->late_us)
		unit.tier = TIER_HOPELESS;
	else
		unit.tier = TIER_USEFUL;
	unit.order_us = work->accepted_us;
	g_array_append_val(plan->units, unit);
}

/* Gather all steps whose turn has come. */
static void gather_units(struct rj_cell_plan *plan)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, plan->works) {
		struct rj_cell_work *work =
			RJ_CONTAINER(at, struct rj_cell_work, link);
		struct rj_list *round_at;
		struct rj_list *round_next;

		if (work->state >= RJ_CELL_JOB_COMPLETED || work->cancelled)
			continue;
		work->guaranteed = is_guaranteed(plan, work);
		RJ_FOR_EACH (round_at, round_next, &work->rounds) {
			struct rj_cell_round *round = RJ_CONTAINER(
				round_at, struct rj_cell_round, link);

			for (uint32_t i = 0; i < work->def->step_count; i++)
				if (round->left[i] &&
				    rj_cell_round_ready(round, i))
					add_unit(plan, round, i);
		}
	}
}

/* Useful work first, by priority, then in the order of acceptance. */
static gint by_order(gconstpointer a, gconstpointer b)
{
	const struct rj_cell_unit *left = a;
	const struct rj_cell_unit *right = b;

	if (left->tier != right->tier)
		return left->tier < right->tier ? -1 : 1;
	if (left->work->def->priority != right->work->def->priority)
		return left->work->def->priority < right->work->def->priority ?
			       -1 :
			       1;
	if (left->order_us != right->order_us)
		return left->order_us < right->order_us ? -1 : 1;
	return strcmp(left->work->def->id, right->work->def->id);
}

/*
 * Whether a demand as small as this one has found no room in this plan.
 *
 * Guards against a backlog that makes each plan longer: under load most
 * waiting steps find no room, and each would look at every worker.
 */
static bool is_missed(const struct rj_cell_plan *plan,
		      const struct rj_cell_unit *unit)
{
	const struct rj_cell_step *step = &unit->work->def->steps[unit->step];

	for (guint i = 0; i < plan->misses->len; i++) {
		const struct miss *miss =
			&g_array_index(plan->misses, struct miss, i);

		if (step->each.cpu_milli >= miss->step->each.cpu_milli &&
		    step->each.memory_mb >= miss->step->each.memory_mb &&
		    step->each.accelerators >= miss->step->each.accelerators &&
		    step->scavenges == miss->step->scavenges &&
		    (miss->into_kept || !unit->into_kept) &&
		    (miss->into_closed || !unit->into_closed) &&
		    (miss->far || !unit->far) &&
		    (!miss->step->label[0] ||
		     !strcmp(miss->step->label, step->label)) &&
		    (!miss->step->rack[0] || miss->far ||
		     !strcmp(miss->step->rack, step->rack)) &&
		    !strcmp(miss->service, unit->service))
			return true;
	}
	return false;
}

/* Remember that one task of a step found no room. */
static void note_miss(struct rj_cell_plan *plan,
		      const struct rj_cell_unit *unit)
{
	struct miss miss = { &unit->work->def->steps[unit->step], unit->service,
			     unit->far, unit->into_kept, unit->into_closed };

	/* Such limits do not hold for other steps. */
	if (!miss.step->per_worker_max && !unit->advised)
		g_array_append_val(plan->misses, miss);
}

/* One task starts there. */
static void add_start(struct rj_cell_plan *plan, struct rj_cell_task *task,
		      struct rj_cell_worker *worker)
{
	struct rj_cell_choice choice = { task, worker };
	struct rj_cell_demand used =
		rj_cell_step_counted(rj_cell_task_step(task));

	g_array_append_val(plan->starts, choice);
	rj_cell_usage_add(&plan->usage, &used);
	if (worker->domain && !task->round->work->def->priority)
		worker->domain->urgent +=
			rj_cell_task_step(task)->each.accelerators;
}

/* Whether one trial is better than another: it loses less, or is ready
 * sooner. */
static bool is_better(const struct rj_cell_trial *a,
		      const struct rj_cell_trial *b)
{
	if (a->loss_milli != b->loss_milli)
		return a->loss_milli < b->loss_milli;
	return a->ready_us < b->ready_us;
}

/* The rack where a group is placed best, or NULL. */
static const struct rj_cell_rack_rooms *
best_rack(struct rj_cell_plan *plan, const struct rj_cell_unit *unit,
	  struct rj_cell_task **tasks, uint32_t count,
	  const struct rj_cell_way *way)
{
	const struct rj_cell_rack_rooms *best = NULL;
	struct rj_cell_trial best_trial = { .loss_milli = 0 };

	for (guint i = 0; i < plan->racks->len; i++) {
		struct rj_cell_way here = *way;
		struct rj_cell_trial trial;

		here.rack = &g_array_index(plan->racks,
					   struct rj_cell_rack_rooms, i);
		if (way->domain && here.rack->domain != way->domain)
			continue;
		rj_cell_trial_init(&trial, plan);
		if (rj_cell_place_group(plan, &trial, unit, tasks, count,
					&here) &&
		    (!best || is_better(&trial, &best_trial))) {
			best = here.rack;
			best_trial.loss_milli = trial.loss_milli;
			best_trial.ready_us = trial.ready_us;
		}
		rj_cell_trial_finish(&trial);
		/* Nothing is better than a place at once and at no loss. */
		if (best && !best_trial.loss_milli && !best_trial.ready_us)
			break;
	}
	return best;
}

/* Try to place a group: within one rack if it should be, and else anywhere
 * once it has waited long enough. */
static bool try_group(struct rj_cell_plan *plan,
		      const struct rj_cell_unit *unit,
		      struct rj_cell_task **tasks, uint32_t count,
		      const struct rj_cell_way *way,
		      struct rj_cell_trial *trial)
{
	const struct rj_cell_step *step = rj_cell_task_step(tasks[0]);
	struct rj_cell_way chosen = *way;

	if (step->one_rack && count > 1) {
		chosen.rack = best_rack(plan, unit, tasks, count, way);
		if (!chosen.rack && !unit->far)
			return false;
	}
	return rj_cell_place_group(plan, trial, unit, tasks, count, &chosen);
}

/* The failure domain with the least urgent work of those where a group finds
 * its place, or NULL. */
static const struct rj_cell_domain *best_domain(struct rj_cell_plan *plan,
						const struct rj_cell_unit *unit,
						struct rj_cell_task **tasks,
						uint32_t count,
						const struct rj_cell_way *way)
{
	const GPtrArray *domains = plan->fleet->domains;
	const struct rj_cell_domain *best = NULL;

	for (guint i = 0; i < domains->len; i++) {
		const struct rj_cell_domain *domain = domains->pdata[i];
		struct rj_cell_way here = *way;
		struct rj_cell_trial trial;

		if (best && domain->urgent >= best->urgent)
			continue;
		here.domain = domain;
		rj_cell_trial_init(&trial, plan);
		if (try_group(plan, unit, tasks, count, &here, &trial))
			best = domain;
		rj_cell_trial_finish(&trial);
	}
	return best;
}

/* Try one way; when it works out the room is taken, and with RJ_CELL_NOW the
 * tasks start. */
static bool attempt(struct rj_cell_plan *plan, const struct rj_cell_unit *unit,
		    struct rj_cell_task **tasks, uint32_t count,
		    const struct rj_cell_way *way)
{
	struct rj_cell_way chosen = *way;
	struct rj_cell_trial trial;
	bool placed;

	if (!unit->work->def->priority && way->when == RJ_CELL_NOW)
		chosen.domain = best_domain(plan, unit, tasks, count, way);
	rj_cell_trial_init(&trial, plan);
	placed = try_group(plan, unit, tasks, count, &chosen, &trial);
	for (uint32_t i = 0; placed && way->when == RJ_CELL_NOW && i < count;
	     i++)
		add_start(plan, tasks[i], trial.workers->pdata[i]);
	if (placed)
		rj_cell_trial_take(&trial);
	rj_cell_trial_finish(&trial);
	return placed;
}

/* Work that urgent tasks may throw away. */
static uint64_t loss_allowed(const struct rj_cell_plan *plan,
			     const struct rj_cell_unit *unit, uint32_t count)
{
	if (unit->guaranteed &&
	    plan->now_us <=
		    unit->work->accepted_us + plan->reclaim_ms * RJ_US_PER_MS)
		return UINT64_MAX;
	return LOSS_FACTOR * rj_cell_reclaim_own_milli(plan, unit, count);
}

/*
 * Find room for urgent tasks that do not fit now: what is stopping already,
 * what has to be stopped; else what ends first.
 */
static void find_urgent(struct rj_cell_plan *plan,
			const struct rj_cell_unit *unit,
			struct rj_cell_task **tasks, uint32_t count)
{
	const struct rj_cell_way soon = { .when = RJ_CELL_SOON };
	const struct rj_cell_way later = { .when = RJ_CELL_LATER };
	const struct rj_cell_way stop = {
		.when = RJ_CELL_SOON,
		.stop_others = true,
		.loss_max_milli = loss_allowed(plan, unit, count),
	};

	if (attempt(plan, unit, tasks, count, &soon) ||
	    attempt(plan, unit, tasks, count, &stop))
		return;
	attempt(plan, unit, tasks, count, &later);
}

/*
 * Place a group of tasks now; or find room for it that comes free. Returns
 * whether it starts now.
 */
static bool place_tasks(struct rj_cell_plan *plan,
			const struct rj_cell_unit *unit,
			struct rj_cell_task **tasks, uint32_t count)
{
	const struct rj_cell_way now = { .when = RJ_CELL_NOW };
	const struct rj_cell_way soon = { .when = RJ_CELL_SOON };
	const struct rj_cell_way later = { .when = RJ_CELL_LATER };
	const struct rj_cell_way stop = {
		.when = RJ_CELL_SOON,
		.stop_others = true,
		.loss_max_milli = rj_cell_reclaim_own_milli(plan, unit, count) /
				  CHEAP_LOSS_PART,
	};

	if (attempt(plan, unit, tasks, count, &now))
		return true;
	if (!unit->work->def->priority)
		find_urgent(plan, unit, tasks, count);
	else if (plan->now_us - unit->waiting_us >= CHEAP_WAIT_US &&
		 (attempt(plan, unit, tasks, count, &soon) ||
		  attempt(plan, unit, tasks, count, &stop)))
		return false;
	else if (rj_cell_task_step(tasks[0])->gang &&
		 plan->promises < PROMISES_MAX &&
		 attempt(plan, unit, tasks, count, &later))
		plan->promises++;
	return false;
}

/* How many of the first tasks weigh workers alike, so that they can be placed
 * together though each starts by itself. */
static uint32_t count_plain(const struct rj_cell_plan *plan,
			    const struct rj_cell_unit *unit,
			    struct rj_cell_task **tasks, uint32_t count)
{
	uint32_t plain = 0;

	if (!unit->work->def->priority ||
	    rj_cell_task_step(tasks[0])->per_worker_max)
		return 0;
	while (plain < count && rj_cell_place_is_plain(plan, tasks[plain]))
		plain++;
	return plain;
}

/*
 * Start those of the first tasks of a unit that find a place now. Returns how
 * many.
 *
 * Load that it answers: wide jobs of small tasks; each task by itself would
 * weigh all workers.
 */
static uint32_t start_plain(struct rj_cell_plan *plan,
			    const struct rj_cell_unit *unit,
			    struct rj_cell_task **tasks, uint32_t count)
{
	const struct rj_cell_way now = { .when = RJ_CELL_NOW };
	uint32_t plain = count_plain(plan, unit, tasks, count);
	struct rj_cell_trial trial;
	uint32_t placed;

	if (!plain)
		return 0;
	rj_cell_trial_init(&trial, plan);
	placed = rj_cell_place_alike(plan, &trial, unit, tasks, plain, &now);
	for (uint32_t i = 0; i < placed; i++)
		add_start(plan, tasks[i], trial.workers->pdata[i]);
	rj_cell_trial_take(&trial);
	rj_cell_trial_finish(&trial);
	return placed;
}

/* Place the waiting tasks of a step: a gang as a whole, others singly. */
static void place_unit(struct rj_cell_plan *plan,
		       const struct rj_cell_unit *unit)
{
	const struct rj_cell_def *def = unit->work->def;
	const struct rj_cell_step *step = &def->steps[unit->step];
	uint32_t first = rj_cell_def_first_task(def, unit->step);
	struct rj_cell_task **tasks;
	uint32_t count = 0;

	if (is_missed(plan, unit) && def->priority) {
		plan->waiting += unit->waiting;
		return;
	}
	tasks = talloc_array(NULL, struct rj_cell_task *, step->task_count);
	for (uint32_t i = first; i < first + step->task_count; i++)
		if (waits(plan, &unit->round->tasks[i]))
			tasks[count++] = &unit->round->tasks[i];
	if (step->gang) {
		if (!place_tasks(plan, unit, tasks, count))
			plan->waiting += count;
	} else {
		for (uint32_t i = start_plain(plan, unit, tasks, count);
		     i < count; i++) {
			if (place_tasks(plan, unit, &tasks[i], 1))
				continue;
			/* That it is choosy says nothing of the others. */
			if (rj_cell_place_wants_sound(plan, tasks[i])) {
				plan->waiting++;
				continue;
			}
			plan->waiting += count - i;
			note_miss(plan, unit);
			if (def->priority)
				break;
		}
	}
	talloc_free(tasks);
}

/*
 * Decide what starts now, and what is stopped to make room.
 */
void rj_cell_plan_make(struct rj_cell_plan *plan)
{
	sum_needs(plan);
	gather_units(plan);
	/* Most plans follow an end that nobody waited for. */
	if (!plan->units->len)
		return;
	rj_cell_plan_gather_rooms(plan);
	g_array_sort(plan->units, by_order);
	for (guint i = 0; i < plan->units->len; i++) {
		struct rj_cell_unit *unit =
			&g_array_index(plan->units, struct rj_cell_unit, i);

		set_kept(plan, unit);
		place_unit(plan, unit);
	}
}
