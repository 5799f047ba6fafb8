#include "support/simulation.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "support/fake_worker.h"

#define CHECKPOINT_US (200 * RJ_US_PER_MS)
/* Run time of a task on a worker that fails every task. */
#define FAIL_US (5 * RJ_US_PER_MS)

/*
 * Initialises an idle worker with 8 slots and 8 accelerators.
 */
void fake_worker_init(struct simulation *simulation, uint32_t index)
{
	struct fake_worker *worker = &simulation->workers[index];
	const struct rj_resources capacity = { 8, 8, 64, 65536 };

	worker->index = index;
	worker->incarnation = 1;
	worker->drift_ppm = simulation_drift_ppm(simulation);
	worker->capacity = capacity;
	worker->free = capacity;
	worker->timer_us = RJ_NEVER_US;
	worker->tasks = g_ptr_array_new();
	g_queue_init(&worker->deferred);
}

/*
 * Frees the GLib containers of the worker.
 */
void fake_worker_finish(struct simulation *simulation, uint32_t index)
{
	struct fake_worker *worker = &simulation->workers[index];

	for (guint i = 0; i < worker->tasks->len; i++)
		g_slist_free(
			((struct fake_task *)worker->tasks->pdata[i])->waiting);
	g_ptr_array_unref(worker->tasks);
	g_queue_clear(&worker->deferred);
}

static struct rj_worker_reply reply_of(const struct fake_task *task)
{
	struct rj_worker_reply reply = { .status = RJ_REPLY_OK };

	reply.attempt = task->attempt;
	reply.token = task->token;
	reply.state = task->state;
	reply.ran_us = task->progress_us;
	if (task->state == RJ_TASK_DONE || task->state == RJ_TASK_FAILED) {
		reply.result.data = (const uint8_t *)task->result;
		reply.result.length = (uint32_t)strlen(task->result);
	}
	return reply;
}

static void answer_task(struct simulation *simulation, struct fake_call *call,
			const struct fake_task *task)
{
	struct rj_worker_reply reply = reply_of(task);

	fake_worker_answer(simulation, call, &reply);
}

static void send_refusal(struct simulation *simulation, struct fake_call *call,
			 const struct fake_task *task, enum rj_reason reason)
{
	struct rj_worker_reply reply = { .status = RJ_REPLY_REFUSED };

	reply.attempt = call->call.attempt;
	reply.reason = reason;
	if (task)
		reply.state = task->state;
	fake_worker_answer(simulation, call, &reply);
}

/* Renews a lease for `life_us`, measured by the worker's own clock. */
static void renew_lease(struct simulation *simulation,
			const struct fake_worker *worker,
			struct fake_task *task, uint64_t life_us)
{
	int64_t lost_us = (int64_t)life_us * worker->drift_ppm / SIMULATION_PPM;

	task->lease_until_us = simulation->now_us + life_us - (uint64_t)lost_us;
}

/* Ends a task, releases its capacity and answers the calls that wait for it. */
static void end_task(struct simulation *simulation, struct fake_worker *worker,
		     struct fake_task *task, enum rj_task_state state)
{
	bool leased = task->state == RJ_TASK_HELD;

	assert(leased || task->state == RJ_TASK_RUNNING);
	task->state = state;
	rj_resources_add(&worker->free, &task->each, 1);
	if (leased)
		return;
	checker_task_ended(&simulation->checker, simulation->now_us,
			   &task->attempt, task->member, state);
	for (GSList *at = task->waiting; at; at = at->next)
		answer_task(simulation, at->data, task);
	g_slist_free(task->waiting);
	task->waiting = NULL;
}

/* Counts the progress of a running task since the last update. */
static void update_progress(struct simulation *simulation,
			    struct fake_task *task)
{
	uint64_t passed_us = simulation->now_us - task->counted_us;

	task->counted_us = simulation->now_us;
	if (task->state == RJ_TASK_RUNNING)
		task->progress_us += passed_us * task->throttle_percent / 100;
}

static void update_tasks(struct simulation *simulation,
			 struct fake_worker *worker);

static void update_tasks_event(struct simulation *simulation,
			       struct simulation_event *event)
{
	struct fake_worker *worker = &simulation->workers[event->index];

	if (worker->timer_us != event->at_us || worker->paused || worker->down)
		return;
	worker->timer_us = RJ_NEVER_US;
	update_tasks(simulation, worker);
}

/* Completes finished tasks, ends those with an expired lease, and schedules the
 * next update, all by the worker's own clock. */
static void update_tasks(struct simulation *simulation,
			 struct fake_worker *worker)
{
	uint64_t next_us = RJ_NEVER_US;
	struct simulation_event *event;

	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = worker->tasks->pdata[i];
		bool running = task->state == RJ_TASK_RUNNING;

		if (!running && task->state != RJ_TASK_HELD)
			continue;
		update_progress(simulation, task);
		if (running && task->end_us <= simulation->now_us &&
		    task->end_us <= task->lease_until_us)
			end_task(simulation, worker, task,
				 task->fails ? RJ_TASK_FAILED : RJ_TASK_DONE);
		else if (task->lease_until_us <= simulation->now_us)
			end_task(simulation, worker, task,
				 running ? RJ_TASK_STOPPED : RJ_TASK_DEAD);
		if (task->state != RJ_TASK_RUNNING &&
		    task->state != RJ_TASK_HELD)
			continue;
		if (task->lease_until_us < next_us)
			next_us = task->lease_until_us;
		if (task->end_us < next_us)
			next_us = task->end_us;
	}
	if (next_us >= worker->timer_us &&
	    worker->timer_us > simulation->now_us)
		return;
	if (next_us == RJ_NEVER_US)
		return;
	worker->timer_us = next_us;
	event = simulation_schedule(simulation, next_us - simulation->now_us,
				    update_tasks_event);
	event->index = worker->index;
}

/* Sets the speed of a running task, in percent, and its completion time. */
static void set_throttle(struct simulation *simulation, struct fake_task *task,
			 uint32_t percent)
{
	update_progress(simulation, task);
	task->throttle_percent = percent;
	task->end_us = RJ_NEVER_US;
	if (percent)
		task->end_us = simulation->now_us +
			       (task->work_us > task->progress_us ?
					task->work_us - task->progress_us :
					0) *
				       100 / percent;
	checker_task_progress(&simulation->checker, simulation->now_us,
			      &task->attempt, task->member, percent > 0);
}

/* Returns the newest task of that attempt and member, or NULL. */
static struct fake_task *find_task(struct fake_worker *worker,
				   const struct rj_attempt *attempt,
				   uint32_t member)
{
	for (guint i = worker->tasks->len; i > 0; i--) {
		struct fake_task *task = worker->tasks->pdata[i - 1];

		if (task->attempt.job_id == attempt->job_id &&
		    task->attempt.owner == attempt->owner &&
		    task->attempt.number == attempt->number &&
		    task->member == member)
			return task;
	}
	return NULL;
}

static struct fake_task *find_token(struct fake_worker *worker, uint64_t token)
{
	for (guint i = worker->tasks->len; token && i > 0; i--) {
		struct fake_task *task = worker->tasks->pdata[i - 1];

		if (task->token == token)
			return task;
	}
	return NULL;
}

static struct fake_task *add_task(struct simulation *simulation,
				  struct fake_worker *worker,
				  const struct rj_worker_call *call)
{
	struct fake_task *task = talloc_zero(simulation, struct fake_task);

	assert(task);
	task->attempt = call->attempt;
	task->holder = call->holder;
	task->member = call->member;
	task->gang = call->gang ? call->gang : 1;
	memcpy(task->account, call->account, sizeof(task->account));
	memcpy(task->class_name, call->class_name, sizeof(task->class_name));
	task->each = call->each;
	task->end_us = RJ_NEVER_US;
	task->counted_us = simulation->now_us;
	g_ptr_array_add(worker->tasks, task);
	return task;
}

/* Grants a lease, or finds the one that this attempt has already. Returns NULL
 * after a refusal. */
static struct fake_task *grant_lease(struct simulation *simulation,
				     struct fake_worker *worker,
				     struct fake_call *from)
{
	const struct rj_worker_call *call = &from->call;
	struct fake_task *task =
		find_task(worker, &call->attempt, call->member);

	if (task && task->token && task->state != RJ_TASK_DEAD)
		return task;
	if (task) {
		send_refusal(simulation, from, task, RJ_REASON_LEASE_EXPIRED);
		return NULL;
	}
	if ((worker->leaving && worker->reports_leaving) || worker->refuses ||
	    !rj_resources_fit(&call->each, &worker->free)) {
		send_refusal(simulation, from, NULL, RJ_REASON_LEASE_REFUSED);
		return NULL;
	}
	task = add_task(simulation, worker, call);
	task->state = RJ_TASK_HELD;
	task->token = (uint64_t)(worker->index + 1) << 48 |
		      worker->incarnation << 32 | ++worker->next_token;
	renew_lease(simulation, worker, task, call->life_us);
	rj_resources_subtract(&worker->free, &task->each, 1);
	return task;
}

/* Parses the body of a job. A body that no caller sent is reported to the
 * checker and refused. */
static bool parse_body(struct simulation *simulation, struct fake_task *task,
		       const struct rj_bytes *from)
{
	char body[64] = "";
	unsigned fails = 0;

	assert(from->length < sizeof(body));
	if (from->length)
		memcpy(body, from->data, from->length);
	if (sscanf(body, "intent=%u run_us=%" SCNu64 " fails=%u", &task->intent,
		   &task->work_us, &fails) != 3) {
		checker_unknown_body(&simulation->checker, simulation->now_us,
				     &task->attempt);
		return false;
	}
	task->fails = fails;
	return true;
}

/* Starts a leased task, with progress from the call's checkpoint. */
static void start_task(struct simulation *simulation,
		       struct fake_worker *worker, struct fake_task *task,
		       const struct rj_worker_call *call, uint32_t percent)
{
	task->fails |= worker->fails_all;
	if (worker->fails_all)
		task->work_us = FAIL_US;
	memcpy(task->result,
	       checker_intent_get(&simulation->checker, task->intent)->result,
	       sizeof(task->result));
	task->state = RJ_TASK_RUNNING;
	task->counted_us = simulation->now_us;
	task->progress_us = call->resume_us;
	checker_task_started(&simulation->checker, simulation->now_us,
			     &task->attempt, task->intent, task->member,
			     task->gang);
	set_throttle(simulation, task, percent);
}

static bool has_ended(const struct fake_task *task)
{
	return task->state != RJ_TASK_HELD && task->state != RJ_TASK_RUNNING;
}

/* Serves START and the second half of RUN. */
static void serve_start(struct simulation *simulation,
			struct fake_worker *worker, struct fake_call *from,
			struct fake_task *task, uint32_t percent, bool wait)
{
	if (!task || task->state == RJ_TASK_DEAD) {
		send_refusal(simulation, from, task, RJ_REASON_LEASE_EXPIRED);
		return;
	}
	if (task->state == RJ_TASK_HELD &&
	    (worker->refuses ||
	     !parse_body(simulation, task, &from->call.body))) {
		send_refusal(simulation, from, task, RJ_REASON_LEASE_REFUSED);
		return;
	}
	if (task->state == RJ_TASK_HELD)
		start_task(simulation, worker, task, &from->call, percent);
	if (wait && !has_ended(task))
		task->waiting = g_slist_append(task->waiting, from);
	else
		answer_task(simulation, from, task);
	if (wait)
		task->acknowledged = true;
}

/* Finds the task of a call by its token. The sender of a RUN knows no token and
 * names the attempt and member instead; see worker.h. */
static struct fake_task *find_called_task(struct fake_worker *worker,
					  const struct rj_worker_call *call)
{
	if (call->token)
		return find_token(worker, call->token);
	return find_task(worker, &call->attempt, call->member);
}

/* Answers a checkpoint: the task has stopped, or the limit was exceeded. */
static void end_checkpoint(struct simulation *simulation,
			   struct simulation_event *event)
{
	struct fake_call *from = event->data;
	struct fake_worker *worker = &simulation->workers[from->worker];
	struct fake_task *task = find_called_task(worker, &from->call);

	if (worker->down || worker->paused ||
	    worker->incarnation != event->epoch)
		return;
	update_tasks(simulation, worker);
	if (task->state == RJ_TASK_RUNNING && event->other)
		end_task(simulation, worker, task, RJ_TASK_STOPPED);
	if (task->state == RJ_TASK_RUNNING)
		send_refusal(simulation, from, task, RJ_REASON_DEADLINE_PASSED);
	else
		answer_task(simulation, from, task);
}

/* Checkpoints and stops a task within the limit of the call. */
static void serve_checkpoint(struct simulation *simulation,
			     struct fake_worker *worker, struct fake_call *from,
			     struct fake_task *task)
{
	uint64_t takes_us = CHECKPOINT_US + worker->slow_us;
	bool in_time = takes_us <= from->call.limit_us;
	struct simulation_event *event;

	if (task->state != RJ_TASK_RUNNING) {
		answer_task(simulation, from, task);
		return;
	}
	event = simulation_schedule(simulation,
				    in_time ? takes_us : from->call.limit_us,
				    end_checkpoint);
	event->data = from;
	event->other = in_time;
	event->epoch = worker->incarnation;
}

/* Reports all tasks and renews the leases of the calling instance. */
static void serve_report(struct simulation *simulation,
			 struct fake_worker *worker, struct fake_call *from)
{
	struct rj_worker_reply reply = { .status = RJ_REPLY_OK };
	struct rj_worker_report *report = &reply.report;

	report->incarnation = worker->incarnation;
	report->leaving = worker->leaving && worker->reports_leaving;
	report->capacity = worker->capacity;
	report->tasks = talloc_zero_array(from, struct rj_task_report,
					  worker->tasks->len + 1);
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = worker->tasks->pdata[i];
		struct rj_task_report *entry =
			&report->tasks[report->task_count];

		if (!task->token || task->state == RJ_TASK_DEAD ||
		    (has_ended(task) && task->acknowledged))
			continue;
		if (!has_ended(task) && from->call.life_us &&
		    task->holder == from->call.holder)
			renew_lease(simulation, worker, task,
				    from->call.life_us);
		report->task_count++;
		entry->attempt = task->attempt;
		entry->holder = task->holder;
		entry->member = task->member;
		entry->gang = task->gang;
		entry->token = task->token;
		memcpy(entry->account, task->account, sizeof(entry->account));
		memcpy(entry->class_name, task->class_name,
		       sizeof(entry->class_name));
		entry->state = task->state;
		entry->each = task->each;
		entry->ran_us = task->progress_us;
		entry->lease_left_us =
			has_ended(task) ?
				0 :
				task->lease_until_us - simulation->now_us;
		entry->result = reply_of(task).result;
	}
	rj_worker_report_set_version(report, from->call.known_version);
	fake_worker_answer(simulation, from, &reply);
}

/* Ends a leased task of the attempt, and prevents a later start of it. */
static void serve_fence(struct simulation *simulation,
			struct fake_worker *worker, struct fake_call *from)
{
	const struct rj_worker_call *call = &from->call;
	struct fake_task *task =
		find_task(worker, &call->attempt, call->member);

	/* Recorded so that a call still in transit starts nothing. */
	if (!task)
		task = add_task(simulation, worker, call);
	if (task->state == RJ_TASK_HELD)
		end_task(simulation, worker, task, RJ_TASK_DEAD);
	answer_task(simulation, from, task);
}

/* Serves the calls for a task that holds a lease. */
static void serve_token(struct simulation *simulation,
			struct fake_worker *worker, struct fake_call *from,
			struct fake_task *task)
{
	const struct rj_worker_call *call = &from->call;

	if (!task) {
		send_refusal(simulation, from, NULL, RJ_REASON_LEASE_EXPIRED);
		return;
	}
	switch (call->op) {
	case RJ_WORKER_RENEW:
		if (has_ended(task)) {
			send_refusal(simulation, from, task,
				     RJ_REASON_LEASE_EXPIRED);
			return;
		}
		renew_lease(simulation, worker, task, call->life_us);
		task->holder = call->holder;
		break;
	case RJ_WORKER_CHECKPOINT:
		serve_checkpoint(simulation, worker, from, task);
		return;
	case RJ_WORKER_THROTTLE:
		if (task->state != RJ_TASK_RUNNING) {
			send_refusal(simulation, from, task,
				     RJ_REASON_LEASE_EXPIRED);
			return;
		}
		set_throttle(simulation, task, call->throttle_percent);
		break;
	case RJ_WORKER_STOP:
		if (!has_ended(task))
			end_task(simulation, worker, task,
				 task->state == RJ_TASK_HELD ? RJ_TASK_DEAD :
							       RJ_TASK_STOPPED);
		break;
	case RJ_WORKER_RELEASE:
		if (task->state == RJ_TASK_HELD)
			end_task(simulation, worker, task, RJ_TASK_DEAD);
		task->acknowledged = true;
		break;
	default:
		break;
	}
	answer_task(simulation, from, task);
}

/*
 * Executes a call by the worker's own clock and answers it.
 */
void fake_worker_serve(struct simulation *simulation,
		       struct fake_worker *worker, struct fake_call *from)
{
	const struct rj_worker_call *call = &from->call;
	struct fake_task *task;

	update_tasks(simulation, worker);
	switch (call->op) {
	case RJ_WORKER_LEASE:
		task = grant_lease(simulation, worker, from);
		if (task)
			answer_task(simulation, from, task);
		break;
	case RJ_WORKER_RUN:
		task = grant_lease(simulation, worker, from);
		if (task)
			serve_start(simulation, worker, from, task, 100, true);
		break;
	case RJ_WORKER_START:
		serve_start(simulation, worker, from,
			    find_token(worker, call->token),
			    call->throttle_percent, call->wait);
		break;
	case RJ_WORKER_FENCE:
		serve_fence(simulation, worker, from);
		break;
	case RJ_WORKER_REPORT:
		serve_report(simulation, worker, from);
		break;
	default:
		task = find_called_task(worker, call);
		serve_token(simulation, worker, from, task);
		break;
	}
	update_tasks(simulation, worker);
}

/*
 * Pauses or resumes a worker with its tasks. Its clock runs on during the
 * pause, so leases expire on resumption before deferred calls are served.
 */
void fake_worker_pause(struct simulation *simulation, uint32_t index,
		       bool paused)
{
	struct fake_worker *worker = &simulation->workers[index];
	struct fake_call *call;

	if (worker->down || worker->paused == paused)
		return;
	if (paused)
		update_tasks(simulation, worker);
	simulation_trace(simulation, "%s %s", worker->name,
			 paused ? "pauses" : "goes on");
	worker->paused = paused;
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = worker->tasks->pdata[i];

		if (task->state != RJ_TASK_RUNNING)
			continue;
		if (paused) {
			checker_task_progress(
				&simulation->checker, simulation->now_us,
				&task->attempt, task->member, false);
			continue;
		}
		if (task->end_us != RJ_NEVER_US)
			task->end_us += simulation->now_us - task->counted_us;
		task->counted_us = simulation->now_us;
	}
	if (paused)
		return;
	worker->timer_us = RJ_NEVER_US;
	update_tasks(simulation, worker);
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = worker->tasks->pdata[i];

		if (task->state == RJ_TASK_RUNNING)
			checker_task_progress(&simulation->checker,
					      simulation->now_us,
					      &task->attempt, task->member,
					      task->throttle_percent > 0);
	}
	while ((call = g_queue_pop_head(&worker->deferred)))
		fake_worker_serve(simulation, worker, call);
}

/*
 * Ends a worker with all its tasks. Instances that wait for a reply see the
 * connection close.
 */
void fake_worker_kill(struct simulation *simulation, uint32_t index)
{
	struct fake_worker *worker = &simulation->workers[index];

	if (worker->down)
		return;
	simulation_trace(simulation, "%s ends", worker->name);
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = worker->tasks->pdata[i];

		checker_task_ended(&simulation->checker, simulation->now_us,
				   &task->attempt, task->member, RJ_TASK_NONE);
		for (GSList *at = task->waiting; at; at = at->next) {
			struct rj_worker_reply reply = {
				.status = RJ_REPLY_LOST
			};
			struct fake_call *call = at->data;

			call->answered = true;
			fake_worker_deliver(simulation, call, 1000, &reply);
		}
		g_slist_free(task->waiting);
		talloc_free(task);
	}
	g_ptr_array_set_size(worker->tasks, 0);
	g_queue_clear(&worker->deferred);
	worker->free = worker->capacity;
	worker->down = true;
	worker->paused = false;
}

/*
 * Restarts a worker without tasks, with a new incarnation and not leaving.
 */
void fake_worker_restart(struct simulation *simulation, uint32_t index)
{
	struct fake_worker *worker = &simulation->workers[index];

	fake_worker_kill(simulation, index);
	worker->down = false;
	worker->leaving = false;
	worker->unreachable = false;
	worker->incarnation++;
	simulation_trace(simulation, "%s starts as %" PRIu64, worker->name,
			 worker->incarnation);
}
