/*
 * The load under which faults strike: what callers want, and when they ask.
 */
#ifndef SUPPORT_FAULT_LOAD_H
#define SUPPORT_FAULT_LOAD_H

#include "support/fault_profiles.h"

void load_add(struct simulation *simulation, const struct fault_setup *setup,
	      const uint8_t *weights, uint32_t callers);

#endif
