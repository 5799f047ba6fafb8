#include "private/cell_owner.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_flush.h"
#include "private/cell_incarnation.h"
#include "private/cell_plan.h"
#include "private/cell_returns.h"
#include "private/cell_starts.h"
#include "private/cell_admission_forecast.h"
#include "private/log_event.h"

/* Minimum time between plans, so that one plan handles runs that complete
 * together. */
#define PLAN_INTERVAL_MIN_US (8 * RJ_US_PER_MS)
/* The pause after a plan is at least this many times its estimated duration,
 * which leaves most of the time for polls, orders and heartbeats. */
#define PLAN_IDLE_FACTOR 2
/* Tasks that one plan starts. What is planned later may be more urgent, so it
 * must not wait for more than the orders of one plan; a few windows of them keep
 * orders in flight while the next intents are being stored. */
#define PLAN_STARTS_MAX (4 * RJ_CELL_ORDER_WINDOW)
/* Time to evaluate one worker in a plan, on a whole core. */
#define EFFORT_UNIT_NS 20
/* Maximum time between plans: without other events, waiting time alone changes
 * which placements are allowed. */
#define PLAN_INTERVAL_MAX_US (200 * RJ_US_PER_MS)
/* Nothing starts while the last complete read of the log of jobs is older than
 * this. The owner's own heartbeats make its reads return every 0.4 s. */
#define REQUESTS_READ_AGE_MAX_US (1500 * RJ_US_PER_MS)
/* Nothing starts either while the last complete read of the log of workers is
 * older than this share of drain_ms, or that of the log of operators older than
 * this share of cordon_ms. The rest of the limit is left for sending the
 * order. */
#define READ_AGE_PERCENT 80
/* Minimum time between log events about the backlog. */
#define BACKLOG_LOG_INTERVAL_US RJ_US_PER_S
/* Interval between checks for due occurrences of repeated jobs, and so the
 * maximum delay with which an occurrence begins. */
#define OCCURRENCE_CHECK_INTERVAL_US (40 * RJ_US_PER_MS)

/*
 * Initializes an owner that owns nothing yet. `name` and `limits` are copied;
 * `view`, `store` and `workers` must outlive the owner.
 */
void rj_cell_owner_init(struct rj_cell_owner *owner, void *mem,
			const char *name, uint64_t incarnation,
			struct rj_cell_view *view, struct rj_cell_store *store,
			struct rj_cell_workers *workers,
			const struct rj_cell_limits *limits)
{
	memset(owner, 0, sizeof(*owner));
	owner->mem = mem;
	g_strlcpy(owner->name, name, sizeof(owner->name));
	owner->incarnation = incarnation;
	owner->view = view;
	owner->store = store;
	owner->workers = workers;
	owner->limits = *limits;
	rj_list_init(&owner->jobs);
	rj_list_init(&owner->dirty_jobs);
	rj_list_init(&owner->unstorable_jobs);
	rj_cell_forecast_init(&owner->forecast);
	rj_cell_handover_init(&owner->handover, owner);
	rj_cell_lease_bounds_init(&owner->leases);
	owner->leases.lease_ms =
		rj_cell_lease_duration_ms(limits->lease_max_ms);
	owner->leases.grants_us =
		rj_cell_lease_grants_us(owner->leases.lease_ms);
	owner->leases.lease_us =
		rj_cell_lease_max_us(owner->leases.lease_ms * RJ_US_PER_MS);
	rj_cell_return_order_init(&owner->return_order);
	rj_cell_guarantees_init(&owner->guarantees, limits->reclaim_ms,
				limits->stop_ms);
	owner->ended_jobs = g_ptr_array_new_with_free_func(g_free);
	rj_cell_writer_init(&owner->writer, mem, store, RJ_CELL_TOPIC_JOBS,
			    "owner");
	rj_cell_writer_init(&owner->progress_writer, mem, store,
			    RJ_CELL_TOPIC_PROGRESS, "owner");
	rj_cell_writer_set_limits(&owner->writer, limits->record_max_bytes,
				  limits->append_max_bytes);
	rj_cell_writer_set_limits(&owner->progress_writer,
				  limits->record_max_bytes,
				  limits->append_max_bytes);
}

/*
 * Whether a worker may be granted a lease. A successor knows from the log until
 * when that was allowed.
 */
bool rj_cell_owner_may_grant(struct rj_cell_owner *owner,
			     const struct rj_cell_worker *worker)
{
	if (owner->now_us > owner->writer.stored_us + owner->leases.grants_us)
		return false;
	if (owner->released_us &&
	    owner->now_us > owner->released_us + RJ_CELL_RELEASED_GRANTS_US)
		return false;
	return rj_cell_lease_bounds_allow(&owner->leases, worker,
					  owner->now_us);
}

/*
 * Queues a job whose progress has changed for the next flush, and requests a
 * plan.
 */
void rj_cell_owner_mark_dirty(struct rj_cell_owner *owner,
			      struct rj_cell_job *job)
{
	if (!job->dirty)
		rj_list_append(&owner->dirty_jobs, &job->in_dirty);
	job->dirty = true;
	owner->plan_wanted = true;
}

/*
 * Finds a task by the name under which workers list it. Returns NULL if its job
 * is not active. `entry` may be NULL; otherwise it receives the entry of the
 * job, or NULL if the job is unknown.
 */
struct rj_cell_task *rj_cell_owner_find_task(struct rj_cell_owner *owner,
					     const char *name,
					     struct rj_cell_view_entry **entry)
{
	struct rj_cell_view_entry *found;
	char id[RJ_CELL_ID_BYTES];
	unsigned int occurrence;
	unsigned int step;
	unsigned int index;

	if (sscanf(name, "%16[0-9a-fA-F].%u.%u.%u", id, &occurrence, &step,
		   &index) != 4)
		return NULL;
	found = rj_cell_view_find(owner->view, id);
	if (entry)
		*entry = found;
	if (!found || !found->job)
		return NULL;
	return rj_cell_job_find_task(found->job, occurrence, step, index);
}

/* Computes the times by which a job should end and after which it is of no use,
 * by this node's clock. */
static void set_objective_times(struct rj_cell_owner *owner,
				struct rj_cell_job *job)
{
	const struct rj_cell_job_spec *spec = job->job_spec;
	uint64_t age_ms = owner->wall_ms > spec->accepted_ms ?
				  owner->wall_ms - spec->accepted_ms :
				  0;
	uint64_t chain_ms =
		rj_cell_forecast_critical_path_ms(&owner->forecast, spec);
	uint64_t objective_us =
		(chain_ms * spec->stretch_milli / 1000 + spec->latency_ms) *
		RJ_US_PER_MS;

	job->accepted_us = owner->now_us > age_ms * RJ_US_PER_MS ?
				   owner->now_us - age_ms * RJ_US_PER_MS :
				   0;
	job->objective_us = job->accepted_us + objective_us;
	job->late_us = job->accepted_us + RJ_CELL_LATE_FACTOR * objective_us;
}

/* Creates the state of a job that has not ended, from its stored progress. */
static void adopt_job(struct rj_cell_owner *owner,
		      struct rj_cell_view_entry *entry)
{
	struct rj_cell_job *job = rj_cell_job_new(owner->mem, entry->job_spec);
	struct rj_error err;

	job->entry = entry;
	entry->job = job;
	rj_list_append(&owner->jobs, &job->link);
	set_objective_times(owner, job);
	if (entry->progress.length &&
	    rj_cell_progress_decode(entry->progress, job, &owner->fleet,
				    owner->now_us, &err))
		rj_log_event("record_bad", RJ_LOG_TEXT("job", entry->id),
			     RJ_LOG_TEXT("error", err.message));
	/* The job's end may not have been published before the former owner
	 * stopped, and the previous version stored the progress in another
	 * log. */
	if (entry->progress.length && !entry->in_progress_log)
		rj_cell_owner_mark_dirty(owner, job);
	entry->in_progress_log = true;
	if (job->state >= RJ_CELL_JOB_COMPLETED)
		rj_cell_owner_mark_dirty(owner, job);
	else
		rj_cell_completions_begin_occurrences(owner, job);
}

/* Logs a job that this owner takes on, with the figures that decide the
 * placement of its first step. */
static void log_job_taken(const struct rj_cell_view_entry *entry)
{
	const struct rj_cell_job_spec *spec = entry->job_spec;
	const struct rj_cell_step *step = &spec->steps[0];

	rj_log_event("job_taken", RJ_LOG_TEXT("job", entry->id),
		     RJ_LOG_TEXT("account", spec->account),
		     RJ_LOG_TEXT("queue", spec->queue),
		     RJ_LOG_NUMBER("priority", spec->priority),
		     RJ_LOG_NUMBER("steps", spec->step_count),
		     RJ_LOG_NUMBER("tasks", spec->task_count),
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
		     RJ_LOG_NUMBER("repeats", spec->repeats));
}

/*
 * Applies a new job definition or a request to cancel the job.
 */
void rj_cell_owner_update_job(struct rj_cell_owner *owner,
			      struct rj_cell_view_entry *entry)
{
	if (!owner->active || !entry->job_spec ||
	    entry->summary.state >= RJ_CELL_JOB_COMPLETED)
		return;
	if (!entry->job) {
		adopt_job(owner, entry);
		if (!entry->job_spec->priority)
			rj_cell_forecast_record_urgent(&owner->forecast,
						       entry->job_spec,
						       owner->now_us);
		rj_cell_admission_forecast_observe_job(owner, entry->job);
		log_job_taken(entry);
		rj_cell_returns_accepted(owner, entry->job_spec);
	}
	if (entry->cancelled && !entry->job->cancelled) {
		entry->job->cancelled = true;
		rj_cell_completions_close_job(owner, entry->job,
					      RJ_CELL_JOB_CANCELLED);
	}
	owner->plan_wanted = true;
}

/*
 * Whether a worker whose entry was removed has deregistered: it was draining,
 * and the entry was removed before it could have expired.
 */
static bool has_deregistered(const struct rj_cell_owner *owner,
			     const struct rj_cell_worker *worker)
{
	return worker->heartbeat.draining && worker->written_us &&
	       owner->now_us <
		       worker->written_us +
			       owner->limits.entry_expiry_ms * RJ_US_PER_MS;
}

/* Handles the removal of a worker's entry. */
static void delist_worker(struct rj_cell_owner *owner,
			  struct rj_cell_worker *worker)
{
	worker->listed = false;
	worker->unlisted_us = owner->now_us;
	if (has_deregistered(owner, worker)) {
		worker->deregistered_us = owner->now_us;
		worker->poll_due_us = owner->now_us;
	}
	rj_log_event("worker_unlisted", RJ_LOG_TEXT("worker", worker->id),
		     RJ_LOG_NUMBER("holds", worker->allocated.memory_mb),
		     RJ_LOG_NUMBER("left", worker->deregistered_us != 0));
	owner->plan_wanted = true;
}

/*
 * Applies a change of a worker's entry, which was written after `written_us`
 * (0: unknown). A NULL heartbeat means that the entry was removed.
 */
void rj_cell_owner_update_worker(struct rj_cell_owner *owner, const char *id,
				 const struct rj_cell_heartbeat *heartbeat,
				 uint64_t written_us)
{
	struct rj_cell_worker *worker = rj_cell_fleet_find(&owner->fleet, id);
	bool was_draining;

	if (!heartbeat) {
		if (worker && worker->listed)
			delist_worker(owner, worker);
		return;
	}
	worker = rj_cell_fleet_obtain(&owner->fleet, id);
	was_draining = worker->heartbeat.draining;
	if (worker->incarnation && heartbeat->incarnation &&
	    worker->incarnation != heartbeat->incarnation)
		rj_cell_incarnation_changed(owner, worker);
	rj_cell_worker_apply_heartbeat(worker, heartbeat);
	rj_cell_handover_worker_listed(&owner->handover, worker);
	worker->written_us = written_us;
	worker->departure_us = 0;
	worker->cold_until_us =
		owner->now_us + heartbeat->cold_left_ms * RJ_US_PER_MS;
	if (heartbeat->draining && heartbeat->drain_left_ms)
		worker->departure_us =
			(written_us ? written_us : owner->now_us) +
			heartbeat->drain_left_ms * RJ_US_PER_MS;
	worker->deregistered_us = 0;
	rj_cell_polls_accept_heartbeat(owner, worker);
	if (heartbeat->draining && !was_draining)
		rj_cell_lease_bounds_leaving(&owner->leases, worker);
	if (!worker->listed || was_draining != heartbeat->draining) {
		rj_log_event("worker_listed", RJ_LOG_TEXT("worker", id),
			     RJ_LOG_TEXT("domain", heartbeat->domain),
			     RJ_LOG_TEXT("rack", heartbeat->rack),
			     RJ_LOG_NUMBER("draining", heartbeat->draining));
		/* While all entries are being loaded,
		 * rj_cell_polls_fleet_loaded schedules the first polls. */
		if (written_us)
			rj_cell_polls_worker_listed(owner, worker);
		owner->plan_wanted = true;
	}
	worker->listed = true;
}

/*
 * Applies a heartbeat that has the same content as the worker's last entry, in
 * place of rj_cell_owner_update_worker; see rj_cell_worker_entry_is_comparable.
 */
void rj_cell_owner_refresh_worker(struct rj_cell_owner *owner,
				  struct rj_cell_worker *worker,
				  uint64_t clock_ms, uint64_t written_us)
{
	worker->heartbeat.clock_ms = clock_ms;
	worker->written_us = written_us;
	worker->cold_until_us = owner->now_us;
	rj_cell_polls_accept_heartbeat(owner, worker);
}

/* Limits how long the tasks of a job wait for completions that former owners
 * did not see. */
static void bound_unreported_ends(const struct rj_cell_job *job,
				  uint64_t until_us)
{
	const struct rj_list *at;

	for (at = job->occurrences.next; at != &job->occurrences;
	     at = at->next) {
		struct rj_cell_occurrence *occurrence =
			RJ_CONTAINER(at, struct rj_cell_occurrence, link);

		for (uint32_t i = 0; i < job->job_spec->task_count; i++)
			occurrence->tasks[i].unreported_until_us =
				MIN(occurrence->tasks[i].unreported_until_us,
				    until_us);
	}
}

/* Limits how long runs of former owners may go on at workers that do not
 * answer, and how long their unreported completions are waited for. */
static void bound_former_leases(struct rj_cell_owner *owner,
				const struct rj_cell_lease_record *former,
				uint64_t leases_until_us)
{
	uint64_t lease_ms = former->lease_ms ? former->lease_ms :
					       owner->limits.lease_max_ms;
	uint64_t lease_us = rj_cell_lease_max_us(lease_ms * RJ_US_PER_MS);
	uint64_t allowed_us =
		rj_cell_lease_max_us(owner->limits.lease_max_ms * RJ_US_PER_MS);
	/* An owner before the former one may have granted longer leases until
	 * that met the worker. */
	uint64_t until_us =
		MAX(leases_until_us + lease_us, owner->now_us + allowed_us);
	struct rj_list *at;
	struct rj_list *next;

	rj_cell_lease_bounds_begin(&owner->leases, &owner->fleet, former,
				   owner->term_clock, until_us, owner->now_us);
	RJ_FOR_EACH (at, next, &owner->jobs)
		bound_unreported_ends(
			RJ_CONTAINER(at, struct rj_cell_job, link),
			owner->leases.unreported_us);
}

/* Returns `time_us` - `now_us`, or 0 if the time has passed. */
static uint64_t time_left_us(uint64_t time_us, uint64_t now_us)
{
	return time_us > now_us ? time_us - now_us : 0;
}

/*
 * Begins to take the cell over under `token`, writing under `epoch`. The owner
 * writes heartbeats to the log, and decides nothing until
 * rj_cell_owner_complete_takeover. In the log of jobs the ownership record has
 * sequence number 0; in the log of progress, the fence record that the takeover
 * appends through the progress writer.
 */
void rj_cell_owner_begin_takeover(struct rj_cell_owner *owner, uint64_t token,
				  uint64_t epoch, uint64_t now_us,
				  uint64_t wall_ms)
{
	assert(!owner->active && !owner->taking_over);
	assert(owner->dirty_jobs.next == &owner->dirty_jobs);
	owner->taking_over = true;
	owner->fenced = false;
	owner->release_pending = false;
	owner->released_us = 0;
	owner->activity.advanced_us = 0;
	owner->orders_wait = false;
	rj_cell_call_window_init(&owner->order_window, RJ_CELL_ORDER_WINDOW);
	rj_cell_call_window_init(&owner->poll_window, RJ_CELL_POLL_WINDOW);
	owner->generation++;
	owner->token = token;
	owner->now_us = now_us;
	owner->wall_ms = wall_ms;
	owner->writes_pending = 0;
	owner->heartbeat_due_us = now_us;
	memset(&owner->account_shares, 0, sizeof(owner->account_shares));
	rj_cell_fleet_init(&owner->fleet, owner->mem, owner->cordons);
	rj_cell_handover_begin(&owner->handover);
	rj_cell_returns_begin(owner);
	rj_cell_writer_open(&owner->writer, epoch, 1, now_us);
	rj_cell_writer_open(&owner->progress_writer, epoch, 0, now_us);
}

/*
 * Completes the takeover: adopts every job that has not ended and all runs that
 * may exist. The view must be complete up to the ownership record, and hold the
 * progress of all jobs; `former` is the newest record of lease bounds, whose
 * owner grants no lease after `leases_until_us`.
 */
void rj_cell_owner_complete_takeover(struct rj_cell_owner *owner,
				     const struct rj_cell_lease_record *former,
				     uint64_t leases_until_us, uint64_t now_us,
				     uint64_t wall_ms)
{
	struct rj_list *at;
	struct rj_list *next;
	uint32_t jobs = 0;

	assert(owner->taking_over);
	owner->taking_over = false;
	owner->active = true;
	owner->former_token = former->token;
	owner->requests_read_us = now_us;
	owner->now_us = now_us;
	owner->wall_ms = wall_ms;
	owner->advice_pending = false;
	rj_cell_service_rate_init(&owner->service_rate);
	rj_cell_polls_reset_limits(owner);
	owner->counters.takeovers++;
	rj_cell_handover_complete_queues(&owner->handover);
	RJ_FOR_EACH (at, next, &owner->view->entries) {
		struct rj_cell_view_entry *entry =
			RJ_CONTAINER(at, struct rj_cell_view_entry, link);

		if (entry->job_spec &&
		    entry->summary.state < RJ_CELL_JOB_COMPLETED)
			jobs++;
		rj_cell_owner_update_job(owner, entry);
	}
	rj_cell_view_drop_progress(owner->view);
	rj_cell_handover_complete(&owner->handover);
	bound_former_leases(owner, former, leases_until_us);
	rj_cell_ended_runs_apply_early(owner);
	rj_log_event("own", RJ_LOG_NUMBER("token", owner->token),
		     RJ_LOG_NUMBER("former_token", former->token),
		     RJ_LOG_NUMBER("bounds",
				   former->known ?
					   g_hash_table_size(former->workers) :
					   0),
		     RJ_LOG_AGE_MS("leases_ms",
				   time_left_us(leases_until_us, now_us)),
		     RJ_LOG_NUMBER("jobs", jobs),
		     RJ_LOG_NUMBER("workers", owner->fleet.count));
}

/*
 * Gives up ownership. Existing runs go on under their leases until a successor
 * adopts them. Clients were told only of stored changes, so the view stays
 * valid. No effect on an owner that is neither active nor taking over.
 */
void rj_cell_owner_resign(struct rj_cell_owner *owner, const char *reason)
{
	struct rj_list *at;
	struct rj_list *next;

	if (!owner->active && !owner->taking_over)
		return;
	rj_log_event("resign", RJ_LOG_NUMBER("token", owner->token),
		     RJ_LOG_TEXT("why", reason),
		     RJ_LOG_AGE_MS("stored_ms",
				   owner->now_us - owner->writer.stored_us));
	rj_cell_ended_runs_publish(&owner->ended_runs, owner->requests_writer,
				   owner->name, owner->token, owner->now_us);
	owner->active = false;
	owner->taking_over = false;
	owner->fenced = false;
	owner->generation++;
	owner->counters.resignations++;
	rj_cell_writer_close(&owner->writer);
	rj_cell_writer_close(&owner->progress_writer);
	rj_cell_view_drop_progress(owner->view);
	g_ptr_array_set_size(owner->ended_jobs, 0);
	RJ_FOR_EACH (at, next, &owner->jobs) {
		struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);

		((struct rj_cell_view_entry *)job->entry)->job = NULL;
		/* Also removes the job from the list, and frees its runs. */
		talloc_free(job);
	}
	rj_cell_view_drop_specs(owner->view);
	rj_cell_fleet_finish(&owner->fleet);
}

/*
 * Resigns and frees everything that the owner allocated.
 */
void rj_cell_owner_finish(struct rj_cell_owner *owner)
{
	rj_cell_ended_runs_finish(&owner->ended_runs);
	rj_cell_owner_resign(owner, "finish");
	rj_cell_forecast_finish(&owner->forecast);
	rj_cell_handover_finish(&owner->handover);
	rj_cell_lease_bounds_finish(&owner->leases);
	rj_cell_return_order_finish(&owner->return_order);
	rj_cell_guarantees_finish(&owner->guarantees);
	g_ptr_array_free(owner->ended_jobs, TRUE);
}

/*
 * Requests a record in the log that releases the cell, to be written after all
 * pending changes. An instance that reads it may take over at once; until then
 * this owner stays active.
 */
void rj_cell_owner_release(struct rj_cell_owner *owner, uint64_t now_us)
{
	if (!owner->active && !owner->taking_over)
		return;
	owner->now_us = now_us;
	owner->release_pending = true;
}

/* Estimates the duration of a plan from its effort. An instance of unknown
 * strength counts as a whole core. */
static uint64_t plan_duration_us(const struct rj_cell_owner *owner,
				 const struct rj_cell_plan *plan)
{
	uint64_t strength = owner->strength ? owner->strength : 100;

	return plan->effort * EFFORT_UNIT_NS * 100 / strength / 1000;
}

/* Keeps the backlog after a plan for the metrics, and logs it at intervals. */
static void record_backlog(struct rj_cell_owner *owner,
			   const struct rj_cell_plan *plan)
{
	rj_cell_backlog_sum(plan, &owner->backlog);
	rj_cell_admission_forecast_observe_plan(owner, plan);
	if (!plan->waiting_tasks || owner->now_us < owner->backlog_log_due_us)
		return;
	owner->backlog_log_due_us = owner->now_us + BACKLOG_LOG_INTERVAL_US;
	rj_cell_backlog_log(&owner->backlog);
}

/* Keeps the capacity that a plan has summed up for the shares of accounts, and
 * logs which accounts went over or came within theirs. */
static void record_account_shares(struct rj_cell_owner *owner,
				  const struct rj_cell_plan *plan)
{
	const struct rj_cell_allocation capacity = {
		plan->usage.cpu.total, plan->usage.memory.total,
		plan->usage.accelerators.total
	};

	if (!plan->account_shares)
		return;
	rj_cell_account_shares_set_capacity(&owner->account_shares, &capacity);
	rj_cell_account_shares_log(&owner->account_shares, owner->now_us);
}

/* Makes a plan and carries out its starts and stops. */
static void make_plan(struct rj_cell_owner *owner)
{
	struct rj_cell_plan plan;

	rj_cell_plan_init(&plan);
	plan.fleet = &owner->fleet;
	plan.jobs = &owner->jobs;
	plan.config = owner->config;
	plan.forecast = &owner->forecast;
	plan.failures = owner->failure_burst;
	plan.stop_ms = owner->limits.stop_ms;
	plan.features = owner->limits.features;
	plan.guarantees = &owner->guarantees;
	if (plan.features.account_shares)
		plan.account_shares = &owner->account_shares;
	plan.now_us = owner->now_us;
	plan.starts_max = PLAN_STARTS_MAX;
	rj_cell_plan_make(&plan);
	owner->counters.plans++;
	owner->counters.plan_effort_max =
		MAX(owner->counters.plan_effort_max, plan.effort);
	record_backlog(owner, &plan);
	record_account_shares(owner, &plan);
	rj_cell_starts_begin(owner, &plan);
	for (guint i = 0; i < plan.stops->len; i++) {
		struct rj_cell_run *run = plan.stops->pdata[i];

		rj_cell_completions_stop_run(owner, run, run->reason);
	}
	owner->plan_wanted = plan.truncated;
	rj_cell_advice_ask(owner, &plan);
	owner->plan_due_us =
		MIN(plan.next_retry_us, owner->now_us + PLAN_INTERVAL_MAX_US);
	owner->plan_not_before_us =
		owner->now_us +
		MAX(PLAN_INTERVAL_MIN_US,
		    (1 + PLAN_IDLE_FACTOR) * plan_duration_us(owner, &plan));
	rj_cell_plan_finish(&plan);
}

/* Begins the due occurrences of repeated jobs. */
static void begin_due_occurrences(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	if (owner->now_us < owner->occurrence_check_due_us)
		return;
	owner->occurrence_check_due_us =
		owner->now_us + OCCURRENCE_CHECK_INTERVAL_US;
	RJ_FOR_EACH (at, next, &owner->jobs) {
		struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);

		if (job->job_spec->repeats &&
		    job->state < RJ_CELL_JOB_COMPLETED)
			rj_cell_completions_begin_occurrences(owner, job);
	}
}

/* Whether information read completely up to `read_us` is recent enough to meet
 * a limit of `bound_ms` (0: none). */
static bool is_fresh(const struct rj_cell_owner *owner, uint64_t read_us,
		     uint32_t bound_ms)
{
	return !bound_ms ||
	       owner->now_us <= read_us + bound_ms * RJ_US_PER_MS *
						  READ_AGE_PERCENT / 100;
}

/*
 * Whether new work may start.
 *
 * An owner that was cut off from the log, suspended or overloaded can write to
 * the log again before it has read what it missed. Without this check it would
 * start jobs that were cancelled long ago, or start runs on workers that are
 * draining or cordoned.
 */
bool rj_cell_owner_may_start(const struct rj_cell_owner *owner)
{
	return owner->now_us <=
		       owner->requests_read_us + REQUESTS_READ_AGE_MAX_US &&
	       is_fresh(owner, owner->workers_read_us,
			owner->limits.drain_ms) &&
	       is_fresh(owner, owner->operators_read_us,
			owner->limits.cordon_ms);
}

/*
 * Returns what prevents a plan now. What a plan starts would be sent after the
 * orders that wait already, and before more urgent work that arrives meanwhile.
 */
static enum rj_cell_plan_block plan_block(const struct rj_cell_owner *owner)
{
	if (owner->writes_pending)
		return RJ_CELL_PLAN_BLOCK_APPEND;
	if (!rj_cell_owner_may_start(owner))
		return RJ_CELL_PLAN_BLOCK_LOG_AGE;
	if (owner->now_us < owner->plan_not_before_us)
		return RJ_CELL_PLAN_BLOCK_PAUSE;
	if (owner->orders_wait)
		return RJ_CELL_PLAN_BLOCK_WINDOW;
	return RJ_CELL_PLAN_ALLOWED;
}

/* Makes a plan, unless something prevents it. */
static void try_plan(struct rj_cell_owner *owner)
{
	enum rj_cell_plan_block block = plan_block(owner);

	owner->counters.plan_blocks[block]++;
	if (block == RJ_CELL_PLAN_ALLOWED)
		make_plan(owner);
}

/* Begins due occurrences, makes a plan if one is due and new work may start,
 * and removes the keys of expired jobs. */
static void begin_and_plan(struct rj_cell_owner *owner)
{
	begin_due_occurrences(owner);
	if (owner->plan_wanted || owner->now_us >= owner->plan_due_us)
		try_plan(owner);
	rj_cell_flush_expired(owner);
}

/*
 * Does everything that is due: plans, writes, orders. Call it after each event
 * and every few milliseconds.
 */
void rj_cell_owner_advance(struct rj_cell_owner *owner, uint64_t now_us,
			   uint64_t wall_ms)
{
	if ((!owner->active && !owner->taking_over) || owner->fenced)
		return;
	owner->now_us = now_us;
	owner->wall_ms = wall_ms;
	if (rj_cell_fleet_apply_cordons(&owner->fleet))
		owner->plan_wanted = true;
	if (owner->active) {
		rj_cell_activity_advanced(owner);
		begin_and_plan(owner);
	}
	rj_cell_flush(owner);
	if (owner->active)
		rj_cell_orders_tick(owner);
	rj_cell_writer_tick(&owner->progress_writer, now_us);
	rj_cell_writer_tick(&owner->writer, now_us);
}
