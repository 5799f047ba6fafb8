#include "support/simulation.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define CALLER_DELAY_US RJ_US_PER_MS
/* A caller that is told to come back without a time does so after this. */
#define COME_BACK_US RJ_US_PER_S
#define PATIENCE_US (20 * RJ_US_PER_S)
#define TRIES_MAX 30
#define RESULT_FORMAT "result of intent %u, %016" PRIx64 ";"

static void ask(struct world *world, struct world_event *event);

static void ask_after(struct world *world, struct fake_caller *caller,
		      uint64_t delay_us)
{
	world_after(world, delay_us, ask)->data = caller;
}

/* Some live instance; the caller's own failure domain two times in three. */
static struct node *choose_node(struct world *world,
				const struct fake_caller *caller)
{
	uint32_t per_domain = world->options.nodes_per_domain;
	uint32_t domain = caller->domain;

	if (caller->tries > 1 && world_random(world, 3) == 0)
		domain = (uint32_t)world_random(world, world->options.domains);
	for (uint32_t i = 0; i < per_domain; i++) {
		struct node *node =
			&world->nodes[domain * per_domain +
				      world_random(world, per_domain)];

		if (node->engine)
			return node;
	}
	return NULL;
}

static void patience_ends(struct world *world, struct world_event *event)
{
	struct fake_caller *caller = event->data;
	struct node *node = &world->nodes[caller->node];
	struct rj_event *gone;

	if (caller->request_id != event->life)
		return;
	checker_request_gone(&world->checker, caller->request_id);
	gone = node_event(world, RJ_EVENT_CALLER_GONE);
	gone->u.request_id = caller->request_id;
	node_deliver_after(world, node, CALLER_DELAY_US, gone);
	caller->request_id = 0;
	ask_after(world, caller, COME_BACK_US);
}

/*
 * A caller's request to an instance, which the checker knows of; whoever
 * makes it delivers it.
 */
struct rj_event *fake_caller_event(struct world *world,
				   const struct fake_caller *caller,
				   const struct node *node,
				   enum rj_request_op op, uint64_t request_id)
{
	struct rj_event *event = node_event(world, RJ_EVENT_REQUEST);
	struct rj_request *request = &event->u.request;

	request->request_id = request_id;
	request->op = op;
	(void)g_strlcpy(request->token, caller->spec.account,
			sizeof(request->token));
	request->job_id = caller->job_id;
	request->wait = true;
	if (op == RJ_REQUEST_SUBMIT) {
		request->spec = caller->spec;
		request->spec.body.data = talloc_memdup(
			event, caller->body, caller->spec.body.length);
		request->spec.job_id = 0;
	}
	checker_request(&world->checker, world->now_us, request_id, node->index,
			caller->intent, op);
	return event;
}

static void put_request(struct world *world, struct fake_caller *caller,
			struct node *node, enum rj_request_op op)
{
	uint64_t request_id = world->next_request++;
	struct rj_event *event =
		fake_caller_event(world, caller, node, op, request_id);
	struct world_event *patience;

	node_deliver_after(world, node, CALLER_DELAY_US, event);
	if (op == RJ_REQUEST_CANCEL)
		return;
	caller->request_id = request_id;
	caller->node = node->index;
	patience = world_after(world, caller->patience_us, patience_ends);
	patience->data = caller;
	patience->life = caller->request_id;
}

/*
 * Ask, or ask again: a keyed job is submitted anew with its key, an accepted
 * one is looked up, and one that is neither is given up.
 */
static void ask(struct world *world, struct world_event *event)
{
	struct fake_caller *caller = event->data;
	struct node *node;

	if (caller->ended || caller->request_id)
		return;
	if (caller->tries && !caller->job_id && !caller->spec.key[0]) {
		caller->ended = true;
		return;
	}
	if (caller->tries >= caller->tries_max) {
		caller->ended = true;
		return;
	}
	if (!caller->tries)
		caller->first_us = world->now_us;
	node = choose_node(world, caller);
	if (!node) {
		ask_after(world, caller, COME_BACK_US);
		return;
	}
	caller->tries++;
	put_request(world, caller, node,
		    caller->job_id ? RJ_REQUEST_LOOKUP : RJ_REQUEST_SUBMIT);
}

static void cancel(struct world *world, struct world_event *event)
{
	struct fake_caller *caller = event->data;
	struct node *node = choose_node(world, caller);

	if (node && caller->job_id && !caller->ended)
		put_request(world, caller, node, RJ_REQUEST_CANCEL);
}

static void double_ask(struct world *world, struct world_event *event)
{
	struct fake_caller *caller = event->data;
	struct node *node = choose_node(world, caller);
	uint64_t request_id = caller->request_id;
	uint32_t at = caller->node;

	if (!node || caller->ended)
		return;
	put_request(world, caller, node, RJ_REQUEST_SUBMIT);
	caller->request_id = request_id;
	caller->node = at;
}

/*
 * Add a caller that first asks after `delay_us`.
 */
struct fake_caller *fake_caller_add(struct world *world, uint64_t delay_us,
				    const struct caller_plan *plan)
{
	struct fake_caller *caller = talloc_zero(world, struct fake_caller);
	struct checker_intent intent = { .key = plan->key,
					 .idempotent = plan->idempotent,
					 .guaranteed = plan->guaranteed,
					 .gang = plan->tasks };
	struct rj_job_spec *spec = &caller->spec;

	assert(caller);
	caller->domain = plan->domain;
	caller->patience_us = PATIENCE_US;
	caller->tries_max = TRIES_MAX;
	caller->served_us = RJ_NEVER_US;
	caller->cancels = plan->cancels;
	caller->intent = world->checker.intents->len;
	(void)snprintf(caller->body, sizeof(caller->body),
		       "intent=%u run_us=%" PRIu64 " fails=%u", caller->intent,
		       plan->run_us, plan->fails);
	(void)snprintf(intent.result, sizeof(intent.result), RESULT_FORMAT,
		       caller->intent, rj_hash64_string(caller->body, 0));
	(void)checker_intent_add(&world->checker, &intent);
	(void)rj_name_set(spec->account, plan->account);
	(void)rj_name_set(spec->class_name, plan->class_name);
	if (plan->key)
		(void)snprintf(spec->key, sizeof(spec->key), "key-%u",
			       plan->key);
	spec->shape.tasks = plan->tasks;
	spec->shape.each.slots = 1;
	spec->shape.each.accelerators = plan->accelerators;
	spec->shape.each.cores = 1;
	spec->shape.each.memory_mb = 64;
	spec->shape.adjacent = plan->adjacent;
	spec->declared_us = plan->run_us;
	spec->deadline_in_us = plan->deadline_us;
	spec->wait = plan->waits;
	spec->body.data = (const uint8_t *)caller->body;
	spec->body.length = (uint32_t)strlen(caller->body);
	g_ptr_array_add(world->callers, caller);
	ask_after(world, caller, delay_us);
	if (plan->doubled)
		world_after(world, delay_us + world_random(world, RJ_US_PER_S),
			    double_ask)
			->data = caller;
	return caller;
}

static struct fake_caller *caller_of(struct world *world, uint64_t request_id)
{
	for (guint i = 0; i < world->callers->len; i++) {
		struct fake_caller *caller = world->callers->pdata[i];

		if (caller->request_id == request_id)
			return caller;
	}
	return NULL;
}

/*
 * An instance answers a request; the caller does what the answer says.
 */
void fake_caller_answer(struct world *world, struct node *node,
			uint64_t request_id, const struct rj_answer *answer)
{
	struct fake_caller *caller = caller_of(world, request_id);
	uint64_t back_us = answer->retry_after_us;

	checker_answer(&world->checker, world->now_us, node->index, request_id,
		       answer);
	if (!caller)
		return;
	caller->request_id = 0;
	if (answer->kind == RJ_ANSWER_DONE ||
	    answer->kind == RJ_ANSWER_ACCEPTED)
		if (caller->served_us == RJ_NEVER_US)
			caller->served_us = world->now_us;
	if (answer->kind == RJ_ANSWER_ACCEPTED) {
		caller->job_id = answer->job_id;
		if (caller->cancels)
			world_after(world, world_random(world, 2 * RJ_US_PER_S),
				    cancel)
				->data = caller;
		back_us = COME_BACK_US;
	} else if (answer->kind != RJ_ANSWER_UNKNOWN &&
		   !(answer->kind == RJ_ANSWER_NOT_RUN && back_us &&
		     caller->spec.key[0])) {
		caller->ended = true;
		return;
	}
	ask_after(world, caller, back_us ? back_us : COME_BACK_US);
}

/*
 * An instance has ended: whoever waited on it knows nothing and asks another.
 */
void fake_caller_node_gone(struct world *world, struct node *node)
{
	for (guint i = 0; i < world->callers->len; i++) {
		struct fake_caller *caller = world->callers->pdata[i];

		if (!caller->request_id || caller->node != node->index)
			continue;
		caller->request_id = 0;
		if (!caller->orphaned_us)
			caller->orphaned_us = world->now_us;
		ask_after(world, caller, COME_BACK_US);
	}
}
