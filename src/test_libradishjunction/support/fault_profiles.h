/*
 * What may strike and be asked for in each promise's runs, and how often.
 */
#ifndef SUPPORT_FAULT_PROFILES_H
#define SUPPORT_FAULT_PROFILES_H

#include "support/simulation.h"

#define FAULTS_LOAD_FROM_US (3 * RJ_US_PER_S)
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
	FAULT_WORKER_UNREACHABLE,
	FAULT_WORKER_FAILS,
	FAULT_WORKER_REFUSES,
	FAULT_WORKER_SLOW,
	FAULT_LEAVING,
	FAULT_LIST_LAG,
	FAULT_PUBLISH,
	FAULT_ISOLATE_DOMAIN, /* a domain, from the others and the platform */
	FAULT_CUT_WITHIN, /* all links among the instances of a domain */
	FAULT_CUT_INSTANCE, /* one, from the platform alone */
	FAULT_TRIM, /* the log drops what it should still keep */
	FAULT_KIND_COUNT
};

enum load_kind {
	LOAD_PREVIEW,
	LOAD_QUOTE,
	LOAD_QUOTE_DUPLICATED,
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
	uint32_t callers; /* 0: the usual number of the place */
	bool lossy_peers; /* messages, where the place says so */
	uint64_t end_us; /* 0: FAULTS_END_US */
	struct fault_rates rates; /* the most; each run takes a share */
};

/* Where the profiles are run, and for how long. */
enum fault_setup_kind {
	FAULT_SETUP_SMALL, /* two domains of two instances */
	FAULT_SETUP_LARGE, /* three of four; clocks drift, callers hurry */
	FAULT_SETUP_TRIMMED, /* the small one; the log drops too much */
	FAULT_SETUP_ISOLATED, /* a region loses the other and the platform */
	FAULT_SETUP_COUNT
};

struct fault_setup {
	const char *name;
	uint32_t domains;
	uint32_t nodes_per_domain;
	uint32_t racks_per_domain;
	uint32_t workers_per_rack;
	uint32_t drift_ppm;
	uint32_t key_life_s; /* 0: the usual one */
	uint32_t callers;
	uint32_t tries; /* of each caller; 0: the usual number */
	bool impatient; /* some callers give up before a pause ends */
	uint32_t faults_max;
	uint8_t faults[FAULT_KIND_COUNT]; /* beside those of the profile */
	struct fault_rates rates; /* of profiles whose peers lose messages */
	uint64_t load_until_us;
	uint64_t recovery_us;
	uint64_t duration_max_us; /* the most that a fault lasts beyond 1 s */
	uint64_t short_retention_us; /* twice the longest fault, and more */
	uint64_t extra_us; /* beyond the end of the profile */
};

extern const struct fault_setup fault_setups[FAULT_SETUP_COUNT];
extern const struct fault_profile fault_profiles[INVARIANT_COUNT];

uint32_t profile_pick(struct simulation *simulation, const uint8_t *weights,
		      uint32_t count);

#endif
