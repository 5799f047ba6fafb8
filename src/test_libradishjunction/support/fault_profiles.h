/*
 * Kinds and relative frequencies of faults and load in the runs of each
 * invariant.
 */
#ifndef SUPPORT_FAULT_PROFILES_H
#define SUPPORT_FAULT_PROFILES_H

#include "support/simulation.h"

#define FAULTS_LOAD_FROM_US (3 * RJ_US_PER_S)
/* Long enough for keys to be settled and for callers to retry a few times. */
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
	FAULT_ISOLATE_DOMAIN, /* from the other domains and the platform */
	FAULT_CUT_WITHIN, /* all links between the instances of a domain */
	FAULT_CUT_INSTANCE, /* one instance, from the platform only */
	FAULT_TRIM, /* the log drops records before their retention ends */
	FAULT_KIND_COUNT
};

enum load_kind {
	LOAD_PREVIEW,
	LOAD_QUOTE,
	LOAD_QUOTE_DUPLICATED,
	LOAD_GANG,
	LOAD_RENDER,
	LOAD_GUARANTEED,
	LOAD_OCCUPY, /* whole workers, longer than a guarantee may wait */
	LOAD_KIND_COUNT
};

/* Weights of the kinds of faults and load, relative to each other. */
struct fault_profile {
	uint8_t faults[FAULT_KIND_COUNT];
	uint8_t load[LOAD_KIND_COUNT];
	uint32_t callers; /* at least; 0: the number of the setup */
	bool lossy_peers; /* apply the rates of the setup too */
	uint64_t end_us; /* 0: FAULTS_END_US */
	struct fault_rates rates; /* upper bounds of the rates of a run */
};

/* Sizes and durations of the simulations in which profiles run. */
enum fault_setup_kind {
	FAULT_SETUP_SMALL, /* two domains of two instances */
	FAULT_SETUP_LARGE, /* three of four; clock drift, impatient callers */
	FAULT_SETUP_TRIMMED, /* as small; the log drops records too early */
	FAULT_SETUP_ISOLATED, /* a region loses the others and the platform */
	FAULT_SETUP_COUNT
};

struct fault_setup {
	const char *name;
	uint32_t domains;
	uint32_t nodes_per_domain;
	uint32_t racks_per_domain;
	uint32_t workers_per_rack;
	uint32_t drift_ppm;
	uint32_t key_life_s; /* 0: SIMULATION_KEY_LIFE_S */
	uint32_t callers;
	uint32_t tries; /* limit of each caller; 0: the default */
	bool impatient; /* some callers time out before a pause ends */
	uint32_t faults_max;
	uint8_t faults[FAULT_KIND_COUNT]; /* added to those of the profile */
	struct fault_rates rates; /* for profiles with `lossy_peers` */
	uint64_t load_until_us;
	uint64_t recovery_us;
	uint64_t duration_max_us; /* longest fault, beyond 1 s */
	uint64_t short_retention_us; /* at least twice the longest fault */
	uint64_t extra_us; /* added to the end of the profile */
};

extern const struct fault_setup fault_setups[FAULT_SETUP_COUNT];
extern const struct fault_profile fault_profiles[INVARIANT_COUNT];

uint32_t profile_pick(struct simulation *simulation, const uint8_t *weights,
		      uint32_t count);

#endif
