/*
 * An outside policy as its contract says: it allows some workers for a step,
 * for good, and gives tickets that are valid for a while; it answers after a
 * time that grows with the workers that are named.
 */
#include <string.h>
#include <talloc.h>

#include "support/cell_sim.h"

#define DECIDE_US (30 * MS)
#define PER_WORKER_US (2 * MS)
#define VALID_MS 3000
/* A question that is not answered ends so late. */
#define TIMEOUT_US (5 * S)

/* A question on its way. */
struct question {
	struct cell_sim_node *node;
	uint32_t life;
	struct rj_cell_advice_done done;
	struct rj_cell_advice_reply reply;
};

/*
 * Whether the policy allows a worker for a step: three of four, which differ
 * with the step, so that the widest gang of the days fits the small site.
 */
bool cell_advice_allows(const char *step, const char *worker)
{
	return (g_ascii_strtoull(worker + 1, NULL, 10) +
		rj_hash64_string(step, 0)) %
		       4 !=
	       0;
}

/*
 * Whether a start's ticket is good for its worker's present life.
 */
bool cell_advice_accepts(struct cell_sim *world,
			 const struct cell_fake_worker *worker,
			 const struct rj_cell_start *start)
{
	const char *dot = strrchr(start->name, '.');
	char *step = g_strndup(start->name, (gsize)(dot - start->name));
	char **parts = g_strsplit(start->ticket, "/", 3);
	bool good =
		g_strv_length(parts) == 3 && !strcmp(parts[0], step) &&
		g_ascii_strtoull(parts[1], NULL, 10) == worker->incarnation &&
		world->now_us <=
			g_ascii_strtoull(parts[2], NULL, 10) + VALID_MS * MS;

	if (good && !cell_advice_allows(step, worker->id))
		cell_sim_violation(world, "route: %s may not run on %s",
				   start->name, worker->id);
	g_strfreev(parts);
	g_free(step);
	return good;
}

/* The answer arrives. */
static void deliver(void *data)
{
	struct question *question = data;
	struct cell_sim_node *node = question->node;

	if (cell_sim_defer_if_paused(node, deliver, question))
		return;
	if (cell_sim_node_is_current(node, question->life)) {
		cell_sim_node_enter(node);
		question->reply.now_us = node->world->now_us;
		question->done.call(question->done.private_data,
				    &question->reply);
		cell_sim_node_leave(node);
	}
	talloc_free(question);
}

/* A node asks. */
static void ask(struct rj_cell_advisor *advisor, const char *step,
		const char *const *workers, uint32_t count,
		struct rj_cell_advice_done done)
{
	struct cell_sim_node *node =
		RJ_CONTAINER(advisor, struct cell_sim_node, advisor);
	struct cell_sim *world = node->world;
	struct question *question = talloc_zero(world->mem, struct question);
	struct rj_cell_ticket *tickets =
		talloc_zero_array(question, struct rj_cell_ticket, count);

	question->node = node;
	question->life = node->life;
	question->done = done;
	world->questions++;
	if (world->advice_silent) {
		cell_sim_schedule(world, TIMEOUT_US, deliver, question);
		return;
	}
	question->reply.answered = true;
	question->reply.valid_ms = VALID_MS;
	question->reply.tickets = tickets;
	for (uint32_t i = 0; i < count; i++) {
		uint64_t index = g_ascii_strtoull(workers[i] + 1, NULL, 10);

		if (!cell_advice_allows(step, workers[i]))
			continue;
		tickets[question->reply.count].worker =
			talloc_strdup(question, workers[i]);
		tickets[question->reply.count++].ticket = talloc_asprintf(
			question, "%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
			step, world->workers[index].incarnation,
			(uint64_t)(world->now_us + DECIDE_US));
	}
	cell_sim_schedule(world, DECIDE_US + count * PER_WORKER_US, deliver,
			  question);
}

const struct rj_cell_advisor_ops cell_advice_ops = { .ask = ask };
