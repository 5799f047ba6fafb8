/*
 * What may strike and be asked for in each promise's runs, and how often.
 */
#ifndef SUPPORT_FAULT_PROFILES_H
#define SUPPORT_FAULT_PROFILES_H

#include "support/world.h"

#define FAULTS_LOAD_FROM_US (3 * RJ_US_PER_S)
#define FAULTS_LOAD_UNTIL_US (20 * RJ_US_PER_S)
#define FAULTS_CALM_US (24 * RJ_US_PER_S)
/* Long enough for keys to be settled and for callers to ask a few times. */
#define FAULTS_END_US (75 * RJ_US_PER_S)

enum fault_kind {
	FAULT_KILL,
	FAULT_PAUSE,
	FAULT_STOP,
	FAULT_KILL_DOMAIN,
	FAULT_OUTAGE,
	FAULT_SLOW_LOG,
	FAULT_CUT_PLATFORM,
	FAULT_CUT_DOMAIN,
	FAULT_CUT_LINK,
	FAULT_WORKER_KILL,
	FAULT_WORKER_PAUSE,
	FAULT_WORKER_SILENT,
	FAULT_WORKER_FAILS,
	FAULT_WORKER_REFUSES,
	FAULT_WORKER_SLOW,
	FAULT_LEAVING,
	FAULT_LIST_LAG,
	FAULT_PUBLISH,
	FAULT_KIND_COUNT
};

enum load_kind {
	LOAD_PREVIEW,
	LOAD_QUOTE,
	LOAD_QUOTE_DOUBLED,
	LOAD_GANG,
	LOAD_RENDER,
	LOAD_GUARANTEED,
	LOAD_OCCUPY, /* whole workers, for longer than a guarantee waits */
	LOAD_KIND_COUNT
};

/* How likely each fault and each kind of load is, relative to the others. */
struct fault_profile {
	uint8_t faults[FAULT_KIND_COUNT];
	uint8_t load[LOAD_KIND_COUNT];
	uint32_t callers; /* 0: the usual number */
	uint64_t
		end_us; /* 0: FAULTS_END_US; later where the load takes longer */
	struct fault_rates rates; /* the most; each run takes a share */
};

extern const struct fault_profile fault_profiles[PROMISE_COUNT];

uint32_t profile_pick(struct world *world, const uint8_t *weights,
		      uint32_t count);

#endif
