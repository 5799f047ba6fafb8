#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "support/world.h"

#define SETTLED_US (40 * RJ_US_PER_S)
#define WORKERS 32
/* Reports are asked for this often of each of so many workers, if leases live
 * long enough. */
#define PERIOD_US (WORKERS * 250 * RJ_US_PER_MS)
/* The time limit of one report, and the least time between two. */
#define SOON_US (3 * RJ_US_PER_S)
#define CALL "worker_call report worker=d0-w5"

/* The longest time between the first and the second of two reports that were
 * asked for after `from_us`, by the transcript. */
static uint64_t second_after_us(const char *text, uint64_t from_us)
{
	uint64_t first_us = 0;

	for (const char *line = text; line && *line;
	     line = strchr(line, '\n') ? strchr(line, '\n') + 1 : NULL) {
		const char *end = strchr(line, '\n');
		uint64_t at_us = strtoull(line, NULL, 10);
		const char *call = strstr(line, CALL);

		if (!call || (end && call > end) || at_us < from_us)
			continue;
		if (first_us)
			return at_us - first_us;
		first_us = at_us;
	}
	return RJ_NEVER_US;
}

/* The world's configuration with leases of a minute, freed by the caller. */
static char *long_leases(struct world *world)
{
	char *text = world_config_text(world, world, 0);
	GString *changed = g_string_new(text);

	g_string_replace(changed, "\"lease_life_ms\":3000",
			 "\"lease_life_ms\":60000", 1);
	return g_string_free(changed, FALSE);
}

/*
 * Previews are sent to a dead worker for a minute, and come back late.
 * A worker of an owner with many of them dies; the owner asks for its next
 * report only when its turn comes again.
 * Cause: a lost report was followed by the next one at the usual pace.
 */
static void test_lost_report_is_asked_for_again_soon(void)
{
	char *text = NULL;
	size_t size = 0;
	FILE *transcript = open_memstream(&text, &size);
	struct world_options options = { .engine = &engine_core,
					 .seed = 4,
					 .domains = 1,
					 .nodes_per_domain = 1,
					 .racks_per_domain = 4,
					 .workers_per_rack = 8,
					 .transcript = transcript };
	struct world *world = world_create(NULL, &options);
	char *config = long_leases(world);

	fake_log_publish(world, 1, "second", config);
	g_free(config);
	g_assert_cmpuint(world->worker_count, ==, WORKERS);
	world_run_until(world, SETTLED_US);
	world->workers[5].silent = true;
	world_run_until(world, SETTLED_US + 3 * PERIOD_US);
	fflush(transcript);
	g_assert_cmpuint(second_after_us(text, SETTLED_US - PERIOD_US), >,
			 SOON_US);
	g_assert_cmpuint(second_after_us(text, SETTLED_US), <, SOON_US);
	talloc_free(world);
	fclose(transcript);
	free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/silence/asked_again",
			test_lost_report_is_asked_for_again_soon);
	return g_test_run();
}
