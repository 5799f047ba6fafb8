/*
 * Whether the guarantees of a configuration can all be held at once.
 *
 * Called once for each configuration that is parsed; keeps nothing.
 */
#ifndef RADISHJUNCTION_PRIVATE_CONFIG_CAPACITY_H
#define RADISHJUNCTION_PRIVATE_CONFIG_CAPACITY_H

#include "radishjunction/config.h"

void rj_config_capacity_check(const struct rj_config *config,
			      struct rj_error_list *errors);

#endif
