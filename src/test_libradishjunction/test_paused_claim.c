#include <glib.h>
#include <talloc.h>

#include "support/simulation.h"

#define SETTLED_US (5 * RJ_US_PER_S)
#define REPEAT_ID 901
#define RUN_US (200 * RJ_US_PER_MS)

/* Queues an event before all others that wait for a paused instance. */
static void defer_event(struct simulation *simulation, struct node *node,
			struct rj_event *event)
{
	g_queue_push_head(&node->deferred, talloc_steal(simulation, event));
}

static struct rj_event *caller_disconnected(struct simulation *simulation,
					    uint64_t request_id)
{
	struct rj_event *event =
		node_event(simulation, RJ_EVENT_CALLER_DISCONNECTED);

	event->u.request_id = request_id;
	return event;
}

/* Runs the simulation until an instance has a claim of `key` in flight. */
static struct node *claiming_node(struct simulation *simulation,
				  const struct fake_caller *caller)
{
	guint claims = simulation->log.streams[RJ_STREAM_JOBS]->len;

	while (simulation->log.streams[RJ_STREAM_JOBS]->len == claims)
		simulation_run_until(simulation, simulation->now_us + 100);
	return &simulation->nodes[caller->node];
}

/*
 * A claim that is read back after a pause may be outdated. An instance is
 * paused before it reads its claim back; its caller times out, and a peer voids
 * the claim and serves the job. A repeat reaches the paused instance, which
 * resumes, finds its claim in the log, cancelled, and must not answer "not run"
 * after the peer's "done": the log has newer records.
 */
static void test_cancelled_claim_of_a_paused_instance(void)
{
	struct simulation_options options = { .engine = &engine_core,
					      .seed = 5,
					      .domains = 1,
					      .nodes_per_domain = 2,
					      .racks_per_domain = 2,
					      .workers_per_rack = 4 };
	struct simulation *simulation = simulation_create(NULL, &options);
	struct fake_caller_options plan = { .class_name = "quote",
					    .account = SIMULATION_OTHER_ACCOUNT,
					    .key = 7,
					    .tasks = 1,
					    .accelerators = 1,
					    .run_us = RUN_US,
					    .waits = true };
	struct fake_caller *caller;
	struct node *paused;
	uint64_t request_id;

	simulation_run_until(simulation, SETTLED_US);
	caller = fake_caller_add(simulation, 0, &plan);
	caller->timeout_us = RJ_US_PER_S;
	paused = claiming_node(simulation, caller);
	request_id = caller->request_id;
	node_pause(simulation, paused->index, true);
	simulation_run_until(simulation, SETTLED_US + 20 * RJ_US_PER_S);
	g_assert_cmpuint(
		checker_intent_get(&simulation->checker, caller->intent)
			->answer,
		==, RJ_ANSWER_DONE);
	defer_event(simulation, paused,
		    fake_caller_event(simulation, caller, paused,
				      RJ_REQUEST_SUBMIT, REPEAT_ID));
	defer_event(simulation, paused,
		    caller_disconnected(simulation, request_id));
	node_pause(simulation, paused->index, false);
	simulation_run_until(simulation, SETTLED_US + 40 * RJ_US_PER_S);
	g_assert_cmpstr(simulation->checker.first[INVARIANT_NOT_RUN], ==, "");
	g_assert_cmpuint(checker_violations(&simulation->checker), ==, 0);
	talloc_free(simulation);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/paused_claim/cancelled",
			test_cancelled_claim_of_a_paused_instance);
	return g_test_run();
}
