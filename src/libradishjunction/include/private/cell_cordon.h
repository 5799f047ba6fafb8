/*
 * The failure domains that operators have cordoned: nothing starts there until
 * the cordon is lifted. Existing runs go on.
 *
 * Life cycle: `rj_cell_cordons_init`; `rj_cell_cordons_set` and `_clear` for
 * the records of the operators' log; `rj_cell_cordons_load_begin` and
 * `_load_end` around a load of that log, which clears cordons without a record;
 * `rj_cell_cordons_finish`.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_CORDON_H
#define RADISHJUNCTION_PRIVATE_CELL_CORDON_H

#include <glib.h>

#include "radishjunction/types.h"

struct rj_cell_cordon {
	char domain[RJ_NAME_BYTES];
	uint64_t version; /* offset of its record in the operators' log */
	bool seen_in_load;
};

struct rj_cell_cordons {
	GArray *cordons; /* struct rj_cell_cordon */
	bool loading;
	uint64_t changes; /* rises with each change */
};

void rj_cell_cordons_init(struct rj_cell_cordons *cordons);
void rj_cell_cordons_finish(struct rj_cell_cordons *cordons);
bool rj_cell_cordons_set(struct rj_cell_cordons *cordons, const char *domain,
			 uint64_t version);
bool rj_cell_cordons_clear(struct rj_cell_cordons *cordons, const char *domain,
			   uint64_t version);
void rj_cell_cordons_load_begin(struct rj_cell_cordons *cordons);
uint32_t rj_cell_cordons_load_end(struct rj_cell_cordons *cordons);
bool rj_cell_cordons_contains(const struct rj_cell_cordons *cordons,
			      const char *domain);

#endif
