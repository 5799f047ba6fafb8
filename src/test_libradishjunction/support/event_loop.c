#include "support/event_loop.h"

#include <glib.h>

/* Far above what any test takes: one that hangs fails. */
#define TIMEOUT_S 30

static void on_patience(struct tevent_context *loop, struct tevent_timer *timer,
			struct timeval now, void *private_data)
{
	g_error("the condition did not come true in %d s", TIMEOUT_S);
}

/*
 * Fail the test in 30 s unless the returned timer is freed before.
 */
struct tevent_timer *test_timeout_start(struct tevent_context *loop)
{
	return tevent_add_timer(loop, loop,
				tevent_timeval_current_ofs(TIMEOUT_S, 0),
				on_patience, NULL);
}

/*
 * Wait for one event and handle it.
 */
void test_loop_once(struct tevent_context *loop)
{
	g_assert_cmpint(tevent_loop_once(loop), ==, 0);
}
