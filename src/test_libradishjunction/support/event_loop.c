#include "support/event_loop.h"

#include <glib.h>

/* Far longer than any test takes, so that only a test that hangs fails. */
#define TIMEOUT_S 30

/* Fails the test at its timeout. */
static void on_patience(struct tevent_context *loop, struct tevent_timer *timer,
			struct timeval now, void *private_data)
{
	g_error("condition not met within %d s", TIMEOUT_S);
}

/*
 * Fails the test in 30 s unless the returned timer is freed before then.
 */
struct tevent_timer *test_timeout_start(struct tevent_context *loop)
{
	return tevent_add_timer(loop, loop,
				tevent_timeval_current_ofs(TIMEOUT_S, 0),
				on_patience, NULL);
}

/*
 * Waits for one event and handles it.
 */
void test_loop_once(struct tevent_context *loop)
{
	g_assert_cmpint(tevent_loop_once(loop), ==, 0);
}
