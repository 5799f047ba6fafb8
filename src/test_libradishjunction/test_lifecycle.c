#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "radishjunction/core.h"
#include "radishjunction/planner_topology.h"
#include "support/simulation.h"

#define SETTLED_US (5 * RJ_US_PER_S)
#define RUN_US (2 * RJ_US_PER_S)
/* Keeps the fake caller itself from submitting anything. */
#define NEVER_ASKS_US (1000 * RJ_US_PER_S)
#define FIRST_ID 901
#define SECOND_ID 902

/* A single instance and its transcript. */
struct fixture {
	struct simulation *simulation;
	struct fake_caller *caller;
	FILE *transcript;
	char *text;
	size_t size;
};

/* Starts an instance without peers, with a configuration in force. */
static void setup(struct fixture *fixture, gconstpointer data)
{
	struct simulation_options options = { .engine = &engine_core,
					      .seed = 1,
					      .domains = 1,
					      .nodes_per_domain = 1,
					      .racks_per_domain = 1,
					      .workers_per_rack = 4 };
	struct fake_caller_options plan = { .class_name = "preview",
					    .account = SIMULATION_OTHER_ACCOUNT,
					    .tasks = 1,
					    .accelerators = 1,
					    .run_us = RUN_US,
					    .idempotent = true,
					    .waits = true };

	(void)data;
	fixture->transcript = open_memstream(&fixture->text, &fixture->size);
	options.transcript = fixture->transcript;
	fixture->simulation = simulation_create(NULL, &options);
	fake_log_publish(fixture->simulation, 0, "first",
			 simulation_config_text(fixture->simulation,
						fixture->simulation, 0));
	fixture->caller =
		fake_caller_add(fixture->simulation, NEVER_ASKS_US, &plan);
	simulation_run_until(fixture->simulation, SETTLED_US);
}

static void teardown(struct fixture *fixture, gconstpointer data)
{
	(void)data;
	talloc_free(fixture->simulation);
	fclose(fixture->transcript);
	free(fixture->text);
}

/* Submits the caller's job after `delay_us` under a request id of the test. */
static void submit(struct fixture *fixture, uint64_t delay_us,
		   uint64_t request_id)
{
	struct node *node = &fixture->simulation->nodes[0];

	node_deliver_after(fixture->simulation, node, delay_us,
			   fake_caller_event(fixture->simulation,
					     fixture->caller, node,
					     RJ_REQUEST_SUBMIT, request_id));
}

static bool transcript_contains(const struct fixture *fixture, const char *part)
{
	fflush(fixture->transcript);
	return strstr(fixture->text, part) != NULL;
}

/*
 * An instance that stops and knows no peers must serve requests that end in
 * time. It is stopped a second after its start, before it knows its peers; a
 * new request must not be refused at once.
 */
static void
test_single_instance_serves_jobs_that_end_in_time(struct fixture *fixture,
						  gconstpointer data)
{
	(void)data;
	submit(fixture, 1, FIRST_ID);
	simulation_run_until(fixture->simulation,
			     SETTLED_US + 100 * RJ_US_PER_MS);
	node_stop(fixture->simulation, 0);
	submit(fixture, 90 * RJ_US_PER_MS, SECOND_ID);
	simulation_run_until(fixture->simulation, SETTLED_US + 3 * RUN_US);
	g_assert_true(transcript_contains(fixture, "answer id=901 done"));
	g_assert_true(transcript_contains(fixture, "answer id=902 done"));
	g_assert_true(transcript_contains(fixture, "d0-n0 > exit"));
}

/*
 * A steady stream of requests must not delay the stop of an instance. Late ones
 * are refused at once, with a time to retry after.
 */
static void test_single_instance_stops_under_load(struct fixture *fixture,
						  gconstpointer data)
{
	uint32_t id = FIRST_ID;

	(void)data;
	submit(fixture, 1, id++);
	simulation_run_until(fixture->simulation,
			     SETTLED_US + 100 * RJ_US_PER_MS);
	node_stop(fixture->simulation, 0);
	for (uint64_t at_us = 0; at_us < 20 * RJ_US_PER_S;
	     at_us += 500 * RJ_US_PER_MS)
		submit(fixture, at_us, id++);
	simulation_run_until(fixture->simulation,
			     SETTLED_US + 14 * RJ_US_PER_S);
	g_assert_true(transcript_contains(fixture, "not_run reason=draining"));
	g_assert_false(transcript_contains(fixture, "unknown"));
	g_assert_true(transcript_contains(fixture, "d0-n0 > exit"));
}

/*
 * Lets a core process one event; returns the number of resulting actions of
 * `kind`.
 */
static uint32_t process(struct rj_core *core, struct rj_event *event,
			enum rj_action_kind kind)
{
	static uint64_t now_us;
	struct rj_actions actions;
	uint32_t count = 0;

	rj_actions_init(&actions, NULL);
	event->now_us = ++now_us;
	rj_core_process(core, event, &actions);
	for (uint32_t i = 0; i < actions.count; i++)
		count += actions.list[i].kind == kind;
	rj_actions_finish(&actions);
	return count;
}

/*
 * The core must answer requests after its stop is complete: the process still
 * accepts them on its last idle connections. Without an answer the callers are
 * not referred to the peers.
 */
static void test_requests_after_the_exit(void)
{
	struct rj_planner_topology planner;
	struct rj_core_options options = { .name = "a",
					   .domain = "d",
					   .planner = &planner.base };
	struct rj_event stop = { .kind = RJ_EVENT_STOP };
	struct rj_event timer = { .kind = RJ_EVENT_TIMER };
	struct rj_event late = { .kind = RJ_EVENT_REQUEST };
	struct rj_core core;
	struct rj_error err;

	g_assert_cmpint(rj_planner_topology_init(&planner, NULL), ==, 0);
	g_assert_cmpint(rj_core_init(&core, NULL, &options, &err), ==, 0);
	process(&core, &timer, RJ_ACTION_EXIT);
	g_assert_cmpuint(process(&core, &stop, RJ_ACTION_EXIT), ==, 1);
	late.u.request.request_id = FIRST_ID;
	g_assert_cmpuint(process(&core, &late, RJ_ACTION_ANSWER), ==, 1);
	late.u.request.request_id = SECOND_ID;
	g_assert_cmpuint(process(&core, &late, RJ_ACTION_EXIT), ==, 1);
	rj_core_finish(&core);
	planner.base.ops->finish(&planner.base);
}

/*
 * An instance must not report ready before it has read the log. With a
 * configuration from a peer alone it refuses a submission that needs the log.
 */
static void test_not_ready_before_the_log_is_known(struct fixture *fixture,
						   gconstpointer data)
{
	struct rj_planner_topology planner;
	struct rj_core_options options = { .name = "a",
					   .domain = "d",
					   .planner = &planner.base };
	struct rj_event timer = { .kind = RJ_EVENT_TIMER };
	struct rj_event offer = { .kind = RJ_EVENT_PEER_MESSAGE };
	struct rj_event outage = { .kind = RJ_EVENT_READ_FAILED };
	struct rj_event answered = { .kind = RJ_EVENT_RECORDS };
	struct rj_peer_message message = { .kind = RJ_PEER_CONFIG };
	const bool is_outage = GPOINTER_TO_INT(data);
	struct rj_core core;
	struct rj_error err;

	message.u.config.revision = 1;
	g_strlcpy(message.u.config.id, "first", sizeof(message.u.config.id));
	message.u.config.text = simulation_config_text(fixture->simulation,
						       fixture->simulation, 0);
	rj_name_set(offer.u.peer.name, "b");
	offer.u.peer.message = &message;
	outage.u.stream = RJ_STREAM_JOBS;
	answered.u.records.stream = RJ_STREAM_JOBS;
	g_assert_cmpint(rj_planner_topology_init(&planner, NULL), ==, 0);
	g_assert_cmpint(rj_core_init(&core, NULL, &options, &err), ==, 0);
	process(&core, &timer, RJ_ACTION_READ);
	process(&core, &offer, RJ_ACTION_READ);
	g_assert_false(rj_core_ready(&core));
	process(&core, is_outage ? &outage : &answered, RJ_ACTION_READ);
	g_assert_true(rj_core_ready(&core));
	rj_core_finish(&core);
	planner.base.ops->finish(&planner.base);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/lifecycle/alone", struct fixture, NULL, setup,
		   test_single_instance_serves_jobs_that_end_in_time, teardown);
	g_test_add("/lifecycle/alone_under_load", struct fixture, NULL, setup,
		   test_single_instance_stops_under_load, teardown);
	g_test_add_func("/lifecycle/after_exit", test_requests_after_the_exit);
	g_test_add("/lifecycle/ready_with_the_log", struct fixture,
		   GINT_TO_POINTER(false), setup,
		   test_not_ready_before_the_log_is_known, teardown);
	g_test_add("/lifecycle/ready_in_an_outage", struct fixture,
		   GINT_TO_POINTER(true), setup,
		   test_not_ready_before_the_log_is_known, teardown);
	return g_test_run();
}
