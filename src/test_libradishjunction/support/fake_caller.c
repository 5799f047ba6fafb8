#include "support/simulation.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define CALLER_DELAY_US RJ_US_PER_MS
/* Delay of a retry when the answer does not state one. */
#define RETRY_DELAY_US RJ_US_PER_S
#define CALLER_TIMEOUT_US (20 * RJ_US_PER_S)
#define TRIES_MAX 30
#define RESULT_FORMAT "result of intent %u, %016" PRIx64 ";"

static void send_request(struct simulation *simulation,
			 struct simulation_event *event);

static void schedule_request(struct simulation *simulation,
			     struct fake_caller *caller, uint64_t delay_us)
{
	simulation_schedule(simulation, delay_us, send_request)->data = caller;
}

/* Chooses a live instance: in the caller's own failure domain two times in
 * three, otherwise, from the third request on, in a random one. Returns NULL if
 * it finds none. */
static struct node *choose_node(struct simulation *simulation,
				const struct fake_caller *caller)
{
	uint32_t per_domain = simulation->options.nodes_per_domain;
	uint32_t domain = caller->domain;

	if (caller->tries > 1 && simulation_random(simulation, 3) == 0)
		domain = (uint32_t)simulation_random(
			simulation, simulation->options.domains);
	for (uint32_t i = 0; i < per_domain; i++) {
		struct node *node =
			&simulation->nodes[domain * per_domain +
					   simulation_random(simulation,
							     per_domain)];

		if (node->engine)
			return node;
	}
	return NULL;
}

/* Closes the caller's connection at its timeout and schedules a retry. */
static void request_timed_out(struct simulation *simulation,
			      struct simulation_event *event)
{
	struct fake_caller *caller = event->data;
	struct node *node = &simulation->nodes[caller->node];
	struct rj_event *disconnected;

	if (caller->request_id != event->epoch)
		return;
	checker_request_abandoned(&simulation->checker, caller->request_id);
	disconnected = node_event(simulation, RJ_EVENT_CALLER_DISCONNECTED);
	disconnected->u.request_id = caller->request_id;
	node_deliver_after(simulation, node, CALLER_DELAY_US, disconnected);
	caller->request_id = 0;
	schedule_request(simulation, caller, RETRY_DELAY_US);
}

/*
 * Creates a caller's request to an instance and records it in the checker. The
 * event is to be delivered by the function's caller.
 */
struct rj_event *fake_caller_event(struct simulation *simulation,
				   const struct fake_caller *caller,
				   const struct node *node,
				   enum rj_request_op op, uint64_t request_id)
{
	struct rj_event *event = node_event(simulation, RJ_EVENT_REQUEST);
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
	checker_request(&simulation->checker, simulation->now_us, request_id,
			node->index, caller->intent, op);
	return event;
}

/* Sends a request to an instance. Except for CANCEL, the caller waits for
 * the answer until its timeout. */
static void put_request(struct simulation *simulation,
			struct fake_caller *caller, struct node *node,
			enum rj_request_op op)
{
	uint64_t request_id = simulation->next_request++;
	struct rj_event *event =
		fake_caller_event(simulation, caller, node, op, request_id);
	struct simulation_event *timeout;

	node_deliver_after(simulation, node, CALLER_DELAY_US, event);
	if (op == RJ_REQUEST_CANCEL)
		return;
	caller->request_id = request_id;
	caller->node = node->index;
	timeout = simulation_schedule(simulation, caller->timeout_us,
				      request_timed_out);
	timeout->data = caller;
	timeout->epoch = caller->request_id;
}

/*
 * Sends the first request or a retry: an accepted job is looked up, a keyed one
 * is submitted again with its key, and any other is abandoned.
 */
static void send_request(struct simulation *simulation,
			 struct simulation_event *event)
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
		caller->first_us = simulation->now_us;
	node = choose_node(simulation, caller);
	if (!node) {
		schedule_request(simulation, caller, RETRY_DELAY_US);
		return;
	}
	caller->tries++;
	put_request(simulation, caller, node,
		    caller->job_id ? RJ_REQUEST_LOOKUP : RJ_REQUEST_SUBMIT);
}

static void cancel(struct simulation *simulation,
		   struct simulation_event *event)
{
	struct fake_caller *caller = event->data;
	struct node *node = choose_node(simulation, caller);

	if (node && caller->job_id && !caller->ended)
		put_request(simulation, caller, node, RJ_REQUEST_CANCEL);
}

/* Submits the job to a second instance while the first request is
 * outstanding. */
static void send_duplicate(struct simulation *simulation,
			   struct simulation_event *event)
{
	struct fake_caller *caller = event->data;
	struct node *node = choose_node(simulation, caller);
	uint64_t request_id = caller->request_id;
	uint32_t at = caller->node;

	if (!node || caller->ended)
		return;
	put_request(simulation, caller, node, RJ_REQUEST_SUBMIT);
	caller->request_id = request_id;
	caller->node = at;
}

/*
 * Adds a caller that sends its first request after `delay_us`. The simulation
 * owns it.
 */
struct fake_caller *fake_caller_add(struct simulation *simulation,
				    uint64_t delay_us,
				    const struct fake_caller_options *options)
{
	struct fake_caller *caller =
		talloc_zero(simulation, struct fake_caller);
	struct checker_intent intent = { .key = options->key,
					 .idempotent = options->idempotent,
					 .guaranteed = options->guaranteed,
					 .gang = options->tasks };
	struct rj_job_spec *spec = &caller->spec;

	assert(caller);
	caller->domain = options->domain;
	caller->timeout_us = CALLER_TIMEOUT_US;
	caller->tries_max = TRIES_MAX;
	caller->served_us = RJ_NEVER_US;
	caller->cancels = options->cancels;
	caller->intent = simulation->checker.intents->len;
	(void)snprintf(caller->body, sizeof(caller->body),
		       "intent=%u run_us=%" PRIu64 " fails=%u", caller->intent,
		       options->run_us, options->fails);
	(void)snprintf(intent.result, sizeof(intent.result), RESULT_FORMAT,
		       caller->intent, rj_hash64_string(caller->body, 0));
	(void)checker_intent_add(&simulation->checker, &intent);
	(void)rj_name_set(spec->account, options->account);
	(void)rj_name_set(spec->class_name, options->class_name);
	if (options->key)
		(void)snprintf(spec->key, sizeof(spec->key), "key-%u",
			       options->key);
	spec->shape.tasks = options->tasks;
	spec->shape.each.slots = 1;
	spec->shape.each.accelerators = options->accelerators;
	spec->shape.each.cores = 1;
	spec->shape.each.memory_mb = 64;
	spec->shape.adjacent = options->adjacent;
	spec->declared_us = options->run_us;
	spec->deadline_in_us = options->deadline_us;
	spec->wait = options->waits;
	spec->body.data = (const uint8_t *)caller->body;
	spec->body.length = (uint32_t)strlen(caller->body);
	g_ptr_array_add(simulation->callers, caller);
	schedule_request(simulation, caller, delay_us);
	if (options->duplicated)
		simulation_schedule(
			simulation,
			delay_us + simulation_random(simulation, RJ_US_PER_S),
			send_duplicate)
			->data = caller;
	return caller;
}

static struct fake_caller *find_caller(struct simulation *simulation,
				       uint64_t request_id)
{
	for (guint i = 0; i < simulation->callers->len; i++) {
		struct fake_caller *caller = simulation->callers->pdata[i];

		if (caller->request_id == request_id)
			return caller;
	}
	return NULL;
}

/*
 * Delivers an instance's answer: the caller ends, polls, cancels or retries
 * accordingly.
 */
void fake_caller_answer(struct simulation *simulation, struct node *node,
			uint64_t request_id, const struct rj_answer *answer)
{
	struct fake_caller *caller = find_caller(simulation, request_id);
	uint64_t retry_us = answer->retry_after_us;

	checker_answer(&simulation->checker, simulation->now_us, node->index,
		       request_id, answer);
	if (!caller)
		return;
	caller->request_id = 0;
	if (answer->kind == RJ_ANSWER_DONE ||
	    answer->kind == RJ_ANSWER_ACCEPTED)
		if (caller->served_us == RJ_NEVER_US)
			caller->served_us = simulation->now_us;
	if (answer->kind == RJ_ANSWER_ACCEPTED) {
		caller->job_id = answer->job_id;
		if (caller->cancels)
			simulation_schedule(
				simulation,
				simulation_random(simulation, 2 * RJ_US_PER_S),
				cancel)
				->data = caller;
		retry_us = RETRY_DELAY_US;
	} else if (answer->kind != RJ_ANSWER_UNKNOWN &&
		   !(answer->kind == RJ_ANSWER_NOT_RUN && retry_us &&
		     caller->spec.key[0])) {
		caller->ended = true;
		return;
	}
	schedule_request(simulation, caller,
			 retry_us ? retry_us : RETRY_DELAY_US);
}

/*
 * Handles the end of an instance: callers that waited for it retry at another.
 */
void fake_caller_node_ended(struct simulation *simulation, struct node *node)
{
	for (guint i = 0; i < simulation->callers->len; i++) {
		struct fake_caller *caller = simulation->callers->pdata[i];

		if (!caller->request_id || caller->node != node->index)
			continue;
		caller->request_id = 0;
		if (!caller->orphaned_us)
			caller->orphaned_us = simulation->now_us;
		schedule_request(simulation, caller, RETRY_DELAY_US);
	}
}
