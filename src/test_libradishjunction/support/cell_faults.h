/*
 * Random fault injection in a cell_sim: random jobs and overlapping faults,
 * then a recovery without faults, then the final checks. One call makes one
 * simulated run.
 */
#ifndef TEST_SUPPORT_CELL_FAULTS_H
#define TEST_SUPPORT_CELL_FAULTS_H

#include "support/cell_sim.h"

/* What a run injects. */
enum cell_fault_profile {
	CELL_FAULTS_ALL,
	/* Workers restart at once under their ids, some as another kind, beside
	 * a slow log, late orders and takeovers; short tasks. */
	CELL_FAULTS_RESTARTS,
	/* Bursts in which workers leave, vanish and come back under their ids
	 * while owners or all nodes are killed; lasting, repeated and failing
	 * jobs. Nothing may stand still once the recovery is over. */
	CELL_FAULTS_DEPARTURES,
	CELL_FAULTS_PROFILE_COUNT
};

struct cell_fault_result {
	uint32_t jobs;
	uint32_t accepted;
	uint32_t completed;
	uint32_t faults;
	uint64_t starts;
	uint32_t violations;
	/* Latest time after a fault at which work stood still, and what. */
	uint64_t longest_us;
	char longest[64];
	char *first_violation; /* text, or NULL; g_free */
};

void cell_faults_run(enum cell_fault_profile profile, uint64_t seed, bool trace,
		     struct cell_fault_result *result);

#endif
