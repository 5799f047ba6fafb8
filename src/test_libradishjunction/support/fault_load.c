#include "support/fault_load.h"

#include <string.h>

/* The shortest time that a caller in a hurry waits on a connection. */
#define HASTY_US (2 * RJ_US_PER_S)

static void plan_caller(struct world *world, enum load_kind kind,
			struct fake_caller_options *plan)
{
	plan->account = SIMULATION_OTHER_ACCOUNT;
	plan->domain =
		(uint32_t)simulation_random(world, world->options.domains);
	plan->tasks = 1;
	plan->accelerators = 1;
	plan->waits = true;
	plan->idempotent = true;
	plan->run_us =
		20 * RJ_US_PER_MS + simulation_random(world, RJ_US_PER_S);
	switch (kind) {
	case LOAD_PREVIEW:
		plan->class_name = "preview";
		plan->fails = simulation_random(world, 10) == 0;
		break;
	case LOAD_QUOTE:
	case LOAD_QUOTE_DUPLICATED:
		plan->class_name = "quote";
		plan->key = world->next_key++;
		plan->idempotent = false;
		plan->doubled = kind == LOAD_QUOTE_DUPLICATED;
		break;
	case LOAD_GANG:
		plan->class_name = "pack";
		plan->tasks = 2 + (uint32_t)simulation_random(world, 3);
		plan->accelerators =
			4 + 4 * (uint32_t)simulation_random(world, 2);
		plan->adjacent = simulation_random(world, 2) == 0;
		plan->run_us *= 3;
		break;
	case LOAD_RENDER:
		plan->class_name = "render";
		plan->key = world->next_key++;
		plan->accelerators =
			2 + 2 * (uint32_t)simulation_random(world, 3);
		plan->run_us *= 8;
		plan->waits = false;
		plan->cancels = simulation_random(world, 5) == 0;
		break;
	case LOAD_OCCUPY:
		plan->class_name = "render";
		plan->key = world->next_key++;
		plan->accelerators = 8;
		plan->run_us = 10 * RJ_US_PER_S +
			       simulation_random(world, 15 * RJ_US_PER_S);
		plan->waits = false;
		break;
	default:
		plan->class_name = "pack";
		plan->account = SIMULATION_GUARANTEED_ACCOUNT;
		plan->guaranteed = true;
		plan->tasks = SIMULATION_GUARANTEED_TASKS;
		plan->accelerators = 4;
		plan->adjacent = true;
		plan->run_us = 2 * RJ_US_PER_S;
		plan->key = world->next_key++;
		break;
	}
}

/*
 * Add `callers` callers, whose kinds are drawn by these weights.
 */
void load_add(struct world *world, const struct fault_setup *place,
	      const uint8_t *weights, uint32_t callers)
{
	bool guaranteed[SIMULATION_DOMAINS_MAX] = { false };

	for (uint32_t i = 0; i < callers; i++) {
		enum load_kind kind =
			profile_pick(world, weights, LOAD_KIND_COUNT);
		uint64_t from_us = FAULTS_LOAD_FROM_US;
		uint64_t until_us = place->load_until_us;
		struct fake_caller *caller;
		struct fake_caller_options plan;

		memset(&plan, 0, sizeof(plan));
		plan_caller(world, kind, &plan);
		/* One shape is guaranteed in each failure domain: its account
		   asks for no more, since more has no guarantee. */
		if (plan.guaranteed && guaranteed[plan.domain])
			plan.account = SIMULATION_OTHER_ACCOUNT;
		plan.guaranteed &= !guaranteed[plan.domain];
		if (plan.guaranteed) {
			guaranteed[plan.domain] = true;
			from_us = place->load_until_us;
			until_us = place->calm_us + 2 * RJ_US_PER_S;
		}
		caller = fake_caller_add(
			world,
			from_us + simulation_random(world, until_us - from_us),
			&plan);
		if (place->tries)
			caller->tries_max = place->tries;
		if (place->hasty && simulation_random(world, 2) == 0)
			caller->patience_us =
				HASTY_US + simulation_random(world, HASTY_US);
	}
}
