/*
 * The core's timers: a binary heap ordered by time, then by order of arming, so
 * that timers with equal times fire in a deterministic order.
 *
 * A timer is embedded in its owner. It is initialised once with `rj_timer_init`
 * and must be cleared before its owner is freed.
 */
#ifndef RADISHJUNCTION_PRIVATE_TIMER_H
#define RADISHJUNCTION_PRIVATE_TIMER_H

#include <stdbool.h>
#include <stdint.h>

struct rj_core_state;
struct rj_timer;

struct rj_timer {
	uint64_t at_us;
	uint64_t order; /* of arming; breaks ties of `at_us` */
	uint32_t index; /* in the heap, from 1; 0: not armed */
	void (*fire)(struct rj_core_state *core, struct rj_timer *timer);
};

struct rj_timers {
	struct rj_timer **heap; /* talloc array, slot 0 unused */
	uint32_t count;
	uint32_t capacity;
	uint64_t order; /* of the next timer armed */
	void *mem;
};

void rj_timers_init(struct rj_timers *timers, void *mem);
void rj_timer_init(struct rj_timer *timer,
		   void (*fire)(struct rj_core_state *core,
				struct rj_timer *timer));
void rj_timer_set(struct rj_timers *timers, struct rj_timer *timer,
		  uint64_t at_us);
void rj_timer_clear(struct rj_timers *timers, struct rj_timer *timer);
struct rj_timer *rj_timers_pop_due(struct rj_timers *timers, uint64_t now_us);
uint64_t rj_timers_next_us(const struct rj_timers *timers);

#endif
