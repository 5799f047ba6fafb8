/*
 * Window of calls to workers: limits how many recent calls wait for their
 * answers, so that the wait of an event in this process is bounded by the size
 * of the window, whatever the number of workers.
 *
 * Calls that have been open for longer than RJ_CELL_CALL_WINDOW_AGE_US no
 * longer count, so that workers that do not answer cannot close the window.
 *
 * `rj_cell_call_window_init` empties a window; nothing has to be freed.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_CALL_WINDOW_H
#define RADISHJUNCTION_PRIVATE_CELL_CALL_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include "radishjunction/types.h"

/* Starts, stops and probes that may wait for their answers. An event of this
 * process waits for at most as many calls, so the limit does not depend on the
 * size of the fleet; it has to exceed the calls that an instance makes in a round
 * trip between failure domains. */
#define RJ_CELL_ORDER_WINDOW 64
/* Polls that are answered at once and may wait for their answers. Their window
 * is separate, so that the workers that a new owner polls do not delay starts. */
#define RJ_CELL_POLL_WINDOW 128
/* Several times the round trip between failure domains. */
#define RJ_CELL_CALL_WINDOW_AGE_US (150 * RJ_US_PER_MS)
/* Calls are counted by the period in which they were sent. */
#define RJ_CELL_CALL_WINDOW_PERIODS 8

struct rj_cell_call_window {
	uint32_t limit; /* of open calls */
	struct {
		uint64_t number; /* since the clock's origin */
		uint32_t open; /* calls sent in it without an answer */
	} periods[RJ_CELL_CALL_WINDOW_PERIODS];
};

void rj_cell_call_window_init(struct rj_cell_call_window *window,
			      uint32_t limit);
bool rj_cell_call_window_has_room(const struct rj_cell_call_window *window,
				  uint64_t now_us);
void rj_cell_call_window_sent(struct rj_cell_call_window *window,
			      uint64_t now_us);
void rj_cell_call_window_answered(struct rj_cell_call_window *window,
				  uint64_t sent_us);

#endif
