/*
 * How orders reach the fake workers: fencing tokens, tickets, answers that are
 * lost, and orders that are carried out late.
 */
#include <string.h>
#include <talloc.h>

#include "support/cell_fake.h"

#define LATENCY_US (3 * MS)
#define TIMEOUT_US (700 * MS)
/* A lost order is carried out between these. */
#define LATE_MIN_MS 2000
#define LATE_SPREAD_MS 6000

enum order_kind {
	ORDER_START,
	ORDER_STOP,
	ORDER_POLL,
};

/* An order on its way. */
struct order {
	struct cell_sim_node *node;
	uint32_t life;
	struct cell_fake_worker *worker;
	uint64_t incarnation;
	enum order_kind kind;
	uint64_t sent_us;
	struct rj_cell_order_done done;
	struct rj_cell_start start;
	struct rj_cell_poll poll;
	bool late; /* it is carried out, and nobody hears of it */
	uint64_t until_us;
	struct rj_cell_order_reply reply;
};

/* Whether the caller of an order can still hear. */
static void deliver(void *data)
{
	struct order *order = data;
	struct cell_sim_node *node = order->node;

	if (!cell_sim_node_is_current(node, order->life)) {
		talloc_free(order);
		return;
	}
	if (cell_sim_defer_if_paused(node, deliver, order))
		return;
	cell_sim_node_enter(node);
	order->reply.now_us = node->world->now_us;
	order->done.call(order->done.private_data, &order->reply);
	rj_cell_node_advance(&node->node, node->world->now_us,
			     cell_sim_wall_ms(node->world));
	cell_sim_node_leave(node);
	talloc_free(order);
}

/* After how long an order counts as lost. */
static uint64_t timeout_us(const struct order *order)
{
	if (order->kind != ORDER_POLL)
		return TIMEOUT_US;
	return (order->poll.wait_ms + order->poll.timeout_ms) * MS;
}

/* The order gets no answer. */
static void lose(struct order *order)
{
	order->reply.status = RJ_CELL_ORDER_LOST;
	cell_sim_schedule(order->node->world, timeout_us(order), deliver,
			  order);
}

/* The answer is on its way back. */
static void answer(struct order *order, enum rj_cell_order_status status)
{
	struct cell_sim *world = order->node->world;

	if (order->late) {
		talloc_free(order);
		return;
	}
	if (order->worker->cut[order->node->index]) {
		lose(order);
		return;
	}
	order->reply.status = status;
	order->reply.clock_ms = cell_fake_clock_ms(world, order->worker);
	order->reply.incarnation = order->worker->incarnation;
	cell_sim_schedule(world, LATENCY_US, deliver, order);
}

/* List the runs. */
static void list_runs(struct order *order)
{
	struct cell_fake_worker *worker = order->worker;
	struct rj_cell_run_report *rows = talloc_zero_array(
		order, struct rj_cell_run_report, worker->runs->len);

	for (guint i = 0; i < worker->runs->len; i++) {
		struct cell_fake_run *run = worker->runs->pdata[i];

		rows[i].name = talloc_strdup(order, run->name);
		rows[i].number = run->number;
		rows[i].saved = talloc_strdup(order, run->saved);
		rows[i].percent =
			(uint32_t)MIN(100, run->done_us * 100 / run->work_us);
		rows[i].measurement = cell_fake_tail_latency_ms(worker, run);
	}
	order->reply.rows = rows;
	order->reply.row_count = worker->runs->len;
}

/* List the ends. */
static void list_ends(struct order *order)
{
	struct cell_fake_worker *worker = order->worker;
	struct rj_cell_completion_report *completions =
		talloc_zero_array(order, struct rj_cell_completion_report,
				  worker->completions->len);

	for (guint i = 0; i < worker->completions->len; i++) {
		struct cell_fake_completion *end = &g_array_index(
			worker->completions, struct cell_fake_completion, i);

		completions[i].position = end->position;
		completions[i].name = talloc_strdup(order, end->name);
		completions[i].number = end->number;
		completions[i].end = end->end;
		completions[i].saved = talloc_strdup(order, end->saved);
	}
	order->reply.completions = completions;
	order->reply.completion_count = worker->completions->len;
}

/* Answer a poll with both lists. */
static void answer_poll(struct order *order)
{
	list_runs(order);
	list_ends(order);
	answer(order, RJ_CELL_ORDER_OK);
}

/*
 * Answer the polls that wait, as something has ended.
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
 * End the polls that have waited long enough.
 */
void cell_fake_expire_polls(struct cell_sim *world,
			    struct cell_fake_worker *worker)
{
	for (guint i = 0; i < worker->polls->len;) {
		struct order *order = worker->polls->pdata[i];

		if (world->now_us < order->until_us) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(worker->polls, i);
		answer_poll(order);
	}
}

/*
 * The polls that wait get no answer, as the worker has gone.
 */
void cell_fake_drop_polls(struct cell_fake_worker *worker)
{
	while (worker->polls->len) {
		struct order *order = worker->polls->pdata[0];

		g_ptr_array_remove_index(worker->polls, 0);
		lose(order);
	}
}

/* Whether a start lacks a good ticket that its queue asks for. */
static bool wants_ticket(struct cell_sim *world,
			 const struct cell_fake_worker *worker,
			 const struct rj_cell_start *start)
{
	uint32_t step = 0;
	uint32_t index = 0;
	const struct cell_client_job *job =
		cell_check_find_job(world, start->name, &step, &index);

	return job && !strcmp(job->job_spec->queue, "advised") &&
	       !cell_advice_accepts(world, worker, start);
}

/* A start arrives. */
static enum rj_cell_order_status do_start(struct cell_sim *world,
					  struct order *order)
{
	struct cell_fake_worker *worker = order->worker;
	const struct rj_cell_start *start = &order->start;
	struct cell_fake_run *run = cell_fake_find_run(worker, start->name);
	uint64_t longest_ms =
		cell_fake_clock_ms(world, worker) + world->plan.lease_max_ms;

	if (worker->refuses)
		return RJ_CELL_ORDER_UNHEALTHY;
	if (worker->wants_ticket || wants_ticket(world, worker, start)) {
		world->refused_starts++;
		return RJ_CELL_ORDER_TICKET_INVALID;
	}
	if (start->token < worker->token)
		return RJ_CELL_ORDER_FENCED;
	worker->token = start->token;
	if (cell_fake_clock_ms(world, worker) > start->deadline_ms)
		return RJ_CELL_ORDER_DEADLINE_PASSED;
	worker->lease_ms =
		MAX(worker->lease_ms, MIN(start->deadline_ms, longest_ms));
	if (run && run->number == start->number)
		return RJ_CELL_ORDER_OK;
	if (GPOINTER_TO_UINT(g_hash_table_lookup(
		    worker->barred, start->name)) >= start->number ||
	    run)
		return RJ_CELL_ORDER_STALE;
	if (cell_fake_is_full(world, worker, start->name))
		return RJ_CELL_ORDER_NO_CAPACITY;
	cell_check_start(world, worker, start, order->sent_us);
	cell_fake_start_run(world, worker, start);
	return RJ_CELL_ORDER_OK;
}

/* A stop arrives. */
static enum rj_cell_order_status do_stop(struct cell_sim *world,
					 struct order *order)
{
	struct cell_fake_worker *worker = order->worker;
	struct cell_fake_run *run =
		cell_fake_find_run(worker, order->start.name);

	if (order->start.token < worker->token)
		return RJ_CELL_ORDER_FENCED;
	worker->token = order->start.token;
	cell_fake_mark_ended(worker, order->start.name, order->start.number);
	if (run && run->number == order->start.number && !run->stopped_us)
		run->stopped_us = world->now_us + CELL_FAKE_STOP_DELAY_US;
	return RJ_CELL_ORDER_OK;
}

/* A poll arrives: it may wait for an end. */
static void do_poll(struct cell_sim *world, struct order *order)
{
	struct cell_fake_worker *worker = order->worker;
	const struct rj_cell_poll *poll = &order->poll;
	uint64_t longest_ms =
		cell_fake_clock_ms(world, worker) + world->plan.lease_max_ms;

	if (poll->token < worker->token) {
		answer(order, RJ_CELL_ORDER_FENCED);
		return;
	}
	worker->token = poll->token;
	if (poll->deadline_ms)
		worker->lease_ms = MAX(worker->lease_ms,
				       MIN(poll->deadline_ms, longest_ms));
	cell_fake_drop_acknowledged(world, worker, poll->stored_position);
	if (!poll->wait_ms || worker->completions->len || order->late) {
		answer_poll(order);
		return;
	}
	order->until_us = world->now_us + poll->wait_ms * MS;
	g_ptr_array_add(worker->polls, order);
}

/* An order arrives at the worker. */
static void arrive(void *data)
{
	struct order *order = data;
	struct cell_sim *world = order->node->world;
	struct cell_fake_worker *worker = order->worker;

	if (!worker->up) {
		if (order->late) {
			talloc_free(order);
			return;
		}
		order->reply.status = RJ_CELL_ORDER_UNSENT;
		cell_sim_schedule(world, LATENCY_US, deliver, order);
		return;
	}
	if (worker->cut[order->node->index] && !order->late) {
		/* Kept connections hang; new ones are never made. */
		if (worker->index % 2) {
			lose(order);
			return;
		}
		order->reply.status = RJ_CELL_ORDER_UNSENT;
		cell_sim_schedule(world, timeout_us(order), deliver, order);
		return;
	}
	if (order->incarnation && order->incarnation != worker->incarnation) {
		answer(order, RJ_CELL_ORDER_OTHER_INCARNATION);
		return;
	}
	if (order->kind == ORDER_START)
		answer(order, do_start(world, order));
	else if (order->kind == ORDER_STOP)
		answer(order, do_stop(world, order));
	else
		do_poll(world, order);
}

/* Send an order; some are carried out late, and never answered. */
static void send(struct order *order)
{
	struct cell_sim *world = order->node->world;
	struct cell_fake_worker *worker = order->worker;

	if (order->kind != ORDER_POLL && worker->leave_percent &&
	    cell_sim_random(world, 100) < worker->leave_percent) {
		struct order *late =
			talloc_memdup(world->mem, order, sizeof(*order));

		late->late = true;
		/* No order reaches another life than it was sent to late. */
		late->incarnation = worker->incarnation;
		late->start.name = talloc_strdup(late, order->start.name);
		late->start.ticket = talloc_strdup(
			late, order->start.ticket ? order->start.ticket : "");
		late->start.checkpoint = talloc_strdup(
			late,
			order->start.checkpoint ? order->start.checkpoint : "");
		cell_sim_schedule(
			world,
			(LATE_MIN_MS + cell_sim_random(world, LATE_SPREAD_MS)) *
				MS,
			arrive, late);
		lose(order);
		return;
	}
	cell_sim_schedule(world, LATENCY_US, arrive, order);
}

/* Remember one order. */
static struct order *order_new(struct rj_cell_workers *workers,
			       const struct rj_cell_worker *worker,
			       enum order_kind kind,
			       struct rj_cell_order_done done)
{
	struct cell_sim_node *node =
		RJ_CONTAINER(workers, struct cell_sim_node, workers);
	struct cell_sim *world = node->world;
	struct order *order = talloc_zero(world->mem, struct order);
	uint32_t index;

	order->node = node;
	order->life = node->life;
	order->kind = kind;
	order->sent_us = world->now_us;
	order->done = done;
	index = (uint32_t)g_ascii_strtoull(worker->id + 1, NULL, 10);
	g_assert_cmpuint(index, <, world->plan.workers);
	order->worker = &world->workers[index];
	return order;
}

/* A node orders a start. */
static void workers_start(struct rj_cell_workers *workers,
			  const struct rj_cell_worker *worker,
			  const struct rj_cell_start *start,
			  struct rj_cell_order_done done)
{
	struct order *order = order_new(workers, worker, ORDER_START, done);

	order->start = *start;
	order->start.name = talloc_strdup(order, start->name);
	order->start.spec = "";
	order->start.checkpoint = talloc_strdup(order, start->checkpoint);
	order->start.ticket = talloc_strdup(order, start->ticket);
	send(order);
}

/* A node orders a stop. */
static void workers_stop(struct rj_cell_workers *workers,
			 const struct rj_cell_worker *worker, const char *name,
			 uint32_t number, uint64_t token,
			 struct rj_cell_order_done done)
{
	struct order *order = order_new(workers, worker, ORDER_STOP, done);

	order->start.name = talloc_strdup(order, name);
	order->start.number = number;
	order->start.token = token;
	send(order);
}

/* A node asks for the lists. */
static void workers_poll(struct rj_cell_workers *workers,
			 const struct rj_cell_worker *worker,
			 const struct rj_cell_poll *poll,
			 struct rj_cell_order_done done)
{
	struct order *order = order_new(workers, worker, ORDER_POLL, done);

	order->poll = *poll;
	send(order);
}

const struct rj_cell_workers_ops cell_workers_ops = {
	.start = workers_start,
	.stop = workers_stop,
	.poll = workers_poll,
};
