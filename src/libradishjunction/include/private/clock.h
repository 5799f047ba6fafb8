/*
 * The monotonic clock of this process, for shells and adapters. The decision
 * core never reads it: its time comes with each event.
 */
#ifndef RADISHJUNCTION_PRIVATE_CLOCK_H
#define RADISHJUNCTION_PRIVATE_CLOCK_H

#include <stdint.h>
#include <sys/time.h>

uint64_t rj_clock_now_us(void);
struct timeval rj_clock_timeval_in(uint64_t delay_us);

#endif
