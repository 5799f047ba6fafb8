#include "private/timer.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "radishjunction/types.h"

/*
 * Initialises an empty heap whose array is a talloc child of `mem`.
 */
void rj_timers_init(struct rj_timers *timers, void *mem)
{
	memset(timers, 0, sizeof(*timers));
	timers->mem = mem;
}

/*
 * Initialises a disarmed timer that calls `fire` when it is due.
 */
void rj_timer_init(struct rj_timer *timer,
		   void (*fire)(struct rj_core_state *core,
				struct rj_timer *timer))
{
	memset(timer, 0, sizeof(*timer));
	timer->fire = fire;
}

static bool fires_before(const struct rj_timer *a, const struct rj_timer *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static void place(struct rj_timers *timers, struct rj_timer *timer,
		  uint32_t index)
{
	timers->heap[index] = timer;
	timer->index = index;
}

/* Moves `timer` towards the root until its parent fires before it. */
static void sift_up(struct rj_timers *timers, struct rj_timer *timer)
{
	uint32_t index = timer->index;

	while (index > 1 && fires_before(timer, timers->heap[index / 2])) {
		place(timers, timers->heap[index / 2], index);
		index /= 2;
	}
	place(timers, timer, index);
}

/* Moves `timer` towards the leaves until it fires before its children. */
static void sift_down(struct rj_timers *timers, struct rj_timer *timer)
{
	uint32_t index = timer->index;

	for (;;) {
		uint32_t child = 2 * index;

		if (child > timers->count)
			break;
		if (child < timers->count &&
		    fires_before(timers->heap[child + 1], timers->heap[child]))
			child++;
		if (!fires_before(timers->heap[child], timer))
			break;
		place(timers, timers->heap[child], index);
		index = child;
	}
	place(timers, timer, index);
}

/*
 * Arms or re-arms `timer` for `at_us`. RJ_NEVER_US disarms it.
 */
void rj_timer_set(struct rj_timers *timers, struct rj_timer *timer,
		  uint64_t at_us)
{
	rj_timer_clear(timers, timer);
	if (at_us == RJ_NEVER_US)
		return;
	if (timers->count + 2 > timers->capacity) {
		timers->capacity = timers->capacity ? 2 * timers->capacity : 64;
		timers->heap =
			talloc_realloc(timers->mem, timers->heap,
				       struct rj_timer *, timers->capacity);
		assert(timers->heap);
	}
	timer->at_us = at_us;
	timer->order = timers->order++;
	timers->count++;
	place(timers, timer, timers->count);
	sift_up(timers, timer);
}

/*
 * Disarms `timer`; no effect if it is not armed.
 */
void rj_timer_clear(struct rj_timers *timers, struct rj_timer *timer)
{
	struct rj_timer *last;
	uint32_t index = timer->index;

	if (!index)
		return;
	assert(timers->heap[index] == timer);
	last = timers->heap[timers->count--];
	timer->index = 0;
	if (last == timer)
		return;
	place(timers, last, index);
	sift_up(timers, last);
	sift_down(timers, last);
}

/*
 * Removes and returns the first timer that is due at `now_us`, or NULL.
 */
struct rj_timer *rj_timers_pop_due(struct rj_timers *timers, uint64_t now_us)
{
	struct rj_timer *timer;

	if (!timers->count || timers->heap[1]->at_us > now_us)
		return NULL;
	timer = timers->heap[1];
	rj_timer_clear(timers, timer);
	return timer;
}

/*
 * Returns when the first timer is due, or RJ_NEVER_US.
 */
uint64_t rj_timers_next_us(const struct rj_timers *timers)
{
	return timers->count ? timers->heap[1]->at_us : RJ_NEVER_US;
}
