/*
 * Delivers orders to the fake workers: fencing tokens, tickets, lost answers,
 * and orders that are executed late.
 */
#include <string.h>
#include <talloc.h>

#include "support/cell_fake.h"

#define LATENCY_US (3 * MS)
#define TIMEOUT_US (700 * MS)
/* Completions in an answer. */
#define COMPLETIONS_MAX 500
/* Delay of an order that is executed late. */
#define DELAY_MIN_MS 2000
#define DELAY_SPREAD_MS 6000

enum order_kind {
	ORDER_START,
	ORDER_STOP,
	ORDER_POLL,
};

/* An order in flight. */
struct order {
	struct cell_sim_node *node;
	uint32_t node_incarnation;
	struct cell_fake_worker *worker;
	uint64_t worker_incarnation;
	enum order_kind kind;
	uint64_t sent_us;
	struct rj_cell_order_done done;
	struct rj_cell_start start;
	struct rj_cell_poll poll;
	bool counted; /* among the open calls of the simulation */
	bool delayed; /* executed late, and not answered */
	uint64_t until_us; /* end of a poll's wait */
	struct rj_cell_order_reply reply;
};

/* Delivers the answer, unless the node's process has ended. */
static void deliver(void *data)
{
	struct order *order = data;
	struct cell_sim_node *node = order->node;

	if (order->counted)
		node->sim->open_calls--;
	order->counted = false;
	if (!cell_sim_node_is_current(node, order->node_incarnation)) {
		talloc_free(order);
		return;
	}
	if (cell_sim_defer_if_paused(node, deliver, order))
		return;
	cell_sim_node_enter(node);
	order->reply.now_us = node->sim->now_us;
	order->done.call(order->done.private_data, &order->reply);
	rj_cell_node_advance(&node->node, node->sim->now_us,
			     cell_sim_wall_ms(node->sim));
	cell_sim_node_leave(node);
	talloc_free(order);
}

/* Time after which an order without an answer counts as lost. */
static uint64_t timeout_us(const struct order *order)
{
	if (order->kind != ORDER_POLL)
		return TIMEOUT_US;
	return (order->poll.wait_ms + order->poll.timeout_ms) * MS;
}

/* Lets an order time out. */
static void drop_answer(struct order *order)
{
	order->reply.status = RJ_CELL_ORDER_LOST;
	cell_sim_schedule(order->node->sim, timeout_us(order), deliver, order);
}

/* Sends the answer, unless the worker is partitioned from the node. */
static void answer(struct order *order, enum rj_cell_order_status status)
{
	struct cell_sim *sim = order->node->sim;

	if (order->delayed) {
		talloc_free(order);
		return;
	}
	if (order->worker->partitioned[order->node->index]) {
		drop_answer(order);
		return;
	}
	order->reply.status = status;
	order->reply.clock_ms = cell_fake_clock_ms(sim, order->worker);
	if (order->kind == ORDER_POLL)
		order->reply.incarnation = order->worker->incarnation;
	cell_sim_schedule(
		sim,
		LATENCY_US +
			cell_sim_random(
				sim, (uint32_t)sim->options.answer_spread_us),
		deliver, order);
}

/* Answers an order whose incarnation of the worker has been replaced: its
 * connection is dead, or the process at the other end of a new one is seen to
 * be another. */
static void refuse_former(struct order *order)
{
	if (!order->delayed && cell_sim_random(order->node->sim, 2))
		drop_answer(order);
	else
		answer(order, RJ_CELL_ORDER_OTHER_INCARNATION);
}

/* Adds the worker's runs to the reply. */
static void list_runs(struct order *order)
{
	struct cell_fake_worker *worker = order->worker;
	struct rj_cell_run_report *rows = talloc_zero_array(
		order, struct rj_cell_run_report, worker->runs->len);

	for (guint i = 0; i < worker->runs->len; i++) {
		struct cell_fake_run *run = worker->runs->pdata[i];

		rows[i].name = talloc_strdup(order, run->name);
		rows[i].number = run->number;
		rows[i].saved = talloc_strdup(order, run->checkpoint);
		rows[i].percent = (uint32_t)MIN(100, run->progress_us * 100 /
							     run->duration_us);
		if (run->perpetual)
			rows[i].percent = 100;
		rows[i].measurement = cell_fake_tail_latency_ms(worker, run);
	}
	order->reply.rows = rows;
	order->reply.row_count = worker->runs->len;
}

/* Adds the worker's completions to the reply. */
static void list_completions(struct order *order)
{
	struct cell_fake_worker *worker = order->worker;
	guint count = MIN(worker->completions->len, COMPLETIONS_MAX);
	struct rj_cell_completion_report *completions = talloc_zero_array(
		order, struct rj_cell_completion_report, count);

	for (guint i = 0; i < count; i++) {
		struct cell_fake_completion *completion = &g_array_index(
			worker->completions, struct cell_fake_completion, i);

		completions[i].position = completion->position;
		completions[i].name = talloc_strdup(order, completion->name);
		completions[i].number = completion->number;
		completions[i].end = completion->outcome;
		completions[i].saved =
			talloc_strdup(order, completion->checkpoint);
	}
	order->reply.completions = completions;
	order->reply.completion_count = count;
	order->reply.more_completions = count == COMPLETIONS_MAX;
}

/* Answers a poll with runs and completions. */
static void answer_poll(struct order *order)
{
	list_runs(order);
	list_completions(order);
	answer(order, RJ_CELL_ORDER_OK);
}

/*
 * Answers the waiting polls after a run has ended.
 */
void cell_fake_answer_polls(struct cell_fake_worker *worker)
{
	while (worker->polls->len) {
		struct order *order = worker->polls->pdata[0];

		g_ptr_array_remove_index(worker->polls, 0);
		answer_poll(order);
	}
}

/*
 * Answers the polls whose wait has ended.
 */
void cell_fake_expire_polls(struct cell_sim *sim,
			    struct cell_fake_worker *worker)
{
	for (guint i = 0; i < worker->polls->len;) {
		struct order *order = worker->polls->pdata[i];

		if (sim->now_us < order->until_us) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(worker->polls, i);
		answer_poll(order);
	}
}

/*
 * Lets the waiting polls time out after the worker has crashed.
 */
void cell_fake_drop_polls(struct cell_fake_worker *worker)
{
	while (worker->polls->len) {
		struct order *order = worker->polls->pdata[0];

		g_ptr_array_remove_index(worker->polls, 0);
		drop_answer(order);
	}
}

/* Whether a start of a queue that needs tickets has no valid one. */
static bool lacks_ticket(struct cell_sim *sim,
			 const struct cell_fake_worker *worker,
			 const struct rj_cell_start *start)
{
	uint32_t step = 0;
	uint32_t index = 0;
	const struct cell_client_job *job =
		cell_check_find_job(sim, start->name, &step, &index);

	return job && !strcmp(job->spec->queue, "advised") &&
	       !cell_advice_accepts(sim, worker, start);
}

/* Executes a start. */
static enum rj_cell_order_status do_start(struct cell_sim *sim,
					  struct order *order)
{
	struct cell_fake_worker *worker = order->worker;
	const struct rj_cell_start *start = &order->start;
	struct cell_fake_run *run = cell_fake_find_run(worker, start->name);
	uint64_t deadline_max_ms =
		cell_fake_clock_ms(sim, worker) + sim->options.lease_max_ms;

	if (worker->unhealthy)
		return RJ_CELL_ORDER_UNHEALTHY;
	if (worker->requires_ticket || lacks_ticket(sim, worker, start)) {
		sim->refused_starts++;
		return RJ_CELL_ORDER_TICKET_INVALID;
	}
	if (start->token < worker->token)
		return RJ_CELL_ORDER_FENCED;
	worker->token = start->token;
	if (cell_fake_clock_ms(sim, worker) > start->deadline_ms)
		return RJ_CELL_ORDER_DEADLINE_PASSED;
	worker->lease_ms =
		MAX(worker->lease_ms, MIN(start->deadline_ms, deadline_max_ms));
	if (run && run->number == start->number)
		return RJ_CELL_ORDER_OK;
	if (GPOINTER_TO_UINT(g_hash_table_lookup(
		    worker->highest_ended, start->name)) >= start->number ||
	    run)
		return RJ_CELL_ORDER_STALE;
	if (cell_fake_is_full(sim, worker, start->name))
		return RJ_CELL_ORDER_NO_CAPACITY;
	cell_check_start(sim, worker, start, order->sent_us);
	cell_fake_start_run(sim, worker, start);
	return RJ_CELL_ORDER_OK;
}

/* Executes a stop. */
static enum rj_cell_order_status do_stop(struct cell_sim *sim,
					 struct order *order)
{
	struct cell_fake_worker *worker = order->worker;
	struct cell_fake_run *run =
		cell_fake_find_run(worker, order->start.name);

	if (order->start.token < worker->token)
		return RJ_CELL_ORDER_FENCED;
	worker->token = order->start.token;
	cell_fake_mark_ended(worker, order->start.name, order->start.number);
	if (run && run->number == order->start.number && !run->stop_at_us)
		run->stop_at_us = sim->now_us + CELL_FAKE_STOP_DELAY_US;
	return RJ_CELL_ORDER_OK;
}

/* Handles a poll, which may wait for a completion. */
static void do_poll(struct cell_sim *sim, struct order *order)
{
	struct cell_fake_worker *worker = order->worker;
	const struct rj_cell_poll *poll = &order->poll;
	uint64_t deadline_max_ms =
		cell_fake_clock_ms(sim, worker) + sim->options.lease_max_ms;

	if (poll->token < worker->token) {
		answer(order, RJ_CELL_ORDER_FENCED);
		return;
	}
	worker->token = poll->token;
	if (poll->deadline_ms)
		worker->lease_ms = MAX(worker->lease_ms,
				       MIN(poll->deadline_ms, deadline_max_ms));
	cell_fake_drop_acknowledged(sim, worker, poll->stored_position);
	if (!poll->wait_ms || worker->completions->len || order->delayed) {
		answer_poll(order);
		return;
	}
	order->until_us = sim->now_us + poll->wait_ms * MS;
	g_ptr_array_add(worker->polls, order);
}

/* Handles an order that arrives at its worker. */
static void arrive(void *data)
{
	struct order *order = data;
	struct cell_sim *sim = order->node->sim;
	struct cell_fake_worker *worker = order->worker;

	if (!worker->up) {
		if (order->delayed) {
			talloc_free(order);
			return;
		}
		/* A call that names an incarnation is not sent to another. */
		order->reply.status =
			worker->address_reused && !order->poll.incarnation ?
				RJ_CELL_ORDER_OTHER_INCARNATION :
				RJ_CELL_ORDER_UNSENT;
		cell_sim_schedule(sim, LATENCY_US, deliver, order);
		return;
	}
	if (worker->partitioned[order->node->index] && !order->delayed) {
		/* Half of the workers keep open connections, which hang;
		 * connecting to the others fails. */
		if (worker->index % 2) {
			drop_answer(order);
			return;
		}
		order->reply.status = RJ_CELL_ORDER_UNSENT;
		cell_sim_schedule(sim, timeout_us(order), deliver, order);
		return;
	}
	if (order->worker_incarnation &&
	    order->worker_incarnation != worker->incarnation) {
		refuse_former(order);
		return;
	}
	if (order->kind == ORDER_START)
		answer(order, do_start(sim, order));
	else if (order->kind == ORDER_STOP)
		answer(order, do_stop(sim, order));
	else
		do_poll(sim, order);
}

/* Sends an order; some are executed late, and never answered. */
static void send(struct order *order)
{
	struct cell_sim *sim = order->node->sim;
	struct cell_fake_worker *worker = order->worker;

	order->counted = !order->poll.wait_ms;
	if (order->counted)
		sim->open_calls++;
	sim->open_calls_max = MAX(sim->open_calls_max, sim->open_calls);
	if ((order->kind != ORDER_POLL || sim->options.delays_polls) &&
	    worker->delayed_percent &&
	    cell_sim_random(sim, 100) < worker->delayed_percent) {
		struct order *delayed =
			talloc_memdup(sim->mem, order, sizeof(*order));

		delayed->delayed = true;
		delayed->counted = false;
		/* An order executed late must not reach a later incarnation of
		 * its worker. */
		if (!delayed->worker_incarnation)
			delayed->worker_incarnation = worker->incarnation;
		delayed->start.name = talloc_strdup(delayed, order->start.name);
		delayed->start.ticket = talloc_strdup(
			delayed,
			order->start.ticket ? order->start.ticket : "");
		delayed->start.checkpoint = talloc_strdup(
			delayed,
			order->start.checkpoint ? order->start.checkpoint : "");
		cell_sim_schedule(
			sim,
			(DELAY_MIN_MS + cell_sim_random(sim, DELAY_SPREAD_MS)) *
				MS,
			arrive, delayed);
		drop_answer(order);
		return;
	}
	cell_sim_schedule(sim, LATENCY_US, arrive, order);
}

/* Creates an order of a node. */
static struct order *order_new(struct rj_cell_workers *workers,
			       const struct rj_cell_worker *worker,
			       enum order_kind kind,
			       struct rj_cell_order_done done)
{
	struct cell_sim_node *node =
		RJ_CONTAINER(workers, struct cell_sim_node, workers);
	struct cell_sim *sim = node->sim;
	struct order *order = talloc_zero(sim->mem, struct order);
	uint32_t index;

	order->node = node;
	order->node_incarnation = node->incarnation;
	order->kind = kind;
	order->sent_us = sim->now_us;
	order->done = done;
	index = (uint32_t)g_ascii_strtoull(worker->id + 1, NULL, 10);
	g_assert_cmpuint(index, <, sim->options.workers);
	order->worker = &sim->workers[index];
	return order;
}

static void workers_start(struct rj_cell_workers *workers,
			  const struct rj_cell_worker *worker,
			  const struct rj_cell_start *start,
			  struct rj_cell_order_done done)
{
	struct order *order = order_new(workers, worker, ORDER_START, done);

	order->worker_incarnation = start->incarnation;
	order->start = *start;
	order->start.name = talloc_strdup(order, start->name);
	order->start.spec = "";
	order->start.checkpoint = talloc_strdup(order, start->checkpoint);
	order->start.ticket = talloc_strdup(order, start->ticket);
	send(order);
}

static void workers_stop(struct rj_cell_workers *workers,
			 const struct rj_cell_worker *worker,
			 const struct rj_cell_stop *stop,
			 struct rj_cell_order_done done)
{
	struct order *order = order_new(workers, worker, ORDER_STOP, done);

	order->worker_incarnation = stop->incarnation;
	order->start.name = talloc_strdup(order, stop->name);
	order->start.number = stop->number;
	order->start.token = stop->token;
	send(order);
}

static void workers_poll(struct rj_cell_workers *workers,
			 const struct rj_cell_worker *worker,
			 const struct rj_cell_poll *poll,
			 struct rj_cell_order_done done)
{
	struct order *order = order_new(workers, worker, ORDER_POLL, done);

	/* Only one incarnation may act on these. */
	g_assert_true(poll->incarnation ||
		      (!poll->stored_position && !poll->deadline_ms));
	order->worker_incarnation = poll->incarnation;
	order->poll = *poll;
	send(order);
}

const struct rj_cell_workers_ops cell_workers_ops = {
	.start = workers_start,
	.stop = workers_stop,
	.poll = workers_poll,
};
