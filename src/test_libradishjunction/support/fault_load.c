#include "support/fault_load.h"

#include <string.h>

/* Shortest timeout of an impatient caller. */
#define IMPATIENT_TIMEOUT_US (2 * RJ_US_PER_S)

/* Draws a job of the given kind. */
static void choose_caller_options(struct simulation *simulation,
				  enum load_kind kind,
				  struct fake_caller_options *options)
{
	options->account = SIMULATION_OTHER_ACCOUNT;
	options->domain = (uint32_t)simulation_random(
		simulation, simulation->options.domains);
	options->tasks = 1;
	options->accelerators = 1;
	options->waits = true;
	options->idempotent = true;
	options->run_us =
		20 * RJ_US_PER_MS + simulation_random(simulation, RJ_US_PER_S);
	switch (kind) {
	case LOAD_PREVIEW:
		options->class_name = "preview";
		options->fails = simulation_random(simulation, 10) == 0;
		break;
	case LOAD_QUOTE:
	case LOAD_QUOTE_DUPLICATED:
		options->class_name = "quote";
		options->key = simulation->next_key++;
		options->idempotent = false;
		options->duplicated = kind == LOAD_QUOTE_DUPLICATED;
		break;
	case LOAD_GANG:
		options->class_name = "pack";
		options->tasks = 2 + (uint32_t)simulation_random(simulation, 3);
		options->accelerators =
			4 + 4 * (uint32_t)simulation_random(simulation, 2);
		options->adjacent = simulation_random(simulation, 2) == 0;
		options->run_us *= 3;
		break;
	case LOAD_RENDER:
		options->class_name = "render";
		options->key = simulation->next_key++;
		options->accelerators =
			2 + 2 * (uint32_t)simulation_random(simulation, 3);
		options->run_us *= 8;
		options->waits = false;
		options->cancels = simulation_random(simulation, 5) == 0;
		break;
	case LOAD_OCCUPY:
		options->class_name = "render";
		options->key = simulation->next_key++;
		options->accelerators = 8;
		options->run_us =
			10 * RJ_US_PER_S +
			simulation_random(simulation, 15 * RJ_US_PER_S);
		options->waits = false;
		break;
	default:
		options->class_name = "pack";
		options->account = SIMULATION_GUARANTEED_ACCOUNT;
		options->guaranteed = true;
		options->tasks = SIMULATION_GUARANTEED_TASKS;
		options->accelerators = 4;
		options->adjacent = true;
		options->run_us = 2 * RJ_US_PER_S;
		options->key = simulation->next_key++;
		break;
	}
}

/*
 * Adds `callers` callers whose kinds of load are drawn by `weights`.
 */
void load_add(struct simulation *simulation, const struct fault_setup *setup,
	      const uint8_t *weights, uint32_t callers)
{
	bool guaranteed[SIMULATION_DOMAINS_MAX] = { false };

	for (uint32_t i = 0; i < callers; i++) {
		enum load_kind kind =
			profile_pick(simulation, weights, LOAD_KIND_COUNT);
		uint64_t from_us = FAULTS_LOAD_FROM_US;
		uint64_t until_us = setup->load_until_us;
		struct fake_caller *caller;
		struct fake_caller_options options;

		memset(&options, 0, sizeof(options));
		choose_caller_options(simulation, kind, &options);
		/* One shape is guaranteed in each failure domain. Its account
		   requests no more, which would not be guaranteed. */
		if (options.guaranteed && guaranteed[options.domain])
			options.account = SIMULATION_OTHER_ACCOUNT;
		options.guaranteed &= !guaranteed[options.domain];
		if (options.guaranteed) {
			guaranteed[options.domain] = true;
			from_us = setup->load_until_us;
			until_us = setup->recovery_us + 2 * RJ_US_PER_S;
		}
		caller = fake_caller_add(
			simulation,
			from_us + simulation_random(simulation,
						    until_us - from_us),
			&options);
		if (setup->tries)
			caller->tries_max = setup->tries;
		if (setup->impatient && simulation_random(simulation, 2) == 0)
			caller->timeout_us =
				IMPATIENT_TIMEOUT_US +
				simulation_random(simulation,
						  IMPATIENT_TIMEOUT_US);
	}
}
