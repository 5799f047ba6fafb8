#include "support/simulation.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "support/fake_worker.h"

#define CHECKPOINT_US (200 * RJ_US_PER_MS)
/* A worker that fails everything does so at once. */
#define FAIL_US (5 * RJ_US_PER_MS)

/*
 * Start a worker with 8 slots and 8 accelerators and nothing to do.
 */
void fake_worker_init(struct world *world, uint32_t index)
{
	struct fake_worker *worker = &world->workers[index];
	const struct rj_resources capacity = { 8, 8, 64, 65536 };

	worker->index = index;
	worker->incarnation = 1;
	worker->drift_ppm = world_drift_ppm(world);
	worker->capacity = capacity;
	worker->free = capacity;
	worker->armed_us = RJ_NEVER_US;
	worker->tasks = g_ptr_array_new();
	g_queue_init(&worker->held);
}

/*
 * Free what GLib holds for the worker.
 */
void fake_worker_finish(struct world *world, uint32_t index)
{
	struct fake_worker *worker = &world->workers[index];

	for (guint i = 0; i < worker->tasks->len; i++)
		g_slist_free(
			((struct fake_task *)worker->tasks->pdata[i])->waiting);
	g_ptr_array_unref(worker->tasks);
	g_queue_clear(&worker->held);
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

static void answer_task(struct world *world, struct fake_call *call,
			const struct fake_task *task)
{
	struct rj_worker_reply reply = reply_of(task);

	fake_worker_answer(world, call, &reply);
}

static void refuse(struct world *world, struct fake_call *call,
		   const struct fake_task *task, enum rj_reason reason)
{
	struct rj_worker_reply reply = { .status = RJ_REPLY_REFUSED };

	reply.attempt = call->call.attempt;
	reply.reason = reason;
	if (task)
		reply.state = task->state;
	fake_worker_answer(world, call, &reply);
}

/* Let a lease live on for a time that the worker's own clock counts. */
static void renew(struct world *world, const struct fake_worker *worker,
		  struct fake_task *task, uint64_t life_us)
{
	int64_t lost_us = (int64_t)life_us * worker->drift_ppm / WORLD_PPM;

	task->lease_until_us = world->now_us + life_us - (uint64_t)lost_us;
}

/* Tell the waiting callers of a task how it ended. */
static void task_end(struct world *world, struct fake_worker *worker,
		     struct fake_task *task, enum rj_task_state state)
{
	bool held = task->state == RJ_TASK_HELD;

	assert(held || task->state == RJ_TASK_RUNNING);
	task->state = state;
	rj_resources_add(&worker->free, &task->each, 1);
	if (held)
		return;
	checker_task_ended(&world->checker, world->now_us, &task->attempt,
			   task->member, state);
	for (GSList *at = task->waiting; at; at = at->next)
		answer_task(world, at->data, task);
	g_slist_free(task->waiting);
	task->waiting = NULL;
}

static void count_progress(struct world *world, struct fake_task *task)
{
	uint64_t passed_us = world->now_us - task->counted_us;

	task->counted_us = world->now_us;
	if (task->state == RJ_TASK_RUNNING)
		task->progress_us += passed_us * task->throttle_percent / 100;
}

static void settle(struct world *world, struct fake_worker *worker);

static void settle_event(struct world *world, struct world_event *event)
{
	struct fake_worker *worker = &world->workers[event->index];

	if (worker->armed_us != event->at_us || worker->paused || worker->down)
		return;
	worker->armed_us = RJ_NEVER_US;
	settle(world, worker);
}

/* By the worker's own clock: end what is done, drop what has lapsed. */
static void settle(struct world *world, struct fake_worker *worker)
{
	uint64_t next_us = RJ_NEVER_US;
	struct world_event *event;

	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = worker->tasks->pdata[i];
		bool running = task->state == RJ_TASK_RUNNING;

		if (!running && task->state != RJ_TASK_HELD)
			continue;
		count_progress(world, task);
		if (running && task->end_us <= world->now_us &&
		    task->end_us <= task->lease_until_us)
			task_end(world, worker, task,
				 task->fails ? RJ_TASK_FAILED : RJ_TASK_DONE);
		else if (task->lease_until_us <= world->now_us)
			task_end(world, worker, task,
				 running ? RJ_TASK_STOPPED : RJ_TASK_DEAD);
		if (task->state != RJ_TASK_RUNNING &&
		    task->state != RJ_TASK_HELD)
			continue;
		if (task->lease_until_us < next_us)
			next_us = task->lease_until_us;
		if (task->end_us < next_us)
			next_us = task->end_us;
	}
	if (next_us >= worker->armed_us && worker->armed_us > world->now_us)
		return;
	if (next_us == RJ_NEVER_US)
		return;
	worker->armed_us = next_us;
	event = world_after(world, next_us - world->now_us, settle_event);
	event->index = worker->index;
}

static void throttle(struct world *world, struct fake_task *task,
		     uint32_t percent)
{
	count_progress(world, task);
	task->throttle_percent = percent;
	task->end_us = RJ_NEVER_US;
	if (percent)
		task->end_us = world->now_us +
			       (task->work_us > task->progress_us ?
					task->work_us - task->progress_us :
					0) *
				       100 / percent;
	checker_task_progress(&world->checker, world->now_us, &task->attempt,
			      task->member, percent > 0);
}

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

static struct fake_task *add_task(struct world *world,
				  struct fake_worker *worker,
				  const struct rj_worker_call *call)
{
	struct fake_task *task = talloc_zero(world, struct fake_task);

	assert(task);
	task->attempt = call->attempt;
	task->holder = call->holder;
	task->member = call->member;
	task->gang = call->gang ? call->gang : 1;
	memcpy(task->account, call->account, sizeof(task->account));
	memcpy(task->class_name, call->class_name, sizeof(task->class_name));
	task->each = call->each;
	task->end_us = RJ_NEVER_US;
	task->counted_us = world->now_us;
	g_ptr_array_add(worker->tasks, task);
	return task;
}

/* Take a lease, or find the one that this attempt has; NULL: refused. */
static struct fake_task *lease(struct world *world, struct fake_worker *worker,
			       struct fake_call *from)
{
	const struct rj_worker_call *call = &from->call;
	struct fake_task *task =
		find_task(worker, &call->attempt, call->member);

	if (task && task->token && task->state != RJ_TASK_DEAD)
		return task;
	if (task) {
		refuse(world, from, task, RJ_REASON_LEASE_LAPSED);
		return NULL;
	}
	if ((worker->leaving && worker->tells_leaving) || worker->refuses ||
	    !rj_resources_fit(&call->each, &worker->free)) {
		refuse(world, from, NULL, RJ_REASON_LEASE_REFUSED);
		return NULL;
	}
	task = add_task(world, worker, call);
	task->state = RJ_TASK_HELD;
	task->token = (uint64_t)(worker->index + 1) << 48 |
		      worker->incarnation << 32 | ++worker->next_token;
	renew(world, worker, task, call->life_us);
	rj_resources_take(&worker->free, &task->each, 1);
	return task;
}

/* What the body asks for. A body that no caller sent is no request's own. */
static bool read_body(struct world *world, struct fake_task *task,
		      const struct rj_bytes *from)
{
	char body[64] = "";
	unsigned fails = 0;

	assert(from->length < sizeof(body));
	if (from->length)
		memcpy(body, from->data, from->length);
	if (sscanf(body, "intent=%u run_us=%" SCNu64 " fails=%u", &task->intent,
		   &task->work_us, &fails) != 3) {
		checker_foreign_body(&world->checker, world->now_us,
				     &task->attempt);
		return false;
	}
	task->fails = fails;
	return true;
}

static void start_task(struct world *world, struct fake_worker *worker,
		       struct fake_task *task,
		       const struct rj_worker_call *call, uint32_t percent)
{
	task->fails |= worker->fails_all;
	if (worker->fails_all)
		task->work_us = FAIL_US;
	memcpy(task->result,
	       checker_intent_get(&world->checker, task->intent)->result,
	       sizeof(task->result));
	task->state = RJ_TASK_RUNNING;
	task->counted_us = world->now_us;
	task->progress_us = call->resume_us;
	checker_task_started(&world->checker, world->now_us, &task->attempt,
			     task->intent, task->member, task->gang);
	throttle(world, task, percent);
}

static bool has_ended(const struct fake_task *task)
{
	return task->state != RJ_TASK_HELD && task->state != RJ_TASK_RUNNING;
}

/* START, and the second half of RUN. */
static void serve_start(struct world *world, struct fake_worker *worker,
			struct fake_call *from, struct fake_task *task,
			uint32_t percent, bool wait)
{
	if (!task || task->state == RJ_TASK_DEAD) {
		refuse(world, from, task, RJ_REASON_LEASE_LAPSED);
		return;
	}
	if (task->state == RJ_TASK_HELD &&
	    (worker->refuses || !read_body(world, task, &from->call.body))) {
		refuse(world, from, task, RJ_REASON_LEASE_REFUSED);
		return;
	}
	if (task->state == RJ_TASK_HELD)
		start_task(world, worker, task, &from->call, percent);
	if (wait && !has_ended(task))
		task->waiting = g_slist_append(task->waiting, from);
	else
		answer_task(world, from, task);
	if (wait)
		task->told = true;
}

/* The task that a call names by its token, or, since who asks for a RUN knows
 * none, by its attempt and member: see worker.h. */
static struct fake_task *find_named(struct fake_worker *worker,
				    const struct rj_worker_call *call)
{
	if (call->token)
		return find_token(worker, call->token);
	return find_task(worker, &call->attempt, call->member);
}

static void end_checkpoint(struct world *world, struct world_event *event)
{
	struct fake_call *from = event->data;
	struct fake_worker *worker = &world->workers[from->worker];
	struct fake_task *task = find_named(worker, &from->call);

	if (worker->down || worker->paused ||
	    worker->incarnation != event->life)
		return;
	settle(world, worker);
	if (task->state == RJ_TASK_RUNNING && event->other)
		task_end(world, worker, task, RJ_TASK_STOPPED);
	if (task->state == RJ_TASK_RUNNING)
		refuse(world, from, task, RJ_REASON_DEADLINE_PASSED);
	else
		answer_task(world, from, task);
}

static void serve_checkpoint(struct world *world, struct fake_worker *worker,
			     struct fake_call *from, struct fake_task *task)
{
	uint64_t takes_us = CHECKPOINT_US + worker->slow_us;
	bool in_time = takes_us <= from->call.limit_us;
	struct world_event *event;

	if (task->state != RJ_TASK_RUNNING) {
		answer_task(world, from, task);
		return;
	}
	event = world_after(world, in_time ? takes_us : from->call.limit_us,
			    end_checkpoint);
	event->data = from;
	event->other = in_time;
	event->life = worker->incarnation;
}

static void serve_report(struct world *world, struct fake_worker *worker,
			 struct fake_call *from)
{
	struct rj_worker_reply reply = { .status = RJ_REPLY_OK };
	struct rj_worker_report *report = &reply.report;

	report->incarnation = worker->incarnation;
	report->leaving = worker->leaving && worker->tells_leaving;
	report->capacity = worker->capacity;
	report->tasks = talloc_zero_array(from, struct rj_task_report,
					  worker->tasks->len + 1);
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = worker->tasks->pdata[i];
		struct rj_task_report *line =
			&report->tasks[report->task_count];

		if (!task->token || task->state == RJ_TASK_DEAD ||
		    (has_ended(task) && task->told))
			continue;
		if (!has_ended(task) && from->call.life_us &&
		    task->holder == from->call.holder)
			renew(world, worker, task, from->call.life_us);
		report->task_count++;
		line->attempt = task->attempt;
		line->holder = task->holder;
		line->member = task->member;
		line->gang = task->gang;
		line->token = task->token;
		memcpy(line->account, task->account, sizeof(line->account));
		memcpy(line->class_name, task->class_name,
		       sizeof(line->class_name));
		line->state = task->state;
		line->each = task->each;
		line->ran_us = task->progress_us;
		line->lease_left_us =
			has_ended(task) ? 0 :
					  task->lease_until_us - world->now_us;
		line->result = reply_of(task).result;
	}
	rj_worker_report_seal(report, from->call.known_version);
	fake_worker_answer(world, from, &reply);
}

static void serve_fence(struct world *world, struct fake_worker *worker,
			struct fake_call *from)
{
	const struct rj_worker_call *call = &from->call;
	struct fake_task *task =
		find_task(worker, &call->attempt, call->member);

	/* Remembered, so that a call still on its way starts nothing. */
	if (!task)
		task = add_task(world, worker, call);
	if (task->state == RJ_TASK_HELD)
		task_end(world, worker, task, RJ_TASK_DEAD);
	answer_task(world, from, task);
}

static void serve_token(struct world *world, struct fake_worker *worker,
			struct fake_call *from, struct fake_task *task)
{
	const struct rj_worker_call *call = &from->call;

	if (!task) {
		refuse(world, from, NULL, RJ_REASON_LEASE_LAPSED);
		return;
	}
	switch (call->op) {
	case RJ_WORKER_RENEW:
		if (has_ended(task)) {
			refuse(world, from, task, RJ_REASON_LEASE_LAPSED);
			return;
		}
		renew(world, worker, task, call->life_us);
		task->holder = call->holder;
		break;
	case RJ_WORKER_CHECKPOINT:
		serve_checkpoint(world, worker, from, task);
		return;
	case RJ_WORKER_THROTTLE:
		if (task->state != RJ_TASK_RUNNING) {
			refuse(world, from, task, RJ_REASON_LEASE_LAPSED);
			return;
		}
		throttle(world, task, call->throttle_percent);
		break;
	case RJ_WORKER_STOP:
		if (!has_ended(task))
			task_end(world, worker, task,
				 task->state == RJ_TASK_HELD ? RJ_TASK_DEAD :
							       RJ_TASK_STOPPED);
		break;
	case RJ_WORKER_RELEASE:
		if (task->state == RJ_TASK_HELD)
			task_end(world, worker, task, RJ_TASK_DEAD);
		task->told = true;
		break;
	default:
		break;
	}
	answer_task(world, from, task);
}

/*
 * Do what a call asks, by the worker's own clock, and answer it.
 */
void fake_worker_serve(struct world *world, struct fake_worker *worker,
		       struct fake_call *from)
{
	const struct rj_worker_call *call = &from->call;
	struct fake_task *task;

	settle(world, worker);
	switch (call->op) {
	case RJ_WORKER_LEASE:
		task = lease(world, worker, from);
		if (task)
			answer_task(world, from, task);
		break;
	case RJ_WORKER_RUN:
		task = lease(world, worker, from);
		if (task)
			serve_start(world, worker, from, task, 100, true);
		break;
	case RJ_WORKER_START:
		serve_start(world, worker, from,
			    find_token(worker, call->token),
			    call->throttle_percent, call->wait);
		break;
	case RJ_WORKER_FENCE:
		serve_fence(world, worker, from);
		break;
	case RJ_WORKER_REPORT:
		serve_report(world, worker, from);
		break;
	default:
		task = find_named(worker, call);
		serve_token(world, worker, from, task);
		break;
	}
	settle(world, worker);
}

/*
 * Freeze a worker with its tasks, or let it go on: leases lapse by its clock,
 * which ran meanwhile, before it hears anything.
 */
void fake_worker_pause(struct world *world, uint32_t index, bool paused)
{
	struct fake_worker *worker = &world->workers[index];
	struct fake_call *call;

	if (worker->down || worker->paused == paused)
		return;
	if (paused)
		settle(world, worker);
	world_note(world, "%s %s", worker->name, paused ? "pauses" : "goes on");
	worker->paused = paused;
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = worker->tasks->pdata[i];

		if (task->state != RJ_TASK_RUNNING)
			continue;
		if (paused) {
			checker_task_progress(&world->checker, world->now_us,
					      &task->attempt, task->member,
					      false);
			continue;
		}
		if (task->end_us != RJ_NEVER_US)
			task->end_us += world->now_us - task->counted_us;
		task->counted_us = world->now_us;
	}
	if (paused)
		return;
	worker->armed_us = RJ_NEVER_US;
	settle(world, worker);
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = worker->tasks->pdata[i];

		if (task->state == RJ_TASK_RUNNING)
			checker_task_progress(&world->checker, world->now_us,
					      &task->attempt, task->member,
					      task->throttle_percent > 0);
	}
	while ((call = g_queue_pop_head(&worker->held)))
		fake_worker_serve(world, worker, call);
}

/*
 * End a worker with all its tasks; callers that wait on it see it at once.
 */
void fake_worker_kill(struct world *world, uint32_t index)
{
	struct fake_worker *worker = &world->workers[index];

	if (worker->down)
		return;
	world_note(world, "%s ends", worker->name);
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct fake_task *task = worker->tasks->pdata[i];

		checker_task_ended(&world->checker, world->now_us,
				   &task->attempt, task->member, RJ_TASK_NONE);
		for (GSList *at = task->waiting; at; at = at->next) {
			struct rj_worker_reply reply = {
				.status = RJ_REPLY_LOST
			};
			struct fake_call *call = at->data;

			call->answered = true;
			fake_worker_deliver(world, call, 1000, &reply);
		}
		g_slist_free(task->waiting);
		talloc_free(task);
	}
	g_ptr_array_set_size(worker->tasks, 0);
	g_queue_clear(&worker->held);
	worker->free = worker->capacity;
	worker->down = true;
	worker->paused = false;
}

/*
 * Start a worker anew: it has forgotten everything and is not leaving.
 */
void fake_worker_restart(struct world *world, uint32_t index)
{
	struct fake_worker *worker = &world->workers[index];

	fake_worker_kill(world, index);
	worker->down = false;
	worker->leaving = false;
	worker->silent = false;
	worker->incarnation++;
	world_note(world, "%s starts as %" PRIu64, worker->name,
		   worker->incarnation);
}
