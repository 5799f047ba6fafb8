#include <glib.h>
#include <talloc.h>

#include "support/simulation.h"

#define SETTLED_US (5 * RJ_US_PER_S)
#define REPEAT_ID 901
#define RUN_US (200 * RJ_US_PER_MS)

/* An event that a paused instance hears before all that it was told. */
static void hold_first(struct simulation *simulation, struct node *node,
		       struct rj_event *event)
{
	g_queue_push_head(&node->deferred, talloc_steal(simulation, event));
}

static struct rj_event *caller_gone(struct simulation *simulation,
				    uint64_t request_id)
{
	struct rj_event *event = node_event(simulation, RJ_EVENT_CALLER_GONE);

	event->u.request_id = request_id;
	return event;
}

/* Let the world go on until an instance has a claim of `key` in flight. */
static struct node *claiming_node(struct simulation *simulation,
				  const struct fake_caller *caller)
{
	guint claims = simulation->log.streams[RJ_STREAM_JOBS]->len;

	while (simulation->log.streams[RJ_STREAM_JOBS]->len == claims)
		simulation_run_until(simulation, simulation->now_us + 100);
	return &simulation->nodes[caller->node];
}

/*
 * A student hears "done" of a charge, and then "not run" of the same.
 * The instance that claimed the charge is paused before it reads its claim
 * back; its caller gives up, and a peer voids the claim and serves the
 * charge. A repeat reaches the paused instance, which wakes, finds its claim
 * in the log, cancelled, and answers the repeat.
 * Cause: a claim read back was taken for the present, though the log had
 * more to say.
 */
static void test_cancelled_claim_of_a_sleeper(void)
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
	struct fake_caller *charge;
	struct node *sleeper;
	uint64_t request_id;

	simulation_run_until(simulation, SETTLED_US);
	charge = fake_caller_add(simulation, 0, &plan);
	charge->timeout_us = RJ_US_PER_S;
	sleeper = claiming_node(simulation, charge);
	request_id = charge->request_id;
	node_pause(simulation, sleeper->index, true);
	simulation_run_until(simulation, SETTLED_US + 20 * RJ_US_PER_S);
	g_assert_cmpuint(
		checker_intent_get(&simulation->checker, charge->intent)
			->answer,
		==, RJ_ANSWER_DONE);
	hold_first(simulation, sleeper,
		   fake_caller_event(simulation, charge, sleeper,
				     RJ_REQUEST_SUBMIT, REPEAT_ID));
	hold_first(simulation, sleeper, caller_gone(simulation, request_id));
	node_pause(simulation, sleeper->index, false);
	simulation_run_until(simulation, SETTLED_US + 40 * RJ_US_PER_S);
	g_assert_cmpstr(simulation->checker.first[INVARIANT_NOT_RUN], ==, "");
	g_assert_cmpuint(checker_violations(&simulation->checker), ==, 0);
	talloc_free(simulation);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/paused_claim/cancelled",
			test_cancelled_claim_of_a_sleeper);
	return g_test_run();
}
