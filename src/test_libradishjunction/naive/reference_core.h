/*
 * The whole decisions in the plainest way, to differ from: it starts what it
 * is asked at once, tries again on any loss, keeps accepted jobs and keys in
 * its own memory, takes whatever configuration it read last, and stops when
 * told. No claims, no read-back, no fence, no reclaim.
 *
 * Life cycle: `reference_core_create`, `reference_core_process` for each event,
 * freed with talloc.
 */
#ifndef NAIVE_CORE_H
#define NAIVE_CORE_H

#include "radishjunction/core.h"

struct reference_core;

struct reference_core *
reference_core_create(void *mem, const struct rj_core_options *options);
void reference_core_process(struct reference_core *core,
			    const struct rj_event *event,
			    struct rj_actions *actions);
uint64_t reference_core_wake_us(const struct reference_core *core);

#endif
