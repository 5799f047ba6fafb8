#include "support/fault_profiles.h"

#define RATES_OF_LOG                                                         \
	.append_refused = 30, .append_answer_lost = 150, .append_late = 100, \
	.read_failed = 50
#define RATES_OF_WORKERS                                                 \
	.call_lost = 30, .call_late = 30, .reply_lost = 50,              \
	.reply_truncated = 30, .reply_late = 30, .reply_duplicated = 50, \
	.reply_mismatched = 30

const struct fault_profile fault_profiles[INVARIANT_COUNT] = {
	[INVARIANT_GUARANTEE] = {
		.faults = { [FAULT_KILL] = 3, [FAULT_WORKER_PAUSE] = 3,
			    [FAULT_WORKER_SLOW] = 3, [FAULT_CUT_PLATFORM] = 2,
			    [FAULT_CUT_DOMAIN] = 2, [FAULT_PUBLISH] = 2,
			    [FAULT_WORKER_UNREACHABLE] = 1 },
		.callers = 40,
		.end_us = 2 * FAULTS_END_US,
		.load = { [LOAD_OCCUPY] = 8, [LOAD_RENDER] = 2, [LOAD_GANG] = 1, [LOAD_GUARANTEED] = 2, [LOAD_QUOTE] = 1 },
		.rates = { RATES_OF_WORKERS },
	},
	[INVARIANT_GANG] = {
		.faults = { [FAULT_KILL] = 4, [FAULT_PAUSE] = 4,
			    [FAULT_WORKER_KILL] = 3, [FAULT_WORKER_PAUSE] = 2,
			    [FAULT_WORKER_UNREACHABLE] = 2,
			    [FAULT_WORKER_FAILS] = 1,
			    [FAULT_WORKER_REFUSES] = 2, [FAULT_CUT_LINK] = 2,
			    [FAULT_STOP] = 1 },
		.load = { [LOAD_GANG] = 8, [LOAD_PREVIEW] = 3,
			  [LOAD_RENDER] = 1 },
		.rates = { RATES_OF_WORKERS, RATES_OF_LOG },
	},
	[INVARIANT_ANSWER] = {
		.faults = { [FAULT_KILL] = 2, [FAULT_PAUSE] = 3,
			    [FAULT_WORKER_KILL] = 2, [FAULT_CUT_LINK] = 2,
			    [FAULT_WORKER_SLOW] = 2, [FAULT_CUT_DOMAIN] = 1 },
		.load = { [LOAD_PREVIEW] = 6, [LOAD_QUOTE] = 3,
			  [LOAD_QUOTE_DUPLICATED] = 2, [LOAD_GANG] = 1,
			  [LOAD_RENDER] = 2 },
		.rates = { RATES_OF_WORKERS, .peer_late = 100,
			   .peer_lost = 50 },
	},
	[INVARIANT_NOT_RUN] = {
		.faults = { [FAULT_PAUSE] = 4, [FAULT_KILL] = 3,
			    [FAULT_OUTAGE] = 2, [FAULT_WORKER_REFUSES] = 2,
			    [FAULT_WORKER_PAUSE] = 2, [FAULT_CUT_PLATFORM] = 1,
			    [FAULT_STOP] = 1 },
		.load = { [LOAD_QUOTE] = 5, [LOAD_QUOTE_DUPLICATED] = 3,
			  [LOAD_RENDER] = 3, [LOAD_PREVIEW] = 2 },
		.rates = { RATES_OF_WORKERS, RATES_OF_LOG },
	},
	[INVARIANT_ONCE] = {
		.faults = { [FAULT_PAUSE] = 4, [FAULT_KILL] = 4,
			    [FAULT_OUTAGE] = 2, [FAULT_SLOW_LOG] = 2,
			    [FAULT_CUT_PLATFORM] = 2, [FAULT_CUT_DOMAIN] = 2,
			    [FAULT_WORKER_KILL] = 2, [FAULT_WORKER_PAUSE] = 2,
			    [FAULT_KILL_DOMAIN] = 1, [FAULT_STOP] = 1 },
		.load = { [LOAD_QUOTE] = 5, [LOAD_QUOTE_DUPLICATED] = 5,
			  [LOAD_PREVIEW] = 1 },
		.rates = { RATES_OF_LOG, RATES_OF_WORKERS },
	},
	[INVARIANT_LEAVING] = {
		.lossy_peers = true,
		.faults = { [FAULT_LEAVING] = 8, [FAULT_LIST_LAG] = 5,
			    [FAULT_OUTAGE] = 2, [FAULT_CUT_PLATFORM] = 2,
			    [FAULT_PAUSE] = 1, [FAULT_CUT_LINK] = 2,
			    [FAULT_WORKER_KILL] = 1 },
		.callers = 80,
		.load = { [LOAD_PREVIEW] = 8, [LOAD_QUOTE] = 2,
			  [LOAD_GANG] = 2 },
		.rates = { .reply_late = 50, .peer_late = 50 },
	},
	[INVARIANT_STOP] = {
		.faults = { [FAULT_STOP] = 8, [FAULT_KILL] = 1,
			    [FAULT_OUTAGE] = 1, [FAULT_SLOW_LOG] = 1,
			    [FAULT_CUT_LINK] = 2, [FAULT_CUT_DOMAIN] = 1,
			    [FAULT_WORKER_PAUSE] = 1 },
		.load = { [LOAD_PREVIEW] = 5, [LOAD_QUOTE] = 4,
			  [LOAD_GANG] = 2, [LOAD_RENDER] = 2,
			  [LOAD_GUARANTEED] = 1 },
		.rates = { RATES_OF_LOG, .reply_lost = 20 },
	},
	[INVARIANT_CONFIG] = {
		.lossy_peers = true,
		.faults = { [FAULT_PUBLISH] = 8, [FAULT_OUTAGE] = 3,
			    [FAULT_KILL] = 3, [FAULT_KILL_DOMAIN] = 2,
			    [FAULT_CUT_PLATFORM] = 3, [FAULT_PAUSE] = 2,
			    [FAULT_CUT_DOMAIN] = 1 },
		.load = { [LOAD_PREVIEW] = 1 },
		.rates = { .read_failed = 100, .peer_late = 100,
			   .peer_lost = 50 },
	},
	[INVARIANT_ACCEPTED] = {
		.faults = { [FAULT_KILL] = 5, [FAULT_KILL_DOMAIN] = 3,
			    [FAULT_STOP] = 3, [FAULT_OUTAGE] = 3,
			    [FAULT_CUT_PLATFORM] = 2, [FAULT_WORKER_KILL] = 2,
			    [FAULT_PAUSE] = 2 },
		.load = { [LOAD_RENDER] = 8, [LOAD_GANG] = 3,
			  [LOAD_PREVIEW] = 1 },
		.rates = { RATES_OF_LOG, .reply_lost = 30 },
	},
};

const struct fault_setup fault_setups[FAULT_SETUP_COUNT] = {
	[FAULT_SETUP_SMALL] = {
		.name = "small",
		.domains = 2,
		.nodes_per_domain = 2,
		.racks_per_domain = 2,
		.workers_per_rack = 4,
		.callers = 24,
		.faults_max = 8,
		.load_until_us = 20 * RJ_US_PER_S,
		.recovery_us = 24 * RJ_US_PER_S,
		.duration_max_us = 8 * RJ_US_PER_S,
		.short_retention_us = 20 * RJ_US_PER_S,
	},
	[FAULT_SETUP_TRIMMED] = {
		.name = "trimmed",
		.domains = 2,
		.nodes_per_domain = 2,
		.racks_per_domain = 2,
		.workers_per_rack = 4,
		.callers = 24,
		.impatient = true,
		.faults_max = 8,
		.faults = { [FAULT_TRIM] = 8 },
		.tries = 120,
		.extra_us = 140 * RJ_US_PER_S,
		.load_until_us = 20 * RJ_US_PER_S,
		.recovery_us = 24 * RJ_US_PER_S,
		.duration_max_us = 8 * RJ_US_PER_S,
		.short_retention_us = 20 * RJ_US_PER_S,
	},
	[FAULT_SETUP_ISOLATED] = {
		.name = "apart",
		.domains = 3,
		.nodes_per_domain = 2,
		.racks_per_domain = 2,
		.workers_per_rack = 4,
		.drift_ppm = 500,
		.key_life_s = 7200,
		.callers = 48,
		.tries = 4000,
		.impatient = true,
		.load_until_us = 20 * RJ_US_PER_S,
		.recovery_us = 24 * RJ_US_PER_S,
	},
	[FAULT_SETUP_LARGE] = {
		.name = "large",
		.domains = 3,
		.nodes_per_domain = 4,
		.racks_per_domain = 3,
		.workers_per_rack = 4,
		.drift_ppm = 500,
		.callers = 90,
		.impatient = true,
		.faults_max = 24,
		.faults = { [FAULT_ISOLATE_DOMAIN] = 2, [FAULT_CUT_WITHIN] = 2,
			    [FAULT_CUT_INSTANCE] = 2 },
		.rates = { .peer_lost = 100, .peer_late = 100 },
		.load_until_us = 60 * RJ_US_PER_S,
		.recovery_us = 66 * RJ_US_PER_S,
		.duration_max_us = 15 * RJ_US_PER_S,
		.short_retention_us = 40 * RJ_US_PER_S,
		.extra_us = 60 * RJ_US_PER_S,
	},
};

/*
 * Draws a number below `count` by these weights.
 */
uint32_t profile_pick(struct simulation *simulation, const uint8_t *weights,
		      uint32_t count)
{
	uint32_t sum = 0;
	uint32_t at;

	for (uint32_t i = 0; i < count; i++)
		sum += weights[i];
	at = (uint32_t)simulation_random(simulation, sum);
	for (uint32_t i = 0;; i++) {
		if (at < weights[i])
			return i;
		at -= weights[i];
	}
}
