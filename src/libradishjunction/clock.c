#include "private/clock.h"

#include <assert.h>
#include <tevent.h>
#include <time.h>

#include "radishjunction/types.h"

/*
 * Microseconds since boot, including time in suspend. Unlike the wall clock it
 * is never set back, so changing the system time cannot extend a lease.
 *
 * Guards against the suspension of an instance: with a clock that stops
 * meanwhile, its leases and idempotency keys would not have aged.
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
 * The expiry to pass to a tevent timer that fires `delay_us` from now.
 */
struct timeval rj_clock_timeval_in(uint64_t delay_us)
{
	return tevent_timeval_current_ofs((uint32_t)(delay_us / RJ_US_PER_S),
					  (uint32_t)(delay_us % RJ_US_PER_S));
}
