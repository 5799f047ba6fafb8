#include "private/clock.h"

#include <assert.h>
#include <tevent.h>
#include <time.h>

#include "radishjunction/types.h"

/*
 * Microseconds since the machine was started, the time that it slept
 * included. Unlike the wall clock it is never set back, so a lease counted
 * with it cannot be made longer by an operator.
 *
 * Guards against an instance that was suspended: a clock that stands still
 * meanwhile would show its leases and its keys as young as before.
 */
uint64_t rj_clock_now_us(void)
{
	struct timespec now;
	int failed = clock_gettime(CLOCK_BOOTTIME, &now);

	assert(!failed);
	(void)failed;
	return (uint64_t)now.tv_sec * RJ_US_PER_S +
	       (uint64_t)now.tv_nsec / 1000;
}

/*
 * The time that a tevent timer takes to fire `delay_us` from now.
 */
struct timeval rj_clock_timeval_in(uint64_t delay_us)
{
	return tevent_timeval_current_ofs((uint32_t)(delay_us / RJ_US_PER_S),
					  (uint32_t)(delay_us % RJ_US_PER_S));
}
