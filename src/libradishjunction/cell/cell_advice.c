#include "private/cell_advice.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_owner.h"
#include "private/cell_place.h"
#include "private/log_event.h"

/* A ticket that ends sooner is not used: the order takes some milliseconds,
 * and may be repeated once. */
#define TICKET_MARGIN_US (400 * RJ_US_PER_MS)
/* After a question without an answer the next one waits. */
#define RETRY_US (300 * RJ_US_PER_MS)
/* Room for the names of a step: job, occurrence, step. */
#define STEP_NAME_BYTES 48

/* What the policy has said of one worker. */
struct opinion {
	uint64_t incarnation; /* of the worker */
	bool allowed;
	char ticket[RJ_CELL_TICKET_BYTES];
	uint64_t good_until_us; /* the ticket */
};

/* A question on its way; jobs and workers may go meanwhile. */
struct question {
	struct rj_cell_owner *owner;
	uint32_t generation;
	uint64_t sent_us;
	char job[RJ_CELL_ID_BYTES];
	uint32_t round;
	uint32_t step;
	uint32_t count;
	char workers[RJ_CELL_ADVICE_WORKERS][RJ_NAME_BYTES];
	uint64_t incarnations[RJ_CELL_ADVICE_WORKERS];
};

/* The opinion of a worker that still holds for its present life, or NULL. */
static struct opinion *opinion_of(const struct rj_cell_round *round,
				  uint32_t step,
				  const struct rj_cell_worker *worker)
{
	struct opinion *opinion;

	if (!round->opinions || !round->opinions[step])
		return NULL;
	opinion = g_hash_table_lookup(round->opinions[step], worker->id);
	return opinion && opinion->incarnation == worker->incarnation ?
		       opinion :
		       NULL;
}

/*
 * The ticket with which a worker may run a step now, or NULL.
 */
const char *rj_cell_advice_ticket(const struct rj_cell_round *round,
				  uint32_t step,
				  const struct rj_cell_worker *worker,
				  uint64_t now_us)
{
	const struct opinion *opinion = opinion_of(round, step, worker);

	return opinion && opinion->allowed &&
			       now_us + TICKET_MARGIN_US <
				       opinion->good_until_us ?
		       opinion->ticket :
		       NULL;
}

/*
 * A worker has turned the ticket of a task's step away: ask for another.
 */
void rj_cell_advice_void(struct rj_cell_task *task,
			 const struct rj_cell_worker *worker)
{
	struct opinion *opinion = opinion_of(task->round, task->step, worker);

	if (opinion)
		opinion->good_until_us = 0;
}

/* Free all opinions of an occurrence. */
static int free_opinions(GHashTable ***opinions)
{
	size_t steps = talloc_array_length(*opinions);

	for (size_t i = 0; i < steps; i++)
		if ((*opinions)[i])
			g_hash_table_destroy((*opinions)[i]);
	return 0;
}

/* The opinions on a step, made when they are the first. */
static GHashTable *obtain(struct rj_cell_round *round, uint32_t step)
{
	if (!round->opinions) {
		GHashTable ***holder = talloc(round, GHashTable **);

		round->opinions = talloc_zero_array(
			holder, GHashTable *, round->work->def->step_count);
		assert(holder && round->opinions);
		*holder = round->opinions;
		talloc_set_destructor(holder, free_opinions);
	}
	if (!round->opinions[step])
		round->opinions[step] = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
	return round->opinions[step];
}

/* The occurrence that a question is about, or NULL when it has gone. */
static struct rj_cell_round *round_of(const struct question *question)
{
	struct rj_cell_entry *entry =
		rj_cell_view_find(question->owner->view, question->job);
	struct rj_cell_task *task =
		entry && entry->work ?
			rj_cell_work_find(entry->work, question->round,
					  question->step, 0) :
			NULL;

	return task ? task->round : NULL;
}

/* The ticket for a worker in an answer, or NULL when it may not run. */
static const char *ticket_in(const struct rj_cell_advice_reply *reply,
			     const char *worker)
{
	for (uint32_t i = 0; i < reply->count; i++)
		if (!strcmp(reply->tickets[i].worker, worker))
			return reply->tickets[i].ticket;
	return NULL;
}

/* Note what was said of each worker that was asked about. */
static void take_reply(const struct question *question,
		       struct rj_cell_round *round,
		       const struct rj_cell_advice_reply *reply)
{
	GHashTable *opinions = obtain(round, question->step);

	for (uint32_t i = 0; i < question->count; i++) {
		struct opinion *opinion = g_new0(struct opinion, 1);
		const char *ticket = ticket_in(reply, question->workers[i]);

		opinion->incarnation = question->incarnations[i];
		opinion->allowed = ticket != NULL;
		opinion->good_until_us =
			question->sent_us + reply->valid_ms * RJ_US_PER_MS;
		g_strlcpy(opinion->ticket, ticket ? ticket : "",
			  sizeof(opinion->ticket));
		g_hash_table_insert(opinions, g_strdup(question->workers[i]),
				    opinion);
	}
}

/* The policy has answered, or has not. */
static void answered(void *private_data,
		     const struct rj_cell_advice_reply *reply)
{
	struct question *question = private_data;
	struct rj_cell_owner *owner = question->owner;
	struct rj_cell_round *round;

	if (question->generation != owner->generation || !owner->active) {
		talloc_free(question);
		return;
	}
	owner->now_us = reply->now_us;
	owner->advice_open = false;
	round = round_of(question);
	rj_log_event(
		"advice", RJ_LOG_TEXT("job", question->job),
		RJ_LOG_NUMBER("step", question->step),
		RJ_LOG_NUMBER("asked", question->count),
		RJ_LOG_NUMBER("answered", reply->answered),
		RJ_LOG_NUMBER("allowed", reply->count),
		RJ_LOG_AGE_MS("took_ms", reply->now_us - question->sent_us));
	if (!reply->answered)
		owner->advice_due_us = owner->now_us + RETRY_US;
	else if (round)
		take_reply(question, round, reply);
	owner->plan_wanted = true;
	talloc_free(question);
}

/* Add a worker to a question; returns whether there is room for more. */
static bool add_worker(struct question *question,
		       const struct rj_cell_worker *worker)
{
	memcpy(question->workers[question->count], worker->id, RJ_NAME_BYTES);
	question->incarnations[question->count] = worker->incarnation;
	return ++question->count < RJ_CELL_ADVICE_WORKERS;
}

/* The kinds of workers to ask about, in this order. */
enum choice {
	CHOICE_RENEW, /* may run the step, the ticket is no longer good */
	CHOICE_FREE, /* nothing is known, there is room now */
	CHOICE_ANY, /* nothing is known */
	CHOICE_COUNT
};

/* Whether a worker is one of these for a step that waits. */
static bool is_choice(const struct rj_cell_plan *plan,
		      const struct rj_cell_unit *unit,
		      const struct rj_cell_room *room, enum choice choice)
{
	const struct rj_cell_step *step = &unit->work->def->steps[unit->step];
	struct rj_cell_demand want = rj_cell_step_counted(step);
	const struct opinion *opinion =
		opinion_of(unit->round, unit->step, room->worker);
	bool fits = rj_cell_demand_fits(&want, &room->now);

	if (strcmp(room->worker->said.service, unit->service) != 0 ||
	    !rj_cell_demand_fits(&want, &room->worker->said.capacity))
		return false;
	switch (choice) {
	case CHOICE_RENEW:
		return fits && opinion && opinion->allowed &&
		       !rj_cell_advice_ticket(unit->round, unit->step,
					      room->worker, plan->now_us);
	case CHOICE_FREE:
		return fits && !opinion;
	default:
		return !fits && !opinion;
	}
}

/* Choose the workers to ask about for a step that waits. */
static void choose_workers(const struct rj_cell_plan *plan,
			   const struct rj_cell_unit *unit,
			   struct question *question)
{
	/* Each job begins at another worker, so that they do not all ask for
	 * the same ones. */
	uint64_t start = rj_hash64_string(unit->work->def->id, unit->step);

	for (int choice = 0; choice < CHOICE_COUNT; choice++)
		for (uint32_t i = 0; i < plan->room_count; i++) {
			const struct rj_cell_room *room =
				&plan->rooms[(start + i) % plan->room_count];

			if (is_choice(plan, unit, room, (enum choice)choice) &&
			    !add_worker(question, room->worker))
				return;
		}
}

/* Send a question about a step, if there is something to ask. */
static bool send_question(struct rj_cell_owner *owner,
			  const struct rj_cell_plan *plan,
			  const struct rj_cell_unit *unit)
{
	struct question *question = talloc_zero(owner->mem, struct question);
	const char *workers[RJ_CELL_ADVICE_WORKERS];
	char step[STEP_NAME_BYTES];

	assert(question);
	choose_workers(plan, unit, question);
	if (!question->count) {
		talloc_free(question);
		return false;
	}
	question->owner = owner;
	question->generation = owner->generation;
	question->sent_us = owner->now_us;
	memcpy(question->job, unit->work->def->id, sizeof(question->job));
	question->round = unit->round->number;
	question->step = unit->step;
	for (uint32_t i = 0; i < question->count; i++)
		workers[i] = question->workers[i];
	(void)g_snprintf(step, sizeof(step), "%s.%u.%u", question->job,
			 question->round, question->step);
	owner->advice_open = true;
	owner->advisor->ops->ask(
		owner->advisor, step, workers, question->count,
		(struct rj_cell_advice_done){ answered, question });
	return true;
}

/* Whether some task of a unit has found no place in the plan. */
static bool still_waits(const struct rj_cell_unit *unit)
{
	const struct rj_cell_def *def = unit->work->def;
	uint32_t first = rj_cell_def_first_task(def, unit->step);

	for (uint32_t i = 0; i < def->steps[unit->step].task_count; i++) {
		const struct rj_cell_task *task =
			&unit->round->tasks[first + i];

		if (!task->done && task->runs.next == &task->runs)
			return true;
	}
	return false;
}

/*
 * Ask about the first step of the plan's order that waits for want of advice.
 */
void rj_cell_advice_ask(struct rj_cell_owner *owner,
			const struct rj_cell_plan *plan)
{
	if (!owner->advisor || owner->advice_open ||
	    owner->now_us < owner->advice_due_us || !plan->room_count)
		return;
	for (guint i = 0; i < plan->units->len; i++) {
		const struct rj_cell_unit *unit =
			&g_array_index(plan->units, struct rj_cell_unit, i);

		if (unit->advised && still_waits(unit) &&
		    send_question(owner, plan, unit))
			return;
	}
}
