/*
 * The workers as targets of calls: which are known, owned, leaving, unreachable
 * or quarantined, and their free capacity.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/capacity.h"
#include "private/core_state.h"

/* Used until a configuration is in force. */
#define DEFAULT_LEASE_DURATION_US (5 * RJ_US_PER_S)
/* An unchanged report has about 600 bytes; the period limits them to 3 KB per
 * second for any number of owned workers, if leases last long enough. */
#define POLL_INTERVAL_MIN_US (500 * RJ_US_PER_MS)
#define POLL_INTERVAL_PER_WORKER_US (250 * RJ_US_PER_MS)
/* A full report in between shows what a lost call has left on the worker. */
#define UNCHANGED_REPORTS_MAX 16
#define POLL_TIMEOUT_US (2 * RJ_US_PER_S)
/* One lost report may be due to the link; two are attributed to the worker. */
#define POLLS_LOST_UNREACHABLE 2
/* Failures of this many different jobs in a row are attributed to the
 * worker. */
#define QUARANTINE_FAILURES 3
/* Resent with each heartbeat for this time, since peers have to know within 5 s
 * that a worker is leaving. */
#define LEAVING_REPEAT_US (4 * RJ_US_PER_S)
#define QUARANTINE_FIRST_US (10 * RJ_US_PER_S)
#define QUARANTINE_MAX_US (300 * RJ_US_PER_S)

static void poll_due(struct rj_core_state *core, struct rj_timer *timer);
static void probe_due(struct rj_core_state *core, struct rj_timer *timer);

/*
 * Initialises an empty table of workers.
 */
void rj_upstreams_init(struct rj_core_state *core)
{
	struct rj_upstreams *upstreams = &core->upstreams;

	rj_list_init(&upstreams->list);
	rj_list_init(&upstreams->racks);
	upstreams->by_name = g_hash_table_new(g_str_hash, g_str_equal);
}

/*
 * Returns the worker with this name, or NULL.
 */
struct rj_upstream *rj_upstreams_find(const struct rj_core_state *core,
				      const char *name)
{
	return g_hash_table_lookup(core->upstreams.by_name, name);
}

/*
 * Whether new tasks may be placed on the worker.
 */
bool rj_upstreams_usable(const struct rj_upstream *upstream)
{
	return upstream->known && !upstream->leaving &&
	       upstream->health == RJ_UPSTREAM_HEALTHY;
}

/* Passes the state of a worker of this failure domain to the planner. */
static void update_planner(struct rj_core_state *core,
			   const struct rj_upstream *upstream)
{
	struct rj_plan_worker worker;

	if (strcmp(upstream->domain, core->domain))
		return;
	memset(&worker, 0, sizeof(worker));
	worker.id = upstream->index;
	g_strlcpy(worker.name, upstream->name, sizeof(worker.name));
	worker.rack = upstream->rack;
	worker.capacity = upstream->capacity;
	worker.foreign = upstream->foreign;
	worker.usable = rj_upstreams_usable(upstream);
	worker.owned = upstream->owned;
	worker.limited = !upstream->owned;
	worker.offered = upstream->offered;
	core->planner->ops->worker(core->planner, &worker, core->now_us);
	core->jobs.plan_wanted = true;
}

static struct rj_upstream *upstream_new(struct rj_core_state *core,
					const struct rj_instance *instance)
{
	struct rj_upstreams *upstreams = &core->upstreams;
	struct rj_upstream *upstream;

	upstream = talloc_zero(core, struct rj_upstream);
	assert(upstream);
	upstream->core = core;
	upstream->index = upstreams->count++;
	g_strlcpy(upstream->name, instance->name, sizeof(upstream->name));
	upstream->quarantine_us = QUARANTINE_FIRST_US;
	rj_list_init(&upstream->members);
	rj_list_init(&upstream->foreign_tasks);
	rj_timer_init(&upstream->poll, poll_due);
	rj_timer_init(&upstream->probe, probe_due);
	upstreams->by_index =
		talloc_realloc(core, upstreams->by_index, struct rj_upstream *,
			       upstreams->count);
	assert(upstreams->by_index);
	upstreams->by_index[upstream->index] = upstream;
	rj_list_append(&upstreams->list, &upstream->link);
	g_hash_table_insert(upstreams->by_name, upstream->name, upstream);
	return upstream;
}

/* Whether the worker is polled: it is owned or runs tasks of this instance. */
static bool poll_wanted(const struct rj_upstream *upstream)
{
	return upstream->owned || upstream->own_members;
}

static uint32_t polled_count(const struct rj_core_state *core)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < core->upstreams.count; i++)
		if (poll_wanted(core->upstreams.by_index[i]))
			count++;
	return count;
}

/* The configured duration of a lease, after which the rest of a gang stops when
 * its owner is dead. */
static uint64_t lease_duration_us(const struct rj_core_state *core)
{
	if (!core->config)
		return DEFAULT_LEASE_DURATION_US;
	return core->config->limits.lease_life_ms * RJ_US_PER_MS;
}

/* The interval between two polls of a worker, which renew its leases. A lease
 * outlasts three intervals and one lost call. Within this limit the interval
 * grows with the number of polled workers, so that the total traffic stays
 * constant. */
static uint64_t poll_period_us(const struct rj_core_state *core)
{
	uint64_t max_us = (lease_duration_us(core) - POLL_TIMEOUT_US) / 3;
	uint64_t period_us = polled_count(core) * POLL_INTERVAL_PER_WORKER_US;

	assert(lease_duration_us(core) > POLL_TIMEOUT_US);
	if (period_us < POLL_INTERVAL_MIN_US)
		period_us = POLL_INTERVAL_MIN_US;
	return period_us < max_us ? period_us : max_us;
}

/*
 * Returns the duration of a lease granted or renewed now.
 */
uint64_t rj_upstreams_lease_duration_us(const struct rj_core_state *core)
{
	return lease_duration_us(core);
}

/* Requests a worker's report, which also renews this instance's leases
 * there. */
static void send_poll(struct rj_core_state *core, struct rj_upstream *upstream)
{
	struct rj_action *action;
	struct rj_call *call;

	if (upstream->polling)
		return;
	upstream->polling = true;
	call = talloc_zero(core, struct rj_call);
	assert(call);
	call->call_id = rj_core_next_id(core);
	call->op = RJ_WORKER_REPORT;
	call->upstream = upstream->index;
	call->sent_us = core->now_us;
	g_hash_table_insert(core->jobs.calls, &call->call_id, call);
	action = rj_actions_add(core->actions, RJ_ACTION_WORKER_CALL);
	action->u.worker_call.call_id = call->call_id;
	action->u.worker_call.op = RJ_WORKER_REPORT;
	action->u.worker_call.address = upstream->address;
	g_strlcpy(action->u.worker_call.worker, upstream->name,
		  sizeof(action->u.worker_call.worker));
	action->u.worker_call.timeout_us = POLL_TIMEOUT_US;
	action->u.worker_call.connections_max =
		rj_membership_worker_connections(core);
	action->u.worker_call.holder = core->incarnation;
	action->u.worker_call.life_us = lease_duration_us(core);
	if (upstream->unchanged_reports < UNCHANGED_REPORTS_MAX)
		action->u.worker_call.known_version = upstream->report_version;
}

static void poll_due(struct rj_core_state *core, struct rj_timer *timer)
{
	struct rj_upstream *upstream =
		RJ_CONTAINER(timer, struct rj_upstream, poll);

	if (poll_wanted(upstream))
		send_poll(core, upstream);
}

/*
 * Requests a full report of a worker at once, because what was known of it
 * proved wrong.
 */
void rj_upstreams_poll_now(struct rj_core_state *core,
			   struct rj_upstream *upstream)
{
	upstream->report_version = 0;
	send_poll(core, upstream);
}

static void fill_leaving(const struct rj_upstream *upstream,
			 struct rj_peer_leaving *leaving)
{
	g_strlcpy(leaving->worker, upstream->name, sizeof(leaving->worker));
	leaving->incarnation = upstream->leaving_incarnation;
}

/* Tells the peers of this failure domain that a worker is leaving. */
static void broadcast_leaving(struct rj_core_state *core,
			      const struct rj_upstream *upstream)
{
	struct rj_peer_message message;

	memset(&message, 0, sizeof(message));
	message.kind = RJ_PEER_LEAVING;
	fill_leaving(upstream, &message.u.leaving);
	rj_membership_send_domain(core, &message);
}

/*
 * Sends to one peer, whose link has just come up, which workers are leaving.
 *
 * A peer that cannot read the platform's list, and whose link was down when
 * this was sent first, would keep placing tasks on a leaving worker.
 */
void rj_upstreams_send_leaving(struct rj_core_state *core, const char *peer)
{
	for (uint32_t i = 0; i < core->upstreams.count; i++) {
		const struct rj_upstream *upstream =
			core->upstreams.by_index[i];

		if (upstream->leaving)
			fill_leaving(
				upstream,
				&rj_membership_send(core, peer, RJ_PEER_LEAVING)
					 ->u.leaving);
	}
}

/*
 * Repeats for LEAVING_REPEAT_US which workers are leaving: a message may be
 * lost in a link failure too short to be detected.
 */
void rj_upstreams_resend_leaving(struct rj_core_state *core)
{
	for (uint32_t i = 0; i < core->upstreams.count; i++) {
		const struct rj_upstream *upstream =
			core->upstreams.by_index[i];

		if (upstream->leaving &&
		    core->now_us <
			    upstream->leaving_since_us + LEAVING_REPEAT_US)
			broadcast_leaving(core, upstream);
	}
}

/*
 * Stops new tasks on a worker that is leaving, whichever source reports it
 * first. Only a newer incarnation of the worker accepts tasks again.
 *
 * The platform's list lags and may still show the worker as live. The entry
 * names the incarnation known to be leaving and therefore changes nothing, so
 * that no task is placed on the worker.
 */
void rj_upstreams_mark_leaving(struct rj_core_state *core,
			       struct rj_upstream *upstream,
			       uint64_t incarnation)
{
	if (incarnation < upstream->incarnation ||
	    (upstream->leaving && upstream->leaving_incarnation >= incarnation))
		return;
	upstream->incarnation = incarnation;
	upstream->leaving_incarnation = incarnation;
	upstream->leaving = true;
	upstream->leaving_since_us = core->now_us;
	rj_core_log(core, RJ_LOG_LEAVING, RJ_REASON_DRAINING, NULL,
		    upstream->name);
	update_planner(core, upstream);
	broadcast_leaving(core, upstream);
}

/*
 * Handles a peer's message that a worker is leaving.
 */
void rj_upstreams_receive_leaving(struct rj_core_state *core,
				  const struct rj_peer_leaving *leaving)
{
	struct rj_upstream *upstream = rj_upstreams_find(core, leaving->worker);

	if (upstream)
		rj_upstreams_mark_leaving(core, upstream, leaving->incarnation);
}

/* Resets the state of a worker that reports a newer incarnation; tasks on the
 * older one are lost. */
static void reset_for_incarnation(struct rj_core_state *core,
				  struct rj_upstream *upstream,
				  uint64_t incarnation)
{
	if (incarnation <= upstream->incarnation)
		return;
	if (upstream->incarnation && upstream->own_members)
		rj_jobs_worker_lost(core, upstream);
	upstream->incarnation = incarnation;
	upstream->leaving = false;
	upstream->known = false;
	upstream->report_version = 0;
	upstream->polls_lost = 0;
	upstream->health = RJ_UPSTREAM_HEALTHY;
	upstream->failed_count = 0;
}

static void apply_list_worker(struct rj_core_state *core,
			      const struct rj_instance *instance)
{
	struct rj_upstream *upstream = rj_upstreams_find(core, instance->name);

	if (!upstream)
		upstream = upstream_new(core, instance);
	if (instance->incarnation < upstream->incarnation)
		return;
	reset_for_incarnation(core, upstream, instance->incarnation);
	g_strlcpy(upstream->domain, instance->domain, sizeof(upstream->domain));
	upstream->rack = instance->rack;
	rj_racks_add_worker(core, upstream);
	upstream->address = instance->address;
	if (instance->leaving)
		rj_upstreams_mark_leaving(core, upstream,
					  instance->incarnation);
}

/*
 * Applies the platform's list of workers. A worker that is not listed stays
 * known, since the list lags and the worker's own reports are more recent.
 */
void rj_upstreams_apply_list(struct rj_core_state *core,
			     const struct rj_instance *list, uint32_t count)
{
	uint32_t known = core->upstreams.count;

	for (uint32_t i = 0; i < count; i++)
		if (list[i].role == RJ_ROLE_WORKER)
			apply_list_worker(core, &list[i]);
	rj_racks_update_ownership(core);
	if (core->upstreams.count != known)
		rj_membership_reapply_summaries(core);
}

/*
 * Sets whether this instance owns the worker's rack.
 */
void rj_upstreams_set_owned(struct rj_core_state *core,
			    struct rj_upstream *upstream, bool owned)
{
	if (owned == upstream->owned)
		return;
	upstream->owned = owned;
	/* Only a full report shows the tasks of other instances. */
	upstream->report_version = 0;
	if (owned)
		send_poll(core, upstream);
	else
		rj_foreign_disown(core, upstream);
	/* The new owner will send its offer. */
	memset(&upstream->offered, 0, sizeof(upstream->offered));
	update_planner(core, upstream);
}

/*
 * Handles the owner's offer of free capacity on a worker. While this instance
 * has tasks there, its own polls take precedence.
 */
void rj_upstreams_receive_offer(struct rj_core_state *core,
				struct rj_upstream *upstream,
				const struct rj_resources *available)
{
	if (upstream->owned)
		return;
	upstream->offered = *available;
	if (upstream->own_members) {
		update_planner(core, upstream);
		return;
	}
	upstream->report_version = 0;
	/* The offer holds the free capacity, not the total: it is used as the
	 * total, without foreign tasks. */
	upstream->free_now = *available;
	upstream->capacity = *available;
	memset(&upstream->foreign, 0, sizeof(upstream->foreign));
	upstream->known = true;
	update_planner(core, upstream);
}

/* Sums up the resources of tasks that are not in the plan. */
static void count_foreign(struct rj_core_state *core,
			  struct rj_upstream *upstream,
			  const struct rj_worker_report *report)
{
	struct rj_resources foreign;

	memset(&foreign, 0, sizeof(foreign));
	for (uint32_t i = 0; i < report->task_count; i++) {
		const struct rj_task_report *task = &report->tasks[i];
		const struct rj_job *job;

		if (task->state != RJ_TASK_HELD &&
		    task->state != RJ_TASK_RUNNING)
			continue;
		if (rj_foreign_is_planned(core, upstream, task))
			continue;
		job = rj_jobs_find(core, task->attempt.job_id);
		if (job && job->planned && job->member_count &&
		    job->attempt.owner == task->attempt.owner &&
		    job->attempt.number == task->attempt.number)
			continue;
		rj_resources_add(&foreign, &task->each, 1);
	}
	upstream->foreign = foreign;
}

/* Returns the capacity that is free for any instance. */
static struct rj_resources free_now(const struct rj_worker_report *report)
{
	struct rj_resources left = report->capacity;

	for (uint32_t i = 0; i < report->task_count; i++) {
		const struct rj_task_report *task = &report->tasks[i];

		if (task->state != RJ_TASK_HELD &&
		    task->state != RJ_TASK_RUNNING)
			continue;
		if (!rj_resources_fit(&task->each, &left))
			return (struct rj_resources){ 0 };
		rj_resources_subtract(&left, &task->each, 1);
	}
	return left;
}

/* Handles an unanswered poll. */
static void poll_lost(struct rj_core_state *core, struct rj_upstream *upstream)
{
	upstream->polls_lost++;
	if (upstream->polls_lost == POLLS_LOST_UNREACHABLE) {
		upstream->health = RJ_UPSTREAM_UNREACHABLE;
		update_planner(core, upstream);
	}
	/* The worker has expired every lease that was not renewed. */
	if (upstream->own_members && upstream->answered_us &&
	    core->now_us > upstream->answered_us + lease_duration_us(core))
		rj_jobs_worker_lost(core, upstream);
}

/*
 * Requests a full report of every worker, because the configuration determines
 * which tasks may be stopped.
 *
 * Before the first configuration all reported tasks count as not preemptible,
 * and unchanged reports do not show them again. Without this a guaranteed shape
 * would be reclaimed seconds late after a restart.
 */
void rj_upstreams_request_full_reports(struct rj_core_state *core)
{
	for (uint32_t i = 0; i < core->upstreams.count; i++)
		core->upstreams.by_index[i]->report_version = 0;
}

/*
 * Offers the peers of this failure domain the capacity of an owned worker that
 * is free and not reserved for a job waiting here, if this has changed.
 */
void rj_upstreams_update_offer(struct rj_core_state *core,
			       struct rj_upstream *upstream)
{
	const struct rj_planner_ops *ops = core->planner->ops;
	struct rj_resources offered = upstream->free_now;
	struct rj_resources reserved;

	if (!upstream->owned)
		return;
	if (ops->reserved) {
		ops->reserved(core->planner, upstream->index, &reserved);
		rj_resources_subtract_saturating(&offered, &reserved);
	}
	if (!memcmp(&offered, &upstream->offered, sizeof(offered)))
		return;
	upstream->offered = offered;
	rj_racks_send_summary(core, upstream->rack_view);
}

/*
 * Handles the answer to a poll sent at `asked_us`, or its loss.
 */
void rj_upstreams_receive_report(struct rj_core_state *core,
				 struct rj_upstream *upstream,
				 const struct rj_worker_reply *reply,
				 uint64_t asked_us)
{
	const struct rj_worker_report *report = &reply->report;

	upstream->polling = false;
	rj_timer_set(&core->timers, &upstream->poll,
		     core->now_us +
			     rj_core_jitter_us(core, poll_period_us(core)));
	if (reply->status != RJ_REPLY_OK) {
		poll_lost(core, upstream);
		return;
	}
	reset_for_incarnation(core, upstream, report->incarnation);
	upstream->answered_us = core->now_us;
	upstream->polls_lost = 0;
	upstream->known = true;
	upstream->capacity = report->capacity;
	if (upstream->health == RJ_UPSTREAM_UNREACHABLE)
		upstream->health = RJ_UPSTREAM_HEALTHY;
	if (report->leaving)
		rj_upstreams_mark_leaving(core, upstream, report->incarnation);
	if (report->unchanged) {
		upstream->unchanged_reports++;
		if (!rj_jobs_unchanged_suffices(upstream))
			upstream->report_version = 0;
		update_planner(core, upstream);
		rj_upstreams_update_offer(core, upstream);
		return;
	}
	upstream->report_version = report->version;
	upstream->unchanged_reports = 0;
	rj_jobs_apply_report(core, upstream, report, asked_us);
	rj_foreign_apply_report(core, upstream, report);
	count_foreign(core, upstream, report);
	update_planner(core, upstream);
	upstream->free_now = free_now(report);
	rj_upstreams_update_offer(core, upstream);
}

/* Ends the quarantine of a worker; the next job on it is the probe. */
static void probe_due(struct rj_core_state *core, struct rj_timer *timer)
{
	struct rj_upstream *upstream =
		RJ_CONTAINER(timer, struct rj_upstream, probe);

	if (upstream->health != RJ_UPSTREAM_QUARANTINED)
		return;
	upstream->health = RJ_UPSTREAM_HEALTHY;
	/* One more failure quarantines it again, for twice as long. */
	upstream->failed_count = QUARANTINE_FAILURES - 1;
	update_planner(core, upstream);
}

/*
 * Records the failure of a job on this worker. Several different jobs that fail
 * in a row point to the worker, which is quarantined; repeated failures of one
 * job point to the job.
 */
void rj_upstreams_record_failure(struct rj_core_state *core,
				 struct rj_upstream *upstream, uint64_t job_id)
{
	uint32_t known = upstream->failed_count < RJ_FAILED_JOBS ?
				 upstream->failed_count :
				 RJ_FAILED_JOBS;

	for (uint32_t i = 0; i < known; i++)
		if (upstream->failed_jobs[i] == job_id)
			return;
	upstream->failed_jobs[upstream->failed_count % RJ_FAILED_JOBS] = job_id;
	upstream->failed_count++;
	if (upstream->failed_count < QUARANTINE_FAILURES ||
	    upstream->health == RJ_UPSTREAM_QUARANTINED)
		return;
	upstream->health = RJ_UPSTREAM_QUARANTINED;
	rj_core_log(core, RJ_LOG_LEAVING, RJ_REASON_QUARANTINED, NULL,
		    upstream->name);
	rj_timer_set(&core->timers, &upstream->probe,
		     core->now_us + upstream->quarantine_us);
	upstream->quarantine_us *= 2;
	if (upstream->quarantine_us > QUARANTINE_MAX_US)
		upstream->quarantine_us = QUARANTINE_MAX_US;
	update_planner(core, upstream);
}

/*
 * Records the success of a job on this worker and ends its series of failures.
 */
void rj_upstreams_record_success(struct rj_core_state *core,
				 struct rj_upstream *upstream)
{
	(void)core;
	upstream->failed_count = 0;
	upstream->quarantine_us = QUARANTINE_FIRST_US;
}
