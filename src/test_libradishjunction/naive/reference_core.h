/*
 * A minimal reference implementation of the decision core, for differential
 * tests: it starts each job immediately, retries after any loss, keeps accepted
 * jobs and keys in memory only, applies the configuration that it read last and
 * exits as soon as it is asked to stop. It has no claims, read-back, fencing or
 * reclaim.
 *
 * Life cycle: `reference_core_create`, `reference_core_process` for each event,
 * freed with talloc.
 */
#ifndef NAIVE_REFERENCE_CORE_H
#define NAIVE_REFERENCE_CORE_H

#include "radishjunction/core.h"

struct reference_core;

struct reference_core *
reference_core_create(void *mem, const struct rj_core_options *options);
void reference_core_process(struct reference_core *core,
			    const struct rj_event *event,
			    struct rj_actions *actions);
uint64_t reference_core_wake_us(const struct reference_core *core);

#endif
