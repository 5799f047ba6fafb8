/*
 * Injects faults into a simulation and ends them.
 */
#ifndef SUPPORT_FAULT_INJECTION_H
#define SUPPORT_FAULT_INJECTION_H

#include "support/fault_profiles.h"

void fault_inject(struct simulation *simulation,
		  struct simulation_event *event);
void fault_inject_platform(struct simulation *simulation, enum fault_kind kind,
			   uint64_t duration_us);
void fault_isolate_domain(struct simulation *simulation, uint32_t domain,
			  uint64_t duration_us);
void fault_kill_nodes(struct simulation *simulation, uint32_t first,
		      uint32_t count);
void fault_restore_platform(struct simulation *simulation,
			    struct simulation_event *event);
void fault_restore_links(struct simulation *simulation,
			 struct simulation_event *event);
void fault_replace_stopped(struct simulation *simulation,
			   struct simulation_event *event);
void fault_recover_all(struct simulation *simulation,
		       struct simulation_event *event);

#endif
