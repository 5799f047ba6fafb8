#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_owner.h"
#include "private/note.h"

/* A look waits so long for an end; at most 2,000 by the workers' protocol.
 * Shorter ones find a silent worker sooner, but each has its price. */
#define LOOK_WAIT_MS 1500
/* Looks at a worker that does not answer. */
#define LOOK_RETRY_US (150 * RJ_US_PER_MS)
#define LOOK_RETRY_MAX_US (1000 * RJ_US_PER_MS)
/* Ends that cannot be stored make looks return at once; until they are,
 * leases are renewed at this pace. */
#define LOOK_UNSTORED_US (700 * RJ_US_PER_MS)
/* An order without an answer is sent again after this. */
#define ORDER_RETRY_US (100 * RJ_US_PER_MS)
/* A start that got no answer twice is stopped: the task may have to go
 * elsewhere, and the stop keeps a late start from running. */
#define START_TRIES_MAX 2
/* A worker that turns a start away rests this long. */
#define SICK_PAUSE_US (1500 * RJ_US_PER_MS)
#define FULL_PAUSE_US (300 * RJ_US_PER_MS)
/* A task that its worker does not understand is not sent again at once. */
#define BAD_PAUSE_US RJ_US_PER_S
/* A run of the task may still be listed there. */
#define OLD_PAUSE_US (100 * RJ_US_PER_MS)
/* A run whose percentage does not rise for so long stands still: even at a
 * seventh of the usual speed a task of 11 s gains a percent in a second. */
#define STALL_US (3 * RJ_US_PER_S)

#define PERCENT_ALL 100
/* New work stays off the worker where a run stood still. */
#define STALL_SUSPECT_US (6 * RJ_US_PER_S)

const char *const rj_cell_order_status_string[RJ_CELL_ORDER_STATUS_COUNT] = {
	[RJ_CELL_ORDER_OK] = "ok",
	[RJ_CELL_ORDER_FENCED] = "fenced",
	[RJ_CELL_ORDER_OLD] = "old",
	[RJ_CELL_ORDER_LATE] = "late",
	[RJ_CELL_ORDER_FULL] = "full",
	[RJ_CELL_ORDER_TICKET] = "ticket",
	[RJ_CELL_ORDER_BAD] = "bad",
	[RJ_CELL_ORDER_SICK] = "sick",
	[RJ_CELL_ORDER_OTHER] = "other_life",
	[RJ_CELL_ORDER_UNSENT] = "unsent",
	[RJ_CELL_ORDER_LOST] = "lost",
};

/* What one call to a worker remembers; runs and workers may have gone by the
 * time of its answer, so they are named. */
struct order_call {
	struct rj_cell_owner *owner;
	uint32_t generation;
	uint64_t sent_us;
	char worker[RJ_NAME_BYTES];
	char *name;
	uint32_t number;
};

/* Remember a call. */
static struct order_call *call_new(struct rj_cell_owner *owner,
				   const struct rj_cell_worker *worker,
				   const struct rj_cell_run *run)
{
	struct order_call *call = talloc_zero(owner->mem, struct order_call);

	assert(call && worker);
	call->owner = owner;
	call->generation = owner->generation;
	call->sent_us = owner->now_us;
	memcpy(call->worker, worker->id, sizeof(call->worker));
	if (run) {
		call->name = talloc_strdup(call, run->name);
		call->number = run->number;
	}
	return call;
}

/* The run of a worker that has this name and number, or NULL. */
static struct rj_cell_run *find_run(const struct rj_cell_worker *worker,
				    const char *name, uint32_t number)
{
	const struct rj_list *at;

	for (at = worker->runs.next; at != &worker->runs; at = at->next) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (run->number == number && !strcmp(run->name, name))
			return run;
	}
	return NULL;
}

/* Take the worker's clock from an answer. */
static void take_clock(struct rj_cell_worker *worker,
		       const struct rj_cell_order_reply *reply)
{
	if (!reply->clock_ms)
		return;
	worker->clock_ms = reply->clock_ms;
	worker->clock_at_us = reply->now_us;
}

/* The deadline that an order carries, or 0 when leases must not grow. */
static uint64_t deadline_for(struct rj_cell_owner *owner,
			     struct rj_cell_worker *worker)
{
	uint64_t deadline_ms;

	if (!worker->clock_ms || rj_cell_owner_blind(owner))
		return 0;
	deadline_ms = rj_cell_worker_clock_ms(worker, owner->now_us) +
		      owner->terms.lease_max_ms;
	rj_cell_worker_note_lease(worker, deadline_ms);
	return deadline_ms;
}

/* Every run of a worker has ended without a trace. */
static void lose_runs(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker, const char *why)
{
	/* The end of one run may free others of its gang. */
	while (worker->runs.next != &worker->runs) {
		struct rj_cell_run *run = RJ_CONTAINER(
			worker->runs.next, struct rj_cell_run, in_worker);

		run->why = why;
		rj_cell_ends_run(owner, run, RJ_CELL_END_LOST, NULL);
	}
}

/* A worker has stopped answering, or answers again. */
static void set_answers(struct rj_cell_owner *owner,
			struct rj_cell_worker *worker, bool answers,
			enum rj_cell_order_status status)
{
	if (worker->answers == answers)
		return;
	worker->answers = answers;
	rj_note(answers ? "worker_regained" : "worker_silent",
		RJ_NOTE_TEXT("worker", worker->id),
		RJ_NOTE_TEXT("why", rj_cell_order_status_string[status]),
		RJ_NOTE_AGE_MS("answered_ms",
			       owner->now_us - worker->answered_us));
	owner->plan_wanted = true;
}

/* The worker whose call this was, unless owner or worker have changed. */
static struct rj_cell_worker *worker_of(struct order_call *call,
					const struct rj_cell_order_reply *reply)
{
	struct rj_cell_owner *owner = call->owner;

	if (call->generation != owner->generation || !owner->active)
		return NULL;
	owner->now_us = reply->now_us;
	return rj_cell_fleet_find(&owner->fleet, call->worker);
}

/* Another life of the worker answers: nothing of the former one is left. */
static void note_other_life(struct rj_cell_owner *owner,
			    struct rj_cell_worker *worker)
{
	set_answers(owner, worker, false, RJ_CELL_ORDER_OTHER);
	lose_runs(owner, worker, "worker_reborn");
}

/*
 * How long a task waits after a refusal that another worker would repeat.
 *
 * Guards against orders without end: a task that no worker takes has room
 * everywhere, and would be ordered anew with each plan.
 */
static uint64_t refusal_pause_us(enum rj_cell_order_status status)
{
	switch (status) {
	case RJ_CELL_ORDER_BAD:
	case RJ_CELL_ORDER_TICKET:
		return BAD_PAUSE_US;
	case RJ_CELL_ORDER_OLD:
	case RJ_CELL_ORDER_LATE:
		return OLD_PAUSE_US;
	default:
		return 0;
	}
}

/*
 * A run could not be started: its task waits again, and so does the rest of
 * its gang.
 */
static void withdraw(struct rj_cell_owner *owner, struct rj_cell_run *run,
		     enum rj_cell_order_status status)
{
	rj_note("start_refused", RJ_NOTE_TEXT("task", run->name),
		RJ_NOTE_NUMBER("run", run->number),
		RJ_NOTE_TEXT("worker", run->worker->id),
		RJ_NOTE_TEXT("why", rj_cell_order_status_string[status]));
	run->why = rj_cell_order_status_string[status];
	if (run->task)
		run->task->not_before_us =
			owner->now_us + refusal_pause_us(status);
	rj_cell_ends_run(owner, run, RJ_CELL_END_LOST, NULL);
}

/* What a refused start says of its worker. */
static void rest_worker(struct rj_cell_owner *owner,
			struct rj_cell_worker *worker,
			enum rj_cell_order_status status)
{
	uint64_t pause_us = 0;

	if (status == RJ_CELL_ORDER_SICK)
		pause_us = SICK_PAUSE_US;
	if (status == RJ_CELL_ORDER_FULL || status == RJ_CELL_ORDER_LATE)
		pause_us = FULL_PAUSE_US;
	if (owner->now_us + pause_us > worker->suspect_until_us)
		worker->suspect_until_us = owner->now_us + pause_us;
}

/* The answer to a start. */
static void start_done(void *private_data,
		       const struct rj_cell_order_reply *reply)
{
	struct order_call *call = private_data;
	struct rj_cell_owner *owner = call->owner;
	struct rj_cell_worker *worker = worker_of(call, reply);
	struct rj_cell_run *run =
		worker ? find_run(worker, call->name, call->number) : NULL;

	uint64_t sent_us = call->sent_us;

	talloc_free(call);
	if (!run)
		return;
	run->start_open = false;
	take_clock(worker, reply);
	if (reply->status == RJ_CELL_ORDER_FENCED) {
		owner->lost = true;
		return;
	}
	if (run->state != RJ_CELL_RUN_STARTING)
		return; /* it is being stopped; the stop settles it */
	switch (reply->status) {
	case RJ_CELL_ORDER_OK:
		rj_latency_add(&owner->counters.orders,
			       owner->now_us - sent_us);
		run->state = RJ_CELL_RUN_PLACED;
		run->begun_us = owner->now_us;
		run->progress_us = owner->now_us;
		run->settled_us = owner->now_us;
		break;
	case RJ_CELL_ORDER_LOST:
		run->order_due_us = owner->now_us + ORDER_RETRY_US;
		if (run->order_tries >= START_TRIES_MAX)
			rj_cell_ends_stop_run(owner, run, "no_answer");
		break;
	case RJ_CELL_ORDER_OTHER:
		note_other_life(owner, worker);
		break;
	case RJ_CELL_ORDER_UNSENT:
		/* An earlier try of this start may have arrived. */
		if (run->order_tries > 1) {
			rj_cell_ends_stop_run(owner, run, "no_answer");
			break;
		}
		set_answers(owner, worker, false, reply->status);
		withdraw(owner, run, reply->status);
		break;
	default:
		rest_worker(owner, worker, reply->status);
		if (run->order_tries > 1)
			rj_cell_ends_stop_run(owner, run, "no_answer");
		else
			withdraw(owner, run, reply->status);
	}
}

/* Order one start, for the first time or again. */
static void send_start(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	struct rj_cell_worker *worker = run->worker;
	const struct rj_cell_def *def = run->task->round->work->def;
	struct rj_cell_start start = { .name = run->name,
				       .number = run->number,
				       .spec = def->spec,
				       .checkpoint = run->checkpoint,
				       .token = owner->token };
	struct rj_cell_order_done done;

	start.deadline_ms = deadline_for(owner, worker);
	if (!start.deadline_ms)
		return;
	done.call = start_done;
	done.private_data = call_new(owner, worker, run);
	run->start_open = true;
	run->order_tries++;
	owner->counters.starts++;
	owner->workers->ops->start(owner->workers, worker, &start, done);
}

/* The answer to a stop. */
static void stop_done(void *private_data,
		      const struct rj_cell_order_reply *reply)
{
	struct order_call *call = private_data;
	struct rj_cell_owner *owner = call->owner;
	struct rj_cell_worker *worker = worker_of(call, reply);
	struct rj_cell_run *run =
		worker ? find_run(worker, call->name, call->number) : NULL;

	talloc_free(call);
	if (!run)
		return;
	run->stop_open = false;
	take_clock(worker, reply);
	switch (reply->status) {
	case RJ_CELL_ORDER_OK:
		run->settled_us = owner->now_us;
		break;
	case RJ_CELL_ORDER_FENCED:
		owner->lost = true;
		break;
	case RJ_CELL_ORDER_OTHER:
		note_other_life(owner, worker);
		break;
	default:
		run->order_due_us = owner->now_us + ORDER_RETRY_US;
	}
}

/* Order one stop, for the first time or again. */
static void send_stop(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	struct rj_cell_order_done done;

	if (!run->order_tries)
		rj_note("stop", RJ_NOTE_TEXT("task", run->name),
			RJ_NOTE_NUMBER("run", run->number),
			RJ_NOTE_TEXT("worker", run->worker->id),
			RJ_NOTE_TEXT("why", run->why));
	done.call = stop_done;
	done.private_data = call_new(owner, run->worker, run);
	run->stop_open = true;
	run->order_tries++;
	owner->counters.stops++;
	owner->workers->ops->stop(owner->workers, run->worker, run->name,
				  run->number, owner->token, done);
}

/* A listed run that is not ours: stop it, and count its room meanwhile. */
static void stop_stray(struct rj_cell_owner *owner,
		       struct rj_cell_worker *worker,
		       const struct rj_cell_row *row)
{
	struct rj_cell_entry *entry = NULL;
	struct rj_cell_run *run = talloc_zero(NULL, struct rj_cell_run);
	unsigned int step = 0;

	assert(run);
	(void)rj_cell_owner_task(owner, row->name, &entry);
	run->worker = worker;
	run->name = talloc_strdup(run, row->name);
	run->number = row->number;
	run->state = RJ_CELL_RUN_STOPPING;
	run->why = "stray";
	run->begun_us = owner->now_us;
	if (entry && entry->def &&
	    sscanf(row->name, "%*[^.].%*u.%u", &step) == 1 &&
	    step < entry->def->step_count)
		run->held = entry->def->steps[step].each;
	else
		run->held = worker->said.capacity;
	rj_list_init(&run->in_task);
	rj_list_append(&worker->runs, &run->in_worker);
	rj_cell_demand_give(&worker->held, &run->held);
}

/* About when a run that was taken over has begun. */
static uint64_t begun_by_progress(const struct rj_cell_owner *owner,
				  const struct rj_cell_run *run,
				  uint32_t percent)
{
	uint64_t ran_us;

	if (!run->task)
		return owner->now_us;
	ran_us = rj_cell_forecast_task_ms(&owner->forecast,
					  run->task->round->work->def,
					  run->task->step) *
		 RJ_US_PER_MS * percent / PERCENT_ALL;
	return owner->now_us > ran_us ? owner->now_us - ran_us : 0;
}

/* What a listed run says of its progress. */
static void note_progress(struct rj_cell_owner *owner, struct rj_cell_run *run,
			  const struct rj_cell_row *row)
{
	if (run->state == RJ_CELL_RUN_PLACED ||
	    run->state == RJ_CELL_RUN_STARTING) {
		run->state = RJ_CELL_RUN_SEEN;
		run->progress_us = owner->now_us;
		if (!run->begun_us)
			run->begun_us = owner->now_us;
		if (run->adopted)
			run->begun_us =
				begun_by_progress(owner, run, row->percent);
	}
	if (row->percent != run->percent || !run->progress_us)
		run->progress_us = owner->now_us;
	run->percent = row->percent;
	run->listed_us = owner->now_us;
	g_strlcpy(run->saved, row->saved, sizeof(run->saved));
}

/* Mark the runs that the worker lists. */
static void take_rows(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker,
		      const struct rj_cell_order_reply *reply)
{
	for (uint32_t i = 0; i < reply->row_count; i++) {
		const struct rj_cell_row *row = &reply->rows[i];
		struct rj_cell_run *run =
			find_run(worker, row->name, row->number);

		if (run)
			note_progress(owner, run, row);
		else
			stop_stray(owner, worker, row);
	}
}

/* Whether a worker lists a run. */
static bool is_listed(const struct rj_cell_order_reply *reply,
		      const struct rj_cell_run *run)
{
	for (uint32_t i = 0; i < reply->row_count; i++)
		if (reply->rows[i].number == run->number &&
		    !strcmp(reply->rows[i].name, run->name))
			return true;
	return false;
}

/*
 * Order a run that was taken over and is not there, if its former owner may
 * have been stopped between storing the intent and sending the order.
 *
 * Load that it answers: an owner that dies while a gang starts. The members
 * that have started wait for the others for a few seconds; with these they
 * go on, where the whole gang would have to begin anew.
 */
static bool order_again(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	if (!run->adopted || run->state != RJ_CELL_RUN_PLACED || !run->task ||
	    run->worker->said.draining)
		return false;
	/* A gang's end speaks for members whose worker was reborn since. */
	if (run->task->done ||
	    run->task->round->work->state >= RJ_CELL_JOB_COMPLETED)
		return false;
	run->adopted = false;
	run->begun_us = 0;
	run->settled_us = 0;
	run->state = RJ_CELL_RUN_STARTING;
	run->order_tries = 0;
	run->order_due_us = owner->now_us;
	rj_note("start_again", RJ_NOTE_TEXT("task", run->name),
		RJ_NOTE_NUMBER("run", run->number),
		RJ_NOTE_TEXT("worker", run->worker->id));
	return true;
}

/*
 * End the runs that the worker should list and does not.
 *
 * Guards against taking a run for lost whose start is still on its way: only
 * a list that was asked for after the order had been answered counts. Runs
 * taken over from a former owner are settled from the start, as the fencing
 * token keeps its orders from being carried out.
 */
static void drop_missing(struct rj_cell_owner *owner,
			 struct rj_cell_worker *worker, uint64_t sent_us,
			 const struct rj_cell_order_reply *reply)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);
		bool settled = run->settled_us && run->settled_us < sent_us;

		if (run->state == RJ_CELL_RUN_INTENDED || !settled ||
		    is_listed(reply, run) || order_again(owner, run))
			continue;
		if (!run->why)
			run->why = "not_listed";
		rj_cell_ends_run(owner, run,
				 run->state == RJ_CELL_RUN_STOPPING ?
					 RJ_CELL_END_STOPPED :
					 RJ_CELL_END_LOST,
				 NULL);
		next = worker->runs.next;
	}
}

/* Take the ends in that are new. */
static void take_ends(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker,
		      const struct rj_cell_order_reply *reply)
{
	for (uint32_t i = 0; i < reply->end_count; i++) {
		const struct rj_cell_end_row *row = &reply->ends[i];
		struct rj_cell_run *run;

		if (row->position <= worker->seen_taken)
			continue;
		worker->seen_taken = row->position;
		run = find_run(worker, row->name, row->number);
		if (run)
			rj_cell_ends_run(owner, run, row->end, row->saved);
		else
			rj_cell_ends_orphan(owner, worker, row);
	}
}

/*
 * A worker has answered with another incarnation, or for the first time. Its
 * runs are not taken for lost by that alone: a start that was sent while the
 * worker was away may have arrived in its new life, as orders name the worker
 * and not its life. The lists that came with the answer tell.
 */
static void meet(struct rj_cell_owner *owner, struct rj_cell_worker *worker,
		 const struct rj_cell_order_reply *reply)
{
	rj_note("worker_met", RJ_NOTE_TEXT("worker", worker->id),
		RJ_NOTE_NUMBER("incarnation", reply->incarnation),
		RJ_NOTE_NUMBER("before", worker->incarnation),
		RJ_NOTE_NUMBER("rows", reply->row_count));
	worker->incarnation = reply->incarnation;
	worker->seen = 0;
	worker->seen_taken = 0;
	worker->seen_storing = 0;
	worker->bad_streak = 0;
	/* From here on only our orders count, so that no lease is longer. */
	worker->lease_ms = worker->clock_ms + owner->terms.lease_max_ms;
	worker->lapsed_us = 0;
	rj_cell_worker_note_lease(worker, worker->lease_ms);
	owner->plan_wanted = true;
}

/* Stop runs that do not get on. */
static void check_stalls(struct rj_cell_owner *owner,
			 struct rj_cell_worker *worker)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		/* A member of a gang that is through waits for the others. */
		if (run->state != RJ_CELL_RUN_SEEN || !run->task ||
		    run->percent >= PERCENT_ALL ||
		    rj_cell_task_step(run->task)->perpetual ||
		    owner->now_us - run->progress_us < STALL_US)
			continue;
		worker->suspect_until_us = owner->now_us + STALL_SUSPECT_US;
		g_strlcpy(run->task->avoid, worker->id,
			  sizeof(run->task->avoid));
		rj_note("run_stalled", RJ_NOTE_TEXT("task", run->name),
			RJ_NOTE_TEXT("worker", worker->id),
			RJ_NOTE_NUMBER("percent", run->percent));
		rj_cell_ends_stop_run(owner, run, "stalled");
	}
}

/* A worker's lists have come. */
static void take_look(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker, uint64_t sent_us,
		      const struct rj_cell_order_reply *reply)
{
	take_clock(worker, reply);
	worker->answered_us = reply->now_us;
	worker->look_failures = 0;
	set_answers(owner, worker, true, reply->status);
	if (worker->incarnation != reply->incarnation)
		meet(owner, worker, reply);
	take_ends(owner, worker, reply);
	take_rows(owner, worker, reply);
	drop_missing(owner, worker, sent_us, reply);
	check_stalls(owner, worker);
	worker->look_due_us = owner->now_us;
	if (worker->seen_taken > worker->seen)
		worker->look_due_us += LOOK_UNSTORED_US;
}

/* The answer to a look. */
static void look_done(void *private_data,
		      const struct rj_cell_order_reply *reply)
{
	struct order_call *call = private_data;
	struct rj_cell_owner *owner = call->owner;
	struct rj_cell_worker *worker = worker_of(call, reply);
	uint64_t sent_us = call->sent_us;
	uint64_t delay_us;

	talloc_free(call);
	if (!worker)
		return;
	worker->look_open = false;
	if (reply->status == RJ_CELL_ORDER_OK) {
		take_look(owner, worker, sent_us, reply);
		return;
	}
	if (reply->status == RJ_CELL_ORDER_FENCED) {
		owner->lost = true;
		return;
	}
	if (reply->status == RJ_CELL_ORDER_OTHER)
		note_other_life(owner, worker);
	else
		set_answers(owner, worker, false, reply->status);
	delay_us = LOOK_RETRY_US << MIN(worker->look_failures, 3U);
	worker->look_failures++;
	worker->look_due_us = owner->now_us + MIN(delay_us, LOOK_RETRY_MAX_US);
}

/* Ask a worker for its lists, renewing what runs there. */
static void send_look(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker)
{
	struct rj_cell_look look = { .token = owner->token };
	struct rj_cell_order_done done;

	/*
	 * Guards against ends that are forgotten unseen: a worker that went
	 * silent may have been reborn, and its new life counts its ends from
	 * one again. Until it has answered, nothing counts as seen.
	 */
	if (worker->answers)
		look.seen = worker->seen;
	if (worker->incarnation && worker->answers)
		look.wait_ms = LOOK_WAIT_MS;
	/*
	 * Guards against leases that never lapse: a worker that is silent may
	 * carry a look out late, so each deadline that was sent counts, and
	 * with it the time until its tasks may start elsewhere.
	 */
	if (worker->incarnation && worker->answers &&
	    worker->runs.next != &worker->runs)
		look.deadline_ms = deadline_for(owner, worker);
	done.call = look_done;
	done.private_data = call_new(owner, worker, NULL);
	worker->look_open = true;
	worker->look_sent_us = owner->now_us;
	owner->counters.looks++;
	owner->workers->ops->look(owner->workers, worker, &look, done);
}

/* Send the orders that are due for the runs of a worker. */
static void tick_runs(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (owner->now_us < run->order_due_us)
			continue;
		if (run->state == RJ_CELL_RUN_STARTING && !run->start_open &&
		    rj_cell_owner_may_start(owner))
			send_start(owner, run);
		if (run->state == RJ_CELL_RUN_STOPPING && !run->stop_open &&
		    !run->settled_us)
			send_stop(owner, run);
	}
}

/*
 * A worker that has been silent until its leases must have lapsed runs
 * nothing any more.
 */
static void check_lapse(struct rj_cell_owner *owner,
			struct rj_cell_worker *worker)
{
	if (worker->answers || worker->runs.next == &worker->runs ||
	    owner->now_us <= worker->lapsed_us)
		return;
	rj_note("worker_lapsed", RJ_NOTE_TEXT("worker", worker->id),
		RJ_NOTE_AGE_MS("answered_ms",
			       owner->now_us - worker->answered_us));
	lose_runs(owner, worker, "lease_lapsed");
}

/*
 * Send what is due, and take note of leases that have lapsed.
 */
void rj_cell_orders_tick(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &owner->fleet.workers) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		check_lapse(owner, worker);
		if (!worker->said.address.port) {
			/* Its entry is gone for good, and it holds nothing. */
			if (!worker->listed &&
			    worker->runs.next == &worker->runs)
				rj_cell_fleet_drop(&owner->fleet, worker);
			continue;
		}
		tick_runs(owner, worker);
		if (!worker->look_open &&
		    owner->now_us >= worker->look_due_us &&
		    (worker->listed || worker->runs.next != &worker->runs))
			send_look(owner, worker);
	}
}
