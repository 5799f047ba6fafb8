#include "private/cell_owner.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_flush.h"
#include "private/cell_plan.h"
#include "private/cell_starts.h"
#include "private/log_event.h"

/* Plans are this far apart at least, so that what ends together is planned
 * for together. */
#define PLAN_PAUSE_US (8 * RJ_US_PER_MS)
/* ... and by so many times what a plan takes, so that most of the time is left
 * for polls, orders and heartbeats. */
#define PLAN_PAUSE_FACTOR 2
/* Weighing one worker takes so long on a whole core. */
#define EFFORT_NS 20
/* Without other events a plan is made so often, as waiting changes what may
 * be done. */
#define PLAN_IDLE_US (200 * RJ_US_PER_MS)
/* Nothing starts by knowledge of the log that is older; the owner's own
 * heartbeats make its reads return every 0.4 s. */
#define READ_AGE_MAX_US (1500 * RJ_US_PER_MS)
/* Nor by knowledge of workers and operators that is older than this part of
 * the bound on what it decides; the rest is for the order's way. */
#define PUBLISHED_AGE_PERCENT 80
/* What waits is logged so often at most. */
#define BACKLOG_NOTE_US RJ_US_PER_S
/* Jobs with times are looked through for those that have come due so often;
 * an occurrence begins so much late at most. */
#define ROUNDS_CHECK_US (40 * RJ_US_PER_MS)

/*
 * Prepare an owner that owns nothing yet.
 */
void rj_cell_owner_init(struct rj_cell_owner *owner, void *mem,
			const char *name, uint64_t incarnation,
			struct rj_cell_view *view, struct rj_cell_store *store,
			struct rj_cell_workers *workers,
			const struct rj_cell_terms *terms)
{
	memset(owner, 0, sizeof(*owner));
	owner->mem = mem;
	g_strlcpy(owner->name, name, sizeof(owner->name));
	owner->incarnation = incarnation;
	owner->view = view;
	owner->store = store;
	owner->workers = workers;
	owner->terms = *terms;
	rj_list_init(&owner->works);
	rj_list_init(&owner->dirty);
	rj_cell_forecast_init(&owner->forecast);
	owner->ended = g_ptr_array_new_with_free_func(g_free);
	rj_cell_writer_init(&owner->writer, mem, store, RJ_CELL_TOPIC_JOBS,
			    "owner");
	rj_cell_writer_init(&owner->progress, mem, store,
			    RJ_CELL_TOPIC_PROGRESS, "owner");
}

/*
 * Whether the log has been out of reach for too long to renew leases.
 */
bool rj_cell_owner_blind(const struct rj_cell_owner *owner)
{
	return owner->now_us > owner->writer.stored_us + RJ_CELL_BLIND_US;
}

/*
 * A job's progress has changed and is to be stored.
 */
void rj_cell_owner_dirty(struct rj_cell_owner *owner, struct rj_cell_work *work)
{
	if (!work->dirty)
		rj_list_append(&owner->dirty, &work->in_dirty);
	work->dirty = true;
	owner->plan_wanted = true;
}

/*
 * The task of a name as workers list it, or NULL when it is not under way;
 * `entry` (may be NULL) is that of its job, if that is known.
 */
struct rj_cell_task *rj_cell_owner_task(struct rj_cell_owner *owner,
					const char *name,
					struct rj_cell_entry **entry)
{
	struct rj_cell_entry *found;
	char id[RJ_CELL_ID_BYTES];
	unsigned int round;
	unsigned int step;
	unsigned int index;

	if (sscanf(name, "%16[0-9a-fA-F].%u.%u.%u", id, &round, &step,
		   &index) != 4)
		return NULL;
	found = rj_cell_view_find(owner->view, id);
	if (entry)
		*entry = found;
	if (!found || !found->work)
		return NULL;
	return rj_cell_work_find(found->work, round, step, index);
}

/* Until when a job is of use, by this node's clock. */
static void set_times(struct rj_cell_owner *owner, struct rj_cell_work *work)
{
	const struct rj_cell_def *def = work->def;
	uint64_t age_ms = owner->wall_ms > def->accepted_ms ?
				  owner->wall_ms - def->accepted_ms :
				  0;
	uint64_t chain_ms = rj_cell_forecast_chain_ms(&owner->forecast, def);
	uint64_t objective_us =
		(chain_ms * def->stretch_milli / 1000 + def->latency_ms) *
		RJ_US_PER_MS;

	work->accepted_us = owner->now_us > age_ms * RJ_US_PER_MS ?
				    owner->now_us - age_ms * RJ_US_PER_MS :
				    0;
	work->objective_us = work->accepted_us + objective_us;
	work->late_us = work->accepted_us + RJ_CELL_LATE_FACTOR * objective_us;
}

/* Take up a job that has not ended, with what its progress says. */
static void adopt(struct rj_cell_owner *owner, struct rj_cell_entry *entry)
{
	struct rj_cell_work *work = rj_cell_work_new(owner->mem, entry->def);
	struct rj_error err;

	work->entry = entry;
	entry->work = work;
	rj_list_append(&owner->works, &work->link);
	set_times(owner, work);
	if (entry->progress.length &&
	    rj_cell_progress_decode(entry->progress, work, &owner->fleet,
				    owner->now_us, &err))
		rj_log_event("record_bad", RJ_LOG_TEXT("job", entry->id),
			     RJ_LOG_TEXT("error", err.message));
	/* It has ended and nobody was told, or it was stored by the version
	 * before. */
	if (entry->progress.length && !entry->moved)
		rj_cell_owner_dirty(owner, work);
	entry->moved = true;
	if (work->state >= RJ_CELL_JOB_COMPLETED)
		rj_cell_owner_dirty(owner, work);
	else
		rj_cell_ends_begin_rounds(owner, work);
}

/* Say what has come, with the figures that decide on its first step. */
static void note_taken(const struct rj_cell_entry *entry)
{
	const struct rj_cell_def *def = entry->def;
	const struct rj_cell_step *step = &def->steps[0];

	rj_log_event("job_taken", RJ_LOG_TEXT("job", entry->id),
		     RJ_LOG_TEXT("account", def->account),
		     RJ_LOG_TEXT("queue", def->queue),
		     RJ_LOG_NUMBER("priority", def->priority),
		     RJ_LOG_NUMBER("steps", def->step_count),
		     RJ_LOG_NUMBER("tasks", def->task_count),
		     RJ_LOG_NUMBER("cpu_milli", step->each.cpu_milli),
		     RJ_LOG_NUMBER("memory_mb", step->each.memory_mb),
		     RJ_LOG_NUMBER("accelerators", step->each.accelerators),
		     RJ_LOG_NUMBER("estimate_ms", step->estimate_ms),
		     RJ_LOG_NUMBER("gang", step->gang),
		     RJ_LOG_NUMBER("one_rack", step->one_rack),
		     RJ_LOG_NUMBER("checkpoints", step->checkpoints),
		     RJ_LOG_NUMBER("speculative", step->speculative),
		     RJ_LOG_NUMBER("perpetual", step->perpetual),
		     RJ_LOG_NUMBER("scavenges", step->scavenges),
		     RJ_LOG_TEXT("rack", step->rack),
		     RJ_LOG_TEXT("label", step->label),
		     RJ_LOG_NUMBER("per_worker_max", step->per_worker_max),
		     RJ_LOG_NUMBER("may_miss", step->may_miss),
		     RJ_LOG_NUMBER("target_ms", step->target_ms),
		     RJ_LOG_NUMBER("repeats", def->repeats));
}

/*
 * A job's definition or a wish to cancel it has come.
 */
void rj_cell_owner_entry(struct rj_cell_owner *owner,
			 struct rj_cell_entry *entry)
{
	if (!owner->active || !entry->def ||
	    entry->told.state >= RJ_CELL_JOB_COMPLETED)
		return;
	if (!entry->work) {
		adopt(owner, entry);
		if (!entry->def->priority)
			rj_cell_forecast_demand(&owner->forecast, entry->def,
						owner->now_us);
		note_taken(entry);
	}
	if (entry->cancelled && !entry->work->cancelled) {
		entry->work->cancelled = true;
		rj_cell_ends_close(owner, entry->work, RJ_CELL_JOB_CANCELLED);
	}
	owner->plan_wanted = true;
}

/*
 * Whether a worker whose entry is gone has deregistered: it was draining, and
 * its entry went sooner than it could have expired.
 */
static bool has_deregistered(const struct rj_cell_owner *owner,
			     const struct rj_cell_worker *worker)
{
	return worker->said.draining && worker->written_us &&
	       owner->now_us < worker->written_us + owner->terms.entry_life_ms *
							    RJ_US_PER_MS;
}

/* A worker's entry is gone. */
static void unlist(struct rj_cell_owner *owner, struct rj_cell_worker *worker)
{
	worker->listed = false;
	if (has_deregistered(owner, worker)) {
		worker->left_us = owner->now_us;
		worker->poll_due_us = owner->now_us;
	}
	rj_log_event("worker_unlisted", RJ_LOG_TEXT("worker", worker->id),
		     RJ_LOG_NUMBER("holds", worker->held.memory_mb),
		     RJ_LOG_NUMBER("left", worker->left_us != 0));
	owner->plan_wanted = true;
}

/*
 * A worker's entry has changed, and was written after `written_us` (0: not
 * known); NULL when it is gone.
 */
void rj_cell_owner_worker(struct rj_cell_owner *owner, const char *id,
			  const struct rj_cell_heartbeat *heartbeat,
			  uint64_t written_us)
{
	struct rj_cell_worker *worker = rj_cell_fleet_find(&owner->fleet, id);
	bool was_draining;

	if (!heartbeat) {
		if (worker && worker->listed)
			unlist(owner, worker);
		return;
	}
	worker = rj_cell_fleet_obtain(&owner->fleet, id);
	was_draining = worker->said.draining;
	/* Another life: nothing is sent there until it has answered. */
	if (worker->incarnation && heartbeat->incarnation &&
	    worker->incarnation != heartbeat->incarnation) {
		worker->answers = false;
		rj_cell_polls_soon(owner, worker);
	}
	rj_cell_worker_say(worker, heartbeat);
	worker->written_us = written_us;
	worker->leaves_us = 0;
	worker->cold_until_us =
		owner->now_us + heartbeat->cold_left_ms * RJ_US_PER_MS;
	if (heartbeat->draining && heartbeat->drain_left_ms)
		worker->leaves_us = (written_us ? written_us : owner->now_us) +
				    heartbeat->drain_left_ms * RJ_US_PER_MS;
	worker->left_us = 0;
	rj_cell_polls_trust(owner, worker);
	if (!worker->listed || was_draining != heartbeat->draining) {
		rj_log_event("worker_listed", RJ_LOG_TEXT("worker", id),
			     RJ_LOG_TEXT("domain", heartbeat->domain),
			     RJ_LOG_TEXT("rack", heartbeat->rack),
			     RJ_LOG_NUMBER("draining", heartbeat->draining));
		/* In a load there is news of all; see rj_cell_polls_loaded. */
		if (written_us)
			rj_cell_polls_soon(owner, worker);
		owner->plan_wanted = true;
	}
	worker->listed = true;
}

/* Ends that a former owner did not see count no longer than until `lapsed_us`,
 * when every lease that it gave has lapsed. */
static void bound_unseen(const struct rj_cell_work *work, uint64_t lapsed_us)
{
	const struct rj_list *at;

	for (at = work->rounds.next; at != &work->rounds; at = at->next) {
		struct rj_cell_round *round =
			RJ_CONTAINER(at, struct rj_cell_round, link);

		for (uint32_t i = 0; i < work->def->task_count; i++)
			round->tasks[i].unseen_until_us =
				MIN(round->tasks[i].unseen_until_us, lapsed_us);
	}
}

/*
 * Nothing is known of workers that a former owner has used until they
 * answer; it may renew their leases for `renewals_us` from now.
 */
static void bound_leases(struct rj_cell_owner *owner, uint64_t renewals_us)
{
	uint64_t lease_us = rj_cell_lease_longest_us(owner->terms.lease_max_ms *
						     RJ_US_PER_MS);
	uint64_t lapsed_us = owner->now_us + renewals_us + lease_us;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &owner->fleet.workers)
		RJ_CONTAINER(at, struct rj_cell_worker, link)->lapsed_us =
			lapsed_us;
	RJ_FOR_EACH (at, next, &owner->works)
		bound_unseen(RJ_CONTAINER(at, struct rj_cell_work, link),
			     lapsed_us);
}

/*
 * Begin to take the cell over under `token`, writing under `epoch`: this
 * instance shows its life in the log, and decides nothing until
 * rj_cell_owner_take. The progress writer starts behind the fence that the
 * takeover puts into its log.
 */
void rj_cell_owner_begin(struct rj_cell_owner *owner, uint64_t token,
			 uint64_t epoch, uint64_t now_us, uint64_t wall_ms)
{
	assert(!owner->active && !owner->taking);
	assert(owner->dirty.next == &owner->dirty);
	owner->taking = true;
	owner->lost = false;
	owner->leaving = false;
	owner->generation++;
	owner->token = token;
	owner->now_us = now_us;
	owner->wall_ms = wall_ms;
	owner->writes_open = 0;
	owner->beat_due_us = now_us;
	rj_cell_fleet_init(&owner->fleet, owner->mem, owner->cordons);
	rj_cell_writer_open(&owner->writer, epoch, 1, now_us);
	rj_cell_writer_open(&owner->progress, epoch, 0, now_us);
}

/*
 * Own the cell: adopt every job that has not ended and all that may run. The
 * view must be complete up to the ownership record, and hold the progress of
 * all jobs; former owners renew no lease after `renewals_us` from now.
 */
void rj_cell_owner_take(struct rj_cell_owner *owner, uint64_t renewals_us,
			uint64_t now_us, uint64_t wall_ms)
{
	struct rj_list *at;
	struct rj_list *next;
	uint32_t jobs = 0;

	assert(owner->taking);
	owner->taking = false;
	owner->active = true;
	owner->read_us = now_us;
	owner->now_us = now_us;
	owner->wall_ms = wall_ms;
	owner->advice_open = false;
	rj_cell_polls_begin(owner);
	owner->counters.takeovers++;
	RJ_FOR_EACH (at, next, &owner->view->entries) {
		struct rj_cell_entry *entry =
			RJ_CONTAINER(at, struct rj_cell_entry, link);

		if (entry->def && entry->told.state < RJ_CELL_JOB_COMPLETED)
			jobs++;
		rj_cell_owner_entry(owner, entry);
	}
	rj_cell_view_drop_progress(owner->view);
	bound_leases(owner, renewals_us);
	rj_log_event("own", RJ_LOG_NUMBER("token", owner->token),
		     RJ_LOG_AGE_MS("renewals_ms", renewals_us),
		     RJ_LOG_NUMBER("jobs", jobs),
		     RJ_LOG_NUMBER("workers", owner->fleet.count));
}

/*
 * Own nothing any more. What ran goes on under its leases until a successor
 * takes it over. Callers have been told only what is stored, so the view stays
 * as it is.
 */
void rj_cell_owner_resign(struct rj_cell_owner *owner, const char *why)
{
	struct rj_list *at;
	struct rj_list *next;

	if (!owner->active && !owner->taking)
		return;
	rj_log_event("resign", RJ_LOG_NUMBER("token", owner->token),
		     RJ_LOG_TEXT("why", why),
		     RJ_LOG_AGE_MS("stored_ms",
				   owner->now_us - owner->writer.stored_us));
	owner->active = false;
	owner->taking = false;
	owner->lost = false;
	owner->generation++;
	owner->counters.resigns++;
	rj_cell_writer_close(&owner->writer);
	rj_cell_writer_close(&owner->progress);
	rj_cell_view_drop_progress(owner->view);
	g_ptr_array_set_size(owner->ended, 0);
	RJ_FOR_EACH (at, next, &owner->works) {
		struct rj_cell_work *work =
			RJ_CONTAINER(at, struct rj_cell_work, link);

		((struct rj_cell_entry *)work->entry)->work = NULL;
		talloc_free(work);
	}
	rj_cell_fleet_finish(&owner->fleet);
}

/*
 * End: own nothing any more, and free what the owner holds.
 */
void rj_cell_owner_finish(struct rj_cell_owner *owner)
{
	rj_cell_owner_resign(owner, "finish");
	rj_cell_forecast_finish(&owner->forecast);
	g_ptr_array_free(owner->ended, TRUE);
}

/*
 * Give the cell away in the log, behind all that is to be stored. Whoever
 * reads it may take over at once; until then this owner goes on.
 */
void rj_cell_owner_leave(struct rj_cell_owner *owner, uint64_t now_us)
{
	if (!owner->active && !owner->taking)
		return;
	owner->now_us = now_us;
	owner->leaving = true;
}

/* How long a plan has taken, by what it weighed. */
static uint64_t plan_took_us(const struct rj_cell_owner *owner,
			     const struct rj_cell_plan *plan)
{
	uint64_t strength = owner->strength ? owner->strength : 100;

	return plan->effort * EFFORT_NS * 100 / strength / 1000;
}

/* Keep what a plan leaves waiting for the metrics, and log it now and then. */
static void note_backlog(struct rj_cell_owner *owner,
			 const struct rj_cell_plan *plan)
{
	rj_cell_backlog_sum(plan, &owner->backlog);
	if (!plan->waiting || owner->now_us < owner->backlog_due_us)
		return;
	owner->backlog_due_us = owner->now_us + BACKLOG_NOTE_US;
	rj_cell_backlog_note(&owner->backlog);
}

/* Plan, and note what was decided. */
static void plan_work(struct rj_cell_owner *owner)
{
	struct rj_cell_plan plan;

	rj_cell_plan_init(&plan);
	plan.fleet = &owner->fleet;
	plan.works = &owner->works;
	plan.config = owner->config;
	plan.forecast = &owner->forecast;
	plan.failures = owner->failures;
	plan.reclaim_ms = owner->terms.reclaim_ms;
	plan.now_us = owner->now_us;
	rj_cell_plan_make(&plan);
	owner->counters.plans++;
	owner->counters.plan_effort_max =
		MAX(owner->counters.plan_effort_max, plan.effort);
	note_backlog(owner, &plan);
	rj_cell_starts_begin(owner, &plan);
	for (guint i = 0; i < plan.stops->len; i++)
		rj_cell_ends_stop_run(owner, plan.stops->pdata[i],
				      RJ_CELL_WHY_RECLAIMED);
	owner->plan_wanted = false;
	rj_cell_advice_ask(owner, &plan);
	owner->plan_due_us = MIN(plan.next_us, owner->now_us + PLAN_IDLE_US);
	owner->plan_from_us =
		owner->now_us +
		MAX(PLAN_PAUSE_US,
		    (1 + PLAN_PAUSE_FACTOR) * plan_took_us(owner, &plan));
	rj_cell_plan_finish(&plan);
}

/* Begin what has come due of jobs with times. */
static void begin_rounds(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	if (owner->now_us < owner->rounds_due_us)
		return;
	owner->rounds_due_us = owner->now_us + ROUNDS_CHECK_US;
	RJ_FOR_EACH (at, next, &owner->works) {
		struct rj_cell_work *work =
			RJ_CONTAINER(at, struct rj_cell_work, link);

		if (work->def->repeats && work->state < RJ_CELL_JOB_COMPLETED)
			rj_cell_ends_begin_rounds(owner, work);
	}
}

/* Whether knowledge that is complete up to `read_us` is fresh enough to keep
 * a bound of `bound_ms`. */
static bool is_fresh(const struct rj_cell_owner *owner, uint64_t read_us,
		     uint32_t bound_ms)
{
	return !bound_ms ||
	       owner->now_us <= read_us + bound_ms * RJ_US_PER_MS *
						  PUBLISHED_AGE_PERCENT / 100;
}

/*
 * Whether new work may start.
 *
 * Guards against starting what was cancelled long ago, or where nothing may
 * start any more: an owner that was cut off from the log, asleep or overloaded
 * can write it again before it has read what it missed.
 */
bool rj_cell_owner_may_start(const struct rj_cell_owner *owner)
{
	return owner->now_us <= owner->read_us + READ_AGE_MAX_US &&
	       is_fresh(owner, owner->workers_read_us, owner->terms.drain_ms) &&
	       is_fresh(owner, owner->operators_read_us,
			owner->terms.cordon_ms);
}

/* Decide what is due. */
static void decide(struct rj_cell_owner *owner)
{
	begin_rounds(owner);
	if ((owner->plan_wanted || owner->now_us >= owner->plan_due_us) &&
	    !owner->writes_open && rj_cell_owner_may_start(owner) &&
	    owner->now_us >= owner->plan_from_us)
		plan_work(owner);
	rj_cell_flush_old(owner);
}

/*
 * Do all that is due: orders, plans, stores. To be called after each event
 * and every few milliseconds.
 */
void rj_cell_owner_advance(struct rj_cell_owner *owner, uint64_t now_us,
			   uint64_t wall_ms)
{
	if ((!owner->active && !owner->taking) || owner->lost)
		return;
	owner->now_us = now_us;
	owner->wall_ms = wall_ms;
	if (rj_cell_fleet_apply_cordons(&owner->fleet))
		owner->plan_wanted = true;
	if (owner->active)
		decide(owner);
	rj_cell_flush(owner);
	if (owner->active)
		rj_cell_orders_tick(owner);
	rj_cell_writer_tick(&owner->progress, now_us);
	rj_cell_writer_tick(&owner->writer, now_us);
}
