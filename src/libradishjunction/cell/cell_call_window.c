#include "private/cell_call_window.h"

#include <string.h>

/* All periods but the present one make up the age. */
#define PERIOD_US \
	(RJ_CELL_CALL_WINDOW_AGE_US / (RJ_CELL_CALL_WINDOW_PERIODS - 1))

/*
 * Initializes an empty window of `limit` calls.
 */
void rj_cell_call_window_init(struct rj_cell_call_window *window,
			      uint32_t limit)
{
	memset(window, 0, sizeof(*window));
	window->limit = limit;
}

/*
 * Whether a call may be sent now.
 */
bool rj_cell_call_window_has_room(const struct rj_cell_call_window *window,
				  uint64_t now_us)
{
	uint64_t present = now_us / PERIOD_US;
	uint32_t open = 0;

	for (uint32_t i = 0; i < RJ_CELL_CALL_WINDOW_PERIODS; i++)
		if (window->periods[i].number + RJ_CELL_CALL_WINDOW_PERIODS >
		    present)
			open += window->periods[i].open;
	return open < window->limit;
}

/*
 * Counts a call that is sent now.
 */
void rj_cell_call_window_sent(struct rj_cell_call_window *window,
			      uint64_t now_us)
{
	uint64_t number = now_us / PERIOD_US;
	uint32_t at = number % RJ_CELL_CALL_WINDOW_PERIODS;

	if (window->periods[at].number != number) {
		window->periods[at].number = number;
		window->periods[at].open = 0;
	}
	window->periods[at].open++;
}

/*
 * Records the answer, or the failure, of a call that was counted at `sent_us`.
 */
void rj_cell_call_window_answered(struct rj_cell_call_window *window,
				  uint64_t sent_us)
{
	uint64_t number = sent_us / PERIOD_US;
	uint32_t at = number % RJ_CELL_CALL_WINDOW_PERIODS;

	if (window->periods[at].number == number && window->periods[at].open)
		window->periods[at].open--;
}
