/*
 * How each fault strikes the world, and how it ends.
 */
#ifndef SUPPORT_FAULT_STRIKES_H
#define SUPPORT_FAULT_STRIKES_H

#include "support/fault_profiles.h"

void fault_strike(struct world *world, struct world_event *event);
void fault_strike_platform(struct world *world, enum fault_kind kind,
			   uint64_t lasts_us);
void fault_cut_alone(struct world *world, uint32_t domain, uint64_t lasts_us);
void fault_kill_nodes(struct world *world, uint32_t first, uint32_t count);
void fault_platform_back(struct world *world, struct world_event *event);
void fault_links_back(struct world *world, struct world_event *event);
void fault_replace_stopped(struct world *world, struct world_event *event);
void fault_calm(struct world *world, struct world_event *event);

#endif
