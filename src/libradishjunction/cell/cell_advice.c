#include "private/cell_advice.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_owner.h"
#include "private/cell_place.h"
#include "private/log_event.h"

/* A ticket that expires sooner is not used: the order takes some milliseconds
 * and may be repeated once. */
#define TICKET_MARGIN_US (400 * RJ_US_PER_MS)
/* Delay after a request that got no answer. */
#define ASK_RETRY_US (300 * RJ_US_PER_MS)
/* Job id, occurrence and step. */
#define STEP_NAME_BYTES 48

/* The policy's decision on one worker. */
struct decision {
	uint64_t incarnation; /* of the worker */
	bool allowed;
	char *ticket;
	uint64_t valid_until_us; /* of the ticket */
};

/* A request in flight. Its job and workers may disappear meanwhile. */
struct request {
	struct rj_cell_owner *owner;
	uint32_t generation;
	uint64_t sent_us;
	char job[RJ_CELL_ID_BYTES];
	uint32_t occurrence;
	uint32_t step;
	uint32_t count;
	char workers[RJ_CELL_ADVICE_WORKERS][RJ_NAME_BYTES];
	const char *listed_ids[RJ_CELL_ADVICE_WORKERS];
	uint64_t incarnations[RJ_CELL_ADVICE_WORKERS];
};

/* Returns the decision for the worker's current incarnation, or NULL. */
static struct decision *
find_decision(const struct rj_cell_occurrence *occurrence, uint32_t step,
	      const struct rj_cell_worker *worker)
{
	struct decision *decision;

	if (!occurrence->policy_decisions ||
	    !occurrence->policy_decisions[step])
		return NULL;
	decision = g_hash_table_lookup(occurrence->policy_decisions[step],
				       worker->id);
	return decision && decision->incarnation == worker->incarnation ?
		       decision :
		       NULL;
}

/*
 * Returns a ticket with which the worker may run the step now, or NULL.
 */
const char *rj_cell_advice_ticket(const struct rj_cell_occurrence *occurrence,
				  uint32_t step,
				  const struct rj_cell_worker *worker,
				  uint64_t now_us)
{
	const struct decision *decision =
		find_decision(occurrence, step, worker);

	return decision && decision->allowed &&
			       now_us + TICKET_MARGIN_US <
				       decision->valid_until_us ?
		       decision->ticket :
		       NULL;
}

/*
 * Discards the ticket for a task's step that a worker rejected, so that a new
 * one is requested.
 */
void rj_cell_advice_invalidate(struct rj_cell_task *task,
			       const struct rj_cell_worker *worker)
{
	struct decision *decision =
		find_decision(task->occurrence, task->step, worker);

	if (decision)
		decision->valid_until_us = 0;
}

static void free_decision(gpointer private_data)
{
	struct decision *decision = private_data;

	g_free(decision->ticket);
	g_free(decision);
}

/* Frees all decisions of an occurrence. */
static int free_decisions(GHashTable ***policy_decisions)
{
	size_t steps = talloc_array_length(*policy_decisions);

	for (size_t i = 0; i < steps; i++)
		if ((*policy_decisions)[i])
			g_hash_table_destroy((*policy_decisions)[i]);
	return 0;
}

static GHashTable *
get_or_create_decisions(struct rj_cell_occurrence *occurrence, uint32_t step)
{
	if (!occurrence->policy_decisions) {
		GHashTable ***holder = talloc(occurrence, GHashTable **);

		occurrence->policy_decisions = talloc_zero_array(
			holder, GHashTable *,
			occurrence->job->job_spec->step_count);
		assert(holder && occurrence->policy_decisions);
		*holder = occurrence->policy_decisions;
		talloc_set_destructor(holder, free_decisions);
	}
	if (!occurrence->policy_decisions[step])
		occurrence->policy_decisions[step] = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, free_decision);
	return occurrence->policy_decisions[step];
}

/* Returns the occurrence that a request is about, or NULL if it has ended. */
static struct rj_cell_occurrence *find_occurrence(const struct request *request)
{
	struct rj_cell_view_entry *entry =
		rj_cell_view_find(request->owner->view, request->job);
	struct rj_cell_task *task =
		entry && entry->job ?
			rj_cell_job_find_task(entry->job, request->occurrence,
					      request->step, 0) :
			NULL;

	return task ? task->occurrence : NULL;
}

/* Returns the ticket for a worker, or NULL if it may not run the step. */
static const char *ticket_in(const struct rj_cell_advice_reply *reply,
			     const char *worker)
{
	for (uint32_t i = 0; i < reply->count; i++)
		if (!strcmp(reply->tickets[i].worker, worker))
			return reply->tickets[i].ticket;
	return NULL;
}

/* Stores a decision for each worker in the request. */
static void store_decisions(const struct request *request,
			    struct rj_cell_occurrence *occurrence,
			    const struct rj_cell_advice_reply *reply)
{
	GHashTable *policy_decisions =
		get_or_create_decisions(occurrence, request->step);

	for (uint32_t i = 0; i < request->count; i++) {
		struct decision *decision = g_new0(struct decision, 1);
		const char *ticket = ticket_in(reply, request->workers[i]);

		decision->incarnation = request->incarnations[i];
		decision->allowed = ticket != NULL;
		decision->valid_until_us =
			request->sent_us + reply->valid_ms * RJ_US_PER_MS;
		decision->ticket = g_strdup(ticket ? ticket : "");
		g_hash_table_insert(policy_decisions,
				    g_strdup(request->workers[i]), decision);
	}
}

/* Handles the answer to a request, or its failure. */
static void ask_done(void *private_data,
		     const struct rj_cell_advice_reply *reply)
{
	struct request *request = private_data;
	struct rj_cell_owner *owner = request->owner;
	struct rj_cell_occurrence *occurrence;

	if (request->generation != owner->generation || !owner->active) {
		talloc_free(request);
		return;
	}
	owner->now_us = reply->now_us;
	owner->advice_pending = false;
	occurrence = find_occurrence(request);
	rj_log_event(
		"advice", RJ_LOG_TEXT("job", request->job),
		RJ_LOG_NUMBER("step", request->step),
		RJ_LOG_NUMBER("asked", request->count),
		RJ_LOG_NUMBER("answered", reply->answered),
		RJ_LOG_NUMBER("allowed", reply->count),
		RJ_LOG_AGE_MS("took_ms", reply->now_us - request->sent_us));
	if (!reply->answered)
		owner->advice_due_us = owner->now_us + ASK_RETRY_US;
	else if (occurrence)
		store_decisions(request, occurrence, reply);
	owner->plan_wanted = true;
	talloc_free(request);
}

/* Adds a worker to a request. Returns whether more can be added. */
static bool add_worker(struct request *request,
		       const struct rj_cell_worker *worker)
{
	memcpy(request->workers[request->count], worker->id, RJ_NAME_BYTES);
	request->listed_ids[request->count] =
		talloc_strdup(request, rj_cell_worker_listed_id(worker));
	request->incarnations[request->count] = worker->incarnation;
	return ++request->count < RJ_CELL_ADVICE_WORKERS;
}

/* Classes of workers to ask about, in this order. */
enum candidate_class {
	CANDIDATE_RENEWAL, /* may run the step, but its ticket has expired */
	CANDIDATE_WITH_CAPACITY, /* no decision yet; the step fits now */
	/* No decision yet; the step does not fit now. */
	CANDIDATE_WITHOUT_CAPACITY,
	CANDIDATE_CLASS_COUNT
};

/* Whether a worker belongs to a class for a waiting step. */
static bool is_candidate(const struct rj_cell_plan *plan,
			 const struct rj_cell_task_group *group,
			 const struct rj_cell_plan_worker *plan_worker,
			 enum candidate_class kind)
{
	const struct rj_cell_step *step =
		&group->job->job_spec->steps[group->step];
	struct rj_cell_demand want = rj_cell_step_allocation(step);
	const struct decision *decision = find_decision(
		group->occurrence, group->step, plan_worker->worker);
	bool fits = rj_cell_demand_fits(&want, &plan_worker->free_now);

	if (strcmp(plan_worker->worker->heartbeat.service, group->service) !=
		    0 ||
	    !rj_cell_demand_fits(&want,
				 &plan_worker->worker->heartbeat.capacity))
		return false;
	switch (kind) {
	case CANDIDATE_RENEWAL:
		return fits && decision && decision->allowed &&
		       !rj_cell_advice_ticket(group->occurrence, group->step,
					      plan_worker->worker,
					      plan->now_us);
	case CANDIDATE_WITH_CAPACITY:
		return fits && !decision;
	default:
		return !fits && !decision;
	}
}

/* Chooses the workers to ask about for a waiting step. */
static void choose_workers(const struct rj_cell_plan *plan,
			   const struct rj_cell_task_group *group,
			   struct request *request)
{
	/* Each step starts at a different worker, so that requests do not all
	 * name the same ones. */
	uint64_t start =
		rj_hash64_string(group->job->job_spec->id, group->step);

	for (int kind = 0; kind < CANDIDATE_CLASS_COUNT; kind++)
		for (uint32_t i = 0; i < plan->worker_count; i++) {
			const struct rj_cell_plan_worker *plan_worker =
				&plan->workers[(start + i) %
					       plan->worker_count];

			if (is_candidate(plan, group, plan_worker,
					 (enum candidate_class)kind) &&
			    !add_worker(request, plan_worker->worker))
				return;
		}
}

/* Requests decisions for a step. Returns false if none are needed. */
static bool send_request(struct rj_cell_owner *owner,
			 const struct rj_cell_plan *plan,
			 const struct rj_cell_task_group *group)
{
	struct request *request = talloc_zero(owner->mem, struct request);
	char step[STEP_NAME_BYTES];

	assert(request);
	choose_workers(plan, group, request);
	if (!request->count) {
		talloc_free(request);
		return false;
	}
	request->owner = owner;
	request->generation = owner->generation;
	request->sent_us = owner->now_us;
	memcpy(request->job, group->job->job_spec->id, sizeof(request->job));
	request->occurrence = group->occurrence->number;
	request->step = group->step;
	(void)g_snprintf(step, sizeof(step), "%s.%u.%u", request->job,
			 request->occurrence, request->step);
	owner->advice_pending = true;
	owner->advisor->ops->ask(
		owner->advisor, step, request->listed_ids, request->count,
		(struct rj_cell_advice_done){ ask_done, request });
	return true;
}

/* Whether a task of the unit is neither done nor running. */
static bool still_waits(const struct rj_cell_task_group *group)
{
	const struct rj_cell_job_spec *job_spec = group->job->job_spec;
	uint32_t first = rj_cell_job_spec_first_task(job_spec, group->step);

	for (uint32_t i = 0; i < job_spec->steps[group->step].task_count; i++) {
		const struct rj_cell_task *task =
			&group->occurrence->tasks[first + i];

		if (!task->done && task->runs.next == &task->runs)
			return true;
	}
	return false;
}

/*
 * Sends a request for the first step in plan order that waits for the policy.
 */
void rj_cell_advice_ask(struct rj_cell_owner *owner,
			const struct rj_cell_plan *plan)
{
	if (!owner->advisor || owner->advice_pending ||
	    owner->now_us < owner->advice_due_us || !plan->worker_count)
		return;
	for (guint i = 0; i < plan->task_groups->len; i++) {
		const struct rj_cell_task_group *group = &g_array_index(
			plan->task_groups, struct rj_cell_task_group, i);

		if (group->advised && still_waits(group) &&
		    send_request(owner, plan, group))
			return;
	}
}
