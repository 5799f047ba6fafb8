#include "support/fake_worker.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "support/copy.h"

#define LATE_MAX_US (3 * RJ_US_PER_S)

/*
 * Returns the worker of that name, or NULL.
 */
struct fake_worker *fake_worker_find(struct simulation *simulation,
				     const char *name)
{
	for (uint32_t i = 0; i < simulation->worker_count; i++)
		if (!strcmp(simulation->workers[i].name, name))
			return &simulation->workers[i];
	return NULL;
}

/*
 * Delivers a reply to the calling instance, unless it has ended since the call.
 */
void fake_worker_deliver(struct simulation *simulation,
			 const struct fake_call *call, uint64_t delay_us,
			 const struct rj_worker_reply *reply)
{
	struct node *node = &simulation->nodes[call->node];
	struct rj_event *event;
	struct rj_worker_reply *sent;

	if (node->epoch != call->epoch)
		return;
	event = node_event(simulation, RJ_EVENT_WORKER_REPLY);
	sent = &event->u.worker_reply;
	*sent = *reply;
	sent->call_id = call->call.call_id;
	sent->op = call->call.op;
	memcpy(sent->worker, call->call.worker, sizeof(sent->worker));
	sent->result = copy_bytes(event, &reply->result);
	if (reply->report.task_count)
		sent->report.tasks = talloc_memdup(
			event, reply->report.tasks,
			reply->report.task_count * sizeof(*sent->report.tasks));
	for (uint32_t i = 0; i < sent->report.task_count; i++)
		sent->report.tasks[i].result =
			copy_bytes(event, &reply->report.tasks[i].result);
	if (sent->leaving || sent->report.leaving)
		checker_leaving_known(&simulation->checker,
				      simulation->now_us + delay_us, call->node,
				      call->worker, sent->incarnation);
	node_deliver_after(simulation, node, delay_us, event);
}

/*
 * Sends the reply to a call, subject to the configured network faults.
 */
void fake_worker_answer(struct simulation *simulation, struct fake_call *call,
			struct rj_worker_reply *reply)
{
	struct fake_worker *worker = &simulation->workers[call->worker];
	uint32_t node_domain = simulation->nodes[call->node].domain;
	uint64_t delay_us =
		simulation_delay_us(simulation, worker->domain, node_domain) +
		worker->slow_us;

	reply->incarnation = worker->incarnation;
	reply->leaving = worker->leaving && worker->reports_leaving;
	if (call->answered || worker->unreachable ||
	    !simulation_domains_connected(simulation, worker->domain,
					  node_domain) ||
	    simulation_chance(simulation, simulation->rates.reply_lost))
		return;
	if (simulation_chance(simulation, simulation->rates.reply_late)) {
		fake_worker_deliver(
			simulation, call,
			call->call.timeout_us +
				simulation_random(simulation, LATE_MAX_US),
			reply);
		return;
	}
	call->answered = true;
	if (simulation_chance(simulation, simulation->rates.reply_truncated)) {
		reply->status = RJ_REPLY_LOST;
		reply->result.length /= 2;
		memset(&reply->report, 0, sizeof(reply->report));
	} else if (worker->tasks->len &&
		   simulation_chance(simulation,
				     simulation->rates.reply_mismatched)) {
		const struct fake_task *other =
			worker->tasks->pdata[simulation_random(
				simulation, worker->tasks->len)];

		reply->attempt = other->attempt;
		reply->token = other->token;
		reply->state = other->state;
	}
	fake_worker_deliver(simulation, call, delay_us, reply);
	if (simulation_chance(simulation, simulation->rates.reply_duplicated))
		fake_worker_deliver(
			simulation, call,
			delay_us + simulation_random(simulation, LATE_MAX_US),
			reply);
}

static void call_arrives(struct simulation *simulation,
			 struct simulation_event *event)
{
	struct fake_call *call = event->data;
	struct fake_worker *worker = &simulation->workers[call->worker];

	if (worker->down || worker->unreachable ||
	    !simulation_domains_connected(simulation, worker->domain,
					  simulation->nodes[call->node].domain))
		return;
	if (worker->paused)
		g_queue_push_tail(&worker->deferred, call);
	else
		fake_worker_serve(simulation, worker, call);
}

static void call_times_out(struct simulation *simulation,
			   struct simulation_event *event)
{
	struct fake_call *call = event->data;
	struct rj_worker_reply reply = { .status = RJ_REPLY_LOST };

	if (call->answered)
		return;
	fake_worker_deliver(simulation, call, 0, &reply);
}

/*
 * Calls a worker as an instance does. Every call results in a reply event; an
 * unanswered one is reported lost at its timeout.
 */
void fake_worker_call(struct simulation *simulation, struct node *node,
		      const struct rj_worker_call *request)
{
	struct fake_worker *worker =
		fake_worker_find(simulation, request->worker);
	struct fake_call *call = talloc_zero(simulation, struct fake_call);
	uint64_t contact_us[CHECKER_NODES_MAX];
	uint64_t delay_us;

	assert(worker && call && request->timeout_us);
	call->call = *request;
	worker->connections_max[node->index] = request->connections_max;
	call->call.body = copy_bytes(call, &request->body);
	call->node = node->index;
	call->worker = worker->index;
	call->epoch = node->epoch;
	if (request->op == RJ_WORKER_LEASE || request->op == RJ_WORKER_RUN) {
		fake_peers_contact(simulation, node->index, contact_us);
		checker_job_sent(&simulation->checker, simulation->now_us,
				 node->index, worker->index,
				 worker->incarnation, contact_us);
	}
	simulation_schedule(simulation, request->timeout_us, call_times_out)
		->data = call;
	if (simulation_chance(simulation, simulation->rates.call_lost))
		return;
	delay_us =
		simulation_delay_us(simulation, node->domain, worker->domain);
	if (simulation_chance(simulation, simulation->rates.call_late))
		delay_us = simulation_random(simulation, LATE_MAX_US);
	simulation_schedule(simulation, delay_us, call_arrives)->data = call;
}
