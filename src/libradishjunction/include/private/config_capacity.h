/*
 * Checks that all guarantees of a configuration can be satisfied at once.
 *
 * Runs once for each parsed configuration and keeps no state.
 */
#ifndef RADISHJUNCTION_PRIVATE_CONFIG_CAPACITY_H
#define RADISHJUNCTION_PRIVATE_CONFIG_CAPACITY_H

#include "radishjunction/config.h"

void rj_config_capacity_check(const struct rj_config *config,
			      struct rj_error_list *errors);

#endif
