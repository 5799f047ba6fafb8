/*
 * Waiting for conditions on a real event loop, in tests of adapters.
 */
#ifndef RADISHJUNCTION_TEST_EVENT_LOOP_H
#define RADISHJUNCTION_TEST_EVENT_LOOP_H

#include <talloc.h>
#include <tevent.h>

/* Runs the loop until the condition holds; the test fails after a timeout. */
#define RUN_UNTIL(loop, condition)                       \
	do {                                             \
		struct tevent_timer *run_until_timeout = \
			test_timeout_start(loop);        \
		while (!(condition))                     \
			test_loop_once(loop);            \
		talloc_free(run_until_timeout);          \
	} while (0)

struct tevent_timer *test_timeout_start(struct tevent_context *loop);
void test_loop_once(struct tevent_context *loop);

#endif
