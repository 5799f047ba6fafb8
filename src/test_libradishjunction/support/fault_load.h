/*
 * The load during fault injection: which jobs callers submit, and when.
 */
#ifndef SUPPORT_FAULT_LOAD_H
#define SUPPORT_FAULT_LOAD_H

#include "support/fault_profiles.h"

void load_add(struct simulation *simulation, const struct fault_setup *setup,
	      const uint8_t *weights, uint32_t callers);

#endif
