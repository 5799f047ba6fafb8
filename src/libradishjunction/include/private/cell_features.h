/*
 * Optional decisions of the owner and the frontends, called for by the settings
 * of a deployment. A zeroed structure calls for none of them.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_FEATURES_H
#define RADISHJUNCTION_PRIVATE_CELL_FEATURES_H

#include <stdbool.h>
#include <stdint.h>

struct rj_cell_features {
	/* Placement weighs how often workers and racks have failed or have been
	 * absent. */
	bool worker_history;
	/* Order, preemption and admission follow the shares of accounts. */
	bool account_shares;
	/* Rejected callers are accepted in the order of their first
	 * rejection. */
	bool return_order;
	/* Admission is decided by the measured service rate. */
	bool admission_forecast;
	/* A task resumes from its checkpoint within this; preemption weighs the
	 * lost time. 0: preemption does not. */
	uint32_t restore_ms;
	/* Interval at which the owner stores what it has learnt, at least
	 * 0.4 s; 0: never. */
	uint32_t snapshot_ms;
};

#endif
