/*
 * An outside policy as its contract describes it: for each step it allows a
 * fixed set of workers, and issues tickets that expire; the time of an answer
 * grows with the number of workers in the request.
 */
#include <string.h>
#include <talloc.h>

#include "support/cell_sim.h"

#define DECISION_BASE_US (30 * MS)
#define DECISION_PER_WORKER_US (2 * MS)
#define VALID_MS 3000
/* A call without an answer times out after this. */
#define TIMEOUT_US (5 * S)

/* A call in flight. */
struct advice_call {
	struct cell_sim_node *node;
	uint32_t node_incarnation;
	struct rj_cell_advice_done done;
	struct rj_cell_advice_reply reply;
};

/*
 * Whether the policy allows a worker for a step: three of four workers,
 * different ones for each step, so that the widest gang of the random jobs
 * still fits the small site.
 */
bool cell_advice_allows(const char *step, const char *worker)
{
	return (g_ascii_strtoull(worker + 1, NULL, 10) +
		rj_hash64_string(step, 0)) %
		       4 !=
	       0;
}

/*
 * Whether a start has a valid ticket for the current incarnation of its worker;
 * also checks that the policy allows the worker.
 */
bool cell_advice_accepts(struct cell_sim *sim,
			 const struct cell_fake_worker *worker,
			 const struct rj_cell_start *start)
{
	const char *dot = strrchr(start->name, '.');
	char *step = g_strndup(start->name, (gsize)(dot - start->name));
	char **parts = g_strsplit(start->ticket, "/", 3);
	bool good =
		g_strv_length(parts) == 3 && !strcmp(parts[0], step) &&
		g_ascii_strtoull(parts[1], NULL, 10) == worker->incarnation &&
		sim->now_us <=
			g_ascii_strtoull(parts[2], NULL, 10) + VALID_MS * MS;

	if (good && !cell_advice_allows(step, worker->id))
		cell_sim_violation(sim, "route: %s may not run on %s",
				   start->name, worker->id);
	g_strfreev(parts);
	g_free(step);
	return good;
}

/* Delivers the answer to the node. */
static void deliver(void *data)
{
	struct advice_call *advice_call = data;
	struct cell_sim_node *node = advice_call->node;

	if (cell_sim_defer_if_paused(node, deliver, advice_call))
		return;
	if (cell_sim_node_is_current(node, advice_call->node_incarnation)) {
		cell_sim_node_enter(node);
		advice_call->reply.now_us = node->sim->now_us;
		advice_call->done.call(advice_call->done.private_data,
				       &advice_call->reply);
		cell_sim_node_leave(node);
	}
	talloc_free(advice_call);
}

/* Handles a request of a node. */
static void ask(struct rj_cell_advisor *advisor, const char *step,
		const char *const *workers, uint32_t count,
		struct rj_cell_advice_done done)
{
	struct cell_sim_node *node =
		RJ_CONTAINER(advisor, struct cell_sim_node, advisor);
	struct cell_sim *sim = node->sim;
	struct advice_call *advice_call =
		talloc_zero(sim->mem, struct advice_call);
	struct rj_cell_ticket *tickets =
		talloc_zero_array(advice_call, struct rj_cell_ticket, count);

	advice_call->node = node;
	advice_call->node_incarnation = node->incarnation;
	advice_call->done = done;
	sim->advice_requests++;
	if (sim->advisor_unreachable) {
		cell_sim_schedule(sim, TIMEOUT_US, deliver, advice_call);
		return;
	}
	advice_call->reply.answered = true;
	advice_call->reply.valid_ms = VALID_MS;
	advice_call->reply.tickets = tickets;
	for (uint32_t i = 0; i < count; i++) {
		uint64_t index = g_ascii_strtoull(workers[i] + 1, NULL, 10);

		if (!cell_advice_allows(step, workers[i]))
			continue;
		rj_name_shorten(tickets[advice_call->reply.count].worker,
				workers[i]);
		tickets[advice_call->reply.count++].ticket = talloc_asprintf(
			advice_call,
			"%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT, step,
			sim->workers[index].incarnation,
			(uint64_t)(sim->now_us + DECISION_BASE_US));
	}
	cell_sim_schedule(sim,
			  DECISION_BASE_US + count * DECISION_PER_WORKER_US,
			  deliver, advice_call);
}

const struct rj_cell_advisor_ops cell_advice_ops = { .ask = ask };
