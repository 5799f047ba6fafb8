#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "support/simulation.h"

/*
 * If set, the transcripts are rewritten; review the difference before
 * committing it.
 */
#define REWRITE "RJ_GOLDEN_REWRITE"

/* A session: the events in a small simulation of one rack and two instances. */
struct session {
	const char *name;
	void (*happens)(struct simulation *simulation);
	uint64_t end_us;
};

static const struct fake_caller_options preview = {
	.class_name = "preview",
	.account = SIMULATION_OTHER_ACCOUNT,
	.tasks = 1,
	.accelerators = 1,
	.run_us = 300 * RJ_US_PER_MS,
	.idempotent = true,
	.waits = true,
};

static const struct fake_caller_options quote = {
	.class_name = "quote",
	.account = SIMULATION_OTHER_ACCOUNT,
	.key = 1,
	.tasks = 1,
	.accelerators = 1,
	.run_us = 500 * RJ_US_PER_MS,
	.waits = true,
};

/* A preview is submitted, run and answered; the log is not used. */
static void idempotent_job(struct simulation *simulation)
{
	(void)fake_caller_add(simulation, 3 * RJ_US_PER_S, &preview);
}

/* A quote is submitted, and again at another instance with the same key. */
static void repeated_quote(struct simulation *simulation)
{
	struct fake_caller_options duplicated = quote;

	duplicated.duplicated = true;
	(void)fake_caller_add(simulation, 3 * RJ_US_PER_S, &duplicated);
}

/* A gang on two workers: leases, held starts, then all are released to run. */
static void gang(struct simulation *simulation)
{
	struct fake_caller_options plan = preview;

	plan.class_name = "pack";
	plan.tasks = 2;
	plan.accelerators = 8;
	(void)fake_caller_add(simulation, 3 * RJ_US_PER_S, &plan);
}

/*
 * The platform is unavailable: a preview is served; a quote is refused with a
 * time to retry after, and is served once the platform is available.
 */
static void platform_outage(struct simulation *simulation)
{
	simulation_run_until(simulation, 3 * RJ_US_PER_S);
	simulation->log.down = true;
	(void)fake_caller_add(simulation, 3 * RJ_US_PER_S, &preview);
	(void)fake_caller_add(simulation, 4 * RJ_US_PER_S, &quote);
	simulation_run_until(simulation, 9 * RJ_US_PER_S);
	simulation->log.down = false;
}

/* An instance is stopped while it serves a quote. */
static void graceful_stop(struct simulation *simulation)
{
	struct fake_caller_options plan = quote;

	plan.run_us = 2 * RJ_US_PER_S;
	(void)fake_caller_add(simulation, 3 * RJ_US_PER_S, &plan);
	simulation_run_until(simulation, 3500 * RJ_US_PER_MS);
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		const struct fake_caller *caller =
			simulation->callers->pdata[0];

		if (caller->node == i)
			node_stop(simulation, i);
	}
}

/* Two operators publish from one revision: the same one wins everywhere. */
static void config_race(struct simulation *simulation)
{
	simulation_run_until(simulation, 3 * RJ_US_PER_S);
	fake_log_publish(simulation, 1, "one",
			 simulation_config_text(simulation, simulation, 1));
	fake_log_publish(simulation, 1, "two",
			 simulation_config_text(simulation, simulation, 2));
	fake_log_publish(simulation, 2, "bad", "{\"domains\":7}");
}

static const struct session sessions[] = {
	{ "idempotent_job", idempotent_job, 5 * RJ_US_PER_S },
	{ "repeated_quote", repeated_quote, 6 * RJ_US_PER_S },
	{ "gang", gang, 5 * RJ_US_PER_S },
	{ "platform_outage", platform_outage, 15 * RJ_US_PER_S },
	{ "graceful_stop", graceful_stop, 12 * RJ_US_PER_S },
	{ "config_race", config_race, 5 * RJ_US_PER_S },
};

/* Runs a session; the caller frees the transcript. */
static char *run_session(const struct session *session)
{
	struct simulation_options options = {
		.engine = &engine_core,
		.seed = 1,
		.domains = 1,
		.nodes_per_domain = 2,
		.racks_per_domain = 1,
		.workers_per_rack = 4,
		.brief = true,
	};
	void *mem = talloc_new(NULL);
	struct simulation *simulation;
	char *text = NULL;
	size_t size = 0;

	options.transcript = open_memstream(&text, &size);
	g_assert_nonnull(options.transcript);
	simulation = simulation_create(mem, &options);
	session->happens(simulation);
	simulation_run_until(simulation, session->end_us);
	checker_finish_run(&simulation->checker, simulation->now_us);
	g_assert_cmpuint(checker_violations(&simulation->checker), ==, 0);
	talloc_free(mem);
	(void)fclose(options.transcript);
	return text;
}

/* Detects any change in an instance's actions in ordinary sessions. */
static void test_session_is_as_recorded(gconstpointer data)
{
	const struct session *session = data;
	char *path = g_strdup_printf("%s/src/test_libradishjunction/golden/"
				     "%s.txt",
				     RJ_SOURCE_DIR, session->name);
	char *text = run_session(session);
	char *golden = NULL;

	if (g_getenv(REWRITE))
		g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_assert_true(g_file_get_contents(path, &golden, NULL, NULL));
	g_assert_cmpstr(text, ==, golden);
	g_free(golden);
	g_free(path);
	free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(sessions); i++) {
		char *path = g_strdup_printf("/golden/%s", sessions[i].name);

		g_test_add_data_func(path, &sessions[i],
				     test_session_is_as_recorded);
		g_free(path);
	}
	return g_test_run();
}
