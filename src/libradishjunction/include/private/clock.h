/*
 * Monotonic clock for the process shells and adapters. The decision core never
 * reads it: each event carries its own time.
 */
#ifndef RADISHJUNCTION_PRIVATE_CLOCK_H
#define RADISHJUNCTION_PRIVATE_CLOCK_H

#include <stdint.h>
#include <sys/time.h>

uint64_t rj_clock_now_us(void);
struct timeval rj_clock_timeval_in(uint64_t delay_us);

#endif
