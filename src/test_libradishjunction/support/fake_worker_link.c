#include "support/fake_worker.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "support/copy.h"

#define LATE_MAX_US (3 * RJ_US_PER_S)

/*
 * The worker of that name, or NULL.
 */
struct fake_worker *fake_worker_find(struct world *world, const char *name)
{
	for (uint32_t i = 0; i < world->worker_count; i++)
		if (!strcmp(world->workers[i].name, name))
			return &world->workers[i];
	return NULL;
}

/*
 * Deliver a reply to the instance that called, if it still lives.
 */
void fake_worker_deliver(struct world *world, const struct fake_call *call,
			 uint64_t delay_us, const struct rj_worker_reply *reply)
{
	struct node *node = &world->nodes[call->node];
	struct rj_event *event;
	struct rj_worker_reply *told;

	if (node->life != call->life)
		return;
	event = node_event(world, RJ_EVENT_WORKER_REPLY);
	told = &event->u.worker_reply;
	*told = *reply;
	told->call_id = call->call.call_id;
	told->op = call->call.op;
	memcpy(told->worker, call->call.worker, sizeof(told->worker));
	told->result = copy_bytes(event, &reply->result);
	if (reply->report.task_count)
		told->report.tasks = talloc_memdup(
			event, reply->report.tasks,
			reply->report.task_count * sizeof(*told->report.tasks));
	for (uint32_t i = 0; i < told->report.task_count; i++)
		told->report.tasks[i].result =
			copy_bytes(event, &reply->report.tasks[i].result);
	if (told->leaving || told->report.leaving)
		checker_leaving_known(&world->checker, world->now_us + delay_us,
				      call->node, call->worker,
				      told->incarnation);
	node_deliver_after(world, node, delay_us, event);
}

/*
 * Answer a call, with whatever the network does to the answer.
 */
void fake_worker_answer(struct world *world, struct fake_call *call,
			struct rj_worker_reply *reply)
{
	struct fake_worker *worker = &world->workers[call->worker];
	uint32_t node_domain = world->nodes[call->node].domain;
	uint64_t delay_us =
		simulation_delay_us(world, worker->domain, node_domain) +
		worker->slow_us;

	reply->incarnation = worker->incarnation;
	reply->leaving = worker->leaving && worker->reports_leaving;
	if (call->answered || worker->silent ||
	    !simulation_domains_connected(world, worker->domain, node_domain) ||
	    simulation_chance(world, world->rates.reply_lost))
		return;
	if (simulation_chance(world, world->rates.reply_late)) {
		fake_worker_deliver(
			world, call,
			call->call.timeout_us +
				simulation_random(world, LATE_MAX_US),
			reply);
		return;
	}
	call->answered = true;
	if (simulation_chance(world, world->rates.reply_cut)) {
		reply->status = RJ_REPLY_LOST;
		reply->result.length /= 2;
		memset(&reply->report, 0, sizeof(reply->report));
	} else if (worker->tasks->len &&
		   simulation_chance(world, world->rates.reply_crossed)) {
		const struct fake_task *other =
			worker->tasks->pdata[simulation_random(
				world, worker->tasks->len)];

		reply->attempt = other->attempt;
		reply->token = other->token;
		reply->state = other->state;
	}
	fake_worker_deliver(world, call, delay_us, reply);
	if (simulation_chance(world, world->rates.reply_doubled))
		fake_worker_deliver(
			world, call,
			delay_us + simulation_random(world, LATE_MAX_US),
			reply);
}

static void call_arrives(struct world *world, struct simulation_event *event)
{
	struct fake_call *call = event->data;
	struct fake_worker *worker = &world->workers[call->worker];

	if (worker->down || worker->silent ||
	    !simulation_domains_connected(world, worker->domain,
					  world->nodes[call->node].domain))
		return;
	if (worker->paused)
		g_queue_push_tail(&worker->held, call);
	else
		fake_worker_serve(world, worker, call);
}

static void call_times_out(struct world *world, struct simulation_event *event)
{
	struct fake_call *call = event->data;
	struct rj_worker_reply reply = { .status = RJ_REPLY_LOST };

	if (call->answered)
		return;
	fake_worker_deliver(world, call, 0, &reply);
}

/*
 * Call a worker as an instance does; the call ends in an event.
 */
void fake_worker_call(struct world *world, struct node *node,
		      const struct rj_worker_call *asked)
{
	struct fake_worker *worker = fake_worker_find(world, asked->worker);
	struct fake_call *call = talloc_zero(world, struct fake_call);
	uint64_t heard_us[CHECKER_NODES_MAX];
	uint64_t delay_us;

	assert(worker && call && asked->timeout_us);
	call->call = *asked;
	worker->connections_max[node->index] = asked->connections_max;
	call->call.body = copy_bytes(call, &asked->body);
	call->node = node->index;
	call->worker = worker->index;
	call->life = node->life;
	if (asked->op == RJ_WORKER_LEASE || asked->op == RJ_WORKER_RUN) {
		fake_peers_contact(world, node->index, heard_us);
		checker_job_sent(&world->checker, world->now_us, node->index,
				 worker->index, worker->incarnation, heard_us);
	}
	simulation_schedule(world, asked->timeout_us, call_times_out)->data =
		call;
	if (simulation_chance(world, world->rates.call_lost))
		return;
	delay_us = simulation_delay_us(world, node->domain, worker->domain);
	if (simulation_chance(world, world->rates.call_late))
		delay_us = simulation_random(world, LATE_MAX_US);
	simulation_schedule(world, delay_us, call_arrives)->data = call;
}
